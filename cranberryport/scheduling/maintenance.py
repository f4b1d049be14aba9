"""Choice of the instances that are evacuated and taken down for maintenance.

Load pattern: a maintenance wave names about half of the fleet and allows half a minute,
while the queues peak in turn. Instances without an executor go first. Next come those
that are being evacuated, so that no serving task is disturbed twice. Those of the
busiest pool go last. While a pool lacks instances, only as many are down at once as the
wave needs to end in time.
"""

import math

from cranberryport.scheduling import instances, model

# Estimated time to evacuate an instance: the run time of a typical task and the moves
# of long-running ones.
EVACUATION_S = 2.0
# If less time than this remains beyond the needed time, instances of busy pools are
# taken down as well.
DEADLINE_MARGIN_S = 4.0
# A wave that is paced ends this long before its deadline. That covers a store that is
# away for some seconds, or a change of the controller.
PACE_MARGIN_S = 8.0


def instances_down(wave, listed):
    """Return the instances of a wave that are down for it or may soon be.

    Parameters
    ----------
    wave : instances.Wave
        The wave.
    listed : dict of str to instances.Instance
        Newest list of instances by id.

    Returns
    -------
    set of str
        Instances that are listed as in maintenance, and those for which it was ordered
        until the order is over. That another executor is listed proves nothing: it may
        have followed a crash, or the list may be older than the order.
    """
    down = {
        instance_id for instance_id in wave.previous_executors if instance_id in listed
    }
    for instance_id in wave.instances:
        instance = listed.get(instance_id)
        if instance is not None and instance.state == instances.MAINTENANCE:
            down.add(instance_id)
    return down


def pending_instances(wave, listed):
    """Return the listed instances of a wave whose maintenance is not ordered yet."""
    return [
        instance_id
        for instance_id in wave.instances
        if instance_id in listed
        and instance_id not in wave.done_instances
        and instance_id not in wave.previous_executors
    ]


def paced_limit(wave, pending_count, *, maintenance_s, now):
    """Return how many instances have to be down at once so that a wave ends in time.

    Parameters
    ----------
    wave : instances.Wave
        The wave.
    pending_count : int
        Number of instances whose maintenance is not ordered yet.
    maintenance_s : float
        Seconds for which an instance is down for maintenance.
    now : float
        Monotonic time in seconds.

    Returns
    -------
    int
        At most ``wave.max_down``.
    """
    remaining_s = wave.deadline - now - PACE_MARGIN_S
    if remaining_s <= 0:
        return wave.max_down
    needed_s = pending_count * (maintenance_s + EVACUATION_S)
    return min(wave.max_down, math.ceil(needed_s / remaining_s))


def choose_instances(
    wave,
    listed,
    executors,
    *,
    demand_ratios,
    maintenance_s,
    now,
    is_fleet_short=False,
    possibly_ordered=frozenset(),
):
    """Choose the instances to evacuate and take down next.

    Parameters
    ----------
    wave : instances.Wave
        The wave.
    listed : dict of str to instances.Instance
        Newest list of instances by id.
    executors : dict of str to executors.Executor
        Executors by id.
    demand_ratios : dict of str to float
        Ratio of demand to processors by pool; a pool without demand may be missing.
    maintenance_s : float
        Seconds for which an instance is down for maintenance.
    now : float
        Monotonic time in seconds.
    is_fleet_short : bool, default=False
        Whether some pool lacks instances and no other pool has any to spare.
    possibly_ordered : collection of str, optional
        Instances whose maintenance a previous controller may have ordered, without an
        answer. They count as down, as the order may still be carried out.

    Returns
    -------
    list of str
        Instances, at most as many as may go down beside those that are down already.
        Those that are possibly ordered come first: an own order has the platform refuse
        the former one.
    """
    pending = pending_instances(wave, listed)
    possibly_down = {
        instance_id for instance_id in wave.instances if instance_id in possibly_ordered
    }
    down_count = len(instances_down(wave, listed) | possibly_down)
    allowed = wave.max_down - down_count
    if is_fleet_short:
        limit = paced_limit(wave, len(pending), maintenance_s=maintenance_s, now=now)
        # An evacuation that has begun goes on.
        begun_count = sum(
            listed[instance_id].executor in executors
            and executors[listed[instance_id].executor].is_being_vacated
            for instance_id in pending
        )
        allowed = min(allowed, max(limit - down_count, begun_count))
    is_any_possibly_down = not possibly_down.isdisjoint(pending)
    if not pending or (allowed <= 0 and not is_any_possibly_down):
        return []
    rounds = math.ceil(len(pending) / max(1, wave.max_down))
    needed_s = rounds * (maintenance_s + EVACUATION_S)
    is_short_of_time = wave.deadline - now < needed_s + DEADLINE_MARGIN_S

    def key(instance_id):
        instance = listed[instance_id]
        executor = executors.get(instance.executor)
        if executor is None:
            return (0, 0.0, 0, instance_id)
        long_running = sum(run.task.step.is_lasting for run in executor.runs.values())
        not_evacuating = 0 if executor.is_being_vacated else 1
        return (
            not_evacuating,
            demand_ratios.get(instance.pool, 0.0),
            long_running,
            instance_id,
        )

    chosen, candidates = [], []
    for instance_id in sorted(pending, key=key):
        instance = listed[instance_id]
        if instance.state != instances.UP:
            continue
        executor = executors.get(instance.executor)
        is_busy_pool = demand_ratios.get(instance.pool, 0.0) > 1.0
        if (
            executor is not None
            and executor.runs
            and is_busy_pool
            and not is_short_of_time
        ):
            continue
        # One that counts as down already takes no further place.
        (chosen if instance_id in possibly_down else candidates).append(instance_id)
    return chosen + candidates[: max(0, allowed)]


def may_stop(run, executors):
    """Return whether a long-running task may be stopped to run elsewhere.

    Parameters
    ----------
    run : model.Run
        Run of the task.
    executors : dict of str to executors.Executor
        Executors by id.

    Returns
    -------
    bool
        False while ``max_unavailable`` other tasks of its step are not available.
    """
    task = run.task
    bound = task.step.max_unavailable
    if bound is None:
        return True
    unavailable = 0
    for other in task.occurrence.tasks[task.step_number]:
        if other is not task and not is_available(other, executors):
            unavailable += 1
    return unavailable < bound


def is_available(task, executors):
    """Return whether a run of a long-running task is known to serve, and goes on.

    A run on an executor that drains is about to be moved.
    """
    return any(
        run.state == model.RUNNING
        and run.progress_percent >= 100
        and run.executor in executors
        and not executors[run.executor].is_draining
        for run in task.runs
    )
