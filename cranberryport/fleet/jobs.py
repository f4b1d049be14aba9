"""Places jobs on workers, watches their tasks and reports how they ended."""

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

# Urgent work starts within 1.5 s; the tick is its largest delay here.
TICK_S = 0.25
WATCH_INTERVAL_S = 1.0
APPEND_LIFETIME_S = 10.0
RANK_DELAY_S = 1.0
# Long enough for a new session to take over the renewals of an ended one: 6 s of
# silence, the votes, and two polls.
LEASE_S = 20.0
RENEWAL_LEFT_S = 12.0
POLL_INTERVAL_S = 2.0
IDLE_POLL_INTERVAL_S = 30.0
USAGE_INTERVAL_S = 5.0
# Bounds the sockets that one tick opens at 840 workers.
POLLS_LIMIT = 32
# The placer itself starts the task, and a preemption stops it before its record is
# folded; others wait before they act on what they see.
PATIENCE_S = 3.0
# A worker that cannot be reached has ended its tasks when their leases are over. The
# last renewal of an earlier session can come 4 s (dispatch right) and 3 s (request)
# after the own first failure.
LOST_AFTER_S = LEASE_S + 8.0
# A worker that refused a start is tried again with the next usage.
REFUSAL_S = 10.0
PREEMPTION_PATIENCE_S = 5.0
# Results stay in the state and in every snapshot.
RESULT_LIMIT_BYTES = 16 * 1024
# States of a task that was ended from outside.
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


def responsible(worker, sessions):
    """Return the session that watches a worker (rendezvous hashing).

    Parameters
    ----------
    worker : str
        Name of the worker.
    sessions : tuple of str
        Live sessions; an end moves only the workers of the ended session.
    """
    return max(sessions, key=lambda session: _score(worker, session), default="")


@functools.lru_cache(maxsize=16_384)
def _score(worker, session):
    text = f"{session}/{worker}".encode()
    return hashlib.blake2b(text, digest_size=8).digest(), session


def _result_text(value):
    return value if isinstance(value, str) else json.dumps(value)


class Watch:
    """What this process knows about one worker.

    Attributes
    ----------
    polled_at, usage_at : float
        Monotonic times of the last requests.
    failed_since : float or None
        Monotonic time of the first of the failed polls in a row.
    idle_since : dict
        By job and term, monotonic time since which its task is not on the worker or
        has ended without a result.
    refused_until : float
        Monotonic time until which no job is placed there.
    """

    __slots__ = (
        "failed_since",
        "idle_since",
        "polled_at",
        "refused_until",
        "usage_at",
    )

    def __init__(self):
        self.polled_at = float("-inf")
        self.usage_at = float("-inf")
        self.failed_since = None
        self.idle_since = {}
        self.refused_until = float("-inf")


class JobManager(BaseComponent):
    """Runs the jobs of the folded state on the workers.

    The lowest rank places waiting jobs. The tasks of a worker are watched by the
    session that rendezvous hashing gives, whoever placed them, so that jobs outlive
    the instance that placed them.

    Parameters
    ----------
    follower : cranberryport.stream.log_follower.LogFollower
        Control state.
    session_keeper : cranberryport.stream.session_keeper.SessionKeeper
        Own session and rank.
    instance_list : cranberryport.fleet.instance_list.InstanceList
        Latest list of the platform.
    timers : cranberryport.timers.Timers
        For the regular check.
    client : cranberryport.http.connection.Client
        Owner of the sockets.
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
        self._watches = {}
        self._usage = {}
        self._proposed = {}
        self._preempting = {}
        self._failures = placement.WorkerFailures()
        self._usage_ratios = None
        self._progress_at = 0.0
        self._pass_at = 0.0
        self._is_changed = True
        self._placed = {}
        self._placed_state = None
        self._owners = {}
        self._owner_sessions = ()

    @property
    def workers(self):
        """List of :class:`placement.Worker` with their present use."""
        entries = self._instance_list.workers()
        now = time.monotonic()
        excluded = self._failures.excluded([entry["name"] for entry in entries], now)
        return [
            self._to_worker(entry, entry["name"] in excluded, now) for entry in entries
        ]

    def status(self):
        """Return counts of jobs for the admin page, as plain data."""
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
        """Return why no worker can ever run a job; empty if one can.

        Parameters
        ----------
        job : cranberryport.state.jobs.Job
            Waiting job, or one that is about to be accepted.
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

    def _to_worker(self, entry, is_avoided, now):
        watch = self._watches.get(entry["name"])
        is_refusing = watch is not None and (
            now < watch.refused_until or watch.failed_since is not None
        )
        is_live = entry.get("status") == "live"
        return placement.Worker(
            name=entry["name"],
            rack=entry.get("rack", ""),
            processors=entry.get("processors", 0),
            memory_mb=entry.get("memory_mb", 0),
            accelerators=entry.get("accelerators", 0),
            is_usable=is_live and not is_avoided and not is_refusing,
        )

    @handler("started", channel="*")
    def _on_started(self, *_):
        self._timers.after(TICK_S, self._tick)
        self._timers.after(WATCH_INTERVAL_S, self._watch_workers)

    @handler("folded", channel="*")
    def _on_folded(self, offset, body, outcomes):
        for outcome in outcomes:
            if type(outcome).__name__ == "Accepted":
                self._note(outcome.record)

    def _note(self, record):
        if not isinstance(record, JOB_RECORDS):
            return
        self._placed_state = None
        if isinstance(record, messages.JobPlaced):
            self._progress_at = time.monotonic()
            return
        self._is_changed = True
        if isinstance(record, messages.JobFailed):
            self._failures.record_failure(record.worker, record.job, time.monotonic())
        elif isinstance(record, messages.JobFinished):
            self._note_finished(record)
        elif isinstance(record, messages.JobCancelled):
            self._note_cancelled(record)

    def _note_finished(self, record):
        job = self._follower.state.jobs.get(record.job)
        if job is None:
            return
        self._failures.record_success(job.worker)
        if self._usage_ratios is not None:
            self._usage_ratios.observe(job)

    def _note_cancelled(self, record):
        """Poll the job's worker soon; the poll stops all its cancelled tasks."""
        job = self._follower.state.jobs.get(record.job)
        if job is not None and job.worker in self._watches:
            self._watches[job.worker].polled_at = float("-inf")

    @property
    def _may_act(self):
        return self._session_keeper.is_open and self._follower.has_dispatch_right

    def _tick(self):
        self._timers.after(TICK_S, self._tick)
        if self._may_act:
            self._place(time.monotonic())

    def _placed_by_worker(self):
        state = self._follower.state
        if self._placed_state is not state:
            self._placed = {}
            for job in state.jobs.unfinished.values():
                if job.state == "placed":
                    self._placed.setdefault(job.worker, []).append(job)
            self._placed_state = state
        return self._placed

    def _is_mine(self, worker):
        sessions = tuple(self._follower.state.sessions.live_ids())
        if sessions != self._owner_sessions:
            self._owner_sessions = sessions
            self._owners = {}
        if worker not in self._owners:
            self._owners[worker] = responsible(worker, sessions)
        return self._owners[worker] == self._session_keeper.session

    def _watch(self, name):
        return self._watches.setdefault(name, Watch())

    # Watching the tasks of workers

    def _watch_workers(self):
        self._timers.after(WATCH_INTERVAL_S, self._watch_workers)
        if not self._may_act:
            return
        now = time.monotonic()
        entries = {entry["name"]: entry for entry in self._instance_list.workers()}
        placed = self._placed_by_worker()
        self._poll(entries, placed, now)
        self._return_from_gone_workers(entries, placed, now)
        for name in [name for name in self._usage if name not in placed]:
            del self._usage[name]
        for name in set(self._watches) - set(entries) - set(placed):
            del self._watches[name]

    def _poll(self, entries, placed, now):
        due = []
        for name in entries:
            watch = self._watch(name)
            is_mine = self._is_mine(name)
            if not is_mine:
                watch.failed_since = None
            is_busy = name in placed or watch.failed_since is not None
            interval_s = POLL_INTERVAL_S if is_busy else IDLE_POLL_INTERVAL_S
            if is_mine and now - watch.polled_at >= interval_s:
                due.append((watch.polled_at, name, self._poll_tasks))
            # The placer needs the usage of all workers, but only where jobs run.
            needs_usage = name in placed and (is_mine or self._session_keeper.rank == 0)
            if needs_usage and now - watch.usage_at >= USAGE_INTERVAL_S:
                due.append((watch.usage_at, name, self._poll_usage))
        due.sort(key=lambda entry: entry[0])
        for _, name, poll in due[:POLLS_LIMIT]:
            poll(entries[name], now)

    def _poll_tasks(self, entry, now):
        self._watch(entry["name"]).polled_at = now
        self._workers.tasks(entry)

    def _poll_usage(self, entry, now):
        self._watch(entry["name"]).usage_at = now
        self._workers.usage(entry)

    def _return_from_gone_workers(self, entries, placed, now):
        """Let jobs wait again whose worker is no longer listed."""
        if not entries:
            # An empty list says more about the list than about the workers.
            return
        for name in set(placed) - set(entries):
            if self._is_mine(name):
                self._note_unreachable(name, now)

    def _note_unreachable(self, name, now):
        watch = self._watch(name)
        if watch.failed_since is None:
            watch.failed_since = now
        elif now - watch.failed_since >= LOST_AFTER_S:
            for job in self._jobs_on(name):
                _logger.warning("worker %s is lost, job waits again", name)
                self._return_job(job)

    def _return_job(self, job, checkpoint=None):
        """Let a job wait again whose task does not run; no failure is counted."""
        record = messages.JobCheckpointed(
            job=job.accepted.job,
            term=job.term,
            checkpoint=job.checkpoint if checkpoint is None else checkpoint,
        )
        self._append(record)

    @handler("exchange_done")
    def _on_exchange_done(self, exchange):
        self._workers.release(exchange)
        call = exchange.context
        reply = worker_client.parse_reply(exchange.result)
        if not self._session_keeper.is_open:
            return
        if call.action == "tasks":
            self._on_tasks(call, reply)
        elif call.action == "usage":
            self._on_usage(call, reply)
        elif call.action == "start":
            self._on_start(call, reply)
        elif call.action == "checkpoint":
            self._on_checkpoint(call, reply)
        elif call.action == "stop" and call.context is not None:
            self._on_preempted(call, reply)

    def _entry(self, name):
        entry = self._instance_list.entries.get(name)
        return entry if entry and entry.get("kind") == "worker" else None

    def _jobs_on(self, name):
        return self._placed_by_worker().get(name, [])

    def _on_tasks(self, call, reply):
        name, now = call.worker, time.monotonic()
        if not self._may_act or not self._is_mine(name):
            return
        if reply.status != 200 or not isinstance(reply.fields.get("tasks"), list):
            self._note_unreachable(name, now)
            return
        watch = self._watch(name)
        watch.failed_since = None
        entry = self._entry(name)
        if entry is None:
            return
        tasks = {task["id"]: task for task in reply.fields["tasks"]}
        for task in tasks.values():
            self._check_task(entry, task)
        self._check_idle(entry, watch, tasks, now)

    def _check_task(self, entry, task):
        job = self._follower.state.jobs.get(task["id"])
        if job is None or task["term"] > job.term:
            # The own view is older than the task, or the job is forgotten; the lease
            # ends the task then.
            return
        is_current = (
            job.state == "placed"
            and job.worker == entry["name"]
            and job.term == task["term"]
        )
        if is_current:
            self._report(entry, job, task)
        elif task["state"] == "running":
            self._workers.stop(entry, task=task["id"], term=task["term"])

    def _report(self, entry, job, task):
        name, term = job.accepted.job, job.term
        if task["state"] == "running":
            if task.get("lease_left_s", 0.0) < RENEWAL_LEFT_S:
                self._workers.renew(entry, task=name, term=term, lease_s=LEASE_S)
        elif task["state"] == "finished":
            self._report_finished(entry, job, task)
        elif task["state"] == "failed":
            self._report_failed(entry, job, str(task.get("reason", "")))

    def _report_finished(self, entry, job, task):
        result = _result_text(task.get("result"))
        size = len(result.encode())
        if size > RESULT_LIMIT_BYTES:
            limit = RESULT_LIMIT_BYTES
            reason = f"the result has {size} bytes; at most {limit} are kept"
            self._report_failed(entry, job, reason)
            return
        record = messages.JobFinished(
            job=job.accepted.job,
            term=job.term,
            result=result,
            processors_used=float(task.get("processors_used", 0.0)),
            memory_mb_used=int(task.get("memory_mb_used", 0)),
            runtime_s=float(task.get("runtime_s", 0.0)),
        )
        self._append(record)

    def _report_failed(self, entry, job, reason):
        record = messages.JobFailed(
            job=job.accepted.job, term=job.term, worker=entry["name"], reason=reason
        )
        self._append(record)

    def _check_idle(self, entry, watch, tasks, now):
        """Start tasks that the worker never saw; return jobs whose task was ended."""
        idle = {}
        for job in self._jobs_on(entry["name"]):
            task = tasks.get(job.accepted.job)
            is_missing = task is None or task["term"] < job.term
            if not is_missing and task["state"] not in ENDED_STATES:
                continue
            key = (job.accepted.job, job.term)
            idle[key] = watch.idle_since.get(key, now)
            if now - idle[key] < PATIENCE_S:
                continue
            if is_missing:
                self._start(entry, job)
            else:
                # A lapsed lease or a reboot is no failure of the job.
                self._return_job(job)
        watch.idle_since = idle

    def _on_usage(self, call, reply):
        used = reply.fields.get("used")
        tasks = used.get("tasks") if isinstance(used, dict) else None
        if reply.status == 200 and isinstance(tasks, dict):
            self._usage[call.worker] = {
                task: {name: sizes.get(name, 0) for name in placement.SIZES}
                for task, sizes in tasks.items()
            }

    # Placing

    def _desks(self):
        if self._usage_ratios is None:
            self._usage_ratios = placement.UsageRatios()
            for job in self._follower.state.jobs.finished.values():
                if job.state == "finished":
                    self._usage_ratios.observe(job)
        names = {
            job.accepted.desk for job in self._follower.state.jobs.unfinished.values()
        }
        configuration = self._follower.state.configuration
        return {name: self._desk(configuration.desk(name)) for name in names}

    def _desk(self, desk):
        return self._usage_ratios.desk(desk.name, weight=desk.weight, quota=desk.quota)

    def _place(self, now):
        running = sum(map(len, self._placed_by_worker().values()))
        if len(self._follower.state.jobs.unfinished) == running:
            self._progress_at = now
            return
        if now - self._progress_at < self._session_keeper.rank * RANK_DELAY_S:
            return
        # Without a change in the state, only the passing of an avoidance makes room.
        if not self._is_changed and now - self._pass_at < RANK_DELAY_S:
            return
        self._is_changed = False
        self._pass_at = now
        self._forget_preemptions(now)
        for chosen in self._choose():
            if chosen.preempts:
                self._preempt(chosen, now)
            else:
                job = self._follower.state.jobs.unfinished[chosen.job]
                self._propose(job, chosen.worker)

    def _choose(self):
        return placement.place(
            self._placeable_jobs(),
            self.workers,
            usage=self._usage,
            desks=self._desks(),
            now=time.time(),
        )

    def _propose(self, job, worker):
        record = messages.JobPlaced(
            job=job.accepted.job,
            worker=worker,
            term=job.term + 1,
            by=self._session_keeper.session,
        )
        self._append(record)

    def _placeable_jobs(self):
        """Return unfinished jobs; those under way count where they will be."""
        under_way = {name: entry[0] for name, entry in self._preempting.items()}
        for record in self._proposed.values():
            if isinstance(record, messages.JobPlaced):
                under_way[record.job] = record.worker
        return [
            self._as_placed(job, under_way)
            for job in self._follower.state.jobs.unfinished.values()
        ]

    @staticmethod
    def _as_placed(job, under_way):
        worker = under_way.get(job.accepted.job)
        if worker is None or job.state != "waiting":
            return job
        return dataclasses.replace(job, state="placed", worker=worker)

    # Preemption: checkpoint, stop, then JobCheckpointed; the rush job is placed when
    # all its victims wait again.

    def _preempt(self, chosen, now):
        entry = self._entry(chosen.worker)
        jobs = self._follower.state.jobs
        victims = [jobs.get(name) for name in chosen.preempts]
        if entry is None:
            return
        keys = {(job.accepted.job, job.term) for job in victims}
        self._preempting[chosen.job] = (chosen.worker, keys, now)
        for job in victims:
            _logger.info("preempt job %s on %s", job.accepted.job, chosen.worker)
            self._workers.checkpoint(entry, task=job.accepted.job, term=job.term)

    def _forget_preemptions(self, now):
        jobs = self._follower.state.jobs
        for name, (_, victims, since) in list(self._preempting.items()):
            is_open = any(
                job is not None and job.state == "placed" and job.term == term
                for job, term in ((jobs.get(victim), term) for victim, term in victims)
            )
            if not is_open or now - since > PREEMPTION_PATIENCE_S:
                del self._preempting[name]
                self._is_changed = True

    def _on_checkpoint(self, call, reply):
        entry = self._entry(call.worker)
        if reply.status != 200 or entry is None:
            return
        checkpoint = str(reply.fields.get("checkpoint", ""))
        self._workers.stop(entry, task=call.task, term=call.term, context=checkpoint)

    def _on_preempted(self, call, reply):
        job = self._follower.state.jobs.unfinished.get(call.task)
        if reply.status != 200 or job is None or job.term != call.term:
            return
        if reply.fields.get("state") == "stopped":
            self._return_job(job, checkpoint=call.context)

    # Starting

    def _start(self, entry, job):
        desk = self._follower.state.configuration.desk(job.accepted.desk)
        self._desks()
        declared = placement.declared_sizes(job)
        sizes = placement.expected_sizes(job, self._desk(desk))
        total = tuple(entry.get(name, 0) for name in placement.SIZES)
        limits = map(max, total, declared)
        self._workers.start(
            entry,
            task=job.accepted.job,
            term=job.term,
            lease_s=LEASE_S,
            sizes=tuple(map(min, sizes, limits)),
            payload=job.accepted.payload,
            checkpoint=job.checkpoint,
        )

    def _on_start(self, call, reply):
        job = self._follower.state.jobs.unfinished.get(call.task)
        if job is None or job.state != "placed" or job.term != call.term:
            return
        if reply.is_not_run and reply.status != 409:
            # The next usage tells what is free there; until then others are tried.
            self._watch(call.worker).refused_until = time.monotonic() + REFUSAL_S
            self._return_job(job)
        elif 400 <= reply.status < 500 and reply.status != 409:
            reason = str(reply.fields.get("error", f"status {reply.status}"))
            self._report_failed({"name": call.worker}, job, reason)
        # After 409 the worker has seen a later term than the own view. Without an
        # answer the task may run; the next poll shows it.

    def _append(self, record):
        """Append a record unless the same proposal is still undecided."""
        key = (type(record).__name__, record.job, record.term)
        if key in self._proposed:
            return
        self._proposed[key] = record
        log_writer_events.propose(
            self, record, context=key, lifetime_s=APPEND_LIFETIME_S
        )

    @handler("decided")
    def _on_decided(self, ticket, outcome):
        record = self._proposed.pop(ticket.context, None)
        if not isinstance(record, messages.JobPlaced):
            return
        self._is_changed = True
        if type(outcome).__name__ != "Accepted" or not self._may_act:
            return
        job = self._follower.state.jobs.unfinished.get(record.job)
        entry = self._entry(record.worker)
        is_current = job is not None and (job.state, job.term) == (
            "placed",
            record.term,
        )
        if is_current and entry is not None:
            self._start(entry, job)
