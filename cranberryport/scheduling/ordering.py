"""Order in which jobs get capacity while there is not enough for all.

Load pattern: for some seconds each queue needs several times the capacity of its pool,
and almost nothing in between. Declared run times are off by 50 %.
"""

# Urgency of a job, the first element of its sort key; the smallest is served first.
# A late job cannot meet its objective any more. It has its last chance shortly before
# its caller gives up, and is abandoned once it would end only after that.
LAST_CHANCE = 0
IN_TIME = 1
LATE = 2
ABANDONED = 3
# A caller gives up after this multiple of the objective (platform's rules).
GIVE_UP_FACTOR = 3.0
# Urgency of long-running jobs, which are served before all others.
LONG_RUNNING = -1
# A late job is served first once its slack until its caller gives up is shorter than
# this. Otherwise a long peak could delay it until its caller gives up.
LAST_CHANCE_S = 1.5


class QueueRules:
    """Configuration of a queue.

    Parameters
    ----------
    name, service : str
        Name of the queue and of the service that runs its tasks.
    priority : int
        Priority; 0 is the highest.
    failed_runs_limit : int
        Number of failed runs of a task after which its job fails.
    stretch : float
        The objective is this multiple of a job's critical path, plus ``latency_s``.
    latency_s : float
        Part of the objective that does not depend on the job, in seconds.
    advice_times : tuple of (float, float, float) or None
        For queues whose tasks need tickets of the advice service, which prove that an
        executor may run a step: seconds that the service takes for an answer, further
        seconds for each executor in the question, and seconds for which a ticket is
        valid. None for other queues.
    """

    __slots__ = (
        "advice_times",
        "failed_runs_limit",
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
        failed_runs_limit=1,
        stretch=1.0,
        latency_s=0.0,
        advice_times=None,
    ):
        self.name = name
        self.service = service
        self.priority = priority
        self.failed_runs_limit = failed_runs_limit
        self.stretch = stretch
        self.latency_s = latency_s
        self.advice_times = advice_times


def objective_s(job, rules):
    """Return the objective: seconds in which a job should be completed."""
    return rules.stretch * job.critical_path_s + rules.latency_s


def sort_key(occurrence, rules, now_unix_s):
    """Return the sort key of an occurrence; the smallest is served first.

    Long-running jobs come first. Next come late jobs whose callers are about to give
    up, then jobs that can still meet their objective, other late jobs, and jobs whose
    callers have given up. Within a group and priority the job with the least slack
    comes first: the time until its objective, or until its caller gives up if it is
    late, minus its remaining critical path. So a large job with a long objective waits
    for small ones that have to start now, but later small jobs do not delay it
    repeatedly.

    Parameters
    ----------
    occurrence : model.Occurrence
        Occurrence with tasks that could start.
    rules : QueueRules
        Rules of its queue.
    now_unix_s : float
        Unix time in seconds.

    Returns
    -------
    tuple of (int, int, float)
        Urgency, priority of the queue, and slack in seconds. Long-running jobs and jobs
        whose callers have given up have, instead of the slack, the Unix time since
        which they wait.
    """
    job = occurrence.job
    waiting_since = max(job.accepted_at, occurrence.due_at)
    if any(step.is_lasting for step in job.steps):
        return (LONG_RUNNING, rules.priority, waiting_since)
    objective = objective_s(job, rules)
    remaining_s = waiting_since + objective - now_unix_s
    needed_s = occurrence.remaining_critical_path_s
    if remaining_s >= needed_s:
        return (IN_TIME, rules.priority, remaining_s - needed_s)
    remaining_s += objective * (GIVE_UP_FACTOR - 1)
    if remaining_s < needed_s:
        return (ABANDONED, rules.priority, waiting_since)
    urgency = LAST_CHANCE if remaining_s - needed_s < LAST_CHANCE_S else LATE
    return (urgency, rules.priority, remaining_s - needed_s)
