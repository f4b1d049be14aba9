"""Tests of :mod:`standins.instance_list`."""

import json
import time
import unittest
import urllib.error
import urllib.request

from standins import backend_server, instance_list, serving


class InstanceListTest(unittest.TestCase):
    """Waves rely on the order of the statuses during a reboot."""

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

    def send(self, path, order=None):
        url = f"http://127.0.0.1:{self.server.port}{path}"
        data = None if order is None else json.dumps(order).encode()
        try:
            with urllib.request.urlopen(url, data, timeout=10) as answer:
                return answer.status, json.loads(answer.read())
        except urllib.error.HTTPError as error:
            with error:
                return error.code, json.loads(error.read())

    def status(self):
        return self.send("/instances")[1]["instances"][0]["status"]

    def test_reboot_leaves_and_returns_once(self):
        self.assertEqual(self.send("/instances/sizing-1/reboot", {})[0], 202)
        self.assertEqual(self.status(), "leaving")
        self.send("/instances/sizing-1/reboot", {})
        deadline = time.monotonic() + 10
        while self.status() != "live" and time.monotonic() < deadline:
            time.sleep(0.05)
        self.assertEqual(self.status(), "live")
        self.assertEqual(self.backend.describe()["reboots"], 1)

    def test_unknown_name_is_refused(self):
        status, answer = self.send("/instances/nothing/reboot", {})
        self.assertEqual(status, 404)
        self.assertIn("'nothing'", answer["error"])

    def test_lag_shows_an_old_list(self):
        self.send("/control", {"lag_s": 60})
        self.send("/control", {"status": {"sizing-1": "failed"}})
        self.assertEqual(self.status(), "live")
        self.send("/control", {"lag_s": 0})
        self.assertEqual(self.status(), "failed")

    def test_down(self):
        self.send("/control", {"mode": "down"})
        self.assertEqual(self.send("/instances")[0], 503)
