"""Stand-in for workers that run tasks under leases; one process serves many.

Every worker has its own port; one more port serves ``/control``. The payload of a task
is JSON text: ``{"seconds": s, "result": r}``, and optionally ``"impossible": true``,
``"processors_used"`` and ``"memory_mb_used"``.
"""

import json
import threading
import time

from standins import serving

MODES = {"up", "fail", "down"}
FAILURE_TIME_S = 0.05
FIELDS = ("processors", "memory_mb", "accelerators")
ACTIONS = {"renew", "stop", "checkpoint", "throttle"}


class Task:
    """A task under a lease.

    Parameters
    ----------
    task_id : str
        Id.
    order : dict
        Body of the ``PUT`` request.
    now : float
        Monotonic time in seconds.
    is_failing : bool
        Whether the worker fails everything.
    """

    def __init__(self, *, task_id, order, now, is_failing=False):
        payload = _parse_payload(order.get("payload", ""))
        self.task_id = task_id
        self.term = int(order["term"])
        self.sizes = {name: order.get(name, 0) for name in FIELDS}
        self.used = {
            name: payload.get(f"{name}_used", self.sizes[name]) for name in FIELDS
        }
        self.state = "running"
        self.result = None
        self.reason = ""
        self.lease_end = now + float(order["lease_s"])
        self.speed = 1.0
        self.started = now
        self.ended = None
        self._result = payload.get("result", "")
        self._failure = _failure_text(payload, is_failing)
        self._seconds = float(payload.get("seconds", 0.0))
        if self._failure:
            self._seconds = min(self._seconds, FAILURE_TIME_S)
        self._progress_s = _parse_checkpoint(order.get("checkpoint", ""))
        self._advanced = now

    @property
    def due(self):
        """Time at which the task ends by itself or by its lease."""
        left_s = max(0.0, self._seconds - self._progress_s)
        finish = self._advanced + left_s / self.speed if self.speed else float("inf")
        return min(finish, self.lease_end)

    def advance(self, now):
        """Let the task run until a time."""
        if self.state != "running":
            return
        due = self.due
        self._progress_s += (min(now, due) - self._advanced) * self.speed
        self._advanced = min(now, due)
        if now < due:
            return
        if due >= self.lease_end:
            self.end(due, "lapsed", reason="the lease ended")
        elif self._failure:
            self.end(due, "failed", reason=self._failure)
        else:
            self.result = self._result
            self.end(due, "finished")

    def end(self, now, state, reason=""):
        """End the task."""
        self.state = state
        self.reason = reason
        self.ended = now

    def checkpoint(self):
        """Return a checkpoint, which a later task may start from."""
        return json.dumps({"progress_s": self._progress_s})

    def describe(self, now):
        """Return the task as a map."""
        end = now if self.ended is None else self.ended
        return {
            "id": self.task_id,
            "term": self.term,
            "state": self.state,
            "result": self.result,
            "reason": self.reason,
            **self.sizes,
            "processors_used": self.used["processors"],
            "memory_mb_used": self.used["memory_mb"],
            "runtime_s": end - self.started,
            "lease_left_s": max(0.0, self.lease_end - now),
        }


class Worker:
    """One worker.

    Parameters
    ----------
    name : str
        Name, unique in the process.
    sizes : dict
        ``processors``, ``memory_mb`` and ``accelerators``.
    usage_lag_s : float
        Age of the usage that is reported, in seconds.
    """

    def __init__(self, *, name, sizes, usage_lag_s):
        self.name = name
        self.mode = "up"
        self._sizes = sizes
        self._usage_lag_s = usage_lag_s
        self._lock = threading.Lock()
        self._tasks = {}
        self._starts = []
        self._usage = [(float("-inf"), self._measure())]

    def __call__(self, handler):
        """Answer a request."""
        order = serving.read_json(handler)
        if self.mode == "down":
            raise serving.RequestError(503, f"worker {self.name!r} is down")
        answer = self.handle_request(
            handler.command, handler.parts, order, time.monotonic()
        )
        handler.send_json(200, answer)

    def handle_request(self, method, parts, order, now):
        """Return the answer to a request at a time.

        Parameters
        ----------
        method : str
            Method.
        parts : list of str
            Parts of the path.
        order : dict
            Body.
        now : float
            Monotonic time in seconds.

        Returns
        -------
        dict
            Body of the answer with status 200.

        Raises
        ------
        serving.RequestError
            For any other answer.
        """
        with self._lock:
            self._advance(now)
            return self._route(method, parts, order, now)

    def describe(self):
        """Return the state and all starts as a map."""
        with self._lock:
            now = time.monotonic()
            self._advance(now)
            tasks = [task.describe(now) for task in self._tasks.values()]
            return {"mode": self.mode, "tasks": tasks, "starts": list(self._starts)}

    def lose_tasks(self):
        """End all tasks, as a reboot does."""
        with self._lock:
            now = time.monotonic()
            self._advance(now)
            for task in self._tasks.values():
                if task.state == "running":
                    task.end(now, "stopped", reason="the worker was rebooted")
            self._record(now)

    def _route(self, method, parts, order, now):
        if method == "GET" and parts == ["tasks"]:
            return self._list_tasks(now)
        if method == "GET" and parts == ["usage"]:
            return self._lagging_usage(now)
        if method == "PUT" and len(parts) == 2 and parts[0] == "tasks":
            return self._start(parts[1], order, now)
        if method == "POST" and len(parts) == 3 and parts[0] == "tasks":
            return self._act(parts[1], parts[2], order, now)
        raise serving.RequestError(404, "no such resource")

    def _list_tasks(self, now):
        tasks = [task.describe(now) for task in self._tasks.values()]
        return {"worker": self.name, "capacity": self._sizes, "tasks": tasks}

    def _start(self, task_id, order, now):
        _check_order(order)
        known = self._tasks.get(task_id)
        if known is not None:
            self._check_term(known, order)
            if known.term == int(order["term"]):
                # A repeat after a lost answer must not start the task again.
                return known.describe(now)
        self._check_sizes(order, replaced=known)
        task = Task(
            task_id=task_id, order=order, now=now, is_failing=self.mode == "fail"
        )
        self._tasks[task_id] = task
        self._starts.append({"id": task_id, "term": task.term, "start": time.time()})
        self._record(now)
        return task.describe(now)

    def _check_term(self, task, order):
        term = int(order.get("term", task.term))
        if term < task.term:
            text = f"term {term} of task {task.task_id!r} is older than {task.term}"
            raise serving.RequestError(409, text, term=task.term)

    def _check_sizes(self, order, replaced):
        used = self._reserved(without=replaced)
        for name in FIELDS:
            asked, total = order.get(name, 0), self._sizes.get(name, 0)
            if asked > total:
                text = f"{name} {asked} is more than the worker has: {total}"
                raise serving.RequestError(507, text, reason="beyond-worker")
            if asked > total - used[name]:
                free = total - used[name]
                text = f"{name} {asked} is more than is free: {free} of {total}"
                raise serving.RequestError(507, text, reason="no-room")

    def _reserved(self, without=None):
        tasks = [
            task
            for task in self._tasks.values()
            if task.state == "running" and task is not without
        ]
        return {name: sum(task.sizes[name] for task in tasks) for name in FIELDS}

    def _act(self, task_id, action, order, now):
        serving.check_choice("action", action, ACTIONS)
        task = self._tasks.get(task_id)
        if task is None:
            raise serving.RequestError(404, f"no task {task_id!r}")
        self._check_term(task, order)
        if task.state != "running" and action != "stop":
            text = f"task {task_id!r} is {task.state}"
            raise serving.RequestError(409, text, state=task.state)
        answer = {}
        if action == "renew":
            task.lease_end = now + float(order["lease_s"])
        elif action == "checkpoint":
            answer = {"checkpoint": task.checkpoint()}
        elif action == "throttle":
            task.speed = min(1.0, max(0.0, float(order["fraction"])))
        elif task.state == "running":
            task.end(now, "stopped", reason="stopped on request")
        self._record(now)
        return {**task.describe(now), **answer}

    def _advance(self, now):
        running = [task for task in self._tasks.values() if task.state == "running"]
        for task in sorted(running, key=lambda task: task.due):
            task.advance(now)
            if task.ended is not None:
                self._record(task.ended)

    def _measure(self):
        running = [task for task in self._tasks.values() if task.state == "running"]
        usage = {name: sum(task.used[name] for task in running) for name in FIELDS}
        tasks = {task.task_id: dict(task.used) for task in running}
        return {**usage, "tasks": tasks}

    def _record(self, now):
        self._usage.append((now, self._measure()))
        while len(self._usage) > 1 and self._usage[1][0] <= now - self._usage_lag_s:
            self._usage.pop(0)

    def _lagging_usage(self, now):
        limit = now - self._usage_lag_s
        usage = [usage for at, usage in self._usage if at <= limit]
        as_of = time.time() - self._usage_lag_s
        return {"as_of": as_of, "capacity": self._sizes, "used": usage[-1]}


class Control:
    """Application of the control port.

    Parameters
    ----------
    workers : dict of str to Worker
        The workers by name.
    servers : dict of str to serving.Server
        Their ports by name.
    """

    def __init__(self, *, workers, servers):
        self._workers = workers
        self._servers = servers

    def __call__(self, handler):
        """Answer a request to ``/control``."""
        if handler.parts != ["control"]:
            raise serving.RequestError(404, f"no such resource {handler.path!r}")
        order = serving.read_json(handler)
        if handler.command == "POST":
            self._change(order)
        workers = {name: worker.describe() for name, worker in self._workers.items()}
        handler.send_json(200, {"workers": workers})

    def _change(self, order):
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
        self._workers[name].lose_tasks()
        if self._servers[name].stop():
            serving.call_later(duration_s, self._servers[name].restart)


def _parse_payload(payload):
    if isinstance(payload, dict):
        return payload
    try:
        value = json.loads(payload or "{}")
    except ValueError:
        value = None
    # A payload in another form can never run.
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


def _check_order(order):
    for name in ("term", "lease_s", "processors", "memory_mb", "accelerators"):
        value = order.get(name, 0)
        if isinstance(value, bool) or not isinstance(value, int | float) or value < 0:
            text = f"{name} {value!r} is no number from 0 on"
            raise serving.RequestError(400, text)
    for name in ("term", "lease_s"):
        if name not in order:
            raise serving.RequestError(400, f"{name} is missing")


def main():
    """Run the stand-in."""
    parser = serving.parser(__doc__.splitlines()[0])
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
            sizes={field: description.get(field, 0) for field in FIELDS},
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
    serving.run({"port": control.port, "ports": ports}, arguments.max_seconds)


if __name__ == "__main__":
    main()
