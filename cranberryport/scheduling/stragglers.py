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
# From this slowdown on, an executor counts as slower than declared. Declared run times
# are off by 50 %, so runs on a healthy executor take up to twice as long.
NOTABLE_SLOWDOWN = 2.0
# Weight of a measured time that is below a notable slowdown. With ``SMOOTHING`` an
# executor that was 8 times slower would need six measured runs to recover.
RECOVERY_SMOOTHING = 0.6
# A slow executor that is idle gets one task if this time has passed since its slowdown
# was last measured: so it costs at most one slow run in this time to see its recovery.
PROBE_INTERVAL_S = 4.0


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
    limit = max(STALL_S, STALL_SHARE * step.estimate_s * (run.remote_factor or 1.0))
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
    local_run_s = step.estimate_s * (run.remote_factor or 1.0)
    _update_slowdown(executor, 100 / run.percent_per_s / local_run_s, now)


def update_slowdown_by_end(executor, run, how, now):
    """Update the slowdown of a slow executor by the time that a whole run took.

    Short runs end before two lists have shown their progress. An end is listed up to a
    second late, so it can only show that an executor has recovered.

    Parameters
    ----------
    executor : executors.Executor
        Executor of the run.
    run : model.Run
        Run that has ended.
    how : str
        How it ended; only ``'done'`` counts.
    now : float
        Monotonic time in seconds.
    """
    step = run.task.step
    is_measured = how == "done" and run.confirmed_at is not None and step.estimate_s
    if not is_measured or executor.slowdown < NOTABLE_SLOWDOWN:
        return
    if step.is_lasting or step.is_filling or run.checkpoint:
        return
    run_s = step.estimate_s * (run.remote_factor or 1.0)
    ratio = (now - run.confirmed_at) / run_s
    if ratio < executor.slowdown:
        _update_slowdown(executor, ratio, now)


def _update_slowdown(executor, ratio, now):
    is_recovery = executor.slowdown >= NOTABLE_SLOWDOWN and ratio < executor.slowdown
    weight = RECOVERY_SMOOTHING if is_recovery else SMOOTHING
    executor.slowdown += weight * (ratio - executor.slowdown)
    executor.slowdown_measured_at = now


def is_probe_due(executor, now):
    """Return whether a slow executor should get one task to see if it has recovered."""
    since_s = now - executor.slowdown_measured_at
    return not executor.runs and since_s >= PROBE_INTERVAL_S


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


def can_probe(step):
    """Return whether a task of a step may show if a slow executor has recovered.

    Other tasks would wait for it, occupy the executor for long, or say nothing about
    its pace.
    """
    is_together = step.is_gang or step.is_coupled
    return not (is_together or step.is_lasting or step.is_filling)


def probes(candidates, slow_executor_ids, now):
    """Return the slow executors that get one task to see if they have recovered.

    Parameters
    ----------
    candidates : list of (executors.Executor, list of int)
        Executors of one pool, with the free resources of each.
    slow_executor_ids : set of str
        Result of :func:`slow_executors`.
    now : float
        Monotonic time in seconds.

    Returns
    -------
    dict of str to list of int
        Free resources by executor. The executors are the last choice, as they are
        slow, so that they get a task only if there is no room elsewhere.
    """
    return {
        executor.id: free
        for executor, free in candidates
        if executor.id in slow_executor_ids
        and now >= executor.suspected_until
        and is_probe_due(executor, now)
    }


def is_worth_replacing(run, now, slow_executor_ids, *, rerun_factor=None):
    """Return whether a task would end sooner if it were started elsewhere now.

    Parameters
    ----------
    run : model.Run
        Run of the task.
    now : float
        Monotonic time in seconds.
    slow_executor_ids : set of str
        Result of :func:`slow_executors`.
    rerun_factor : float, optional
        Remote factor of the new run; by default that of the present one.
    """
    if run.state != model.RUNNING:
        return False
    if is_stalled(run, now):
        return True
    remaining_s = remaining_run_s(run, now)
    if remaining_s is None or run.executor not in slow_executor_ids:
        return False
    rerun_s = run.task.step.estimate_s * (rerun_factor or run.remote_factor or 1.0)
    if run.task.step.saves_checkpoints:
        rerun_s *= 1 - run.progress_percent / 100
    return remaining_s > REPLACEMENT_FACTOR * rerun_s + RESTART_COST_S
