"""Tests for cranberryport.scheduling.locality."""

import math
import unittest

from cranberryport.scheduling import locality, model, packing, stragglers
from tests import scheduling


def make_places(harness, excluded_ids=()):
    """Return the expected places on all executors of a harness."""
    candidates = [(e, e.free_resources()) for e in harness.executors]
    return locality.Places(
        candidates=candidates, excluded_ids=excluded_ids, now=harness.now
    ), candidates


class RemoteTest(unittest.TestCase):
    """Where a task is remote."""

    def test_task_is_local_on_the_rack_of_its_data(self):
        """Guards against counting every task of a job with data as remote."""
        step = scheduling.make_step(rack="r1")
        self.assertFalse(locality.is_remote(step, "r1", set(), 3.0))
        self.assertTrue(locality.is_remote(step, "r2", set(), 3.0))

    def test_coupled_task_is_local_beside_the_others(self):
        """Guards against splitting a coupled step over racks unnoticed."""
        step = scheduling.make_step(2, is_coupled=True)
        self.assertFalse(locality.is_remote(step, "r1", set(), 3.0))
        self.assertTrue(locality.is_remote(step, "r2", {"r1"}, 3.0))

    def test_gang_without_a_factor_prefers_no_rack(self):
        """Guards against other decisions where remote runs take no longer."""
        step = scheduling.make_step(2, is_gang=True)
        self.assertFalse(locality.is_remote(step, "r2", {"r1"}, 1.0))
        self.assertTrue(locality.is_remote(step, "r2", {"r1"}, 1.5))


class RunTimeTest(unittest.TestCase):
    """Expected run times and ends."""

    def setUp(self):
        """Start one run of 2 s."""
        self.harness = scheduling.SchedulerHarness(processors=1000)
        step = scheduling.make_step(estimate_s=2.0, rack="r1")
        self.harness.add_job(scheduling.make_job(step))
        (self.run,) = self.harness.start()
        self.executor = self.harness.executors[0]

    def _remaining_s(self, after_s):
        now = self.harness.now + after_s
        return locality.expected_remaining_s(self.run, self.executor, now)

    def test_slowdown_and_remote_factor_multiply_the_estimate(self):
        """Guards against expecting a remote run on a slow executor too early."""
        self.executor.slowdown = 4.1
        found = locality.expected_run_s(self.run.task.step, self.executor, set(), 1.5)
        self.assertEqual(found, 2.0 * 4.0 * 1.5)

    def test_errors_of_estimates_are_no_slowdown(self):
        """Guards against other placements because declared run times are wrong."""
        for slowdown in (0.5, 1.5, 1.99):
            self.executor.slowdown = slowdown
            self.assertEqual(locality.learnt_slowdown(self.executor), 1.0)

    def test_slowdown_is_bounded(self):
        """Guards against a single wrong declared time that rules an executor out."""
        self.executor.slowdown = 80.0
        self.assertEqual(
            locality.learnt_slowdown(self.executor), locality.SLOWDOWN_LIMIT
        )

    def test_end_without_progress_follows_the_declared_time(self):
        """Guards against expecting an overdue run to end at once, at 50 % error."""
        self.assertEqual(self._remaining_s(0.5), 1.5)
        self.assertEqual(self._remaining_s(2.0), 0.5)
        self.run.progressed_at = self.harness.now + 4.0
        self.assertEqual(self._remaining_s(4.0), 0.25)

    def test_end_follows_progress_where_it_is_known(self):
        """Guards against trusting a declared time that is wrong by half."""
        self.run.progress_percent, self.run.percent_per_s = 50, 10.0
        self.run.progressed_at = self.harness.now
        self.assertEqual(self._remaining_s(1.0), 4.0)

    def test_stalled_run_is_not_expected_to_end(self):
        """Guards against waiting for a place on an executor without progress."""
        self.assertEqual(self._remaining_s(stragglers.STALL_S + 0.1), math.inf)

    def test_busy_time_counts_remote_factor_and_slowdown(self):
        """Guards against moving an instance that is busy for longer than declared."""
        self.run.remote_factor, self.executor.slowdown = 1.5, 2.0
        self.assertEqual(packing.busy_for_s(self.executor, self.harness.now), 6.0)

    def test_remote_run_is_no_sign_of_a_slow_executor(self):
        """Guards against replacing remote runs as stragglers, and avoiding their hosts.

        The run takes three times the estimate, as it is remote.
        """
        self.run.remote_factor = 3.0
        for seconds, percent in ((1.0, 17), (2.0, 34), (3.0, 51)):
            stragglers.update_progress_rate(
                self.executor, self.run, percent, self.harness.now + seconds
            )
            self.run.progress_percent = percent
            self.run.progressed_at = self.harness.now + seconds
        self.assertLess(self.executor.slowdown, 1.1)

    def test_remote_run_lengthens_the_critical_path(self):
        """Guards against serving a job late whose remote task still takes long."""
        occurrence = self.run.task.occurrence
        self.assertEqual(occurrence.remaining_critical_path_s, 2.0)
        self.run.remote_factor = 3.0
        occurrence.update_remote_factor(0)
        self.assertEqual(occurrence.remaining_critical_path_s, 6.0)

    def test_factor_of_a_restored_run_is_worked_out(self):
        """Guards against replacing remote runs as stragglers after a takeover."""
        self.run.remote_factor = None
        candidates = [(self.executor, [0, 0, 0])]
        known = self.harness.scheduler.executors
        locality.set_missing_remote_factors(candidates, known, 3.0)
        self.assertEqual(self.run.remote_factor, 3.0)


class PlacesTest(unittest.TestCase):
    """When there is room, and for whom."""

    def setUp(self):
        """Fill one executor with tasks of 1 and of 2 s."""
        self.harness = scheduling.SchedulerHarness(processors=2000, rack="r1")
        for number, estimate_s in enumerate((1.0, 2.0)):
            step = scheduling.make_step(estimate_s=estimate_s)
            self.harness.add_job(scheduling.make_job(step, job=f"{number:016x}"))
        self.harness.start()
        self.executor = self.harness.executors[0]
        self.places, self.candidates = make_places(self.harness)

    def test_room_is_expected_once_enough_runs_have_ended(self):
        """Guards against waiting for the first end when a task needs two."""
        small = scheduling.make_step(processors=1000)
        large = scheduling.make_step(processors=2000)
        self.assertEqual(self.places.room_in_s(small, self.executor), 1.0)
        self.assertEqual(self.places.room_in_s(large, self.executor), 2.0)
        self.assertEqual(
            self.places.room_in_s(scheduling.make_step(processors=3000), self.executor),
            math.inf,
        )

    def test_room_is_promised_once(self):
        """Guards against two tasks that wait for the same place."""
        step = scheduling.make_step(processors=1000)
        self.places.promise(step, self.executor, 1.0, 5.0)
        self.assertEqual(self.places.room_in_s(step, self.executor), 2.0)

    def test_places_of_several_tasks_are_distinct(self):
        """Guards against expecting a whole step in the place of one task."""
        step = scheduling.make_step(processors=1000)
        found = self.places.places(
            step, self.candidates, 2, run_s=9.0, limit_s=3.0, task_counts={}
        )
        self.assertEqual([in_s for in_s, _ in found], [1.0, 2.0])
        # Nothing is promised by looking.
        self.assertEqual(self.places.room_in_s(step, self.executor), 1.0)
        self.assertIsNone(
            self.places.places(
                step, self.candidates, 3, run_s=9.0, limit_s=3.0, task_counts={}
            )
        )

    def test_spread_limit_counts_in_expected_places(self):
        """Guards against waiting where the spread limit forbids a start."""
        step = scheduling.make_step(processors=100, spread=1)
        found = self.places.places(
            step, self.candidates, 1, run_s=1.0, limit_s=3.0, task_counts={"e1": 1}
        )
        self.assertIsNone(found)

    def test_label_counts_in_expected_places(self):
        """Guards against waiting for an executor without the required label."""
        step = scheduling.make_step(processors=1000, label="gpu")
        self.assertEqual(self.places.room_in_s(step, self.executor), math.inf)

    def test_nothing_waits_for_slow_and_untrusted_executors(self):
        """Guards against a wait for a place that is worse than a remote one."""
        places, candidates = make_places(self.harness, excluded_ids={"e1"})
        self.assertEqual(places.racks(candidates), {})
        self.executor.suspected_until = self.harness.now + 1.0
        places, candidates = make_places(self.harness)
        self.assertEqual(places.racks(candidates), {})

    def test_only_tasks_that_end_in_time_use_promised_room(self):
        """Guards against a large waiting task whose room is taken bit by bit."""
        del self.executor.runs[(f"{0:016x}.0.0.0", 1)]
        places, candidates = make_places(self.harness)
        large = scheduling.make_step(processors=2000)
        places.promise(large, self.executor, 2.0, 5.0)

        def usable(estimate_s):
            step = scheduling.make_step(estimate_s=estimate_s)
            return places.unpromised(candidates, step, set(), 1.5)

        self.assertEqual(usable(1.5), candidates)
        self.assertEqual(usable(2.5), [])


class UnevenExecutorsTest(unittest.TestCase):
    """Learnt slowdowns in placement, and how they are forgotten."""

    def setUp(self):
        """Make one of four executors slow."""
        self.harness = scheduling.SchedulerHarness(count=4, processors=2000)
        self.slow = self.harness.executors[0]
        self.slow.slowdown = 6.0
        self.slow.slowdown_measured_at = self.harness.now

    def _start(self, *steps, job="b"):
        self.harness.add_job(scheduling.make_job(*steps, job=job * 16))
        return [run.executor for run in self.harness.start()]

    def test_normal_executor_is_preferred_even_if_remote(self):
        """Guards against a local run that takes longer than a remote one."""
        step = scheduling.make_step(rack="r1")
        near, far = scheduling.make_executor("a", rack="r1"), self.harness.executors[1]
        near.slowdown = 4.0
        chosen = packing.choose_executor(
            step,
            [(near, [9000, 9000, 0]), (far, [9000, 9000, 0])],
            task_counts={},
            used_racks=set(),
            avoided_executors=(),
            long_running_counts={},
            remote_factor=1.5,
        )
        self.assertIs(chosen, far)

    def test_gang_avoids_an_executor_below_the_limit_of_slow_ones(self):
        """Guards against a gang that is as slow as its slowest member."""
        self.slow.slowdown = 2.4
        gang = scheduling.make_step(3, processors=2000, is_gang=True)
        self.assertNotIn("e1", self._start(gang))

    def test_idle_slow_executor_gets_one_task_after_a_while(self):
        """Guards against an executor that gets no work and so never recovers."""
        step = scheduling.make_step(10)
        self.assertNotIn("e1", self._start(step))
        self.harness.now += stragglers.PROBE_INTERVAL_S
        self.assertEqual(self._start(step, job="c"), ["e1"])
        self.assertEqual(self._start(step, job="d"), [])

    def test_slow_executor_gets_no_task_while_others_have_room(self):
        """Guards against probes that make jobs late for nothing."""
        self.harness.now += stragglers.PROBE_INTERVAL_S
        self.assertNotIn("e1", self._start(scheduling.make_step(6)))

    def test_gang_is_no_probe(self):
        """Guards against a gang that waits for a slow member."""
        self.harness.now += stragglers.PROBE_INTERVAL_S
        gang = scheduling.make_step(4, processors=2000, is_gang=True)
        self.assertEqual(self._start(gang), [])

    def test_short_runs_show_that_an_executor_has_recovered(self):
        """Guards against a slowdown that stays as short runs list no progress."""
        task = model.Occurrence(job=scheduling.make_job(), number=0, due_at=0.0)
        for _ in range(2):
            run = model.Run(task=task.tasks[0][0], number=1, executor="e1")
            run.confirmed_at = self.harness.now
            self.harness.now += 1.0
            stragglers.update_slowdown_by_end(self.slow, run, "done", self.harness.now)
        self.assertLess(self.slow.slowdown, stragglers.NOTABLE_SLOWDOWN)

    def test_run_that_took_long_is_no_recovery(self):
        """Guards against trusting an executor that is still slow."""
        occurrence = model.Occurrence(job=scheduling.make_job(), number=0, due_at=0.0)
        run = model.Run(task=occurrence.tasks[0][0], number=1, executor="e1")
        run.confirmed_at = self.harness.now
        stragglers.update_slowdown_by_end(
            self.slow, run, "done", self.harness.now + 7.0
        )
        self.assertEqual(self.slow.slowdown, 6.0)


if __name__ == "__main__":
    unittest.main()
