"""HTTP serving shared by the stand-ins."""

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
DEFAULT_LIFE_S = 600.0


class RequestError(Exception):
    """A request that is answered with an error.

    Parameters
    ----------
    status : int
        Status code.
    text : str
        One clear sentence for the ``error`` field.
    **fields
        Further fields of the JSON answer.
    """

    def __init__(self, status, text, **fields):
        super().__init__(text)
        self.status = status
        self.fields = {"error": text, **fields}


class Handler(http.server.BaseHTTPRequestHandler):
    """Answers requests with what the server's ``application`` returns."""

    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True

    def log_message(self, *arguments):
        """Write nothing; the stand-ins report through ``GET /control``."""

    def handle(self):
        """Handle all requests of a connection and accept that it may break."""
        with contextlib.suppress(OSError, ValueError):
            super().handle()

    def finish(self):
        """Flush the answer and accept that the connection may be broken."""
        with contextlib.suppress(OSError, ValueError):
            super().finish()

    def __getattr__(self, name):
        # http.server looks up one method for each HTTP method.
        if name.startswith("do_"):
            return self._respond
        raise AttributeError(name)

    @property
    def parts(self):
        """Decoded parts of the path."""
        path = urllib.parse.urlsplit(self.path).path
        return [urllib.parse.unquote(part) for part in path.strip("/").split("/")]

    @property
    def query(self):
        """Parameters of the query; the last value of each name."""
        return dict(urllib.parse.parse_qsl(urllib.parse.urlsplit(self.path).query))

    def read_body(self):
        """Return the whole body.

        Raises
        ------
        ConnectionError
            If the body is cut short.
        RequestError
            If the body is too large or has no valid length.
        """
        text = self.headers.get("Content-Length", "0")
        if not text.isdigit() or int(text) > BODY_LIMIT_BYTES:
            self.close_connection = True
            raise RequestError(413, f"Content-Length {text!r} is not allowed")
        body = self.rfile.read(int(text))
        if len(body) != int(text):
            raise ConnectionError("the body was cut short")
        return body

    def is_cut(self):
        """Return whether the peer has closed the connection."""
        try:
            if not select.select([self.connection], [], [], 0)[0]:
                return False
            return self.connection.recv(1, socket.MSG_PEEK) == b""
        except (OSError, ValueError):
            return True

    def send(self, status, body, content_type="application/json", headers=()):
        """Send a whole answer."""
        self.send_response(status)
        self.send_header("Content-Type", content_type)
        self.send_header("Content-Length", str(len(body)))
        for name, value in headers:
            self.send_header(name, value)
        self.end_headers()
        if self.command != "HEAD":
            self.wfile.write(body)

    def send_json(self, status, value):
        """Send a whole answer as JSON."""
        self.send(status, json.dumps(value).encode())

    def _respond(self):
        try:
            self.server.application(self)
        except RequestError as error:
            self.send_json(error.status, error.fields)


class Server(http.server.ThreadingHTTPServer):
    """A listening port with one thread for each connection.

    Parameters
    ----------
    host : str
        Address to listen on.
    port : int
        Port, or 0 for a free one.
    application : callable
        Called with the :class:`Handler` of each request.
    handler : type, default=Handler
        Subclass of :class:`Handler`.
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
        """Port that the server listens on."""
        return self._reservation.getsockname()[1]

    def server_bind(self):
        """Bind without the look-up of the host's name that http.server makes."""
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.socket.bind(self.server_address)
        self.server_name, self.server_port = self.server_address

    def start(self):
        """Accept connections in a thread."""
        # The poll interval only bounds how long a shutdown takes.
        threading.Thread(
            target=self.serve_forever, kwargs={"poll_interval": 0.1}, daemon=True
        ).start()

    def stop(self):
        """Refuse new connections and close all open ones.

        Returns
        -------
        bool
            False if the server was stopped already.
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
        """Stop for good and give the port back."""
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
        """Handle a connection in a thread and remember it while it is open."""
        with self._lock:
            self._connections.add(request)
        super().process_request(request, client_address)

    def shutdown_request(self, request):
        """Close a connection."""
        with self._lock:
            self._connections.discard(request)
        super().shutdown_request(request)


def reserve_port(host, port=0):
    """Return a bound socket that does not listen and so keeps a port free.

    While nothing listens, connecting is refused; the kernel gives the port to nobody
    else, so a server that comes back later finds it free. Another socket with
    ``SO_REUSEADDR`` may listen on the port.

    Parameters
    ----------
    host : str
        Address.
    port : int, default=0
        Port, or 0 for a free one.

    Returns
    -------
    socket.socket
        Close it to give the port back.
    """
    reservation = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    reservation.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    reservation.bind((host, port))
    return reservation


def read_json(handler):
    """Return the request's body as a JSON object.

    Raises
    ------
    RequestError
        If it is no JSON object.
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


def parser(description):
    """Return an argument parser with the options of all stand-ins."""
    result = argparse.ArgumentParser(description=description)
    result.add_argument("--host", default="127.0.0.1")
    result.add_argument("--port", type=int, default=0)
    result.add_argument(
        "--max-seconds",
        type=float,
        default=DEFAULT_LIFE_S,
        help="end after this time, so that a stand-in never outlives a broken test",
    )
    return result


def run(announcement, max_seconds):
    """Print the announcement and wait for SIGTERM, SIGINT or the end of life.

    Parameters
    ----------
    announcement : dict
        Printed as one line of JSON.
    max_seconds : float
        Longest life time in seconds.
    """
    stopped = threading.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: stopped.set())
    print(json.dumps(announcement), flush=True)
    stopped.wait(max_seconds)
