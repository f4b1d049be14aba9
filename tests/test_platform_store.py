"""Tests for cranberryport.platform.store."""

import base64
import struct
import unittest

from cranberryport.platform import store
from tests import scripted


def make_client(*responses):
    """Return a store client, and its fake pool that gives the responses in turn."""
    pool = scripted.FakePool(*responses)
    return store.StoreClient(connections=pool, address=("127.0.0.1", 1)), pool


class StoreTest(unittest.TestCase):
    """Calls of the store and their results."""

    def _append(self, result):
        """Return what an append gives for the result of its exchange."""
        client, _ = make_client(result)
        results = []
        client.append("t", [], callback=results.append, timeout_s=1.0)
        return results[0]

    def test_records_are_encoded_with_length_and_key(self):
        """Guards against records that the store splits at wrong offsets."""
        encoded = store.encode_records([("ab", b"xyz"), ("c", b"")])
        self.assertEqual(encoded, b"\0\0\0\x06\x02abxyz" + b"\0\0\0\x02\x01c")
        body = struct.pack(">QQ", 9, 4) + encoded
        self.assertEqual(
            store.decode_records(body), (4, 9, [("ab", b"xyz"), ("c", b"")])
        )

    def test_truncated_read_is_no_response(self):
        """Guards against skipping a record of which only a part was received."""
        body = struct.pack(">QQ", 9, 4) + store.encode_records([("ab", b"xyz")])[:-1]
        client, _ = make_client(scripted.answer(body=body))
        results = []
        client.read("t", 4, callback=results.append, wait_s=1.0)
        self.assertIsInstance(results[0], store.NoResponse)

    def test_append_without_response_may_be_stored_if_bytes_were_sent(self):
        """Guards against a refusal of a job whose record may be stored."""
        self.assertTrue(self._append(scripted.no_answer()).was_sent)
        self.assertFalse(self._append(scripted.no_answer(bytes_sent=0)).was_sent)

    def test_append_with_an_unexpected_error_may_be_stored(self):
        """Guards against a promise that a job does not run, although it may."""
        self.assertIsInstance(self._append(scripted.answer(500)), store.NoResponse)
        self.assertIsInstance(self._append(scripted.answer(503)), store.Refused)

    def test_malformed_membership_is_no_response(self):
        """Guards against a member that stops joining after one malformed response."""
        for rows in ([5], [["control"]], 7):
            client, _ = make_client(scripted.answer(parts=rows, Generation=1))
            results = []
            client.join(
                "g",
                "m",
                "control",
                ttl_s=1.5,
                generation=0,
                callback=results.append,
                timeout_s=1.0,
            )
            self.assertIsInstance(results[0], store.NoResponse)

    def test_malformed_rows_of_owners_are_left_out(self):
        """Guards against an instance that finds no controller for one malformed row."""
        rows = [["control", 0, "a:1#x", 5], ["control"], 3, ["control", {}, "b", 1]]
        client, _ = make_client(scripted.answer(rows=rows))
        results = []
        with self.assertLogs(level="WARNING"):
            client.list_owners("g", callback=results.append, timeout_s=1.0)
        self.assertEqual(results, [store.PartitionOwners(members={0: "a:1#x"})])

    def test_refused_appends_have_a_reason(self):
        """Guards against a controller that does not notice that it is fenced."""
        fenced = self._append(scripted.answer(409, Reason="fenced"))
        self.assertEqual(fenced, store.Refused(status=409, reason="fenced"))
        ahead = self._append(scripted.answer(409, Reason="seq", Sequence=7))
        self.assertEqual((ahead.reason, ahead.expected_sequence), ("seq", 7))

    def test_newest_records_are_read_from_all_pages(self):
        """Guards against missing a change between two pages.

        The reader goes on from the end of the first page, not of the last.
        """

        def page(key, end, *, more):
            value = base64.b64encode(b"v").decode()
            items = [{"Key": key, "Value": value, "Offset": 1}]
            return scripted.answer(items=items, HasMore=more, EndOffset=end)

        client, pool = make_client(page("a", 5, more=True), page("b", 8, more=False))
        results = []
        client.read_newest("t", callback=results.append, timeout_s=1.0)
        self.assertEqual(
            results, [store.NewestRecords(records=[("a", b"v"), ("b", b"v")], end=5)]
        )
        self.assertIn("DependsOn=a", pool.sent[1][1])

    def test_malformed_page_is_no_response(self):
        """Guards against an exception that stops a reader."""
        client, _ = make_client(scripted.answer(items=[{"Value": "x"}], EndOffset=1))
        results = []
        client.read_newest("t", callback=results.append, timeout_s=1.0)
        self.assertIsInstance(results[0], store.NoResponse)

    def test_list_of_records_that_is_not_whole_is_no_response(self):
        """Guards against progress that seems to be missing, so that all jobs run again.

        See docs/incidents/deletion-cut-short.md.
        """
        pages = (
            scripted.answer(body=b'{"items": ['),
            scripted.answer(body=b"[" * 100_000),
            scripted.answer(items=[], HasMore=True, EndOffset=4),
            scripted.answer(items=7, EndOffset=4),
            scripted.answer(items=[{"Key": 5}], EndOffset=4),
            scripted.answer(items=[{"Key": "a", "Value": "x"}], EndOffset=4),
        )
        for page in pages:
            with self.subTest(page=page.body[:40]):
                client, _ = make_client(page)
                results = []
                client.read_newest("t", callback=results.append, timeout_s=1.0)
                self.assertIsInstance(results[0], store.NoResponse)
        client, _ = make_client(scripted.answer())
        results = []
        client.read_newest("t", callback=results.append, timeout_s=1.0)
        self.assertEqual(results, [store.NewestRecords(records=[], end=0)])

    def test_read_of_expired_records_gives_the_first_offset(self):
        """Guards against a reader that waits for records that are not retained."""
        client, _ = make_client(scripted.answer(410, FirstOffset=12))
        results = []
        client.read("t", 4, callback=results.append, wait_s=1.0)
        self.assertEqual(results, [store.Expired(first=12)])
