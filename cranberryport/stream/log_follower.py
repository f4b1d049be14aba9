"""Reads the control stream, folds it, and knows how fresh the view is."""

import enum
import logging
import time

from circuits import BaseComponent, Event, handler

from cranberryport.http import connection
from cranberryport.state import fold, snapshot
from cranberryport.stream import log_client

DISPATCH_RIGHT_S = 4.0
READ_WAIT_MS = 1000
READ_TIMEOUT_S = 3.0
READ_LIMIT = 500
RETRY_DELAY_S = 0.25

_logger = logging.getLogger(__name__)


class folded(Event):
    """Records were folded.

    Parameters
    ----------
    offset : int
        Offset of the append.
    body : bytes
        Body of the append.
    outcomes : list
        Outcomes of its records.
    """


class contact(Event):
    """A read confirmed the end of the stream, so that the view is complete."""


class _Phase(enum.Enum):
    SEARCH = "search"
    FOLD = "fold"


class LogFollower(BaseComponent):
    """Folds the control stream in offset order.

    Parameters
    ----------
    client : cranberryport.stream.log_client.LogClient
        For reads.
    timers : cranberryport.timers.Timers
        For pauses between failed reads.
    publishers : dict
        Publishers by name, for the signatures of sheets.
    """

    channel = "log_follower"

    def __init__(self, *, client, timers, publishers):
        super().__init__()
        self._client = client
        self._timers = timers
        self._publishers = publishers
        self._state = fold.State(publishers=publishers)
        self._phase = _Phase.FOLD
        self._assembler = None
        self._search_position = 0
        self._sent_at = None
        self._confirmed_at = None
        self._gap_count = 0
        self._failed_since = None
        self._lost_at = None
        # Collects the snapshots that others write after this process found none.
        self._late_assembler = None

    @property
    def state(self):
        """The folded control state."""
        return self._state

    @property
    def contact_age_s(self):
        """Seconds since the view was known to be complete; infinite if never."""
        if self._confirmed_at is None:
            return float("inf")
        return time.monotonic() - self._confirmed_at

    @property
    def has_dispatch_right(self):
        """Whether the view is fresh enough to send work to backend servers."""
        return self.contact_age_s <= DISPATCH_RIGHT_S

    @property
    def failed_since(self):
        """Monotonic time since which every read failed, or None."""
        return self._failed_since

    @property
    def gap_count(self):
        """Number of times that records expired before they were read."""
        return self._gap_count

    @property
    def is_state_lost(self):
        """Whether records had expired with no snapshot to restore them from."""
        return self._lost_at is not None

    @property
    def lost_at(self):
        """Unix time at which the loss was found, or None."""
        return self._lost_at

    @handler("started", channel="*")
    def _on_started(self, *_):
        self._read()

    def _read(self):
        now = time.monotonic()
        self._sent_at = now
        is_searching = self._phase is _Phase.SEARCH
        position = self._search_position if is_searching else self._state.position
        self._client.read(
            position,
            limit=READ_LIMIT,
            wait_ms=0 if is_searching else READ_WAIT_MS,
            deadline=now + READ_TIMEOUT_S,
            reply_channel=self.channel,
        )

    @handler("exchange_done")
    def _on_exchange_done(self, exchange):
        batch = log_client.parse_batch(exchange.result)
        if batch is None:
            self._on_read_failed(exchange.result)
            return
        self._failed_since = None
        if self._phase is _Phase.SEARCH:
            self._search(batch)
        elif batch.first > self._state.position:
            self._start_search(batch)
        else:
            self._fold(batch)
        self._read()

    def fold_relayed(self, relayed, *, requested_at):
        """Fold records that a peer has read.

        Parameters
        ----------
        relayed : cranberryport.generated.messages.RecordsRelayed
            Bodies of consecutive offsets.
        requested_at : float
            Monotonic time before the peer was asked.
        """
        if self._phase is not _Phase.FOLD or relayed.position > self._state.position:
            return
        for number, body in enumerate(relayed.bodies):
            self._fold_one(relayed.position + number, body)
        if self._state.position >= relayed.end:
            confirmed_at = requested_at - relayed.age_s
            self._confirmed_at = max(self._confirmed_at or 0.0, confirmed_at)

    def _on_read_failed(self, result):
        if self._failed_since is None:
            self._failed_since = time.monotonic()
            if isinstance(result, connection.ExchangeFailure):
                detail = result.detail
            else:
                detail = f"unusable answer with status {result.status}"
            _logger.warning("cannot read the log: %s", detail)
        self._timers.after(RETRY_DELAY_S, self._read)

    def _fold(self, batch):
        for offset, body in batch.records:
            self._fold_one(offset, body)
            if self._late_assembler is not None:
                self._late_assembler.feed(offset, body)
        if self._restore_late(batch.first):
            return
        if self._state.position >= batch.end:
            self._confirmed_at = self._sent_at
            self.fire(contact(), "*")

    def _fold_one(self, offset, body):
        if offset < self._state.position:
            return
        outcomes = fold.apply_envelope(self._state, offset, body)
        self.fire(folded(offset, body, outcomes), "*")

    def _start_search(self, batch):
        # The records between the own position and the earliest retained one are gone;
        # only a snapshot can stand for them.
        if self._state.position:
            self._gap_count += 1
        _logger.warning(
            "records %d to %d have expired before they were read",
            self._state.position,
            batch.first - 1,
        )
        self._phase = _Phase.SEARCH
        self._assembler = snapshot.Assembler()
        self._search_position = batch.first

    def _search(self, batch):
        for offset, body in batch.records:
            self._assembler.feed(offset, body)
            self._search_position = offset + 1
        if self._search_position < batch.end:
            return
        is_empty = not self._state.position
        restored = self._restore(batch.first)
        self._phase = _Phase.FOLD
        self._assembler = None
        if restored is not None:
            self._state = restored
            _logger.info("restored a snapshot at offset %d", restored.position)
        else:
            self._lost_at = time.time()
            self._state.skip_to(batch.first)
            if is_empty:
                self._late_assembler = snapshot.Assembler()
            _logger.error("no snapshot covers the expired records; state may be lost")

    def _restore_late(self, earliest):
        """Replace a state that began without a snapshot by one that others wrote.

        A process that starts after an outage can read the log before the others have
        written their first snapshot to it. Without this it would keep an empty state
        beside theirs, and would write it as a snapshot.
        """
        if self._late_assembler is None:
            return False
        for chunks in self._late_assembler.candidates(earliest=earliest):
            try:
                restored = snapshot.restore(chunks, publishers=self._publishers)
            except snapshot.SnapshotError as error:
                _logger.error("snapshot %s: %s", chunks[0].snapshot, error)
                continue
            self._state = restored
            self._late_assembler = None
            self._lost_at = None
            _logger.info("restored a late snapshot at offset %d", restored.position)
            return True
        return False

    def _restore(self, earliest):
        for chunks in self._assembler.candidates(earliest=earliest):
            if chunks[0].base < self._state.position:
                return None
            try:
                return snapshot.restore(chunks, publishers=self._publishers)
            except snapshot.SnapshotError as error:
                _logger.error("snapshot %s: %s", chunks[0].snapshot, error)
        return None
