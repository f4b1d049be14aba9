"""Runs that stand still or go on far too slowly.

Load pattern: some executors stand still or run several times slower than others while
they answer every question, and declared run times are off by half.
"""

import statistics

from cranberryport.scheduling import model

# Progress is listed about once a second, so two lists without any show a standstill.
STALL_S = 2.3
# Share of the declared run time without progress that is still usual.
STALL_SHARE = 0.05
# A lasting task starts up within this time on a sound executor.
STARTUP_S = 4.0
# Rates over less time than this are too rough.
LEAST_INTERVAL_S = 0.25
# A start elsewhere takes an append, a stop and perhaps the restoring of a checkpoint.
LEAVE_COST_S = 0.8
LEAVE_FACTOR = 1.5
# A task that found only slow executors so far stays where it is.
LEAVES_LIMIT = 2
# Declared run times are off by half, so only a larger factor shows a slow executor.
SLOW_FACTOR = 2.5
SMOOTHING = 0.3


def is_stalled(run, now):
    """Return whether a run has made no progress for too long.

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
        return run.progress_percent < 100 and now - run.confirmed_at > STARTUP_S
    limit = max(STALL_S, STALL_SHARE * step.estimate_s)
    return run.progressed_at is not None and now - run.progressed_at > limit


def note_progress(executor, run, percent, now):
    """Take newly listed progress of a run into its rate and its executor's slowness.

    Parameters
    ----------
    executor : executors.Executor
        Where it runs.
    run : model.Run
        The run with its previous progress.
    percent : int
        New progress.
    now : float
        Monotonic time in seconds.
    """
    step = run.task.step
    if step.is_lasting or step.is_filling or not step.estimate_s:
        return
    # The first progress says nothing about the rate: starting up and restoring a
    # checkpoint take time, and a restored run begins with progress.
    if not run.progress_percent or percent <= run.progress_percent:
        return
    spent_s = now - run.progressed_at
    if spent_s < LEAST_INTERVAL_S:
        return
    run.percent_per_s = (percent - run.progress_percent) / spent_s
    ratio = 100 / run.percent_per_s / step.estimate_s
    executor.slowdown += SMOOTHING * (ratio - executor.slowdown)


def left_s(run, now):
    """Return the time that a run still takes, None if its rate is not known."""
    if not run.percent_per_s:
        return None
    return (100 - run.progress_percent) / run.percent_per_s - (now - run.progressed_at)


def slow_executors(executors):
    """Return the ids of the executors of a pool that are far slower than the others.

    Parameters
    ----------
    executors : list of executors.Executor
        Executors of one pool.
    """
    if len(executors) < 3:
        return set()
    usual = statistics.median(executor.slowdown for executor in executors)
    return {e.id for e in executors if e.slowdown > SLOW_FACTOR * max(usual, 0.5)}


def is_worth_leaving(run, now, slow):
    """Return whether a run would end sooner if it were started elsewhere now.

    Parameters
    ----------
    run : model.Run
        The run.
    now : float
        Monotonic time in seconds.
    slow : set of str
        Slow executors.
    """
    if run.state != model.RUNNING:
        return False
    if is_stalled(run, now):
        return True
    remaining_s = left_s(run, now)
    if remaining_s is None or run.executor not in slow:
        return False
    again_s = run.task.step.estimate_s
    if run.task.step.saves_checkpoints:
        again_s *= 1 - run.progress_percent / 100
    return remaining_s > LEAVE_FACTOR * again_s + LEAVE_COST_S
