"""Tests of ``docs/CAPACITY.md``.

The page must cover every figure of the size that is expected in two years, every role,
and the designs whose cost is in doubt.
"""

import json
import pathlib
import re
import unittest

DOCS = pathlib.Path(__file__).parent.parent / "docs"
PAGE = DOCS / "CAPACITY.md"
EXPECTED_FIGURES = (
    "840 workers",
    "940 accelerators",
    "70 pools",
    "once in 6 weeks",
    "120 teams with quotas",
    "1.5 s",
    "2 regions",
    "8 data centres",
    "3,100 configuration changes",
    "14 s",
    "2.7 %",
    "32 MB",
    "8 KB",
    "5 instances fail",
    "72 are restarted or replaced",
    "a rack or switch fails every month or two",
    "a data centre every other month",
    "regions lose contact with each other for an hour",
    "several hundred appends a second",
)
ROLES = (
    "entry instance",
    "maintenance planner and job placer",
    "operator's tool",
    "platform's log",
    "worker",
    "backend server",
)
DESIGNS_IN_DOUBT = ("full mesh", "whole-state broadcast", "everyone reads everything")


class CapacityPageTest(unittest.TestCase):
    """A figure or role that the page omits would be a limit that nobody checked."""

    @classmethod
    def setUpClass(cls):
        cls.text = PAGE.read_text()
        cls.text_without_line_breaks = " ".join(cls.text.split())

    def test_page_has_every_figure_of_the_size_in_two_years(self):
        for figure in EXPECTED_FIGURES:
            with self.subTest(figure=figure):
                self.assertIn(figure, self.text_without_line_breaks)

    def test_page_has_a_section_for_every_role_and_design(self):
        headings = [
            line.lstrip("# ").lower()
            for line in self.text.splitlines()
            if line.startswith("#")
        ]
        for name in (*ROLES, *DESIGNS_IN_DOUBT):
            with self.subTest(name=name):
                found = [heading for heading in headings if name in heading]
                self.assertTrue(found, headings)

    def test_every_linked_file_exists_and_the_page_has_its_command(self):
        links = set(re.findall(r"\((?:data|plots)/[^)]+\)", self.text))
        self.assertGreaterEqual(len(links), 8)
        for link in links:
            path = DOCS / link.strip("()")
            with self.subTest(path=path):
                self.assertTrue(path.is_file())
                if path.suffix == ".json":
                    command = json.loads(path.read_text())["command"]
                    self.assertIn(command, self.text_without_line_breaks)

    def test_every_fit_is_based_on_four_sizes_or_more(self):
        for path in (DOCS / "data").glob("capacity-*.json"):
            for sweep in json.loads(path.read_text())["sweeps"]:
                with self.subTest(path=path.name, sweep=sweep["sweep"]):
                    if sweep["fits"]:
                        sizes = {row[sweep["size"]] for row in sweep["rows"]}
                        self.assertGreaterEqual(len(sizes), 4)
                    for fit in sweep["fits"]:
                        self.assertIn("residual", fit)


if __name__ == "__main__":
    unittest.main()
