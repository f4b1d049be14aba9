"""Conversion of jobs and their progress to stored records and back."""

from cranberryport.generated import messages
from cranberryport.scheduling import crashes, model

# Prefix of the key of a job's crash record. Versions without such records skip keys
# with this prefix.
CRASHES_KEY_PREFIX = "crashes/"

# Fields that have the same name in a step and in its record.
_SHARED_FIELDS = (
    "count",
    "processors",
    "memory",
    "accelerators",
    "estimate_s",
    "saves_checkpoints",
    "is_gang",
    "is_coupled",
    "may_copy",
    "is_lasting",
    "is_filling",
    "label",
    "rack",
    "spread",
    "image",
    "tail_target_ms",
)


def job_to_record(job):
    """Return the record of an accepted job, without its progress."""
    return messages.JobStored(
        job=job.id,
        queue=job.queue,
        service=job.service,
        spec=job.spec,
        steps=[_step_to_record(step) for step in job.steps],
        accepted_at=job.accepted_at,
        first_due=job.first_due_at,
        interval_s=job.interval_s,
        repeats=job.repeats,
        attempts=job.failed_runs_limit,
        organisation=job.organisation,
    )


def job_from_record(record):
    """Return the job without progress of a record of :func:`job_to_record`."""
    return model.Job(
        id=record.job,
        queue=record.queue,
        service=record.service,
        spec=record.spec,
        steps=[_step_from_record(step) for step in record.steps],
        accepted_at=record.accepted_at,
        first_due_at=record.first_due,
        interval_s=record.interval_s,
        repeats=record.repeats,
        failed_runs_limit=record.attempts,
        organisation=record.organisation,
    )


def progress_to_record(job):
    """Return the record of a job's state, its tasks and their runs.

    Parameters
    ----------
    job : model.Job
        The job.

    Returns
    -------
    messages.ProgressStored
        Includes planned runs, as they are sent once the record is stored. Tasks that
        never started are left out, and so are the tasks of an ended job, except those
        with runs that are being stopped if the job has an organisation.
    """
    if not job.has_ended:
        tasks = [_task_to_row(t) for t in job.tasks() if _has_progress(t)]
    elif job.organisation:
        # The next controller has to count these runs against the organisation's limit.
        tasks = [_task_to_row(t) for t in job.tasks() if t.runs]
    else:
        tasks = []
    return messages.ProgressStored(
        job=job.id,
        state=job.state,
        done=sorted(job.done_occurrences),
        tasks=tasks,
        has_started=job.has_started,
        ended_at=job.ended_at or 0.0,
    )


def restore_progress(job, record):
    """Restore the progress of a job.

    Parameters
    ----------
    job : model.Job
        Job without progress.
    record : messages.ProgressStored
        Result of :func:`progress_to_record`. Its runs become ordered ones. Their starts
        count as unanswered; :mod:`unanswered_starts` tells those that were answered.
    """
    job.state = record.state
    job.stored_state = record.state
    job.done_occurrences = set(record.done)
    job.has_started = record.has_started
    job.ended_at = record.ended_at or None
    for row in record.tasks:
        _restore_task(job, row)
    for occurrence in job.occurrences.values():
        occurrence.recount_remaining()


def crashes_to_record(job):
    """Return the record of the crashes of executors under a job's tasks.

    Returns
    -------
    messages.CrashesStored
        Without tasks if the job has ended or there were no crashes.
    """
    rows = []
    if not job.has_ended:
        for task in job.tasks():
            history = task.crash_history
            if history is not None and not task.is_done:
                row = messages.CrashHistoryStored(
                    occurrence=task.occurrence.number,
                    step=task.step_number,
                    index=task.index,
                    crash_count=history.crash_count,
                    certain_count=history.certain_count,
                    is_suspect=history.is_suspect,
                    longest_age_s=history.longest_age_s,
                    sole_crash_hosts=history.sole_crash_hosts,
                )
                rows.append(row)
    return messages.CrashesStored(job=CRASHES_KEY_PREFIX + job.id, tasks=rows)


def restore_crashes(job, record):
    """Restore the crash histories of a job's tasks, after its progress.

    Parameters
    ----------
    job : model.Job
        The job.
    record : messages.CrashesStored
        Result of :func:`crashes_to_record`.
    """
    job.stored_crash_keys.add(record.job)
    for row in record.tasks:
        occurrence = job.occurrences.get(row.occurrence)
        if occurrence is None:
            continue
        occurrence.tasks[row.step][row.index].crash_history = crashes.CrashHistory(
            crash_count=row.crash_count,
            certain_count=row.certain_count,
            is_suspect=row.is_suspect,
            longest_age_s=row.longest_age_s,
            sole_crash_hosts=row.sole_crash_hosts,
        )


def _step_to_record(step):
    values = {name: getattr(step, name) for name in _SHARED_FIELDS}
    bound = -1 if step.max_unavailable is None else step.max_unavailable
    return messages.StepStored(
        **values, depends_on=list(step.depends_on), max_unavailable=bound
    )


def _step_from_record(record):
    values = {name: getattr(record, name) for name in _SHARED_FIELDS}
    bound = record.max_unavailable
    return model.Step(
        **values,
        depends_on=record.depends_on,
        max_unavailable=None if bound < 0 else bound,
    )


def _has_progress(task):
    return task.next_run_number > 1 or task.is_done


def _task_to_row(task):
    row = [
        task.occurrence.number,
        task.step_number,
        task.index,
        task.next_run_number,
        task.failed_run_count,
        task.is_done,
        task.checkpoint,
        [[run.number, run.executor] for run in task.runs],
    ]
    # Rows without runs leave out what is zero. Earlier versions skip the last field,
    # and rows that they have written have none.
    if task.runs:
        return [*row, task.last_failed_run, True]
    return [*row, task.last_failed_run] if task.last_failed_run else row


def _restore_task(job, row):
    (
        number,
        step_number,
        index,
        next_run_number,
        failed_run_count,
        is_done,
        checkpoint,
        runs,
        *optional_fields,
    ) = row
    last_failed_run, is_start_recorded = (*optional_fields, 0, False)[:2]
    occurrence = job.occurrences.get(number)
    if occurrence is None:
        due_at = job.occurrence_due_at(number)
        occurrence = model.Occurrence(job=job, number=number, due_at=due_at)
        job.occurrences[number] = occurrence
    task = occurrence.tasks[step_number][index]
    task.next_run_number = next_run_number
    task.failed_run_count = failed_run_count
    task.last_failed_run = last_failed_run
    task.is_done = is_done
    task.checkpoint = checkpoint
    task.runs = [
        model.Run(task=task, number=n, executor=executor, state=model.ORDERED)
        for n, executor in runs
    ]
    for run in task.runs:
        run.has_unanswered_start = True
        run.is_start_recorded = bool(is_start_recorded)
        run.pace = None
