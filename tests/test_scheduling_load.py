"""Tests for demand and backlog of pools by organisation."""

import unittest

from cranberryport.scheduling import load, organisation_shares, organisations
from tests import scheduling


class OrganisationLoadTest(unittest.TestCase):
    """Backlog before a new job, and demand, while one organisation floods a pool."""

    def setUp(self):
        """Let 30 jobs of one organisation and 5 of another wait for 16 cores."""
        self.harness = scheduling.SchedulerHarness()
        self.shares = organisation_shares.OrganisationShares(
            state=self.harness.scheduler
        )
        self.meter = load.LoadMeter(state=self.harness.scheduler, shares=self.shares)
        for name, count in (("flooding", 30), ("other", 5)):
            for number in range(count):
                job = scheduling.make_job(
                    scheduling.make_step(4),
                    job=f"{name}{number}",
                    organisation=name,
                )
                self.harness.add_job(job)

    def _configure(self, *names):
        self.harness.scheduler.set_organisations(
            {name: organisations.Organisation(name=name) for name in names}
        )

    def _backlog(self, organisation):
        return self.meter.backlog_core_s(
            "pool", 0, self.harness.now, scheduling.NOW_UNIX_S, organisation
        )

    def test_excess_of_others_does_not_count(self):
        """Guards against rejections of all because of one organisation's flood."""
        self._configure("flooding", "other")
        # The other's own 20 core-seconds, and as much for the flood's half meanwhile.
        self.assertAlmostEqual(self._backlog("other"), 40.0)

    def test_flooding_organisation_waits_for_its_own_backlog(self):
        """Guards against accepted jobs that their organisation's share cannot serve."""
        self._configure("flooding", "other")
        self.assertEqual(self._backlog("flooding"), 120.0)

    def test_all_jobs_count_without_organisations(self):
        """Guards against changed answers where none are configured."""
        self._configure()
        for name in ("flooding", "other", ""):
            self.assertEqual(self._backlog(name), 140.0)

    def test_admitted_job_counts_for_its_organisation(self):
        """Guards against a burst whose jobs are all admitted to the same share."""
        self._configure("flooding", "other")
        self._backlog("flooding")
        self.meter.add_admitted_job("pool", 0, 8.0, "flooding")
        self.assertEqual(self._backlog("flooding"), 128.0)
        self.assertAlmostEqual(self._backlog("other"), 40.0)
        self.meter.add_admitted_job("pool", 0, 8.0, "other")
        self.assertAlmostEqual(self._backlog("other"), 56.0)

    def test_excess_adds_less_to_the_demand(self):
        """Guards against instances that a flood takes from other pools."""
        later = self.harness.now + 1_000_000.0

        def demand(*names):
            self._configure(*names)
            meter = load.LoadMeter(
                state=self.harness.scheduler,
                shares=organisation_shares.OrganisationShares(
                    state=self.harness.scheduler
                ),
            )
            return meter.demand(later, scheduling.NOW_UNIX_S)["pool"]

        self.assertEqual(demand(), 140_000)
        # 112 of 120 cores are beyond the share and count by a quarter.
        self.assertAlmostEqual(demand("flooding", "other"), 140_000 - 0.75 * 112_000)


if __name__ == "__main__":
    unittest.main()
