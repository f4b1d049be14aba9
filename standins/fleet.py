"""Runs a whole deployment on loopback, with its entry instances and stand-ins.

Entry instances are processes of ``cranberryport.daemon``. One stand-in process each
serves the log, the instance list, all backend servers and all workers. Scenarios,
tests, benchmarks and the demo run on it.
"""

import dataclasses
import json
import os
import pathlib
import secrets
import shutil
import subprocess
import sys
import tempfile
import threading

from standins import calls, deployments, processes, serving, sheets

HOST = "127.0.0.1"
READY_TIMEOUT_S = 30.0
STATUS_TIMEOUT_S = 2.0
TOOL_TIMEOUT_S = 60.0
KEY_SIZE_BYTES = 32
ROOT = processes.ROOT
# Name and authority of each publisher of sheets. Every fleet makes new keys for them.
PUBLISHERS = (("owner", "owner"), ("planner", "team"))


@dataclasses.dataclass(kw_only=True, slots=True, frozen=True)
class Options:
    """Parameters of a fleet.

    Attributes
    ----------
    deployment : deployments.Deployment
        Data centres, services, backend servers and workers.
    entry_count : int
        Number of entry instances.
    retention_s : float
        Age in seconds from which records of the log expire.
    appends_per_second : float
        Rate limit of appends to the log.
    list_lag_s, usage_lag_s : float
        Delay in seconds with which the instance list and the reported usage of the
        workers show changes.
    reboot_s : float
        Time in seconds that an instance is down during a reboot.
    log_level : str
        Log level of the entry instances.
    limits : dict
        Table ``limits`` of the entry instances' settings.
    max_seconds : float
        Time in seconds after which all processes are ended.
    """

    deployment: deployments.Deployment = deployments.BRAZOS
    entry_count: int = 8
    retention_s: float = 3600.0
    appends_per_second: float = 400.0
    list_lag_s: float = 1.0
    usage_lag_s: float = 1.0
    reboot_s: float = 2.0
    log_level: str = "INFO"
    limits: dict = dataclasses.field(default_factory=dict)
    max_seconds: float = 600.0


class EntryInstance:
    """An entry instance: its process, ports and settings file.

    Parameters
    ----------
    name : str
        Name of the instance.
    data_centre : str
        Data centre of the instance.
    directory : pathlib.Path
        Directory of the settings file and the output.
    """

    def __init__(self, *, name, data_centre, directory):
        self._name = name
        self._data_centre = data_centre
        self._settings_path = directory / f"{name}.toml"
        # The ports stay reserved while the instance is down, so that no other socket
        # can take them.
        self._caller_port_socket = serving.reserve_port(HOST)
        self._peer_port_socket = serving.reserve_port(HOST)
        arguments = ["-m", "cranberryport.daemon", "--settings", self._settings_path]
        self._process = processes.ChildProcess(
            name=name, arguments=arguments, directory=directory
        )

    @property
    def name(self):
        """Name of the instance."""
        return self._name

    @property
    def port(self):
        """Port that serves callers."""
        return self._caller_port_socket.getsockname()[1]

    @property
    def address(self):
        """Host and port for callers, in the form that the operator's tool accepts."""
        return f"{HOST}:{self.port}"

    @property
    def sheet_versions(self):
        """Versions of the owner's and the team's sheet; None if it does not answer."""
        response = self.send("GET", "/-/sheet", timeout_s=STATUS_TIMEOUT_S)
        if response.status != 200:
            return None
        page = response.json
        return page["owner"]["version"], page["team"]["version"]

    @property
    def process(self):
        """Process of the instance."""
        return self._process

    @property
    def settings_path(self):
        """Path of the settings file."""
        return self._settings_path

    @property
    def is_ready(self):
        """Whether ``GET /-/status`` reports that the instance is ready."""
        return bool(self.status.get("is_ready"))

    @property
    def status(self):
        """Response to ``GET /-/status``; empty if the request failed."""
        response = self._request_status()
        return response.json if response.status == 200 else {}

    def write_settings(self, tables):
        """Write the settings file.

        Parameters
        ----------
        tables : dict
            Settings that all instances of a fleet share. Name, data centre and
            addresses of this instance are added.
        """
        own = {
            "instance": self._name,
            "data_centre": self._data_centre,
            "listen": {"host": HOST, "port": self.port},
            "peer": {"host": HOST, "port": self._peer_port_socket.getsockname()[1]},
        }
        self._settings_path.write_text(format_toml({**own, **tables}))

    def send(self, method, path, **options):
        """Send a request as a caller; see :func:`calls.send_request`."""
        return calls.send_request(self.port, method, path, **options)

    def release_ports(self):
        """Release the reserved ports."""
        self._caller_port_socket.close()
        self._peer_port_socket.close()

    def _request_status(self):
        return calls.send_request(
            self.port, "GET", "/-/status", timeout_s=STATUS_TIMEOUT_S
        )


class Fleet:
    """Stand-ins and entry instances; as a context manager it starts and ends them.

    Parameters
    ----------
    options : Options
        Parameters of the fleet.
    directory : pathlib.Path, optional
        Directory for settings and logs, which is kept at the end; by default a
        temporary directory, which is removed.
    """

    def __init__(self, *, options, directory=None):
        self._options = options
        self._is_temporary = directory is None
        self._directory = pathlib.Path(directory or tempfile.mkdtemp(prefix="fleet-"))
        self._directory.mkdir(parents=True, exist_ok=True)
        self._log_service = self._instance_list = self._backends = self._workers = None
        self._standin_ports = {}
        self._instance_ports = {}
        self._entries = []
        self._watchdog = threading.Timer(options.max_seconds, self._end_processes)
        self._watchdog.daemon = True

    def __enter__(self):
        try:
            self.start()
        except BaseException:
            self.close()
            raise
        return self

    def __exit__(self, *exception):
        self.close()

    @property
    def deployment(self):
        """Data centres, services, backend servers and workers of the fleet."""
        return self._options.deployment

    @property
    def directory(self):
        """Directory of the settings and logs."""
        return self._directory

    @property
    def entries(self):
        """List of the entry instances."""
        return self._entries

    @property
    def log_service_port(self):
        """Port of the log service's stand-in."""
        return self._standin_ports["log_service"]

    @property
    def instance_list_port(self):
        """Port of the instance list's stand-in."""
        return self._standin_ports["instance_list"]

    @property
    def instance_ports(self):
        """Ports of backend servers and workers by name."""
        return self._instance_ports

    @property
    def process_ids(self):
        """Process ids of all running processes by name of the process."""
        return {child.name: child.pid for child in self._children if child.is_running}

    def start(self):
        """Start all processes and wait until all entry instances are ready."""
        self._watchdog.start()
        self.start_platform()
        self.start_entries()

    def start_platform(self):
        """Start the stand-ins and wait until they are ready."""
        options = self._options
        self._log_service = self._start_standin(
            "log_service",
            *("--retention-s", options.retention_s),
            *("--appends-per-second", options.appends_per_second),
        )
        servers = deployments.backend_servers(options.deployment)
        workers = deployments.workers(options.deployment)
        self._backends = self._start_standin(
            "backend_server",
            *("--servers", self._write_json("servers", servers)),
            *("--slots", options.deployment.slots),
        )
        self._workers = self._start_standin(
            "worker",
            *("--workers", self._write_json("workers", workers)),
            *("--usage-lag-s", options.usage_lag_s),
        )
        instances = self._add_addresses(servers, "backend_server")
        instances += self._add_addresses(workers, "worker")
        self._instance_list = self._start_standin(
            "instance_list",
            *("--instances", self._write_json("instances", instances)),
            *("--lag-s", options.list_lag_s),
            *("--reboot-s", options.reboot_s),
        )

    def start_entries(self):
        """Start the entry instances and wait until they are ready."""
        self._write_keys()
        centres = self._options.deployment.data_centres
        for index in range(self._options.entry_count):
            entry = EntryInstance(
                name=f"entry-{index + 1}",
                data_centre=centres[index % len(centres)],
                directory=self._directory,
            )
            self._entries.append(entry)
            entry.write_settings(self._shared_settings())
            entry.process.start()
        for entry in self._entries:
            self.wait_until_ready(entry)

    def wait_until_ready(self, entry, timeout_s=READY_TIMEOUT_S):
        """Wait until an entry instance is ready.

        Parameters
        ----------
        entry : EntryInstance
            The instance.
        timeout_s : float
            Time in seconds after which to give up.

        Raises
        ------
        AssertionError
            If it ended or was not ready in time. The text contains the end of its log.
        """
        process = entry.process
        calls.wait_until(
            lambda: entry.is_ready or not process.is_running,
            timeout_s,
            lambda: f"{entry.name} is ready; its log ends with {process.log_tail()}",
        )
        if not process.is_running:
            raise AssertionError(f"{entry.name} ended: {process.log_tail()}")

    def restart_entry(self, entry, *, is_graceful=False):
        """Restart the process of an entry instance and wait until it is ready.

        Parameters
        ----------
        entry : EntryInstance
            The instance.
        is_graceful : bool, default=False
            Whether to end the process by SIGTERM instead of SIGKILL.
        """
        if is_graceful:
            entry.process.terminate(timeout_s=60.0)
        else:
            entry.process.kill()
        entry.process.start()
        self.wait_until_ready(entry)

    def control_log_service(self, **order):
        """Send an order to the log service; see :mod:`standins.log_service`."""
        return calls.post_json(self.log_service_port, "/control", order)

    def control_instance_list(self, **order):
        """Send an order to the instance list; see :mod:`standins.instance_list`."""
        return calls.post_json(self.instance_list_port, "/control", order)

    def control_backend_servers(self, **order):
        """Send an order to backend servers; see :mod:`standins.backend_server`."""
        return calls.post_json(self._standin_ports["backend_server"], "/control", order)

    def control_workers(self, **order):
        """Send an order to workers; see :mod:`standins.worker`."""
        return calls.post_json(self._standin_ports["worker"], "/control", order)

    def log_service_state(self):
        """Return the counts, faults and streams of the log service."""
        return calls.get_json(self.log_service_port, "/control")

    def instance_list_state(self):
        """Return the current instances, without lag, and the reboots."""
        return calls.get_json(self.instance_list_port, "/control")

    def backend_server_states(self):
        """Return the state and executions of each backend server by name."""
        return calls.get_json(self._standin_ports["backend_server"], "/control")[
            "servers"
        ]

    def worker_states(self):
        """Return the state and tasks of each worker by name."""
        return calls.get_json(self._standin_ports["worker"], "/control")["workers"]

    def executions(self, **fields):
        """Return the executions on all backend servers that match all given fields.

        Parameters
        ----------
        **fields
            Values that an execution must have, for example ``server`` or ``path``.

        Returns
        -------
        list of dict
            Ordered by their start.
        """
        found = []
        for name, state in self.backend_server_states().items():
            for execution in state["executions"]:
                row = {"server": name, **execution}
                if all(row[key] == value for key, value in fields.items()):
                    found.append(row)
        return sorted(found, key=lambda execution: execution["start"])

    def publisher_key_path(self, publisher):
        """Return the path of the file with a publisher's key."""
        return self._directory / f"{publisher}.key"

    def run_tool(self, *arguments):
        """Run the operator's command-line tool.

        Parameters
        ----------
        *arguments
            Arguments of the tool; converted to text.

        Returns
        -------
        subprocess.CompletedProcess
            With ``stdout`` and ``stderr`` as text.
        """
        command = [sys.executable, "-m", "cranberryport.command_line.main"]
        return subprocess.run(
            [*command, *(str(argument) for argument in arguments)],
            cwd=ROOT,
            env={**os.environ, "NO_COLOR": "1", "COLUMNS": "200"},
            capture_output=True,
            text=True,
            timeout=TOOL_TIMEOUT_S,
            check=False,
        )

    def publish(self, publisher, path, *, entry=None):
        """Publish a sheet with the operator's tool; see :meth:`run_tool`.

        Parameters
        ----------
        publisher : str
            Name of one of ``PUBLISHERS``.
        path : pathlib.Path
            File with the sheet.
        entry : EntryInstance, optional
            Instance that the tool asks whether the sheet is in force; the first by
            default.
        """
        entry = entry or self._entries[0]
        return self.run_tool(
            *("sheet", "publish", path),
            *("--log", f"{HOST}:{self.log_service_port}"),
            *("--instance", entry.address),
            *("--publisher", publisher),
            *("--key-file", self.publisher_key_path(publisher)),
            *("--until", sheets.INTENT_END_TIME),
            *("--day", sheets.publication_day()),
        )

    def close(self):
        """End all processes and remove the temporary directory."""
        self._watchdog.cancel()
        self._end_processes()
        for entry in self._entries:
            entry.release_ports()
        if self._is_temporary:
            shutil.rmtree(self._directory, ignore_errors=True)

    @property
    def _children(self):
        entries = [entry.process for entry in self._entries]
        platform = [
            self._log_service,
            self._instance_list,
            self._backends,
            self._workers,
        ]
        return entries + [child for child in platform if child is not None]

    def _end_processes(self):
        # Entry instances end first, as they release their shares through the log.
        processes.terminate_all([entry.process for entry in self._entries])
        processes.terminate_all(self._children)

    def _start_standin(self, module, *arguments):
        lifetime = ["--max-seconds", self._options.max_seconds]
        child = processes.ChildProcess(
            name=module,
            arguments=[
                "-m",
                f"standins.{module}",
                "--host",
                HOST,
                *arguments,
                *lifetime,
            ],
            directory=self._directory,
        )
        child.start()
        announcement = child.read_announcement()
        self._standin_ports[module] = announcement["port"]
        self._instance_ports.update(announcement.get("ports", {}))
        return child

    def _write_json(self, name, value):
        path = self._directory / f"{name}.json"
        path.write_text(json.dumps(value, indent=1))
        return path

    def _add_addresses(self, rows, module):
        control_port = self._standin_ports[module]
        return [
            {
                **row,
                "host": HOST,
                "port": self._instance_ports[row["name"]],
                "control_port": control_port,
            }
            for row in rows
        ]

    def _shared_settings(self):
        return {
            "log": {
                "host": HOST,
                "port": self.log_service_port,
                "stream": "control",
                "retention_s": self._options.retention_s,
            },
            "instance_list": {
                "host": HOST,
                "port": self.instance_list_port,
                "poll_interval_s": 0.5,
            },
            "logging": {"level": self._options.log_level},
            "limits": self._options.limits,
            "publishers": [
                {
                    "name": name,
                    "authority": authority,
                    "key_file": self.publisher_key_path(name).name,
                }
                for name, authority in PUBLISHERS
            ],
        }

    def _write_keys(self):
        for name, _ in PUBLISHERS:
            path = self.publisher_key_path(name)
            path.touch(mode=0o600)
            path.write_text(secrets.token_hex(KEY_SIZE_BYTES) + "\n")


def format_toml(tables):
    """Return settings as TOML.

    Parameters
    ----------
    tables : dict
        Its values are numbers, strings, tables (dict) of numbers and strings, or lists
        of such tables.
    """
    top_level = {key: value for key, value in tables.items() if not _is_table(value)}
    lines = _format_values(top_level)
    for name, value in tables.items():
        if isinstance(value, dict):
            lines += ["", f"[{name}]", *_format_values(value)]
        elif isinstance(value, list):
            for table in value:
                lines += ["", f"[[{name}]]", *_format_values(table)]
    return "\n".join(lines) + "\n"


def _is_table(value):
    return isinstance(value, dict | list)


def _format_values(values):
    # JSON numbers, and JSON strings in ASCII, are also valid TOML.
    return [f"{key} = {json.dumps(value)}" for key, value in values.items()]
