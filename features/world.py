"""State that the steps of a feature share: the fleet and the requests of callers."""

import concurrent.futures
import dataclasses
import re
import shutil
import time

from standins import calls, fleet, sheets

# Longer than the longest request (30 s), so that every request in flight ends in time.
RESPONSE_TIMEOUT_S = 45.0
IN_FORCE_TIMEOUT_S = 30.0
MAX_CALLER_THREADS = 64
MAX_ENTRY_COUNT = 50
# Settings that are left out of the deployment's sheets: times of day would make a
# scenario depend on when it runs, and scenarios state their own maintenance.
OMITTED_SETTINGS = (*sheets.TIME_OF_DAY_SETTINGS, "maintenance")


@dataclasses.dataclass(kw_only=True, slots=True)
class SentRequest:
    """A request that a caller sent.

    Attributes
    ----------
    method, path : str
        Method and path of the request line.
    headers : dict of str to str
        Request headers.
    body : bytes
        Request body.
    future : concurrent.futures.Future
        Future of the :class:`calls.Response`.
    """

    method: str
    path: str
    headers: dict
    body: bytes
    future: concurrent.futures.Future

    @property
    def response(self):
        """The response; waits until it is there."""
        return self.future.result(RESPONSE_TIMEOUT_S)

    @property
    def test_request(self):
        """Id under which the backend servers record the request and its repeats."""
        return self.headers["Test-Request"]


class World:
    """Fleet, sent requests and injected faults of one feature.

    The fleet is kept from one scenario to the next; the rest is reset.

    Parameters
    ----------
    directory : pathlib.Path
        Directory for settings and logs; each fleet gets a directory of its own in it.

    Attributes
    ----------
    sent_requests : dict of str to SentRequest
        Requests by their name in the steps.
    noted_times : dict of str to float
        Unix times by name, in seconds.
    tool_result : subprocess.CompletedProcess or None
        Latest result of the operator's tool.
    tool_results : list of subprocess.CompletedProcess
        Results of concurrent publications, in the order of their start.
    selected_server : str
        Name of the backend server that steps call "it" or "that server".
    failed_instances : list of str
        Names of the instances that the instance list shows as failed.
    frozen_entry : standins.fleet.Entry or None
        Entry instance that is frozen and not asked.
    pending_publication : concurrent.futures.Future or None
        Future of the result of a publication that was started.
    removed_instances : list of dict
        Rows that were removed from the instance list.
    platform_watcher : features.observers.PlatformWatcher or None
        Samples of the platform's state.
    traffic : features.observers.Traffic or None
        Requests that are sent in the background.
    """

    def __init__(self, *, directory):
        self._directory = directory
        self._fleet = None
        self._options = None
        self._fleet_count = 0
        self._callers = concurrent.futures.ThreadPoolExecutor(MAX_CALLER_THREADS)
        self.sent_requests = {}
        self.noted_times = {}
        self.tool_result = None
        self.tool_results = []
        self.selected_server = ""
        self.failed_instances = []
        self.frozen_entry = None
        self.pending_publication = None
        self.removed_instances = []
        self.platform_watcher = None
        self.traffic = None
        self._observers = []

    @property
    def fleet(self):
        """The running fleet.

        Raises
        ------
        AssertionError
            If no step has started one.
        """
        assert self._fleet is not None, (
            "no fleet is running; a step of the Background starts it"
        )
        return self._fleet

    @property
    def fleet_directory(self):
        """Directory with the settings and logs of the latest fleet."""
        return self._directory / f"fleet-{self._fleet_count}"

    def use_fleet(self, options):
        """Keep the running fleet if it has these options; otherwise start another."""
        assert options.entry_count <= MAX_ENTRY_COUNT, (
            "a run must stay below 60 processes"
        )
        if self._fleet is not None and self._options == options:
            return
        self.close_fleet()
        self._fleet_count += 1
        self._options = options
        shutil.rmtree(self.fleet_directory, ignore_errors=True)
        self._fleet = fleet.Fleet(options=options, directory=self.fleet_directory)
        self._fleet.start()

    def entry_instance(self, number):
        """Return an entry instance by its number, which starts at 1."""
        return self.fleet.entries[number - 1]

    def send(self, name, number, method, path, *, headers=(), body=b""):
        """Send a request in a thread and record it under a name.

        Parameters
        ----------
        name : str
            Name of the request in the steps.
        number : int
            Number of the entry instance.
        method, path, headers, body
            As in :func:`calls.send_request`.

        Returns
        -------
        SentRequest
            The request; its response may still be outstanding.
        """
        headers = {"Test-Request": calls.new_uuid7(), **dict(headers)}
        self.sent_requests[name] = SentRequest(
            method=method,
            path=path,
            headers=headers,
            body=body,
            future=self._callers.submit(
                self.entry_instance(number).send,
                method,
                path,
                headers=headers,
                body=body,
            ),
        )
        return self.sent_requests[name]

    def resolve_header_value(self, text):
        """Return the header value that a cell of a step's table stands for.

        ``new key`` gives a new idempotency key, ``key from 90 s ago`` one with that
        issue time, ``key of NAME`` that of an earlier request, and ``in 5 s`` the
        Unix time in 5 s. Other texts are used unchanged.
        """
        if text == "new key":
            return calls.new_uuid7()
        if match := re.fullmatch(r"key from ([0-9.]+) s ago", text):
            return calls.new_uuid7(now=time.time() - float(match[1]))
        if match := re.fullmatch(r"key of (.+)", text):
            return self.sent_requests[match[1]].headers["Idempotency-Key"]
        if match := re.fullmatch(r"in (-?[0-9.]+) s", text):
            return f"{time.time() + float(match[1]):.3f}"
        return text

    def start_in_thread(self, function, *arguments, **options):
        """Call a function in a thread and return its future."""
        return self._callers.submit(function, *arguments, **options)

    def add_observer(self, observer):
        """Register an observer that is closed at the end of the scenario."""
        self._observers.append(observer)

    def write_deployment_sheet(self, publisher, *, rows=(), name=""):
        """Write a copy of the deployment's sheet without ``OMITTED_SETTINGS``.

        Parameters
        ----------
        publisher : {'owner', 'planner'}
            Publisher of the sheet.
        rows : list of str
            Rows that are added at the end.
        name : str, optional
            Prefix of the file name; concurrent publications need different files.

        Returns
        -------
        pathlib.Path
            The file.
        """
        file_name = f"{sheets.PUBLISHER_AUTHORITIES[publisher]}.csv"
        source = fleet.ROOT / "deployments" / self.fleet.deployment.name / file_name
        path = self.fleet.directory / f"{name}{file_name}"
        sheets.copy_sheet(source, path, without=OMITTED_SETTINGS, rows=rows)
        return path

    def publish_rows(self, publisher, rows, number=1, *, name=""):
        """Publish the deployment's sheet with further rows.

        Returns
        -------
        subprocess.CompletedProcess
            Result of the operator's tool.
        """
        path = self.write_deployment_sheet(publisher, rows=rows, name=name)
        return self.fleet.publish(publisher, path, entry=self.entry_instance(number))

    def publish(self, publisher, path, number=1):
        """Publish a sheet with the operator's tool and record the result."""
        entry = self.entry_instance(number)
        self.tool_result = self.fleet.publish(publisher, path, entry=entry)
        return self.tool_result

    def wait_until_in_force(self):
        """Wait until all running entry instances show the same sheet versions."""
        entries = [entry for entry in self.fleet.entries if entry.process.is_running]
        calls.wait_until(
            lambda: len({entry.sheet_versions for entry in entries}) == 1,
            IN_FORCE_TIMEOUT_S,
            lambda: f"same sheets at {[entry.sheet_versions for entry in entries]}",
        )

    def reset(self):
        """End all faults, restart stopped entry instances and drop recorded state."""
        for observer in self._observers:
            observer.close()
        if self._fleet is not None:
            try:
                self._reset_fleet()
            except (AssertionError, RuntimeError, OSError):
                # The fleet is not usable any more; the next scenario starts a new one.
                self.close_fleet()
        self.sent_requests = {}
        self.noted_times = {}
        self.tool_result = None
        self.tool_results = []
        self.selected_server = ""
        self.failed_instances = []
        self.frozen_entry = None
        self.pending_publication = None
        self.removed_instances = []
        self.platform_watcher = None
        self.traffic = None
        self._observers = []

    def close_fleet(self):
        """End the fleet."""
        if self._fleet is not None:
            self._fleet.close()
            self._fleet = None

    def close(self):
        """End the fleet and the callers' threads."""
        self.close_fleet()
        self._callers.shutdown(wait=False, cancel_futures=True)

    def _reset_fleet(self):
        running = self._fleet
        running.control_log_service(mode="up")
        running.control_instance_list(
            mode="up",
            lag_s=self._options.list_lag_s,
            reboot_s=self._options.reboot_s,
            add=self.removed_instances,
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
            [request.future for request in self.sent_requests.values()],
            RESPONSE_TIMEOUT_S,
        )
        running.control_backend_servers(clear=True)
