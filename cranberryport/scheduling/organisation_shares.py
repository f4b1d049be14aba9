"""Weighted fair sharing of the pools between organisations.

Load pattern: organisations of very different size share pools that are full at their
peaks, and one of them sends 4 to 8 times its usual load for 5 to 8 s. Jobs cannot be
divided, so a small organisation often uses more than its share for one job's time.
"""

import collections
import logging
import math

from cranberryport.scheduling import ordering

# Time constant with which received service fades. Runs take about a second. Without
# this memory the worst tenth of 20 organisations got 0.66 of the mean instead of 0.85,
# with 4 s 0.78 (while jobs that had started were exempt).
FADING_S = 1.0
# An organisation goes over its share once it demands more than this multiple of it and
# of the mean size of its jobs, and returns once it demands at most one of each. In four
# replays at 0.95 of the capacity, two of 20 organisations went over without a flood;
# with 2 jobs six did.
OVER_FACTOR = 2.0
OVER_JOBS = 3.0
# What waits beyond the share waits for others once one of these would lose this part of
# its slack. By declared run times, which are off by 50 %, more makes others late: with
# 1.0 a flood cost the others 0.13 of their jobs in time, with 0.25 0.01.
SLACK_PART = 0.25
# With 0.05 s organisations add to a use that is out of date: the worst tenth got 0.79.
UPDATE_INTERVAL_S = 0.02
# A return is logged once an organisation has been within its share for this time, as
# one in a flood alternates around its share.
RETURN_LOG_DELAY_S = 1.0
# Log lines about changes within LOG_INTERVAL_S; further ones are only counted.
LOG_LINES_LIMIT = 20
LOG_INTERVAL_S = 10.0
# Service below this is forgotten, in thousandths of a core.
SMALLEST_SERVICE = 1.0
# Substitute for a weight of 0, which would never get anything.
SMALLEST_WEIGHT = 0.001

_logger = logging.getLogger(__name__)


class OrganisationStatus:
    """Share and service of an organisation, for metrics.

    Parameters
    ----------
    share : float
        Share of the service of all organisations that it may have now, from 0 to 1.
    service : float
        Service received lately, in thousandths of a core.
    received_core_s : float
        Core-seconds received since this controller took over.
    waiting : float
        Thousandths of a core that its waiting tasks need.
    rejected_counts : dict of str to int
        Number of its jobs rejected since this controller took over, by reason.
    is_over : bool
        Whether it is over its share.
    """

    __slots__ = (
        "is_over",
        "received_core_s",
        "rejected_counts",
        "service",
        "share",
        "waiting",
    )

    def __init__(
        self, *, share, service, received_core_s, waiting, rejected_counts, is_over
    ):
        self.share = share
        self.service = service
        self.received_core_s = received_core_s
        self.waiting = waiting
        self.rejected_counts = rejected_counts
        self.is_over = is_over


class OrganisationShares:
    """Measures the service of each organisation and finds those over their share.

    The service of a run is the time for which it is planned or in progress, multiplied
    by its processors or by its memory's equivalent in processors, whichever is more.
    Long-running and best-effort runs do not count, as their order does not depend on
    shares.

    Parameters
    ----------
    state : cranberryport.scheduling.scheduler.Scheduler
        State of all jobs and executors, with the organisations.
    """

    __slots__ = (
        "_budgets",
        "_capacity",
        "_demand",
        "_is_alone",
        "_level",
        "_log_times",
        "_memory_factor",
        "_over_last_at",
        "_received_core_s",
        "_rejected_counts",
        "_service",
        "_state",
        "_unlogged_count",
        "_updated_at",
        "_use",
        "_waiting_sum",
        "_window_share",
    )

    def __init__(self, *, state):
        self._state = state
        self._updated_at = None
        # Thousandths of a core by organisation: fading mean of the use, use, and use
        # together with what waits.
        self._service = {}
        self._use = {}
        self._demand = {}
        self._waiting_sum = 0.0
        # Part of the fading mean that has been observed, from 0 to 1.
        self._window_share = 0.0
        # Thousandths of a core that can be divided between organisations, and those for
        # each unit of weight.
        self._capacity = 0.0
        self._level = math.inf
        # Whether at most one organisation, and no job without one, demands anything.
        self._is_alone = True
        # Thousandths of a core that each organisation over its share may add now.
        self._budgets = {}
        # Thousandths of a core that count for each mebibyte.
        self._memory_factor = 0.0
        self._over_last_at = {}
        self._received_core_s = collections.Counter()
        self._rejected_counts = collections.defaultdict(collections.Counter)
        self._log_times = collections.deque(maxlen=LOG_LINES_LIMIT)
        self._unlogged_count = 0

    @property
    def over(self):
        """Names of the organisations over their share at the last update.

        An organisation alone in its demand is never over its share.
        """
        return frozenset() if self._is_alone else self._budgets.keys()

    @property
    def exceeding(self):
        """Names of the organisations in :attr:`over`, or of one that is alone."""
        return self._budgets.keys()

    def update(self, now, now_unix_s):
        """Measure use and demand, unless that was done within ``UPDATE_INTERVAL_S``.

        Parameters
        ----------
        now : float
            Monotonic time in seconds.
        now_unix_s : float
            Unix time in seconds.
        """
        if not self._state.organisations:
            self._budgets = {}
            return
        elapsed_s = math.inf if self._updated_at is None else now - self._updated_at
        if elapsed_s < UPDATE_INTERVAL_S:
            return
        self._updated_at = now
        pool_processors = self._measure_executors()
        self._update_service(self._measure_use(), elapsed_s)
        counts = self._measure_demand(pool_processors, now_unix_s)
        weights = self._weights(self._demand)
        self._level = divide(
            {name: (self._demand[name], weight) for name, weight in weights.items()},
            self._capacity,
        )
        self._budgets = self._find_budgets(weights, counts)
        self._waiting_sum = sum(map(self._waiting, self._demand))
        self._log_changes(now)

    def order(self, occurrences, processors, now_unix_s):
        """Return the occurrences of a pool in the order in which they are served.

        What an organisation demands beyond its share comes after all others that are
        of use to their callers, but only if an occurrence of another organisation
        would be late in the order by urgency. Long-running jobs stay first. Occurrences
        that have started wait as well: their organisation's share serves them first, as
        they are the most urgent, and more of them would keep the pool for a flood.

        Parameters
        ----------
        occurrences : list of model.Occurrence
            Occurrences with waiting tasks in one pool.
        processors : float
            Thousandths of a core of the pool's executors.
        now_unix_s : float
            Unix time in seconds.

        Returns
        -------
        list of model.Occurrence
            Sorted by :func:`ordering.sort_key` unless shares apply.
        """
        keys = {
            o: ordering.sort_key(o, self._state.queue_rules(o.job), now_unix_s)
            for o in occurrences
        }
        by_urgency = sorted(occurrences, key=keys.__getitem__)
        if not self._budgets:
            return by_urgency
        demoted = self._find_excess(by_urgency, keys)
        if not _delays_others(demoted, by_urgency, keys, processors / 1000):
            return by_urgency
        # The sort is stable, so the order by urgency remains within a rank.
        return sorted(by_urgency, key=lambda o: _rank(o in demoted, keys[o][0]))

    def _find_excess(self, by_urgency, keys):
        """Return the occurrences beyond the budgets of their organisations."""
        excess = set()
        budgets = dict(self._budgets)
        for occurrence in by_urgency:
            name = occurrence.job.organisation
            is_useful = ordering.LONG_RUNNING < keys[occurrence][0] < ordering.ABANDONED
            if name not in budgets or not is_useful:
                continue
            if budgets[name] <= 0:
                excess.add(occurrence)
            else:
                budgets[name] -= _waiting_needs(occurrence, self._memory_factor)
        return excess

    def share(self, name):
        """Return the share of all service that an organisation may have now.

        Parameters
        ----------
        name : str
            Name of the organisation.

        Returns
        -------
        float
            From 0 to 1. Shares that others do not use are divided by weight. 1 if
            nothing is divided, or the organisation is not in the configuration.
        """
        organisation = self._state.organisations.get(name)
        if organisation is None or self._level == math.inf or not self._capacity:
            return 1.0
        weight = max(SMALLEST_WEIGHT, organisation.weight)
        return min(1.0, self._level * weight / self._capacity)

    def excess_ratio(self, name):
        """Return the part of an organisation's demand that others wait for.

        Parameters
        ----------
        name : str
            Name of the organisation.

        Returns
        -------
        float
            From 0 to 1; 0 for an organisation that is not over its share, and while no
            other organisation has waiting tasks.
        """
        if name not in self.over or self._waiting(name) == self._waiting_sum:
            return 0.0
        allowed = self.share(name) * self._capacity
        return max(0.0, 1 - allowed / self._demand[name])

    def _waiting(self, name):
        return max(0.0, self._demand.get(name, 0.0) - self._use.get(name, 0.0))

    def count_rejection(self, name, reason):
        """Count a rejected job of an organisation, if the configuration has it."""
        if name in self._state.organisations:
            self._rejected_counts[name][reason] += 1

    def statuses(self):
        """Return the status of each organisation of the configuration.

        Returns
        -------
        dict of str to OrganisationStatus
            By name, as of the last update.
        """
        return {
            name: OrganisationStatus(
                share=self.share(name),
                service=self._service.get(name, 0.0),
                received_core_s=self._received_core_s[name],
                waiting=self._waiting(name),
                rejected_counts=dict(self._rejected_counts[name]),
                is_over=name in self.over,
            )
            for name in self._state.organisations
        }

    def _weights(self, names):
        organisations = self._state.organisations
        return {
            name: max(SMALLEST_WEIGHT, organisations[name].weight)
            for name in names
            if name in organisations
        }

    def _measure_executors(self):
        """Update what memory counts, and return the processors by pool."""
        memory = 0
        pool_processors = collections.Counter()
        for executor in self._state.executors.values():
            pool_processors[executor.service] += executor.processors
            memory += executor.memory
        self._memory_factor = pool_processors.total() / memory if memory else 0.0
        return pool_processors

    def _measure_use(self):
        use = collections.Counter()
        for executor in self._state.executors.values():
            for run in executor.runs.values():
                step = run.task.step
                if not step.is_lasting and not step.is_filling:
                    use[run.task.job.organisation] += _needs(step, self._memory_factor)
        organisations = self._state.organisations
        return {name: value for name, value in use.items() if name in organisations}

    def _update_service(self, use, elapsed_s):
        kept = math.exp(-elapsed_s / FADING_S)
        # Without this division service would fade in from nothing after a takeover.
        window_share = 1 - (1 - self._window_share) * kept
        faded = self._window_share * kept / window_share
        self._window_share = window_share
        service = {}
        for name in {*self._service, *use}:
            value = self._service.get(name, 0.0) * faded
            value += use.get(name, 0) * (1 - faded)
            if value >= SMALLEST_SERVICE:
                service[name] = value
        if math.isfinite(elapsed_s):
            for name, value in self._use.items():
                self._received_core_s[name] += value * elapsed_s / 1000
        if len(self._received_core_s) > len(self._state.organisations):
            for name in self._received_core_s.keys() - self._state.organisations:
                del self._received_core_s[name]
        self._service = service
        self._use = use

    def _measure_demand(self, pool_processors, now_unix_s):
        """Measure needs of tasks whose turn has come, and the capacity for them.

        Returns
        -------
        dict of str to int
            Number of occurrences with such tasks by organisation.
        """
        demand, counts = collections.Counter(), collections.Counter()
        pool_demand, shared_demand = collections.Counter(), collections.Counter()
        organisations = self._state.organisations
        for job in self._state.open_jobs.values():
            rules = self._state.queue_rules(job)
            for occurrence in job.occurrences.values():
                needed = _demanded_needs(occurrence, self._memory_factor)
                if not needed:
                    continue
                urgency = ordering.sort_key(occurrence, rules, now_unix_s)[0]
                if urgency == ordering.ABANDONED:
                    continue
                pool_demand[job.service] += needed
                if job.organisation in organisations:
                    shared_demand[job.service] += needed
                    demand[job.organisation] += needed
                    counts[job.organisation] += 1
        # A pool with more room than demand has nothing to divide.
        self._capacity = sum(
            needed * min(1.0, pool_processors[pool] / pool_demand[pool])
            for pool, needed in shared_demand.items()
        )
        has_others = pool_demand.total() > shared_demand.total()
        self._is_alone = len(demand) <= 1 and not has_others
        self._demand = demand
        return counts

    def _find_budgets(self, weights, counts):
        """Return what each organisation over its share may add to its use."""
        if self._level == math.inf:
            return {}
        budgets = {}
        for name, weight in weights.items():
            share = self._level * weight
            job_size = self._demand[name] / counts[name]
            limit = share + job_size
            if name not in self.over:
                limit = OVER_FACTOR * share + OVER_JOBS * job_size
            if self._demand[name] > limit:
                used = max(self._use.get(name, 0.0), self._service.get(name, 0.0))
                budgets[name] = share - used
        return budgets

    def _log_changes(self, now):
        for name in self.over:
            if name not in self._over_last_at:
                self._log("organisation over its share", name, now)
            self._over_last_at[name] = now
        if len(self._over_last_at) > len(self.over):
            for name, last_at in list(self._over_last_at.items()):
                if now - last_at >= RETURN_LOG_DELAY_S:
                    del self._over_last_at[name]
                    self._log("organisation within its share", name, now)

    def _log(self, event, name, now):
        times = self._log_times
        if len(times) == LOG_LINES_LIMIT and now - times[0] < LOG_INTERVAL_S:
            self._unlogged_count += 1
            return
        times.append(now)
        organisation = self._state.organisations.get(name)
        _logger.info(
            event,
            extra={
                "organisation": name,
                "weight": None if organisation is None else organisation.weight,
                "share": round(self.share(name), 4),
                "received": round(self._service.get(name, 0.0) / 1000, 1),
                "unlogged": self._unlogged_count,
            },
        )
        self._unlogged_count = 0


def divide(demands, capacity):
    """Divide a capacity by weight; what some do not demand goes to the others.

    Parameters
    ----------
    demands : dict of str to (float, float)
        Demand and weight of each organisation.
    capacity : float
        Capacity, in the unit of the demands.

    Returns
    -------
    float
        Capacity for each unit of weight for those that demand more than that; infinite
        if the capacity suffices for all.
    """
    weight_sum = sum(weight for _, weight in demands.values())
    for demand, weight in sorted(demands.values(), key=lambda pair: pair[0] / pair[1]):
        if demand / weight * weight_sum > capacity + SMALLEST_SERVICE:
            return max(0.0, capacity / weight_sum)
        capacity -= demand
        weight_sum -= weight
    return math.inf


def _needs(step, memory_factor):
    return max(step.processors, step.memory * memory_factor)


def _rank(is_demoted, urgency):
    """Return 0 for long-running, 1 for ordinary, 2 for demoted, 3 for abandoned."""
    if urgency == ordering.LONG_RUNNING:
        return 0
    if urgency == ordering.ABANDONED:
        return 3
    return 2 if is_demoted else 1


def _delays_others(excess, by_urgency, keys, cores):
    """Return whether the excess makes an occurrence of another organisation late."""
    work_core_s = 0.0
    organisations_before = set()
    for occurrence in by_urgency:
        urgency, _, slack_s = keys[occurrence]
        if urgency in (ordering.LONG_RUNNING, ordering.ABANDONED):
            continue
        work_core_s += occurrence.remaining_core_s
        if occurrence in excess:
            organisations_before.add(occurrence.job.organisation)
        elif organisations_before - {occurrence.job.organisation} and (
            urgency != ordering.IN_TIME or work_core_s > SLACK_PART * slack_s * cores
        ):
            return True
    return False


def _demanded_needs(occurrence, memory_factor):
    """Return the needs of running and waiting tasks."""
    needed = 0
    for number in occurrence.ready_steps:
        step = occurrence.job.steps[number]
        if not step.is_lasting and not step.is_filling:
            needed += occurrence.remaining_counts[number] * _needs(step, memory_factor)
    return needed


def _waiting_needs(occurrence, memory_factor):
    """Return the needs of waiting tasks."""
    return sum(
        _needs(task.step, memory_factor)
        for number in occurrence.ready_steps
        for task in occurrence.tasks[number]
        if not task.runs and not task.is_done and not task.step.is_filling
    )
