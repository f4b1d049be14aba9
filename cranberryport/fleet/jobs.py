"""Runs accepted jobs as tasks on the platform's workers.

The live session of the lowest rank places waiting jobs; the others take over if it does
not. Each worker has one responsible session, which polls its tasks, renews their leases
and proposes the records of how jobs ended. It need not be the session that placed the
jobs, so jobs go on when that session ends.

The term of a job is the number of its last placement. A worker ends a task whose lease
is not renewed. A job whose worker cannot be reached is placed again, under the next
term, only after the lease of its task has ended, so that two tasks of a job do not run
at the same time.
"""

import dataclasses
import functools
import hashlib
import json
import logging
import time

from circuits import BaseComponent, handler

from cranberryport.fleet import placement, worker_client
from cranberryport.generated import messages
from cranberryport.stream import log_writer_events

# Rush jobs have to start within 1.5 s; a job waits up to this long for a placement run.
PLACEMENT_INTERVAL_S = 0.25
WORKER_CHECK_INTERVAL_S = 1.0
# A proposed record that has not been folded after this time counts as undecided.
DECISION_TIMEOUT_S = 10.0
# A session waits this long times its rank before it places a job, so that usually only
# one session does.
RANK_DELAY_S = 1.0
# Long enough for another session to take over the renewals of a session that ends:
# 6 s until it is suspected, the votes, and two polls.
TASK_LEASE_S = 20.0
RENEW_LEASE_BELOW_S = 12.0
# Workers with placed jobs or a failed poll are polled at the shorter interval.
POLL_INTERVAL_S = 2.0
IDLE_POLL_INTERVAL_S = 30.0
USAGE_INTERVAL_S = 5.0
# Limits the number of sockets opened at once in a fleet of 840 workers.
POLLS_PER_CHECK = 32
# The session that placed a job starts its task, and a preempted task is stopped before
# the record of its checkpoint is folded. The responsible session therefore waits this
# long before it starts a missing task or requeues the job of an ended one.
NOT_RUNNING_GRACE_S = 3.0
# After this time without an answer from a worker the leases of all its tasks have
# ended. The session that was responsible before can still renew a lease up to 4 s
# (dispatch right) plus 3 s (request timeout) after this session's first failed poll.
WORKER_LOST_AFTER_S = TASK_LEASE_S + 8.0
# A worker that refused a start gets no jobs for this time, which includes a new poll of
# its usage.
REFUSAL_PAUSE_S = 10.0
PREEMPTION_TIMEOUT_S = 5.0
# Results are part of the control state and of every snapshot.
RESULT_LIMIT_BYTES = 16 * 1024
# States of a task that has ended without a result: its lease ended, or it was stopped.
ENDED_STATES = ("lapsed", "stopped")
JOB_RECORDS = (
    messages.JobAccepted,
    messages.JobPlaced,
    messages.JobFinished,
    messages.JobFailed,
    messages.JobCheckpointed,
    messages.JobCancelled,
)

_logger = logging.getLogger(__name__)


def responsible_session(worker, sessions):
    """Return the session that is responsible for a worker, by rendezvous hashing.

    When a session ends, only the workers of that session change to another one.

    Parameters
    ----------
    worker : str
        Name of the worker.
    sessions : tuple of str
        Ids of the live sessions.

    Returns
    -------
    str
        Id of one of the sessions; empty if there is none.
    """
    return max(
        sessions, key=lambda session: _rendezvous_score(worker, session), default=""
    )


@functools.lru_cache(maxsize=16_384)
def _rendezvous_score(worker, session):
    text = f"{session}/{worker}".encode()
    return hashlib.blake2b(text, digest_size=8).digest(), session


def _result_text(value):
    return value if isinstance(value, str) else json.dumps(value)


class WorkerWatch:
    """Results of this session's requests to one worker.

    Attributes
    ----------
    polled_at, usage_at : float
        Monotonic times of the last requests for tasks and for usage.
    failed_since : float or None
        Monotonic time of the first failed poll since the last successful one.
    not_running_since : dict
        Pair of job and term to the monotonic time since which the job's task is missing
        on the worker or has ended without a result.
    refused_until : float
        Monotonic time until which no job is placed there, after a refused start.
    """

    __slots__ = (
        "failed_since",
        "not_running_since",
        "polled_at",
        "refused_until",
        "usage_at",
    )

    def __init__(self):
        self.polled_at = float("-inf")
        self.usage_at = float("-inf")
        self.failed_since = None
        self.not_running_since = {}
        self.refused_until = float("-inf")


class JobManager(BaseComponent):
    """Places jobs on workers and watches their tasks.

    Parameters
    ----------
    follower : cranberryport.stream.log_follower.LogFollower
        Source of the control state.
    session_keeper : cranberryport.stream.session_keeper.SessionKeeper
        Source of this process's session and its rank.
    instance_list : cranberryport.fleet.instance_list.InstanceList
        Source of the listed workers.
    timers : cranberryport.timers.Timers
        Timers for the periodic checks.
    client : cranberryport.http.connection.Client
        Owner of the sockets to workers.
    """

    channel = "jobs"

    def __init__(self, *, follower, session_keeper, instance_list, timers, client):
        super().__init__()
        self._follower = follower
        self._session_keeper = session_keeper
        self._instance_list = instance_list
        self._timers = timers
        self._workers = worker_client.WorkerClient(
            client=client, reply_channel=self.channel
        )
        # Worker to its WorkerWatch.
        self._watches = {}
        # Worker to the id of a running task to its measured sizes.
        self._usage = {}
        # Kind, job and term of the undecided records to the record.
        self._proposed = {}
        # Rush job to its worker, the pairs of preempted job and term, and the start.
        self._preemptions = {}
        self._failures = placement.WorkerFailures()
        # Created from the finished jobs at the first placement.
        self._usage_ratios = None
        # Monotonic time at which a placement was folded or no job was waiting.
        self._placement_progress_at = 0.0
        self._last_run_at = 0.0
        # Whether jobs or preemptions have changed since the last placement run.
        self._is_run_due = True
        # Worker to its placed jobs, and the control state from which they were taken.
        self._placed_cache = {}
        self._placed_cache_state = None
        # Worker to its responsible session among these live sessions.
        self._responsible_sessions = {}
        self._responsible_among = ()

    @property
    def workers(self):
        """List of :class:`placement.Worker` for all listed workers."""
        entries = self._instance_list.workers()
        now = time.monotonic()
        excluded = self._failures.excluded([entry["name"] for entry in entries], now)
        return [
            self._to_worker(entry, entry["name"] in excluded, now) for entry in entries
        ]

    def status(self):
        """Return counts of jobs and workers for the admin page, as plain data."""
        jobs = self._follower.state.jobs
        counts = {}
        for entry in [*jobs.unfinished.values(), *jobs.finished.values()]:
            by_class = counts.setdefault(entry.state, {})
            name = entry.accepted.request_class
            by_class[name] = by_class.get(name, 0) + 1
        workers = self.workers
        return {
            "jobs": counts,
            "impossible": sorted(
                job.accepted.job
                for job in jobs.unfinished.values()
                if self._is_impossible(job, workers)
            ),
            "workers": len(workers),
            "workers_not_used": sorted(
                worker.name for worker in workers if not worker.is_usable
            ),
        }

    def impossible_reason(self, job):
        """Return why no worker is large enough for a job; empty if one is.

        Parameters
        ----------
        job : cranberryport.state.jobs.Job
            Waiting job, or one that is about to be accepted.

        Returns
        -------
        str
            Reason for the caller.
        """
        workers = self.workers
        if not self._is_impossible(job, workers):
            return ""
        largest = max(worker.sizes for worker in workers)
        sizes = placement.declared_sizes(job)
        return (
            f"processors, memory_mb and accelerators {list(sizes)} are more than any "
            f"worker has; the largest has {list(largest)}"
        )

    @staticmethod
    def _is_impossible(job, workers):
        sizes = placement.declared_sizes(job)
        return job.state == "waiting" and placement.is_impossible(sizes, workers)

    def _to_worker(self, entry, is_excluded, now):
        watch = self._watches.get(entry["name"])
        is_unavailable = watch is not None and (
            now < watch.refused_until or watch.failed_since is not None
        )
        is_live = entry.get("status") == "live"
        return placement.Worker(
            name=entry["name"],
            rack=entry.get("rack", ""),
            processors=entry.get("processors", 0),
            memory_mb=entry.get("memory_mb", 0),
            accelerators=entry.get("accelerators", 0),
            is_usable=is_live and not is_excluded and not is_unavailable,
        )

    @handler("started", channel="*")
    def _on_started(self, *_):
        self._timers.after(PLACEMENT_INTERVAL_S, self._place_regularly)
        self._timers.after(WORKER_CHECK_INTERVAL_S, self._check_workers)

    @handler("folded", channel="*")
    def _on_folded(self, offset, body, outcomes):
        for outcome in outcomes:
            if type(outcome).__name__ == "Accepted":
                self._on_job_record(outcome.record)

    def _on_job_record(self, record):
        if not isinstance(record, JOB_RECORDS):
            return
        self._placed_cache_state = None
        if isinstance(record, messages.JobPlaced):
            self._placement_progress_at = time.monotonic()
            return
        self._is_run_due = True
        if isinstance(record, messages.JobFailed):
            self._failures.record_failure(record.worker, record.job, time.monotonic())
        elif isinstance(record, messages.JobFinished):
            self._on_job_finished(record)
        elif isinstance(record, messages.JobCancelled):
            self._on_job_cancelled(record)

    def _on_job_finished(self, record):
        job = self._follower.state.jobs.get(record.job)
        if job is None:
            return
        self._failures.record_success(job.worker)
        if self._usage_ratios is not None:
            self._usage_ratios.observe(job)

    def _on_job_cancelled(self, record):
        """Make a poll of the job's worker due; the poll stops cancelled tasks."""
        job = self._follower.state.jobs.get(record.job)
        if job is not None and job.worker in self._watches:
            self._watches[job.worker].polled_at = float("-inf")

    @property
    def _may_act(self):
        return self._session_keeper.is_open and self._follower.has_dispatch_right

    def _place_regularly(self):
        self._timers.after(PLACEMENT_INTERVAL_S, self._place_regularly)
        if self._may_act:
            self._place_if_due(time.monotonic())

    def _placed_by_worker(self):
        state = self._follower.state
        if self._placed_cache_state is not state:
            self._placed_cache = {}
            for job in state.jobs.unfinished.values():
                if job.state == "placed":
                    self._placed_cache.setdefault(job.worker, []).append(job)
            self._placed_cache_state = state
        return self._placed_cache

    def _is_responsible(self, worker):
        sessions = tuple(self._follower.state.sessions.live_ids())
        if sessions != self._responsible_among:
            self._responsible_among = sessions
            self._responsible_sessions = {}
        if worker not in self._responsible_sessions:
            self._responsible_sessions[worker] = responsible_session(worker, sessions)
        return self._responsible_sessions[worker] == self._session_keeper.session

    def _get_watch(self, name):
        return self._watches.setdefault(name, WorkerWatch())

    # Polling workers and reporting how their tasks ended

    def _check_workers(self):
        self._timers.after(WORKER_CHECK_INTERVAL_S, self._check_workers)
        if not self._may_act:
            return
        now = time.monotonic()
        entries = {entry["name"]: entry for entry in self._instance_list.workers()}
        placed = self._placed_by_worker()
        self._poll_due_workers(entries, placed, now)
        self._requeue_jobs_of_unlisted_workers(entries, placed, now)
        for name in [name for name in self._usage if name not in placed]:
            del self._usage[name]
        for name in set(self._watches) - set(entries) - set(placed):
            del self._watches[name]

    def _poll_due_workers(self, entries, placed, now):
        due = []
        for name in entries:
            watch = self._get_watch(name)
            is_responsible = self._is_responsible(name)
            if not is_responsible:
                watch.failed_since = None
            is_busy = name in placed or watch.failed_since is not None
            interval_s = POLL_INTERVAL_S if is_busy else IDLE_POLL_INTERVAL_S
            if is_responsible and now - watch.polled_at >= interval_s:
                due.append((watch.polled_at, name, self._poll_tasks))
            # The session of rank 0 places jobs and needs the usage of all workers that
            # run any.
            needs_usage = name in placed and (
                is_responsible or self._session_keeper.rank == 0
            )
            if needs_usage and now - watch.usage_at >= USAGE_INTERVAL_S:
                due.append((watch.usage_at, name, self._poll_usage))
        due.sort(key=lambda entry: entry[0])
        for _, name, poll in due[:POLLS_PER_CHECK]:
            poll(entries[name], now)

    def _poll_tasks(self, entry, now):
        self._get_watch(entry["name"]).polled_at = now
        self._workers.request_tasks(entry)

    def _poll_usage(self, entry, now):
        self._get_watch(entry["name"]).usage_at = now
        self._workers.request_usage(entry)

    def _requeue_jobs_of_unlisted_workers(self, entries, placed, now):
        """Treat unlisted workers with placed jobs like workers that do not answer."""
        if not entries:
            # An empty list is more likely a fault of the list than the loss of all.
            return
        for name in set(placed) - set(entries):
            if self._is_responsible(name):
                self._record_unreachable(name, now)

    def _record_unreachable(self, name, now):
        watch = self._get_watch(name)
        if watch.failed_since is None:
            watch.failed_since = now
        elif now - watch.failed_since >= WORKER_LOST_AFTER_S:
            for job in self._jobs_on(name):
                _logger.warning("worker %s cannot be reached; requeueing a job", name)
                self._requeue_job(job)

    def _requeue_job(self, job, checkpoint=None):
        """Propose that a job waits again, without counting a failed attempt.

        Parameters
        ----------
        job : cranberryport.state.jobs.Job
            Placed job whose task does not run any more.
        checkpoint : str or None
            Checkpoint for the next attempt; None for the last one that is recorded.
        """
        record = messages.JobCheckpointed(
            job=job.accepted.job,
            term=job.term,
            checkpoint=job.checkpoint if checkpoint is None else checkpoint,
        )
        self._propose_once(record)

    @handler("exchange_done")
    def _on_exchange_done(self, exchange):
        self._workers.keep_connection(exchange)
        call = exchange.context
        reply = worker_client.parse_reply(exchange.result)
        if not self._session_keeper.is_open:
            return
        if call.action == "tasks":
            self._on_tasks_reply(call, reply)
        elif call.action == "usage":
            self._on_usage_reply(call, reply)
        elif call.action == "start":
            self._on_start_reply(call, reply)
        elif call.action == "checkpoint":
            self._on_checkpoint_reply(call, reply)
        # Only a stop that is part of a preemption has a context, the checkpoint.
        elif call.action == "stop" and call.context is not None:
            self._on_stop_reply(call, reply)

    def _worker_entry(self, name):
        entry = self._instance_list.entries.get(name)
        return entry if entry and entry.get("kind") == "worker" else None

    def _jobs_on(self, name):
        return self._placed_by_worker().get(name, [])

    def _on_tasks_reply(self, call, reply):
        name, now = call.worker, time.monotonic()
        if not self._may_act or not self._is_responsible(name):
            return
        if reply.status != 200 or not isinstance(reply.fields.get("tasks"), list):
            self._record_unreachable(name, now)
            return
        watch = self._get_watch(name)
        watch.failed_since = None
        entry = self._worker_entry(name)
        if entry is None:
            return
        tasks = {task["id"]: task for task in reply.fields["tasks"]}
        for task in tasks.values():
            self._check_task(entry, task)
        self._check_jobs_not_running(entry, watch, tasks, now)

    def _check_task(self, entry, task):
        job = self._follower.state.jobs.get(task["id"])
        if job is None or task["term"] > job.term:
            # This session has not yet folded the placement, or the control state no
            # longer holds the job; in that case the end of the lease ends the task.
            return
        is_current = (
            job.state == "placed"
            and job.worker == entry["name"]
            and job.term == task["term"]
        )
        if is_current:
            self._handle_current_task(entry, job, task)
        elif task["state"] == "running":
            self._workers.stop(entry, task=task["id"], term=task["term"])

    def _handle_current_task(self, entry, job, task):
        name, term = job.accepted.job, job.term
        if task["state"] == "running":
            if task.get("lease_left_s", 0.0) < RENEW_LEASE_BELOW_S:
                self._workers.renew(entry, task=name, term=term, lease_s=TASK_LEASE_S)
        elif task["state"] == "finished":
            self._propose_finished(entry, job, task)
        elif task["state"] == "failed":
            self._propose_failed(entry, job, str(task.get("reason", "")))

    def _propose_finished(self, entry, job, task):
        result = _result_text(task.get("result"))
        size = len(result.encode())
        if size > RESULT_LIMIT_BYTES:
            limit = RESULT_LIMIT_BYTES
            reason = f"the result has {size} bytes; at most {limit} are kept"
            self._propose_failed(entry, job, reason)
            return
        record = messages.JobFinished(
            job=job.accepted.job,
            term=job.term,
            result=result,
            processors_used=float(task.get("processors_used", 0.0)),
            memory_mb_used=int(task.get("memory_mb_used", 0)),
            runtime_s=float(task.get("runtime_s", 0.0)),
        )
        self._propose_once(record)

    def _propose_failed(self, entry, job, reason):
        record = messages.JobFailed(
            job=job.accepted.job, term=job.term, worker=entry["name"], reason=reason
        )
        self._propose_once(record)

    def _check_jobs_not_running(self, entry, watch, tasks, now):
        """Start tasks that the worker never got; requeue jobs whose task was ended."""
        not_running = {}
        for job in self._jobs_on(entry["name"]):
            task = tasks.get(job.accepted.job)
            is_missing = task is None or task["term"] < job.term
            if not is_missing and task["state"] not in ENDED_STATES:
                continue
            key = (job.accepted.job, job.term)
            not_running[key] = watch.not_running_since.get(key, now)
            if now - not_running[key] < NOT_RUNNING_GRACE_S:
                continue
            if is_missing:
                self._start_task(entry, job)
            else:
                # The end of a lease or a reboot of the worker is no failure of the job.
                self._requeue_job(job)
        watch.not_running_since = not_running

    def _on_usage_reply(self, call, reply):
        used = reply.fields.get("used")
        tasks = used.get("tasks") if isinstance(used, dict) else None
        if reply.status == 200 and isinstance(tasks, dict):
            self._usage[call.worker] = {
                task: {name: sizes.get(name, 0) for name in placement.SIZES}
                for task, sizes in tasks.items()
            }

    # Placing jobs

    def _placement_desks(self):
        if self._usage_ratios is None:
            self._usage_ratios = placement.UsageRatios()
            for job in self._follower.state.jobs.finished.values():
                if job.state == "finished":
                    self._usage_ratios.observe(job)
        names = {
            job.accepted.desk for job in self._follower.state.jobs.unfinished.values()
        }
        configuration = self._follower.state.configuration
        return {
            name: self._to_placement_desk(configuration.desk(name)) for name in names
        }

    def _to_placement_desk(self, desk):
        return self._usage_ratios.desk(desk.name, weight=desk.weight, quota=desk.quota)

    def _place_if_due(self, now):
        running = sum(map(len, self._placed_by_worker().values()))
        if len(self._follower.state.jobs.unfinished) == running:
            self._placement_progress_at = now
            return
        if now - self._placement_progress_at < self._session_keeper.rank * RANK_DELAY_S:
            return
        # Without a change of the jobs a placement becomes possible only through the
        # workers, for example when an exclusion ends.
        if not self._is_run_due and now - self._last_run_at < RANK_DELAY_S:
            return
        self._is_run_due = False
        self._last_run_at = now
        self._drop_ended_preemptions(now)
        for chosen in self._choose_placements():
            if chosen.preempts:
                self._start_preemption(chosen, now)
            else:
                job = self._follower.state.jobs.unfinished[chosen.job]
                self._propose_placement(job, chosen.worker)

    def _choose_placements(self):
        return placement.place(
            self._placeable_jobs(),
            self.workers,
            usage=self._usage,
            desks=self._placement_desks(),
            now=time.time(),
        )

    def _propose_placement(self, job, worker):
        record = messages.JobPlaced(
            job=job.accepted.job,
            worker=worker,
            term=job.term + 1,
            by=self._session_keeper.session,
        )
        self._propose_once(record)

    def _placeable_jobs(self):
        """Return the unfinished jobs; those with a pending placement as placed."""
        pending = {name: entry[0] for name, entry in self._preemptions.items()}
        for record in self._proposed.values():
            if isinstance(record, messages.JobPlaced):
                pending[record.job] = record.worker
        return [
            self._as_placed(job, pending)
            for job in self._follower.state.jobs.unfinished.values()
        ]

    @staticmethod
    def _as_placed(job, pending):
        worker = pending.get(job.accepted.job)
        if worker is None or job.state != "waiting":
            return job
        return dataclasses.replace(job, state="placed", worker=worker)

    # Preemption. Each preempted job is checkpointed, stopped and requeued by a
    # JobCheckpointed record. The rush job is placed once all of them wait again.

    def _start_preemption(self, chosen, now):
        entry = self._worker_entry(chosen.worker)
        jobs = self._follower.state.jobs
        victims = [jobs.get(name) for name in chosen.preempts]
        if entry is None:
            return
        keys = {(job.accepted.job, job.term) for job in victims}
        self._preemptions[chosen.job] = (chosen.worker, keys, now)
        for job in victims:
            _logger.info(
                "preempting job %s on worker %s", job.accepted.job, chosen.worker
            )
            self._workers.checkpoint(entry, task=job.accepted.job, term=job.term)

    def _drop_ended_preemptions(self, now):
        jobs = self._follower.state.jobs
        for name, (_, victims, since) in list(self._preemptions.items()):
            is_unfinished = any(
                job is not None and job.state == "placed" and job.term == term
                for job, term in ((jobs.get(victim), term) for victim, term in victims)
            )
            if not is_unfinished or now - since > PREEMPTION_TIMEOUT_S:
                del self._preemptions[name]
                self._is_run_due = True

    def _on_checkpoint_reply(self, call, reply):
        entry = self._worker_entry(call.worker)
        if reply.status != 200 or entry is None:
            return
        checkpoint = str(reply.fields.get("checkpoint", ""))
        self._workers.stop(entry, task=call.task, term=call.term, context=checkpoint)

    def _on_stop_reply(self, call, reply):
        job = self._follower.state.jobs.unfinished.get(call.task)
        if reply.status != 200 or job is None or job.term != call.term:
            return
        if reply.fields.get("state") == "stopped":
            self._requeue_job(job, checkpoint=call.context)

    # Starting tasks

    def _start_task(self, entry, job):
        desk = self._follower.state.configuration.desk(job.accepted.desk)
        # Creates the usage ratios if there was no placement yet.
        self._placement_desks()
        declared = placement.declared_sizes(job)
        sizes = placement.expected_sizes(job, self._to_placement_desk(desk))
        total = tuple(entry.get(name, 0) for name in placement.SIZES)
        limits = map(max, total, declared)
        self._workers.start(
            entry,
            task=job.accepted.job,
            term=job.term,
            lease_s=TASK_LEASE_S,
            sizes=tuple(map(min, sizes, limits)),
            payload=job.accepted.payload,
            checkpoint=job.checkpoint,
        )

    def _on_start_reply(self, call, reply):
        job = self._follower.state.jobs.unfinished.get(call.task)
        if job is None or job.state != "placed" or job.term != call.term:
            return
        if reply.is_not_run and reply.status != 409:
            # Other workers are tried until the next poll shows what is free here.
            self._get_watch(call.worker).refused_until = (
                time.monotonic() + REFUSAL_PAUSE_S
            )
            self._requeue_job(job)
        elif 400 <= reply.status < 500 and reply.status != 409:
            reason = str(reply.fields.get("error", f"status {reply.status}"))
            self._propose_failed({"name": call.worker}, job, reason)
        # Status 409 means that the worker has seen a later term than this session has
        # folded. Without an answer the task may have been started; the next poll shows
        # whether it was.

    def _propose_once(self, record):
        """Propose a record unless the same proposal is still undecided."""
        key = (type(record).__name__, record.job, record.term)
        if key in self._proposed:
            return
        self._proposed[key] = record
        log_writer_events.propose(
            self, record, context=key, timeout_s=DECISION_TIMEOUT_S
        )

    @handler("decided")
    def _on_decided(self, ticket, outcome):
        record = self._proposed.pop(ticket.context, None)
        if not isinstance(record, messages.JobPlaced):
            return
        self._is_run_due = True
        if type(outcome).__name__ != "Accepted" or not self._may_act:
            return
        job = self._follower.state.jobs.unfinished.get(record.job)
        entry = self._worker_entry(record.worker)
        is_current = job is not None and (job.state, job.term) == (
            "placed",
            record.term,
        )
        if is_current and entry is not None:
            self._start_task(entry, job)
