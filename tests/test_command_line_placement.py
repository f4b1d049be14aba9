"""Tests of :mod:`cranberryport.command_line.placement`."""

import pathlib
import socket
import tempfile
import unittest

from typer import testing

from cranberryport.command_line import main, placement

PAGE = {
    "queue": "q",
    "pool": "p",
    "organisation": "alpha",
    "is_admitted": False,
    "retry_after_s": 2,
    "reason": "backlog",
    "jobs_ahead": 3,
    "executors": 5,
    "steps": [
        {
            "step": 0,
            "executors": ["e1", None, None],
            "remote": 1,
            "limited": 1,
            "ruled_out": {"state": 0, "room": 4},
        }
    ],
}


class PlacementTest(unittest.TestCase):
    """Text for operators, and errors that need no controller."""

    def place(self, path):
        """Run the command for a file and an address where nothing listens."""
        with socket.socket() as sock:
            sock.bind(("127.0.0.1", 0))
            address = f"127.0.0.1:{sock.getsockname()[1]}"
            arguments = ["place", address, str(path), "--queue", "q"]
            return address, testing.CliRunner().invoke(main.app, arguments)

    def test_text_names_decision_places_and_reasons(self):
        """Guards against a text that leaves out why a task waits."""
        self.assertEqual(
            placement.render_page(PAGE).splitlines(),
            [
                "queue q, pool p, organisation alpha",
                "rejected: backlog; Retry-After 2",
                "waiting jobs that are served first: 3",
                "step 0: e1",
                "  away from the rack of their data: 1",
                "  tasks that would wait: 2",
                "  of these held back by the limit of the organisation: 1",
                "  ruled out of 5 executors: room 4",
            ],
        )

    def test_admitted_job_without_a_place(self):
        """Guards against a job that waits and is shown as rejected."""
        step = {"step": 0, "executors": [None], "ruled_out": {}}
        page = {**PAGE, "is_admitted": True, "steps": [step]}
        lines = placement.render_page(page).splitlines()
        self.assertEqual(lines[1], "admitted")
        self.assertEqual(lines[3], "step 0: no executor")

    def test_unusable_files_are_named(self):
        """Guards against a traceback, and against a question without a job."""
        with tempfile.TemporaryDirectory() as directory:
            missing = pathlib.Path(directory) / "missing.json"
            broken = pathlib.Path(directory) / "broken.json"
            for content in (b"{", b"\xff"):
                broken.write_bytes(content)
                for path in (missing, broken):
                    _, result = self.place(path)
                    self.assertEqual(result.exit_code, main.EXIT_FINDINGS)
                    self.assertIn(str(path), result.output)

    def test_address_that_cannot_be_reached_is_quoted(self):
        """Guards against an error that does not say what could not be reached."""
        with tempfile.TemporaryDirectory() as directory:
            path = pathlib.Path(directory) / "job.json"
            path.write_text("{}")
            address, result = self.place(path)
        self.assertEqual(result.exit_code, main.EXIT_FAILED)
        self.assertIn(f"cannot connect to {address}", result.output)
