"""Tests of :mod:`cranberryport.observability.logs`."""

import io
import json
import logging
import unittest

from cranberryport.observability import logs


class LogsTest(unittest.TestCase):
    """Log lines are JSON and contain no secrets of callers."""

    def setUp(self):
        root = logging.getLogger()
        self.addCleanup(root.setLevel, root.level)
        self.addCleanup(root.handlers.__setitem__, slice(None), root.handlers[:])
        self.stream = io.StringIO()
        logs.configure(instance="entry-1", stream=self.stream)

    def lines(self):
        return [json.loads(line) for line in self.stream.getvalue().splitlines()]

    def test_only_known_fields_are_written(self):
        """Guards against keys and bodies in the log, and against broken lines."""
        extra = {"request": "r1", "offset": 7, "key": "secret", "body": b"secret"}
        logging.getLogger("a").info("folded %s", "x\ny", extra=extra)
        (line,) = self.lines()
        self.assertRegex(line.pop("time"), r"^\d{4}-\d\d-\d\dT[0-9:.]{12}\+00:00$")
        expected = {"level": "INFO", "message": "folded x\ny", "instance": "entry-1"}
        self.assertEqual(line, {**expected, "request": "r1", "offset": 7})

    def test_text_of_an_exception_is_left_out(self):
        """Guards against a value of a caller in the log, quoted by an exception."""
        try:
            int("secret")
        except ValueError:
            logging.getLogger("a").exception("cannot read")
        (line,) = self.lines()
        self.assertIn("ValueError", line["exc_info"])
        self.assertIn("test_logs.py", line["exc_info"])
        # The traceback has the source line with "secret", so this looks for the
        # exception's own text.
        self.assertNotIn("invalid literal", line["exc_info"])

    def test_lines_below_the_level_are_not_written(self):
        """Guards against debug lines at the default level."""
        logging.getLogger("a").debug("detail")
        self.assertEqual(self.lines(), [])
