"""Carries out planned stops and moves, step by step, with whoever is left."""

import logging
import time
import uuid

from circuits import BaseComponent, handler

from cranberryport.fleet import planner
from cranberryport.generated import messages
from cranberryport.http import connection
from cranberryport.stream import log_writer_events

TICK_S = 0.5
APPEND_LIFETIME_S = 10.0
RANK_DELAY_S = 1.0
REQUEST_TIMEOUT_S = 5.0
# A short reboot can be over between two lists that this process has seen.
UNSEEN_REBOOT_S = 10.0
# Between the own clock and that of the platform, which dates its lists.
CLOCK_SKEW_S = 2.0
REPEAT_REBOOT_S = 15.0

_logger = logging.getLogger(__name__)


class OperationManager(BaseComponent):
    """Proposes the next step of every operation.

    Each step is a record with the operation's id and step as precondition, so that
    several instances can propose the same step and one of them counts.

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
    platform : object
        ``host`` and ``port`` of the instance list.
    count_in_flight : callable
        Takes an instance's name; requests of this process that may be running there.
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
        self._proposed = {}
        self._seen_since = {}
        self._told_at = {}
        self._seen_down = set()
        # Operation to the monotonic time at which this process first saw it.
        self._known_since = {}
        # Unix time at which this process first saw an operation as stopped.
        self._stopped_at = {}

    def age_s(self, operation):
        """Return for how many seconds this process has known of an open operation."""
        since = self._known_since.get(operation)
        return 0.0 if since is None else time.monotonic() - since

    @handler("started", channel="*")
    def _on_started(self, *_):
        self._timers.after(TICK_S, self._tick)

    def _tick(self):
        self._timers.after(TICK_S, self._tick)
        self._note_open(time.monotonic())
        if not self._session_keeper.is_open or not self._follower.has_dispatch_right:
            return
        now = time.monotonic()
        operations = self._follower.state.fleet.operations
        self._forget_finished(operations)
        for operation in list(operations.values()):
            self._advance(operation, now)
        self._start_next(now)

    def _note_open(self, now):
        # Without the log, too: a drain that an outage holds is also shown.
        known = self._known_since
        operations = self._follower.state.fleet.operations
        self._known_since = {name: known.get(name, now) for name in operations}

    def _forget_finished(self, operations):
        for known in (self._told_at, self._seen_since):
            for key in [key for key in known if key[0] not in operations]:
                if key[0] != "start":
                    del known[key]
        self._seen_down.intersection_update(operations)
        for name in [name for name in self._stopped_at if name not in operations]:
            del self._stopped_at[name]

    def _advance(self, operation, now):
        if operation.step == "draining":
            self._report_drain(operation, now)
        elif operation.step == "quiesced" and self._is_turn(operation, now):
            self._propose_end_of_drain(operation, now)
        elif operation.step == "stopped":
            self._watch_reboot(operation, now)

    def _propose_end_of_drain(self, operation, now):
        state = self._follower.state
        if operation.purpose == planner.MOVE:
            self._propose(messages.MoveCompleted, operation, now)
        elif not state.fleet.stop_rejection_reason(operation, state.configuration):
            self._propose(messages.InstanceStopped, operation, now)

    def _is_turn(self, operation, now):
        since = self._seen_since.setdefault((operation.operation, operation.step), now)
        return now - since >= self._session_keeper.rank * RANK_DELAY_S

    def _report_drain(self, operation, now):
        session = self._session_keeper.session
        if session not in operation.waiting or self._count_in_flight(
            operation.instance
        ):
            return
        record = messages.DrainReported(operation=operation.operation, session=session)
        self._append(record, (operation.operation, "drain", session), now)

    def _propose(self, record_type, operation, now):
        record = record_type(
            operation=operation.operation, by=self._session_keeper.session
        )
        self._append(record, (operation.operation, record_type.__name__), now)

    def _watch_reboot(self, operation, now):
        name = operation.operation
        since = self._seen_since.setdefault((name, "stopped"), now)
        stopped_at = self._stopped_at.setdefault(name, time.time())
        # A list of before the stop shows nothing of this reboot, however late it comes.
        list_age_s = self._instance_list.as_of - stopped_at
        if list_age_s < -CLOCK_SKEW_S:
            return
        if self._instance_list.is_leaving(operation.instance):
            self._seen_down.add(name)
            return
        told_at = self._told_at.get((name, "told"))
        was_unseen = told_at is not None and list_age_s > UNSEEN_REBOOT_S
        if name in self._seen_down or was_unseen:
            if self._is_turn(operation, now):
                self._propose(messages.InstanceReturned, operation, now)
            return
        patience_s = REPEAT_REBOOT_S + self._session_keeper.rank * RANK_DELAY_S
        # Whoever appended InstanceStopped may have died before telling the platform.
        # A second reboot of a stopped instance harms nobody.
        if told_at is None and now - since > patience_s:
            self._tell_platform(operation, now)

    def _tell_platform(self, operation, now):
        self._told_at[(operation.operation, "told")] = now
        _logger.info("reboot %s", operation.instance)
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
        _logger.warning("reboot of operation %s was not confirmed", exchange.context)
        self._told_at.pop((exchange.context, "told"), None)
        self._seen_since[(exchange.context, "stopped")] = time.monotonic()

    def _start_next(self, now):
        state = self._follower.state
        wanted = planner.next_operations(
            state, now=time.time(), local_time=time.strftime("%H:%M")
        )
        keys = {("start", intent) for intent in wanted}
        for key in [key for key in self._seen_since if key[0] == "start"]:
            if key not in keys:
                del self._seen_since[key]
        for intent in wanted:
            since = self._seen_since.setdefault(("start", intent), now)
            if now - since >= self._session_keeper.rank * RANK_DELAY_S:
                self._start(intent, now)

    def _start(self, intent, now):
        entry = self._follower.state.fleet.instances[intent.instance]
        record = messages.OperationStarted(
            operation=uuid.uuid4().hex,
            instance=intent.instance,
            purpose=intent.purpose,
            target_pool=intent.target_pool,
            expected_version=entry.version,
            by=self._session_keeper.session,
        )
        self._append(record, ("start", intent), now)

    def _append(self, record, key, now):
        """Append a record unless the same proposal is still undecided."""
        if key in self._proposed:
            return
        self._proposed[key] = now
        log_writer_events.propose(
            self, record, context=(key, record), lifetime_s=APPEND_LIFETIME_S
        )

    @handler("decided")
    def _on_decided(self, ticket, outcome):
        key, record = ticket.context
        self._proposed.pop(key, None)
        if type(outcome).__name__ != "Accepted":
            return
        if isinstance(record, messages.InstanceStopped):
            operation = self._follower.state.fleet.operations.get(record.operation)
            if operation is not None:
                self._tell_platform(operation, time.monotonic())
