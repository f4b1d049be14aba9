"""Tests of :mod:`cranberryport.command_line.explaining`."""

import json
import unittest

from typer import testing

from cranberryport.command_line import explaining, main


def make_line(time, event, **fields):
    """Return a log line with a prefix as a log collector adds it."""
    body = {"time": time, "level": "INFO", "event": event, "instance": "e1", **fields}
    return f"{time} e1 {json.dumps(body)}"


LINES = [
    make_line(5.0, "run ended", task="abc.0.0.1", how="failed"),
    make_line(1.0, "job accepted", request="abc"),
    "no JSON at all",
    make_line(2.0, "run start", request="abc", task="abc.0.0.1"),
    make_line(3.0, "controller role lost", epoch=3),
    make_line(9.0, "controller role gained", epoch=4),
    make_line(2.5, "job accepted", request="other"),
]


class ExplainTest(unittest.TestCase):
    """Operators use the command to find out why a job was delayed or failed."""

    def test_events_are_in_order_of_time_with_changes_of_the_controller(self):
        """Guards against an output that omits the cause of a delay."""
        event_lines = explaining.explain_request(LINES, "abc")
        columns = [line.split("  ")[2:] for line in event_lines]
        texts = [" ".join(cell for cell in line if cell) for line in columns]
        self.assertIn("job accepted", texts[0])
        self.assertIn("run start", texts[1])
        self.assertIn("controller role lost", texts[2])
        self.assertIn("how=failed", texts[3])
        self.assertEqual(len(event_lines), 4)

    def test_unknown_request_gives_an_error(self):
        """Guards against an empty output for a mistyped id."""
        result = testing.CliRunner().invoke(
            main.app, ["explain", "zzz"], input="\n".join(LINES)
        )
        self.assertEqual(result.exit_code, main.EXIT_FAILED)
        self.assertIn("'zzz'", result.output)

    def test_reads_log_lines_from_standard_input(self):
        """Guards against a tool that cannot be used in a pipe after a log collector."""
        result = testing.CliRunner().invoke(
            main.app, ["explain", "abc"], input="\n".join(LINES)
        )
        self.assertEqual(result.exit_code, 0)
        self.assertEqual(len(result.output.splitlines()), 4)
