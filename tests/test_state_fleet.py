"""Tests of :mod:`cranberryport.state.fleet`."""

import unittest

from tests import control_stream

POOLS = ["pool p max_unavailable 1", "pool q max_unavailable 1"]
ROWS = [*POOLS, "instance i pool p", "instance j pool p", "instance k pool q"]


class FleetTest(unittest.TestCase):
    """An operation must not exceed the budget of a pool or cut off requests."""

    def setUp(self):
        self.stream = control_stream.Stream("abc")
        self.fleet = self.stream.state.fleet
        self.accept(control_stream.make_sheet("s", 0, ROWS))
        for instance in "ijk":
            self.observe(instance, "live")

    def accept(self, record, **values):
        self.stream.accept("a", record, **values)

    def reject(self, kind, **values):
        return self.stream.reject("a", kind, **values)

    def observe(self, instance, status):
        self.accept("InstanceObserved", instance=instance, status=status)

    def make_operation(self, operation, instance, purpose="reboot", target=""):
        return control_stream.make_message(
            "OperationStarted",
            operation=operation,
            instance=instance,
            purpose=purpose,
            target_pool=target,
            expected_version=self.fleet.get(instance).version,
        )

    def start_and_drain(self, operation, *arguments):
        self.accept(self.make_operation(operation, *arguments))
        for session in "abc":
            self.stream.accept(session, "DrainReported", operation=operation)

    def test_reboot_waits_for_every_session_that_was_open_at_its_start(self):
        self.accept(self.make_operation("o", "i"))
        self.stream.accept("d", "SessionOpened", instance="d")
        self.accept("DrainReported", operation="o")
        self.stream.accept("b", "DrainReported", operation="o")
        forged = self.reject("DrainReported", operation="o", session="c")
        self.assertIn("not the writer", forged)
        early = self.reject("InstanceStopped", operation="o")
        self.assertIn("expected: quiesced", early)
        self.stream.accept("c", "DrainReported", operation="o")
        late = self.reject("OperationCancelled", operation="o")
        self.assertIn("expected: draining", late)
        self.accept("InstanceStopped", operation="o")
        self.assertEqual(self.fleet.get("i").state, "stopped")
        self.accept("InstanceReturned", operation="o")
        self.assertEqual(self.fleet.get("i").state, "in_service")

    def test_drain_waits_for_an_ended_session_until_it_is_settled(self):
        self.accept(self.make_operation("o", "i"))
        self.stream.vote("c", "ab")
        self.accept("DrainReported", operation="o")
        self.stream.accept("b", "SessionClosed")
        self.accept("SessionFenced", session="c")
        self.assertEqual(self.fleet.operations["o"].waiting, ["c"])
        self.accept("SessionSettled", session="c")
        self.assertEqual(self.fleet.operations["o"].step, "quiesced")

    def test_failures_count_against_the_budget(self):
        for status in ("leaving", "failed", "unknown", "gone"):
            self.observe("j", status)
            self.assertIn(
                "2 of at most 1 down", self.reject(self.make_operation("o", "i"))
            )
        # An operation on the failed instance takes no further instance down.
        self.accept(self.make_operation("o", "j"))

    def test_failure_of_another_instance_during_the_drain_prevents_the_stop(self):
        self.start_and_drain("o", "i")
        self.observe("j", "failed")
        self.assertIn("2 of at most 1", self.reject("InstanceStopped", operation="o"))
        self.observe("j", "live")
        self.accept("InstanceStopped", operation="o")

    def test_only_one_of_two_operations_on_an_instance_starts(self):
        first, second = self.make_operation("o", "i"), self.make_operation("n", "i")
        self.accept(first)
        self.assertIn("has operation 'o'", self.reject(second))
        self.accept("OperationCancelled", operation="o")
        self.assertIn("present version", self.reject(second))

    def test_moving_instance_counts_as_down_in_its_source_pool(self):
        self.start_and_drain("o", "i", "move", "q")
        self.assertIn("2 of at most 1", self.reject(self.make_operation("n", "j")))
        self.assertIn("is a move", self.reject("InstanceStopped", operation="o"))
        self.assertEqual(self.fleet.get("i").pool, "p")
        self.accept("MoveCompleted", operation="o")
        self.assertEqual(self.fleet.get("i").pool, "q")
        self.assertEqual([self.fleet.down_count(pool) for pool in "pq"], [0, 0])

    def test_move_of_a_failed_instance_keeps_the_target_within_budget(self):
        self.start_and_drain("o", "i", "move", "q")
        self.observe("i", "failed")
        self.observe("k", "failed")
        self.assertIn("2 of at most 1", self.reject("MoveCompleted", operation="o"))
        self.observe("k", "live")
        self.accept("MoveCompleted", operation="o")

    def test_invalid_target_pools_are_rejected(self):
        for target, text in {"p": "already", "z": "unknown", "": "unknown"}.items():
            self.assertIn(
                text, self.reject(self.make_operation("o", "i", "move", target))
            )
        reason = self.reject(self.make_operation("o", "i", "reboot", "q"))
        self.assertIn("no target pool", reason)

    def test_platform_list_does_not_add_a_retired_instance_again(self):
        self.start_and_drain("o", "i", "retire")
        self.accept("InstanceStopped", operation="o")
        self.assertIn("retired", self.reject("InstanceObserved", instance="i"))
        self.assertEqual(
            [entry.instance for entry in self.fleet.pool_members("p")], ["j"]
        )

    def test_sheet_assigns_only_instances_without_a_pool(self):
        self.observe("new", "live")
        rows = [*POOLS, "instance i pool q", "instance new pool q"]
        version = self.stream.state.sheets.version("owner")
        self.accept(control_stream.make_sheet("t", version, rows))
        pools = [self.fleet.get(instance).pool for instance in ("i", "new")]
        self.assertEqual(pools, ["p", "q"])

    def test_failed_instances_beyond_the_budget_are_retired_one_at_a_time(self):
        # Two instances are down and one may be. If these counted against operations on
        # themselves, no operation could ever start in the pool.
        self.observe("i", "failed")
        self.observe("j", "failed")
        self.start_and_drain("o", "i", "retire")
        busy = self.stream.reject("a", self.make_operation("p", "j", "retire"))
        self.assertIn("of at most 1 down", busy)
        self.accept("InstanceStopped", operation="o")
        self.start_and_drain("p", "j", "retire")
        self.accept("InstanceStopped", operation="p")
        self.assertEqual(self.fleet.pool_members("p"), [])
