"""Tests for executors whose capacity shrinks while tasks run and start.

They guard against a start that brings an executor above the capacity that it last
reported, as on day shrunk, on which capacities fall to 0.55.
"""

import random
import unittest

from cranberryport.scheduling import model
from tests import scheduling

SHRINK_FACTOR = 0.55


class ShrinkingExecutorTest(unittest.TestCase):
    """Starts after an executor has reported less capacity."""

    def _report(self, harness, name, processors, memory=32_000):
        harness.scheduler.add_or_update_executor(
            scheduling.make_executor(name, processors=processors, memory=memory),
            harness.now,
        )

    def test_start_that_was_planned_before_the_report_is_not_sent(self):
        """Guards against the time between planning a run and storing it."""
        harness = scheduling.SchedulerHarness(processors=4000)
        job = harness.add_job(scheduling.make_job(scheduling.make_step(4)))
        batch = harness.plan()
        self._report(harness, "e1", 2200)
        starts = harness.scheduler.commit(batch, harness.now)
        self.assertEqual(len(starts), 2)
        self.assertEqual(sum(len(task.runs) for task in job.tasks()), 2)

    def test_gang_that_was_planned_before_the_report_is_not_sent_in_part(self):
        """Guards against members of a gang that wait for one without room."""
        harness = scheduling.SchedulerHarness(count=2, processors=2000)
        gang = scheduling.make_step(4, is_gang=True)
        harness.add_job(scheduling.make_job(gang))
        batch = harness.plan()
        self._report(harness, "e2", 1100)
        self.assertEqual(harness.scheduler.commit(batch, harness.now), [])

    def test_best_effort_start_is_sent_if_only_processors_shrink(self):
        """Guards against idle processors that best-effort tasks may not use."""
        harness = scheduling.SchedulerHarness(processors=4000)
        harness.add_job(scheduling.make_job(scheduling.make_step(4)))
        harness.start()
        step = scheduling.make_step(is_filling=True)
        harness.add_job(scheduling.make_job(step, job="b" * 16))
        batch = harness.plan()
        self._report(harness, "e1", 2200)
        self.assertEqual(len(harness.scheduler.commit(batch, harness.now)), 1)

    def test_no_start_exceeds_the_last_report(self):
        """Guards against any order of reports, ends and starts, for random ones."""
        numbers = random.Random(3)
        harness = scheduling.SchedulerHarness(count=3, processors=8000)
        capacity = dict.fromkeys(("e1", "e2", "e3"), 8000)
        ends = dict.fromkeys(capacity, 0)
        started = 0
        for number in range(200):
            step = scheduling.make_step(
                numbers.randrange(1, 5),
                processors=numbers.choice((500, 1000, 3000)),
                is_gang=numbers.random() < 0.2,
            )
            harness.add_job(scheduling.make_job(step, job=f"{number:016x}"))
            batch = harness.plan()
            name = numbers.choice(list(capacity))
            factor = numbers.choice((SHRINK_FACTOR, 1.0))
            capacity[name] = int(8000 * factor)
            self._report(harness, name, capacity[name])
            for run in harness.scheduler.commit(batch, harness.now):
                started += 1
                harness.scheduler.on_run_started(run, harness.now)
                used = harness.scheduler.executors[run.executor].used_resources()[0]
                self.assertLessEqual(used, capacity[run.executor])
            running = [
                run
                for executor in harness.executors
                for run in executor.runs.values()
                if run.state == model.RUNNING
            ]
            for run in numbers.sample(running, min(4, len(running))):
                if run.task.runs and run.state == model.RUNNING:
                    ends[run.executor] += 1
                    harness.finish(run, ends[run.executor])
        self.assertGreater(started, 100)
