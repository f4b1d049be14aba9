"""Tests of :mod:`cranberryport.fleet.placement`."""

import unittest

import hypothesis
from hypothesis import strategies

from cranberryport.fleet import placement
from cranberryport.state import jobs as jobs_module
from tests import control_stream


def _job(name, offset=0, *, worker="", failed=(), **declared):
    accepted = control_stream.make_job(name, **{"memory_mb": 0, **declared})
    job = jobs_module.Job(accepted=accepted, offset=offset)
    job.failed_workers = list(failed)
    if worker:
        job.state, job.worker, job.term = "placed", worker, 1
    return job


def _worker(name, processors=4, **changes):
    return placement.Worker(name=name, processors=processors, memory_mb=100, **changes)


def _place(jobs, workers, *, usage=None, desks=None, now=0.0):
    found = placement.place(
        jobs, workers, usage=usage or {}, desks=desks or {}, now=now
    )
    return [(entry.job, entry.worker, entry.preempts) for entry in found]


def _names(jobs, workers, **options):
    return [entry[0] for entry in _place(jobs, workers, **options)]


class PlaceTest(unittest.TestCase):
    """Urgent work goes first, and nothing is put where it cannot run."""

    def test_order_of_classes(self):
        jobs = [
            _job("b", 1),
            _job("i", 2, request_class="interactive"),
            _job("r", 3, request_class="rush"),
        ]
        self.assertEqual(_names(jobs, [_worker("w")]), ["r", "i", "b"])

    def test_weights_share_the_processors(self):
        jobs = [_job(f"a{n}", n, desk="a") for n in range(6)]
        jobs += [_job(f"b{n}", 10 + n, desk="b") for n in range(6)]
        desks = {"b": placement.Desk(weight=3)}
        names = _names(jobs, [_worker("w")], desks=desks)
        self.assertEqual(sorted(names), ["a0", "b0", "b1", "b2"])

    def test_quota_counts_placed_jobs(self):
        jobs = [_job("p", worker="w"), _job("x", 1), _job("y", 2)]
        desks = {"d": placement.Desk(quota=2)}
        self.assertEqual(_names(jobs, [_worker("w")], desks=desks), ["x"])

    def test_unusable_and_failed_workers_get_nothing(self):
        workers = [_worker("bad"), _worker("leaving", is_usable=False)]
        self.assertEqual(_place([_job("x", failed=["bad"])], workers), [])

    def test_jobs_of_a_desk_spread_over_racks(self):
        workers = [_worker(f"w{n}", rack=f"r{n // 2}") for n in range(4)]
        placed = _place([_job("x"), _job("y", 1)], workers)
        self.assertEqual({worker[1] for _, worker, _ in placed}, {"0", "2"})

    def test_rush_preempts_batch_only(self):
        batch = _job("b", worker="w", processors=4.0)
        rush = _job("r", 1, request_class="rush")
        self.assertEqual(_place([batch, rush], [_worker("w")]), [("r", "w", ("b",))])
        interactive = _job("i", 1, request_class="interactive")
        self.assertEqual(_place([batch, interactive], [_worker("w")]), [])
        batch.accepted.request_class = "interactive"
        self.assertEqual(_place([batch, rush], [_worker("w")]), [])

    def test_short_slack_goes_before_older_batch_work(self):
        late = _job("late", 2, deadline=2_000.0, runtime_s=1_500.0)
        jobs = [_job("old", 1), late]
        worker = [_worker("w", 1)]
        self.assertEqual(_names(jobs, worker), ["late"])
        late.accepted.deadline = 90_000.0
        self.assertEqual(_names(jobs, worker), ["old"])

    def test_small_jobs_do_not_starve_a_large_one(self):
        running = _job("p", worker="w", processors=2.0)
        large = _job("large", 1, processors=4.0)
        small = [_job(f"s{n}", 2 + n) for n in range(3)]
        self.assertEqual(_names([running, large, *small], [_worker("w")]), [])

    def test_smaller_estimate_needs_a_measurement(self):
        jobs = [_job("p", worker="w", processors=4.0), _job("x", 1, processors=2.0)]
        desks = {"d": placement.Desk(processors_ratio=0.5)}
        worker = [_worker("w")]
        self.assertEqual(_names(jobs, worker, desks=desks), [])
        usage = {"w": {"p": {"processors": 2.0, "memory_mb": 0}}}
        self.assertEqual(_names(jobs, worker, desks=desks, usage=usage), ["x"])
        usage["w"]["p"]["processors"] = 3.5
        self.assertEqual(_names(jobs, worker, desks=desks, usage=usage), [])

    def test_a_task_that_still_runs_keeps_its_room(self):
        usage = {"w": {"cancelled": {"processors": 4.0}}}
        self.assertEqual(_names([_job("x")], [_worker("w")], usage=usage), [])

    def test_impossible_only_when_larger_than_every_worker(self):
        workers = [_worker("w"), _worker("v", 8, is_usable=False)]
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
    def test_expected_and_observed_use_never_exceed_a_worker(self, sizes, ratio):
        jobs = [
            _job(str(n), n, request_class=name, processors=size, worker=worker)
            for n, (name, size, worker, _) in enumerate(sizes)
        ]
        usage = {"w0": {}, "w1": {}}
        for n, (_, size, worker, used) in enumerate(sizes):
            if worker:
                usage[worker][str(n)] = {"processors": size * used}
        desks = {"d": placement.Desk(processors_ratio=ratio)}
        workers = [_worker(name, rack=name) for name in usage]
        found = _place(jobs, workers, usage=usage, desks=desks)
        self.assertEqual(len({entry[0] for entry in found}), len(found))
        for name, tasks in usage.items():
            mine = [entry for entry in found if entry[1] == name]
            gone = {job for entry in mine for job in entry[2]}
            total = sum(
                task["processors"] for job, task in tasks.items() if job not in gone
            )
            total += sum(
                min(4, jobs[int(entry[0])].accepted.processors * ratio)
                for entry in mine
            )
            if mine:
                self.assertLessEqual(total, 4 + 1e-6)


class FailuresTest(unittest.TestCase):
    """A worker that fails everything must not take every job in turn."""

    def _fail(self, failures, worker, now):
        for job in "abc":
            failures.record_failure(worker, job, now)

    def test_three_different_jobs_and_doubling(self):
        failures = placement.WorkerFailures()
        for _ in range(3):
            failures.record_failure("w", "same", 0.0)
        self.assertEqual(failures.excluded(["w", "v"], 0.0), set())
        self._fail(failures, "w", 0.0)
        self.assertEqual(failures.excluded(["w", "v"], 59.0), {"w"})
        self.assertEqual(failures.excluded(["w", "v"], 60.0), set())
        self._fail(failures, "w", 60.0)
        self.assertEqual(failures.excluded(["w", "v"], 179.0), {"w"})
        failures.record_success("w")
        self.assertEqual(failures.excluded(["w", "v"], 61.0), set())

    def test_half_of_the_workers_stay_in_use(self):
        failures = placement.WorkerFailures()
        for name in "wxyz":
            self._fail(failures, name, 0.0)
        self.assertEqual(len(failures.excluded("wxyz", 1.0)), 2)


class CorrectionsTest(unittest.TestCase):
    """Odd measurements must not make an estimate useless."""

    def test_ratios_follow_the_measurements_within_bounds(self):
        corrections = placement.UsageRatios()
        job = _job("x", processors=2.0, memory_mb=100, runtime_s=10.0)
        job.processors_used, job.memory_mb_used, job.runtime_s = 1.0, 10_000, 0.001
        for _ in range(50):
            corrections.observe(job)
        desk = corrections.desk("d")
        self.assertAlmostEqual(desk.processors_ratio, 0.6, places=3)
        self.assertEqual(desk.memory_ratio, placement.LARGEST_RATIO)
        self.assertAlmostEqual(desk.runtime_ratio, 0.25, places=3)
