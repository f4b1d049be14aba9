"""Tests for cranberryport.control.stored_records."""

import unittest

from cranberryport import codec
from cranberryport.control import stored_records
from cranberryport.generated import messages


class DecodeTest(unittest.TestCase):
    """Records that cannot be used."""

    def test_unusable_record_is_logged_and_left_out(self):
        """Guards against a damaged record that ends the loading of the state."""
        wave = codec.encode(messages.WaveStored(job="wave/1", done=[]))
        for value in (b"\xff", wave):
            with self.subTest(value=value), self.assertLogs(level="ERROR"):
                self.assertIsNone(
                    stored_records.decode("k", value, messages.CancelStored)
                )

    def test_deleted_record_is_left_out(self):
        """Guards against an error line for each deleted record."""
        with self.assertNoLogs(level="ERROR"):
            self.assertIsNone(stored_records.decode("k", b"", messages.WaveStored))

    def test_expected_record_is_decoded(self):
        """Guards against stored records that are lost at a takeover."""
        wave = messages.WaveStored(job="wave/1", done=["i"])
        found = stored_records.decode("k", codec.encode(wave), messages.WaveStored)
        self.assertEqual(found, wave)
