"""Tests of :mod:`cranberryport.sheet.reader` and :mod:`.fields`."""

import pathlib
import tempfile
import unittest

from cranberryport import findings
from cranberryport.sheet import reader

HEADER = "authority,subject,name,setting,value,note\n"


class ReaderTest(unittest.TestCase):
    """An invalid sheet must be rejected with all its problems reported.

    A valid sheet must be read completely, also if a spreadsheet program wrote it.
    """

    def read_sheet(self, data):
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder, "team.csv")
            path.write_bytes(data if isinstance(data, bytes) else data.encode())
            sheet = reader.read_sheet(path)
            return sheet, [str(item).replace(f"{path}", "F") for item in sheet.findings]

    def test_csv_file_of_a_spreadsheet_program_is_read_without_findings(self):
        text = "\ufeff" + HEADER + 'team,pool,sizing,spare,yes,"two\nlines"\n'
        text += "team,desk,shop,class,rush,\n,,,,,\n"
        sheet, lines = self.read_sheet(text.replace("\n", "\r\n"))
        self.assertEqual(lines, [])
        self.assertEqual(sheet.authority, "team")
        self.assertEqual([row.row for row in sheet.rows], [2, 3])

    def test_all_problems_are_reported_together_with_row_and_column(self):
        rows = [
            "team,pool,sizing,spare,maybe,",
            "owner,pool,sizing,spare,no,",
            "team,tool,sizing,spare,no,",
            "team,pool,sizing,size,no,",
            "team,pool,sizing,spare",
            "team,desk,a b,weight,101,",
            "boss,service,jobs,connections,1_0,",
            "team,service,s,at_most_once,/a//b,",
            "team,wave,w,not_before,24:00,",
            "team,wave,w,order,a a,",
        ]
        _, lines = self.read_sheet(HEADER + "\n".join(rows))
        expected = {
            "F:row 2, column value: error": "found 'maybe'; allowed: yes, no",
            "F:row 3, column authority": "found 'owner'; allowed: team",
            "F:row 4, column subject": "allowed: pool, instance, desk, service, wave",
            "F:row 5, column setting": "found 'size'; allowed: service, max_un",
            "F:row 6: error": "found '4 columns'; allowed: 6 columns",
            "F:row 7, column name": "found 'a b'",
            "F:row 7, column value": "found '101'; allowed: a whole number from 1 to",
            "F:row 8, column authority": "found 'boss'; allowed: owner, team",
            "F:row 8, column name": "found 'jobs'",
            "F:row 8, column value": "found '1_0'",
            "F:row 9, column value": "found '/a//b'",
            "F:row 10, column value": "found '24:00'",
            "F:row 11, column value": "found 'a a'",
        }
        for place, text in expected.items():
            with self.subTest(place=place):
                self.assertTrue(
                    any(line.startswith(place) and text in line for line in lines),
                    "\n".join(lines),
                )

    def test_unusable_files_give_an_error_that_names_the_problem(self):
        cases = {
            "the file is empty": b"",
            "has no rows": HEADER,
            "invalid header": HEADER.replace("setting", "key")
            + "team,pool,a,spare,no,\n",
            "invalid UTF-8 at byte": HEADER.encode() + b"team,pool,a,spare,no,\xff\n",
            "too large": HEADER + "x" * reader.FILE_LIMIT_BYTES,
            "sheet is too large": HEADER + "team,pool,a,spare,no,\n" * 16000,
            "invalid CSV": HEADER + 'team,pool,a,spare,no,"x',
        }
        for text, data in cases.items():
            with self.subTest(text=text):
                sheet, lines = self.read_sheet(data)
                self.assertTrue(findings.has_errors(sheet.findings))
                self.assertIn(text, "\n".join(lines))

    def test_conflicting_rows_give_a_warning_that_names_the_row_that_applies(self):
        rows = "team,pool,a,spare,no,\nteam,pool,a,spare,yes,\nteam,pool,a,spare,yes,\n"
        sheet, lines = self.read_sheet(HEADER + rows)
        self.assertFalse(findings.has_errors(sheet.findings))
        self.assertEqual(len(lines), 1)
        self.assertIn("row 3 applies", lines[0])
