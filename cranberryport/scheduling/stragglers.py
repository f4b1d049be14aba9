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
# Projections from less progress than this are too rough.
LEAST_PERCENT = 5
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
        return run.percent < 100 and now - run.confirmed_at > STARTUP_S
    limit = max(STALL_S, STALL_SHARE * step.estimate_s)
    return run.percent_at is not None and now - run.percent_at > limit


def projected_s(run, now):
    """Return the time that a run will take in all, None if that is not known yet."""
    if run.confirmed_at is None or run.percent < LEAST_PERCENT:
        return None
    return (run.percent_at - run.confirmed_at) * 100 / run.percent


def note_progress(executor, run, now):
    """Take the progress of a run into the slowness of its executor."""
    step = run.task.step
    if step.is_lasting or step.is_filling or not step.estimate_s:
        return
    total_s = projected_s(run, now)
    if total_s is None:
        return
    ratio = total_s / step.estimate_s
    executor.slowness += SMOOTHING * (ratio - executor.slowness)


def slow_executors(executors):
    """Return the ids of the executors of a pool that are far slower than the others.

    Parameters
    ----------
    executors : list of executors.Executor
        Executors of one pool.
    """
    if len(executors) < 3:
        return set()
    usual = statistics.median(executor.slowness for executor in executors)
    return {e.id for e in executors if e.slowness > SLOW_FACTOR * max(usual, 0.5)}


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
    if is_stalled(run, now):
        return True
    total_s = projected_s(run, now)
    if total_s is None or run.executor not in slow:
        return False
    left_s = total_s - (now - run.confirmed_at)
    again_s = run.task.step.estimate_s
    if run.task.step.saves_checkpoints:
        again_s *= 1 - run.percent / 100
    return left_s > 1.5 * again_s
