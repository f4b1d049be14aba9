"""Tests of :mod:`cranberryport.observability.node_logs`."""

import json
import logging
import sys
import unittest

from cranberryport.observability import node_logs


class FormatterTest(unittest.TestCase):
    """Log lines are JSON and contain no secrets of callers."""

    def test_text_of_an_exception_is_left_out(self):
        """Guards against a value of a caller in the log, quoted by an exception."""
        try:
            int("secret")
        except ValueError:
            record = logging.makeLogRecord(
                {"msg": "record not applied", "key": "b", "exc_info": sys.exc_info()}
            )
        line = json.loads(node_logs.Formatter(instance="entry-1").format(record))
        self.assertEqual(line["event"], "record not applied")
        self.assertEqual(line["key"], "b")
        self.assertIn("ValueError", line["exc_info"])
        self.assertIn("test_node_logs.py", line["exc_info"])
        # The traceback has the source line with "secret", so this looks for the
        # exception's own text.
        self.assertNotIn("invalid literal", line["exc_info"])
