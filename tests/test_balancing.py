"""Tests of :mod:`cranberryport.callers.balancing`."""

import unittest

import hypothesis
from hypothesis import strategies

from cranberryport.callers import balancing

ROLL_OUT_S = 10.0
PATIENT = balancing.Weights(roll_out_time=3.0, buffer_cost=1.0)
THRIFTY = balancing.Weights(roll_out_time=1.0, buffer_cost=3.0)


def _pool(name, demand, **changes):
    return balancing.Pool(
        name=name, demand=demand, **{"capacity": 48, "instances": 6, **changes}
    )


class BalancingTest(unittest.TestCase):
    """Peaks shorter than a roll-out must not move instances back and forth."""

    def _first_move(self, weights, *pools):
        balancer = balancing.Balancer(weights=weights)
        for now in range(200):
            balancer.observe(now, pools)
            move = balancer.plan_move(now, ROLL_OUT_S)
            if move is not None:
                return now, move, balancer
        return None

    def test_excess_is_lent_at_once_and_moves_only_if_it_lasts(self):
        pools = [_pool("sizing", 70), _pool("back-office", 2, is_spare=True)]
        balancer = balancing.Balancer(weights=PATIENT)
        balancer.observe(0.0, pools)
        (loan,) = balancer.plan_loans()
        self.assertEqual((loan.source, loan.target), ("back-office", "sizing"))
        self.assertEqual(loan.slots, 23)
        patient_at, move, _ = self._first_move(PATIENT, *pools)
        thrifty_at, _, _ = self._first_move(THRIFTY, *pools)
        self.assertEqual((move.source, move.target), ("back-office", "sizing"))
        self.assertGreater(patient_at, thrifty_at)
        self.assertGreaterEqual(thrifty_at, ROLL_OUT_S)

    def test_budget_size_priority_and_own_demand_forbid_a_move(self):
        for changes in (
            {"down": 1},
            {"instances": 1},
            {"minimum_instances": 6},
            {"priority": 5},
            {"demand": 30},
        ):
            giver = _pool("cutting", **{"demand": 2, **changes})
            with self.subTest(changes):
                self.assertIsNone(self._first_move(THRIFTY, _pool("sizing", 70), giver))
        self.assertIsNotNone(
            self._first_move(THRIFTY, _pool("sizing", 70), _pool("cutting", 2))
        )

    def test_second_move_waits(self):
        pools = [_pool("sizing", 99), _pool("cutting", 2), _pool("plans", 2)]
        now, move, balancer = self._first_move(THRIFTY, *pools)
        balancer.record_move(now, move)
        balancer.observe(now + 1, pools)
        self.assertIsNone(balancer.plan_move(now + 1, ROLL_OUT_S))

    def test_owner_priority_is_helped_first(self):
        balancer = balancing.Balancer(weights=PATIENT)
        pools = [_pool("a", 90), _pool("rush", 90, priority=9)]
        balancer.observe(0.0, [*pools, _pool("spare", 5, is_spare=True)])
        (loan,) = balancer.plan_loans()
        self.assertEqual((loan.target, loan.slots), ("rush", 38))

    def test_demand_near_the_capacity_keeps_the_loan(self):
        balancer = balancing.Balancer(weights=PATIENT)
        spare = _pool("spare", 0, is_spare=True)
        changes = []
        for now in range(60):
            balancer.observe(now, [_pool("a", 44 + 4 * (now % 2)), spare])
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
    def test_loans_and_own_demand_fit_into_the_spare_pool(self, demands):
        balancer = balancing.Balancer(weights=THRIFTY)
        for now, (spare, *others) in enumerate(demands):
            pools = [_pool(f"p{number}", one) for number, one in enumerate(others)]
            balancer.observe(now, [_pool("s", spare, is_spare=True), *pools])
            recent = sum(one[0] for one in demands[max(0, now - 2) : now + 1])
            recent /= min(3, now + 1)
            lent = sum(loan.slots for loan in balancer.plan_loans())
            self.assertTrue(lent == 0 or lent + recent <= 48 * 0.9)
