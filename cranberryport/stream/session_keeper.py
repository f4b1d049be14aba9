"""Keeps the own session and ends those of silent entry instances."""

import logging
import time
import uuid

from circuits import BaseComponent, handler

from cranberryport.generated import messages
from cranberryport.stream import log_writer_events

TICK_S = 0.5
HEARTBEAT_INTERVAL_S = 2.0
APPEND_LIFETIME_S = 10.0
SUSPECT_AFTER_S = 6.0
FENCE_AFTER_S = 5.0
SETTLE_AFTER_S = 30.0
RANK_DELAY_S = 1.0
CONTACT_LIMIT_S = 3.0

_logger = logging.getLogger(__name__)


class Observation:
    """When a session was last seen to change, on the own clock.

    Parameters
    ----------
    mark : object
        Whatever changes with the session.
    now : float
        Monotonic time.
    """

    __slots__ = ("_mark", "_since", "voted_for")

    def __init__(self, *, mark, now):
        self._mark = mark
        self._since = now
        self.voted_for = None

    def age_s(self, mark, now):
        """Return for how many seconds the mark has been the same."""
        if mark != self._mark:
            self._mark = mark
            self._since = now
        return now - self._since

    def restart(self, now):
        """Count from now, because the own view had a gap."""
        self._since = now


class SessionKeeper(BaseComponent):
    """Opens a session, renews it, and proposes the end of silent ones.

    Parameters
    ----------
    follower : cranberryport.stream.log_follower.LogFollower
        For the control state.
    writer : cranberryport.stream.log_writer.LogWriter
        Gets the session id.
    timers : cranberryport.timers.Timers
        For the regular check.
    identity : dict
        Fields of ``SessionOpened`` but the session id.
    is_peer_silent : callable
        Takes a session id; whether the own connection to it is silent, too.
    """

    channel = "session_keeper"

    def __init__(self, *, follower, writer, timers, identity, is_peer_silent):
        super().__init__()
        self._follower = follower
        self._writer = writer
        self._timers = timers
        self._identity = identity
        self._is_peer_silent = is_peer_silent
        self._session = None
        self._is_opening = False
        self._is_open = False
        self._is_closing = False
        self._heartbeat_at = 0.0
        self._is_heartbeat_pending = False
        self._observations = {}
        self._proposed = set()

    @property
    def session(self):
        """Id of the own session, or an empty string while none is open."""
        return self._session if self._is_open else ""

    @property
    def is_open(self):
        """Whether the own session is open and was not ended by others."""
        if not self._is_open or self._is_closing:
            return False
        return self._sessions.is_live(self._session)

    @property
    def is_closed(self):
        """Whether the own session was closed, or never was open."""
        return self._is_closing and not self._is_open

    @property
    def rank(self):
        """Position among the live sessions; the lowest proposes first."""
        return self._sessions.rank(self._session) if self.is_open else None

    def suspected(self):
        """Return the sessions that this one has voted against and that still live."""
        return [
            session
            for session, observation in sorted(self._observations.items())
            if observation.voted_for is not None and self._sessions.is_live(session)
        ]

    @property
    def _sessions(self):
        return self._follower.state.sessions

    @handler("started", channel="*")
    def _on_started(self, *_):
        self._timers.after(TICK_S, self._tick)

    @handler("contact", channel="*")
    def _on_contact(self):
        if self._session is None and not self._is_closing:
            self._open()

    def _append(self, record, context):
        log_writer_events.propose(
            self, record, context=context, timeout_s=APPEND_LIFETIME_S
        )

    def _open(self):
        self._session = uuid.uuid4().hex
        self._is_open = False
        self._writer.start_session(self._session)
        self._append(
            messages.SessionOpened(session=self._session, **self._identity),
            ("open", self._session),
        )

    def close(self):
        """End the own session; call this with nothing in flight."""
        self._is_closing = True
        if self._is_open:
            self._append(
                messages.SessionClosed(session=self._session),
                ("close", self._session),
            )

    @handler("decided")
    def _on_decided(self, ticket, outcome):
        purpose, subject = ticket.context
        is_accepted = type(outcome).__name__ == "Accepted"
        if purpose == "open" and subject == self._session:
            if is_accepted:
                self._is_open = True
                self._heartbeat_at = time.monotonic()
                _logger.info("opened session %s", subject)
            else:
                self._session = None
        elif purpose == "close":
            self._is_open = False
        elif purpose == "heartbeat":
            self._is_heartbeat_pending = False
        elif not is_accepted:
            self._proposed.discard(ticket.context)

    def _tick(self):
        self._timers.after(TICK_S, self._tick)
        now = time.monotonic()
        if self._is_open and not self._is_closing:
            self._renew(now)
        if self._follower.contact_age_s > CONTACT_LIMIT_S:
            for observation in self._observations.values():
                observation.restart(now)
        elif self.is_open:
            self._watch_others(now)

    def _renew(self, now):
        if not self._sessions.is_live(self._session):
            _logger.warning("session %s was ended by others", self._session)
            self._is_heartbeat_pending = False
            self._open()
            return
        if self._is_heartbeat_pending:
            return
        if now - self._heartbeat_at >= HEARTBEAT_INTERVAL_S:
            self._heartbeat_at = now
            self._is_heartbeat_pending = True
            position = self._follower.state.position
            record = messages.SessionHeartbeat(session=self._session, position=position)
            self._append(record, ("heartbeat", self._session))

    def _watch_others(self, now):
        current = set()
        for session in list(self._sessions.entries.values()):
            if session.session == self._session:
                continue
            current.add(session.session)
            self._watch(session, now)
        for session_id in set(self._observations) - current:
            del self._observations[session_id]

    def _watch(self, session, now):
        mark = (session.state, session.heartbeat)
        observation = self._observations.get(session.session)
        if observation is None:
            observation = Observation(mark=mark, now=now)
            self._observations[session.session] = observation
        age_s = observation.age_s(mark, now)
        if observation.voted_for not in (None, session.heartbeat):
            observation.voted_for = None
        if session.state == "live":
            self._suspect(session, observation, age_s)
        elif session.state == "ended":
            self._propose(
                messages.SessionFenced, session.session, age_s - FENCE_AFTER_S
            )
        elif session.state == "fenced":
            self._propose(
                messages.SessionSettled, session.session, age_s - SETTLE_AFTER_S
            )

    def _suspect(self, session, observation, age_s):
        if age_s < SUSPECT_AFTER_S or observation.voted_for == session.heartbeat:
            return
        if not self._is_peer_silent(session.session):
            return
        observation.voted_for = session.heartbeat
        record = messages.SessionSuspected(
            session=session.session, by=self._session, heartbeat=session.heartbeat
        )
        _logger.warning("suspect session %s after %.1f s", session.session, age_s)
        self._append(record, ("suspect", session.session))

    def _propose(self, record_type, session_id, overdue_s):
        context = (record_type.__name__, session_id)
        if overdue_s < self.rank * RANK_DELAY_S or context in self._proposed:
            return
        self._proposed.add(context)
        self._append(record_type(session=session_id, by=self._session), context)
