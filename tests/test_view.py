"""Tests of :mod:`cranberryport.stream.view`."""

import json
import types
import unittest
from unittest import mock

from circuits import Component

from cranberryport.fleet import instance_list
from cranberryport.stream import view
from tests import control_stream, fakes


class ViewTest(unittest.TestCase):
    """Guards against new requests to a leaving server, and against repeated keys."""

    def setUp(self):
        self.stream = control_stream.Stream("a")
        rows = ["pool p service s", "instance i pool p"]
        self.stream.accept("a", control_stream.make_sheet("s", 0, rows))
        self.stream.accept("a", "InstanceObserved", instance="i", status="live")
        follower = types.SimpleNamespace(
            state=self.stream.state, has_dispatch_right=False, state_lost_at=None
        )
        self.follower = follower
        session_keeper = types.SimpleNamespace(session="a", is_open=True, rank=0)
        self.root = Component()
        self.list = instance_list.InstanceList(
            client=mock.Mock(),
            timers=fakes.FakeTimers(),
            settings=mock.Mock(),
            follower=follower,
            session_keeper=session_keeper,
        ).register(self.root)
        self.peers = mock.Mock()
        self.peers.statuses.return_value = {}
        self.view = view.View(
            follower=follower,
            session_keeper=session_keeper,
            instance_list=self.list,
            peers=self.peers,
            usable_units=lambda resource: 8,
        )

    def _receive_list(self, **statuses):
        rows = [{"name": key, "status": value} for key, value in statuses.items()]
        body = json.dumps({"as_of": 1.0, "instances": rows}).encode()
        client = fakes.FakeLogClient()
        client.append(b"", deadline=1.0, reply_channel=self.list.channel)
        event = fakes.answered_event(client.appends[0], body)
        self.root.fire(event, self.list.channel)
        fakes.run_until_idle(self.root)

    @property
    def is_usable(self):
        (server,) = self.view.servers("s")
        return server.is_usable

    def test_leaving_status_of_the_list_counts_without_the_log(self):
        self.assertTrue(self.is_usable)
        self._receive_list(i="live")
        self.assertTrue(self.is_usable)
        self._receive_list(i="leaving")
        self.assertFalse(self.is_usable)

    def test_server_missing_in_the_list_gets_no_requests(self):
        # The control state cannot record it as gone during an outage of the log.
        self._receive_list(j="live")
        self.assertFalse(self.is_usable)

    def test_leaving_status_of_a_peer_counts(self):
        status = types.SimpleNamespace(leaving=["i"])
        self.peers.statuses.return_value = {"b": status}
        self.assertFalse(self.is_usable)

    def test_key_history_counts_as_lost_until_older_keys_have_expired(self):
        # Otherwise a key whose request had run could be claimed again after the loss.
        self.assertFalse(self.view.is_key_history_lost)
        self.follower.state_lost_at = 1000.0
        self.assertTrue(self.view.is_key_history_lost)
        self.stream.accept("a", "KeysExpired", issued_before=1300.0)
        self.assertFalse(self.view.is_key_history_lost)
        claim = {"key": "k", "digest": "d", "issued": 900.0}
        self.assertIn("expired", self.stream.reject("a", "KeyClaimed", **claim))
