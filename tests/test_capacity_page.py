"""Tests of ``docs/CAPACITY.md``, which must cover the whole two-year size."""

import json
import pathlib
import re
import unittest

DOCS = pathlib.Path(__file__).parent.parent / "docs"
PAGE = DOCS / "CAPACITY.md"
SIZE = (
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
DESIGNS = ("full mesh", "whole-state broadcast", "everyone reads everything")


class CapacityPageTest(unittest.TestCase):
    """A figure or role left out of the page would be a bound nobody checked."""

    @classmethod
    def setUpClass(cls):
        cls.text = PAGE.read_text()
        cls.flowing = " ".join(cls.text.split())

    def test_names_every_figure_of_the_two_year_size(self):
        for figure in SIZE:
            with self.subTest(figure=figure):
                self.assertIn(figure, self.flowing)

    def test_has_a_section_for_every_role_and_doubted_design(self):
        headings = [
            line.lstrip("# ").lower()
            for line in self.text.splitlines()
            if line.startswith("#")
        ]
        for name in (*ROLES, *DESIGNS):
            with self.subTest(name=name):
                found = [heading for heading in headings if name in heading]
                self.assertTrue(found, headings)

    def test_every_quoted_file_exists_and_its_command_is_named(self):
        quoted = set(re.findall(r"\((?:data|plots)/[^)]+\)", self.text))
        self.assertGreaterEqual(len(quoted), 8)
        for link in quoted:
            path = DOCS / link.strip("()")
            with self.subTest(path=path):
                self.assertTrue(path.is_file())
                if path.suffix == ".json":
                    command = json.loads(path.read_text())["command"]
                    self.assertIn(command, self.flowing)

    def test_every_slope_has_four_sizes_or_more(self):
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
