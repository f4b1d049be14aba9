"""Tests of :mod:`cranberryport.fleet.operations`."""

import types
import unittest
from unittest import mock

from circuits import Component

from cranberryport.fleet import operations
from cranberryport.stream import log_writer_events
from tests import control_stream, fakes

START = 1_000_000.0
ROWS = ["pool p max_unavailable 1", "instance i pool p"]


class _Instances:
    def __init__(self):
        self.as_of = START
        self.leaving = set()

    def is_leaving(self, name):
        return name in self.leaving


class OperationsTest(unittest.TestCase):
    """An instance must not count as returned while its reboot is in progress."""

    def setUp(self):
        self.now = START
        for name in ("time", "monotonic"):
            patcher = mock.patch.object(operations.time, name, lambda: self.now)
            patcher.start()
            self.addCleanup(patcher.stop)
        self.root = Component()
        self.collector = fakes.Collector().register(self.root)
        self.stream = control_stream.Stream("a")
        self.timers = fakes.FakeTimers()
        self.instances = _Instances()
        self.client = mock.Mock()
        self.operations = operations.OperationManager(
            follower=types.SimpleNamespace(
                state=self.stream.state, has_dispatch_right=True
            ),
            session_keeper=types.SimpleNamespace(session="a", is_open=True, rank=0),
            instance_list=self.instances,
            timers=self.timers,
            client=self.client,
            platform=types.SimpleNamespace(host="127.0.0.1", port=1),
            count_in_flight=lambda instance: 0,
        ).register(self.root)
        fakes.run_until_idle(self.root)
        self.operations._on_started()
        self.stream.accept("a", control_stream.make_sheet("s", 0, ROWS))
        self.stream.accept("a", "InstanceObserved", instance="i", status="live")
        self.stream.accept(
            "a",
            "OperationStarted",
            operation="o",
            instance="i",
            expected_version=self.stream.state.fleet.get("i").version,
        )

    def _pass(self, seconds, *, list_lag_s=0.0):
        for _ in range(int(seconds * 2)):
            self.now += 0.5
            self.instances.as_of = self.now - list_lag_s
            self.timers.run()
            fakes.run_until_idle(self.root)
            pending, self.collector.records = self.collector.records, []
            for record, ticket in pending:
                (outcome,) = self.stream.append("a", record)
                event = log_writer_events.decided(ticket, outcome)
                self.root.fire(event, ticket.reply_channel)
            fakes.run_until_idle(self.root)

    @property
    def state(self):
        return self.stream.state.fleet.get("i").state

    def test_reboot_ends_when_the_list_has_shown_it(self):
        self._pass(2)
        self.instances.leaving = {"i"}
        self._pass(20)
        self.assertEqual(self.state, "stopped")
        self.instances.leaving = set()
        self._pass(2)
        self.assertEqual(self.state, "in_service")
        self.assertEqual(self.client.connect.call_count, 1)

    def test_a_list_of_before_the_reboot_does_not_end_it(self):
        # The next instance of the pool would otherwise be stopped as well.
        self._pass(13, list_lag_s=14)
        self.instances.leaving = {"i"}
        self._pass(10, list_lag_s=14)
        self.assertEqual(self.state, "stopped")
        self.instances.leaving = set()
        self._pass(2, list_lag_s=14)
        self.assertEqual(self.state, "in_service")

    def test_a_leaving_status_of_before_the_reboot_does_not_count(self):
        self.instances.leaving = {"i"}
        self._pass(5, list_lag_s=30)
        self.instances.leaving = set()
        self._pass(10, list_lag_s=30)
        self.assertEqual(self.state, "stopped")

    def test_a_reboot_too_short_for_the_list_ends(self):
        self._pass(operations.UNSEEN_REBOOT_S + 3)
        self.assertEqual(self.state, "in_service")

    def test_the_age_of_a_held_drain_counts_without_anyone_asking(self):
        self.stream.accept("b", "SessionOpened")
        self.assertEqual(self.operations.age_s("o"), 0.0)
        self._pass(0.5)
        self.operations._session_keeper.is_open = False
        self._pass(40)
        self.assertGreaterEqual(self.operations.age_s("o"), 40.0)
