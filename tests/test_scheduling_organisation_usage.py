"""Tests for cranberryport.scheduling.organisation_usage."""

import unittest

from cranberryport.scheduling import model, organisation_usage, records
from tests import scheduling


class RunsThatCountTest(unittest.TestCase):
    """Runs that may be in progress, in every state."""

    def setUp(self):
        """Make an executor and start a job of two tasks of one core."""
        self.harness = scheduling.SchedulerHarness()
        self.job = self.harness.add_job(
            scheduling.make_red_job(scheduling.make_step(2))
        )

    def _use(self, harness=None):
        harness = harness or self.harness
        return organisation_usage.measure(harness.scheduler, harness.now)

    def test_planned_run_counts(self):
        """Guards against two decisions that both use the same part of the limit."""
        self.harness.plan()
        self.assertEqual(self._use(), {"red": [2000, 200, 0]})

    def test_unanswered_run_counts(self):
        """Guards against a start that is carried out late, above the limit."""
        self.harness.scheduler.commit(self.harness.plan(), self.harness.now)
        self.assertEqual(self._use(), {"red": [2000, 200, 0]})

    def test_run_counts_until_its_end_is_listed(self):
        """Guards against counting a stopped run as ended while it still runs."""
        runs = self.harness.start()
        self.harness.scheduler.cancel_job(self.job.id, scheduling.NOW_UNIX_S)
        self.assertEqual(self._use(), {"red": [2000, 200, 0]})
        self.harness.finish(runs[0], 1, "stopped")
        self.assertEqual(self._use(), {"red": [1000, 100, 0]})

    def test_withdrawn_start_counts(self):
        """Guards against a start that reaches an executor after its restart."""
        executor = self.harness.executors[0]
        self.harness.scheduler.commit(self.harness.plan(), self.harness.now)
        self.harness.scheduler.on_executor_restarted(executor, 2)
        self.assertEqual(self._use(), {"red": [2000, 200, 0]})

    def test_best_effort_task_counts_in_full(self):
        """Guards against best-effort tasks without a limit."""
        harness = scheduling.SchedulerHarness()
        step = scheduling.make_step(is_filling=True, accelerators=0)
        harness.add_job(scheduling.make_red_job(step))
        harness.start()
        self.assertEqual(self._use(harness), {"red": [1000, 100, 0]})

    def test_runs_that_have_certainly_ended_do_not_count(self):
        """Guards against an organisation that is held back by runs that are gone."""
        executor = self.harness.executors[0]
        self.harness.start()
        executor.lease_expires_at = self.harness.now + 1.0
        self.harness.now += 2.0
        self.harness.scheduler.process_due_events(
            self.harness.now, scheduling.NOW_UNIX_S
        )
        self.assertEqual(self._use(), {})

    def test_job_without_organisation_does_not_count(self):
        """Guards against a limit on the jobs of public routes."""
        harness = scheduling.SchedulerHarness()
        harness.add_job(scheduling.make_job())
        harness.start()
        self.assertEqual(self._use(harness), {})


class UnknownRunsTest(unittest.TestCase):
    """Runs that an executor lists but the scheduler does not have."""

    def setUp(self):
        """Make an executor that lists runs of a job that has ended."""
        self.harness = scheduling.SchedulerHarness()
        self.executor = self.harness.executors[0]
        self.executor.lease_expires_at = self.harness.now + 4.0
        step = scheduling.make_step(4, accelerators=1)
        job = self.harness.add_job(scheduling.make_red_job(step))
        self.harness.scheduler.cancel_job(job.id, scheduling.NOW_UNIX_S)
        self.name = f"{job.id}.0.0.3"

    def _use(self):
        return organisation_usage.measure(self.harness.scheduler, self.harness.now)

    def test_listed_run_of_a_known_job_counts(self):
        """Guards against starts beside runs that the scheduler gave up too early."""
        self.harness.list_runs(self.executor, [(self.name, 1)])
        self.assertEqual(self._use(), {"red": [1000, 100, 1]})
        self.harness.list_runs(self.executor)
        self.assertEqual(self._use(), {})

    def test_run_on_a_silent_executor_counts_until_the_lease_expires(self):
        """Guards against an executor that is lost and blocks an organisation."""
        self.harness.list_runs(self.executor, [(self.name, 1)])
        self.executor.lease_expires_at = self.harness.now + 1.0
        self.assertEqual(self._use(), {"red": [1000, 100, 1]})
        self.harness.now += 1.0
        self.assertEqual(self._use(), {})

    def test_run_of_an_unknown_job_does_not_count(self):
        """Guards against an error on a name that cannot be resolved."""
        names = ("cccccccccccccccc.0.0.0", "odd", f"{self.name[:16]}.0.7.0")
        self.harness.list_runs(self.executor, [(name, 1) for name in names])
        self.assertEqual(self._use(), {})


class TakeoverTest(unittest.TestCase):
    """Runs that a previous controller has started."""

    def setUp(self):
        """Start four tasks on two executors, and let another controller take over."""
        self.harness = scheduling.SchedulerHarness(count=2, processors=2000)
        self.job = self.harness.add_job(
            scheduling.make_red_job(scheduling.make_step(4))
        )
        self.runs = self.harness.start()

    def _take_over(self):
        successor = scheduling.SchedulerHarness(
            count=0, previous_leases_expire_at=104.0
        )
        copy = records.job_from_record(records.job_to_record(self.job))
        progress = records.progress_to_record(self.job)
        successor.scheduler.restore_job(copy, progress, scheduling.NOW_UNIX_S)
        return successor

    def _use(self, harness):
        return organisation_usage.measure(harness.scheduler, harness.now)

    def test_runs_on_executors_that_were_not_found_yet_count(self):
        """Guards against starts above the limit while some executors are silent."""
        successor = self._take_over()
        self.assertEqual(self._use(successor), {"red": [4000, 400, 0]})
        executor = successor.scheduler.add_or_update_executor(
            scheduling.make_executor("e1", processors=2000), successor.now
        )
        self.assertEqual(self._use(successor), {"red": [4000, 400, 0]})
        successor.list_runs(executor)
        self.assertEqual(self._use(successor), {"red": [2000, 200, 0]})

    def test_runs_count_until_all_previous_orders_have_ended(self):
        """Guards against an organisation that stays held back after a takeover."""
        successor = self._take_over()
        successor.scheduler.on_executors_read()
        orders_end_at = 104.0 + 12.0 + 10.7
        for now, use in (
            (orders_end_at - 0.1, {"red": [4000, 400, 0]}),
            (orders_end_at + 0.1, {}),
        ):
            successor.scheduler.process_due_events(now, scheduling.NOW_UNIX_S)
            self.assertEqual(self._use(successor), use)

    def test_runs_of_a_job_that_had_ended_count(self):
        """Guards against starts beside runs of a job cancelled before the takeover.

        Its executors were silent, so that the stops have not reached them.
        """
        self.harness.scheduler.cancel_job(self.job.id, scheduling.NOW_UNIX_S)
        successor = self._take_over()
        self.assertEqual(self._use(successor), {"red": [4000, 400, 0]})
        executor = successor.add_executor("e1", processors=2000)
        for run in list(executor.runs.values()):
            successor.scheduler.on_stop_confirmed(run, successor.now)
        successor.now += 0.1
        successor.list_runs(executor)
        self.assertEqual(self._use(successor), {"red": [2000, 200, 0]})

    def test_restored_run_of_an_ended_job_is_stopped(self):
        """Guards against a run that goes on although its job was cancelled."""
        self.harness.scheduler.cancel_job(self.job.id, scheduling.NOW_UNIX_S)
        successor = self._take_over()
        executor = successor.scheduler.add_or_update_executor(
            scheduling.make_executor("e1", processors=2000), successor.now
        )
        listed = [(r.task.name, 1) for r in self.runs if r.executor == "e1"]
        unknown = successor.list_runs(executor, listed)
        successor.scheduler.process_due_events(successor.now, scheduling.NOW_UNIX_S)
        stops = successor.scheduler.take_pending_stops()
        self.assertEqual(unknown, [])
        self.assertEqual(
            {(r.task.name, r.state) for r in stops},
            {(name, model.STOPPING) for name, _ in listed},
        )

    def test_ended_job_is_stored_again_once_its_runs_have_ended(self):
        """Guards against successors that count runs which ended long ago."""
        self.harness.scheduler.cancel_job(self.job.id, scheduling.NOW_UNIX_S)
        self.harness.scheduler.take_batch()
        numbers = {"e1": 0, "e2": 0}
        for run in self.runs:
            numbers[run.executor] += 1
            self.harness.finish(run, numbers[run.executor], "stopped")
        batch = self.harness.scheduler.take_batch()
        self.assertEqual([r.tasks for r in batch.progress_records], [[]])
