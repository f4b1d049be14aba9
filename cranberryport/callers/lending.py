"""Short loans of slots at backend servers between entry instances.

A loan lets an entry instance use free slots of another one's share, for less time than
it takes to rebalance the shares.

Each side measures the duration on its own monotonic clock: the borrower from before it
sends the request, the lender from when it grants the loan. The borrower therefore
always stops first. The lender also adds a margin, because a request that is abandoned
at its deadline may still be running at the backend server, and the borrower holds its
slot.

If the session of the lender ends, its share is passed on to other sessions when it is
fenced. The borrower therefore drops its loans when it folds the end of that session.
Its dispatch right lasts for less time than passes between the end and the fence, so it
starts no request on a slot that has been passed on.

Each slot is lent with one connection to its service. With 8 entry instances a share has
6 slots and 8 connections, so without lent connections a borrower could use only 2
borrowed slots.
"""

import collections
import dataclasses

# Together with the margin, shorter than the 35 s for which a stopping daemon waits.
MAX_LOAN_S = 25.0
MAX_LENT_RATIO = 0.5
LENDER_MARGIN_S = 6.0


class Lender:
    """Loans of slots of the own share to other entry instances.

    Parameters
    ----------
    free_slots : callable
        Called with the name of a service; returns a dict of server to the number of
        own slots that are neither in use nor lent.
    margin_s : float
        Seconds after the end of a loan for which its slots still count as lent. This
        must be longer than slots of abandoned requests are held.
    """

    __slots__ = ("_free_slots", "_loans", "_margin_s")

    def __init__(self, *, free_slots, margin_s=LENDER_MARGIN_S):
        self._free_slots = free_slots
        self._margin_s = margin_s
        self._loans = {}

    def lend(self, now, service, units, duration_s, *, loan):
        """Grant a loan of free slots.

        Parameters
        ----------
        now : float
            Monotonic seconds.
        service : str
            Name of the service.
        units : int
            Number of slots requested.
        duration_s : float
            Requested duration; a loan longer than ``MAX_LOAN_S`` is not granted.
        loan : str
            Id of the loan. A repeated request with the same id is answered with the
            same slots.

        Returns
        -------
        list of str
            Name of the server of each granted slot; at most half of the free slots are
            lent, so that the lender need not borrow for its own next requests.
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
            ends_at = now + duration_s + self._margin_s
            self._loans[loan] = (granted, ends_at, service)
        return list(granted)

    def end_loan(self, loan):
        """End a loan before its time, for example when the borrower returns it."""
        self._loans.pop(loan, None)

    def lent_slots(self, server, now):
        """Return how many slots of a server are lent."""
        if not self._loans:
            return 0
        self.expire_loans(now)
        return sum(servers.count(server) for servers, _, _ in self._loans.values())

    def lent_connections(self, service, now):
        """Return how many connections to a service are lent."""
        if not self._loans:
            return 0
        self.expire_loans(now)
        return sum(
            len(servers) for servers, _, name in self._loans.values() if name == service
        )

    def total_lent_slots(self, now):
        """Return how many slots of all servers are lent."""
        self.expire_loans(now)
        return sum(len(servers) for servers, _, _ in self._loans.values())

    def expire_loans(self, now):
        """End the loans whose duration and margin have passed."""
        expired = [
            loan for loan, (_, ends_at, _) in self._loans.items() if ends_at <= now
        ]
        for loan in expired:
            del self._loans[loan]


@dataclasses.dataclass(kw_only=True, slots=True)
class _BorrowedLoan:
    """A requested or granted loan, as the borrower sees it."""

    lender: str
    service: str
    ends_at: float
    free_slots: collections.Counter
    slots_in_use: collections.Counter
    is_granted: bool = False


class Borrower:
    """Loans of slots from other entry instances, and their use."""

    __slots__ = ("_loans",)

    def __init__(self):
        self._loans = {}

    def __len__(self):
        return len(self._loans)

    def record_request(self, now, loan, lender, duration_s, *, service=""):
        """Record that a loan is going to be requested.

        Parameters
        ----------
        now : float
            Monotonic time before the message is sent.
        loan, lender : str
            Id of the loan and session of the lender.
        duration_s : float
            Requested duration of the loan.
        service : str
            Service of the slots, for :meth:`borrowed_connections`.
        """
        self._loans[loan] = _BorrowedLoan(
            lender=lender,
            service=service,
            ends_at=now + duration_s,
            free_slots=collections.Counter(),
            slots_in_use=collections.Counter(),
        )

    def record_grant(self, loan, servers):
        """Add the slots of a granted loan; ignore a loan that was not requested."""
        borrowed = self._loans.get(loan)
        if borrowed is not None and not borrowed.is_granted:
            borrowed.is_granted = True
            borrowed.free_slots.update(servers)

    def drop_loan(self, loan):
        """Stop using a loan; a later grant of it is ignored."""
        self._loans.pop(loan, None)

    def has_loan(self, loan):
        """Return whether a loan was requested and has not ended or been dropped."""
        return loan in self._loans

    def borrowed_connections(self, service, now):
        """Return how many connections to a service are borrowed."""
        return sum(
            borrowed.free_slots.total() + borrowed.slots_in_use.total()
            for borrowed in self._loans.values()
            if borrowed.service == service and now < borrowed.ends_at
        )

    def usable_slots(self, server, deadline, now):
        """Return how many borrowed slots are free until after a deadline."""
        return sum(
            borrowed.free_slots[server]
            for borrowed in self._loans.values()
            if _lasts_beyond(borrowed, deadline, now)
        )

    def acquire_slot(self, server, deadline, now):
        """Count a borrowed slot as in use by a request.

        Returns
        -------
        str or None
            Id of the loan, the one that ends first if several have a free slot; None if
            no loan has a slot at the server that is free until after the deadline.
        """
        matching = [
            (borrowed.ends_at, loan)
            for loan, borrowed in self._loans.items()
            if borrowed.free_slots[server] > 0
            and _lasts_beyond(borrowed, deadline, now)
        ]
        if not matching:
            return None
        loan = min(matching)[1]
        self._loans[loan].free_slots[server] -= 1
        self._loans[loan].slots_in_use[server] += 1
        return loan

    def release_slot(self, loan, server):
        """Count a slot as free again; does nothing if the loan is no longer known."""
        borrowed = self._loans.get(loan)
        if borrowed is not None:
            borrowed.slots_in_use[server] -= 1
            borrowed.free_slots[server] += 1

    def drop_loans_of(self, session):
        """Stop using the loans from a lender whose session has ended."""
        self._drop_loans_if(lambda borrowed: borrowed.lender == session)

    def expire_loans(self, now):
        """Drop the loans whose duration has passed."""
        self._drop_loans_if(lambda borrowed: borrowed.ends_at <= now)

    def remove_idle_loans(self, *, kept=()):
        """Remove and return the granted loans of which no slot is in use.

        Parameters
        ----------
        kept : collection of str
            Ids of the loans to keep even if they are idle.

        Returns
        -------
        list of (str, str)
            Session of the lender and id of each loan, for the message that returns it.
        """
        unused = [
            (borrowed.lender, loan)
            for loan, borrowed in self._loans.items()
            if borrowed.is_granted
            and not borrowed.slots_in_use.total()
            and loan not in kept
        ]
        for _, loan in unused:
            del self._loans[loan]
        return unused

    def _drop_loans_if(self, is_dropped):
        self._loans = {
            loan: borrowed
            for loan, borrowed in self._loans.items()
            if not is_dropped(borrowed)
        }


def _lasts_beyond(borrowed, deadline, now):
    return now < borrowed.ends_at and deadline < borrowed.ends_at
