"""Tests for cranberryport.control.executor_link."""

import time
import unittest
import unittest.mock

from cranberryport.control import call_losses, executor_link
from cranberryport.platform import executors
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

    def test_repeated_start_uses_the_clock_of_the_restarted_executor(self):
        """Guards against a start whose deadline refers to the clock before the restart.

        The clock starts anew, so the start would stay valid for too long.
        """
        self.harness.scheduler.on_executor_restarted(self.executor, 6)
        self.client.starts.pop()[2](executors.NoResponse(reason="closed"))
        self.timers.run()
        self.assertEqual(self.client.starts, [])
        self.executor.update_clock(1000, self.harness.now)
        self.run_.start_expires_at = self.harness.now + 1e9
        self.timers.run()
        ((number, deadline_ms, _),) = self.client.starts
        self.assertEqual(number, self.run_.number)
        self.assertNotEqual(deadline_ms, 9000)

    def test_refusal_after_an_unanswered_start_does_not_prove_that_it_did_not_run(self):
        """Guards against a second run of a task that was done.

        Seen in the sweep of scoica-ops-large with 298 instances: the response to a
        start came too late, the run ended meanwhile, and its repetition was refused.
        """
        now = self.harness.now
        self.run_.start_expires_at = now + 2.0
        self.client.starts.pop()[2](executors.NoResponse(reason="timeout"))
        refusal = executors.ExecutorResponse(is_accepted=False, reason="room")
        self.link._on_start(self.run_, refusal)
        self.assertEqual(self.run_.task.runs, [self.run_])
        done = [(1, self.run_.task.name, self.run_.number, "done")]
        self.harness.list_runs(self.executor, (), done)
        self.assertTrue(self.run_.task.is_done)

    def test_refused_start_that_was_never_carried_out_is_given_up_in_time(self):
        """Guards against a task that waits for a run that does not exist."""
        now = self.harness.now
        self.run_.start_expires_at = now + 2.0
        self.client.starts.pop()[2](executors.NoResponse(reason="timeout"))
        refusal = executors.ExecutorResponse(is_accepted=False, reason="room")
        self.link._on_start(self.run_, refusal)
        self.harness.list_runs(self.executor, requested_at=now + 1.9)
        self.assertTrue(self.run_.task.runs)
        self.harness.list_runs(self.executor, requested_at=now + 2.1)
        self.assertFalse(self.run_.task.runs)

    def test_refusal_after_a_failed_connect_frees_the_task_at_once(self):
        """Guards against a delay where nothing can have been carried out."""
        self.client.starts.pop()[2](executors.NoResponse(reason="connect"))
        refusal = executors.ExecutorResponse(is_accepted=False, reason="room")
        self.link._on_start(self.run_, refusal)
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
