"""Relays records of the control stream between peers while the log cannot be read.

An entry instance that has lost contact with the log requests the records from a peer
that has recent contact, so that its view of the control state stays up to date.
"""

import collections

from circuits import BaseComponent, handler

from cranberryport import boot_clock
from cranberryport.generated import messages

TICK_INTERVAL_S = 0.5
# Longer than the 2 s that a view with contact to the log can be old, because a read
# waits for up to 1 s.
REQUEST_AFTER_S = 2.5
RECENT_RECORDS_LIMIT_BYTES = 1024 * 1024
BATCH_LIMIT_BYTES = 256 * 1024
FRESH_CONTACT_LIMIT_S = 2.5


class Relay(BaseComponent):
    """Requests records from a peer while the log cannot be read, and sends records.

    Parameters
    ----------
    follower : cranberryport.stream.log_follower.LogFollower
        Folds the relayed records into the control state.
    peers : cranberryport.peering.peers.Peers
        Sends the messages and supplies the statuses of the peers.
    timers : cranberryport.timers.Timers
        Schedules the periodic check.
    """

    channel = "relay"

    def __init__(self, *, follower, peers, timers):
        super().__init__()
        self._follower = follower
        self._peers = peers
        self._timers = timers
        self._recent_records = collections.deque()
        self._recent_records_bytes = 0
        self._requested_at = {}
        self._relayed_count = 0

    @property
    def relayed_count(self):
        """Number of answers with relayed records that were folded."""
        return self._relayed_count

    @handler("started", channel="*")
    def _on_started(self, *_):
        self._timers.after(TICK_INTERVAL_S, self._tick)

    @handler("folded", channel="*")
    def _on_folded(self, offset, body, outcomes):
        self._recent_records.append((offset, body))
        self._recent_records_bytes += len(body)
        while self._recent_records_bytes > RECENT_RECORDS_LIMIT_BYTES:
            self._recent_records_bytes -= len(self._recent_records.popleft()[1])

    def _tick(self):
        self._timers.after(TICK_INTERVAL_S, self._tick)
        if self._follower.contact_age_s < REQUEST_AFTER_S:
            return
        fresh_peers = [
            (status.contact_age_s, session)
            for session, status in self._peers.statuses().items()
            if status.contact_age_s < FRESH_CONTACT_LIMIT_S
        ]
        if fresh_peers:
            session = min(fresh_peers)[1]
            self._requested_at[session] = boot_clock.now_s()
            position = self._follower.state.position
            self._peers.send(session, messages.RecordsRequested(position=position))

    @handler("peer_message", channel="*")
    def _on_peer_message(self, session, message):
        if isinstance(message, messages.RecordsRequested):
            self._send_records(session, message.position)
        elif isinstance(message, messages.RecordsRelayed):
            requested_at = self._requested_at.pop(session, None)
            if requested_at is not None:
                self._relayed_count += 1
                self._follower.fold_relayed(message, requested_at=requested_at)

    def _send_records(self, session, position):
        bodies, size, next_offset = [], 0, position
        for offset, body in self._recent_records:
            if offset < position:
                continue
            if offset != next_offset or size > BATCH_LIMIT_BYTES:
                break
            bodies.append(body)
            size += len(body)
            next_offset = offset + 1
        # Without the record at the requested position no answer is sent, because the
        # peer would skip that record.
        end = self._follower.state.position
        if not bodies and position < end:
            return
        relayed = messages.RecordsRelayed(
            position=position,
            end=end,
            age_s=min(self._follower.contact_age_s, 1e9),
            bodies=bodies,
        )
        self._peers.send(session, relayed)
