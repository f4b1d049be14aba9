"""Tests for cranberryport.scheduling.place_waits."""

import logging
import unittest

from cranberryport.scheduling import executors, load, place_waits
from tests import scheduling


class PlaceWaitsHarness(scheduling.SchedulerHarness):
    """A harness with executors ``e1`` on rack r1 and ``e2`` on rack r2."""

    def __init__(self, *, remote_factor=3.0, processors=(1000, 8000), **values):
        super().__init__(count=0, remote_factor=remote_factor, **values)
        self.near = self.add_executor("e1", rack="r1", processors=processors[0])
        self.far = self.add_executor("e2", rack="r2", processors=processors[1])
        self.executors = [self.near, self.far]
        self._job_count = 0

    @property
    def counts(self):
        """Counters of events."""
        return self.scheduler.event_counts

    def submit(self, count=1, *, rack="r1", estimate_s=1.0, accepted_at=None, **values):
        """Add a job of one step that wants a rack, and return its step's tasks."""
        self._job_count += 1
        step = scheduling.make_step(count, rack=rack, estimate_s=estimate_s, **values)
        job = scheduling.make_job(
            step,
            job=f"{self._job_count:016x}",
            accepted_at=accepted_at or scheduling.NOW_UNIX_S,
        )
        return list(self.add_job(job).tasks())

    def occupy(self, estimate_s, *, elapsed_s=0.0):
        """Fill e1 with one run and let time pass; return the run."""
        self.submit(estimate_s=estimate_s, processors=self.near.processors)
        (run,) = self.start()
        self.now += elapsed_s
        return run

    def racks(self):
        """Plan, start, and return the racks of the new runs."""
        known = self.scheduler.executors
        return [known[run.executor].rack for run in self.start()]


def make_offer(**values):
    """Return an offer of a job of 1 s that may wait 0.5 s for a local place."""
    settings = {
        "local_run_s": 1.0,
        "remote_run_s": 3.0,
        "wait_s": 0.5,
        "waited_s": 0.0,
        "slack_s": 1.2,
        "queue_weight": 0.0,
    }
    return place_waits.Offer(**(settings | values))


class ExpectedCostTest(unittest.TestCase):
    """Costs of waiting and of a remote start."""

    def _refusal(self, **values):
        return place_waits.ExpectedCost().refusal(make_offer(**values))

    def test_wait_pays_if_it_is_shorter_than_what_a_remote_run_loses(self):
        """Guards against remote runs of three times the length, and useless waits."""
        self.assertIsNone(self._refusal())
        self.assertIsNone(self._refusal(remote_run_s=1.5, wait_s=0.3))
        self.assertEqual(
            self._refusal(remote_run_s=1.5, wait_s=0.5), place_waits.NO_SAVING
        )

    def test_queue_makes_a_remote_run_cost_more(self):
        """Guards against slots that remote runs hold while a pool is full."""
        self.assertIsNone(self._refusal(remote_run_s=1.5, wait_s=0.7, queue_weight=1.0))

    def test_wait_is_bounded(self):
        """Guards against a task that waits for ever for the next place."""
        self.assertEqual(self._refusal(waited_s=1.6), place_waits.BOUND)
        self.assertEqual(
            self._refusal(remote_run_s=99.0, wait_s=2.5, slack_s=99.0),
            place_waits.BOUND,
        )

    def test_wait_leaves_slack_for_wrong_estimates(self):
        """Guards against a late job because a run took 50 % longer than declared."""
        self.assertEqual(
            self._refusal(remote_run_s=1.9, wait_s=0.7, slack_s=1.0),
            place_waits.NO_SLACK,
        )
        self.assertIsNone(self._refusal(remote_run_s=3.0, wait_s=0.7, slack_s=1.0))


class WaitTest(unittest.TestCase):
    """Waits of single tasks."""

    def test_task_waits_for_a_local_place_and_takes_it(self):
        """Guards against a remote run of 3 s beside a place that is free in 0.5 s."""
        harness = PlaceWaitsHarness()
        run = harness.occupy(1.0, elapsed_s=0.49)
        (task,) = harness.submit()
        self.assertEqual(harness.racks(), [])
        self.assertEqual(harness.counts["place_waits_begun"], 1)
        harness.now += 0.4
        self.assertEqual(harness.racks(), [])
        harness.finish(run, 1)
        self.assertEqual(harness.racks(), ["r1"])
        self.assertEqual(harness.counts["place_waits_begun"], 1)
        self.assertEqual(harness.counts["place_waits_placed"], 1)
        self.assertAlmostEqual(harness.counts["place_waits_waited_s"], 0.41)
        self.assertEqual(task.runs[0].remote_factor, 1.0)

    def test_task_starts_remotely_if_the_wait_does_not_pay(self):
        """Guards against waiting 0.8 s to save 0.5 s at factor 1.5, or 2 s for long."""
        for factor, busy_s in ((1.5, 0.8), (3.0, 9.0)):
            harness = PlaceWaitsHarness(remote_factor=factor)
            harness.occupy(busy_s)
            (task,) = harness.submit()
            with self.assertLogs("cranberryport", logging.INFO) as logs:
                self.assertEqual(harness.racks(), ["r2"])
            events = {record.getMessage() for record in logs.records}
            self.assertIn("started remotely", events)
            self.assertEqual(harness.counts["remote_starts"], 1)
            self.assertEqual(task.runs[0].remote_factor, factor)

    def test_short_wait_pays_at_factor_1_5(self):
        """Guards against remote runs where the saving is small but certain."""
        harness = PlaceWaitsHarness(remote_factor=1.5)
        harness.occupy(0.3)
        harness.submit()
        self.assertEqual(harness.racks(), [])

    def test_nothing_waits_at_factor_1(self):
        """Guards against waits where remote runs take no longer."""
        harness = PlaceWaitsHarness(remote_factor=1.0)
        harness.occupy(0.3)
        harness.submit()
        self.assertEqual(harness.racks(), ["r2"])

    def test_nothing_waits_once_it_is_late_or_at_its_last_chance(self):
        """Guards against a late job that becomes later, objective 2.2 s, end 6.6 s."""
        for age_s in (1.3, 5.0):
            harness = PlaceWaitsHarness()
            harness.occupy(0.3)
            harness.submit(accepted_at=scheduling.NOW_UNIX_S - age_s)
            self.assertEqual(harness.racks(), ["r2"])

    def test_wait_ends_when_the_place_is_lost_drains_or_turns_bad(self):
        """Guards against waiting for a place that does not come any more."""

        def be_lost(harness):
            harness.scheduler.retire_executor(harness.near, "gone")

        def drain(harness):
            harness.near.state = executors.DRAINING

        def be_suspected(harness):
            harness.near.suspected_until = harness.now + 4.0

        def turn_slow(harness):
            harness.near.slowdown = 8.0

        for change in (be_lost, drain, be_suspected, turn_slow):
            with self.subTest(change.__name__):
                harness = PlaceWaitsHarness()
                for name in ("e3", "e4"):
                    harness.add_executor(name, rack="r2")
                harness.occupy(0.5)
                (task,) = harness.submit()
                self.assertEqual(harness.racks(), [])
                harness.now += place_waits.RECHECK_INTERVAL_S
                change(harness)
                self.assertIn("r2", harness.racks())
                self.assertEqual(len(task.runs), 1)
                self.assertEqual(harness.counts["place_waits_given_up_no_place"], 1)

    def test_wait_is_given_up_if_the_end_is_overdue(self):
        """Guards against a task whose place is always about to be free."""
        harness = PlaceWaitsHarness()
        run = harness.occupy(0.5)
        harness.submit()
        self.assertEqual(harness.racks(), [])
        for _ in range(40):
            harness.now += 0.1
            run.progressed_at = harness.now
            if harness.racks():
                break
        self.assertLess(harness.now, 100.0 + place_waits.LONGEST_WAIT_S + 0.1)
        self.assertEqual(harness.counts["place_waits_given_up_bound"], 1)

    def test_progress_corrects_an_estimate_that_is_off_by_half(self):
        """Guards against waiting by the declared time of a run that takes longer."""
        harness = PlaceWaitsHarness()
        run = harness.occupy(1.0)
        harness.submit()
        self.assertEqual(harness.racks(), [])
        harness.now += 0.5
        for percent in (10, 15):
            harness.list_runs(harness.near, [(run.task.name, run.number, "", percent)])
            harness.now += 0.5
        self.assertEqual(harness.racks(), ["r2"])

    def test_task_waits_for_no_place_that_its_label_rules_out(self):
        """Guards against a wait for an executor that may not run the task."""
        harness = PlaceWaitsHarness()
        harness.far.labels = frozenset({"gpu"})
        harness.occupy(0.3)
        harness.submit(label="gpu")
        self.assertEqual(harness.racks(), ["r2"])

    def test_task_waits_for_no_place_that_its_spread_limit_rules_out(self):
        """Guards against a wait beside another task of the same step."""
        harness = PlaceWaitsHarness(processors=(2000, 8000))
        harness.submit(2, spread=1)
        self.assertEqual(harness.racks(), ["r1", "r2"])

    def test_task_does_not_wait_where_advice_permits_only_remote_executors(self):
        """Guards against a wait for an executor without a ticket."""
        harness = PlaceWaitsHarness()
        harness.occupy(0.3)
        harness.scheduler.queues["queue"].advice_times = (0.1, 0.1, 9.0)
        (task,) = harness.submit()
        harness.near.tickets[task.step_name] = None
        harness.far.tickets[task.step_name] = ("ticket", harness.now + 9.0)
        self.assertEqual(harness.racks(), ["r2"])

    def test_task_of_a_recurring_job_waits_from_its_own_time_on(self):
        """Guards against counting the wait from the acceptance of a recurring job."""
        harness = PlaceWaitsHarness()
        harness.occupy(0.5)
        job = scheduling.make_job(
            scheduling.make_step(rack="r1"),
            job="f" * 16,
            accepted_at=scheduling.NOW_UNIX_S - 50.0,
            first_due_at=scheduling.NOW_UNIX_S - 40.0,
            interval_s=40.0,
            repeats=2,
        )
        harness.add_job(job)
        (run,) = harness.start()
        # The first occurrence is late; the second is due just now.
        self.assertEqual((run.executor, run.task.occurrence.number), ("e2", 0))
        self.assertEqual(harness.counts["place_waits_begun"], 1)

    def test_waiting_task_calls_for_no_instance(self):
        """Guards against moving instances to a pool that has room."""
        harness = PlaceWaitsHarness()
        harness.occupy(0.5)
        harness.submit(processors=1000)
        self.assertEqual(harness.racks(), [])
        self.assertEqual(harness.scheduler.unplaceable_tasks("pool", harness.now), [])
        meter = load.LoadMeter(state=harness.scheduler)
        demand = meter.demand(harness.now, scheduling.NOW_UNIX_S)
        arrived = harness.scheduler.arrival_rates["pool"].sustained_demand(harness.now)
        self.assertEqual(demand["pool"], max(1000, arrived))


class SharedPlaceTest(unittest.TestCase):
    """Several tasks at one rack."""

    def test_queue_for_a_hot_rack_is_as_long_as_pays(self):
        """Guards against all jobs waiting for one rack while others are idle."""
        harness = PlaceWaitsHarness(processors=(2000, 32_000))
        harness.submit(2, estimate_s=0.6)
        self.assertEqual(harness.racks(), ["r1"] * 2)
        for _ in range(8):
            harness.submit(estimate_s=0.6)
        # Two slots are free in 0.6 s. A later place in 1.2 s costs the job its slack.
        self.assertEqual(harness.racks(), ["r2"] * 6)
        self.assertEqual(harness.counts["place_waits_begun"], 2)

    def test_place_that_is_waited_for_is_used_by_tasks_that_end_in_time(self):
        """Guards against room that is idle because a larger task waits for it."""
        harness = PlaceWaitsHarness(processors=(2000, 8000))
        harness.submit(estimate_s=0.7)
        self.assertEqual(harness.racks(), ["r1"])
        harness.submit(processors=2000)
        self.assertEqual(harness.racks(), [])
        harness.submit(rack="", estimate_s=0.3, label="r1")
        harness.submit(rack="", estimate_s=3.0, label="r1")
        harness.near.labels = frozenset({"r1"})
        self.assertEqual(harness.racks(), ["r1"])
        self.assertEqual(harness.counts["place_waits_given_up"], 0)

    def test_takeover_begins_no_wait_anew(self):
        """Guards against a task that waits its bound at each change of controller."""
        harness = PlaceWaitsHarness()
        harness.occupy(0.5)
        # The objective of 7 s leaves slack, but the bound of 2 s has nearly passed.
        harness.submit(estimate_s=4.0, accepted_at=scheduling.NOW_UNIX_S - 1.9)
        self.assertEqual(harness.racks(), ["r2"])
        self.assertEqual(harness.counts["place_waits_begun"], 0)
        harness.submit(estimate_s=4.0)
        self.assertEqual(harness.racks(), [])
        self.assertEqual(harness.counts["place_waits_begun"], 1)

    def test_nothing_is_promised_twice(self):
        """Guards against two waiting tasks of which one loses its place at the end."""
        harness = PlaceWaitsHarness()
        harness.occupy(0.5)
        # Places in 0.5 and 1.5 s; one in 2.5 s is beyond the bound.
        tasks = harness.submit(3)
        self.assertEqual(harness.racks(), ["r2"])
        for _ in range(3):
            harness.now += 0.01
            self.assertEqual(harness.racks(), [])
        self.assertEqual(harness.counts["place_waits_begun"], 2)
        first, second = (t.place_wait.expected_at for t in tasks if t.place_wait)
        self.assertGreaterEqual(second - first, 1.0)


class SharedRackTest(unittest.TestCase):
    """Coupled steps and gangs."""

    def test_coupled_step_starts_on_a_rack_with_room_for_all(self):
        """Guards against the rack of the first free executor, split at once."""
        harness = PlaceWaitsHarness(processors=(1000, 8000))
        harness.submit(3, rack="", is_coupled=True)
        self.assertEqual(harness.racks(), ["r2"] * 3)

    def test_gang_starts_on_a_rack_with_room_for_all(self):
        """Guards against a gang over two racks beside one with room for it."""
        harness = PlaceWaitsHarness(processors=(1000, 8000))
        harness.submit(3, rack="", is_gang=True)
        self.assertEqual(harness.racks(), ["r2"] * 3)

    def test_gang_avoids_a_near_executor_that_has_failed_it(self):
        """Guards against all runs of a gang on one executor that fails everything.

        Review case 8: the executor was the only one near its data.
        """
        harness = PlaceWaitsHarness(processors=(8000, 8000), failed_runs_limit=3)
        harness.submit(2, is_gang=True)
        runs = harness.start()
        self.assertEqual({run.executor for run in runs}, {"e1"})
        ends = [
            (number, run.task.name, run.number, "failed")
            for number, run in enumerate(runs, 1)
        ]
        harness.list_runs(harness.near, finished=ends)
        self.assertEqual(harness.racks(), ["r2", "r2"])

    def test_gang_waits_for_one_rack(self):
        """Guards against a split gang of 3 s while a rack is free in 0.5 s."""
        harness = PlaceWaitsHarness(processors=(1000, 2000))
        run = harness.occupy(0.5)
        harness.submit(rack="r2", estimate_s=0.4)
        self.assertEqual(harness.racks(), ["r2"])
        harness.add_executor("e3", rack="r3", processors=1000)
        harness.submit(2, rack="", is_gang=True)
        self.assertEqual(harness.racks(), [])
        self.assertEqual(harness.counts["place_waits_begun"], 2)
        harness.finish(run, 1)
        self.assertEqual(harness.racks(), [])
        (other,) = harness.far.runs.values()
        harness.finish(other, 1)
        self.assertEqual(harness.racks(), ["r2", "r2"])

    def test_coupled_step_that_does_not_wait_stays_together(self):
        """Guards against a coupled step half on its data's rack and half elsewhere."""
        harness = PlaceWaitsHarness(processors=(2000, 8000))
        harness.submit(processors=1000, estimate_s=9.0)
        self.assertEqual(harness.racks(), ["r1"])
        harness.submit(3, is_coupled=True)
        self.assertEqual(harness.racks(), ["r2"] * 3)

    def test_coupled_step_waits_together(self):
        """Guards against a coupled step of which only some tasks wait."""
        harness = PlaceWaitsHarness(processors=(2000, 8000))
        harness.submit(processors=1000, estimate_s=0.4)
        (run,) = harness.start()
        harness.submit(2, is_coupled=True)
        self.assertEqual(harness.racks(), ["r1"])
        self.assertEqual(harness.counts["place_waits_begun"], 1)
        harness.finish(run, 1)
        self.assertEqual(harness.racks(), ["r1"])


class UnchangedDecisionsTest(unittest.TestCase):
    """Jobs that name no rack and have no coupled tasks."""

    def test_decisions_are_the_same_with_and_without_a_factor(self):
        """Guards against other decisions for deployments without data locality."""
        placements = []
        for factor in (1.0, 3.0):
            harness = PlaceWaitsHarness(
                remote_factor=factor, processors=(4000, 8000), failed_runs_limit=3
            )
            harness.add_executor("e3", rack="r3", processors=6000)
            found = []
            for turn in range(30):
                harness.submit(
                    1 + turn % 4,
                    rack="",
                    estimate_s=0.3 + turn % 5 / 3,
                    processors=500 + 500 * (turn % 3),
                    spread=turn % 3,
                    is_filling=turn % 7 == 6,
                )
                runs = harness.start()
                found += [(run.task.name, run.executor) for run in runs]
                if runs:
                    executor = harness.scheduler.executors[runs[0].executor]
                    number = executor.received_end_number + 1
                    harness.finish(runs[0], number, ("done", "failed")[turn % 2])
                harness.now += 0.2
            placements.append(found)
            self.assertEqual(harness.counts["remote_starts"], 0)
        self.assertGreater(len(placements[0]), 20)
        self.assertEqual(*placements)


if __name__ == "__main__":
    unittest.main()
