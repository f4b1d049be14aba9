"""Tests of :mod:`cranberryport.state.keys`."""

import unittest

from tests import control_stream


class KeysTest(unittest.TestCase):
    """A request with an idempotency key must not run twice."""

    def setUp(self):
        self.stream = control_stream.Stream("abc")
        self.keys = self.stream.state.keys

    def claim(self, session):
        self.stream.accept(session, "KeyClaimed", key="k", issued=10.0)

    def test_only_the_first_claim_is_accepted_and_gets_the_response(self):
        self.claim("a")
        for kind in ("KeyClaimed", "KeyFinished", "KeyReleased"):
            self.assertIn("session 'a'", self.stream.reject("b", kind, key="k"))
        self.stream.accept("a", "KeyFinished", key="k", headers=[["a", "b"]])
        self.assertEqual(self.keys.get("k").headers, [["a", "b"]])
        self.assertIn("finished", self.stream.reject("a", "KeyClaimed", key="k"))

    def test_claim_of_an_ended_session_becomes_unknown(self):
        self.claim("c")
        self.stream.vote("c", "ab")
        for kind in ("KeyFinished", "KeyReleased", "KeyClaimed"):
            self.assertIn("has ended", self.stream.reject("c", kind, key="k"))
        self.assertIn("unknown", self.stream.reject("a", "KeyClaimed", key="k"))

    def test_claim_of_a_closed_session_becomes_unknown(self):
        self.claim("c")
        self.stream.accept("c", "SessionClosed")
        self.assertEqual(self.keys.get("k").state, "unknown")

    def test_released_key_can_be_claimed_again(self):
        self.claim("a")
        self.stream.accept("a", "KeyReleased", key="k")
        self.claim("b")

    def test_expired_key_cannot_be_claimed_again(self):
        self.claim("a")
        self.stream.accept("a", "KeysExpired", issued_before=11.0)
        late = {"key": "k", "issued": 10.0}
        self.assertIn("expired", self.stream.reject("b", "KeyClaimed", **late))
        earlier = self.stream.reject("b", "KeysExpired", issued_before=5.0)
        self.assertIn("not later", earlier)
        self.stream.accept("a", "SessionClosed")
