"""Runs a server in a thread and exchanges raw bytes with it, for tests."""

import socket

from circuits import BaseComponent
from circuits.core import pollers

from cranberryport import timers
from cranberryport.http import limits as http_limits
from cranberryport.http import server

# Ends a test that hangs; no test depends on the value.
HANG_LIMIT_S = 20.0


class ServerThread:
    """Runs components with a :class:`server.StrictServer` in a thread.

    Parameters
    ----------
    components : list of BaseComponent
        Registered at the same root component as the server.
    make_server : callable or None
        Returns the server to run; None for a ``StrictServer``.
    answers_half_closed : bool
        See :class:`server.StrictServer`.
    **limits
        Parameters of :class:`limits.Limits`.
    """

    def __init__(
        self, components, *, make_server=None, answers_half_closed=False, **limits
    ):
        self.make_server = make_server
        self.root = BaseComponent()
        pollers.EPoll().register(self.root)
        self.timers = timers.Timers().register(self.root)
        if make_server is None:
            self.server = server.StrictServer(
                timers=self.timers,
                host="127.0.0.1",
                port=0,
                limits=http_limits.Limits(**limits),
                answers_half_closed=answers_half_closed,
            )
        else:
            self.server = make_server()
        self.server.register(self.root)
        for component in components:
            component.register(self.root)
        self.port = self.server.port
        self.thread, _ = self.root.start()

    def stop(self):
        """Stop the thread and close all sockets."""
        self.root.stop()
        self.thread.join(HANG_LIMIT_S)

    def connect(self):
        """Return a connected socket."""
        return socket.create_connection(("127.0.0.1", self.port), HANG_LIMIT_S)

    def exchange(self, data):
        """Send bytes on a new connection; return all bytes until it is closed."""
        with self.connect() as sock:
            sock.sendall(data)
            return read_to_end(sock)


def read_to_end(sock):
    """Return all bytes until the server closes the connection."""
    parts = []
    while part := sock.recv(65536):
        parts.append(part)
    return b"".join(parts)


def read_response(sock, *, has_body=True):
    """Read one response with a Content-Length.

    Returns
    -------
    tuple of (int, dict of str to str, bytes)
        Status, headers with names in lower case, body.
    """
    data = b""
    while b"\r\n\r\n" not in data:
        part = sock.recv(1)
        if not part:
            raise EOFError(f"connection closed after {data!r}")
        data += part
    lines = data.decode("latin-1").split("\r\n")
    pairs = [line.split(": ", 1) for line in lines[1:] if line]
    headers = {name.lower(): value for name, value in pairs}
    body = bytearray()
    length = int(headers.get("content-length", 0)) if has_body else 0
    while len(body) < length:
        part = sock.recv(length - len(body))
        if not part:
            raise EOFError(f"connection closed after {len(body)} bytes of the body")
        body += part
    return int(lines[0].split()[1]), headers, bytes(body)
