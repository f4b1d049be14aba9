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

    def explain(self, *lines):
        """Return the lines of the output for the request ``abc``."""
        return explaining.explain_request(lines, "abc")

    def test_restriction_of_the_organisation_from_before_the_job_is_shown(self):
        """Guards against a late job whose cause began before its first line."""
        event_lines = self.explain(
            make_line(1.0, "organisation over its share", organisation="alpha"),
            make_line(2.0, "organisation within its share", organisation="alpha"),
            make_line(3.0, "organisation at its limit", organisation="alpha"),
            make_line(3.5, "organisation at its limit", organisation="beta"),
            make_line(4.0, "job accepted", request="abc", organisation="alpha"),
            make_line(5.0, "organisation below its limit", organisation="alpha"),
            make_line(6.0, "job ended", request="abc"),
            make_line(7.0, "organisation over its share", organisation="alpha"),
        )
        self.assertEqual(len(event_lines), 4)
        self.assertTrue(event_lines[0].startswith("   -1.000"))
        self.assertIn("organisation 'alpha' is at its limit", event_lines[0])
        self.assertIn("below its limit again", event_lines[2])

    def test_events_of_organisations_are_left_out_if_the_job_has_none(self):
        """Guards against causes that have nothing to do with the job."""
        event_lines = self.explain(
            make_line(1.0, "job accepted", request="abc"),
            make_line(2.0, "organisation at its limit", organisation="alpha"),
            make_line(3.0, "job ended", request="abc"),
        )
        self.assertEqual(len(event_lines), 2)

    def test_sentence_stands_before_the_fields(self):
        """Guards against an explanation that hides the figures it rests on."""
        (line,) = self.explain(
            make_line(
                1.0,
                "request refused",
                request="abc",
                status=401,
                configuration=7,
                proof_age_s=0.4,
            )
        )
        self.assertIn("a key that is not valid in configuration 7, proven", line)
        self.assertTrue(line.endswith("(status=401 configuration=7 proof_age_s=0.4)"))

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
