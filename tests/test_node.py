"""Tests of cranberryport.node as a process whose store cannot be reached."""

import errno
import http.client
import json
import pathlib
import signal
import socket
import subprocess
import sys
import tempfile
import time
import types
import unittest

from cranberryport import node
from cranberryport.observability import node_metrics
from cranberryport.platform import configuration
from standins import serving
from tests import keyed_front

# Ends a test that hangs; no test depends on the value.
HANG_LIMIT_S = 30.0


class NodeTest(unittest.TestCase):
    """Signals, readiness and refused requests of an entry instance."""

    def setUp(self):
        """Start an entry instance whose store refuses connections."""
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.path = pathlib.Path(directory.name) / "settings.toml"
        self.ports = {
            name: self._reserve_port()
            for name in ("front", "readiness", "metrics", "peer", "store")
        }
        self.text = "\n".join(
            [
                'instance = "entry-1"',
                'data_centre = "a"',
                f'front = "127.0.0.1:{self.ports["front"]}"',
                f'readiness = "127.0.0.1:{self.ports["readiness"]}"',
                'peer_host = "127.0.0.1"',
                f"peer_port = {self.ports['peer']}",
                f"metrics_port = {self.ports['metrics']}",
                f'store = "127.0.0.1:{self.ports["store"]}"',
                "grace_s = 2.0",
            ]
        )
        self.path.write_text(self.text)
        # A pipe that is not read could fill and block the process.
        self.errors = self.enterContext(tempfile.TemporaryFile("w+"))
        self.process = subprocess.Popen(
            [sys.executable, "-m", "cranberryport.node", "--settings", str(self.path)],
            cwd=pathlib.Path(__file__).resolve().parent.parent,
            stdout=subprocess.PIPE,
            stderr=self.errors,
            text=True,
        )
        self.addCleanup(self._kill_process)
        self.read_event("started")

    def _reserve_port(self):
        """Return a port that no other socket gets until the test ends."""
        reservation = serving.reserve_port("127.0.0.1")
        self.addCleanup(reservation.close)
        return reservation.getsockname()[1]

    def _kill_process(self):
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait(HANG_LIMIT_S)
        self.process.stdout.close()

    def read_event(self, event):
        """Return the fields of the next log line with an event."""
        for line in self.process.stdout:
            fields = json.loads(line)
            if fields["event"] == event:
                return fields
        exit_code = self.process.wait(HANG_LIMIT_S)
        self.errors.seek(0)
        raise AssertionError(
            f"the process ended with {exit_code} without the event {event!r}:\n"
            + self.errors.read()
        )

    def get(self, name, path):
        """Return status, headers and body of a GET at one of the ports."""
        client = http.client.HTTPConnection(
            "127.0.0.1", self.ports[name], timeout=HANG_LIMIT_S
        )
        self.addCleanup(client.close)
        client.request("GET", path)
        response = client.getresponse()
        return response.status, dict(response.getheaders()), response.read()

    def test_sighup_reloads_the_settings(self):
        """Guards against a process that is ended by SIGHUP.

        Seen in test runs of the deployment brazos: processes ended with exit code 129.
        """
        self.path.write_text(self.text.replace("grace_s = 2.0", "grace_s = 3.0"))
        self.process.send_signal(signal.SIGHUP)
        self.assertEqual(self.read_event("settings reloaded")["changed"], ["grace_s"])
        self.assertEqual(self.get("readiness", "/")[0], 503)

    def test_unreadable_settings_are_reported_and_change_nothing(self):
        """Guards against a process that ends on a file that is only partly written."""
        self.path.write_text("instance = ")
        self.process.send_signal(signal.SIGHUP)
        found = self.read_event("settings not reloaded")
        self.assertIn("settings.toml", found["reason"])
        self.assertEqual(self.get("readiness", "/")[0], 503)

    def test_instance_without_configuration_refuses_and_is_not_ready(self):
        """Guards against sending callers to an instance that knows no queue."""
        self.assertEqual(self.get("readiness", "/")[0], 503)
        status, headers, _ = self.get("front", "/any/0123456789abcdef")
        self.assertEqual((status, headers["Retry-After"]), (503, "1"))
        self.assertIn(b"front.GET.503 1", self.get("metrics", "/metrics")[2])

    def test_page_of_organisations_needs_the_controller(self):
        """Guards against an empty page of an instance that does not lead."""
        status, _, body = self.get("metrics", "/organisations")
        self.assertEqual(status, 503)
        self.assertIn("the controller is not known", json.loads(body)["Error"])

    def test_ports_are_given_to_no_other_socket(self):
        """Guards against a process that cannot listen as its port has been taken.

        Seen in CI beside other programs, and in 36 of 200 starts beside programs that
        opened listeners all the time.
        """
        self.process.kill()
        self.process.wait(HANG_LIMIT_S)
        for name, port in self.ports.items():
            with self.subTest(name=name), socket.socket() as sock:
                with self.assertRaises(OSError) as caught:
                    sock.bind(("127.0.0.1", port))
                self.assertEqual(caught.exception.errno, errno.EADDRINUSE)

    def test_end_without_an_event_is_reported_with_the_errors(self):
        """Guards against a failure whose cause cannot be found afterwards."""
        self.process.kill()
        self.errors.write("the cause")
        with self.assertRaisesRegex(AssertionError, "with -9 .*'other'.*\n.*the cause"):
            self.read_event("other")

    def test_exception_of_a_handler_is_logged_and_counted(self):
        """Guards against an error that operators see on standard error only."""
        subject = types.SimpleNamespace(_metrics=node_metrics.NodeMetrics())
        with self.assertLogs("cranberryport.node", "ERROR") as logs:
            node.Node._on_exception(subject, ValueError, ValueError("x"), ["line"])
        self.assertEqual(logs.records[0].kind, "ValueError")
        self.assertIn("errors.unhandled 1", subject._metrics.render())

    def test_sigterm_ends_the_process_within_the_grace_period(self):
        """Guards against a process that the platform has to kill."""
        self.process.send_signal(signal.SIGTERM)
        self.read_event("stopped")
        self.assertEqual(self.process.wait(HANG_LIMIT_S), 0)


class ReadinessTest(unittest.TestCase):
    """Readiness of an instance whose configuration is not proven to be recent."""

    def test_instance_without_a_proof_is_not_ready_while_keys_are_asked_for(self):
        """Guards against callers that are sent to an instance that refuses them."""
        keyed = keyed_front.make_configuration(1, a=["k"])
        public = keyed.replace(b'"/q/"', b'"/q/", "Public": true')
        for value, is_fresh, is_ready in (
            (keyed, True, True),
            (keyed, False, False),
            (public, False, True),
            (keyed.replace(b"Tenants", b"Others"), False, True),
        ):
            with self.subTest(value=value, is_fresh=is_fresh):
                fake = types.SimpleNamespace(
                    _follower=types.SimpleNamespace(
                        configuration=configuration.parse(value)
                    ),
                    _exit_deadline=None,
                    _proof=types.SimpleNamespace(is_fresh=is_fresh),
                    _configuration_reader=types.SimpleNamespace(
                        last_read_sent_at=time.monotonic()
                    ),
                )
                self.assertIs(node.Node.is_ready.fget(fake), is_ready)


class SettingsTest(unittest.TestCase):
    """Start with settings that cannot be used."""

    def test_missing_setting_is_named(self):
        """Guards against a start with incomplete settings."""
        with tempfile.TemporaryDirectory() as directory:
            path = pathlib.Path(directory) / "settings.toml"
            path.write_text('instance = "a"')
            result = subprocess.run(
                [sys.executable, "-m", "cranberryport.node", "--settings", str(path)],
                cwd=pathlib.Path(__file__).resolve().parent.parent,
                capture_output=True,
                text=True,
                timeout=HANG_LIMIT_S,
                check=False,
            )
        self.assertEqual(result.returncode, node.BAD_SETTINGS_EXIT_CODE)
        self.assertIn("data_centre", result.stderr)
