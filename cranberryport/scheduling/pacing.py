"""Pace of best-effort tasks that share an executor with serving tasks.

Load pattern: best-effort tasks slow serving tasks down by amounts that change within
seconds, and a serving task must not exceed its latency bound for more than some
seconds.
"""

# The reported tail latency is inexact, so the pace is reduced before the bound is
# reached.
HIGH_LATENCY_RATIO = 0.85
LOW_LATENCY_RATIO = 0.6
DECREASE_FACTOR = 0.4
INCREASE_PERCENT = 10
# Below this a best-effort task makes hardly any progress, so it is paused.
MIN_PACE_PERCENT = 8


def worst_latency_ratio(runs):
    """Return the largest ratio of a serving task's tail latency to its bound.

    Parameters
    ----------
    runs : iterable of model.Run
        Runs on one executor.

    Returns
    -------
    float or None
        None if no task with a bound serves there.
    """
    latency_ratios = [
        run.reported_load / run.task.step.tail_target_ms
        for run in runs
        if run.task.step.tail_target_ms > 0 and run.progress_percent >= 100
    ]
    return max(latency_ratios, default=None)


def next_pace(pace, latency_ratio):
    """Return the next pace of a best-effort task in percent.

    Parameters
    ----------
    pace : int or None
        Present pace in percent; None if a previous controller may have set it.
    latency_ratio : float or None
        Result of :func:`worst_latency_ratio`.

    Returns
    -------
    int or None
        Reduced by a factor near the bound, 0 to pause, and raised by
        ``INCREASE_PERCENT`` well below it. A pace that is not known is left as it is in
        between, paused near the bound, and otherwise that of a new run.
    """
    if latency_ratio is None:
        return 100
    if pace is None and latency_ratio > HIGH_LATENCY_RATIO:
        return 0
    if pace is None:
        return 100 if latency_ratio < LOW_LATENCY_RATIO else None
    if latency_ratio > HIGH_LATENCY_RATIO:
        reduced_pace = int(pace * DECREASE_FACTOR)
        return reduced_pace if reduced_pace >= MIN_PACE_PERCENT else 0
    if latency_ratio < LOW_LATENCY_RATIO:
        return min(100, pace + INCREASE_PERCENT)
    return pace
