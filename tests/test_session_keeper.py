"""Tests of :mod:`cranberryport.stream.session_keeper`."""

import unittest
from unittest import mock

from circuits import Component

from cranberryport.generated import messages
from cranberryport.stream import log_writer_events, session_keeper
from tests import control_stream, fakes

IDENTITY = {"instance": "e1", "data_centre": "d", "host": "127.0.0.1", "port": 1}


class FakeFollower:
    """Follower of a test stream whose contact age the test sets."""

    def __init__(self, stream):
        self.stream = stream
        self.contact_age_s = 0.1

    @property
    def state(self):
        """State of the test stream."""
        return self.stream.state


class SessionKeeperTest(unittest.TestCase):
    """Guards against the end of an active session and against silent ones that stay."""

    def setUp(self):
        patcher = mock.patch.object(session_keeper.time, "monotonic", self._monotonic_s)
        patcher.start()
        self.addCleanup(patcher.stop)
        self.now = 1000.0
        self.is_silent = True
        self.root = Component()
        self.collector = fakes.Collector().register(self.root)
        self.stream = control_stream.Stream("bcd")
        self.follower = FakeFollower(self.stream)
        self.timers = fakes.FakeTimers()
        self.session_keeper = session_keeper.SessionKeeper(
            follower=self.follower,
            writer=mock.Mock(),
            timers=self.timers,
            identity=IDENTITY,
            is_peer_silent=lambda session: self.is_silent,
        ).register(self.root)
        fakes.run_until_idle(self.root)
        self.session_keeper._on_contact()
        self._fold_proposed_records()

    def _monotonic_s(self):
        return self.now

    def _fold_proposed_records(self):
        """Fold the proposed records, report their outcomes and return the records."""
        fakes.run_until_idle(self.root)
        pending, self.collector.records = self.collector.records, []
        for record, ticket in pending:
            (outcome,) = self.stream.append(self.session_keeper._session, record)
            event = log_writer_events.decided(ticket, outcome)
            self.root.fire(event, ticket.reply_channel)
        fakes.run_until_idle(self.root)
        return [record for record, _ in pending]

    def _advance_time(self, seconds, *, sending_heartbeats=""):
        """Let time pass in steps of 0.5 s.

        The sessions in ``sending_heartbeats`` append a heartbeat at each step.
        """
        proposed_records = []
        for _ in range(int(seconds * 2)):
            self.now += 0.5
            for session in sending_heartbeats:
                heartbeat = messages.SessionHeartbeat(session=session, position=0)
                self.stream.append(session, heartbeat)
            self.session_keeper._check_sessions()
            proposed_records += self._fold_proposed_records()
        return proposed_records

    def _record_kinds(self, records):
        return {type(record).__name__ for record in records}

    def test_session_is_opened_and_renewed(self):
        self.assertTrue(self.session_keeper.is_open)
        self.assertEqual(self.session_keeper.rank, 3)
        kinds = self._record_kinds(self._advance_time(10, sending_heartbeats="bcd"))
        self.assertEqual(kinds, {"SessionHeartbeat"})

    def test_silent_session_is_ended_fenced_and_settled_in_time(self):
        records = self._advance_time(6.5, sending_heartbeats="cd")
        votes = [item for item in records if isinstance(item, _SUSPECTED)]
        self.assertEqual([vote.session for vote in votes], ["b"])
        self.stream.vote("b", "c")
        self.assertEqual(self.stream.state.sessions.get("b").state, "ended")
        self._advance_time(4.5, sending_heartbeats="cd")
        self.assertEqual(self.stream.state.sessions.get("b").state, "ended")
        self._advance_time(4.0, sending_heartbeats="cd")
        self.assertEqual(self.stream.state.sessions.get("b").state, "fenced")
        self._advance_time(28, sending_heartbeats="cd")
        self.assertIsNotNone(self.stream.state.sessions.get("b"))
        self._advance_time(6, sending_heartbeats="cd")
        self.assertIsNone(self.stream.state.sessions.get("b"))

    def test_no_vote_while_the_peer_connection_is_alive(self):
        self.is_silent = False
        records = self._advance_time(20, sending_heartbeats="cd")
        self.assertNotIn("SessionSuspected", self._record_kinds(records))

    def test_no_vote_after_a_gap_in_this_sessions_contact(self):
        self._advance_time(5, sending_heartbeats="cd")
        self.follower.contact_age_s = 5.0
        self._advance_time(5)
        self.follower.contact_age_s = 0.1
        records = self._advance_time(5, sending_heartbeats="cd")
        self.assertNotIn("SessionSuspected", self._record_kinds(records))

    def test_new_session_is_opened_after_the_session_was_ended(self):
        first = self.session_keeper.session
        self.stream.vote(first, "bc")
        self.assertFalse(self.session_keeper.is_open)
        self._advance_time(1, sending_heartbeats="bcd")
        self.assertTrue(self.session_keeper.is_open)
        self.assertNotEqual(self.session_keeper.session, first)


_SUSPECTED = messages.SessionSuspected
