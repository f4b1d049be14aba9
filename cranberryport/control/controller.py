"""Schedules the jobs of all pools while this process is the controller.

A new controller first makes the store refuse the writes of earlier controllers (fences
them) and loads the stored jobs and their progress. A start of a run, or an order for an
instance, is stored before it is sent, so that the next controller knows every one that
may have been sent.
"""

import logging
import time

from cranberryport.control import (
    absence_proof,
    append_policy,
    call_losses,
    executor_link,
    instance_manager,
    job_deletion,
    job_ownership,
    lease_handover,
    progress_writer,
    stored_records,
    stored_state,
    topic_reader,
)
from cranberryport.generated import messages
from cranberryport.platform import advice, bodies, executors, store
from cranberryport.scheduling import (
    admission,
    explaining,
    load,
    organisation_shares,
    record_groups,
    records,
    run_logs,
    scheduler,
    takeover,
    task_planner,
)

# Changes within this time share one decision and one append; an append takes 4 ms and
# is charged for.
DECISION_DELAY_S = 0.01
DECISION_INTERVAL_S = 0.05
JOBS_LONG_POLL_S = 1.0
JOBS_MIN_INTERVAL_S = 0.02
EXECUTORS_LONG_POLL_S = 1.0
EXECUTORS_MIN_INTERVAL_S = 0.1
STORE_TIMEOUT_S = 2.0
READ_RETRY_DELAY_S = 0.1
# The controller reports the number of waiting jobs only if it has read all jobs within
# this time.
JOBS_AGE_LIMIT_S = 2.0
# Jobs loaded at a time, after which other events are handled; 0.1 s at 0.4 ms each.
LOAD_SLICE_JOBS = 250
JOB_KEY_PREFIX = "j/"
# The advice service handles the calls of an entry instance one after another, and it
# refuses further calls while 32 wait.
ADVICE_CALLS_LIMIT = 4
ADVICE_TIMEOUT_MARGIN_S = 1.0
DELETION_INTERVAL_S = 10.0
# A submission may be repeated some seconds after its response, and would be a new job
# if the first one were deleted.
DELETION_MARGIN_S = 30.0
DELETION_LIMIT_JOBS = 200

_logger = logging.getLogger(__name__)


class Controller:
    """Makes and carries out the scheduling decisions of one epoch.

    Parameters
    ----------
    store_client : store.StoreClient
        The store.
    timers : cranberryport.timers.Timers
        Timers of the process.
    executor_client : executors.ExecutorClient
        Calls the executors.
    epoch : int
        Epoch of this controller; the store and the executors refuse lower ones.
    settings : cranberryport.generated.node_settings.NodeSettings
        Settings.
    instance_client : cranberryport.platform.machines.InstanceClient or None
        Lists instances and sends orders for them; None where the platform has no
        interface for instances.
    advice_client : cranberryport.platform.advice.AdviceClient or None
        Asks which executors may run a step; None where there is no such service.
    is_sole_controller : callable
        Returns whether this process is the controller and no other process can be.
    is_role_proven : callable
        Returns whether this process may send orders to executors and renew their
        leases, see ``Membership.is_role_proven``.
    has_clock_stepped : callable
        Returns whether the wall clock of this process has been stepped.
    on_superseded : callable
        Called without arguments if a write or order is refused because there is a later
        controller.
    """

    __slots__ = (
        "_absence_proof",
        "_admission",
        "_advice_client",
        "_advice_pending",
        "_are_orders_due",
        "_call_losses",
        "_cancellations",
        "_decision_timer",
        "_deletion",
        "_done_instances_by_wave",
        "_epoch",
        "_executor_client",
        "_executors_reader",
        "_has_configuration",
        "_instance_manager",
        "_invalid_entries",
        "_is_ready",
        "_is_role_proven",
        "_is_stopped",
        "_jobs_readers",
        "_lease_s",
        "_links",
        "_load_meter",
        "_loading_partitions",
        "_on_superseded",
        "_orders_callbacks",
        "_orphaned_keys",
        "_planner",
        "_scheduler",
        "_settings",
        "_shares",
        "_started_at",
        "_store",
        "_stored",
        "_timers",
        "_unsaved_deletions",
        "_unsaved_orders",
        "_unsaved_waves",
        "_waves_to_add",
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
        is_role_proven,
        has_clock_stepped,
        on_superseded,
    ):
        self._is_role_proven = is_role_proven
        self._store = store_client
        self._timers = timers
        self._executor_client = executor_client
        self._epoch = epoch
        self._settings = settings
        self._on_superseded = on_superseded
        self._lease_s = min(executor_link.LEASE_S, settings.lease_most_ms / 1000)
        self._started_at = time.monotonic()
        lease_wait_s = takeover.previous_lease_wait_s(self._lease_s)
        self._scheduler = scheduler.Scheduler(
            previous_leases_expire_at=self._started_at + lease_wait_s,
            previous_orders_sent_until=self._started_at
            + takeover.previous_orders_wait_s(),
            longest_lease_s=settings.lease_most_ms / 1000,
        )
        self._shares = organisation_shares.OrganisationShares(state=self._scheduler)
        self._planner = task_planner.TaskPlanner(
            state=self._scheduler,
            shares=self._shares,
            remote_factor=settings.remote_factor,
        )
        self._load_meter = load.LoadMeter(state=self._scheduler, shares=self._shares)
        self._admission = admission.JobAdmission(
            state=self._scheduler, load_meter=self._load_meter, shares=self._shares
        )
        self._links = {}
        # Reason by key of the entries that name no executor.
        self._invalid_entries = {}
        self._call_losses = call_losses.CallLosses()
        self._advice_client = advice_client
        self._advice_pending = set()
        self._waves_to_add = []
        self._done_instances_by_wave = {}
        self._unsaved_waves = {}
        self._unsaved_orders = []
        # Whether they have to be stored by themselves if nothing else is.
        self._are_orders_due = False
        # Keys of progress records to delete.
        self._unsaved_deletions = []
        # Keys of the records of jobs that have no record of the job itself, by id.
        self._orphaned_keys = {}
        self._orders_callbacks = []
        self._instance_manager = None
        if instance_client is not None:
            self._instance_manager = instance_manager.InstanceManager(
                scheduler=self._scheduler,
                load_meter=self._load_meter,
                client=instance_client,
                store_client=store_client,
                timers=timers,
                epoch=epoch,
                settings=settings,
                is_sole_controller=is_sole_controller,
                has_clock_stepped=has_clock_stepped,
                has_read_executors=self._has_read_executors,
                on_superseded=on_superseded,
                on_decided=self.schedule_decision,
                save_wave=self._save_wave,
                save_orders=self._save_orders,
            )
        # What previous controllers have stored, until the jobs are loaded.
        self._stored = stored_state.StoredState()
        self._cancellations = job_ownership.Cancellations()
        self._has_configuration = False
        self._is_ready = False
        self._is_stopped = False
        self._decision_timer = None
        self._writer = progress_writer.ProgressWriter(
            store_client=store_client,
            timers=timers,
            epoch=epoch,
            on_superseded=on_superseded,
        )
        self._loading_partitions = set(range(settings.store_partitions))
        self._jobs_readers = [
            self._make_jobs_reader(number)
            for number in range(settings.store_partitions)
        ]
        self._absence_proof = absence_proof.AbsenceProof(readers=self._jobs_readers)
        self._deletion = job_deletion.JobDeletion(
            store_client=store_client,
            timers=timers,
            readers=self._jobs_readers,
            on_deleted=self._on_jobs_deleted,
        )
        self._executors_reader = topic_reader.TopicReader(
            store_client=store_client,
            timers=timers,
            topic=store.EXECUTOR_TOPIC,
            on_snapshot=self._on_executors_snapshot,
            on_records=self._on_executor_records,
            long_poll_s=EXECUTORS_LONG_POLL_S,
            min_interval_s=EXECUTORS_MIN_INTERVAL_S,
        )

    def _has_read_executors(self):
        return self._executors_reader.last_read_sent_at is not None

    def _make_jobs_reader(self, partition):
        return topic_reader.TopicReader(
            store_client=self._store,
            timers=self._timers,
            topic=store.JOB_TOPIC,
            on_snapshot=lambda items: self._on_jobs_snapshot(partition, items),
            on_records=self._on_job_records,
            long_poll_s=JOBS_LONG_POLL_S,
            min_interval_s=JOBS_MIN_INTERVAL_S,
            partition=partition,
        )

    @property
    def is_ready(self):
        """Whether the stored jobs and their progress are loaded."""
        return self._is_ready

    @property
    def state(self):
        """State of all jobs and executors, for reports; None while it is loaded."""
        return self._scheduler if self._is_ready else None

    def explain_placement(self, job):
        """Return where a job would be placed now, see :mod:`explaining`."""
        return explaining.explain_placement(
            job,
            state=self._scheduler,
            load_meter=self._load_meter,
            instances=self._instance_manager,
            now=time.monotonic(),
            now_unix_s=time.time(),
        )

    @property
    def event_counts(self):
        """Numbers of events since the takeover, by name; for the metrics."""
        return self._scheduler.event_counts

    @property
    def not_applied_count(self):
        """Number of records of the store so far that could not be handled."""
        readers = [self._executors_reader, *self._jobs_readers]
        number = sum(reader.not_applied_count for reader in readers)
        return number + self._scheduler.event_counts["records_not_applied"]

    @property
    def organisation_statuses(self):
        """Status of each organisation by name; for the metrics."""
        return self._shares.statuses()

    def start(self):
        """Fence earlier controllers, load the stored state and then start deciding."""
        self._writer.fence(self._read_progress)

    def stop(self):
        """Stop deciding and sending orders."""
        self._is_stopped = True
        self._writer.stop()
        self._deletion.stop()
        for reader in self._jobs_readers:
            reader.stop()
        self._executors_reader.stop()
        if self._instance_manager is not None:
            self._instance_manager.stop()
        for link in self._links.values():
            link.close()

    def hand_over(self, may_renew_leases):
        """Stop, but renew leases until the successor does.

        Parameters
        ----------
        may_renew_leases : callable
            Returns whether leases may still be renewed.

        Returns
        -------
        lease_handover.LeaseHandover
            The renewals.
        """
        self.stop()
        result = lease_handover.LeaseHandover(
            executors_with_runs=[
                link.executor for link in self._links.values() if link.executor.runs
            ],
            client=self._executor_client,
            timers=self._timers,
            epoch=self._epoch,
            lease_s=self._lease_s,
            may_renew=may_renew_leases,
        )
        result.start()
        return result

    def set_configuration(self, configuration):
        """Apply a configuration.

        Parameters
        ----------
        configuration : cranberryport.platform.configuration.Configuration
            The newest version.
        """
        self._has_configuration = True
        self._scheduler.set_queues(configuration.queues)
        self._scheduler.set_organisations(
            configuration.organisations or {},
            limit_overshoot=self._settings.limit_overshoot,
        )
        if self._instance_manager is not None:
            self._instance_manager.set_services(configuration.services)

    def add_wave(self, wave):
        """Add a maintenance wave of the operator.

        A wave that arrives while the state is being loaded is added afterwards.
        """
        if self._instance_manager is None:
            return
        if not self._is_ready:
            self._waves_to_add.append(wave)
            return
        self._instance_manager.add_wave(
            wave, self._done_instances_by_wave.get(wave.number, ())
        )

    def _retry_after_s(self, question):
        """Return when to submit a refused job again, in seconds; 0 not to refuse it."""
        if self._instance_manager is None:
            return 0
        return self._admission.retry_after_s(
            question,
            self._instance_manager.available_cores,
            time.monotonic(),
            time.time(),
        )

    def _save_wave(self, wave):
        self._done_instances_by_wave[wave.number] = set(wave.done_instances)
        self._unsaved_waves[wave.number] = messages.WaveStored(
            job=f"{stored_state.WAVE_KEY_PREFIX}{wave.number}",
            done=sorted(wave.done_instances),
        )
        self.schedule_decision()

    def answer(self, question, *, asker=None):
        """Return the reply to a question of this or another entry instance.

        Parameters
        ----------
        question : JobQuestion, QueueQuestion or AdmissionQuestion
            The question.
        asker : cranberryport.peering.peer_link.PeerLink or None
            Link of the entry instance that has numbered the question; None for this
            one.

        Returns
        -------
        messages.ControllerReply
            ``is_leading`` says whether the reply is valid. It is False while the
            answer is not known; the question is then repeated.
        """
        reply = messages.ControllerReply(number=question.number, is_leading=False)
        jobs = self._scheduler.jobs
        if not self._is_ready or self._is_stopped:
            return reply
        if isinstance(question, messages.QueueQuestion):
            reply.is_leading = self._are_jobs_current()
            reply.waiting = self._scheduler.waiting_job_count(question.queue)
            return reply
        if isinstance(question, messages.AdmissionQuestion):
            reply.is_leading = True
            reply.state = job_ownership.answer_submission(jobs, question)
            if not reply.state:
                # A repeated submission of an accepted job is not refused.
                if question.job not in jobs:
                    reply.retry_after_s = self._retry_after_s(question)
                reply.state = append_policy.RELAYED if self._writer.is_slow else ""
            return reply
        if question.is_submission:
            reply.is_leading = True
            reply.state = job_ownership.answer_submission(jobs, question)
            return reply
        state = self._scheduler.job_state(question.job)
        if job_ownership.is_foreign(jobs.get(question.job), question.organisation):
            # A delay must not tell such a job from one that does not exist.
            state = None
        reply.is_leading = state is not None or self._absence_proof.is_complete(
            asker, question
        )
        reply.state = state or ""
        return reply

    def on_records_stored(self, message):
        """Read the jobs that an entry instance has stored.

        Parameters
        ----------
        message : messages.RecordsStored
            Partition of the job topic, and its end after the append.
        """
        if self._is_ready and 0 <= message.partition < len(self._jobs_readers):
            self._jobs_readers[message.partition].catch_up(message.end)

    def add_stored_record(self, key, value):
        """Add a record of the topic of jobs that this process has stored for a peer.

        While the store is slow, this saves the time of a read.
        """
        if self._is_ready and not self._is_stopped:
            self._on_job_records([(key, value)])

    def _save_orders(self, sent, unanswered, maintenance, callback):
        sent_by_key = {
            stored_state.ORDERS_KEY: sent,
            stored_state.MAINTENANCE_ORDERS_KEY: maintenance,
        }
        if not self._settings.are_orders_fenced:
            sent_by_key[stored_state.UNANSWERED_ORDERS_KEY] = unanswered
        self._unsaved_orders = [
            messages.OrdersStored(job=key, sent=dict(times))
            for key, times in sent_by_key.items()
        ]
        if callback is not None:
            self._orders_callbacks.append(callback)
        if callback is not None or not self._settings.are_orders_fenced:
            self._are_orders_due = True
            self.schedule_decision()

    def _are_jobs_current(self):
        oldest = time.monotonic() - JOBS_AGE_LIMIT_S
        return all(
            reader.last_read_sent_at is not None and reader.last_read_sent_at > oldest
            for reader in self._jobs_readers
        )

    # Loading the state of the previous controller

    def _read_progress(self):
        if self._is_stopped:
            return
        self._store.read_newest(
            store.PROGRESS_TOPIC,
            callback=self._on_progress_read,
            timeout_s=STORE_TIMEOUT_S,
        )

    def _on_progress_read(self, result):
        if self._is_stopped:
            return
        if not isinstance(result, store.NewestRecords):
            is_topic_missing = (
                isinstance(result, store.Refused) and result.status == 404
            )
            if not is_topic_missing:
                _logger.warning(
                    "reading progress failed", extra={"reason": str(result)}
                )
                self._timers.after(READ_RETRY_DELAY_S, self._read_progress)
                return
            result = store.NewestRecords(records=[], end=0)
        self._stored.add(result.records)
        self._scheduler.restore_unanswered_starts(self._stored.unanswered_starts)
        self._done_instances_by_wave = self._stored.done_instances_by_wave
        orders = self._stored.orders
        if self._instance_manager is not None and stored_state.ORDERS_KEY in orders:
            sent = orders[stored_state.ORDERS_KEY]
            # Without this record every order counts as unanswered.
            unanswered = orders.get(stored_state.UNANSWERED_ORDERS_KEY, sent)
            maintenance = orders.get(stored_state.MAINTENANCE_ORDERS_KEY, sent)
            self._instance_manager.restore_orders(
                sent, unanswered, time.time(), maintenance=maintenance
            )
        for reader in self._jobs_readers:
            reader.start()

    def _on_jobs_snapshot(self, partition, items):
        if self._is_ready:
            self._on_job_records(items)
        else:
            self._load_slice(partition, items, 0)

    def _load_slice(self, partition, items, position):
        """Load jobs in slices, so that the process can join its group in between."""
        if self._is_stopped:
            return
        end = position + LOAD_SLICE_JOBS
        self._on_job_records(items[position:end])
        if end < len(items):
            self._timers.after(0.0, lambda: self._load_slice(partition, items, end))
            return
        self._loading_partitions.discard(partition)
        if not self._loading_partitions and not self._is_ready:
            self._finish_loading()

    def _finish_loading(self):
        self._is_ready = True
        known_ids = {
            *self._stored.progress,
            *self._stored.task_parts,
            *self._stored.crash_keys,
        }
        self._orphaned_keys = {
            job_id: self._stored.keys_of_job(job_id)
            for job_id in sorted(known_ids)
            if job_id not in self._scheduler.jobs
        }
        self._stored = stored_state.StoredState()
        taken_s = time.monotonic() - self._started_at
        _logger.info(
            "controller ready",
            extra={
                "epoch": self._epoch,
                "jobs": len(self._scheduler.jobs),
                "open": len(self._scheduler.open_jobs),
                "unanswered_starts": len(self._scheduler.unanswered_starts),
                "taken_s": round(taken_s, 3),
            },
        )
        self._executors_reader.start()
        waiting, self._waves_to_add = self._waves_to_add, []
        for wave in waiting:
            self.add_wave(wave)
        if self._instance_manager is not None:
            self._instance_manager.start()
        self._decide_periodically()
        self._timers.after(DELETION_INTERVAL_S, self._delete_ended_jobs)

    def _on_job_records(self, items):
        now_unix_s = time.time()
        for key, value in items:
            try:
                self._on_job_record(key, value, now_unix_s)
            except Exception:
                # The other jobs are loaded all the same, and the takeover ends.
                self._scheduler.event_counts["records_not_applied"] += 1
                _logger.exception("record not applied", extra={"key": key})
        self.schedule_decision()

    def _on_job_record(self, key, value, now_unix_s):
        if not value:
            return
        if key.startswith(JOB_KEY_PREFIX):
            record = stored_records.decode(key, value, messages.JobStored)
            if record is not None:
                self._add_job(record, now_unix_s)
        elif key.startswith(job_ownership.CANCEL_KEY_PREFIX):
            record = stored_records.decode(key, value, messages.CancelStored)
            if record is not None:
                # It can be read before the record of its job.
                self._cancellations.add(key, record)
                self._apply_cancellations(record.job, now_unix_s)

    def _add_job(self, record, now_unix_s):
        known = self._scheduler.jobs.get(record.job)
        if known is not None:
            self._deletion.keep(record.job)
            job_ownership.log_foreign_record(known, record.organisation)
            return
        job = records.job_from_record(record)
        self._stored.prepare_job(job)
        progress = self._stored.progress.get(record.job)
        if progress is not None:
            self._scheduler.restore_job(
                job,
                progress,
                now_unix_s,
                crash_record=self._stored.crash_records.get(record.job),
            )
        else:
            self._scheduler.add_job(job, now_unix_s)
            _logger.info(
                "job added",
                extra={
                    "request": job.id,
                    "pool": job.service,
                    "queue": job.queue,
                    "age_s": round(now_unix_s - job.accepted_at, 3),
                    "chain_s": round(job.critical_path_s, 3),
                },
            )
        self._apply_cancellations(record.job, now_unix_s)

    def _apply_cancellations(self, job_id, now_unix_s):
        if self._cancellations.cancel(self._scheduler.jobs.get(job_id)):
            self._scheduler.cancel_job(job_id, now_unix_s)

    # Executors

    def _on_executors_snapshot(self, items):
        listed = {key for key, value in items if value}
        now = time.monotonic()
        for executor_id in list(self._scheduler.executors):
            if executor_id not in listed:
                self._scheduler.mark_entry_removed(executor_id, now)
        self._scheduler.on_executors_read()
        self._on_executor_records(items)

    def _on_executor_records(self, items):
        now = time.monotonic()
        for key, value in dict(items).items():
            executor = executors.parse_entry(key, value, now) if value else None
            if executor is None or isinstance(executor, bodies.Invalid):
                self._log_invalid_entry(key, executor)
                self._scheduler.mark_entry_removed(key, now)
                continue
            self._invalid_entries.pop(key, None)
            previous = self._scheduler.executors.get(key)
            current = self._scheduler.add_or_update_executor(executor, now)
            if current is None:
                continue
            if current is not previous:
                self._open_link(current)
            elif key in self._links:
                self._links[key].list_after_restart()
        self.schedule_decision()

    def _log_invalid_entry(self, key, entry):
        """Log an entry that names no executor, once for each reason."""
        if entry is None:
            self._invalid_entries.pop(key, None)
        elif self._invalid_entries.get(key) != entry.reason:
            self._invalid_entries[key] = entry.reason
            self._scheduler.event_counts["invalid_entries"] += 1
            _logger.warning(
                "unusable executor entry",
                extra={"executor": key, "reason": entry.reason},
            )

    def _open_link(self, executor):
        previous = self._links.pop(executor.id, None)
        if previous is not None:
            previous.close()
        link = executor_link.ExecutorLink(
            executor=executor,
            scheduler=self._scheduler,
            client=self._executor_client,
            timers=self._timers,
            epoch=self._epoch,
            lease_s=self._lease_s,
            on_change=self.schedule_decision,
            on_superseded=self._on_superseded,
            is_role_proven=self._is_role_proven,
            losses=self._call_losses,
        )
        self._links[executor.id] = link
        link.open()

    # Deciding

    def schedule_decision(self):
        """Schedule a decision after a short delay, unless one is scheduled."""
        if self._decision_timer is None and not self._is_stopped:
            self._decision_timer = self._timers.after(DECISION_DELAY_S, self._decide)

    def _decide_periodically(self):
        if not self._is_stopped:
            self._timers.after(DECISION_INTERVAL_S, self._decide_periodically)
            self.schedule_decision()

    def _delete_ended_jobs(self):
        """Delete ended jobs whose state no longer has to be reported."""
        if self._is_stopped:
            return
        self._timers.after(DELETION_INTERVAL_S, self._delete_ended_jobs)
        self._delete_orphaned_progress()
        if self._deletion.is_busy:
            return
        ended_before = time.time() - self._settings.status_kept_s - DELETION_MARGIN_S
        ended = [
            job.id
            for job in self._scheduler.jobs.values()
            if job.is_end_stored and job.ended_at < ended_before
        ][:DELETION_LIMIT_JOBS]
        # A cancellation is also stored where it is not known whether the job exists.
        ended += self._cancellations.find_orphans(self._scheduler.jobs, ended_before)
        if not ended:
            return
        keys = [f"{JOB_KEY_PREFIX}{job_id}" for job_id in ended]
        keys += [key for job_id in ended for key in self._cancellations.keys(job_id)]
        self._deletion.start(ended, keys)

    def _on_jobs_deleted(self, job_ids):
        """Forget jobs of which the store has nothing left but their progress."""
        if not job_ids:
            return
        _logger.info("ended jobs deleted", extra={"jobs": len(job_ids)})
        for job_id in job_ids:
            job = self._scheduler.jobs.get(job_id)
            if job is not None:
                # Only a job whose progress could not be read has any of these left.
                self._unsaved_deletions += record_groups.stored_keys(job)
            self._scheduler.remove_job(job_id)
            self._cancellations.discard(job_id)
        self._unsaved_deletions += job_ids
        self.schedule_decision()

    def _delete_orphaned_progress(self):
        """Delete the progress of jobs that a previous controller has deleted."""
        jobs = self._scheduler.jobs
        found = {k: v for k, v in self._orphaned_keys.items() if k not in jobs}
        self._orphaned_keys = {}
        if found:
            _logger.info("progress of deleted jobs removed", extra={"jobs": len(found)})
            for keys in found.values():
                self._unsaved_deletions += keys
            self.schedule_decision()

    def _decide(self):
        self._decision_timer = None
        if self._is_stopped or not self._is_ready or not self._has_configuration:
            return
        now, now_unix_s = time.monotonic(), time.time()
        if self._has_read_executors():
            self._scheduler.on_executors_read()
        self._scheduler.process_due_events(now, now_unix_s)
        for executor_id in list(self._links):
            if executor_id not in self._scheduler.executors:
                self._links.pop(executor_id).close()
        if not self._writer.is_busy:
            self._planner.plan(now, now_unix_s)
            self._request_advice()
            self._store_batch()
        for run in self._scheduler.take_pending_stops():
            link = self._links.get(run.executor)
            if link is not None:
                link.stop(run)

    def _request_advice(self):
        for step_name, (
            executor_ids,
            durations,
        ) in self._planner.take_advice_requests().items():
            if self._advice_client is None or step_name in self._advice_pending:
                continue
            if len(self._advice_pending) >= ADVICE_CALLS_LIMIT:
                return
            self._advice_pending.add(step_name)
            # The others are asked about later; without an answer they are not refused.
            executor_ids = executor_ids[: advice.EXECUTORS_PER_CALL_LIMIT]
            answer_s, per_executor_s, _ = durations
            expected_s = answer_s + per_executor_s * len(executor_ids)
            requested_at = time.monotonic()

            def finish(
                permits,
                step_name=step_name,
                executor_ids=executor_ids,
                requested_at=requested_at,
            ):
                self._advice_pending.discard(step_name)
                if permits is None:
                    # The log field ``task`` holds the name of the step.
                    _logger.warning("permit request failed", extra={"task": step_name})
                    return
                valid_until = requested_at + permits.valid_s
                self._planner.on_advice(
                    step_name, executor_ids, permits.tickets, valid_until
                )
                self.schedule_decision()

            self._advice_client.request_permits(
                step_name,
                executor_ids,
                callback=finish,
                timeout_s=expected_s * ADVICE_CALLS_LIMIT + ADVICE_TIMEOUT_MARGIN_S,
            )

    def _store_batch(self):
        batch = self._scheduler.take_batch()
        other_records = list(self._unsaved_waves.values())
        if batch.starts_record is not None:
            other_records.append(batch.starts_record)
        callbacks, self._orders_callbacks = self._orders_callbacks, []
        self._unsaved_waves = {}
        deletions, self._unsaved_deletions = self._unsaved_deletions, []
        groups = list(batch.groups)
        if self._are_orders_due or groups or other_records or deletions:
            other_records += self._unsaved_orders
            self._unsaved_orders = []
            self._are_orders_due = False
        if other_records or deletions:
            other_group = record_groups.RecordGroup(
                new_records=other_records, deleted_keys=deletions
            )
            groups.insert(0, other_group)
        if groups:
            self._writer.write(groups, lambda: self._on_batch_stored(batch, callbacks))
        elif not batch.is_empty:
            self._on_batch_stored(batch, callbacks)

    def _on_batch_stored(self, batch, callbacks):
        now = time.monotonic()
        for callback in callbacks:
            callback()
        starts = [
            run
            for run in self._scheduler.commit(batch, now)
            if run.executor in self._links
        ]
        run_logs.log_starts(starts)
        for run in starts:
            self._links[run.executor].start(run)
        self.schedule_decision()
