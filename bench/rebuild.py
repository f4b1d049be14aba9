"""Measure how long a controller takes to rebuild its state from stored records.

A new controller rebuilds the state before it takes decisions. The table shows the time
by number of jobs.

Usage: python -m bench.rebuild
"""

import time

from cranberryport import codec
from cranberryport.generated import messages
from cranberryport.scheduling import model, records, scheduler

JOB_COUNTS = (100, 1_000, 10_000)


def make_records(count):
    """Return encoded records of jobs and of their progress.

    Each job has two steps of 6 tasks; 4 tasks of the first step are running.

    Parameters
    ----------
    count : int
        Number of jobs.

    Returns
    -------
    list of tuple of (bytes, bytes)
        Job and progress of each.
    """
    stored = []
    for number in range(count):
        steps = [
            model.Step(count=6, processors=1100, memory=2000, estimate_s=0.8),
            model.Step(count=6, processors=1100, estimate_s=0.8, depends_on=(0,)),
        ]
        job = model.Job(
            id=f"{number:016x}",
            queue="queue",
            service="pool",
            spec="x" * 500,
            steps=steps,
            accepted_at=0.0,
        )
        occurrence = model.Occurrence(job=job, number=0, due_at=0.0)
        job.occurrences[0] = occurrence
        for task in occurrence.tasks[0][:4]:
            task.next_run_number = 2
            task.runs = [model.Run(task=task, number=1, executor="e1")]
        job.state = model.ACTIVE
        stored.append(
            (
                codec.encode(records.job_to_record(job)),
                codec.encode(records.progress_to_record(job)),
            )
        )
    return stored


def rebuild(stored):
    """Return the seconds that it takes to rebuild the state from encoded records."""
    started_at = time.perf_counter()
    state = scheduler.Scheduler(previous_leases_expire_at=0.0)
    for job_data, progress_data in stored:
        job = records.job_from_record(codec.decode(job_data))
        progress = codec.decode(progress_data)
        if not isinstance(progress, messages.ProgressStored):
            raise TypeError(f"unexpected record {type(progress).__name__}")
        state.restore_job(job, progress, 1.0)
    return time.perf_counter() - started_at


def main():
    """Print a row for each number of jobs."""
    print("jobs  seconds  bytes a job")
    for job_count in JOB_COUNTS:
        stored = make_records(job_count)
        size_bytes = (
            sum(
                len(job_data) + len(progress_data) for job_data, progress_data in stored
            )
            / job_count
        )
        print(f"{job_count:6d}  {rebuild(stored):.3f}  {size_bytes:.0f}")


if __name__ == "__main__":
    main()
