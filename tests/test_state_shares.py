"""Tests of :mod:`cranberryport.state.shares`."""

import unittest

from cranberryport.state import shares
from tests import control_stream

SLOTS = shares.slots_resource("i")


class SharesTest(unittest.TestCase):
    """The sessions together must never use more than the capacity."""

    def stream(self, sessions, slots=8):
        stream = control_stream.Stream(sessions)
        stream.accept("a", "InstanceObserved", instance="i", slots=slots)
        return stream

    def release(self, stream, session, units):
        stream.accept(session, "SharesReleased", resource=SLOTS, units=units)

    def test_new_session_gets_its_part_only_after_release(self):
        stream = self.stream("a")
        stream.accept("b", "SessionOpened", instance="b")
        self.assertEqual(stream.state.held_units("b", SLOTS), 0)
        self.assertEqual(stream.state.surplus("a"), {SLOTS: 4})
        self.release(stream, "a", 4)
        self.assertEqual(
            [stream.state.held_units(name, SLOTS) for name in "ab"], [4, 4]
        )

    def test_shares_are_locked_until_fenced_or_closed(self):
        stream = self.stream("abc", slots=9)
        stream.vote("c", "ab")
        released = {"resource": SLOTS, "units": 3}
        self.assertIn("ended", stream.reject("c", "SharesReleased", **released))
        self.assertEqual(
            [stream.state.held_units(name, SLOTS) for name in "ab"], [3, 3]
        )
        stream.accept("b", "SessionFenced", session="c")
        units = sorted(stream.state.held_units(name, SLOTS) for name in "ab")
        self.assertEqual(units, [4, 5])
        stream.accept("b", "SessionClosed")
        self.assertEqual(stream.state.held_units("a", SLOTS), 9)

    def test_smaller_capacity_is_reached_by_releases_only(self):
        stream = self.stream("ab")
        stream.accept("a", "InstanceObserved", instance="i", slots=4)
        self.assertEqual(stream.state.surplus("a"), {SLOTS: 2})
        self.release(stream, "a", 2)
        self.release(stream, "b", 2)
        self.assertEqual(
            [stream.state.held_units(name, SLOTS) for name in "ab"], [2, 2]
        )

    def test_release_of_more_than_held_is_rejected(self):
        stream = self.stream("a")
        for units in (-1, 0, 9):
            values = {"resource": SLOTS, "units": units}
            self.assertIn("holds 8", stream.reject("a", "SharesReleased", **values))

    def test_connections_follow_the_sheet(self):
        stream = control_stream.Stream("a")
        for service in "st":
            rows = [f"service {service} connections 6"]
            version = stream.state.sheets.version("owner")
            stream.accept("a", control_stream.make_sheet(service, version, rows))
        self.assertEqual(stream.state.held_units("a", "connections/t"), 6)
        self.assertEqual(stream.state.surplus("a"), {"connections/s": 6})
        stream.accept("a", "SharesReleased", resource="connections/s", units=6)
        self.assertNotIn("connections/s", stream.state.shares.resources)
