"""Tests of :mod:`cranberryport.callers.dispatcher` with a real pool of connections."""

import random
import time
import unittest

from circuits import BaseComponent, handler

from cranberryport import outcomes
from cranberryport.callers import backend_pool, claims, dispatcher, requests
from cranberryport.generated import messages
from cranberryport.http import connection
from cranberryport.state import fold_outcomes
from cranberryport.stream import log_writer_events
from tests import support

KEY = "01930000-0000-7000-8000-000000000001"


class FakeLogWriter(BaseComponent):
    """Log writer that folds records into the view at once, or holds them back."""

    channel = "log_writer"

    def __init__(self, view):
        super().__init__()
        self.view = view
        self.records = []
        self.held = []
        self.is_holding = False
        self.is_down = False

    @handler("append")
    def _on_append(self, record, ticket):
        self.records.append(record)
        if self.is_holding:
            self.held.append((record, ticket))
        else:
            self.decide(record, ticket)

    def decide(self, record, ticket):
        """Fold a record and fire its outcome; undecided while the log is down."""
        outcome = log_writer_events.Undecided(record=record)
        if not self.is_down:
            outcome = self._fold(record)
        self.fire(log_writer_events.decided(ticket, outcome), ticket.reply_channel)

    def decide_held(self):
        """Fold the records that were held back."""
        held, self.held = self.held, []
        for record, ticket in held:
            self.decide(record, ticket)

    def _fold(self, record):
        fold = {
            messages.KeyClaimed: self.view.keys.claim,
            messages.KeyReleased: self.view.keys.release,
            messages.KeyFinished: self.view.keys.finish,
        }[type(record)]
        reason = fold(record)
        place = {"offset": 0, "writer": record.session, "sequence": 1, "index": 0}
        if reason:
            return fold_outcomes.Rejected(record=record, reason=reason, **place)
        return fold_outcomes.Accepted(record=record, **place)


class DispatcherTest(unittest.TestCase):
    """Each request gets one correct outcome, and one with a key runs at most once."""

    def start_components(self, *responders, **settings):
        self.loop = support.EventLoop()
        self.backends = [support.HttpServer(respond) for respond in responders]
        for backend in self.backends:
            self.addCleanup(backend.close)
        servers = [
            support.FakeServer(f"b{number}", backend.port)
            for number, backend in enumerate(self.backends)
        ]
        self.view = support.FakeView(*servers)
        self.log_writer = self.loop.add(FakeLogWriter(self.view))
        timers = self.loop.timers
        client = self.loop.add(connection.Client(timers=timers))
        self.pool = self.loop.add(
            backend_pool.BackendPool(
                client=client, timers=timers, view=self.view, abandoned_slot_hold_s=0.2
            )
        )
        self.dispatcher = self.loop.add(
            dispatcher.Dispatcher(
                timers=timers,
                pool=self.pool,
                view=self.view,
                data_centre="north",
                random=random.Random(1),
                **settings,
            )
        )
        self.outcomes = self.loop.add(support.EventRecorder("outcome", "frontend"))
        self.finished = self.loop.add(
            support.EventRecorder("request_finished", "metrics")
        )
        self.addCleanup(self.loop.close)

    def submit(self, *, method="GET", target="/", key=None, wait_s=5, **options):
        now = time.monotonic()
        request = requests.CallerRequest(
            id=f"r{len(self.finished.events)}-{random.random()}",
            service="sizing",
            desk="d",
            request_class=options.get("request_class", "interactive"),
            method=method,
            target=target,
            headers=options.get("headers", []),
            body=options.get("body", b""),
            deadline=now + wait_s,
            arrived=now,
            key=key,
        )
        self.loop.manager.fire(requests.submit(request), "dispatcher")
        return request

    def wait_for_outcome(self, request):
        def find_outcomes():
            return [
                outcome
                for reported_request, outcome in self.outcomes.events
                if reported_request is request
            ]

        self.loop.run_until(find_outcomes)
        self.assertEqual(len(find_outcomes()), 1)
        return find_outcomes()[0]

    def submit_and_wait(self, **options):
        return self.wait_for_outcome(self.submit(**options))

    def cancel(self, request):
        self.loop.manager.fire(requests.cancel(request), "dispatcher")

    def record_types(self):
        return [type(record).__name__ for record in self.log_writer.records]

    def test_answer_is_complete_and_the_connection_is_reused(self):
        self.start_components(
            lambda head, body: support.make_response(head, body, extra=b"A: b\r\n")
        )
        for _ in range(3):
            outcome = self.submit_and_wait(
                method="POST", body=b"abc", headers=[(b"TE", b"x")]
            )
            self.assertEqual((outcome.status, outcome.body), (200, b"abc"))
            self.assertEqual(outcome.headers, [(b"a", b"b")])
        self.assertEqual(self.backends[0].connection_count, 1)
        self.assertNotIn(b"TE:", self.backends[0].heads[0])
        self.assertEqual(self.pool.slots_in_use("b0"), 0)

    def test_request_refused_before_execution_is_retried_at_another_server(self):
        refused = b"Request-Refused: before-execution\r\n"
        self.start_components(
            lambda head, _: support.make_response(head, status=503, extra=refused),
            lambda head, _: support.make_response(head),
        )
        for _ in range(5):
            self.assertEqual(self.submit_and_wait(method="POST").status, 200)

    def test_broken_answer_is_unknown_and_not_repeated(self):
        self.start_components(lambda *_: None)
        outcome = self.submit_and_wait(method="POST")
        self.assertIsInstance(outcome, outcomes.Unknown)
        self.assertEqual(outcome.status, 502)
        self.assertEqual(len(self.backends[0].heads), 1)

    def test_unknown_attempt_stays_unknown_after_a_retry_that_did_not_run(self):
        def close(*_):
            self.view.all_servers[0].is_usable = False

        self.start_components(close)
        outcome = self.submit_and_wait(method="GET", wait_s=0.5)
        self.assertIsInstance(outcome, outcomes.Unknown)

    def test_timeout_is_unknown_and_holds_the_slot(self):
        self.start_components(lambda *_: b"")
        outcome = self.submit_and_wait(wait_s=0.1)
        self.assertEqual((type(outcome), outcome.status), (outcomes.Unknown, 504))
        self.assertEqual(self.pool.slots_in_use("b0"), 1)
        self.assertEqual(self.pool.connection_count("sizing"), 0)
        self.loop.run_until(lambda: self.pool.slots_in_use("b0") == 0)

    def test_without_dispatch_right_nothing_is_sent(self):
        self.start_components(lambda head, _: support.make_response(head))
        self.view.has_dispatch_right = False
        for key in (None, KEY):
            outcome = self.submit_and_wait(key=key)
            self.assertEqual((type(outcome), outcome.status), (outcomes.NotRun, 503))
        self.assertEqual(self.backends[0].heads, [])
        self.assertEqual(self.log_writer.records, [])

    def test_no_key_is_claimed_while_older_claims_may_be_lost(self):
        self.start_components(lambda head, _: support.make_response(head))
        self.view.is_key_history_lost = True
        outcome = self.submit_and_wait(method="POST", key=KEY)
        self.assertEqual((type(outcome), outcome.status), (outcomes.NotRun, 503))
        self.assertEqual(self.backends[0].heads, [])
        self.assertIsInstance(self.submit_and_wait(), outcomes.Answered)

    def test_leaving_server_gets_no_new_requests(self):
        self.start_components(lambda head, _: support.make_response(head))
        self.submit_and_wait()
        self.view.all_servers[0].is_usable = False
        self.pool.close_unusable_connections()
        self.assertEqual(self.pool.connection_count("sizing"), 0)
        self.assertIsInstance(self.submit_and_wait(wait_s=0.1), outcomes.NotRun)
        self.assertEqual(len(self.backends[0].heads), 1)

    def test_connections_stay_within_the_share(self):
        two_responders = [lambda head, _: support.make_response(head)] * 2
        self.start_components(*two_responders)
        self.view.connections_limit = 1
        submitted = [self.submit() for _ in range(6)]
        for request in submitted:
            self.assertEqual(self.wait_for_outcome(request).status, 200)
            self.assertLessEqual(self.pool.connection_count("sizing"), 1)

    def test_borrowed_slot_is_used_only_until_its_loan_ends(self):
        self.start_components(lambda *_: b"")
        self.view.all_servers[0].slots_share = 0
        self.pool.borrower.record_request(time.monotonic(), "loan", "s2", 1.0)
        self.pool.borrower.record_grant("loan", ["b0"])
        self.assertIsInstance(self.submit_and_wait(wait_s=1.5), outcomes.NotRun)
        self.pool.borrower.record_request(time.monotonic(), "next", "s2", 1.0)
        self.pool.borrower.record_grant("next", ["b0"])
        self.assertIsInstance(self.submit_and_wait(wait_s=0.2), outcomes.Unknown)
        self.assertEqual(self.pool.slots_in_use("b0"), 1)
        self.assertEqual(self.pool.units_in_use("slots/b0"), 0)

    def test_reserve_for_rush_is_a_part_of_own_and_borrowed_slots(self):
        self.start_components(lambda *_: b"")
        self.view.reserved_rush_percent = 50
        self.pool.borrower.record_request(time.monotonic(), "loan", "s2", 5.0)
        self.pool.borrower.record_grant("loan", ["b0", "b0"])
        running = [self.submit(wait_s=1.0) for _ in range(3)]
        self.loop.run_until(lambda: self.pool.slots_in_use("b0") == 2)
        rush = [self.submit(request_class="rush", wait_s=1.0) for _ in range(2)]
        self.loop.run_until(lambda: self.pool.slots_in_use("b0") == 4)
        for request in (*running[:2], *rush):
            self.assertIsInstance(self.wait_for_outcome(request), outcomes.Unknown)
        self.assertIsInstance(self.wait_for_outcome(running[2]), outcomes.NotRun)

    def test_lent_slot_is_not_used_and_not_released(self):
        self.start_components(lambda head, _: support.make_response(head))
        self.view.all_servers[0].slots_share = 2
        loan = {"duration_s": 20.0, "loan": "loan"}
        now = time.monotonic()
        self.assertEqual(self.pool.lender.lend(now, "sizing", 2, **loan), ["b0"])
        self.assertEqual(self.pool.units_in_use("slots/b0"), 1)
        self.view.all_servers[0].slots_share = 1
        self.assertIsInstance(self.submit_and_wait(wait_s=0.2), outcomes.NotRun)
        self.pool.lender.end_loan("loan")
        self.assertEqual(self.submit_and_wait().status, 200)

    def test_displaced_and_cancelled_waiting_requests_are_not_run(self):
        self.start_components(lambda *_: b"", queue_capacity=1)
        running = [self.submit(wait_s=0.5) for _ in range(2)]
        batch = self.submit(request_class="batch", wait_s=0.5)
        rush = self.submit(request_class="rush", wait_s=0.5)
        self.assertIsInstance(self.wait_for_outcome(batch), outcomes.NotRun)
        self.cancel(rush)
        self.assertIsInstance(self.wait_for_outcome(rush), outcomes.NotRun)
        self.cancel(running[0])
        for request in running:
            self.assertIsInstance(self.wait_for_outcome(request), outcomes.Unknown)

    def test_key_is_claimed_before_and_finished_after_the_run(self):
        self.start_components(lambda head, _: support.make_response(head, b"licence"))
        self.log_writer.is_holding = True
        request = self.submit(method="POST", key=KEY)
        self.loop.run_until(lambda: self.log_writer.held)
        self.assertEqual(self.backends[0].heads, [])
        self.log_writer.decide_held()
        self.loop.run_until(lambda: self.log_writer.held)
        self.assertEqual(self.record_types(), ["KeyClaimed", "KeyFinished"])
        self.assertEqual(self.outcomes.events, [])
        self.log_writer.decide_held()
        self.assertEqual(self.wait_for_outcome(request).body, b"licence")
        self.assertEqual(self.submit_and_wait(method="POST", key=KEY).body, b"licence")
        self.assertEqual(self.submit_and_wait(method="PUT", key=KEY).status, 422)
        self.assertEqual(len(self.backends[0].heads), 1)

    def test_simultaneous_repeats_run_once(self):
        self.start_components(lambda head, _: support.make_response(head, b"licence"))
        repeats = [self.submit(method="POST", key=KEY) for _ in range(5)]
        for request in repeats:
            self.assertEqual(self.wait_for_outcome(request).body, b"licence")
        self.assertEqual(len(self.backends[0].heads), 1)

    def test_request_waits_while_another_session_has_claimed_its_key(self):
        self.start_components(lambda head, _: support.make_response(head))
        digest = claims.request_digest(self.submit(method="POST"))
        self.claim_in_other_session(digest)
        waiting = self.submit(method="POST", key=KEY)
        outcome = self.submit_and_wait(method="POST", key=KEY, wait_s=0.1)
        self.assertEqual((type(outcome), outcome.status), (outcomes.Unknown, 504))
        self.view.keys.release(messages.KeyReleased(key=KEY, session="s2"))
        self.loop.fire("folded", 0, b"", [])
        self.assertEqual(self.wait_for_outcome(waiting).status, 200)

    def test_key_released_before_its_rejection_is_handled_is_claimed_again(self):
        """Guards against a 422 for a key that is free.

        The claim of another session is folded before the claim of the repeat, and is
        released before the repeat handles the rejection of its own claim.
        """
        self.start_components(lambda head, _: support.make_response(head))
        digest = claims.request_digest(self.submit(method="POST"))
        self.log_writer.is_holding = True
        request = self.submit(method="POST", key=KEY)
        self.loop.run_until(lambda: self.log_writer.held)
        self.log_writer.is_holding = False
        self.claim_in_other_session(digest)
        self.log_writer.decide_held()
        self.view.keys.release(messages.KeyReleased(key=KEY, session="s2"))
        self.assertEqual(self.wait_for_outcome(request).status, 200)

    def test_key_that_is_rejected_each_time_is_refused(self):
        """Guards against claiming an expired key again and again."""
        self.start_components(lambda head, _: support.make_response(head))
        issued = claims.issue_time(KEY)
        self.view.keys.expire(messages.KeysExpired(issued_before=issued + 1))
        outcome = self.submit_and_wait(method="POST", key=KEY)
        self.assertEqual((type(outcome), outcome.status), (outcomes.NotRun, 422))
        self.assertIn("expired", outcome.reason)
        self.assertEqual(self.record_types(), ["KeyClaimed"] * dispatcher.MAX_CLAIMS)

    def test_claim_of_an_ended_session_stays_unknown(self):
        self.start_components(lambda head, _: support.make_response(head))
        self.claim_in_other_session(claims.request_digest(self.submit(method="POST")))
        self.view.keys.mark_claims_unknown("s2")
        outcome = self.submit_and_wait(method="POST", key=KEY)
        self.assertIsInstance(outcome, outcomes.Unknown)

    def claim_in_other_session(self, digest):
        record = messages.KeyClaimed(
            key=KEY, session="s2", digest=digest, service="sizing", issued=1.0
        )
        self.assertEqual(self.view.keys.claim(record), "")

    def test_unsent_request_releases_its_key(self):
        self.start_components(lambda head, _: support.make_response(head))
        self.view.all_servers[0].is_usable = False
        outcome = self.submit_and_wait(method="POST", key=KEY, wait_s=0.2)
        self.assertIsInstance(outcome, outcomes.NotRun)
        self.assertEqual(self.record_types(), ["KeyClaimed", "KeyReleased"])
        self.loop.run_until(lambda: self.view.key(KEY) is None)
        self.view.all_servers[0].is_usable = True
        self.assertEqual(self.submit_and_wait(method="POST", key=KEY).status, 200)

    def test_key_is_not_claimed_again_before_its_release_is_decided(self):
        # Otherwise the late release would end the second claim while its request runs.
        self.start_components(lambda head, _: support.make_response(head))
        self.log_writer.is_down = True
        outcome = self.submit_and_wait(method="POST", key=KEY)
        self.assertEqual((type(outcome), outcome.status), (outcomes.NotRun, 503))
        self.log_writer.is_down = False
        outcome = self.submit_and_wait(method="POST", key=KEY, wait_s=0.2)
        self.assertIsInstance(outcome, outcomes.NotRun)
        self.assertEqual(self.record_types(), ["KeyClaimed", "KeyReleased"])

    def test_session_lost_between_claim_and_dispatch_sends_nothing(self):
        self.start_components(lambda head, _: support.make_response(head))
        self.log_writer.is_holding = True
        request = self.submit(method="POST", key=KEY)
        self.loop.run_until(lambda: self.log_writer.held)
        self.view.session = "s2"
        self.log_writer.decide_held()
        self.assertIsInstance(self.wait_for_outcome(request), outcomes.NotRun)
        self.assertEqual(self.backends[0].heads, [])

    def test_answer_is_given_at_the_deadline_even_if_not_yet_recorded(self):
        self.start_components(lambda head, _: support.make_response(head))
        request = self.submit(method="POST", key=KEY, wait_s=0.5)
        self.loop.run_until(lambda: self.log_writer.records)
        self.log_writer.is_holding = True
        self.assertEqual(self.wait_for_outcome(request).status, 200)
