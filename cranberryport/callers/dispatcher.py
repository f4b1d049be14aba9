"""The life of a request from the front end to a backend server and back."""

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

TICK_S = 0.25
QUEUE_CAPACITY = 256
# Mean service times that a request must have left to start while others wait. Work
# that is abandoned takes its slot for 5 s more; docs/policy.md has the figures.
NEEDED_SERVICE_TIMES = 2.0
NO_RIGHT_RETRY_AFTER_S = 1.0
REFUSED_HEADER = b"request-refused"
REFUSED_VALUE = b"before-execution"

# A caller chooses its deadline. A timeout after less time says nothing of the server.
MIN_TIMEOUT_EVIDENCE_S = 1.0

# Claims of one request. A key that another request has released meanwhile is claimed
# again; one that is rejected for good, as it has expired, is rejected each time.
CLAIMS_LIMIT = 3
# They belong to one connection, or the connection sets them itself.
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
    """Where a request is."""

    NEW = "new"
    WAITING = "waiting for another claim of its key"
    CLAIMING = "waiting for its claim"
    QUEUED = "queued"
    RUNNING = "at a backend server"
    BACKING_OFF = "waiting for its next attempt"
    RECORDING = "waiting for its answer to be recorded"
    FINISHED = "finished"


class Work:
    """A request in the dispatcher.

    Parameters
    ----------
    request : CallerRequest
        From the front end.
    """

    __slots__ = (
        "answer",
        "attempts",
        "claim_count",
        "digest",
        "is_cancelled",
        "is_claimed",
        "phase",
        "request",
        "server",
        "session",
        "timer",
        "tried",
        "unknown",
    )

    def __init__(self, *, request):
        self.request = request
        self.phase = Phase.NEW
        self.attempts = 0
        self.tried = set()
        self.server = None
        self.timer = None
        self.is_cancelled = False
        self.is_claimed = False
        self.claim_count = 0
        self.session = None
        self.digest = None
        self.answer = None
        self.unknown = None

    @property
    def request_class(self):
        """Class of the request, for the queue."""
        return self.request.request_class

    @property
    def desk(self):
        """Desk of the request, for the queue."""
        return self.request.desk

    @property
    def deadline(self):
        """Deadline of the request, for the queue."""
        return self.request.deadline

    @property
    def is_finished(self):
        """Whether the outcome was given."""
        return self.phase is Phase.FINISHED


class _Service:
    """What the dispatcher keeps for one service."""

    __slots__ = (
        "budget",
        "claiming",
        "expiry_timer",
        "expiry_time",
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
        self.claiming = 0
        self.expiry_timer = None
        self.expiry_time = None


class Dispatcher(BaseComponent):
    """Admits, sends and answers requests.

    Parameters
    ----------
    timers : timers.Timers
        For deadlines and backoff.
    pool : backend_pool.BackendPool
        Connections and slots.
    view : object
        Control state: ``servers(service)``, ``connections_share(service)``,
        ``configuration()``, ``key(key)``, ``has_dispatch_right`` and ``session``.
    data_centre : str
        Of this entry instance.
    random : random.Random
        For routing and backoff.
    queue_capacity : int
        Requests that can wait for each service.
    """

    channel = "dispatcher"

    def __init__(
        self, *, timers, pool, view, data_centre, random, queue_capacity=QUEUE_CAPACITY
    ):
        super().__init__()
        self._clock = timers
        self._pool = pool
        self._view = view
        self._data_centre = data_centre
        self._random = random
        self._queue_capacity = queue_capacity
        self._services = {}
        self._works = {}
        self._waiting = {}
        self._claims = claims.Claims(view=view, append=self._append)

    @property
    def request_count(self):
        """Number of requests without an outcome."""
        return len(self._works)

    def queue_length(self, service):
        """Return the number of requests that wait for a slot of a service."""
        return len(self._services[service].queue) if service in self._services else 0

    def failed_servers(self):
        """Return the names of the servers whose last new connection failed."""
        return {
            name
            for service in self._services.values()
            for name in service.health.recent_connect_failures(time.monotonic())
        }

    def record_peer_report(self, server, peer):
        """Note that another entry instance cannot connect to a server."""
        for service in self._services.values():
            service.health.record_peer_report(server, peer, time.monotonic())

    @handler("submit")
    def _on_submit(self, request):
        work = Work(request=request)
        self._works[request] = work
        if request.key is None:
            self._admit(work)
        else:
            work.digest = claims.digest(request)
            self._examine_key(work)

    @handler("cancel")
    def _on_cancel(self, request):
        work = self._works.get(request)
        if work is None:
            return
        work.is_cancelled = True
        if work.phase in (Phase.RUNNING, Phase.RECORDING):
            # The work may be running, so its slot stays taken until it ends.
            return
        if work.phase is Phase.WAITING:
            reason = "the caller left while the first request of this key ran"
            self._finish(work, outcomes.Unknown(status=504, reason=reason))
            return
        self._service(request.service).queue.cancel(work)
        self._finish_not_run(work, "the caller left before the request was sent")

    @handler("decided")
    def _on_decided(self, ticket, outcome):
        purpose, work = ticket.context
        is_accepted = isinstance(outcome, fold_outcomes.Accepted)
        is_decided = not isinstance(outcome, log_writer_events.Undecided)
        if purpose is claims.Purpose.CLAIM:
            self._on_claim_decided(work, outcome, is_accepted, is_decided)
        elif purpose is claims.Purpose.FINISH:
            self._claims.drop(work)
            self._give_recorded_answer(work)
        elif is_decided:
            self._claims.drop(work)
        self._recheck_waiting()

    @handler("slot_freed")
    def _on_slot_freed(self, service):
        self._pump(service)

    @handler("folded", channel="*")
    def _on_folded(self, *_):
        self._recheck_waiting()

    @handler("started", channel="*")
    def _on_started(self, *_):
        self._clock.after(TICK_S, self._tick)

    def _tick(self):
        # Shares and servers also change without a folded record, by the platform's
        # list, by peers and by withheld shares.
        self._clock.after(TICK_S, self._tick)
        for name, service in list(self._services.items()):
            service.health.keep({one.name for one in self._view.servers(name)})
            self._pump(name)

    # Keys

    def _examine_key(self, work):
        step = self._claims.examine(work)
        if step is claims.NextStep.WAIT:
            self._wait_for_key(work)
        elif step is claims.NextStep.CLAIM:
            self._claim(work)
        else:
            self._finish(work, step)

    def _wait_for_key(self, work):
        if work.phase is Phase.WAITING:
            return
        work.phase = Phase.WAITING
        self._waiting.setdefault(work.request.key, []).append(work)
        self._set_timer(
            work, work.deadline - time.monotonic(), self._on_waited_too_long
        )

    def _on_waited_too_long(self, work):
        self._finish(work, self._claims.waited_too_long(work))

    def _recheck_waiting(self):
        for key in list(self._waiting):
            for work in list(self._waiting.get(key, ())):
                step = self._claims.examine(work)
                if step is not claims.NextStep.WAIT:
                    self._stop_waiting(work)
                    self._examine_key(work)

    def _stop_waiting(self, work):
        key = work.request.key
        self._waiting[key].remove(work)
        if not self._waiting[key]:
            del self._waiting[key]
        work.phase = Phase.NEW
        self._cancel_timer(work)

    def _claim(self, work):
        service = self._service(work.request.service)
        if not self._view.has_dispatch_right:
            self._refuse_without_right(work)
            return
        if self._view.is_key_history_lost:
            self._finish_not_run(work, "claims of earlier keys were lost with the log")
            return
        refused = service.queue.check(
            work,
            time.monotonic(),
            self._estimate_wait(service, work),
            others=service.claiming,
        )
        if refused is not None:
            self._finish_refused(work, refused)
            return
        work.phase = Phase.CLAIMING
        work.is_claimed = True
        work.claim_count += 1
        service.claiming += 1
        # The log writer may never answer, but the caller's deadline is kept.
        self._set_timer(work, work.deadline - time.monotonic(), self._on_claim_late)
        self._claims.claim(work)

    def _on_claim_late(self, work):
        self._finish_not_run(work, "the log did not confirm the key in time")

    def _on_claim_decided(self, work, outcome, is_accepted, is_decided):
        if work.phase is not Phase.CLAIMING:
            # The request ended before, and its release follows the claim in the log.
            return
        if is_accepted:
            self._leave_claiming(work)
            self._admit(work)
        elif not is_decided:
            self._finish_not_run(work, "the log did not confirm the key in time")
        else:
            self._leave_claiming(work)
            work.is_claimed = False
            self._claims.drop(work)
            self._on_claim_rejected(work, outcome)

    def _on_claim_rejected(self, work, outcome):
        step = self._claims.examine(work)
        is_refused = step is claims.NextStep.CLAIM and work.claim_count >= CLAIMS_LIMIT
        if is_refused:
            reason = f"the key was rejected: {outcome.reason}"
            self._finish(work, outcomes.NotRun(status=422, reason=reason))
        else:
            # A free key was released before the rejection was heard of.
            self._examine_key(work)

    def _leave_claiming(self, work):
        if work.phase is Phase.CLAIMING:
            self._service(work.request.service).claiming -= 1
            work.phase = Phase.NEW
        self._cancel_timer(work)

    def _append(self, record, purpose, work, lifetime_s):
        now = time.monotonic()
        if lifetime_s is None:
            # The other half of the time is left to run the request.
            deadline = now + (work.deadline - now) / 2
        else:
            deadline = now + lifetime_s
        ticket = log_writer_events.Ticket(
            reply_channel=self.channel, context=(purpose, work), deadline=deadline
        )
        self.fire(log_writer_events.append(record, ticket), "log_writer")

    def _give_recorded_answer(self, work):
        if work.phase is Phase.RECORDING:
            self._finish(work, work.answer)

    # Admission

    def _service(self, name):
        service = self._services.get(name)
        if service is None:
            queue = admission.AdmissionQueue(
                capacity=self._queue_capacity, weight=self._weight
            )
            service = self._services[name] = _Service(name=name, queue=queue)
        return service

    def _weight(self, desk):
        return self._view.configuration().desk(desk).weight

    def _admit(self, work):
        if work.is_finished:
            return
        service = self._service(work.request.service)
        wait_s = self._estimate_wait(service, work)
        result = service.queue.offer(work, time.monotonic(), wait_s)
        if isinstance(result, admission.Refused):
            self._finish_refused(work, result)
            return
        work.phase = Phase.QUEUED
        if result.displaced is not None:
            reason = "a request of a higher class took the place in the full queue"
            self._finish_not_run(result.displaced, reason)
        self._pump(service.name)

    def _estimate_wait(self, service, work):
        servers = self._view.servers(service.name)
        return admission.estimate_wait(
            entries_ahead=service.queue.entries_ahead(work),
            slots_in_use=sum(self._pool.own_slots_in_use(one.name) for one in servers),
            slots_total=sum(self._pool.slots_total(one) for one in servers),
            service_time_s=service.service_time.mean_s,
        )

    def _pump(self, name):
        """Start what may start and end what is overdue."""
        service = self._service(name)
        now = time.monotonic()
        for work in service.queue.expire(now):
            self._finish_not_run(work, "no slot became free before the deadline")
        while service.queue:
            servers = self._find_servers(service, now, None)
            work = self._take_next(service, servers, now)
            if work is None and self._pool.borrower:
                first = service.queue.peek(now, min_time_left_s=_needed_s(service))
                servers = self._find_servers(service, now, first)
                work = self._take_next(service, servers, now)
            if work is None:
                break
            self._start(service, work, servers)
        self._schedule_expiry(service)

    def _take_next(self, service, servers, now):
        candidates = [candidate for candidate, _ in servers.values()]
        if not any(candidate.has_free_slot for candidate in candidates):
            return None
        # The reserve for rush requests counts over own and borrowed slots together: a
        # free reserved slot must not keep the other classes from borrowed ones.
        in_use = sum(candidate.slots_in_use for candidate in candidates)
        total = sum(candidate.slots_total for candidate in candidates)
        reserved = self._view.configuration().service(service.name)
        is_open = admission.may_start(
            "interactive", in_use, total, reserved.reserved_rush_percent
        )
        return service.queue.take(
            now, rush_only=not is_open, min_time_left_s=_needed_s(service)
        )

    def _find_servers(self, service, now, work):
        """Return candidates and servers by name, for servers that get work.

        With a request that starts next, borrowed slots count too.
        """
        deadline = None if work is None else work.deadline
        servers = [one for one in self._view.servers(service.name) if one.is_usable]
        names = [one.name for one in servers]
        ejected = service.health.ejected_servers(names, now)
        probed = service.health.ejected_or_probed_servers(names) - ejected
        return {
            one.name: (self._make_candidate(service, one, probed, deadline), one)
            for one in servers
            if one.name not in ejected and not service.health.is_down(one.name, now)
        }

    def _make_candidate(self, service, server, probed, deadline):
        in_use = self._pool.own_slots_in_use(server.name)
        total = self._pool.slots_total(server, deadline)
        if server.name in probed:
            total = min(total, 1)
        if in_use < total and not self._pool.has_connection(service.name, server):
            total = in_use
        return routing.Candidate(
            name=server.name,
            data_centre=server.data_centre,
            slots_in_use=in_use,
            slots_total=total,
        )

    def _schedule_expiry(self, service):
        due = service.queue.next_deadline
        if due == service.expiry_time:
            return
        if service.expiry_timer is not None:
            service.expiry_timer.cancel()
        service.expiry_time = due
        service.expiry_timer = None
        if due is not None:
            service.expiry_timer = self._clock.after(
                due - time.monotonic(), functools.partial(self._expire, service)
            )

    def _expire(self, service):
        service.expiry_time = None
        self._pump(service.name)

    # Attempts

    def _start(self, service, work, servers):
        if not self._view.has_dispatch_right:
            self._refuse_without_right(work)
            return
        if not self._holds_claim(work):
            self._finish_not_run(work, "the claim of the key is no longer in force")
            return
        chosen = routing.choose_server(
            [candidate for candidate, _ in servers.values()],
            data_centre=self._data_centre,
            tried=work.tried,
            random=self._random,
        )
        server = servers[chosen.name][1]
        work.phase = Phase.RUNNING
        work.server = server.name
        work.tried.add(server.name)
        work.attempts += 1
        if work.attempts == 1:
            service.budget.add_first_attempt()
        is_started = self._pool.start(
            service.name,
            server,
            self._make_exchange(work),
            functools.partial(self._on_attempt_done, work),
        )
        if not is_started:
            self._finish_not_run(work, "no connection was free")

    def _make_exchange(self, work):
        request = work.request
        return connection.Exchange(
            method=request.method,
            target=request.target,
            headers=_end_to_end(request.headers),
            body=request.body,
            deadline=request.deadline,
            reply_channel=self._pool.channel,
            request_id=request.id.encode(),
            may_send=functools.partial(self._may_send, work),
        )

    def _holds_claim(self, work):
        return work.request.key is None or self._claims.holds(work)

    def _may_send(self, work):
        """Return whether the first byte may go out now."""
        if not self._view.has_dispatch_right or work.is_cancelled:
            return False
        if time.monotonic() >= work.deadline:
            # After a pause the timeout may come later than the end of connecting, and
            # a borrowed slot may belong to its lender again.
            return False
        if not self._holds_claim(work):
            return False
        servers = self._view.servers(work.request.service)
        return any(one.name == work.server and one.is_usable for one in servers)

    def _on_attempt_done(self, work, attempt, exchange):
        service = self._service(work.request.service)
        result = exchange.result
        now = time.monotonic()
        self._note_evidence(service, attempt, exchange, now)
        if isinstance(result, connection.Response) and not _is_refused(result):
            service.service_time.observe(now - exchange.started_at)
            self._finish_answered(work, result)
        else:
            self._finish_or_retry(service, work, _outcome_of(result))
        self._pump(service.name)

    def _note_evidence(self, service, attempt, exchange, now):
        name = attempt.server.name
        result = exchange.result
        made_at = exchange.connection.connected_at
        if isinstance(result, connection.Response):
            if attempt.is_new_connection:
                service.health.record_connected(name)
            if result.status < 500:
                service.health.record_success(name, now)
            elif not _is_refused(result):
                service.health.record_failure(name, now)
        elif made_at is None:
            is_short = now - exchange.started_at < MIN_TIMEOUT_EVIDENCE_S
            if result.reason != "timeout" or not is_short:
                service.health.record_connect_failure(name, now)
                service.health.record_failure(name, now)
        elif not result.bytes_sent:
            return
        elif result.reason != "timeout":
            service.health.record_failure(name, now)
        else:
            self._note_timeout(service, attempt, exchange, now)

    def _note_timeout(self, service, attempt, exchange, now):
        name = attempt.server.name
        if attempt.is_new_connection:
            if now - exchange.started_at >= MIN_TIMEOUT_EVIDENCE_S:
                service.health.record_failure(name, now)
            return
        # An old connection may have gone silent while the server is well.
        made_at = exchange.connection.connected_at
        idle = self._pool.idle_connections(name)
        self._pool.close_idle(health.connections_to_close(made_at, idle))

    def _finish_or_retry(self, service, work, outcome):
        if isinstance(outcome, outcomes.Unknown):
            work.unknown = outcome
        if not self._view.has_dispatch_right:
            if isinstance(outcome, outcomes.NotRun):
                self._refuse_without_right(work)
            else:
                self._finish(work, outcome)
            return
        delay_s = None
        if not work.is_cancelled:
            delay_s = retry.plan_retry(
                budget=service.budget,
                attempts=work.attempts,
                is_not_run=isinstance(outcome, outcomes.NotRun),
                is_repeatable=work.request.is_safe and work.request.key is None,
                now=time.monotonic(),
                deadline=work.deadline,
                random=self._random,
            )
        if delay_s is None:
            self._finish(work, outcome)
            return
        work.phase = Phase.BACKING_OFF
        self._set_timer(work, delay_s, self._admit)

    # Outcomes

    def _finish_answered(self, work, answer):
        outcome = outcomes.Answered(
            status=answer.status,
            headers=_end_to_end(answer.headers),
            body=answer.body,
        )
        if work.request.key is None:
            self._finish(work, outcome)
            return
        work.phase = Phase.RECORDING
        work.answer = outcome
        self._set_timer(
            work, work.deadline - time.monotonic(), self._give_recorded_answer
        )
        self._claims.finish(work, outcome)

    def _refuse_without_right(self, work):
        reason = "this entry instance has lost contact with the log"
        self._finish_not_run(work, reason, retry_after_s=NO_RIGHT_RETRY_AFTER_S)

    def _finish_refused(self, work, refused):
        self._finish_not_run(work, refused.reason, retry_after_s=refused.retry_after_s)

    def _finish_not_run(self, work, reason, *, retry_after_s=1.0):
        outcome = outcomes.NotRun(
            status=503, reason=reason, retry_after_s=retry_after_s
        )
        self._finish(work, outcome)

    def _finish(self, work, outcome):
        if work.is_finished:
            return
        if isinstance(outcome, outcomes.NotRun) and work.unknown is not None:
            # An earlier attempt of a repeatable request may have run.
            outcome = work.unknown
        if work.phase is Phase.WAITING:
            self._stop_waiting(work)
        self._leave_claiming(work)
        work.phase = Phase.FINISHED
        del self._works[work.request]
        self._settle_claim(work, outcome)
        self.fire(requests.outcome(work.request, outcome), "frontend")
        finished = metrics_events.request_finished(
            work.request, outcome, work.attempts, work.server
        )
        self.fire(finished, "metrics")

    def _settle_claim(self, work, outcome):
        if not work.is_claimed:
            return
        if isinstance(outcome, outcomes.NotRun):
            self._claims.release(work)
        elif isinstance(outcome, outcomes.Unknown):
            self._claims.drop(work)

    def _set_timer(self, work, delay_s, call):
        self._cancel_timer(work)
        work.timer = self._clock.after(delay_s, functools.partial(call, work))

    def _cancel_timer(self, work):
        if work.timer is not None:
            work.timer.cancel()
            work.timer = None


def _needed_s(service):
    return NEEDED_SERVICE_TIMES * service.service_time.mean_s


def _is_refused(answer):
    if answer.status != 503:
        return False
    return (REFUSED_HEADER, REFUSED_VALUE) in answer.headers


def _end_to_end(headers):
    return [
        (name, value)
        for name, value in headers
        if name.lower() not in CONNECTION_HEADERS
    ]


def _outcome_of(result):
    """Return what a result without a usable answer tells the caller."""
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
