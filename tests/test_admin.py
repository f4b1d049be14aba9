"""Tests of :mod:`cranberryport.observability.admin`."""

import json
import unittest

from cranberryport.observability import admin
from tests import loopback


class AdminTest(unittest.TestCase):
    """Operators must get present data or one clear error."""

    def setUp(self):
        self.position = 1
        providers = {
            "/-/status": lambda: {"position": self.position},
            "/-/broken": lambda: 1 / 0,
        }
        self.thread = loopback.ServerThread([admin.Admin(providers=providers)])
        self.addCleanup(self.thread.stop)

    def ask(self, method, path):
        with self.thread.connect() as sock:
            sock.sendall(f"{method} {path} HTTP/1.1\r\nHost: a\r\n\r\n".encode())
            return loopback.read_response(sock, has_body=method != "HEAD")

    def test_data_is_read_at_each_request(self):
        for self.position in (1, 2):
            status, headers, body = self.ask("GET", "/-/status?json")
            self.assertEqual((status, headers["request-outcome"]), (200, "answered"))
            self.assertEqual(json.loads(body), {"position": self.position})
        self.assertEqual(self.ask("HEAD", "/-/status")[0], 200)

    def test_errors_list_what_is_allowed(self):
        cases = [
            ("GET", "/-/nothing", 404, "'/-/nothing'; allowed: /-/broken, /-/status"),
            ("GET", "/-", 404, "'/-'; allowed"),
            ("POST", "/-/status", 405, "'POST'; allowed: GET, HEAD"),
        ]
        for method, path, status, quoted in cases:
            with self.subTest(path=path):
                answer = self.ask(method, path)
                self.assertEqual(answer[0], status)
                self.assertEqual(answer[1]["request-outcome"], "not-run")
                self.assertIn(quoted, json.loads(answer[2])["reason"])

    def test_failing_provider_gives_500(self):
        with self.assertLogs("cranberryport.http.server"):
            self.assertEqual(self.ask("GET", "/-/broken")[0], 500)
