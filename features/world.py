"""What the steps of a feature share: the fleet and what callers saw."""

import concurrent.futures
import dataclasses
import re
import shutil
import time

from standins import calls, fleet, sheets

# Longer than the longest request (30 s), so that every request in flight ends.
RESPONSE_TIMEOUT_S = 45.0
IN_FORCE_TIMEOUT_S = 30.0
CALLERS = 64
MAXIMUM_ENTRIES = 50
# Scenarios state their own maintenance.
PLANNED = (*sheets.TIME_OF_DAY_SETTINGS, "maintenance")


@dataclasses.dataclass(kw_only=True, slots=True)
class Sent:
    """A request that a caller sent.

    Attributes
    ----------
    method, path : str
        Request line.
    headers : dict of str to str
        Headers.
    body : bytes
        Body.
    future : concurrent.futures.Future
        Gives a :class:`calls.Response`.
    """

    method: str
    path: str
    headers: dict
    body: bytes
    future: concurrent.futures.Future

    @property
    def response(self):
        """The response; waits for it."""
        return self.future.result(RESPONSE_TIMEOUT_S)

    @property
    def test_request(self):
        """Id by which the backend servers recorded the request and its repeats."""
        return self.headers["Test-Request"]


class World:
    """State of one feature.

    Parameters
    ----------
    directory : pathlib.Path
        Directory for the logs of the fleets.
    """

    def __init__(self, *, directory):
        self._directory = directory
        self._fleet = None
        self._options = None
        self._fleet_count = 0
        self._callers = concurrent.futures.ThreadPoolExecutor(CALLERS)
        self.sent = {}
        self.times = {}
        self.tool_result = None
        self.tool_results = []
        self.server = ""
        self.failed = []
        self.frozen = None
        self.publishing = None
        self.absent = []
        self.watch = None
        self.traffic = None
        self._observers = []

    @property
    def fleet(self):
        """The fleet that runs.

        Raises
        ------
        AssertionError
            If no step has started one.
        """
        assert self._fleet is not None, "no fleet runs; start one in the background"
        return self._fleet

    @property
    def fleet_directory(self):
        """Directory with the logs of the last fleet."""
        return self._directory / f"fleet-{self._fleet_count}"

    def use_fleet(self, options):
        """Use the running fleet if it was built the same way, or start another."""
        assert options.entry_count <= MAXIMUM_ENTRIES, "a run has under 60 processes"
        if self._fleet is not None and self._options == options:
            return
        self.close_fleet()
        self._fleet_count += 1
        self._options = options
        shutil.rmtree(self.fleet_directory, ignore_errors=True)
        self._fleet = fleet.Fleet(options=options, directory=self.fleet_directory)
        self._fleet.start()

    def instance(self, number):
        """Return an entry instance; the first has number 1."""
        return self.fleet.entries[number - 1]

    def send(self, name, number, method, path, *, headers=(), body=b""):
        """Send a request in a thread and remember it by name."""
        headers = {"Test-Request": calls.new_uuid7(), **dict(headers)}
        self.sent[name] = Sent(
            method=method,
            path=path,
            headers=headers,
            body=body,
            future=self._callers.submit(
                self.instance(number).send, method, path, headers=headers, body=body
            ),
        )
        return self.sent[name]

    def header_value(self, text):
        """Return the value for a cell of a table of headers.

        ``new key`` gives a new idempotency key, ``key from 90 s ago`` one with that
        issue time, ``key of NAME`` that of an earlier request, and ``in 5 s`` a
        Unix time.
        """
        if text == "new key":
            return calls.new_uuid7()
        if match := re.fullmatch(r"key from ([0-9.]+) s ago", text):
            return calls.new_uuid7(now=time.time() - float(match[1]))
        if match := re.fullmatch(r"key of (.+)", text):
            return self.sent[match[1]].headers["Idempotency-Key"]
        if match := re.fullmatch(r"in (-?[0-9.]+) s", text):
            return f"{time.time() + float(match[1]):.3f}"
        return text

    def start(self, function, *arguments, **options):
        """Call a function in a thread and return its future."""
        return self._callers.submit(function, *arguments, **options)

    def observe(self, observer):
        """Close an observer after the scenario at the latest."""
        self._observers.append(observer)

    def copy_deployment(self, publisher, *, rows=(), name=""):
        """Write the deployment's sheet without its maintenance, with further rows.

        Parameters
        ----------
        publisher : {'owner', 'planner'}
            Whose sheet.
        rows : list of str
            Lines that are added at the end.
        name : str, optional
            Name of the file; publications at the same time need different files.
        """
        file_name = f"{sheets.PUBLISHER_AUTHORITIES[publisher]}.csv"
        source = fleet.ROOT / "deployments" / self.fleet.deployment.name / file_name
        path = self.fleet.directory / f"{name}{file_name}"
        sheets.copy_sheet(source, path, without=PLANNED, rows=rows)
        return path

    def publish_rows(self, publisher, rows, number=1, *, name=""):
        """Publish the deployment's sheet with further rows; return the result."""
        path = self.copy_deployment(publisher, rows=rows, name=name)
        return self.fleet.publish(publisher, path, entry=self.instance(number))

    def publish(self, publisher, path, number=1):
        """Publish a sheet with the operator's tool and remember its result."""
        entry = self.instance(number)
        self.tool_result = self.fleet.publish(publisher, path, entry=entry)
        return self.tool_result

    def wait_in_force(self):
        """Wait until every running instance shows the newest sheets."""
        entries = [entry for entry in self.fleet.entries if entry.process.is_running]
        calls.wait_until(
            lambda: len({entry.sheet_versions for entry in entries}) == 1,
            IN_FORCE_TIMEOUT_S,
            lambda: f"same sheets at {[entry.sheet_versions for entry in entries]}",
        )

    def reset(self):
        """End all faults, restart what is down and forget what callers saw."""
        for observer in self._observers:
            observer.close()
        if self._fleet is not None:
            try:
                self._reset_fleet()
            except (AssertionError, RuntimeError, OSError):
                # The next scenario starts a new fleet.
                self.close_fleet()
        self.sent = {}
        self.times = {}
        self.tool_result = None
        self.tool_results = []
        self.server = ""
        self.failed = []
        self.frozen = None
        self.publishing = None
        self.absent = []
        self.watch = None
        self.traffic = None
        self._observers = []

    def close_fleet(self):
        """End the fleet."""
        if self._fleet is not None:
            self._fleet.close()
            self._fleet = None

    def close(self):
        """End everything."""
        self.close_fleet()
        self._callers.shutdown(wait=False, cancel_futures=True)

    def _reset_fleet(self):
        running = self._fleet
        running.control_log_service(mode="up")
        running.control_instance_list(
            mode="up",
            lag_s=self._options.list_lag_s,
            reboot_s=self._options.reboot_s,
            add=self.absent,
            status={
                row["name"]: "live"
                for row in running.instance_list_state()["instances"]
            },
        )
        running.control_backend_servers(mode="up", delay_ms=0)
        running.control_workers(mode="up")
        for entry in running.entries:
            if entry.process.is_running:
                entry.process.resume()
            else:
                entry.process.start()
        for entry in running.entries:
            running.wait_until_ready(entry)
        concurrent.futures.wait(
            [sent.future for sent in self.sent.values()], RESPONSE_TIMEOUT_S
        )
        running.control_backend_servers(clear=True)
