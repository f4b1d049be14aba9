"""Log lines about the starts and ends of steps."""

import logging

_logger = logging.getLogger(__name__)


def log_step_end(tasks):
    """Log the end of a step, with its slowest task.

    Parameters
    ----------
    tasks : list of model.Task
        All tasks of the step in one occurrence.
    """
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


def log_starts(runs):
    """Log the first runs of each step in one line, and each further run in its own.

    Parameters
    ----------
    runs : list of model.Run
        Runs whose starts are sent now.
    """
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
