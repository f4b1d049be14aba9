"""Evidence about backend servers, as far as this entry instance sees it.

A single failing connection says little about a server: something in the path can lose
track of open connections while new ones work. A request that makes every server fail
says nothing about servers at all. The rules here follow from these two cases.
"""

EQUAL_AGE_S = 1.0
CONNECT_FAILURE_LIFETIME_S = 5.0
REPORT_LIFETIME_S = 10.0
CONSECUTIVE_FAILURES = 5
FAILURE_RATE = 0.6
RATE_WEIGHT = 0.1
MIN_RATE_SAMPLES = 10
FIRST_EJECTION_S = 5.0
MAX_EJECTION_S = 300.0
PROBES_NEEDED = 3
LIVE_STATUS = "live"


def connections_to_close(timed_out_at, idle):
    """Return the idle connections that the same fault has probably broken.

    Parameters
    ----------
    timed_out_at : float
        Monotonic time at which the connection that timed out was made.
    idle : iterable of connections with ``connected_at``
        Idle connections to the same server.

    Returns
    -------
    list
        Connections that are as old or older. Newer ones were made when the path may
        already have worked again.
    """
    limit = timed_out_at + EQUAL_AGE_S
    return [one for one in idle if one.connected_at <= limit]


class _Evidence:
    """What is known about one server."""

    __slots__ = (
        "connect_failed_at",
        "consecutive_failures",
        "ejected_until",
        "ejections",
        "failure_rate",
        "list_status",
        "peer_reports",
        "probes_left",
        "samples",
    )

    def __init__(self):
        self.connect_failed_at = None
        self.list_status = LIVE_STATUS
        self.peer_reports = {}
        self.ejected_until = None
        self.ejections = 0
        self.probes_left = 0
        self.forget_results()

    def has_recent_connect_failure(self, now):
        """Return whether the last new connection failed lately."""
        failed_at = self.connect_failed_at
        return failed_at is not None and now - failed_at < CONNECT_FAILURE_LIFETIME_S

    def forget_results(self):
        """Start counting results again."""
        self.consecutive_failures = 0
        self.failure_rate = 0.0
        self.samples = 0

    @property
    def fails_most(self):
        """Whether the results are bad enough to eject the server."""
        if self.consecutive_failures >= CONSECUTIVE_FAILURES:
            return True
        return self.samples >= MIN_RATE_SAMPLES and self.failure_rate >= FAILURE_RATE


class ServerHealth:
    """Evidence about all backend servers of one service."""

    __slots__ = ("_bad", "_servers")

    def __init__(self):
        self._servers = {}
        # Servers that were ejected and have not passed their probes.
        self._bad = set()

    def record_connected(self, server):
        """Note that a new connection was made."""
        self._of(server).connect_failed_at = None

    def record_connect_failure(self, server, now):
        """Note that a new connection failed."""
        self._of(server).connect_failed_at = now

    def recent_connect_failures(self, now):
        """Return the names of the servers whose last new connection failed lately.

        Peers take them as a second signal. Without the limit on their age two entry
        instances that report a server to each other would never try it again.
        """
        return [
            name
            for name, evidence in self._servers.items()
            if evidence.has_recent_connect_failure(now)
        ]

    def record_list_status(self, server, status):
        """Note the status in the platform's list, or ``gone`` for an absent server."""
        self._of(server).list_status = status

    def record_peer_report(self, server, peer, now):
        """Note that another entry instance reports failures of the server."""
        self._of(server).peer_reports[peer] = now

    def record_success(self, server, now):
        """Note that the server did what it was asked."""
        evidence = self._of(server)
        evidence.consecutive_failures = 0
        self._add_sample(evidence, 0.0)
        if not self._is_ejected(evidence, now) and evidence.probes_left:
            evidence.probes_left -= 1
            if not evidence.probes_left:
                self._bad.discard(server)
                evidence.ejections = 0
                evidence.forget_results()

    def record_failure(self, server, now):
        """Note that the server failed what it had started."""
        evidence = self._of(server)
        if self._is_ejected(evidence, now):
            # Late results of requests from before the ejection do not prolong it.
            return
        evidence.consecutive_failures += 1
        self._add_sample(evidence, 1.0)
        if evidence.probes_left or evidence.fails_most:
            self._bad.add(server)
            self._eject(evidence, now)

    def is_down(self, server, now):
        """Return whether two independent signals say that the server is down.

        A failed new connection is one; the other is a list status other than ``live``
        or a recent report of a peer.
        """
        evidence = self._servers.get(server)
        if evidence is None or evidence.connect_failed_at is None:
            return False
        if evidence.list_status != LIVE_STATUS:
            return True
        reports = evidence.peer_reports.values()
        return any(now - reported < REPORT_LIFETIME_S for reported in reports)

    def ejected_servers(self, pool, now):
        """Return the servers of a pool that get no work for some time.

        Parameters
        ----------
        pool : collection of str
            All servers of the pool.
        now : float
            Monotonic seconds.

        Returns
        -------
        set of str
            Part of :meth:`ejected_or_probed_servers`.
        """
        return {
            server
            for server in self.ejected_or_probed_servers(pool)
            if self._is_ejected(self._servers[server], now)
        }

    def ejected_or_probed_servers(self, pool):
        """Return the servers of a pool that are ejected or only probed.

        A server that was ejected gets one request at a time until some succeeded.

        Parameters
        ----------
        pool : collection of str
            All servers of the pool.

        Returns
        -------
        set of str
            At most half of the pool. If more look bad the set is empty, since the cause
            is then probably not in the servers. This holds for probes too: with a slot
            for each server the pool would lose nearly all of its capacity.
        """
        if not self._bad:
            return set()
        bad = {server for server in pool if server in self._bad}
        return bad if 2 * len(bad) <= len(pool) else set()

    def keep(self, servers):
        """Forget all servers but the given ones."""
        self._servers = {
            name: evidence
            for name, evidence in self._servers.items()
            if name in servers
        }
        self._bad.intersection_update(servers)

    def _of(self, server):
        evidence = self._servers.get(server)
        if evidence is None:
            evidence = self._servers[server] = _Evidence()
        return evidence

    def _is_ejected(self, evidence, now):
        return evidence.ejected_until is not None and now < evidence.ejected_until

    def _add_sample(self, evidence, value):
        evidence.samples += 1
        evidence.failure_rate += RATE_WEIGHT * (value - evidence.failure_rate)

    def _eject(self, evidence, now):
        duration_s = FIRST_EJECTION_S * 2 ** min(evidence.ejections, 16)
        evidence.ejected_until = now + min(MAX_EJECTION_S, duration_s)
        evidence.ejections += 1
        evidence.probes_left = PROBES_NEEDED
        evidence.forget_results()
