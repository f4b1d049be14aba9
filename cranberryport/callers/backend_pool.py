"""Connections and slots of the backend servers, within the session's shares."""

import collections
import functools
import time

from circuits import BaseComponent, Event, handler

from cranberryport.callers import lending
from cranberryport.http import connection
from cranberryport.state import shares

ABANDONED_SLOT_HOLD_S = 5.0
CONNECT_TIMEOUT_S = 1.0
TICK_S = 0.25
# For messages and scheduling between the end of a held slot and the lender's count.
LOAN_END_MARGIN_S = 1.0


class slot_freed(Event):
    """Tell the dispatcher that a held slot is free; goes to channel ``dispatcher``.

    Parameters
    ----------
    service : str
        Service of the server.
    """


class Attempt:
    """One try of a request at a backend server.

    Parameters
    ----------
    service : str
        Name of the service.
    server : BackendServer
        Where the request goes.
    is_new_connection : bool
        Whether the connection is made for this attempt.
    loan : str or None
        Loan whose slot is used; None for an own slot.
    on_done : callable
        Called with the attempt and the ended exchange.
    """

    __slots__ = ("is_new_connection", "loan", "on_done", "server", "service")

    def __init__(self, *, service, server, is_new_connection, loan, on_done):
        self.loan = loan
        self.service = service
        self.server = server
        self.is_new_connection = is_new_connection
        self.on_done = on_done


class BackendPool(BaseComponent):
    """Owns the connections to all backend servers.

    Parameters
    ----------
    client : connection.Client
        Owner of the sockets.
    timers : timers.Timers
        For held slots.
    view : object
        Control state: ``servers(service)`` and ``connections_share(service)``.
    abandoned_slot_hold_s : float
        Time for which a slot stays taken after its request was abandoned. The server
        may still be running the work, and closing the connection does not stop it.
    """

    channel = "backend_pool"

    def __init__(
        self, *, client, timers, view, abandoned_slot_hold_s=ABANDONED_SLOT_HOLD_S
    ):
        super().__init__()
        self._client = client
        self._clock = timers
        self._view = view
        self._abandoned_slot_hold_s = abandoned_slot_hold_s
        self._slots_in_use = collections.Counter()
        self._borrowed_in_use = collections.Counter()
        self._lender = lending.Lender(
            free_slots=self._free_slots,
            margin_s=abandoned_slot_hold_s + LOAN_END_MARGIN_S,
        )
        self._borrower = lending.Borrower()
        self._places = {}
        self._connection_counts = collections.Counter()
        self._idle = collections.defaultdict(list)

    @property
    def lender(self):
        """Loans to other entry instances."""
        return self._lender

    @property
    def borrower(self):
        """Loans from other entry instances."""
        return self._borrower

    def slots_in_use(self, server):
        """Return the slots in use at a server, held slots included.

        Parameters
        ----------
        server : str
            Name.

        Returns
        -------
        int
            Zero means that nothing of this entry instance can run there.
        """
        return self._slots_in_use[server]

    @property
    def slots_in_use_count(self):
        """Slots in use at all servers, held and lent slots included.

        A session closes only at zero: its shares pass to others at once, while a
        borrower would still use its slots.
        """
        lent = self._lender.total_lent_slots(time.monotonic())
        return self._slots_in_use.total() + lent

    def units_in_use(self, resource):
        """Return the units of a shared resource that are in use.

        Parameters
        ----------
        resource : str
            ``slots/<server>`` or ``connections/<service>``.
        """
        kind, _, name = resource.partition("/")
        if kind + "/" == shares.SLOTS_PREFIX:
            return self.own_slots_in_use(name) + self._lender.lent_slots(
                name, time.monotonic()
            )
        # Connections that came with loans count, too: a loan can end before its
        # connections are closed, and a share that was released has gone to others.
        lent = self._lender.lent_connections(name, time.monotonic())
        return self._connection_counts[name] + lent

    def connection_count(self, service):
        """Return the open connections of a service."""
        return self._connection_counts[service]

    def idle_connections(self, server):
        """Return the idle connections to a server, the longest idle first."""
        return list(self._idle.get(server, ()))

    def own_slots_in_use(self, server):
        """Return the slots of the own share in use at a server, without lent ones."""
        return self._slots_in_use[server] - self._borrowed_in_use[server]

    def slots_total(self, server, deadline=None):
        """Return how many requests may be at a server on own and borrowed slots.

        Parameters
        ----------
        server : BackendServer
            From the view.
        deadline : float or None
            Deadline of a request that may use a borrowed slot; None for own slots.

        Returns
        -------
        int
            To compare with :meth:`own_slots_in_use`.
        """
        if not server.is_usable:
            return 0
        now = time.monotonic()
        total = server.slots_share - self._lender.lent_slots(server.name, now)
        if deadline is not None:
            total += self._borrower.usable_slots(server.name, deadline, now)
        return total

    def can_start(self, service, server, deadline=None):
        """Return whether a slot and a connection are free for one more request.

        A deadline allows borrowed slots, as in :meth:`slots_total`.
        """
        if self.own_slots_in_use(server.name) >= self.slots_total(server, deadline):
            return False
        return self.has_connection(service, server)

    def has_connection(self, service, server):
        """Return whether a connection to a server is idle or can be opened."""
        share = self._connection_limit(service)
        if self._connection_counts[service] < share:
            return True
        if self._connection_counts[service] > share:
            # The share has shrunk, and the surplus is not closed yet.
            return False
        if self._idle.get(server.name):
            return True
        return self._find_oldest_idle(service) is not None

    def start(self, service, server, exchange, on_done):
        """Send a request to a server.

        Parameters
        ----------
        service : str
            Name of the service.
        server : BackendServer
            From the view.
        exchange : connection.Exchange
            Its context and reply channel are set here.
        on_done : callable
            Called with the attempt and the ended exchange.

        Returns
        -------
        bool
            False if no slot or connection is free; nothing was sent then.
        """
        if not self.can_start(service, server, exchange.deadline):
            return False
        link = self._take_idle(server)
        is_new = link is None
        if is_new:
            link = self._open(service, server)
        if link is None:
            return False
        exchange.reply_channel = self.channel
        exchange.context = Attempt(
            service=service,
            server=server,
            is_new_connection=is_new,
            loan=self._take_slot(server, exchange.deadline),
            on_done=on_done,
        )
        link.send(exchange)
        return True

    def _take_slot(self, server, deadline):
        """Count a slot as in use; return the loan if it is a borrowed one."""
        name = server.name
        is_own = self.own_slots_in_use(name) < self.slots_total(server)
        self._slots_in_use[name] += 1
        if is_own:
            return None
        self._borrowed_in_use[name] += 1
        return self._borrower.acquire_slot(name, deadline, time.monotonic())

    def lend(self, service, units, duration_s, loan):
        """Lend slots, each with a connection.

        Parameters
        ----------
        service : str
            Name of the service.
        units : int
            Slots wanted.
        duration_s : float
            Time wanted.
        loan : str
            Id of the loan.

        Returns
        -------
        list of str
            One server for each slot.
        """
        now = time.monotonic()
        idle = sum(
            self._places[link][0] == service
            for links in self._idle.values()
            for link in links
        )
        busy = self._connection_counts[service] - idle
        # Borrowed connections are not lent on.
        own = self._view.connections_share(service)
        spare = own - self._lender.lent_connections(service, now) - busy
        granted = self._lender.lend(
            now, service, max(0, min(units, spare)), duration_s, loan=loan
        )
        # The borrower may open its connections as soon as it reads the answer.
        self._trim(service)
        return granted

    def return_idle_loans(self, kept):
        """Stop using the idle loans whose connections can be closed.

        Parameters
        ----------
        kept : collection of str
            Loans that stay.

        Returns
        -------
        list of (str, str)
            Lender and loan, for the message that returns them.
        """
        returned = self._borrower.remove_idle_loans(kept=kept)
        if returned:
            for service in list(self._connection_counts):
                self._trim(service)
        return returned

    def _free_slots(self, service):
        return {
            server.name: max(
                0, self.slots_total(server) - self.own_slots_in_use(server.name)
            )
            for server in self._view.servers(service)
        }

    def close_idle(self, connections):
        """Close connections that are idle."""
        for link in connections:
            if link.is_idle:
                link.close()

    def refresh(self):
        """Close idle connections that the shares or the servers no longer allow."""
        for service in list(self._connection_counts):
            usable = self._usable_addresses(service)
            for link, (owner, name) in list(self._places.items()):
                if owner == service and usable.get(name) != link.address:
                    self.close_idle([link])
            self._trim(service)

    @handler("folded", channel="*")
    def _on_folded(self, _offset, _body, outcomes):
        for outcome in outcomes:
            for session in getattr(outcome, "ended", ()):
                self._borrower.drop_loans_of(session)

    @handler("started", channel="*")
    def _on_started(self, *_):
        self._clock.after(TICK_S, self._tick)

    def _tick(self):
        # Not at each folded record: the platform's list and peers also tell of leaving
        # servers, and hundreds of records a second can be folded.
        self._clock.after(TICK_S, self._tick)
        self._borrower.expire_loans(time.monotonic())
        self.refresh()

    @handler("exchange_done")
    def _on_exchange_done(self, exchange):
        attempt = exchange.context
        self._settle_slot(attempt, exchange.result)
        self._settle_connection(attempt, exchange.connection)
        attempt.on_done(attempt, exchange)

    def _settle_slot(self, attempt, result):
        if isinstance(result, connection.ExchangeFailure) and result.bytes_sent:
            self._clock.after(
                self._abandoned_slot_hold_s,
                functools.partial(self._free_held_slot, attempt),
            )
        else:
            self._free_slot(attempt)

    def _free_held_slot(self, attempt):
        self._free_slot(attempt)
        self.fire(slot_freed(attempt.service), "dispatcher")

    def _free_slot(self, attempt):
        name = attempt.server.name
        if attempt.loan is not None:
            self._borrowed_in_use[name] -= 1
            self._borrower.release_slot(attempt.loan, name)
        self._slots_in_use[name] -= 1
        if not self._slots_in_use[name]:
            del self._slots_in_use[name]

    def _settle_connection(self, attempt, link):
        if not link.is_open:
            return
        # If the server is leaving, the next tick closes the connection.
        self._idle[attempt.server.name].append(link)
        self._trim(attempt.service)

    def _usable_addresses(self, service):
        servers = self._view.servers(service)
        return {one.name: (one.host, one.port) for one in servers if one.is_usable}

    def _take_idle(self, server):
        # The newest comes first, so that surplus connections stay idle and are closed.
        idle = self._idle.get(server.name)
        while idle:
            link = idle[-1]
            if link.address != (server.host, server.port):
                link.close()
            elif not link.close_if_stale():
                return idle.pop()
        return None

    def _open(self, service, server):
        if self._connection_counts[service] >= self._connection_limit(service):
            surplus = self._find_oldest_idle(service)
            if surplus is None:
                return None
            surplus.close()
        link = self._client.connect(
            host=server.host, port=server.port, on_closed=self._on_connection_closed
        )
        self._places[link] = (service, server.name)
        self._connection_counts[service] += 1
        self._clock.after(
            CONNECT_TIMEOUT_S, functools.partial(self._check_connected, link)
        )
        return link

    def _check_connected(self, link):
        # A connection attempt that is not answered would use up the whole deadline,
        # while another server could still do the work.
        if link.is_open and link.connected_at is None:
            link.cancel()

    def _on_connection_closed(self, link):
        service, name = self._places.pop(link)
        self._connection_counts[service] -= 1
        if not self._connection_counts[service]:
            del self._connection_counts[service]
        idle = self._idle.get(name)
        if idle and link in idle:
            idle.remove(link)
        if name in self._idle and not self._idle[name]:
            del self._idle[name]

    def _connection_limit(self, service):
        now = time.monotonic()
        own = self._view.connections_share(service)
        own -= self._lender.lent_connections(service, now)
        return own + self._borrower.borrowed_connections(service, now)

    def _trim(self, service):
        share = self._connection_limit(service)
        while self._connection_counts[service] > share:
            surplus = self._find_oldest_idle(service)
            if surplus is None:
                return
            surplus.close()

    def _find_oldest_idle(self, service):
        links = [
            link
            for idle in self._idle.values()
            for link in idle
            if self._places[link][0] == service
        ]
        return min(links, key=lambda link: link.connected_at, default=None)
