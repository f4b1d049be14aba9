"""Tells executors that fail what they start from jobs that can never be done.

Load pattern: some executors fail everything, fast, and so always look free; some jobs
fail everywhere. Both come while the pool is full.
"""

WINDOW_S = 6.0
SUSPECTED_S = 4.0
# Failures of that many different jobs within the window make an executor suspect.
JOBS_LIMIT = 2


def note_end(executor, job_id, how, now):
    """Take the end of a run into an executor's record.

    Parameters
    ----------
    executor : executors.Executor
        Where it ran.
    job_id : str
        Job of the run.
    how : str
        ``done`` clears the record.
    now : float
        Monotonic time in seconds.
    """
    if how == "done":
        executor.recent_failures = []
        executor.suspected_until = 0.0
        return
    if how != "failed":
        return
    recent = [(t, j) for t, j in executor.recent_failures if now - t < WINDOW_S]
    executor.recent_failures = [*recent, (now, job_id)]
    if len({j for _, j in executor.recent_failures}) >= JOBS_LIMIT:
        executor.suspected_until = now + SUSPECTED_S


def trusted(candidates, now, slow=frozenset()):
    """Return the candidates that are not suspect, or all if most of them are.

    Parameters
    ----------
    candidates : list of (executors.Executor, list of int)
        Executors of one pool with what is free.
    now : float
        Monotonic time in seconds.
    slow : set of str
        Executors that are far slower than the others.
    """
    good = [
        c for c in candidates if now >= c[0].suspected_until and c[0].id not in slow
    ]
    if len(good) * 2 < len(candidates):
        return candidates
    return good
