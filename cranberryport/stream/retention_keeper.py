"""Writes snapshots of the control state to the log, and expires idempotency keys.

The log deletes records after its retention time, so the state has to be appended again
as a snapshot before its records are gone. Keys older than ``KEY_RETENTION_S`` are
removed from the state, and a request with such a key is refused.
"""

import logging
import time
import uuid

from circuits import BaseComponent, handler

from cranberryport.callers import idempotency
from cranberryport.generated import messages
from cranberryport.state import snapshot
from cranberryport.stream import log_writer_events

CHECK_INTERVAL_S = 1.0
# A proposed record that has not been folded after this time counts as undecided.
DECISION_TIMEOUT_S = 30.0
# A session waits up to this long times its rank before it proposes a record, so that
# usually only one session does.
RANK_DELAY_S = 5.0
SNAPSHOT_FRACTION_OF_RETENTION = 1 / 3
# A process whose state began without a snapshot waits longer, so that a process with
# the whole state writes the next snapshot if there is one.
LOST_STATE_INTERVAL_FACTOR = 2
# Time between the snapshots of two sessions after an outage of the log; it is enough to
# append one and read it back, so that usually only one session writes.
OUTAGE_RANK_DELAY_S = 0.1
KEY_EXPIRY_INTERVAL_S = 600.0
LOST_KEYS_RETRY_S = 5.0

_logger = logging.getLogger(__name__)


class RetentionKeeper(BaseComponent):
    """Writes a snapshot three times per retention time, and expires old keys.

    Parameters
    ----------
    follower : cranberryport.stream.log_follower.LogFollower
        Source of the control state.
    session_keeper : cranberryport.stream.session_keeper.SessionKeeper
        Source of this process's session and its rank.
    timers : cranberryport.timers.Timers
        Timers for the periodic check.
    retention_s : float
        Time in seconds for which the log keeps a record.
    """

    channel = "retention_keeper"

    def __init__(self, *, follower, session_keeper, timers, retention_s):
        super().__init__()
        self._follower = follower
        self._session_keeper = session_keeper
        self._timers = timers
        self._interval_s = retention_s * SNAPSHOT_FRACTION_OF_RETENTION
        # Monotonic times: of the last snapshot that was folded or started, of the last
        # expiry of old keys, and of the last proposal after a loss of the state.
        self._snapshot_at = time.monotonic()
        self._keys_expired_at = time.monotonic()
        self._lost_keys_expired_at = float("-inf")
        # The follower's gap count at the last snapshot of this process.
        self._handled_gap_count = 0
        # Monotonic time of the last read that reached the end of the log, or None.
        self._contact_at = None
        # Whether every snapshot in the log may have been deleted during an outage.
        self._may_lack_snapshot = False

    @handler("started", channel="*")
    def _on_started(self, *_):
        self._timers.after(CHECK_INTERVAL_S, self._check_snapshot_and_keys)

    @handler("folded", channel="*")
    def _on_folded(self, offset, body, outcomes):
        for outcome in outcomes:
            record = outcome.record
            is_chunk = isinstance(record, messages.SnapshotChunk)
            if is_chunk and record.index == record.count - 1:
                self._snapshot_at = time.monotonic()
                self._may_lack_snapshot = False

    @handler("contact", channel="*")
    def _on_contact(self):
        now = time.monotonic()
        is_after_outage = (
            self._contact_at is not None and now - self._contact_at >= self._interval_s
        )
        self._contact_at = now
        if is_after_outage:
            self._may_lack_snapshot = True
            # Whoever holds the state may be replaced soon, so the periodic check would
            # come too late.
            rank = self._session_keeper.rank or 0
            self._timers.after(
                rank * OUTAGE_RANK_DELAY_S, self._write_snapshot_after_outage
            )

    def _write_snapshot_after_outage(self):
        if self._may_lack_snapshot and self._can_propose:
            self._may_lack_snapshot = False
            self._snapshot_at = time.monotonic()
            self._write_snapshot()

    @property
    def _can_propose(self):
        return self._session_keeper.is_open and self._follower.has_dispatch_right

    def _check_snapshot_and_keys(self):
        self._timers.after(CHECK_INTERVAL_S, self._check_snapshot_and_keys)
        if not self._can_propose:
            return
        self._write_snapshot_after_outage()
        now = time.monotonic()
        delay_s = self._session_keeper.rank * min(RANK_DELAY_S, self._interval_s / 16)
        has_new_gap = self._follower.gap_count > self._handled_gap_count
        interval_s = self._interval_s
        if self._follower.is_state_lost and not self._follower.gap_count:
            interval_s *= LOST_STATE_INTERVAL_FACTOR
        # After a gap the log may hold no snapshot, so one is written at once.
        if has_new_gap or now - self._snapshot_at >= interval_s + delay_s:
            self._handled_gap_count = self._follower.gap_count
            self._snapshot_at = now
            self._write_snapshot()
        if now - self._keys_expired_at >= KEY_EXPIRY_INTERVAL_S + delay_s:
            self._keys_expired_at = now
            self._propose_key_expiry(time.time() - idempotency.KEY_RETENTION_S)
        self._expire_lost_keys(now)

    def _expire_lost_keys(self, now):
        """Expire every key that may have been claimed before the state was lost.

        Keys can be issued slightly in the future, since clocks differ.
        """
        state_lost_at = self._follower.state_lost_at
        if state_lost_at is None or self._follower.state.keys.expiry >= state_lost_at:
            return
        if now - self._lost_keys_expired_at >= LOST_KEYS_RETRY_S:
            self._lost_keys_expired_at = now
            self._propose_key_expiry(state_lost_at + idempotency.KEY_FUTURE_LIMIT_S)

    def _propose_key_expiry(self, issued_before):
        self._propose(messages.KeysExpired(issued_before=issued_before))

    def _write_snapshot(self):
        state = self._follower.state
        chunks = snapshot.make_chunks(state, snapshot=uuid.uuid4().hex)
        for chunk in chunks:
            self._propose(chunk)
        size = sum(len(chunk.data) for chunk in chunks)
        _logger.info("writing snapshot: %d bytes at offset %d", size, state.position)

    def _propose(self, record):
        log_writer_events.propose(
            self, record, context=None, timeout_s=DECISION_TIMEOUT_S
        )
