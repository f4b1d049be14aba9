"""Follows the platform's list of live and leaving instances."""

import dataclasses
import json
import logging
import time

from circuits import BaseComponent, handler

from cranberryport.generated import messages
from cranberryport.http import connection
from cranberryport.stream import log_writer_events

REQUEST_TIMEOUT_S = 2.0
APPEND_LIFETIME_S = 10.0
RANK_DELAY_S = 1.0
STATUSES = ("live", "leaving", "failed", "unknown", "gone")
LIVE_STATUS = "live"
BACKEND_KIND = "backend_server"
WORKER_KIND = "worker"

_FIELDS = tuple(field.name for field in dataclasses.fields(messages.InstanceObserved))

_logger = logging.getLogger(__name__)


def _observed(instance):
    """Return the record that would describe an instance of the control state."""
    values = {name: getattr(instance, name) for name in _FIELDS}
    return messages.InstanceObserved(**values)


class InstanceList(BaseComponent):
    """Polls the list and proposes what differs from the control state.

    Parameters
    ----------
    client : cranberryport.http.connection.Client
        Owner of the sockets.
    timers : cranberryport.timers.Timers
        For the polls.
    settings : object
        ``host``, ``port`` and ``poll_interval_s`` of the list.
    follower : cranberryport.stream.log_follower.LogFollower
        For the control state.
    session_keeper : cranberryport.stream.session_keeper.SessionKeeper
        For the own rank.
    """

    channel = "instance_list"

    def __init__(self, *, client, timers, settings, follower, session_keeper):
        super().__init__()
        self._client = client
        self._timers = timers
        self._settings = settings
        self._follower = follower
        self._session_keeper = session_keeper
        self._connection = None
        self._entries = {}
        self._leaving = set()
        self._received_at = None
        self._as_of = float("-inf")
        self._differs_since = {}
        self._proposed = {}

    @property
    def age_s(self):
        """Seconds since the last good poll; infinite if there was none."""
        if self._received_at is None:
            return float("inf")
        return time.monotonic() - self._received_at

    @property
    def as_of(self):
        """Unix time of the platform at which the latest list was true."""
        return self._as_of

    @property
    def entries(self):
        """Latest entries by name, as the platform gave them."""
        return self._entries

    @property
    def leaving(self):
        """Set of the names that the latest list does not show as live."""
        return self._leaving

    def is_leaving(self, name):
        """Return whether the latest list says that an instance is not live."""
        return name in self._leaving

    def workers(self):
        """Return the entries of the workers in order of their names."""
        return [
            entry
            for _, entry in sorted(self._entries.items())
            if entry.get("kind") == WORKER_KIND
        ]

    @handler("started", channel="*")
    def _on_started(self, *_):
        self._poll()

    def _poll(self):
        self._timers.after(self._settings.poll_interval_s, self._poll)
        if self._connection is not None and self._connection.exchange is not None:
            return
        if self._connection is None or not self._connection.is_idle:
            self._connection = self._client.connect(
                host=self._settings.host, port=self._settings.port
            )
        exchange = connection.Exchange(
            method="GET",
            target="/instances",
            deadline=time.monotonic() + REQUEST_TIMEOUT_S,
            reply_channel=self.channel,
        )
        self._connection.send(exchange)

    @handler("exchange_done")
    def _on_exchange_done(self, exchange):
        result = exchange.result
        if not isinstance(result, connection.Response) or result.status != 200:
            return
        try:
            page = json.loads(result.body)
            entries = {entry["name"]: entry for entry in page["instances"]}
            leaving = self._find_leaving(entries)
            self._as_of = float(page["as_of"])
            self._entries = entries
            self._leaving = leaving
        except (ValueError, KeyError, TypeError) as error:
            _logger.error("the instance list cannot be read: %s", error)
            return
        self._received_at = time.monotonic()
        self._compare()

    def _find_leaving(self, entries):
        # An instance that is missing leaves, too. While the log is down the control
        # state cannot note it as gone.
        missing = self._follower.state.fleet.instances.keys() - entries.keys()
        return missing.union(
            name
            for name, entry in entries.items()
            if entry.get("status") != LIVE_STATUS
        )

    def _compare(self):
        if not self._session_keeper.is_open or not self._follower.has_dispatch_right:
            return
        now = time.monotonic()
        wanted = {record.instance: record for record in self._observations()}
        for name in list(self._differs_since):
            if name not in wanted:
                del self._differs_since[name]
        for name, record in wanted.items():
            since = self._differs_since.setdefault(name, now)
            if now - since < self._session_keeper.rank * RANK_DELAY_S:
                continue
            if now - self._proposed.get(name, -APPEND_LIFETIME_S) < RANK_DELAY_S * 2:
                continue
            self._proposed[name] = now
            self._append(record)

    def _observations(self):
        known = self._follower.state.fleet.instances
        for name, entry in sorted(self._entries.items()):
            if entry.get("kind") != BACKEND_KIND:
                continue
            record = self._to_record(entry)
            current = known.get(name)
            if current is None or _observed(current) != record:
                yield record
        for name, current in sorted(known.items()):
            if name not in self._entries and current.status != "gone":
                yield dataclasses.replace(_observed(current), status="gone")

    @staticmethod
    def _to_record(entry):
        status = entry.get("status")
        return messages.InstanceObserved(
            instance=entry["name"],
            service=entry.get("service", ""),
            host=entry["host"],
            port=entry["port"],
            data_centre=entry.get("data_centre", ""),
            rack=entry.get("rack", ""),
            slots=entry.get("slots", 0),
            status=status if status in STATUSES else "unknown",
        )

    def _append(self, record):
        log_writer_events.propose(
            self, record, context=record.instance, lifetime_s=APPEND_LIFETIME_S
        )
