"""Tests for cranberryport.scheduling.load with limits and shares of organisations."""

import unittest

from cranberryport.scheduling import (
    load,
    organisation_shares,
    organisations,
    rebalancing,
)
from tests import scheduling

NOW_UNIX_S = scheduling.NOW_UNIX_S


class LimitedDemandTest(unittest.TestCase):
    """Demand of an organisation whose limit is far below its waiting work.

    Guards against instances that are moved to a pool, and paid for, although nobody may
    use them.
    """

    def setUp(self):
        """Make a pool without executors."""
        self.harness = scheduling.SchedulerHarness(count=0)
        self.meter = load.LoadMeter(state=self.harness.scheduler)

    def _add_jobs(self, count, *steps, age_s=60.0, **values):
        for _ in range(count):
            # Waiting jobs do not count as arriving.
            self.harness.add_job(
                scheduling.make_job(
                    *steps,
                    job=f"{len(self.harness.scheduler.jobs):016x}",
                    accepted_at=NOW_UNIX_S - age_s,
                    **values,
                )
            )

    def _demand(self):
        now = self.harness.now
        return self.meter.demand(now, NOW_UNIX_S).get("pool", 0)

    def test_waiting_work_counts_up_to_the_limit(self):
        step = scheduling.make_step(5, is_lasting=True)
        self._add_jobs(20, step, organisation="red")
        scheduling.set_limits(self.harness.scheduler, processors_limit=8000)
        self.assertEqual(self._demand(), 8000)
        memory = self.meter.memory_demand(self.harness.now, NOW_UNIX_S)
        self.assertEqual(memory["pool"], 800)

    def test_limit_of_memory_bounds_the_demand_of_processors(self):
        step = scheduling.make_step(5, is_lasting=True)
        self._add_jobs(20, step, organisation="red")
        scheduling.set_limits(self.harness.scheduler, memory_limit=300)
        self.assertEqual(self._demand(), 3000)

    def test_running_work_is_subtracted_from_the_limit(self):
        executor = self.harness.add_executor("e1", processors=6000)
        step = scheduling.make_step(20, is_lasting=True)
        self._add_jobs(1, step, organisation="red")
        scheduling.set_limits(self.harness.scheduler, processors_limit=8000)
        self.harness.start()
        self.assertEqual(len(executor.runs), 6)
        self.assertEqual(self._demand(), 8000)

    def test_late_jobs_do_not_displace_those_in_time(self):
        """Guards against a demand that is too low for work which may start.

        A late task counts only as a quarter.
        """
        self._add_jobs(9, scheduling.make_step(), age_s=4.0, organisation="red")
        self._add_jobs(2, scheduling.make_step(), age_s=1.05, organisation="red")
        scheduling.set_limits(self.harness.scheduler, processors_limit=2000)
        self.assertEqual(self._demand(), 2000)

    def test_others_count_in_full(self):
        step = scheduling.make_step(5, is_lasting=True)
        self._add_jobs(4, step, organisation="red")
        self._add_jobs(2, step, organisation="blue")
        self._add_jobs(2, step)
        scheduling.set_limits(self.harness.scheduler, processors_limit=8000)
        self.assertEqual(self._demand(), 28_000)

    def test_backlog_before_a_new_job_counts_all(self):
        """Guards against jobs accepted behind work that is served before them.

        The job is one of the same organisation: those of others are served before what
        this organisation demands beyond its share.
        """
        self._add_jobs(20, scheduling.make_step(), age_s=1.05, organisation="red")
        scheduling.set_limits(self.harness.scheduler, processors_limit=2000)
        backlog = self.meter.backlog_core_s(
            "pool", 0, self.harness.now, NOW_UNIX_S, "red"
        )
        self.assertEqual(backlog, 20.0)


class LimitedArrivalTest(unittest.TestCase):
    """Demand of work that arrives, for an organisation that floods its queue."""

    def setUp(self):
        """Let 100 cores of ``red`` and 4 of ``blue`` arrive within half a second."""
        self.rate = rebalancing.ArrivalRate()
        for number in range(50):
            self.rate.add_work(1_000_000, number / 100, organisation="red")
            self.rate.add_work(40_000, number / 100, organisation="blue")

    def test_arriving_work_counts_up_to_the_limit(self):
        """Guards against instances for a flood that its limit holds back."""
        demand = self.rate.sustained_demand(0.5, {"red": 8000})
        unlimited = self.rate.sustained_demand(0.5)
        self.assertEqual(unlimited, 104_000_000)
        self.assertEqual(demand, 4_008_000)

    def test_organisations_of_the_window_are_known(self):
        """Guards against a flood whose organisation is forgotten, or kept for ever."""
        self.assertEqual(self.rate.organisations(), {"red", "blue"})
        self.rate.sustained_demand(9.0)
        self.assertEqual(self.rate.organisations(), set())

    def test_meter_bounds_arriving_work_by_the_rest_of_the_limit(self):
        """Guards against twice the limit, once for running and once for new work."""
        harness = scheduling.SchedulerHarness(processors=8000)
        scheduling.set_limits(harness.scheduler, processors_limit=8000)
        lasting = scheduling.make_step(3, is_lasting=True)
        harness.add_job(scheduling.make_red_job(lasting))
        harness.start()
        harness.add_job(scheduling.make_job(organisation="red"))
        harness.start()
        rate = harness.scheduler.arrival_rates["pool"]
        for _ in range(99):
            rate.add_work(1_000_000, harness.now, organisation="red")
        meter = load.LoadMeter(state=harness.scheduler)
        self.assertEqual(meter.demand(harness.now, NOW_UNIX_S)["pool"], 8000)


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
