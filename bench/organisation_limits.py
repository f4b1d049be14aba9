"""Measure what limits of organisations add to a decision.

Every organisation is at its limit with some runs, and has more jobs waiting, so that
each decision checks all of them and starts none. The number of jobs and runs is the
same in each row.

Usage: python -m bench.organisation_limits
"""

import logging
import statistics
import time

from cranberryport.scheduling import (
    executors,
    load,
    model,
    ordering,
    organisation_usage,
    organisations,
    scheduler,
    task_planner,
)

ORGANISATION_COUNTS = (0, 20, 2_000)
EXECUTOR_COUNT = 180
EXECUTOR_PROCESSORS = 16_000
RUN_COUNT = 2_000
WAITING_JOB_COUNT = 2_000
DECISION_COUNT = 30
# Short enough that no run becomes a straggler, whose replacement would be measured.
DECISION_INTERVAL_S = 0.02


def make_state(organisation_count):
    """Return a scheduler and a planner with running and waiting jobs.

    Parameters
    ----------
    organisation_count : int
        Number of organisations, which have equal numbers of jobs; 0 for none. Without
        organisations, the waiting jobs find no room instead.

    Returns
    -------
    tuple of (scheduler.Scheduler, task_planner.TaskPlanner)
    """
    state = scheduler.Scheduler(previous_leases_expire_at=0.0)
    planner = task_planner.TaskPlanner(state=state)
    names = [f"o{number}" for number in range(organisation_count)]
    state.set_queues({"queue": ordering.QueueRules(name="queue", service="pool")})
    for number in range(EXECUTOR_COUNT):
        executor = executors.Executor(
            id=f"e{number}",
            service="pool",
            address=("127.0.0.1", 1),
            data_centre="a",
            processors=EXECUTOR_PROCESSORS,
            memory=64_000,
            accelerators=0,
            labels=frozenset(),
        )
        state.add_or_update_executor(executor, 0.0)
        executor.update_clock(1000, 0.0)
        executor.has_accepted_epoch = True
        executor.last_listed_at = 0.0
    _add_jobs(state, "r", RUN_COUNT, names)
    planner.plan(1.0, 1.0)
    for run in state.commit(state.take_batch(), 1.0):
        state.on_run_started(run, 1.0)
    if not names:
        for executor in state.executors.values():
            executor.processors = executor.used_resources()[0]
    share = RUN_COUNT // max(1, organisation_count)
    state.set_organisations(
        {
            name: organisations.Organisation(name=name, processors_limit=share * 1000)
            for name in names
        },
        limit_overshoot=0.1,
    )
    _add_jobs(state, "w", WAITING_JOB_COUNT, names)
    return state, planner


def _add_jobs(state, prefix, count, names):
    for number in range(count):
        job = model.Job(
            id=f"{prefix}{number:015x}",
            queue="queue",
            service="pool",
            spec="",
            steps=[model.Step(count=1, processors=1000, memory=1000, estimate_s=1.0)],
            accepted_at=0.0,
            organisation=names[number % len(names)] if names else "",
        )
        # A job that has waited does not count as arriving.
        state.add_job(job, 60.0)


def measure_ms(call, interval_s=DECISION_INTERVAL_S):
    """Return the median and the largest time of a call in milliseconds.

    Parameters
    ----------
    call : callable
        Called with the monotonic time of the simulation in seconds.
    interval_s : float
        Seconds from one call to the next.
    """
    times_ms = []
    for number in range(DECISION_COUNT):
        started_at = time.perf_counter()
        call(1.01 + number * interval_s)
        times_ms.append((time.perf_counter() - started_at) * 1000)
    return statistics.median(times_ms), max(times_ms)


def print_row(organisation_count):
    """Measure and print the times with a number of organisations."""
    state, planner = make_state(organisation_count)
    run_count = sum(len(e.runs) for e in state.executors.values())
    decision_ms, largest_ms = measure_ms(lambda now: planner.plan(now, 1.0))
    started_count = len(state.take_batch().planned_runs)
    if started_count:
        raise RuntimeError(f"{started_count} runs were planned, expected 0")
    usage_ms, _ = measure_ms(lambda now: organisation_usage.measure(state, now))
    meter = load.LoadMeter(state=state)
    # The meter reuses its sums for a short time.
    demand_ms, _ = measure_ms(
        lambda now: meter.demand(now, 1.0), interval_s=2 * load.MAX_AGE_S
    )
    print(
        f"{organisation_count:13}  {run_count:4}  {WAITING_JOB_COUNT:7}  "
        f"{decision_ms:11.1f}  {largest_ms:7.1f}  {usage_ms:8.2f}  {demand_ms:9.1f}"
    )


def main():
    """Print a row for each number of organisations."""
    logging.disable(logging.INFO)
    print("organisations  runs  waiting  decision ms  largest  usage ms  demand ms")
    for organisation_count in ORGANISATION_COUNTS:
        print_row(organisation_count)


if __name__ == "__main__":
    main()
