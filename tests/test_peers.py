"""Tests of :mod:`cranberryport.peering.peers` and of its links."""

import unittest

from circuits import BaseComponent, handler

from cranberryport.generated import messages
from cranberryport.http import connection
from cranberryport.peering import peers
from tests import support


class Receiver(BaseComponent):
    """Collects peers' messages."""

    channel = "receiver"

    def __init__(self):
        super().__init__()
        self.received = []

    @handler("peer_message", channel="*")
    def _on_peer_message(self, session, message):
        self.received.append((session, message))


class PeersTest(unittest.TestCase):
    """An unknown session must not pass as a peer; a pair needs one connection."""

    def setUp(self):
        self.loop = support.EventLoop()
        self.addresses = {}
        self.meshes = {}
        self.receiver = self.loop.add(Receiver())

    def _add(self, session):
        watcher = self.loop.add(
            connection.Client(timers=self.loop.timers, channel=f"sockets-{session}")
        )
        mesh = peers.Peers(
            watcher=watcher,
            timers=self.loop.timers,
            host="127.0.0.1",
            port=0,
            instance=session,
        )
        mesh.set_callbacks(
            sessions=lambda: {
                name: address
                for name, address in self.addresses.items()
                if name != session
            },
            own_session=lambda: session,
            make_status=lambda: messages.PeerStatus(
                session=session,
                position=7,
                contact_age_s=0.0,
                suspected=[],
                leaving=[],
                failed=[],
            ),
        )
        self.addresses[session] = ("127.0.0.1", mesh.port)
        self.meshes[session] = mesh
        self.loop.add(mesh)
        mesh._on_started()
        return mesh

    def test_a_pair_exchanges_statuses_and_messages_both_ways(self):
        one, two = self._add("a"), self._add("b")
        self.loop.run_until(lambda: "b" in one.statuses() and "a" in two.statuses())
        self.assertEqual(one.statuses()["b"].position, 7)
        request = messages.RecordsRequested(position=3)
        self.assertTrue(two.send("a", request))
        self.loop.run_until(lambda: self.receiver.received)
        self.assertEqual(self.receiver.received, [("b", request)])

    def test_a_session_that_the_control_state_does_not_know_is_refused(self):
        unknown = self._add("a")
        del self.addresses["a"]
        self._add("b")
        with self.assertLogs("cranberryport.peering.peers", "WARNING") as logged:
            self.loop.run_until(lambda: logged.records)
        self.assertIn("unknown session a", logged.output[0])
        self.assertEqual(self.meshes["b"].statuses(), {})
        self.loop.run_until(lambda: unknown._peers == {})

    def test_a_peer_that_is_gone_is_silent(self):
        one, _ = self._add("a"), self._add("b")
        self.loop.run_until(lambda: "b" in one.statuses())
        del self.addresses["b"]
        one._tick()
        self.assertTrue(one.is_silent("b"))
        self.assertFalse(one.send("b", messages.RecordsRequested(position=0)))
