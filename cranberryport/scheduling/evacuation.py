"""Moves work away from executors that will go down or leave.

Load pattern: half of the fleet is taken down for upkeep within half a minute, and
executors leave on short notice, while lasting tasks must stay at work.
"""

import collections
import logging

from cranberryport.scheduling import executors, maintenance, model, packing, stragglers

_logger = logging.getLogger(__name__)


def evacuate(state, executor, now):
    """Stop lasting tasks on an executor, as many as may be away at once.

    Parameters
    ----------
    state : cranberryport.scheduling.scheduler.Scheduler
        State of all jobs.
    executor : executors.Executor
        Executor that will go down; other tasks on it are left to end.
    now : float
        Monotonic time in seconds.

    Returns
    -------
    bool
        Whether it can go down now.
    """
    for run in list(executor.runs.values()):
        if run.state == model.STOPPING or not run.task.step.is_lasting:
            continue
        if run.state == model.PLANNED:
            state.stop_run(run)
            continue
        may_stop = maintenance.may_stop(run, state.executors)
        if may_stop and has_alternative_executor(state, run, executor, now):
            _log_move(run, executor)
            state.stop_run(run)
            return False
        if may_stop:
            state.note_unplaceable_task(executor.service, now)
    return executor.is_empty


def evacuate_draining(state, now):
    """Stop what would be cut off on executors that are about to leave.

    Parameters
    ----------
    state : cranberryport.scheduling.scheduler.Scheduler
        State of all jobs.
    now : float
        Monotonic time in seconds.
    """
    for executor in state.executors.values():
        if executor.state != executors.DRAINING:
            continue
        for run in list(executor.runs.values()):
            if run.state != model.RUNNING or not _should_leave(run, executor, now):
                continue
            if has_alternative_executor(state, run, executor, now):
                _log_move(run, executor)
                state.stop_run(run)
            else:
                state.note_unplaceable_task(executor.service, now)


def has_alternative_executor(state, run, executor, now):
    """Return whether another executor of the pool has room for the task of a run."""
    step = run.task.step
    used_on = collections.Counter(
        other.executor
        for task in run.task.occurrence.tasks[run.task.step_number]
        for other in task.runs
    )
    for other in state.executors.values():
        if other is executor or other.service != executor.service:
            continue
        is_full = step.spread and used_on[other.id] >= step.spread
        if (
            not is_full
            and other.can_accept_runs(now)
            and packing.fits(step, other, other.free())
        ):
            return True
    return False


def _should_leave(run, executor, now):
    step = run.task.step
    if step.is_lasting:
        return True
    remaining_s = stragglers.left_s(run, now)
    if not step.saves_checkpoints or remaining_s is None:
        return False
    return (
        executor.terminates_at is not None
        and remaining_s > executor.terminates_at - now
    )


def _log_move(run, executor):
    _logger.info(
        "moving a task",
        extra={
            "request": run.task.job.id,
            "task": run.task.name,
            "executor": executor.id,
            "state": executor.state,
        },
    )
