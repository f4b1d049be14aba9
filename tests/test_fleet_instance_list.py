"""Tests for cranberryport.fleet.instance_list."""

import json
import unittest

from cranberryport.fleet import instance_list

VALID = {
    "name": "sizing-1",
    "kind": "backend_server",
    "status": "live",
    "service": "sizing",
    "host": "127.0.0.1",
    "port": 8080,
    "slots": 8,
}


class ReadListTest(unittest.TestCase):
    """Lists of instances with odd entries."""

    def test_odd_entry_hides_no_other_one(self):
        """Guards against a list that is not read any more because of one entry."""
        odd = [
            3,
            {"name": 5},
            VALID | {"name": "a", "port": 99999},
            VALID | {"name": "b", "host": "worker.example"},
            VALID | {"name": "c", "slots": "8"},
            VALID | {"name": "d", "service": None},
        ]
        body = json.dumps({"as_of": 5, "instances": [*odd, VALID]})
        with self.assertLogs(level="WARNING") as logs:
            as_of, entries = instance_list.read_list(body)
        self.assertEqual((as_of, list(entries)), (5.0, ["sizing-1"]))
        self.assertEqual(len(logs.records), len(odd))

    def test_body_that_is_no_list_is_an_error(self):
        """Guards against an exception that ends the polls."""
        bodies = (
            b"[" * 100_000,
            b"[]",
            b"{}",
            b"\xff",
            b'{"as_of": 1e400, "instances": 3}',
            b'{"as_of": "x", "instances": []}',
            b'{"as_of": 1' + b"0" * 400 + b', "instances": []}',
        )
        for body in bodies:
            with self.subTest(body=body[:20]), self.assertRaises(ValueError):
                instance_list.read_list(body)
