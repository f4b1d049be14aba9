"""Log lines about runs and steps, each with the fields that explain a late job."""

import logging
import time

from cranberryport.scheduling import model

_logger = logging.getLogger(__name__)


def log_starts(runs):
    """Log the first runs of each step in one line, and each further run in its own."""
    by_step = {}
    for run in runs:
        if run.number == 1:
            by_step.setdefault(run.task.step_name, []).append(run)
            continue
        _logger.info(
            "run start",
            extra={
                "request": run.task.job.id,
                "task": run.task.name,
                "run": run.number,
                "executor": run.executor,
                "pool": run.task.job.service,
            },
        )
    for step_name, first_runs in by_step.items():
        job = first_runs[0].task.job
        _logger.info(
            "step start",
            extra={
                "request": job.id,
                "step": step_name,
                "executors": {run.task.index: run.executor for run in first_runs},
                "pool": job.service,
            },
        )


def log_lost_runs(executor, runs, reason):
    """Log what ran on an executor that is lost, with the runs' ages in seconds.

    A run without a known age is logged with its state.
    """
    unreachable_s = None
    if executor.unreachable_since is not None:
        unreachable_s = round(time.monotonic() - executor.unreachable_since, 3)
    ages = {}
    for run in runs:
        age_s = executor.run_age_s(run)
        ages[f"{run.task.name} {run.number}"] = (
            run.state if age_s is None else round(age_s, 3)
        )
    _logger.info(
        "executor lost with runs",
        extra={
            "executor": executor.id,
            "pool": executor.service,
            "state": executor.state,
            "address": ":".join(map(str, executor.address)),
            "reason": reason,
            "is_listed": executor.has_store_entry,
            "is_being_vacated": executor.is_being_vacated,
            "unreachable_s": unreachable_s,
            "age_s_by_run": ages,
        },
    )


def describe_start(run, executor):
    """Return what is known of the start of a run.

    Parameters
    ----------
    run : model.Run
        The run.
    executor : executors.Executor or None
        Its executor; None if it is not known.

    Returns
    -------
    str
        ``not sent``, or ``sent`` if nothing else is known of it. ``restored`` if a
        previous controller started it and no list has shown it yet,
        ``restored unanswered`` if an attempt of that controller may have had no answer,
        ``listed`` if the executor's present life has listed it, ``unanswered`` if an
        attempt to send the start had no answer, and ``confirmed`` if all had one. The
        life that has answered is known in none of the last two.
    """
    if executor is not None and run.begun_in_life == executor.life:
        return "listed"
    if run.ordered_at is None and run.state != model.PLANNED:
        return "restored unanswered" if run.has_unanswered_start else "restored"
    if run.has_unanswered_start:
        return "unanswered"
    if run.confirmed_at is not None:
        return "confirmed"
    return "not sent" if run.start_sent_at is None else "sent"


def log_step_end(tasks):
    """Log the end of a step, with its slowest task."""
    slowest = max(tasks, key=lambda task: task.last_run_s or 0.0)
    fields = {
        "request": slowest.job.id,
        "step": slowest.step_name,
        "tasks": len(tasks),
        "slowest": slowest.name,
    }
    if slowest.last_run_s is not None:
        fields["slowest_s"] = round(slowest.last_run_s, 3)
    _logger.info("step ended", extra=fields)
