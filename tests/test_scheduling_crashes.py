"""Tests of the attribution of executor crashes to tasks."""

import collections
import math
import random
import unittest

from cranberryport import codec
from cranberryport.scheduling import crashes, model, records
from tests import scheduling

# A task may be started at most this many times after three crashes (platform's rules).
STARTS_AFTER_THREE_CRASHES = 2
# Probability in each 0.07 s that some executor crashes without a task's fault.
RANDOM_CRASH_PROBABILITY = 0.01
# An executor that restarts under its id is away for so many rounds of 0.07 s.
DARK_ROUNDS_LIMIT = 15


class AttributionTest(unittest.TestCase):
    """Which task is given up after crashes."""

    def setUp(self):
        """Start two jobs on one executor."""
        self.harness = scheduling.CrashHarness()
        self.guilty, self.neighbour = scheduling.make_jobs(self.harness, 2)
        self.harness.start()
        self.assertIs(
            self.harness.executor_of(scheduling.first_task(self.guilty)),
            self.harness.executor_of(scheduling.first_task(self.neighbour)),
        )

    def _crash_guilty(self):
        self.harness.crash(self.harness.executor_of(scheduling.first_task(self.guilty)))

    def _record_crash_alone(self, task, age_s, *, host):
        """Record a crash under a run of a task without others."""
        run = model.Run(task=task, number=1, executor="e9", state=model.RUNNING)
        run.has_unanswered_start = age_s is None
        crashes.Crash([(run, age_s)], host=host).record()

    def test_first_crash_gives_up_no_task(self):
        """Guards against a job that fails because of its neighbour."""
        self._crash_guilty()
        self.assertEqual(self.guilty.state, model.ACTIVE)
        self.assertEqual(self.neighbour.state, model.ACTIVE)

    def test_task_that_crashes_executors_alone_is_given_up(self):
        """Guards against a task that is started again after every crash."""
        self._crash_guilty()
        crash_count = 1
        while self.guilty.state == model.ACTIVE and crash_count < 9:
            self.harness.start()
            self.harness.now += 0.01
            self._crash_guilty()
            crash_count += 1
            self.harness.list_all(1.0)
        self.assertEqual(self.guilty.state, model.FAILED)
        self.assertLessEqual(crash_count, 4)
        self.assertEqual(self.neighbour.state, model.ACTIVE)

    def test_crashes_on_one_host_do_not_give_up_a_task_at_its_second_crash(self):
        """Guards against a job that fails because of a faulty host."""
        task = scheduling.first_task(self.guilty)
        for _ in range(2):
            self._record_crash_alone(task, 0.01, host="127.1.0.1")
        self.assertFalse(task.crash_history.is_limit_reached)
        self._record_crash_alone(task, 0.01, host="127.1.0.2")
        self.assertTrue(task.crash_history.is_limit_reached)

    def test_crashes_after_the_start_do_not_convict_a_task_at_once(self):
        """Guards against a sound job that fails by two unrelated crashes.

        Review case 12: the task was alone on both executors, for a second each.
        """
        task = scheduling.first_task(self.guilty)
        for number in range(crashes.CRASHES_LIMIT - 1):
            self._record_crash_alone(task, 1.0, host=f"127.1.0.{number}")
            self.assertFalse(task.crash_history.is_limit_reached)
        self._record_crash_alone(task, 1.0, host="127.1.0.9")
        self.assertTrue(task.crash_history.is_limit_reached)

    def test_two_crashes_stop_no_other_task_of_a_serving_job(self):
        """Guards against sound tasks that are stopped as executors crash by chance."""
        harness = scheduling.CrashHarness(count=8)
        step = scheduling.make_step(3, is_lasting=True, spread=1)
        (job,) = scheduling.make_jobs(harness, 1, step)
        for _ in range(2):
            while not scheduling.first_task(job).runs:
                harness.start()
                harness.list_all(0.2)
            harness.start()
            harness.list_all(1.0)
            harness.crash(harness.executor_of(scheduling.first_task(job)))
        harness.process()
        self.assertEqual(job.state, model.ACTIVE)
        states = {run.state for task in job.tasks() for run in task.runs}
        self.assertEqual(states, {model.RUNNING})

    def test_task_is_not_given_up_for_executors_that_may_have_left(self):
        """Guards against jobs that fail without a crash."""
        task = scheduling.first_task(self.guilty)
        self._record_crash_alone(task, 0.01, host="127.1.0.1")
        for _ in range(2 * crashes.CRASHES_LIMIT):
            self._record_crash_alone(task, None, host=None)
        self.assertFalse(task.crash_history.is_limit_reached)
        self.assertEqual(task.crash_history.crash_count, 1 + 2 * crashes.CRASHES_LIMIT)

    def test_run_that_has_lasted_is_no_suspect_beside_one_that_has_just_started(self):
        """Guards against lasting neighbours that are restarted in isolation."""
        self.harness.list_all(1.0)
        (late,) = scheduling.make_jobs(self.harness, 3)[2:]
        self.harness.start()
        executor = self.harness.executor_of(scheduling.first_task(late))
        self.assertIs(
            executor, self.harness.executor_of(scheduling.first_task(self.guilty))
        )
        self.harness.crash(executor)
        self.assertTrue(crashes.is_suspect(scheduling.first_task(late)))
        self.assertFalse(crashes.is_suspect(scheduling.first_task(self.guilty)))

    def test_run_that_has_lasted_for_long_is_not_counted(self):
        """Guards against long-running jobs that fail as executors crash over time."""
        self.harness.list_all(crashes.OLDEST_SUSPECT_S + 0.1)
        self._crash_guilty()
        self.assertIsNone(scheduling.first_task(self.guilty).crash_history)

    def test_task_that_crashes_executors_late_is_given_up(self):
        """Guards against a crash that counts only at the start of a run."""
        age_s = 1.5
        crash_count = 0
        while self.guilty.state == model.ACTIVE and crash_count < 9:
            self.harness.start()
            self.harness.list_all(age_s)
            self._crash_guilty()
            crash_count += 1
        self.assertEqual(self.guilty.state, model.FAILED)
        self.assertLessEqual(crash_count, 3 + STARTS_AFTER_THREE_CRASHES)

    def test_long_running_task_that_crashes_executors_is_given_up(self):
        """Guards against a task that is restarted however often it ends."""
        harness = scheduling.CrashHarness(count=4)
        step = scheduling.make_step(2, is_lasting=True)
        (job,) = scheduling.make_jobs(harness, 1, step)
        crash_count = 0
        while job.state != model.FAILED and crash_count < 9:
            harness.start()
            harness.now += 0.01
            guilty = scheduling.first_task(job)
            if guilty.runs:
                harness.crash(harness.executor_of(guilty))
                crash_count += 1
            harness.list_all(1.0)
        self.assertEqual(job.state, model.FAILED)
        self.assertLessEqual(crash_count, 4)

    def test_run_that_outlives_its_crashes_clears_them(self):
        """Guards against crashes that add up over the life of a long-running job."""
        self._crash_guilty()
        # The suspects of different jobs start one after the other.
        for _ in range(2):
            self.harness.start()
            self.harness.list_all(crashes.PROVEN_AGE_S + 0.1)
        self.assertIsNone(scheduling.first_task(self.guilty).crash_history)
        self.assertFalse(crashes.is_suspect(scheduling.first_task(self.neighbour)))

    def test_start_on_an_executor_without_power_is_no_crash(self):
        """Guards against a job that fails as a rack loses power.

        Day trouble-3 of scoica-ops: a long-running task lost its executor, and was
        started on another one of the rack before that counted as unreachable. Two
        crashes alone gave the job up, and ended its other tasks.
        """
        harness = scheduling.CrashHarness()
        (job,) = scheduling.make_jobs(harness, 1)
        harness.start()
        harness.crash(harness.executor_of(scheduling.first_task(job)))
        (run,) = harness.scheduler.commit(harness.plan(), harness.now)
        executor = harness.scheduler.executors[run.executor]
        executor.last_alive_at = harness.now - 0.1
        run.has_unanswered_start = True
        executor.record_failed_call(harness.now + 0.5, is_connection_closed=False)
        harness.scheduler.retire_executor(executor, scheduling.GONE, has_crashed=True)
        harness.process()
        self.assertEqual(job.state, model.ACTIVE)
        self.assertEqual(scheduling.first_task(job).crash_history.crash_count, 1)

    def test_end_of_a_draining_executor_is_no_crash(self):
        """Guards against tasks that are suspected as their executor leaves."""
        executor = self.harness.executor_of(scheduling.first_task(self.guilty))
        executor.state = "draining"
        self._crash_guilty()
        self.assertIsNone(scheduling.first_task(self.guilty).crash_history)

    def test_order_that_was_not_sent_is_not_blamed(self):
        """Guards against a task that is suspected without having been started."""
        harness = scheduling.CrashHarness()
        (job,) = scheduling.make_jobs(harness, 1)
        (run,) = harness.scheduler.commit(harness.plan(), harness.now)
        harness.crash(harness.scheduler.executors[run.executor])
        self.assertIsNone(scheduling.first_task(job).crash_history)


class LapseTest(unittest.TestCase):
    """Executors whose lease lapses before it shows whether they have crashed."""

    def setUp(self):
        """Let the lease of an executor with a run lapse."""
        self.harness = scheduling.CrashHarness()
        (job,) = scheduling.make_jobs(self.harness, 1)
        self.harness.start()
        self.task = scheduling.first_task(job)
        self.executor = self.harness.executor_of(self.task)
        self.executor.record_failed_call(self.harness.now, is_connection_closed=False)
        self.executor.lease_expires_at = self.harness.now + 4.0
        self.harness.now += 5.0
        self.harness.process()
        self.assertEqual(self.executor.runs, {})

    def test_executor_that_answers_again_has_not_crashed(self):
        """Guards against tasks that are suspected after a network partition."""
        self.executor.record_answer(self.harness.now)
        self.harness.scheduler.retire_executor(
            self.executor, scheduling.GONE, has_crashed=True
        )
        self.assertIsNone(self.task.crash_history)

    def test_restart_after_the_lapse_counts_as_a_crash(self):
        """Guards against crashes that are not counted on a silent executor."""
        self.harness.scheduler.on_executor_restarted(self.executor, 77)
        self.assertEqual(self.task.crash_history.crash_count, 1)

    def test_executor_that_is_not_listed_any_more_counts_without_a_host(self):
        """Guards against crashes that are lost where no list of instances exists."""
        self.harness.scheduler.mark_entry_removed(self.executor.id, self.harness.now)
        self.harness.process()
        self.assertEqual(self.task.crash_history.crash_count, 1)
        self.assertEqual(self.task.crash_history.sole_crash_hosts, [])


class RestartTest(unittest.TestCase):
    """Executors that restart under their id."""

    def setUp(self):
        """Plan the only task of a job."""
        self.harness = scheduling.CrashHarness(count=5)
        (self.job,) = scheduling.make_jobs(self.harness, 1)
        self.task = scheduling.first_task(self.job)

    def _send_start(self, *, is_answered):
        """Send the next start of the task; return its run and executor."""
        (run,) = self.harness.scheduler.commit(self.harness.plan(), self.harness.now)
        run.start_sent_at = run.start_ended_at = self.harness.now
        if is_answered:
            # The answer does not tell which life has given it.
            self.harness.scheduler.on_run_started(run, self.harness.now)
        else:
            run.has_unanswered_start = True
        return run, self.harness.scheduler.executors[run.executor]

    def _restart_and_list(self, executor, running=()):
        self.harness.now += 0.01
        self.harness.restart(executor)
        self.harness.list_new_life(executor, running)
        # The next run of the task starts on another host.
        executor.backoff_until = math.inf
        self.harness.process()

    def test_start_without_an_answer_is_not_repeated_after_the_crash(self):
        """Guards against one start that crashes each life of an executor."""
        run, executor = self._send_start(is_answered=False)
        self.harness.scheduler.on_executor_restarted(executor, 77)
        self.assertTrue(run.is_start_withdrawn)
        self.assertIsNone(self.task.crash_history)
        self.harness.list_new_life(executor)
        self.assertEqual(self.task.crash_history.crash_count, 1)
        self.assertTrue(crashes.is_suspect(self.task))
        self.assertEqual(self.task.runs, [])

    def test_run_that_the_new_life_lists_has_not_crashed_the_former_one(self):
        """Guards against a sound job that fails, as its run began after the crash."""
        for is_answered in (True, False):
            with self.subTest(is_answered=is_answered):
                self.setUp()
                for _ in range(crashes.SOLE_CRASHES_LIMIT):
                    run, executor = self._send_start(is_answered=is_answered)
                    key = (self.task.name, run.number)
                    self._restart_and_list(executor, [key])
                    self.assertIsNone(self.task.crash_history)
                    self.harness.now += 0.01
                    self.harness.list_runs(executor, [], [(1, *key, "stopped")])
                self.assertEqual(self.job.state, model.ACTIVE)

    def test_run_that_the_new_life_has_ended_has_not_crashed_the_former_one(self):
        """Guards against a short run that counts as it is over before the list."""
        run, executor = self._send_start(is_answered=True)
        self.harness.restart(executor)
        end = (1, self.task.name, run.number, "failed")
        self.harness.list_new_life(executor, finished=[end])
        self.assertIsNone(self.task.crash_history)

    def test_start_that_may_not_have_arrived_convicts_no_task(self):
        """Guards against a sound job that fails by starts which no life has got."""
        for _ in range(crashes.SOLE_CRASHES_LIMIT):
            _, executor = self._send_start(is_answered=False)
            self._restart_and_list(executor)
            self.harness.list_all(0.0)
        history = self.task.crash_history
        self.assertEqual(history.crash_count, crashes.SOLE_CRASHES_LIMIT)
        self.assertEqual(history.sole_crash_hosts, [])
        self.assertNotEqual(self.job.state, model.FAILED)

    def test_task_that_crashes_executors_before_any_list_is_given_up(self):
        """Guards against deadly tasks that no list has shown before the crash."""
        crash_count = 0
        while self.job.state != model.FAILED and crash_count < 9:
            _, executor = self._send_start(is_answered=True)
            self._restart_and_list(executor)
            self.harness.list_all(0.0)
            crash_count += 1
        self.assertEqual(crash_count, crashes.SOLE_CRASHES_LIMIT)

    def test_suspects_of_a_crash_are_judged_together(self):
        """Guards against a job that is convicted although another had a suspect."""
        other = self.harness.add_job(scheduling.make_job(job="f" * 16))
        listed, _ = self.harness.scheduler.commit(self.harness.plan(), self.harness.now)
        executor = self.harness.scheduler.executors[listed.executor]
        for task in (self.task, scheduling.first_task(other)):
            self.assertIs(self.harness.executor_of(task), executor)
            self.harness.scheduler.on_run_started(task.runs[0], self.harness.now)
        self.harness.list_runs(executor, [(self.task.name, 1)])
        self.harness.restart(executor)
        history = self.task.crash_history
        self.assertTrue(history.is_suspect)
        self.assertEqual((history.crash_count, history.sole_crash_hosts), (1, []))
        self.harness.list_new_life(executor)
        histories = [history, scheduling.first_task(other).crash_history]
        self.assertEqual([h.crash_count for h in histories], [1, 1])
        self.assertEqual([h.sole_crash_hosts for h in histories], [[], []])
        self.assertEqual(self.harness.scheduler.event_counts["executor_crashes"], 1)

    def test_only_suspect_is_convicted_once_the_others_are_shown(self):
        """Guards against a task that is never convicted beside later starts."""
        other = self.harness.add_job(scheduling.make_job(job="f" * 16))
        self.harness.scheduler.commit(self.harness.plan(), self.harness.now)
        executor = self.harness.executor_of(self.task)
        for task in (self.task, scheduling.first_task(other)):
            self.harness.scheduler.on_run_started(task.runs[0], self.harness.now)
        self.harness.list_runs(executor, [(self.task.name, 1)])
        self.harness.restart(executor)
        late = scheduling.first_task(other)
        self.harness.list_new_life(executor, [(late.name, 1)])
        history = self.task.crash_history
        self.assertEqual(history.sole_crash_hosts, [executor.address[0]])
        self.assertEqual(history.crash_count, 1)
        self.assertIsNone(late.crash_history)

    def test_task_that_outlives_a_crash_before_its_settlement_is_not_convicted(self):
        """Guards against a list that is not handled, and a conviction of the past."""
        other = self.harness.add_job(scheduling.make_job(job="f" * 16))
        self.harness.scheduler.commit(self.harness.plan(), self.harness.now)
        executor = self.harness.executor_of(self.task)
        late = scheduling.first_task(other)
        for task in (self.task, late):
            self.harness.scheduler.on_run_started(task.runs[0], self.harness.now)
        self.harness.list_runs(executor, [(self.task.name, 1)])
        self.harness.restart(executor)
        executor.backoff_until = math.inf
        self.harness.start()
        elsewhere = self.harness.executor_of(self.task)
        self.assertIsNot(elsewhere, executor)
        self.harness.now += crashes.PROVEN_AGE_S + 0.1
        self.harness.list_runs(elsewhere, [(self.task.name, 2)])
        self.assertIsNone(self.task.crash_history)
        self.harness.list_new_life(executor, [(late.name, 1)])
        self.assertIsNone(self.task.crash_history)

    def test_start_counts_for_one_crash(self):
        """Guards against a count for each restart before the first list."""
        _, executor = self._send_start(is_answered=True)
        for _ in range(3):
            self.harness.restart(executor)
        self.harness.list_new_life(executor)
        self.assertEqual(self.task.crash_history.crash_count, 1)
        self.assertEqual(self.task.crash_history.sole_crash_hosts, [])

    def test_executor_that_stays_away_after_its_restart_marks_suspects(self):
        """Guards against a suspect that is started elsewhere unmarked."""
        _, executor = self._send_start(is_answered=True)
        self.harness.restart(executor)
        self.harness.scheduler.retire_executor(
            executor, scheduling.GONE, has_crashed=True
        )
        history = self.task.crash_history
        self.assertTrue(history.is_suspect)
        self.assertEqual((history.crash_count, history.sole_crash_hosts), (1, []))

    def test_run_that_begins_after_its_instance_was_down_did_not_crash_it(self):
        """Guards against a sound task that is suspected as its instance was down."""
        run, executor = self._send_start(is_answered=False)
        self.harness.scheduler.on_instance_down(
            executor, scheduling.GONE, at=self.harness.now
        )
        self._restart_and_list(executor, [(self.task.name, run.number)])
        self.assertIsNone(self.task.crash_history)


class TakeoverTest(unittest.TestCase):
    """What a controller learned of crashes is known to its successors."""

    def _take_over(self, job, batch):
        """Return a harness whose scheduler has read the stored records of a job."""
        # The host of the first crash, as one on another host would give the job up.
        successor = scheduling.CrashHarness(count=1)
        copy = records.job_from_record(records.job_to_record(job))
        (crash_record,) = [
            codec.decode(codec.encode(record)) for record in batch.crash_records
        ]
        (progress,) = batch.progress_records
        successor.scheduler.restore_job(
            copy, progress, scheduling.NOW_UNIX_S, crash_record=crash_record
        )
        return successor, copy

    def test_successor_knows_the_crashes(self):
        """Guards against a count that starts anew with each controller."""
        harness = scheduling.CrashHarness()
        (job,) = scheduling.make_jobs(harness, 1)
        harness.start()
        harness.scheduler.commit(harness.scheduler.take_batch(), harness.now)
        harness.crash(harness.executor_of(scheduling.first_task(job)))
        successor, copy = self._take_over(job, harness.scheduler.take_batch())
        history = scheduling.first_task(copy).crash_history
        self.assertEqual(history.crash_count, 1)
        self.assertTrue(history.is_suspect)
        successor.start()
        successor.now += 0.01
        successor.crash(successor.executor_of(scheduling.first_task(copy)))
        batch = successor.scheduler.take_batch()
        self.assertEqual(batch.crash_records[0].tasks[0].crash_count, 2)

    def test_record_is_deleted_once_the_crashes_are_outlived(self):
        """Guards against records that remain in the store for good."""
        harness = scheduling.CrashHarness()
        (job,) = scheduling.make_jobs(harness, 1)
        harness.start()
        harness.crash(harness.executor_of(scheduling.first_task(job)))
        (record,) = harness.scheduler.take_batch().crash_records
        harness.start()
        harness.scheduler.take_batch()
        harness.list_all(1.0)
        batch = harness.scheduler.take_batch()
        self.assertEqual(batch.crash_records, [])
        self.assertEqual(batch.deleted_keys, [record.job])

    def test_executor_whose_restored_runs_are_gone_is_ignored(self):
        """Guards against an exception after a job is cancelled during a takeover."""
        harness = scheduling.CrashHarness()
        (job,) = scheduling.make_jobs(harness, 1)
        batch = harness.plan()
        successor = scheduling.CrashHarness(count=1)
        copy = records.job_from_record(records.job_to_record(job))
        (progress,) = batch.progress_records
        successor.scheduler.restore_job(copy, progress, scheduling.NOW_UNIX_S)
        successor.scheduler._remove_run(scheduling.first_task(copy).runs[0])
        successor.scheduler.remove_restored_runs(set())
        self.assertIsNone(scheduling.first_task(copy).crash_history)

    def test_executor_that_was_lost_during_the_takeover_counts(self):
        """Guards against crashes that no controller counts."""
        harness = scheduling.CrashHarness()
        (job,) = scheduling.make_jobs(harness, 1)
        batch = harness.plan()
        harness.scheduler.commit(batch, harness.now)
        successor = scheduling.CrashHarness(count=1)
        copy = records.job_from_record(records.job_to_record(job))
        (progress,) = batch.progress_records
        successor.scheduler.restore_job(copy, progress, scheduling.NOW_UNIX_S)
        successor.scheduler.remove_restored_runs(set())
        history = scheduling.first_task(copy).crash_history
        self.assertEqual((history.crash_count, history.sole_crash_hosts), (1, []))


def _draw_jobs(generator):
    """Return a harness, its jobs, and the names of the tasks that crash executors."""
    harness = scheduling.CrashHarness(count=generator.randint(3, 8), processors=8000)
    jobs = scheduling.make_jobs(
        harness,
        12,
        scheduling.make_step(3),
        scheduling.make_step(2, depends_on=(0,)),
    )
    guilty = {
        generator.choice(list(job.tasks())).name for job in generator.sample(jobs, 3)
    }
    return harness, jobs, guilty


def _expected_states(jobs, guilty):
    """Return the final state by id of the job: only guilty tasks fail their jobs."""
    return {
        job.id: model.FAILED
        if any(name.startswith(job.id) for name in guilty)
        else model.COMPLETED
        for job in jobs
    }


class RandomDayTest(unittest.TestCase):
    """Crashing tasks among others, with executors that crash for other reasons."""

    def _play(self, seed):
        generator = random.Random(seed)
        harness, jobs, guilty = _draw_jobs(generator)
        crash_counts, late_starts = {}, {}
        for _ in range(400):
            if all(job.has_ended for job in jobs):
                break
            for run in harness.start():
                name = run.task.name
                if crash_counts.get(name, 0) >= 3:
                    late_starts[name] = late_starts.get(name, 0) + 1
            harness.now += 0.02
            self._crash_executors(harness, guilty, crash_counts)
            if generator.random() < RANDOM_CRASH_PROBABILITY:
                victim = generator.choice(list(harness.scheduler.executors.values()))
                harness.crash(victim)
            harness.list_all(0.05)
            self._finish_some(harness, generator)
        return jobs, guilty, late_starts

    def _crash_executors(self, harness, guilty, crash_counts):
        for executor in list(harness.scheduler.executors.values()):
            names = {
                run.task.name
                for run in executor.runs.values()
                if run.state == model.RUNNING and run.task.name in guilty
            }
            for name in names:
                crash_counts[name] = crash_counts.get(name, 0) + 1
            if names:
                harness.crash(executor)

    def _finish_some(self, harness, generator):
        for executor in list(harness.scheduler.executors.values()):
            for run in list(executor.runs.values()):
                number = executor.received_end_number + 1
                if run.state == model.STOPPING:
                    harness.finish(run, number, "stopped")
                elif run.state == model.RUNNING and generator.random() < 0.1:
                    harness.finish(run, number)

    def test_only_crashing_tasks_are_given_up_and_in_time(self):
        """Guards against limits that a mix of crashes defeats."""
        for seed in range(60):
            with self.subTest(seed=seed):
                jobs, guilty, late_starts = self._play(seed)
                states = {job.id: job.state for job in jobs}
                self.assertEqual(states, _expected_states(jobs, guilty))
                self.assertLessEqual(
                    max(late_starts.values(), default=0), STARTS_AFTER_THREE_CRASHES
                )


class RestartingExecutors:
    """Executors that restart under their ids some time after a crash.

    Some starts get no answer, some of these never arrive, and some that are under way
    at a crash are carried out by the next life, after an answer or without one.

    Parameters
    ----------
    harness : scheduling.CrashHarness
        Harness whose executors these are.
    generator : random.Random
        Draws what happens.
    guilty : set of str
        Names of the tasks that crash their executors.
    """

    def __init__(self, harness, generator, guilty):
        self._harness = harness
        self._generator = generator
        self._guilty = guilty
        # Runs of the present life, and of the next one, by executor.
        self._running = {id: [] for id in harness.scheduler.executors}
        # Rounds for which a crashed executor is away, or does not list its runs yet.
        self._dark_rounds = {}
        self._unlisted_rounds = {}
        self._end_numbers = collections.Counter()
        self.crash_counts = collections.Counter()

    def start(self):
        """Carry out the starts that are planned; return their runs."""
        harness = self._harness
        runs = harness.scheduler.commit(harness.plan(), harness.now)
        for run in runs:
            draw = self._generator.random()
            if draw < 0.8:
                harness.scheduler.on_run_started(run, harness.now)
            else:
                run.has_unanswered_start = True
            if draw < 0.9:
                self._running[run.executor].append(run)
        return runs

    def crash_some(self, started, probability):
        """Crash the executors of guilty tasks, and maybe another one."""
        for id, running in self._running.items():
            names = {run.task.name for run in running} & self._guilty
            if names and id not in self._dark_rounds:
                self.crash_counts.update(names)
                self._crash(id, [])
        if self._generator.random() < probability:
            id = self._generator.choice(list(self._running))
            late = [
                run
                for run in started
                if run in self._running[id] and self._generator.random() < 0.5
            ]
            if id not in self._dark_rounds:
                self._crash(id, late)

    def _crash(self, id, late):
        self._running[id] = late
        self._end_numbers[id] = 0
        self._dark_rounds[id] = self._generator.randint(1, DARK_ROUNDS_LIMIT)
        self._harness.scheduler.executors[id].record_failed_call(
            self._harness.now, is_connection_closed=True
        )

    def list_all(self):
        """Let all executors list their runs, some of which have ended."""
        for id, executor in self._harness.scheduler.executors.items():
            if id in self._dark_rounds:
                self._dark_rounds[id] -= 1
                if not self._dark_rounds[id]:
                    del self._dark_rounds[id]
                    self._harness.restart(executor)
                    is_late = self._generator.random() < 0.3
                    self._unlisted_rounds[id] = 2 if is_late else 0
                continue
            self._unlisted_rounds[id] = self._unlisted_rounds.get(id, 0) - 1
            if self._unlisted_rounds[id] < 0:
                self._list(executor)

    def _list(self, executor):
        running = self._running[executor.id]
        finished = []
        for run in list(running):
            is_stopped = run.state == model.STOPPING
            if is_stopped or self._generator.random() < 0.1:
                running.remove(run)
                self._end_numbers[executor.id] += 1
                number = self._end_numbers[executor.id]
                how = "stopped" if is_stopped else "done"
                finished.append((number, run.task.name, run.number, how))
        keys = [(run.task.name, run.number) for run in running]
        self._harness.list_new_life(executor, keys, finished)


class RandomRestartDayTest(unittest.TestCase):
    """Crashing tasks among others on executors that restart under their ids."""

    def _play(self, seed, crash_probability=RANDOM_CRASH_PROBABILITY):
        generator = random.Random(seed)
        harness, jobs, guilty = _draw_jobs(generator)
        executors = RestartingExecutors(harness, generator, guilty)
        for _ in range(1000):
            if all(job.has_ended for job in jobs):
                break
            started = executors.start()
            harness.now += 0.02
            executors.crash_some(started, crash_probability)
            harness.now += 0.05
            executors.list_all()
            harness.process()
        return jobs, guilty, executors.crash_counts

    def _check_days(self, **values):
        for seed in range(100):
            with self.subTest(seed=seed):
                jobs, guilty, crash_counts = self._play(seed, **values)
                states = {job.id: job.state for job in jobs}
                self.assertEqual(states, _expected_states(jobs, guilty))
                # Starts that never arrive are none.
                self.assertLessEqual(
                    max(crash_counts.values(), default=0),
                    3 + STARTS_AFTER_THREE_CRASHES,
                )

    def test_only_crashing_tasks_are_given_up_and_in_time(self):
        """Guards against limits that restarts defeat, or that restarts exceed."""
        self._check_days()

    def test_many_unrelated_crashes_give_up_no_sound_job(self):
        """Guards against crashes that convict by coincidence as they come often."""
        for probability in (0.03, 0.05):
            with self.subTest(probability=probability):
                self._check_days(crash_probability=probability)
