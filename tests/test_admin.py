"""Tests of :mod:`cranberryport.observability.admin`."""

import json
import unittest

from cranberryport.observability import admin
from tests import loopback


class AdminTest(unittest.TestCase):
    """Administration paths give current data, or an error with what is allowed."""

    def setUp(self):
        self.position = 1
        providers = {
            "/-/status": lambda: {"position": self.position},
            "/-/broken": lambda: 1 / 0,
        }
        self.thread = loopback.ServerThread([admin.Admin(providers=providers)])
        self.addCleanup(self.thread.stop)

    def request(self, method, path):
        with self.thread.connect() as sock:
            sock.sendall(f"{method} {path} HTTP/1.1\r\nHost: a\r\n\r\n".encode())
            return loopback.read_response(sock, has_body=method != "HEAD")

    def test_provider_is_called_at_each_request(self):
        """Guards against showing the data of an earlier request."""
        for self.position in (1, 2):
            status, headers, body = self.request("GET", "/-/status?json")
            self.assertEqual((status, headers["request-outcome"]), (200, "answered"))
            self.assertEqual(json.loads(body), {"position": self.position})
        self.assertEqual(self.request("HEAD", "/-/status")[0], 200)

    def test_errors_list_the_allowed_paths_and_methods(self):
        """Guards against errors that do not tell an operator what to do."""
        cases = [
            ("GET", "/-/nothing", 404, "'/-/nothing'; allowed: /-/broken, /-/status"),
            ("GET", "/-", 404, "'/-'; allowed"),
            ("POST", "/-/status", 405, "'POST'; allowed: GET, HEAD"),
        ]
        for method, path, status, quoted in cases:
            with self.subTest(path=path):
                response = self.request(method, path)
                self.assertEqual(response[0], status)
                self.assertEqual(response[1]["request-outcome"], "not-run")
                self.assertIn(quoted, json.loads(response[2])["reason"])

    def test_exception_of_a_provider_gives_500(self):
        """Guards against a request without response when a provider raises."""
        with self.assertLogs("cranberryport.http.server"):
            self.assertEqual(self.request("GET", "/-/broken")[0], 500)
