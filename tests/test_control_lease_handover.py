"""Tests for cranberryport.control.lease_handover."""

import time
import types
import unittest

from cranberryport.control import lease_handover
from cranberryport.platform import executors
from cranberryport.scheduling import takeover
from tests import scheduling, scripted

EPOCH = 5
LEASE_S = 4.0
ACCEPTED = executors.ExecutorResponse(is_accepted=True, clock_ms=2000, started_at_ms=1)
REFUSED = executors.ExecutorResponse(is_accepted=False, reason="fenced")
NO_RESPONSE = executors.NoResponse(reason="timeout")


class FakeClient:
    """Records the renewals, so that a test can answer them."""

    def __init__(self):
        self.calls = []

    def list_runs(self, executor, **fields):
        """Record a renewal."""
        self.calls.append(types.SimpleNamespace(executor=executor.id, **fields))

    def answer(self, response):
        """Answer the oldest renewal and return the name of the executor."""
        call = self.calls.pop(0)
        call.callback(response)
        return call.executor


class LeaseHandoverTest(unittest.TestCase):
    """Renewals to three executors after the end of the role."""

    def setUp(self):
        """Begin the renewals."""
        self.may_renew = True
        self.client = FakeClient()
        self.timers = scripted.FakeTimers()
        self.executors = [scheduling.make_executor(name) for name in ("e1", "e2", "e3")]
        for executor in self.executors:
            executor.update_clock(1000, 0.0)
            executor.started_at_ms = 1
            executor.life = 2
            executor.acknowledged_end_number = 7
        self.subject = self._make_subject()

    def _make_subject(self):
        subject = lease_handover.LeaseHandover(
            executors_with_runs=self.executors,
            client=self.client,
            timers=self.timers,
            epoch=EPOCH,
            lease_s=LEASE_S,
            may_renew=lambda: self.may_renew,
        )
        subject.start()
        return subject

    def _renew(self):
        """Let an interval pass; return the executors that are called first."""
        self.timers.run()
        return [call.executor for call in self.client.calls]

    def test_leases_are_renewed_until_the_proof_is_too_old(self):
        """Guards against leases that end while the successor knows no executor."""
        for _ in range(3):
            self.assertEqual(self._renew(), ["e1"])
            self.client.answer(ACCEPTED)
            names = [self.client.answer(ACCEPTED) for _ in range(2)]
            self.assertEqual(names, ["e2", "e3"])
        self.may_renew = False
        self.assertTrue(self.subject.is_over)
        self.assertEqual(self._renew(), [])
        self.assertEqual(self.timers.calls, [])

    def test_renewal_only_renews(self):
        """Guards against an end that is acknowledged and that no record has."""
        executor = self.executors[0]
        earliest_ms = executor.estimate_clock_ms(time.monotonic()) + LEASE_S * 1000
        self._renew()
        latest_ms = executor.estimate_clock_ms(time.monotonic()) + LEASE_S * 1000
        (call,) = self.client.calls
        self.assertEqual((call.end_number, call.wait_s), (0, 0.0))
        self.assertEqual(call.token, takeover.order_token(EPOCH, 2))
        self.assertLessEqual(earliest_ms, call.lease_end_ms)
        self.assertLessEqual(call.lease_end_ms, latest_ms)

    def test_proof_is_asked_for_immediately_before_the_sending(self):
        """Guards against renewals of a process that was paused after its check."""
        self._renew()
        (call,) = self.client.calls
        self.assertTrue(call.may_send())
        self.may_renew = False
        self.assertFalse(call.may_send())

    def test_one_refused_call_shows_that_the_successor_has_begun(self):
        """Guards against a call to each executor at each change of the controller."""
        self._renew()
        self.client.answer(REFUSED)
        self.assertEqual(self.client.calls, [])
        self.assertTrue(self.subject.is_over)
        self.assertEqual(self._renew(), [])

    def test_any_refusal_ends_the_renewals(self):
        """Guards against calls that are repeated although they were refused."""
        self._renew()
        self.client.answer(ACCEPTED)
        self.client.answer(REFUSED)
        self.client.answer(ACCEPTED)
        self.assertEqual(self._renew(), [])

    def test_silent_executor_keeps_no_lease_of_others_from_renewal(self):
        """Guards against leases that depend on the first executor."""
        self._renew()
        self.client.answer(NO_RESPONSE)
        self.assertEqual(self.client.answer(ACCEPTED), "e2")
        self.assertEqual(self.client.answer(ACCEPTED), "e3")
        self.assertEqual(self._renew(), ["e1"])

    def test_renewals_wait_no_longer_than_the_proof_lasts(self):
        """Guards against renewals that follow a late answer of the first executor."""
        self._renew()
        self.may_renew = False
        self.client.answer(NO_RESPONSE)
        self.assertEqual(self.client.calls, [])

    def test_restarted_executor_is_not_called_again(self):
        """Guards against a lease by the clock of a former life."""
        for answer in (
            executors.ExecutorResponse(is_accepted=True, started_at_ms=9),
            executors.ExecutorResponse(is_accepted=False, reason="other_instance"),
        ):
            with self.subTest(answer=answer):
                self.timers.calls.clear()
                self.client.calls.clear()
                self._make_subject()
                self._renew()
                self.client.answer(answer)
                self.client.calls.clear()
                self.assertEqual(self._renew(), ["e2"])

    def test_executor_whose_clock_is_not_known_is_not_called(self):
        """Guards against a lease that names no time of the executor's clock."""
        self.timers.calls.clear()
        self.executors[0].clock_ms = None
        self._make_subject()
        self.assertEqual(self._renew(), ["e2"])

    def test_nothing_is_called_without_executors(self):
        """Guards against renewals by a controller that knew no executor itself."""
        self.executors.clear()
        self.timers.calls.clear()
        self.assertTrue(self._make_subject().is_over)
        self.assertEqual(self._renew(), [])


if __name__ == "__main__":
    unittest.main()
