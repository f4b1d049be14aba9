"""Requests loans of slots from other entry instances, and grants loans to them.

An entry instance borrows slots while requests wait that cannot start on its own share.
To keep the number of messages low, a loan covers several slots, and a peer that refused
is not asked again for some time.
"""

import logging
import time
import uuid

from circuits import BaseComponent, handler

from cranberryport.callers import admission, backend_pool
from cranberryport.generated import messages

TICK_INTERVAL_S = 0.1
# Twice the default deadline of requests, so that a loan also serves requests that come
# after the first ones. With the lender's margin it ends before a stopping daemon gives
# up waiting for its slots.
LOAN_DURATION_S = 20.0
MAX_LOAN_UNITS = 8
MAX_ASKED_PEERS = 2
REFUSAL_PAUSE_S = 0.5
ANSWER_TIMEOUT_S = 2.0
# Returning a loan and getting a new one takes three messages, so loans are kept during
# short gaps between requests.
IDLE_LOAN_RETURN_S = 0.5

_logger = logging.getLogger(__name__)


class _RequestedLoan:
    """A loan that this entry instance has requested from a peer."""

    __slots__ = (
        "requested_at",
        "is_granted",
        "lender",
        "service",
        "units",
        "last_needed_at",
    )

    def __init__(self, *, lender, service, units, now):
        self.lender = lender
        self.service = service
        self.units = units
        self.requested_at = now
        self.last_needed_at = now
        self.is_granted = False


class LoanExchange(BaseComponent):
    """Exchanges the messages about loans of slots, as borrower and as lender.

    Parameters
    ----------
    peers : cranberryport.peering.peers.Peers
        Sends the messages.
    timers : cranberryport.timers.Timers
        Schedules the periodic check.
    pool : cranberryport.callers.backend_pool.BackendPool
        Owns the slots and keeps account of the loans.
    view : object
        Control state with ``has_dispatch_right``, ``servers(service)`` and
        ``configuration()``.
    queue_length : callable
        Called with the name of a service; returns how many requests wait for a slot.
    random : random.Random
        Shuffles the peers; otherwise all entry instances would ask the same one first.
    """

    channel = "loan_exchange"

    def __init__(self, *, peers, timers, pool, view, queue_length, random):
        super().__init__()
        self._peers = peers
        self._timers = timers
        self._pool = pool
        self._view = view
        self._queue_length = queue_length
        self._random = random
        # Id of each requested loan to the loan.
        self._loans = {}
        # Pair of lender's session and service to the time of the last refusal.
        self._refused_at = {}
        self._is_stopping = False

    @handler("started", channel="*")
    def _on_started(self, *_):
        self._timers.after(TICK_INTERVAL_S, self._tick)

    @handler("signal", channel="*", priority=20)
    def _on_signal(self, *_):
        # A new loan would delay closing the session.
        self._is_stopping = True

    @handler("peer_message", channel="*")
    def _on_peer_message(self, session, message):
        if isinstance(message, messages.SlotsRequested):
            self._answer_loan_request(session, message)
        elif isinstance(message, messages.SlotsLent):
            self._accept_loan(session, message)
        elif isinstance(message, messages.SlotsReturned):
            self._pool.lender.end_loan(message.loan)

    def _answer_loan_request(self, session, request):
        granted = []
        # Without the dispatch right, the own share may already have been passed on.
        may_lend = self._view.has_dispatch_right and not self._is_stopping
        if may_lend and not self._queue_length(request.service):
            units = min(request.units, MAX_LOAN_UNITS)
            granted = self._pool.lend_slots(
                request.service, units, request.duration_s, request.loan
            )
        sent = self._peers.send(
            session, messages.SlotsLent(loan=request.loan, instances=granted)
        )
        if not sent:
            self._pool.lender.end_loan(request.loan)

    def _accept_loan(self, session, answer):
        loan = self._loans.get(answer.loan)
        if loan is None or loan.lender != session or loan.is_granted:
            return
        if not answer.instances:
            self._refused_at[session, loan.service] = time.monotonic()
            self._drop_loan(answer.loan)
            return
        if not self._pool.borrower.has_loan(answer.loan):
            # The session of the lender has ended or the loan has expired meanwhile.
            del self._loans[answer.loan]
            return
        loan.is_granted = True
        self._pool.borrower.record_grant(answer.loan, answer.instances)
        self.fire(backend_pool.slot_freed(loan.service), "dispatcher")

    def _tick(self):
        self._timers.after(TICK_INTERVAL_S, self._tick)
        now = time.monotonic()
        self._drop_ended_loans()
        self._drop_unanswered_requests(now)
        self._return_idle_loans(now)
        if self._view.has_dispatch_right and not self._is_stopping:
            for service in self._services_with_pools():
                self._request_loans(service, now)

    def _services_with_pools(self):
        pools = self._view.configuration().pools.values()
        return sorted({pool.service for pool in pools if pool.service})

    def _request_loans(self, service, now):
        unserved_count = self._queue_length(service)
        if not unserved_count or self._is_own_slot_free(service):
            return
        unserved_count -= sum(
            loan.units
            for loan in self._loans.values()
            if loan.service == service and not loan.is_granted
        )
        asked = {loan.lender for loan in self._loans.values() if not loan.is_granted}
        peers = [
            session
            for session in self._peers.statuses()
            if session not in asked
            and not self._has_refused_recently(session, service, now)
        ]
        self._random.shuffle(peers)
        for session in peers[:MAX_ASKED_PEERS]:
            if unserved_count <= 0:
                return
            units = min(unserved_count, MAX_LOAN_UNITS)
            unserved_count -= units
            self._request_loan(session, service, units)

    def _is_own_slot_free(self, service):
        """Return whether a slot of the own share is free and not reserved for rush."""
        servers = self._view.servers(service)
        free = [
            server
            for server in servers
            if self._pool.can_start_attempt(service, server)
        ]
        settings = self._view.configuration().service(service)
        return bool(free) and admission.may_start(
            "interactive",
            sum(self._pool.own_slots_in_use(server.name) for server in servers),
            sum(self._pool.slots_total(server) for server in servers),
            settings.reserved_rush_percent,
        )

    def _has_refused_recently(self, session, service, now):
        refused_at = self._refused_at.get((session, service))
        return refused_at is not None and now - refused_at < REFUSAL_PAUSE_S

    def _request_loan(self, session, service, units):
        loan_id = uuid.uuid4().hex
        now = time.monotonic()
        self._pool.borrower.record_request(
            now, loan_id, session, LOAN_DURATION_S, service=service
        )
        self._loans[loan_id] = _RequestedLoan(
            lender=session, service=service, units=units, now=now
        )
        message = messages.SlotsRequested(
            loan=loan_id, service=service, units=units, duration_s=LOAN_DURATION_S
        )
        if not self._peers.send(session, message):
            self._drop_loan(loan_id)

    def _drop_ended_loans(self):
        for loan_id in list(self._loans):
            if not self._pool.borrower.has_loan(loan_id):
                del self._loans[loan_id]

    def _drop_unanswered_requests(self, now):
        for loan_id, loan in list(self._loans.items()):
            if not loan.is_granted and now - loan.requested_at > ANSWER_TIMEOUT_S:
                _logger.info("peer %s did not answer a loan request", loan.lender)
                self._refused_at[loan.lender, loan.service] = now
                self._drop_loan(loan_id)
                # The loan may have been granted although the answer did not arrive.
                self._peers.send(loan.lender, messages.SlotsReturned(loan=loan_id))

    def _return_idle_loans(self, now):
        for loan in self._loans.values():
            if self._queue_length(loan.service):
                loan.last_needed_at = now
        kept = {
            loan_id
            for loan_id, loan in self._loans.items()
            if now - loan.last_needed_at < IDLE_LOAN_RETURN_S
        }
        for lender, loan_id in self._pool.return_idle_loans(kept):
            self._loans.pop(loan_id, None)
            self._peers.send(lender, messages.SlotsReturned(loan=loan_id))

    def _drop_loan(self, loan_id):
        self._loans.pop(loan_id, None)
        self._pool.borrower.drop_loan(loan_id)
