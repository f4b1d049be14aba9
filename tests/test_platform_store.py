"""Tests for cranberryport.platform.store."""

import base64
import struct
import unittest

from cranberryport.platform import store
from tests import scripted


def make_store(*answers):
    """Return a store with scripted answers and its connections."""
    pool = scripted.FakePool(*answers)
    return store.StoreClient(pool=pool, address=("127.0.0.1", 1)), pool


class StoreTest(unittest.TestCase):
    """Calls and their results."""

    def _append(self, result):
        client, _ = make_store(result)
        results = []
        client.append("t", [], callback=results.append, timeout_s=1.0)
        return results[0]

    def test_records_are_framed_with_length_and_key(self):
        """Guards against records that the store splits at other places."""
        packed = store.pack([("ab", b"xyz"), ("c", b"")])
        self.assertEqual(packed, b"\0\0\0\x06\x02abxyz" + b"\0\0\0\x02\x01c")
        body = struct.pack(">QQ", 9, 4) + packed
        self.assertEqual(store.unpack(body), (4, 9, [("ab", b"xyz"), ("c", b"")]))

    def test_read_that_is_cut_short_is_no_read(self):
        """Guards against skipping a record of which only a part has come."""
        body = struct.pack(">QQ", 9, 4) + store.pack([("ab", b"xyz")])[:-1]
        client, _ = make_store(scripted.answer(body=body))
        results = []
        client.read("t", 4, callback=results.append, wait_s=1.0)
        self.assertIsInstance(results[0], store.NoResponse)

    def test_append_without_answer_may_be_stored(self):
        """Guards against telling a caller "not run" for a job that may run."""
        self.assertTrue(self._append(scripted.no_answer()).was_sent)
        self.assertFalse(self._append(scripted.no_answer(bytes_sent=0)).was_sent)

    def test_refused_appends_say_why(self):
        """Guards against a fenced controller that goes on."""
        fenced = self._append(scripted.answer(409, Reason="fenced"))
        self.assertEqual(fenced, store.Refused(status=409, reason="fenced"))
        ahead = self._append(scripted.answer(409, Reason="seq", Sequence=7))
        self.assertEqual((ahead.reason, ahead.expected_sequence), ("seq", 7))

    def test_newest_goes_through_all_pages(self):
        """Guards against changes between two pages that nobody reads again."""

        def page(key, end, *, more):
            value = base64.b64encode(b"v").decode()
            items = [{"Key": key, "Value": value, "Offset": 1}]
            return scripted.answer(items=items, HasMore=more, EndOffset=end)

        client, pool = make_store(page("a", 5, more=True), page("b", 8, more=False))
        results = []
        client.read_newest("t", callback=results.append, timeout_s=1.0)
        self.assertEqual(
            results, [store.NewestRecords(records=[("a", b"v"), ("b", b"v")], end=5)]
        )
        self.assertIn("DependsOn=a", pool.sent[1][1])

    def test_page_that_cannot_be_read_is_a_failure(self):
        """Guards against a reader that ends with an exception."""
        client, _ = make_store(scripted.answer(items=[{"Value": "x"}], EndOffset=1))
        results = []
        client.read_newest("t", callback=results.append, timeout_s=1.0)
        self.assertIsInstance(results[0], store.NoResponse)

    def test_expired_history_is_told(self):
        """Guards against a reader that waits for records that are gone."""
        client, _ = make_store(scripted.answer(410, FirstOffset=12))
        results = []
        client.read("t", 4, callback=results.append, wait_s=1.0)
        self.assertEqual(results, [store.Expired(first=12)])
