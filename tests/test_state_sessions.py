"""Tests of :mod:`cranberryport.state.sessions`."""

import unittest

from tests import control_stream


class SessionsTest(unittest.TestCase):
    """A session must not be ended unless half of the live ones saw it silent."""

    def setUp(self):
        self.stream = control_stream.Stream("abcde")
        self.sessions = self.stream.state.sessions

    def test_number_of_votes_needed_counts_the_suspect(self):
        self.assertEqual(self.stream.vote("e", "aaab"), [])
        self.assertEqual(self.stream.vote("e", "c"), ["e"])
        self.assertIn("has ended", self.stream.reject("e", "SessionHeartbeat"))

    def test_heartbeat_discards_votes_of_sessions_that_had_not_folded_it(self):
        stale = {"session": "e", "heartbeat": self.sessions.get("e").heartbeat}
        self.stream.vote("e", "ab")
        self.stream.accept("e", "SessionHeartbeat")
        reason = self.stream.reject("c", "SessionSuspected", **stale)
        self.assertIn("heartbeat", reason)
        self.assertEqual(self.stream.vote("e", "c"), [])

    def test_votes_of_an_ended_session_do_not_count(self):
        self.stream.vote("e", "d")
        self.stream.vote("d", "abc")
        # Four live sessions remain, so two votes are needed; that of d was withdrawn.
        self.assertEqual(self.stream.vote("e", "a"), [])
        vote = {"session": "e", "heartbeat": 4}
        self.assertIn("ended", self.stream.reject("d", "SessionSuspected", **vote))
        self.assertEqual(self.stream.vote("e", "c"), ["e"])

    def test_votes_of_a_closed_session_do_not_count(self):
        self.stream.vote("e", "d")
        self.stream.accept("d", "SessionClosed")
        self.assertEqual(self.stream.vote("e", "a"), [])

    def test_session_cannot_vote_for_another_or_against_itself(self):
        vote = {"session": "e", "heartbeat": 4}
        reason = self.stream.reject("a", "SessionSuspected", by="b", **vote)
        self.assertIn("not the writer", reason)
        self.assertIn("itself", self.stream.reject("e", "SessionSuspected", **vote))

    def test_close_lowers_the_votes_needed_and_can_end_a_suspect(self):
        self.stream.vote("e", "a")
        closed = [self.stream.accept(name, "SessionClosed") for name in "dcb"]
        self.assertEqual([outcome.ended for outcome in closed], [(), (), ("e",)])

    def test_new_session_of_an_entry_instance_ends_its_old_one(self):
        # The old session of an entry instance that was killed and restarted is live.
        opened = self.stream.accept("f", "SessionOpened", instance="e")
        self.assertEqual(opened.ended, ("e",))
        self.assertEqual(self.sessions.get("e").state, "ended")

    def test_instances_replaced_at_once_can_end_the_former_sessions(self):
        for name in "fghij":
            self.stream.accept(name, "SessionOpened", instance=name)
        for former in "abcde":
            self.stream.vote(former, "fghij"[: self.sessions.votes_needed()])
        self.assertEqual(self.sessions.live_ids(), list("fghij"))

    def test_one_of_two_sessions_can_end_the_other(self):
        for name in "cde":
            self.stream.accept(name, "SessionClosed")
        self.assertEqual(self.stream.vote("b", "a"), ["b"])

    def test_session_is_fenced_after_its_end_and_settled_after_fencing(self):
        reason = self.stream.reject("a", "SessionFenced", session="e")
        self.assertIn("expected: ended", reason)
        self.stream.vote("e", "abc")
        reason = self.stream.reject("a", "SessionSettled", session="e")
        self.assertIn("expected: fenced", reason)
        self.stream.accept("a", "SessionFenced", session="e")
        self.stream.accept("b", "SessionSettled", session="e")
        # A late repeat of SessionOpened must not add a past session to those that vote.
        self.assertIn("closed or settled", self.stream.reject("e", "SessionOpened"))

    def test_rank_is_the_order_of_opening_among_live_sessions(self):
        self.stream.accept("a", "SessionClosed")
        ranks = [self.sessions.rank(name) for name in "abe"]
        self.assertEqual(ranks, [None, 0, 3])
