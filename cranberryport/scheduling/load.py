"""What the pools are asked for, from the state of all jobs."""

import collections

from cranberryport.scheduling import lending, ordering


def demand(state, now, wall):
    """Return the processors that each pool needs now or soon.

    Parameters
    ----------
    state : cranberryport.scheduling.scheduler.Scheduler
        State of all jobs.
    now : float
        Monotonic time in seconds.
    wall : float
        Unix time in seconds.

    Returns
    -------
    dict of str to float
        Thousandths of a core: what runs and waits, or what the present rate of arrivals
        keeps busy with what waits, whichever is more.
    """
    lasting, running = collections.Counter(), collections.Counter()
    waiting = collections.Counter()
    for executor in state.executors.values():
        for run in executor.runs.values():
            step = run.task.step
            kept = lasting if step.is_lasting else running
            kept[executor.service] += 0 if step.is_filling else step.processors
    for job in state.open_jobs.values():
        for occurrence in job.occurrences.values():
            asked = _waiting_processors(occurrence)
            if not asked:
                continue
            urgency = ordering.order_key(occurrence, state.rules(job), wall)[0]
            is_late = urgency in (ordering.LATE, ordering.MISSED)
            share = lending.LATE_SHARE if is_late else 1.0
            waiting[job.service] += asked * share
    services = {*lasting, *running, *waiting, *state.arrivals}
    return {
        service: lasting[service]
        + waiting[service]
        + max(running[service], state.arrivals[service].steady_demand(now))
        for service in services
    }


def backlog(state, service, rules, wall):
    """Return the core-seconds of a pool that a new job has to wait for.

    Parameters
    ----------
    state : cranberryport.scheduling.scheduler.Scheduler
        State of all jobs.
    service : str
        Name of the pool.
    rules : ordering.QueueRules
        Rules of the new job's queue; queues that come after it do not count.
    wall : float
        Unix time in seconds.
    """
    total = 0.0
    for job in state.open_jobs.values():
        job_rules = state.rules(job)
        if job.service != service or job_rules.priority > rules.priority:
            continue
        for occurrence in job.occurrences.values():
            urgency = ordering.order_key(occurrence, job_rules, wall)[0]
            if urgency in (ordering.RESCUED, ordering.FEASIBLE, ordering.LATE):
                total += ordering.remaining_work(occurrence)
    return total


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
