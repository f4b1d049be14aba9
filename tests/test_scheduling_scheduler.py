"""Tests for cranberryport.scheduling.scheduler."""

import unittest

from cranberryport.scheduling import model, records
from tests import scheduling


class StoringTest(unittest.TestCase):
    """Nothing is sent or acknowledged before it is stored."""

    def test_start_is_sent_only_after_its_record_is_stored(self):
        """Guards against a start that a successor would not know of."""
        harness = scheduling.SchedulerHarness()
        harness.add_job(scheduling.make_job())
        batch = harness.plan()
        self.assertEqual([run.state for run in batch.planned_runs], [model.PLANNED])
        self.assertEqual(batch.progress_records[0].tasks[0][7], [[1, "e1"]])
        starts = harness.scheduler.commit(batch, harness.now)
        self.assertEqual([run.state for run in starts], [model.ORDERED])

    def test_end_is_acknowledged_only_after_its_record_is_stored(self):
        """Guards against ends that the executor forgets before they are stored."""
        harness = scheduling.SchedulerHarness()
        harness.add_job(scheduling.make_job())
        (run,) = harness.start()
        harness.finish(run, 1)
        executor = harness.executors[0]
        self.assertEqual(executor.acknowledged_end, 0)
        harness.scheduler.commit(harness.plan(), harness.now)
        self.assertEqual(executor.acknowledged_end, 1)

    def test_executor_with_unacknowledged_ends_is_not_empty(self):
        """Guards against moving an instance that still holds the only copy of ends.

        Seen on brazos trouble-1: the controller lost the store, moved an executor whose
        ends were not stored, and its successor started the tasks a second time.
        """
        harness = scheduling.SchedulerHarness()
        harness.add_job(scheduling.make_job())
        (run,) = harness.start()
        harness.finish(run, 1)
        executor = harness.executors[0]
        self.assertFalse(executor.runs)
        self.assertFalse(executor.is_empty)
        harness.scheduler.commit(harness.plan(), harness.now)
        self.assertTrue(executor.is_empty)

    def test_end_of_a_job_is_told_only_after_it_is_stored(self):
        """Guards against a job told as completed that a successor runs again."""
        harness = scheduling.SchedulerHarness()
        job = harness.add_job(scheduling.make_job())
        (run,) = harness.start()
        harness.finish(run, 1)
        self.assertEqual(harness.scheduler.job_state(job.id), model.ACTIVE)
        harness.scheduler.commit(harness.plan(), harness.now)
        self.assertEqual(harness.scheduler.job_state(job.id), model.COMPLETED)

    def test_cancelled_run_is_not_sent_after_storing(self):
        """Guards against a start that follows the acknowledged cancel."""
        harness = scheduling.SchedulerHarness()
        job = harness.add_job(scheduling.make_job())
        batch = harness.plan()
        harness.scheduler.cancel_job(job.id, scheduling.WALL)
        self.assertEqual(harness.scheduler.commit(batch, harness.now), [])
        self.assertEqual(harness.scheduler.job_state(job.id), model.CANCELLED)


class ProgressTest(unittest.TestCase):
    """Jobs go on as their tasks end."""

    def test_step_waits_for_the_steps_before_it(self):
        """Guards against a start before all tasks of earlier steps are done."""
        harness = scheduling.SchedulerHarness()
        first = scheduling.make_step(2)
        second = scheduling.make_step(1, depends_on=(0,))
        job = harness.add_job(scheduling.make_job(first, second))
        runs = harness.start()
        self.assertEqual([run.task.step_number for run in runs], [0, 0])
        harness.finish(runs[0], 1)
        self.assertEqual(harness.start(), [])
        harness.finish(runs[1], 2)
        (last,) = harness.start()
        self.assertEqual(last.task.name, f"{job.id}.0.1.0")
        harness.finish(last, 3)
        self.assertEqual(job.state, model.COMPLETED)

    def test_end_that_is_listed_again_counts_once(self):
        """Guards against counting a failure twice."""
        harness = scheduling.SchedulerHarness(attempts=2)
        job = harness.add_job(scheduling.make_job())
        (run,) = harness.start()
        harness.finish(run, 1, "failed")
        harness.finish(run, 1, "failed")
        self.assertEqual(job.state, model.ACTIVE)
        (again,) = harness.start()
        self.assertEqual(again.number, 2)
        harness.finish(again, 2, "failed")
        self.assertEqual(job.state, model.FAILED)
        self.assertEqual(harness.start(), [])

    def test_job_of_an_unknown_queue_keeps_its_attempts(self):
        """Guards against a job shown as failed after fewer runs than it may have.

        Seen on a hunted day of brazos: a controller without configuration took one
        failure for the last.
        """
        harness = scheduling.SchedulerHarness()
        for attempts, state in ((0, model.ACTIVE), (1, model.FAILED)):
            job = scheduling.make_job(job=f"{attempts:016x}", attempts=attempts)
            job.queue = "dropped"
            harness.add_job(job)
            (run,) = harness.start()
            executor = harness.executors[0]
            harness.finish(run, executor.received_end + 1, "failed")
            self.assertEqual(job.state, state)
            harness.scheduler.cancel_job(job.id, scheduling.WALL)

    def test_lasting_task_is_started_again_however_it_ends(self):
        """Guards against a lasting task that stays away after it failed."""
        harness = scheduling.SchedulerHarness(attempts=1)
        job = harness.add_job(
            scheduling.make_job(scheduling.make_step(is_lasting=True))
        )
        for number in range(1, 5):
            (run,) = harness.start()
            harness.finish(run, number, "failed" if number % 2 else "lapsed")
        self.assertEqual(job.state, model.ACTIVE)

    def test_repeated_hand_in_stays_one_job(self):
        """Guards against a second run of a job that is handed in again."""
        harness = scheduling.SchedulerHarness()
        harness.add_job(scheduling.make_job())
        self.assertEqual(len(harness.start()), 1)
        self.assertFalse(harness.scheduler.add_job(scheduling.make_job(), 0.0))
        self.assertEqual(harness.start(), [])

    def test_occurrences_start_when_they_are_due(self):
        """Guards against early starts of jobs that recur."""
        harness = scheduling.SchedulerHarness()
        job = scheduling.make_job(
            first_due=scheduling.WALL + 1, interval_s=2.0, repeats=2
        )
        harness.add_job(job)
        self.assertEqual(harness.start(), [])
        harness.scheduler.process_due_events(harness.now, scheduling.WALL + 1.1)
        (first,) = harness.start()
        self.assertEqual(first.task.name, f"{job.id}.0.0.0")
        harness.finish(first, 1)
        self.assertEqual(job.state, model.ACTIVE)
        harness.scheduler.process_due_events(harness.now, scheduling.WALL + 3.1)
        (second,) = harness.start()
        harness.finish(second, 2)
        self.assertEqual(job.state, model.COMPLETED)


class GangTest(unittest.TestCase):
    """Tasks that work only together."""

    def _bench(self):
        harness = scheduling.SchedulerHarness(count=2, processors=2000)
        step = scheduling.make_step(3, is_gang=True)
        return harness, harness.add_job(scheduling.make_job(step))

    def test_members_start_together_with_one_number(self):
        """Guards against a gang of which a part waits for the others."""
        harness, _ = self._bench()
        runs = harness.start()
        self.assertEqual([run.number for run in runs], [1, 1, 1])

    def test_gang_without_room_starts_no_member(self):
        """Guards against members that hold room while others find none."""
        harness = scheduling.SchedulerHarness(count=1, processors=2000)
        harness.add_job(scheduling.make_job(scheduling.make_step(3, is_gang=True)))
        self.assertEqual(harness.start(), [])

    def test_one_end_stands_for_all_members(self):
        """Guards against a gang that is run again after it was done."""
        harness, job = self._bench()
        runs = harness.start()
        harness.finish(runs[0], 1)
        self.assertEqual(job.state, model.COMPLETED)

    def test_gang_starts_again_once_all_members_are_gone(self):
        """Guards against a new member beside an old one."""
        harness, _ = self._bench()
        runs = harness.start()
        harness.finish(runs[0], 1, "failed")
        self.assertEqual(harness.start(), [])
        harness.finish(
            runs[1], 2 if runs[1].executor == runs[0].executor else 1, "broken"
        )
        self.assertEqual(harness.start(), [])
        numbers = {executor.id: executor.received_end for executor in harness.executors}
        harness.finish(runs[2], numbers[runs[2].executor] + 1, "broken")
        self.assertEqual([run.number for run in harness.start()], [2, 2, 2])


class LeaseTest(unittest.TestCase):
    """Runs on executors that do not answer."""

    def test_task_waits_until_the_lease_has_lapsed(self):
        """Guards against a second run while the first one may go on."""
        harness = scheduling.SchedulerHarness(count=2)
        harness.add_job(scheduling.make_job())
        (run,) = harness.start()
        executor = harness.scheduler.executors[run.executor]
        executor.extend_lease(harness.now, 4.0)
        harness.now += 4.0
        harness.scheduler.process_due_events(harness.now, scheduling.WALL)
        self.assertEqual(harness.start(), [])
        harness.now += 0.4
        harness.scheduler.process_due_events(harness.now, scheduling.WALL)
        (again,) = harness.start()
        self.assertEqual(again.number, 2)
        self.assertNotEqual(again.executor, run.executor)

    def test_lapse_allows_for_a_slow_clock_of_the_executor(self):
        """Guards against a second run while the executor's clock runs 2 % slow."""
        executor = scheduling.make_executor()
        executor.update_clock(5000, 100.0)
        deadline_ms = executor.extend_lease(100.0, 4.0)
        self.assertEqual(deadline_ms, 9000)
        self.assertFalse(executor.is_lease_expired(100.0 + 4.0 * 1.02))

    def test_answer_that_was_not_read_yet_comes_before_the_lapse(self):
        """Guards against a second run of a task whose end has arrived already.

        Seen on the grown brazos (trouble-1): a busy controller read its answers after
        the lease, and started two tasks again that were listed as done.
        """
        harness = scheduling.SchedulerHarness(count=2)
        job = harness.add_job(scheduling.make_job())
        (run,) = harness.start()
        executor = harness.scheduler.executors[run.executor]
        executor.extend_lease(harness.now, 4.0)
        executor.list_requested_at = harness.now
        harness.now += 10.0
        harness.scheduler.process_due_events(harness.now, scheduling.WALL)
        self.assertEqual(harness.start(), [])
        executor.list_requested_at = None
        harness.finish(run, 1)
        self.assertEqual(job.state, model.COMPLETED)

    def test_unanswered_start_waits_for_its_deadline(self):
        """Guards against a second run while the first start may be carried out."""
        harness = scheduling.SchedulerHarness(count=2)
        harness.add_job(scheduling.make_job())
        (run,) = harness.scheduler.commit(harness.plan(), harness.now)
        executor = harness.scheduler.executors[run.executor]
        harness.now += 1.0
        harness.list_runs(executor)
        self.assertEqual(harness.start(), [])
        harness.now += 1.5
        harness.list_runs(executor)
        self.assertEqual(len(harness.start()), 1)

    def test_run_missing_in_an_older_list_is_not_lost(self):
        """Guards against a second run when list and start cross on the way."""
        harness = scheduling.SchedulerHarness()
        harness.add_job(scheduling.make_job())
        requested_at = harness.now - 0.1
        (run,) = harness.start()
        harness.list_runs(harness.executors[0], requested_at=requested_at)
        self.assertIn(run, run.task.runs)

    def test_start_without_an_answer_survives_a_restart_of_its_executor(self):
        """Guards against a task that runs on the restarted executor and elsewhere.

        The start may arrive after the restart.
        """
        harness = scheduling.SchedulerHarness(count=2)
        harness.add_job(scheduling.make_job())
        (run,) = harness.scheduler.commit(harness.plan(), harness.now)
        executor = harness.scheduler.executors[run.executor]
        harness.scheduler.on_executor_restarted(executor, 2)
        self.assertEqual(harness.start(), [])
        executor.update_clock(1000, harness.now)
        harness.list_runs(executor, [(run.task.name, run.number)])
        self.assertEqual(run.task.runs, [run])
        later = run.start_expires_at + 0.1
        harness.now = later
        harness.list_runs(executor)
        self.assertEqual(run.task.runs, [])

    def test_restart_under_the_same_id_ends_all_runs(self):
        """Guards against waiting for runs of an earlier life."""
        harness = scheduling.SchedulerHarness()
        harness.add_job(scheduling.make_job())
        (run,) = harness.start()
        executor = harness.executors[0]
        harness.scheduler.on_executor_restarted(executor, 2)
        self.assertEqual((run.task.runs, executor.acknowledged_end), ([], 0))

    def test_unknown_run_is_reported(self):
        """Guards against runs that go on for nobody."""
        harness = scheduling.SchedulerHarness()
        unknown = harness.list_runs(harness.executors[0], [("other.0.0.0", 3)])
        self.assertEqual(unknown, [("other.0.0.0", 3)])


class TakeoverTest(unittest.TestCase):
    """A successor goes on where the previous controller stopped."""

    def _handover(self):
        first = scheduling.SchedulerHarness()
        job = first.add_job(scheduling.make_job(scheduling.make_step(2)))
        runs = first.start()
        first.finish(runs[0], 1)
        first.scheduler.commit(first.plan(), first.now)
        progress = records.progress_to_record(job)
        second = scheduling.SchedulerHarness(count=0, previous_leases_expire_at=104.0)
        second.scheduler.restore_job(
            records.job_from_record(records.job_to_record(job)),
            progress,
            scheduling.WALL,
        )
        return second, runs

    def test_run_that_goes_on_is_kept(self):
        """Guards against a second run after a change of the controller."""
        second, runs = self._handover()
        executor = second.scheduler.add_or_update_executor(
            scheduling.make_executor("e1"), second.now
        )
        executor.update_clock(1, second.now)
        executor.has_accepted_epoch = True
        name = runs[1].task.name
        self.assertEqual(second.list_runs(executor, [(name, 1)]), [])
        self.assertEqual(second.start(), [])
        second.list_runs(executor, [], [(2, name, 1, "done")])
        second.scheduler.commit(second.plan(), second.now)
        self.assertEqual(
            second.scheduler.job_state(runs[1].task.job.id), model.COMPLETED
        )

    def test_run_on_an_executor_out_of_reach_waits_for_the_lease(self):
        """Guards against a second run on another executor."""
        second, _ = self._handover()
        second.add_executor("e2")
        second.scheduler.process_due_events(second.now, scheduling.WALL)
        self.assertEqual(second.start(), [])
        second.now = 104.1
        second.scheduler.process_due_events(second.now, scheduling.WALL)
        (run,) = second.start()
        self.assertEqual(run.number, 2)

    def test_run_on_an_executor_that_no_instance_has_is_lost_at_once(self):
        """Guards against waiting for the lease of an executor that is gone for good."""
        second, _ = self._handover()
        second.add_executor("e2")
        second.scheduler.drop_restored_runs({"e1", "e2"})
        self.assertEqual(second.start(), [])
        second.scheduler.drop_restored_runs({"e2"})
        self.assertEqual([run.number for run in second.start()], [2])
