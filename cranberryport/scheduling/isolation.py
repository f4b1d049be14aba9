"""Division of a pool's executors between suspected and other tasks.

Load pattern: an executor crashes with a dozen tasks, one of which may have crashed it.
All of them want to start again at once, and further jobs of the same kind arrive, of
which up to half crash executors as well. While any task is suspected, the unproven runs
on an executor belong to one job, so that a crash is attributed to that job. Suspects
are started on executors that are reserved for them for a short time.
"""

from cranberryport.scheduling import crashes, packing

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
        Candidates that are not kept for suspects.
    needs_instance : bool
        Whether suspects wait and every executor has long-running tasks, or one has
        waited for ``ISOLATION_WAIT_S``.
    """

    __slots__ = (
        "_candidates",
        "_has_suspects",
        "_reserved",
        "_unproven_jobs",
        "needs_instance",
        "ordinary",
    )

    def __init__(self, *, candidates, waiting_suspects, has_suspects, now):
        self._candidates = candidates
        self._has_suspects = has_suspects
        if not has_suspects:
            # Nearly always; spares the look at every run.
            self._unproven_jobs = {}
            self._reserved = frozenset()
            self.ordinary = candidates
            self.needs_instance = False
            return
        # Ids of the jobs with unproven runs, by executor.
        self._unproven_jobs = {
            executor.id: _unproven_jobs(executor, now) for executor, _ in candidates
        }
        self._reserved = self._reserve(candidates, waiting_suspects, now)
        self.ordinary = [c for c in candidates if c[0].id not in self._reserved]
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
        limit = max(1, int(len(candidates) * RESERVED_SHARE))
        compared = waiting_suspects[:COMPARED_SUSPECTS]
        crash_hosts = [task.crash_history.sole_crash_hosts for task in compared]

        def rank(candidate):
            executor, free = candidate
            has_room = any(packing.has_room(t.step, executor, free) for t in compared)
            return (
                _has_long_running_task(executor),
                not has_room,
                # Only a crash on another host convicts a suspect.
                any(executor.address[0] in hosts for hosts in crash_hosts),
                bool(self._unproven_jobs[executor.id]),
                len(executor.runs),
                executor.id,
            )

        best = sorted(candidates, key=rank)[: min(limit, len(waiting_suspects))]
        return frozenset(executor.id for executor, _ in best)

    def ordinary_for(self, job):
        """Return the executors for the tasks of a job that are not suspected.

        Parameters
        ----------
        job : model.Job
            The job.

        Returns
        -------
        list of (executors.Executor, list of int)
            ``ordinary`` itself while no task is suspected.
        """
        if not self._has_suspects:
            return self.ordinary
        return [c for c in self.ordinary if self._is_free_of_others(c[0], job)]

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
        found = [c for c in self._candidates if self._is_free_of_others(c[0], task.job)]
        if waited_s < LONGEST_WAIT_S:
            found = [c for c in found if c[0].id in self._reserved]
        if waited_s < ISOLATION_WAIT_S:
            found = [c for c in found if not _has_long_running_task(c[0])]
        others = [c for c in found if c[0].address[0] not in history.sole_crash_hosts]
        return others or found

    def add_planned_run(self, task, executor):
        """Record that a task was planned on an executor."""
        if not self._has_suspects:
            return
        if task.crash_history is not None:
            task.crash_history.waits_since = None
        self._unproven_jobs[executor.id].add(task.job.id)

    def _is_free_of_others(self, executor, job):
        """Return whether no other job has unproven runs on an executor."""
        return self._unproven_jobs[executor.id] <= {job.id}


def _waited_s(task, now):
    waits_since = task.crash_history.waits_since
    return 0.0 if waits_since is None else now - waits_since


def _unproven_jobs(executor, now):
    return {
        run.task.job.id
        for run in executor.runs.values()
        if not _is_run_proven(run, now)
    }


def _is_run_proven(run, now):
    age_s = None if run.confirmed_at is None else now - run.confirmed_at
    return crashes.is_proven(run.task, age_s)


def _has_long_running_task(executor):
    return any(run.task.step.is_lasting for run in executor.runs.values())
