"""Tests of :mod:`cranberryport.callers.admission`."""

import collections
import unittest

import hypothesis
from hypothesis import strategies

from cranberryport.callers import admission, requests

Entry = collections.namedtuple("Entry", "number desk request_class deadline")


def make_entry(number, *, desk="a", request_class="interactive", deadline=100.0):
    """Return an entry; its number makes it unique."""
    return Entry(number, desk, request_class, deadline)


def make_queue(*, capacity=1000, weights=None):
    """Return a queue; desks that are not in ``weights`` have weight 1."""
    weights = weights or {}
    return admission.AdmissionQueue(
        capacity=capacity, weight=lambda desk: weights.get(desk, 1)
    )


STEP_LISTS = strategies.lists(
    strategies.tuples(
        strategies.sampled_from(["offer", "take", "rush", "cancel", "expire"]),
        strategies.sampled_from(requests.REQUEST_CLASSES),
        strategies.sampled_from("abc"),
        strategies.integers(0, 5),
    ),
    max_size=60,
)


class AdmissionTest(unittest.TestCase):
    """No entry is lost, returned twice or overtaken by one of a lower class."""

    @hypothesis.settings(derandomize=True, deadline=None)
    @hypothesis.given(STEP_LISTS)
    def test_each_entry_leaves_the_queue_once_and_in_class_order(self, steps):
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
                    is_full = len(waiting) >= 4
                    self.assertTrue(is_full or new.deadline < now + 1.0)
            elif step == "cancel" and waiting:
                cancelled = sorted(waiting)[value % len(waiting)]
                self.assertTrue(queue.cancel(cancelled))
                self.assertFalse(queue.cancel(cancelled))
                waiting.remove(cancelled)
            elif step == "expire":
                expired = queue.expire(now)
                self.assertEqual(
                    set(expired),
                    {
                        waiting_entry
                        for waiting_entry in waiting
                        if waiting_entry.deadline <= now
                    },
                )
                waiting -= set(expired)
            elif step in ("take", "rush"):
                waiting -= set(queue.expire(now))
                taken = queue.take(now, rush_only=step == "rush")
                rank_of = requests.REQUEST_CLASSES.index
                allowed = {waiting_entry for waiting_entry in waiting if step == "take"}
                allowed |= {
                    waiting_entry
                    for waiting_entry in waiting
                    if waiting_entry.request_class == "rush"
                }
                self.assertEqual(taken is None, not allowed)
                if taken is not None:
                    best = min(
                        rank_of(waiting_entry.request_class)
                        for waiting_entry in allowed
                    )
                    self.assertEqual(rank_of(taken.request_class), best)
                    waiting.remove(taken)
            self.assertEqual(len(queue), len(waiting))

    def test_overdue_entry_is_returned_by_expire_and_not_taken(self):
        queue = make_queue()
        late = make_entry(1, deadline=5.0)
        queue.offer(late, 0.0, 0.0)
        self.assertIsNone(queue.take(6.0))
        self.assertEqual(queue.expire(6.0), [late])

    def test_desks_start_by_weight_and_changed_weights_apply_at_once(self):
        weights = {"a": 3, "b": 1}
        queue = make_queue(weights=weights)
        for number in range(200):
            queue.offer(make_entry(number, desk="ab"[number % 2]), 0.0, 0.0)
        first = [queue.take(0.0).desk for _ in range(40)]
        self.assertAlmostEqual(first.count("a"), 30, delta=1)
        weights["a"], weights["b"] = 1, 3
        second = [queue.take(0.0).desk for _ in range(40)]
        self.assertAlmostEqual(second.count("a"), 10, delta=2)

    def test_desk_gains_nothing_by_emptying_its_queue(self):
        # If the finish time of an idle desk were dropped, a desk that empties its queue
        # after each entry would always be served first.
        queue = make_queue()
        for number in range(100):
            queue.offer(make_entry(number, desk="b"), 0.0, 0.0)
        taken = []
        for number in range(100, 140):
            queue.offer(make_entry(number, desk="a"), 0.0, 0.0)
            taken += [queue.take(0.0).desk, queue.take(0.0).desk]
        self.assertAlmostEqual(taken.count("b"), 40, delta=1)

    def test_full_queue_refuses_the_newest_of_the_lowest_class(self):
        queue = make_queue(capacity=2)
        old, new = (make_entry(n, request_class="batch") for n in range(2))
        queue.offer(old, 0.0, 0.0)
        queue.offer(new, 0.0, 0.0)
        third = queue.offer(make_entry(3, request_class="batch"), 0.0, 0.0)
        self.assertIsInstance(third, admission.Refused)
        result = queue.offer(make_entry(4, request_class="rush"), 0.0, 0.0)
        self.assertEqual(result.displaced, new)

    def test_backlog_of_one_desk_does_not_lengthen_the_wait_of_others(self):
        queue = make_queue()
        for number in range(100):
            queue.offer(make_entry(number, desk="flood"), 0.0, 0.0)
        self.assertEqual(queue.entries_ahead(make_entry(101, desk="small")), 1)
        self.assertEqual(queue.entries_ahead(make_entry(101, desk="flood")), 100)

    def test_estimated_wait_counts_only_entries_beyond_the_free_slots(self):
        def wait_s(ahead, in_use):
            return admission.estimate_wait(
                entries_ahead=ahead,
                slots_in_use=in_use,
                slots_total=4,
                service_time_s=2.0,
            )

        self.assertEqual(wait_s(0, 3), 0.0)
        self.assertEqual(wait_s(3, 4), 2.0)

    def test_reserved_slots_start_rush_requests_only(self):
        self.assertTrue(admission.may_start("batch", 4, 6, 10))
        self.assertFalse(admission.may_start("batch", 5, 6, 10))
        self.assertTrue(admission.may_start("rush", 5, 6, 10))
        self.assertFalse(admission.may_start("rush", 6, 6, 10))
        # Reserving the only slot would keep the other classes from ever starting.
        self.assertTrue(admission.may_start("batch", 0, 1, 10))

    def test_entry_with_too_little_time_left_does_not_start_before_others(self):
        queue = make_queue()
        late, next_one = make_entry(0, deadline=1.0), make_entry(1)
        for waiting_entry in (late, next_one):
            queue.offer(waiting_entry, 0.0, 0.0)
        self.assertEqual(queue.peek(0.5, min_time_left_s=2.0), next_one)
        self.assertEqual(queue.take(0.5, min_time_left_s=2.0), next_one)
        self.assertEqual(queue.expire(0.5), [late])

    def test_entry_with_too_little_time_left_starts_if_no_other_waits(self):
        queue = make_queue()
        late = make_entry(0, deadline=1.0)
        queue.offer(late, 0.0, 0.0)
        self.assertEqual(queue.peek(0.5, min_time_left_s=2.0), late)
        self.assertEqual(queue.take(0.5, min_time_left_s=2.0), late)
