"""Tests of :mod:`cranberryport.fleet.planner`."""

import unittest

from cranberryport.fleet import planner
from tests import control_stream

NOON = {"now": 0.0, "local_time": "12:00"}


def _make_stream(rows, instances, *, until=1e12):
    stream = control_stream.Stream("a")
    for name, data_centre, rack in instances:
        _observe_instance(stream, name, data_centre, rack)
    _publish_team_sheet(stream, "p1", rows, until=until)
    return stream


def _observe_instance(stream, name, data_centre, rack, status="live"):
    stream.accept(
        "a",
        "InstanceObserved",
        instance=name,
        data_centre=data_centre,
        rack=rack,
        status=status,
    )


def _publish_team_sheet(stream, publication, rows, *, until=1e12):
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


def _pool_rows(name, budget):
    return [f"pool {name} service {name}", f"pool {name} max_unavailable {budget}"]


def _member_rows(instance, pool):
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
SHEET_ROWS = _pool_rows("s", 2) + [
    row for name, _, _ in INSTANCES for row in _member_rows(name, "s")
]


class PlannerTest(unittest.TestCase):
    """Guards against operations beyond a pool's budget or in several of its racks."""

    def _chosen_names(self, stream, **options):
        chosen = planner.next_operations(stream.state, **{**NOON, **options})
        return [intent.instance for intent in chosen]

    def test_starts_only_what_the_budget_allows_in_one_rack(self):
        self.assertEqual(
            self._chosen_names(_make_stream(SHEET_ROWS, INSTANCES)), ["s-1", "s-4"]
        )

    def test_starts_only_in_the_rack_of_an_open_operation(self):
        stream = _make_stream(SHEET_ROWS, INSTANCES)
        _start_reboot(stream, "s-3")
        self.assertEqual(self._chosen_names(stream), [])

    def test_failed_instance_counts_against_the_budget(self):
        stream = _make_stream(SHEET_ROWS, INSTANCES)
        _observe_instance(stream, "s-3", "west", "r3", "failed")
        self.assertEqual(self._chosen_names(stream), ["s-1"])

    def test_instance_is_rebooted_once_per_day_of_the_sheet(self):
        stream = _make_stream(SHEET_ROWS, INSTANCES)
        _start_reboot(stream, "s-1")
        for kind in ("DrainReported", "InstanceStopped", "InstanceReturned"):
            stream.accept("a", kind, operation="o1")
        self.assertEqual(self._chosen_names(stream), ["s-4"])

    def test_team_intents_end_with_the_day_of_the_sheet(self):
        stream = _make_stream(SHEET_ROWS, INSTANCES, until=100.0)
        self.assertEqual(self._chosen_names(stream, now=100.0), [])

    def test_later_pool_of_a_wave_waits_for_the_earlier_one(self):
        rows = SHEET_ROWS + _pool_rows("t", 1) + _member_rows("t-1", "t")
        rows += ["wave w not_before 09:00"]
        stream = _make_stream(rows, [*INSTANCES, ("t-1", "east", "r9")])
        order = control_stream.make_message(
            "SheetRow", subject="wave", name="w", setting="order", value="t s"
        )
        stream.state.sheets.get("team").rows.append(order)
        stream.state.sheets._merge()
        self.assertEqual(self._chosen_names(stream), ["t-1"])
        self.assertEqual(self._chosen_names(stream, local_time="08:59"), [])

    def test_instance_is_moved_to_the_pool_of_the_sheet(self):
        stream = _make_stream(SHEET_ROWS, INSTANCES)
        rows = SHEET_ROWS + _pool_rows("t", 1) + ["instance s-2 pool t"]
        _publish_team_sheet(stream, "p2", rows)
        moves = [
            (intent.instance, intent.target_pool)
            for intent in planner.intents(stream.state)
            if intent.purpose == planner.MOVE
        ]
        self.assertEqual(moves, [("s-2", "t")])

    def test_instance_in_neither_the_list_nor_a_sheet_is_retired(self):
        stream = _make_stream(SHEET_ROWS, [*INSTANCES, ("s-9", "east", "r1")])
        for name in ("s-4", "s-9"):
            _observe_instance(stream, name, "east", "r1", "gone")
        retired = [
            intent.instance
            for intent in planner.intents(stream.state)
            if intent.purpose == planner.RETIRE
        ]
        self.assertEqual(retired, ["s-9"])
