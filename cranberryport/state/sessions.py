"""Sessions of the entry instances and the votes that end silent ones."""

import dataclasses
from typing import Literal

from cranberryport.state import plain

# Ids of closed and settled sessions that cannot be opened again. A repeat of an old
# SessionOpened within that many sessions does not bring a session back.
PAST_SESSIONS_KEPT = 1_000


@dataclasses.dataclass(kw_only=True, slots=True)
class Session:
    """One run of an entry instance.

    Attributes
    ----------
    session, instance, data_centre, host, port
        As in ``SessionOpened``.
    opened, heartbeat : int
        Offsets of the opening and of the last heartbeat; the opening counts as one.
    state : {'live', 'ended', 'fenced'}
        Closed and settled sessions are removed.
    votes : dict of str to int
        Voter to the offset of its vote.
    ended : int
        Offset of the record that ended the session; -1 while it is live.
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
    """All sessions that are not yet closed or settled, in order of opening."""

    __slots__ = ("_entries", "_past")

    def __init__(self):
        self._entries = {}
        self._past = {}

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
        """Return whether a session is open and not ended."""
        entry = self._entries.get(session)
        return entry is not None and entry.state == "live"

    def rank(self, session):
        """Return the place of a live session by opening, from 0; None if not live."""
        live = self.live_ids()
        return live.index(session) if session in live else None

    def votes_needed(self):
        """Return the number of votes that end a session.

        Half of the live sessions is enough: a session keeps its right in an outage of
        the log only with more than half, itself included, and these do not vote. With
        one vote more, a fleet replaced at once could never end its former sessions.
        """
        return (len(self.live_ids()) + 1) // 2

    def check_actor(self, session, writer):
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
        """Add a session; it ends an older live one of the same entry instance.

        Ended sessions are appended to ``context.ended``. They are fenced like others,
        since their process may be frozen and not gone.
        """
        if record.session != context.writer:
            return f"session {record.session!r} is not the writer {context.writer!r}"
        if not record.session:
            return "the session id is empty"
        if record.session in self._entries:
            return f"session {record.session!r} is already open"
        if record.session in self._past:
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

    def beat(self, record, context):
        """Take a heartbeat; it voids the votes against the session."""
        reason = self.check_actor(record.session, context.writer)
        if reason:
            return reason
        entry = self._entries[record.session]
        entry.heartbeat = context.offset
        entry.position = record.position
        entry.votes.clear()
        return ""

    def suspect(self, record, context):
        """Count a vote.

        Ended sessions are appended to ``context.ended``.
        """
        reason = self.check_actor(record.by, context.writer)
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
        self._end_suspects(context)
        return ""

    def close(self, record, context):
        """Remove a session that ends itself."""
        reason = self.check_actor(record.session, context.writer)
        if reason:
            return reason
        self._remove(record.session)
        self._withdraw_votes(record.session)
        self._end_suspects(context)
        return ""

    def fence(self, record):
        """Note that an ended session has lost its dispatch right."""
        entry = self._entries.get(record.session)
        if entry is None or entry.state != "ended":
            return self._wrong_state(record.session, entry, "ended")
        entry.state = "fenced"
        return ""

    def settle(self, record):
        """Remove a fenced session whose requests are over."""
        entry = self._entries.get(record.session)
        if entry is None or entry.state != "fenced":
            return self._wrong_state(record.session, entry, "fenced")
        self._remove(record.session)
        return ""

    def to_plain(self):
        """Return plain values that :meth:`from_plain` takes."""
        entries = plain.to_plain(list(self._entries.values()))
        return {"entries": entries, "past": list(self._past)}

    @classmethod
    def from_plain(cls, value):
        """Return the sessions for plain values."""
        sessions = cls()
        entries = plain.from_plain(value["entries"], list[Session])
        sessions._entries = {entry.session: entry for entry in entries}
        sessions._past = dict.fromkeys(plain.from_plain(value["past"], list[str]))
        return sessions

    def _end_suspects(self, context):
        # An ended or closed session lowers the votes needed and loses its own, so
        # the votes against the others are counted again until nothing changes.
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
        self._past[session] = None
        if len(self._past) > PAST_SESSIONS_KEPT:
            del self._past[next(iter(self._past))]

    @staticmethod
    def _wrong_state(session, entry, expected):
        state = entry.state if entry else "not open"
        return f"session {session!r} is {state}; expected: {expected}"
