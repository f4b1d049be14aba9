"""Tests of :mod:`cranberryport.stream.share_keeper`."""

import unittest
from unittest import mock

from circuits import Component

from cranberryport.stream import log_writer_events, share_keeper
from tests import control_stream, fakes

RESOURCE = "slots/s-1"


class ShareKeeperTest(unittest.TestCase):
    """Units that are being given back must not be used at the same time."""

    def setUp(self):
        self.root = Component()
        self.collector = fakes.Collector().register(self.root)
        self.stream = control_stream.Stream("a")
        self.stream.accept("a", "InstanceObserved", instance="s-1", slots=8)
        self.follower = mock.Mock(state=self.stream.state, has_dispatch_right=True)
        self.used = 0
        self.keeper = share_keeper.ShareKeeper(
            follower=self.follower,
            session_keeper=mock.Mock(session="a", is_open=True),
            timers=fakes.FakeTimers(),
            count_in_use=lambda resource: self.used,
        ).register(self.root)
        fakes.run_until_idle(self.root)

    def _tick(self):
        self.keeper._tick()
        fakes.run_until_idle(self.root)

    def _decide(self, *, is_undecided=False):
        (record, ticket), *_ = self.collector.records
        self.collector.records = []
        outcome = log_writer_events.Undecided(record=record)
        if not is_undecided:
            (outcome,) = self.stream.append("a", record)
        event = log_writer_events.decided(ticket, outcome)
        self.root.fire(event, ticket.reply_channel)
        fakes.run_until_idle(self.root)

    def _open_second_session(self):
        self.stream.accept("b", "SessionOpened", instance="b")
        self._tick()

    def test_surplus_is_withheld_at_once_and_released(self):
        self.assertEqual(self.keeper.usable(RESOURCE), 8)
        self._open_second_session()
        self.assertEqual(self.keeper.usable(RESOURCE), 4)
        self._decide()
        self.assertEqual(self.keeper.usable(RESOURCE), 4)
        self.assertEqual(self.stream.state.held_units("b", RESOURCE), 4)

    def test_units_in_use_are_released_only_when_free(self):
        self.used = 7
        self._open_second_session()
        self.assertEqual(self.collector.records[0][0].units, 1)
        self.assertEqual(self.keeper.usable(RESOURCE), 4)

    def test_an_undecided_release_stays_withheld_and_is_repeated(self):
        self._open_second_session()
        self._decide(is_undecided=True)
        self.assertEqual(self.keeper.usable(RESOURCE), 4)
        self.assertEqual(len(self.collector.records), 1)
        self._decide()
        self.assertEqual(self.keeper.usable(RESOURCE), 4)
