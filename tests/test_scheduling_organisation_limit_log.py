"""Tests for cranberryport.scheduling.organisation_limit_log."""

import unittest

from cranberryport.scheduling import (
    organisation_limit_log,
    organisation_limits,
    organisations,
)
from tests import scheduling


class LimitLogTest(unittest.TestCase):
    """Log lines of organisations that reach their limit."""

    def setUp(self):
        """Make a log."""
        self.log = organisation_limit_log.LimitLog()

    def _update(self, now, refused, used=2000):
        red = organisations.Organisation(name="red", processors_limit=2000)
        usage = {"red": [used, 200, 0]}
        budget = organisation_limits.Budget(organisations={"red": red}, usage=usage)
        budget.refused.update(refused)
        with self.assertLogs("cranberryport") as logs:
            organisation_limit_log._logger.info("end")
            self.log.update(budget, now)
        return [(r.getMessage(), vars(r)) for r in logs.records[1:]]

    def test_change_is_logged_once_with_use_and_limits(self):
        """Guards against a line at each decision, and a late job without a cause."""
        ((event, fields),) = self._update(1.0, ["red"])
        self.assertEqual(event, "organisation at its limit")
        self.assertEqual(fields["organisation"], "red")
        self.assertEqual(fields["use"], [2000, 200, 0])
        self.assertEqual(fields["limits"], [2000, 0, 0])
        self.assertEqual(self._update(1.1, ["red"]), [])

    def test_release_is_logged_once_after_a_second_without_a_refusal(self):
        """Guards against two lines at each decision while tasks come and go."""
        self._update(1.0, ["red"])
        self.assertEqual(self._update(1.5, []), [])
        self._update(1.6, ["red"])
        self.assertEqual(self._update(2.5, []), [])
        ((event, fields),) = self._update(2.7, [], used=500)
        self.assertEqual(event, "organisation below its limit")
        self.assertEqual(fields["use"], [500, 200, 0])
        self.assertEqual(self._update(3.0, []), [])

    def test_lines_are_bounded_and_the_rest_is_counted(self):
        """Guards against thousands of lines a second that displace others."""
        names = [f"o{number}" for number in range(100)]
        self.assertEqual(len(self._update(1.0, names)), 20)
        ((_, fields),) = self._update(2.0, ["red", *names])
        self.assertEqual(fields["suppressed_lines"], 80)

    def test_organisation_that_is_removed_from_the_configuration_is_released(self):
        """Guards against an error after a change of the configuration."""
        self._update(1.0, ["gone"])
        self.assertEqual(len(self._update(2.0, [])), 1)

    def test_planner_logs_the_limit(self):
        """Guards against a planner that does not tell of its refusals."""
        harness = scheduling.SchedulerHarness()
        scheduling.set_limits(harness.scheduler, processors_limit=1000)
        harness.add_job(scheduling.make_red_job(scheduling.make_step(2)))
        with self.assertLogs("cranberryport") as logs:
            harness.start()
        events = [record.getMessage() for record in logs.records]
        self.assertEqual(events, ["organisation at its limit"])
