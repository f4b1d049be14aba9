"""Keys of organisations in entry instances that run against the stand-in platform."""

import pathlib
import tempfile
import unittest

from standins import calls
from standins.platform import local_deployment

# Ends a test that hangs; no test depends on the value.
HANG_LIMIT_S = 30.0
KEYS = {"a": ["secret-a"], "b": ["secret-b"]}
STEP = {"count": 1, "processors": 100, "memory": 10, "ms": 10}


class KeysTest(unittest.TestCase):
    """Requests with keys through all processes."""

    def setUp(self):
        """Start a deployment with the keys of two organisations."""
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.directory = pathlib.Path(directory.name)
        self.deployment = local_deployment.LocalDeployment(
            directory=self.directory,
            pools={"p": 1, "spare": 1},
            make_settings=lambda name, addresses: {"revocation_limit_ms": 5000.0},
        )
        self.addCleanup(self.deployment.stop)
        self.deployment.start()
        self.entry = self.deployment.entries[0]
        self.job_id, self.body = local_deployment.make_job_request(STEP)
        self._configure(2, KEYS)
        self._wait_for_status(401, "GET")

    def _configure(self, version, keys):
        organisations = [
            {"Name": name, "ApiKeys": listed, "Weight": 1}
            for name, listed in keys.items()
        ]
        self.deployment.send_order(
            "configure", version=version, organisations=organisations
        )

    def _send(self, method, key=None, job_id=None):
        headers = {"Host": "fleet.example"}
        if key is not None:
            headers["Authorization"] = f"Token {key}"
        return calls.send_request(
            self.entry.front_port,
            method,
            f"/p/{job_id or self.job_id}",
            headers=headers,
            body=self.body if method == "POST" else b"",
        )

    def _wait_for_status(self, status, method, key=None):
        """Wait until a request gets a status; the controller may not be ready yet."""
        calls.wait_until(
            lambda: self._send(method, key).status == status,
            HANG_LIMIT_S,
            f"{method} gets {status}",
        )

    def test_keys_reach_their_own_jobs_until_they_are_withdrawn(self):
        """Guards against parts that do not agree about organisations."""
        self.assertEqual(self._send("POST").status, 401)
        self._wait_for_status(200, "POST", "secret-a")
        self._wait_for_status(200, "GET", "secret-a")
        self._wait_for_status(410, "GET", "secret-b")
        self._wait_for_status(410, "DELETE", "secret-b")
        self._wait_for_status(403, "POST", "secret-b")
        self._configure(3, {"a": ["secret-c"], "b": ["secret-b"]})
        self._wait_for_status(401, "GET", "secret-a")
        self._wait_for_status(200, "GET", "secret-c")
        self.deployment.stop()
        for path in self.directory.iterdir():
            self.assertNotIn("secret-", path.read_text(errors="replace"), path)

    def test_instance_without_the_store_refuses_keys_and_is_not_ready(self):
        """Guards against a key that is served although it may be withdrawn."""
        self._wait_for_status(200, "POST", "secret-a")
        self._wait_for_status(200, "GET", "secret-a")
        self.deployment.send_order("store", is_down=True)
        self._wait_for_status(503, "GET", "secret-a")
        self._wait_for_status(503, "GET", "unknown")
        self.assertFalse(self.entry.is_ready())
        self.deployment.send_order("store")
        self._wait_for_status(200, "GET", "secret-a")
        self._wait_for_status(401, "GET", "unknown")
        self.deployment.wait_until_ready()
