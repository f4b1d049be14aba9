"""Detection of executors on which tasks of several jobs fail.

Load pattern: some executors fail every task quickly and so always have free capacity;
some jobs fail on every executor. Both occur while the pool is full. Failures of a
single job say nothing about the executor.
"""

FAILURE_WINDOW_S = 6.0
SUSPICION_S = 4.0
# An executor is suspected once tasks of this many jobs failed on it within the window.
FAILED_JOBS_LIMIT = 2


def update_recent_failures(executor, job_id, how, now):
    """Update the recent failures of an executor by the end of a run.

    Parameters
    ----------
    executor : executors.Executor
        Executor of the run.
    job_id : str
        Job of the run.
    how : str
        How the run ended. ``'failed'`` counts as a failure, ``'done'`` clears the
        failures and the suspicion, and other values change nothing.
    now : float
        Monotonic time in seconds.
    """
    if how == "done":
        executor.recent_failures = []
        executor.suspected_until = 0.0
        return
    if how != "failed":
        return
    recent = [(t, j) for t, j in executor.recent_failures if now - t < FAILURE_WINDOW_S]
    executor.recent_failures = [*recent, (now, job_id)]
    if len({j for _, j in executor.recent_failures}) >= FAILED_JOBS_LIMIT:
        executor.suspected_until = now + SUSPICION_S


def filter_trusted(candidates, now, slow_executor_ids=frozenset()):
    """Return the candidates that are neither suspected nor slow.

    If fewer than half of them would be left, all candidates are returned.

    Parameters
    ----------
    candidates : list of (executors.Executor, list of int)
        Executors of one pool with the free resources of each.
    now : float
        Monotonic time in seconds.
    slow_executor_ids : set of str
        Ids of executors that are far slower than the others.

    Returns
    -------
    list of (executors.Executor, list of int)
        The remaining candidates.
    """
    trusted = [
        c
        for c in candidates
        if now >= c[0].suspected_until and c[0].id not in slow_executor_ids
    ]
    if len(trusted) * 2 < len(candidates):
        return candidates
    return trusted
