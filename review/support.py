"""Starts the program and the stand-ins for the cases of the review.

The entry instances run with the command of the deploy file and with the settings that
``deploy/settings.toml.template`` gives for the deployment ``brazos``. Clients, store,
executors and instances are stand-ins, all on loopback addresses.
"""

import asyncio
import contextlib
import json
import os
import pathlib
import shutil
import signal
import sys
import tempfile
import threading
import time

from standins import calls
from standins.platform import local_deployment

HELD, BROKEN, NOT_RUN = 0, 1, 2
TIME_LIMIT_S = 115
HEADERS = {"Host": "fleet.example"}
POOL = "cutting"
# What the template makes of the bounds and limits of the deployment.
SETTINGS = {
    "processors": 2,
    "processor_share": 0.537,
    "membership_ttl_least_ms": 1000,
    "orders_per_s": 64,
    "lease_most_ms": 6000,
    "order_turn_ms": 3000,
    "are_orders_fenced": True,
    "stop_ms": 400,
    "remote_factor": 3,
    "upkeep_s": 2,
    "status_kept_s": 120,
}
# Seconds for the first controller to take over and to call all executors.
SETTLING_S = 4.0


class StoreProxy:
    """Passes the connections of one entry instance on to the store.

    Parameters
    ----------
    address : str
        Host and port of the store.

    Attributes
    ----------
    address : str
        Host and port of the proxy.
    """

    def __init__(self, address):
        host, _, port = address.rpartition(":")
        self._target = (host, int(port))
        self._is_refusing = False
        self._transports = set()
        self._loop = asyncio.new_event_loop()
        threading.Thread(target=self._loop.run_forever, daemon=True).start()
        started = asyncio.run_coroutine_threadsafe(self._start(), self._loop)
        self.address = started.result()

    def set_refusing(self, is_refusing):
        """Reset all connections, present and new ones, or serve them again."""

        def change():
            self._is_refusing = is_refusing
            for transport in list(self._transports) if is_refusing else ():
                transport.abort()

        self._loop.call_soon_threadsafe(change)

    async def _start(self):
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        return f"127.0.0.1:{server.sockets[0].getsockname()[1]}"

    async def _serve(self, reader, writer):
        if self._is_refusing:
            writer.transport.abort()
            return
        try:
            store_reader, store_writer = await asyncio.open_connection(*self._target)
        except OSError:
            writer.transport.abort()
            return
        self._transports.add(writer.transport)
        await asyncio.gather(
            self._pump(reader, store_writer), self._pump(store_reader, writer)
        )
        self._transports.discard(writer.transport)

    async def _pump(self, reader, writer):
        with contextlib.suppress(OSError):
            while data := await reader.read(65536):
                writer.write(data)
                await writer.drain()
        writer.close()


class Case:
    """A deployment, the clients' calls, and the record of a case.

    Parameters
    ----------
    folder : pathlib.Path
        Folder of the case, for ``record.txt``.
    entry_count : int
        Number of entry instances.
    executor_count : int
        Number of executors of the only pool in use.
    settings : dict
        Settings that differ from ``SETTINGS``.
    has_store_proxies : bool
        Whether each entry instance reaches the store by a proxy of its own.
    has_spare_pool : bool
        Whether there is a pool on standby, to which idle instances move.
    platform : str
        Module of the stand-in platform.
    """

    def __init__(
        self,
        *,
        folder,
        entry_count=3,
        executor_count=6,
        settings=None,
        has_store_proxies=False,
        has_spare_pool=True,
        platform="standins.platform",
    ):
        self.has_trouble = os.environ.get("TROUBLE", "1") != "0"
        self.proxies = {}
        self._settings = {**SETTINGS, **(settings or {})}
        self._has_store_proxies = has_store_proxies
        self._began_at = time.monotonic()
        self._record = open(folder / "record.txt", "w")  # noqa: SIM115
        self._directory = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.deployment = local_deployment.LocalDeployment(
            directory=self._directory,
            pools={POOL: executor_count, **({"spare": 2} if has_spare_pool else {})},
            entry_count=entry_count,
            make_settings=self._make_settings,
        )
        arguments = self.deployment._platform._arguments
        arguments[arguments.index("standins.platform")] = platform
        self.note(f"trouble: {self.has_trouble}; settings: {self._settings}")

    def _make_settings(self, name, addresses):
        settings = dict(self._settings)
        if self._has_store_proxies:
            self.proxies[name] = StoreProxy(addresses["store"])
            settings["store"] = self.proxies[name].address
        return settings

    @property
    def entries(self):
        """Entry instances."""
        return self.deployment.entries

    def start(self):
        """Start all processes and wait until the controller has settled."""
        self.deployment.start()
        time.sleep(SETTLING_S)
        self.note(f"started; the controller is {self.leader().name}")

    def stop(self):
        """End all processes, remove their files and close the record."""
        self.deployment.stop()
        shutil.rmtree(self._directory, ignore_errors=True)
        self._record.close()

    def note(self, text):
        """Write a line to the record and to standard output."""
        line = f"{time.monotonic() - self._began_at:8.3f} {text}"
        print(line, flush=True)
        self._record.write(line + "\n")
        self._record.flush()

    def call(self, entry, method, job_id, body=b"", *, is_noted=True):
        """Send a client's request about a job; return status and decoded body."""
        response = calls.send_request(
            entry.front_port,
            method,
            f"/{POOL}/{job_id}",
            headers=HEADERS,
            body=body,
            timeout_s=10,
        )
        fields = {}
        if response.status == 200 and response.body:
            fields = response.json
        if is_noted:
            answer = response.status or response.error
            self.note(f"{method} {job_id} at {entry.name}: {answer} {fields}")
        return response.status, fields

    def state(self, entry, job_id, *, is_noted=False):
        """Return what a GET says of a job: its state, else the status."""
        status, fields = self.call(entry, "GET", job_id, is_noted=is_noted)
        return fields.get("State", status)

    def wait_for_state(self, entry, job_id, states, limit_s):
        """Wait until a GET shows one of some states; return the last answer."""
        deadline = time.monotonic() + limit_s
        while True:
            state = self.state(entry, job_id)
            if state in states or time.monotonic() > deadline:
                self.note(f"GET {job_id} at {entry.name}: {state}")
                return state
            time.sleep(0.05)

    def leader(self):
        """Return the entry instance whose metrics say that it is the controller."""
        for entry in self.entries:
            if not entry.process.is_running:
                continue
            page = calls.send_request(
                entry.metrics_port, "GET", "/metrics", timeout_s=5
            )
            for line in page.body.decode().splitlines():
                if "is_leading" in line and float(line.split()[-1]) == 1:
                    return entry
        raise RuntimeError("no entry instance is the controller")

    def running_tasks(self):
        """Return the names of the tasks that run on some executor."""
        return self.deployment.findings()["running"]

    def start_count(self):
        """Return the number of starts that the executors have carried out."""
        return self.deployment.findings()["starts"]

    def logged(self, *events):
        """Return the log records of these events, oldest first."""
        found = []
        for path in self._directory.iterdir():
            if not path.name.startswith("entry-") or path.suffix == ".toml":
                continue
            for line in path.read_text(errors="replace").splitlines():
                if not line.startswith("{"):
                    continue
                with contextlib.suppress(json.JSONDecodeError):
                    row = json.loads(line)
                    if row.get("event") in events:
                        found.append(row)
        return sorted(found, key=lambda row: row["time"])


def run(case, play):
    """Play a case and exit with its result.

    Parameters
    ----------
    case : Case
        The case, not started yet.
    play : callable
        Called with the started case; returns the violations as a list of texts.
    """

    def give_up(number, frame):
        raise TimeoutError(f"not over after {TIME_LIMIT_S} s")

    signal.signal(signal.SIGALRM, give_up)
    signal.alarm(TIME_LIMIT_S)
    result = NOT_RUN
    try:
        case.start()
        violations = play(case)
        for text in violations:
            case.note(f"BROKEN: {text}")
        result = BROKEN if violations else HELD
        case.note("the rule was broken" if violations else "the rule held")
    except (OSError, RuntimeError, AssertionError, TimeoutError) as error:
        case.note(f"the case could not run: {type(error).__name__}: {error}")
    finally:
        signal.alarm(0)
        case.stop()
    sys.exit(result)
