"""Tests of :mod:`cranberryport.callers.balancing`."""

import unittest

import hypothesis
from hypothesis import strategies

from cranberryport.callers import balancing

ROLL_OUT_S = 10.0
# An excess must last longer before a move with the first weights than with the second.
SLOW_MOVE_WEIGHTS = balancing.Weights(roll_out_time=3.0, buffer_cost=1.0)
FAST_MOVE_WEIGHTS = balancing.Weights(roll_out_time=1.0, buffer_cost=3.0)


def _make_pool(name, demand, **changes):
    return balancing.Pool(
        name=name, demand=demand, **{"capacity": 48, "instances": 6, **changes}
    )


class BalancingTest(unittest.TestCase):
    """Peaks shorter than a roll-out do not move instances back and forth."""

    def _find_first_move(self, weights, *pools):
        balancer = balancing.Balancer(weights=weights)
        for now in range(200):
            balancer.observe(now, pools)
            move = balancer.plan_move(now, ROLL_OUT_S)
            if move is not None:
                return now, move, balancer
        return None

    def test_loan_starts_at_once_and_move_only_if_the_excess_lasts(self):
        pools = [_make_pool("sizing", 70), _make_pool("back-office", 2, is_spare=True)]
        balancer = balancing.Balancer(weights=SLOW_MOVE_WEIGHTS)
        balancer.observe(0.0, pools)
        (loan,) = balancer.plan_loans()
        self.assertEqual((loan.source, loan.target), ("back-office", "sizing"))
        self.assertEqual(loan.slots, 23)
        slow_move_at, move, _ = self._find_first_move(SLOW_MOVE_WEIGHTS, *pools)
        fast_move_at, _, _ = self._find_first_move(FAST_MOVE_WEIGHTS, *pools)
        self.assertEqual((move.source, move.target), ("back-office", "sizing"))
        self.assertGreater(slow_move_at, fast_move_at)
        self.assertGreaterEqual(fast_move_at, ROLL_OUT_S)

    def test_budget_size_priority_and_own_demand_forbid_a_move(self):
        for changes in (
            {"down": 1},
            {"instances": 1},
            {"minimum_instances": 6},
            {"priority": 5},
            {"demand": 30},
        ):
            donor = _make_pool("cutting", **{"demand": 2, **changes})
            with self.subTest(changes):
                self.assertIsNone(
                    self._find_first_move(
                        FAST_MOVE_WEIGHTS, _make_pool("sizing", 70), donor
                    )
                )
        self.assertIsNotNone(
            self._find_first_move(
                FAST_MOVE_WEIGHTS, _make_pool("sizing", 70), _make_pool("cutting", 2)
            )
        )

    def test_next_move_waits_for_the_pause(self):
        pools = [
            _make_pool("sizing", 99),
            _make_pool("cutting", 2),
            _make_pool("plans", 2),
        ]
        now, move, balancer = self._find_first_move(FAST_MOVE_WEIGHTS, *pools)
        balancer.record_move(now, move)
        balancer.observe(now + 1, pools)
        self.assertIsNone(balancer.plan_move(now + 1, ROLL_OUT_S))

    def test_pool_with_the_highest_priority_gets_the_loan(self):
        balancer = balancing.Balancer(weights=SLOW_MOVE_WEIGHTS)
        pools = [_make_pool("a", 90), _make_pool("rush", 90, priority=9)]
        balancer.observe(0.0, [*pools, _make_pool("spare", 5, is_spare=True)])
        (loan,) = balancer.plan_loans()
        self.assertEqual((loan.target, loan.slots), ("rush", 38))

    def test_demand_that_varies_near_the_capacity_keeps_the_loan(self):
        balancer = balancing.Balancer(weights=SLOW_MOVE_WEIGHTS)
        spare = _make_pool("spare", 0, is_spare=True)
        changes = []
        for now in range(60):
            balancer.observe(now, [_make_pool("a", 44 + 4 * (now % 2)), spare])
            changes.append(bool(balancer.plan_loans()))
        self.assertLessEqual(
            sum(a != b for a, b in zip(changes, changes[1:], strict=False)), 1
        )

    @hypothesis.settings(derandomize=True, deadline=None, max_examples=100)
    @hypothesis.given(
        strategies.lists(
            strategies.tuples(*[strategies.integers(0, 120)] * 3), max_size=40
        )
    )
    def test_loans_and_own_demand_stay_within_the_spare_pool(self, demands):
        balancer = balancing.Balancer(weights=FAST_MOVE_WEIGHTS)
        for now, (spare, *others) in enumerate(demands):
            pools = [_make_pool(f"p{number}", one) for number, one in enumerate(others)]
            balancer.observe(now, [_make_pool("s", spare, is_spare=True), *pools])
            recent = sum(one[0] for one in demands[max(0, now - 2) : now + 1])
            recent /= min(3, now + 1)
            lent = sum(loan.slots for loan in balancer.plan_loans())
            self.assertTrue(lent == 0 or lent + recent <= 48 * 0.9)
