"""Tests of :mod:`cranberryport.callers.lending`."""

import collections
import unittest

import hypothesis
from hypothesis import strategies

from cranberryport.callers import lending

SHARE = 2
HOLD_S = 5.0

STEP_LISTS = strategies.lists(
    strategies.tuples(
        strategies.sampled_from(
            ["ask", "deliver", "start", "end", "own", "own_end", "wait", "return"]
        ),
        strategies.integers(0, 7),
    ),
    max_size=80,
)

# The borrower's request is abandoned at its deadline, just before the loan ends, and
# the lender then starts requests on its own slots.
ABANDONED_NEAR_THE_END = [
    ("ask", 7),
    ("deliver", 0),
    ("wait", 2),
    ("start", 7),
    ("wait", 7),
    ("wait", 3),
    ("own", 0),
    ("own", 0),
]


class LendingTest(unittest.TestCase):
    """A slot is never used by lender and borrower at the same time."""

    @hypothesis.settings(derandomize=True, deadline=None, max_examples=300)
    @hypothesis.example(ABANDONED_NEAR_THE_END)
    @hypothesis.given(STEP_LISTS)
    def test_own_and_borrowed_slots_in_use_stay_within_the_share(self, steps):
        now, own_in_use, running, messages = 0.0, 0, [], []
        borrower = lending.Borrower()
        lender = lending.Lender(
            free_slots=lambda _: {"a": SHARE - own_in_use - lender.lent_slots("a", now)}
        )
        for number, (step, value) in enumerate(steps):
            # Abandoned requests keep running after their deadline, but no longer than
            # their slots are held.
            running = [(loan, end) for loan, end in running if end + HOLD_S > now]
            if step == "ask":
                loan = str(number)
                borrower.record_request(now, loan, "s", 4.0 + value)
                now += value / 4
                granted = lender.lend(now, "sizing", value, 4.0 + value, loan=loan)
                self.assertEqual(
                    lender.lend(now, "sizing", value, 4.0 + value, loan=loan), granted
                )
                messages.append((loan, granted))
            elif step == "deliver" and messages:
                borrower.record_grant(*messages.pop(value % len(messages)))
            elif step == "start":
                deadline = now + value
                count = borrower.usable_slots("a", deadline, now)
                loan = borrower.acquire_slot("a", deadline, now)
                self.assertEqual(loan is None, count == 0)
                if loan is not None:
                    running.append((loan, deadline))
            elif step == "end" and running:
                loan, _ = running.pop(value % len(running))
                borrower.release_slot(loan, "a")
            elif step == "own" and own_in_use + lender.lent_slots("a", now) < SHARE:
                own_in_use += 1
            elif step == "own_end" and own_in_use:
                own_in_use -= 1
            elif step == "wait":
                now += value
                borrower.expire_loans(now)
            elif step == "return":
                for _, loan in borrower.remove_idle_loans():
                    lender.end_loan(loan)
            self.assertLessEqual(own_in_use + lender.lent_slots("a", now), SHARE)
            self.assertLessEqual(own_in_use + len(running), SHARE)

    def test_loans_of_an_ended_session_are_not_used(self):
        borrower = lending.Borrower()
        borrower.record_request(0.0, "l", "s", 10.0)
        borrower.record_grant("l", ["a"])
        self.assertEqual(borrower.usable_slots("a", 9.0, 0.0), 1)
        self.assertEqual(borrower.usable_slots("a", 10.0, 0.0), 0)
        borrower.drop_loans_of("s")
        self.assertIsNone(borrower.acquire_slot("a", 9.0, 0.0))

    def test_lender_keeps_half_of_its_slots_and_lends_them_at_several_servers(self):
        free = {"a": 3, "b": 2, "c": 1}
        lender = lending.Lender(free_slots=lambda _: free)
        granted = lender.lend(0.0, "sizing", 9, 1.0, loan="l")
        self.assertEqual(collections.Counter(granted), {"a": 2, "b": 1})
        self.assertEqual(lender.lend(0.0, "sizing", 1, 99.0, loan="m"), [])
