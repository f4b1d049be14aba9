"""Demand and backlog of each pool, computed from the state of all jobs.

Load pattern: hundreds of jobs wait at once, each submission reads the backlog ahead of
it, and moves of instances are decided several times a second. So the sums are cached.
"""

import collections

from cranberryport.scheduling import ordering, place_waits, rebalancing

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
        long_running, running, memory = self._running_needs()
        waiting = collections.Counter()
        backlogs = collections.Counter()
        for job in self._state.open_jobs.values():
            rules = self._state.queue_rules(job)
            for occurrence in job.occurrences.values():
                urgency = ordering.sort_key(occurrence, rules, now_unix_s)[0]
                needed_processors, needed_memory = _waiting_needs(occurrence, now)
                if needed_processors:
                    is_late = urgency in (ordering.LATE, ordering.ABANDONED)
                    weight = rebalancing.LATE_TASK_WEIGHT if is_late else 1.0
                    waiting[job.service] += needed_processors * weight
                    memory[job.service] += needed_memory * weight
                if urgency in (ordering.LAST_CHANCE, ordering.IN_TIME, ordering.LATE):
                    backlogs[job.service, rules.priority] += occurrence.remaining_core_s
        arrival_rates = self._state.arrival_rates
        self._backlogs = backlogs
        self._memory_demand = memory
        self._demand = {
            service: long_running[service]
            + waiting[service]
            + max(running[service], arrival_rates[service].sustained_demand(now))
            for service in {*long_running, *running, *waiting, *arrival_rates}
        }

    def _running_needs(self):
        """Return processors of long-running and other runs, and memory, by pool."""
        long_running, running = collections.Counter(), collections.Counter()
        memory = collections.Counter()
        for executor in self._state.executors.values():
            for run in executor.runs.values():
                step = run.task.step
                if not step.is_filling:
                    counts = long_running if step.is_lasting else running
                    counts[executor.service] += step.processors
                memory[executor.service] += step.memory
        return long_running, running, memory


def _waiting_needs(occurrence, now):
    """Return the processors and the memory that an occurrence's waiting tasks need.

    Tasks that wait for a local place have room elsewhere and call for no instance.
    """
    needed_processors = needed_memory = 0
    for number in occurrence.ready_steps:
        step = occurrence.job.steps[number]
        if not step.is_filling:
            waiting_count = sum(
                not task.is_done
                and not task.runs
                and not (task.place_wait and place_waits.is_waiting(task, now))
                for task in occurrence.tasks[number]
            )
            needed_processors += step.processors * waiting_count
            needed_memory += step.memory * waiting_count
    return needed_processors, needed_memory
