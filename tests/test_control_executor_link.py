"""Tests for cranberryport.control.executor_link."""

import time
import unittest
import unittest.mock

from cranberryport.control import call_losses, executor_link
from cranberryport.platform import executors
from cranberryport.scheduling import scheduler, takeover
from tests import scheduling, scripted


class FakeClient:
    """Records starts, so that a test can answer them."""

    def __init__(self):
        self.starts = []
        self.stops = []
        self.lists = []

    def start_run(self, executor, run, *, deadline_ms, callback, **keywords):
        """Record a start."""
        self.starts.append((run.number, deadline_ms, callback))

    def stop_run(self, executor, task, run, *, may_send, **keywords):
        """Record a stop."""
        self.stops.append((task, run, may_send))

    def list_runs(self, executor, *, lease_end_ms, may_send, callback, **keywords):
        """Record a request for the list of runs."""
        self.lists.append((lease_end_ms, may_send, callback))


class ExecutorLinkTest(unittest.TestCase):
    """A start without an answer whose executor restarts under the same id."""

    def setUp(self):
        """Send a start that gets no answer."""
        self.harness = scheduling.SchedulerHarness(count=2)
        self.is_role_proven = True
        self.client = FakeClient()
        self.timers = scripted.FakeTimers()
        self.harness.add_job(scheduling.make_job())
        (self.run_,) = self.harness.scheduler.commit(
            self.harness.plan(), self.harness.now
        )
        self.executor = self.harness.scheduler.executors[self.run_.executor]
        self.executor.started_at_ms = 5
        self.link = executor_link.ExecutorLink(
            executor=self.executor,
            scheduler=self.harness.scheduler,
            client=self.client,
            timers=self.timers,
            epoch=1,
            lease_s=4.0,
            on_change=lambda: None,
            on_superseded=lambda: None,
            is_role_proven=lambda: self.is_role_proven,
        )
        self.run_.start_expires_at = float("inf")
        self.run_.deadline_ms = 9000
        self.link.start(self.run_)

    def test_start_is_not_repeated_in_another_life(self):
        """Guards against a start whose deadline refers to the clock before the restart.

        The clock starts anew, so the start would stay valid for too long. Repeated with
        a new deadline it could be on its way while the list of the new life, which
        lacks the run, gives it up.
        """
        self.harness.scheduler.on_executor_restarted(self.executor, 6)
        self.client.starts.pop()[2](executors.NoResponse(reason="closed"))
        self.timers.run()
        self.assertEqual(self.client.starts, [])
        self.executor.update_clock(1000, self.harness.now)
        self.run_.start_expires_at = self.harness.now + 1e9
        self.timers.run()
        self.link.start(self.run_)
        self.assertEqual(self.client.starts, [])
        self.assertIsNone(self.run_.deadline_ms)

    def test_refusal_after_an_unanswered_start_does_not_prove_that_it_did_not_run(self):
        """Guards against a second run of a task that was done.

        Seen in the sweep of scoica-ops-large with 298 instances: the response to a
        start came too late, the run ended meanwhile, and its repetition was refused.
        """
        now = self.harness.now
        self.link.start(self.run_)
        self.run_.start_expires_at = now + 2.0
        first, second = self.client.starts
        first[2](executors.NoResponse(reason="timeout"))
        second[2](executors.ExecutorResponse(is_accepted=False, reason="room"))
        self.assertEqual(self.run_.task.runs, [self.run_])
        done = [(1, self.run_.task.name, self.run_.number, "done")]
        self.harness.list_runs(self.executor, (), done)
        self.assertTrue(self.run_.task.is_done)

    def test_refused_start_that_was_never_carried_out_is_given_up_in_time(self):
        """Guards against a task that waits for a run that does not exist."""
        now = self.harness.now
        self.link.start(self.run_)
        self.run_.start_expires_at = now + 2.0
        first, second = self.client.starts
        first[2](executors.NoResponse(reason="timeout"))
        second[2](executors.ExecutorResponse(is_accepted=False, reason="room"))
        self.harness.list_runs(self.executor, requested_at=now + 1.9)
        self.assertTrue(self.run_.task.runs)
        self.harness.list_runs(self.executor, requested_at=now + 2.1)
        self.assertFalse(self.run_.task.runs)

    def test_refusal_after_a_failed_connect_frees_the_task_at_once(self):
        """Guards against a delay where nothing can have been carried out."""
        self.client.starts.pop()[2](executors.NoResponse(reason="connect"))
        refusal = executors.ExecutorResponse(is_accepted=False, reason="room")
        self.timers.run()
        self.client.starts.pop()[2](refusal)
        self.assertFalse(self.run_.task.runs)

    def test_dropped_run_is_not_started_again(self):
        """Guards against a task that runs on two executors.

        The start was repeated after the run had been dropped with its executor, so its
        task ran there and elsewhere.
        """
        self.harness.scheduler.remove_executor(self.executor, "gone")
        self.client.starts.pop()[2](executors.NoResponse(reason="closed"))
        self.timers.run()
        self.assertEqual(self.client.starts, [])

    def test_answer_from_before_a_restart_is_ignored(self):
        """Guards against a late answer that is taken for another restart."""
        self.harness.scheduler.on_executor_restarted(self.executor, 6)
        answer = executors.ExecutorResponse(
            is_accepted=True, clock_ms=7000, started_at_ms=5
        )
        self.client.starts.pop()[2](answer)
        self.assertEqual(self.executor.started_at_ms, 6)
        self.assertIsNone(self.run_.confirmed_at)

    def test_controller_without_proof_of_its_role_sends_nothing_that_binds(self):
        """Guards against a task that runs twice, on an executor that is cut off.

        Review case 1: a controller that was cut off from the store renewed leases for
        longer than its successor assumed.
        """
        self.is_role_proven = False
        self.client.starts.clear()
        self.link.start(self.run_)
        self.link.stop(self.run_)
        self.link.set_pace(self.run_, 50)
        lease_expires_at = self.executor.lease_expires_at
        self.link.open()
        self.assertEqual((self.client.starts, self.client.stops), ([], []))
        ((lease_end_ms, may_send, on_listed),) = self.client.lists
        self.assertEqual((lease_end_ms, may_send), (None, None))
        self.assertEqual(self.executor.lease_expires_at, lease_expires_at)
        on_listed(
            executors.ExecutorResponse(
                is_accepted=True,
                running=[
                    executors.RunningEntry(
                        task="unknown.0.0.0",
                        run=1,
                        checkpoint="",
                        progress_percent=0,
                        load=0,
                    )
                ],
            )
        )
        self.assertEqual(self.client.stops, [])

    def test_delayed_start_is_sent_once_the_role_is_proven_again(self):
        """Guards against a start that is given up for an outage of the store."""
        self.client.starts.clear()
        self.is_role_proven = False
        self.link.start(self.run_)
        self.timers.run()
        self.assertEqual(self.client.starts, [])
        self.is_role_proven = True
        self.timers.run()
        self.assertEqual(len(self.client.starts), 1)

    def test_calls_check_the_role_before_their_first_byte(self):
        """Guards against an order that waits for its connection while the role ends."""
        self.link.stop(self.run_)
        self.link.open()
        (_, _, may_stop), (_, may_renew, _) = self.client.stops[0], self.client.lists[0]
        self.is_role_proven = False
        self.assertFalse(may_stop() or may_renew())

    def test_list_that_cannot_be_handled_ends_no_link(self):
        """Guards against an executor that is not asked again after a malformed list."""
        self.link.open()
        scheduler_ = self.harness.scheduler
        with (
            unittest.mock.patch.object(scheduler_, "on_runs_listed") as handle,
            self.assertLogs(level="ERROR"),
        ):
            handle.side_effect = TypeError
            self.client.lists.pop()[2](executors.ExecutorResponse(is_accepted=True))
        self.timers.run()
        self.assertEqual(len(self.client.lists), 1)

    def test_call_that_was_held_back_is_no_silence_of_the_executor(self):
        """Guards against an executor that is given up although it was not called."""
        self.link.open()
        self.client.lists.pop()[2](executors.NoResponse(reason="refused"))
        self.assertIsNone(self.executor.unreachable_since)
        self.timers.run()
        self.assertEqual(len(self.client.lists), 1)


class LostAnswersTest(unittest.TestCase):
    """Long polls of an executor while answers are lost."""

    def setUp(self):
        """Open links to two executors that have runs."""
        self.harness = scheduling.SchedulerHarness(count=2)
        self.timers = scripted.FakeTimers()
        self.losses = call_losses.CallLosses()
        self.client = FakeClient()
        self.harness.add_job(scheduling.make_job())
        self.harness.scheduler.commit(self.harness.plan(), self.harness.now)
        self.links = []
        for executor in self.harness.scheduler.executors.values():
            link = executor_link.ExecutorLink(
                executor=executor,
                scheduler=self.harness.scheduler,
                client=self.client,
                timers=self.timers,
                epoch=1,
                lease_s=4.0,
                on_change=lambda: None,
                on_superseded=lambda: None,
                is_role_proven=lambda: True,
                losses=self.losses,
            )
            self.links.append(link)

    def test_lost_answers_shorten_the_long_polls_of_all_executors(self):
        """Guards against ends that stay unknown for 2 s after each lost answer.

        Seen on a day on which 7 % of the calls to executors got no answer: the steps of
        half of the jobs took 2 s longer than their slowest task.
        """
        now = time.monotonic()
        self.assertEqual(self.losses.long_poll_s(now), call_losses.BUSY_LONG_POLL_S)
        for link in self.links:
            link._on_no_response("timeout")
        self.assertEqual(self.losses.long_poll_s(now), call_losses.LOSSY_LONG_POLL_S)
        self.assertLess(
            call_losses.LOSSY_LONG_POLL_S + call_losses.LOSSY_LIST_TIMEOUT_S, 0.6
        )

    def test_one_silent_executor_is_no_loss_of_answers(self):
        """Guards against many short polls because one executor has crashed."""
        for _ in range(5):
            self.links[0]._on_no_response("timeout")
        self.assertFalse(self.losses.are_answers_lost(time.monotonic()))

    def test_long_polls_are_long_again_after_the_losses(self):
        """Guards against calls that are charged for without need."""
        self.losses.record_loss(10.0)
        self.losses.record_loss(10.1)
        self.assertTrue(self.losses.are_answers_lost(10.2))
        self.assertFalse(self.losses.are_answers_lost(10.0 + call_losses.WINDOW_S))

    def test_list_is_repeated_at_once_after_a_lost_answer(self):
        """Guards against an executor without new runs while the retry is delayed."""
        self.links[0]._on_no_response("timeout")
        self.assertEqual(self.timers.calls[-1].delay_s, 0.0)


class RestartedExecutorTest(unittest.TestCase):
    """Calls to an executor that has restarted under its id.

    Guards against runs that are given up, or taken for begun, by the answer of another
    life of the executor than the call was meant for.
    """

    def setUp(self):
        """Send a start for the known life, whose clock is at 60 s."""
        self.harness = scheduling.SchedulerHarness()
        self.client = FakeClient()
        self.timers = scripted.FakeTimers()
        self.superseded_count = 0
        self.harness.add_job(scheduling.make_job())
        (self.run_,) = self.harness.scheduler.commit(
            self.harness.plan(), self.harness.now
        )
        self.executor = self.harness.executors[0]
        self.executor.started_at_ms = 5
        self.executor.update_clock(60_000, time.monotonic())
        self.link = executor_link.ExecutorLink(
            executor=self.executor,
            scheduler=self.harness.scheduler,
            client=self.client,
            timers=self.timers,
            epoch=1,
            lease_s=4.0,
            on_change=lambda: None,
            on_superseded=self._count_superseded,
            is_role_proven=lambda: True,
        )
        self.run_.start_expires_at = time.monotonic() + 2.0

    def _count_superseded(self):
        self.superseded_count += 1

    def _start(self):
        self.link.start(self.run_)
        return self.client.starts.pop()[2]

    def _answer(self, clock_ms, **fields):
        return executors.ExecutorResponse(
            **({"is_accepted": True, "clock_ms": clock_ms} | fields)
        )

    def _restart(self):
        self.harness.scheduler.on_executor_restarted(self.executor, 6)

    def _list(self, *keys, **fields):
        """Answer the newest request for the list of runs."""
        rows = [
            executors.RunningEntry(
                task=task, run=run, checkpoint="", progress_percent=1, load=0
            )
            for task, run in keys
        ]
        self.client.lists.pop()[2](self._answer(100, running=rows, **fields))

    def test_run_that_the_known_life_has_begun_ends_with_it(self):
        """Guards against a task that waits although its run is certainly lost."""
        self._start()(self._answer(60_010))
        self.link.open()
        self._list((self.run_.task.name, 1), started_at_ms=5)
        self._restart()
        self.assertEqual(self.run_.task.runs, [])

    def test_start_that_another_life_has_confirmed_is_kept(self):
        """Guards against two runs at once.

        Issue 43: the restarted executor had confirmed a start before the controller
        learned of the restart, which then took the run for lost.
        """
        with self.assertLogs(level="INFO") as logs:
            self._start()(self._answer(70))
        self.assertIn("answer may be of another life", logs.output[0])
        self.assertEqual(logs.records[0].life_meant, 5)
        self.assertIsNone(self.run_.confirmed_at)
        self._restart()
        self.assertEqual(self.run_.task.runs, [self.run_])

    def test_list_is_requested_at_once_after_such_an_answer(self):
        """Guards against a restart that is known only after a long poll."""
        self.link.open()
        self.assertEqual(len(self.client.lists), 1)
        self._start()(self._answer(70))
        self.assertEqual(len(self.client.lists), 2)

    def test_clock_that_fits_proves_nothing(self):
        """Guards against two clocks that cannot be told apart.

        Issue 46: the clock of a new life may begin at any value.
        """
        self._start()(self._answer(60_010))
        self._restart()
        self.assertEqual(self.run_.task.runs, [self.run_])

    def test_clock_that_is_ahead_is_of_another_life(self):
        """Guards against a restart that is known only after a long poll."""
        self.link.open()
        self._start()(self._answer(70_000))
        self.assertIsNone(self.run_.confirmed_at)
        self.assertEqual(len(self.client.lists), 2)

    def test_earlier_start_without_an_answer_is_kept(self):
        """Guards against an order that the new life still carries out."""
        first, second = self._start(), self._start()
        first(executors.NoResponse(reason="timeout"))
        second(self._answer(60_010))
        self._restart()
        self.assertEqual(self.run_.task.runs, [self.run_])

    def test_answer_after_the_restart_is_known_confirms_nothing(self):
        """Guards against a run that a list of the new life seems to lack."""
        answer = self._start()
        self._restart()
        answer(self._answer(60_010))
        self.assertIsNone(self.run_.confirmed_at)
        self.assertEqual(self.run_.task.runs, [self.run_])

    def test_only_a_list_that_is_meant_for_the_new_life_gives_a_run_up(self):
        """Guards against an order that arrives after the list.

        Issue 43: the validity of a start was a time of the former clock, so that the
        new life carried it out 11 s later.
        """
        self._start()(executors.NoResponse(reason="timeout"))
        self.link.open()
        self._list(started_at_ms=6)
        self.assertEqual(self.run_.task.runs, [self.run_])
        self.assertFalse(self.executor.has_accepted_epoch)
        self._list(started_at_ms=6)
        self.assertEqual(self.run_.task.runs, [])
        self.assertTrue(self.executor.has_accepted_epoch)

    def test_calls_to_a_new_life_have_a_higher_token(self):
        """Guards against calls to a former life that are not refused."""
        tokens = []
        self.client.stop_run = lambda *a, token, **k: tokens.append(token)
        self.link.stop(self.run_)
        self._restart()
        self.link.stop(self.run_)
        later_epoch = takeover.order_token(2, 1)
        self.assertEqual(sorted({*tokens, later_epoch}), [*tokens, later_epoch])

    def test_refusal_of_a_call_to_a_former_life_does_not_end_the_role(self):
        """Guards against a controller that takes itself for superseded."""
        answer = self._start()
        self._restart()
        refusal = {"is_accepted": False, "reason": "fenced"}
        answer(self._answer(90, **refusal))
        self.assertEqual(self.superseded_count, 0)
        self.link.open()
        self._list(**refusal)
        self.assertEqual(self.superseded_count, 1)

    def test_lease_of_a_new_life_may_be_the_longest(self):
        """Guards against two runs while the executor is cut off.

        Issue 43: a renewal that was meant for the former life held the runs of the new
        one for 5.5 s, while the controller counted on 4 s.
        """
        self.link.open()
        self._list(started_at_ms=6)
        self._list(started_at_ms=6)
        self.assertGreater(
            self.executor.lease_expires_at,
            self.executor.last_listed_at + scheduler.LONGEST_LEASE_S,
        )

    def _cut_off(self):
        """Let the executor answer no more; return when its lease has expired."""
        cut_at = time.monotonic()
        self.executor.lease_expires_at = cut_at + 4.0
        self.executor.record_failed_call(cut_at, is_connection_closed=False)
        # The entry of the former life stays in the store.
        self.harness.scheduler.on_executors_read()
        return self.executor.lease_expires_at

    def _runs_at(self, at):
        self.harness.scheduler.process_due_events(at, scheduling.NOW_UNIX_S)
        return self.run_.task.runs

    def test_run_of_a_life_that_the_store_does_not_show_outlasts_the_former_lease(self):
        """Guards against two runs at once while a restarted executor is cut off.

        Issue 46: the new life had accepted a start before its first list was read. The
        run was given up as the lease of the former life ended.
        """
        self._start()(self._answer(60_010))
        lapsed_at = self._cut_off()
        self.assertEqual(self._runs_at(lapsed_at + 1.0), [self.run_])

    def test_known_run_ends_with_the_lease_beside_one_of_another_life(self):
        """Guards against tasks that wait for a start that has nothing to do with them.

        Issue 46: all runs were kept as long as one of them was.
        """
        self.harness.add_job(scheduling.make_job(job="b" * 16))
        (listed,) = self.harness.scheduler.commit(self.harness.plan(), self.harness.now)
        self.harness.list_runs(self.executor, [(listed.task.name, 1)])
        self._start()(self._answer(60_010))
        lapsed_at = self._cut_off()
        self.assertEqual(self._runs_at(lapsed_at), [self.run_])
        self.assertEqual(listed.task.runs, [])

    def test_start_without_an_answer_is_kept_until_no_life_can_run_it(self):
        """Guards against a start that an unknown life has carried out.

        An order is carried out 12 s after it was sent at the latest, and the longest
        lease is 10 s by a clock that runs 2 % slow.
        """
        self._start()(executors.NoResponse(reason="timeout"))
        self._cut_off()
        orders_end_at = self.executor.last_lease_sent_at + 12.0 + 10.2
        self.assertEqual(self._runs_at(orders_end_at), [self.run_])
        self.assertEqual(self._runs_at(orders_end_at + 1.0), [])

    def test_renewal_prolongs_what_an_unknown_life_may_run(self):
        """Guards against a renewal that another life carries out by its own clock."""
        self._start()(self._answer(60_010))
        started_at = self.executor.last_lease_sent_at
        self.link.open()
        self.assertGreater(self.executor.last_lease_sent_at, started_at)
        self.link.close()
        may_send = self.client.lists[0][1]
        sent_at = self.executor.last_lease_sent_at
        may_send()
        self.assertGreater(self.executor.last_lease_sent_at, sent_at)

    def test_start_expires_on_a_slow_clock_before_a_list_gives_it_up(self):
        """Guards against a start that is carried out after it was given up."""
        now = time.monotonic()
        self.executor.update_clock(60_000, now)
        self.run_.start_expires_at = now + 2.0
        deadlines = []
        self.client.start_run = lambda *a, deadline_ms, **k: deadlines.append(
            deadline_ms
        )
        self.link.start(self.run_)
        self.assertLessEqual(deadlines[0], 60_000 + 2000 * 0.98)

    def test_silent_executor_is_not_asked_to_delete_ends(self):
        """Guards against ends of the next life that it deletes before they are read."""
        self.executor.received_end_number = self.executor.acknowledged_end_number = 7
        end_numbers = []
        self.client.list_runs = lambda executor, *, end_number, callback, **k: (
            end_numbers.append(end_number),
            callbacks.append(callback),
        )
        callbacks = []
        self.link.open()
        callbacks.pop()(executors.NoResponse(reason="timeout"))
        self.timers.run()
        self.assertEqual(end_numbers, [7, 0])

    def test_lease_of_a_reused_address_is_not_renewed(self):
        """Guards against runs that wait for ever for an executor that is gone."""
        answer = self._answer(None, is_accepted=False, reason="other_instance")
        self.link.open()
        for _ in range(3):
            self.client.lists.pop()[2](answer)
            self.timers.run()
        self.assertIsNone(self.client.lists[0][0])
        self.assertIsNotNone(self.executor.unreachable_since)

    def test_start_that_another_executor_has_refused_is_given_up(self):
        """Guards against a task that waits although its start has done nothing."""
        self._start()(self._answer(None, is_accepted=False, reason="other_instance"))
        self.assertEqual(self.run_.task.runs, [])

    def test_line_about_an_unknown_run_names_the_known_runs_of_its_task(self):
        """Guards against logs that do not show that a task runs twice."""
        self.link.open()
        with self.assertLogs(level="INFO") as logs:
            self._list((self.run_.task.name, 7), started_at_ms=5)
        (line,) = (r for r in logs.records if r.getMessage() == "stopping unknown run")
        self.assertEqual(line.known_runs, [(1, self.executor.id)])

    def test_acknowledged_ends_are_named_until_they_are_deleted(self):
        """Guards against an acknowledgement that deletes the ends of a new life."""
        self.executor.received_end_number = self.executor.acknowledged_end_number = 7
        end_numbers = []
        requests = self.client.list_runs

        def list_runs(executor, *, end_number, **keywords):
            end_numbers.append(end_number)
            requests(executor, **keywords)

        self.client.list_runs = list_runs
        self.link.open()
        self._list(started_at_ms=5)
        self.timers.run()
        self.assertEqual(end_numbers, [7, 0])
