"""Tests of :mod:`cranberryport.scheduling.run_logs`."""

import unittest

from cranberryport.scheduling import run_logs
from tests import scheduling


class StartLogsTest(unittest.TestCase):
    """Log lines of starts of many tasks, at several hundred tasks a second.

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
        lines = self._capture(lambda: run_logs.log_starts(runs))
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
        ((event, fields),) = self._capture(lambda: run_logs.log_starts([run]))
        self.assertEqual((event, fields["run"]), ("run start", 2))
