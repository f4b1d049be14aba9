"""Tests of :mod:`cranberryport.callers.claims` with two dispatchers.

Both dispatchers read the same table of keys, which stands for the control state. The
tests play random interleavings of their steps.
"""

import random
import time
import unittest

import hypothesis
from circuits import BaseComponent, Manager, handler
from hypothesis import strategies

from cranberryport import outcomes
from cranberryport.callers import claims, dispatcher, lending, requests
from cranberryport.generated import messages
from cranberryport.http import connection
from cranberryport.state import fold_outcomes, keys
from cranberryport.stream import log_writer_events
from tests import fakes, support

KEY = "01930000-0000-7000-8000-000000000001"

# Each kind of step is a private method of EntryInstance. "timers" runs the timers due
# within 2.5 s and "late" all of them. "undecided" reports a record as undecided, but it
# is folded later; "lost" reports it as undecided and drops it.
STEP_KINDS = ["submit", "timers", "late", "undecided", "lost", "end_session", "cancel"]
STEP_KINDS += 3 * ["fold"] + 2 * ["send", "finish"]

STEP_LISTS = strategies.lists(
    strategies.tuples(
        strategies.sampled_from(STEP_KINDS),
        strategies.integers(0, 1),
        strategies.integers(0, 5),
    ),
    max_size=60,
)

# Random steps rarely reach the states of these two examples.
BOTH_CLAIM = [
    (kind, number, 3)
    for kind in ("submit", "fold", "send", "finish", "fold")
    for number in (0, 1)
]
REPEAT_AFTER_BROKEN_ANSWER = [
    ("submit", 0, 3),
    ("fold", 0, 3),
    ("send", 0, 3),
    ("finish", 0, 1),
    ("fold", 0, 3),
    ("submit", 1, 3),
    ("fold", 1, 3),
    ("send", 1, 3),
    ("finish", 1, 3),
]


class FakePool:
    """Connection pool that keeps the exchanges which a dispatcher starts."""

    channel = "pool"

    def __init__(self):
        self.borrower = lending.Borrower()
        self.waiting = []
        self.running = []

    def own_slots_in_use(self, _server):
        """Return 0: no slot is in use."""
        return 0

    def slots_total(self, _server, _deadline=None):
        """Return enough slots for all requests of a test."""
        return 9

    def is_connection_available(self, _service, _server):
        """Return True: a connection is always available."""
        return True

    def start_attempt(self, _service, server, exchange, on_done):
        """Keep the exchange until a step sends it."""
        self.waiting.append((server, exchange, on_done))
        return True


class EntryInstance(BaseComponent):
    """One entry instance: a dispatcher, its view and a log writer that keeps order."""

    channel = "log_writer"

    def __init__(self, name, key_table, runs):
        super().__init__()
        self.root = Manager()
        self.register(self.root)
        self.view = support.FakeView(support.FakeServer("b", 1))
        self.view.keys = key_table
        self.view.session = name
        self.log = []
        self.requests = []
        self.run_request_ids = set()
        self._all_runs = runs
        self.pool = FakePool()
        self.timers = fakes.FakeTimers()
        self.outcomes = support.EventRecorder("outcome", "frontend").register(self.root)
        self.failures = support.HandlerErrors().register(self.root)
        dispatcher.Dispatcher(
            timers=self.timers,
            pool=self.pool,
            view=self.view,
            data_centre="north",
            random=random.Random(1),
        ).register(self.root)

    @handler("append")
    def _on_append(self, record, ticket):
        self.log.append([record, ticket])

    def step(self, kind, value):
        """Do one step of the given kind if it is possible now."""
        getattr(self, "_" + kind)(value)
        fakes.run_until_idle(self.root)

    def _submit(self, value):
        now = time.monotonic()
        request = requests.CallerRequest(
            id=str(len(self.requests)),
            service="sizing",
            desk="d",
            request_class="rush",
            method="POST",
            target="/",
            headers=[],
            body=b"",
            deadline=now + 1000,
            arrived=now,
            key=KEY,
        )
        self.requests.append(request)
        self.root.fire(requests.submit(request), "dispatcher")

    def _fold(self, _value):
        if not self.log:
            return
        record, ticket = self.log.pop(0)
        table = self.view.keys
        fold = {
            messages.KeyClaimed: table.claim,
            messages.KeyReleased: table.release,
            messages.KeyFinished: table.finish,
        }[type(record)]
        has_session_ended = record.session != self.view.session
        reason = "the session is over" if has_session_ended else fold(record)
        place = {"offset": 0, "writer": record.session, "sequence": 1, "index": 0}
        outcome = fold_outcomes.Accepted(record=record, **place)
        if reason:
            outcome = fold_outcomes.Rejected(record=record, reason=reason, **place)
        self._fire_decided(ticket, outcome)

    def _fire_decided(self, ticket, outcome):
        if ticket is not None:
            self.root.fire(log_writer_events.decided(ticket, outcome), "dispatcher")

    def _undecided(self, value):
        if self.log:
            entry = self.log[value % len(self.log)]
            ticket, entry[1] = entry[1], None
            self._fire_decided(ticket, log_writer_events.Undecided(record=entry[0]))

    def _lost(self, value):
        if self.log:
            record, ticket = self.log.pop(value % len(self.log))
            self._fire_decided(ticket, log_writer_events.Undecided(record=record))

    def _send(self, value):
        if not self.pool.waiting:
            return
        attempt = self.pool.waiting.pop(value % len(self.pool.waiting))
        if value == 0 or not attempt[1].may_send():
            self._end_attempt(
                attempt,
                connection.ExchangeFailure(reason="refused", detail="", bytes_sent=0),
            )
        else:
            self.pool.running.append(attempt)

    def _finish(self, value):
        if not self.pool.running:
            return
        attempt = self.pool.running.pop()
        if value == 0:
            refused = [(dispatcher.REFUSED_HEADER, dispatcher.REFUSED_VALUE)]
            self._end_attempt(
                attempt, connection.Response(status=503, headers=refused, body=b"")
            )
            return
        self._all_runs.append(attempt[1].request_id)
        self.run_request_ids.add(attempt[1].request_id)
        if value == 1:
            self._end_attempt(
                attempt,
                connection.ExchangeFailure(reason="closed", detail="", bytes_sent=9),
            )
        else:
            body = b"licence %d" % len(self._all_runs)
            self._end_attempt(
                attempt, connection.Response(status=200, headers=[], body=body)
            )

    def _end_attempt(self, attempt, result):
        server, exchange, on_done = attempt
        exchange.result = result
        exchange.started_at = time.monotonic()
        exchange.connection = self.connection
        on_done(self.make_attempt(server), exchange)

    connection = type("Connection", (), {"connected_at": 0.0})

    @staticmethod
    def make_attempt(server):
        """Return an attempt with the attributes that the dispatcher reads."""
        return type("Attempt", (), {"server": server, "is_new_connection": True})

    def _timers(self, _value):
        self.timers.run(at_most_s=2.5)

    def _late(self, _value):
        self.timers.run()

    def _end_session(self, value):
        if value == 0:
            self.view.keys.mark_claims_unknown(self.view.session)
            self.view.session += "'"

    def _cancel(self, value):
        if self.requests:
            request = self.requests[value % len(self.requests)]
            self.root.fire(requests.cancel(request), "dispatcher")


class ClaimsTest(unittest.TestCase):
    """A request with a key runs at most once, even if records are lost or delayed."""

    @hypothesis.settings(derandomize=True, deadline=None, max_examples=300)
    @hypothesis.example(BOTH_CLAIM)
    @hypothesis.example(REPEAT_AFTER_BROKEN_ANSWER)
    @hypothesis.given(STEP_LISTS)
    def test_request_runs_at_most_once_and_outcomes_are_correct(self, steps):
        table, runs = keys.IdempotencyKeys(), []
        instances = [EntryInstance(name, table, runs) for name in "ab"]
        for kind, number, value in steps:
            instances[number].step(kind, value)
            other = instances[1 - number]
            other.root.fire(support.Event.create("folded", 0, b"", []), "*")
            fakes.run_until_idle(other.root)
            self.assertLessEqual(len(runs), 1)
        bodies = set()
        for instance in instances:
            self.assertEqual(instance.failures.errors, [])
            reported = [request for request, _ in instance.outcomes.events]
            self.assertEqual(len(reported), len(set(reported)))
            for request, outcome in instance.outcomes.events:
                if isinstance(outcome, outcomes.NotRun):
                    self.assertNotIn(request.id.encode(), instance.run_request_ids)
                elif isinstance(outcome, outcomes.Answered):
                    bodies.add(outcome.body)
        self.assertLessEqual(len(bodies), 1)

    def test_digest_separates_service_target_and_body(self):
        def digest(service, target, body):
            request = type("Request", (), {"method": "POST", "body": body})
            request.service, request.target = service, target
            return claims.request_digest(request)

        parts = [("a", "/b", b"c"), ("a", "/bc", b""), ("a/b", "", b"c")]
        self.assertEqual(len({digest(*part) for part in parts}), 3)
