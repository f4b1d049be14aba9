"""Tests for cranberryport.scheduling.organisation_limits and its use by the planner."""

import hashlib
import random
import unittest

from cranberryport.scheduling import (
    model,
    organisation_limits,
    organisation_usage,
    organisations,
    packing,
    records,
)
from tests import scheduling


def use_of_red(harness):
    """Return processors, memory and accelerators that ``red`` uses."""
    usage = organisation_usage.measure(harness.scheduler, harness.now)
    return usage.get("red", [0, 0, 0])


def make_harness(count=1, *, lease_s=60.0, **limits):
    """Return a harness in which ``red`` has limits."""
    harness = scheduling.SchedulerHarness(count=count, accelerators=8)
    for executor in harness.executors:
        executor.lease_expires_at = harness.now + lease_s
    scheduling.set_limits(harness.scheduler, **limits)
    return harness


def add_red_jobs(harness, count, *steps):
    """Add jobs of ``red`` and return them."""
    return [
        harness.add_job(scheduling.make_red_job(*steps, job=f"{number:016x}"))
        for number in range(1, count + 1)
    ]


class LimitTest(unittest.TestCase):
    """Many tasks of one organisation wait, and there is room for all of them."""

    def _check_limited(self, step, expected, **limits):
        harness = make_harness(4, **limits)
        add_red_jobs(harness, 40, step)
        for _ in range(3):
            harness.start()
            self.assertEqual(use_of_red(harness), expected)

    def test_processors_stay_within_the_limit(self):
        """Guards against an organisation that takes the whole pool."""
        self._check_limited(
            scheduling.make_step(), [5000, 500, 0], processors_limit=5500
        )

    def test_memory_stays_within_the_limit(self):
        """Guards against a limit that holds only for processors."""
        self._check_limited(scheduling.make_step(), [3000, 300, 0], memory_limit=350)

    def test_accelerators_stay_within_the_limit(self):
        """Guards against a limit that leaves out accelerators."""
        step = scheduling.make_step(accelerators=2)
        self._check_limited(step, [2000, 200, 4], accelerators_limit=5)

    def test_tasks_of_one_step_stay_within_the_limit(self):
        """Guards against a limit that is checked once for each step."""
        self._check_limited(
            scheduling.make_step(40), [5000, 500, 0], processors_limit=5500
        )

    def test_best_effort_tasks_stay_within_the_limit(self):
        """Guards against best-effort tasks that count as free of charge."""
        step = scheduling.make_step(is_filling=True)
        self._check_limited(step, [5000, 500, 0], processors_limit=5500)

    def test_task_without_need_of_a_used_up_resource_waits_above_the_limit(self):
        """Guards against starts above a lowered limit that need only memory."""
        harness = make_harness(processors_limit=4000)
        add_red_jobs(harness, 4, scheduling.make_step())
        harness.start()
        scheduling.set_limits(harness.scheduler, processors_limit=2000)
        harness.add_job(scheduling.make_red_job(scheduling.make_step(processors=0)))
        self.assertEqual(harness.start(), [])

    def test_lowered_limit_prevents_starts_and_stops_nothing(self):
        """Guards against runs that are ended for a limit, and against more starts."""
        harness = make_harness(processors_limit=8000)
        add_red_jobs(harness, 12, scheduling.make_step())
        runs = harness.start()
        scheduling.set_limits(harness.scheduler, processors_limit=4000)
        for number, run in enumerate(runs, 1):
            self.assertEqual(harness.scheduler.take_pending_stops(), [])
            harness.finish(run, number)
            harness.start()
            self.assertEqual(use_of_red(harness)[0], max(8 - number, 4) * 1000)

    def test_large_task_starts_while_little_runs(self):
        """Guards against a task of more than half of the limit that never starts."""
        harness = make_harness(processors_limit=10_000)
        harness.add_job(scheduling.make_job(organisation="red"))
        harness.start()
        large = scheduling.make_step(processors=12_000)
        harness.add_job(scheduling.make_red_job(large))
        self.assertEqual(len(harness.start()), 1)

    def test_large_task_waits_while_half_of_the_limit_is_used(self):
        """Guards against two exceptions from the limit at the same time."""
        harness = make_harness(processors_limit=10_000)
        small = scheduling.make_step(processors=5000)
        harness.add_job(scheduling.make_job(small, organisation="red"))
        harness.start()
        harness.add_job(scheduling.make_red_job(scheduling.make_step(processors=6000)))
        self.assertEqual(harness.start(), [])

    def test_exception_for_a_large_task_holds_for_one_task(self):
        """Guards against all tasks of a step starting because little runs."""
        harness = make_harness(2, processors_limit=5000)
        add_red_jobs(harness, 3, scheduling.make_step(3, processors=8000))
        harness.start()
        self.assertEqual(use_of_red(harness)[0], 8000)

    def test_job_under_half_of_the_limit_starts_at_the_next_decision(self):
        """Guards against a job that is lost although there is capacity twice over."""
        harness = make_harness(processors_limit=6000)
        harness.add_job(
            scheduling.make_job(scheduling.make_step(2), organisation="red")
        )
        harness.start()
        job = harness.add_job(
            scheduling.make_red_job(scheduling.make_step(processors=7000))
        )
        harness.start()
        self.assertEqual(len(scheduling.first_task(job).runs), 1)

    def test_organisation_that_is_not_configured_has_no_limit(self):
        """Guards against jobs that wait because a configuration lacks their row."""
        harness = make_harness(processors_limit=1000)
        harness.add_job(scheduling.make_job(scheduling.make_step(9), organisation="x"))
        self.assertEqual(len(harness.start()), 9)


class GangLimitTest(unittest.TestCase):
    """Gangs, whose members start together and count as a whole."""

    def _start(self, count, **limits):
        harness = make_harness(2, **limits)
        gang = scheduling.make_step(count, is_gang=True)
        harness.add_job(scheduling.make_red_job(gang))
        return harness, len(harness.start())

    def test_gang_that_fits_only_as_a_whole_starts_as_a_whole(self):
        """Guards against a part of a gang that starts and waits for the rest."""
        harness, count = self._start(6, processors_limit=8000)
        self.assertEqual(count, 6)
        gang = scheduling.make_step(4, is_gang=True)
        harness.add_job(scheduling.make_job(gang, organisation="red"))
        self.assertEqual(harness.start(), [])

    def test_gang_starts_within_the_overshoot_while_little_runs(self):
        """Guards against an accepted gang that never starts.

        The rule allows 10 cores, a tenth more and one task, so 12.
        """
        self.assertEqual(self._start(12, processors_limit=10_000)[1], 12)

    def test_gang_beyond_the_overshoot_does_not_start(self):
        """Guards against a gang that passes the rule because nothing runs."""
        self.assertEqual(self._start(13, processors_limit=10_000)[1], 0)

    def test_gang_waits_until_its_organisation_has_room_for_the_whole(self):
        """Guards against the exception of one task being used for a whole gang."""
        harness = make_harness(2, processors_limit=10_000)
        add_red_jobs(harness, 1, scheduling.make_step(3))
        runs = harness.start()
        gang = scheduling.make_step(10, is_gang=True)
        harness.add_job(scheduling.make_red_job(gang))
        self.assertEqual(harness.start(), [])
        harness.finish(runs[0], 1)
        self.assertEqual(len(harness.start()), 10)

    def test_waiting_gang_does_not_delay_a_small_job_of_its_organisation(self):
        """Guards against a job lost behind a gang that has to wait."""
        harness = make_harness(2, processors_limit=10_000)
        add_red_jobs(harness, 1, scheduling.make_step(3))
        harness.start()
        gang = scheduling.make_step(12, is_gang=True)
        harness.add_job(scheduling.make_red_job(gang))
        small = harness.add_job(scheduling.make_job(organisation="red"))
        harness.start()
        self.assertEqual(len(scheduling.first_task(small).runs), 1)


class CanNeverRunTest(unittest.TestCase):
    """Steps that are refused when their job is submitted."""

    def setUp(self):
        """Make an organisation with a limit of 10 cores and 2 accelerators."""
        self.red = organisations.Organisation(
            name="red", processors_limit=10_000, accelerators_limit=2
        )

    def _reason(self, step, organisation=None, overshoot=0.1):
        steps = [scheduling.make_step(), step]
        organisation = organisation or self.red
        return organisation_limits.refusal_reason(steps, organisation, overshoot)

    def test_gang_wider_than_the_limit_can_never_run(self):
        """Guards against an accepted gang that waits for ever."""
        reason = self._reason(scheduling.make_step(13, is_gang=True))
        self.assertEqual(
            reason,
            "step 1 starts 13 tasks at once, which need 13 cores, 1300 MB of memory "
            "and 0 accelerators; the limits of organisation 'red' are 10 cores, 0 MB "
            "of memory and 2 accelerators (0 is no limit)",
        )

    def test_gang_within_the_overshoot_and_one_task_can_run(self):
        """Guards against the refusal of a gang that the rule allows."""
        self.assertIsNone(self._reason(scheduling.make_step(12, is_gang=True)))

    def test_overshoot_decides(self):
        """Guards against an entry instance and a planner that disagree."""
        gang = scheduling.make_step(12, is_gang=True)
        self.assertIsNotNone(self._reason(gang, overshoot=0.0))

    def test_each_limited_resource_decides(self):
        """Guards against a gang that never gets its accelerators."""
        gang = scheduling.make_step(4, is_gang=True, accelerators=1)
        self.assertIsNotNone(self._reason(gang))

    def test_single_large_task_and_many_small_ones_can_run(self):
        """Guards against the refusal of work that starts while little else runs."""
        self.assertIsNone(self._reason(scheduling.make_step(processors=64_000)))
        self.assertIsNone(self._reason(scheduling.make_step(500)))

    def test_job_without_a_limit_is_not_refused(self):
        """Guards against refusals where an organisation is not configured."""
        gang = scheduling.make_step(500, is_gang=True)
        self.assertIsNone(organisation_limits.refusal_reason([gang], None, 0.1))
        blue = organisations.Organisation(name="blue")
        self.assertIsNone(self._reason(gang, blue))

    def test_planner_starts_every_gang_that_is_not_refused(self):
        """Guards against an accepted gang that never starts, for random sizes."""
        numbers = random.Random(1)
        for _ in range(100):
            limits = {
                "processors_limit": numbers.choice((0, 7000, 9500, 16_000)),
                "memory_limit": numbers.choice((0, 900, 2000)),
            }
            gang = scheduling.make_step(
                numbers.randrange(1, 20),
                processors=numbers.choice((0, 700, 1000)),
                is_gang=True,
            )
            red = organisations.Organisation(name="red", **limits)
            harness = make_harness(4, **limits)
            harness.add_job(scheduling.make_red_job(gang))
            can_never_run = organisation_limits.can_never_run(gang, red, 0.1)
            self.assertEqual(harness.start() == [], can_never_run)


class CopyLimitTest(unittest.TestCase):
    """Copies and replacements of stragglers."""

    def _make_straggler(self, **step_values):
        harness = make_harness(2, processors_limit=2000)
        step = scheduling.make_step(2, **step_values)
        add_red_jobs(harness, 1, step)
        runs = harness.start()
        for run in runs:
            run.progressed_at = harness.now - 60.0
        harness.now += 1.0
        return harness, runs

    def test_copy_counts_and_waits_at_the_limit(self):
        """Guards against copies that bring an organisation above its limit."""
        harness, _ = self._make_straggler(may_copy=True)
        self.assertEqual(harness.start(), [])
        scheduling.set_limits(harness.scheduler, processors_limit=3000)
        harness.now += 1.0
        self.assertEqual(len(harness.start()), 1)

    def test_straggler_is_replaced_at_the_limit(self):
        """Guards against a stalled run that holds an organisation's limit for ever."""
        harness, _ = self._make_straggler()
        harness.start()
        self.assertTrue(harness.scheduler.take_pending_stops())

    def test_straggler_is_not_stopped_above_a_lowered_limit(self):
        """Guards against a run that is ended although its task could not restart."""
        harness, _ = self._make_straggler()
        scheduling.set_limits(harness.scheduler, processors_limit=1000)
        harness.start()
        self.assertEqual(harness.scheduler.take_pending_stops(), [])


class OthersTest(unittest.TestCase):
    """Others while an organisation waits at its limit."""

    def test_jobs_behind_it_start(self):
        """Guards against a queue that stops at an organisation at its limit."""
        harness = make_harness(processors_limit=2000)
        add_red_jobs(harness, 30, scheduling.make_step())
        job = harness.add_job(scheduling.make_job(organisation="blue"))
        harness.start()
        self.assertEqual(len(scheduling.first_task(job).runs), 1)

    def test_tasks_at_the_limit_are_not_compared_with_executors(self):
        """Guards against decisions that slow down with each task that waits."""
        harness = make_harness(8, processors_limit=2000)
        add_red_jobs(harness, 200, scheduling.make_step())
        calls = []
        original = packing.has_room
        try:
            packing.has_room = lambda *values: calls.append(1) or original(*values)
            harness.start()
        finally:
            packing.has_room = original
        self.assertEqual(len(calls), 2 * 8)

    def test_long_running_task_at_the_limit_calls_for_no_instance(self):
        """Guards against instances that nobody may use."""
        harness = make_harness(processors_limit=2000)
        step = scheduling.make_step(6, is_lasting=True)
        add_red_jobs(harness, 1, step)
        harness.start()
        harness.start()
        unplaceable = harness.scheduler.unplaceable_tasks("pool", harness.now)
        self.assertEqual(unplaceable, [])

    def test_unplaceable_tasks_call_for_instances_up_to_the_limit(self):
        """Guards against instances for several jobs that share one limit."""
        harness = make_harness(processors_limit=50_000)
        step = scheduling.make_step(2, processors=20_000, is_lasting=True)
        add_red_jobs(harness, 3, step)
        harness.start()
        unplaceable = harness.scheduler.unplaceable_tasks("pool", harness.now)
        self.assertEqual(sum(count for _, count in unplaceable), 2)

    def test_refused_step_does_not_hide_a_smaller_one_of_another(self):
        """Guards against a limit that counts as lack of room in the pool."""
        harness = make_harness(processors_limit=2000)
        add_red_jobs(harness, 3, scheduling.make_step(processors=1500))
        harness.add_job(scheduling.make_job(scheduling.make_step(processors=4000)))
        self.assertEqual(len(harness.start()), 2)

    def test_suspect_at_the_limit_reserves_no_executor(self):
        """Guards against executors kept for suspects that may not start."""
        harness = scheduling.CrashHarness(count=3)
        suspect = scheduling.make_red_job(scheduling.make_step())
        harness.add_job(suspect)
        (run,) = harness.start()
        harness.list_all(0.01)
        harness.crash(harness.scheduler.executors[run.executor])
        self.assertTrue(harness.scheduler.has_suspects)
        scheduling.set_limits(harness.scheduler, processors_limit=1000)
        other = scheduling.make_red_job(scheduling.make_step(), job="d" * 16)
        task = next(iter(suspect.tasks()))
        task.retry_at = harness.now + 1.0
        harness.add_job(other)
        harness.start()
        harness.now += 1.0
        harness.start()
        self.assertEqual(task.runs, [])
        self.assertIsNone(task.crash_history.waits_since)

    def test_suspects_stay_within_the_limit(self):
        """Guards against suspects that start beside the limit of other tasks."""
        harness = scheduling.CrashHarness(count=9)
        jobs = add_red_jobs(harness, 2, scheduling.make_step(2))
        (name,) = {run.executor for run in harness.start()}
        harness.list_all(0.01)
        harness.crash(harness.scheduler.executors[name])
        scheduling.set_limits(harness.scheduler, processors_limit=2000)
        for _ in range(4):
            harness.now += 0.3
            harness.start()
            self.assertLessEqual(use_of_red(harness)[0], 2000)
        tasks = [task for job in jobs for task in job.tasks()]
        self.assertEqual(sum(len(task.runs) for task in tasks), 2)


class FailureTest(unittest.TestCase):
    """Takeovers, lost answers and late orders."""

    def _take_over(self, harness, answering):
        successor = scheduling.SchedulerHarness(
            count=0, previous_leases_expire_at=harness.now + 4.6
        )
        successor.now = harness.now
        scheduling.set_limits(successor.scheduler, processors_limit=6000)
        for job in harness.scheduler.jobs.values():
            copy = records.job_from_record(records.job_to_record(job))
            progress = records.progress_to_record(job)
            successor.scheduler.restore_job(copy, progress, scheduling.NOW_UNIX_S)
        successor.scheduler.on_executors_read()
        for executor in harness.executors:
            found = successor.scheduler.add_or_update_executor(
                scheduling.make_executor(executor.id), successor.now
            )
            if executor.id in answering:
                found.update_clock(1000, successor.now)
                found.has_accepted_epoch = True
                found.extend_lease(successor.now, 60.0)
                successor.list_runs(found, list(executor.runs))
            else:
                found.record_failed_call(successor.now, is_connection_closed=False)
        return successor

    def test_takeover_with_a_third_of_the_executors_silent(self):
        """Guards against starts that replace runs which go on out of reach."""
        harness = make_harness(3, processors_limit=6000)
        add_red_jobs(harness, 20, scheduling.make_step(spread=1))
        runs = harness.start()
        silent = runs[0].executor
        answering = {e.id for e in harness.executors} - {silent}
        successor = self._take_over(harness, answering)
        self.assertEqual(successor.start(), [])
        self.assertEqual(use_of_red(successor)[0], 6000)
        lost_count = len(successor.scheduler.executors[silent].runs)
        successor.now += 5.0
        successor.scheduler.process_due_events(successor.now, scheduling.NOW_UNIX_S)
        self.assertEqual(successor.start(), [], "another life may run them")
        successor.now += 12.0 + 10.7
        successor.scheduler.process_due_events(successor.now, scheduling.NOW_UNIX_S)
        self.assertEqual(len(successor.start()), lost_count)

    def test_order_that_is_carried_out_late_has_its_place(self):
        """Guards against a start whose answer is lost, counted as not carried out."""
        harness = make_harness(processors_limit=2000)
        add_red_jobs(harness, 6, scheduling.make_step())
        starts = harness.scheduler.commit(harness.plan(), harness.now)
        for run in starts:
            run.has_unanswered_start = True
        harness.now += 1.0
        harness.list_runs(harness.executors[0])
        self.assertEqual(harness.start(), [])
        listed = [(run.task.name, 1) for run in starts]
        harness.list_runs(harness.executors[0], listed)
        self.assertEqual(harness.start(), [])
        self.assertEqual(use_of_red(harness)[0], 2000)

    def test_order_that_has_expired_frees_its_place(self):
        """Guards against an organisation held back by orders that were lost."""
        harness = make_harness(processors_limit=2000)
        add_red_jobs(harness, 6, scheduling.make_step())
        harness.scheduler.commit(harness.plan(), harness.now)
        harness.now += 2.5
        harness.list_runs(harness.executors[0])
        self.assertEqual(len(harness.start()), 2)


class ReportTest(unittest.TestCase):
    """Use and limits for the metrics."""

    def test_report_has_every_configured_organisation(self):
        """Guards against metrics that lack organisations without runs."""
        harness = make_harness(processors_limit=2000, accelerators_limit=1)
        add_red_jobs(harness, 6, scheduling.make_step())
        harness.start()
        report = organisation_limits.report(harness.scheduler, harness.now)
        self.assertEqual(
            report,
            {
                "red": ((2000, 200, 0), (2000, 0, 1)),
                "blue": ((0, 0, 0), (0, 0, 0)),
            },
        )


class UnchangedDecisionsTest(unittest.TestCase):
    """Decisions where no limit applies."""

    # Digest of the decisions of the code before organisations had limits (377ebba).
    DIGEST = "49ccb9ae3586e892"

    def _decisions(self, organisation, is_configured):
        numbers = random.Random(7)
        harness = scheduling.SchedulerHarness(count=4, accelerators=2)
        if is_configured:
            scheduling.set_limits(harness.scheduler, processors_limit=1000)
        decisions = []
        ends = dict.fromkeys(harness.scheduler.executors, 0)
        for number in range(120):
            step = scheduling.make_step(
                numbers.randrange(1, 5),
                processors=numbers.choice((500, 1000, 4000)),
                estimate_s=numbers.choice((0.5, 1.0, 3.0)),
                accelerators=numbers.choice((0, 0, 1)),
                is_gang=numbers.random() < 0.2,
                is_lasting=numbers.random() < 0.05,
                may_copy=numbers.random() < 0.3,
                is_filling=numbers.random() < 0.1,
                spread=numbers.choice((0, 0, 2)),
            )
            harness.add_job(
                scheduling.make_job(
                    step, job=f"{number:016x}", organisation=organisation
                )
            )
            harness.now += 0.2
            decisions += [
                (run.task.name, run.number, run.executor) for run in harness.start()
            ]
            unplaceable = harness.scheduler.unplaceable_tasks("pool", harness.now)
            decisions.append(sorted(count for _, count in unplaceable))
            running = [
                run
                for executor in harness.executors
                for run in executor.runs.values()
                if run.state == model.RUNNING and not run.task.step.is_lasting
            ]
            for run in numbers.sample(running, min(3, len(running))):
                ends[run.executor] += 1
                if (run.task.name, run.number) in harness.scheduler.executors[
                    run.executor
                ].runs:
                    harness.finish(run, ends[run.executor])
        return decisions

    def test_decisions_are_the_same_without_a_limit(self):
        """Guards against other decisions where no organisation is configured."""
        expected = self._decisions("", False)
        digest = hashlib.sha256(repr(expected).encode()).hexdigest()[:16]
        self.assertEqual(digest, self.DIGEST)
        self.assertGreater(len(expected), 300)
        self.assertEqual(self._decisions("", True), expected)
        self.assertEqual(self._decisions("red", False), expected)
        self.assertEqual(self._decisions("blue", True), expected)
        self.assertNotEqual(self._decisions("red", True), expected)
