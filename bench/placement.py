"""Compare the placement of jobs with first in, first out, first fit, in a simulation.

The load is hard to place: declared sizes and run times are wrong by a factor of up to
4, one worker fails every task, 2 % of the jobs fail on every worker, and 1,000 jobs are
cancelled at once. Run with ``python -m bench.placement``.
"""

import argparse
import dataclasses
import random
import time

from cranberryport.fleet import placement
from cranberryport.generated import messages
from cranberryport.state import jobs as jobs_module

WORKERS_PER_RACK = 4
WORKER_PROCESSORS = 64
WORKER_MEMORY_MB = 256 * 1024
DESK_COUNT = 12
DURATION_S = 180
CANCELLATION_AT_S = 60
CANCELLED_JOB_COUNT = 1_000
# Rush jobs have to start within 1.5 s; a step of the simulation is 1 s.
START_LIMITS_S = {"rush": 1, "interactive": 10}


class Simulation:
    """Workers and jobs under one of the two ways to place jobs, in steps of 1 s.

    Parameters
    ----------
    worker_count : int
        Number of workers.
    seed : int
        Seed of the jobs; with the same seed both ways get the same jobs.
    is_baseline : bool
        Whether jobs are placed first in, first out by first fit.

    Attributes
    ----------
    placement_count, preemption_count, failure_count : int
        Placements of jobs, preemptions of running tasks, and failed tasks.
    overfull_worker_steps : int
        Workers whose tasks used more processors than the worker has, added up over the
        steps.
    placing_s, cancellation_s : float
        Wall time, in seconds, of all placements and of the cancellation of
        ``CANCELLED_JOB_COUNT`` jobs.
    utilization : float
        Mean ratio of processors used to processors of all workers.
    """

    def __init__(self, *, worker_count, seed, is_baseline):
        self._random = random.Random(seed)
        self._is_baseline = is_baseline
        self._workers = [
            placement.Worker(
                name=f"w{n}",
                rack=f"r{n // WORKERS_PER_RACK}",
                processors=WORKER_PROCESSORS,
                memory_mb=WORKER_MEMORY_MB,
            )
            for n in range(worker_count)
        ]
        self._unfinished = {}
        # Processors used, run time in seconds, and whether it fails on every worker.
        self._actual_by_job = {}
        self._end_by_job = {}
        self._failures = placement.WorkerFailures()
        self._usage_ratios = placement.UsageRatios()
        self._arrived_at = {}
        self._class_by_job = {}
        self._first_started_at = {}
        self._job_count = 0
        self._worker_count = worker_count
        self.placement_count = self.preemption_count = 0
        self.overfull_worker_steps = self.failure_count = 0
        self.placing_s = self.utilization = self.cancellation_s = 0.0

    def run(self):
        """Simulate ``DURATION_S`` in steps of 1 s."""
        for now in range(DURATION_S):
            for _ in range(self._worker_count // 8):
                self._add_job(now)
            if now == CANCELLATION_AT_S:
                self._cancel_jobs(now)
            self._end_tasks(now)
            started_at = time.perf_counter()
            placements = self._choose_placements(now)
            self.placing_s += time.perf_counter() - started_at
            for chosen_placement in placements:
                self._start_task(chosen_placement, now)
            self._record_usage()

    def _add_job(self, now, is_batch=False):
        random_numbers = self._random
        self._job_count += 1
        name = f"j{self._job_count}"
        request_class = random_numbers.choices(placement.CLASS_ORDER, (1, 4, 5))[0]
        processors = random_numbers.choice((2.0, 4.0, 8.0, 16.0, 48.0))
        runtime_s = random_numbers.choice((10.0, 20.0, 60.0))
        accepted = messages.JobAccepted(
            job=name,
            desk=f"d{random_numbers.randrange(DESK_COUNT)}",
            service="s",
            request_class="batch" if is_batch else request_class,
            processors=processors,
            memory_mb=int(processors * 2048),
            accelerators=0,
            runtime_s=runtime_s,
            payload="",
            deadline=0.0,
            by="",
        )
        job = jobs_module.Job(accepted=accepted, offset=self._job_count)
        scale = 4.0 ** random_numbers.uniform(-1.0, 1.0)
        used_processors = min(WORKER_PROCESSORS, processors * scale)
        run_s = max(1, int(runtime_s * 4.0 ** random_numbers.uniform(-1.0, 1.0)))
        self._actual_by_job[name] = (
            used_processors,
            run_s,
            random_numbers.random() < 0.02,
        )
        self._unfinished[name] = job
        self._arrived_at[name] = now
        self._class_by_job[name] = accepted.request_class

    def _cancel_jobs(self, now):
        for _ in range(CANCELLED_JOB_COUNT):
            self._add_job(now, is_batch=True)
        names = list(self._unfinished)[-CANCELLED_JOB_COUNT:]
        started_at = time.perf_counter()
        for name in names:
            del self._unfinished[name]
        self.cancellation_s = time.perf_counter() - started_at
        for name in names:
            del self._arrived_at[name]

    def _choose_placements(self, now):
        jobs = self._unfinished.values()
        if self._is_baseline:
            return first_in_first_out(jobs, self._workers)
        names = [worker.name for worker in self._workers]
        excluded = self._failures.excluded(names, now)
        workers = [
            dataclasses.replace(worker, is_usable=worker.name not in excluded)
            for worker in self._workers
        ]
        desks = {f"d{n}": self._usage_ratios.desk(f"d{n}") for n in range(DESK_COUNT)}
        return placement.place(
            jobs, workers, usage=self._read_usage(), desks=desks, now=now
        )

    def _read_usage(self):
        usage = {worker.name: {} for worker in self._workers}
        for name, job in self._unfinished.items():
            if job.state == "placed":
                used_processors = self._actual_by_job[name][0]
                sizes = {
                    "processors": used_processors,
                    "memory_mb": used_processors * 2048,
                }
                usage[job.worker][name] = sizes
        return usage

    def _start_task(self, chosen_placement, now):
        for preempted_job in chosen_placement.preempts:
            self._unfinished[preempted_job].state = "waiting"
            self._end_by_job.pop(preempted_job)
            self.preemption_count += 1
        job = self._unfinished[chosen_placement.job]
        job.state, job.worker = "placed", chosen_placement.worker
        _, run_s, is_impossible = self._actual_by_job[chosen_placement.job]
        is_failing = is_impossible or chosen_placement.worker == "w0"
        self._end_by_job[chosen_placement.job] = (
            now + (1 if is_failing else run_s),
            is_failing,
        )
        self._first_started_at.setdefault(chosen_placement.job, now)
        self.placement_count += 1

    def _end_tasks(self, now):
        for name, (end_s, is_failing) in list(self._end_by_job.items()):
            if end_s > now:
                continue
            del self._end_by_job[name]
            job = self._unfinished[name]
            if is_failing:
                self._fail_task(name, job, now)
                continue
            del self._unfinished[name]
            job.processors_used, job.runtime_s, _ = self._actual_by_job[name]
            job.memory_mb_used = int(job.processors_used * 2048)
            self._failures.record_success(job.worker)
            self._usage_ratios.observe(job)

    def _fail_task(self, name, job, now):
        self.failure_count += 1
        self._failures.record_failure(job.worker, name, now)
        job.state = "waiting"
        job.failed_workers.append(job.worker)
        if len(set(job.failed_workers)) == 3:
            del self._unfinished[name]

    def _record_usage(self):
        busy_processors = 0.0
        for tasks in self._read_usage().values():
            used_processors = sum(task["processors"] for task in tasks.values())
            busy_processors += min(used_processors, WORKER_PROCESSORS)
            self.overfull_worker_steps += used_processors > WORKER_PROCESSORS
        self.utilization += (
            busy_processors / (self._worker_count * WORKER_PROCESSORS) / DURATION_S
        )

    def started_in_time_ratio(self, request_class):
        """Return the ratio of jobs of a class that started within their limit."""
        limit_s = START_LIMITS_S[request_class]
        jobs = [
            name
            for name in self._arrived_at
            if self._class_by_job[name] == request_class
        ]
        in_time_count = sum(
            self._first_started_at.get(name, DURATION_S) - self._arrived_at[name]
            <= limit_s
            for name in jobs
        )
        return in_time_count / max(1, len(jobs))


def first_in_first_out(jobs, workers):
    """Place jobs by declared size, in order, until the first one that fits nowhere.

    Parameters
    ----------
    jobs : iterable of jobs_module.Job
        Unfinished jobs in the order of their acceptance.
    workers : list of placement.Worker
        All workers.

    Returns
    -------
    list of placement.Placement
        Chosen worker of each job, without preemptions.
    """
    free_by_worker = {worker.name: worker.processors for worker in workers}
    for job in jobs:
        if job.state == "placed":
            free_by_worker[job.worker] -= job.accepted.processors
    placements = []
    for job in jobs:
        if job.state != "waiting":
            continue
        processors = job.accepted.processors
        names = (
            name
            for name, free_processors in free_by_worker.items()
            if free_processors >= processors and name not in job.failed_workers
        )
        name = next(names, None)
        if name is None:
            break
        free_by_worker[name] -= processors
        placements.append(placement.Placement(job=job.accepted.job, worker=name))
    return placements


def main():
    """Print one line for each number of workers and way to place jobs."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--workers", type=int, nargs="+", default=[60, 200, 840])
    arguments = parser.parse_args()
    print("workers placer placed/s rush inter used preempted overfull failed cancel_ms")
    for worker_count in arguments.workers:
        for is_baseline in (True, False):
            run = Simulation(
                worker_count=worker_count, seed=arguments.seed, is_baseline=is_baseline
            )
            run.run()
            name = "baseline" if is_baseline else "placement"
            print(
                f"{worker_count:7} {name:9} "
                f"{run.placement_count / run.placing_s:8.0f} "
                f"{run.started_in_time_ratio('rush'):.3f} "
                f"{run.started_in_time_ratio('interactive'):.3f} "
                f"{run.utilization:.3f} {run.preemption_count:6} "
                f"{run.overfull_worker_steps / (worker_count * DURATION_S):.4f} "
                f"{run.failure_count:6} "
                f"{run.cancellation_s * 1000:.2f}",
                flush=True,
            )


if __name__ == "__main__":
    main()
