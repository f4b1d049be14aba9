"""Tests of :mod:`cranberryport.stream.log_follower`."""

import unittest
from unittest import mock

import cbor2
from circuits import Component

from cranberryport.generated import messages
from cranberryport.state import snapshot
from cranberryport.stream import log_follower
from tests import control_stream, fakes


class LogFollowerTest(unittest.TestCase):
    """Guards against a dispatch right with a state that lacks records of the stream."""

    def setUp(self):
        self.root = Component()
        self.client = fakes.FakeLogClient()
        self.timers = fakes.FakeTimers()
        self.follower = log_follower.LogFollower(
            client=self.client,
            timers=self.timers,
            publishers=control_stream.PUBLISHERS,
        ).register(self.root)
        fakes.run_until_idle(self.root)
        self.follower._send_read()
        self.stream = control_stream.Stream("ab")

    def _answer_read(self, *, first=0, end=None, start=0, stop=None):
        """Answer the last read with the records from ``start`` to before ``stop``.

        ``first`` is the earliest retained offset and ``end`` that of the next record.
        """
        bodies = self.stream.bodies
        stop = len(bodies) if stop is None else stop
        fields = {
            "first": first,
            "next": len(bodies) if end is None else end,
            "records": [[offset, bodies[offset]] for offset in range(start, stop)],
        }
        exchange = self.client.reads[-1]
        event = fakes.answered_event(exchange, cbor2.dumps(fields))
        self.root.fire(event, exchange.reply_channel)
        fakes.run_until_idle(self.root)

    def test_dispatch_right_lapses_while_the_machine_is_suspended(self):
        """Guards against work that is sent on a state from before a suspend.

        The monotonic clock stops while a machine is suspended.
        """
        with mock.patch("cranberryport.boot_clock.now_s") as boot_now_s:
            boot_now_s.return_value = 100.0
            self.follower._send_read()
            self._answer_read()
            self.assertTrue(self.follower.has_dispatch_right)
            boot_now_s.return_value += log_follower.DISPATCH_RIGHT_S + 0.1
            self.assertFalse(self.follower.has_dispatch_right)

    def _write_snapshot(self, *, snapshot_id="s1"):
        for chunk in snapshot.make_chunks(self.stream.state, snapshot=snapshot_id):
            self.stream.accept("a", chunk)

    def _encoded_state(self):
        return snapshot.encode(self.follower.state)

    def test_no_dispatch_right_before_the_end_of_the_stream_was_read(self):
        self.assertFalse(self.follower.has_dispatch_right)
        self._answer_read(stop=1)
        self.assertFalse(self.follower.has_dispatch_right)
        self._answer_read(start=1)
        self.assertTrue(self.follower.has_dispatch_right)
        self.assertEqual(self._encoded_state(), snapshot.encode(self.stream.state))

    def test_dispatch_right_ends_without_contact(self):
        self._answer_read()
        self.follower._complete_at -= log_follower.DISPATCH_RIGHT_S + 0.1
        self.assertFalse(self.follower.has_dispatch_right)

    def test_snapshot_replaces_deleted_records(self):
        self.stream.accept("a", "InstanceObserved", instance="s-1")
        base = self.stream.state.position
        self._write_snapshot()
        self.stream.accept("b", messages.SessionHeartbeat(session="b", position=1))
        self._answer_read(first=base, start=base)
        self._answer_read(first=base, start=base)
        self._answer_read(first=base, start=base)
        self.assertEqual(self._encoded_state(), snapshot.encode(self.stream.state))
        self.assertTrue(self.follower.has_dispatch_right)
        self.assertFalse(self.follower.is_state_lost)

    def test_older_snapshot_does_not_replace_the_state(self):
        self._answer_read()
        base = self.stream.state.position
        self._write_snapshot()
        self.stream.accept("a", "InstanceObserved", instance="s-1")
        self._answer_read(start=base)
        before = self._encoded_state()
        position = self.follower.state.position
        self._answer_read(first=position + 1, end=position + 1, start=0, stop=0)
        self._answer_read(first=position + 1, end=position + 1, start=0, stop=0)
        self.assertEqual(self.follower.gap_count, 1)
        self.assertGreaterEqual(self.follower.state.position, position)
        self.assertIn("s-1", self.follower.state.fleet.instances)
        self.assertNotEqual(before, b"")

    def test_deleted_records_without_snapshot_count_as_loss(self):
        self._answer_read(first=2, end=2, stop=0)
        self._answer_read(first=2, end=2, stop=0)
        self.assertTrue(self.follower.is_state_lost)

    def test_late_snapshot_replaces_a_state_that_began_without_one(self):
        # Otherwise two entry instances would keep different configurations.
        self.stream.accept("a", "InstanceObserved", instance="s-1")
        base = self.stream.state.position
        self._answer_read(first=base, start=base)
        self._answer_read(first=base, start=base)
        self.assertNotIn("s-1", self.follower.state.fleet.instances)
        self._write_snapshot()
        self.stream.accept("b", messages.SessionHeartbeat(session="b", position=1))
        self._answer_read(first=base, start=base)
        self._answer_read(first=base, start=base)
        self.assertEqual(self._encoded_state(), snapshot.encode(self.stream.state))
        self.assertFalse(self.follower.is_state_lost)

    def test_relayed_records_that_leave_out_some_are_ignored(self):
        bodies = self.stream.bodies
        with_gap = messages.RecordsRelayed(
            position=1, end=2, age_s=0.0, bodies=bodies[1:]
        )
        self.follower.fold_relayed(with_gap, requested_at=1e12)
        self.assertEqual(self.follower.state.position, 0)
        without_gap = messages.RecordsRelayed(
            position=0, end=2, age_s=0.0, bodies=bodies
        )
        self.follower.fold_relayed(without_gap, requested_at=1e12)
        self.assertEqual(self.follower.state.position, 2)
        self.assertTrue(self.follower.has_dispatch_right)

    def test_failed_read_is_repeated(self):
        exchange = self.client.reads[-1]
        self.root.fire(fakes.failed_event(exchange), exchange.reply_channel)
        fakes.run_until_idle(self.root)
        self.assertIsNotNone(self.follower.reads_failed_since)
        self.timers.run()
        self.assertEqual(len(self.client.reads), 2)
