"""Tests of :mod:`standins.log_service`."""

import http.client
import json
import threading
import unittest

import cbor2

from standins import log_service, serving


class LogServiceTest(unittest.TestCase):
    """The stand-in must follow the log's protocol.

    Otherwise faults in the code under test would not be found.
    """

    def setUp(self):
        application = log_service.LogService(
            retention_s=60.0, appends_per_second=100_000.0
        )
        self.server = serving.Server(host="127.0.0.1", port=0, application=application)
        self.server.start()
        self.addCleanup(self.server.close)

    def send(self, method, path, body=b"", client=""):
        connection = http.client.HTTPConnection("127.0.0.1", self.server.port, 15)
        self.addCleanup(connection.close)
        connection.request(method, path, body, {"Client-Name": client})
        response = connection.getresponse()
        return response.status, response.read()

    def append(self, body, client=""):
        return self.send("POST", "/streams/s/records", body, client)

    def read(self, query=""):
        status, body = self.send("GET", f"/streams/s/records{query}")
        self.assertEqual(status, 200)
        return cbor2.loads(body)

    def control(self, **order):
        status, body = self.send("POST", "/control", json.dumps(order))
        self.assertEqual(status, 200)
        return json.loads(body)

    def test_offsets_continue_after_records_have_expired(self):
        for number in range(3):
            self.append(b"%d" % number)
        self.control(expire_before=3)
        self.assertEqual(self.read(), {"first": 3, "next": 3, "records": []})
        self.assertEqual(json.loads(self.append(b"x")[1]), {"offset": 3})
        self.assertEqual(self.read()["records"], [[3, b"x"]])

    def test_long_poll_returns_when_a_record_is_appended(self):
        responses = []
        reader = threading.Thread(
            target=lambda: responses.append(self.read("?from=0&wait_ms=10000"))
        )
        reader.start()
        self.append(b"late")
        reader.join(9)
        self.assertEqual(responses[0]["records"], [[0, b"late"]])

    def test_record_is_stored_although_its_response_is_lost(self):
        self.control(mode="lose_answers", count=1)
        with self.assertRaises((http.client.HTTPException, OSError)):
            self.append(b"a")
        self.assertEqual(self.append(b"b")[0], 200)
        self.assertEqual(self.read()["records"], [[0, b"a"], [1, b"b"]])

    def test_failure_for_one_client_does_not_affect_the_others(self):
        self.control(mode="down", clients=["entry-1"])
        self.assertEqual(self.append(b"a", "entry-1")[0], 503)
        self.assertEqual(self.append(b"a", "entry-2")[0], 200)
        self.control(mode="up")
        self.assertEqual(self.append(b"a", "entry-1")[0], 200)

    def test_too_large_records_are_refused_and_responses_are_limited_in_size(self):
        limit = log_service.RECORD_LIMIT_BYTES
        self.assertEqual(self.append(b"x" * (limit + 1))[0], 413)
        for _ in range(2):
            self.append(b"x" * limit)
        self.assertEqual(len(self.read()["records"]), 1)

    def test_appends_above_the_rate_are_delayed(self):
        rate = log_service.AppendRateLimiter(per_second=10.0)
        waits = [rate.reserve_token(100.0) for _ in range(log_service.APPEND_BURST + 2)]
        self.assertEqual(waits[log_service.APPEND_BURST - 1], 0.0)
        self.assertAlmostEqual(waits[-1], 0.2)
