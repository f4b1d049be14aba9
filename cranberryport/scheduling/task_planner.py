"""Chooses executors for the tasks whose turn has come.

The decisions themselves stand in ``ordering``, ``packing``, ``suspicion`` and
``stragglers``; this module applies them to the state of all jobs.
"""

import collections
import logging
import math

from cranberryport.scheduling import ordering, packing, stragglers, suspicion

# Progress is listed about once a second, so looking more often shows nothing new.
STRAGGLERS_INTERVAL_S = 0.1

_logger = logging.getLogger(__name__)


class _Pool:
    """What the executors of a pool have while it is planned.

    Parameters
    ----------
    candidates : list of (executors.Executor, list of int)
        Executors that may be used, with what is free on each.
    now : float
        Monotonic time in seconds.
    """

    __slots__ = ("busy", "candidates", "lasting", "refused")

    def __init__(self, *, candidates, now):
        self.candidates = candidates
        self.busy = {e.id: packing.busy_s(e, now) for e, _ in candidates}
        self.lasting = {
            executor.id: sum(run.task.step.is_lasting for run in executor.runs.values())
            for executor, _ in candidates
        }
        self.refused = packing.RefusedNeeds()

    def note(self, step, executor):
        """Note that a task of a step was planned on an executor."""
        self.lasting[executor.id] += step.is_lasting
        lasts_s = math.inf if step.is_lasting else step.estimate_s
        self.busy[executor.id] = max(self.busy[executor.id], lasts_s)


class TaskPlanner:
    """Plans runs on the executors of all pools.

    Parameters
    ----------
    state : cranberryport.scheduling.scheduler.Scheduler
        State of all jobs; the planned runs go there.
    """

    __slots__ = ("_advice_wanted", "_checked_at", "_state")

    def __init__(self, *, state):
        self._state = state
        self._checked_at = -math.inf
        self._advice_wanted = {}

    def plan(self, now, wall):
        """Choose executors for the tasks whose turn has come.

        Parameters
        ----------
        now : float
            Monotonic time in seconds.
        wall : float
            Unix time in seconds.
        """
        checks_stragglers = now - self._checked_at >= STRAGGLERS_INTERVAL_S
        if checks_stragglers:
            self._checked_at = now
        opened, waiting = {}, {}
        for job in self._state.open_jobs.values():
            for occurrence in job.occurrences.values():
                if occurrence.open_steps:
                    opened.setdefault(job.service, []).append(occurrence)
                    if self._has_waiting(occurrence, now):
                        waiting.setdefault(job.service, []).append(occurrence)
        services = opened if checks_stragglers else waiting
        pools = {}
        for executor in self._state.executors.values():
            if executor.service in services and executor.can_accept_runs(now):
                candidate = (executor, executor.free())
                pools.setdefault(executor.service, []).append(candidate)
        for service in services:
            candidates = pools.get(service)
            if not candidates:
                continue
            slow = stragglers.slow_executors([executor for executor, _ in candidates])
            trusted = suspicion.trusted(candidates, now, slow)
            self._plan_pool(waiting.get(service, ()), trusted, now, wall)
            if checks_stragglers:
                self._leave_stragglers(opened[service], trusted, slow, now)

    def _has_waiting(self, occurrence, now):
        return any(
            not task.runs and not task.is_done and task.retry_at <= now
            for number in occurrence.open_steps
            for task in occurrence.tasks[number]
        )

    def _plan_pool(self, occurrences, candidates, now, wall):
        ordered = sorted(
            occurrences,
            key=lambda o: ordering.order_key(o, self._state.queue_rules(o.job), wall),
        )
        pool = _Pool(candidates=candidates, now=now)
        for occurrence in ordered:
            for number in sorted(occurrence.open_steps):
                if not pool.refused.covers(occurrence.job.steps[number]):
                    self._plan_step(occurrence, number, pool, now)

    def _plan_step(self, occurrence, number, pool, now):
        tasks = occurrence.tasks[number]
        step = occurrence.job.steps[number]
        attempts = self._state.queue_rules(occurrence.job).attempts
        waiting = [
            task
            for task in tasks
            if not task.is_done
            and not task.runs
            and task.retry_at <= now
            and (step.is_lasting or task.failed_run_count < attempts)
        ]
        if not waiting:
            return
        used_on, racks = self._placed(tasks)
        permitted = self._permitted(occurrence, number, pool.candidates, now)
        if step.is_gang:
            self._plan_gang(tasks, waiting, permitted, used_on, racks, now)
            return
        for task in waiting:
            executor = packing.choose(
                step,
                permitted,
                used_on=used_on,
                racks=racks,
                avoided_executors=task.avoided_executors,
                lasting_on=pool.lasting,
                busy=pool.busy,
            )
            if executor is None:
                if step.is_lasting and step.spread:
                    self._state.note_unplaceable_task(occurrence.job.service, now)
                if permitted is pool.candidates:
                    pool.refused.note(step)
                return
            pool.note(step, executor)
            self._plan_run(
                task, executor, task.next_run_number, permitted, used_on, racks
            )

    def _leave_stragglers(self, occurrences, candidates, slow, now):
        """Copy or move runs that stand still or are far too slow."""
        for occurrence in occurrences:
            for number in occurrence.open_steps:
                step = occurrence.job.steps[number]
                if step.is_gang:
                    continue
                for task in occurrence.tasks[number]:
                    is_limited = task.replacements >= stragglers.LEAVES_LIMIT
                    if len(task.runs) != 1 or is_limited:
                        continue
                    (run,) = task.runs
                    if not stragglers.is_worth_leaving(run, now, slow):
                        continue
                    self._leave(run, candidates, now)

    def _leave(self, run, candidates, now):
        task = run.task
        others = [c for c in candidates if c[0].id != run.executor]
        others = self._permitted(task.occurrence, task.step_number, others, now)
        used_on, racks = self._placed(task.occurrence.tasks[task.step_number])
        executor = packing.choose(
            task.step,
            others,
            used_on=used_on,
            racks=racks,
            avoided_executors=task.avoided_executors,
            lasting_on={},
        )
        straggling = self._state.executors.get(run.executor)
        if executor is None or straggling is None:
            return
        if straggling.is_silent(now) and not task.step.may_copy:
            # Its progress is not known, and a stop would not arrive either.
            return
        if task.step.may_copy:
            self._plan_run(task, executor, task.next_run_number, others, used_on, racks)
        elif stragglers.is_stalled(run, now) or task.step.saves_checkpoints:
            self._state.stop_run(run)
        else:
            return
        task.replacements += 1
        _logger.info(
            "run left",
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
            suspicion.note_end(straggling, task.job.id, "failed", now)

    def _permitted(self, occurrence, number, candidates, now):
        """Return the candidates that may run a step, and note what is to be asked."""
        rules = self._state.queue_rules(occurrence.job)
        if rules.advice is None:
            return candidates
        step = occurrence.tasks[number][0].step_name
        permitted, unknown = [], []
        for candidate in candidates:
            executor = candidate[0]
            if executor.valid_ticket(step, now) is not None:
                permitted.append(candidate)
            elif step not in executor.tickets or executor.tickets[step] is not None:
                unknown.append(executor.id)
        if unknown:
            self._advice_wanted[step] = (unknown, rules.advice)
        return permitted

    def take_advice_requests(self):
        """Return workers to ask about and the rules of the queue, by step."""
        wanted, self._advice_wanted = self._advice_wanted, {}
        return wanted

    def on_advice(self, step, asked, tickets, valid_until):
        """Take the answer about the executors that may run a step.

        Parameters
        ----------
        step : str
            Job, occurrence and step.
        asked : list of str
            Executors that were asked about.
        tickets : dict of str to str
            Ticket by permitted executor; the others stay excluded for good.
        valid_until : float
            Monotonic time in seconds.
        """
        for executor_id in asked:
            executor = self._state.executors.get(executor_id)
            if executor is None:
                continue
            ticket = tickets.get(executor_id)
            executor.tickets[step] = None if ticket is None else (ticket, valid_until)

    def _placed(self, tasks):
        used_on = collections.Counter()
        racks = set()
        for task in tasks:
            for run in task.runs:
                used_on[run.executor] += 1
                executor = self._state.executors.get(run.executor)
                if executor is not None:
                    racks.add(executor.rack)
        return used_on, racks

    def _plan_gang(self, tasks, waiting, candidates, used_on, racks, now):
        if len(waiting) != sum(not task.is_done for task in tasks):
            return
        step = tasks[0].step
        trial = [(executor, list(free)) for executor, free in candidates]
        choices = []
        for task in waiting:
            executor = packing.choose(
                step,
                trial,
                used_on=used_on,
                racks=racks,
                avoided_executors=task.avoided_executors,
                lasting_on={},
            )
            if executor is None:
                return
            for candidate, free in trial:
                if candidate is executor:
                    packing.take(step, free)
            used_on[executor.id] += 1
            racks.add(executor.rack)
            choices.append((task, executor))
        number = max(task.next_run_number for task in tasks)
        saved = max(task.checkpoint for task in tasks)
        for task, executor in choices:
            task.checkpoint = saved
            self._plan_run(
                task, executor, number, candidates, collections.Counter(), set()
            )

    def _plan_run(self, task, executor, number, candidates, used_on, racks):
        self._state.plan_run(task, executor, number)
        for candidate, free in candidates:
            if candidate is executor:
                packing.take(task.step, free)
        used_on[executor.id] += 1
        racks.add(executor.rack)
