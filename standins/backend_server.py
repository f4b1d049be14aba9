"""Stand-in for backend servers; one process runs many of them.

Every backend server has its own port and records each execution of a request. One more
port serves ``/control``: ``POST`` changes the behaviour of the servers, ``GET`` reports
their state and executions. Two request headers change the behaviour for one request:
``Test-Delay-Ms`` and ``Test-Fail`` (one of ``FAILURES``). ``Test-Request`` is recorded
with the execution and returned in the response; a test identifies a request by it, as
an entry instance changes the other ids.
"""

import hashlib
import json
import threading
import time

from standins import serving

# What a backend server can do instead of answering a request correctly:
# - refuse: answer 503 without execution
# - error: execute and answer 500
# - silence: execute and send nothing until the client closes the connection
# - cut: execute, send half of the response body and close
# - twice, twice-late: execute once and send the response two times
# - twice-late-unnamed: the same without the Request-Id header
# - crossed: execute and send the response of the previous request
# - close: close the connection without execution
# - no-length: send a response without Content-Length that ends with the connection
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
DISCONNECT_CHECK_INTERVAL_S = 0.05
# Time between a response and its duplicate: long enough for the next request on the
# connection to be sent in between.
LATE_DUPLICATE_DELAY_S = 0.5


class Execution:
    """Record of one execution of a request.

    Parameters
    ----------
    handler : serving.Handler
        Handler that has read the request.
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
        self.is_interrupted = False

    def describe(self):
        """Return the execution as a dict for JSON."""
        return {
            "request_id": self.request_id,
            "method": self.method,
            "path": self.path,
            "idempotency_key": self.key,
            "test_request": self.test_request,
            "desk": self.desk,
            "start": self.start,
            "end": self.end,
            "cut": self.is_interrupted,
        }


class BackendHandler(serving.Handler):
    """Handler that records the server's generation when its connection was opened.

    An order with ``forget_connections`` begins a new generation. The server then sends
    nothing on connections of earlier generations and answers normally on new ones.

    Attributes
    ----------
    generation : int
        Generation of the backend server when the connection was opened.
    """

    def setup(self):
        """Set the generation of the new connection."""
        super().setup()
        self.generation = self.server.application.generation

    def drain(self):
        """Discard all input until the peer closes; send nothing."""
        self.close_connection = True
        while self.connection.recv(65536):
            pass


class BackendServer:
    """One backend server, listening on its port.

    Parameters
    ----------
    name : str
        Name, unique in the process.
    host : str
        Address to listen on.
    port : int
        Port; 0 chooses a free one.
    slots : int
        Number of executions that may run at the same time. More are executed too, and
        counted as overruns.

    Attributes
    ----------
    generation : int
        Number of orders with ``forget_connections``, see :class:`BackendHandler`.
    """

    def __init__(self, *, name, host, port, slots):
        self.name = name
        self.generation = 0
        self._slots = slots
        self._lock = threading.Lock()
        self._mode = "up"
        self._delay_ms = 0.0
        self._executions = []
        self._last_response = None
        self._running = 0
        self._max_running = 0
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
        """Answer a request, or fail in the way that it or the mode asks for."""
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
        """Apply the body of a ``POST /control`` request.

        Parameters
        ----------
        order : dict
            Any of ``mode`` (failure of requests without ``Test-Fail``), ``delay_ms``
            (time that an execution takes), ``forget_connections`` (see
            :class:`BackendHandler`) and ``reboot_s`` (close all connections and accept
            new ones after this time).
        """
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
        """Return the state and all executions as a dict for JSON."""
        with self._lock:
            executions = [execution.describe() for execution in self._executions]
            return {
                "port": self.port,
                "mode": self._mode,
                "slots": self._slots,
                "running": self._running,
                "max_concurrency": self._max_running,
                "overruns": self._overruns,
                "refused": self._refused,
                "reboots": self._reboots,
                "executions": executions,
                "cut": [value for value in executions if value["cut"]],
            }

    def close(self):
        """Stop the server and release its port."""
        self._server.close()

    def clear_records(self):
        """Delete the recorded executions and reset the counts."""
        with self._lock:
            self._executions = []
            self._max_running = self._running
            self._overruns = 0
            self._refused = 0

    def _refuse(self, handler):
        with self._lock:
            self._refused += 1
        headers = [
            ("Request-Refused", "before-execution"),
            *_request_id_headers(handler),
        ]
        handler.send(503, b'{"error": "refused before execution"}', headers=headers)

    def _execute(self, handler, body, failure):
        execution = Execution(handler=handler)
        self._record_start(execution)
        try:
            delay_ms = float(handler.headers.get("Test-Delay-Ms") or self._delay_ms)
            self._wait_for_delay(handler, execution, delay_ms / 1000)
        finally:
            self._record_end(execution)
        if execution.is_interrupted or handler.generation < self.generation:
            handler.drain()
            return
        response = self._response_body(handler, body)
        previous_id, previous = self._replace_last_response(
            execution.request_id, response
        )
        if failure == "crossed":
            handler.send(200, previous, headers=[("Request-Id", previous_id)])
        else:
            _RESPONSE_SENDERS[failure](handler, response)

    def _replace_last_response(self, request_id, body):
        """Store a response; return the previous one, or itself if it is the first."""
        with self._lock:
            previous = self._last_response or (request_id, body)
            self._last_response = (request_id, body)
            return previous

    def _record_start(self, execution):
        with self._lock:
            self._executions.append(execution)
            self._running += 1
            self._max_running = max(self._max_running, self._running)
            self._overruns += self._running > self._slots

    def _wait_for_delay(self, handler, execution, delay_s):
        stopped = self._stopped
        end = time.monotonic() + delay_s
        while (left_s := end - time.monotonic()) > 0:
            is_stopped = stopped.wait(min(left_s, DISCONNECT_CHECK_INTERVAL_S))
            execution.is_interrupted = (
                execution.is_interrupted or is_stopped or handler.is_closed_by_peer()
            )
            if is_stopped:
                return

    def _record_end(self, execution):
        with self._lock:
            self._running -= 1
            execution.end = time.time()

    def _response_body(self, handler, body):
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
            serving.call_later(duration_s, self._restart)

    def _restart(self):
        self._stopped = threading.Event()
        self._mode = "up"
        self._server.restart()


def _request_id_headers(handler):
    request_id = handler.headers.get("Request-Id")
    return [] if request_id is None else [("Request-Id", request_id)]


def _send_response(handler, body):
    handler.send(200, body, headers=_request_id_headers(handler))


def _send_error(handler, body):
    handler.send(500, body, headers=_request_id_headers(handler))


def _send_nothing(handler, body):
    handler.drain()


def _send_half_body(handler, body):
    handler.close_connection = True
    handler.send_response(200)
    for name, value in _request_id_headers(handler):
        handler.send_header(name, value)
    handler.send_header("Content-Length", str(len(body)))
    handler.end_headers()
    handler.wfile.write(body[: len(body) // 2])


def _send_twice(handler, body):
    _send_response(handler, body)
    _send_response(handler, body)


def _send_twice_late(handler, body):
    _send_response(handler, body)
    time.sleep(LATE_DUPLICATE_DELAY_S)
    _send_response(handler, body)


def _send_twice_late_without_id(handler, body):
    handler.send(200, body)
    time.sleep(LATE_DUPLICATE_DELAY_S)
    handler.send(200, body)


def _send_without_length(handler, body):
    handler.close_connection = True
    handler.send_response(200)
    for name, value in _request_id_headers(handler):
        handler.send_header(name, value)
    handler.end_headers()
    handler.wfile.write(body)


_RESPONSE_SENDERS = {
    "up": _send_response,
    "error": _send_error,
    "silence": _send_nothing,
    "cut": _send_half_body,
    "twice": _send_twice,
    "twice-late": _send_twice_late,
    "twice-late-unnamed": _send_twice_late_without_id,
    "no-length": _send_without_length,
}


class Control:
    """Application of the port that serves ``/control``.

    Parameters
    ----------
    servers : dict of str to BackendServer
        Backend servers by name.
    """

    def __init__(self, *, servers):
        self._servers = servers

    def __call__(self, handler):
        """Answer a request to ``/control``."""
        if handler.path_segments != ["control"]:
            raise serving.RequestError(404, f"no such resource {handler.path!r}")
        if handler.command == "GET":
            handler.send_json(200, self._describe())
            return
        order = serving.read_json(handler)
        for server in self._select_servers(order.get("server")):
            if order.get("clear"):
                server.clear_records()
            server.apply_order(order)
        handler.send_json(200, {})

    def _select_servers(self, name):
        if name is None:
            return list(self._servers.values())
        serving.check_choice("server", name, self._servers)
        return [self._servers[name]]

    def _describe(self):
        servers = {name: server.describe() for name, server in self._servers.items()}
        return {"servers": servers}


def main():
    """Run the backend servers and their control port."""
    parser = serving.make_argument_parser(__doc__.splitlines()[0])
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
    serving.announce_and_wait(
        {"port": control.port, "ports": ports}, arguments.max_seconds
    )


if __name__ == "__main__":
    main()
