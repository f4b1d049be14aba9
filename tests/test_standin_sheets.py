"""Tests of :mod:`standins.sheets`."""

import datetime
import pathlib
import tempfile
import unittest

from cranberryport.sheet import reader
from standins import fleet, sheets


class SheetsTest(unittest.TestCase):
    """A sheet with limits of the time of day would make scenarios fail at night."""

    def test_copy_leaves_settings_out_and_adds_rows(self):
        source = fleet.ROOT / "deployments" / "brazos" / "team.csv"
        with tempfile.TemporaryDirectory() as directory:
            target = pathlib.Path(directory) / "team.csv"
            rows = ["team,desk,cutting,weight,7,"]
            sheets.copy_sheet(
                source, target, without=sheets.TIME_OF_DAY_SETTINGS, rows=rows
            )
            sheet = reader.read_sheet(target)
        self.assertEqual(sheet.findings, [])
        settings = {row.setting for row in sheet.rows}
        self.assertTrue(settings.isdisjoint(sheets.TIME_OF_DAY_SETTINGS))
        self.assertEqual(sheet.rows[-1].value, "7")

    def test_intent_lasts_at_the_end_of_a_day(self):
        evening = datetime.datetime(2026, 12, 4, 23, 59, 30)
        self.assertEqual(sheets.publication_day(evening), "2026-12-05")
        noon = datetime.datetime(2026, 12, 4, 12, 0)
        self.assertEqual(sheets.publication_day(noon), "2026-12-04")
