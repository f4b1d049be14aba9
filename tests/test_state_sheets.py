"""Tests of :mod:`cranberryport.state.sheets`."""

import dataclasses
import unittest

from cranberryport.state import sheets
from tests import control_stream

ROWS = ["pool p max_unavailable 2"]
OTHER_ROWS = ["pool p max_unavailable 5"]


class SheetsTest(unittest.TestCase):
    """An accepted sheet must stay in force until its authority replaces it."""

    def setUp(self):
        self.stream = control_stream.Stream("a")
        self.sheets = self.stream.state.sheets

    def publish(self, *arguments, **options):
        record = control_stream.make_sheet(*arguments, **options)
        return self.stream.accept("a", record).offset + 1

    def max_unavailable(self):
        return self.stream.state.configuration.pool("p").max_unavailable

    def test_stale_version_and_late_repeat_do_not_replace_a_newer_sheet(self):
        first = control_stream.make_sheet("one", 0, ROWS)
        version = self.stream.accept("a", first).offset + 1
        stale = control_stream.make_sheet("two", 0, OTHER_ROWS)
        self.assertIn(f"present version is {version}", self.stream.reject("a", stale))
        self.assertEqual(self.max_unavailable(), 2)
        version = self.publish("three", version, OTHER_ROWS)
        self.stream.accept("a", first)
        self.assertEqual(
            (self.max_unavailable(), self.sheets.version("owner")), (5, version)
        )

    def test_owner_sheet_overrides_a_later_team_sheet(self):
        self.publish("one", 0, ROWS)
        self.publish("two", 0, OTHER_ROWS, publisher="timo", authority="team")
        self.assertEqual(self.max_unavailable(), 2)

    def test_forged_unauthorized_and_invalid_publications_are_rejected(self):
        good = control_stream.make_sheet("one", 0, ROWS)
        bad_rows = ["pool p max_unavailable -1"]
        cases = {
            "unknown publisher": dataclasses.replace(good, publisher="nobody"),
            "may not publish": control_stream.make_sheet(
                "x", 0, ROWS, publisher="timo"
            ),
            "signature": dataclasses.replace(good, day="2026-12-04"),
            "rows are wrong": control_stream.make_sheet("bad", 0, bad_rows),
        }
        for text, record in cases.items():
            self.assertIn(text, self.stream.reject("a", record))
        kept = [entry.publication for entry in self.sheets.rejected]
        self.assertEqual(kept, ["one", "x", "one", "bad"])
        version = self.stream.accept("a", good).offset + 1
        other = control_stream.make_sheet("one", version, OTHER_ROWS)
        self.assertIn("another content", self.stream.reject("a", other))

    def test_second_sheet_at_one_offset_is_rejected(self):
        # The version is derived from the offset, so both would have the same version.
        first = control_stream.make_sheet("one", 0, ROWS)
        second = control_stream.make_sheet(
            "two", len(self.stream.bodies) + 1, OTHER_ROWS
        )
        outcomes = self.stream.append("a", first, second)
        self.assertIn("cannot become the version", outcomes[1].reason)
        self.assertEqual(self.max_unavailable(), 2)

    def test_only_the_last_publications_are_kept(self):
        for number in range(sheets.ACCEPTED_KEPT + 5):
            self.publish(f"p{number}", self.sheets.version("owner"), ROWS)
            self.stream.reject("a", control_stream.make_sheet(f"r{number}", 0, ROWS))
        self.assertEqual(len(self.sheets.rejected), sheets.REJECTED_KEPT)
        kept = [self.sheets.is_accepted(name) for name in ("p4", "p5")]
        self.assertEqual(kept, [False, True])
