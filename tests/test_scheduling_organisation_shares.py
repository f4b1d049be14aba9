"""Tests for the weighted fair sharing between organisations."""

import collections
import logging
import math
import unittest
import unittest.mock

from cranberryport.scheduling import (
    ordering,
    organisation_shares,
    organisations,
)
from tests import organisation_load, scheduling

# Weights of 20 organisations of very different size.
WEIGHTS = dict(
    zip(
        (f"o{number:02d}" for number in range(20)),
        (1, 1, 2, 2, 3, 4, 5, 6, 8, 10, 12, 15, 18, 22, 27, 33, 40, 55, 70, 90),
        strict=True,
    )
)


def make_rates(weights, load, *, executor_count, largest_count=8):
    """Return jobs a second by organisation that use a part of the pool's cores."""
    # Means of the random numbers of random_arrivals.
    mean_core_s = (1 + largest_count) / 2 * 1.5 * 0.6 * 1.1
    jobs_per_s = load * executor_count * 16 / mean_core_s
    weight_sum = sum(weights.values())
    return {n: jobs_per_s * weight / weight_sum for n, weight in weights.items()}


def replay(arrivals, weights, *, executor_count, until_s, **values):
    """Return a replay after it has run."""
    result = organisation_load.Replay(
        weights=weights, executor_count=executor_count, **values
    )
    return result.run(arrivals, until_s=until_s)


class DivideTest(unittest.TestCase):
    """Division of a capacity by weight."""

    def test_capacity_is_divided_by_weight(self):
        """Guards against shares by the number of jobs."""
        demands = {"a": (100.0, 1), "b": (100.0, 3)}
        self.assertEqual(organisation_shares.divide(demands, 80.0), 20.0)

    def test_unused_share_goes_to_the_others(self):
        """Guards against capacity that nobody may use."""
        demands = {"a": (10.0, 3), "b": (100.0, 1), "c": (100.0, 1)}
        self.assertEqual(organisation_shares.divide(demands, 80.0), 35.0)

    def test_nothing_is_divided_while_there_is_room(self):
        """Guards against demotions while the capacity suffices."""
        demands = {"a": (10.0, 1), "b": (70.0, 1)}
        self.assertEqual(organisation_shares.divide(demands, 80.0), math.inf)
        self.assertEqual(organisation_shares.divide({}, 80.0), math.inf)


class OrderTest(unittest.TestCase):
    """Order in which waiting occurrences of one pool are served."""

    def setUp(self):
        """Add an executor of 16 cores for two organisations of equal weight."""
        self.harness = scheduling.SchedulerHarness()
        self._set_organisations("flooding", "other")
        self.shares = organisation_shares.OrganisationShares(
            state=self.harness.scheduler
        )

    def _set_organisations(self, *names):
        self.harness.scheduler.set_organisations(
            {name: organisations.Organisation(name=name) for name in names}
        )

    def _add_jobs(self, organisation, count, *, age_s=0.0, **values):
        step = scheduling.make_step(4, **values)
        return [
            self.harness.add_job(
                scheduling.make_job(
                    step,
                    job=f"{organisation}-{age_s}-{number}",
                    organisation=organisation,
                    accepted_at=scheduling.NOW_UNIX_S - age_s,
                )
            )
            for number in range(count)
        ]

    def _order(self):
        """Return the names of the organisations of all jobs in their order."""
        self.shares.update(self.harness.now, scheduling.NOW_UNIX_S)
        occurrences = [
            occurrence
            for job in self.harness.scheduler.open_jobs.values()
            for occurrence in job.occurrences.values()
        ]
        ordered = self.shares.order(occurrences, 16_000, scheduling.NOW_UNIX_S)
        self.assertEqual(len(ordered), len(occurrences))
        return [occurrence.job.organisation for occurrence in ordered]

    def test_excess_waits_for_the_others(self):
        """Guards against a flood whose jobs are more urgent than those of others."""
        self._add_jobs("flooding", 30, age_s=0.5)
        self._add_jobs("other", 2)
        ordered = self._order()
        self.assertEqual(set(self.shares.over), {"flooding"})
        self.assertEqual(set(ordered[-20:]), {"flooding"})
        # Its share and one job are not demoted.
        self.assertEqual(ordered[0], "flooding")

    def test_order_is_by_urgency_without_organisations(self):
        """Guards against changed decisions where none are configured."""
        self._set_organisations()
        self._add_jobs("flooding", 30, age_s=0.5)
        self._add_jobs("other", 2)
        self.assertEqual(self._order()[-2:], ["other", "other"])

    def test_order_is_by_urgency_while_nobody_is_delayed(self):
        """Guards against late jobs because of a share that nobody needs yet."""
        self._add_jobs("flooding", 15, age_s=0.1, estimate_s=0.02)
        self._add_jobs("other", 5, estimate_s=0.05)
        self.assertEqual(self._order()[-5:], ["other"] * 5)
        self.assertEqual(set(self.shares.over), {"flooding"})

    def test_organisation_alone_is_never_over_its_share(self):
        """Guards against refused jobs while nobody else wants the capacity."""
        self._add_jobs("flooding", 300, age_s=0.5)
        self._order()
        self.assertEqual(set(self.shares.over), set())
        self.assertEqual(self.shares.share("flooding"), 1.0)

    def test_long_running_jobs_stay_first(self):
        """Guards against serving tasks that wait because of their organisation."""
        self._add_jobs("flooding", 30, age_s=0.5)
        self._add_jobs("other", 2)
        self.harness.add_job(
            scheduling.make_job(
                scheduling.make_step(is_lasting=True),
                job="lasting",
                organisation="flooding",
            )
        )
        self._order()
        occurrence = self.harness.scheduler.jobs["lasting"].occurrences[0]
        others = [
            o
            for job in self.harness.scheduler.open_jobs.values()
            for o in job.occurrences.values()
        ]
        ordered = self.shares.order(others, 16_000, scheduling.NOW_UNIX_S)
        self.assertIs(ordered[0], occurrence)

    def test_started_jobs_of_a_flood_wait_beyond_its_share(self):
        """Guards against a flood that keeps the pool by jobs that it has started."""
        for job in self._add_jobs("flooding", 30, age_s=0.5):
            (occurrence,) = job.occurrences.values()
            occurrence.tasks[0][0].is_done = True
            occurrence.mark_task_done(0, scheduling.NOW_UNIX_S)
            job.has_started = True
        self._add_jobs("other", 2)
        self.assertEqual(set(self._order()[-20:]), {"flooding"})

    def test_job_without_organisation_counts_as_another(self):
        """Guards against a flood that delays jobs of public routes."""
        self._add_jobs("flooding", 30, age_s=0.5)
        self._add_jobs("other", 1)
        self._add_jobs("", 4)
        self.assertEqual(set(self._order()[-20:]), {"flooding"})

    def test_memory_counts_like_its_equivalent_in_processors(self):
        """Guards against a flood of tasks that fill the memory with few processors."""
        self._add_jobs("flooding", 30, age_s=0.5, processors=100, memory=8000)
        self._add_jobs("other", 2)
        self._order()
        self.assertEqual(set(self.shares.over), {"flooding"})

    def test_long_running_tasks_do_not_count_as_service(self):
        """Guards against jobs demoted for tasks that no order can give back."""
        self._add_jobs("flooding", 1, is_lasting=True)
        self.harness.start()
        self._order()
        self.assertEqual(self.shares.statuses()["flooding"].service, 0.0)

    def test_changes_are_logged_once(self):
        """Guards against a line for each decision during a flood."""
        self._add_jobs("flooding", 30, age_s=0.5)
        (other, *_) = self._add_jobs("other", 2)
        with self.assertLogs(organisation_shares.__name__, logging.INFO) as logs:
            for _ in range(5):
                self._order()
                self.harness.now += organisation_shares.UPDATE_INTERVAL_S
            for job in list(self.harness.scheduler.open_jobs):
                self.harness.scheduler.cancel_job(job, scheduling.NOW_UNIX_S)
            for _ in range(5):
                self._order()
                self.harness.now += organisation_shares.RETURN_LOG_DELAY_S
        events = [(r.getMessage(), r.organisation) for r in logs.records]
        self.assertEqual(
            events,
            [
                ("organisation over its share", "flooding"),
                ("organisation within its share", "flooding"),
            ],
        )

    def test_log_lines_are_bounded(self):
        """Guards against a log that thousands of organisations fill."""
        count = 3 * organisation_shares.LOG_LINES_LIMIT
        self._set_organisations("other", *(f"o{number}" for number in range(count)))
        for number in range(count):
            self._add_jobs(f"o{number}", 8, age_s=0.5)
        self._add_jobs("other", 2)
        with self.assertLogs(organisation_shares.__name__, logging.INFO) as logs:
            self._order()
        self.assertGreater(len(self.shares.over), organisation_shares.LOG_LINES_LIMIT)
        self.assertEqual(len(logs.records), organisation_shares.LOG_LINES_LIMIT)


class ReplayTest(unittest.TestCase):
    """Replayed loads of many organisations over the planner."""

    def setUp(self):
        """Leave out the log lines of thousands of jobs."""
        logging.disable(logging.INFO)
        self.addCleanup(logging.disable, logging.NOTSET)

    def test_flood_costs_the_others_little(self):
        """Guards against a flood of one organisation that makes all others late."""
        weights = dict.fromkeys("abcdefgh", 10)
        rates = make_rates(weights, 0.85, executor_count=8)
        values = {"executor_count": 8, "until_s": 12.0}
        ratios = {"usual": {}, "flood": {}, "flood by urgency": {}}
        first_over = []
        # A replay has 30 jobs of each organisation, so one alone resolves only 0.03.
        for seed in range(1, 4):
            usual = organisation_load.random_arrivals(rates, until_s=10.0, seed=seed)
            flood = organisation_load.random_arrivals(
                {"d": 7 * rates["d"]}, start_s=3.0, until_s=9.0, seed=seed
            )
            for case, arrivals, configured in (
                ("usual", usual, weights),
                ("flood", usual + flood, weights),
                ("flood by urgency", usual + flood, {}),
            ):
                replayed = replay(arrivals, configured, **values)
                for name, ratio in replayed.in_time_ratios().items():
                    mean = ratios[case].get(name, 0.0) + ratio / 3
                    ratios[case][name] = mean
                if case == "flood":
                    over_times = replayed.over_times
                    first_over += [min(at for at, name in over_times if name == "d")]
        for name in set(weights) - {"d"}:
            usual_ratio = ratios["usual"][name]
            self.assertGreaterEqual(ratios["flood"][name], usual_ratio - 0.05, name)
            # By urgency alone everyone loses, so the load tests something.
            self.assertLess(ratios["flood by urgency"][name], usual_ratio - 0.1, name)
        # Until the pool is full nobody is over its share.
        self.assertLessEqual(min(first_over), 3.6)

    def test_flood_is_forgiven_soon_after_its_end(self):
        """Guards against an organisation that is punished for past load."""
        weights = {"a": 1, "b": 1}
        rates = make_rates(weights, 0.7, executor_count=4)
        arrivals = organisation_load.random_arrivals(rates, until_s=16.0, seed=5)
        arrivals += organisation_load.random_arrivals(
            {"a": 4 * rates["a"]}, start_s=2.0, until_s=7.0, seed=6
        )
        replayed = replay(
            arrivals, weights, executor_count=4, until_s=18.0, has_admission=True
        )
        self.assertTrue(replayed.rejections)
        self.assertEqual({a.organisation for a, _ in replayed.rejections}, {"a"})
        self.assertLess(max(a.at for a, _ in replayed.rejections), 11.0)
        ratios = replayed.in_time_ratios(from_s=12.0, until_s=16.0)
        self.assertGreaterEqual(ratios["a"], 0.95)
        over_times = [at for at, name in replayed.over_times if name == "a"]
        self.assertTrue(over_times)
        # The last jobs of the flood are completed or cancelled by then.
        self.assertLess(max(over_times), 13.0)

    def test_worst_tenth_of_organisations_gets_its_share(self):
        """Guards against small organisations that get too little on too little room."""
        # Some demand several times as much as others for their weight.
        demand = {
            name: weight * (1.2, 2.5, 4.0)[position % 3]
            for position, (name, weight) in enumerate(WEIGHTS.items())
        }
        rates = make_rates(demand, 2.2, executor_count=10, largest_count=2)
        arrivals = organisation_load.random_arrivals(
            rates, until_s=16.0, seed=8, largest_count=2
        )
        replayed = replay(arrivals, WEIGHTS, executor_count=10, until_s=16.0)
        got = [replayed.received_core_s[n] / w for n, w in WEIGHTS.items()]
        # All are over their share at a time, so an equal division is possible.
        demanded = collections.Counter()
        for arrival in arrivals:
            core_s = arrival.work_core_s * arrival.actual_s / arrival.estimate_s
            demanded[arrival.organisation] += core_s
        capacity_core_s = replayed.received_core_s.total()
        mean = capacity_core_s / sum(WEIGHTS.values())
        for name, weight in WEIGHTS.items():
            self.assertGreater(demanded[name] / weight, mean, name)
        self.assertGreater(capacity_core_s, 0.85 * 10 * 16 * 16.0)
        self.assertGreaterEqual(sum(sorted(got)[:2]) / 2, 0.8 * mean)

    def test_jobs_that_would_all_be_in_time_stay_in_time(self):
        """Guards against 100 jobs in time that a share turns into 100 late ones."""
        arrivals = [
            organisation_load.Arrival(at=0.1, organisation="a", count=2)
            for _ in range(100)
        ]
        arrivals += [
            organisation_load.Arrival(
                at=0.1 + number / 20, organisation="b", count=1, estimate_s=1.5
            )
            for number in range(40)
        ]
        weights = {"a": 1, "b": 90}
        for configured in ({}, weights):
            replayed = replay(arrivals, configured, executor_count=9, until_s=6.0)
            self.assertEqual(replayed.in_time_ratios(), {"a": 1.0, "b": 1.0})

    def test_unused_share_is_used_and_returned_without_stops(self):
        """Guards against idle cores, and against work killed to return a share."""
        weights = {"a": 1, "b": 9}
        arrivals = [
            organisation_load.Arrival(at=number / 25, organisation="a", count=4)
            for number in range(250)
        ]
        arrivals += [
            organisation_load.Arrival(at=4 + number / 20, organisation="b", count=4)
            for number in range(80)
        ]
        replayed = organisation_load.Replay(weights=weights, executor_count=4)
        replayed.run(arrivals, until_s=4.0)
        self.assertGreater(replayed.received_core_s["a"], 0.8 * 4.0 * 64 * 0.85)
        self.assertEqual(replayed.shares.share("a"), 1.0)
        replayed.run([a for a in arrivals if a.at >= 4.0], until_s=8.5)
        self.assertEqual(replayed.stopped_count, 0)
        self.assertGreaterEqual(replayed.in_time_ratios(from_s=4.0)["b"], 0.95)

    def test_service_counts_over_all_pools(self):
        """Guards against an organisation that gets a share of each pool it uses."""
        arrivals = [
            organisation_load.Arrival(
                at=number / 20, organisation=name, count=4, service=pool
            )
            for name, pool in (("a", "one"), ("a", "two"), ("b", "two"))
            for number in range(140)
        ]
        values = {"executor_count": 2, "until_s": 7.0, "pools": ("one", "two")}
        replayed = replay(arrivals, {"a": 1, "b": 1}, **values)
        # Either may have 32 of the 64 cores. As only a uses the first pool, the second
        # one is left to b; by urgency alone b would get 0.47 of it.
        received = replayed.received_core_s
        self.assertGreater(received["a"], 0.8 * 32 * 7.0)
        self.assertGreater(received["b"], 0.7 * 32 * 7.0)

    def test_shares_hold_after_a_takeover(self):
        """Guards against a flood that a new controller serves first."""
        weights = dict.fromkeys("abcdefgh", 10)
        rates = make_rates(weights, 0.8, executor_count=8)
        usual = organisation_load.random_arrivals(rates, until_s=11.0, seed=3)
        flood = organisation_load.random_arrivals(
            {"d": 7 * rates["d"]}, start_s=2.0, until_s=10.0, seed=4
        )
        arrivals = sorted(usual + flood, key=lambda a: a.at)
        replayed = organisation_load.Replay(weights=weights, executor_count=8)
        replayed.run([a for a in arrivals if a.at < 7.0], until_s=7.0)
        replayed.take_over(0.1)
        replayed.run([], until_s=replayed.now + organisation_load.TICK_S)
        # What runs is the service at once, as if it had run for long.
        self.assertIn("d", replayed.shares.over)
        self.assertGreater(replayed.shares.statuses()["d"].service, 30_000)
        replayed.run([a for a in arrivals if 7.0 <= a.at < 7.2], until_s=7.2)
        replayed.run([a for a in arrivals if a.at >= 7.2], until_s=13.0)
        ratios = replayed.in_time_ratios(from_s=7.0)
        others = [ratio for name, ratio in ratios.items() if name != "d"]
        self.assertGreaterEqual(min(others), 0.9)

    def test_ordinary_unevenness_puts_nobody_over_its_share(self):
        """Guards against small organisations demoted for jobs above their share."""
        rates = make_rates(WEIGHTS, 0.85, executor_count=12)
        arrivals = organisation_load.random_arrivals(rates, until_s=12.0, seed=9)
        replayed = replay(arrivals, WEIGHTS, executor_count=12, until_s=13.0)
        self.assertEqual(replayed.over_times, [])

    def test_decisions_are_the_same_without_organisations(self):
        """Guards against changed decisions where the configuration has none."""
        rates = make_rates(WEIGHTS, 1.3, executor_count=4)
        arrivals = organisation_load.random_arrivals(rates, until_s=5.0, seed=10)
        found = replay(arrivals, {}, executor_count=4, until_s=6.0)

        class ByUrgency(organisation_shares.OrganisationShares):
            """The order before there were organisations."""

            def update(self, now, now_unix_s):
                pass

            def order(self, occurrences, processors, now_unix_s):
                rules = organisation_load.RULES
                return sorted(
                    occurrences, key=lambda o: ordering.sort_key(o, rules, now_unix_s)
                )

        with unittest.mock.patch.object(
            organisation_shares, "OrganisationShares", ByUrgency
        ):
            expected = replay(arrivals, {}, executor_count=4, until_s=6.0)
        self.assertTrue(found.starts)
        self.assertEqual(found.starts, expected.starts)

    def test_no_state_is_kept_of_removed_organisations(self):
        """Guards against memory that grows with each configuration."""
        replayed = organisation_load.Replay(weights={"a": 1}, executor_count=1)
        arrival = organisation_load.Arrival(at=0.0, organisation="a", count=4)
        replayed.run([arrival], until_s=2.0)
        self.assertGreater(replayed.shares.statuses()["a"].received_core_s, 2.0)
        replayed.scheduler.set_organisations(
            {"b": organisations.Organisation(name="b")}
        )
        replayed.run([], until_s=4.0)
        self.assertEqual(list(replayed.shares.statuses()), ["b"])
        self.assertEqual(replayed.shares.statuses()["b"].received_core_s, 0.0)


if __name__ == "__main__":
    unittest.main()
