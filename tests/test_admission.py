"""Tests of :mod:`cranberryport.callers.admission`."""

import collections
import unittest

import hypothesis
from hypothesis import strategies

from cranberryport.callers import admission, requests

Entry = collections.namedtuple("Entry", "number desk request_class deadline")


def entry(number, *, desk="a", request_class="interactive", deadline=100.0):
    """Return an entry that stands out by its number."""
    return Entry(number, desk, request_class, deadline)


def make_queue(*, capacity=1000, weights=None):
    """Return a queue; desks without a weight have 1."""
    weights = weights or {}
    return admission.AdmissionQueue(
        capacity=capacity, weight=lambda desk: weights.get(desk, 1)
    )


STEPS = strategies.lists(
    strategies.tuples(
        strategies.sampled_from(["offer", "take", "rush", "cancel", "expire"]),
        strategies.sampled_from(requests.REQUEST_CLASSES),
        strategies.sampled_from("abc"),
        strategies.integers(0, 5),
    ),
    max_size=60,
)


class AdmissionTest(unittest.TestCase):
    """No entry may be lost, told twice or overtaken by a lower class."""

    @hypothesis.settings(derandomize=True, deadline=None)
    @hypothesis.given(STEPS)
    def test_each_entry_leaves_once_and_classes_keep_their_order(self, steps):
        queue = make_queue(capacity=4)
        waiting = set()
        for number, (step, request_class, desk, value) in enumerate(steps):
            now = float(number)
            if step == "offer":
                new = Entry(number, desk, request_class, now + value)
                result = queue.offer(new, now, 1.0)
                if isinstance(result, admission.Queued):
                    waiting.add(new)
                    waiting -= {result.displaced}
                else:
                    full = len(waiting) >= 4
                    self.assertTrue(full or new.deadline < now + 1.0)
            elif step == "cancel" and waiting:
                victim = sorted(waiting)[value % len(waiting)]
                self.assertTrue(queue.cancel(victim))
                self.assertFalse(queue.cancel(victim))
                waiting.remove(victim)
            elif step == "expire":
                expired = queue.expire(now)
                self.assertEqual(
                    set(expired), {one for one in waiting if one.deadline <= now}
                )
                waiting -= set(expired)
            elif step in ("take", "rush"):
                waiting -= set(queue.expire(now))
                taken = queue.take(now, rush_only=step == "rush")
                ranks = requests.REQUEST_CLASSES.index
                allowed = {one for one in waiting if step == "take"}
                allowed |= {one for one in waiting if one.request_class == "rush"}
                self.assertEqual(taken is None, not allowed)
                if taken is not None:
                    best = min(ranks(one.request_class) for one in allowed)
                    self.assertEqual(ranks(taken.request_class), best)
                    waiting.remove(taken)
            self.assertEqual(len(queue), len(waiting))

    def test_overdue_entry_is_told_by_expire_and_not_taken(self):
        queue = make_queue()
        late = entry(1, deadline=5.0)
        queue.offer(late, 0.0, 0.0)
        self.assertIsNone(queue.take(6.0))
        self.assertEqual(queue.expire(6.0), [late])

    def test_weights_share_a_class_and_change_at_once(self):
        weights = {"a": 3, "b": 1}
        queue = make_queue(weights=weights)
        for number in range(200):
            queue.offer(entry(number, desk="ab"[number % 2]), 0.0, 0.0)
        first = [queue.take(0.0).desk for _ in range(40)]
        self.assertAlmostEqual(first.count("a"), 30, delta=1)
        weights["a"], weights["b"] = 1, 3
        second = [queue.take(0.0).desk for _ in range(40)]
        self.assertAlmostEqual(second.count("a"), 10, delta=2)

    def test_pausing_desk_gains_nothing(self):
        # Without its kept finish time, a desk that empties its queue after each entry
        # would come first again and again.
        queue = make_queue()
        for number in range(100):
            queue.offer(entry(number, desk="b"), 0.0, 0.0)
        taken = []
        for number in range(100, 140):
            queue.offer(entry(number, desk="a"), 0.0, 0.0)
            taken += [queue.take(0.0).desk, queue.take(0.0).desk]
        self.assertAlmostEqual(taken.count("b"), 40, delta=1)

    def test_full_queue_refuses_the_newest_of_the_lowest_class(self):
        queue = make_queue(capacity=2)
        old, new = (entry(n, request_class="batch") for n in range(2))
        queue.offer(old, 0.0, 0.0)
        queue.offer(new, 0.0, 0.0)
        third = queue.offer(entry(3, request_class="batch"), 0.0, 0.0)
        self.assertIsInstance(third, admission.Refused)
        result = queue.offer(entry(4, request_class="rush"), 0.0, 0.0)
        self.assertEqual(result.displaced, new)

    def test_flood_of_one_desk_does_not_lengthen_the_others_wait(self):
        queue = make_queue()
        for number in range(100):
            queue.offer(entry(number, desk="flood"), 0.0, 0.0)
        self.assertEqual(queue.entries_ahead(entry(101, desk="small")), 1)
        self.assertEqual(queue.entries_ahead(entry(101, desk="flood")), 100)

    def test_wait_estimate(self):
        def wait_s(ahead, in_use):
            return admission.estimate_wait(
                entries_ahead=ahead,
                slots_in_use=in_use,
                slots_total=4,
                service_time_s=2.0,
            )

        self.assertEqual(wait_s(0, 3), 0.0)
        self.assertEqual(wait_s(3, 4), 2.0)

    def test_reserved_slots(self):
        self.assertTrue(admission.may_start("batch", 4, 6, 10))
        self.assertFalse(admission.may_start("batch", 5, 6, 10))
        self.assertTrue(admission.may_start("rush", 5, 6, 10))
        self.assertFalse(admission.may_start("rush", 6, 6, 10))
        # A reserve of the only slot would shut out the other classes for ever.
        self.assertTrue(admission.may_start("batch", 0, 1, 10))

    def test_entry_with_too_little_time_left_does_not_start_before_others(self):
        queue = make_queue()
        late, next_one = entry(0, deadline=1.0), entry(1)
        for one in (late, next_one):
            queue.offer(one, 0.0, 0.0)
        self.assertEqual(queue.peek(0.5, min_time_left_s=2.0), next_one)
        self.assertEqual(queue.take(0.5, min_time_left_s=2.0), next_one)
        self.assertEqual(queue.expire(0.5), [late])

    def test_only_entry_starts_whatever_time_is_left(self):
        queue = make_queue()
        late = entry(0, deadline=1.0)
        queue.offer(late, 0.0, 0.0)
        self.assertEqual(queue.peek(0.5, min_time_left_s=2.0), late)
        self.assertEqual(queue.take(0.5, min_time_left_s=2.0), late)
