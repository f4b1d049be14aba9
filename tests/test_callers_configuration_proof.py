"""Tests for cranberryport.callers.configuration_proof.

The property test draws the order of events: reads are sent, evaluated by the store,
answered or lost, configurations change, time passes, the machine is suspended.
"""

import logging
import random
import unittest
from unittest import mock

import hypothesis
from hypothesis import strategies

from cranberryport.callers import configuration_proof
from cranberryport.generated import messages
from cranberryport.platform import store
from tests import keyed_front

KEY = b"Token secret-a"
# Numbers are seconds that pass.
EVENTS = {
    "evaluate": 3,
    "answer": 6,
    "answer part": 1,
    "lose": 1,
    "add": 1,
    "withdraw": 2,
    "old": 1,
    "garbage": 0.3,
    "expire": 1,
    "restart": 0.2,
    0.1: 1,
    3.0: 2,
    5.0: 2,
    60.0: 0.2,
}
# The events are drawn from a seed, as lists drawn by hypothesis are short and a missed
# version takes six matching events.
EVENTS_PER_WORLD = 100
SEEDS = strategies.integers(0, 2**32)


class ConfigurationProofTest(unittest.TestCase):
    """Age of the configuration on the clock that counts suspended time."""

    def setUp(self):
        """Make a proof by a read that was sent at 100."""
        patcher = mock.patch("cranberryport.boot_clock.now_s")
        self.boot_now_s = patcher.start()
        self.addCleanup(patcher.stop)
        self.boot_now_s.return_value = 100.0
        self.sent_at = 100.0
        self.proof = configuration_proof.ConfigurationProof(
            limit_s=5.0, last_read_sent_at=lambda: self.sent_at
        )
        self.proof.add_version(1)

    def test_proof_ends_before_the_limit(self):
        """Guards against a clock that is slower than that of the callers."""
        self.boot_now_s.return_value = 104.9
        self.assertTrue(self.proof.is_fresh)
        self.boot_now_s.return_value = 104.99
        self.assertFalse(self.proof.is_fresh)

    def test_gap_ends_with_a_version_above_all_earlier_ones(self):
        """Guards against a missed version that one read before it seems to cover."""
        with self.assertLogs(level="ERROR"):
            self.proof.add_gap("test")
        self.assertIsNone(self.proof.age_s)
        self.proof.add_version(1)
        self.assertFalse(self.proof.is_fresh)
        self.proof.add_version(2)
        self.assertTrue(self.proof.is_fresh)

    def test_nothing_is_proven_without_a_read(self):
        """Guards against an exception, or a proof, just after the start."""
        self.sent_at = None
        self.assertIsNone(self.proof.age_s)
        self.assertFalse(self.proof.is_fresh)


class World:
    """A store with the operator's topic, an instance and a clock.

    Parameters
    ----------
    boot_now_s : unittest.mock.Mock
        Replaces ``boot_clock.now_s``.

    Attributes
    ----------
    now : float
        Time on the boot clock in seconds; the instance reads no other clock here.
    withdrawn_at : float or None
        Time since which the newest configuration has no key; None while it has one.
    """

    def __init__(self, boot_now_s):
        self.now = 100.0
        boot_now_s.side_effect = lambda: self.now
        self.records = [keyed_front.make_configuration(1, a=["secret-a"])]
        self.has_key_by_version = {1: True}
        self.first = 0
        self.withdrawn_at = None
        self._last_version = 1
        self._results = {}
        self.served_count = 0
        self._restart()

    def _restart(self):
        """Start an instance that knows nothing."""
        self._results = {}
        self.front = keyed_front.KeyedFront()

    def run(self, event):
        """Let one event happen."""
        if isinstance(event, float):
            self.now += event
        else:
            getattr(self, "_" + event.replace(" ", "_"))()

    def _restore_newest(self):
        """Write the newest version again if an instance could not see that it lacks it.

        The store keeps the newest record, not the highest version. So a snapshot with
        an older version shows that one was missed only if it is older than that of the
        instance.
        """
        current = self.front.follower.configuration
        newest = max(self.has_key_by_version)
        if self._last_version == newest or self._last_version is None:
            return
        if current is None or self._last_version >= current.version:
            self._append(newest)

    def _add(self):
        self._write(max(self.has_key_by_version) + 1, True)

    def _withdraw(self):
        self._write(max(self.has_key_by_version) + 1, False)

    def _old(self):
        # After an unreadable version the operator writes a newer one, as nobody can
        # tell an older version from the one that repairs it.
        if self._last_version is not None:
            self._append(max(1, max(self.has_key_by_version) - 1))

    def _garbage(self):
        # An unreadable version in the place of a withdrawal.
        self.has_key_by_version[max(self.has_key_by_version) + 1] = False
        self.records.append(b"{")
        self._last_version = None
        self._note_withdrawal(False)

    def _write(self, version, has_key):
        self.has_key_by_version[version] = has_key
        self._append(version)
        self._note_withdrawal(has_key)

    def _append(self, version):
        keys = ["secret-a"] if self.has_key_by_version[version] else []
        self.records.append(keyed_front.make_configuration(version, a=keys))
        self._last_version = version

    def _note_withdrawal(self, has_key):
        if has_key:
            self.withdrawn_at = None
        elif self.withdrawn_at is None:
            self.withdrawn_at = self.now

    def _expire(self):
        self.first = len(self.records)

    def _pending_call(self):
        calls = self.front.store.calls
        if not calls:
            self.front.reader_timers.run()
        return calls[0] if calls else None

    def _evaluate(self):
        """Let the store take the result of the call in progress, if it has not."""
        call = self._pending_call()
        if call is not None:
            self._results.setdefault(id(call), self._result(call))

    def _result(self, call, *, limit=None):
        end = len(self.records)
        if call.name == "read_newest":
            self._restore_newest()
            items = [("config", self.records[-1])]
            return store.NewestRecords(records=items, end=end)
        position = call.arguments[1]
        if position < self.first:
            return store.Expired(first=self.first)
        items = [("config", value) for value in self.records[position:][:limit]]
        return store.Records(
            first=self.first, end=end, next=position + len(items), records=items
        )

    def _answer(self):
        call = self._pending_call()
        if call is not None:
            self._evaluate()
            self.front.store.calls.remove(call)
            call.callback(self._results.pop(id(call)))

    def _answer_part(self):
        call = self._pending_call()
        if call is not None:
            self.front.store.calls.remove(call)
            self._results.pop(id(call), None)
            call.callback(self._result(call, limit=1))

    def _lose(self):
        call = self._pending_call()
        if call is not None:
            self.front.store.calls.remove(call)
            self._results.pop(id(call), None)
            call.callback(store.NoResponse(reason="reset"))

    def _request(self):
        response = self.front.request("GET", KEY)
        if response.status is None:
            reply = messages.ControllerReply(number=1, is_leading=True, state="active")
            self.front.answer_question(reply)
        if response.status == 200:
            self.served_count += 1
            if self.withdrawn_at is not None:
                late_s = self.now - self.withdrawn_at
                assert late_s <= keyed_front.LIMIT_S, late_s


class RevocationPropertyTest(unittest.TestCase):
    """No order of events lets a request with a withdrawn key succeed."""

    @hypothesis.settings(derandomize=True, deadline=None, max_examples=300)
    @hypothesis.given(SEEDS)
    def test_no_request_succeeds_later_than_the_limit_after_the_withdrawal(self, seed):
        """Guards against proofs that count from the answer, or skip a version."""
        logging.disable()
        self.addCleanup(logging.disable, logging.NOTSET)
        with mock.patch("cranberryport.boot_clock.now_s") as boot_now_s:
            world = World(boot_now_s)
            events = random.Random(seed).choices(
                list(EVENTS), EVENTS.values(), k=EVENTS_PER_WORLD
            )
            for event in ["answer", *events]:
                world.run(event)
                world.run("request")

    def test_instance_serves_a_key_in_such_a_world(self):
        """Guards against a property that holds because nothing is ever served."""
        with mock.patch("cranberryport.boot_clock.now_s") as boot_now_s:
            world = World(boot_now_s)
            for event in ["answer", 3.0, "answer", "answer", 3.0, "request"]:
                world.run(event)
        self.assertEqual(world.served_count, 1)
