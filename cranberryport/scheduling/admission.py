"""Refusal of jobs that cannot be served while their callers still wait.

Load pattern: large jobs come at once, or a peak stays above all instances that can be
lent, so that what is accepted now would end when nobody waits for it any more.
"""

import math

from cranberryport.scheduling import ordering

# Callers are not sent away for longer, as a peak lasts some seconds and they give up.
LONGEST_RETRY_AFTER_S = 5


def retry_after_s(*, work_core_s, critical_path_s, rules, backlog_core_s, cores):
    """Return when a caller should come back, 0 if its job is to be accepted.

    Parameters
    ----------
    work : float
        Declared core-seconds of the job.
    chain_s : float
        Its longest chain in seconds.
    rules : ordering.QueueRules
        Rules of its queue.
    backlog : float
        Core-seconds that are served before it.
    processors : float
        Cores that the pool has or can borrow.

    Returns
    -------
    int
        Whole seconds; after them the backlog is small enough for a job like this.
    """
    if cores <= 0:
        return 0
    objective = rules.stretch * critical_path_s + rules.latency_s
    wait_s = backlog_core_s / cores
    usable_s = ordering.LATE_FACTOR * objective - critical_path_s
    if wait_s + work_core_s / cores <= usable_s:
        return 0
    return max(1, min(LONGEST_RETRY_AFTER_S, math.ceil(wait_s - usable_s / 2)))
