"""Re-appends the control state before its records expire, and forgets old keys."""

import logging
import time
import uuid

from circuits import BaseComponent, handler

from cranberryport.callers import idempotency
from cranberryport.generated import messages
from cranberryport.state import snapshot
from cranberryport.stream import log_writer_events

TICK_S = 1.0
APPEND_LIFETIME_S = 30.0
RANK_DELAY_S = 5.0
SNAPSHOT_PART_OF_RETENTION = 1 / 3
# A process whose state began without a snapshot lets those that may have one go first.
LOST_STATE_INTERVALS = 2
KEY_EXPIRY_INTERVAL_S = 600.0
LOST_KEYS_INTERVAL_S = 5.0

_logger = logging.getLogger(__name__)


class RetentionKeeper(BaseComponent):
    """Writes snapshots and expires idempotency keys.

    Parameters
    ----------
    follower : cranberryport.stream.log_follower.LogFollower
        For the control state.
    session_keeper : cranberryport.stream.session_keeper.SessionKeeper
        For the own rank; lower ranks propose first.
    timers : cranberryport.timers.Timers
        For the regular check.
    retention_s : float
        Time for which the log keeps a record, in seconds.
    """

    channel = "retention_keeper"

    def __init__(self, *, follower, session_keeper, timers, retention_s):
        super().__init__()
        self._follower = follower
        self._session_keeper = session_keeper
        self._timers = timers
        self._interval_s = retention_s * SNAPSHOT_PART_OF_RETENTION
        self._snapshot_at = time.monotonic()
        self._expired_at = time.monotonic()
        self._lost_keys_at = float("-inf")
        self._gap_count = 0

    @handler("started", channel="*")
    def _on_started(self, *_):
        self._timers.after(TICK_S, self._tick)

    @handler("folded", channel="*")
    def _on_folded(self, offset, body, outcomes):
        for outcome in outcomes:
            record = outcome.record
            is_chunk = isinstance(record, messages.SnapshotChunk)
            if is_chunk and record.index == record.count - 1:
                self._snapshot_at = time.monotonic()

    def _tick(self):
        self._timers.after(TICK_S, self._tick)
        if not self._session_keeper.is_open or not self._follower.has_dispatch_right:
            return
        now = time.monotonic()
        delay_s = self._session_keeper.rank * min(RANK_DELAY_S, self._interval_s / 16)
        has_gap = self._follower.gap_count > self._gap_count
        interval_s = self._interval_s
        if self._follower.is_state_lost and not self._follower.gap_count:
            interval_s *= LOST_STATE_INTERVALS
        if has_gap or now - self._snapshot_at >= interval_s + delay_s:
            self._gap_count = self._follower.gap_count
            self._snapshot_at = now
            self._write_snapshot()
        if now - self._expired_at >= KEY_EXPIRY_INTERVAL_S + delay_s:
            self._expired_at = now
            self._expire_keys(time.time() - idempotency.KEY_RETENTION_S)
        self._expire_lost_keys(now)

    def _expire_lost_keys(self, now):
        """Refuse every key that may have run before the control state was lost."""
        lost_at = self._follower.lost_at
        if lost_at is None or self._follower.state.keys.expiry >= lost_at:
            return
        if now - self._lost_keys_at >= LOST_KEYS_INTERVAL_S:
            self._lost_keys_at = now
            self._expire_keys(lost_at + idempotency.KEY_FUTURE_LIMIT_S)

    def _expire_keys(self, issued_before):
        self._append(messages.KeysExpired(issued_before=issued_before))

    def _write_snapshot(self):
        state = self._follower.state
        parts = snapshot.make_chunks(state, snapshot=uuid.uuid4().hex)
        for part in parts:
            self._append(part)
        size = sum(len(part.data) for part in parts)
        _logger.info("snapshot of %d bytes at offset %d", size, state.position)

    def _append(self, record):
        log_writer_events.propose(
            self, record, context=None, lifetime_s=APPEND_LIFETIME_S
        )
