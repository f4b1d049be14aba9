"""Tests of :mod:`cranberryport.state.sessions`."""

import unittest

from cranberryport.generated import messages
from tests import control_stream


def vote(session, by, heartbeat):
    """Return a SessionSuspected."""
    return messages.SessionSuspected(session=session, by=by, heartbeat=heartbeat)


class SessionsTest(unittest.TestCase):
    """A live session must not be ended without a majority that saw it silent."""

    def setUp(self):
        self.stream = control_stream.Stream("abcde")
        self.sessions = self.stream.state.sessions

    def test_majority_counts_the_suspect(self):
        self.assertEqual(self.stream.end("e", "ab"), ())
        self.assertEqual(self.stream.end("e", "c"), ("e",))
        self.assertEqual(self.sessions.get("e").state, "ended")
        heartbeat = messages.SessionHeartbeat(session="e", position=0)
        self.assertIn("has ended", self.stream.reject("e", heartbeat))

    def test_heartbeat_voids_votes_that_did_not_see_it(self):
        seen = self.sessions.get("e").heartbeat
        self.stream.end("e", "ab")
        self.stream.accept("e", messages.SessionHeartbeat(session="e", position=0))
        self.assertIn("heartbeat", self.stream.reject("c", vote("e", "c", seen)))
        self.stream.end("e", "c")
        self.assertEqual(self.sessions.get("e").state, "live")

    def test_votes_of_an_ended_session_do_not_count(self):
        self.stream.end("e", "d")
        self.stream.end("d", "abc")
        # Four live sessions remain: three votes are needed, and the one of d is void.
        self.assertEqual(self.stream.end("e", "ab"), ())
        self.assertIn("ended", self.stream.reject("d", vote("e", "d", 4)))
        self.assertEqual(self.stream.end("e", "c"), ("e",))

    def test_a_repeated_vote_and_a_vote_for_another_count_once(self):
        self.stream.end("e", "aaa")
        self.assertIn("not the writer", self.stream.reject("a", vote("e", "b", 4)))
        self.assertIn("itself", self.stream.reject("e", vote("e", "e", 4)))
        self.assertEqual(self.sessions.get("e").state, "live")

    def test_a_close_that_lowers_the_majority_completes_it(self):
        self.stream.end("e", "ab")
        outcome = self.stream.accept("d", messages.SessionClosed(session="d"))
        self.assertEqual(outcome.ended, ())
        outcome = self.stream.accept("c", messages.SessionClosed(session="c"))
        self.assertEqual(outcome.ended, ("e",))

    def test_steps_after_the_end_come_in_order(self):
        fenced = messages.SessionFenced(session="e", by="a")
        settled = messages.SessionSettled(session="e", by="a")
        self.assertIn("expected: ended", self.stream.reject("a", fenced))
        self.stream.end("e", "abc")
        self.assertIn("expected: fenced", self.stream.reject("a", settled))
        self.stream.accept("a", fenced)
        self.stream.accept("b", settled)
        self.assertIsNone(self.sessions.get("e"))
        # A late repeat of the opening must not bring a ghost into the majority.
        reason = self.stream.reject("e", control_stream.opened("e"))
        self.assertIn("closed or settled", reason)

    def test_rank_follows_the_opening_of_live_sessions(self):
        self.stream.accept("a", messages.SessionClosed(session="a"))
        self.assertEqual(self.sessions.rank("b"), 0)
        self.assertEqual(self.sessions.rank("e"), 3)
        self.assertIsNone(self.sessions.rank("a"))
