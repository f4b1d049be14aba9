"""Tests of the division of executors between suspected and other tasks."""

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

    def _assert_jobs_are_apart(self, harness):
        """Check that the unproven runs on each executor belong to one job."""
        for executor in harness.scheduler.executors.values():
            jobs = {
                run.task.job.id
                for run in executor.runs.values()
                if not crashes.is_proven(run.task, harness.now - run.confirmed_at)
            }
            self.assertLessEqual(len(jobs), 1)

    def test_suspects_of_different_jobs_are_restarted_apart(self):
        """Guards against a second crash that takes all suspects of the first."""
        harness = scheduling.CrashHarness(count=9)
        tasks = self._suspects(harness, 9)
        started = set()
        for _ in range(3):
            runs = harness.start()
            self.assertEqual(len(runs), 3)
            started |= {run.task for run in runs}
            self._assert_jobs_are_apart(harness)
            harness.list_all(crashes.PROVEN_AGE_S + 0.1)
        self.assertEqual(started, set(tasks))

    def test_more_suspects_than_executors_are_kept_wait(self):
        """Guards against executors that all crash, in a small pool."""
        harness = scheduling.CrashHarness(count=3)
        tasks = self._suspects(harness, 9)
        harness.start()
        self.assertEqual(sum(bool(task.runs) for task in tasks), 1)

    def test_few_suspects_are_restarted_alone(self):
        """Guards against crashes that are attributed to no task."""
        harness = scheduling.CrashHarness(count=9)
        tasks = self._suspects(harness, 3)
        harness.start()
        self.assertEqual(len({harness.executor_of(task).id for task in tasks}), 3)

    def test_second_crash_of_a_suspect_convicts_its_job(self):
        """Guards against a second crash that is attributed to no job."""
        harness = scheduling.CrashHarness(count=9)
        tasks = self._suspects(harness, 9)
        harness.start()
        (guilty,) = [task for task in tasks if task.runs][:1]
        harness.crash(harness.executor_of(guilty))
        self.assertEqual(len(guilty.crash_history.sole_crash_hosts), 1)
        for _ in range(3):
            harness.list_all(crashes.PROVEN_AGE_S + 0.1)
            harness.start()
            if guilty.runs:
                break
        harness.crash(harness.executor_of(guilty))
        self.assertEqual(guilty.job.state, model.FAILED)
        self.assertEqual(
            [task.job.state for task in tasks if task is not guilty],
            [model.ACTIVE] * 8,
        )

    def test_suspect_is_not_kept_on_the_host_of_its_crash(self):
        """Guards against five crashes of a task, as a second host has to convict it.

        The executor restarts under its id, and was reserved again for its id.
        """
        harness = scheduling.CrashHarness(count=5)
        (job,) = scheduling.make_jobs(harness, 1)
        task = scheduling.first_task(job)
        hosts = set()
        for _ in range(2):
            harness.start()
            executor = harness.executor_of(task)
            hosts.add(executor.address[0])
            harness.list_runs(executor, [(task.name, task.runs[0].number)])
            harness.now += 0.01
            harness.restart(executor)
            harness.list_new_life(executor)
            harness.process()
        self.assertEqual(len(hosts), 2)
        self.assertEqual(job.state, model.FAILED)

    def test_crash_under_several_tasks_of_one_job_convicts_the_job(self):
        """Guards against five crashes for each job with several suspects."""
        harness = scheduling.CrashHarness(count=4)
        (job,) = scheduling.make_jobs(harness, 1, scheduling.make_step(3))
        for _ in range(2):
            harness.start()
            harness.now += 0.01
            harness.crash(harness.executor_of(scheduling.first_task(job)))
            harness.list_all(crashes.PROVEN_AGE_S + 0.1)
        self.assertEqual(job.state, model.FAILED)

    def test_gang_of_suspects_with_more_members_than_executors_is_started(self):
        """Guards against a gang that stands still for ever while room is free.

        Each member waited for an executor of its own.
        """
        harness = scheduling.CrashHarness(count=2)
        step = scheduling.make_step(3, is_gang=True)
        (job,) = scheduling.make_jobs(harness, 1, step)
        harness.start()
        harness.crash(harness.executor_of(scheduling.first_task(job)))
        self.assertEqual(len(harness.start()), 3)

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

    def test_unproven_runs_belong_to_one_job_while_tasks_are_suspected(self):
        """Guards against a dozen new suspects at each crash of an executor.

        Seen on varied days of scoica-ops with many crashing tasks: suspects came faster
        than they could be isolated.
        """
        harness = scheduling.CrashHarness(count=2)
        self._suspects(harness, 1)
        harness.start()
        jobs = [
            harness.add_job(scheduling.make_job(scheduling.make_step(4), job=name * 16))
            for name in "ef"
        ]
        started = {run.task.job for run in harness.start()}
        self.assertEqual(started, {jobs[0]})
        self._assert_jobs_are_apart(harness)
        harness.list_all(crashes.PROVEN_AGE_S + 0.01)
        self.assertEqual({run.task.job for run in harness.start()}, {jobs[1]})

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
