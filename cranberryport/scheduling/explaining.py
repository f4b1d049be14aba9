"""Where a job would be placed now, and why, without submitting it.

Question addressed: an operator asks during a peak why a job is rejected or waits. The
answer uses the functions that decide (``admission``, ``organisation_limits``,
``suspicion``, ``isolation``, ``packing``, ``ordering``) on the present state, and
changes neither the state nor the job's place in any order.

The answer holds for the job alone: :attr:`Placement.jobs_ahead` tells how many waiting
jobs of its pool are served before it and may take the places that are named. Executors
that are reserved for suspected tasks during one decision count as usable here.
"""

import collections
import math

from cranberryport.scheduling import (
    admission,
    isolation,
    model,
    ordering,
    organisation_limits,
    packing,
    stragglers,
    suspicion,
)

# Reasons for which an executor of the pool cannot run a task, in the order in which
# they are looked for.
STATE = "state"
BACKOFF = "backoff"
UNTRUSTED = "untrusted"
ISOLATED = "isolated"
LABEL = "label"
SPREAD = "spread"
ROOM = "room"
RULED_OUT_REASONS = (STATE, BACKOFF, UNTRUSTED, ISOLATED, LABEL, SPREAD, ROOM)
# Reasons for which a job is rejected.
BACKLOG = "backlog"
LIMIT = "limit"


class StepPlacement:
    """Where the tasks of a step that is ready would start.

    Parameters
    ----------
    number : int
        Number of the step in the job.
    executor_ids : list of (str or None)
        Executor by index of the task; None for a task that would wait.
    remote_count : int
        Number of these executors that are on another rack than the step's data.
    ruled_out : dict of str to int
        Number of executors of the pool by the reason for which they cannot run the
        first task that would wait or, if none would, the first task.
    limited_count : int, default=0
        Number of tasks that the limit of the organisation holds back, whatever room
        there is.
    """

    __slots__ = (
        "executor_ids",
        "limited_count",
        "number",
        "remote_count",
        "ruled_out",
    )

    def __init__(
        self, *, number, executor_ids, remote_count, ruled_out, limited_count=0
    ):
        self.limited_count = limited_count
        self.number = number
        self.executor_ids = executor_ids
        self.remote_count = remote_count
        self.ruled_out = ruled_out


class Placement:
    """Where a job would be placed now.

    Parameters
    ----------
    retry_after_s : int
        Seconds after which the rejected job should be submitted again; 0 if it would be
        accepted.
    reason : str
        Why it would be rejected, ``BACKLOG`` or ``LIMIT``; empty if it would be
        accepted.
    jobs_ahead : int
        Number of waiting occurrences of jobs in the pool that are served before it.
    executor_count : int
        Number of known executors of the pool.
    steps : list of StepPlacement
        Steps that could start at once.
    """

    __slots__ = ("executor_count", "jobs_ahead", "reason", "retry_after_s", "steps")

    def __init__(self, *, retry_after_s, reason, jobs_ahead, executor_count, steps):
        self.retry_after_s = retry_after_s
        self.reason = reason
        self.jobs_ahead = jobs_ahead
        self.executor_count = executor_count
        self.steps = steps


def explain_placement(job, *, state, load_meter, instances, now, now_unix_s):
    """Return where a job would be placed now.

    Parameters
    ----------
    job : model.Job
        Job that is not part of the state.
    state : cranberryport.scheduling.scheduler.Scheduler
        State of all jobs and executors; it is only read.
    load_meter : cranberryport.scheduling.load.LoadMeter
        Provides demand and backlog.
    instances : object or None
        Provides ``available_cores``, as the instance manager of the controller does;
        None where the platform has no interface for instances, and then no job is
        rejected.
    now : float
        Monotonic time in seconds.
    now_unix_s : float
        Unix time in seconds.

    Returns
    -------
    Placement
        The decisions that the present state leads to.
    """
    rules = state.queue_rules(job)
    occurrence = model.Occurrence(job=job, number=0, due_at=job.occurrence_due_at(0))
    retry_after_s, reason = 0, ""
    organisation = state.organisations.get(job.organisation)
    is_too_large = any(
        organisation_limits.can_never_run(step, organisation, state.limit_overshoot)
        for step in job.steps
    )
    is_asked_about = instances is not None and job.queue in state.queues
    # Long-running and recurring jobs are accepted without a question about the backlog.
    is_lasting = any(step.is_lasting for step in job.steps)
    if is_too_large:
        retry_after_s, reason = admission.LONGEST_RETRY_AFTER_S, LIMIT
    elif is_asked_about and not job.repeats and not is_lasting:
        demand = load_meter.demand(now, now_unix_s)
        retry_after_s = admission.retry_after_s(
            work_core_s=occurrence.remaining_core_s,
            critical_path_s=job.critical_path_s,
            rules=rules,
            backlog_core_s=load_meter.backlog_core_s(
                job.service, rules.priority, now, now_unix_s
            ),
            cores=instances.available_cores(job.service, demand),
        )
        reason = BACKLOG if retry_after_s else ""
    budget = organisation_limits.make_budget(state, now)
    pool = _Pool(job.service, state=state, now=now)
    return Placement(
        retry_after_s=retry_after_s,
        reason=reason,
        jobs_ahead=_count_jobs_ahead(occurrence, state, now_unix_s),
        executor_count=pool.executor_count,
        steps=[
            pool.place_step(number, occurrence, budget)
            for number, step in enumerate(job.steps)
            if step.count and occurrence.are_dependencies_done(number)
        ],
    )


def _count_jobs_ahead(occurrence, state, now_unix_s):
    key = ordering.sort_key(occurrence, state.queue_rules(occurrence.job), now_unix_s)
    return sum(
        other.job.service == occurrence.job.service
        and any(
            not task.runs and not task.is_done
            for number in other.ready_steps
            for task in other.tasks[number]
        )
        and ordering.sort_key(other, state.queue_rules(other.job), now_unix_s) <= key
        for job in state.open_jobs.values()
        for other in job.occurrences.values()
    )


class _Pool:
    """Executors of a pool, and the resources that are free while a job is placed."""

    __slots__ = ("_busy_s", "_candidates", "_long_running", "_ruled_out")

    def __init__(self, service, *, state, now):
        executors = [e for e in state.executors.values() if e.service == service]
        accepting = [e for e in executors if e.can_accept_runs(now)]
        slow_ids = stragglers.slow_executors(accepting)
        trusted = suspicion.filter_trusted(
            [(e, e.free_resources()) for e in accepting], now, slow_ids
        )
        self._candidates = isolation.Isolation(
            candidates=trusted,
            # The division for waiting suspects would record since when they wait.
            waiting_suspects=[],
            has_suspects=state.has_suspects,
            now=now,
        ).ordinary
        trusted_ids = {executor.id for executor, _ in trusted}
        usable_ids = {executor.id for executor, _ in self._candidates}
        self._ruled_out = {}
        for executor in executors:
            reason = None
            if not executor.can_accept_runs(now):
                # Whether it could accept runs later than its backoff.
                is_waiting = executor.can_accept_runs(executor.backoff_until)
                reason = BACKOFF if is_waiting else STATE
            elif executor.id not in trusted_ids:
                reason = UNTRUSTED
            elif executor.id not in usable_ids:
                reason = ISOLATED
            self._ruled_out[executor.id] = reason
        self._busy_s = {e.id: packing.busy_for_s(e, now) for e, _ in self._candidates}
        self._long_running = {
            e.id: sum(run.task.step.is_lasting for run in e.runs.values())
            for e, _ in self._candidates
        }

    @property
    def executor_count(self):
        """Number of known executors of the pool."""
        return len(self._ruled_out)

    def place_step(self, number, occurrence, budget):
        """Place the tasks of a step, and take up the free resources that they need.

        The tasks that are placed are counted in the budget as well.
        """
        step = occurrence.job.steps[number]
        startable_count = len(budget.select_startable(occurrence.tasks[number]))
        candidates = [(executor, list(free)) for executor, free in self._candidates]
        task_counts, used_racks = collections.Counter(), set()
        chosen = []
        ruled_out = self._count_ruled_out(step, candidates, task_counts)
        for _ in range(startable_count):
            executor = packing.choose_executor(
                step,
                candidates,
                task_counts=task_counts,
                used_racks=used_racks,
                avoided_executors=(),
                long_running_counts={} if step.is_gang else self._long_running,
                busy_s=None if step.is_gang else self._busy_s,
            )
            if executor is None:
                break
            chosen.append(executor)
            task_counts[executor.id] += 1
            used_racks.add(executor.rack)
            for candidate, free in candidates:
                if candidate is executor:
                    packing.reserve(step, free)
            if not step.is_gang:
                self._add_run(step, executor)
        if len(chosen) < step.count:
            ruled_out = self._count_ruled_out(step, candidates, task_counts)
        if step.is_gang and len(chosen) < step.count:
            # A gang starts as a whole or not at all.
            chosen = []
        else:
            self._candidates = candidates
        budget.add(occurrence.job, step, len(chosen))
        waiting = [None] * (step.count - len(chosen))
        return StepPlacement(
            number=number,
            executor_ids=[executor.id for executor in chosen] + waiting,
            remote_count=sum(bool(step.rack) and e.rack != step.rack for e in chosen),
            ruled_out=ruled_out,
            limited_count=step.count - startable_count,
        )

    def _add_run(self, step, executor):
        self._long_running[executor.id] += step.is_lasting
        planned_s = math.inf if step.is_lasting else step.estimate_s
        self._busy_s[executor.id] = max(self._busy_s[executor.id], planned_s)

    def _count_ruled_out(self, step, candidates, task_counts):
        counts = collections.Counter(filter(None, self._ruled_out.values()))
        for executor, free in candidates:
            if step.label and step.label not in executor.labels:
                counts[LABEL] += 1
            elif step.spread and task_counts[executor.id] >= step.spread:
                counts[SPREAD] += 1
            elif not packing.has_room(step, executor, free):
                counts[ROOM] += 1
        return {reason: counts[reason] for reason in RULED_OUT_REASONS}
