"""Threads that watch the platform and send requests while a scenario runs."""

import collections
import itertools
import socket
import threading
import time

from standins import calls

HOST = "127.0.0.1"
WATCH_INTERVAL_S = 0.05
PROBE_TIMEOUT_S = 1.0
TRAFFIC_INTERVAL_S = 0.05
TRAFFIC_TIMEOUT_S = 40.0
JOIN_TIMEOUT_S = 45.0


class Sample:
    """What the platform showed at one moment.

    Parameters
    ----------
    time_s : float
        Unix time.
    down : set of str
        Backend servers that the platform does not call live or that refuse a
        connection.
    """

    __slots__ = ("down", "time_s")

    def __init__(self, *, time_s, down):
        self.time_s = time_s
        self.down = down


class PlatformWatch:
    """Samples the instance list without its lag, and the ports of the servers.

    It asks none of the entry instances, so that it does not share their errors.

    Parameters
    ----------
    fleet : standins.fleet.Fleet
        Fleet with the platform.
    names : list of str
        Backend servers to watch.
    """

    def __init__(self, *, fleet, names):
        self._fleet = fleet
        self._names = names
        self._samples = []
        self._started_at = time.time()
        self._stop = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    @property
    def samples(self):
        """All samples so far, oldest first."""
        return list(self._samples)

    @property
    def reboots(self):
        """Reboots of the watched servers since the watch began."""
        return [
            reboot
            for reboot in self._fleet.instance_list_state()["reboots"]
            if reboot["name"] in self._names and reboot["start"] >= self._started_at
        ]

    def close(self):
        """Stop watching."""
        self._stop.set()
        self._thread.join(JOIN_TIMEOUT_S)

    def _run(self):
        while not self._stop.wait(WATCH_INTERVAL_S):
            time_s = time.time()
            instances = self._fleet.instance_list_state()["instances"]
            status = {row["name"]: row["status"] for row in instances}
            down = {
                name
                for name in self._names
                if status.get(name) != "live" or not self._is_accepting(name)
            }
            self._samples.append(Sample(time_s=time_s, down=down))

    def _is_accepting(self, name):
        address = (HOST, self._fleet.instance_ports[name])
        try:
            socket.create_connection(address, timeout=PROBE_TIMEOUT_S).close()
        except OSError:
            return False
        return True


class Traffic:
    """Sends GET requests for services through all entry instances in turn.

    Parameters
    ----------
    fleet : standins.fleet.Fleet
        Fleet with the entry instances.
    services : list of str
        Services.
    delay_ms : int
        How long the servers take for each request.
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
        """Stop sending and wait for the answers."""
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
