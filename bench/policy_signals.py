"""False removals of backend servers with one and with two signals.

Entry instances use ``health.ServerHealth``. A removal is false if the server answers
new connections at that time. With one signal each sign alone removes a server: a
timeout on a connection, a failed new connection, or its absence from the
platform's list.
"""

import collections
import random

from cranberryport.callers import health

ENTRY_COUNT = 8
SERVER_COUNT = 30
HOURS = 1.0
STEP_S = 1.0
LIST_LAG_S = 1.0
# Events an hour in the whole deployment, with the seconds that each lasts.
SILENT_PER_HOUR, LOST_ENTRY_PER_HOUR, LOST_ENTRY_S = 30.0, 12.0, 20.0
# A path that loses connects serves several entry instances.
CONNECT_LOSS_PER_HOUR, CONNECT_LOSS_S, CONNECT_LOSS_ENTRIES = 12.0, 10.0, 3
FAILURES_PER_HOUR, FAILURE_S = 6.0, 60.0
# A request of an entry instance meets a given server in a step with this chance.
REQUEST_PART = 0.1
NEW_CONNECTION_PART = 0.1
PARTS = ("silent connections", "lost list entries", "lost connects", "real failures")


class _Run:
    """One run of both rules on the same events."""

    def __init__(self, seed, enabled):
        self.random = random.Random(seed)
        self.enabled = enabled
        self.health = [health.ServerHealth() for _ in range(ENTRY_COUNT)]
        self.failed = {}
        self.absent = {}
        self.silent = {}
        self.connect_lost = {}
        self.removed = {"one": set(), "two": set()}
        self.counts = {name: collections.Counter() for name in self.removed}
        self.times = {name: {} for name in self.removed}
        self.one_signals = {}

    def run(self):
        """Return false removals, removals in time and seconds, by rule."""
        now = 0.0
        while now < HOURS * 3600:
            now += STEP_S
            self._draw(now)
            self._observe(now)
            self._decide(now)
        return self.counts, self.times

    def _happens(self, part, per_hour):
        if part not in self.enabled:
            return False
        return self.random.random() < per_hour * STEP_S / 3600

    def _draw(self, now):
        server = self.random.randrange(SERVER_COUNT)
        entry = self.random.randrange(ENTRY_COUNT)
        if self._happens("silent connections", SILENT_PER_HOUR):
            # The path forgets all open connections of one entry instance to a server.
            self.silent[entry, server] = now
        if self._happens("lost list entries", LOST_ENTRY_PER_HOUR):
            self.absent[server] = now + LOST_ENTRY_S
        if self._happens("lost connects", CONNECT_LOSS_PER_HOUR):
            for number in self.random.sample(range(ENTRY_COUNT), CONNECT_LOSS_ENTRIES):
                self.connect_lost[number, server] = now + CONNECT_LOSS_S
        if self._happens("real failures", FAILURES_PER_HOUR):
            self.failed.setdefault(server, now)
        for name, since in list(self.failed.items()):
            if now - since > FAILURE_S:
                del self.failed[name]
                for counts, times in zip(
                    self.counts.values(), self.times.values(), strict=True
                ):
                    counts["failures"] += 1
                    counts["missed"] += (name, since) not in times

    def _observe(self, now):
        self.one_signals = {
            server
            for server in range(SERVER_COUNT)
            if self._is_listed_as_gone(server, now)
        }
        # A peer's status names what it found up to a second ago.
        for number, state in enumerate(self.health):
            for server in state.recent_connect_failures(now):
                for other, peer in enumerate(self.health):
                    if other != number:
                        peer.record_peer_report(server, number, now)
        for number, state in enumerate(self.health):
            for server in range(SERVER_COUNT):
                gone = self._is_listed_as_gone(server, now)
                state.record_list_status(server, "gone" if gone else "live")
                if self.random.random() < REQUEST_PART:
                    self._send(number, state, server, now)

    def _is_listed_as_gone(self, server, now):
        failed_at = self.failed.get(server)
        is_seen = failed_at is not None and now - failed_at > LIST_LAG_S
        return is_seen or self.absent.get(server, 0.0) > now

    def _send(self, number, state, server, now):
        is_new = self.random.random() < NEW_CONNECTION_PART
        key = (number, server)
        if key in self.silent and not is_new:
            # Old connections are closed; the next request makes a new one.
            del self.silent[key]
            self.one_signals.add(server)
            return
        is_lost = self.connect_lost.get(key, 0.0) > now and is_new
        if server in self.failed or is_lost:
            state.record_connect_failure(server, now)
            self.one_signals.add(server)
        elif is_new:
            state.record_connected(server)

    def _decide(self, now):
        two = {
            server
            for server in range(SERVER_COUNT)
            if any(state.is_down(server, now) for state in self.health)
        }
        for rule, down in (("one", self.one_signals), ("two", two)):
            for server in down - self.removed[rule]:
                self._count(rule, server, now)
            self.removed[rule] = set(down)

    def _count(self, rule, server, now):
        if server not in self.failed:
            # A removal just after the server came back is late, not false.
            self.counts[rule]["false"] += not self._is_listed_as_gone(server, now) or (
                self.absent.get(server, 0.0) > now
            )
            return
        since = self.failed[server]
        self.times[rule].setdefault((server, since), now - since)


def measure(seeds):
    """Return one row for each kind of fault and for all together."""
    rows = []
    for name, enabled in [*((part, {part}) for part in PARTS), ("all", set(PARTS))]:
        totals = {rule: collections.Counter() for rule in ("one", "two")}
        times = {rule: [] for rule in totals}
        for seed in seeds:
            counts, found = _Run(seed, enabled).run()
            for rule, total in totals.items():
                total.update(counts[rule])
                times[rule] += found[rule].values()
        rows.append((name, totals, times))
    return rows
