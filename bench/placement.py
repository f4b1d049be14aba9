"""Placement of jobs against first in, first out with first fit, in one simulated run.

Declared sizes and run times are off by up to 4 times, one worker fails everything,
2 % of the jobs can never run, and 1,000 jobs are cancelled at once. Run with
``python -m bench.placement``.
"""

import argparse
import dataclasses
import random
import time

from cranberryport.fleet import placement
from cranberryport.generated import messages
from cranberryport.state import jobs as jobs_module

RACK_SIZE = 4
PROCESSORS = 64
MEMORY_MB = 256 * 1024
DESKS = 12
DURATION_S = 180
CANCELLATION_AT_S = 60
CANCELLED_JOBS = 1_000
# Urgent work starts within 1.5 s; one step of the simulation is 1 s.
START_LIMITS_S = {"rush": 1, "interactive": 10}


class Simulation:
    """Workers and jobs under one placer.

    Parameters
    ----------
    count : int
        Number of workers.
    seed : int
        The same seed gives both placers the same jobs.
    is_baseline : bool
        Whether jobs are placed first in, first out by first fit.
    """

    def __init__(self, *, count, seed, is_baseline):
        self._random = random.Random(seed)
        self._is_baseline = is_baseline
        self._workers = [
            placement.Worker(
                name=f"w{n}",
                rack=f"r{n // RACK_SIZE}",
                processors=PROCESSORS,
                memory_mb=MEMORY_MB,
            )
            for n in range(count)
        ]
        self._unfinished = {}
        self._truth = {}
        self._ends = {}
        self._failures = placement.WorkerFailures()
        self._usage_ratios = placement.UsageRatios()
        self._arrived = {}
        self._classes = {}
        self._started = {}
        self._number = 0
        self._count = count
        self.placements = self.preemptions = self.overfull = self.failed = 0
        self.place_s = self.processors_used = self.cancel_s = 0.0

    def run(self):
        """Simulate the whole time."""
        for now in range(DURATION_S):
            for _ in range(self._count // 8):
                self._arrive(now)
            if now == CANCELLATION_AT_S:
                self._cancel(now)
            self._end_tasks(now)
            start = time.perf_counter()
            chosen = self._choose(now)
            self.place_s += time.perf_counter() - start
            for entry in chosen:
                self._start(entry, now)
            self._measure()

    def _arrive(self, now, batch=False):
        rng = self._random
        self._number += 1
        name = f"j{self._number}"
        request_class = rng.choices(placement.CLASS_ORDER, (1, 4, 5))[0]
        processors = rng.choice((2.0, 4.0, 8.0, 16.0, 48.0))
        runtime_s = rng.choice((10.0, 20.0, 60.0))
        accepted = messages.JobAccepted(
            job=name,
            desk=f"d{rng.randrange(DESKS)}",
            service="s",
            request_class="batch" if batch else request_class,
            processors=processors,
            memory_mb=int(processors * 2048),
            accelerators=0,
            runtime_s=runtime_s,
            payload="",
            deadline=0.0,
            by="",
        )
        job = jobs_module.Job(accepted=accepted, offset=self._number)
        scale = 4.0 ** rng.uniform(-1.0, 1.0)
        used = min(PROCESSORS, processors * scale)
        run_s = max(1, int(runtime_s * 4.0 ** rng.uniform(-1.0, 1.0)))
        self._truth[name] = (used, run_s, rng.random() < 0.02)
        self._unfinished[name] = job
        self._arrived[name] = now
        self._classes[name] = accepted.request_class

    def _cancel(self, now):
        for _ in range(CANCELLED_JOBS):
            self._arrive(now, batch=True)
        names = list(self._unfinished)[-CANCELLED_JOBS:]
        start = time.perf_counter()
        for name in names:
            del self._unfinished[name]
        self.cancel_s = time.perf_counter() - start
        for name in names:
            del self._arrived[name]

    def _choose(self, now):
        jobs = self._unfinished.values()
        if self._is_baseline:
            return first_in_first_out(jobs, self._workers)
        names = [worker.name for worker in self._workers]
        excluded = self._failures.excluded(names, now)
        workers = [
            dataclasses.replace(worker, is_usable=worker.name not in excluded)
            for worker in self._workers
        ]
        desks = {f"d{n}": self._usage_ratios.desk(f"d{n}") for n in range(DESKS)}
        return placement.place(jobs, workers, usage=self._usage(), desks=desks, now=now)

    def _usage(self):
        usage = {worker.name: {} for worker in self._workers}
        for name, job in self._unfinished.items():
            if job.state == "placed":
                used = self._truth[name][0]
                sizes = {"processors": used, "memory_mb": used * 2048}
                usage[job.worker][name] = sizes
        return usage

    def _start(self, entry, now):
        for victim in entry.preempts:
            self._unfinished[victim].state = "waiting"
            self._ends.pop(victim)
            self.preemptions += 1
        job = self._unfinished[entry.job]
        job.state, job.worker = "placed", entry.worker
        _, run_s, is_impossible = self._truth[entry.job]
        is_failing = is_impossible or entry.worker == "w0"
        self._ends[entry.job] = (now + (1 if is_failing else run_s), is_failing)
        self._started.setdefault(entry.job, now)
        self.placements += 1

    def _end_tasks(self, now):
        for name, (end, is_failing) in list(self._ends.items()):
            if end > now:
                continue
            del self._ends[name]
            job = self._unfinished[name]
            if is_failing:
                self._fail(name, job, now)
                continue
            del self._unfinished[name]
            job.processors_used, job.runtime_s, _ = self._truth[name]
            job.memory_mb_used = int(job.processors_used * 2048)
            self._failures.record_success(job.worker)
            self._usage_ratios.observe(job)

    def _fail(self, name, job, now):
        self.failed += 1
        self._failures.record_failure(job.worker, name, now)
        job.state = "waiting"
        job.failed_workers.append(job.worker)
        if len(set(job.failed_workers)) == 3:
            del self._unfinished[name]

    def _measure(self):
        total = 0.0
        for tasks in self._usage().values():
            used = sum(task["processors"] for task in tasks.values())
            total += min(used, PROCESSORS)
            self.overfull += used > PROCESSORS
        self.processors_used += total / (self._count * PROCESSORS) / DURATION_S

    def in_time(self, request_class):
        """Return the share of jobs of a class that started in time."""
        limit = START_LIMITS_S[request_class]
        jobs = [name for name in self._arrived if self._classes[name] == request_class]
        good = sum(
            self._started.get(name, DURATION_S) - self._arrived[name] <= limit
            for name in jobs
        )
        return good / max(1, len(jobs))


def first_in_first_out(jobs, workers):
    """Place by declared size, in order, until the first job that does not fit."""
    free = {worker.name: worker.processors for worker in workers}
    for job in jobs:
        if job.state == "placed":
            free[job.worker] -= job.accepted.processors
    chosen = []
    for job in jobs:
        if job.state != "waiting":
            continue
        size = job.accepted.processors
        names = (
            name
            for name, room in free.items()
            if room >= size and name not in job.failed_workers
        )
        name = next(names, None)
        if name is None:
            break
        free[name] -= size
        chosen.append(placement.Placement(job=job.accepted.job, worker=name))
    return chosen


def main():
    """Print one line for each size and placer."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--workers", type=int, nargs="+", default=[60, 200, 840])
    arguments = parser.parse_args()
    print("workers placer placed/s rush inter used preempted overfull failed cancel_ms")
    for count in arguments.workers:
        for is_baseline in (True, False):
            run = Simulation(count=count, seed=arguments.seed, is_baseline=is_baseline)
            run.run()
            name = "baseline" if is_baseline else "placement"
            print(
                f"{count:7} {name:9} {run.placements / run.place_s:8.0f} "
                f"{run.in_time('rush'):.3f} {run.in_time('interactive'):.3f} "
                f"{run.processors_used:.3f} {run.preemptions:6} "
                f"{run.overfull / (count * DURATION_S):.4f} {run.failed:6} "
                f"{run.cancel_s * 1000:.2f}",
                flush=True,
            )


if __name__ == "__main__":
    main()
