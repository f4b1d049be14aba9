"""Runs a deployment on loopback: the stand-in platform and entry instances.

Entry instances are processes of ``cranberryport.node``. The soak and a benchmark run on
it.
"""

import itertools
import json
import pathlib

from standins import calls, processes, serving
from standins.platform import rig_settings

HOST = "127.0.0.1"
# A process starts in 0.5 s, but several start at once and the machine may be busy.
READY_TIMEOUT_S = 20.0
METRICS_TIMEOUT_S = 1.0


class EntryInstance:
    """An entry instance: its process, ports and settings file.

    Parameters
    ----------
    name : str
        Name of the instance.
    directory : pathlib.Path
        Directory of the settings file and the output.
    settings : dict
        Settings that are added to those of every instance, or replace them. Those that
        concern the platform are by default the default ones of the rig.
    profile : pathlib.Path or None
        File to which the profile of the process is written; None for no profile.

    Attributes
    ----------
    front_port, readiness_port, metrics_port : int
        Ports for callers, for the checks of the load balancer, and for metrics and the
        pages of the controller.
    process : standins.processes.ChildProcess
        The process.
    """

    def __init__(self, *, name, directory, settings, profile=None):
        # The ports stay reserved while the instance is down, so that no other socket
        # can take them.
        self._port_sockets = [serving.reserve_port(HOST) for _ in range(4)]
        ports = [sock.getsockname()[1] for sock in self._port_sockets]
        self.name = name
        self.front_port, self.readiness_port, peer_port, self.metrics_port = ports
        values = {
            "instance": name,
            "data_centre": "a",
            "front": f"{HOST}:{self.front_port}",
            "readiness": f"{HOST}:{self.readiness_port}",
            "peer_host": HOST,
            "peer_port": peer_port,
            "metrics_port": self.metrics_port,
            "grace_s": 6.0,
            **rig_settings.RigSettings().entry_settings,
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
            name=name, arguments=arguments, directory=directory, appends_output=True
        )

    def is_leading(self):
        """Return whether its metrics show it as the controller.

        One that does not answer within a second does not lead.
        """
        response = calls.send_request(
            self.metrics_port, "GET", "/metrics", timeout_s=METRICS_TIMEOUT_S
        )
        for line in response.body.decode(errors="replace").splitlines():
            name, _, value = line.partition(" ")
            if name.endswith("is_leading"):
                return float(value) == 1
        return False

    def is_ready(self):
        """Return whether the load balancer's check finds the instance ready."""
        return calls.send_request(self.readiness_port, "GET", "/").status == 200

    def release_ports(self):
        """Release the reserved ports."""
        for sock in self._port_sockets:
            sock.close()


class LocalDeployment:
    """The processes of the stand-in platform and of entry instances.

    Parameters
    ----------
    directory : pathlib.Path
        Directory of the settings and output.
    pools : dict of str to int
        Number of instances by name of the pool; the pool ``spare`` is on standby.
    entry_count : int
        Number of entry instances.
    unguarded_pools : iterable of str
        Pools whose executors start what exceeds their capacity.
    make_settings : callable or None
        Called with the name of an entry instance and the addresses that the stand-ins
        announce; returns settings that are added to those of the instance.
    profile : pathlib.Path or None
        File to which the profile of the first entry instance is written; None for no
        profile.
    organisations : list of dict or None
        Rows of the organisations in the first configuration; None for no organisations.
    seed : int, default=0
        Seed of the random numbers of the stand-in platform.
    rig : rig_settings.RigSettings, optional
        Settings of the platform, which the entry instances are told; by default the
        default ones.

    Attributes
    ----------
    entries : list of EntryInstance
        Started entry instances.
    addresses : dict of str to str
        Host and port of the services ``store``, ``cloud`` and ``operator``.
    """

    def __init__(
        self,
        *,
        directory,
        pools,
        entry_count=1,
        unguarded_pools=(),
        make_settings=None,
        profile=None,
        organisations=None,
        seed=0,
        rig=None,
    ):
        self._rig = rig or rig_settings.RigSettings()
        self._directory = pathlib.Path(directory)
        arguments = ["-m", "standins.platform", *self._rig.platform_arguments]
        arguments += ["--seed", str(seed)]
        for pool, count in pools.items():
            arguments += ["--pool", f"{pool}={count}"]
        for pool in unguarded_pools:
            arguments += ["--unguarded", pool]
        if organisations is not None:
            arguments += ["--organisations", json.dumps(organisations)]
        self._platform = processes.ChildProcess(
            name="platform", arguments=arguments, directory=self._directory
        )
        self._entry_count = entry_count
        self._make_settings = make_settings
        self._profile = profile
        self.entries = []
        self.addresses = {}

    def start(self):
        """Start all processes and wait until all entry instances are ready."""
        self._platform.start()
        self.addresses = self._platform.read_announcement()
        for number in range(1, self._entry_count + 1):
            name = f"entry-{number}"
            settings = {key: self.addresses[key] for key in ("store", "cloud")}
            settings |= self._rig.entry_settings
            if self._make_settings is not None:
                settings |= self._make_settings(name, self.addresses)
            entry = EntryInstance(
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
        """Send an order to the stand-in platform.

        Parameters
        ----------
        name : str
            Order: a method ``_order_NAME`` of ``standins.platform.__main__.Platform``.
        **fields
            Arguments of the method.
        """
        calls.post_json(self._operator_port, "/control", {"order": name, **fields})

    def findings(self):
        """Return violated invariants, runs and counts seen by the stand-in platform."""
        return calls.get_json(self._operator_port, "/findings")

    @property
    def _operator_port(self):
        return int(self.addresses["operator"].rpartition(":")[2])

    def stop(self):
        """End all processes and release the ports."""
        processes.terminate_all(
            [*(entry.process for entry in self.entries), self._platform]
        )
        for entry in self.entries:
            entry.release_ports()


_job_numbers = itertools.count(1)


def make_job_request(*steps, prefix=0, organisation=""):
    """Return the id of a new job and the body of the request that submits it.

    Parameters
    ----------
    *steps : dict
        Steps of the job, as in :mod:`standins.platform.executors`; optionally with
        ``unavailable``, the largest number of tasks that may be down at the same time.
    prefix : int, default=0
        First half of the id; callers with different values never share an id.
    organisation : str, default=""
        Organisation whose key the request will have. The specification names it, so
        that the executors of the stand-in know whose limit a run counts for.

    Returns
    -------
    tuple of (str, bytes)
        Id of the job and body of the request.
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
    spec = {"steps": steps}
    if organisation:
        spec["organisation"] = organisation
    body = {"Spec": json.dumps(spec), "Steps": rows}
    return f"{prefix:08x}{next(_job_numbers):08x}", json.dumps(body).encode()
