"""HTTP server, with one thread per connection, and start-up code of the stand-ins.

The stand-ins in :mod:`standins.platform` have a server on asyncio instead.
"""

import argparse
import contextlib
import http.server
import json
import select
import signal
import socket
import threading
import urllib.parse

LISTEN_BACKLOG = 256
BODY_LIMIT_BYTES = 4 * 1024 * 1024
DEFAULT_LIFETIME_S = 600.0


class RequestError(Exception):
    """Raised by an application to answer a request with an error.

    Parameters
    ----------
    status : int
        Status code.
    text : str
        Text of the ``error`` field of the response.
    **fields
        Further fields of the JSON response.
    """

    def __init__(self, status, text, **fields):
        super().__init__(text)
        self.status = status
        self.fields = {"error": text, **fields}


class Handler(http.server.BaseHTTPRequestHandler):
    """Passes the requests of one connection to the server's ``application``.

    The application is called with the handler and sends the response by its methods.
    """

    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True

    def log_message(self, *arguments):
        """Write no log; the stand-ins report requests in ``GET /control``."""

    def handle(self):
        """Handle all requests of a connection; ignore errors of a closed connection."""
        with contextlib.suppress(OSError, ValueError):
            super().handle()

    def finish(self):
        """Flush the response; ignore errors of a closed connection."""
        with contextlib.suppress(OSError, ValueError):
            super().finish()

    def __getattr__(self, name):
        # http.server calls the attribute do_METHOD for a request with METHOD.
        if name.startswith("do_"):
            return self._respond
        raise AttributeError(name)

    @property
    def path_segments(self):
        """Segments of the path, with percent-encoding decoded."""
        path = urllib.parse.urlsplit(self.path).path
        return [urllib.parse.unquote(part) for part in path.strip("/").split("/")]

    @property
    def query(self):
        """Query parameters; of a repeated name the last value."""
        return dict(urllib.parse.parse_qsl(urllib.parse.urlsplit(self.path).query))

    def read_body(self):
        """Return the whole request body.

        Raises
        ------
        ConnectionError
            If the connection ends before the whole body arrived.
        RequestError
            If the Content-Length header is not valid or above ``BODY_LIMIT_BYTES``.
        """
        text = self.headers.get("Content-Length", "0")
        if not text.isdigit() or int(text) > BODY_LIMIT_BYTES:
            self.close_connection = True
            raise RequestError(413, f"Content-Length {text!r} is not allowed")
        body = self.rfile.read(int(text))
        if len(body) != int(text):
            raise ConnectionError(
                "connection closed before the end of the request body"
            )
        return body

    def is_closed_by_peer(self):
        """Return whether the peer has closed the connection."""
        try:
            if not select.select([self.connection], [], [], 0)[0]:
                return False
            return self.connection.recv(1, socket.MSG_PEEK) == b""
        except (OSError, ValueError):
            return True

    def send(self, status, body, content_type="application/json", headers=()):
        """Send a whole response."""
        self.send_response(status)
        self.send_header("Content-Type", content_type)
        self.send_header("Content-Length", str(len(body)))
        for name, value in headers:
            self.send_header(name, value)
        self.end_headers()
        if self.command != "HEAD":
            self.wfile.write(body)

    def send_json(self, status, value):
        """Send a value as a JSON response."""
        self.send(status, json.dumps(value).encode())

    def _respond(self):
        try:
            self.server.application(self)
        except RequestError as error:
            self.send_json(error.status, error.fields)


class Server(http.server.ThreadingHTTPServer):
    """A server on one port with one thread for each connection.

    Parameters
    ----------
    host : str
        Address to listen on.
    port : int
        Port; 0 chooses a free one.
    application : callable
        Called with the :class:`Handler` for each request.
    handler : type, default=Handler
        Class of the connection handlers.
    """

    daemon_threads = True
    block_on_close = False
    request_queue_size = LISTEN_BACKLOG

    def __init__(self, *, host, port, application, handler=Handler):
        self.application = application
        self._connections = set()
        self._is_stopped = False
        self._lock = threading.Lock()
        self._reservation = reserve_port(host, port)
        super().__init__(self._reservation.getsockname(), handler)

    @property
    def port(self):
        """Port of the server; stays the same after a restart."""
        return self._reservation.getsockname()[1]

    def server_bind(self):
        """Bind the socket without the DNS look-up that http.server makes."""
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.socket.bind(self.server_address)
        self.server_name, self.server_port = self.server_address

    def start(self):
        """Start a thread that accepts connections."""
        # The poll interval only limits how long a shutdown takes.
        threading.Thread(
            target=self.serve_forever, kwargs={"poll_interval": 0.1}, daemon=True
        ).start()

    def stop(self):
        """Stop listening and close all connections; the port stays reserved.

        Returns
        -------
        bool
            False if the server had been stopped before.
        """
        with self._lock:
            if self._is_stopped:
                return False
            self._is_stopped = True
        self.shutdown()
        self.server_close()
        self.close_connections()
        return True

    def close(self):
        """Stop and release the port; the server cannot be restarted."""
        self.stop()
        self._reservation.close()

    def restart(self):
        """Listen on the same port again after :meth:`stop`."""
        self.socket = socket.socket(self.address_family, self.socket_type)
        self.server_bind()
        self.server_activate()
        self.start()
        self._is_stopped = False

    def close_connections(self):
        """Close all open connections."""
        with self._lock:
            connections = list(self._connections)
        for connection in connections:
            with contextlib.suppress(OSError):
                connection.shutdown(socket.SHUT_RDWR)

    def process_request(self, request, client_address):
        """Handle a connection in a thread and list it as open."""
        with self._lock:
            self._connections.add(request)
        super().process_request(request, client_address)

    def shutdown_request(self, request):
        """Close a connection and remove it from the open ones."""
        with self._lock:
            self._connections.discard(request)
        super().shutdown_request(request)


def reserve_port(host, port=0):
    """Reserve a port with a socket that is bound to it but does not listen.

    Connections to the port are refused as long as no other socket listens on it. The
    kernel does not assign the port to other sockets, so a server can stop and later
    listen on it again. It has to set ``SO_REUSEADDR``.

    Parameters
    ----------
    host : str
        Address.
    port : int, default=0
        Port; 0 chooses a free one.

    Returns
    -------
    socket.socket
        Releases the port when it is closed.
    """
    reservation = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    reservation.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    reservation.bind((host, port))
    return reservation


def call_later(delay_s, function):
    """Call a function after a delay, in a daemon thread."""
    timer = threading.Timer(delay_s, function)
    timer.daemon = True
    timer.start()


def read_json(handler):
    """Read the request body and return it as a JSON object.

    Raises
    ------
    RequestError
        If the body is not a JSON object.
    """
    body = handler.read_body()
    try:
        value = json.loads(body or b"{}")
    except ValueError as error:
        raise RequestError(400, f"the body is no JSON: {error}") from error
    if not isinstance(value, dict):
        raise RequestError(400, "the body is no JSON object")
    return value


def check_choice(name, value, valid):
    """Raise a :class:`RequestError` if a value is not among the valid ones."""
    if value not in valid:
        choices = ", ".join(sorted(valid))
        raise RequestError(400, f"{name} {value!r} is not valid; valid: {choices}")


def make_argument_parser(description):
    """Return an argument parser with the options that all stand-ins share."""
    result = argparse.ArgumentParser(description=description)
    result.add_argument("--host", default="127.0.0.1")
    result.add_argument("--port", type=int, default=0)
    result.add_argument(
        "--max-seconds",
        type=float,
        default=DEFAULT_LIFETIME_S,
        help="exit after this time, so that no stand-in is left after a failed test",
    )
    return result


def announce_and_wait(announcement, max_seconds):
    """Print the announcement and wait for SIGTERM, SIGINT or the time limit.

    Parameters
    ----------
    announcement : dict
        Ports of the stand-in; printed as one line of JSON, which
        :meth:`standins.processes.ChildProcess.read_announcement` reads.
    max_seconds : float
        Time in seconds after which to return without a signal.
    """
    # The kernel may deliver the signal to another thread, which does not end the select
    # of the main thread. The byte that the interpreter writes to the wake-up file
    # descriptor for each signal does.
    reader, writer = socket.socketpair()
    writer.setblocking(False)
    signal.set_wakeup_fd(writer.fileno())
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, _do_nothing)
    print(json.dumps(announcement), flush=True)
    select.select([reader], [], [], max_seconds)


def _do_nothing(*_):
    """Replace the default action of a signal, which would end the process."""
