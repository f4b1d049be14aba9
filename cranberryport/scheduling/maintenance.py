"""Choice of the instances that are emptied and taken down for upkeep.

Load pattern: a wave names about half of the fleet and has half a minute, while the
queues peak by turns. Instances without work go first, and those of the busiest pool
last, so that nothing that serves is disturbed twice.
"""

import math

from cranberryport.scheduling import instances, model

# Emptying an instance takes the length of a usual task and the moves of lasting tasks.
EMPTYING_S = 2.0
# A wave that would end later than this before its end takes busy pools as well.
SPARE_S = 4.0


def instances_down(wave, listed):
    """Return the instances of a wave that are, or may be, down for it.

    Parameters
    ----------
    wave : instances.Wave
        The wave.
    listed : dict of str to instances.Instance
        The newest list.

    Returns
    -------
    set of str
        Ordered ones count until they are seen up with another executor.
    """
    down = set()
    for instance_id, previous in wave.previous_executors.items():
        instance = listed.get(instance_id)
        if instance is None:
            continue
        is_back = instance.state == instances.UP and instance.executor != previous
        if not is_back:
            down.add(instance_id)
    for instance_id in wave.instances:
        instance = listed.get(instance_id)
        if instance is not None and instance.state == instances.MAINTENANCE:
            down.add(instance_id)
    return down


def pending_instances(wave, listed):
    """Return the instances of a wave that still need their upkeep and exist."""
    return [
        instance_id
        for instance_id in wave.instances
        if instance_id in listed
        and instance_id not in wave.done_instances
        and instance_id not in wave.previous_executors
    ]


def choose_instances(wave, listed, executors, *, pressure, maintenance_s, now):
    """Choose the instances to empty and take down next.

    Parameters
    ----------
    wave : instances.Wave
        The wave.
    listed : dict of str to instances.Instance
        The newest list.
    executors : dict of str to executors.Executor
        Executors by id.
    pressure : dict of str to float
        Share of each pool's processors that is asked for; pools that are off have none.
    upkeep_s : float
        Time that one upkeep takes, in seconds.
    now : float
        Monotonic time in seconds.

    Returns
    -------
    list of str
        At most as many as the wave allows at once, with those that are down already.
    """
    room = wave.max_down - len(instances_down(wave, listed))
    waiting = pending_instances(wave, listed)
    if room <= 0 or not waiting:
        return []
    rounds = math.ceil(len(waiting) / max(1, wave.max_down))
    needed_s = rounds * (maintenance_s + EMPTYING_S)
    is_late = wave.deadline - now < needed_s + SPARE_S

    def key(instance_id):
        instance = listed[instance_id]
        executor = executors.get(instance.executor)
        if executor is None:
            return (0, 0.0, 0, instance_id)
        lasting = sum(run.task.step.is_lasting for run in executor.runs.values())
        started = 0 if executor.is_reserved else 1
        return (started, pressure.get(instance.pool, 0.0), lasting, instance_id)

    candidates = []
    for instance_id in sorted(waiting, key=key):
        instance = listed[instance_id]
        if instance.state != instances.UP:
            continue
        executor = executors.get(instance.executor)
        is_busy_pool = pressure.get(instance.pool, 0.0) > 1.0
        if executor is not None and executor.runs and is_busy_pool and not is_late:
            continue
        candidates.append(instance_id)
    return candidates[:room]


def may_stop(run, executors):
    """Return whether a lasting task may be stopped to run elsewhere.

    Parameters
    ----------
    run : model.Run
        Run of the task.
    executors : dict of str to executors.Executor
        Executors by id.

    Returns
    -------
    bool
        False while as many others of its step are away as may be.
    """
    task = run.task
    bound = task.step.max_unavailable
    if bound is None:
        return True
    away = 0
    for other in task.occurrence.tasks[task.step_number]:
        if other is not task and not is_available(other, executors):
            away += 1
    return away < bound


def is_available(task, executors):
    """Return whether a lasting task is known to be at work."""
    return any(
        run.state == model.RUNNING
        and run.progress_percent >= 100
        and run.executor in executors
        for run in task.runs
    )
