"""Tests of :mod:`cranberryport.peering.peers` with links over loopback."""

import unittest

from circuits import BaseComponent, handler

from cranberryport.generated import messages
from cranberryport.http import connection
from cranberryport.peering import peers
from tests import support


class Receiver(BaseComponent):
    """Collects the messages from peers."""

    channel = "receiver"

    def __init__(self):
        super().__init__()
        self.received = []

    @handler("peer_message", channel="*")
    def _on_peer_message(self, session, message):
        self.received.append((session, message))


class PeersTest(unittest.TestCase):
    """Peers with unknown sessions are rejected, and known ones exchange messages."""

    def setUp(self):
        self.loop = support.EventLoop()
        self.addresses = {}
        self.meshes = {}
        self.receiver = self.loop.add(Receiver())

    def _add_mesh(self, session):
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

    def test_two_peers_exchange_statuses_and_messages(self):
        first, second = self._add_mesh("a"), self._add_mesh("b")
        self.loop.run_until(
            lambda: "b" in first.statuses() and "a" in second.statuses()
        )
        self.assertEqual(first.statuses()["b"].position, 7)
        request = messages.RecordsRequested(position=3)
        self.assertTrue(second.send("a", request))
        self.loop.run_until(lambda: self.receiver.received)
        self.assertEqual(self.receiver.received, [("b", request)])

    def test_session_unknown_to_the_control_state_is_rejected(self):
        unknown = self._add_mesh("a")
        del self.addresses["a"]
        self._add_mesh("b")
        with self.assertLogs("cranberryport.peering.peers", "WARNING") as logged:
            self.loop.run_until(lambda: logged.records)
        self.assertIn("unknown session a", logged.output[0])
        self.assertEqual(self.meshes["b"].statuses(), {})
        self.loop.run_until(lambda: unknown._peers == {})

    def test_peer_whose_session_ended_is_silent(self):
        first, _ = self._add_mesh("a"), self._add_mesh("b")
        self.loop.run_until(lambda: "b" in first.statuses())
        del self.addresses["b"]
        first._tick()
        self.assertTrue(first.is_silent("b"))
        self.assertFalse(first.send("b", messages.RecordsRequested(position=0)))
