"""Tests for cranberryport.scheduling.load with limits of organisations."""

import unittest

from cranberryport.scheduling import load, rebalancing
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
        """Guards against jobs accepted behind work that is served before them."""
        self._add_jobs(20, scheduling.make_step(), age_s=1.05, organisation="red")
        scheduling.set_limits(self.harness.scheduler, processors_limit=2000)
        backlog = self.meter.backlog_core_s("pool", 0, self.harness.now, NOW_UNIX_S)
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
