"""Judges the health of backend servers from the results of requests.

Two kinds of failure must not take a healthy server out of use. A single connection can
fail because something on the network path has lost its state while new connections
work; therefore a server counts as down only on two independent signals, and timeouts on
old connections close these connections. A request can make every server fail; therefore
at most half of the servers are ejected.
"""

SAME_AGE_TOLERANCE_S = 1.0
CONNECT_FAILURE_LIFETIME_S = 5.0
PEER_REPORT_LIFETIME_S = 10.0
EJECTION_CONSECUTIVE_FAILURES = 5
EJECTION_FAILURE_RATE = 0.6
FAILURE_RATE_EWMA_WEIGHT = 0.1
MIN_RATE_RESULTS = 10
FIRST_EJECTION_S = 5.0
MAX_EJECTION_S = 300.0
SUCCESSFUL_PROBES_NEEDED = 3
LIVE_LIST_STATUS = "live"


def connections_to_close(timed_out_connected_at, idle):
    """Return the idle connections that are probably broken after a timeout.

    Parameters
    ----------
    timed_out_connected_at : float
        Monotonic time at which the connection that timed out was made.
    idle : iterable of connections with ``connected_at``
        Idle connections to the same server.

    Returns
    -------
    list
        Connections that were made before that time or at about the same time. The
        network path may already have worked again when newer ones were made.
    """
    limit = timed_out_connected_at + SAME_AGE_TOLERANCE_S
    return [connection for connection in idle if connection.connected_at <= limit]


class _ServerState:
    """Results of requests to one server, and reports about it."""

    __slots__ = (
        "connect_failed_at",
        "consecutive_failures",
        "ejected_until",
        "ejection_count",
        "failure_rate",
        "list_status",
        "peer_reports",
        "probes_left",
        "result_count",
    )

    def __init__(self):
        self.connect_failed_at = None
        self.list_status = LIVE_LIST_STATUS
        self.peer_reports = {}
        self.ejected_until = None
        self.ejection_count = 0
        self.probes_left = 0
        self.reset_results()

    def has_recent_connect_failure(self, now):
        """Return whether the latest new connection failed a short time ago."""
        failed_at = self.connect_failed_at
        return failed_at is not None and now - failed_at < CONNECT_FAILURE_LIFETIME_S

    def reset_results(self):
        """Reset the counts of results."""
        self.consecutive_failures = 0
        self.failure_rate = 0.0
        self.result_count = 0

    @property
    def has_failed_too_often(self):
        """Whether the results justify ejecting the server."""
        if self.consecutive_failures >= EJECTION_CONSECUTIVE_FAILURES:
            return True
        return (
            self.result_count >= MIN_RATE_RESULTS
            and self.failure_rate >= EJECTION_FAILURE_RATE
        )


class ServerHealth:
    """Health of the backend servers of one service.

    A failing server is ejected for some time: it gets no requests. After that it is
    probed with one request at a time until some have succeeded.
    """

    __slots__ = ("_servers", "_unrecovered")

    def __init__(self):
        self._servers = {}
        # Names of the servers that were ejected and have not passed their probes since.
        self._unrecovered = set()

    def record_connected(self, server):
        """Record that a new connection to a server was made."""
        self._find_state(server).connect_failed_at = None

    def record_connect_failure(self, server, now):
        """Record that a new connection to a server failed."""
        self._find_state(server).connect_failed_at = now

    def recent_connect_failures(self, now):
        """Return the names of the servers whose latest new connection failed recently.

        They are reported to the peers, which use them as a second signal. Older
        failures are left out; otherwise two entry instances that report a server to
        each other would never try it again.
        """
        return [
            name
            for name, state in self._servers.items()
            if state.has_recent_connect_failure(now)
        ]

    def record_list_status(self, server, status):
        """Record a server's status in the platform's list; ``gone`` if it is absent."""
        self._find_state(server).list_status = status

    def record_peer_report(self, server, peer, now):
        """Record that another entry instance cannot connect to a server."""
        self._find_state(server).peer_reports[peer] = now

    def record_success(self, server, now):
        """Record that a server answered a request."""
        state = self._find_state(server)
        state.consecutive_failures = 0
        self._add_result(state, 0.0)
        if not self._is_ejected(state, now) and state.probes_left:
            state.probes_left -= 1
            if not state.probes_left:
                self._unrecovered.discard(server)
                state.ejection_count = 0
                state.reset_results()

    def record_failure(self, server, now):
        """Record that a server failed a request."""
        state = self._find_state(server)
        if self._is_ejected(state, now):
            # Late results of requests sent before the ejection do not prolong it.
            return
        state.consecutive_failures += 1
        self._add_result(state, 1.0)
        if state.probes_left or state.has_failed_too_often:
            self._unrecovered.add(server)
            self._eject(state, now)

    def is_down(self, server, now):
        """Return whether two independent signals show that a server is down.

        The first is that the latest new connection failed. The second is a status other
        than ``live`` in the platform's list, or a recent report of a peer.
        """
        state = self._servers.get(server)
        if state is None or state.connect_failed_at is None:
            return False
        if state.list_status != LIVE_LIST_STATUS:
            return True
        reports = state.peer_reports.values()
        return any(now - reported < PEER_REPORT_LIFETIME_S for reported in reports)

    def ejected_servers(self, servers, now):
        """Return the servers that are ejected and get no requests now.

        Parameters
        ----------
        servers : collection of str
            Names of the usable servers of the service.
        now : float
            Monotonic seconds.

        Returns
        -------
        set of str
            Part of :meth:`ejected_or_probed_servers`.
        """
        return {
            server
            for server in self.ejected_or_probed_servers(servers)
            if self._is_ejected(self._servers[server], now)
        }

    def ejected_or_probed_servers(self, servers):
        """Return the servers that are ejected or being probed.

        Parameters
        ----------
        servers : collection of str
            Names of the usable servers of the service.

        Returns
        -------
        set of str
            At most half of the servers. If more than half would be in the set, it is
            empty, because the cause is then probably not in the servers. This applies
            to probes too: with one request at a time for each server, the service would
            lose nearly all of its capacity.
        """
        if not self._unrecovered:
            return set()
        unrecovered = {server for server in servers if server in self._unrecovered}
        return unrecovered if 2 * len(unrecovered) <= len(servers) else set()

    def keep_only(self, servers):
        """Drop the records of all servers except the given ones."""
        self._servers = {
            name: state for name, state in self._servers.items() if name in servers
        }
        self._unrecovered.intersection_update(servers)

    def _find_state(self, server):
        state = self._servers.get(server)
        if state is None:
            state = self._servers[server] = _ServerState()
        return state

    def _is_ejected(self, state, now):
        return state.ejected_until is not None and now < state.ejected_until

    def _add_result(self, state, value):
        state.result_count += 1
        state.failure_rate += FAILURE_RATE_EWMA_WEIGHT * (value - state.failure_rate)

    def _eject(self, state, now):
        duration_s = FIRST_EJECTION_S * 2 ** min(state.ejection_count, 16)
        state.ejected_until = now + min(MAX_EJECTION_S, duration_s)
        state.ejection_count += 1
        state.probes_left = SUCCESSFUL_PROBES_NEEDED
        state.reset_results()
