"""Division of a pool's executors between suspected and other tasks.

Load pattern: an executor crashes with a dozen tasks, one of which may have crashed it.
All of them want to start again at once. Suspects are started apart from other unproven
runs, after their first crash in small groups and then alone, on executors that are
reserved for them for a short time.
"""

import math

from cranberryport.scheduling import crashes, packing

# Number of suspects that may run unproven on one executor after their first crash. They
# run alone if enough executors are reserved.
LARGEST_GROUP = 4
# Number of runs that may be unproven on one executor while any task is suspected. They
# are proven within 0.2 s, so that this hardly delays the filling of an executor.
UNPROVEN_RUNS_LIMIT = 4
# Share of a pool's executors that may be reserved for waiting suspects. Most of their
# room stays free, while other tasks may wait.
RESERVED_SHARE = 1 / 3
# For this long, suspects wait for an executor without long-running tasks; moving
# another instance to the pool takes 1.5 s.
ISOLATION_WAIT_S = 1.8
# After this time a suspect may run beside other tasks, as no reserved executor may suit
# it, or many suspects wait for these.
LONGEST_WAIT_S = 2.6
# Number of waiting suspects whose needs decide which executors are reserved.
COMPARED_SUSPECTS = 4


class Isolation:
    """Divides the executors of a pool between waiting suspects and other tasks.

    Parameters
    ----------
    candidates : list of (executors.Executor, list of int)
        Executors that accept runs, with the free resources of each.
    waiting_suspects : list of model.Task
        Suspects that wait for an executor.
    has_suspects : bool
        Whether any task is suspected, waiting or not.
    now : float
        Monotonic time in seconds.

    Attributes
    ----------
    ordinary : list of (executors.Executor, list of int)
        Candidates for the tasks that are not suspected.
    needs_instance : bool
        Whether suspects wait and every executor has long-running tasks, or one has
        waited for ``ISOLATION_WAIT_S``.
    """

    __slots__ = (
        "_candidates",
        "_for_suspects",
        "_group_size",
        "_unproven_counts",
        "_unproven_suspects",
        "needs_instance",
        "ordinary",
    )

    def __init__(self, *, candidates, waiting_suspects, has_suspects, now):
        self._candidates = candidates
        self._group_size = LARGEST_GROUP
        if not has_suspects:
            # Nearly always; spares the look at every run.
            self._unproven_counts = None
            self._unproven_suspects = {}
            self._for_suspects = []
            self.ordinary = candidates
            self.needs_instance = False
            return
        self._unproven_suspects = {
            executor.id: _unproven_suspects(executor, now) for executor, _ in candidates
        }
        self._unproven_counts = {
            executor.id: sum(
                not _is_run_proven(run, now) for run in executor.runs.values()
            )
            for executor, _ in candidates
        }
        reserved = self._reserve(candidates, waiting_suspects, now)
        self.ordinary = [
            c
            for c in candidates
            if c[0].id not in reserved
            and not self._unproven_suspects[c[0].id]
            and self._unproven_counts[c[0].id] < UNPROVEN_RUNS_LIMIT
        ]
        self._for_suspects = [
            c
            for c in candidates
            if c[0].id in reserved and not _has_other_unproven_runs(c[0], now)
        ]
        self.needs_instance = bool(waiting_suspects) and (
            all(_has_long_running_task(executor) for executor, _ in candidates)
            or any(_waited_s(t, now) >= ISOLATION_WAIT_S for t in waiting_suspects)
        )

    def _reserve(self, candidates, waiting_suspects, now):
        """Return the ids of the executors that are kept for waiting suspects."""
        for task in waiting_suspects:
            if task.crash_history.waits_since is None:
                task.crash_history.waits_since = now
        waiting_suspects = [
            task for task in waiting_suspects if _waited_s(task, now) < LONGEST_WAIT_S
        ]
        if not waiting_suspects:
            return frozenset()
        repeated_count = sum(_is_repeated(task) for task in waiting_suspects)
        first_count = len(waiting_suspects) - repeated_count
        limit = max(1, int(len(candidates) * RESERVED_SHARE))
        compared = waiting_suspects[:COMPARED_SUSPECTS]

        def rank(candidate):
            executor, free = candidate
            has_room = any(packing.has_room(t.step, executor, free) for t in compared)
            return (
                _has_long_running_task(executor),
                not has_room,
                not self._unproven_suspects[executor.id],
                _has_other_unproven_runs(executor, now),
                len(executor.runs),
                executor.id,
            )

        best = sorted(candidates, key=rank)[: min(limit, len(waiting_suspects))]
        groups_count = max(1, len(best) - repeated_count)
        self._group_size = min(self._group_size, math.ceil(first_count / groups_count))
        return {executor.id for executor, _ in best}

    def candidates_for(self, task, now):
        """Return the executors that may run a suspect, with their free resources.

        Parameters
        ----------
        task : model.Task
            The suspect.
        now : float
            Monotonic time in seconds.
        """
        history = task.crash_history
        waited_s = _waited_s(task, now)
        is_reserved_only = waited_s < LONGEST_WAIT_S
        limit = self._group_size if is_reserved_only else UNPROVEN_RUNS_LIMIT
        if _is_repeated(task):
            limit = 1
        found = [
            c
            for c in (self._for_suspects if is_reserved_only else self._candidates)
            if self._unproven_counts[c[0].id] < limit
            and not any(map(_is_repeated, self._unproven_suspects[c[0].id]))
        ]
        if waited_s < ISOLATION_WAIT_S:
            found = [c for c in found if not _has_long_running_task(c[0])]
        others = [c for c in found if c[0].address[0] not in history.sole_crash_hosts]
        return others or found

    def add_planned_run(self, task, executor):
        """Record that a suspect was planned on an executor."""
        task.crash_history.waits_since = None
        self._unproven_suspects[executor.id].append(task)
        self._unproven_counts[executor.id] += 1
        self.ordinary[:] = [c for c in self.ordinary if c[0] is not executor]

    def add_ordinary_run(self, executor):
        """Record that a task that is not suspected was planned on an executor."""
        if self._unproven_counts is None:
            return
        self._unproven_counts[executor.id] += 1
        if self._unproven_counts[executor.id] >= UNPROVEN_RUNS_LIMIT:
            self.ordinary[:] = [c for c in self.ordinary if c[0] is not executor]


def _waited_s(task, now):
    waits_since = task.crash_history.waits_since
    return 0.0 if waits_since is None else now - waits_since


def _is_repeated(task):
    return task.crash_history.crash_count > 1


def _unproven_suspects(executor, now):
    return [
        run.task
        for run in executor.runs.values()
        if crashes.is_suspect(run.task) and not _is_run_proven(run, now)
    ]


def _has_other_unproven_runs(executor, now):
    return any(
        not crashes.is_suspect(run.task) and not _is_run_proven(run, now)
        for run in executor.runs.values()
    )


def _is_run_proven(run, now):
    age_s = None if run.confirmed_at is None else now - run.confirmed_at
    return crashes.is_proven(run.task, age_s)


def _has_long_running_task(executor):
    return any(run.task.step.is_lasting for run in executor.runs.values())
