"""Starts the stand-ins of the platform and entry instances that use them."""

import http.client
import itertools
import json
import pathlib
import socket
import time

from standins import processes

READY_TIMEOUT_S = 20.0
POLL_INTERVAL_S = 0.05
OPERATOR_TIMEOUT_S = 10.0
PARTITIONS = 8


def free_ports(count):
    """Return ports that were free a moment ago."""
    sockets = []
    for _ in range(count):
        sock = socket.socket()
        sock.bind(("127.0.0.1", 0))
        sockets.append(sock)
    ports = [sock.getsockname()[1] for sock in sockets]
    for sock in sockets:
        sock.close()
    return ports


class Entry:
    """An entry instance as a process.

    Parameters
    ----------
    name : str
        Name of the instance.
    directory : pathlib.Path
        For its settings and its output.
    settings : dict
        Further settings.
    profile : pathlib.Path or None
        File for a profile of the process.
    """

    def __init__(self, *, name, directory, settings, profile=None):
        front, readiness, peer, metrics = free_ports(4)
        self.name = name
        self.front_port = front
        self.readiness_port = readiness
        self.metrics_port = metrics
        values = {
            "instance": name,
            "data_centre": "a",
            "front": f"127.0.0.1:{front}",
            "readiness": f"127.0.0.1:{readiness}",
            "peer_host": "127.0.0.1",
            "peer_port": peer,
            "metrics_port": metrics,
            "grace_s": 6.0,
            "store_partitions": PARTITIONS,
            **settings,
        }
        path = directory / f"{name}.toml"
        path.write_text(
            "".join(f"{key} = {json.dumps(value)}\n" for key, value in values.items())
        )
        arguments = ["-m", "cranberryport.node", "--settings", path]
        if profile is not None:
            arguments = ["-m", "cProfile", "-o", profile, *arguments]
        self.child = processes.Child(
            name=name, arguments=arguments, directory=directory, keeps_output=True
        )

    def is_ready(self):
        """Return whether the instance tells the balancer that it is ready."""
        try:
            return request(self.readiness_port, "GET", "/")[0] == 200
        except OSError:
            return False


class Deployment:
    """The stand-ins and some entry instances.

    Parameters
    ----------
    directory : pathlib.Path
        For settings and output.
    pools : dict of str to int
        Instances by pool; the pool ``spare`` is off.
    entries : int
        Number of entry instances.
    make_settings : callable or None
        Takes the name of an entry instance and the addresses of the services; returns
        its further settings.
    options : tuple of str
        Further options of the stand-ins.
    profile : pathlib.Path or None
        File for a profile of the first entry instance.
    """

    def __init__(
        self,
        *,
        directory,
        pools,
        entries=1,
        make_settings=None,
        options=(),
        profile=None,
    ):
        self._directory = pathlib.Path(directory)
        arguments = ["-m", "standins.platform", "--partitions", str(PARTITIONS)]
        arguments += options
        for pool, count in pools.items():
            arguments += ["--pool", f"{pool}={count}"]
        self._platform = processes.Child(
            name="platform", arguments=arguments, directory=self._directory
        )
        self._count = entries
        self._make_settings = make_settings
        self._profile = profile
        self.entries = []
        self.addresses = {}

    def start(self):
        """Start everything and wait until all entry instances are ready."""
        self._platform.start()
        self.addresses = self._platform.read_announcement()
        for number in range(1, self._count + 1):
            name = f"entry-{number}"
            settings = {key: self.addresses[key] for key in ("store", "cloud")}
            if self._make_settings is not None:
                settings |= self._make_settings(name, self.addresses)
            entry = Entry(
                name=name,
                directory=self._directory,
                settings=settings,
                profile=self._profile if number == 1 else None,
            )
            entry.child.start()
            self.entries.append(entry)
        self.wait_until_ready()

    def wait_until_ready(self):
        """Wait until all entry instances are ready.

        Raises
        ------
        RuntimeError
            If one is not ready in time.
        """
        deadline = time.monotonic() + READY_TIMEOUT_S
        for entry in self.entries:
            while not entry.is_ready():
                if time.monotonic() > deadline:
                    raise RuntimeError(f"{entry.name} is not ready")
                time.sleep(POLL_INTERVAL_S)

    def order(self, name, **fields):
        """Give the stand-ins an order; see ``standins.platform``."""
        status, body = request(
            self._operator_port,
            "POST",
            "/control",
            json.dumps({"order": name, **fields}).encode(),
        )
        if status != 200:
            raise RuntimeError(f"order {name!r}: {status} {body!r}")

    def findings(self):
        """Return what the stand-ins have seen."""
        return json.loads(request(self._operator_port, "GET", "/findings")[1])

    @property
    def _operator_port(self):
        return int(self.addresses["operator"].rpartition(":")[2])

    def stop(self):
        """End everything."""
        processes.end_all([*(entry.child for entry in self.entries), self._platform])


def request(port, method, path, body=b"", *, headers=(), timeout_s=OPERATOR_TIMEOUT_S):
    """Return status and body of a request on a connection of its own.

    Raises
    ------
    OSError
        If no whole answer came.
    """
    client = http.client.HTTPConnection("127.0.0.1", port, timeout=timeout_s)
    try:
        client.request(method, path, body or None, dict(headers))
        answer = client.getresponse()
        return answer.status, answer.read()
    except http.client.HTTPException as error:
        raise OSError(f"no whole answer: {error!r}") from error
    finally:
        client.close()


_numbers = itertools.count(1)


def make_job(*steps, prefix=0):
    """Return id and body of a job.

    Parameters
    ----------
    *steps : dict
        ``count``, ``ms``, ``processors``, ``memory``, ``lasts``, ``after``.
    prefix : int, default=0
        First half of the id.

    Returns
    -------
    tuple of (str, bytes)
        Id and body of the request.
    """
    rows = []
    for step in steps:
        row = {
            "Count": step["count"],
            "Cpu": step["processors"],
            "MemMb": step["memory"],
            "EstimateMs": step["ms"],
        }
        if step.get("lasts"):
            row["LongRunning"] = True
        if step.get("after"):
            row["DependsOn"] = step["after"]
        if "unavailable" in step:
            row["MaxUnavailable"] = step["unavailable"]
        rows.append(row)
    body = {"Spec": json.dumps({"steps": steps}), "Steps": rows}
    return f"{prefix:08x}{next(_numbers):08x}", json.dumps(body).encode()
