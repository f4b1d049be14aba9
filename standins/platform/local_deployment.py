"""Starts the stand-ins of the platform and entry instances that use them."""

import itertools
import json
import pathlib

from standins import calls, processes, serving

HOST = "127.0.0.1"
# Processes start in half a second each, several at once on a busy machine.
READY_TIMEOUT_S = 20.0
# Partitions of a topic, as on the users' deployments.
PARTITIONS = 8


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
        # The ports stay bound here, so that no other socket gets them while the
        # instance is down.
        self._reserved = [serving.reserve_port(HOST) for _ in range(4)]
        ports = [reserved.getsockname()[1] for reserved in self._reserved]
        self.name = name
        self.front_port, self.readiness_port, peer_port, metrics_port = ports
        values = {
            "instance": name,
            "data_centre": "a",
            "front": f"{HOST}:{self.front_port}",
            "readiness": f"{HOST}:{self.readiness_port}",
            "peer_host": HOST,
            "peer_port": peer_port,
            "metrics_port": metrics_port,
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
        self.process = processes.ChildProcess(
            name=name, arguments=arguments, directory=directory, keeps_output=True
        )

    def is_ready(self):
        """Return whether the instance tells the balancer that it is ready."""
        return calls.send_request(self.readiness_port, "GET", "/").status == 200

    def release_ports(self):
        """Give the ports back."""
        for reserved in self._reserved:
            reserved.close()


class LocalDeployment:
    """The stand-ins and some entry instances.

    Parameters
    ----------
    directory : pathlib.Path
        For settings and output.
    pools : dict of str to int
        Instances by pool; the pool ``spare`` is off.
    entry_count : int
        Number of entry instances.
    make_settings : callable or None
        Takes the name of an entry instance and the addresses of the services; returns
        its further settings.
    profile : pathlib.Path or None
        File for a profile of the first entry instance.
    """

    def __init__(
        self,
        *,
        directory,
        pools,
        entry_count=1,
        make_settings=None,
        profile=None,
    ):
        self._directory = pathlib.Path(directory)
        arguments = ["-m", "standins.platform", "--partitions", str(PARTITIONS)]
        for pool, count in pools.items():
            arguments += ["--pool", f"{pool}={count}"]
        self._platform = processes.ChildProcess(
            name="platform", arguments=arguments, directory=self._directory
        )
        self._entry_count = entry_count
        self._make_settings = make_settings
        self._profile = profile
        self.entries = []
        self.addresses = {}

    def start(self):
        """Start everything and wait until all entry instances are ready."""
        self._platform.start()
        self.addresses = self._platform.read_announcement()
        for number in range(1, self._entry_count + 1):
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
            entry.process.start()
            self.entries.append(entry)
        self.wait_until_ready()

    def wait_until_ready(self):
        """Wait until all entry instances are ready.

        Raises
        ------
        AssertionError
            If one is not ready in time.
        """
        for entry in self.entries:
            calls.wait_until(entry.is_ready, READY_TIMEOUT_S, f"{entry.name} is ready")

    def send_order(self, name, **fields):
        """Give the stand-ins an order; see ``standins.platform``."""
        calls.post_json(self._operator_port, "/control", {"order": name, **fields})

    def findings(self):
        """Return what the stand-ins have seen."""
        return calls.get_json(self._operator_port, "/findings")

    @property
    def _operator_port(self):
        return int(self.addresses["operator"].rpartition(":")[2])

    def stop(self):
        """End everything."""
        processes.terminate_all(
            [*(entry.process for entry in self.entries), self._platform]
        )
        for entry in self.entries:
            entry.release_ports()


_numbers = itertools.count(1)


def make_job_request(*steps, prefix=0):
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
