"""Tests of the division of executors between suspected and other tasks."""

import collections
import unittest

from cranberryport.scheduling import crashes, isolation, model
from tests import scheduling


class IsolationTest(unittest.TestCase):
    """Where suspects and other tasks are started."""

    def _suspects(self, harness, count):
        jobs = scheduling.make_jobs(harness, count)
        harness.start()
        harness.crash(harness.executor_of(scheduling.first_task(jobs[0])))
        return [scheduling.first_task(job) for job in jobs]

    def _group_sizes(self, harness, tasks):
        counts = collections.Counter(harness.executor_of(task).id for task in tasks)
        return sorted(counts.values())

    def test_suspects_are_restarted_in_small_groups(self):
        """Guards against a second crash that takes all suspects of the first."""
        harness = scheduling.CrashHarness(count=9)
        tasks = self._suspects(harness, 9)
        harness.start()
        self.assertEqual(self._group_sizes(harness, tasks), [3, 3, 3])

    def test_more_suspects_than_fit_into_groups_wait(self):
        """Guards against large groups, in which a crash costs many tasks their work."""
        harness = scheduling.CrashHarness(count=3)
        tasks = self._suspects(harness, 9)
        harness.start()
        started = [task for task in tasks if task.runs]
        self.assertEqual(len(started), isolation.LARGEST_GROUP)

    def test_few_suspects_are_restarted_alone(self):
        """Guards against crashes that are attributed to no task."""
        harness = scheduling.CrashHarness(count=9)
        tasks = self._suspects(harness, 3)
        harness.start()
        self.assertEqual(self._group_sizes(harness, tasks), [1, 1, 1])

    def test_repeated_suspect_is_restarted_alone(self):
        """Guards against a second crash that convicts no task."""
        harness = scheduling.CrashHarness(count=9)
        tasks = self._suspects(harness, 9)
        harness.start()
        harness.crash(harness.executor_of(tasks[0]))
        harness.list_all(1.0)
        harness.start()
        repeated = [task for task in tasks if task.crash_history]
        self.assertEqual([t.crash_history.crash_count for t in repeated], [2, 2, 2])
        self.assertEqual(self._group_sizes(harness, repeated), [1, 1, 1])

    def test_other_tasks_are_not_started_beside_an_unproven_suspect(self):
        """Guards against new neighbours for a task that crashes its executors."""
        harness = scheduling.CrashHarness(count=2)
        (suspect,) = self._suspects(harness, 1)
        harness.start()
        other = harness.add_job(scheduling.make_job(job="f" * 16))
        harness.start()
        self.assertIsNot(
            harness.executor_of(scheduling.first_task(other)),
            harness.executor_of(suspect),
        )

    def test_other_tasks_are_started_beside_a_proven_suspect(self):
        """Guards against executors that stay reserved for one task."""
        harness = scheduling.CrashHarness(count=1)
        (suspect,) = self._suspects(harness, 1)
        harness.start()
        harness.list_all(crashes.PROVEN_AGE_S + 0.1)
        other = harness.add_job(scheduling.make_job(job="f" * 16))
        harness.start()
        self.assertIs(
            harness.executor_of(scheduling.first_task(other)),
            harness.executor_of(suspect),
        )

    def test_suspect_waits_for_an_executor_without_long_running_tasks(self):
        """Guards against long-running neighbours that lose their work once more."""
        harness = scheduling.CrashHarness(count=1)
        (suspect,) = self._suspects(harness, 1)
        lasting = harness.add_job(
            scheduling.make_job(scheduling.make_step(is_lasting=True), job="e" * 16)
        )
        (executor,) = harness.scheduler.executors.values()
        harness.scheduler.plan_run(scheduling.first_task(lasting), executor, 1)
        (run,) = harness.scheduler.commit(harness.scheduler.take_batch(), harness.now)
        harness.scheduler.on_run_started(run, harness.now)
        harness.list_all(1.0)
        harness.start()
        self.assertEqual(suspect.runs, [])
        ((step, count),) = harness.scheduler.unplaceable_tasks("pool", harness.now)
        self.assertEqual((step, count), (suspect.step, 1))
        harness.list_all(isolation.ISOLATION_WAIT_S + 0.1)
        harness.start()
        self.assertEqual(len(suspect.runs), 1)

    def test_few_tasks_start_at_once_on_one_executor_while_tasks_are_suspected(self):
        """Guards against a dozen new suspects at each crash of an executor.

        Seen on varied days of scoica-ops with many crashing tasks: suspects came faster
        than they could be isolated.
        """
        harness = scheduling.CrashHarness(count=2)
        self._suspects(harness, 1)
        harness.start()
        step = scheduling.make_step(9)
        job = harness.add_job(scheduling.make_job(step, job="f" * 16))
        started = [run for run in harness.start() if run.task.job is job]
        self.assertEqual(len(started), isolation.UNPROVEN_RUNS_LIMIT)
        harness.list_all(crashes.PROVEN_AGE_S + 0.01)
        self.assertGreater(len(harness.start()), 0)

    def test_other_tasks_do_not_wait_for_a_suspect_that_fits_nowhere(self):
        """Guards against a pool that is reserved for good."""
        harness = scheduling.CrashHarness(count=1)
        (suspect,) = self._suspects(harness, 1)
        suspect.step.memory = 1_000_000
        other = harness.add_job(scheduling.make_job(job="f" * 16))
        self.assertEqual(harness.start(), [])
        harness.list_all(isolation.LONGEST_WAIT_S + 0.1)
        self.assertEqual([run.task.job for run in harness.start()], [other])

    def test_gang_with_a_crashing_member_is_given_up(self):
        """Guards against gangs, which start all members again after every crash."""
        harness = scheduling.CrashHarness(count=6)
        (job,) = scheduling.make_jobs(harness, 1, scheduling.make_step(3, is_gang=True))
        guilty = list(job.tasks())[1]
        crash_count = 0
        while job.state != model.FAILED and crash_count < 9:
            harness.start()
            harness.now += 0.01
            if not guilty.runs:
                harness.list_all(0.1)
                continue
            executor = harness.executor_of(guilty)
            harness.crash(executor)
            crash_count += 1
            for member in job.tasks():
                for run in list(member.runs):
                    end_number = harness.executor_of(member).received_end_number + 1
                    harness.finish(run, end_number, "broken")
        self.assertEqual(job.state, model.FAILED)
        self.assertLessEqual(crash_count, 4)

    def test_member_of_a_gang_needs_a_permit_in_isolation_as_well(self):
        """Guards against a start without the ticket that its queue requires."""
        harness = scheduling.CrashHarness(count=6)
        (job,) = scheduling.make_jobs(harness, 1, scheduling.make_step(2, is_gang=True))
        harness.start()
        harness.crash(harness.executor_of(scheduling.first_task(job)))
        rules = harness.scheduler.queues["queue"]
        rules.advice_times = (0.1, 0.0, 3.0)
        self.assertEqual(harness.start(), [])
        self.assertTrue(harness.planner.take_advice_requests())
