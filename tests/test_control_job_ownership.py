"""Tests for cranberryport.control.job_ownership."""

import types
import unittest

from cranberryport.control import job_ownership
from cranberryport.generated import messages
from cranberryport.platform import store


def make_job(organisation):
    """Return a job of an organisation."""
    return types.SimpleNamespace(id="j", organisation=organisation)


class OwnershipTest(unittest.TestCase):
    """Which organisations reach a job."""

    def test_job_is_foreign_to_all_but_its_organisation(self):
        """Guards against a key, or a public route, that shows a foreign job."""
        cases = [
            (None, "a", False),
            (make_job("a"), "a", False),
            (make_job("a"), "b", True),
            (make_job("a"), "", True),
            (make_job(""), "b", False),
            (make_job(""), "", False),
        ]
        for job, organisation, is_foreign in cases:
            with self.subTest(job=job, organisation=organisation):
                self.assertIs(job_ownership.is_foreign(job, organisation), is_foreign)


class CancellationsTest(unittest.TestCase):
    """Stored cancellations, in any order with the record of the job."""

    def _store(self, *cancellations):
        """Return the cancellations that are read after these were stored in turn."""
        newest = {}
        for organisation, is_public in cancellations:
            key, message = job_ownership.make_cancellation(
                job_id="j",
                at_unix_s=5.0,
                organisation=organisation,
                is_public=is_public,
            )
            # The store keeps the newest record of a key.
            newest[key] = message
        found = job_ownership.Cancellations()
        for key, message in newest.items():
            found.add(key, message)
        return found

    def test_own_cancellation_survives_one_of_another_organisation(self):
        """Guards against an acknowledged cancellation that another one replaces."""
        for stored in ([("a", False), ("b", False)], [("b", False), ("a", False)]):
            self.assertTrue(self._store(*stored).cancel(make_job("a")))

    def test_foreign_cancellation_is_ignored_and_logged(self):
        """Guards against a job that another organisation or a public route cancels."""
        for stored in (("b", False), ("", True)):
            with self.assertLogs(level="WARNING") as logs:
                self.assertFalse(self._store(stored).cancel(make_job("a")))
            self.assertEqual(logs.records[0].owner, "a")

    def test_job_without_an_organisation_is_cancelled_by_anyone(self):
        """Guards against jobs of an earlier version that nobody can cancel."""
        for stored in (("b", False), ("", True), ("", False)):
            self.assertTrue(self._store(stored).cancel(make_job("")))

    def test_cancellation_of_an_earlier_version_stays_valid(self):
        """Guards against an acknowledged cancellation that an upgrade loses."""
        found = job_ownership.Cancellations()
        found.add("c/j", messages.CancelStored(job="j", at=5.0))
        self.assertTrue(found.cancel(make_job("a")))

    def test_unknown_job_is_not_cancelled(self):
        """Guards against an exception on a cancellation that is read first."""
        self.assertFalse(self._store(("a", False)).cancel(None))

    def test_all_records_of_a_job_are_known_until_they_are_discarded(self):
        """Guards against cancellations that stay in the store after their job."""
        found = self._store(("a", False), ("b", False), ("", False))
        self.assertEqual(len(found.keys("j")), 3)
        found.discard("j")
        self.assertEqual(found.keys("j"), [])

    def test_key_of_a_cancellation_fits_into_a_record(self):
        """Guards against a cancellation that cannot be stored for its long name."""
        key, _ = job_ownership.make_cancellation(
            job_id="0" * 16, at_unix_s=5.0, organisation="o" * 500, is_public=False
        )
        store.encode_records([(key, b"v")])
