"""Pace of tasks that fill idle processors beside tasks that serve.

Load pattern: tasks that fill disturb serving ones by amounts that change in seconds,
and a serving task must not stay above its bound for more than some seconds.
"""

# The tail latency is a rough figure, so pace falls before the bound is reached.
HIGH_SHARE = 0.85
LOW_SHARE = 0.6
FALL_FACTOR = 0.4
RISE_PERCENT = 10
# Below this a task that fills does nearly nothing and may as well stand still.
LEAST_PERCENT = 8


def worst_latency_ratio(runs):
    """Return the largest tail latency as a share of its bound, None without any.

    Parameters
    ----------
    runs : iterable of model.Run
        Runs on one executor.
    """
    shares = [
        run.reported_load / run.task.step.tail_target_ms
        for run in runs
        if run.task.step.tail_target_ms > 0 and run.progress_percent >= 100
    ]
    return max(shares, default=None)


def next_pace(pace, share):
    """Return the pace in percent that follows from the latest tail latency.

    Parameters
    ----------
    pace : int
        Present pace in percent.
    share : float or None
        Result of :func:`worst_share`.
    """
    if share is None:
        return 100
    if share > HIGH_SHARE:
        lower = int(pace * FALL_FACTOR)
        return lower if lower >= LEAST_PERCENT else 0
    if share < LOW_SHARE:
        return min(100, pace + RISE_PERCENT)
    return pace
