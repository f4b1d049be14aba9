"""Tests of :mod:`cranberryport.stream.share_keeper`."""

import unittest
from unittest import mock

from circuits import Component

from cranberryport.stream import log_writer_events, share_keeper
from tests import control_stream, fakes

RESOURCE = "slots/s-1"


class ShareKeeperTest(unittest.TestCase):
    """Guards against units that are used while they are being released."""

    def setUp(self):
        self.root = Component()
        self.collector = fakes.Collector().register(self.root)
        self.stream = control_stream.Stream("a")
        self.stream.accept("a", "InstanceObserved", instance="s-1", slots=8)
        self.follower = mock.Mock(state=self.stream.state, has_dispatch_right=True)
        self.units_in_use = 0
        self.share_keeper = share_keeper.ShareKeeper(
            follower=self.follower,
            session_keeper=mock.Mock(session="a", is_open=True),
            timers=fakes.FakeTimers(),
            count_in_use=lambda resource: self.units_in_use,
        ).register(self.root)
        fakes.run_until_idle(self.root)

    def _release_surplus(self):
        self.share_keeper._release_surplus()
        fakes.run_until_idle(self.root)

    def _decide_release(self, *, is_undecided=False):
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
        self._release_surplus()

    def test_surplus_is_withheld_at_once_and_then_released(self):
        self.assertEqual(self.share_keeper.usable_units(RESOURCE), 8)
        self._open_second_session()
        self.assertEqual(self.share_keeper.usable_units(RESOURCE), 4)
        self._decide_release()
        self.assertEqual(self.share_keeper.usable_units(RESOURCE), 4)
        self.assertEqual(self.stream.state.held_units("b", RESOURCE), 4)

    def test_only_free_units_are_released(self):
        self.units_in_use = 7
        self._open_second_session()
        self.assertEqual(self.collector.records[0][0].units, 1)
        self.assertEqual(self.share_keeper.usable_units(RESOURCE), 4)

    def test_undecided_release_stays_withheld_and_is_repeated(self):
        self._open_second_session()
        self._decide_release(is_undecided=True)
        self.assertEqual(self.share_keeper.usable_units(RESOURCE), 4)
        self.assertEqual(len(self.collector.records), 1)
        self._decide_release()
        self.assertEqual(self.share_keeper.usable_units(RESOURCE), 4)
