"""Polls the platform's list of instances and records its changes in the control state.

Every entry instance polls the list, so that it can stop sending requests to a leaving
instance even while the log cannot be written.
"""

import dataclasses
import json
import logging
import time

from circuits import BaseComponent, handler

from cranberryport.generated import messages
from cranberryport.http import addresses, connection
from cranberryport.stream import log_writer_events

REQUEST_TIMEOUT_S = 2.0
# A proposed record that has not been folded after this time counts as undecided.
DECISION_TIMEOUT_S = 10.0
# A session waits this long times its rank before it proposes a record, so that usually
# only one session does.
RANK_DELAY_S = 1.0
STATUSES = ("live", "leaving", "failed", "unknown", "gone")
LIVE_STATUS = "live"
BACKEND_KIND = "backend_server"
WORKER_KIND = "worker"

# Fields of an entry with their types; a missing one is empty or 0.
_TEXT_FIELDS = ("kind", "service", "data_centre", "rack")
_NUMBER_FIELDS = ("slots", "processors", "memory_mb", "accelerators")

_FIELDS = tuple(field.name for field in dataclasses.fields(messages.InstanceObserved))

_logger = logging.getLogger(__name__)


def _to_observation(instance):
    """Return the record for an instance as the control state has it."""
    values = {name: getattr(instance, name) for name in _FIELDS}
    return messages.InstanceObserved(**values)


def read_list(body):
    """Return the time and the usable entries of a list.

    An entry of another form names no instance, so that the instance counts as missing.

    Parameters
    ----------
    body : bytes
        Body of the platform's answer.

    Returns
    -------
    tuple of (float, dict of str to dict)
        Unix time in seconds to which the list refers, and its entries by name.

    Raises
    ------
    ValueError
        If the body is no list.
    """
    try:
        listing = json.loads(body)
        as_of = float(listing["as_of"])
        rows = list(listing["instances"])
    except (KeyError, OverflowError, RecursionError, TypeError) as error:
        raise ValueError(f"{type(error).__name__}: {error}") from error
    entries = {}
    for row in rows:
        if _is_usable(row):
            entries[row["name"]] = row
        else:
            _logger.warning("unusable entry of the instance list: %.200r", row)
    return as_of, entries


def _is_usable(row):
    if not isinstance(row, dict) or not isinstance(row.get("name"), str):
        return False
    texts = [row.get(name, "") for name in _TEXT_FIELDS]
    numbers = [row.get(name, 0) for name in _NUMBER_FIELDS]
    if not all(isinstance(text, str) for text in texts):
        return False
    if not all(type(number) is int and number >= 0 for number in numbers):
        return False
    if row.get("kind") not in (BACKEND_KIND, WORKER_KIND):
        return True
    try:
        addresses.parse(f"{row.get('host')}:{row.get('port')}")
    except ValueError:
        return False
    return type(row["port"]) is int


class InstanceList(BaseComponent):
    """Polls the list and proposes records of what differs from the control state.

    Parameters
    ----------
    client : cranberryport.http.connection.Client
        Owner of the sockets to the platform.
    timers : cranberryport.timers.Timers
        Timers for the polls.
    settings : object
        Settings ``host``, ``port`` and ``poll_interval_s`` of the list.
    follower : cranberryport.stream.log_follower.LogFollower
        Source of the control state.
    session_keeper : cranberryport.stream.session_keeper.SessionKeeper
        Source of this process's session and its rank.
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
        # Instance to the monotonic time since which the list has differed from the
        # control state, and to that of the last proposal.
        self._differing_since = {}
        self._proposed_at = {}

    @property
    def age_s(self):
        """Seconds since the last successful poll; infinite if there was none."""
        if self._received_at is None:
            return float("inf")
        return time.monotonic() - self._received_at

    @property
    def as_of(self):
        """Unix time, by the platform's clock, to which the latest list refers."""
        return self._as_of

    @property
    def entries(self):
        """Map of name to entry of the latest list, as received from the platform."""
        return self._entries

    @property
    def leaving(self):
        """Names of the instances that are not live in the latest list, or missing."""
        return self._leaving

    def is_leaving(self, name):
        """Return whether an instance is not live, or is missing, in the latest list."""
        return name in self._leaving

    def workers(self):
        """Return the entries of the workers, ordered by name."""
        return [
            entry
            for _, entry in sorted(self._entries.items())
            if entry.get("kind") == WORKER_KIND
        ]

    @handler("started", channel="*")
    def _on_started(self, *_):
        self._poll_list()

    def _poll_list(self):
        self._timers.after(self._settings.poll_interval_s, self._poll_list)
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
            self._as_of, self._entries = read_list(result.body)
        except ValueError as error:
            _logger.error("received an invalid instance list: %s", error)
            return
        self._leaving = self._find_not_live(self._entries)
        self._received_at = time.monotonic()
        self._propose_differences()

    def _find_not_live(self, entries):
        # A missing instance must get no more requests either. The control state cannot
        # record it as gone while the log is down.
        missing = self._follower.state.fleet.instances.keys() - entries.keys()
        return missing.union(
            name
            for name, entry in entries.items()
            if entry.get("status") != LIVE_STATUS
        )

    def _propose_differences(self):
        if not self._session_keeper.is_open or not self._follower.has_dispatch_right:
            return
        now = time.monotonic()
        observations = {
            record.instance: record for record in self._needed_observations()
        }
        for name in list(self._differing_since):
            if name not in observations:
                del self._differing_since[name]
        for name, record in observations.items():
            since = self._differing_since.setdefault(name, now)
            if now - since < self._session_keeper.rank * RANK_DELAY_S:
                continue
            # A proposal that has had no effect yet is not repeated at once.
            if (
                now - self._proposed_at.get(name, -DECISION_TIMEOUT_S)
                < RANK_DELAY_S * 2
            ):
                continue
            self._proposed_at[name] = now
            self._propose(record)

    def _needed_observations(self):
        recorded_instances = self._follower.state.fleet.instances
        for name, entry in sorted(self._entries.items()):
            if entry.get("kind") != BACKEND_KIND:
                continue
            record = self._entry_to_observation(entry)
            recorded = recorded_instances.get(name)
            if recorded is None or _to_observation(recorded) != record:
                yield record
        for name, recorded in sorted(recorded_instances.items()):
            if name not in self._entries and recorded.status != "gone":
                yield dataclasses.replace(_to_observation(recorded), status="gone")

    @staticmethod
    def _entry_to_observation(entry):
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

    def _propose(self, record):
        log_writer_events.propose(
            self, record, context=record.instance, timeout_s=DECISION_TIMEOUT_S
        )
