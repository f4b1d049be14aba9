"""Attribution of executor crashes to tasks, and isolation of suspected tasks.

Load pattern: a task crashes each executor that starts it, mostly within milliseconds.
A dozen other tasks run there, lose their work, and would be restarted beside it.
Executors also crash for reasons of their own, so that one crash convicts no task.

A run is proven once its executor has run for some time after its start. The unproven
runs on an executor that crashes are the suspects. Suspects are restarted apart from
other unproven runs, after their first crash in small groups and then alone, so that a
further crash can be attributed.
"""

import math

from cranberryport.scheduling import model, packing

# A run that has lasted this long did not crash its executor by its start. Crashes were
# seen 0.01 s after the start; a slow executor takes several times as long.
PROVEN_AGE_S = 0.15
# A run that has lasted longer than this when its executor crashes is not suspected.
OLDEST_SUSPECT_S = 2.0
# A restarted suspect is proven after this multiple of its age at the crash.
CRASH_AGE_FACTOR = 2.0
# No task is given up after fewer certain crashes (platform's rules).
CERTAIN_CRASHES_MINIMUM = 2
# A task is given up once it was the only suspect of this many crashes on different
# hosts. One such crash may be a coincidence.
SOLE_CRASHES_LIMIT = 2
# A task is also given up after this many crashes, as the platform's rules allow two
# more starts after three crashes.
CRASHES_LIMIT = 5
# Number of suspects that may run unproven on one executor after their first crash. They
# run alone if enough executors are reserved, or if tasks crash executors at present.
LARGEST_GROUP = 4
# Tasks crash executors at present if one was given up within this time.
CRASHING_PERIOD_S = 30.0
# Share of a pool's executors that may be reserved for waiting suspects, and the share
# once one of them has waited for RESERVED_WAIT_S.
RESERVED_SHARE = 1 / 3
LONG_WAIT_RESERVED_SHARE = 2 / 3
RESERVED_WAIT_S = 0.5
# For this long, suspects wait for an executor without long-running tasks; moving
# another instance to the pool takes 1.5 s.
ISOLATION_WAIT_S = 1.8
# After this time no executor is reserved for a suspect, as none of these may suit it.
LONGEST_WAIT_S = 2.6
# Number of waiting suspects whose needs decide which executors are reserved.
COMPARED_SUSPECTS = 4


class CrashHistory:
    """Crashes of executors under a task since its last proven run.

    Parameters
    ----------
    crash_count : int
        Number of executors that crashed while the task ran there.
    certain_count : int
        Number of these that have certainly crashed, and not left.
    is_suspect : bool
        Whether the task is restarted in isolation.
    longest_age_s : float
        Longest age of its runs at these crashes in seconds.
    sole_crash_hosts : iterable of str
        Hosts of the executors for whose crash it was the only suspect.

    Attributes
    ----------
    waits_since : float or None
        Monotonic time since which the task has waited for isolation.
    """

    __slots__ = (
        "certain_count",
        "crash_count",
        "is_suspect",
        "longest_age_s",
        "sole_crash_hosts",
        "waits_since",
    )

    def __init__(
        self,
        *,
        crash_count=0,
        certain_count=0,
        is_suspect=False,
        longest_age_s=0.0,
        sole_crash_hosts=(),
    ):
        self.crash_count = crash_count
        self.certain_count = certain_count
        self.is_suspect = is_suspect
        self.longest_age_s = longest_age_s
        self.sole_crash_hosts = list(sole_crash_hosts)
        self.waits_since = None

    @property
    def is_limit_reached(self):
        """Whether the task is to be given up."""
        if self.certain_count < CERTAIN_CRASHES_MINIMUM:
            return False
        return (
            len(self.sole_crash_hosts) >= SOLE_CRASHES_LIMIT
            or self.crash_count >= CRASHES_LIMIT
        )

    @property
    def outlived_age_s(self):
        """Age in seconds at which a run has outlived these crashes."""
        return PROVEN_AGE_S + CRASH_AGE_FACTOR * self.longest_age_s


def is_suspect(task):
    """Return whether a task is to be restarted in isolation."""
    return task.crash_history is not None and task.crash_history.is_suspect


def is_proven(task, age_s):
    """Return whether a run of a task did not crash its executor by its start.

    Parameters
    ----------
    task : model.Task
        The task.
    age_s : float or None
        Seconds for which the run has certainly lasted; None if its start was not
        confirmed.
    """
    if age_s is None:
        return False
    limit_s = task.crash_history.outlived_age_s if is_suspect(task) else PROVEN_AGE_S
    return age_s >= limit_s


def record_crash(runs, *, host):
    """Attribute the crash of an executor to the tasks that ran there.

    Parameters
    ----------
    runs : list of (model.Run, float or None)
        Runs on the executor, with the seconds for which each had certainly lasted;
        None for a run whose start was not confirmed.
    host : str or None
        Host of the executor; None if it may not have crashed but left, for example
        while there was no controller.

    Returns
    -------
    list of model.Task
        Open tasks that lost a run in the crash and may have caused it.
    """
    delivered = [(run, age_s) for run, age_s in runs if _was_delivered(run)]
    counted = [
        (run, age_s) for run, age_s in delivered if (age_s or 0.0) <= OLDEST_SUSPECT_S
    ]
    unproven = [run for run, age_s in delivered if not is_proven(run.task, age_s)]
    suspects = unproven or [run for run, _ in counted]
    for run, age_s in counted:
        history = run.task.crash_history
        if history is None:
            history = run.task.crash_history = CrashHistory()
        history.crash_count += 1
        history.certain_count += host is not None
        history.longest_age_s = max(history.longest_age_s, age_s or 0.0)
        history.is_suspect |= run in suspects or history.crash_count > 1
        history.waits_since = None
    if host is not None and len(suspects) == 1:
        history = suspects[0].task.crash_history
        # Another crash on the same host may be a fault of that host.
        if history is not None and host not in history.sole_crash_hosts:
            history.sole_crash_hosts.append(host)
    return [
        run.task
        for run, _ in counted
        if not run.task.is_done and not run.task.job.has_ended
    ]


def _was_delivered(run):
    """Return whether the start of a run may have reached its executor."""
    if run.state == model.PLANNED:
        return False
    is_restored = run.ordered_at is None
    return is_restored or run.has_unanswered_start or run.confirmed_at is not None


def clear_outlived_crashes(task, age_s):
    """Clear the crash history of a task if its present run has outlived the crashes.

    Parameters
    ----------
    task : model.Task
        The task.
    age_s : float or None
        Seconds for which the run has certainly lasted, see :func:`is_proven`.

    Returns
    -------
    bool
        Whether the history was cleared.
    """
    history = task.crash_history
    if history is None or age_s is None or age_s < history.outlived_age_s:
        return False
    task.crash_history = None
    return True


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
    largest_group : int
        Number of first-time suspects that may run unproven on one executor.
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
        "_unproven_suspects",
        "needs_instance",
        "ordinary",
    )

    def __init__(
        self, *, candidates, waiting_suspects, has_suspects, largest_group, now
    ):
        self._candidates = candidates
        self._group_size = largest_group
        if not has_suspects:
            # Nearly always; spares the look at every run.
            self._unproven_suspects = {}
            self._for_suspects = []
            self.ordinary = candidates
            self.needs_instance = False
            return
        self._unproven_suspects = {
            executor.id: _unproven_suspects(executor, now) for executor, _ in candidates
        }
        reserved = self._reserve(candidates, waiting_suspects, now)
        self.ordinary = [
            c
            for c in candidates
            if c[0].id not in reserved and not self._unproven_suspects[c[0].id]
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
        share = RESERVED_SHARE
        if any(_waited_s(task, now) >= RESERVED_WAIT_S for task in waiting_suspects):
            share = LONG_WAIT_RESERVED_SHARE
        limit = max(1, int(len(candidates) * share))
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
        if waited_s >= LONGEST_WAIT_S:
            return [c for c in self._candidates if not self._unproven_suspects[c[0].id]]
        room = 0 if _is_repeated(task) else max(0, self._group_size - 1)
        found = [
            c
            for c in self._for_suspects
            if len(self._unproven_suspects[c[0].id]) <= room
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


def _waited_s(task, now):
    waits_since = task.crash_history.waits_since
    return 0.0 if waits_since is None else now - waits_since


def _is_repeated(task):
    return task.crash_history.crash_count > 1


def _unproven_suspects(executor, now):
    return [
        run.task
        for run in executor.runs.values()
        if is_suspect(run.task) and not _is_run_proven(run, now)
    ]


def _has_other_unproven_runs(executor, now):
    return any(
        not is_suspect(run.task) and not _is_run_proven(run, now)
        for run in executor.runs.values()
    )


def _is_run_proven(run, now):
    age_s = None if run.confirmed_at is None else now - run.confirmed_at
    return is_proven(run.task, age_s)


def _has_long_running_task(executor):
    return any(run.task.step.is_lasting for run in executor.runs.values())
