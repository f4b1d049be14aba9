"""Tests of :mod:`cranberryport.callers.idempotency`."""

import unittest
import uuid

from cranberryport.callers import idempotency

NOW = 1_800_000_000.0


class KeyTest(unittest.TestCase):
    """A key whose record may have been dropped is never accepted."""

    def check(self, key):
        return idempotency.check_key(key, now=NOW)

    def test_new_key_carries_its_issue_time(self):
        key = idempotency.new_key(now=NOW)
        self.assertEqual(uuid.UUID(key).version, 7)
        self.assertEqual(uuid.UUID(key).variant, uuid.RFC_4122)
        expected = idempotency.ValidKey(key=key, issued_at=NOW)
        self.assertEqual(self.check(key.upper()), expected)

    def test_keys_too_old_or_too_far_in_the_future_are_refused(self):
        day = idempotency.KEY_RETENTION_S
        cases = {-day: True, -day - 1: False, 300: True, 301: False}
        for offset, is_valid in cases.items():
            with self.subTest(offset=offset):
                checked = self.check(idempotency.new_key(now=NOW + offset))
                self.assertEqual(isinstance(checked, idempotency.ValidKey), is_valid)

    def test_malformed_keys_are_refused_and_quoted(self):
        key = idempotency.new_key(now=NOW)
        for text in ("", "x", key.replace("-", ""), "{" + key + "}", str(uuid.uuid4())):
            with self.subTest(text=text):
                self.assertIn(repr(text), self.check(text).reason)
