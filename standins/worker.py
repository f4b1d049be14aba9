"""Stand-in for workers, which run tasks under leases; one process runs many of them.

Every worker has its own port; one more port serves ``/control``. Tasks are simulated:
the payload of a task is JSON that says how it runs, with ``"seconds"`` (its run time)
and ``"result"``, and optionally ``"impossible": true`` (it fails),
``"processors_used"`` and ``"memory_mb_used"`` (by default what the task reserves).
"""

import json
import threading
import time

from standins import serving

# fail: all tasks that are started fail; down: all requests are answered with 503.
MODES = {"up", "fail", "down"}
# A task that fails does so after this time at the latest.
MAX_TIME_TO_FAILURE_S = 0.05
# Resources of a worker, which tasks reserve.
RESOURCE_FIELDS = ("processors", "memory_mb", "accelerators")
ACTIONS = {"renew", "stop", "checkpoint", "throttle"}


class Task:
    """A simulated task with the lease that limits its run time.

    Parameters
    ----------
    task_id : str
        Id.
    order : dict
        Body of the ``PUT`` request that starts it.
    now : float
        Monotonic time in seconds.
    is_failing : bool
        Whether the task fails whatever its payload says.
    """

    def __init__(self, *, task_id, order, now, is_failing=False):
        payload = _parse_payload(order.get("payload", ""))
        self.task_id = task_id
        self.term = int(order["term"])
        self.sizes = {name: order.get(name, 0) for name in RESOURCE_FIELDS}
        self.used = {
            name: payload.get(f"{name}_used", self.sizes[name])
            for name in RESOURCE_FIELDS
        }
        self.state = "running"
        self.result = None
        self.reason = ""
        self.lease_end = now + float(order["lease_s"])
        self.speed = 1.0
        self.started_at = now
        self.ended_at = None
        self._payload_result = payload.get("result", "")
        self._failure = _failure_text(payload, is_failing)
        self._duration_s = float(payload.get("seconds", 0.0))
        if self._failure:
            self._duration_s = min(self._duration_s, MAX_TIME_TO_FAILURE_S)
        self._progress_s = _parse_checkpoint(order.get("checkpoint", ""))
        self._advanced_at = now

    @property
    def ends_at(self):
        """Monotonic time at which the task finishes, fails or loses its lease."""
        left_s = max(0.0, self._duration_s - self._progress_s)
        finish = self._advanced_at + left_s / self.speed if self.speed else float("inf")
        return min(finish, self.lease_end)

    def advance(self, now):
        """Simulate the task up to a time; end it if it is over by then."""
        if self.state != "running":
            return
        ends_at = self.ends_at
        self._progress_s += (min(now, ends_at) - self._advanced_at) * self.speed
        self._advanced_at = min(now, ends_at)
        if now < ends_at:
            return
        if ends_at >= self.lease_end:
            self.end(ends_at, "lapsed", reason="the lease ended")
        elif self._failure:
            self.end(ends_at, "failed", reason=self._failure)
        else:
            self.result = self._payload_result
            self.end(ends_at, "finished")

    def end(self, now, state, reason=""):
        """Set the final state of the task and the time of its end."""
        self.state = state
        self.reason = reason
        self.ended_at = now

    def checkpoint(self):
        """Return the progress as a checkpoint, from which a later start resumes."""
        return json.dumps({"progress_s": self._progress_s})

    def describe(self, now):
        """Return the task as a dict for JSON."""
        end = now if self.ended_at is None else self.ended_at
        return {
            "id": self.task_id,
            "term": self.term,
            "state": self.state,
            "result": self.result,
            "reason": self.reason,
            **self.sizes,
            "processors_used": self.used["processors"],
            "memory_mb_used": self.used["memory_mb"],
            "runtime_s": end - self.started_at,
            "lease_left_s": max(0.0, self.lease_end - now),
        }


class Worker:
    """One worker and the tasks that it has been given.

    Parameters
    ----------
    name : str
        Name, unique in the process.
    sizes : dict
        Amount of each of ``RESOURCE_FIELDS``.
    usage_lag_s : float
        Delay in seconds with which ``GET /usage`` reports the usage.
    """

    def __init__(self, *, name, sizes, usage_lag_s):
        self.name = name
        self.mode = "up"
        self._sizes = sizes
        self._usage_lag_s = usage_lag_s
        self._lock = threading.Lock()
        self._tasks = {}
        self._starts = []
        self._usage_history = [(float("-inf"), self._measure_usage())]

    def __call__(self, handler):
        """Answer a request to the port of the worker."""
        order = serving.read_json(handler)
        if self.mode == "down":
            raise serving.RequestError(503, f"worker {self.name!r} is down")
        response = self.handle_request(
            handler.command, handler.path_segments, order, time.monotonic()
        )
        handler.send_json(200, response)

    def handle_request(self, method, path_segments, order, now):
        """Handle a request that arrives at a given time.

        Parameters
        ----------
        method : str
            HTTP method.
        path_segments : list of str
            Segments of the path.
        order : dict
            JSON object of the request body.
        now : float
            Monotonic time in seconds.

        Returns
        -------
        dict
            JSON object of the response with status 200.

        Raises
        ------
        serving.RequestError
            For a response with any other status.
        """
        with self._lock:
            self._advance_tasks(now)
            return self._route(method, path_segments, order, now)

    def describe(self):
        """Return the mode, the tasks and all starts as a dict for JSON."""
        with self._lock:
            now = time.monotonic()
            self._advance_tasks(now)
            tasks = [task.describe(now) for task in self._tasks.values()]
            return {"mode": self.mode, "tasks": tasks, "starts": list(self._starts)}

    def stop_all_tasks(self):
        """Stop all running tasks, as a reboot does."""
        with self._lock:
            now = time.monotonic()
            self._advance_tasks(now)
            for task in self._tasks.values():
                if task.state == "running":
                    task.end(now, "stopped", reason="the worker was rebooted")
            self._record_usage(now)

    def _route(self, method, path_segments, order, now):
        if method == "GET" and path_segments == ["tasks"]:
            return self._list_tasks(now)
        if method == "GET" and path_segments == ["usage"]:
            return self._delayed_usage(now)
        if method == "PUT" and len(path_segments) == 2 and path_segments[0] == "tasks":
            return self._start_task(path_segments[1], order, now)
        if method == "POST" and len(path_segments) == 3 and path_segments[0] == "tasks":
            return self._apply_action(path_segments[1], path_segments[2], order, now)
        raise serving.RequestError(404, "no such resource")

    def _list_tasks(self, now):
        tasks = [task.describe(now) for task in self._tasks.values()]
        return {"worker": self.name, "capacity": self._sizes, "tasks": tasks}

    def _start_task(self, task_id, order, now):
        _check_numbers(order)
        known = self._tasks.get(task_id)
        if known is not None:
            self._check_term(known, order)
            if known.term == int(order["term"]):
                # The client repeats a start whose response was lost; this must not
                # start the task a second time.
                return known.describe(now)
        self._check_free_resources(order, replaced=known)
        task = Task(
            task_id=task_id, order=order, now=now, is_failing=self.mode == "fail"
        )
        self._tasks[task_id] = task
        self._starts.append({"id": task_id, "term": task.term, "start": time.time()})
        self._record_usage(now)
        return task.describe(now)

    def _check_term(self, task, order):
        term = int(order.get("term", task.term))
        if term < task.term:
            text = f"term {term} of task {task.task_id!r} is older than {task.term}"
            raise serving.RequestError(409, text, term=task.term)

    def _check_free_resources(self, order, replaced):
        reserved = self._reserved_resources(without=replaced)
        for name in RESOURCE_FIELDS:
            requested, total = order.get(name, 0), self._sizes.get(name, 0)
            if requested > total:
                text = f"{name} {requested} is more than the worker has: {total}"
                raise serving.RequestError(507, text, reason="beyond-worker")
            if requested > total - reserved[name]:
                free = total - reserved[name]
                text = f"{name} {requested} is more than is free: {free} of {total}"
                raise serving.RequestError(507, text, reason="no-room")

    def _reserved_resources(self, without=None):
        tasks = [
            task
            for task in self._tasks.values()
            if task.state == "running" and task is not without
        ]
        return {
            name: sum(task.sizes[name] for task in tasks) for name in RESOURCE_FIELDS
        }

    def _apply_action(self, task_id, action, order, now):
        serving.check_choice("action", action, ACTIONS)
        task = self._tasks.get(task_id)
        if task is None:
            raise serving.RequestError(404, f"no task {task_id!r}")
        self._check_term(task, order)
        if task.state != "running" and action != "stop":
            text = f"task {task_id!r} is {task.state}"
            raise serving.RequestError(409, text, state=task.state)
        added_fields = {}
        if action == "renew":
            task.lease_end = now + float(order["lease_s"])
        elif action == "checkpoint":
            added_fields = {"checkpoint": task.checkpoint()}
        elif action == "throttle":
            task.speed = min(1.0, max(0.0, float(order["fraction"])))
        elif task.state == "running":
            task.end(now, "stopped", reason="stopped on request")
        self._record_usage(now)
        return {**task.describe(now), **added_fields}

    def _advance_tasks(self, now):
        running = [task for task in self._tasks.values() if task.state == "running"]
        for task in sorted(running, key=lambda task: task.ends_at):
            task.advance(now)
            if task.ended_at is not None:
                self._record_usage(task.ended_at)

    def _measure_usage(self):
        running = [task for task in self._tasks.values() if task.state == "running"]
        usage = {
            name: sum(task.used[name] for task in running) for name in RESOURCE_FIELDS
        }
        tasks = {task.task_id: dict(task.used) for task in running}
        return {**usage, "tasks": tasks}

    def _record_usage(self, now):
        self._usage_history.append((now, self._measure_usage()))
        while (
            len(self._usage_history) > 1
            and self._usage_history[1][0] <= now - self._usage_lag_s
        ):
            self._usage_history.pop(0)

    def _delayed_usage(self, now):
        latest = now - self._usage_lag_s
        usage = [usage for at, usage in self._usage_history if at <= latest]
        as_of = time.time() - self._usage_lag_s
        return {"as_of": as_of, "capacity": self._sizes, "used": usage[-1]}


class Control:
    """Application of the port that serves ``/control``.

    Parameters
    ----------
    workers : dict of str to Worker
        Workers by name.
    servers : dict of str to serving.Server
        Their HTTP servers by name of the worker.
    """

    def __init__(self, *, workers, servers):
        self._workers = workers
        self._servers = servers

    def __call__(self, handler):
        """Answer a request to ``/control``."""
        if handler.path_segments != ["control"]:
            raise serving.RequestError(404, f"no such resource {handler.path!r}")
        order = serving.read_json(handler)
        if handler.command == "POST":
            self._apply_order(order)
        workers = {name: worker.describe() for name, worker in self._workers.items()}
        handler.send_json(200, {"workers": workers})

    def _apply_order(self, order):
        name = order.get("worker")
        if name is not None:
            serving.check_choice("worker", name, self._workers)
        for selected in [name] if name else list(self._workers):
            if "mode" in order:
                serving.check_choice("mode", order["mode"], MODES)
                self._workers[selected].mode = order["mode"]
            if "reboot_s" in order:
                self._reboot(selected, float(order["reboot_s"]))

    def _reboot(self, name, duration_s):
        self._workers[name].stop_all_tasks()
        if self._servers[name].stop():
            serving.call_later(duration_s, self._servers[name].restart)


def _parse_payload(payload):
    if isinstance(payload, dict):
        return payload
    try:
        value = json.loads(payload or "{}")
    except ValueError:
        value = None
    # A task with a payload in another form always fails.
    return value if isinstance(value, dict) else {"impossible": True}


def _parse_checkpoint(checkpoint):
    try:
        return float(json.loads(checkpoint)["progress_s"]) if checkpoint else 0.0
    except (ValueError, KeyError, TypeError) as error:
        text = f"the checkpoint {checkpoint!r} is not valid"
        raise serving.RequestError(400, text) from error


def _failure_text(payload, is_failing):
    if payload.get("impossible"):
        return "the payload can never run"
    return "the worker fails everything" if is_failing else ""


def _check_numbers(order):
    for name in ("term", "lease_s", "processors", "memory_mb", "accelerators"):
        value = order.get(name, 0)
        if isinstance(value, bool) or not isinstance(value, int | float) or value < 0:
            text = f"{name} {value!r} is no number from 0 on"
            raise serving.RequestError(400, text)
    for name in ("term", "lease_s"):
        if name not in order:
            raise serving.RequestError(400, f"{name} is missing")


def main():
    """Run the workers and their control port."""
    parser = serving.make_argument_parser(__doc__.splitlines()[0])
    parser.add_argument("--workers", required=True, help="JSON list of name and sizes")
    parser.add_argument("--usage-lag-s", type=float, default=2.0)
    arguments = parser.parse_args()
    with open(arguments.workers, encoding="utf-8") as file:
        descriptions = json.load(file)
    workers, servers = {}, {}
    for description in descriptions:
        name = description["name"]
        workers[name] = Worker(
            name=name,
            sizes={field: description.get(field, 0) for field in RESOURCE_FIELDS},
            usage_lag_s=arguments.usage_lag_s,
        )
        servers[name] = serving.Server(
            host=arguments.host,
            port=description.get("port", 0),
            application=workers[name],
        )
        servers[name].start()
    control = serving.Server(
        host=arguments.host,
        port=arguments.port,
        application=Control(workers=workers, servers=servers),
    )
    control.start()
    ports = {name: server.port for name, server in servers.items()}
    serving.announce_and_wait(
        {"port": control.port, "ports": ports}, arguments.max_seconds
    )


if __name__ == "__main__":
    main()
