"""Tests for cranberryport.command_line.explaining."""

import json
import unittest

from typer import testing

from cranberryport.command_line import explaining, main


def line(time, event, **fields):
    """Return a log line with the prefix of a collector."""
    body = {"time": time, "level": "INFO", "event": event, "instance": "e1", **fields}
    return f"{time} e1 {json.dumps(body)}"


LINES = [
    line(5.0, "run ended", task="abc.0.0.1", how="failed"),
    line(1.0, "job accepted", request="abc"),
    "no JSON at all",
    line(2.0, "run start", request="abc", task="abc.0.0.1"),
    line(3.0, "controller role lost", epoch=3),
    line(9.0, "controller role gained", epoch=4),
    line(2.5, "job accepted", request="other"),
]


class ExplainTest(unittest.TestCase):
    """The story of one request."""

    def test_steps_are_told_in_order_with_changes_of_the_controller(self):
        """Guards against a story that lacks the cause of a delay."""
        story = explaining.explain_request(LINES, "abc")
        events = [step.split("  ")[2:] for step in story]
        texts = [" ".join(part for part in step if part) for step in events]
        self.assertIn("job accepted", texts[0])
        self.assertIn("run start", texts[1])
        self.assertIn("controller role lost", texts[2])
        self.assertIn("how=failed", texts[3])
        self.assertEqual(len(story), 4)

    def test_unknown_request_is_told(self):
        """Guards against an empty answer for a mistyped id."""
        result = testing.CliRunner().invoke(
            main.app, ["explain", "zzz"], input="\n".join(LINES)
        )
        self.assertEqual(result.exit_code, main.EXIT_FAILED)
        self.assertIn("'zzz'", result.output)

    def test_reads_standard_input(self):
        """Guards against a tool that cannot stand behind a log collector."""
        result = testing.CliRunner().invoke(
            main.app, ["explain", "abc"], input="\n".join(LINES)
        )
        self.assertEqual(result.exit_code, 0)
        self.assertEqual(len(result.output.splitlines()), 4)
