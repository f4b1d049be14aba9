"""Dispatches each caller's request from the front end to a backend server.

A request waits in the queue of its service, is sent to a server when a slot is free,
and is retried if that is allowed. A request with an idempotency key first claims the
key in the log, and its answer is recorded there before the caller gets it, so that
repeats of the request get the same answer.

Requests are sent only while this entry instance has the dispatch right: its session is
open and its view of the control state is recent enough (see ``stream.view``). Each
request gets exactly one outcome: answered, not run (it provably did not run) or unknown
(it may have run).
"""

import enum
import functools
import time

from circuits import BaseComponent, handler

from cranberryport import outcomes
from cranberryport.callers import admission, claims, health, requests, retry, routing
from cranberryport.http import connection
from cranberryport.observability import metrics_events
from cranberryport.state import fold_outcomes
from cranberryport.stream import log_writer_events

TICK_INTERVAL_S = 0.25
QUEUE_CAPACITY = 256
# Time to its deadline, in mean service times, that a request needs to start while
# others wait. An abandoned request keeps its slot in use for another 5 s; the figures
# are in docs/policy.md.
MIN_SERVICE_TIMES_LEFT = 2.0
NO_DISPATCH_RIGHT_RETRY_AFTER_S = 1.0
REFUSED_HEADER = b"request-refused"
REFUSED_VALUE = b"before-execution"

# Callers choose their deadlines, so a timeout after less time than this does not count
# as a failure of the server.
MIN_COUNTED_TIMEOUT_S = 1.0

# Number of times that one request may claim its key. Claiming again succeeds if the key
# was released meanwhile, but an expired key is rejected each time.
MAX_CLAIMS = 3
# Headers that belong to a single connection or are set by the client connection.
CONNECTION_HEADERS = frozenset(
    {
        b"connection",
        b"content-length",
        b"expect",
        b"host",
        b"keep-alive",
        b"proxy-connection",
        b"request-id",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    }
)


class Phase(enum.Enum):
    """Phase of a request in the dispatcher."""

    NEW = "new"
    WAITING_FOR_KEY = "waiting for another claim of its key"
    CLAIMING = "waiting for its claim"
    QUEUED = "queued"
    RUNNING = "at a backend server"
    BACKING_OFF = "waiting for its next attempt"
    RECORDING = "waiting for its answer to be recorded"
    FINISHED = "finished"


class PendingRequest:
    """A request without an outcome, and what the dispatcher knows of its progress.

    Parameters
    ----------
    request : CallerRequest
        Request from the front end.
    """

    __slots__ = (
        "answer",
        "attempts",
        "claim_count",
        "claim_session",
        "digest",
        "is_cancelled",
        "is_claimed",
        "phase",
        "request",
        "server",
        "timer",
        "tried_servers",
        "unknown_outcome",
    )

    def __init__(self, *, request):
        self.request = request
        self.phase = Phase.NEW
        self.attempts = 0
        self.tried_servers = set()
        self.server = None
        self.timer = None
        self.is_cancelled = False
        self.is_claimed = False
        self.claim_count = 0
        self.claim_session = None
        self.digest = None
        self.answer = None
        self.unknown_outcome = None

    @property
    def request_class(self):
        """Class of the request, read by the queue."""
        return self.request.request_class

    @property
    def desk(self):
        """Desk (tenant) of the request, read by the queue."""
        return self.request.desk

    @property
    def deadline(self):
        """Monotonic deadline of the request, read by the queue."""
        return self.request.deadline

    @property
    def is_finished(self):
        """Whether the request has its outcome."""
        return self.phase is Phase.FINISHED


class _ServiceState:
    """Queue, retry budget, server health and mean service time of one service."""

    __slots__ = (
        "budget",
        "claiming_count",
        "deadline_timer",
        "deadline_timer_at",
        "health",
        "name",
        "queue",
        "service_time",
    )

    def __init__(self, *, name, queue):
        self.name = name
        self.queue = queue
        self.budget = retry.RetryBudget()
        self.health = health.ServerHealth()
        self.service_time = admission.ServiceTime()
        self.claiming_count = 0
        self.deadline_timer = None
        self.deadline_timer_at = None


class Dispatcher(BaseComponent):
    """Admits requests, sends them to backend servers and reports their outcomes.

    Parameters
    ----------
    timers : timers.Timers
        Schedules deadlines, backoff and the periodic check.
    pool : backend_pool.BackendPool
        Connections and slots.
    view : object
        Control state with ``servers(service)``, ``connections_share(service)``,
        ``configuration()``, ``key(key)``, ``has_dispatch_right``,
        ``is_key_history_lost`` and ``session``.
    data_centre : str
        Data centre of this entry instance.
    random : random.Random
        Source of randomness for routing and backoff.
    queue_capacity : int
        Largest number of requests that wait for a slot of one service.
    """

    channel = "dispatcher"

    def __init__(
        self, *, timers, pool, view, data_centre, random, queue_capacity=QUEUE_CAPACITY
    ):
        super().__init__()
        self._timers = timers
        self._pool = pool
        self._view = view
        self._data_centre = data_centre
        self._random = random
        self._queue_capacity = queue_capacity
        self._services = {}
        self._pending_requests = {}
        # Idempotency key to the requests that wait for the end of another claim of it.
        self._waiting_by_key = {}
        self._claims = claims.Claims(view=view, append=self._append_record)

    @property
    def request_count(self):
        """Number of requests without an outcome."""
        return len(self._pending_requests)

    def queue_length(self, service):
        """Return how many requests wait for a slot of a service."""
        return len(self._services[service].queue) if service in self._services else 0

    def failed_servers(self):
        """Return the names of the servers to which a new connection failed recently."""
        return {
            name
            for service_state in self._services.values()
            for name in service_state.health.recent_connect_failures(time.monotonic())
        }

    def record_peer_report(self, server, peer):
        """Record that another entry instance cannot connect to a server."""
        for service_state in self._services.values():
            service_state.health.record_peer_report(server, peer, time.monotonic())

    @handler("submit")
    def _on_submit(self, request):
        pending = PendingRequest(request=request)
        self._pending_requests[request] = pending
        if request.key is None:
            self._admit(pending)
        else:
            pending.digest = claims.request_digest(request)
            self._run_next_key_step(pending)

    @handler("cancel")
    def _on_cancel(self, request):
        pending = self._pending_requests.get(request)
        if pending is None:
            return
        pending.is_cancelled = True
        if pending.phase in (Phase.RUNNING, Phase.RECORDING):
            # The server may be running the request, so its slot stays in use.
            return
        if pending.phase is Phase.WAITING_FOR_KEY:
            reason = "the caller left while the first request of this key ran"
            self._finish(pending, outcomes.Unknown(status=504, reason=reason))
            return
        self._find_service_state(request.service).queue.cancel(pending)
        self._finish_not_run(pending, "the caller left before the request was sent")

    @handler("decided")
    def _on_decided(self, ticket, outcome):
        record_kind, pending = ticket.context
        is_accepted = isinstance(outcome, fold_outcomes.Accepted)
        is_decided = not isinstance(outcome, log_writer_events.Undecided)
        if record_kind is claims.RecordKind.CLAIM:
            self._on_claim_decided(pending, outcome, is_accepted, is_decided)
        elif record_kind is claims.RecordKind.FINISH:
            self._claims.stop_tracking(pending)
            self._finish_with_answer(pending)
        elif is_decided:
            self._claims.stop_tracking(pending)
        self._recheck_waiting_requests()

    @handler("slot_freed")
    def _on_slot_freed(self, service):
        self._start_queued_requests(service)

    @handler("folded", channel="*")
    def _on_folded(self, *_):
        self._recheck_waiting_requests()

    @handler("started", channel="*")
    def _on_started(self, *_):
        self._timers.after(TICK_INTERVAL_S, self._tick)

    def _tick(self):
        # Shares and servers can change without a folded record: through the platform's
        # instance list, through peers, and when units of a share are withheld.
        self._timers.after(TICK_INTERVAL_S, self._tick)
        for name, service_state in list(self._services.items()):
            service_state.health.keep_only(
                {server.name for server in self._view.servers(name)}
            )
            self._start_queued_requests(name)

    # Keys

    def _run_next_key_step(self, pending):
        step = self._claims.find_next_step(pending)
        if step is claims.NextStep.WAIT:
            self._wait_for_key(pending)
        elif step is claims.NextStep.CLAIM:
            self._claim_key(pending)
        else:
            self._finish(pending, step)

    def _wait_for_key(self, pending):
        if pending.phase is Phase.WAITING_FOR_KEY:
            return
        pending.phase = Phase.WAITING_FOR_KEY
        self._waiting_by_key.setdefault(pending.request.key, []).append(pending)
        self._restart_timer(
            pending, pending.deadline - time.monotonic(), self._on_key_wait_timeout
        )

    def _on_key_wait_timeout(self, pending):
        self._finish(pending, self._claims.find_timeout_outcome(pending))

    def _recheck_waiting_requests(self):
        for key in list(self._waiting_by_key):
            for pending in list(self._waiting_by_key.get(key, ())):
                step = self._claims.find_next_step(pending)
                if step is not claims.NextStep.WAIT:
                    self._stop_waiting(pending)
                    self._run_next_key_step(pending)

    def _stop_waiting(self, pending):
        key = pending.request.key
        self._waiting_by_key[key].remove(pending)
        if not self._waiting_by_key[key]:
            del self._waiting_by_key[key]
        pending.phase = Phase.NEW
        self._cancel_timer(pending)

    def _claim_key(self, pending):
        service_state = self._find_service_state(pending.request.service)
        if not self._view.has_dispatch_right:
            self._refuse_without_dispatch_right(pending)
            return
        if self._view.is_key_history_lost:
            self._finish_not_run(
                pending, "claims of earlier keys were lost with the log"
            )
            return
        refused = service_state.queue.check_admission(
            pending,
            time.monotonic(),
            self._estimate_wait(service_state, pending),
            expected_entries=service_state.claiming_count,
        )
        if refused is not None:
            self._finish_refused(pending, refused)
            return
        pending.phase = Phase.CLAIMING
        pending.is_claimed = True
        pending.claim_count += 1
        service_state.claiming_count += 1
        # The log writer may not answer before the deadline of the request.
        self._restart_timer(
            pending, pending.deadline - time.monotonic(), self._on_claim_timeout
        )
        self._claims.append_claim(pending)

    def _on_claim_timeout(self, pending):
        self._finish_not_run(pending, "the log did not confirm the key in time")

    def _on_claim_decided(self, pending, outcome, is_accepted, is_decided):
        if pending.phase is not Phase.CLAIMING:
            # The request already has its outcome; its release follows the claim in
            # the log.
            return
        if is_accepted:
            self._leave_claiming(pending)
            self._admit(pending)
        elif not is_decided:
            self._finish_not_run(pending, "the log did not confirm the key in time")
        else:
            self._leave_claiming(pending)
            pending.is_claimed = False
            self._claims.stop_tracking(pending)
            self._on_claim_rejected(pending, outcome)

    def _on_claim_rejected(self, pending, outcome):
        step = self._claims.find_next_step(pending)
        is_refused = step is claims.NextStep.CLAIM and pending.claim_count >= MAX_CLAIMS
        if is_refused:
            reason = f"the key was rejected: {outcome.reason}"
            self._finish(pending, outcomes.NotRun(status=422, reason=reason))
        else:
            # The key may be free: another request may have released it after the claim
            # was rejected.
            self._run_next_key_step(pending)

    def _leave_claiming(self, pending):
        if pending.phase is Phase.CLAIMING:
            self._find_service_state(pending.request.service).claiming_count -= 1
            pending.phase = Phase.NEW
        self._cancel_timer(pending)

    def _append_record(self, record, record_kind, pending, lifetime_s):
        now = time.monotonic()
        if lifetime_s is None:
            # The second half of the time to the deadline is kept for the request.
            deadline = now + (pending.deadline - now) / 2
        else:
            deadline = now + lifetime_s
        ticket = log_writer_events.Ticket(
            reply_channel=self.channel,
            context=(record_kind, pending),
            deadline=deadline,
        )
        self.fire(log_writer_events.append(record, ticket), "log_writer")

    def _finish_with_answer(self, pending):
        if pending.phase is Phase.RECORDING:
            self._finish(pending, pending.answer)

    # Admission

    def _find_service_state(self, name):
        service_state = self._services.get(name)
        if service_state is None:
            queue = admission.AdmissionQueue(
                capacity=self._queue_capacity, weight=self._get_desk_weight
            )
            service_state = self._services[name] = _ServiceState(name=name, queue=queue)
        return service_state

    def _get_desk_weight(self, desk):
        return self._view.configuration().desk(desk).weight

    def _admit(self, pending):
        if pending.is_finished:
            return
        service_state = self._find_service_state(pending.request.service)
        wait_s = self._estimate_wait(service_state, pending)
        result = service_state.queue.offer(pending, time.monotonic(), wait_s)
        if isinstance(result, admission.Refused):
            self._finish_refused(pending, result)
            return
        pending.phase = Phase.QUEUED
        if result.displaced is not None:
            reason = "a request of a higher class took the place in the full queue"
            self._finish_not_run(result.displaced, reason)
        self._start_queued_requests(service_state.name)

    def _estimate_wait(self, service_state, pending):
        servers = self._view.servers(service_state.name)
        return admission.estimate_wait(
            entries_ahead=service_state.queue.entries_ahead(pending),
            slots_in_use=sum(
                self._pool.own_slots_in_use(server.name) for server in servers
            ),
            slots_total=sum(self._pool.slots_total(server) for server in servers),
            service_time_s=service_state.service_time.mean_s,
        )

    def _start_queued_requests(self, name):
        """Start the queued requests that may start, and refuse the expired ones."""
        service_state = self._find_service_state(name)
        now = time.monotonic()
        for pending in service_state.queue.expire(now):
            self._finish_not_run(pending, "no slot became free before the deadline")
        while service_state.queue:
            choices = self._find_candidates(service_state, now, None)
            pending = self._take_next_request(service_state, choices, now)
            if pending is None and self._pool.borrower:
                first = service_state.queue.peek(
                    now, min_time_left_s=_min_time_left_s(service_state)
                )
                choices = self._find_candidates(service_state, now, first)
                pending = self._take_next_request(service_state, choices, now)
            if pending is None:
                break
            self._start_request(service_state, pending, choices)
        self._schedule_queue_deadline(service_state)

    def _take_next_request(self, service_state, choices, now):
        candidates = [candidate for candidate, _ in choices.values()]
        if not any(candidate.has_free_slot for candidate in candidates):
            return None
        # The slots reserved for rush requests are a percentage of the own and borrowed
        # slots together, so that a free reserved slot does not keep the other classes
        # from using borrowed ones.
        in_use = sum(candidate.slots_in_use for candidate in candidates)
        total = sum(candidate.slots_total for candidate in candidates)
        settings = self._view.configuration().service(service_state.name)
        is_open_to_all = admission.may_start(
            "interactive", in_use, total, settings.reserved_rush_percent
        )
        return service_state.queue.take(
            now,
            rush_only=not is_open_to_all,
            min_time_left_s=_min_time_left_s(service_state),
        )

    def _find_candidates(self, service_state, now, pending):
        """Return pairs of candidate and server by name, for servers that may be used.

        If the request that starts next is given, borrowed slots that outlast its
        deadline count too.
        """
        deadline = None if pending is None else pending.deadline
        servers = [
            server
            for server in self._view.servers(service_state.name)
            if server.is_usable
        ]
        names = [server.name for server in servers]
        ejected = service_state.health.ejected_servers(names, now)
        probed = service_state.health.ejected_or_probed_servers(names) - ejected
        return {
            server.name: (
                self._make_candidate(service_state, server, probed, deadline),
                server,
            )
            for server in servers
            if server.name not in ejected
            and not service_state.health.is_down(server.name, now)
        }

    def _make_candidate(self, service_state, server, probed, deadline):
        in_use = self._pool.own_slots_in_use(server.name)
        total = self._pool.slots_total(server, deadline)
        if server.name in probed:
            total = min(total, 1)
        if in_use < total and not self._pool.is_connection_available(
            service_state.name, server
        ):
            total = in_use
        return routing.Candidate(
            name=server.name,
            data_centre=server.data_centre,
            slots_in_use=in_use,
            slots_total=total,
        )

    def _schedule_queue_deadline(self, service_state):
        due = service_state.queue.next_deadline
        if due == service_state.deadline_timer_at:
            return
        if service_state.deadline_timer is not None:
            service_state.deadline_timer.cancel()
        service_state.deadline_timer_at = due
        service_state.deadline_timer = None
        if due is not None:
            service_state.deadline_timer = self._timers.after(
                due - time.monotonic(),
                functools.partial(self._on_queue_deadline, service_state),
            )

    def _on_queue_deadline(self, service_state):
        service_state.deadline_timer_at = None
        self._start_queued_requests(service_state.name)

    # Attempts

    def _start_request(self, service_state, pending, choices):
        if not self._view.has_dispatch_right:
            self._refuse_without_dispatch_right(pending)
            return
        if not self._is_claim_in_force(pending):
            self._finish_not_run(pending, "the claim of the key is no longer in force")
            return
        chosen = routing.choose_server(
            [candidate for candidate, _ in choices.values()],
            data_centre=self._data_centre,
            tried=pending.tried_servers,
            random=self._random,
        )
        server = choices[chosen.name][1]
        pending.phase = Phase.RUNNING
        pending.server = server.name
        pending.tried_servers.add(server.name)
        pending.attempts += 1
        if pending.attempts == 1:
            service_state.budget.add_first_attempt()
        is_started = self._pool.start_attempt(
            service_state.name,
            server,
            self._make_exchange(pending),
            functools.partial(self._on_attempt_done, pending),
        )
        if not is_started:
            self._finish_not_run(pending, "no connection was free")

    def _make_exchange(self, pending):
        request = pending.request
        return connection.Exchange(
            method=request.method,
            target=request.target,
            headers=_keep_end_to_end(request.headers),
            body=request.body,
            deadline=request.deadline,
            reply_channel=self._pool.channel,
            request_id=request.id.encode(),
            may_send=functools.partial(self._may_send, pending),
        )

    def _is_claim_in_force(self, pending):
        return pending.request.key is None or self._claims.is_claim_in_force(pending)

    def _may_send(self, pending):
        """Return whether the first byte of a request may be sent now."""
        if not self._view.has_dispatch_right or pending.is_cancelled:
            return False
        if time.monotonic() >= pending.deadline:
            # If the process was paused while it connected, the connection may be made
            # before the timeout is handled, and the lender may already use a borrowed
            # slot again.
            return False
        if not self._is_claim_in_force(pending):
            return False
        servers = self._view.servers(pending.request.service)
        return any(
            server.name == pending.server and server.is_usable for server in servers
        )

    def _on_attempt_done(self, pending, attempt, exchange):
        service_state = self._find_service_state(pending.request.service)
        result = exchange.result
        now = time.monotonic()
        self._record_health(service_state, attempt, exchange, now)
        if isinstance(result, connection.Response) and not _is_refused_before_execution(
            result
        ):
            service_state.service_time.observe(now - exchange.started_at)
            self._finish_answered(pending, result)
        else:
            self._finish_or_retry(service_state, pending, _make_failure_outcome(result))
        self._start_queued_requests(service_state.name)

    def _record_health(self, service_state, attempt, exchange, now):
        name = attempt.server.name
        result = exchange.result
        connected_at = exchange.connection.connected_at
        if isinstance(result, connection.Response):
            if attempt.is_new_connection:
                service_state.health.record_connected(name)
            if result.status < 500:
                service_state.health.record_success(name, now)
            elif not _is_refused_before_execution(result):
                service_state.health.record_failure(name, now)
        elif connected_at is None:
            is_short = now - exchange.started_at < MIN_COUNTED_TIMEOUT_S
            if result.reason != "timeout" or not is_short:
                service_state.health.record_connect_failure(name, now)
                service_state.health.record_failure(name, now)
        elif not result.bytes_sent:
            return
        elif result.reason != "timeout":
            service_state.health.record_failure(name, now)
        else:
            self._record_timeout(service_state, attempt, exchange, now)

    def _record_timeout(self, service_state, attempt, exchange, now):
        name = attempt.server.name
        if attempt.is_new_connection:
            if now - exchange.started_at >= MIN_COUNTED_TIMEOUT_S:
                service_state.health.record_failure(name, now)
            return
        # The fault may be in this connection, such as a path that has lost its state,
        # and not in the server.
        connected_at = exchange.connection.connected_at
        idle = self._pool.idle_connections(name)
        self._pool.close_if_idle(health.connections_to_close(connected_at, idle))

    def _finish_or_retry(self, service_state, pending, outcome):
        if isinstance(outcome, outcomes.Unknown):
            pending.unknown_outcome = outcome
        if not self._view.has_dispatch_right:
            if isinstance(outcome, outcomes.NotRun):
                self._refuse_without_dispatch_right(pending)
            else:
                self._finish(pending, outcome)
            return
        delay_s = None
        if not pending.is_cancelled:
            delay_s = retry.plan_retry(
                budget=service_state.budget,
                attempts=pending.attempts,
                is_not_run=isinstance(outcome, outcomes.NotRun),
                is_repeatable=pending.request.is_safe and pending.request.key is None,
                now=time.monotonic(),
                deadline=pending.deadline,
                random=self._random,
            )
        if delay_s is None:
            self._finish(pending, outcome)
            return
        pending.phase = Phase.BACKING_OFF
        self._restart_timer(pending, delay_s, self._admit)

    # Outcomes

    def _finish_answered(self, pending, answer):
        outcome = outcomes.Answered(
            status=answer.status,
            headers=_keep_end_to_end(answer.headers),
            body=answer.body,
        )
        if pending.request.key is None:
            self._finish(pending, outcome)
            return
        pending.phase = Phase.RECORDING
        pending.answer = outcome
        self._restart_timer(
            pending, pending.deadline - time.monotonic(), self._finish_with_answer
        )
        self._claims.append_answer(pending, outcome)

    def _refuse_without_dispatch_right(self, pending):
        reason = "this entry instance has lost contact with the log"
        self._finish_not_run(
            pending, reason, retry_after_s=NO_DISPATCH_RIGHT_RETRY_AFTER_S
        )

    def _finish_refused(self, pending, refused):
        self._finish_not_run(
            pending, refused.reason, retry_after_s=refused.retry_after_s
        )

    def _finish_not_run(self, pending, reason, *, retry_after_s=1.0):
        outcome = outcomes.NotRun(
            status=503, reason=reason, retry_after_s=retry_after_s
        )
        self._finish(pending, outcome)

    def _finish(self, pending, outcome):
        if pending.is_finished:
            return
        if isinstance(outcome, outcomes.NotRun) and pending.unknown_outcome is not None:
            # An earlier attempt of this request may have run.
            outcome = pending.unknown_outcome
        if pending.phase is Phase.WAITING_FOR_KEY:
            self._stop_waiting(pending)
        self._leave_claiming(pending)
        pending.phase = Phase.FINISHED
        del self._pending_requests[pending.request]
        self._release_or_forget_claim(pending, outcome)
        self.fire(requests.outcome(pending.request, outcome), "frontend")
        finished = metrics_events.request_finished(
            pending.request, outcome, pending.attempts, pending.server
        )
        self.fire(finished, "metrics")

    def _release_or_forget_claim(self, pending, outcome):
        if not pending.is_claimed:
            return
        if isinstance(outcome, outcomes.NotRun):
            self._claims.append_release(pending)
        elif isinstance(outcome, outcomes.Unknown):
            self._claims.stop_tracking(pending)

    def _restart_timer(self, pending, delay_s, call):
        self._cancel_timer(pending)
        pending.timer = self._timers.after(delay_s, functools.partial(call, pending))

    def _cancel_timer(self, pending):
        if pending.timer is not None:
            pending.timer.cancel()
            pending.timer = None


def _min_time_left_s(service_state):
    return MIN_SERVICE_TIMES_LEFT * service_state.service_time.mean_s


def _is_refused_before_execution(answer):
    if answer.status != 503:
        return False
    return (REFUSED_HEADER, REFUSED_VALUE) in answer.headers


def _keep_end_to_end(headers):
    return [
        (name, value)
        for name, value in headers
        if name.lower() not in CONNECTION_HEADERS
    ]


def _make_failure_outcome(result):
    """Return the outcome of an attempt that ended without a usable answer."""
    if isinstance(result, connection.Response):
        reason = "the backend server refused the request before execution"
        return outcomes.NotRun(status=503, reason=reason, retry_after_s=1.0)
    if not result.bytes_sent:
        reason = f"the request was not sent: {result.detail}"
        return outcomes.NotRun(status=503, reason=reason, retry_after_s=1.0)
    if result.reason == "timeout":
        reason = "the backend server gave no whole answer before the deadline"
        return outcomes.Unknown(status=504, reason=reason)
    reason = f"the backend server's answer is not whole: {result.detail}"
    return outcomes.Unknown(status=502, reason=reason)
