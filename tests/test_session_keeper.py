"""Tests of :mod:`cranberryport.stream.session_keeper`."""

import unittest
from unittest import mock

from circuits import Component

from cranberryport.generated import messages
from cranberryport.stream import log_writer_events, session_keeper
from tests import control_stream, fakes

IDENTITY = {"instance": "e1", "data_centre": "d", "host": "127.0.0.1", "port": 1}


class _Follower:
    def __init__(self, stream):
        self.stream = stream
        self.contact_age_s = 0.1

    @property
    def state(self):
        return self.stream.state


class SessionKeeperTest(unittest.TestCase):
    """A living session must not be ended, and a dead one must not stay for ever."""

    def setUp(self):
        patcher = mock.patch.object(session_keeper.time, "monotonic", self._now)
        patcher.start()
        self.addCleanup(patcher.stop)
        self.now = 1000.0
        self.is_silent = True
        self.root = Component()
        self.collector = fakes.Collector().register(self.root)
        self.stream = control_stream.Stream("bcd")
        self.follower = _Follower(self.stream)
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
        self._run()

    def _now(self):
        return self.now

    def _run(self):
        """Fold and decide whatever the keeper has appended."""
        fakes.run_until_idle(self.root)
        pending, self.collector.records = self.collector.records, []
        for record, ticket in pending:
            (outcome,) = self.stream.append(self.session_keeper._session, record)
            event = log_writer_events.decided(ticket, outcome)
            self.root.fire(event, ticket.reply_channel)
        fakes.run_until_idle(self.root)
        return [record for record, _ in pending]

    def _pass(self, seconds, *, alive=""):
        """Let time pass in steps; the sessions in ``alive`` send heartbeats."""
        found = []
        for _ in range(int(seconds * 2)):
            self.now += 0.5
            for session in alive:
                beat = messages.SessionHeartbeat(session=session, position=0)
                self.stream.append(session, beat)
            self.session_keeper._tick()
            found += self._run()
        return found

    def _kinds(self, records):
        return {type(record).__name__ for record in records}

    def test_opens_a_session_and_renews_it(self):
        self.assertTrue(self.session_keeper.is_open)
        self.assertEqual(self.session_keeper.rank, 3)
        kinds = self._kinds(self._pass(10, alive="bcd"))
        self.assertEqual(kinds, {"SessionHeartbeat"})

    def test_a_silent_session_is_voted_out_fenced_and_settled_in_time(self):
        records = self._pass(6.5, alive="cd")
        votes = [item for item in records if isinstance(item, _SUSPECTED)]
        self.assertEqual([vote.session for vote in votes], ["b"])
        self.stream.vote("b", "c")
        self.assertEqual(self.stream.state.sessions.get("b").state, "ended")
        self._pass(4.5, alive="cd")
        self.assertEqual(self.stream.state.sessions.get("b").state, "ended")
        self._pass(4.0, alive="cd")
        self.assertEqual(self.stream.state.sessions.get("b").state, "fenced")
        self._pass(28, alive="cd")
        self.assertIsNotNone(self.stream.state.sessions.get("b"))
        self._pass(6, alive="cd")
        self.assertIsNone(self.stream.state.sessions.get("b"))

    def test_no_vote_while_the_peer_still_answers(self):
        self.is_silent = False
        records = self._pass(20, alive="cd")
        self.assertNotIn("SessionSuspected", self._kinds(records))

    def test_no_vote_after_an_own_gap_in_contact(self):
        self._pass(5, alive="cd")
        self.follower.contact_age_s = 5.0
        self._pass(5)
        self.follower.contact_age_s = 0.1
        records = self._pass(5, alive="cd")
        self.assertNotIn("SessionSuspected", self._kinds(records))

    def test_an_ended_session_opens_a_new_one(self):
        first = self.session_keeper.session
        self.stream.vote(first, "bc")
        self.assertFalse(self.session_keeper.is_open)
        self._pass(1, alive="bcd")
        self.assertTrue(self.session_keeper.is_open)
        self.assertNotEqual(self.session_keeper.session, first)


_SUSPECTED = messages.SessionSuspected
