"""An event loop that a test runs step by step, and fakes around a dispatcher."""

import contextlib
import dataclasses
import re
import socket
import threading
import time
import types

from circuits import BaseComponent, Event, Manager, handler
from circuits.core import pollers

from cranberryport import timers
from cranberryport.state import keys

TIME_LIMIT_S = 10


class HandlerErrors(BaseComponent):
    """Collects exceptions of handlers, which circuits reports only as events."""

    def __init__(self):
        super().__init__()
        self.errors = []

    @handler("exception", channel="*")
    def _on_exception(self, _kind, value, trace, **_):
        self.errors.append((value, trace))


class EventLoop:
    """A circuits manager with a poller and timers, run by the test."""

    def __init__(self):
        self.manager = Manager()
        # tick() polls only if the manager is running, and run() would not return.
        self.manager._running = True
        self._handler_errors = self.add(HandlerErrors())
        self.add(pollers.EPoll())
        self.timers = self.add(timers.Timers())

    def add(self, component):
        """Register a component and return it."""
        component.register(self.manager)
        return component

    def run_until(self, condition):
        """Run the loop until a condition is true; fail after a time limit."""
        limit = time.monotonic() + TIME_LIMIT_S
        while not condition():
            if time.monotonic() > limit:
                raise AssertionError("the condition never became true")
            self.manager.tick(timeout=0.05)
            if self._handler_errors.errors:
                error, trace = self._handler_errors.errors[0]
                raise AssertionError("".join(trace)) from error

    def fire(self, name, *arguments, channel="*"):
        """Fire an event with the given name."""
        self.manager.fire(Event.create(name, *arguments), channel)

    def close(self):
        """Fire ``stopped``, so that the components close their sockets."""
        self.fire("stopped", self.manager)
        self.run_until(lambda: not len(self.manager))


class EventRecorder(BaseComponent):
    """Collects the arguments of the events with one name on one channel."""

    def __init__(self, name, channel):
        super().__init__(channel=channel)
        self.events = []
        self.addHandler(handler(name)(self._make_handler()))

    def _make_handler(self):
        def _on_event(_, *arguments):
            self.events.append(arguments)

        return _on_event


class HttpServer:
    """HTTP server on loopback that answers each connection in a thread.

    Parameters
    ----------
    respond : callable
        Called with the head and the body of a request as bytes; returns the bytes to
        send. None closes the connection, and empty bytes leave the request unanswered.
    """

    def __init__(self, respond):
        self.heads = []
        self._respond = respond
        self._sockets = []
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.port = self._listener.getsockname()[1]
        threading.Thread(target=self._accept, daemon=True).start()

    @property
    def connection_count(self):
        """Number of connections accepted so far."""
        return len(self._sockets)

    def close(self):
        """Stop accepting and close all connections."""
        self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()
        for sock in self._sockets:
            sock.close()

    def _accept(self):
        while True:
            try:
                sock, _ = self._listener.accept()
            except OSError:
                return
            sock.settimeout(TIME_LIMIT_S)
            self._sockets.append(sock)
            threading.Thread(target=self._serve, args=(sock,), daemon=True).start()

    def _serve(self, sock):
        with contextlib.suppress(OSError):
            data = b""
            while True:
                while b"\r\n\r\n" not in data:
                    received = sock.recv(65536)
                    if not received:
                        return
                    data += received
                head, _, data = data.partition(b"\r\n\r\n")
                length = re.search(rb"content-length: (\d+)", head, re.I)
                length = int(length[1]) if length else 0
                while len(data) < length:
                    data += sock.recv(65536)
                body, data = data[:length], data[length:]
                self.heads.append(head)
                response = self._respond(head, body)
                if response is None:
                    sock.shutdown(socket.SHUT_RDWR)
                    return
                sock.sendall(response)


def make_response(head, body=b"ok", *, status=200, extra=b""):
    """Return an HTTP response that repeats the request id."""
    request_id = re.search(rb"request-id: (\S+)", head, re.I)[1]
    return b"HTTP/1.1 %d X\r\nRequest-Id: %s\r\nContent-Length: %d\r\n%s\r\n%s" % (
        status,
        request_id,
        len(body),
        extra,
        body,
    )


@dataclasses.dataclass
class FakeServer:
    """A backend server as the view returns it."""

    name: str
    port: int
    host: str = "127.0.0.1"
    data_centre: str = "north"
    slots_share: int = 2
    is_usable: bool = True


class FakeView:
    """Control state with values that a test sets."""

    def __init__(self, *servers):
        self.all_servers = list(servers)
        self.connections_limit = 8
        self.keys = keys.IdempotencyKeys()
        self.has_dispatch_right = True
        self.is_key_history_lost = False
        self.session = "s1"
        self.reserved_rush_percent = 0

    def servers(self, _service):
        """Return the servers, the same for every service."""
        return self.all_servers

    def connections_share(self, _service):
        """Return the share of connections, the same for every service."""
        return self.connections_limit

    def configuration(self):
        """Return this object, which has :meth:`desk` and :meth:`service`."""
        return self

    def desk(self, _name):
        """Return the settings of a desk."""
        return types.SimpleNamespace(weight=1)

    def service(self, _name):
        """Return the settings of a service."""
        return types.SimpleNamespace(reserved_rush_percent=self.reserved_rush_percent)

    def key(self, key):
        """Return the record of a key or None."""
        return self.keys.get(key)
