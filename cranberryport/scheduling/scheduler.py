"""State of all jobs, their runs and the executors.

The class has no input or output. Its owner hands in what it learns, lets the planner
plan runs, stores the batches that :meth:`Scheduler.take_batch` returns, and only then
sends the starts that come out of :meth:`Scheduler.commit`. So no start is sent that a
successor would not know of.
"""

import collections
import logging
import math
import time

from cranberryport.scheduling import (
    executors,
    model,
    ordering,
    rebalancing,
    records,
    stragglers,
    suspicion,
)

# A start without an answer may be carried out until its own deadline.
START_VALIDITY_S = 2.0
# A task that could not be started is tried again after this time.
RETRY_DELAY_S = 0.2
# An executor that refused for want of room is tried again after this time; its next
# list of runs corrects the account before.
REFUSED_DELAY_S = 0.3
UNHEALTHY_DELAY_S = 1.0
# A job whose queue is not known does not fail for the number of its attempts.
UNKNOWN_ATTEMPTS = 1_000_000
# Renewals that the previous controller had sent may arrive after the takeover.
TAKEOVER_SLACK_S = 0.5
# Longer than the time between two decisions about instances.
LACKING_S = 0.2
# A stop is repeated until the end of the run is listed.
STOP_REPEAT_S = 0.6
# All runs are looked through for such stops, so not at every decision.
STOP_CHECK_S = 0.1

_logger = logging.getLogger(__name__)


def previous_lease_wait_s(lease_s):
    """Return the seconds after which leases of the previous controller have lapsed.

    Parameters
    ----------
    lease_s : float
        Length of a lease in seconds, which it may have renewed until the takeover.
    """
    return lease_s * executors.CLOCK_DRIFT + TAKEOVER_SLACK_S


class Batch:
    """Records to store in one append, and what follows once they are stored.

    Parameters
    ----------
    progress_records : list of messages.ProgressStored
        Records.
    planned_runs : list of model.Run
        Runs that may be sent to their executors.
    acknowledgements : list of (executors.Executor, int, int or None)
        Executor, number of its last end that the records include, and its birth.
    """

    __slots__ = ("acknowledgements", "planned_runs", "progress_records")

    def __init__(self, *, progress_records, planned_runs, acknowledgements):
        self.progress_records = progress_records
        self.planned_runs = planned_runs
        self.acknowledgements = acknowledgements

    @property
    def is_empty(self):
        """Whether there is nothing to store or to confirm."""
        return not (self.progress_records or self.planned_runs or self.acknowledgements)


class Scheduler:
    """Knows all jobs and executors of the pools that this process decides for.

    Parameters
    ----------
    takeover_lapses_at : float
        Monotonic time by which a lease of the previous controller has lapsed on any
        executor.
    """

    def __init__(self, *, previous_leases_expire_at):
        self._previous_leases_expire_at = previous_leases_expire_at
        self._jobs = {}
        self._open_jobs = {}
        self._executors = {}
        self._queues = {}
        self._dirty = {}
        self._planned = []
        self._ends = {}
        self._stops = collections.deque()
        self._stops_checked_at = -math.inf
        self._waiting_runs = {}
        self._timed = {}
        self._retired = {}
        self._arrivals = collections.defaultdict(rebalancing.ArrivalRate)
        self._lacking = {}

    @property
    def jobs(self):
        """Jobs by id."""
        return self._jobs

    @property
    def open_jobs(self):
        """Jobs that have not ended, by id."""
        return self._open_jobs

    @property
    def executors(self):
        """Executors by id."""
        return self._executors

    @property
    def arrivals(self):
        """Work that becomes ready, by pool."""
        return self._arrivals

    @property
    def queues(self):
        """Rules of the queues by name."""
        return self._queues

    def set_queues(self, queues):
        """Take the rules of a configuration; queues that it drops keep theirs."""
        self._queues.update(queues)

    def queue_rules(self, job):
        """Return the rules of a job's queue."""
        rules = self._queues.get(job.queue)
        if rules is None:
            rules = ordering.QueueRules(
                name=job.queue,
                service=job.service,
                attempts=job.attempts or UNKNOWN_ATTEMPTS,
            )
        return rules

    # Jobs

    def add_job(self, job, wall):
        """Take an accepted job; one that is known already changes nothing.

        Parameters
        ----------
        job : model.Job
            The job.
        wall : float
            Unix time in seconds.

        Returns
        -------
        bool
            Whether it is new.
        """
        if job.id in self._jobs:
            return False
        self._jobs[job.id] = job
        self._open_jobs[job.id] = job
        if not job.steps or not any(step.count for step in job.steps):
            self._end_job(job, model.COMPLETED, wall)
            return True
        self._activate_due(job, wall)
        return True

    def restore_job(self, job, progress, wall):
        """Take a job with the progress that the previous controller stored."""
        records.restore_progress(job, progress)
        self._jobs[job.id] = job
        if not job.has_ended:
            self._open_jobs[job.id] = job
            for task in job.tasks():
                for run in task.runs:
                    key = (task.name, run.number)
                    self._waiting_runs.setdefault(run.executor, {})[key] = run
            for occurrence in job.occurrences.values():
                self._open_ready_steps(occurrence)
            self._activate_due(job, wall)

    def cancel_job(self, job_id, wall):
        """Cancel a job and stop what runs of it.

        Returns
        -------
        bool
            False if the job is not known.
        """
        job = self._jobs.get(job_id)
        if job is None:
            return False
        if not job.has_ended:
            job.is_cancelled = True
            self._end_job(job, model.CANCELLED, wall)
        return True

    def forget_job(self, job_id):
        """Drop an ended job after the time for which its state is owed."""
        self._jobs.pop(job_id, None)

    def _activate_due(self, job, wall):
        for number in range(job.occurrence_count):
            if number in job.occurrences or number in job.done_occurrences:
                continue
            due = job.occurrence_due_at(number)
            if due > wall:
                self._timed[job.id] = job
                return
            occurrence = model.Occurrence(job=job, number=number, due_at=due)
            job.occurrences[number] = occurrence
            self._open_ready_steps(occurrence)
        self._timed.pop(job.id, None)

    def _open_ready_steps(self, occurrence, now=None):
        for number, step in enumerate(occurrence.job.steps):
            if not occurrence.remaining[number]:
                occurrence.open_steps.discard(number)
            elif number not in occurrence.open_steps and occurrence.is_step_ready(
                number
            ):
                occurrence.open_steps.add(number)
                if not step.is_lasting and not step.is_filling:
                    work = step.processors * step.count * step.estimate_s
                    arrivals = self._arrivals[occurrence.job.service]
                    arrivals.note(work, time.monotonic() if now is None else now)

    def _mark(self, job):
        self._dirty[job.id] = job

    def _end_job(self, job, state, wall):
        job.state = state
        job.ended_at = wall
        self._open_jobs.pop(job.id, None)
        self._timed.pop(job.id, None)
        self._mark(job)
        for task in job.tasks():
            for run in list(task.runs):
                self._abandon(run)
        _logger.info(
            "job ended", extra={"request": job.id, "state": state, "pool": job.service}
        )

    # Executors

    def add_or_update_executor(self, executor, now):
        """Take an entry of the list of executors.

        Parameters
        ----------
        executor : executors.Executor
            As just read.
        now : float
            Monotonic time in seconds.

        Returns
        -------
        executors.Executor or None
            The one that is kept; None for an entry left by a retired life.
        """
        if (
            executor.id in self._retired
            and self._retired[executor.id] == executor.started_at_ms
        ):
            return None
        known = self._executors.get(executor.id)
        if known is not None and known.address == executor.address:
            changed = known.state != executor.state or not known.is_listed
            known.state = executor.state
            if known.started_at_ms is None:
                known.started_at_ms = executor.started_at_ms
            known.service = executor.service
            known.labels = executor.labels
            known.processors = executor.processors
            known.memory = executor.memory
            known.accelerators = executor.accelerators
            known.terminates_at = executor.terminates_at
            known.is_listed = True
            if changed:
                _logger.info(
                    "executor changed",
                    extra={"executor": known.id, "state": known.state},
                )
            return known
        if known is not None:
            self._lose_runs(known, "restarted")
        self._executors[executor.id] = executor
        executor.lease_expires_at = self._previous_leases_expire_at
        for run in self._waiting_runs.pop(executor.id, {}).values():
            executor.runs[(run.task.name, run.number)] = run
        _logger.info(
            "executor found",
            extra={
                "executor": executor.id,
                "pool": executor.service,
                "state": executor.state,
            },
        )
        return executor

    def mark_unlisted(self, executor_id, now):
        """Note that an entry is gone; the runs wait for the lease to lapse."""
        executor = self._executors.get(executor_id)
        if executor is not None and executor.is_listed:
            executor.is_listed = False
            _logger.info("executor left the list", extra={"executor": executor_id})

    def on_executor_restarted(self, executor, started_at_ms):
        """Note that an executor has restarted under its id.

        Confirmed runs are gone. A start without an answer may reach the restarted
        executor, so its run is kept until a list shows whether it is there.
        """
        self._lose_runs(executor, "restarted", is_kept=_is_unanswered)
        for run in executor.runs.values():
            # The clock of the executor starts anew as well.
            run.deadline_ms = None
        executor.started_at_ms = started_at_ms
        executor.acknowledged_end = 0
        executor.received_end = 0
        executor.clock_ms = None
        executor.lease_expires_at = None
        executor.has_accepted_epoch = False
        executor.tickets = {}
        self._ends.pop(executor.id, None)

    def remove_executor(self, executor, reason):
        """Drop an executor that provably runs nothing any more."""
        self._lose_runs(executor, reason)
        self._executors.pop(executor.id, None)
        self._ends.pop(executor.id, None)
        _logger.info(
            "executor removed", extra={"executor": executor.id, "reason": reason}
        )

    def retire_executor(self, executor, reason):
        """Drop an executor whose instance has ended it; its entry may stay for seconds.

        Parameters
        ----------
        executor : executors.Executor
            Another life under the same id has another birth and is taken again.
        reason : str
            For the log.
        """
        self._retired[executor.id] = executor.started_at_ms
        self.remove_executor(executor, reason)

    def has_restored_runs(self, executor_id):
        """Return whether the previous controller left runs on an unseen executor."""
        return bool(self._waiting_runs.get(executor_id))

    def drop_restored_runs(self, present):
        """Drop stored runs on executors that no instance has any more.

        Parameters
        ----------
        present : set of str
            Executors of all instances, read after the list of executors.
        """
        for executor_id in set(self._waiting_runs) - present:
            for run in list(self._waiting_runs.pop(executor_id).values()):
                _logger.info(
                    "run lost",
                    extra={
                        "request": run.task.job.id,
                        "task": run.task.name,
                        "run": run.number,
                        "executor": executor_id,
                        "reason": "no instance has the executor",
                    },
                )
                self._drop(run)

    def _lose_runs(self, executor, reason, is_kept=lambda run: False):
        for run in list(executor.runs.values()):
            if is_kept(run):
                continue
            _logger.info(
                "run lost",
                extra={
                    "request": run.task.job.id,
                    "task": run.task.name,
                    "run": run.number,
                    "executor": executor.id,
                    "reason": reason,
                },
            )
            self._drop(run)

    def process_due_events(self, now, wall):
        """Act on what has passed with time.

        Parameters
        ----------
        now : float
            Monotonic time in seconds.
        wall : float
            Unix time in seconds.
        """
        for executor in list(self._executors.values()):
            is_lease_expired = executor.is_lease_expired(now)
            if executor.runs and is_lease_expired:
                self._lose_runs(executor, "lease lapsed")
                executor.has_accepted_epoch = False
            if not executor.is_listed and not executor.runs:
                self.remove_executor(executor, "not listed")
        if self._waiting_runs and now >= self._previous_leases_expire_at:
            for runs in self._waiting_runs.values():
                for run in list(runs.values()):
                    self._drop(run)
            self._waiting_runs = {}
        for job in list(self._timed.values()):
            self._activate_due(job, wall)
        self._repeat_stops(now)

    def _repeat_stops(self, now):
        if now - self._stops_checked_at < STOP_CHECK_S:
            return
        self._stops_checked_at = now
        for executor in self._executors.values():
            for run in executor.runs.values():
                is_due = run.stop_sent_at is None
                is_due = is_due or now - run.stop_sent_at > STOP_REPEAT_S
                if run.state == model.STOPPING and is_due:
                    run.stop_sent_at = now
                    self._stops.append(run)

    # Runs

    def _abandon(self, run):
        """Stop a run that is not wanted any more."""
        if run.state == model.PLANNED:
            self._drop(run)
            return
        if run.state != model.STOPPING:
            run.state = model.STOPPING
            run.stop_sent_at = None
            self._stops.append(run)

    def stop_run(self, run):
        """Stop a run so that its task goes on elsewhere."""
        self._abandon(run)

    def _drop(self, run):
        """Forget a run that is known not to be there; its task can start anew."""
        task = run.task
        if run in task.runs:
            task.runs.remove(run)
        executor = self._executors.get(run.executor)
        if executor is not None:
            executor.runs.pop((task.name, run.number), None)
        waiting = self._waiting_runs.get(run.executor)
        if waiting is not None:
            waiting.pop((task.name, run.number), None)
        if run.checkpoint > task.checkpoint:
            task.checkpoint = run.checkpoint
        if not task.is_done and not task.job.has_ended:
            self._mark(task.job)

    def take_pending_stops(self):
        """Return the runs whose stop is to be sent now."""
        result = list(self._stops)
        self._stops.clear()
        return result

    def on_run_started(self, run, now):
        """Note that the executor has confirmed a start."""
        if run.state == model.ORDERED:
            run.state = model.RUNNING
            run.progressed_at = now
        if run.confirmed_at is None:
            run.confirmed_at = now

    def on_start_refused(self, run, reason, now):
        """Note that a start was refused and did nothing.

        Parameters
        ----------
        run : model.Run
            The run.
        reason : {'room', 'late', 'ticket', 'unhealthy', 'invalid', 'old'}
            Why. After ``old`` the next list of runs tells whether it ran.
        now : float
            Monotonic time in seconds.
        """
        executor = self._executors.get(run.executor)
        if reason == "old":
            self.on_run_started(run, now)
            return
        if executor is not None and reason == "room":
            executor.backoff_until = now + REFUSED_DELAY_S
        if executor is not None and reason == "unhealthy":
            executor.backoff_until = now + UNHEALTHY_DELAY_S
        if executor is not None and reason == "ticket":
            executor.tickets = {}
        delay = UNHEALTHY_DELAY_S if reason == "invalid" else 0.0
        run.task.retry_at = now + delay
        self._drop(run)

    def on_stop_confirmed(self, run, now):
        """Note that the executor has confirmed a stop; its end is listed later."""
        run.confirmed_at = now

    def on_runs_listed(self, executor, report, *, requested_at, now, wall):
        """Take the lists of what runs and what has ended on an executor.

        Parameters
        ----------
        executor : executors.Executor
            Executor that answered.
        report : object
            With ``running`` and ``finished`` (see the platform's adapter).
        asked_at : float
            Monotonic time at which the question was sent.
        now : float
            Monotonic time in seconds.
        wall : float
            Unix time in seconds.

        Returns
        -------
        list of (str, int)
            Runs that this process does not know and that must be stopped.
        """
        executor.last_listed_at = now
        for end in report.finished:
            if end.number <= executor.received_end:
                continue
            executor.received_end = end.number
            self._ends[executor.id] = executor
            run = executor.runs.get((end.task, end.run))
            if run is not None:
                self._end_run(run, end, executor, now, wall)
        unknown = []
        listed = set()
        for entry in report.running:
            key = (entry.task, entry.run)
            listed.add(key)
            run = executor.runs.get(key)
            if run is None:
                unknown.append(key)
                continue
            self._update_run(run, entry, now)
        for key, run in list(executor.runs.items()):
            if key in listed or run.state == model.PLANNED:
                continue
            is_known = run.confirmed_at is not None and run.confirmed_at < requested_at
            is_expired = (
                run.start_expires_at is None or requested_at > run.start_expires_at
            )
            if is_known or (run.state != model.STOPPING and is_expired):
                self._drop(run)
        return unknown

    def _update_run(self, run, entry, now):
        self.on_run_started(run, now)
        if run.progress_percent != entry.percent or run.progressed_at is None:
            executor = self._executors.get(run.executor)
            if executor is not None:
                stragglers.note_progress(executor, run, entry.percent, now)
            run.progress_percent = entry.percent
            run.progressed_at = now
        run.checkpoint = entry.saved
        run.reported_load = entry.load

    def _end_run(self, run, end, executor, now, wall):
        task, job = run.task, run.task.job
        _logger.info(
            "run ended",
            extra={
                "request": job.id,
                "task": task.name,
                "run": run.number,
                "executor": executor.id,
                "how": end.how,
            },
        )
        run.checkpoint = max(run.checkpoint, end.saved)
        was_stopping = run.state == model.STOPPING
        self._drop(run)
        if job.has_ended or task.is_done:
            return
        suspicion.note_end(executor, job.id, end.how, now)
        if end.how == "done":
            self._finish_task(task, wall)
        elif end.how == "failed":
            self._fail_task(task, run, executor, wall)
        elif was_stopping:
            task.avoided_executors = (executor.id,)

    def _fail_task(self, task, run, executor, wall):
        job = task.job
        task.failed_run_count += 1
        task.avoided_executors = (*task.avoided_executors, executor.id)[-2:]
        if task.step.is_gang:
            for member in task.occurrence.tasks[task.step_number]:
                member.failed_run_count = max(
                    member.failed_run_count, task.failed_run_count
                )
        self._mark(job)
        if (
            task.step.is_lasting
            or task.failed_run_count < self.queue_rules(job).attempts
        ):
            return
        if not task.runs:
            self._end_job(job, model.FAILED, wall)

    def _finish_task(self, task, wall):
        occurrence, job = task.occurrence, task.job
        members = [task]
        if task.step.is_gang:
            members = occurrence.tasks[task.step_number]
        for member in members:
            if not member.is_done:
                member.is_done = True
                occurrence.note_done(task.step_number)
            for run in list(member.runs):
                self._abandon(run)
        self._mark(job)
        if occurrence.remaining[task.step_number] == 0:
            self._open_ready_steps(occurrence)
        if occurrence.is_done:
            job.done_occurrences.add(occurrence.number)
            del job.occurrences[occurrence.number]
            if len(job.done_occurrences) == job.occurrence_count:
                self._end_job(job, model.COMPLETED, wall)

    # Planning

    def plan_run(self, task, executor, number):
        """Plan a run; it is sent once it is stored.

        Parameters
        ----------
        task : model.Task
            What runs.
        executor : executors.Executor
            Where it runs.
        number : int
            Number of the start; the members of a gang share it.
        """
        run = model.Run(task=task, number=number, executor=executor.id)
        run.checkpoint = task.checkpoint
        if self.queue_rules(task.job).advice is not None:
            run.ticket = executor.tickets[task.step_name][0]
        task.next_run_number = number + 1
        task.runs.append(run)
        executor.runs[(task.name, number)] = run
        job = task.job
        job.has_started = True
        if job.state == model.ACCEPTED:
            job.state = model.ACTIVE
        self._planned.append(run)
        self._mark(job)

    # Storing

    def take_batch(self):
        """Return what has changed since the last batch.

        Returns
        -------
        Batch
            Empty if nothing has changed.
        """
        stored = [records.progress_to_record(job) for job in self._dirty.values()]
        ends = [(e, e.received_end, e.started_at_ms) for e in self._ends.values()]
        batch = Batch(
            progress_records=stored, planned_runs=self._planned, acknowledgements=ends
        )
        self._dirty = {}
        self._planned = []
        self._ends = {}
        return batch

    def commit(self, batch, now):
        """Note that a batch is stored.

        Returns
        -------
        list of model.Run
            Runs whose start is to be sent now.
        """
        for record in batch.progress_records:
            job = self._jobs.get(record.job)
            if job is not None:
                job.stored_state = record.state
        for executor, number, started_at_ms in batch.acknowledgements:
            if executor.started_at_ms == started_at_ms:
                executor.acknowledged_end = max(executor.acknowledged_end, number)
        starts = []
        for run in batch.planned_runs:
            if run.state != model.PLANNED or run not in run.task.runs:
                continue
            executor = self._executors.get(run.executor)
            if executor is None or not executor.can_accept_runs(now):
                self._drop(run)
                continue
            run.state = model.ORDERED
            run.start_expires_at = now + START_VALIDITY_S
            starts.append(run)
        return starts

    def note_unplaceable_task(self, service, now):
        """Note that a task of a pool has no place there, whatever room is free.

        Parameters
        ----------
        service : str
            Pool, whose executors all have as many tasks of its step as may be.
        now : float
            Monotonic time in seconds.
        """
        self._lacking[service] = now

    def has_unplaceable_task(self, service, now):
        """Return whether a task has lately found no place in a pool."""
        noted_at = self._lacking.get(service)
        return noted_at is not None and now - noted_at < LACKING_S

    # Reports

    def job_state(self, job_id):
        """Return the state of a job, None if it is not known."""
        job = self._jobs.get(job_id)
        return None if job is None else job.reported_state

    def waiting_job_count(self, queue):
        """Return the number of jobs of a queue of which nothing has started."""
        return sum(
            job.queue == queue and not job.has_started
            for job in self._open_jobs.values()
        )


def _is_unanswered(run):
    return run.state == model.ORDERED and run.confirmed_at is None
