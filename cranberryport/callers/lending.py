"""Loans of single slots between entry instances, for less time than a rebalance takes.

Both sides count time on their own monotonic clock. The borrower counts from before it
asked and the lender from when it granted, so the borrower always stops first. The
lender adds a margin, because a request that was abandoned at its deadline may still run
at the backend server while the borrower holds its slot.

If the lender's session ends, its share passes to others when it is fenced. The borrower
therefore drops its loans when it folds the end: its dispatch right is shorter than the
time from the end to the fence, so no work starts on a slot that belongs to others.

Each slot is lent with one connection of its service. With 8 entry instances a share has
6 slots and 8 connections, so the borrower could use only 2 borrowed slots without them.
"""

import collections
import dataclasses

# With the margin it is shorter than the 35 s for which a daemon that stops waits.
MAX_LOAN_S = 25.0
MAX_LENT_RATIO = 0.5
LENDER_MARGIN_S = 6.0


class Lender:
    """Slots of the own share that others use.

    Parameters
    ----------
    free_slots : callable
        Takes a service; returns a dict of server to slots that are neither in use nor
        lent.
    margin_s : float
        Time after the end of a loan for which its slots still count as in use; longer
        than slots of abandoned requests are held.
    """

    __slots__ = ("_free_slots", "_loans", "_margin_s")

    def __init__(self, *, free_slots, margin_s=LENDER_MARGIN_S):
        self._free_slots = free_slots
        self._margin_s = margin_s
        self._loans = {}

    def lend(self, now, service, units, duration_s, *, loan):
        """Grant a loan.

        Parameters
        ----------
        now : float
            Monotonic seconds.
        service : str
            Service whose slots are wanted.
        units : int
            Slots wanted.
        duration_s : float
            Time wanted; more than ``MAX_LOAN_S`` is refused.
        loan : str
            Id; a repeated id gets the same slots and no more.

        Returns
        -------
        list of str
            One server for each slot, at most half of the free slots. Without this
            limit the lender could have to borrow for its own next requests.
        """
        self.expire_loans(now)
        if loan in self._loans:
            return list(self._loans[loan][0])
        if not 0.0 < duration_s <= MAX_LOAN_S:
            return []
        free = collections.Counter(self._free_slots(service))
        granted = []
        for _ in range(min(units, int(free.total() * MAX_LENT_RATIO))):
            server, _ = free.most_common(1)[0]
            free[server] -= 1
            granted.append(server)
        if granted:
            until = now + duration_s + self._margin_s
            self._loans[loan] = (granted, until, service)
        return list(granted)

    def end_loan(self, loan):
        """End a loan that the borrower returned."""
        self._loans.pop(loan, None)

    def lent_slots(self, server, now):
        """Return the slots of a server that count as in use by borrowers."""
        if not self._loans:
            return 0
        self.expire_loans(now)
        return sum(servers.count(server) for servers, _, _ in self._loans.values())

    def lent_connections(self, service, now):
        """Return the connections of a service that count as in use by borrowers."""
        if not self._loans:
            return 0
        self.expire_loans(now)
        return sum(
            len(servers) for servers, _, name in self._loans.values() if name == service
        )

    def total_lent_slots(self, now):
        """Return the slots of all servers that count as in use by borrowers."""
        self.expire_loans(now)
        return sum(len(servers) for servers, _, _ in self._loans.values())

    def expire_loans(self, now):
        """End the loans whose time is over."""
        over = [loan for loan, (_, until, _) in self._loans.items() if until <= now]
        for loan in over:
            del self._loans[loan]


@dataclasses.dataclass(kw_only=True, slots=True)
class _Borrowed:
    """A loan at the borrower."""

    lender: str
    service: str
    until: float
    free: collections.Counter
    in_use: collections.Counter
    is_granted: bool = False


class Borrower:
    """Slots of other instances' shares that this one may use."""

    __slots__ = ("_loans",)

    def __init__(self):
        self._loans = {}

    def __len__(self):
        return len(self._loans)

    def record_request(self, now, loan, lender, duration_s, *, service=""):
        """Note that a loan is about to be asked for.

        Parameters
        ----------
        now : float
            Monotonic seconds before the message is sent.
        loan, lender : str
            Id of the loan and session of the lender.
        duration_s : float
            Time asked for.
        service : str
            Service of the slots, for :meth:`borrowed_connections`.
        """
        self._loans[loan] = _Borrowed(
            lender=lender,
            service=service,
            until=now + duration_s,
            free=collections.Counter(),
            in_use=collections.Counter(),
        )

    def record_grant(self, loan, servers):
        """Take the slots of a loan; one that was not asked for is ignored."""
        borrowed = self._loans.get(loan)
        if borrowed is not None and not borrowed.is_granted:
            borrowed.is_granted = True
            borrowed.free.update(servers)

    def drop_loan(self, loan):
        """Stop using a loan; a grant that comes later is ignored."""
        self._loans.pop(loan, None)

    def has_loan(self, loan):
        """Return whether a loan was asked for and is not over."""
        return loan in self._loans

    def borrowed_connections(self, service, now):
        """Return the connections of a service that came with the loans."""
        return sum(
            borrowed.free.total() + borrowed.in_use.total()
            for borrowed in self._loans.values()
            if borrowed.service == service and now < borrowed.until
        )

    def usable_slots(self, server, deadline, now):
        """Return the free slots for a request with a deadline."""
        return sum(
            borrowed.free[server]
            for borrowed in self._loans.values()
            if _fits(borrowed, deadline, now)
        )

    def acquire_slot(self, server, deadline, now):
        """Use a slot for a request.

        Returns
        -------
        str or None
            Id of the loan; None if no loan has a free slot there until after the
            deadline. The loan that ends first is used first.
        """
        fitting = [
            (borrowed.until, loan)
            for loan, borrowed in self._loans.items()
            if borrowed.free[server] > 0 and _fits(borrowed, deadline, now)
        ]
        if not fitting:
            return None
        loan = min(fitting)[1]
        self._loans[loan].free[server] -= 1
        self._loans[loan].in_use[server] += 1
        return loan

    def release_slot(self, loan, server):
        """End the use of a slot; the loan may be over."""
        borrowed = self._loans.get(loan)
        if borrowed is not None:
            borrowed.in_use[server] -= 1
            borrowed.free[server] += 1

    def drop_loans_of(self, session):
        """Stop using the loans of a session that has ended."""
        self._drop(lambda borrowed: borrowed.lender == session)

    def expire_loans(self, now):
        """Forget the loans whose time is over."""
        self._drop(lambda borrowed: borrowed.until <= now)

    def remove_idle_loans(self, *, kept=()):
        """Forget and return the granted loans of which no slot is in use.

        Parameters
        ----------
        kept : collection of str
            Loans that stay.

        Returns
        -------
        list of (str, str)
            Lender and loan, for the message that returns them.
        """
        unused = [
            (borrowed.lender, loan)
            for loan, borrowed in self._loans.items()
            if borrowed.is_granted and not borrowed.in_use.total() and loan not in kept
        ]
        for _, loan in unused:
            del self._loans[loan]
        return unused

    def _drop(self, is_over):
        self._loans = {
            loan: borrowed
            for loan, borrowed in self._loans.items()
            if not is_over(borrowed)
        }


def _fits(borrowed, deadline, now):
    return now < borrowed.until and deadline < borrowed.until
