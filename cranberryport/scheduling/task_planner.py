"""Planning of runs: chooses executors for waiting tasks and replaces stragglers.

This module applies the rules of ``ordering``, ``packing``, ``suspicion``, ``isolation``
and ``stragglers`` to the state of all jobs.
"""

import collections
import functools
import logging
import math

from cranberryport.scheduling import (
    crashes,
    isolation,
    locality,
    organisation_limit_log,
    organisation_limits,
    organisation_shares,
    packing,
    place_waits,
    stragglers,
    suspicion,
)

# Progress is listed about once a second, so more frequent checks find nothing new.
STRAGGLER_CHECK_INTERVAL_S = 0.1
# Runs that one decision plans at most, shared by the pools with waiting tasks; the next
# decision follows as soon as they are stored. A gang is planned as a whole.
RUNS_PER_DECISION_LIMIT = 1000
# Runs on one executor whose starts have no answer yet, at most. Executors take 64
# connections each (platform's sheets); further orders would expire while they wait.
UNANSWERED_STARTS_LIMIT = 64

_logger = logging.getLogger(__name__)


class _PoolState:
    """State of a pool's executors while its runs are planned.

    Parameters
    ----------
    candidates : list of (executors.Executor, list of int)
        Executors that accept runs, with the free resources of each.
    pool_isolation : isolation.Isolation
        Division of these executors between suspects and other tasks.
    slow_executor_ids : set of str
        Result of :func:`stragglers.slow_executors`.
    probes : dict of str to list of int
        Free resources of slow executors that may get one task, by id.
    now : float
        Monotonic time in seconds.
    runs_limit : int
        Number of runs that may be planned.

    Attributes
    ----------
    all_candidates : list of (executors.Executor, list of int)
        The parameter ``candidates``.
    candidates : list of (executors.Executor, list of int)
        Executors for tasks that are not suspected.
    busy_s : dict of str to float
        Seconds for which each executor is busy.
    long_running : dict of str to int
        Number of long-running tasks on each executor.
    places : locality.Places
        Room that is expected on these executors.
    planned_count : int
        Number of runs that were planned.
    startable : dict of str to int
        Number of runs that may still be planned on each executor.
    unplaceable : packing.UnplaceableNeeds
        Needs for which no executor had room.
    """

    __slots__ = (
        "all_candidates",
        "busy_s",
        "candidates",
        "isolation",
        "long_running",
        "places",
        "planned_count",
        "probes",
        "runs_limit",
        "startable",
        "unplaceable",
    )

    def __init__(
        self,
        *,
        candidates,
        pool_isolation,
        slow_executor_ids,
        probes,
        now,
        runs_limit,
    ):
        self.all_candidates = candidates
        self.isolation = pool_isolation
        self.candidates = pool_isolation.ordinary
        self.busy_s = {e.id: packing.busy_for_s(e, now) for e, _ in candidates}
        self.long_running = {
            executor.id: sum(run.task.step.is_lasting for run in executor.runs.values())
            for executor, _ in candidates
        }
        self.places = locality.Places(
            candidates=self.candidates, excluded_ids=slow_executor_ids, now=now
        )
        self.probes = probes
        self.planned_count = 0
        self.runs_limit = runs_limit
        self.startable = {
            executor.id: UNANSWERED_STARTS_LIMIT - executor.unanswered_start_count
            for executor, _ in candidates
        }
        self.unplaceable = packing.UnplaceableNeeds()

    @property
    def is_at_limit(self):
        """Whether no further run is planned in this decision."""
        return self.planned_count >= self.runs_limit

    def add_planned_run(self, step, executor, used_racks=(), remote_factor=1.0):
        """Count a planned run of a step in the state of an executor."""
        self.planned_count += 1
        self.long_running[executor.id] += step.is_lasting
        planned_s = locality.expected_run_s(step, executor, used_racks, remote_factor)
        self.busy_s[executor.id] = max(self.busy_s[executor.id], planned_s)
        self.places.add_run(step, executor, planned_s)
        if executor.id in self.probes:
            # One task shows whether the executor has recovered.
            self.probes.pop(executor.id)[:] = (-1, -1, -1)
        self.startable[executor.id] -= 1
        if self.startable[executor.id] <= 0:
            for candidate, free in self.all_candidates:
                if candidate is executor:
                    free[:] = (-1, -1, -1)


class TaskPlanner:
    """Plans runs on the executors of all pools.

    Parameters
    ----------
    state : cranberryport.scheduling.scheduler.Scheduler
        State of all jobs, to which the planned runs are added.
    shares : organisation_shares.OrganisationShares, optional
        Shares of the organisations; by default, new ones for this state.
    remote_factor : float, default=1.0
        Factor by which a task takes longer away from the rack of its data or of the
        other tasks of its step.
    wait_policy : object, optional
        See :class:`place_waits.PlaceWaits`.
    """

    __slots__ = (
        "_advice_requests",
        "_budget",
        "_limit_log",
        "_place_waits",
        "_shares",
        "_state",
        "_stragglers_checked_at",
    )

    def __init__(self, *, state, shares=None, remote_factor=1.0, wait_policy=None):
        self._state = state
        self._shares = shares or organisation_shares.OrganisationShares(state=state)
        self._place_waits = place_waits.PlaceWaits(
            state=state, remote_factor=remote_factor, policy=wait_policy
        )
        self._stragglers_checked_at = -math.inf
        self._advice_requests = {}
        # What each organisation may still start; renewed at each decision.
        self._budget = None
        self._limit_log = organisation_limit_log.LimitLog()

    def plan(self, now, now_unix_s):
        """Plan runs of waiting tasks and replace stragglers.

        Parameters
        ----------
        now : float
            Monotonic time in seconds.
        now_unix_s : float
            Unix time in seconds.
        """
        self._shares.update(now, now_unix_s)
        checks_stragglers = (
            now - self._stragglers_checked_at >= STRAGGLER_CHECK_INTERVAL_S
        )
        if checks_stragglers:
            self._stragglers_checked_at = now
        self._budget = organisation_limits.make_budget(self._state, now)
        self._place_waits.begin_decision(now, now_unix_s)
        ready, waiting, due_services = {}, {}, set()
        for job in self._state.open_jobs.values():
            for occurrence in job.occurrences.values():
                if occurrence.ready_steps:
                    ready.setdefault(job.service, []).append(occurrence)
                    if self._has_waiting_task(occurrence, now):
                        waiting.setdefault(job.service, []).append(occurrence)
                        if job.service not in due_services and not self._is_idle(
                            occurrence, now
                        ):
                            due_services.add(job.service)
        services = ready if checks_stragglers else due_services
        runs_limit = max(1, RUNS_PER_DECISION_LIMIT // max(1, len(due_services)))
        pools = {}
        for executor in self._state.executors.values():
            if (
                executor.service in services
                and executor.can_accept_runs(now)
                and executor.unanswered_start_count < UNANSWERED_STARTS_LIMIT
            ):
                candidate = (executor, executor.free_resources())
                pools.setdefault(executor.service, []).append(candidate)
        for service in services:
            candidates = pools.get(service)
            if not candidates:
                continue
            slow_executor_ids = stragglers.slow_executors(
                [executor for executor, _ in candidates]
            )
            trusted = suspicion.filter_trusted(candidates, now, slow_executor_ids)
            probes = {}
            if slow_executor_ids and len(trusted) < len(candidates):
                probes = stragglers.probes(candidates, slow_executor_ids, now)
                trusted += [c for c in candidates if c[0].id in probes]
            occurrences = waiting[service] if service in due_services else ()
            pool_isolation = isolation.Isolation(
                candidates=trusted,
                waiting_suspects=self._waiting_suspects(occurrences, now),
                has_suspects=self._state.has_suspects,
                now=now,
            )
            pool = _PoolState(
                candidates=trusted,
                pool_isolation=pool_isolation,
                slow_executor_ids=slow_executor_ids,
                probes=probes,
                now=now,
                runs_limit=runs_limit,
            )
            if checks_stragglers and self._place_waits.is_active:
                locality.set_missing_remote_factors(
                    candidates, self._state.executors, self._place_waits.remote_factor
                )
            self._place_waits.update_queue_weight(service, occurrences, trusted)
            self._plan_pool(occurrences, pool, now, now_unix_s)
            if checks_stragglers:
                self._replace_stragglers(
                    ready[service],
                    [c for c in pool.candidates if c[0].id not in probes],
                    slow_executor_ids,
                    now,
                )
        self._limit_log.update(self._budget, now)

    def _has_waiting_task(self, occurrence, now):
        return any(
            not task.runs and not task.is_done and task.retry_at <= now
            for number in occurrence.ready_steps
            for task in occurrence.tasks[number]
        )

    def _is_idle(self, occurrence, now):
        """Return whether all waiting tasks wait for places that have not changed."""
        return self._place_waits.is_active and all(
            self._place_waits.is_idle(task)
            for number in occurrence.ready_steps
            for task in occurrence.tasks[number]
            if not task.runs and not task.is_done and task.retry_at <= now
        )

    def _waiting_suspects(self, occurrences, now):
        if not self._state.has_suspects:
            return []
        suspects = []
        for occurrence in occurrences:
            for number in occurrence.ready_steps:
                tasks = self._waiting_tasks(occurrence, number, now)
                if not occurrence.job.steps[number].is_gang:
                    tasks = [task for task in tasks if crashes.is_suspect(task)]
                # No executor is kept for a suspect that a limit holds back.
                tasks = self._budget.select_startable(tasks)
                suspects += [task for task in tasks if crashes.is_suspect(task)]
        return suspects

    def _waiting_tasks(self, occurrence, number, now):
        """Return the tasks of a step that can be started now."""
        return [
            task
            for task in occurrence.tasks[number]
            if not task.is_done
            and not task.runs
            and task.retry_at <= now
            and not self._state.is_at_failure_limit(task)
        ]

    def _plan_pool(self, occurrences, pool, now, now_unix_s):
        processors = sum(executor.processors for executor, _ in pool.all_candidates)
        occurrences_in_order = self._shares.order(occurrences, processors, now_unix_s)
        for occurrence in occurrences_in_order if self._state.has_suspects else ():
            for number in sorted(occurrence.ready_steps):
                if not occurrence.job.steps[number].is_gang:
                    self._plan_suspects(occurrence, number, pool, now)
        for occurrence in occurrences_in_order:
            for number in sorted(occurrence.ready_steps):
                if pool.is_at_limit:
                    return
                self._plan_step(occurrence, number, pool, now)

    def _plan_step(self, occurrence, number, pool, now):
        tasks = occurrence.tasks[number]
        step = occurrence.job.steps[number]
        is_covered = pool.unplaceable.covers(step)
        if is_covered and not step.is_lasting:
            return
        if self._budget.is_refused(occurrence.job.organisation, step):
            return
        waiting = self._waiting_tasks(occurrence, number, now)
        if not step.is_gang:
            waiting = [task for task in waiting if not crashes.is_suspect(task)]
        waiting = self._budget.select_startable(waiting)
        if not waiting:
            return
        if is_covered:
            self._mark_unplaceable(waiting, now)
            return
        task_counts, used_racks = self._count_placements(tasks)
        candidates = pool.isolation.ordinary_for(occurrence.job)
        permitted = self._permitted_candidates(occurrence, number, candidates, now)
        if pool.probes and not stragglers.can_probe(step):
            permitted = [c for c in permitted if c[0].id not in pool.probes]
        if step.is_gang:
            self._plan_gang(tasks, waiting, permitted, pool, now)
            return

        def choose(candidates, task=waiting[0], *, is_promised_kept=True):
            if is_promised_kept:
                candidates = pool.places.unpromised(
                    candidates, step, used_racks, self._place_waits.remote_factor
                )
            return packing.choose_executor(
                step,
                candidates,
                task_counts=task_counts,
                used_racks=used_racks,
                avoided_executors=task.avoided_executors,
                long_running_counts=pool.long_running,
                busy_s=pool.busy_s,
                remote_factor=self._place_waits.remote_factor,
            )

        offered, is_waiting = permitted, False
        is_coupled = self._place_waits.is_active and step.is_coupled
        if is_coupled and not step.is_lasting:
            offered, is_waiting = self._place_waits.choose_rack(
                waiting, choose, permitted, pool.places, task_counts, used_racks
            )
        for position, task in enumerate(waiting):
            if pool.is_at_limit:
                return
            if is_coupled:
                executor = choose(offered, task)
                is_limited = offered and offered is not permitted
                if executor is None and is_limited and not is_waiting:
                    executor = choose(permitted, task)
            else:
                executor, is_waiting = self._place_waits.choose(
                    task,
                    functools.partial(choose, task=task),
                    permitted,
                    pool.places,
                    task_counts,
                    used_racks,
                )
            if is_waiting and executor is None:
                continue
            if executor is None:
                if step.is_lasting:
                    has_advice = permitted is not pool.candidates
                    # The advice service may not permit the instances that are added.
                    unplaced = [task] if has_advice else waiting[position:]
                    self._mark_unplaceable(unplaced, now)
                if permitted is pool.candidates:
                    is_promised = pool.places.has_promises and choose(
                        permitted, task, is_promised_kept=False
                    )
                    if is_promised:
                        pool.unplaceable.add_promised(step)
                    else:
                        pool.unplaceable.add(step)
                return
            pool.add_planned_run(
                step, executor, used_racks, self._place_waits.remote_factor
            )
            self._plan_run(
                task, executor, task.next_run_number, permitted, task_counts, used_racks
            )
            pool.isolation.add_planned_run(task, executor)

    def _mark_unplaceable(self, tasks, now):
        """Mark the tasks for which an instance would be of use within the limits."""
        tasks = self._budget.select_awaited(tasks)
        if tasks:
            self._state.mark_unplaceable(tasks, now)

    def _plan_suspects(self, occurrence, number, pool, now):
        """Plan runs of the suspects of a step on executors that are kept for them."""
        suspects = [
            task
            for task in self._waiting_tasks(occurrence, number, now)
            if crashes.is_suspect(task)
        ]
        suspects = self._budget.select_startable(suspects)
        if not suspects:
            return
        tasks = occurrence.tasks[number]
        task_counts, used_racks = self._count_placements(tasks)
        unplaced = []
        for task in suspects:
            if pool.is_at_limit:
                break
            candidates = pool.isolation.candidates_for(task, now)
            permitted = self._permitted_candidates(occurrence, number, candidates, now)
            executor = packing.choose_executor(
                task.step,
                permitted,
                task_counts=task_counts,
                used_racks=used_racks,
                avoided_executors=task.avoided_executors,
                long_running_counts=pool.long_running,
            )
            if executor is None:
                unplaced.append(task)
                continue
            pool.isolation.add_planned_run(task, executor)
            pool.add_planned_run(task.step, executor)
            self._plan_run(
                task, executor, task.next_run_number, permitted, task_counts, used_racks
            )
        if unplaced and pool.isolation.needs_instance:
            self._mark_unplaceable(unplaced, now)

    def _replace_stragglers(self, occurrences, candidates, slow_executor_ids, now):
        """Start the tasks of stalled or far too slow runs on other executors."""
        for occurrence in occurrences:
            for number in occurrence.ready_steps:
                step = occurrence.job.steps[number]
                if step.is_gang:
                    continue
                for task in occurrence.tasks[number]:
                    is_at_limit = task.replacements >= stragglers.REPLACEMENTS_LIMIT
                    if len(task.runs) != 1 or is_at_limit or crashes.is_suspect(task):
                        continue
                    if self._state.is_at_failure_limit(task):
                        continue
                    (run,) = task.runs
                    if not stragglers.is_worth_replacing(run, now, slow_executor_ids):
                        continue
                    self._replace_run(run, candidates, now)

    def _replace_run(self, run, candidates, now):
        task = run.task
        if task.step.may_copy:
            is_permitted = self._budget.may_start(task)
        else:
            is_permitted = self._budget.may_restart(task)
        if not is_permitted:
            return
        others = [c for c in candidates if c[0].id != run.executor]
        others = self._permitted_candidates(
            task.occurrence, task.step_number, others, now
        )
        task_counts, used_racks = self._count_placements(
            task.occurrence.tasks[task.step_number]
        )
        executor = packing.choose_executor(
            task.step,
            others,
            task_counts=task_counts,
            used_racks=used_racks,
            avoided_executors=task.avoided_executors,
            long_running_counts={},
            remote_factor=self._place_waits.remote_factor,
        )
        previous_executor = self._state.executors.get(run.executor)
        if executor is None or previous_executor is None:
            return
        rerun_factor = locality.learnt_slowdown(executor)
        if self._place_waits.is_remote(task.step, executor, used_racks):
            rerun_factor *= self._place_waits.remote_factor
        if not stragglers.is_worth_replacing(
            run, now, {run.executor}, rerun_factor=rerun_factor
        ):
            return
        if previous_executor.is_silent(now) and not task.step.may_copy:
            # The progress of the run is not known, and a stop would not arrive.
            return
        if task.step.may_copy:
            self._plan_run(
                task, executor, task.next_run_number, others, task_counts, used_racks
            )
        elif stragglers.is_stalled(run, now) or task.step.saves_checkpoints:
            self._state.stop_run(run)
        else:
            return
        task.replacements += 1
        _logger.info(
            "straggler replaced",
            extra={
                "request": task.job.id,
                "task": task.name,
                "run": run.number,
                "executor": run.executor,
                "percent": run.progress_percent,
                "is_copied": task.step.may_copy,
            },
        )
        if stragglers.is_stalled(run, now):
            suspicion.update_recent_failures(
                previous_executor, task.job.id, "failed", now
            )

    def _permitted_candidates(self, occurrence, number, candidates, now):
        """Return the candidates with a valid ticket for a step.

        For candidates without one that were not rejected, a question is added to the
        pending requests. A queue without advice permits all candidates.
        """
        rules = self._state.queue_rules(occurrence.job)
        if rules.advice_times is None:
            return candidates
        step_name = occurrence.tasks[number][0].step_name
        permitted, unknown = [], []
        for candidate in candidates:
            executor = candidate[0]
            if executor.valid_ticket(step_name, now) is not None:
                permitted.append(candidate)
            elif (
                step_name not in executor.tickets
                or executor.tickets[step_name] is not None
            ):
                unknown.append(executor.id)
        if unknown:
            self._advice_requests[step_name] = (unknown, rules.advice_times)
        return permitted

    def take_advice_requests(self):
        """Return the pending questions for the advice service, and clear them.

        Returns
        -------
        dict of str to (list of str, tuple of (float, float, float))
            By name of the step: ids of the executors to ask about, and
            ``advice_times`` of the queue's rules.
        """
        advice_requests, self._advice_requests = self._advice_requests, {}
        return advice_requests

    def on_advice(self, step_name, asked, tickets, valid_until):
        """Record which executors may run a step.

        Parameters
        ----------
        step_name : str
            Name of the step, see ``model.Task.step_name``.
        asked : list of str
            Ids of the executors in the question.
        tickets : dict of str to str
            Ticket by permitted executor. The other executors in the question never run
            the step and are not asked about again.
        valid_until : float
            Monotonic time until which the tickets are valid.
        """
        for executor_id in asked:
            executor = self._state.executors.get(executor_id)
            if executor is None:
                continue
            ticket = tickets.get(executor_id)
            executor.tickets[step_name] = (
                None if ticket is None else (ticket, valid_until)
            )

    def _count_placements(self, tasks):
        """Return the number of tasks by executor, and the racks of the tasks."""
        task_counts = collections.Counter()
        used_racks = set()
        for task in tasks:
            for run in task.runs:
                task_counts[run.executor] += 1
                executor = self._state.executors.get(run.executor)
                if executor is not None:
                    used_racks.add(executor.rack)
        return task_counts, used_racks

    def _plan_gang(self, tasks, waiting, candidates, pool, now):
        """Plan a run of every task of a gang if there is room for all of them."""
        if len(waiting) != sum(not task.is_done for task in tasks):
            return
        placements, is_split = self._place_waits.place_gang(
            waiting,
            lambda offered: self._place_gang(tasks, waiting, offered, pool, now),
            candidates,
            pool.places,
        )
        if placements is None:
            return
        number = max(task.next_run_number for task in tasks)
        checkpoint = max(task.checkpoint for task in tasks)
        for task, executor in placements:
            task.checkpoint = checkpoint
            pool.planned_count += 1
            pool.isolation.add_planned_run(task, executor)
            self._plan_run(
                task,
                executor,
                number,
                pool.all_candidates,
                collections.Counter(),
                set(),
                is_split=is_split,
            )

    def _place_gang(self, tasks, waiting, candidates, pool, now):
        """Return the members of a gang with their executors, None without room."""
        step = tasks[0].step
        remote_factor = self._place_waits.remote_factor
        task_counts, used_racks = self._count_placements(tasks)
        suspects = [task for task in waiting if crashes.is_suspect(task)]
        if suspects:
            # A crash is attributed to the whole gang, so its members stay together.
            candidates = self._permitted_candidates(
                suspects[0].occurrence,
                suspects[0].step_number,
                pool.isolation.candidates_for(suspects[0], now),
                now,
            )
        candidates = pool.places.unpromised(candidates, step, used_racks, remote_factor)
        trial_candidates = [(executor, list(free)) for executor, free in candidates]
        placements = []
        for task in waiting:
            executor = packing.choose_executor(
                step,
                trial_candidates,
                task_counts=task_counts,
                used_racks=used_racks,
                avoided_executors=task.avoided_executors,
                long_running_counts={},
                remote_factor=remote_factor,
            )
            if executor is None:
                return None
            for candidate, free in trial_candidates:
                if candidate is executor:
                    packing.reserve(step, free)
            task_counts[executor.id] += 1
            used_racks.add(executor.rack)
            placements.append((task, executor))
        return placements

    def _plan_run(
        self,
        task,
        executor,
        number,
        candidates,
        task_counts,
        used_racks,
        *,
        is_split=False,
    ):
        """Plan a run and subtract its needs from the free resources."""
        self._state.plan_run(task, executor, number)
        self._budget.add(task.job, task.step)
        is_remote = self._place_waits.is_remote(task.step, executor, used_racks)
        self._place_waits.on_planned(
            task.runs[-1], executor, is_remote=is_remote or is_split
        )
        for candidate, free in candidates:
            if candidate is executor:
                packing.reserve(task.step, free)
        task_counts[executor.id] += 1
        used_racks.add(executor.rack)
