"""Resources that the runs of each organisation occupy.

Load pattern: organisations with up to thousands of jobs share the pools, and an
executor may be silent for seconds after a takeover while its runs go on. So the use is
derived at each decision from all runs that may be in progress, in one pass. Nothing is
stored that could differ from the runs.
"""


def needs(step):
    """Return processors, memory and accelerators of a task.

    Best-effort tasks count in full, although they use only idle processors.
    """
    return step.processors, step.memory, step.accelerators


def measure(state, now):
    """Return the resources in use by organisation.

    Runs count from their planning until their end is certain: planned, sent,
    unanswered, running and stopping ones, copies, runs of a previous controller on
    executors that have not been found yet, and runs that an executor lists but the
    scheduler has given up or never knew.

    Runs that the scheduler has removed because a lease has expired, the instance is
    gone or a start was refused do not count. They have certainly ended: on the same
    grounds their tasks may already run elsewhere.

    Parameters
    ----------
    state : cranberryport.scheduling.scheduler.Scheduler
        State of all jobs and executors.
    now : float
        Monotonic time in seconds.

    Returns
    -------
    dict of str to list of int
        Thousandths of a core, mebibytes and accelerators by name of the organisation;
        only of organisations with runs.
    """
    usage = {}
    for executor in state.executors.values():
        for run in executor.runs.values():
            _add(usage, run.task.occurrence.job.organisation, run.task.step)
        # A silent executor ends its runs when its lease expires.
        if executor.unknown_runs and not executor.is_lease_expired(now):
            for name, _ in executor.unknown_runs:
                _add_unknown_run(usage, state.jobs, name)
    for runs in state.restored_runs.values():
        for run in runs.values():
            _add(usage, run.task.occurrence.job.organisation, run.task.step)
    return usage


def _add(usage, organisation, step):
    if not organisation:
        return
    used = usage.get(organisation)
    if used is None:
        used = usage[organisation] = [0, 0, 0]
    used[0] += step.processors
    used[1] += step.memory
    used[2] += step.accelerators


def _add_unknown_run(usage, jobs, task_name):
    """Add a run of which only the task's name is known.

    A run of a job that is not known, as it was deleted after its end, cannot be
    assigned to an organisation.
    """
    job_id, *numbers = task_name.rsplit(".", 3)
    job = jobs.get(job_id)
    if job is None or len(numbers) != 3 or not numbers[1].isdecimal():
        return
    step_number = int(numbers[1])
    if step_number < len(job.steps):
        _add(usage, job.organisation, job.steps[step_number])
