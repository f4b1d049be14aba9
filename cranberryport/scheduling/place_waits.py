"""Whether a task waits for a local place or starts remotely now.

Load pattern: 60 % of the jobs of a kind want one rack for some seconds, so that its
room is taken while other racks have some. A remote run takes a multiple of its time,
and in a full pool the jobs queued behind it lose that time as well.
"""

import logging

from cranberryport.scheduling import locality, ordering, packing

# No task waits longer than this for a place: the objectives of jobs are about 2 s, and
# expected ends are off by half, so that later places are mostly a guess.
LONGEST_WAIT_S = 2.0
# A wait has to save at least this: an end is listed and acted on about 0.1 s late.
LEAST_SAVING_S = 0.1
# Expected waits may be this many times longer, as declared run times are off by 50 %.
WAIT_ERROR_FACTOR = 1 + locality.ESTIMATE_ERROR
# Seconds of the waiting job that a slot-second counts as for the tasks queued in a full
# pool: the first of them starts later by what a remote run holds the slot longer.
FULL_POOL_WEIGHT = 1.0
# Interval at which a waiting task is looked at if nothing else in its pool is to be
# decided. The end of a run at its place is acted on at once.
RECHECK_INTERVAL_S = 0.1
# A place that is expected this much later than before is not weighed anew; expected
# ends of runs without progress move by as much between two lists.
LATENESS_TOLERANCE_S = 0.25
# The weight of a pool's queue is computed once in this time, as it reads all tasks.
QUEUE_WEIGHT_AGE_S = 0.1

# Reasons for which a task starts remotely; also the ends of names of counters.
NO_PLACE = "no_place"
NOT_IN_TIME = "not_in_time"
NO_SLACK = "no_slack"
NO_SAVING = "no_saving"
BOUND = "bound"

_logger = logging.getLogger(__name__)


class PlaceWait:
    """Wait of a task for a local place.

    Parameters
    ----------
    began_at : float
        Monotonic time at which it began.
    counted_from : float
        Monotonic time from which its bound counts.

    Attributes
    ----------
    executor : executors.Executor
        Executor that is expected to have room.
    expected_at : float
        Monotonic time from which it is expected to have room.
    saved_s : float
        Seconds by which the task is expected to end earlier than by a remote start at
        the beginning of the wait.
    recheck_at : float
        Monotonic time by which the task is looked at again.
    end_number : int
        Number of the last listed end of ``executor`` when it was last weighed.
    is_over : bool
        Whether the task was placed or has given up. No other wait is begun then.
    """

    __slots__ = (
        "began_at",
        "counted_from",
        "end_number",
        "executor",
        "expected_at",
        "is_over",
        "recheck_at",
        "saved_s",
    )

    def __init__(self, *, began_at, counted_from):
        self.began_at = began_at
        self.counted_from = counted_from
        self.executor = None
        self.expected_at = began_at
        self.saved_s = 0.0
        self.recheck_at = began_at
        self.end_number = 0
        self.is_over = False


class Offer:
    """What a task gains and loses by waiting for a local place.

    Parameters
    ----------
    local_run_s, remote_run_s : float
        Expected seconds of a local run, and of a remote run that starts now.
    wait_s : float
        Expected seconds until there is a local place.
    waited_s : float
        Seconds since the step became ready or the task could first be started.
    slack_s : float
        Seconds by which a local run may be delayed before the job misses its objective.
    queue_weight : float
        Seconds that queued tasks lose by each second for which a slot is held longer.
    """

    __slots__ = (
        "local_run_s",
        "queue_weight",
        "remote_run_s",
        "slack_s",
        "wait_s",
        "waited_s",
    )

    def __init__(
        self, *, local_run_s, remote_run_s, wait_s, waited_s, slack_s, queue_weight
    ):
        self.local_run_s = local_run_s
        self.remote_run_s = remote_run_s
        self.wait_s = wait_s
        self.waited_s = waited_s
        self.slack_s = slack_s
        self.queue_weight = queue_weight

    @property
    def remote_loss_s(self):
        """Seconds that a remote start now costs the job and those queued behind it."""
        return (self.remote_run_s - self.local_run_s) * (1 + self.queue_weight)


class ExpectedCost:
    """Waits while that is expected to cost less than a remote start now."""

    __slots__ = ()

    def refusal(self, offer):
        """Return why a task does not wait, None if it waits.

        Parameters
        ----------
        offer : Offer
            What it gains and loses.

        Returns
        -------
        str or None
            One of the module's reasons.
        """
        if offer.remote_loss_s - offer.wait_s < LEAST_SAVING_S:
            return NO_SAVING
        # The sum of both costs what the better one would have cost, at most twice.
        longest_s = min(LONGEST_WAIT_S, offer.remote_loss_s)
        if offer.waited_s + offer.wait_s > longest_s:
            return BOUND
        is_remote_late = offer.remote_run_s - offer.local_run_s > offer.slack_s
        # Where a remote start is late as well, the lower cost decides.
        if not is_remote_late and offer.wait_s * WAIT_ERROR_FACTOR > offer.slack_s:
            return NO_SLACK
        return None


class PlaceWaits:
    """Decides for waiting tasks whether they start now, and where.

    Parameters
    ----------
    state : cranberryport.scheduling.scheduler.Scheduler
        State of all jobs.
    remote_factor : float
        Factor by which a remote run takes longer; nothing waits if it is 1.
    policy : object, optional
        Has a method ``refusal`` like :class:`ExpectedCost`, the default.
    """

    __slots__ = (
        "_now",
        "_now_unix_s",
        "_planned_steps",
        "_policy",
        "_queue_weights",
        "_remote_factor",
        "_started_at_unix_s",
        "_state",
    )

    def __init__(self, *, state, remote_factor, policy=None):
        self._state = state
        self._remote_factor = remote_factor
        self._policy = ExpectedCost() if policy is None else policy
        self._queue_weights = {}
        # Occurrences and numbers of the steps with runs planned in the last decision.
        self._planned_steps = set()
        self._started_at_unix_s = None
        self._now = self._now_unix_s = 0.0

    @property
    def is_active(self):
        """Whether remote runs take longer than local ones."""
        return self._remote_factor > 1

    @property
    def remote_factor(self):
        """Factor by which a remote run takes longer."""
        return self._remote_factor

    def begin_decision(self, now, now_unix_s):
        """Set the monotonic time and the Unix time of a decision, in seconds."""
        self._now, self._now_unix_s = now, now_unix_s
        # Once for each step, as it reads all its runs.
        for occurrence, number in self._planned_steps:
            occurrence.update_remote_factor(number)
        self._planned_steps = set()
        if self._started_at_unix_s is None:
            self._started_at_unix_s = now_unix_s

    def is_idle(self, task):
        """Return whether a task waits for a place and nothing has changed there.

        A pool in which all waiting tasks are idle needs no decision before the next
        time at which they are weighed.
        """
        wait = task.place_wait
        return (
            wait is not None
            and not wait.is_over
            and self._now < wait.recheck_at
            and wait.executor.received_end_number == wait.end_number
            and wait.executor.can_accept_runs(self._now)
        )

    def update_queue_weight(self, service, occurrences, candidates):
        """Update what queued tasks lose while the pool is full.

        Parameters
        ----------
        service : str
            Name of the pool.
        occurrences : list of model.Occurrence
            Occurrences with waiting tasks.
        candidates : list of (executors.Executor, list of int)
            Executors that accept runs, with the free resources of each.
        """
        known = self._queue_weights.get(service)
        if not self.is_active or (
            known is not None and self._now - known[0] < QUEUE_WEIGHT_AGE_S
        ):
            return
        queued = sum(
            occurrence.job.steps[number].processors
            for occurrence in occurrences
            for number in occurrence.ready_steps
            for task in occurrence.tasks[number]
            if not task.is_done and not task.runs
        )
        free = sum(free[0] for _, free in candidates)
        weight = FULL_POOL_WEIGHT if queued > free else 0.0
        self._queue_weights[service] = (self._now, weight)

    def choose(self, task, choose, permitted, places, task_counts, used_racks):
        """Choose the executor of one task, or let it wait for a local place.

        Parameters
        ----------
        task : model.Task
            Task that can be started.
        choose : callable
            Takes candidates and returns the best executor with room, None for none.
        permitted : list of (executors.Executor, list of int)
            Executors on which the task may run, with the free resources of each.
        places : locality.Places
            Expected room in the pool.
        task_counts : dict of str to int
            Number of tasks of the same step and occurrence by executor.
        used_racks : set of str
            Racks with tasks of the same step and occurrence.

        Returns
        -------
        executor : executors.Executor or None
            None if no executor has room or the task waits.
        is_waiting : bool
            Whether it waits.
        """
        step = task.step
        racks = self._local_racks(step, used_racks)
        if racks is None:
            return choose(permitted), False
        groups = places.racks(permitted)
        local = [c for rack in racks for c in groups.get(rack, ())]
        local = _without_avoided(local, [task])
        wait = task.place_wait
        if wait is not None and not wait.is_over:
            if any(packing.has_room(step, e, free) for e, free in local):
                executor = choose(local)
                if executor is not None:
                    return executor, False
            if self._keep_waiting([task], local, places):
                return None, True
        executor = choose(permitted)
        if executor is None or not self.is_remote(step, executor, used_racks):
            return executor, False
        if self._is_wait_over(task):
            return executor, False
        found = places.places(
            step,
            local,
            1,
            run_s=step.estimate_s,
            limit_s=LONGEST_WAIT_S,
            task_counts=task_counts,
        )
        is_waiting = self._weigh([task], found, executor, places)
        return (None, True) if is_waiting else (executor, False)

    def choose_rack(self, tasks, choose, permitted, places, task_counts, used_racks):
        """Choose the racks for the waiting tasks of a step that should share one.

        Parameters
        ----------
        tasks : list of model.Task
            Waiting tasks of one step.
        choose, permitted, places, task_counts, used_racks
            See :meth:`choose`.

        Returns
        -------
        candidates : list of (executors.Executor, list of int)
            Candidates for the tasks now; empty if no executor has room.
        is_waiting : bool
            Whether tasks without room there wait for it.
        """
        step = tasks[0].step
        executor = choose(permitted)
        if executor is None:
            return [], False
        groups = places.racks(permitted)
        local_racks = self._local_racks(step, used_racks)
        if local_racks is None:
            local_racks = groups.keys()
        local = {rack: groups[rack] for rack in local_racks if rack in groups}
        roomy = _racks_with_room(step, local, len(tasks), task_counts)
        if roomy:
            return roomy, False
        wait = tasks[0].place_wait
        if wait is not None and not wait.is_over:
            candidates = local.get(wait.executor.rack, ())
            if self._keep_waiting(tasks, candidates, places):
                return candidates, True
        if not self._is_wait_over(tasks[0]):
            found = self._earliest_rack(tasks, local, places, task_counts)
            if self._weigh(tasks, found, executor, places):
                return local[found[0][1].rack], True
        used = {rack: groups[rack] for rack in used_racks if rack in groups}
        elsewhere = _racks_with_room(step, used, len(tasks), task_counts)
        elsewhere = elsewhere or _racks_with_room(step, groups, len(tasks), task_counts)
        return elsewhere or permitted, False

    def place_gang(self, tasks, place, permitted, places):
        """Choose the executors of all members of a gang, or let it wait for one rack.

        Parameters
        ----------
        tasks : list of model.Task
            Members of the gang.
        place : callable
            Takes candidates and returns the members with their executors, None if
            there is no room for all of them.
        permitted : list of (executors.Executor, list of int)
            Executors on which the members may run, with the free resources of each.
        places : locality.Places
            Expected room in the pool.

        Returns
        -------
        placements : list of (model.Task, executors.Executor) or None
            None if there is no room for all members or the gang waits.
        is_split : bool
            Whether the members are away from their rack or on several ones.
        """
        if not self.is_active:
            return place(permitted), False
        step = tasks[0].step
        groups = places.racks(permitted)
        local = {
            rack: _without_avoided(candidates, tasks)
            for rack, candidates in groups.items()
            if step.rack in ("", rack)
        }
        best, best_factor = None, self._remote_factor
        for _, candidates in sorted(local.items()):
            if not _racks_with_room(step, {"": candidates}, len(tasks), {}):
                continue
            placements = place(candidates)
            factor = _slowest(placements)
            if placements is not None and factor < best_factor:
                best, best_factor = placements, factor
            if best_factor == 1:
                return best, False
        wait = tasks[0].place_wait
        if best is None and wait is not None and not wait.is_over:
            candidates = local.get(wait.executor.rack, ())
            if self._keep_waiting(tasks, candidates, places):
                return None, True
        remote = place(permitted)
        if remote is None:
            return best, False
        is_split = _is_split(remote)
        remote_factor = _slowest(remote) * (self._remote_factor if is_split else 1.0)
        if best is not None and best_factor <= remote_factor:
            return best, False
        if not is_split or self._is_wait_over(tasks[0]):
            return remote, is_split
        found = self._earliest_rack(tasks, local, places, {})
        slowest = max((e for _, e in remote), key=locality.learnt_slowdown)
        if self._weigh(tasks, found, slowest, places):
            return None, True
        return remote, is_split

    def is_remote(self, step, executor, used_racks):
        """Return whether a task would be remote, see :func:`locality.is_remote`."""
        return locality.is_remote(step, executor.rack, used_racks, self._remote_factor)

    def on_planned(self, run, executor, *, is_remote):
        """Record where a run of a task was planned.

        Parameters
        ----------
        run : model.Run
            The planned run.
        executor : executors.Executor
            Its executor.
        is_remote : bool
            Whether it is away from its data or from the other tasks of its step.
        """
        task = run.task
        run.remote_factor = self._remote_factor if is_remote else 1.0
        if not self.is_active:
            return
        task.occurrence.raise_remote_factor(task.step_number, run.remote_factor)
        self._planned_steps.add((task.occurrence, task.step_number))
        counts = self._state.event_counts
        if is_remote:
            counts["remote_starts"] += 1
        wait = task.place_wait
        if wait is None or wait.is_over:
            return
        wait.is_over = True
        waited_s = self._now - wait.began_at
        if is_remote:
            # The place was lost to a more urgent task in the same decision.
            self._record_given_up(task, NO_PLACE, waited_s)
            return
        counts["place_waits_placed"] += 1
        counts["place_waits_waited_s"] += waited_s
        counts["place_waits_saved_s"] += wait.saved_s
        _logger.info(
            "placed after a wait",
            extra=_fields(task)
            | {
                "executor": executor.id,
                "waited_s": round(waited_s, 3),
                "expected_s": round(wait.expected_at - wait.began_at, 3),
                "expected_saved_s": round(wait.saved_s, 3),
            },
        )

    def _local_racks(self, step, used_racks):
        """Return the racks where a task is local, None if every rack will do."""
        if not self.is_active or step.is_lasting or step.is_filling:
            return None
        if (step.is_coupled or step.is_gang) and used_racks:
            return used_racks & {step.rack} if step.rack else used_racks
        return {step.rack} if step.rack else None

    def _earliest_rack(self, tasks, groups, places, task_counts):
        """Return the places of the rack that has room for all tasks first."""
        step = tasks[0].step
        earliest = None
        for _, candidates in sorted(groups.items()):
            found = places.places(
                step,
                candidates,
                len(tasks),
                run_s=step.estimate_s,
                limit_s=LONGEST_WAIT_S,
                task_counts=task_counts,
            )
            if found is not None and (
                earliest is None or found[-1][0] < earliest[-1][0]
            ):
                earliest = found
        return earliest

    def _run_s(self, step, executor):
        return step.estimate_s * locality.learnt_slowdown(executor)

    def _is_wait_over(self, task):
        return task.place_wait is not None and task.place_wait.is_over

    def _keep_waiting(self, tasks, candidates, places):
        """Promise waiting tasks their places again if these are still expected.

        Parameters
        ----------
        tasks : list of model.Task
            Waiting tasks of one step.
        candidates : list of (executors.Executor, list of int)
            Executors that they may wait for.
        places : locality.Places
            Expected room in the pool.

        Returns
        -------
        bool
            False if the choice has to be weighed anew.
        """
        ids = {executor.id for executor, _ in candidates}
        rooms = []
        for task in tasks:
            wait = task.place_wait
            if wait is None or wait.is_over or wait.executor.id not in ids:
                return False
            if self.is_idle(task) and places.is_untouched(wait.executor):
                rooms.append(max(0.0, wait.expected_at - self._now))
                continue
            in_s = places.room_in_s(task.step, wait.executor)
            latest_at = min(
                wait.expected_at + LATENESS_TOLERANCE_S,
                wait.counted_from + LONGEST_WAIT_S,
            )
            if self._now + in_s > latest_at:
                return False
            rooms.append(max(in_s, wait.expected_at - self._now))
            self._set_recheck(wait)
        for task, in_s in zip(tasks, rooms, strict=True):
            executor = task.place_wait.executor
            run_s = self._run_s(task.step, executor)
            places.promise(task.step, executor, in_s, run_s)
        return True

    def _weigh(self, tasks, found, executor, places):
        """Decide whether tasks wait for the places found, and record it.

        Parameters
        ----------
        tasks : list of model.Task
            Waiting tasks of one step, which wait or start together.
        found : list of (float, executors.Executor) or None
            Seconds and executor of the expected place of each.
        executor : executors.Executor
            Executor for a start now.
        places : locality.Places
            Expected room in the pool.
        """
        task = tasks[0]
        step, wait = task.step, task.place_wait
        counted_from = self._counted_from(task) if wait is None else wait.counted_from
        offer = None
        urgency, _, slack_s = ordering.sort_key(
            task.occurrence, self._state.queue_rules(task.job), self._now_unix_s
        )
        if urgency != ordering.IN_TIME:
            reason = NOT_IN_TIME
        elif found is None:
            reason = NO_PLACE
        else:
            remote_run_s = self._remote_factor * self._run_s(step, executor)
            offer = Offer(
                local_run_s=max(self._run_s(step, e) for _, e in found),
                remote_run_s=remote_run_s,
                wait_s=found[-1][0],
                waited_s=self._now - counted_from,
                slack_s=slack_s,
                queue_weight=self._queue_weights.get(task.job.service, (0, 0.0))[1],
            )
            reason = self._policy.refusal(offer)
        if reason is None:
            for member, (in_s, place) in zip(tasks, found, strict=True):
                # No member of a gang starts before there is room for the last one.
                place_in_s = offer.wait_s if step.is_gang else in_s
                if place_in_s:
                    self._wait(member, place_in_s, place, counted_from, offer)
                    places.promise(step, place, place_in_s, self._run_s(step, place))
            return True
        for member in tasks:
            wait = member.place_wait
            if wait is not None and not wait.is_over:
                wait.is_over = True
                self._record_given_up(member, reason, self._now - wait.began_at, offer)
        if wait is None:
            _logger.info(
                "started remotely",
                extra=_fields(task)
                | {"executor": executor.id, "reason": reason, "tasks": len(tasks)}
                | _expected_times(offer),
            )
        return False

    def _counted_from(self, task):
        """Return the monotonic time from which the bound of a new wait counts.

        A predecessor may have begun the wait of a step that was ready before this
        controller's first decision.
        """
        ready_since = task.occurrence.ready_since(task.step_number)
        if ready_since < self._started_at_unix_s:
            return self._now - max(0.0, self._now_unix_s - ready_since)
        return self._now

    def _wait(self, task, in_s, executor, counted_from, offer):
        wait = task.place_wait
        if wait is None:
            wait = PlaceWait(began_at=self._now, counted_from=counted_from)
            wait.saved_s = max(0.0, offer.remote_loss_s - offer.wait_s)
            task.place_wait = wait
            self._state.event_counts["place_waits_begun"] += 1
            _logger.info(
                "place wait begun",
                extra=_fields(task)
                | {"executor": executor.id, "expected_s": round(in_s, 3)}
                | _expected_times(offer),
            )
        wait.executor = executor
        wait.expected_at = self._now + in_s
        self._set_recheck(wait)

    def _set_recheck(self, wait):
        wait.end_number = wait.executor.received_end_number
        wait.recheck_at = self._now + RECHECK_INTERVAL_S

    def _record_given_up(self, task, reason, waited_s, offer=None):
        counts = self._state.event_counts
        counts["place_waits_given_up"] += 1
        counts[f"place_waits_given_up_{reason}"] += 1
        counts["place_waits_waited_s"] += waited_s
        _logger.info(
            "place wait given up",
            extra=_fields(task)
            | {"reason": reason, "waited_s": round(waited_s, 3)}
            | _expected_times(offer),
        )


def is_waiting(task, now):
    """Return whether a task waits for a place instead of starting where there is room.

    Parameters
    ----------
    task : model.Task
        The task.
    now : float
        Monotonic time in seconds.
    """
    wait = task.place_wait
    if wait is None or wait.is_over:
        return False
    # It is not weighed anew while there is no room for a remote run either.
    return now - wait.recheck_at < RECHECK_INTERVAL_S


def _without_avoided(candidates, tasks):
    """Return the candidates on which none of the tasks has failed or was stopped.

    A place near the data is no reason to fail there again.
    """
    avoided = {name for task in tasks for name in task.avoided_executors}
    return [c for c in candidates if c[0].id not in avoided]


def _is_split(placements):
    step = placements[0][0].step
    racks = {executor.rack for _, executor in placements}
    return len(racks) > 1 or (bool(step.rack) and racks != {step.rack})


def _slowest(placements):
    """Return the largest slowdown of the executors of a gang."""
    return max(
        (locality.learnt_slowdown(executor) for _, executor in placements or ()),
        default=1.0,
    )


def _racks_with_room(step, groups, count, task_counts):
    """Return the candidates of the racks that have room for several tasks now."""
    roomy = []
    for _, candidates in sorted(groups.items()):
        room = 0
        for executor, free in candidates:
            if not step.label or step.label in executor.labels:
                room += _room(step, free, task_counts.get(executor.id, 0))
        if room >= count:
            roomy += candidates
    return roomy


def _room(step, free, task_count):
    room = step.spread - task_count if step.spread else step.count
    if step.processors and not step.is_filling:
        room = min(room, free[0] // step.processors)
    if step.memory:
        room = min(room, free[1] // step.memory)
    if step.accelerators:
        room = min(room, free[2] // step.accelerators)
    return max(0, room)


def _fields(task):
    return {"request": task.job.id, "task": task.name, "rack": task.step.rack}


def _expected_times(offer):
    if offer is None:
        return {}
    return {
        "expected_wait_s": round(offer.wait_s, 3),
        "waited_s": round(offer.waited_s, 3),
        "local_run_s": round(offer.local_run_s, 3),
        "remote_run_s": round(offer.remote_run_s, 3),
        "slack_s": round(offer.slack_s, 3),
        "queue_weight": round(offer.queue_weight, 2),
    }
