"""Stand-in for the platform's list of instances, which shows changes with a delay.

``GET /instances`` returns the list as it was ``--lag-s`` seconds ago.
``POST /instances/{name}/reboot`` reboots an instance by an order to its stand-in.
``POST /control`` changes the list, or lets the stand-in answer all requests with 503.
"""

import json
import socket
import threading
import time

from standins import calls, serving

STATUSES = {"live", "leaving", "failed", "unknown"}
MODES = {"up", "down"}
# Fields of an instance that the list shows.
LISTED_FIELDS = (
    "name",
    "host",
    "port",
    "kind",
    "service",
    "slots",
    "processors",
    "memory_mb",
    "accelerators",
    "data_centre",
    "rack",
    "status",
)
REBOOT_POLL_INTERVAL_S = 0.1
REBOOT_TIMEOUT_S = 120.0
# Field of a reboot order that names the instance, by kind of the instance.
ORDER_NAME_FIELDS = {"backend_server": "server", "worker": "worker"}


class InstanceList:
    """The instance list, as the application of a server.

    Parameters
    ----------
    instances : list of dict
        Fields as in ``LISTED_FIELDS``, and ``control_port``, the port for ``/control``
        of the stand-in that runs the instance.
    lag_s : float
        Delay in seconds with which ``GET /instances`` shows changes.
    reboot_s : float
        Time in seconds that an instance is down during a reboot.
    """

    def __init__(self, *, instances, lag_s, reboot_s):
        self._lag_s = lag_s
        self._reboot_s = reboot_s
        self._lock = threading.Lock()
        self._mode = "up"
        self._reboots = []
        self._instances = {}
        for instance in instances:
            self._instances[instance["name"]] = {"status": "live", **instance}
        # The first list is available from the start, without the lag.
        self._history = [(float("-inf"), self._current_list())]

    def __call__(self, handler):
        """Answer a request."""
        segments, method = handler.path_segments, handler.command
        body = serving.read_json(handler)
        if segments == ["control"]:
            if method == "POST":
                self._apply_order(body)
            handler.send_json(200, self._describe())
            return
        if self._mode == "down":
            raise serving.RequestError(503, "the instance list is down")
        if segments == ["instances"] and method == "GET":
            handler.send_json(200, self._delayed_list())
        elif len(segments) == 3 and segments[::2] == ["instances", "reboot"]:
            handler.send_json(202, self._start_reboot(segments[1]))
        else:
            raise serving.RequestError(404, f"no such resource {handler.path!r}")

    def _current_list(self):
        return [
            {key: instance[key] for key in LISTED_FIELDS if key in instance}
            for instance in self._instances.values()
        ]

    def _record_list(self):
        now = time.monotonic()
        self._history.append((now, self._current_list()))
        while len(self._history) > 1 and self._history[1][0] <= now - self._lag_s:
            self._history.pop(0)

    def _delayed_list(self):
        with self._lock:
            latest = time.monotonic() - self._lag_s
            lists = [instances for at, instances in self._history if at <= latest]
            return {"as_of": time.time() - self._lag_s, "instances": lists[-1]}

    def _set_status(self, name, status):
        with self._lock:
            if name in self._instances:
                self._instances[name]["status"] = status
                self._record_list()

    def _start_reboot(self, name):
        with self._lock:
            instance = self._instances.get(name)
            if instance is None:
                raise serving.RequestError(404, f"no instance {name!r} in the list")
            if any(row["name"] == name and not row["end"] for row in self._reboots):
                # The client repeats a request whose response was lost; this must not
                # reboot the instance a second time.
                return {"name": name, "status": instance["status"]}
            reboot = {"name": name, "start": time.time(), "end": None}
            self._reboots.append(reboot)
        self._set_status(name, "leaving")
        arguments = (dict(instance), reboot)
        threading.Thread(target=self._run_reboot, args=arguments, daemon=True).start()
        return {"name": name, "status": "leaving"}

    def _run_reboot(self, instance, reboot):
        order = {
            ORDER_NAME_FIELDS[instance["kind"]]: instance["name"],
            "reboot_s": self._reboot_s,
        }
        status = "failed"
        try:
            host, port = instance["host"], instance["control_port"]
            calls.post_json(port, "/control", order, host=host)
            if _wait_until_listening(instance["host"], instance["port"]):
                status = "live"
        finally:
            self._set_status(instance["name"], status)
            reboot["end"] = time.time()

    def _apply_order(self, order):
        """Apply the body of a ``POST /control`` request.

        ``status`` has statuses by name of the instance, ``add`` has instances, and
        ``remove`` has names.
        """
        if "mode" in order:
            serving.check_choice("mode", order["mode"], MODES)
            self._mode = order["mode"]
        if "lag_s" in order:
            self._lag_s = float(order["lag_s"])
        if "reboot_s" in order:
            self._reboot_s = float(order["reboot_s"])
        with self._lock:
            for name, status in order.get("status", {}).items():
                serving.check_choice("status", status, STATUSES)
                serving.check_choice("instance", name, self._instances)
                self._instances[name]["status"] = status
            for instance in order.get("add", []):
                self._instances[instance["name"]] = {"status": "live", **instance}
            for name in order.get("remove", []):
                self._instances.pop(name, None)
            self._record_list()

    def _describe(self):
        with self._lock:
            return {
                "mode": self._mode,
                "lag_s": self._lag_s,
                "reboots": list(self._reboots),
                "instances": self._current_list(),
            }


def _wait_until_listening(host, port):
    deadline = time.monotonic() + REBOOT_TIMEOUT_S
    while time.monotonic() < deadline:
        try:
            socket.create_connection((host, port), timeout=1.0).close()
            return True
        except OSError:
            time.sleep(REBOOT_POLL_INTERVAL_S)
    return False


def main():
    """Run the instance list."""
    parser = serving.make_argument_parser(__doc__.splitlines()[0])
    parser.add_argument("--instances", required=True, help="JSON list of instances")
    parser.add_argument("--lag-s", type=float, default=1.0)
    parser.add_argument("--reboot-s", type=float, default=2.0)
    arguments = parser.parse_args()
    with open(arguments.instances, encoding="utf-8") as file:
        instances = json.load(file)
    application = InstanceList(
        instances=instances, lag_s=arguments.lag_s, reboot_s=arguments.reboot_s
    )
    server = serving.Server(
        host=arguments.host, port=arguments.port, application=application
    )
    server.start()
    serving.announce_and_wait({"port": server.port}, arguments.max_seconds)


if __name__ == "__main__":
    main()
