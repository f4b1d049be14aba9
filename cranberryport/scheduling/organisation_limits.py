"""Limits on what an organisation may have running.

Load pattern: an organisation submits a thousand tasks at once, or one that needs most
of its limit. The first must not pass the limit, and must not delay the others that
wait behind it; the second has to start while little of the organisation runs.

A task starts if the organisation stays within its limit with it, or if what runs is
under half of the limit in each limited resource. The platform's rule allows the limit,
an overshoot and one task more, so both conditions keep it.
"""

import math

from cranberryport.scheduling import organisation_usage

_NO_USE = (0, 0, 0)
_NO_LIMITS = (0, 0, 0)


def limits_of(organisation):
    """Return processors, memory and accelerators that may be used; 0 for no limit."""
    return (
        organisation.processors_limit,
        organisation.memory_limit,
        organisation.accelerators_limit,
    )


def can_never_run(step, organisation, overshoot):
    """Return whether a step cannot start even while its organisation has no runs.

    Parameters
    ----------
    step : model.Step
        The step. The tasks of a gang start together; any other task starts alone if
        nothing else runs.
    organisation : organisations.Organisation or None
        Its organisation; None for no limit.
    overshoot : float
        Share by which the platform's rule allows the limit to be exceeded.

    Returns
    -------
    bool
        True only for gangs.
    """
    if organisation is None or not step.is_gang:
        return False
    return not _is_within_overshoot(
        _NO_USE, limits_of(organisation), step, step.count, overshoot
    )


def refusal_reason(steps, organisation, overshoot):
    """Return why a job can never run within the limits of its organisation.

    Parameters
    ----------
    steps : list of model.Step
        Steps of the job.
    organisation : organisations.Organisation or None
        Its organisation in the newest configuration; None for no limit.
    overshoot : float
        Share by which the platform's rule allows the limit to be exceeded.

    Returns
    -------
    str or None
        Text for the caller with the needs and the limits; None if every step can run.
    """
    for number, step in enumerate(steps):
        if can_never_run(step, organisation, overshoot):
            needed = [step.count * need for need in organisation_usage.needs(step)]
            return (
                f"step {number} starts {step.count} tasks at once, which need "
                f"{_describe(needed)}; the limits of organisation "
                f"{organisation.name!r} are {_describe(limits_of(organisation))} "
                "(0 is no limit)"
            )
    return None


class Budget:
    """What each organisation may still start in one pass of planning.

    Parameters
    ----------
    organisations : dict of str to organisations.Organisation
        Organisations by name. Jobs without an organisation, and those of organisations
        that are missing here, have no limit.
    usage : dict of str to list of int
        Result of :func:`organisation_usage.measure`; updated by :meth:`add`.
    overshoot : float, default=0.0
        Share by which the platform's rule allows the limit to be exceeded; only gangs
        use it.

    Attributes
    ----------
    refused : set of str
        Organisations of which a task was not permitted to start.
    """

    __slots__ = (
        "_awaited",
        "_organisations",
        "_overshoot",
        "_refused_needs",
        "_usage",
        "refused",
    )

    def __init__(self, *, organisations, usage, overshoot=0.0):
        self._organisations = organisations
        self._usage = usage
        # Needs of tasks that wait for an instance, by organisation.
        self._awaited = {}
        self._overshoot = overshoot
        # Needs of the last refused task by organisation. What is in use only grows in a
        # pass, so that no task that needs at least as much may start after it.
        self._refused_needs = {}
        self.refused = set()

    @property
    def has_organisations(self):
        """Whether any organisation is configured."""
        return bool(self._organisations)

    def use_and_limits(self, name):
        """Return what an organisation uses, and its limits.

        Parameters
        ----------
        name : str
            Name of the organisation.

        Returns
        -------
        tuple of (tuple of int, tuple of int)
            Thousandths of a core, mebibytes and accelerators of each. The limits are 0
            if the organisation is not configured.
        """
        organisation = self._organisations.get(name)
        limits = _NO_LIMITS if organisation is None else limits_of(organisation)
        return tuple(self._usage.get(name, _NO_USE)), limits

    def is_refused(self, name, step):
        """Return whether a refusal in this pass holds for a step as well.

        This costs less than :meth:`select_startable` while thousands of tasks wait.
        """
        refused = self._refused_needs.get(name)
        return (
            refused is not None
            and step.processors >= refused[0]
            and step.memory >= refused[1]
            and step.accelerators >= refused[2]
        )

    def select_startable(self, tasks):
        """Return those of equal tasks that may start now.

        Parameters
        ----------
        tasks : list of model.Task
            Tasks of one step in the order in which they start.

        Returns
        -------
        list of model.Task
            The first ones; of a gang all or none.
        """
        if not tasks or not self._organisations:
            return tasks
        name, step = tasks[0].occurrence.job.organisation, tasks[0].step
        if self.is_refused(name, step):
            return []
        used = self._usage.get(name, _NO_USE)
        count = self._count_startable(name, step, len(tasks), used)
        if count == len(tasks):
            return tasks
        self.refused.add(name)
        if not count and not step.is_gang:
            self._refused_needs[name] = organisation_usage.needs(step)
        return tasks[:count]

    def select_awaited(self, tasks):
        """Return those of equal tasks that could start if they had an instance.

        Those of earlier calls count as well, so that all together do not call for more
        instances than the limit allows to use. They do not delay smaller tasks.

        Parameters
        ----------
        tasks : list of model.Task
            Tasks of one step that found no executor.

        Returns
        -------
        list of model.Task
            The first ones.
        """
        if not tasks or not self._organisations:
            return tasks
        name, step = tasks[0].occurrence.job.organisation, tasks[0].step
        awaited = self._awaited.setdefault(name, [0, 0, 0])
        used = self._usage.get(name, _NO_USE)
        total = [u + a for u, a in zip(used, awaited, strict=True)]
        count = self._count_startable(name, step, len(tasks), total)
        _add_needs(awaited, step, count)
        return tasks[:count]

    def may_start(self, task):
        """Return whether one task, for example a second run of it, may start now."""
        return bool(self.select_startable([task]))

    def may_restart(self, task):
        """Return whether a task could start again after its only run was stopped.

        After a limit was lowered it could not, so the run had better go on.
        """
        name = task.job.organisation
        used = list(self._usage.get(name, _NO_USE))
        _add_needs(used, task.step, -1)
        return bool(self._count_startable(name, task.step, 1, used))

    def reserve(self, tasks):
        """Count those of equal tasks that may start as started; return their number."""
        if not tasks or not self._organisations:
            return len(tasks)
        count = len(self.select_startable(tasks))
        self.add(tasks[0].job, tasks[0].step, count)
        return count

    def add(self, job, step, count=1):
        """Count tasks of a step as started."""
        if not self._organisations or not job.organisation:
            return
        used = self._usage.setdefault(job.organisation, [0, 0, 0])
        _add_needs(used, step, count)

    def remaining_processors(self, name):
        """Return how many processors an organisation may still use.

        Returns
        -------
        float
            Thousandths of a core; 0 if any limited resource is used up, infinite if
            processors are not limited.
        """
        organisation = self._organisations.get(name)
        if organisation is None:
            return math.inf
        used, limits = self.use_and_limits(name)
        if any(limit and u >= limit for u, limit in zip(used, limits, strict=True)):
            return 0
        return limits[0] - used[0] if limits[0] else math.inf

    def _count_startable(self, name, step, count, used):
        organisation = self._organisations.get(name)
        if organisation is None:
            return count
        limits = limits_of(organisation)
        if step.is_gang:
            is_permitted = _fitting_count(used, limits, step, count) == count or (
                _is_under_half(used, limits)
                and _is_within_overshoot(used, limits, step, count, self._overshoot)
            )
            return count if is_permitted else 0
        fitting = _fitting_count(used, limits, step, count)
        if fitting < count:
            if fitting:
                used = list(used)
                _add_needs(used, step, fitting)
            # One task that does not fit may start; after it, the limit is passed.
            fitting += _is_under_half(used, limits)
        return fitting


def make_budget(state, now):
    """Return the budget of a decision.

    Parameters
    ----------
    state : cranberryport.scheduling.scheduler.Scheduler
        State of all jobs and executors.
    now : float
        Monotonic time in seconds.
    """
    return Budget(
        organisations=state.organisations,
        # Without organisations there is no limit, so the runs need not be counted.
        usage=organisation_usage.measure(state, now) if state.organisations else {},
        overshoot=state.limit_overshoot,
    )


def report(state, now):
    """Return use and limits of each configured organisation, for metrics.

    Parameters
    ----------
    state : cranberryport.scheduling.scheduler.Scheduler
        State of all jobs and executors.
    now : float
        Monotonic time in seconds.

    Returns
    -------
    dict of str to (tuple of int, tuple of int)
        By name: thousandths of a core, mebibytes and accelerators in use, and the
        limits of these; a limit of 0 is none.
    """
    budget = make_budget(state, now)
    return {name: budget.use_and_limits(name) for name in state.organisations}


def _add_needs(used, step, count):
    for number, need in enumerate(organisation_usage.needs(step)):
        used[number] += count * need


def _fitting_count(used, limits, step, count):
    """Return how many of some tasks stay within the limits."""
    needs = organisation_usage.needs(step)
    for number in range(3):
        limit = limits[number]
        if not limit:
            continue
        room = limit - used[number]
        if room < 0:
            # Also a task that needs nothing of it starts above the limit.
            return 0
        need = needs[number]
        if need * count > room:
            count = room // need
    return count


def _is_under_half(used, limits):
    """Return whether less than half of each limited resource is used."""
    # Each decision asks for every organisation at its limit, so no generator is used.
    return not (
        (limits[0] and 2 * used[0] >= limits[0])
        or (limits[1] and 2 * used[1] >= limits[1])
        or (limits[2] and 2 * used[2] >= limits[2])
    )


def _is_within_overshoot(used, limits, step, count, overshoot):
    """Return whether the platform's rule allows some tasks to start together."""
    return all(
        not limit or u + count * need <= limit * (1 + overshoot) + need
        for u, limit, need in zip(
            used, limits, organisation_usage.needs(step), strict=True
        )
    )


def _describe(amounts):
    processors, memory, accelerators = amounts
    return (
        f"{processors / 1000:g} cores, {memory} MB of memory and "
        f"{accelerators} accelerators"
    )
