"""Tests of :mod:`cranberryport.fleet.planner`."""

import unittest

from cranberryport.fleet import planner
from tests import control_stream

NOON = {"now": 0.0, "local_time": "12:00"}


def _stream(rows, instances, *, until=1e12):
    stream = control_stream.Stream("a")
    for name, data_centre, rack in instances:
        _observe(stream, name, data_centre, rack)
    _publish(stream, "p1", rows, until=until)
    return stream


def _observe(stream, name, data_centre, rack, status="live"):
    stream.accept(
        "a",
        "InstanceObserved",
        instance=name,
        data_centre=data_centre,
        rack=rack,
        status=status,
    )


def _publish(stream, publication, rows, *, until=1e12):
    expected = stream.state.sheets.version("team")
    sheet = control_stream.make_sheet(
        publication, expected, rows, publisher="timo", authority="team"
    )
    sheet.until = until
    sheet.day = "2026-12-04"
    key = control_stream.PUBLISHERS["timo"].key
    sheet.signature = control_stream.signing.sign(sheet, key)
    stream.accept("a", sheet)


def _start_reboot(stream, instance):
    stream.accept(
        "a",
        "OperationStarted",
        operation="o1",
        instance=instance,
        purpose="reboot",
        expected_version=stream.state.fleet.get(instance).version,
    )


def _pool(name, budget):
    return [f"pool {name} service {name}", f"pool {name} max_unavailable {budget}"]


def _member(instance, pool):
    return [
        f"instance {instance} pool {pool}",
        f"instance {instance} maintenance reboot",
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
        _start_reboot(stream, "s-3")
        self.assertEqual(self._names(stream), [])

    def test_a_failed_instance_uses_up_the_budget(self):
        stream = _stream(ROWS, INSTANCES)
        _observe(stream, "s-3", "west", "r3", "failed")
        self.assertEqual(self._names(stream), ["s-1"])

    def test_one_reboot_for_a_day_of_the_sheet(self):
        stream = _stream(ROWS, INSTANCES)
        _start_reboot(stream, "s-1")
        for kind in ("DrainReported", "InstanceStopped", "InstanceReturned"):
            stream.accept("a", kind, operation="o1")
        self.assertEqual(self._names(stream), ["s-4"])

    def test_team_intents_end_in_the_evening(self):
        stream = _stream(ROWS, INSTANCES, until=100.0)
        self.assertEqual(self._names(stream, now=100.0), [])

    def test_a_later_pool_of_a_wave_waits_for_the_earlier(self):
        rows = ROWS + _pool("t", 1) + _member("t-1", "t")
        rows += ["wave w not_before 09:00"]
        stream = _stream(rows, [*INSTANCES, ("t-1", "east", "r9")])
        order = control_stream.make_message(
            "SheetRow", subject="wave", name="w", setting="order", value="t s"
        )
        stream.state.sheets.get("team").rows.append(order)
        stream.state.sheets._merge()
        self.assertEqual(self._names(stream), ["t-1"])
        self.assertEqual(self._names(stream, local_time="08:59"), [])

    def test_moves_an_instance_whose_sheet_pool_differs(self):
        stream = _stream(ROWS, INSTANCES)
        rows = ROWS + _pool("t", 1) + ["instance s-2 pool t"]
        _publish(stream, "p2", rows)
        moves = [
            (intent.instance, intent.target_pool)
            for intent in planner.intents(stream.state)
            if intent.purpose == planner.MOVE
        ]
        self.assertEqual(moves, [("s-2", "t")])

    def test_retires_an_instance_that_platform_and_sheet_forgot(self):
        stream = _stream(ROWS, [*INSTANCES, ("s-9", "east", "r1")])
        for name in ("s-4", "s-9"):
            _observe(stream, name, "east", "r1", "gone")
        retired = [
            intent.instance
            for intent in planner.intents(stream.state)
            if intent.purpose == planner.RETIRE
        ]
        self.assertEqual(retired, ["s-9"])
