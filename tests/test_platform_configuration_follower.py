"""Tests for cranberryport.platform.configuration_follower."""

import json
import unittest
from unittest import mock

from cranberryport.callers import api_keys, configuration_proof
from cranberryport.platform import configuration_follower


def make_value(version, keys=("k",)):
    """Return a record of the configuration with one organisation."""
    rows = [{"Name": "a", "ApiKeys": list(keys)}]
    return json.dumps({"Version": version, "Routes": [], "Tenants": rows}).encode()


class ConfigurationFollowerTest(unittest.TestCase):
    """Versions that are read in any order; a gap means that nothing is proven."""

    def setUp(self):
        """Make a follower whose reads are always recent."""
        patcher = mock.patch("cranberryport.boot_clock.now_s", lambda: 100.0)
        patcher.start()
        self.addCleanup(patcher.stop)
        self.proof = configuration_proof.ConfigurationProof(
            limit_s=5.0, last_read_sent_at=lambda: 99.0
        )
        self.applied = []
        self.follower = configuration_follower.ConfigurationFollower(
            proof=self.proof, on_applied=self.applied.append
        )

    def _add_records(self, *values):
        self.follower.add_records([("config", value) for value in values])

    def _versions(self):
        return [found.version for found in self.applied]

    def test_only_the_newest_version_of_an_answer_is_applied(self):
        """Guards against a storm of versions that holds up all requests."""
        with mock.patch.object(
            api_keys, "KeyTable", side_effect=api_keys.KeyTable
        ) as tables:
            self._add_records(*(make_value(version) for version in range(1, 200)))
        self.assertEqual(self._versions(), [199])
        self.assertEqual(tables.call_count, 1)

    def test_older_version_that_is_read_again_is_ignored(self):
        """Guards against a withdrawn key that an older version brings back."""
        self._add_records(make_value(2, keys=[]))
        with self.assertLogs(level="WARNING"):
            self._add_records(make_value(1))
        self.assertEqual(self.follower.configuration.version, 2)
        self.assertTrue(self.proof.is_fresh)

    def test_snapshot_with_an_older_version_proves_nothing(self):
        """Guards against a version that was missed between two older ones."""
        self._add_records(make_value(2))
        with self.assertLogs(level="ERROR"):
            self.follower.add_snapshot([("config", make_value(1))])
        self.assertEqual(self.follower.configuration.version, 2)
        self.assertFalse(self.proof.is_fresh)
        self._add_records(make_value(2))
        self.assertFalse(self.proof.is_fresh)
        self._add_records(make_value(3))
        self.assertTrue(self.proof.is_fresh)

    def test_snapshot_without_the_configuration_proves_nothing(self):
        """Guards against an incomplete snapshot that is taken for no change."""
        self.follower.add_snapshot([("config", make_value(1))])
        self.assertTrue(self.proof.is_fresh)
        with self.assertLogs(level="ERROR"):
            self.follower.add_snapshot([("wave/1", b"{}")])
        self.assertFalse(self.proof.is_fresh)

    def test_unreadable_version_ends_the_proof(self):
        """Guards against a withdrawal in a record that cannot be read."""
        for garbage in (b"{", b""):
            with self.subTest(garbage=garbage):
                self.setUp()
                self._add_records(make_value(1))
                with self.assertLogs(level="ERROR"):
                    self._add_records(garbage)
                self.assertFalse(self.proof.is_fresh)

    def test_only_a_newer_version_after_an_unreadable_one_proves_again(self):
        """Guards against a proof by a version that was written before the gap."""
        cases = [
            ([b"{", make_value(2)], True),
            ([make_value(2), b"{"], False),
            ([b"{", make_value(1)], False),
            ([make_value(3), b"{", make_value(2)], False),
        ]
        for values, is_fresh in cases:
            with self.subTest(values=values):
                self.setUp()
                self._add_records(make_value(1))
                with self.assertLogs(level="ERROR"):
                    self._add_records(*values)
                self.assertEqual(self.proof.is_fresh, is_fresh)

    def test_instance_without_a_configuration_has_no_proof(self):
        """Guards against an instance that serves keys just after its start."""
        self.follower.add_snapshot([])
        self.assertFalse(self.proof.is_fresh)
        self._add_records(make_value(1))
        self.assertTrue(self.proof.is_fresh)
