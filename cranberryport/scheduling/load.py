"""Demand and backlog of each pool, computed from the state of all jobs.

Load pattern: hundreds of jobs wait at once, each submission reads the backlog ahead of
it, and moves of instances are decided several times a second. So the sums are cached.
"""

import collections

from cranberryport.scheduling import ordering, organisation_limits, rebalancing

# Sums up to this age are reused; storing and reading a job takes longer.
MAX_AGE_S = 0.05


class LoadMeter:
    """Sums up demand and backlog, at most once in ``MAX_AGE_S``.

    Parameters
    ----------
    state : cranberryport.scheduling.scheduler.Scheduler
        State of all jobs.
    """

    __slots__ = ("_backlogs", "_demand", "_memory_demand", "_refreshed_at", "_state")

    def __init__(self, *, state):
        self._state = state
        self._refreshed_at = None
        self._demand = {}
        self._memory_demand = {}
        self._backlogs = {}

    def demand(self, now, now_unix_s):
        """Return the processors that each pool needs now or soon.

        Parameters
        ----------
        now : float
            Monotonic time in seconds.
        now_unix_s : float
            Unix time in seconds.

        Returns
        -------
        dict of str to float
            Thousandths of a core for long-running and waiting tasks, plus those for
            other running tasks or for the rate at which work arrives, whichever is
            more.
        """
        self._refresh(now, now_unix_s)
        return self._demand

    def memory_demand(self, now, now_unix_s):
        """Return the memory that each pool needs now.

        Parameters
        ----------
        now : float
            Monotonic time in seconds.
        now_unix_s : float
            Unix time in seconds.

        Returns
        -------
        dict of str to float
            Megabytes of the running and waiting tasks.
        """
        self._refresh(now, now_unix_s)
        return self._memory_demand

    def backlog_core_s(self, service, priority, now, now_unix_s):
        """Return the core-seconds in a pool that are served before a new job.

        Parameters
        ----------
        service : str
            Name of the service, which is also that of its pool.
        priority : int
            Priority of the new job's queue; queues that come after it do not count.
        now : float
            Monotonic time in seconds.
        now_unix_s : float
            Unix time in seconds.

        Returns
        -------
        float
            Core-seconds.
        """
        self._refresh(now, now_unix_s)
        return sum(
            work_core_s
            for (pool, queue_priority), work_core_s in self._backlogs.items()
            if pool == service and queue_priority <= priority
        )

    def add_admitted_job(self, service, priority, work_core_s):
        """Add a job that was not refused to the backlog until the next refresh.

        It becomes part of the state only once it is stored and read.

        Parameters
        ----------
        service : str
            Name of the service, which is also that of its pool.
        priority : int
            Priority of the job's queue.
        work_core_s : float
            Declared core-seconds of the job.
        """
        self._backlogs[service, priority] = (
            self._backlogs.get((service, priority), 0.0) + work_core_s
        )

    def _refresh(self, now, now_unix_s):
        if self._refreshed_at is not None and now - self._refreshed_at < MAX_AGE_S:
            return
        self._refreshed_at = now
        long_running, running, memory, short_runs = self._running_needs()
        budget = organisation_limits.make_budget(self._state, now)
        waiting = collections.Counter()
        backlogs = collections.Counter()
        late_occurrences = []
        for job in self._state.open_jobs.values():
            rules = self._state.queue_rules(job)
            for occurrence in job.occurrences.values():
                urgency = ordering.sort_key(occurrence, rules, now_unix_s)[0]
                if urgency in (ordering.LATE, ordering.ABANDONED):
                    late_occurrences.append(occurrence)
                else:
                    _add_waiting_needs(occurrence, budget, 1.0, waiting, memory)
                if urgency in (ordering.LAST_CHANCE, ordering.IN_TIME, ordering.LATE):
                    backlogs[job.service, rules.priority] += occurrence.remaining_core_s
        # What is left of an organisation's limit goes to its late jobs last.
        for occurrence in late_occurrences:
            weight = rebalancing.LATE_TASK_WEIGHT
            _add_waiting_needs(occurrence, budget, weight, waiting, memory)
        arrival_rates = self._state.arrival_rates
        arriving = {
            service: _arriving_demand(service, arrival_rate, budget, short_runs, now)
            for service, arrival_rate in arrival_rates.items()
        }
        self._backlogs = backlogs
        self._memory_demand = memory
        self._demand = {
            service: long_running[service]
            + waiting[service]
            + max(running[service], arriving.get(service, 0.0))
            for service in {*long_running, *running, *waiting, *arrival_rates}
        }

    def _running_needs(self):
        """Return processors of long-running and other runs, and memory, by pool.

        The last result has the processors of other runs by pool and organisation.
        """
        long_running, running = collections.Counter(), collections.Counter()
        memory, short_runs = collections.Counter(), collections.Counter()
        for executor in self._state.executors.values():
            for run in executor.runs.values():
                step = run.task.step
                if not step.is_filling:
                    counts = long_running if step.is_lasting else running
                    counts[executor.service] += step.processors
                    if counts is running and self._state.organisations:
                        name = run.task.job.organisation
                        short_runs[executor.service, name] += step.processors
                memory[executor.service] += step.memory
        return long_running, running, memory, short_runs


def _arriving_demand(service, arrival_rate, budget, short_runs, now):
    """Return the demand of arriving work, which the organisations' limits bound.

    It takes the place of the demand of the pool's short runs, if it is more.
    """
    if not budget.has_organisations:
        return arrival_rate.sustained_demand(now)
    processors = {
        name: budget.remaining_processors(name) + short_runs[service, name]
        for name in arrival_rate.organisations()
    }
    return arrival_rate.sustained_demand(now, processors)


def _add_waiting_needs(occurrence, budget, weight, waiting, memory):
    """Add what an occurrence's waiting tasks need to the demand of its pool."""
    needed_processors, needed_memory = _waiting_needs(occurrence, budget)
    if needed_processors:
        service = occurrence.job.service
        waiting[service] += needed_processors * weight
        memory[service] += needed_memory * weight


def _waiting_needs(occurrence, budget):
    """Return the processors and the memory that an occurrence's waiting tasks need.

    Tasks that may not start within the limits of their organisation do not count.
    """
    needed_processors = needed_memory = 0
    for number in occurrence.ready_steps:
        step = occurrence.job.steps[number]
        if not step.is_filling:
            waiting_count = budget.reserve(
                [t for t in occurrence.tasks[number] if not t.is_done and not t.runs]
            )
            needed_processors += step.processors * waiting_count
            needed_memory += step.memory * waiting_count
    return needed_processors, needed_memory
