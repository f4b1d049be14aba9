"""Choice of the executor for a task.

Load pattern: tasks of very different size share few executors. An instance that runs a
long-running task cannot move to another pool while its own pool is idle. After a peak,
an executor that keeps getting single short tasks never becomes empty, so its instance
cannot move although it runs just one task at a time.
"""

import math

from cranberryport.scheduling import locality

# The times by which a task would prolong the use of executors are rounded to multiples
# of this before they are compared. Declared run times are off by 50 %, so smaller
# differences mean nothing.
EXTENSION_RESOLUTION_S = 0.4


def has_room(step, executor, free):
    """Return whether an executor has the label and the free resources for a task.

    Parameters
    ----------
    step : model.Step
        Step of the task.
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


def reserve(step, free):
    """Subtract the needs of a task of a step from a list of free resources."""
    if not step.is_filling:
        free[0] -= step.processors
    free[1] -= step.memory
    free[2] -= step.accelerators


def tasks_per_instance(step, capacity):
    """Return how many tasks of a step an empty instance takes.

    Parameters
    ----------
    step : model.Step
        Step of the tasks.
    capacity : list of int
        Processors, memory and accelerators of the instance.

    Returns
    -------
    int
        0 if not even one task fits.
    """
    counts = [
        available // needed
        for needed, available in zip(_needs(step)[1:], capacity, strict=True)
        if needed
    ]
    if step.spread:
        counts.append(step.spread)
    return min(counts, default=step.count)


def count_needed_instances(waiting, capacity):
    """Return how many empty instances waiting tasks need, at least.

    Tasks of different steps share instances where their needs allow.

    Parameters
    ----------
    waiting : list of (model.Step, int)
        Steps, and the number of waiting tasks of each.
    capacity : list of int
        Processors, memory and accelerators of an instance.

    Returns
    -------
    int
        Number of instances. Tasks that do not fit into an empty instance do not count.
    """
    totals = [0, 0, 0]
    needed_count = 0
    for step, count in waiting:
        tasks_each = tasks_per_instance(step, capacity)
        if not tasks_each:
            continue
        needed_count = max(needed_count, math.ceil(count / tasks_each))
        for number, needed in enumerate(_needs(step)[1:]):
            totals[number] += needed * count
    shares = [
        math.ceil(total / available)
        for total, available in zip(totals, capacity, strict=True)
        if total and available
    ]
    return max(needed_count, *shares) if shares else needed_count


class UnplaceableNeeds:
    """Needs for which no executor had room, while the runs of one pool are planned.

    While a pool is full, most waiting steps need at least as much as a step that found
    no room, so they need not be compared with every executor. Free resources only
    shrink while runs are planned.
    """

    __slots__ = ("_promised", "_unplaceable")

    def __init__(self):
        self._unplaceable = []
        self._promised = []

    def add(self, step):
        """Record that no executor has room for a task of a step.

        A step with a spread limit is left out, as that limit may be the reason.
        """
        if not step.spread:
            self._unplaceable.append(_needs(step))

    def add_promised(self, step):
        """Record that only promised room is left for a task of a step.

        Shorter tasks, and those with another rack, may still end in time.
        """
        if not step.spread:
            self._promised.append((step.rack, step.estimate_s, _needs(step)))

    def covers(self, step):
        """Return whether some added step needs no more than this one.

        Then no executor has room for this step either.
        """
        needs = _needs(step)
        if any(_needs_as_much(needs, other) for other in self._unplaceable):
            return True
        return not step.is_lasting and any(
            rack == step.rack
            and estimate_s <= step.estimate_s
            and _needs_as_much(needs, other)
            for rack, estimate_s, other in self._promised
        )


def _needs(step):
    processors = 0 if step.is_filling else step.processors
    return step.label, processors, step.memory, step.accelerators


def _needs_as_much(needs, other):
    return other[0] in ("", needs[0]) and all(
        a >= b for a, b in zip(needs[1:], other[1:], strict=True)
    )


def busy_for_s(executor, now):
    """Return for how long an executor is busy.

    The times are the declared ones, multiplied by the learnt slowdown of the executor
    and by the remote factor of the run.

    Parameters
    ----------
    executor : executors.Executor
        Executor with its runs.
    now : float
        Monotonic time in seconds.

    Returns
    -------
    float
        Seconds; infinite for an executor with a long-running task.
    """
    longest = 0.0
    slowdown = locality.learnt_slowdown(executor)
    for run in executor.runs.values():
        step = run.task.step
        if step.is_lasting:
            return math.inf
        began = now if run.confirmed_at is None else run.confirmed_at
        expected_s = step.estimate_s * (run.remote_factor or 1.0) * slowdown
        longest = max(longest, began + expected_s - now)
    return longest


def choose_executor(
    step,
    candidates,
    *,
    task_counts,
    used_racks,
    avoided_executors,
    long_running_counts,
    busy_s=None,
    remote_factor=1.0,
):
    """Choose the best executor with room for one task.

    An executor is better if, in this order, it is not among the avoided executors, the
    task is expected to take less time there, as the executor is not known to be slow
    and the task is not remote, it is on the right rack, it has fewer long-running tasks
    that a best-effort task would disturb, it already has long-running tasks if this
    task is long-running, the task prolongs its use by less, and less of it stays free.

    Parameters
    ----------
    step : model.Step
        Step of the task.
    candidates : list of (executors.Executor, list of int)
        Executors with the free processors, memory and accelerators of each.
    task_counts : dict of str to int
        Number of tasks of the same step and occurrence by executor.
    used_racks : set of str
        Racks with tasks of the same step and occurrence.
    avoided_executors : collection of str
        Executors on which the task has failed or was stopped; they are the last choice.
    long_running_counts : dict of str to int
        Number of long-running tasks by executor, which best-effort tasks would disturb.
    busy_s : dict of str to float, optional
        Result of :func:`busy_for_s` by executor; without it busy times are ignored.
    remote_factor : float, default=1.0
        Factor by which a remote run takes longer than a local one.

    Returns
    -------
    executors.Executor or None
        None if no executor has room now.
    """
    best, best_key = None, None
    for executor, free in candidates:
        if step.spread and task_counts.get(executor.id, 0) >= step.spread:
            continue
        if not has_room(step, executor, free):
            continue
        free_share = (free[0] - step.processors) / max(1, executor.processors)
        is_remote = locality.is_remote(step, executor.rack, used_racks, remote_factor)
        run_factor = locality.learnt_slowdown(executor)
        if is_remote:
            run_factor *= remote_factor
        long_running = long_running_counts.get(executor.id, 0)
        disturbs = long_running if step.is_filling else 0
        # Long-running tasks go to executors that have some already, and all tasks to
        # full ones, so that others stay free for large tasks.
        joins_long_running = -min(1, long_running) if step.is_lasting else 0
        rounded_extension = 0
        if busy_s is not None and not step.is_lasting:
            run_s = step.estimate_s * run_factor
            extension_s = max(0.0, run_s - busy_s.get(executor.id, 0.0))
            rounded_extension = round(extension_s / EXTENSION_RESOLUTION_S)
        key = (
            executor.id in avoided_executors,
            run_factor,
            is_remote,
            disturbs,
            joins_long_running,
            rounded_extension,
            free_share,
            executor.id,
        )
        if best_key is None or key < best_key:
            best, best_key = executor, key
    return best
