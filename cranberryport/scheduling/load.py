"""Demand and backlog of each pool, computed from the state of all jobs.

Load pattern: hundreds of jobs wait at once, each submission reads the backlog ahead of
it, and moves of instances are decided several times a second. So the sums are cached.
"""

import collections

from cranberryport.scheduling import (
    ordering,
    organisation_limits,
    organisation_shares,
    place_waits,
    rebalancing,
)

# Sums up to this age are reused; storing and reading a job takes longer.
MAX_AGE_S = 0.05
# Largest share of organisations over their shares; the others wait for at most ten
# times their own backlog.
LARGEST_OVER_SHARE = 0.9


class LoadMeter:
    """Sums up demand and backlog, at most once in ``MAX_AGE_S``.

    Parameters
    ----------
    state : cranberryport.scheduling.scheduler.Scheduler
        State of all jobs.
    shares : organisation_shares.OrganisationShares, optional
        Shares of the organisations; by default, new ones for this state.
    """

    __slots__ = (
        "_backlogs",
        "_demand",
        "_memory_demand",
        "_organisation_backlogs",
        "_over_backlogs",
        "_over_share",
        "_refreshed_at",
        "_shares",
        "_state",
    )

    def __init__(self, *, state, shares=None):
        self._state = state
        self._shares = shares or organisation_shares.OrganisationShares(state=state)
        self._refreshed_at = None
        self._demand = {}
        self._memory_demand = {}
        # Core-seconds by pool and priority: of all jobs, of each organisation, and of
        # the organisations over their shares, which together may have _over_share.
        self._backlogs = {}
        self._organisation_backlogs = {}
        self._over_backlogs = {}
        self._over_share = 0.0

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

    def backlog_core_s(self, service, priority, now, now_unix_s, organisation=""):
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
        organisation : str, default=""
            Organisation of the new job; empty for none. If it is over its share, only
            its own backlog counts, which its share of the cores has to serve. For the
            others, those over their shares count only as far as their shares are served
            meanwhile.

        Returns
        -------
        float
            Core-seconds.
        """
        self._refresh(now, now_unix_s)
        if organisation in self._shares.exceeding:
            # One that is alone has all cores for its backlog.
            own = self._organisation_backlogs.get(organisation, {})
            return _sum_backlogs(own, service, priority)
        backlog = _sum_backlogs(self._backlogs, service, priority)
        over_backlog = _sum_backlogs(self._over_backlogs, service, priority)
        if not over_backlog:
            return backlog
        others_backlog = backlog - over_backlog
        others_share = 1 - self._over_share
        served_meanwhile = others_backlog * self._over_share / others_share
        return others_backlog + min(over_backlog, served_meanwhile)

    def add_admitted_job(self, service, priority, work_core_s, organisation=""):
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
        organisation : str, default=""
            Its organisation; empty for none.
        """
        backlogs = [self._backlogs]
        if organisation:
            own = self._organisation_backlogs.setdefault(organisation, {})
            backlogs.append(own)
        if organisation in self._shares.exceeding:
            backlogs.append(self._over_backlogs)
        for sums in backlogs:
            work_sum = sums.get((service, priority), 0.0) + work_core_s
            sums[service, priority] = work_sum

    def _refresh(self, now, now_unix_s):
        if self._refreshed_at is not None and now - self._refreshed_at < MAX_AGE_S:
            return
        self._refreshed_at = now
        self._shares.update(now, now_unix_s)
        long_running, running, memory, short_runs = self._running_needs()
        budget = organisation_limits.make_budget(self._state, now)
        waiting = _WaitingNeeds(
            budget=budget, shares=self._shares, memory=memory, now=now
        )
        backlogs = collections.Counter()
        own_backlogs = collections.defaultdict(collections.Counter)
        late_occurrences = []
        for job in self._state.open_jobs.values():
            rules = self._state.queue_rules(job)
            for occurrence in job.occurrences.values():
                urgency = ordering.sort_key(occurrence, rules, now_unix_s)[0]
                if urgency in (ordering.LATE, ordering.ABANDONED):
                    late_occurrences.append((occurrence, urgency))
                else:
                    waiting.add(occurrence, urgency, 1.0)
                if urgency in (ordering.LAST_CHANCE, ordering.IN_TIME, ordering.LATE):
                    key = job.service, rules.priority
                    backlogs[key] += occurrence.remaining_core_s
                    if job.organisation:
                        own_backlogs[job.organisation][key] += (
                            occurrence.remaining_core_s
                        )
        # What is left of an organisation's limit goes to its late jobs last.
        for occurrence, urgency in late_occurrences:
            waiting.add(occurrence, urgency, rebalancing.LATE_TASK_WEIGHT)
        arrival_rates = self._state.arrival_rates
        arriving = {
            service: _arriving_demand(service, arrival_rate, budget, short_runs, now)
            for service, arrival_rate in arrival_rates.items()
        }
        self._backlogs = backlogs
        self._organisation_backlogs = own_backlogs
        self._over_backlogs = collections.Counter()
        exceeding = self._shares.exceeding
        for name in exceeding:
            self._over_backlogs.update(own_backlogs.get(name, {}))
        over_share = sum(self._shares.share(name) for name in exceeding)
        self._over_share = min(LARGEST_OVER_SHARE, over_share)
        self._memory_demand = memory
        self._demand = {
            service: long_running[service]
            + waiting.processors[service]
            + max(
                running[service],
                # What arrives is reduced like what waits.
                arriving.get(service, 0.0) * waiting.kept_ratio(service),
            )
            for service in {
                *long_running,
                *running,
                *waiting.processors,
                *arrival_rates,
            }
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


class _WaitingNeeds:
    """What waiting tasks need in each pool, within limits and shares.

    Parameters
    ----------
    budget : organisation_limits.Budget
        What each organisation may still start.
    shares : organisation_shares.OrganisationShares
        Shares of the organisations.
    memory : collections.Counter
        Mebibytes by pool, to which the needs are added.
    now : float
        Monotonic time in seconds.

    Attributes
    ----------
    processors : collections.Counter
        Weighted thousandths of a core by pool.
    """

    __slots__ = (
        "_all",
        "_budget",
        "_memory",
        "_now",
        "_reduced",
        "_shares",
        "processors",
    )

    def __init__(self, *, budget, shares, memory, now):
        self._budget = budget
        self._shares = shares
        self._memory = memory
        self._now = now
        self._all = collections.Counter()
        self._reduced = collections.Counter()
        self.processors = collections.Counter()

    def add(self, occurrence, urgency, weight):
        """Add the waiting tasks of an occurrence with a weight from 0 to 1."""
        needed_processors, needed_memory = _waiting_needs(
            occurrence, self._budget, self._now
        )
        if not needed_processors:
            return
        job = occurrence.job
        service = job.service
        self._all[service] += needed_processors
        is_over = job.organisation in self._shares.over
        if is_over and urgency >= ordering.LAST_CHANCE:
            # Its excess waits behind others, so it is not urgent either.
            excess_ratio = self._shares.excess_ratio(job.organisation)
            reduction = excess_ratio * (1 - rebalancing.LATE_TASK_WEIGHT)
            self._reduced[service] += needed_processors * reduction
            weight = min(weight, 1 - reduction)
        self.processors[service] += needed_processors * weight
        self._memory[service] += needed_memory * weight

    def kept_ratio(self, service):
        """Return the part of a pool's waiting work that is not beyond shares."""
        return 1 - self._reduced[service] / max(1, self._all[service])


def _sum_backlogs(backlogs, service, priority):
    return sum(
        work_core_s
        for (pool, queue_priority), work_core_s in backlogs.items()
        if pool == service and queue_priority <= priority
    )


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


def _waiting_needs(occurrence, budget, now):
    """Return the processors and the memory that an occurrence's waiting tasks need.

    Tasks that may not start within the limits of their organisation do not count, nor
    those that wait for a local place, as they have room elsewhere.
    """
    needed_processors = needed_memory = 0
    for number in occurrence.ready_steps:
        step = occurrence.job.steps[number]
        if not step.is_filling:
            waiting_count = budget.reserve(
                [
                    task
                    for task in occurrence.tasks[number]
                    if not task.is_done
                    and not task.runs
                    and not (task.place_wait and place_waits.is_waiting(task, now))
                ]
            )
            needed_processors += step.processors * waiting_count
            needed_memory += step.memory * waiting_count
    return needed_processors, needed_memory
