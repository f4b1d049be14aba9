"""Order in which jobs get capacity when there is not enough for all.

Load pattern: each queue asks for several times what its pool holds for some seconds,
and for almost nothing in between, while declared run times are off by half.
"""

RESCUED = 0
FEASIBLE = 1
LATE = 2
MISSED = 3
# A job that ends after this multiple of its objective is worth nothing to its caller
# (platform's rules).
LATE_FACTOR = 3.0
SERVING_FIRST = -1
# A late job is served before all others when that little of its last time is left;
# otherwise a long peak would starve it until nobody waits for it any more.
RESCUE_S = 1.5


class QueueRules:
    """What the configuration says of a queue.

    Parameters
    ----------
    name, service : str
        Name of the queue and of the service that runs its tasks.
    priority : int
        0 comes first.
    attempts : int
        Failed runs of a task after which its job has failed.
    stretch : float
        The objective is this multiple of a job's longest chain, and the latency more.
    latency_s : float
        Part of the objective that does not depend on the job, in seconds.
    advice : tuple of (float, float, float) or None
        Seconds a decision and a worker, and seconds of validity, for queues whose
        placement needs tickets.
    """

    __slots__ = (
        "advice",
        "attempts",
        "latency_s",
        "name",
        "priority",
        "service",
        "stretch",
    )

    def __init__(
        self,
        *,
        name,
        service,
        priority=0,
        attempts=1,
        stretch=1.0,
        latency_s=0.0,
        advice=None,
    ):
        self.name = name
        self.service = service
        self.priority = priority
        self.attempts = attempts
        self.stretch = stretch
        self.latency_s = latency_s
        self.advice = advice


def objective_s(job, rules):
    """Return the time in which a job should be done, in seconds."""
    return rules.stretch * job.critical_path_s + rules.latency_s


def order_key(occurrence, rules, now):
    """Return the sort key of an occurrence of a job; the smallest is served first.

    Parameters
    ----------
    occurrence : model.Occurrence
        Occurrence with tasks that could start.
    rules : QueueRules
        Rules of its queue.
    now : float
        Wall-clock time in seconds.

    Returns
    -------
    tuple
        Jobs that can still meet their objective come before those that cannot, and
        these before those that nobody waits for any more; late jobs about to become
        useless come first. Within each group the least time left comes first: large
        jobs with a long objective wait for small ones that have to begin now, and are
        not put off again and again by those that come later.
    """
    job = occurrence.job
    began = max(job.accepted_at, occurrence.due_at)
    if any(step.is_lasting for step in job.steps):
        return (SERVING_FIRST, rules.priority, began)
    objective = objective_s(job, rules)
    left = began + objective - now
    need = occurrence.remaining_critical_path_s
    if left >= need:
        return (FEASIBLE, rules.priority, left - need)
    left += objective * (LATE_FACTOR - 1)
    if left < need:
        return (MISSED, rules.priority, began)
    urgency = RESCUED if left - need < RESCUE_S else LATE
    return (urgency, rules.priority, left - need)
