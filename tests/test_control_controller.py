"""Tests for cranberryport.control.controller."""

import types
import unittest

from cranberryport.control import controller
from cranberryport.platform import advice
from cranberryport.scheduling import step_logs
from tests import scheduling


class LogVolumeTest(unittest.TestCase):
    """Log lines of jobs with many tasks, at several hundred tasks a second.

    Guards against lines that are dropped above the rate limit: on day quiet-1 of
    scoica-ops-large the controller's instance dropped 15,591 lines in 50 s.
    """

    def setUp(self):
        """Start a job with two steps of many tasks."""
        self.harness = scheduling.SchedulerHarness(count=4)
        step = scheduling.make_step(16)
        self.job = self.harness.add_job(scheduling.make_job(step, step))

    def _capture(self, call):
        with self.assertLogs("cranberryport") as logs:
            call()
        return [(record.getMessage(), vars(record)) for record in logs.records]

    def test_starts_of_a_step_share_a_line_that_names_the_executors(self):
        """Guards against a start that cannot be found from the id of its job."""
        runs = self.harness.start()
        lines = self._capture(lambda: step_logs.log_starts(runs))
        self.assertEqual([event for event, _ in lines], ["step start"] * 2)
        for number, (_, fields) in enumerate(lines):
            self.assertEqual(fields["request"], self.job.id)
            self.assertEqual(
                fields["executors"],
                {
                    run.task.index: run.executor
                    for run in runs
                    if run.task.step_number == number
                },
            )

    def test_further_run_of_a_task_has_its_own_line(self):
        """Guards against a retry that the logs do not show."""
        run = self.harness.start()[0]
        run.number = 2
        ((event, fields),) = self._capture(lambda: step_logs.log_starts([run]))
        self.assertEqual((event, fields["run"]), ("run start", 2))

    def test_ends_of_a_step_share_a_line_that_names_the_slowest_task(self):
        """Guards against a slow task that cannot be found from the id of its job."""
        runs = [run for run in self.harness.start() if run.task.step_number == 0]

        def finish():
            for number, run in enumerate(runs, 1):
                self.harness.finish(run, number)

        ((event, fields),) = self._capture(finish)
        self.assertEqual(event, "step ended")
        self.assertEqual(fields["tasks"], 16)
        self.assertEqual(fields["slowest"], runs[-1].task.name)
        self.assertAlmostEqual(fields["slowest_s"], 0.16)

    def test_failed_run_has_its_own_line(self):
        """Guards against a failure that cannot be found from the id of its job."""
        run = self.harness.start()[0]
        lines = self._capture(lambda: self.harness.finish(run, 1, "failed"))
        self.assertEqual(
            [(event, fields["how"]) for event, fields in lines],
            [("run ended", "failed")],
        )


class AdviceTest(unittest.TestCase):
    """Questions about the executors of a pool with more than a call may name."""

    def test_executors_that_were_not_asked_about_are_not_refused(self):
        """Guards against a large pool of which only 100 executors are ever used."""
        names = [f"e{number}" for number in range(150)]
        asked = []
        planner = types.SimpleNamespace(
            take_advice_requests=lambda: {"j.0.0": (names, (0.1, 0.0, 3.0))},
            on_advice=lambda step, executor_ids, *rest: asked.append(executor_ids),
        )

        def request_permits(step_name, executor_ids, *, callback, timeout_s):
            callback(advice.Permits(tickets={}, valid_s=3.0))

        subject = controller.Controller.__new__(controller.Controller)
        subject._planner = planner
        subject._advice_client = types.SimpleNamespace(request_permits=request_permits)
        subject._advice_pending = set()
        subject._decision_timer = object()
        subject._request_advice()
        self.assertEqual(asked, [names[: advice.EXECUTORS_PER_CALL_LIMIT]])
