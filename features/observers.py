"""Threads that sample the platform's state or send requests while a scenario runs."""

import collections
import itertools
import socket
import threading
import time

from standins import calls

HOST = "127.0.0.1"
SAMPLE_INTERVAL_S = 0.05
CONNECT_TIMEOUT_S = 1.0
TRAFFIC_INTERVAL_S = 0.05
TRAFFIC_TIMEOUT_S = 40.0
JOIN_TIMEOUT_S = 45.0


class Sample:
    """State of the watched backend servers at one moment.

    Parameters
    ----------
    time_s : float
        Unix time in seconds.
    down_servers : set of str
        Backend servers that the instance list does not show as live or that do not
        accept a connection.
    """

    __slots__ = ("down_servers", "time_s")

    def __init__(self, *, time_s, down_servers):
        self.time_s = time_s
        self.down_servers = down_servers


class PlatformWatcher:
    """Samples which backend servers are down, until it is closed.

    It reads the instance list without its lag and connects to the servers' ports. It
    does not ask the entry instances, whose errors it would otherwise share.

    Parameters
    ----------
    fleet : standins.fleet.Fleet
        Fleet whose platform is watched.
    server_names : list of str
        Names of the backend servers to watch.
    """

    def __init__(self, *, fleet, server_names):
        self._fleet = fleet
        self._server_names = server_names
        self._samples = []
        self._started_at = time.time()
        self._stop = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    @property
    def samples(self):
        """Copy of the samples so far, oldest first."""
        return list(self._samples)

    @property
    def reboots(self):
        """Reboots of the watched servers that began after the start of this watcher."""
        return [
            reboot
            for reboot in self._fleet.instance_list_state()["reboots"]
            if reboot["name"] in self._server_names
            and reboot["start"] >= self._started_at
        ]

    def close(self):
        """Stop sampling and wait for the thread."""
        self._stop.set()
        self._thread.join(JOIN_TIMEOUT_S)

    def _run(self):
        while not self._stop.wait(SAMPLE_INTERVAL_S):
            time_s = time.time()
            instances = self._fleet.instance_list_state()["instances"]
            status = {row["name"]: row["status"] for row in instances}
            down_servers = {
                name
                for name in self._server_names
                if status.get(name) != "live" or not self._is_accepting(name)
            }
            self._samples.append(Sample(time_s=time_s, down_servers=down_servers))

    def _is_accepting(self, name):
        address = (HOST, self._fleet.instance_ports[name])
        try:
            socket.create_connection(address, timeout=CONNECT_TIMEOUT_S).close()
        except OSError:
            return False
        return True


class Traffic:
    """Sends GET requests until it is closed.

    Each pair of an entry instance and a service has three threads.

    Parameters
    ----------
    fleet : standins.fleet.Fleet
        Fleet with the entry instances.
    services : list of str
        Services that the requests are for.
    delay_ms : int
        Time that the backend servers take for each request, in milliseconds.

    Attributes
    ----------
    outcomes : collections.Counter
        Number of responses by outcome; the outcome is empty if there was none.
    """

    def __init__(self, *, fleet, services, delay_ms):
        self._stop = threading.Event()
        self.outcomes = collections.Counter()
        self._threads = [
            threading.Thread(
                target=self._run, args=(entry, service, delay_ms), daemon=True
            )
            for entry, service, _ in itertools.product(fleet.entries, services, "123")
        ]
        for thread in self._threads:
            thread.start()

    def close(self):
        """Stop sending and wait for the outstanding responses."""
        self._stop.set()
        for thread in self._threads:
            thread.join(JOIN_TIMEOUT_S)

    def _run(self, entry, service, delay_ms):
        while not self._stop.wait(TRAFFIC_INTERVAL_S):
            headers = {
                "Desk": service,
                "Test-Delay-Ms": str(delay_ms),
                "Test-Request": calls.new_uuid7(),
            }
            response = entry.send(
                "GET", f"/{service}/work", headers=headers, timeout_s=TRAFFIC_TIMEOUT_S
            )
            self.outcomes[response.outcome] += 1
