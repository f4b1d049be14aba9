"""Stand-in for backend servers; one process serves many.

Every backend server has its own port. The process has one more port for ``/control``,
which changes behaviour and reports the executions. Request headers change the behaviour
for one request: ``Test-Delay-Ms`` and ``Test-Fail`` (one of ``FAILURES``).
``Test-Request`` is recorded with the execution and repeated in the answer, so that a
test recognizes a request whose other ids are changed on the way.
"""

import hashlib
import json
import threading
import time

from standins import serving

FAILURES = {
    "refuse",
    "error",
    "silence",
    "cut",
    "twice",
    "twice-late",
    "twice-late-unnamed",
    "crossed",
    "close",
    "no-length",
}
MODES = FAILURES | {"up"}
CUT_CHECK_INTERVAL_S = 0.05
# Time from an answer to its repeat: enough for the next request to be on its way.
LATE_ANSWER_DELAY_S = 0.5


class Execution:
    """One execution of a request.

    Parameters
    ----------
    handler : serving.Handler
        Its connection and request.
    """

    def __init__(self, *, handler):
        self.request_id = handler.headers.get("Request-Id", "")
        self.method = handler.command
        self.path = handler.path
        self.key = handler.headers.get("Idempotency-Key", "")
        self.test_request = handler.headers.get("Test-Request", "")
        self.desk = handler.headers.get("Desk", "")
        self.start = time.time()
        self.end = None
        self.is_cut = False

    def describe(self):
        """Return the execution as a map."""
        return {
            "request_id": self.request_id,
            "method": self.method,
            "path": self.path,
            "idempotency_key": self.key,
            "test_request": self.test_request,
            "desk": self.desk,
            "start": self.start,
            "end": self.end,
            "cut": self.is_cut,
        }


class BackendHandler(serving.Handler):
    """Remembers how many times connections had been forgotten when it was opened."""

    def setup(self):
        """Prepare the connection."""
        super().setup()
        self.generation = self.server.application.generation

    def drain(self):
        """Read until the peer closes and answer nothing."""
        self.close_connection = True
        while self.connection.recv(65536):
            pass


class BackendServer:
    """One backend server.

    Parameters
    ----------
    name : str
        Name, unique in the process.
    host : str
        Address.
    port : int
        Port, or 0 for a free one.
    slots : int
        Executions that may run at the same time.
    """

    def __init__(self, *, name, host, port, slots):
        self.name = name
        self.generation = 0
        self._slots = slots
        self._lock = threading.Lock()
        self._mode = "up"
        self._delay_ms = 0.0
        self._executions = []
        self._last = None
        self._running = 0
        self._running_max = 0
        self._overruns = 0
        self._refused = 0
        self._reboots = 0
        self._stopped = threading.Event()
        self._server = serving.Server(
            host=host, port=port, application=self, handler=BackendHandler
        )
        self._server.start()

    @property
    def port(self):
        """Port that the server listens on."""
        return self._server.port

    def __call__(self, handler):
        """Answer a request."""
        body = handler.read_body()
        if handler.generation < self.generation:
            handler.drain()
            return
        failure = handler.headers.get("Test-Fail") or self._mode
        serving.check_choice("Test-Fail", failure, MODES)
        if failure == "refuse":
            self._refuse(handler)
        elif failure == "close":
            handler.close_connection = True
        else:
            self._execute(handler, body, failure)

    def apply_order(self, order):
        """Change the behaviour as ``POST /control`` orders."""
        if "mode" in order:
            serving.check_choice("mode", order["mode"], MODES)
            self._mode = order["mode"]
        if "delay_ms" in order:
            self._delay_ms = float(order["delay_ms"])
        if order.get("forget_connections"):
            self.generation += 1
        if "reboot_s" in order:
            self._reboot(float(order["reboot_s"]))

    def describe(self):
        """Return the state and all executions as a map."""
        with self._lock:
            executions = [execution.describe() for execution in self._executions]
            return {
                "port": self.port,
                "mode": self._mode,
                "slots": self._slots,
                "running": self._running,
                "max_concurrency": self._running_max,
                "overruns": self._overruns,
                "refused": self._refused,
                "reboots": self._reboots,
                "executions": executions,
                "cut": [value for value in executions if value["cut"]],
            }

    def close(self):
        """Stop for good."""
        self._server.close()

    def clear(self):
        """Forget the executions and counts."""
        with self._lock:
            self._executions = []
            self._running_max = self._running
            self._overruns = 0
            self._refused = 0

    def _refuse(self, handler):
        with self._lock:
            self._refused += 1
        headers = [("Request-Refused", "before-execution"), *_echo(handler)]
        handler.send(503, b'{"error": "refused before execution"}', headers=headers)

    def _execute(self, handler, body, failure):
        execution = Execution(handler=handler)
        self._begin(execution)
        try:
            delay_ms = float(handler.headers.get("Test-Delay-Ms") or self._delay_ms)
            self._work(handler, execution, delay_ms / 1000)
        finally:
            self._finish(execution)
        if execution.is_cut or handler.generation < self.generation:
            handler.drain()
            return
        answer = self._answer_body(handler, body)
        request_id, last = self._swap_last(execution.request_id, answer)
        if failure == "crossed":
            handler.send(200, last, headers=[("Request-Id", request_id)])
        else:
            _ANSWERS[failure](handler, answer)

    def _swap_last(self, request_id, answer):
        """Keep an answer and return the one before; itself if it is the first."""
        with self._lock:
            before = self._last or (request_id, answer)
            self._last = (request_id, answer)
            return before

    def _begin(self, execution):
        with self._lock:
            self._executions.append(execution)
            self._running += 1
            self._running_max = max(self._running_max, self._running)
            self._overruns += self._running > self._slots

    def _work(self, handler, execution, delay_s):
        stopped = self._stopped
        due = time.monotonic() + delay_s
        while (left_s := due - time.monotonic()) > 0:
            is_stopped = stopped.wait(min(left_s, CUT_CHECK_INTERVAL_S))
            execution.is_cut = execution.is_cut or is_stopped or handler.is_cut()
            if is_stopped:
                return

    def _finish(self, execution):
        with self._lock:
            self._running -= 1
            execution.end = time.time()

    def _answer_body(self, handler, body):
        fields = {
            "server": self.name,
            "request_id": handler.headers.get("Request-Id", ""),
            "test_request": handler.headers.get("Test-Request", ""),
            "method": handler.command,
            "path": handler.path,
            "body_sha256": hashlib.sha256(body).hexdigest(),
        }
        return json.dumps(fields).encode()

    def _reboot(self, duration_s):
        self._stopped.set()
        if self._server.stop():
            self._reboots += 1
            serving.call_later(duration_s, self._come_back)

    def _come_back(self):
        self._stopped = threading.Event()
        self._mode = "up"
        self._server.restart()


def _echo(handler):
    request_id = handler.headers.get("Request-Id")
    return [] if request_id is None else [("Request-Id", request_id)]


def _send_answer(handler, body):
    handler.send(200, body, headers=_echo(handler))


def _send_error(handler, body):
    handler.send(500, body, headers=_echo(handler))


def _send_nothing(handler, body):
    handler.drain()


def _send_half(handler, body):
    handler.close_connection = True
    handler.send_response(200)
    for name, value in _echo(handler):
        handler.send_header(name, value)
    handler.send_header("Content-Length", str(len(body)))
    handler.end_headers()
    handler.wfile.write(body[: len(body) // 2])


def _send_twice(handler, body):
    _send_answer(handler, body)
    _send_answer(handler, body)


def _send_twice_late(handler, body):
    _send_answer(handler, body)
    time.sleep(LATE_ANSWER_DELAY_S)
    _send_answer(handler, body)


def _send_twice_late_unnamed(handler, body):
    handler.send(200, body)
    time.sleep(LATE_ANSWER_DELAY_S)
    handler.send(200, body)


def _send_without_length(handler, body):
    handler.close_connection = True
    handler.send_response(200)
    for name, value in _echo(handler):
        handler.send_header(name, value)
    handler.end_headers()
    handler.wfile.write(body)


_ANSWERS = {
    "up": _send_answer,
    "error": _send_error,
    "silence": _send_nothing,
    "cut": _send_half,
    "twice": _send_twice,
    "twice-late": _send_twice_late,
    "twice-late-unnamed": _send_twice_late_unnamed,
    "no-length": _send_without_length,
}


class Control:
    """Application of the control port.

    Parameters
    ----------
    servers : dict of str to BackendServer
        The backend servers by name.
    """

    def __init__(self, *, servers):
        self._servers = servers

    def __call__(self, handler):
        """Answer a request to ``/control``."""
        if handler.parts != ["control"]:
            raise serving.RequestError(404, f"no such resource {handler.path!r}")
        if handler.command == "GET":
            handler.send_json(200, self._describe())
            return
        order = serving.read_json(handler)
        for server in self._select(order.get("server")):
            if order.get("clear"):
                server.clear()
            server.apply_order(order)
        handler.send_json(200, {})

    def _select(self, name):
        if name is None:
            return list(self._servers.values())
        serving.check_choice("server", name, self._servers)
        return [self._servers[name]]

    def _describe(self):
        servers = {name: server.describe() for name, server in self._servers.items()}
        return {"servers": servers}


def main():
    """Run the stand-in."""
    parser = serving.parser(__doc__.splitlines()[0])
    parser.add_argument("--servers", required=True, help="JSON list of name and port")
    parser.add_argument("--slots", type=int, default=8)
    arguments = parser.parse_args()
    with open(arguments.servers, encoding="utf-8") as file:
        descriptions = json.load(file)
    servers = {
        description["name"]: BackendServer(
            name=description["name"],
            host=arguments.host,
            port=description.get("port", 0),
            slots=description.get("slots", arguments.slots),
        )
        for description in descriptions
    }
    control = serving.Server(
        host=arguments.host,
        port=arguments.port,
        application=Control(servers=servers),
    )
    control.start()
    ports = {name: server.port for name, server in servers.items()}
    serving.run({"port": control.port, "ports": ports}, arguments.max_seconds)


if __name__ == "__main__":
    main()
