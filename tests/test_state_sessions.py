"""Tests of :mod:`cranberryport.state.sessions`."""

import unittest

from tests import control_stream


class SessionsTest(unittest.TestCase):
    """A live session must not be ended unless half of all saw it silent."""

    def setUp(self):
        self.stream = control_stream.Stream("abcde")
        self.sessions = self.stream.state.sessions

    def test_the_votes_needed_count_the_suspect(self):
        self.assertEqual(self.stream.vote("e", "aaab"), [])
        self.assertEqual(self.stream.vote("e", "c"), ["e"])
        self.assertIn("has ended", self.stream.reject("e", "SessionHeartbeat"))

    def test_heartbeat_voids_votes_that_did_not_see_it(self):
        stale = {"session": "e", "heartbeat": self.sessions.get("e").heartbeat}
        self.stream.vote("e", "ab")
        self.stream.accept("e", "SessionHeartbeat")
        reason = self.stream.reject("c", "SessionSuspected", **stale)
        self.assertIn("heartbeat", reason)
        self.assertEqual(self.stream.vote("e", "c"), [])

    def test_votes_of_an_ended_session_do_not_count(self):
        self.stream.vote("e", "d")
        self.stream.vote("d", "abc")
        # Four live sessions remain: two votes are needed, and the one of d is void.
        self.assertEqual(self.stream.vote("e", "a"), [])
        vote = {"session": "e", "heartbeat": 4}
        self.assertIn("ended", self.stream.reject("d", "SessionSuspected", **vote))
        self.assertEqual(self.stream.vote("e", "c"), ["e"])

    def test_votes_of_a_closed_session_do_not_count(self):
        self.stream.vote("e", "d")
        self.stream.accept("d", "SessionClosed")
        self.assertEqual(self.stream.vote("e", "a"), [])

    def test_nobody_votes_for_another_or_against_itself(self):
        vote = {"session": "e", "heartbeat": 4}
        reason = self.stream.reject("a", "SessionSuspected", by="b", **vote)
        self.assertIn("not the writer", reason)
        self.assertIn("itself", self.stream.reject("e", "SessionSuspected", **vote))

    def test_a_close_that_lowers_the_votes_needed_completes_them(self):
        self.stream.vote("e", "a")
        closed = [self.stream.accept(name, "SessionClosed") for name in "dcb"]
        self.assertEqual([outcome.ended for outcome in closed], [(), (), ("e",)])

    def test_the_successor_of_an_instance_ends_its_old_session(self):
        # An instance that was killed and started again kept its old session live.
        opened = self.stream.accept("f", "SessionOpened", instance="e")
        self.assertEqual(opened.ended, ("e",))
        self.assertEqual(self.sessions.get("e").state, "ended")

    def test_a_fleet_replaced_at_once_ends_its_former_sessions(self):
        for name in "fghij":
            self.stream.accept(name, "SessionOpened", instance=name)
        for former in "abcde":
            self.stream.vote(former, "fghij"[: self.sessions.votes_needed()])
        self.assertEqual(self.sessions.live_ids(), list("fghij"))

    def test_two_sessions_are_enough_to_end_one(self):
        for name in "cde":
            self.stream.accept(name, "SessionClosed")
        self.assertEqual(self.stream.vote("b", "a"), ["b"])

    def test_steps_after_the_end_come_in_order(self):
        reason = self.stream.reject("a", "SessionFenced", session="e")
        self.assertIn("expected: ended", reason)
        self.stream.vote("e", "abc")
        reason = self.stream.reject("a", "SessionSettled", session="e")
        self.assertIn("expected: fenced", reason)
        self.stream.accept("a", "SessionFenced", session="e")
        self.stream.accept("b", "SessionSettled", session="e")
        # A late repeat of the opening must not add a dead session to the electorate.
        self.assertIn("closed or settled", self.stream.reject("e", "SessionOpened"))

    def test_rank_follows_the_opening_of_live_sessions(self):
        self.stream.accept("a", "SessionClosed")
        ranks = [self.sessions.rank(name) for name in "abe"]
        self.assertEqual(ranks, [None, 0, 3])
