"""Tests of the stand-in for the platform's list, :mod:`standins.instance_list`."""

import json
import time
import unittest
import urllib.error
import urllib.request

from standins import backend_server, instance_list, serving


class InstanceListTest(unittest.TestCase):
    """Guards against wrong statuses in the list, on which other tests rely."""

    def setUp(self):
        self.backend = backend_server.BackendServer(
            name="sizing-1", host="127.0.0.1", port=0, slots=8
        )
        self.addCleanup(self.backend.close)
        control = backend_server.Control(servers={"sizing-1": self.backend})
        self.control_server = self.serve(control)
        instance = {
            "name": "sizing-1",
            "kind": "backend_server",
            "host": "127.0.0.1",
            "port": self.backend.port,
            "control_port": self.control_server.port,
        }
        self.list = instance_list.InstanceList(
            instances=[instance], lag_s=0.0, reboot_s=0.2
        )
        self.server = self.serve(self.list)

    def serve(self, application):
        server = serving.Server(host="127.0.0.1", port=0, application=application)
        server.start()
        self.addCleanup(server.close)
        return server

    def send(self, path, body=None):
        url = f"http://127.0.0.1:{self.server.port}{path}"
        data = None if body is None else json.dumps(body).encode()
        try:
            with urllib.request.urlopen(url, data, timeout=10) as response:
                return response.status, json.loads(response.read())
        except urllib.error.HTTPError as error:
            with error:
                return error.code, json.loads(error.read())

    def status(self):
        return self.send("/instances")[1]["instances"][0]["status"]

    def test_repeated_reboot_request_reboots_once(self):
        self.assertEqual(self.send("/instances/sizing-1/reboot", {})[0], 202)
        self.assertEqual(self.status(), "leaving")
        self.send("/instances/sizing-1/reboot", {})
        deadline = time.monotonic() + 10
        while self.status() != "live" and time.monotonic() < deadline:
            time.sleep(0.05)
        self.assertEqual(self.status(), "live")
        self.assertEqual(self.backend.describe()["reboots"], 1)

    def test_reboot_of_an_unknown_instance_is_refused(self):
        status, response = self.send("/instances/nothing/reboot", {})
        self.assertEqual(status, 404)
        self.assertIn("'nothing'", response["error"])

    def test_lag_delays_the_listed_statuses(self):
        self.send("/control", {"lag_s": 60})
        self.send("/control", {"status": {"sizing-1": "failed"}})
        self.assertEqual(self.status(), "live")
        self.send("/control", {"lag_s": 0})
        self.assertEqual(self.status(), "failed")

    def test_list_is_unavailable_in_mode_down(self):
        self.send("/control", {"mode": "down"})
        self.assertEqual(self.send("/instances")[0], 503)
