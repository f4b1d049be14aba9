"""Stand-ins of the platform, and control of processes, for the cases 6 to 10.

A case runs the store, the list of machines, the executors and the clients in its own
process, and starts entry instances with the command of the deploy file. The store and
the HTTP server are those of the project's stand-ins. The executors and the list of
machines are written for this review, so that a case decides which of them fails, and
when. What they do follows the pages "What cranberryport speaks" and "The rules".
"""

import asyncio
import itertools
import json
import logging
import os
import pathlib
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time

ROOT = pathlib.Path(__file__).resolve().parent.parent
sys.path[:0] = [str(ROOT), str(ROOT / "target" / "deps")]

from standins.platform import serving, store  # noqa: E402

# Bounds of a small deployment.
HEARTBEAT_S = 1.5
LEASE_MOST_MS = 10_000
STOP_TIMEOUT_MS = 200
UPKEEP_S = 2.0
MOVE_S = 1.5
ENDS_PER_ANSWER = 500
# A task that lasts is at work this long after its start.
STARTUP_S = 0.7
CONNECTIONS_PER_EXECUTOR = 64
READY_TIMEOUT_S = 20.0
HOST = "127.0.0.1"


class CannotRun(Exception):
    """The case could not be played."""


class Record:
    """What was sent, answered and run, with the seconds since the start."""

    def __init__(self, path):
        self._path = pathlib.Path(path)
        self._path.write_text("", encoding="utf-8")
        self._started_at = time.monotonic()

    @property
    def now(self):
        """Seconds since the start of the case."""
        return time.monotonic() - self._started_at

    def add(self, text):
        """Add a line."""
        with self._path.open("a", encoding="utf-8") as file:
            print(f"{self.now:8.3f}  {text}", file=file)


class ExecutorServer(serving.Server):
    """Server of an executor, which takes 64 connections at a time."""

    async def _serve_connection(self, reader, writer):
        if len(self._writers) >= CONNECTIONS_PER_EXECUTOR:
            writer.transport.abort()
            return
        await super()._serve_connection(reader, writer)


class Run:
    """A run of a task on an executor."""

    def __init__(self, *, task, number, step, duration_s):
        self.task = task
        self.number = number
        self.step = step
        self.duration_s = duration_s
        self.started_at = time.monotonic()

    def progress_percent(self, now):
        """Return the progress; a task that lasts is at work after a short startup."""
        age_s = now - self.started_at
        if self.step.get("lasts"):
            return 100 if age_s > STARTUP_S else 0
        return min(99, int(100 * age_s / self.duration_s))


class Worker:
    """A machine and the life of its executor.

    The specification of a job says how its tasks behave: ``steps``, each with the
    ``ms`` that its first task takes, the ``spread_ms`` that its last one takes longer,
    ``count``, ``cpu``, ``mem`` and, for tasks that last, ``lasts``.
    """

    def __init__(self, *, platform, machine, pool, host, rack, cpu, mem):
        self.platform = platform
        self.machine = machine
        self.pool = pool
        self.host = host
        self.rack = rack
        self.cpu = cpu
        self.mem = mem
        self.state = "up"
        self.id = ""
        self.token = 0
        self.waves = set()
        self.down_for_wave = None
        self.refuses_starts = None
        self.fails_all = False
        self.server = ExecutorServer(application=self._handle)
        self._reset()

    def _reset(self):
        self.born = int(time.time() * 1000)
        self.boot = time.monotonic()
        self.fence = 0
        self.lease_end_ms = 0
        self.runs = {}
        self.highest_old = {}
        self.ends = []
        self.end_number = 0
        self.lapsed_through = 0
        self.ended = asyncio.Event()

    @property
    def is_alive(self):
        """Whether the executor runs."""
        return bool(self.id)

    @property
    def clock_ms(self):
        """The executor's own clock, which begins anew with each life."""
        return int((time.monotonic() - self.boot) * 1000) + 1000

    async def listen(self):
        """Listen on the machine's address."""
        await self.server.start(self.host)

    def begin(self, *, id=None):
        """Start an executor."""
        self._reset()
        self.state = "up"
        self.id = id or f"{random.getrandbits(64):016x}"
        self.platform.record.add(f"executor {self.id} of {self.machine} begins")
        self.write_entry()

    def write_entry(self):
        """Register the executor in the store."""
        entry = {
            "Service": self.pool,
            "Address": f"{self.host}:{self.server.port}",
            "Zone": "a",
            "Version": "1",
            "Slots": 8,
            "State": "ready",
            "ColdRemainingMs": 0,
            "Capacity": {"Cpu": self.cpu, "MemMb": self.mem, "Gpu": 0},
            "Labels": ["a", self.rack],
            "born": self.born,
            "Sequence": 1,
        }
        self.platform.store.put("keyed.servers", self.id, json.dumps(entry).encode())

    def crash(self):
        """End the executor without a word; its entry lapses."""
        old = self.id
        self.platform.record.add(
            f"executor {old} of {self.machine} crashes with "
            f"{sorted(f'{t} run {n}' for t, n in self.runs)[:12]}"
        )
        for key in list(self.runs):
            self.platform.on_lost(self, self.runs.pop(key))
        self.id, self.state = "", "down"
        self.server.drop_connections()

        def lapse():
            if self.id != old:
                self.platform.store.put("keyed.servers", old, b"")

        self.platform.later(3 * HEARTBEAT_S, lapse)

    def take_down(self, state, seconds):
        """End the executor for an upkeep or a move; a new one follows."""
        old, self.id, self.state = self.id, "", state
        for key in list(self.runs):
            self.platform.on_lost(self, self.runs.pop(key))
        self.server.drop_connections()
        if old:
            self.platform.store.put("keyed.servers", old, b"")

        def come_back():
            self.down_for_wave = None
            self.begin()

        self.platform.later(seconds, come_back)

    def advance(self):
        """End the runs that are over, and all of them if the lease is."""
        if not self.is_alive:
            return
        if self.clock_ms > self.lease_end_ms:
            for key in list(self.runs):
                self._end(key, "lapsed")
            # An end whose executor's lease lapses before the acknowledgement is not
            # taken note of.
            self.lapsed_through = self.end_number
        now = time.monotonic()
        due = [
            key
            for key, run in self.runs.items()
            if now - run.started_at >= run.duration_s
        ]
        if due and self.fails_all:
            # An unhealthy executor fails everything that it runs.
            due = list(self.runs)
        for key in due:
            self._end(key, "failed" if self.fails_all else "done")

    def _end(self, key, how):
        run = self.runs.pop(key)
        self.end_number += 1
        self.ends.append([self.end_number, run.task, run.number, how, ""])
        self.highest_old[run.task] = max(run.number, self.highest_old.get(run.task, 0))
        self.platform.on_end(self, run, how)
        self.ended.set()
        self.ended = asyncio.Event()

    def _answer(self, status, **fields):
        return status, {"ClockMs": self.clock_ms, "born": self.born, **fields}

    def _extend(self, deadline_ms):
        limit = self.clock_ms + LEASE_MOST_MS
        self.lease_end_ms = max(self.lease_end_ms, min(deadline_ms, limit))

    async def _handle(self, request):
        if not self.is_alive:
            raise ConnectionResetError
        if request.headers.get("expected-instance") != self.id:
            return 421, {"ClockMs": self.clock_ms}
        fields = request.json_object()
        if fields.get("FencingToken", 0) < self.fence:
            return self._answer(409, Reason="fence")
        self.fence = fields.get("FencingToken", 0)
        if request.path == "/api/run-start":
            return self._start(fields)
        if request.path == "/api/run-stop":
            return self._stop(fields)
        if request.path == "/api/hold":
            return await self._hold(fields)
        return self._answer(200)

    def _start(self, fields):
        task, number = fields["Task"], fields["RunId"]
        if self.refuses_starts is not None:
            self.platform.record.add(
                f"start {task} run {number} on {self.machine}: {self.refuses_starts}"
            )
            return self.refuses_starts, {}
        if self.clock_ms > fields["DeadlineMs"]:
            return self._answer(409, Reason="late")
        self._extend(fields["DeadlineMs"])
        if (task, number) in self.runs:
            return self._answer(200)
        if number <= self.highest_old.get(task, 0):
            return self._answer(409, Reason="old")
        job, _, step_number, index = task.split(".")
        step = json.loads(fields["Spec"])["steps"][int(step_number)]
        used_cpu = sum(run.step["cpu"] for run in self.runs.values())
        used_mem = sum(run.step["mem"] for run in self.runs.values())
        if used_cpu + step["cpu"] > self.cpu or used_mem + step["mem"] > self.mem:
            return self._answer(409, Reason="room")
        share = int(index) / max(1, step["count"] - 1)
        duration_s = (step["ms"] + step.get("spread_ms", 0) * share) / 1000
        if self.fails_all:
            duration_s = 0.1
        run = Run(task=task, number=number, step=step, duration_s=duration_s)
        self.runs[(task, number)] = run
        self.platform.on_start(self, run)
        return self._answer(200)

    def _stop(self, fields):
        task, number = fields["Task"], fields["RunId"]
        self.highest_old[task] = max(number, self.highest_old.get(task, 0))
        if (task, number) in self.runs:
            self._end((task, number), "stopped")
        return self._answer(200)

    async def _hold(self, fields):
        if "DeadlineMs" in fields:
            self._extend(fields["DeadlineMs"])
        acked = fields.get("AckedThrough", 0)
        for end in self.ends:
            if self.lapsed_through < end[0] <= acked:
                self.platform.on_acked(self, end)
        self.ends = [end for end in self.ends if end[0] > acked]
        wait_end = time.monotonic() + fields.get("WaitMs", 0) / 1000
        life = self.id
        while not self.ends and (left_s := wait_end - time.monotonic()) > 0:
            try:
                await asyncio.wait_for(self.ended.wait(), left_s)
            except TimeoutError:
                break
        if self.id != life:
            raise ConnectionResetError
        now = time.monotonic()
        running = [
            [
                run.task,
                run.number,
                "",
                run.progress_percent(now),
                run.step["cpu"],
            ]
            for run in self.runs.values()
        ]
        return self._answer(200, Running=running, Finished=self.ends[:ENDS_PER_ANSWER])


class Platform:
    """The store, the list of machines, and all executors."""

    def __init__(self, record):
        self.record = record
        self.store = store.Store(partitions=8)
        self.workers = {}
        self.violations = []
        self.starts = []
        self.ends = []
        self.order_filter = None
        # Later starts of its task, by task and number of a run that ended ``done``.
        self._done = {}
        # Task and number of the runs whose end ``done`` was taken note of.
        self._noted = set()
        self._wave_records = {}
        self._version = 0
        self._tasks = set()
        self._store_server = serving.Server(application=self.store.handle)
        self._cloud_server = serving.Server(application=self._handle_cloud)

    @property
    def store_address(self):
        """Address of the store."""
        return f"{HOST}:{self._store_server.port}"

    @property
    def cloud_address(self):
        """Address of the interface to machines."""
        return f"{HOST}:{self._cloud_server.port}"

    async def start(self, pools, *, cpu=64_000, mem=262_144):
        """Start the servers, and one executor on each machine."""
        await self._store_server.start(HOST)
        await self._cloud_server.start(HOST)
        numbers = itertools.count(1)
        for pool, count in pools.items():
            for _ in range(count):
                number = next(numbers)
                worker = Worker(
                    platform=self,
                    machine=f"m{number:02d}",
                    pool=pool,
                    host=f"127.2.0.{number}",
                    rack=f"r{(number - 1) // 4}",
                    cpu=cpu,
                    mem=mem,
                )
                self.workers[worker.machine] = worker
                await worker.listen()
                worker.begin()
        self.spawn(self._advance())
        self.spawn(self.store.expire_members())

    def spawn(self, coroutine):
        """Run a coroutine beside the case."""
        task = asyncio.ensure_future(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def later(self, delay_s, function):
        """Call a function after a delay."""

        async def run():
            await asyncio.sleep(delay_s)
            function()

        self.spawn(run())

    async def _advance(self):
        while True:
            await asyncio.sleep(0.01)
            for worker in self.workers.values():
                worker.advance()

    def configure(self, pools, *, standby=()):
        """Write the next version of the configuration."""
        self._version += 3
        routes = [
            {
                "Name": f"queue-{pool}",
                "Host": "fleet.example",
                "PathPrefix": f"/{pool}/",
                "Service": pool,
                "Priority": 0,
                "MaxAttempts": 3,
                "StretchFactor": 1.6,
                "TargetLatencyMs": 600,
            }
            for pool in pools
            if pool not in standby
        ]
        services = [
            {"Name": pool, "RejectsOverload": True, "Standby": pool in standby}
            for pool in pools
        ]
        value = {
            "Version": self._version,
            "Routes": routes,
            "Services": services,
            "Limits": {},
        }
        self.store.put("keyed.op", "config", json.dumps(value).encode())
        self.record.add(f"configuration {self._version} is acknowledged")

    # What the executors see

    def violation(self, text):
        """Note that the rule was broken."""
        self.violations.append(text)
        self.record.add(f"RULE BROKEN: {text}")

    def on_start(self, worker, run):
        """Note that a run has begun."""
        self.record.add(f"start {run.task} run {run.number} on {worker.machine}")
        self.starts.append((self.record.now, run.task, run.number, worker.machine))
        others = [
            other.machine
            for other in self.workers.values()
            for task, number in other.runs
            if task == run.task and (other is not worker or number != run.number)
        ]
        if others:
            self.violation(
                f"{run.task} run {run.number} on {worker.machine} begins while "
                f"another run of it is at work on {others}"
            )
        for number, starts in self._done.get(run.task, {}).items():
            starts.append(f"run {run.number} on {worker.machine} after run {number}")

    def on_end(self, worker, run, how):
        """Note that a run has ended."""
        self.record.add(f"end {run.task} run {run.number} on {worker.machine}: {how}")
        self.ends.append(how)
        if how == "done":
            self._done.setdefault(run.task, {})[run.number] = []

    def on_lost(self, worker, run):
        """Note that a run has ended with its executor."""
        self.record.add(f"lost {run.task} run {run.number} on {worker.machine}")

    def on_acked(self, worker, end):
        """Note that an end was taken note of."""
        if end[3] == "done":
            self._noted.add((end[1], end[2]))

    def find_repeats(self):
        """Return the tasks started after an end ``done`` that was taken note of."""
        return {
            task: starts
            for task, ends in self._done.items()
            for number, starts in ends.items()
            if starts and (task, number) in self._noted
        }

    # Machines

    async def _handle_cloud(self, request):
        if request.path == "/api/machines":
            return 200, {"Machines": [self._row(w) for w in self.workers.values()]}
        fields = request.json_object()
        token = int(request.headers.get("fencing-token", 0))
        holder = request.headers.get("duty-holder", "")
        text = f"{request.path} {fields} of {holder} with token {token}"
        delay_s = None
        if self.order_filter is not None:
            delay_s = self.order_filter(fields)
        if delay_s is not None:
            self.record.add(f"{text}: no answer, carried out {delay_s} s later")
            self.later(delay_s, lambda: self._carry_out(request.path, fields, token))
            await asyncio.sleep(5.0)
            raise ConnectionResetError
        answer = self._carry_out(request.path, fields, token)
        self.record.add(f"{text}: {answer[0]} {answer[1]}")
        return answer

    def _row(self, worker):
        return {
            "Machine": worker.machine,
            "Pool": worker.pool,
            "State": worker.state,
            "Zone": "a",
            "Labels": ["a", worker.rack],
            "Capacity": {"Cpu": worker.cpu, "MemMb": worker.mem, "Gpu": 0},
            "Id": worker.id,
        }

    def _carry_out(self, path, fields, token):
        worker = self.workers.get(fields.get("Machine"))
        if worker is None:
            return 400, {}
        if token < worker.token:
            self.record.add(f"{path} {fields} with token {token}: fence")
            return 409, {"Reason": "fence"}
        worker.token = token
        if path == "/api/machine-move":
            if worker.pool == fields["Pool"]:
                return 200, {}
            if worker.state != "up":
                return 409, {"Reason": "busy"}
            worker.pool = fields["Pool"]
            worker.take_down("moving", MOVE_S)
            return 200, {}
        wave = self._wave_records.get(fields["Wave"])
        if wave is None or worker.machine not in wave["Machines"]:
            return 409, {"Reason": "wave"}
        if fields["Wave"] in worker.waves:
            return 200, {}
        if worker.state != "up":
            return 409, {"Reason": "busy"}
        down = [
            other.machine
            for other in self.workers.values()
            if other.down_for_wave == fields["Wave"]
        ]
        self.record.add(f"upkeep of {worker.machine} begins; down for theirs: {down}")
        if len(down) >= wave["Maximum"]:
            self.violation(
                f"the upkeep of {worker.machine} begins while {down} are down for "
                f"theirs; Maximum is {wave['Maximum']}"
            )
        worker.waves.add(fields["Wave"])
        worker.down_for_wave = fields["Wave"]
        worker.take_down("upkeep", UPKEEP_S)
        return 200, {}

    def add_wave(self, number, machines, *, duration_s, maximum):
        """Write a wave of upkeep."""
        wave = {
            "Wave": number,
            "Machines": machines,
            "DurationS": duration_s,
            "Maximum": maximum,
        }
        self._wave_records[number] = wave
        self.store.put("keyed.op", f"wave/{number}", json.dumps(wave).encode())
        self.record.add(f"wave {wave} is acknowledged")


class Entry:
    """A process of the system, started with the command of the deploy file."""

    def __init__(self, *, number, platform, directory):
        # The host differs, so that the ports of the deploy file could be used.
        self.name = f"edge-a-{number}"
        self.host = f"127.3.0.{number}"
        self._sockets = [_reserve(self.host) for _ in range(4)]
        front, ready, peer, metrics = [s.getsockname()[1] for s in self._sockets]
        self.front_port, self.ready_port, self.peer_port = front, ready, peer
        self.metrics_port = metrics
        self._record = platform.record
        self._log = directory / f"{self.name}.log"
        self._settings = directory / f"{self.name}.toml"
        self._process = None
        values = {
            "instance": self.name,
            "data_centre": "a",
            "front": f"{self.host}:{front}",
            "readiness": f"{self.host}:{ready}",
            "peer_host": self.host,
            "peer_port": peer,
            "metrics_port": metrics,
            "store": platform.store_address,
            "membership_ttl_least_ms": 1000,
            "store_partitions": 8,
            "cloud": platform.cloud_address,
            "orders_per_s": 64.0,
            "lease_most_ms": LEASE_MOST_MS,
            "order_turn_ms": 3000,
            "are_orders_fenced": True,
            "stop_ms": STOP_TIMEOUT_MS,
            "remote_factor": 1.5,
            "upkeep_s": UPKEEP_S,
            "status_kept_s": 120,
            "processors": 2,
            "processor_share": 0.537,
            "grace_s": 6,
        }
        lines = [f"{key} = {json.dumps(value)}\n" for key, value in values.items()]
        self._settings.write_text("".join(lines))

    @property
    def pid(self):
        """Id of the process."""
        return self._process.pid

    def start(self):
        """Start the process."""
        environment = {
            key: os.environ[key]
            for key in ("PATH", "HOME", "LANG")
            if key in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        command = ["python3", "-m", "cranberryport.node", "--settings"]
        with open(self._log, "ab") as log:
            self._process = subprocess.Popen(
                [*command, str(self._settings)],
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        self._record.add(f"process {self.name} is started")

    def signal(self, number):
        """Send a signal to the process."""
        self._record.add(f"process {self.name} gets {signal.Signals(number).name}")
        self._process.send_signal(number)

    async def restart(self):
        """Wait for the end of the process, and start it again."""
        while self._process.poll() is None:
            await asyncio.sleep(0.02)
        self.start()

    def end(self):
        """End the process for good."""
        if self._process is not None and self._process.poll() is None:
            self._process.kill()
            self._process.wait()
        for reserved in self._sockets:
            reserved.close()

    async def is_ready(self):
        """Return whether the balancer would send clients here."""
        status, _ = await call(self.host, self.ready_port, "GET", "/api/readyz")
        return status == 200

    async def is_controller(self):
        """Return whether this process schedules the jobs, by its metrics page."""
        status, text = await call(self.host, self.metrics_port, "GET", "/metrics")
        return status == 200 and _has_gauge(text, "is_leading", 1)

    async def request(self, method, path, body=None, *, deadline_ms=3000):
        """Send a client's request; return status and fields, status 0 for none."""
        status, text = await call(
            self.host,
            self.front_port,
            method,
            path,
            body,
            headers={"Host": "fleet.example", "Deadline-Ms": str(deadline_ms)},
            timeout_s=deadline_ms / 1000,
        )
        fields = _load(text)
        self._record.add(
            f"client: {method} {path} at {self.name} -> {status} {json.dumps(fields)}"
        )
        return status, fields


def _has_gauge(text, name, value):
    for line in text.splitlines():
        parts = line.split()
        if len(parts) >= 2 and name in parts[0] and not line.startswith("#"):
            return float(parts[1]) == value
    return False


def _load(text):
    try:
        return json.loads(text or "{}")
    except ValueError:
        return {}


def _reserve(host):
    """Bind a free port that the process can bind too, but no other socket gets."""
    reserved = socket.socket()
    reserved.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    reserved.bind((host, 0))
    return reserved


async def call(host, port, method, path, body=None, *, headers=None, timeout_s=2.0):
    """Send one request on a connection of its own; status 0 if there is no answer."""
    try:
        return await asyncio.wait_for(
            _call(host, port, method, path, body, headers or {}), timeout_s
        )
    except (OSError, EOFError, TimeoutError, ValueError, IndexError):
        return 0, ""


async def _call(host, port, method, path, body, headers):
    reader, writer = await asyncio.open_connection(host, port)
    try:
        data = b"" if body is None else json.dumps(body).encode()
        lines = [f"{method} {path} HTTP/1.1"]
        all_headers = {"Host": f"{host}:{port}", **headers}
        if body is not None:
            all_headers["Content-Type"] = "application/json"
            all_headers["Content-Length"] = str(len(data))
        all_headers["Connection"] = "close"
        lines += [f"{name}: {value}" for name, value in all_headers.items()]
        writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + data)
        head = await reader.readuntil(b"\r\n\r\n")
        status = int(head.split()[1])
        length = 0
        is_chunked = False
        for line in head.lower().split(b"\r\n"):
            if line.startswith(b"content-length:"):
                length = int(line.split(b":")[1])
            is_chunked |= line.startswith(b"transfer-encoding:") and b"chunked" in line
        if is_chunked:
            text = await reader.read()
        else:
            text = await reader.readexactly(length)
        return status, text.decode()
    finally:
        writer.close()


def make_job(*steps):
    """Return the body of a submission.

    Each step has the fields of the specification (see :class:`Worker`), and under
    ``fields`` further ones of the submission.
    """
    rows = []
    for step in steps:
        rows.append(
            {
                "Count": step["count"],
                "Cpu": step["cpu"],
                "MemMb": step["mem"],
                "EstimateMs": step["ms"] + step.get("spread_ms", 0) // 2,
                **step.get("fields", {}),
            }
        )
    spec_steps = [{k: v for k, v in s.items() if k != "fields"} for s in steps]
    return {"Spec": json.dumps({"steps": spec_steps}), "Steps": rows}


def new_id():
    """Return the id of a new job."""
    return f"{random.getrandbits(64):016x}"


class Fleet:
    """A platform and entry instances, for the time of a case."""

    def __init__(self, record, directory):
        self.record = record
        self.platform = Platform(record)
        self._directory = directory
        self.entries = []

    async def start(self, pools, *, entry_count=3, standby=(), **options):
        """Start everything, and wait until it is ready for clients."""
        await self.platform.start(pools, **options)
        self.platform.configure(pools, standby=standby)
        for number in range(1, entry_count + 1):
            entry = Entry(
                number=number, platform=self.platform, directory=self._directory
            )
            self.entries.append(entry)
            entry.start()
        deadline = time.monotonic() + READY_TIMEOUT_S
        while not all([await e.is_ready() for e in self.entries]):
            if time.monotonic() > deadline:
                raise CannotRun("the entry instances are not ready in time")
            await asyncio.sleep(0.1)
        await self.find_controller()
        # The traffic of a deployment starts some seconds after its machines.
        await asyncio.sleep(2.0)

    async def find_controller(self, timeout_s=READY_TIMEOUT_S):
        """Return the entry instance that schedules the jobs."""
        deadline = time.monotonic() + timeout_s
        while time.monotonic() < deadline:
            for entry in self.entries:
                if await entry.is_controller():
                    return entry
            await asyncio.sleep(0.1)
        raise CannotRun("no entry instance says that it schedules the jobs")

    async def submit(self, entry, pool, job_id, body, *, tries=5):
        """Hand a job in as a client does; retries reach other entry instances.

        Returns
        -------
        bool
            Whether the job was accepted.
        """
        first = self.entries.index(entry)
        for number in range(tries):
            entry = self.entries[(first + number) % len(self.entries)]
            status, _ = await entry.request("POST", f"/{pool}/{job_id}", body)
            if 200 <= status < 300:
                return True
            await asyncio.sleep(1.0 if status in (429, 503) else 0.2)
        return False

    async def state(self, pool, job_id):
        """Return the state that a client is told, 410, or None without an answer."""
        for entry in self.entries:
            status, fields = await entry.request("GET", f"/{pool}/{job_id}")
            if status == 200:
                return fields.get("State")
            if status == 410:
                return 410
        return None

    def end(self):
        """End all processes."""
        for entry in self.entries:
            entry.end()


def main(case, path):
    """Play a case; return 1 if the rule was broken, 0 if it held, 2 otherwise.

    Parameters
    ----------
    case : callable
        Coroutine function that takes a :class:`Fleet` and whether there is trouble.
        It reports broken rules with ``Platform.violation``.
    path : str
        File of the case, beside which ``record.txt`` is written.
    """
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    # Connections that are open at the end of a case are of no interest.
    logging.getLogger("asyncio").setLevel(logging.CRITICAL)
    folder = pathlib.Path(path).resolve().parent
    record = Record(folder / "record.txt")
    directory = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
    fleet = Fleet(record, directory)
    result = 2
    try:
        asyncio.run(asyncio.wait_for(case(fleet, has_trouble), 110.0))
        result = 1 if fleet.platform.violations else 0
    except (CannotRun, TimeoutError, OSError) as error:
        record.add(f"the case could not run: {error!r}")
    finally:
        fleet.end()
        _keep_logs(directory, record)
        shutil.rmtree(directory)
    verdict = {0: "the rule held", 1: "the rule was broken"}.get(result, "did not run")
    text = f"trouble {int(has_trouble)}: {verdict}"
    record.add(text)
    print(text)
    for violation in fleet.platform.violations[:5]:
        print("  " + violation)
    sys.exit(result)


def _keep_logs(directory, record):
    """Copy what the processes say of decisions that a reader of a case may look for."""
    words = ("job given up", "crashed under", "role", "job ended", "run lost")
    for path in sorted(directory.glob("*.log")):
        lines = path.read_text(errors="replace").splitlines()
        found = [line for line in lines if any(word in line for word in words)]
        for line in found[:15]:
            record.add(f"log of {path.stem}: {line[:400]}")
    kept = os.environ.get("REVIEW_LOGS")
    if kept:
        shutil.copytree(directory, kept, dirs_exist_ok=True)
