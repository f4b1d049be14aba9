"""Tests of :mod:`cranberryport.fleet.operations`."""

import types
import unittest
from unittest import mock

from circuits import Component

from cranberryport.fleet import operations
from cranberryport.stream import log_writer_events
from tests import control_stream, fakes

START_TIME_S = 1_000_000.0
SHEET_ROWS = ["pool p max_unavailable 1", "instance i pool p"]


class FakeInstanceList:
    """Instance list whose time and leaving instances the test sets."""

    def __init__(self):
        self.as_of = START_TIME_S
        self.leaving = set()

    def is_leaving(self, name):
        """Return whether the test has set the instance as leaving."""
        return name in self.leaving


class OperationsTest(unittest.TestCase):
    """Guards against an instance that counts as returned during its reboot."""

    def setUp(self):
        self.now = START_TIME_S
        for name in ("time", "monotonic"):
            patcher = mock.patch.object(operations.time, name, lambda: self.now)
            patcher.start()
            self.addCleanup(patcher.stop)
        self.root = Component()
        self.collector = fakes.Collector().register(self.root)
        self.stream = control_stream.Stream("a")
        self.timers = fakes.FakeTimers()
        self.instance_list = FakeInstanceList()
        self.client = mock.Mock()
        self.operations = operations.OperationManager(
            follower=types.SimpleNamespace(
                state=self.stream.state, has_dispatch_right=True
            ),
            session_keeper=types.SimpleNamespace(session="a", is_open=True, rank=0),
            instance_list=self.instance_list,
            timers=self.timers,
            client=self.client,
            platform=types.SimpleNamespace(host="127.0.0.1", port=1),
            count_in_flight=lambda instance: 0,
        ).register(self.root)
        fakes.run_until_idle(self.root)
        self.operations._on_started()
        self.stream.accept("a", control_stream.make_sheet("s", 0, SHEET_ROWS))
        self.stream.accept("a", "InstanceObserved", instance="i", status="live")
        self.stream.accept(
            "a",
            "OperationStarted",
            operation="o",
            instance="i",
            expected_version=self.stream.state.fleet.get("i").version,
        )

    def _advance_time(self, seconds, *, list_lag_s=0.0):
        """Let time pass in steps of 0.5 s and fold the proposed records."""
        for _ in range(int(seconds * 2)):
            self.now += 0.5
            self.instance_list.as_of = self.now - list_lag_s
            self.timers.run()
            fakes.run_until_idle(self.root)
            pending, self.collector.records = self.collector.records, []
            for record, ticket in pending:
                (outcome,) = self.stream.append("a", record)
                event = log_writer_events.decided(ticket, outcome)
                self.root.fire(event, ticket.reply_channel)
            fakes.run_until_idle(self.root)

    @property
    def instance_state(self):
        return self.stream.state.fleet.get("i").state

    def test_reboot_ends_after_the_list_has_shown_it(self):
        self._advance_time(2)
        self.instance_list.leaving = {"i"}
        self._advance_time(20)
        self.assertEqual(self.instance_state, "stopped")
        self.instance_list.leaving = set()
        self._advance_time(2)
        self.assertEqual(self.instance_state, "in_service")
        self.assertEqual(self.client.connect.call_count, 1)

    def test_live_status_from_before_the_stop_does_not_end_the_reboot(self):
        # Otherwise the next instance of the pool would be stopped at the same time.
        self._advance_time(13, list_lag_s=14)
        self.instance_list.leaving = {"i"}
        self._advance_time(10, list_lag_s=14)
        self.assertEqual(self.instance_state, "stopped")
        self.instance_list.leaving = set()
        self._advance_time(2, list_lag_s=14)
        self.assertEqual(self.instance_state, "in_service")

    def test_leaving_status_from_before_the_stop_does_not_count(self):
        self.instance_list.leaving = {"i"}
        self._advance_time(5, list_lag_s=30)
        self.instance_list.leaving = set()
        self._advance_time(10, list_lag_s=30)
        self.assertEqual(self.instance_state, "stopped")

    def test_reboot_too_short_to_be_listed_ends(self):
        self._advance_time(operations.UNSEEN_REBOOT_S + 3)
        self.assertEqual(self.instance_state, "in_service")

    def test_age_of_a_drain_includes_an_outage(self):
        self.stream.accept("b", "SessionOpened")
        self.assertEqual(self.operations.age_s("o"), 0.0)
        self._advance_time(0.5)
        self.operations._session_keeper.is_open = False
        self._advance_time(40)
        self.assertGreaterEqual(self.operations.age_s("o"), 40.0)
