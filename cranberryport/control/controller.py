"""The controller: decides for all pools while it holds the control partition."""

import logging
import time

from cranberryport import codec
from cranberryport.control import (
    executor_link,
    instance_manager,
    progress_writer,
    topic_reader,
)
from cranberryport.generated import messages
from cranberryport.platform import executors, store
from cranberryport.scheduling import (
    admission,
    load,
    records,
    scheduler,
    task_planner,
)

# Decisions of this time share an append; an append takes 4 ms and is priced.
STEP_GAP_S = 0.01
TICK_S = 0.05
JOBS_WAIT_S = 1.0
JOBS_GAP_S = 0.02
EXECUTORS_WAIT_S = 1.0
EXECUTORS_GAP_S = 0.1
READ_TIMEOUT_S = 2.0
READ_RETRY_S = 0.1
# An answer that a job is not known needs knowledge at most this old.
KNOWLEDGE_LIMIT_S = 2.0
# Jobs loaded in one piece; at 0.4 ms each the loop goes on after 0.1 s.
LOAD_SLICE = 250
JOB_KEY_PREFIX = "j/"
CANCEL_KEY_PREFIX = "c/"
WAVE_PREFIX = "wave/"
ORDERS_KEY = "orders"
# The advice service takes the calls of a machine in turn and refuses above 32.
ADVICE_CALLS_LIMIT = 4
ADVICE_MARGIN_S = 1.0
FORGET_INTERVAL_S = 10.0
# A hand-in may be repeated some seconds after it was answered, and would be a new job.
FORGET_MARGIN_S = 30.0
FORGET_LIMIT = 200

_logger = logging.getLogger(__name__)


class Controller:
    """Owns the state of all jobs for one epoch.

    Parameters
    ----------
    store_client : store.StoreClient
        The store.
    timers : cranberryport.timers.Timers
        Timers of the process.
    executor_client : executors.ExecutorClient
        Sends orders.
    epoch : int
        Epoch of this controller.
    settings : cranberryport.generated.node_settings.NodeSettings
        Settings.
    instance_client : cranberryport.platform.machines.InstanceClient or None
        Lists and orders instances; None where the platform has no interface for them.
    advice_client : cranberryport.platform.advice.AdviceClient or None
        Asks which executors may run a step; None where there is no such service.
    is_sole_controller : callable
        Returns whether no other process can be the controller.
    on_superseded : callable
        Called without arguments if there is a later controller.
    """

    __slots__ = (
        "_advice_asked",
        "_advice_client",
        "_cancelled",
        "_epoch",
        "_executor_client",
        "_executors_reader",
        "_instance_manager",
        "_has_configuration",
        "_is_ready",
        "_is_stopped",
        "_jobs_readers",
        "_lease_s",
        "_links",
        "_load",
        "_settings",
        "_loading",
        "_next_step",
        "_on_superseded",
        "_planner",
        "_progress",
        "_scheduler",
        "_started_at",
        "_store",
        "_timers",
        "_unsaved_orders",
        "_unsaved_waves",
        "_waves",
        "_waves_done",
        "_when_orders_saved",
        "_writer",
    )

    def __init__(
        self,
        *,
        store_client,
        timers,
        executor_client,
        epoch,
        settings,
        instance_client,
        advice_client,
        is_sole_controller,
        on_superseded,
    ):
        self._store = store_client
        self._timers = timers
        self._executor_client = executor_client
        self._epoch = epoch
        self._settings = settings
        self._on_superseded = on_superseded
        self._lease_s = min(executor_link.LEASE_S, settings.lease_most_ms / 1000)
        self._started_at = time.monotonic()
        lapses_in_s = scheduler.previous_lease_wait_s(self._lease_s)
        self._scheduler = scheduler.Scheduler(
            previous_leases_expire_at=self._started_at + lapses_in_s
        )
        self._planner = task_planner.TaskPlanner(state=self._scheduler)
        self._load = load.LoadMeter(state=self._scheduler)
        self._links = {}
        self._advice_client = advice_client
        self._advice_asked = set()
        self._waves = []
        self._waves_done = {}
        self._unsaved_waves = {}
        self._unsaved_orders = None
        self._when_orders_saved = []
        self._instance_manager = None
        if instance_client is not None:
            self._instance_manager = instance_manager.InstanceManager(
                scheduler=self._scheduler,
                load_meter=self._load,
                client=instance_client,
                store_client=store_client,
                timers=timers,
                epoch=epoch,
                settings=settings,
                is_sole_controller=is_sole_controller,
                are_executors_known=self._are_executors_known,
                on_superseded=on_superseded,
                on_stops=self.wake,
                save_wave=self._save_wave,
                save_orders=self._save_orders,
            )
        self._progress = {}
        self._cancelled = set()
        self._has_configuration = False
        self._is_ready = False
        self._is_stopped = False
        self._next_step = None
        self._writer = progress_writer.ProgressWriter(
            store_client=store_client,
            timers=timers,
            epoch=epoch,
            on_fenced=on_superseded,
        )
        self._loading = set(range(settings.store_partitions))
        self._jobs_readers = [
            self._make_jobs_reader(number)
            for number in range(settings.store_partitions)
        ]
        self._executors_reader = topic_reader.TopicReader(
            store_client=store_client,
            timers=timers,
            topic=store.EXECUTOR_TOPIC,
            on_snapshot=self._on_executors_snapshot,
            on_records=self._on_executors,
            long_poll_s=EXECUTORS_WAIT_S,
            min_interval_s=EXECUTORS_GAP_S,
        )

    def _are_executors_known(self):
        return self._executors_reader.synced_at is not None

    def _make_jobs_reader(self, partition):
        return topic_reader.TopicReader(
            store_client=self._store,
            timers=self._timers,
            topic=store.JOB_TOPIC,
            on_snapshot=lambda found: self._on_jobs_snapshot(partition, found),
            on_records=self._on_jobs,
            long_poll_s=JOBS_WAIT_S,
            min_interval_s=JOBS_GAP_S,
            partition=partition,
        )

    @property
    def is_ready(self):
        """Whether the state of the previous controller is known."""
        return self._is_ready

    def start(self):
        """Take over: fence the previous controller, read the state, then decide."""
        self._writer.fence(self._read_progress)

    def stop(self):
        """Decide nothing more."""
        self._is_stopped = True
        self._writer.stop()
        for reader in self._jobs_readers:
            reader.stop()
        self._executors_reader.stop()
        if self._instance_manager is not None:
            self._instance_manager.stop()
        for link in self._links.values():
            link.close()

    def set_configuration(self, found):
        """Take a configuration.

        Parameters
        ----------
        found : cranberryport.platform.configuration.Configuration
            The newest version.
        """
        self._has_configuration = True
        self._scheduler.set_queues(found.queues)
        if self._instance_manager is not None:
            self._instance_manager.set_services(found.services)

    def add_wave(self, wave):
        """Take a maintenance wave of the operator."""
        if self._instance_manager is None:
            return
        if not self._is_ready:
            self._waves.append(wave)
            return
        self._instance_manager.add_wave(wave, self._waves_done.get(wave.number, ()))

    def _retry_after_s(self, question):
        rules = self._scheduler.queues.get(question.queue)
        if self._instance_manager is None or rules is None:
            return 0
        if question.job in self._scheduler.jobs:
            # A repeated hand-in of an accepted job is not refused.
            return 0
        now, wall = time.monotonic(), time.time()
        demand = self._load.demand(now, wall)
        processors = self._instance_manager.reachable_processors(
            question.service, demand
        )
        backlog = self._load.backlog_core_s(question.service, rules.priority, now, wall)
        retry_after_s = admission.retry_after_s(
            work_core_s=question.work,
            critical_path_s=question.chain_s,
            rules=rules,
            backlog_core_s=backlog,
            cores=processors,
        )
        if retry_after_s:
            _logger.info(
                "job refused",
                extra={
                    "request": question.job,
                    "queue": question.queue,
                    "pool": question.service,
                    "backlog_core_s": round(backlog, 1),
                    "cores": round(processors, 1),
                    "chain_s": round(question.chain_s, 3),
                    "retry_after_s": retry_after_s,
                },
            )
        else:
            self._load.note_admitted(question.service, rules.priority, question.work)
        return retry_after_s

    def _save_wave(self, wave):
        self._waves_done[wave.number] = set(wave.done_instances)
        self._unsaved_waves[wave.number] = messages.WaveStored(
            job=f"{WAVE_PREFIX}{wave.number}", done=sorted(wave.done_instances)
        )
        self.wake()

    def answer(self, question):
        """Answer a question of an entry instance.

        Parameters
        ----------
        question : JobQuestion, QueueQuestion or AdmissionQuestion
            The question.

        Returns
        -------
        messages.ControllerReply
            Not leading while the state is not known yet.
        """
        reply = messages.ControllerReply(number=question.number, is_leading=False)
        if not self._is_ready or self._is_stopped:
            return reply
        if isinstance(question, messages.QueueQuestion):
            reply.is_leading = self._is_current()
            reply.waiting = self._scheduler.waiting_job_count(question.queue)
            return reply
        if isinstance(question, messages.AdmissionQuestion):
            reply.is_leading = True
            reply.retry_after_s = self._retry_after_s(question)
            return reply
        state = self._scheduler.job_state(question.job)
        reply.is_leading = state is not None or self._is_current()
        reply.state = state or ""
        return reply

    def note_stored(self, message):
        """Take what an entry instance has stored.

        Parameters
        ----------
        message : messages.RecordsStored
            Partition of the jobs, and its end.
        """
        if self._is_ready and 0 <= message.partition < len(self._jobs_readers):
            self._jobs_readers[message.partition].expect(message.end)

    def _save_orders(self, sent, callback):
        self._unsaved_orders = messages.OrdersStored(job=ORDERS_KEY, sent=dict(sent))
        self._when_orders_saved.append(callback)
        self.wake()

    def _is_current(self):
        oldest = time.monotonic() - KNOWLEDGE_LIMIT_S
        return all(
            reader.synced_at is not None and reader.synced_at > oldest
            for reader in self._jobs_readers
        )

    # Taking over

    def _read_progress(self):
        if self._is_stopped:
            return
        self._store.read_newest(
            store.PROGRESS_TOPIC,
            callback=self._on_progress,
            timeout_s=READ_TIMEOUT_S,
        )

    def _on_progress(self, result):
        if self._is_stopped:
            return
        if not isinstance(result, store.NewestRecords):
            is_new = isinstance(result, store.Refused) and result.status == 404
            if not is_new:
                _logger.warning("cannot read", extra={"reason": str(result)})
                self._timers.after(READ_RETRY_S, self._read_progress)
                return
            result = store.NewestRecords(records=[], end=0)
        for key, value in result.records:
            if key.startswith(WAVE_PREFIX):
                record = _decode(key, value, messages.WaveStored)
                if record is not None:
                    number = int(key.removeprefix(WAVE_PREFIX))
                    self._waves_done[number] = set(record.done)
                continue
            if key == ORDERS_KEY:
                record = _decode(key, value, messages.OrdersStored)
                if record is not None and self._instance_manager is not None:
                    self._instance_manager.restore_orders(record.sent, time.time())
                continue
            record = _decode(key, value, messages.ProgressStored)
            if record is not None:
                self._progress[key] = record
        for reader in self._jobs_readers:
            reader.start()

    def _on_jobs_snapshot(self, partition, found):
        if self._is_ready:
            self._on_jobs(found)
        else:
            self._load_slice(partition, found, 0)

    def _load_slice(self, partition, found, position):
        """Load jobs in slices, so that joins of the group go on in between."""
        if self._is_stopped:
            return
        end = position + LOAD_SLICE
        self._on_jobs(found[position:end])
        if end < len(found):
            self._timers.after(0.0, lambda: self._load_slice(partition, found, end))
            return
        self._loading.discard(partition)
        if not self._loading and not self._is_ready:
            self._become_ready()

    def _become_ready(self):
        self._is_ready = True
        self._progress = {}
        taken_s = time.monotonic() - self._started_at
        _logger.info(
            "controller ready",
            extra={
                "epoch": self._epoch,
                "jobs": len(self._scheduler.jobs),
                "open": len(self._scheduler.open_jobs),
                "taken_s": round(taken_s, 3),
            },
        )
        self._executors_reader.start()
        waiting, self._waves = self._waves, []
        for wave in waiting:
            self.add_wave(wave)
        if self._instance_manager is not None:
            self._instance_manager.start()
        self._tick()
        self._timers.after(FORGET_INTERVAL_S, self._forget_ended)

    def _on_jobs(self, found):
        wall = time.time()
        for key, value in found:
            if not value:
                continue
            if key.startswith(JOB_KEY_PREFIX):
                record = _decode(key, value, messages.JobStored)
                if record is not None:
                    self._add_job(record, wall)
            elif key.startswith(CANCEL_KEY_PREFIX):
                self._cancel(key.removeprefix(CANCEL_KEY_PREFIX), wall)
        self.wake()

    def _add_job(self, record, wall):
        if record.job in self._scheduler.jobs:
            return
        job = records.job_from_record(record)
        progress = self._progress.get(record.job)
        if progress is not None:
            self._scheduler.restore_job(job, progress, wall)
        else:
            self._scheduler.add_job(job, wall)
            _logger.info(
                "job known",
                extra={
                    "request": job.id,
                    "pool": job.service,
                    "queue": job.queue,
                    "age_s": round(wall - job.accepted_at, 3),
                    "chain_s": round(job.critical_path_s, 3),
                },
            )
        if record.job in self._cancelled:
            self._scheduler.cancel_job(record.job, wall)

    def _cancel(self, job_id, wall):
        # The record of a cancel can be read before that of its job.
        self._cancelled.add(job_id)
        self._scheduler.cancel_job(job_id, wall)

    # Executors

    def _on_executors_snapshot(self, found):
        listed = {key for key, value in found if value}
        now = time.monotonic()
        for executor_id in list(self._scheduler.executors):
            if executor_id not in listed:
                self._scheduler.mark_unlisted(executor_id, now)
        self._on_executors(found)

    def _on_executors(self, found):
        now = time.monotonic()
        for key, value in dict(found).items():
            executor = executors.parse_entry(key, value, now)
            if executor is None:
                if value:
                    _logger.warning("unusable entry", extra={"executor": key})
                self._scheduler.mark_unlisted(key, now)
                continue
            known = self._scheduler.executors.get(key)
            births = {
                executor.started_at_ms,
                None if known is None else known.started_at_ms,
            } - {None}
            if known is not None and len(births) == 2:
                self._scheduler.on_executor_restarted(known, executor.started_at_ms)
            kept = self._scheduler.add_or_update_executor(executor, now)
            if kept is None:
                continue
            if kept is not known:
                self._open_link(kept)
        self.wake()

    def _open_link(self, executor):
        previous = self._links.pop(executor.id, None)
        if previous is not None:
            previous.close()
        link = executor_link.ExecutorLink(
            executor=executor,
            scheduler=self._scheduler,
            client=self._executor_client,
            timers=self._timers,
            fence=self._epoch,
            lease_s=self._lease_s,
            on_change=self.wake,
            on_superseded=self._on_superseded,
        )
        self._links[executor.id] = link
        link.open()

    # Deciding

    def wake(self):
        """Decide soon."""
        if self._next_step is None and not self._is_stopped:
            self._next_step = self._timers.after(STEP_GAP_S, self._step)

    def _tick(self):
        if not self._is_stopped:
            self._timers.after(TICK_S, self._tick)
            self.wake()

    def _forget_ended(self):
        """Drop jobs whose state is not owed any more from memory and the store."""
        if self._is_stopped:
            return
        self._timers.after(FORGET_INTERVAL_S, self._forget_ended)
        before = time.time() - self._settings.status_kept_s - FORGET_MARGIN_S
        ended = [
            job.id
            for job in self._scheduler.jobs.values()
            if job.has_ended and job.ended_at is not None and job.ended_at < before
        ][:FORGET_LIMIT]
        if not ended or self._writer.is_busy:
            return
        _logger.info("jobs forgotten", extra={"jobs": len(ended)})
        dropped = [(f"{JOB_KEY_PREFIX}{job_id}", b"") for job_id in ended]
        dropped += [
            (f"{CANCEL_KEY_PREFIX}{job_id}", b"")
            for job_id in ended
            if job_id in self._cancelled
        ]
        for job_id in ended:
            self._scheduler.forget_job(job_id)
            self._cancelled.discard(job_id)
        # A job that was handed in twice can stand in two partitions. What stays here
        # because a call fails is dropped by a later controller.
        for partition in range(self._settings.store_partitions):
            self._store.append(
                store.JOB_TOPIC,
                dropped,
                callback=_log_drop,
                timeout_s=READ_TIMEOUT_S,
                partition=partition,
            )
        self._writer.write([], self.wake, dropped=ended)

    def _step(self):
        self._next_step = None
        if self._is_stopped or not self._is_ready or not self._has_configuration:
            return
        now, wall = time.monotonic(), time.time()
        self._scheduler.process_due_events(now, wall)
        for executor_id in list(self._links):
            if executor_id not in self._scheduler.executors:
                self._links.pop(executor_id).close()
        if not self._writer.is_busy:
            self._planner.plan(now, wall)
            self._ask_advice()
            self._store_batch()
        for run in self._scheduler.take_pending_stops():
            link = self._links.get(run.executor)
            if link is not None:
                link.stop(run)

    def _ask_advice(self):
        for step, (workers, rules) in self._planner.take_advice_requests().items():
            # The service takes the calls of one machine in turn.
            if self._advice_client is None or step in self._advice_asked:
                continue
            if len(self._advice_asked) >= ADVICE_CALLS_LIMIT:
                return
            self._advice_asked.add(step)
            decide_s, worker_s, _ = rules
            expected_s = decide_s + worker_s * len(workers)
            asked_at = time.monotonic()

            def finish(permits, step=step, workers=workers, asked_at=asked_at):
                self._advice_asked.discard(step)
                if permits is None:
                    _logger.warning("no advice", extra={"task": step})
                    return
                valid_until = asked_at + permits.valid_s
                self._planner.on_advice(step, workers, permits.tickets, valid_until)
                self.wake()

            self._advice_client.request_permits(
                step,
                workers,
                callback=finish,
                timeout_s=expected_s * ADVICE_CALLS_LIMIT + ADVICE_MARGIN_S,
            )

    def _store_batch(self):
        batch = self._scheduler.take_batch()
        further = list(self._unsaved_waves.values())
        if self._unsaved_orders is not None:
            further.append(self._unsaved_orders)
        callbacks, self._when_orders_saved = self._when_orders_saved, []
        self._unsaved_waves = {}
        self._unsaved_orders = None
        found = [*batch.progress_records, *further]
        if found:
            self._writer.write(found, lambda: self._on_stored(batch, callbacks))
        elif not batch.is_empty:
            self._on_stored(batch, callbacks)

    def _on_stored(self, batch, callbacks):
        now = time.monotonic()
        for callback in callbacks:
            callback()
        for run in self._scheduler.commit(batch, now):
            link = self._links.get(run.executor)
            if link is None:
                continue
            _logger.info(
                "run start",
                extra={
                    "request": run.task.job.id,
                    "task": run.task.name,
                    "run": run.number,
                    "executor": run.executor,
                    "pool": run.task.job.service,
                },
            )
            link.start(run)
        self.wake()


def _log_drop(result):
    if not isinstance(result, store.Appended):
        _logger.warning("records not dropped", extra={"reason": str(result)})


def _decode(key, value, expected):
    if not value:
        return None
    try:
        record = codec.decode(value)
    except codec.DecodeError as error:
        _logger.error("unreadable record", extra={"key": key, "reason": str(error)})
        return None
    if not isinstance(record, expected):
        _logger.error("unexpected record", extra={"key": key})
        return None
    return record
