"""Keeps this process's session open and ends the sessions of silent entry instances.

A session is one run of an entry instance, renewed by heartbeats in the control stream.
Other sessions vote against a session whose heartbeats stop and whose peer connections
are silent as well. The votes end it. Once its dispatch right is over, it is fenced and
its shares are freed. Once its last requests are over, it is settled, that is, removed.
"""

import logging
import time
import uuid

from circuits import BaseComponent, handler

from cranberryport.generated import messages
from cranberryport.stream import log_writer_events

CHECK_INTERVAL_S = 0.5
HEARTBEAT_INTERVAL_S = 2.0
# A proposed record that has not been folded after this time counts as undecided.
DECISION_TIMEOUT_S = 10.0
# Time without a heartbeat before a session is suspected.
SUSPECT_AFTER_S = 6.0
# Time from the end of a session to its fencing; its dispatch right lasts for 4 s.
FENCE_AFTER_S = 5.0
# Time from the fencing of a session until its requests are over.
SETTLE_AFTER_S = 30.0
# A session waits this long times its rank before it proposes a record, so that usually
# only one session does.
RANK_DELAY_S = 1.0
# With an older contact, this process cannot tell a silent session from its own gap.
CONTACT_AGE_LIMIT_S = 3.0

_logger = logging.getLogger(__name__)


class SessionObservation:
    """Measures for how long another session has not changed, by this host's clock.

    Parameters
    ----------
    mark : object
        State and last heartbeat of the session.
    now : float
        Monotonic time.

    Attributes
    ----------
    suspected_heartbeat : int or None
        Last heartbeat at the time of this session's vote against the other one; None
        without a vote.
    """

    __slots__ = ("_last_mark", "_unchanged_since", "suspected_heartbeat")

    def __init__(self, *, mark, now):
        self._last_mark = mark
        self._unchanged_since = now
        self.suspected_heartbeat = None

    def unchanged_s(self, mark, now):
        """Update the mark and return for how many seconds it has been the same."""
        if mark != self._last_mark:
            self._last_mark = mark
            self._unchanged_since = now
        return now - self._unchanged_since

    def restart(self, now):
        """Measure from now on, because heartbeats may have been missed before."""
        self._unchanged_since = now


class SessionKeeper(BaseComponent):
    """Opens and renews this process's session, and proposes the end of silent ones.

    Parameters
    ----------
    follower : cranberryport.stream.log_follower.LogFollower
        Source of the control state.
    writer : cranberryport.stream.log_writer.LogWriter
        Writer that appends under this process's session.
    timers : cranberryport.timers.Timers
        Timers for the periodic check.
    identity : dict
        Fields of ``SessionOpened`` except the session id.
    is_peer_silent : callable
        Takes a session id and returns whether the peer connection to that session has
        also received nothing.
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
        self._is_session_open = False
        self._is_closing = False
        self._heartbeat_at = 0.0
        self._is_heartbeat_pending = False
        # Other session to its SessionObservation.
        self._observations = {}
        # Kind and session of the SessionFenced and SessionSettled records proposed,
        # without those that were rejected or undecided, which are proposed again.
        self._proposed_transitions = set()

    @property
    def session(self):
        """Id of this process's session; empty while none is open."""
        return self._session if self._is_session_open else ""

    @property
    def is_open(self):
        """Whether the session is open, not closing, and not ended by other sessions."""
        if not self._is_session_open or self._is_closing:
            return False
        return self._sessions.is_live(self._session)

    @property
    def is_closed(self):
        """Whether :meth:`close` was called and no session is open any more."""
        return self._is_closing and not self._is_session_open

    @property
    def rank(self):
        """Index among the live sessions in order of opening; None if not open.

        The session of the lowest rank is the first to propose a record.
        """
        return self._sessions.rank(self._session) if self.is_open else None

    def suspected_sessions(self):
        """Return the live sessions against which this one has voted, in order of id."""
        return [
            session
            for session, observation in sorted(self._observations.items())
            if observation.suspected_heartbeat is not None
            and self._sessions.is_live(session)
        ]

    @property
    def _sessions(self):
        return self._follower.state.sessions

    @handler("started", channel="*")
    def _on_started(self, *_):
        self._timers.after(CHECK_INTERVAL_S, self._check_sessions)

    @handler("contact", channel="*")
    def _on_contact(self):
        if self._session is None and not self._is_closing:
            self._open_session()

    def _propose_record(self, record, context):
        log_writer_events.propose(
            self, record, context=context, timeout_s=DECISION_TIMEOUT_S
        )

    def _open_session(self):
        self._session = uuid.uuid4().hex
        self._is_session_open = False
        self._writer.start_session(self._session)
        self._propose_record(
            messages.SessionOpened(session=self._session, **self._identity),
            ("open", self._session),
        )

    def close(self):
        """Close the session, whose shares pass to other sessions at once.

        No request of this process may be running at a backend server.
        """
        self._is_closing = True
        if self._is_session_open:
            self._propose_record(
                messages.SessionClosed(session=self._session),
                ("close", self._session),
            )

    @handler("decided")
    def _on_decided(self, ticket, outcome):
        purpose, subject = ticket.context
        is_accepted = type(outcome).__name__ == "Accepted"
        if purpose == "open" and subject == self._session:
            if is_accepted:
                self._is_session_open = True
                self._heartbeat_at = time.monotonic()
                _logger.info("opened session %s", subject)
            else:
                self._session = None
        elif purpose == "close":
            self._is_session_open = False
        elif purpose == "heartbeat":
            self._is_heartbeat_pending = False
        elif not is_accepted:
            self._proposed_transitions.discard(ticket.context)

    def _check_sessions(self):
        self._timers.after(CHECK_INTERVAL_S, self._check_sessions)
        now = time.monotonic()
        if self._is_session_open and not self._is_closing:
            self._renew_session(now)
        if self._follower.contact_age_s > CONTACT_AGE_LIMIT_S:
            for observation in self._observations.values():
                observation.restart(now)
        elif self.is_open:
            self._check_other_sessions(now)

    def _renew_session(self, now):
        if not self._sessions.is_live(self._session):
            _logger.warning("session %s was ended by other sessions", self._session)
            self._is_heartbeat_pending = False
            self._open_session()
            return
        if self._is_heartbeat_pending:
            return
        if now - self._heartbeat_at >= HEARTBEAT_INTERVAL_S:
            self._heartbeat_at = now
            self._is_heartbeat_pending = True
            position = self._follower.state.position
            record = messages.SessionHeartbeat(session=self._session, position=position)
            self._propose_record(record, ("heartbeat", self._session))

    def _check_other_sessions(self, now):
        present = set()
        for session in list(self._sessions.entries.values()):
            if session.session == self._session:
                continue
            present.add(session.session)
            self._check_session(session, now)
        for session_id in set(self._observations) - present:
            del self._observations[session_id]

    def _check_session(self, session, now):
        mark = (session.state, session.heartbeat)
        observation = self._observations.get(session.session)
        if observation is None:
            observation = SessionObservation(mark=mark, now=now)
            self._observations[session.session] = observation
        unchanged_s = observation.unchanged_s(mark, now)
        if observation.suspected_heartbeat not in (None, session.heartbeat):
            observation.suspected_heartbeat = None
        if session.state == "live":
            self._suspect_if_silent(session, observation, unchanged_s)
        elif session.state == "ended":
            self._propose_transition(
                messages.SessionFenced, session.session, unchanged_s - FENCE_AFTER_S
            )
        elif session.state == "fenced":
            self._propose_transition(
                messages.SessionSettled, session.session, unchanged_s - SETTLE_AFTER_S
            )

    def _suspect_if_silent(self, session, observation, unchanged_s):
        if (
            unchanged_s < SUSPECT_AFTER_S
            or observation.suspected_heartbeat == session.heartbeat
        ):
            return
        if not self._is_peer_silent(session.session):
            return
        observation.suspected_heartbeat = session.heartbeat
        record = messages.SessionSuspected(
            session=session.session, by=self._session, heartbeat=session.heartbeat
        )
        _logger.warning(
            "voting against session %s, silent for %.1f s", session.session, unchanged_s
        )
        self._propose_record(record, ("suspect", session.session))

    def _propose_transition(self, record_type, session_id, overdue_s):
        context = (record_type.__name__, session_id)
        if (
            overdue_s < self.rank * RANK_DELAY_S
            or context in self._proposed_transitions
        ):
            return
        self._proposed_transitions.add(context)
        self._propose_record(record_type(session=session_id, by=self._session), context)
