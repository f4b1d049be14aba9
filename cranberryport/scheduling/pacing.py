"""Pace of tasks that fill idle processors beside tasks that serve.

Load pattern: tasks that fill disturb serving ones by amounts that change in seconds,
and a serving task must not stay above its bound for more than some seconds.
"""

# The tail latency is a rough figure, so pace falls before the bound is reached.
HIGH_LATENCY_RATIO = 0.85
LOW_LATENCY_RATIO = 0.6
DECREASE_FACTOR = 0.4
INCREASE_PERCENT = 10
# Below this a task that fills does nearly nothing and may as well stand still.
MIN_PACE_PERCENT = 8


def worst_latency_ratio(runs):
    """Return the largest tail latency as a share of its bound, None without any.

    Parameters
    ----------
    runs : iterable of model.Run
        Runs on one executor.
    """
    latency_ratios = [
        run.reported_load / run.task.step.tail_target_ms
        for run in runs
        if run.task.step.tail_target_ms > 0 and run.progress_percent >= 100
    ]
    return max(latency_ratios, default=None)


def next_pace(pace, latency_ratio):
    """Return the pace in percent that follows from the latest tail latency.

    Parameters
    ----------
    pace : int
        Present pace in percent.
    share : float or None
        Result of :func:`worst_share`.
    """
    if latency_ratio is None:
        return 100
    if latency_ratio > HIGH_LATENCY_RATIO:
        reduced_pace = int(pace * DECREASE_FACTOR)
        return reduced_pace if reduced_pace >= MIN_PACE_PERCENT else 0
    if latency_ratio < LOW_LATENCY_RATIO:
        return min(100, pace + INCREASE_PERCENT)
    return pace
