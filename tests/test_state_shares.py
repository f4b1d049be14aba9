"""Tests of :mod:`cranberryport.state.shares`."""

import unittest

from cranberryport.state import shares
from tests import control_stream

SLOTS = shares.slots_resource("i")


class SharesTest(unittest.TestCase):
    """All sessions together must never hold more units than the capacity."""

    def make_stream(self, sessions, slots=8):
        stream = control_stream.Stream(sessions)
        stream.accept("a", "InstanceObserved", instance="i", slots=slots)
        return stream

    def release(self, stream, session, units):
        stream.accept(session, "SharesReleased", resource=SLOTS, units=units)

    def test_new_session_gets_units_only_after_others_released_them(self):
        stream = self.make_stream("a")
        stream.accept("b", "SessionOpened", instance="b")
        self.assertEqual(stream.state.held_units("b", SLOTS), 0)
        self.assertEqual(stream.state.surplus("a"), {SLOTS: 4})
        self.release(stream, "a", 4)
        self.assertEqual(
            [stream.state.held_units(name, SLOTS) for name in "ab"], [4, 4]
        )

    def test_units_of_an_ended_session_are_free_only_after_fencing(self):
        stream = self.make_stream("abc", slots=9)
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

    def test_smaller_capacity_takes_no_units_that_are_not_released(self):
        stream = self.make_stream("ab")
        stream.accept("a", "InstanceObserved", instance="i", slots=4)
        self.assertEqual(stream.state.surplus("a"), {SLOTS: 2})
        self.release(stream, "a", 2)
        self.release(stream, "b", 2)
        self.assertEqual(
            [stream.state.held_units(name, SLOTS) for name in "ab"], [2, 2]
        )

    def test_release_of_more_than_held_is_rejected(self):
        stream = self.make_stream("a")
        for units in (-1, 0, 9):
            values = {"resource": SLOTS, "units": units}
            self.assertIn("holds 8", stream.reject("a", "SharesReleased", **values))

    def test_connections_have_the_capacity_of_the_sheet(self):
        stream = control_stream.Stream("a")
        for service in "st":
            rows = [f"service {service} connections 6"]
            version = stream.state.sheets.version("owner")
            stream.accept("a", control_stream.make_sheet(service, version, rows))
        self.assertEqual(stream.state.held_units("a", "connections/t"), 6)
        self.assertEqual(stream.state.surplus("a"), {"connections/s": 6})
        stream.accept("a", "SharesReleased", resource="connections/s", units=6)
        self.assertNotIn("connections/s", stream.state.shares.resources)
