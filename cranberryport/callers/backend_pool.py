"""Connections and slots that an entry instance uses at the backend servers.

A slot allows one request at a backend server. The slots of a server and the connections
to a service are limited, and the live sessions of the entry instances share each limit.
The pool stays within the share of its own session, less what it lends to other entry
instances and plus what it borrows from them.
"""

import collections
import functools
import time

from circuits import BaseComponent, Event, handler

from cranberryport.callers import lending
from cranberryport.http import connection
from cranberryport.state import shares

ABANDONED_SLOT_HOLD_S = 5.0
CONNECT_TIMEOUT_S = 1.0
TICK_INTERVAL_S = 0.25
# Allows for delayed messages and scheduling before the lender uses a lent slot again.
LOAN_END_MARGIN_S = 1.0


class slot_freed(Event):
    """A slot of a service became free; sent to channel ``dispatcher``.

    Fired when a slot held after an abandoned request is released and when a loan is
    granted.

    Parameters
    ----------
    service : str
        Name of the service.
    """


class Attempt:
    """One attempt to run a request at a backend server.

    Parameters
    ----------
    service : str
        Name of the service.
    server : BackendServer
        Server that the request is sent to.
    is_new_connection : bool
        Whether the connection was opened for this attempt.
    loan : str or None
        Id of the loan whose slot is used; None for a slot of the own share.
    on_done : callable
        Called with the attempt and the finished exchange.
    """

    __slots__ = ("is_new_connection", "loan", "on_done", "server", "service")

    def __init__(self, *, service, server, is_new_connection, loan, on_done):
        self.loan = loan
        self.service = service
        self.server = server
        self.is_new_connection = is_new_connection
        self.on_done = on_done


class BackendPool(BaseComponent):
    """Owns the connections to all backend servers and counts the slots in use.

    Parameters
    ----------
    client : connection.Client
        Creates the connections and owns their sockets.
    timers : timers.Timers
        Schedules the periodic check, the release of held slots and connect timeouts.
    view : object
        Control state with ``servers(service)`` and ``connections_share(service)``.
    abandoned_slot_hold_s : float
        Seconds for which a slot stays in use (is held) after its request was abandoned.
        The server may still be running the request; closing the connection does not
        stop it.
    """

    channel = "backend_pool"

    def __init__(
        self, *, client, timers, view, abandoned_slot_hold_s=ABANDONED_SLOT_HOLD_S
    ):
        super().__init__()
        self._client = client
        self._timers = timers
        self._view = view
        self._abandoned_slot_hold_s = abandoned_slot_hold_s
        self._slots_in_use = collections.Counter()
        self._borrowed_in_use = collections.Counter()
        self._lender = lending.Lender(
            free_slots=self._count_free_slots,
            margin_s=abandoned_slot_hold_s + LOAN_END_MARGIN_S,
        )
        self._borrower = lending.Borrower()
        # Connection to the pair of its service and the name of its server.
        self._destinations = {}
        self._connection_counts = collections.Counter()
        # Name of a server to its idle connections, the longest idle first.
        self._idle_connections = collections.defaultdict(list)

    @property
    def lender(self):
        """Loans of own slots to other entry instances."""
        return self._lender

    @property
    def borrower(self):
        """Loans of slots from other entry instances."""
        return self._borrower

    def slots_in_use(self, server):
        """Return the number of slots in use at a server, including held ones.

        Parameters
        ----------
        server : str
            Name of the server.

        Returns
        -------
        int
            Own and borrowed slots; 0 means that no request of this entry instance can
            be running there.
        """
        return self._slots_in_use[server]

    @property
    def slots_in_use_count(self):
        """Number of slots in use at all servers, including held and lent ones.

        The session is closed only when this is 0. Closing passes its shares on to other
        sessions at once, although requests or borrowers might still use these slots.
        """
        lent = self._lender.total_lent_slots(time.monotonic())
        return self._slots_in_use.total() + lent

    def units_in_use(self, resource):
        """Return how many units of the own share of a resource are in use.

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
        # Connections opened on borrowed slots count as well: a loan can end before
        # they are closed, and units that are released are passed on to other sessions.
        lent = self._lender.lent_connections(name, time.monotonic())
        return self._connection_counts[name] + lent

    def connection_count(self, service):
        """Return the number of open connections to a service."""
        return self._connection_counts[service]

    def idle_connections(self, server):
        """Return the idle connections to a server, the longest idle first."""
        return list(self._idle_connections.get(server, ()))

    def own_slots_in_use(self, server):
        """Return how many slots of the own share this entry instance uses at a server.

        Borrowed and lent slots do not count.
        """
        return self._slots_in_use[server] - self._borrowed_in_use[server]

    def slots_total(self, server, deadline=None):
        """Return the limit for :meth:`own_slots_in_use` at a server.

        Parameters
        ----------
        server : BackendServer
            Server from the view.
        deadline : float or None
            Monotonic deadline of a request that may use a borrowed slot; None to leave
            out borrowed slots.

        Returns
        -------
        int
            Slots of the own share that are not lent, plus free borrowed slots. Borrowed
            slots in use count neither here nor in :meth:`own_slots_in_use`.
        """
        if not server.is_usable:
            return 0
        now = time.monotonic()
        total = server.slots_share - self._lender.lent_slots(server.name, now)
        if deadline is not None:
            total += self._borrower.usable_slots(server.name, deadline, now)
        return total

    def can_start_attempt(self, service, server, deadline=None):
        """Return whether a slot and a connection are available for one more request.

        With a deadline, borrowed slots count too, as in :meth:`slots_total`.
        """
        if self.own_slots_in_use(server.name) >= self.slots_total(server, deadline):
            return False
        return self.is_connection_available(service, server)

    def is_connection_available(self, service, server):
        """Return whether a connection to a server is idle or can be opened.

        At the limit, an idle connection to another server of the service can be closed
        and replaced.
        """
        share = self._connection_limit(service)
        if self._connection_counts[service] < share:
            return True
        if self._connection_counts[service] > share:
            # The share has shrunk, and the surplus connections are not closed yet.
            return False
        if self._idle_connections.get(server.name):
            return True
        return self._find_oldest_idle(service) is not None

    def start_attempt(self, service, server, exchange, on_done):
        """Send a request to a server if a slot and a connection are available.

        Parameters
        ----------
        service : str
            Name of the service.
        server : BackendServer
            Server from the view.
        exchange : connection.Exchange
            Request to send; its context and reply channel are set here.
        on_done : callable
            Called with the attempt and the finished exchange.

        Returns
        -------
        bool
            Whether the attempt was started; if not, nothing was sent.
        """
        if not self.can_start_attempt(service, server, exchange.deadline):
            return False
        client_connection = self._pop_idle_connection(server)
        is_new_connection = client_connection is None
        if is_new_connection:
            client_connection = self._open_connection(service, server)
        if client_connection is None:
            return False
        exchange.reply_channel = self.channel
        exchange.context = Attempt(
            service=service,
            server=server,
            is_new_connection=is_new_connection,
            loan=self._acquire_slot(server, exchange.deadline),
            on_done=on_done,
        )
        client_connection.send(exchange)
        return True

    def _acquire_slot(self, server, deadline):
        """Count a slot as in use; return its loan, or None for an own slot."""
        name = server.name
        is_own = self.own_slots_in_use(name) < self.slots_total(server)
        self._slots_in_use[name] += 1
        if is_own:
            return None
        self._borrowed_in_use[name] += 1
        return self._borrower.acquire_slot(name, deadline, time.monotonic())

    def lend_slots(self, service, units, duration_s, loan):
        """Lend slots of the own share, each with one connection.

        Parameters
        ----------
        service : str
            Name of the service.
        units : int
            Number of slots requested.
        duration_s : float
            Requested duration of the loan.
        loan : str
            Id of the loan.

        Returns
        -------
        list of str
            Name of the server of each granted slot.
        """
        now = time.monotonic()
        idle = sum(
            self._destinations[client_connection][0] == service
            for client_connections in self._idle_connections.values()
            for client_connection in client_connections
        )
        busy = self._connection_counts[service] - idle
        # Only connections of the own share are lent, not borrowed ones.
        own = self._view.connections_share(service)
        spare = own - self._lender.lent_connections(service, now) - busy
        granted = self._lender.lend(
            now, service, max(0, min(units, spare)), duration_s, loan=loan
        )
        # The borrower may open its connections as soon as it receives the answer.
        self._close_surplus(service)
        return granted

    def return_idle_loans(self, kept):
        """Stop using the idle loans, and close the connections beyond the new limit.

        Parameters
        ----------
        kept : collection of str
            Ids of the loans to keep even if they are idle.

        Returns
        -------
        list of (str, str)
            Session of the lender and id of each loan, for the message that returns it.
        """
        returned = self._borrower.remove_idle_loans(kept=kept)
        if returned:
            for service in list(self._connection_counts):
                self._close_surplus(service)
        return returned

    def _count_free_slots(self, service):
        return {
            server.name: max(
                0, self.slots_total(server) - self.own_slots_in_use(server.name)
            )
            for server in self._view.servers(service)
        }

    def close_if_idle(self, connections):
        """Close those of the connections that are idle."""
        for client_connection in connections:
            if client_connection.is_idle:
                client_connection.close()

    def close_unusable_connections(self):
        """Close idle connections beyond the limit or to servers no longer usable."""
        for service in list(self._connection_counts):
            usable = self._usable_addresses(service)
            for client_connection, (other, name) in list(self._destinations.items()):
                if other == service and usable.get(name) != client_connection.address:
                    self.close_if_idle([client_connection])
            self._close_surplus(service)

    @handler("folded", channel="*")
    def _on_folded(self, _offset, _body, outcomes):
        for outcome in outcomes:
            for session in getattr(outcome, "ended", ()):
                self._borrower.drop_loans_of(session)

    @handler("started", channel="*")
    def _on_started(self, *_):
        self._timers.after(TICK_INTERVAL_S, self._tick)

    def _tick(self):
        # Runs periodically instead of after each folded record: the platform's instance
        # list and peers also report leaving servers, and hundreds of records can be
        # folded in a second.
        self._timers.after(TICK_INTERVAL_S, self._tick)
        self._borrower.expire_loans(time.monotonic())
        self.close_unusable_connections()

    @handler("exchange_done")
    def _on_exchange_done(self, exchange):
        attempt = exchange.context
        self._release_or_hold_slot(attempt, exchange.result)
        self._return_connection(attempt, exchange.connection)
        attempt.on_done(attempt, exchange)

    def _release_or_hold_slot(self, attempt, result):
        if isinstance(result, connection.ExchangeFailure) and result.bytes_sent:
            self._timers.after(
                self._abandoned_slot_hold_s,
                functools.partial(self._release_held_slot, attempt),
            )
        else:
            self._release_slot(attempt)

    def _release_held_slot(self, attempt):
        self._release_slot(attempt)
        self.fire(slot_freed(attempt.service), "dispatcher")

    def _release_slot(self, attempt):
        name = attempt.server.name
        if attempt.loan is not None:
            self._borrowed_in_use[name] -= 1
            self._borrower.release_slot(attempt.loan, name)
        self._slots_in_use[name] -= 1
        if not self._slots_in_use[name]:
            del self._slots_in_use[name]

    def _return_connection(self, attempt, client_connection):
        if not client_connection.is_open:
            return
        # If the server is no longer usable, the next periodic check closes it.
        self._idle_connections[attempt.server.name].append(client_connection)
        self._close_surplus(attempt.service)

    def _usable_addresses(self, service):
        servers = self._view.servers(service)
        return {
            server.name: (server.host, server.port)
            for server in servers
            if server.is_usable
        }

    def _pop_idle_connection(self, server):
        # The most recently used one comes first, so that connections that the load does
        # not need stay idle and can be closed.
        idle = self._idle_connections.get(server.name)
        while idle:
            client_connection = idle[-1]
            if client_connection.address != (server.host, server.port):
                client_connection.close()
            elif not client_connection.close_if_stale():
                return idle.pop()
        return None

    def _open_connection(self, service, server):
        if self._connection_counts[service] >= self._connection_limit(service):
            surplus = self._find_oldest_idle(service)
            if surplus is None:
                return None
            surplus.close()
        client_connection = self._client.connect(
            host=server.host, port=server.port, on_closed=self._on_connection_closed
        )
        self._destinations[client_connection] = (service, server.name)
        self._connection_counts[service] += 1
        self._timers.after(
            CONNECT_TIMEOUT_S,
            functools.partial(self._check_connected, client_connection),
        )
        return client_connection

    def _check_connected(self, client_connection):
        # Waiting longer for an unresponsive server could use up the request's deadline,
        # while another server could still serve it.
        if client_connection.is_open and client_connection.connected_at is None:
            client_connection.cancel()

    def _on_connection_closed(self, client_connection):
        service, name = self._destinations.pop(client_connection)
        self._connection_counts[service] -= 1
        if not self._connection_counts[service]:
            del self._connection_counts[service]
        idle = self._idle_connections.get(name)
        if idle and client_connection in idle:
            idle.remove(client_connection)
        if name in self._idle_connections and not self._idle_connections[name]:
            del self._idle_connections[name]

    def _connection_limit(self, service):
        now = time.monotonic()
        own = self._view.connections_share(service)
        own -= self._lender.lent_connections(service, now)
        return own + self._borrower.borrowed_connections(service, now)

    def _close_surplus(self, service):
        share = self._connection_limit(service)
        while self._connection_counts[service] > share:
            surplus = self._find_oldest_idle(service)
            if surplus is None:
                return
            surplus.close()

    def _find_oldest_idle(self, service):
        client_connections = [
            client_connection
            for idle in self._idle_connections.values()
            for client_connection in idle
            if self._destinations[client_connection][0] == service
        ]
        return min(
            client_connections,
            key=lambda client_connection: client_connection.connected_at,
            default=None,
        )
