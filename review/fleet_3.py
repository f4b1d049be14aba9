"""A small deployment for the scripts of this review, and their record.

The entry instances are started with the command of the deploy file and with the
settings of a small site (``brazos``); the platform is ``platform_3``.
"""

import json
import os
import pathlib
import shutil
import sys
import tempfile
import time

from standins import calls, processes
from standins.platform import local_deployment

REVIEW = pathlib.Path(__file__).resolve().parent
IS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, NOT_RUN = 0, 1, 2
HOST_HEADER = {"Host": "fleet.example", "Content-Type": "application/json"}
# Settings that deploy/settings.toml.template gets on a machine of brazos.
SETTINGS = {
    "grace_s": 6.0,
    "lease_most_ms": 6000,
    "order_turn_ms": 3000,
    "are_orders_fenced": True,
    "stop_ms": 400,
    "remote_factor": 3.0,
    "upkeep_s": 2.0,
    "status_kept_s": 120.0,
    "orders_per_s": 64.0,
    "processors": 2,
    "processor_share": 0.537,
    "membership_ttl_least_ms": 1000,
}


class Fleet:
    """Platform and entry instances, and the record of a case.

    Parameters
    ----------
    folder : pathlib.Path
        Folder of the case, for ``record.txt``.
    pools : dict of str to int
        Number of instances by pool; ``spare`` is on standby.
    entry_count : int, default=3
        Number of entry instances.
    with_advice : collection of str, default=()
        Queues whose tasks need tickets.
    """

    def __init__(self, *, folder, pools, entry_count=3, with_advice=()):
        self._began_at = time.time()
        self._record_path = folder / "record.txt"
        self._record_path.write_text("")
        self._directory = pathlib.Path(tempfile.mkdtemp(prefix="case-"))
        arguments = [REVIEW / "platform_3.py", "--partitions", "8", "--seed", "1"]
        arguments += ["--max-seconds", "118"]
        for pool, count in pools.items():
            arguments += ["--pool", f"{pool}={count}"]
        self._platform = processes.ChildProcess(
            name="platform", arguments=arguments, directory=self._directory
        )
        self._with_advice = list(with_advice)
        self._entry_count = entry_count
        self.entries = []

    def start(self):
        """Start all processes and wait until they are ready."""
        self._platform.start()
        addresses = self._platform.read_announcement()
        self._operator_port = int(addresses["operator"].rpartition(":")[2])
        advice = self.platform_record()["advice"]
        if self._with_advice:
            self.order("queues", with_advice=self._with_advice)
        for number in range(1, self._entry_count + 1):
            settings = {key: addresses[key] for key in ("store", "cloud")}
            entry = local_deployment.EntryInstance(
                name=f"entry-{number}",
                directory=self._directory,
                settings=settings | {"advice": advice} | SETTINGS,
            )
            entry.process.start()
            self.entries.append(entry)
        for entry in self.entries:
            calls.wait_until(entry.is_ready, 20.0, f"{entry.name} is ready")
        calls.wait_until(self.controller, 20.0, "a controller leads")
        time.sleep(1.0)
        self.note("all processes are ready")

    def stop(self):
        """End all processes."""
        running = [entry.process for entry in self.entries]
        processes.terminate_all([*running, self._platform])
        for entry in self.entries:
            entry.release_ports()
        shutil.rmtree(self._directory)

    def note(self, text):
        """Write a line to the record, with the seconds since the start."""
        line = f"{time.time() - self._began_at:8.3f}  {text}"
        print(line, flush=True)
        self._write(line)

    def note_events(self, events):
        """Write what the executors have seen to the record."""
        for at, what, task, run, executor in events:
            line = f"{at - self._began_at:8.3f}  executor {executor}: "
            self._write(f"{line}{what} {task} run {run}")

    def _write(self, line):
        with open(self._record_path, "a") as record:
            record.write(line + "\n")

    def seconds(self, unix_s):
        """Return a Unix time as seconds since the start."""
        return round(unix_s - self._began_at, 3)

    def order(self, name, **fields):
        """Send an order to the platform."""
        calls.post_json(self._operator_port, "/control", {"order": name, **fields})

    def platform_record(self):
        """Return what the platform has seen."""
        return calls.get_json(self._operator_port, "/record")

    def findings(self):
        """Return the violations that the stand-ins have seen."""
        return calls.get_json(self._operator_port, "/findings")

    def controller(self):
        """Return the entry instance that leads, None if there is none."""
        for entry in self.entries:
            if not entry.process.is_running:
                continue
            page = calls.send_request(entry.metrics_port, "GET", "/metrics")
            for line in page.body.decode(errors="replace").splitlines():
                name, _, value = line.partition(" ")
                if name.endswith("is_leading") and float(value or 0) == 1:
                    return entry
        return None

    def running_entry(self):
        """Return an entry instance that runs."""
        return next(e for e in self.entries if e.process.is_running)

    def request(self, method, path, body=b"", *, entry=None, headers=None):
        """Send a request of a client and return the response."""
        entry = entry or self.running_entry()
        response = calls.send_request(
            entry.front_port,
            method,
            path,
            headers={**HOST_HEADER, "Deadline-Ms": "3000", **(headers or {})},
            body=body,
            timeout_s=5,
        )
        text = response.error or response.body[:120].decode(errors="replace")
        self.note(f"client: {method} {path} to {entry.name}: {response.status} {text}")
        return response

    def submit(self, path, spec, steps, **fields):
        """Submit a job until it is accepted; return whether it was."""
        body = json.dumps({"Spec": json.dumps(spec), "Steps": steps, **fields})
        for _ in range(10):
            if self.request("POST", path, body.encode()).status == 200:
                return True
            time.sleep(0.5)
        return False

    def state(self, path):
        """Return the state of a job as clients see it, empty for no answer."""
        response = self.request("GET", path)
        return response.json.get("State", "") if response.status == 200 else ""

    def active_runs(self, job):
        """Return task, run, executor, instance and start of each run in progress."""
        rows = self.platform_record()["active"]
        return sorted(row for row in rows if row[0].startswith(job + "."))


def run_case(make_fleet, play):
    """Run a case and exit with its result.

    Parameters
    ----------
    make_fleet : callable
        Returns the :class:`Fleet`.
    play : callable
        Takes the fleet and returns whether the rule was broken.
    """
    fleet, result = make_fleet(), NOT_RUN
    try:
        fleet.start()
        result = BROKEN if play(fleet) else HELD
    except Exception as error:
        fleet.note(f"the case could not run: {type(error).__name__}: {error}")
    finally:
        fleet.note(f"exit {result}, TROUBLE={int(IS_TROUBLE)}")
        fleet.stop()
    sys.exit(result)
