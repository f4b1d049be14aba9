"""Moves tasks away from executors that are taken down for maintenance or terminate.

A task is moved by stopping its run; the planner then starts it on another executor.

Load pattern: half of the fleet is taken down for maintenance within half a minute, and
executors terminate on short notice, while long-running tasks have to stay available.
"""

import collections
import logging

from cranberryport.scheduling import executors, maintenance, model, packing, stragglers

_logger = logging.getLogger(__name__)


def evacuate(state, executor, now):
    """Stop the next long-running task on an executor that is to be taken down.

    Each call stops at most one stored run, and only if fewer tasks of its step are
    unavailable than its job allows and another executor has room. Tasks that are not
    long-running are left to end.

    Parameters
    ----------
    state : cranberryport.scheduling.scheduler.Scheduler
        State of all jobs.
    executor : executors.Executor
        Executor that is to be taken down for maintenance.
    now : float
        Monotonic time in seconds.

    Returns
    -------
    bool
        Whether the executor can be taken down now.
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
            # Lets the rebalancer move another instance to the pool.
            state.mark_unplaceable([run.task], now)
    return executor.is_empty


def evacuate_draining(state, now):
    """Stop runs on draining executors that would not end before their executor does.

    These are runs of long-running tasks, and runs that save checkpoints and whose
    remaining time is longer than that of the executor.

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
            if run.state != model.RUNNING or not _should_move(run, executor, now):
                continue
            if has_alternative_executor(state, run, executor, now):
                _log_move(run, executor)
                state.stop_run(run)
            else:
                state.mark_unplaceable([run.task], now)


def has_alternative_executor(state, run, executor, now):
    """Return whether another executor of the pool has room for a run's task."""
    step = run.task.step
    task_counts = collections.Counter(
        other.executor
        for task in run.task.occurrence.tasks[run.task.step_number]
        for other in task.runs
    )
    for other in state.executors.values():
        if other is executor or other.service != executor.service:
            continue
        is_at_spread_limit = step.spread and task_counts[other.id] >= step.spread
        if (
            not is_at_spread_limit
            and other.can_accept_runs(now)
            and packing.has_room(step, other, other.free_resources())
        ):
            return True
    return False


def _should_move(run, executor, now):
    step = run.task.step
    if step.is_lasting:
        return True
    remaining_s = stragglers.remaining_run_s(run, now)
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
