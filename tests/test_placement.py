"""Tests of :mod:`cranberryport.fleet.placement`."""

import unittest

import hypothesis
from hypothesis import strategies

from cranberryport.fleet import placement
from cranberryport.state import jobs as jobs_module
from tests import control_stream


def _make_job(name, offset=0, *, worker="", failed=(), **declared):
    accepted = control_stream.make_job(name, **{"memory_mb": 0, **declared})
    job = jobs_module.Job(accepted=accepted, offset=offset)
    job.failed_workers = list(failed)
    if worker:
        job.state, job.worker, job.term = "placed", worker, 1
    return job


def _make_worker(name, processors=4, **changes):
    return placement.Worker(name=name, processors=processors, memory_mb=100, **changes)


def _choose_placements(jobs, workers, *, usage=None, desks=None, now=0.0):
    chosen_placements = placement.place(
        jobs, workers, usage=usage or {}, desks=desks or {}, now=now
    )
    return [(entry.job, entry.worker, entry.preempts) for entry in chosen_placements]


def _placed_job_names(jobs, workers, **options):
    return [entry[0] for entry in _choose_placements(jobs, workers, **options)]


class PlaceTest(unittest.TestCase):
    """Guards against a wrong order of jobs and against overloaded workers."""

    def test_rush_goes_before_interactive_before_batch(self):
        jobs = [
            _make_job("b", 1),
            _make_job("i", 2, request_class="interactive"),
            _make_job("r", 3, request_class="rush"),
        ]
        self.assertEqual(_placed_job_names(jobs, [_make_worker("w")]), ["r", "i", "b"])

    def test_desks_share_the_processors_by_weight(self):
        jobs = [_make_job(f"a{n}", n, desk="a") for n in range(6)]
        jobs += [_make_job(f"b{n}", 10 + n, desk="b") for n in range(6)]
        desks = {"b": placement.Desk(weight=3)}
        names = _placed_job_names(jobs, [_make_worker("w")], desks=desks)
        self.assertEqual(sorted(names), ["a0", "b0", "b1", "b2"])

    def test_placed_jobs_count_against_the_quota(self):
        jobs = [_make_job("p", worker="w"), _make_job("x", 1), _make_job("y", 2)]
        desks = {"d": placement.Desk(quota=2)}
        self.assertEqual(
            _placed_job_names(jobs, [_make_worker("w")], desks=desks), ["x"]
        )

    def test_unusable_workers_and_those_where_a_job_failed_get_nothing(self):
        workers = [_make_worker("bad"), _make_worker("leaving", is_usable=False)]
        self.assertEqual(
            _choose_placements([_make_job("x", failed=["bad"])], workers), []
        )

    def test_jobs_of_a_desk_are_spread_over_racks(self):
        workers = [_make_worker(f"w{n}", rack=f"r{n // 2}") for n in range(4)]
        placed = _choose_placements([_make_job("x"), _make_job("y", 1)], workers)
        self.assertEqual({worker[1] for _, worker, _ in placed}, {"0", "2"})

    def test_only_rush_preempts_and_only_batch_is_preempted(self):
        batch = _make_job("b", worker="w", processors=4.0)
        rush = _make_job("r", 1, request_class="rush")
        self.assertEqual(
            _choose_placements([batch, rush], [_make_worker("w")]), [("r", "w", ("b",))]
        )
        interactive = _make_job("i", 1, request_class="interactive")
        self.assertEqual(
            _choose_placements([batch, interactive], [_make_worker("w")]), []
        )
        batch.accepted.request_class = "interactive"
        self.assertEqual(_choose_placements([batch, rush], [_make_worker("w")]), [])

    def test_job_with_short_slack_goes_before_older_batch_jobs(self):
        late = _make_job("late", 2, deadline=2_000.0, runtime_s=1_500.0)
        jobs = [_make_job("old", 1), late]
        worker = [_make_worker("w", 1)]
        self.assertEqual(_placed_job_names(jobs, worker), ["late"])
        late.accepted.deadline = 90_000.0
        self.assertEqual(_placed_job_names(jobs, worker), ["old"])

    def test_small_jobs_do_not_starve_a_large_job(self):
        running = _make_job("p", worker="w", processors=2.0)
        large = _make_job("large", 1, processors=4.0)
        small = [_make_job(f"s{n}", 2 + n) for n in range(3)]
        self.assertEqual(
            _placed_job_names([running, large, *small], [_make_worker("w")]), []
        )

    def test_estimate_below_the_declaration_needs_a_measurement(self):
        jobs = [
            _make_job("p", worker="w", processors=4.0),
            _make_job("x", 1, processors=2.0),
        ]
        desks = {"d": placement.Desk(processors_ratio=0.5)}
        worker = [_make_worker("w")]
        self.assertEqual(_placed_job_names(jobs, worker, desks=desks), [])
        usage = {"w": {"p": {"processors": 2.0, "memory_mb": 0}}}
        self.assertEqual(
            _placed_job_names(jobs, worker, desks=desks, usage=usage), ["x"]
        )
        usage["w"]["p"]["processors"] = 3.5
        self.assertEqual(_placed_job_names(jobs, worker, desks=desks, usage=usage), [])

    def test_running_task_of_a_cancelled_job_keeps_its_sizes(self):
        usage = {"w": {"cancelled": {"processors": 4.0}}}
        self.assertEqual(
            _placed_job_names([_make_job("x")], [_make_worker("w")], usage=usage), []
        )

    def test_job_is_impossible_only_if_larger_than_every_worker(self):
        workers = [_make_worker("w"), _make_worker("v", 8, is_usable=False)]
        self.assertTrue(placement.is_impossible((9, 1, 0), workers))
        self.assertFalse(placement.is_impossible((8, 1, 0), workers))
        self.assertFalse(placement.is_impossible((9, 1, 0), []))

    @hypothesis.settings(derandomize=True, deadline=None, max_examples=60)
    @hypothesis.given(
        sizes=strategies.lists(
            strategies.tuples(
                strategies.sampled_from(placement.CLASS_ORDER),
                strategies.integers(1, 6),
                strategies.sampled_from(["", "w0", "w1"]),
                strategies.floats(0.25, 4.0),
            ),
            max_size=20,
        ),
        ratio=strategies.floats(0.25, 4.0),
    )
    def test_expected_and_measured_usage_never_exceed_a_worker(self, sizes, ratio):
        jobs = [
            _make_job(str(n), n, request_class=name, processors=size, worker=worker)
            for n, (name, size, worker, _) in enumerate(sizes)
        ]
        usage = {"w0": {}, "w1": {}}
        for n, (_, size, worker, used) in enumerate(sizes):
            if worker:
                usage[worker][str(n)] = {"processors": size * used}
        desks = {"d": placement.Desk(processors_ratio=ratio)}
        workers = [_make_worker(name, rack=name) for name in usage]
        chosen_placements = _choose_placements(jobs, workers, usage=usage, desks=desks)
        self.assertEqual(
            len({entry[0] for entry in chosen_placements}), len(chosen_placements)
        )
        for name, tasks in usage.items():
            on_worker = [entry for entry in chosen_placements if entry[1] == name]
            preempted = {job for entry in on_worker for job in entry[2]}
            total = sum(
                task["processors"]
                for job, task in tasks.items()
                if job not in preempted
            )
            total += sum(
                min(4, jobs[int(entry[0])].accepted.processors * ratio)
                for entry in on_worker
            )
            if on_worker:
                self.assertLessEqual(total, 4 + 1e-6)


class WorkerFailuresTest(unittest.TestCase):
    """Guards against a faulty worker on which every job in turn is tried and fails."""

    def _fail_different_jobs(self, failures, worker, now):
        for job in "abc":
            failures.record_failure(worker, job, now)

    def test_exclusion_needs_three_different_jobs_and_doubles(self):
        failures = placement.WorkerFailures()
        for _ in range(3):
            failures.record_failure("w", "same", 0.0)
        self.assertEqual(failures.excluded(["w", "v"], 0.0), set())
        self._fail_different_jobs(failures, "w", 0.0)
        self.assertEqual(failures.excluded(["w", "v"], 59.0), {"w"})
        self.assertEqual(failures.excluded(["w", "v"], 60.0), set())
        self._fail_different_jobs(failures, "w", 60.0)
        self.assertEqual(failures.excluded(["w", "v"], 179.0), {"w"})
        failures.record_success("w")
        self.assertEqual(failures.excluded(["w", "v"], 61.0), set())

    def test_at_most_half_of_the_workers_are_excluded(self):
        failures = placement.WorkerFailures()
        for name in "wxyz":
            self._fail_different_jobs(failures, name, 0.0)
        self.assertEqual(len(failures.excluded("wxyz", 1.0)), 2)


class UsageRatiosTest(unittest.TestCase):
    """Guards against estimates that outliers among the measurements make useless."""

    def test_ratios_follow_measurements_within_bounds(self):
        usage_ratios = placement.UsageRatios()
        job = _make_job("x", processors=2.0, memory_mb=100, runtime_s=10.0)
        job.processors_used, job.memory_mb_used, job.runtime_s = 1.0, 10_000, 0.001
        for _ in range(50):
            usage_ratios.observe(job)
        desk = usage_ratios.desk("d")
        self.assertAlmostEqual(desk.processors_ratio, 0.6, places=3)
        self.assertEqual(desk.memory_ratio, placement.LARGEST_RATIO)
        self.assertAlmostEqual(desk.runtime_ratio, 0.25, places=3)
