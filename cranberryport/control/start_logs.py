"""Log lines about the runs that the controller orders.

Load pattern: a step of hundreds of tasks starts at once, so its first runs share a
line.
"""

import logging

_logger = logging.getLogger(__name__)


def log_starts(runs):
    """Log the first runs of each step in one line, and each further run in its own.

    Parameters
    ----------
    runs : list of model.Run
        Runs that are ordered together.
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
