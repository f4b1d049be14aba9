"""Tests of :mod:`cranberryport.planner`."""

import dataclasses
import unittest

from cranberryport import planner
from cranberryport.generated import messages
from tests import control_stream

NOON = {"now": 0.0, "local_time": "12:00"}


def _stream(rows, instances, *, until=1e12):
    stream = control_stream.Stream("a")
    for name, data_centre, rack in instances:
        record = control_stream.observed(name)
        record = dataclasses.replace(record, data_centre=data_centre, rack=rack)
        stream.accept("a", record)
    sheet = control_stream.sheet("p1", 0, rows, publisher="timo", authority="team")
    sheet = dataclasses.replace(sheet, until=until)
    sheet.signature = control_stream.signing.sign(
        sheet, control_stream.PUBLISHERS["timo"].key
    )
    stream.accept("a", sheet)
    return stream


def _pool(name, budget):
    return [
        ("pool", name, "service", name),
        ("pool", name, "max_unavailable", str(budget)),
    ]


def _member(instance, pool):
    return [
        ("instance", instance, "pool", pool),
        ("instance", instance, "maintenance", "reboot"),
    ]


INSTANCES = [
    ("s-1", "east", "r1"),
    ("s-2", "east", "r2"),
    ("s-3", "west", "r3"),
    ("s-4", "east", "r1"),
]
ROWS = _pool("s", 2) + [row for name, _, _ in INSTANCES for row in _member(name, "s")]


class PlannerTest(unittest.TestCase):
    """A wave must stay inside the budget and inside one failure domain."""

    def _names(self, stream, **options):
        chosen = planner.next_operations(stream.state, **{**NOON, **options})
        return [intent.instance for intent in chosen]

    def test_starts_as_many_as_the_budget_allows_in_one_rack(self):
        self.assertEqual(self._names(_stream(ROWS, INSTANCES)), ["s-1", "s-4"])

    def test_keeps_to_the_rack_of_a_running_operation(self):
        stream = _stream(ROWS, INSTANCES)
        version = stream.state.fleet.get("s-3").version
        stream.accept("a", control_stream.started("o1", "s-3", version))
        self.assertEqual(self._names(stream), [])

    def test_a_failed_instance_uses_up_the_budget(self):
        stream = _stream(ROWS, INSTANCES)
        failed = control_stream.observed("s-3", status="failed")
        failed = dataclasses.replace(failed, data_centre="west", rack="r3")
        stream.accept("a", failed)
        self.assertEqual(self._names(stream), ["s-1"])

    def test_one_reboot_for_a_day_of_the_sheet(self):
        stream = _stream(ROWS, INSTANCES)
        version = stream.state.fleet.get("s-1").version
        stream.accept("a", control_stream.started("o1", "s-1", version))
        stream.accept("a", messages.DrainReported(operation="o1", session="a"))
        stream.accept("a", messages.InstanceStopped(operation="o1", by="a"))
        stream.accept("a", messages.InstanceReturned(operation="o1", by="a"))
        self.assertEqual(self._names(stream), ["s-4"])

    def test_team_intents_end_in_the_evening(self):
        stream = _stream(ROWS, INSTANCES, until=100.0)
        self.assertEqual(self._names(stream, now=100.0), [])

    def test_a_later_pool_of_a_wave_waits_for_the_earlier(self):
        rows = ROWS + _pool("t", 1) + _member("t-1", "t")
        rows += [("wave", "w", "order", "t s"), ("wave", "w", "not_before", "09:00")]
        stream = _stream(rows, [*INSTANCES, ("t-1", "east", "r9")])
        self.assertEqual(self._names(stream), ["t-1"])
        self.assertEqual(self._names(stream, local_time="08:59"), [])

    def test_moves_an_instance_whose_sheet_pool_differs(self):
        stream = _stream(ROWS, INSTANCES)
        rows = ROWS + _pool("t", 1) + [("instance", "s-2", "pool", "t")]
        expected = stream.state.sheets.version("team")
        record = control_stream.sheet(
            "p2", expected, rows, publisher="timo", authority="team"
        )
        stream.accept("a", record)
        moves = [
            (intent.instance, intent.target_pool)
            for intent in planner.intents(stream.state)
            if intent.purpose == planner.MOVE
        ]
        self.assertEqual(moves, [("s-2", "t")])
