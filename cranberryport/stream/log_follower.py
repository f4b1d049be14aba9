"""Reads the control stream, folds its records and measures the age of the state.

A read that reaches the end of the stream is a contact with the log: the state then
holds every record. Only for ``DISPATCH_RIGHT_S`` after a contact may work be sent to
backend servers (the dispatch right), since other sessions end a session that has lost
contact, and use its shares afterwards.

The log deletes records after its retention time. If records were deleted before they
were read, the follower searches the retained ones for a snapshot of the state and goes
on from there.
"""

import enum
import logging
import time

from circuits import BaseComponent, Event, handler

from cranberryport import boot_clock
from cranberryport.http import connection
from cranberryport.state import fold, snapshot
from cranberryport.stream import log_client

DISPATCH_RIGHT_S = 4.0
# Time for which the log service may hold back a read until there is a record.
READ_WAIT_MS = 1000
READ_TIMEOUT_S = 3.0
READ_LIMIT_RECORDS = 500
RETRY_DELAY_S = 0.25

_logger = logging.getLogger(__name__)


class folded(Event):
    """Notification that the records of one append were folded.

    Parameters
    ----------
    offset : int
        Offset of the append in the stream.
    body : bytes
        Encoded envelope of the append.
    outcomes : list of outcomes.Accepted or outcomes.Rejected
        Outcomes of its records, in order.
    """


class contact(Event):
    """Notification that a read reached the end of the stream and was folded."""


class _Phase(enum.Enum):
    """Whether reads are searched for a snapshot or folded into the state."""

    SEARCH = "search"
    FOLD = "fold"


class LogFollower(BaseComponent):
    """Folds the control stream in offset order.

    Parameters
    ----------
    client : cranberryport.stream.log_client.LogClient
        Client for the reads.
    timers : cranberryport.timers.Timers
        Timers for the pauses after failed reads.
    publishers : dict of str to signing.Publisher
        Publishers by name, whose keys verify the signatures of sheets.
    """

    channel = "log_follower"

    def __init__(self, *, client, timers, publishers):
        super().__init__()
        self._client = client
        self._timers = timers
        self._publishers = publishers
        self._state = fold.State(publishers=publishers)
        self._phase = _Phase.FOLD
        self._search_assembler = None
        self._search_position = 0
        self._read_sent_at = None
        self._complete_at = None
        self._gap_count = 0
        self._reads_failed_since = None
        self._state_lost_at = None
        # Set if this process found no snapshot; collects those that others write later.
        self._late_assembler = None

    @property
    def state(self):
        """Control state, a :class:`fold.State`; another object after a restore."""
        return self._state

    @property
    def contact_age_s(self):
        """Seconds since the state was known to be complete; infinite if never."""
        if self._complete_at is None:
            return float("inf")
        return boot_clock.now_s() - self._complete_at

    @property
    def has_dispatch_right(self):
        """Whether the state is recent enough to send work to backend servers."""
        return self.contact_age_s <= DISPATCH_RIGHT_S

    @property
    def reads_failed_since(self):
        """Monotonic time of the first failed read since a successful one, or None."""
        return self._reads_failed_since

    @property
    def gap_count(self):
        """Number of times that records were deleted unread after the first read."""
        return self._gap_count

    @property
    def is_state_lost(self):
        """Whether records were deleted unread and no snapshot contains their effect."""
        return self._state_lost_at is not None

    @property
    def state_lost_at(self):
        """Unix time at which the loss of records was found, or None."""
        return self._state_lost_at

    @handler("started", channel="*")
    def _on_started(self, *_):
        self._send_read()

    def _send_read(self):
        self._read_sent_at = boot_clock.now_s()
        is_searching = self._phase is _Phase.SEARCH
        position = self._search_position if is_searching else self._state.position
        self._client.read(
            position,
            limit=READ_LIMIT_RECORDS,
            wait_ms=0 if is_searching else READ_WAIT_MS,
            deadline=time.monotonic() + READ_TIMEOUT_S,
            reply_channel=self.channel,
        )

    @handler("exchange_done")
    def _on_exchange_done(self, exchange):
        batch = log_client.parse_batch(exchange.result)
        if batch is None:
            self._on_read_failed(exchange.result)
            return
        self._reads_failed_since = None
        if self._phase is _Phase.SEARCH:
            self._search_snapshot(batch)
        elif batch.first > self._state.position:
            self._start_snapshot_search(batch)
        else:
            self._fold_batch(batch)
        self._send_read()

    def fold_relayed(self, relayed, *, requested_at):
        """Fold records that a peer has read from the log.

        Records that start after this state's position are ignored, since those between
        would be left out.

        Parameters
        ----------
        relayed : cranberryport.generated.messages.RecordsRelayed
            Records at consecutive offsets, and the age of the peer's contact.
        requested_at : float
            Time of :mod:`cranberryport.boot_clock` at which the peer was asked.
        """
        if self._phase is not _Phase.FOLD or relayed.position > self._state.position:
            return
        for number, body in enumerate(relayed.bodies):
            self._fold_record(relayed.position + number, body)
        if self._state.position >= relayed.end:
            complete_at = requested_at - relayed.age_s
            self._complete_at = max(self._complete_at or 0.0, complete_at)

    def _on_read_failed(self, result):
        if self._reads_failed_since is None:
            self._reads_failed_since = time.monotonic()
            if isinstance(result, connection.ExchangeFailure):
                detail = result.detail
            else:
                detail = f"unusable answer with status {result.status}"
            _logger.warning("read of the log failed: %s", detail)
        self._timers.after(RETRY_DELAY_S, self._send_read)

    def _fold_batch(self, batch):
        for offset, body in batch.records:
            self._fold_record(offset, body)
            if self._late_assembler is not None:
                self._late_assembler.feed(offset, body)
        if self._replace_by_late_snapshot(batch.first):
            return
        if self._state.position >= batch.end:
            # Records that were appended after the read was sent can be missing.
            self._complete_at = self._read_sent_at
            self.fire(contact(), "*")

    def _fold_record(self, offset, body):
        if offset < self._state.position:
            return
        outcomes = fold.apply_envelope(self._state, offset, body)
        self.fire(folded(offset, body, outcomes), "*")

    def _start_snapshot_search(self, batch):
        # The records between this state's position and the earliest retained one have
        # been deleted; only a snapshot contains their effect.
        if self._state.position:
            self._gap_count += 1
        _logger.warning(
            "records %d to %d were deleted from the log before they were read",
            self._state.position,
            batch.first - 1,
        )
        self._phase = _Phase.SEARCH
        self._search_assembler = snapshot.Assembler()
        self._search_position = batch.first

    def _search_snapshot(self, batch):
        for offset, body in batch.records:
            self._search_assembler.feed(offset, body)
            self._search_position = offset + 1
        if self._search_position < batch.end:
            return
        had_no_state = not self._state.position
        restored = self._restore_found_snapshot(batch.first)
        self._phase = _Phase.FOLD
        self._search_assembler = None
        if restored is not None:
            self._state = restored
            _logger.info("restored a snapshot at offset %d", restored.position)
        else:
            self._state_lost_at = time.time()
            self._state.skip_to(batch.first)
            if had_no_state:
                self._late_assembler = snapshot.Assembler()
            _logger.error("found no snapshot of the deleted records; state may be lost")

    def _replace_by_late_snapshot(self, earliest):
        """Replace a state that began without a snapshot by one that others wrote later.

        A process that starts after an outage can read the log before the others have
        written their first snapshot. Its state would stay incomplete, unlike theirs,
        and it would write that state as a snapshot.

        Returns
        -------
        bool
            Whether the state was replaced.
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
            self._state_lost_at = None
            _logger.info("replaced the state by a snapshot at %d", restored.position)
            return True
        return False

    def _restore_found_snapshot(self, earliest):
        for chunks in self._search_assembler.candidates(earliest=earliest):
            if chunks[0].base < self._state.position:
                return None
            try:
                return snapshot.restore(chunks, publishers=self._publishers)
            except snapshot.SnapshotError as error:
                _logger.error("snapshot %s: %s", chunks[0].snapshot, error)
        return None
