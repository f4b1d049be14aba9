"""Tests of :mod:`cranberryport.peering.relay`."""

import types
import unittest

from circuits import Component

from cranberryport.generated import messages
from cranberryport.peering import peers, relay
from cranberryport.stream import log_follower
from tests import control_stream, fakes


class RelayTest(unittest.TestCase):
    """Relayed records have no gaps.

    With a gap an entry instance would have the dispatch right on a wrong control state.
    """

    def setUp(self):
        self.root = Component()
        self.sent = []
        self.statuses = {}
        self.stream = control_stream.Stream("ab")
        self.follower = types.SimpleNamespace(
            state=self.stream.state,
            contact_age_s=0.5,
            fold_relayed=lambda message, requested_at: self.relayed.append(message),
        )
        self.relayed = []
        self.relay = relay.Relay(
            follower=self.follower,
            peers=types.SimpleNamespace(
                statuses=lambda: self.statuses,
                send=lambda session, message: self.sent.append((session, message)),
            ),
            timers=fakes.FakeTimers(),
        ).register(self.root)
        fakes.run_until_idle(self.root)

    def _fold(self, offset):
        event = log_follower.folded(offset, self.stream.bodies[offset], [])
        self.root.fire(event, "*")
        fakes.run_until_idle(self.root)

    def _fire_peer_message(self, message):
        self.root.fire(peers.peer_message("a", message), "*")
        fakes.run_until_idle(self.root)

    def test_sends_the_records_from_the_requested_position(self):
        for offset in (0, 1):
            self._fold(offset)
        self._fire_peer_message(messages.RecordsRequested(position=1))
        ((_, answer),) = self.sent
        self.assertEqual(answer.bodies, self.stream.bodies[1:])
        self.assertEqual((answer.position, answer.end, answer.age_s), (1, 2, 0.5))

    def test_sends_nothing_if_the_requested_record_is_missing(self):
        self._fold(1)
        self._fire_peer_message(messages.RecordsRequested(position=0))
        self.assertEqual(self.sent, [])

    def test_requests_records_only_without_contact_and_from_the_freshest_peer(self):
        for session, age_s in (("a", 2.0), ("b", 0.1), ("c", 9.0)):
            self.statuses[session] = types.SimpleNamespace(contact_age_s=age_s)
        self.relay._tick()
        self.assertEqual(self.sent, [])
        self.follower.contact_age_s = 3.0
        self.relay._tick()
        ((session, request),) = self.sent
        self.assertEqual((session, request.position), ("b", 2))

    def test_folds_only_records_that_it_requested(self):
        answer = messages.RecordsRelayed(position=0, end=0, age_s=0.0, bodies=[])
        self._fire_peer_message(answer)
        self.assertEqual(self.relayed, [])
