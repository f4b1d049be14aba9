"""Simulate false removals of backend servers with one and with two signals.

Two rules see the same faults. With one signal, each of these alone removes a server: a
timeout on a connection, a failed new connection, or its absence from the platform's
instance list. With two signals the entry instances decide by ``health.ServerHealth``. A
removal is false if the server answers new connections at that time.
"""

import collections
import random

from cranberryport.callers import health

ENTRY_COUNT = 8
SERVER_COUNT = 30
RUN_HOURS = 1.0
STEP_S = 1.0
LIST_LAG_S = 1.0
# Faults an hour in the whole deployment, and the seconds that each lasts.
SILENT_CONNECTIONS_PER_HOUR, LOST_LIST_ENTRIES_PER_HOUR, LOST_LIST_ENTRY_S = (
    30.0,
    12.0,
    20.0,
)
# A network path that loses new connections is shared by several entry instances.
LOST_CONNECTS_PER_HOUR, LOST_CONNECTS_S, LOST_CONNECTS_ENTRY_COUNT = 12.0, 10.0, 3
FAILURES_PER_HOUR, FAILURE_DURATION_S = 6.0, 60.0
# Probability that an entry instance sends a request to a given server within a step,
# and that this request opens a new connection.
REQUEST_PROBABILITY = 0.1
NEW_CONNECTION_PROBABILITY = 0.1
FAULT_KINDS = (
    "silent connections",
    "lost list entries",
    "lost connects",
    "real failures",
)


class _Simulation:
    """One run of both rules on the same faults.

    Parameters
    ----------
    seed : int
        Seed of the random numbers.
    enabled_kinds : set of str
        Members of ``FAULT_KINDS`` that occur.
    """

    def __init__(self, seed, enabled_kinds):
        self.random = random.Random(seed)
        self.enabled_kinds = enabled_kinds
        self.health_by_entry = [health.ServerHealth() for _ in range(ENTRY_COUNT)]
        self.failed_since = {}
        self.list_entry_lost_until = {}
        self.silent_connections = {}
        self.connects_lost_until = {}
        self.removed_by_rule = {"one": set(), "two": set()}
        self.counts_by_rule = {
            name: collections.Counter() for name in self.removed_by_rule
        }
        self.removal_delays_s = {name: {} for name in self.removed_by_rule}
        self.servers_with_signal = {}

    def run(self):
        """Run for ``RUN_HOURS``.

        Returns
        -------
        tuple of (dict, dict)
            By rule: a counter of ``false`` removals, real ``failures`` and ``missed``
            ones; and a dict of the seconds from a failure to the removal.
        """
        now = 0.0
        while now < RUN_HOURS * 3600:
            now += STEP_S
            self._start_faults(now)
            self._update_signals(now)
            self._update_removals(now)
        return self.counts_by_rule, self.removal_delays_s

    def _is_fault_due(self, kind, rate_per_hour):
        if kind not in self.enabled_kinds:
            return False
        return self.random.random() < rate_per_hour * STEP_S / 3600

    def _start_faults(self, now):
        server = self.random.randrange(SERVER_COUNT)
        entry = self.random.randrange(ENTRY_COUNT)
        if self._is_fault_due("silent connections", SILENT_CONNECTIONS_PER_HOUR):
            # The network path drops the state of all open connections of one entry
            # instance to a server.
            self.silent_connections[entry, server] = now
        if self._is_fault_due("lost list entries", LOST_LIST_ENTRIES_PER_HOUR):
            self.list_entry_lost_until[server] = now + LOST_LIST_ENTRY_S
        if self._is_fault_due("lost connects", LOST_CONNECTS_PER_HOUR):
            for entry_number in self.random.sample(
                range(ENTRY_COUNT), LOST_CONNECTS_ENTRY_COUNT
            ):
                self.connects_lost_until[entry_number, server] = now + LOST_CONNECTS_S
        if self._is_fault_due("real failures", FAILURES_PER_HOUR):
            self.failed_since.setdefault(server, now)
        for failed_server, failed_at in list(self.failed_since.items()):
            if now - failed_at > FAILURE_DURATION_S:
                del self.failed_since[failed_server]
                for counts, removal_delays_s in zip(
                    self.counts_by_rule.values(),
                    self.removal_delays_s.values(),
                    strict=True,
                ):
                    counts["failures"] += 1
                    counts["missed"] += (
                        failed_server,
                        failed_at,
                    ) not in removal_delays_s

    def _update_signals(self, now):
        self.servers_with_signal = {
            server
            for server in range(SERVER_COUNT)
            if self._is_listed_as_gone(server, now)
        }
        # Entry instances learn from the status of their peers, which is up to a second
        # old, to which servers new connections failed.
        for entry_number, entry_health in enumerate(self.health_by_entry):
            for server in entry_health.recent_connect_failures(now):
                for other_number, other_health in enumerate(self.health_by_entry):
                    if other_number != entry_number:
                        other_health.record_peer_report(server, entry_number, now)
        for entry_number, entry_health in enumerate(self.health_by_entry):
            for server in range(SERVER_COUNT):
                is_gone = self._is_listed_as_gone(server, now)
                entry_health.record_list_status(server, "gone" if is_gone else "live")
                if self.random.random() < REQUEST_PROBABILITY:
                    self._send_request(entry_number, entry_health, server, now)

    def _is_listed_as_gone(self, server, now):
        failed_at = self.failed_since.get(server)
        is_failure_listed = failed_at is not None and now - failed_at > LIST_LAG_S
        return is_failure_listed or self.list_entry_lost_until.get(server, 0.0) > now

    def _send_request(self, entry_number, entry_health, server, now):
        is_new = self.random.random() < NEW_CONNECTION_PROBABILITY
        connection = (entry_number, server)
        if connection in self.silent_connections and not is_new:
            # The request times out and the old connections are closed; the next request
            # opens a new one.
            del self.silent_connections[connection]
            self.servers_with_signal.add(server)
            return
        is_lost = self.connects_lost_until.get(connection, 0.0) > now and is_new
        if server in self.failed_since or is_lost:
            entry_health.record_connect_failure(server, now)
            self.servers_with_signal.add(server)
        elif is_new:
            entry_health.record_connected(server)

    def _update_removals(self, now):
        down_by_two_signals = {
            server
            for server in range(SERVER_COUNT)
            if any(
                entry_health.is_down(server, now)
                for entry_health in self.health_by_entry
            )
        }
        for rule, down in (
            ("one", self.servers_with_signal),
            ("two", down_by_two_signals),
        ):
            for server in down - self.removed_by_rule[rule]:
                self._count_removal(rule, server, now)
            self.removed_by_rule[rule] = set(down)

    def _count_removal(self, rule, server, now):
        if server not in self.failed_since:
            # A removal just after the end of a failure would be late, not false. The
            # simulated list has no lag at the end of a failure, so none is excluded.
            self.counts_by_rule[rule]["false"] += not self._is_listed_as_gone(
                server, now
            ) or (self.list_entry_lost_until.get(server, 0.0) > now)
            return
        failed_at = self.failed_since[server]
        self.removal_delays_s[rule].setdefault((server, failed_at), now - failed_at)


def measure(seeds):
    """Run the simulation with each kind of fault alone and with all together.

    Parameters
    ----------
    seeds : iterable of int
        Seeds, one for each run.

    Returns
    -------
    list of tuple of (str, dict, dict)
        Kind of fault; by rule the sum of the counters; by rule the seconds from a
        failure to the removal.
    """
    rows = []
    for name, enabled_kinds in [
        *((kind, {kind}) for kind in FAULT_KINDS),
        ("all", set(FAULT_KINDS)),
    ]:
        totals = {rule: collections.Counter() for rule in ("one", "two")}
        removal_delays_s = {rule: [] for rule in totals}
        for seed in seeds:
            counts, run_delays_s = _Simulation(seed, enabled_kinds).run()
            for rule, total in totals.items():
                total.update(counts[rule])
                removal_delays_s[rule] += run_delays_s[rule].values()
        rows.append((name, totals, removal_delays_s))
    return rows
