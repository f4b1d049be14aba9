"""Choice of the executor for a task.

Load pattern: tasks of uneven size on few executors; lasting tasks stay for long, and an
executor that has one cannot be lent to another pool while its own is idle.
"""


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


def choose(step, candidates, *, used_on, racks, avoid, lasting_on):
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
        key = (
            executor.id in avoid,
            is_remote or splits,
            disturbs,
            gathers,
            share,
            executor.id,
        )
        if best_key is None or key < best_key:
            best, best_key = executor, key
    return best
