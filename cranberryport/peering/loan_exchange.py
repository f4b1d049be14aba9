"""Asks other entry instances for slots, and lends idle ones to them.

An entry instance borrows while requests wait that its own share cannot start. The
messages are few: a loan takes several slots, and a peer that had none is left alone for
some time.
"""

import logging
import time
import uuid

from circuits import BaseComponent, handler

from cranberryport.callers import admission, backend_pool
from cranberryport.generated import messages

TICK_S = 0.1
# Half of the time that a request with the default deadline waits at most is left to
# the next requests; with the lender's margin it ends before a stopping daemon gives up.
LOAN_S = 20.0
MAX_UNITS = 8
ASKED_PEERS = 2
REFUSED_PAUSE_S = 0.5
ANSWER_TIMEOUT_S = 2.0
# A return and a new loan cost three messages, so short gaps between requests are kept.
IDLE_RETURN_S = 0.5

_logger = logging.getLogger(__name__)


class _Loan:
    """A loan that this side asked for."""

    __slots__ = ("asked_at", "is_granted", "lender", "service", "units", "wanted_at")

    def __init__(self, *, lender, service, units, now):
        self.lender = lender
        self.service = service
        self.units = units
        self.asked_at = now
        self.wanted_at = now
        self.is_granted = False


class LoanExchange(BaseComponent):
    """Both sides of the loans of slots between entry instances.

    Parameters
    ----------
    peers : cranberryport.peering.peers.Peers
        Carries the messages.
    timers : cranberryport.timers.Timers
        For the regular check.
    pool : cranberryport.callers.backend_pool.BackendPool
        Owns the slots and counts the loans.
    view : object
        Control state: ``has_dispatch_right``, ``servers(service)``,
        ``configuration()``.
    queue_length : callable
        Takes a service; requests that wait for a slot of it.
    random : random.Random
        Order of the peers, or all instances would ask the same one.
    """

    channel = "loan_exchange"

    def __init__(self, *, peers, timers, pool, view, queue_length, random):
        super().__init__()
        self._peers = peers
        self._clock = timers
        self._pool = pool
        self._view = view
        self._queue_length = queue_length
        self._random = random
        self._loans = {}
        self._refused_at = {}
        self._is_stopping = False

    @handler("started", channel="*")
    def _on_started(self, *_):
        self._clock.after(TICK_S, self._tick)

    @handler("signal", channel="*", priority=20)
    def _on_signal(self, *_):
        # A new loan would delay the end of the session.
        self._is_stopping = True

    @handler("peer_message", channel="*")
    def _on_peer_message(self, session, message):
        if isinstance(message, messages.SlotsRequested):
            self._lend(session, message)
        elif isinstance(message, messages.SlotsLent):
            self._take(session, message)
        elif isinstance(message, messages.SlotsReturned):
            self._pool.lender.end_loan(message.loan)

    def _lend(self, session, asked):
        granted = []
        # Without the right the own share may already belong to others.
        may_lend = self._view.has_dispatch_right and not self._is_stopping
        if may_lend and not self._queue_length(asked.service):
            units = min(asked.units, MAX_UNITS)
            granted = self._pool.lend(
                asked.service, units, asked.duration_s, asked.loan
            )
        sent = self._peers.send(
            session, messages.SlotsLent(loan=asked.loan, instances=granted)
        )
        if not sent:
            self._pool.lender.end_loan(asked.loan)

    def _take(self, session, lent):
        loan = self._loans.get(lent.loan)
        if loan is None or loan.lender != session or loan.is_granted:
            return
        if not lent.instances:
            self._refused_at[session, loan.service] = time.monotonic()
            self._forget(lent.loan)
            return
        if not self._pool.borrower.has_loan(lent.loan):
            # The lender's session has ended meanwhile.
            del self._loans[lent.loan]
            return
        loan.is_granted = True
        self._pool.borrower.record_grant(lent.loan, lent.instances)
        self.fire(backend_pool.slot_freed(loan.service), "dispatcher")

    def _tick(self):
        self._clock.after(TICK_S, self._tick)
        now = time.monotonic()
        self._drop_ended()
        self._give_up_unanswered(now)
        self._return_idle(now)
        if self._view.has_dispatch_right and not self._is_stopping:
            for service in self._services():
                self._borrow(service, now)

    def _services(self):
        pools = self._view.configuration().pools.values()
        return sorted({pool.service for pool in pools if pool.service})

    def _borrow(self, service, now):
        waiting = self._queue_length(service)
        if not waiting or self._may_start_own(service):
            return
        waiting -= sum(
            loan.units
            for loan in self._loans.values()
            if loan.service == service and not loan.is_granted
        )
        asked = {loan.lender for loan in self._loans.values() if not loan.is_granted}
        peers = [
            session
            for session in self._peers.statuses()
            if session not in asked and not self._has_refused(session, service, now)
        ]
        self._random.shuffle(peers)
        for session in peers[:ASKED_PEERS]:
            if waiting <= 0:
                return
            units = min(waiting, MAX_UNITS)
            waiting -= units
            self._ask(session, service, units)

    def _may_start_own(self, service):
        """Return whether own slots beside the reserve for rush requests are free."""
        servers = self._view.servers(service)
        free = [one for one in servers if self._pool.can_start(service, one)]
        settings = self._view.configuration().service(service)
        return bool(free) and admission.may_start(
            "interactive",
            sum(self._pool.own_slots_in_use(one.name) for one in servers),
            sum(self._pool.slots_total(one) for one in servers),
            settings.reserved_rush_percent,
        )

    def _has_refused(self, session, service, now):
        refused_at = self._refused_at.get((session, service))
        return refused_at is not None and now - refused_at < REFUSED_PAUSE_S

    def _ask(self, session, service, units):
        loan = uuid.uuid4().hex
        now = time.monotonic()
        self._pool.borrower.record_request(now, loan, session, LOAN_S, service=service)
        self._loans[loan] = _Loan(lender=session, service=service, units=units, now=now)
        message = messages.SlotsRequested(
            loan=loan, service=service, units=units, duration_s=LOAN_S
        )
        if not self._peers.send(session, message):
            self._forget(loan)

    def _drop_ended(self):
        for loan in list(self._loans):
            if not self._pool.borrower.has_loan(loan):
                del self._loans[loan]

    def _give_up_unanswered(self, now):
        for name, loan in list(self._loans.items()):
            if not loan.is_granted and now - loan.asked_at > ANSWER_TIMEOUT_S:
                _logger.info("peer %s did not answer a loan request", loan.lender)
                self._refused_at[loan.lender, loan.service] = now
                self._forget(name)
                # The request may have been granted and its answer lost.
                self._peers.send(loan.lender, messages.SlotsReturned(loan=name))

    def _return_idle(self, now):
        for loan in self._loans.values():
            if self._queue_length(loan.service):
                loan.wanted_at = now
        kept = {
            name
            for name, loan in self._loans.items()
            if now - loan.wanted_at < IDLE_RETURN_S
        }
        for lender, name in self._pool.return_idle_loans(kept):
            self._loans.pop(name, None)
            self._peers.send(lender, messages.SlotsReturned(loan=name))

    def _forget(self, name):
        self._loans.pop(name, None)
        self._pool.borrower.drop_loan(name)
