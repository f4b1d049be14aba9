"""Choice of the executor for a task.

Load pattern: tasks of uneven size on few executors; lasting tasks stay for long, and an
executor that has one cannot be lent to another pool while its own is idle. After a peak
an executor that gets a task again and again stays in use for one task at a time.
"""

import math

# Declared run times are off by half, so smaller differences say nothing.
PROLONGING_STEP_S = 0.4


def fits(step, executor, free):
    """Return whether a task fits into what is free.

    Parameters
    ----------
    step : model.Step
        Needs of the task.
    executor : executors.Executor
        Candidate.
    free : list of int
        Free processors, memory and accelerators.
    """
    if step.label and step.label not in executor.labels:
        return False
    processors = 0 if step.is_filling else step.processors
    return (
        processors <= free[0]
        and step.memory <= free[1]
        and step.accelerators <= free[2]
    )


def take(step, free):
    """Subtract a task from what is free."""
    if not step.is_filling:
        free[0] -= step.processors
    free[1] -= step.memory
    free[2] -= step.accelerators


class RefusedNeeds:
    """Remembers needs that fitted nowhere while one pool is planned.

    While a pool is full, most waiting steps need as much as one that was refused, and
    need not be compared with every executor again. Room only shrinks meanwhile.
    """

    __slots__ = ("_refused",)

    def __init__(self):
        self._refused = []

    def note(self, step):
        """Note that a task of a step fits nowhere."""
        if not step.spread:
            self._refused.append(_needs(step))

    def covers(self, step):
        """Return whether a task that needs no more than this step fitted nowhere."""
        label, *needs = _needs(step)
        return any(
            other[0] in ("", label)
            and all(a >= b for a, b in zip(needs, other[1:], strict=True))
            for other in self._refused
        )


def _needs(step):
    processors = 0 if step.is_filling else step.processors
    return step.label, processors, step.memory, step.accelerators


def busy_s(executor, now):
    """Return the time until an executor is empty, by the declared run times.

    Parameters
    ----------
    executor : executors.Executor
        The executor.
    now : float
        Monotonic time in seconds.

    Returns
    -------
    float
        Seconds; infinite for an executor with a lasting task.
    """
    longest = 0.0
    for run in executor.runs.values():
        step = run.task.step
        if step.is_lasting:
            return math.inf
        began = now if run.confirmed_at is None else run.confirmed_at
        longest = max(longest, began + step.estimate_s - now)
    return longest


def choose(
    step, candidates, *, used_on, racks, avoided_executors, lasting_on, busy=None
):
    """Choose an executor for one task.

    Parameters
    ----------
    step : model.Step
        Needs of the task.
    candidates : list of (executors.Executor, list of int)
        Executors with what is free on each.
    used_on : dict of str to int
        Tasks of the same step and occurrence on each executor.
    racks : set of str
        Racks on which tasks of a tightly coupled step run already.
    avoid : collection of str
        Executors on which the task has failed.
    lasting_on : dict of str to int
        Lasting tasks on each executor, which tasks that fill would disturb.
    busy : dict of str to float, optional
        Seconds until each executor is empty; without it they do not count.

    Returns
    -------
    executors.Executor or None
        None if the task fits nowhere now.
    """
    best, best_key = None, None
    for executor, free in candidates:
        if step.spread and used_on.get(executor.id, 0) >= step.spread:
            continue
        if not fits(step, executor, free):
            continue
        share = (free[0] - step.processors) / max(1, executor.processors)
        is_remote = bool(step.rack) and executor.rack != step.rack
        splits = step.is_coupled and bool(racks) and executor.rack not in racks
        lasting = lasting_on.get(executor.id, 0)
        disturbs = lasting if step.is_filling else 0
        # Lasting tasks gather on few executors. All take the fullest executor that has
        # room, so that wide tasks still find a whole one.
        gathers = -min(1, lasting) if step.is_lasting else 0
        prolongs = 0
        if busy is not None and not step.is_lasting:
            left_s = max(0.0, step.estimate_s - busy.get(executor.id, 0.0))
            prolongs = round(left_s / PROLONGING_STEP_S)
        key = (
            executor.id in avoided_executors,
            is_remote or splits,
            disturbs,
            gathers,
            prolongs,
            share,
            executor.id,
        )
        if best_key is None or key < best_key:
            best, best_key = executor, key
    return best
