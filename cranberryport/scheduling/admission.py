"""Refusal of jobs that would end only after their callers have given up.

Load pattern: many large jobs arrive at once, or a peak exceeds the pool and all
instances that can be moved to it, so that a job accepted now would end too late to be
of use.
"""

import math

from cranberryport.scheduling import ordering

# Peaks last only seconds, and callers that are told to wait longer than this give up.
LONGEST_RETRY_AFTER_S = 5


def retry_after_s(*, work_core_s, critical_path_s, rules, backlog_core_s, cores):
    """Return after how long a refused caller should retry, 0 to accept its job.

    Parameters
    ----------
    work_core_s : float
        Declared core-seconds of the job.
    critical_path_s : float
        Declared seconds of its critical path.
    rules : ordering.QueueRules
        Rules of its queue.
    backlog_core_s : float
        Core-seconds of the jobs that are served before it.
    cores : float
        Cores that the pool has or can get from other pools; 0 if not known, and then
        the job is accepted.

    Returns
    -------
    int
        Seconds in which the backlog should become small enough for such a job.
    """
    if cores <= 0:
        return 0
    objective = rules.stretch * critical_path_s + rules.latency_s
    wait_s = backlog_core_s / cores
    longest_wait_s = ordering.GIVE_UP_FACTOR * objective - critical_path_s
    if wait_s + work_core_s / cores <= longest_wait_s:
        return 0
    # By then the wait has fallen to half of the longest one.
    return max(1, min(LONGEST_RETRY_AFTER_S, math.ceil(wait_s - longest_wait_s / 2)))
