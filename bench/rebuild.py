"""Time to rebuild the controller's state from stored records, by number of jobs.

Usage: python -m bench.rebuild
"""

import time

from cranberryport import codec
from cranberryport.generated import messages
from cranberryport.scheduling import model, records, scheduler

SIZES = (100, 1_000, 10_000)


def make_records(count):
    """Return stored jobs and their progress: two steps, a third of the tasks run."""
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
    """Return the seconds that the rebuilding of a state takes."""
    begin = time.perf_counter()
    state = scheduler.Scheduler(previous_leases_expire_at=0.0)
    for job_data, progress_data in stored:
        job = records.job_from_record(codec.decode(job_data))
        progress = codec.decode(progress_data)
        if not isinstance(progress, messages.ProgressStored):
            raise TypeError(f"unexpected record {type(progress).__name__}")
        state.restore_job(job, progress, 1.0)
    return time.perf_counter() - begin


def main():
    """Print a row for each size."""
    print("jobs  seconds  bytes a job")
    for size in SIZES:
        stored = make_records(size)
        size_bytes = sum(len(a) + len(b) for a, b in stored) / size
        print(f"{size:6d}  {rebuild(stored):.3f}  {size_bytes:.0f}")


if __name__ == "__main__":
    main()
