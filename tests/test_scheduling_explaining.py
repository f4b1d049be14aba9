"""Tests of :mod:`cranberryport.scheduling.explaining`."""

import types
import unittest

from cranberryport.scheduling import explaining, model
from tests import scheduling


class PlacementTest(unittest.TestCase):
    """Answers to where a job would be placed now."""

    def setUp(self):
        """Create a pool of two executors with two cores each."""
        self.harness = scheduling.SchedulerHarness(count=2, processors=2000)

    def explain(self, *steps, backlog_core_s=0.0, cores=4.0, **values):
        """Return the placement of a job with these steps."""
        return explaining.explain_placement(
            scheduling.make_job(*steps, job="ffffffffffffffff", **values),
            state=self.harness.scheduler,
            load_meter=types.SimpleNamespace(
                demand=lambda now, now_unix_s: {},
                backlog_core_s=lambda *_: backlog_core_s,
            ),
            instances=types.SimpleNamespace(available_cores=lambda *_: cores),
            now=self.harness.now,
            now_unix_s=scheduling.NOW_UNIX_S,
        )

    def ruled_out(self, step):
        """Return the reasons that rule out executors for a step of one task."""
        counts = self.explain(step).steps[0].ruled_out
        return {reason: count for reason, count in counts.items() if count}

    def test_planner_chooses_the_same_executors(self):
        """Guards against an answer that differs from the decision."""
        self.harness.add_job(
            scheduling.make_job(scheduling.make_step(1, estimate_s=9.0))
        )
        self.harness.start()
        step = scheduling.make_step(3, estimate_s=2.0)
        expected = self.explain(step).steps[0].executor_ids
        job = scheduling.make_job(step, job="ffffffffffffffff")
        self.harness.add_job(job)
        self.harness.start()
        found = [task.runs[0].executor for task in job.tasks()]
        self.assertEqual(found, expected)

    def test_nothing_changes(self):
        """Guards against a question that starts, reserves or delays anything."""
        self.explain(scheduling.make_step(9), scheduling.make_step(2, is_gang=True))
        self.assertEqual(self.harness.scheduler.jobs, {})
        self.assertTrue(self.harness.scheduler.take_batch().is_empty)
        for executor in self.harness.executors:
            self.assertEqual(executor.free_resources()[0], 2000)
        self.assertEqual(
            self.harness.scheduler.unplaceable_tasks("pool", self.harness.now), []
        )

    def test_only_steps_that_are_ready_are_placed(self):
        """Guards against an answer about steps that wait for others."""
        placement = self.explain(
            scheduling.make_step(1), scheduling.make_step(1, depends_on=(0,))
        )
        self.assertEqual([step.number for step in placement.steps], [0])

    def test_tasks_beyond_the_room_wait(self):
        """Guards against a task that is said to start where another one is."""
        (step,) = self.explain(scheduling.make_step(6)).steps
        self.assertEqual(step.executor_ids.count(None), 2)
        self.assertEqual(step.ruled_out[explaining.ROOM], 2)

    def test_steps_take_the_room_of_each_other(self):
        """Guards against two steps that are said to start in the same place."""
        first, second = self.explain(
            scheduling.make_step(3), scheduling.make_step(2)
        ).steps
        self.assertNotIn(None, first.executor_ids)
        self.assertEqual(second.executor_ids.count(None), 1)

    def test_gang_waits_as_a_whole_and_keeps_no_room(self):
        """Guards against a gang of which a part is said to start."""
        gang, other = self.explain(
            scheduling.make_step(5, is_gang=True), scheduling.make_step(4)
        ).steps
        self.assertEqual(gang.executor_ids, [None] * 5)
        self.assertNotIn(None, other.executor_ids)

    def test_reasons_that_rule_out_executors(self):
        """Guards against an operator who looks for room where a label is missing."""
        first, second = self.harness.executors
        step = scheduling.make_step(1)
        self.assertEqual(self.ruled_out(step), {})
        self.assertEqual(
            self.ruled_out(scheduling.make_step(1, label="x")), {explaining.LABEL: 2}
        )
        self.assertEqual(
            self.ruled_out(scheduling.make_step(3, spread=1)), {explaining.SPREAD: 2}
        )
        first.backoff_until = self.harness.now + 1.0
        self.assertEqual(self.ruled_out(step), {explaining.BACKOFF: 1})
        first.state = "draining"
        self.assertEqual(self.ruled_out(step), {explaining.STATE: 1})
        first.state, first.backoff_until = "ready", 0.0
        second.suspected_until = self.harness.now + 1.0
        self.assertEqual(self.ruled_out(step), {explaining.UNTRUSTED: 1})

    def test_remote_tasks_are_counted(self):
        """Guards against a run away from its data that looks like a local one."""
        self.harness.executors[0].rack = "r1"
        (step,) = self.explain(scheduling.make_step(3, rack="r1")).steps
        self.assertEqual(step.executor_ids, ["e1", "e1", "e2"])
        self.assertEqual(step.remote_count, 1)

    def test_rejection_for_the_backlog(self):
        """Guards against a job that is said to be placed although it is rejected."""
        placement = self.explain(backlog_core_s=400.0)
        self.assertGreater(placement.retry_after_s, 0)
        self.assertEqual(placement.reason, "backlog")
        self.assertEqual(self.explain().retry_after_s, 0)

    def test_tasks_above_the_limit_wait(self):
        """Guards against a task that is said to start although a limit holds it."""
        scheduling.set_limits(self.harness.scheduler, processors_limit=3000)
        self.harness.add_job(scheduling.make_red_job(scheduling.make_step(1)))
        self.harness.plan()
        first, second = self.explain(
            scheduling.make_step(1), scheduling.make_step(2), organisation="red"
        ).steps
        self.assertEqual((first.executor_ids.count(None), first.limited_count), (0, 0))
        self.assertEqual(second.executor_ids.count(None), 1)
        self.assertEqual(second.limited_count, 1)

    def test_planner_applies_the_same_limit(self):
        """Guards against an answer about the limit that differs from the decision."""
        for limit in (1000, 1900, 2000, 3000, 4000):
            for step in (
                scheduling.make_step(3),
                scheduling.make_step(2, processors=1500),
                scheduling.make_step(3, is_gang=True),
                scheduling.make_step(3, is_filling=True),
            ):
                with self.subTest(limit=limit, step=step):
                    self.setUp()
                    scheduling.set_limits(
                        self.harness.scheduler, processors_limit=limit
                    )
                    placement = self.explain(step, organisation="red")
                    expected = placement.steps[0].executor_ids
                    job = scheduling.make_red_job(step, job="ffffffffffffffff")
                    self.harness.add_job(job)
                    self.harness.start()
                    found = [
                        task.runs[0].executor if task.runs else None
                        for task in job.tasks()
                    ]
                    self.assertEqual(found, expected)

    def test_limit_does_not_hide_missing_room(self):
        """Guards against an operator who raises a limit that holds no task back."""
        scheduling.set_limits(self.harness.scheduler, processors_limit=9000)
        (step,) = self.explain(scheduling.make_step(6), organisation="red").steps
        self.assertEqual((step.executor_ids.count(None), step.limited_count), (2, 0))
        self.assertEqual(step.ruled_out[explaining.ROOM], 2)

    def test_question_uses_up_no_limit(self):
        """Guards against a question that holds back work of the organisation."""
        scheduling.set_limits(self.harness.scheduler, processors_limit=2000)
        for _ in range(2):
            (step,) = self.explain(scheduling.make_step(2), organisation="red").steps
            self.assertEqual(step.limited_count, 0)

    def test_rejection_for_the_limit(self):
        """Guards against a gang that is said to wait although it is rejected."""
        scheduling.set_limits(self.harness.scheduler, processors_limit=1000)
        gang = scheduling.make_step(3, is_gang=True)
        placement = self.explain(gang, organisation="red", backlog_core_s=400.0)
        self.assertGreater(placement.retry_after_s, 0)
        self.assertEqual(placement.reason, "limit")
        self.assertEqual(placement.steps[0].limited_count, 3)
        self.assertEqual(self.explain(gang, organisation="blue").retry_after_s, 0)

    def test_long_running_job_is_not_rejected(self):
        """Guards against a rejection that a submission would not get."""
        step = scheduling.make_step(1, is_lasting=True)
        self.assertEqual(self.explain(step, backlog_core_s=400.0).retry_after_s, 0)

    def test_more_urgent_waiting_jobs_are_ahead(self):
        """Guards against places that others take before the job gets them."""
        steps = [scheduling.make_step(1, processors=9000, estimate_s=1.0)]
        scheduling.make_jobs(self.harness, 3, *steps)
        self.harness.plan()
        states = {job.state for job in self.harness.scheduler.open_jobs.values()}
        self.assertEqual(states, {model.ACCEPTED})
        large = scheduling.make_step(1, estimate_s=60.0)
        self.assertEqual(self.explain(large).jobs_ahead, 3)
        small = scheduling.make_step(1, estimate_s=0.1)
        self.assertEqual(self.explain(small).jobs_ahead, 0)
