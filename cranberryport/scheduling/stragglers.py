"""Detection of stragglers: runs without progress or on a far too slow executor.

Load pattern: some executors make no progress, or run several times slower than others,
while they answer every request. Declared run times are off by 50 %.
"""

import statistics

from cranberryport.scheduling import model

# Progress is listed about once a second; two lists without a change show a stall.
STALL_S = 2.3
# Share of the declared run time that may pass without progress on a healthy executor.
STALL_SHARE = 0.05
# A long-running task serves within this time after its start on a healthy executor.
STARTUP_LIMIT_S = 4.0
# Over a shorter time, the rate of progress is too rough.
MIN_RATE_INTERVAL_S = 0.25
# Time for an append to the store, a stop, and restoring a checkpoint.
RESTART_COST_S = 0.8
# A run that is not stalled is replaced only if its remaining time is more than this
# many times the estimate for a new run, plus RESTART_COST_S.
REPLACEMENT_FACTOR = 1.5
# A task is replaced at most this many times.
REPLACEMENTS_LIMIT = 2
# Declared run times are off by 50 %; only a larger factor shows a slow executor.
SLOW_FACTOR = 2.5
# Weight of a new rate of progress in the slowdown of an executor.
SMOOTHING = 0.3


def is_stalled(run, now):
    """Return whether a run has made no progress, or has not started up, for too long.

    Parameters
    ----------
    run : model.Run
        The run.
    now : float
        Monotonic time in seconds.
    """
    step = run.task.step
    if run.state != model.RUNNING or run.confirmed_at is None or step.is_filling:
        return False
    if step.is_lasting:
        return run.progress_percent < 100 and now - run.confirmed_at > STARTUP_LIMIT_S
    limit = max(STALL_S, STALL_SHARE * step.estimate_s)
    return run.progressed_at is not None and now - run.progressed_at > limit


def update_progress_rate(executor, run, percent, now):
    """Update the rate of a run and the slowdown of its executor by listed progress.

    Parameters
    ----------
    executor : executors.Executor
        Executor of the run.
    run : model.Run
        Run with its previous progress.
    percent : int
        Newly listed progress.
    now : float
        Monotonic time in seconds.
    """
    step = run.task.step
    if step.is_lasting or step.is_filling or not step.estimate_s:
        return
    # The first listed progress says nothing about the rate: starting and restoring a
    # checkpoint take time, and a run restored from a checkpoint begins above 0 %.
    if not run.progress_percent or percent <= run.progress_percent:
        return
    elapsed_s = now - run.progressed_at
    if elapsed_s < MIN_RATE_INTERVAL_S:
        return
    run.percent_per_s = (percent - run.progress_percent) / elapsed_s
    ratio = 100 / run.percent_per_s / step.estimate_s
    executor.slowdown += SMOOTHING * (ratio - executor.slowdown)


def remaining_run_s(run, now):
    """Return the seconds that a run still takes, None if its rate is not known."""
    if not run.percent_per_s:
        return None
    return (100 - run.progress_percent) / run.percent_per_s - (now - run.progressed_at)


def slow_executors(executors):
    """Return the executors of a pool that are far slower than the median.

    Parameters
    ----------
    executors : list of executors.Executor
        Executors of one pool.

    Returns
    -------
    set of str
        Ids; empty for fewer than three executors.
    """
    if len(executors) < 3:
        return set()
    median_slowdown = statistics.median(executor.slowdown for executor in executors)
    return {
        e.id for e in executors if e.slowdown > SLOW_FACTOR * max(median_slowdown, 0.5)
    }


def is_worth_replacing(run, now, slow_executor_ids):
    """Return whether a task would end sooner if it were started elsewhere now.

    Parameters
    ----------
    run : model.Run
        Run of the task.
    now : float
        Monotonic time in seconds.
    slow_executor_ids : set of str
        Result of :func:`slow_executors`.
    """
    if run.state != model.RUNNING:
        return False
    if is_stalled(run, now):
        return True
    remaining_s = remaining_run_s(run, now)
    if remaining_s is None or run.executor not in slow_executor_ids:
        return False
    rerun_s = run.task.step.estimate_s
    if run.task.step.saves_checkpoints:
        rerun_s *= 1 - run.progress_percent / 100
    return remaining_s > REPLACEMENT_FACTOR * rerun_s + RESTART_COST_S
