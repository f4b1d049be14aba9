"""Tests of :mod:`standins.backend_server`."""

import http.client
import json
import socket
import threading
import time
import unittest

from standins import backend_server


class BackendServerTest(unittest.TestCase):
    """Scenarios compare outcomes with the executions that the server records.

    A wrong record would let a scenario pass that should fail.
    """

    def setUp(self):
        self.server = backend_server.BackendServer(
            name="cutting-1", host="127.0.0.1", port=0, slots=1
        )
        self.addCleanup(self.server.close)

    def connect(self, timeout_s=5):
        connection = http.client.HTTPConnection(
            "127.0.0.1", self.server.port, timeout_s
        )
        self.addCleanup(connection.close)
        return connection

    def send(self, connection=None, **headers):
        headers = {name.replace("_", "-"): value for name, value in headers.items()}
        connection = connection or self.connect()
        connection.request("POST", "/cut", b"x", {"Request-Id": "r1", **headers})
        response = connection.getresponse()
        return response, response.read()

    def test_response_has_the_request_id_and_the_execution_is_recorded(self):
        response, body = self.send(Idempotency_Key="k")
        self.assertEqual(response.headers["Request-Id"], "r1")
        self.assertEqual(json.loads(body)["request_id"], "r1")
        (execution,) = self.server.describe()["executions"]
        self.assertEqual(execution["idempotency_key"], "k")
        self.assertFalse(execution["cut"])

    def test_refused_request_is_not_executed(self):
        response, _ = self.send(Test_Fail="refuse")
        self.assertEqual(response.status, 503)
        self.assertEqual(response.headers["Request-Refused"], "before-execution")
        self.assertEqual(self.server.describe()["executions"], [])

    def test_failures_cut_close_error_and_missing_length(self):
        with self.assertRaises(http.client.IncompleteRead):
            self.send(Test_Fail="cut")
        with self.assertRaises(http.client.RemoteDisconnected):
            self.send(Test_Fail="close")
        self.assertEqual(len(self.server.describe()["executions"]), 1)
        self.assertEqual(self.send(Test_Fail="error")[0].status, 500)
        self.assertIsNone(self.send(Test_Fail="no-length")[0].headers["Content-Length"])

    def test_failure_twice_sends_two_responses_to_one_request(self):
        # Scenarios on a response to the wrong request need the second response.
        for number, failure in enumerate(("twice", "twice-late", "twice-late-unnamed")):
            with self.subTest(failure):
                self.receive_two_responses(failure)
                self.assertEqual(len(self.server.describe()["executions"]), number + 1)

    def test_failure_crossed_sends_the_response_of_the_previous_request(self):
        _, first = self.send(Request_Id="r1")
        response, body = self.send(Request_Id="r2", Test_Fail="crossed")
        self.assertEqual(response.headers["Request-Id"], "r1")
        self.assertEqual(body, first)

    def receive_two_responses(self, failure):
        request = f"GET / HTTP/1.1\r\nHost: a\r\nTest-Fail: {failure}\r\n\r\n".encode()
        received = b""
        address = ("127.0.0.1", self.server.port)
        with socket.create_connection(address, timeout=10) as connection:
            connection.sendall(request)
            while received.count(b"HTTP/1.1 200") < 2:
                data = connection.recv(65536)
                self.assertTrue(data, received)
                received += data

    def test_forgotten_connections_get_no_response_and_new_ones_work(self):
        connection = self.connect(timeout_s=0.3)
        self.send(connection)
        self.server.apply_order({"forget_connections": True})
        with self.assertRaises(TimeoutError):
            self.send(connection)
        self.assertEqual(self.send()[0].status, 200)

    def test_reboot_records_interrupted_requests_and_reopens_the_same_port(self):
        port = self.server.port
        caller = threading.Thread(target=self.send_expecting_no_response)
        caller.start()
        _wait_for(lambda: self.server.describe()["running"])
        self.server.apply_order({"reboot_s": 0.05})
        with self.assertRaises(ConnectionRefusedError):
            self.send()
        caller.join(5)
        self.assertEqual(len(self.server.describe()["cut"]), 1)
        _wait_for(self.is_accepting)
        self.assertEqual(self.server.port, port)

    def test_more_concurrent_requests_than_slots_are_recorded(self):
        callers = [
            threading.Thread(target=self.send, kwargs={"Test_Delay_Ms": "300"})
            for _ in range(2)
        ]
        for caller in callers:
            caller.start()
        for caller in callers:
            caller.join(5)
        description = self.server.describe()
        self.assertEqual(description["max_concurrency"], 2)
        self.assertEqual(description["overruns"], 1)

    def send_expecting_no_response(self):
        with self.assertRaises((http.client.HTTPException, OSError)):
            self.send(Test_Delay_Ms="5000")

    def is_accepting(self):
        try:
            return self.send()[0].status == 200
        except OSError:
            return False


def _wait_for(condition):
    deadline = time.monotonic() + 10
    while not condition():
        if time.monotonic() > deadline:
            raise AssertionError("condition not met within 10 s")
        time.sleep(0.01)
