"""Tests for cranberryport.callers.api_keys."""

import gc
import unittest

from cranberryport.callers import api_keys
from cranberryport.platform import configuration


class KeyTableTest(unittest.TestCase):
    """Look-ups of keys."""

    def test_key_is_found_for_its_organisation(self):
        """Guards against a key that opens the jobs of another organisation."""
        table = api_keys.KeyTable(keys_by_organisation={"a": ["k1", "k2"], "b": ["k3"]})
        found = [
            table.find_organisation(api_keys.digest(key))
            for key in (b"k1", b"k2", b"k3", b"k", b"k11", b"")
        ]
        self.assertEqual(found, ["a", "a", "b", None, None, None])
        self.assertEqual(len(table), 3)

    def test_key_of_two_organisations_is_refused_and_not_logged(self):
        """Guards against a key that opens the jobs of whichever row comes last."""
        keys = {"a": ["secret-1", "k2"], "b": ["secret-1"], "c": ["secret-1"]}
        with self.assertLogs(level="ERROR") as logs:
            table = api_keys.KeyTable(keys_by_organisation=keys)
        self.assertIsNone(table.find_organisation(api_keys.digest(b"secret-1")))
        self.assertEqual(table.find_organisation(api_keys.digest(b"k2")), "a")
        self.assertNotIn("secret", str([vars(record) for record in logs.records]))

    def test_key_that_is_given_twice_for_an_organisation_is_valid(self):
        """Guards against a key that is refused because its row repeats it."""
        table = api_keys.KeyTable(keys_by_organisation={"a": ["k", "k"]})
        self.assertEqual(table.find_organisation(api_keys.digest(b"k")), "a")

    def test_key_with_any_text_is_accepted(self):
        """Guards against an exception that ends the reading of configurations."""
        table = api_keys.KeyTable(keys_by_organisation={"a": ["\ud800", "ü"]})
        digest = api_keys.digest("ü".encode())
        self.assertEqual(table.find_organisation(digest), "a")

    def test_no_key_stays_in_clear_text(self):
        """Guards against keys that a dump of the objects of the process shows."""
        text = b"".join(
            [
                b'{"Routes": [], "Tenants": [{"Name": "a", "ApiKeys"',
                b': ["se',
                b'cr"]}]}',
            ]
        )
        parsed = configuration.parse(text)
        self.assertEqual(len(parsed.key_table), 1)
        self.assertEqual(parsed.keys_by_organisation, {})
        lists = [found for found in gc.get_objects() if isinstance(found, list)]
        self.assertFalse(any("se" + "cr" in found for found in lists))
