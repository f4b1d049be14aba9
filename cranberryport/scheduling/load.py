"""What the pools are asked for, from the state of all jobs.

Load pattern: hundreds of jobs wait at once, every hand-in asks for the backlog before
it, and the moves of instances are decided several times a second.
"""

import collections

from cranberryport.scheduling import ordering, rebalancing

# Figures of this age are used again; a job takes longer to be stored and known.
AGE_S = 0.05


class LoadMeter:
    """Sums up the state of all jobs, at most once in each ``AGE_S``.

    Parameters
    ----------
    state : cranberryport.scheduling.scheduler.Scheduler
        State of all jobs.
    """

    __slots__ = ("_backlogs", "_demand", "_read_at", "_state")

    def __init__(self, *, state):
        self._state = state
        self._read_at = None
        self._demand = {}
        self._backlogs = {}

    def demand(self, now, wall):
        """Return the processors that each pool needs now or soon.

        Parameters
        ----------
        now : float
            Monotonic time in seconds.
        wall : float
            Unix time in seconds.

        Returns
        -------
        dict of str to float
            Thousandths of a core: what runs and waits, or what the present rate of
            arrivals keeps busy with what waits, whichever is more.
        """
        self._refresh(now, wall)
        return self._demand

    def backlog_core_s(self, service, priority, now, wall):
        """Return the core-seconds of a pool that a new job has to wait for.

        Parameters
        ----------
        service : str
            Name of the pool.
        priority : int
            Priority of the new job; jobs that come after it do not count.
        now : float
            Monotonic time in seconds.
        wall : float
            Unix time in seconds.

        Returns
        -------
        float
            Core-seconds.
        """
        self._refresh(now, wall)
        return sum(
            work
            for (pool, rank), work in self._backlogs.items()
            if pool == service and rank <= priority
        )

    def note_admitted(self, service, priority, work):
        """Count a job that will be handed in until the state has it.

        Parameters
        ----------
        service : str
            Name of the pool.
        priority : int
            Its priority.
        work : float
            Core-seconds.
        """
        self._backlogs[service, priority] = (
            self._backlogs.get((service, priority), 0.0) + work
        )

    def _refresh(self, now, wall):
        if self._read_at is not None and now - self._read_at < AGE_S:
            return
        self._read_at = now
        lasting, running = self._running_processors()
        waiting = collections.Counter()
        backlogs = collections.Counter()
        for job in self._state.open_jobs.values():
            rules = self._state.queue_rules(job)
            for occurrence in job.occurrences.values():
                urgency = ordering.order_key(occurrence, rules, wall)[0]
                asked = _waiting_processors(occurrence)
                if asked:
                    is_late = urgency in (ordering.LATE, ordering.MISSED)
                    share = rebalancing.LATE_SHARE if is_late else 1.0
                    waiting[job.service] += asked * share
                if urgency in (ordering.RESCUED, ordering.FEASIBLE, ordering.LATE):
                    backlogs[job.service, rules.priority] += occurrence.remaining_core_s
        arrivals = self._state.arrivals
        self._backlogs = backlogs
        self._demand = {
            service: lasting[service]
            + waiting[service]
            + max(running[service], arrivals[service].steady_demand(now))
            for service in {*lasting, *running, *waiting, *arrivals}
        }

    def _running_processors(self):
        lasting, running = collections.Counter(), collections.Counter()
        for executor in self._state.executors.values():
            for run in executor.runs.values():
                step = run.task.step
                if not step.is_filling:
                    kept = lasting if step.is_lasting else running
                    kept[executor.service] += step.processors
        return lasting, running


def _waiting_processors(occurrence):
    """Return the processors that the waiting tasks of an occurrence ask for."""
    asked = 0
    for number in occurrence.open_steps:
        step = occurrence.job.steps[number]
        if not step.is_filling:
            asked += step.processors * sum(
                not task.is_done and not task.runs for task in occurrence.tasks[number]
            )
    return asked
