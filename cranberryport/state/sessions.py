"""Folds the sessions of entry instances and the votes that end silent ones.

A session is one run of an entry instance. When half of the live sessions have voted
against a silent one it is ended; it is fenced once its right to dispatch has expired,
and settled (removed) once its longest request is over. A session that shuts down
closes itself.
"""

import dataclasses
from typing import Literal

from cranberryport.state import plain

# Ids of closed and settled sessions that are remembered, so that a late repeat of their
# SessionOpened does not open them again.
PAST_SESSIONS_KEPT = 1_000


@dataclasses.dataclass(kw_only=True, slots=True)
class Session:
    """One run of an entry instance.

    Attributes
    ----------
    session, instance, data_centre, host, port
        As in ``SessionOpened``.
    opened, heartbeat : int
        Offsets of the ``SessionOpened`` and of the last ``SessionHeartbeat``, which is
        the ``SessionOpened`` before the first one.
    position : int
        As in the last ``SessionHeartbeat``; 0 before the first one.
    state : {'live', 'ended', 'fenced'}
        Closed and settled sessions are removed.
    votes : dict of str to int
        Session id of each voter to the offset of its vote.
    ended : int
        Offset of the record that ended the session; -1 while the session is live.
    """

    session: str
    instance: str
    data_centre: str
    host: str
    port: int
    opened: int
    heartbeat: int
    position: int = 0
    state: Literal["live", "ended", "fenced"] = "live"
    votes: dict[str, int] = dataclasses.field(default_factory=dict)
    ended: int = -1


class Sessions:
    """All live, ended and fenced sessions, in order of opening."""

    __slots__ = ("_entries", "_past_ids")

    def __init__(self):
        self._entries = {}
        self._past_ids = {}

    @property
    def entries(self):
        """Map of id to :class:`Session`, in order of opening."""
        return self._entries

    def get(self, session):
        """Return a session, or None if it is closed, settled or unknown."""
        return self._entries.get(session)

    def live_ids(self):
        """Return the ids of the live sessions in order of opening."""
        return [
            entry.session for entry in self._entries.values() if entry.state == "live"
        ]

    def is_live(self, session):
        """Return whether a session is open and has not been ended."""
        entry = self._entries.get(session)
        return entry is not None and entry.state == "live"

    def rank(self, session):
        """Return the position of a session among the live ones by opening, or None.

        Positions count from 0; a session that is not live has none.
        """
        live = self.live_ids()
        return live.index(session) if session in live else None

    def votes_needed(self):
        """Return the number of votes that end a session.

        Half of the live sessions, rounded up, is safe: in an outage of the log a
        session keeps its right to dispatch only while more than half of them, itself
        included, cannot reach the log and have not voted against it. If more than half
        were needed, entry instances that are all replaced at once could never end the
        sessions of their predecessors.
        """
        return (len(self.live_ids()) + 1) // 2

    def check_writer(self, session, writer):
        """Return why a writer may not act for a session; empty if it may."""
        if session != writer:
            return f"session {session!r} is not the writer {writer!r}"
        entry = self._entries.get(session)
        if entry is None:
            return f"session {session!r} is not open"
        if entry.state != "live":
            return f"session {session!r} has ended"
        return ""

    def open(self, record, context):
        """Add a session and end an older live one of the same entry instance.

        The ended session is appended to ``context.ended``. It must be fenced like any
        other, since its process may only be suspended and still run.
        """
        if record.session != context.writer:
            return f"session {record.session!r} is not the writer {context.writer!r}"
        if not record.session:
            return "the session id is empty"
        if record.session in self._entries:
            return f"session {record.session!r} is already open"
        if record.session in self._past_ids:
            return f"session {record.session!r} was closed or settled"
        self._end_predecessors(record.instance, context)
        self._entries[record.session] = Session(
            session=record.session,
            instance=record.instance,
            data_centre=record.data_centre,
            host=record.host,
            port=record.port,
            opened=context.offset,
            heartbeat=context.offset,
        )
        return ""

    def record_heartbeat(self, record, context):
        """Record a heartbeat, which discards the votes against the session."""
        reason = self.check_writer(record.session, context.writer)
        if reason:
            return reason
        entry = self._entries[record.session]
        entry.heartbeat = context.offset
        entry.position = record.position
        entry.votes.clear()
        return ""

    def record_vote(self, record, context):
        """Record a vote against a session, and end the sessions that it outvotes.

        The ended sessions are appended to ``context.ended``.
        """
        reason = self.check_writer(record.by, context.writer)
        entry = self._entries.get(record.session)
        if reason:
            return reason
        if entry is None or entry.state != "live":
            return f"session {record.session!r} is not live"
        if record.by == record.session:
            return f"session {record.session!r} cannot suspect itself"
        if record.heartbeat != entry.heartbeat:
            return (
                f"the vote names heartbeat {record.heartbeat}; "
                f"the last one is {entry.heartbeat}"
            )
        entry.votes.setdefault(record.by, context.offset)
        self._end_outvoted(context)
        return ""

    def close(self, record, context):
        """Remove a session that shuts down with no requests in flight."""
        reason = self.check_writer(record.session, context.writer)
        if reason:
            return reason
        self._remove(record.session)
        self._withdraw_votes(record.session)
        self._end_outvoted(context)
        return ""

    def fence(self, record):
        """Mark an ended session as fenced: its right to dispatch has expired."""
        entry = self._entries.get(record.session)
        if entry is None or entry.state != "ended":
            return self._wrong_state_reason(record.session, entry, "ended")
        entry.state = "fenced"
        return ""

    def settle(self, record):
        """Remove a fenced session whose requests are all over."""
        entry = self._entries.get(record.session)
        if entry is None or entry.state != "fenced":
            return self._wrong_state_reason(record.session, entry, "fenced")
        self._remove(record.session)
        return ""

    def to_plain(self):
        """Return the sessions as maps, lists and scalars, for a snapshot."""
        entries = plain.to_plain(list(self._entries.values()))
        return {"entries": entries, "past": list(self._past_ids)}

    @classmethod
    def from_plain(cls, value):
        """Return the sessions that :meth:`to_plain` converted."""
        sessions = cls()
        entries = plain.from_plain(value["entries"], list[Session])
        sessions._entries = {entry.session: entry for entry in entries}
        sessions._past_ids = dict.fromkeys(plain.from_plain(value["past"], list[str]))
        return sessions

    def _end_outvoted(self, context):
        # Each session that is ended or closed lowers the number of votes needed and has
        # its own votes withdrawn, so the votes are counted again after each end.
        while suspect := self._first_outvoted():
            self._end(suspect, context)

    def _end_predecessors(self, instance, context):
        for entry in self._entries.values():
            if entry.state == "live" and entry.instance == instance:
                self._end(entry, context)

    def _end(self, entry, context):
        entry.state = "ended"
        entry.ended = context.offset
        entry.votes.clear()
        self._withdraw_votes(entry.session)
        context.ended.append(entry.session)

    def _first_outvoted(self):
        needed = self.votes_needed()
        for entry in self._entries.values():
            if entry.state == "live" and len(entry.votes) >= needed:
                return entry
        return None

    def _withdraw_votes(self, voter):
        for entry in self._entries.values():
            entry.votes.pop(voter, None)

    def _remove(self, session):
        del self._entries[session]
        self._past_ids[session] = None
        if len(self._past_ids) > PAST_SESSIONS_KEPT:
            del self._past_ids[next(iter(self._past_ids))]

    @staticmethod
    def _wrong_state_reason(session, entry, expected):
        state = entry.state if entry else "not open"
        return f"session {session!r} is {state}; expected: {expected}"
