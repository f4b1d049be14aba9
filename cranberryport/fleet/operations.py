"""Carries out planned reboots, moves and retirements of instances, step by step.

Every entry instance watches all operations and proposes their next steps, so an
operation goes on when the instance that started it ends. The steps of a reboot are:
drain the instance, stop it by a request to the platform, wait until the platform's list
shows it as live again. A move changes the pool of a drained instance, and a retirement
removes it.
"""

import logging
import time
import uuid

from circuits import BaseComponent, handler

from cranberryport.fleet import planner
from cranberryport.generated import messages
from cranberryport.http import connection
from cranberryport.stream import log_writer_events

CHECK_INTERVAL_S = 0.5
# A proposed record that has not been folded after this time counts as undecided.
DECISION_TIMEOUT_S = 10.0
# A session waits this long times its rank before it proposes a step, so that usually
# only one session does.
RANK_DELAY_S = 1.0
REQUEST_TIMEOUT_S = 5.0
# A reboot can be too short to appear in any list that this process receives. It counts
# as over if the instance is live in a list that is newer than the stop by more than
# this.
UNSEEN_REBOOT_S = 10.0
# Largest difference between this host's clock and that of the platform, which gives the
# times of its lists.
CLOCK_SKEW_S = 2.0
# A process whose own request was not confirmed, or that sent none, requests the reboot
# if the list has not shown the instance as down for this long.
REBOOT_RETRY_S = 15.0

_logger = logging.getLogger(__name__)


class OperationManager(BaseComponent):
    """Proposes the next step of every open operation, and starts operations.

    A record of a step is rejected unless the operation is at the step before it. If
    several entry instances propose the same step, only one record is accepted.

    Parameters
    ----------
    follower : cranberryport.stream.log_follower.LogFollower
        Source of the control state.
    session_keeper : cranberryport.stream.session_keeper.SessionKeeper
        Source of this process's session and its rank.
    instance_list : cranberryport.fleet.instance_list.InstanceList
        Source of the platform's latest list.
    timers : cranberryport.timers.Timers
        Timers for the periodic check.
    client : cranberryport.http.connection.Client
        Owner of the sockets to the platform.
    platform : object
        Settings with ``host`` and ``port`` of the platform's interface.
    count_in_flight : callable
        Takes an instance's name and returns the number of requests of this process that
        may be running there.
    """

    channel = "operations"

    def __init__(
        self,
        *,
        follower,
        session_keeper,
        instance_list,
        timers,
        client,
        platform,
        count_in_flight,
    ):
        super().__init__()
        self._follower = follower
        self._session_keeper = session_keeper
        self._instance_list = instance_list
        self._timers = timers
        self._client = client
        self._platform = platform
        self._count_in_flight = count_in_flight
        # Keys of the undecided records.
        self._proposed = {}
        # Monotonic time at which this process first saw an operation at a step, by pair
        # of operation and step, or an operation to start, by "start" and its Intent.
        self._step_seen_at = {}
        # Pair of operation and "told" to the monotonic time of this process's request
        # for the reboot.
        self._reboot_requested_at = {}
        # Operations whose instance the list has shown as not live since the stop.
        self._seen_down = set()
        # Operation to the monotonic time at which this process first saw it.
        self._known_since = {}
        # Operation to the Unix time at which this process first saw it as stopped.
        self._stopped_at = {}

    def age_s(self, operation):
        """Return the seconds since this process first saw an open operation, or 0."""
        since = self._known_since.get(operation)
        return 0.0 if since is None else time.monotonic() - since

    @handler("started", channel="*")
    def _on_started(self, *_):
        self._timers.after(CHECK_INTERVAL_S, self._check_operations)

    def _check_operations(self):
        self._timers.after(CHECK_INTERVAL_S, self._check_operations)
        self._update_known_since(time.monotonic())
        if not self._session_keeper.is_open or not self._follower.has_dispatch_right:
            return
        now = time.monotonic()
        operations = self._follower.state.fleet.operations
        self._drop_ended_operations(operations)
        for operation in list(operations.values()):
            self._propose_next_step(operation, now)
        self._start_allowed_operations(now)

    def _update_known_since(self, now):
        # Also while the log cannot be read, so that the status page shows a drain that
        # an outage of the log holds up.
        known_since = self._known_since
        operations = self._follower.state.fleet.operations
        self._known_since = {name: known_since.get(name, now) for name in operations}

    def _drop_ended_operations(self, operations):
        for entries in (self._reboot_requested_at, self._step_seen_at):
            for key in [key for key in entries if key[0] not in operations]:
                if key[0] != "start":
                    del entries[key]
        self._seen_down.intersection_update(operations)
        for name in [name for name in self._stopped_at if name not in operations]:
            del self._stopped_at[name]

    def _propose_next_step(self, operation, now):
        if operation.step == "draining":
            self._report_drained(operation, now)
        elif operation.step == "quiesced" and self._is_rank_delay_over(operation, now):
            self._propose_after_drain(operation, now)
        elif operation.step == "stopped":
            self._check_reboot(operation, now)

    def _propose_after_drain(self, operation, now):
        state = self._follower.state
        if operation.purpose == planner.MOVE:
            self._propose_step(messages.MoveCompleted, operation, now)
        elif not state.fleet.stop_rejection_reason(operation, state.configuration):
            self._propose_step(messages.InstanceStopped, operation, now)

    def _is_rank_delay_over(self, operation, now):
        since = self._step_seen_at.setdefault(
            (operation.operation, operation.step), now
        )
        return now - since >= self._session_keeper.rank * RANK_DELAY_S

    def _report_drained(self, operation, now):
        session = self._session_keeper.session
        if session not in operation.waiting or self._count_in_flight(
            operation.instance
        ):
            return
        record = messages.DrainReported(operation=operation.operation, session=session)
        self._propose_once(record, (operation.operation, "drain", session), now)

    def _propose_step(self, record_type, operation, now):
        record = record_type(
            operation=operation.operation, by=self._session_keeper.session
        )
        self._propose_once(record, (operation.operation, record_type.__name__), now)

    def _check_reboot(self, operation, now):
        name = operation.operation
        since = self._step_seen_at.setdefault((name, "stopped"), now)
        stopped_at = self._stopped_at.setdefault(name, time.time())
        # A list from before the stop says nothing about the reboot, even if it is
        # received after the stop.
        list_after_stop_s = self._instance_list.as_of - stopped_at
        if list_after_stop_s < -CLOCK_SKEW_S:
            return
        if self._instance_list.is_leaving(operation.instance):
            self._seen_down.add(name)
            return
        requested_at = self._reboot_requested_at.get((name, "told"))
        was_unseen = requested_at is not None and list_after_stop_s > UNSEEN_REBOOT_S
        if name in self._seen_down or was_unseen:
            if self._is_rank_delay_over(operation, now):
                self._propose_step(messages.InstanceReturned, operation, now)
            return
        retry_after_s = REBOOT_RETRY_S + self._session_keeper.rank * RANK_DELAY_S
        # The instance that appended InstanceStopped may have ended before it requested
        # the reboot. A second reboot of a stopped instance does no harm.
        if requested_at is None and now - since > retry_after_s:
            self._request_reboot(operation, now)

    def _request_reboot(self, operation, now):
        self._reboot_requested_at[(operation.operation, "told")] = now
        _logger.info("requesting reboot of instance %s", operation.instance)
        self._client.connect(host=self._platform.host, port=self._platform.port).send(
            connection.Exchange(
                method="POST",
                target=f"/instances/{operation.instance}/reboot",
                deadline=now + REQUEST_TIMEOUT_S,
                reply_channel=self.channel,
                context=operation.operation,
            )
        )

    @handler("exchange_done")
    def _on_exchange_done(self, exchange):
        exchange.connection.close()
        result = exchange.result
        if isinstance(result, connection.Response) and result.status in (200, 202):
            return
        _logger.warning(
            "platform did not confirm the reboot of operation %s", exchange.context
        )
        self._reboot_requested_at.pop((exchange.context, "told"), None)
        self._step_seen_at[(exchange.context, "stopped")] = time.monotonic()

    def _start_allowed_operations(self, now):
        state = self._follower.state
        allowed = planner.next_operations(
            state, now=time.time(), local_time=time.strftime("%H:%M")
        )
        keys = {("start", intent) for intent in allowed}
        for key in [key for key in self._step_seen_at if key[0] == "start"]:
            if key not in keys:
                del self._step_seen_at[key]
        for intent in allowed:
            since = self._step_seen_at.setdefault(("start", intent), now)
            if now - since >= self._session_keeper.rank * RANK_DELAY_S:
                self._propose_start(intent, now)

    def _propose_start(self, intent, now):
        entry = self._follower.state.fleet.instances[intent.instance]
        record = messages.OperationStarted(
            operation=uuid.uuid4().hex,
            instance=intent.instance,
            purpose=intent.purpose,
            target_pool=intent.target_pool,
            expected_version=entry.version,
            by=self._session_keeper.session,
        )
        self._propose_once(record, ("start", intent), now)

    def _propose_once(self, record, key, now):
        """Propose a record unless the same proposal is still undecided."""
        if key in self._proposed:
            return
        self._proposed[key] = now
        log_writer_events.propose(
            self, record, context=(key, record), timeout_s=DECISION_TIMEOUT_S
        )

    @handler("decided")
    def _on_decided(self, ticket, outcome):
        key, record = ticket.context
        self._proposed.pop(key, None)
        if type(outcome).__name__ != "Accepted":
            return
        if isinstance(record, messages.InstanceStopped):
            # A retired instance has no open operation any more and needs no reboot.
            operation = self._follower.state.fleet.operations.get(record.operation)
            if operation is not None:
                self._request_reboot(operation, time.monotonic())
