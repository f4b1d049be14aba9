"""Where a task is local, how long it takes elsewhere, and when places become free.

Load pattern: tasks want the rack of their data, or one rack for all tasks of a step,
and take a multiple of their time elsewhere. Many jobs want the same rack for some
seconds. Declared run times are off by 50 %, and executors are slow by up to 8 times.
"""

import bisect
import heapq
import math
import operator

from cranberryport.scheduling import model, stragglers

# Largest slowdown that is used in expected times: executors are slow by up to 8 times,
# and a larger ratio comes from a wrong declared time.
SLOWDOWN_LIMIT = 8.0
# Slowdowns are rounded to multiples of this before executors are compared, as measured
# ratios vary with the errors of declared times.
SLOWDOWN_RESOLUTION = 0.5
# Largest error of a declared run time, as a share of it.
ESTIMATE_ERROR = 0.5
# Share of its declared run time that a run without known rate is expected to go on for
# once it has exceeded its declared time by ``ESTIMATE_ERROR``.
OVERDUE_SHARE = 0.25
# Seconds after which a run that is being stopped is expected to have ended.
STOP_S = 0.3


def is_remote(step, rack, used_racks, remote_factor):
    """Return whether a task is away from its data or from its step's other tasks.

    Parameters
    ----------
    step : model.Step
        Step of the task.
    rack : str
        Rack of the executor.
    used_racks : set of str
        Racks with tasks of the same step and occurrence.
    remote_factor : float
        Factor by which a remote run takes longer. Members of a gang prefer one rack
        only if this is more than 1.
    """
    if step.rack and rack != step.rack:
        return True
    needs_one_rack = step.is_coupled or (step.is_gang and remote_factor > 1)
    return needs_one_rack and bool(used_racks) and rack not in used_racks


def learnt_slowdown(executor):
    """Return the slowdown that expected times are multiplied by, 1 for healthy ones."""
    if executor.slowdown < stragglers.NOTABLE_SLOWDOWN:
        return 1.0
    rounded = round(executor.slowdown / SLOWDOWN_RESOLUTION) * SLOWDOWN_RESOLUTION
    return min(SLOWDOWN_LIMIT, rounded)


def expected_run_s(step, executor, used_racks, remote_factor):
    """Return the seconds that a task is expected to take on an executor.

    Parameters
    ----------
    step : model.Step
        Step of the task.
    executor : executors.Executor
        The executor.
    used_racks : set of str
        Racks with tasks of the same step and occurrence.
    remote_factor : float
        Factor by which a remote run takes longer.

    Returns
    -------
    float
        Declared seconds times remote factor and slowdown; infinite for a long-running
        task.
    """
    if step.is_lasting:
        return math.inf
    run_s = step.estimate_s * learnt_slowdown(executor)
    if is_remote(step, executor.rack, used_racks, remote_factor):
        run_s *= remote_factor
    return run_s


def set_missing_remote_factors(candidates, executors, remote_factor):
    """Work out the remote factor of runs that a previous controller started.

    Parameters
    ----------
    candidates : list of (executors.Executor, list of int)
        Executors whose runs are looked at.
    executors : dict of str to executors.Executor
        All executors by id.
    remote_factor : float
        Factor by which a remote run takes longer.
    """
    tasks_by_rack = {}
    for executor, _ in candidates:
        for run in executor.runs.values():
            if run.remote_factor is not None:
                continue
            task = run.task
            key = (task.occurrence, task.step_number)
            if key not in tasks_by_rack:
                tasks_by_rack[key] = _tasks_by_rack(task, executors)
            others = {
                rack
                for rack, tasks in tasks_by_rack[key].items()
                if len(tasks) > (task in tasks)
            }
            # Which of the racks was first is not known: all runs of a split step count.
            is_split = is_remote(task.step, executor.rack, others, remote_factor) or (
                len(others) > 1 and (task.step.is_coupled or task.step.is_gang)
            )
            run.remote_factor = remote_factor if is_split else 1.0
    for occurrence, number in tasks_by_rack:
        occurrence.update_remote_factor(number)


def _tasks_by_rack(task, executors):
    """Return the tasks of a task's step that have runs, as sets by rack."""
    result = {}
    for member in task.occurrence.tasks[task.step_number]:
        for run in member.runs:
            if run.executor in executors:
                result.setdefault(executors[run.executor].rack, set()).add(member)
    return result


def expected_remaining_s(run, executor, now):
    """Return the seconds after which a run is expected to have ended.

    Parameters
    ----------
    run : model.Run
        The run.
    executor : executors.Executor
        Its executor.
    now : float
        Monotonic time in seconds.

    Returns
    -------
    float
        By its progress and rate where they are known. Otherwise the mean for a run
        time that lies anywhere within ``ESTIMATE_ERROR`` of the expected one and that
        has not passed yet. Infinite for long-running tasks and stalled runs.
    """
    step = run.task.step
    if run.state == model.STOPPING:
        return STOP_S
    if step.is_lasting or stragglers.is_stalled(run, now):
        return math.inf
    remaining_s = stragglers.remaining_run_s(run, now)
    if remaining_s is not None:
        return max(0.0, remaining_s)
    run_s = step.estimate_s * (run.remote_factor or 1.0) * learnt_slowdown(executor)
    elapsed_s = 0.0 if run.confirmed_at is None else now - run.confirmed_at
    latest_s = run_s * (1 + ESTIMATE_ERROR)
    if elapsed_s < run_s * (1 - ESTIMATE_ERROR):
        return run_s - elapsed_s
    return max((latest_s - elapsed_s) / 2, OVERDUE_SHARE * run_s / 2)


class Places:
    """Expected room on the executors of a pool while its runs are planned.

    Room that is promised to a task that waits for it is not promised again, and tasks
    that would still occupy it by then are kept away.

    Parameters
    ----------
    candidates : list of (executors.Executor, list of int)
        Executors that accept runs, with the free resources of each. The lists are
        shared with the planner, which subtracts what it plans.
    excluded_ids : collection of str
        Slow and untrusted executors, which no task waits for.
    now : float
        Monotonic time in seconds.
    """

    __slots__ = (
        "_events",
        "_excluded_ids",
        "_free",
        "_groups",
        "_now",
        "_promised",
        "_used_ids",
    )

    def __init__(self, *, candidates, excluded_ids, now):
        self._free = {executor.id: free for executor, free in candidates}
        self._excluded_ids = excluded_ids
        self._now = now
        self._events = {}
        self._promised = {}
        self._used_ids = set()
        self._groups = (candidates, None)

    @property
    def has_promises(self):
        """Whether room is promised to any waiting task."""
        return bool(self._promised)

    def racks(self, candidates):
        """Return the candidates that a task may wait for, by rack."""
        known, groups = self._groups
        if known is candidates and groups is not None:
            return groups
        groups = {}
        for candidate in candidates:
            executor = candidate[0]
            if (
                executor.id not in self._excluded_ids
                and self._now >= executor.suspected_until
            ):
                groups.setdefault(executor.rack, []).append(candidate)
        if known is candidates:
            self._groups = (candidates, groups)
        return groups

    def add_run(self, step, executor, run_s):
        """Count the expected end of a run that is planned now."""
        self._used_ids.add(executor.id)
        if executor.id in self._events and math.isfinite(run_s):
            self._add_event(executor.id, run_s, step, 1)

    def room_in_s(self, step, executor):
        """Return the seconds after which an executor has room for a task from then on.

        Parameters
        ----------
        step : model.Step
            Step of the task.
        executor : executors.Executor
            One of the candidates.

        Returns
        -------
        float
            0 if it has room now and keeps it; infinite if it is not expected to have
            room.
        """
        if step.label and step.label not in executor.labels:
            return math.inf
        needs = _needs(step)
        processors, memory, accelerators = map(
            operator.sub, self._free[executor.id], needs
        )
        room_at = 0.0
        if processors < 0 or memory < 0 or accelerators < 0:
            room_at = math.inf
        for at_s, _, changes in self._events_of(executor):
            processors += changes[0]
            memory += changes[1]
            accelerators += changes[2]
            if processors < 0 or memory < 0 or accelerators < 0:
                room_at = math.inf
            elif room_at == math.inf:
                room_at = at_s
        return room_at

    def promise(self, step, executor, in_s, run_s):
        """Promise room on an executor to a task from a time in the future on."""
        self._promised.setdefault(executor.id, []).append((in_s, step, run_s))
        if executor.id in self._events:
            self._add_promise(executor.id, in_s, step, run_s)

    def is_untouched(self, executor):
        """Return whether room on an executor was neither used nor looked at so far."""
        return executor.id not in self._events and executor.id not in self._used_ids

    def places(self, step, candidates, count, *, run_s, limit_s, task_counts):
        """Return where and when several tasks of a step are expected to have room.

        Parameters
        ----------
        step : model.Step
            Step of the tasks.
        candidates : list of (executors.Executor, list of int)
            Executors that the tasks may wait for.
        count : int
            Number of tasks.
        run_s : float
            Expected seconds of each.
        limit_s : float
            Later places are not looked for.
        task_counts : dict of str to int
            Number of tasks of the same step and occurrence by executor.

        Returns
        -------
        list of (float, executors.Executor) or None
            Seconds and executor of each place; None if there are too few.
        """
        heap = []
        counts = dict(task_counts)
        for executor, _ in candidates:
            if step.spread and counts.get(executor.id, 0) >= step.spread:
                continue
            room_in_s = self.room_in_s(step, executor)
            if room_in_s <= limit_s:
                heap.append((room_in_s, executor.id, executor))
        heapq.heapify(heap)
        found, changed = [], {}
        while heap and len(found) < count:
            room_in_s, id, executor = heapq.heappop(heap)
            found.append((room_in_s, executor))
            counts[id] = counts.get(id, 0) + 1
            if len(found) == count or (step.spread and counts[id] >= step.spread):
                continue
            changed.setdefault(id, list(self._events[id]))
            self._add_event(id, room_in_s, step, -1)
            self._add_event(id, room_in_s + run_s, step, 1)
            room_in_s = self.room_in_s(step, executor)
            if room_in_s <= limit_s:
                heapq.heappush(heap, (room_in_s, id, executor))
        self._events.update(changed)
        return found if len(found) == count else None

    def unpromised(self, candidates, step, used_racks, remote_factor):
        """Return the candidates on which a task leaves promised room in time.

        Parameters
        ----------
        candidates : list of (executors.Executor, list of int)
            Executors with their free resources.
        step : model.Step
            Step of the task; long-running ones precede all promises.
        used_racks : set of str
            Racks with tasks of the same step and occurrence.
        remote_factor : float
            Factor by which a remote run takes longer.

        Returns
        -------
        list of (executors.Executor, list of int)
            The same list if there are no promises.
        """
        if not self._promised or step.is_lasting:
            return candidates
        return [
            candidate
            for candidate in candidates
            if candidate[0].id not in self._promised
            or self._leaves_promises(step, candidate[0], used_racks, remote_factor)
        ]

    def _leaves_promises(self, step, executor, used_racks, remote_factor):
        processors, memory, accelerators = map(
            operator.sub, self._free[executor.id], _needs(step)
        )
        if processors < 0 or memory < 0 or accelerators < 0:
            # There is no room now, so that the rest makes no difference.
            return False
        run_s = expected_run_s(step, executor, used_racks, remote_factor)
        for at_s, sign, changes in self._events_of(executor):
            if at_s >= run_s:
                break
            processors += changes[0]
            memory += changes[1]
            accelerators += changes[2]
            is_promise = sign > 0
            if is_promise and (processors < 0 or memory < 0 or accelerators < 0):
                return False
        return True

    def _events_of(self, executor):
        events = self._events.get(executor.id)
        if events is None:
            events = []
            for run in executor.runs.values():
                remaining_s = expected_remaining_s(run, executor, self._now)
                if math.isfinite(remaining_s):
                    events.append(_event(remaining_s, run.task.step, 1))
            events.sort()
            self._events[executor.id] = events
            for promise in self._promised.get(executor.id, ()):
                self._add_promise(executor.id, *promise)
        return events

    def _add_promise(self, executor_id, in_s, step, run_s):
        self._add_event(executor_id, in_s, step, -1)
        self._add_event(executor_id, in_s + run_s, step, 1)

    def _add_event(self, executor_id, at_s, step, sign):
        bisect.insort(self._events[executor_id], _event(at_s, step, sign))


def _event(at_s, step, sign):
    # Ends precede starts at the same time.
    processors, memory, accelerators = _needs(step)
    return (at_s, -sign, (sign * processors, sign * memory, sign * accelerators))


def _needs(step):
    processors = 0 if step.is_filling else step.processors
    return (processors, step.memory, step.accelerators)
