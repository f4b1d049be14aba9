"""Tests for cranberryport.control.absence_proof."""

import unittest
import unittest.mock

from cranberryport.control import absence_proof
from cranberryport.generated import messages


class FakeReader:
    """Reader whose last complete read a test sets."""

    def __init__(self):
        self.read_at = 0.0
        self.confirm_count = 0

    def has_read_since(self, time_s):
        """Return whether the read was sent at a time or later."""
        return self.read_at >= time_s

    def confirm(self):
        """Count a read that is asked for."""
        self.confirm_count += 1


class AbsenceProofTest(unittest.TestCase):
    """Questions about a job that the controller does not know."""

    def setUp(self):
        """Make a proof with two partitions, at a time that the test sets."""
        self.now = 100.0
        patcher = unittest.mock.patch(
            "cranberryport.boot_clock.now_s", lambda: self.now
        )
        patcher.start()
        self.addCleanup(patcher.stop)
        self.readers = [FakeReader(), FakeReader()]
        self.proof = absence_proof.AbsenceProof(readers=self.readers)
        self.question = messages.JobQuestion(number=1, job="a" * 16)

    def _read_all(self):
        for reader in self.readers:
            reader.read_at = self.now

    def test_every_partition_is_read_after_the_question(self):
        """Guards against a proof without the partition that holds the job."""
        self.assertFalse(self.proof.is_complete(None, self.question))
        self.assertEqual([reader.confirm_count for reader in self.readers], [1, 1])
        self.now += 0.01
        self.readers[0].read_at = self.now
        self.assertFalse(self.proof.is_complete(None, self.question))
        self._read_all()
        self.assertTrue(self.proof.is_complete(None, self.question))

    def test_question_of_another_asker_with_the_same_number_is_another_one(self):
        """Guards against a proof for a question whose asker has given up long ago.

        Each entry instance counts its questions from 1. A job that was accepted after
        the first question of that number would be answered as not existing.
        """
        first, second = object(), object()
        self.assertFalse(self.proof.is_complete(first, self.question))
        self.now += 1.0
        self._read_all()
        self.now += 1.0
        self.assertFalse(self.proof.is_complete(second, self.question))
        self.assertTrue(self.proof.is_complete(first, self.question))

    def test_reads_are_sent_at_most_once_in_an_interval(self):
        """Guards against reads that grow with the number of questions."""
        for number in range(10):
            question = messages.JobQuestion(number=number, job="a" * 16)
            self.proof.is_complete(None, question)
        self.assertEqual([reader.confirm_count for reader in self.readers], [1, 1])
        self.now += 2 * absence_proof.READ_INTERVAL_S
        self.proof.is_complete(None, self.question)
        self.assertEqual([reader.confirm_count for reader in self.readers], [2, 2])

    def test_old_questions_are_forgotten(self):
        """Guards against memory that grows with askers that have given up."""
        self.proof.is_complete(None, self.question)
        self.now += absence_proof.QUESTION_LIFETIME_S + 1.0
        self.readers[0].read_at = self.now
        self.proof.is_complete(object(), self.question)
        self.readers[1].read_at = self.now - 1.0
        # Asked again, it counts from now.
        self.assertFalse(self.proof.is_complete(None, self.question))
