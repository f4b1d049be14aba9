"""Time of the controller's decisions about jobs of many small tasks.

Each decision plans runs, makes the records to store, and commits them; then the starts
are confirmed and all executors list their runs. The process does nothing else
meanwhile, and loses the role of the controller if that takes longer than its membership
lasts. Usage: ``python -m bench.large_jobs [--jobs 2] [--executors 6] [COUNT...]``.
"""

import argparse
import cProfile
import math
import pstats
import time

from cranberryport.control import membership
from tests import scheduling

COUNTS = (1_000, 2_000, 4_000, 8_000, 10_000)
EXECUTOR_PROCESSORS = 64_000
EXECUTOR_MEMORY = 262_144
TASK_PROCESSORS = 8
TASK_MEMORY = 10
ESTIMATE_S = 60.0
# A decision ends the measurement once it plans nothing more.
DECISIONS_LIMIT = 200
ROUND_S = 0.05


def measure(count, *, jobs, executors):
    """Return the times of all decisions until each task has started.

    Parameters
    ----------
    count : int
        Tasks of a job.
    jobs, executors : int
        Number of jobs and executors.

    Returns
    -------
    list of (int, float, float)
        Runs started, seconds of the decision, and seconds for the lists after it.
    """
    harness = scheduling.SchedulerHarness(
        count=executors,
        processors=EXECUTOR_PROCESSORS,
        memory=EXECUTOR_MEMORY,
        remote_factor=1.5,
    )
    step = scheduling.make_step(
        count, processors=TASK_PROCESSORS, memory=TASK_MEMORY, estimate_s=ESTIMATE_S
    )
    scheduling.make_jobs(harness, jobs, step)
    for executor in harness.executors:
        executor.lease_expires_at = math.inf
    rows = []
    for _ in range(DECISIONS_LIMIT):
        harness.now += ROUND_S
        began_at = time.perf_counter()
        harness.scheduler.process_due_events(harness.now, scheduling.NOW_UNIX_S)
        runs = harness.start()
        decided_at = time.perf_counter()
        for executor in harness.executors:
            rows_listed = [
                (*key, "", int((harness.now - run.ordered_at) / ESTIMATE_S * 100))
                for key, run in executor.runs.items()
            ]
            harness.list_runs(executor, rows_listed)
        rows.append(
            (len(runs), decided_at - began_at, time.perf_counter() - decided_at)
        )
        if sum(row[0] for row in rows) == count * jobs:
            break
    return rows


def main():
    """Print the longest decision for each size of the jobs."""
    parser = argparse.ArgumentParser(description=__doc__.split("\n")[0])
    parser.add_argument("counts", nargs="*", type=int, default=COUNTS)
    parser.add_argument("--jobs", type=int, default=2)
    parser.add_argument("--executors", type=int, default=6)
    parser.add_argument("--profile", action="store_true")
    options = parser.parse_args()
    print(f"a membership lasts {membership.TTL_S} s")
    print("tasks  started  decisions  longest, s  in all, s  longest lists, s")
    profile = cProfile.Profile() if options.profile else None
    for count in options.counts:
        if profile is not None:
            profile.enable()
        rows = measure(count, jobs=options.jobs, executors=options.executors)
        if profile is not None:
            profile.disable()
        decisions = [row[1] for row in rows]
        print(
            f"{count * options.jobs:5}  {sum(row[0] for row in rows):7}"
            f"  {len(rows):9}  {max(decisions):10.3f}  {sum(decisions):9.3f}"
            f"  {max(row[2] for row in rows):16.3f}"
        )
    if profile is not None:
        pstats.Stats(profile).sort_stats("cumulative").print_stats(30)


if __name__ == "__main__":
    main()
