"""Stand-in for the platform's lagging list of instances.

``GET /instances`` gives the list as it was ``--lag-s`` ago,
``POST /instances/{name}/reboot`` reboots an instance, and ``POST /control`` changes the
list or switches the stand-in off.
"""

import json
import socket
import threading
import time

from standins import calls, serving

STATUSES = {"live", "leaving", "failed", "unknown"}
MODES = {"up", "down"}
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
REBOOT_DEADLINE_S = 120.0
# The control port that is told to reboot, and the field that names the instance there.
CONTROL_FIELDS = {"backend_server": "server", "worker": "worker"}


class InstanceList:
    """The application.

    Parameters
    ----------
    instances : list of dict
        Fields as in ``LISTED_FIELDS``, and ``control_port`` of the stand-in that
        serves the instance.
    lag_s : float
        Age of the list that is given out, in seconds.
    reboot_s : float
        Time in seconds that a reboot takes.
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
        # The first list counts as old, so that a start does not wait for the lag.
        self._history = [(float("-inf"), self._listing())]

    def __call__(self, handler):
        """Answer a request."""
        parts, method = handler.parts, handler.command
        body = serving.read_json(handler)
        if parts == ["control"]:
            if method == "POST":
                self._change(body)
            handler.send_json(200, self._describe())
            return
        if self._mode == "down":
            raise serving.RequestError(503, "the instance list is down")
        if parts == ["instances"] and method == "GET":
            handler.send_json(200, self._lagging())
        elif len(parts) == 3 and parts[::2] == ["instances", "reboot"]:
            handler.send_json(202, self._reboot(parts[1]))
        else:
            raise serving.RequestError(404, f"no such resource {handler.path!r}")

    def _listing(self):
        return [
            {key: instance[key] for key in LISTED_FIELDS if key in instance}
            for instance in self._instances.values()
        ]

    def _record(self):
        now = time.monotonic()
        self._history.append((now, self._listing()))
        while len(self._history) > 1 and self._history[1][0] <= now - self._lag_s:
            self._history.pop(0)

    def _lagging(self):
        with self._lock:
            limit = time.monotonic() - self._lag_s
            listings = [listing for at, listing in self._history if at <= limit]
            return {"as_of": time.time() - self._lag_s, "instances": listings[-1]}

    def _set_status(self, name, status):
        with self._lock:
            if name in self._instances:
                self._instances[name]["status"] = status
                self._record()

    def _reboot(self, name):
        with self._lock:
            instance = self._instances.get(name)
            if instance is None:
                raise serving.RequestError(404, f"no instance {name!r} in the list")
            if any(row["name"] == name and not row["end"] for row in self._reboots):
                # A repeat after a lost answer must not reboot the instance again.
                return {"name": name, "status": instance["status"]}
            reboot = {"name": name, "start": time.time(), "end": None}
            self._reboots.append(reboot)
        self._set_status(name, "leaving")
        arguments = (dict(instance), reboot)
        threading.Thread(target=self._run_reboot, args=arguments, daemon=True).start()
        return {"name": name, "status": "leaving"}

    def _run_reboot(self, instance, reboot):
        order = {
            CONTROL_FIELDS[instance["kind"]]: instance["name"],
            "reboot_s": self._reboot_s,
        }
        status = "failed"
        try:
            host, port = instance["host"], instance["control_port"]
            calls.post_json(port, "/control", order, host=host)
            if _wait_until_accepting(instance["host"], instance["port"]):
                status = "live"
        finally:
            self._set_status(instance["name"], status)
            reboot["end"] = time.time()

    def _change(self, order):
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
            self._record()

    def _describe(self):
        with self._lock:
            return {
                "mode": self._mode,
                "lag_s": self._lag_s,
                "reboots": list(self._reboots),
                "instances": self._listing(),
            }


def _wait_until_accepting(host, port):
    deadline = time.monotonic() + REBOOT_DEADLINE_S
    while time.monotonic() < deadline:
        try:
            socket.create_connection((host, port), timeout=1.0).close()
            return True
        except OSError:
            time.sleep(REBOOT_POLL_INTERVAL_S)
    return False


def main():
    """Run the stand-in."""
    parser = serving.parser(__doc__.splitlines()[0])
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
    serving.run({"port": server.port}, arguments.max_seconds)


if __name__ == "__main__":
    main()
