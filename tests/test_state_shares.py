"""Tests of :mod:`cranberryport.state.shares`."""

import unittest

import hypothesis
from hypothesis import strategies

from cranberryport.generated import messages
from cranberryport.state import shares
from tests import control_stream

SLOTS = shares.slots("i")
NAMES = ["slots/i", "slots/j", "connections/s"]


def released(session, units, resource=SLOTS):
    """Return a SharesReleased."""
    return messages.SharesReleased(session=session, resource=resource, units=units)


class SharesTest(unittest.TestCase):
    """The sessions together must never use more than the capacity."""

    def test_new_session_gets_its_part_only_after_release(self):
        stream = control_stream.Stream("a")
        stream.accept("a", control_stream.observed("i"))
        self.assertEqual(stream.state.units("a", SLOTS), 8)
        stream.append("b", control_stream.opened("b"))
        self.assertEqual(stream.state.units("b", SLOTS), 0)
        self.assertEqual(stream.state.surplus("a"), {SLOTS: 4})
        stream.accept("a", released("a", 4))
        self.assertEqual(stream.state.units("b", SLOTS), 4)
        self.assertEqual(stream.state.surplus("a"), {})

    def test_shares_of_an_ended_session_are_locked_until_fenced(self):
        stream = control_stream.Stream("abc")
        stream.accept("a", control_stream.observed("i", slots=9))
        stream.end("c", "ab")
        self.assertEqual(stream.state.units("a", SLOTS), 3)
        self.assertIn("ended", stream.reject("c", released("c", 3)))
        stream.accept("b", messages.SessionFenced(session="c", by="b"))
        units = sorted(stream.state.units(session, SLOTS) for session in "ab")
        self.assertEqual(units, [4, 5])

    def test_shares_of_a_closed_session_are_free_at_once(self):
        stream = control_stream.Stream("ab")
        stream.accept("a", control_stream.observed("i"))
        stream.accept("b", messages.SessionClosed(session="b"))
        self.assertEqual(stream.state.units("a", SLOTS), 8)

    def test_smaller_capacity_is_reached_by_releases_only(self):
        stream = control_stream.Stream("ab")
        stream.accept("a", control_stream.observed("i"))
        stream.accept("a", control_stream.observed("i", slots=4))
        self.assertEqual(stream.state.surplus("a"), {SLOTS: 2})
        stream.accept("a", released("a", 2))
        # b still holds 4 of the 4 units that a's part would come from.
        self.assertEqual(stream.state.units("a", SLOTS), 2)
        stream.accept("b", released("b", 2))
        self.assertEqual(stream.state.units("b", SLOTS), 2)

    def test_release_of_more_than_held_is_rejected(self):
        stream = control_stream.Stream("a")
        stream.accept("a", control_stream.observed("i"))
        for units in (-1, 0, 9):
            self.assertIn("holds 8", stream.reject("a", released("a", units)))

    def test_connections_follow_the_sheet(self):
        stream = control_stream.Stream("a")
        rows = [("service", "s", "connections", "6")]
        stream.accept("a", control_stream.sheet("p", 0, rows))
        self.assertEqual(stream.state.units("a", "connections/s"), 6)
        rows = [("service", "t", "connections", "6")]
        stream.accept("a", control_stream.sheet("q", 2, rows))
        self.assertEqual(stream.state.surplus("a"), {"connections/s": 6})
        stream.accept("a", released("a", 6, "connections/s"))
        self.assertNotIn("connections/s", stream.state.shares.resources)

    @hypothesis.settings(derandomize=True, deadline=None, max_examples=300)
    @hypothesis.given(
        strategies.text("xyz/", max_size=8),
        strategies.integers(0, 200),
        strategies.integers(1, 20),
    )
    def test_targets_add_up_to_the_capacity(self, name, capacity, count):
        targets = [
            shares.fair_target(name, capacity, rank, count) for rank in range(count)
        ]
        self.assertEqual(sum(targets), capacity)
        self.assertLessEqual(max(targets) - min(targets), 1)

    @hypothesis.settings(derandomize=True, deadline=None, max_examples=500)
    @hypothesis.given(strategies.data())
    def test_the_sum_never_exceeds_the_capacity(self, data):
        table = shares.Shares()
        live, locked, opened = [], [], 0
        for _ in range(data.draw(strategies.integers(1, 30))):
            name = data.draw(strategies.sampled_from(NAMES))
            before = {name: self.held(table, name) for name in NAMES}
            step = data.draw(strategies.sampled_from("ocefrrrrn"))
            capacity = data.draw(strategies.integers(0, 20))
            if step == "o":
                opened += 1
                live.append(f"s{opened}")
                table.rebalance(live)
            elif step == "n":
                table.set_capacity(name, capacity, live)
            elif step == "f" and locked:
                table.drop_session(locked.pop(), live)
            elif live:
                session = data.draw(strategies.sampled_from(live))
                units = table.surplus(session, live).get(name, 0)
                if step == "r" and units:
                    table.release(released(session, units, name), live)
                elif step in "ce":
                    live.remove(session)
                if step == "e":
                    locked.append(session)
                    table.rebalance(live)
                elif step == "c":
                    table.drop_session(session, live)
            for name in NAMES:
                held, capacity = self.held(table, name), table.capacity(name)
                self.assertLessEqual(held, max(capacity, before[name]))
                excess = self.surplus(table, name, live, locked)
                self.assertLessEqual(held - capacity, excess)
        self.settle(table, live, locked)

    def settle(self, table, live, locked):
        """Release every surplus; then each resource is shared out in full."""
        for session in locked:
            table.drop_session(session, live)
        for session in live:
            for name, units in table.surplus(session, live).items():
                table.release(released(session, units, name), live)
        for name, entry in table.resources.items():
            held = self.held(table, name)
            self.assertEqual(held, entry.capacity if live else 0)

    @staticmethod
    def held(table, name):
        entry = table.resources.get(name)
        return sum(entry.held.values()) if entry else 0

    @staticmethod
    def surplus(table, name, live, locked):
        return sum(table.surplus(session, live).get(name, 0) for session in live) + sum(
            table.units(session, name) for session in locked
        )
