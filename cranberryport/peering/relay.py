"""Passes records of the control stream to peers that cannot read the log."""

import collections
import time

from circuits import BaseComponent, handler

from cranberryport.generated import messages

TICK_S = 0.5
# A view in contact is up to 2 s old, since a read waits for 1 s.
ASK_AFTER_S = 2.5
KEPT_BYTES = 1024 * 1024
BATCH_BYTES = 256 * 1024
FRESH_S = 2.5


class Relay(BaseComponent):
    """Asks a peer for records while the log cannot be read, and answers such peers.

    Parameters
    ----------
    follower : cranberryport.stream.log_follower.LogFollower
        Folds relayed records.
    peers : cranberryport.peering.peers.Peers
        The mesh.
    timers : cranberryport.timers.Timers
        For the regular check.
    """

    channel = "relay"

    def __init__(self, *, follower, peers, timers):
        super().__init__()
        self._follower = follower
        self._peers = peers
        self._timers = timers
        self._kept = collections.deque()
        self._kept_bytes = 0
        self._requested_at = {}
        self._relayed_count = 0

    @property
    def relayed_count(self):
        """Number of answers folded that came through peers."""
        return self._relayed_count

    @handler("started", channel="*")
    def _on_started(self, *_):
        self._timers.after(TICK_S, self._tick)

    @handler("folded", channel="*")
    def _on_folded(self, offset, body, outcomes):
        self._kept.append((offset, body))
        self._kept_bytes += len(body)
        while self._kept_bytes > KEPT_BYTES:
            self._kept_bytes -= len(self._kept.popleft()[1])

    def _tick(self):
        self._timers.after(TICK_S, self._tick)
        if self._follower.contact_age_s < ASK_AFTER_S:
            return
        fresh = [
            (status.contact_age_s, session)
            for session, status in self._peers.statuses().items()
            if status.contact_age_s < FRESH_S
        ]
        if fresh:
            session = min(fresh)[1]
            self._requested_at[session] = time.monotonic()
            position = self._follower.state.position
            self._peers.send(session, messages.RecordsRequested(position=position))

    @handler("peer_message", channel="*")
    def _on_peer_message(self, session, message):
        if isinstance(message, messages.RecordsRequested):
            self._answer(session, message.position)
        elif isinstance(message, messages.RecordsRelayed):
            requested_at = self._requested_at.pop(session, None)
            if requested_at is not None:
                self._relayed_count += 1
                self._follower.fold_relayed(message, requested_at=requested_at)

    def _answer(self, session, position):
        bodies, size, next_offset = [], 0, position
        for offset, body in self._kept:
            if offset < position:
                continue
            if offset != next_offset or size > BATCH_BYTES:
                break
            bodies.append(body)
            size += len(body)
            next_offset = offset + 1
        # A bridge over lost offsets would let the peer skip records: it gets nothing.
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
