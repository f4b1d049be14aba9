"""Tests of :mod:`cranberryport.codec`."""

import unittest

import cbor2

from cranberryport import codec
from cranberryport.generated import messages


class CodecTest(unittest.TestCase):
    """Messages survive encoding, and other data is rejected."""

    def test_round_trip_keeps_bytes_and_nested_messages(self):
        """Guards against bytes or rows that come back as another type."""
        row = messages.SheetRow(
            row=2, subject="pool", name="sizing", setting="spare", value="no", note=""
        )
        sheet = messages.SheetPublished(
            publication="p1",
            publisher="ana",
            authority="team",
            day="2026-12-04",
            until=1.5,
            expected_version=0,
            rows=[row],
            signature="00",
        )
        chunk = messages.SnapshotChunk(
            snapshot="s", base=4, index=0, count=1, data=b"\x00\xff"
        )
        for message in (sheet, chunk):
            with self.subTest(kind=type(message).__name__):
                self.assertEqual(codec.decode(codec.encode(message)), message)

    def test_invalid_data_is_rejected_with_the_reason(self):
        """Guards against data that is taken for a message although it is not one."""
        valid = codec.to_map(messages.SessionClosed(session="s"))
        cases = {
            "not CBOR": b"\xff\xff",
            "expected a map": cbor2.dumps([1]),
            "unknown kind 'Nothing'": cbor2.dumps({**valid, "kind": "Nothing"}),
            "unknown fields extra": cbor2.dumps({**valid, "extra": 1}),
            "$.session": cbor2.dumps({**valid, "session": 7}),
            "missing required": cbor2.dumps({"kind": "SessionClosed"}),
        }
        for text, data in cases.items():
            with self.subTest(text=text):
                with self.assertRaises(codec.DecodeError) as caught:
                    codec.decode(data)
                self.assertIn(text, str(caught.exception))
