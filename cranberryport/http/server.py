"""HTTP server for callers with strict reading.

circuits.web writes the responses. Requests are read by ``h11``, because circuits.web
3.2.5 mixes up requests that overlap on one connection and accepts requests with
ambiguous framing.
"""

import collections
import json
import logging
import re
import secrets
import socket
import time
from http.cookies import SimpleCookie
from io import BytesIO

import h11
from circuits import BaseComponent, Event, handler
from circuits.net import events as net_events
from circuits.net import sockets
from circuits.web import events as web_events
from circuits.web import headers as web_headers
from circuits.web import http as web_http
from circuits.web import wrappers

from cranberryport import outcomes

LINGER_S = 1.0
# Refused connections stay open for LINGER_S so that the caller can read the 503.
REFUSED_CONNECTIONS_LIMIT = 64
SWEEPS_PER_IDLE_TIMEOUT = 4
QUOTED_VALUE_LIMIT = 200
REQUEST_ID_BYTES = 16

BODILESS_STATUSES = (204, 304)

_logger = logging.getLogger(__name__)

_header_patterns = {
    name: re.compile(rb"(?im)^" + name + rb"[ \t]*:[ \t]*([^\r\n]*?)[ \t]*\r?$")
    for name in (b"content-length", b"transfer-encoding", b"host")
}


class caller_gone(Event):
    """The caller disconnected before its response was written.

    Parameters
    ----------
    request : CallerHttpRequest
        Request that was handed over by the ``request`` event.
    """


class flush(Event):
    """Send the data that is queued for a socket.

    Parameters
    ----------
    sock : socket.socket
        The caller's socket.
    """


class Limits:
    """Limits on callers' input.

    Parameters
    ----------
    header_bytes : int, default=16384
        Request line and headers together.
    body_bytes : int, default=1048576
        Body of one request, and bodies of the waiting requests of a connection
        together.
    header_timeout_s : float, default=5.0
        Seconds from the first byte of a request to the end of its headers.
    body_timeout_s : float, default=10.0
        Seconds from the end of the headers to the end of the body.
    pipelined_requests : int, default=4
        Requests of one connection that may wait behind the one in progress.
    connections : int, default=512
        Open connections.
    idle_timeout_s : float, default=75.0
        Seconds without progress after which a connection with no request in progress
        is closed. A connection that went silent for good would otherwise count
        against `connections` forever.
    """

    __slots__ = (
        "body_bytes",
        "body_timeout_s",
        "connections",
        "header_bytes",
        "header_timeout_s",
        "idle_timeout_s",
        "pipelined_requests",
    )

    def __init__(
        self,
        *,
        header_bytes=16 * 1024,
        body_bytes=1024 * 1024,
        header_timeout_s=5.0,
        body_timeout_s=10.0,
        pipelined_requests=4,
        connections=512,
        idle_timeout_s=75.0,
    ):
        self.header_bytes = header_bytes
        self.body_bytes = body_bytes
        self.header_timeout_s = header_timeout_s
        self.body_timeout_s = body_timeout_s
        self.pipelined_requests = pipelined_requests
        self.connections = connections
        self.idle_timeout_s = idle_timeout_s


class CallerHttpRequest(wrappers.Request):
    """circuits.web's request, filled from what ``h11`` read.

    The constructor of circuits.web is not called: it raises for some ``Host`` and
    ``Cookie`` values and for a caller that has just disconnected. ``uri`` is None.

    Attributes
    ----------
    target : str
        Request target as sent.
    raw_headers : list of (bytes, bytes)
        Headers in order, names in lower case.
    """

    uri = None

    def __init__(self, sock, *, method, target, protocol, raw_headers, body, server):
        self.sock = sock
        self.server = server
        self.method = method
        self.target = target
        self.path, _, self.qs = target.partition("?")
        self.protocol = protocol
        self.raw_headers = raw_headers
        self.headers = web_headers.Headers()
        for name, value in raw_headers:
            self.headers.append(name.decode("ascii"), value.decode("latin-1"))
        self.body = BytesIO(body)
        self.print_debug = False
        # circuits.web sends the cookies of this attribute back as ``Set-Cookie``.
        self.cookie = SimpleCookie()


class CallerResponse(wrappers.Response):
    """circuits.web's response with the length rules of HEAD, 204 and 304."""

    def prepare(self):
        """Complete the headers before they are written."""
        declared_length = self.headers.get("Content-Length")
        declared_type = self.headers.get("Content-Type")
        if self.status in BODILESS_STATUSES:
            self.body = b""
        super().prepare()
        if self.status in BODILESS_STATUSES or self.request.method == "HEAD":
            self._restore("Content-Length", declared_length)
        if declared_type is None:
            # circuits.web would call an answer of unknown type text/html.
            del self.headers["Content-Type"]

    def _restore(self, name, value):
        # circuits.web writes the length of the empty body in place of the length
        # that the same GET would have.
        if value is not None and self.status != 204:
            self.headers[name] = value
        elif not self.body:
            self.headers.pop(name)


class _Refusal:
    """A request that cannot be read; answered in its turn."""

    __slots__ = ("method", "reason", "status")

    def __init__(self, *, status, reason, method="GET"):
        self.status = status
        self.reason = reason
        self.method = method


class _WaitingRequest:
    """A whole request that waits for its turn."""

    __slots__ = ("body", "head")

    def __init__(self, *, head, body):
        self.head = head
        self.body = body


class _CallerConnection:
    """Reading state of one caller's connection.

    Parameters
    ----------
    http : StrictHTTP
        Owner.
    sock : socket.socket
        The caller's socket.
    """

    __slots__ = (
        "_body",
        "_body_size",
        "_head",
        "_head_data",
        "_http",
        "_is_reading",
        "_limits",
        "_protocol",
        "_timer",
        "_waiting",
        "_watched_part",
        "current",
        "is_refused",
        "last_progress",
        "sock",
    )

    def __init__(self, *, http, sock):
        self._http = http
        self._limits = http.limits
        self.sock = sock
        self.current = None
        self.is_refused = False
        self.last_progress = time.monotonic()
        self._is_reading = True
        self._waiting = collections.deque()
        self._timer = None
        self._watched_part = None
        self._start_request(b"")

    @property
    def is_idle(self):
        """Whether no request is in progress in a handler."""
        return self.current is None or self.current[1].done

    @property
    def _unfinished_part(self):
        if self._head is not None:
            return "body"
        return "header" if self._head_data else None

    def receive(self, data):
        """Take bytes from the socket."""
        if not self._is_reading:
            return
        self.last_progress = time.monotonic()
        self._feed(data)
        self._advance()

    def refuse(self, status, reason):
        """Answer with an error after the requests read so far, then close."""
        method = "GET"
        if self._head is not None:
            method = self._head.method.decode("ascii")
        self._stop_reading()
        self._waiting.append(_Refusal(status=status, reason=reason, method=method))

    def on_written(self):
        """Go on with the next request after a response has been written."""
        self.last_progress = time.monotonic()
        if self.current is None or not self.current[1].done:
            return
        if self.current[1].close:
            self.stop()
        self.current = None
        self._advance()

    def stop(self):
        """Forget everything that was read; the socket is closed."""
        self._stop_reading()
        self._waiting.clear()

    def start(self):
        """Hand over what waits; called after :meth:`refuse` outside reading."""
        self._advance()

    def _stop_reading(self):
        self._is_reading = False
        self._watch(None)
        self._head_data = b""
        self._body = []

    def _start_request(self, data):
        limit = self._limits.header_bytes
        # One protocol object per request: the response is not written through h11.
        self._protocol = h11.Connection(h11.SERVER, max_incomplete_event_size=limit)
        self._head = None
        self._head_data = b""
        self._body = []
        self._body_size = 0
        self._watch(None)
        if data:
            self._feed(data)

    def _feed(self, data):
        if self._head is None:
            self._head_data += data
        self._protocol.receive_data(data)
        try:
            self._read_events()
        except h11.RemoteProtocolError as error:
            self.refuse(*self._explain(error))
        if self._is_reading:
            self._watch(self._unfinished_part)

    def _read_events(self):
        while self._is_reading:
            event = self._protocol.next_event()
            if event is h11.NEED_DATA or event is h11.PAUSED:
                return
            if isinstance(event, h11.Request):
                self._take_head(event)
            elif isinstance(event, h11.Data):
                self._take_body(bytes(event.data))
            elif isinstance(event, h11.EndOfMessage):
                self._finish_request()
                return

    def _take_head(self, head):
        self._head = head
        unread = len(self._protocol.trailing_data[0])
        size = len(self._head_data) - unread
        problem = self._check_head(head, size)
        self._head_data = b""
        if problem is not None:
            self.refuse(*problem)

    def _check_head(self, head, size):
        limit = self._limits.header_bytes
        if size > limit:
            return 431, f"request line and headers have {size} bytes; allowed: {limit}"
        headers = dict(head.headers)
        if head.http_version not in (b"1.0", b"1.1"):
            version = head.http_version.decode("ascii")
            return 400, f"HTTP version {version!r}; allowed: '1.0', '1.1'"
        if not head.target.startswith(b"/"):
            return 400, f"request target {_quote(head.target)} does not start with '/'"
        length = headers.get(b"content-length")
        encoding = headers.get(b"transfer-encoding")
        if length is not None and encoding is not None:
            return 400, (
                f"Content-Length {_quote(length)} together with Transfer-Encoding "
                f"{_quote(encoding)}; allowed: one of them"
            )
        if encoding is not None and head.http_version == b"1.0":
            return 400, f"Transfer-Encoding {_quote(encoding)} in an HTTP/1.0 request"
        limit = self._limits.body_bytes
        if length is not None and int(length) > limit:
            return 413, f"Content-Length {_quote(length)}; allowed: up to {limit}"
        return None

    def _take_body(self, data):
        self._body.append(data)
        self._body_size += len(data)
        limit = self._limits.body_bytes
        if self._body_size > limit:
            reason = f"the body has more than {limit} bytes; allowed: up to {limit}"
            self.refuse(413, reason)

    def _finish_request(self):
        problem = self._check_waiting()
        if problem is not None:
            self.refuse(*problem)
            return
        body = b"".join(self._body)
        self._waiting.append(_WaitingRequest(head=self._head, body=body))
        self._advance()
        unread = self._protocol.trailing_data[0]
        if _asks_to_close(self._head):
            self._stop_reading()
        else:
            self._start_request(unread)

    def _check_waiting(self):
        if self.current is None:
            return None
        limit = self._limits.pipelined_requests
        if len(self._waiting) >= limit:
            return 400, f"more than {limit} pipelined requests; allowed: up to {limit}"
        size = sum(len(waiting.body) for waiting in self._waiting) + self._body_size
        limit = self._limits.body_bytes
        if size > limit:
            return 413, (
                f"the bodies of the pipelined requests have {size} bytes; "
                f"allowed: up to {limit} together"
            )
        return None

    def _advance(self):
        if self.current is None and self._waiting:
            self.current = self._http.hand_over(self.sock, self._waiting.popleft())
        elif self.current is None:
            self._allow_body()

    def _allow_body(self):
        # An interim response is sent only in the request's turn; earlier it would
        # be taken for a part of the answer to a request before it.
        if self._protocol.they_are_waiting_for_100_continue and self._is_reading:
            interim = h11.InformationalResponse(status_code=100, headers=[])
            self._http.write(self.sock, self._protocol.send(interim))
            self._watch(None)
            self._watch("body")

    def _explain(self, error):
        status = error.error_status_hint
        text = str(error)
        data = self._head_data
        if self._head is not None:
            return 400, f"the body is malformed: {_shorten(text)}"
        if status == 431:
            limit = self._limits.header_bytes
            return 431, f"request line and headers have more than {limit} bytes"
        if "Content-Length" in text:
            values = _find_values(data, b"content-length")
            return 400, f"Content-Length {values}; allowed: one number without a sign"
        if status == 501:
            values = _find_values(data, b"transfer-encoding")
            return 501, f"Transfer-Encoding {values}; allowed: 'chunked'"
        if "Host" in text:
            values = _find_values(data, b"host")
            return 400, f"Host {values}; allowed: exactly one Host header"
        line = _quote(data.split(b"\n", 1)[0].rstrip(b"\r"))
        return 400, f"{_shorten(text)} in the request that starts with {line}"

    def _on_header_timeout(self):
        limit = self._limits.header_timeout_s
        self.refuse(408, f"the headers were not complete after {limit:g} s")
        self._advance()

    def _on_body_timeout(self):
        self._watch(None)
        if self._protocol.they_are_waiting_for_100_continue and self.current:
            # The caller waits for its turn, so the delay is not its own.
            self._watch("body")
            return
        limit = self._limits.body_timeout_s
        reason = (
            f"the body was not complete after {limit:g} s; "
            f"{self._body_size} bytes had arrived"
        )
        self.refuse(408, reason)
        self._advance()

    def _watch(self, part):
        # A timer is set only for a part that did not arrive at once: a cancelled
        # timer stays in the heap until it is due.
        if part == self._watched_part:
            return
        self._watched_part = part
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        limits = self._limits
        if part == "header":
            self._timer = self._http.timers.after(
                limits.header_timeout_s, self._on_header_timeout
            )
        elif part == "body":
            self._timer = self._http.timers.after(
                limits.body_timeout_s, self._on_body_timeout
            )


class CallerSockets(sockets.TCPServer):
    """Callers' sockets.

    Unlike its base class it ignores writes to a socket that has been closed, so that
    a late response cannot reach a connection with the same file descriptor.

    Parameters
    ----------
    bind : tuple of (str, int)
        Address.
    timers : cranberryport.timers.Timers
        For lingering.
    connections : int
        Limit above which a connection is closed at once.
    on_written : callable
        Called with the socket when all its data is with the kernel.
    channel : str
        Channel of the server.
    """

    def __init__(self, *, bind, timers, connections, on_written, channel):
        super().__init__(bind, channel=channel)
        self._timers = timers
        self._connections = connections
        self._on_written = on_written
        self._lingering = set()
        # The base class keeps a list, which is slow to search.
        self._open = set()

    def _on_accept_done(self, sock, fire_connect_event=True):
        if len(self._clients) >= self._connections:
            sock.close()
            return
        self._open.add(sock)
        super()._on_accept_done(sock, fire_connect_event)

    def _close(self, sock):
        self._lingering.discard(sock)
        self._open.discard(sock)
        if sock in self._closeq:
            self._closeq.remove(sock)
        super()._close(sock)

    def _read(self, sock):
        if sock not in self._open:
            return
        try:
            data = sock.recv(self._bufsize)
        except BlockingIOError:
            return
        except OSError:
            self._close(sock)
            return
        if data:
            self.fire(net_events.read(sock, data))
        elif self._buffers.get(sock):
            # The caller sent everything and still reads its response.
            self._poller.removeReader(sock)
            self.close(sock)
        else:
            self._close(sock)

    @handler("write", override=True)
    def write(self, sock, data):
        """Queue data for an open socket."""
        if sock not in self._open or sock in self._lingering:
            return
        # One flush follows all writes of a response, which are already in the queue;
        # the poller is asked only if the kernel does not take everything.
        if not self._buffers[sock]:
            self.fire(flush(sock))
        self._buffers[sock].append(data)

    @handler("close", override=True)
    def close(self, sock=None):
        """Close one socket after its data, or the server with all sockets."""
        if sock is None:
            super().close()
        elif sock not in self._open or sock in self._lingering:
            return
        elif not self._buffers.get(sock):
            self._linger(sock)
        elif sock not in self._closeq:
            self._closeq.append(sock)

    def drop(self, sock):
        """Close a socket at once, without its data."""
        self._close(sock)

    def _linger(self, sock):
        # Closing while the caller still sends would reset the connection, and the
        # caller could lose the error response that it has not read yet.
        self._lingering.add(sock)
        try:
            sock.shutdown(socket.SHUT_WR)
        except OSError:
            self._close(sock)
            return
        self._timers.after(LINGER_S, lambda: self._close(sock))

    @handler("flush", "_write", override=True)
    def _on_write(self, sock):
        if sock not in self._open:
            return
        buffer = self._buffers[sock]
        if buffer:
            data = b"".join(buffer)
            buffer.clear()
            self._write(sock, data)
        if sock not in self._open:
            return
        if buffer:
            if not self._poller.isWriting(sock):
                self._poller.addWriter(self, sock)
            return
        if self._poller.isWriting(sock):
            self._poller.removeWriter(sock)
        if sock in self._closeq:
            self._closeq.remove(sock)
            self._linger(sock)
        else:
            self._on_written(sock)


class StrictHTTP(web_http.HTTP):
    """circuits.web's HTTP component with ``h11`` on the reading side.

    Parameters
    ----------
    server : StrictServer
        Owner.
    timers : cranberryport.timers.Timers
        For the limits on time.
    limits : Limits
        Limits on input.
    channel : str
        Channel of the server.
    """

    def __init__(self, *, server, timers, limits, channel):
        super().__init__(server, channel=channel)
        self._timers = timers
        self._limits = limits
        self._connections = {}
        self._schedule_sweep()

    @property
    def timers(self):
        """Timers of the process."""
        return self._timers

    @property
    def limits(self):
        """Limits on input."""
        return self._limits

    @property
    def connection_count(self):
        """Number of open connections without refused ones."""
        return sum(not c.is_refused for c in self._connections.values())

    def write(self, sock, data):
        """Queue raw bytes for a caller."""
        self.fire(net_events.write(sock, data))

    def hand_over(self, sock, waiting):
        """Fire the event for the next request of a connection.

        Parameters
        ----------
        sock : socket.socket
            The caller's socket.
        waiting : _WaitingRequest or _Refusal
            What is next.

        Returns
        -------
        tuple of (CallerHttpRequest, CallerResponse)
            The request now in progress.
        """
        if isinstance(waiting, _Refusal):
            return self._answer_refusal(sock, waiting)
        head = waiting.head
        request = CallerHttpRequest(
            sock,
            method=head.method.decode("ascii"),
            target=head.target.decode("ascii"),
            protocol=(1, 1) if head.http_version == b"1.1" else (1, 0),
            raw_headers=list(head.headers),
            body=waiting.body,
            server=self._server,
        )
        response = CallerResponse(request, self._encoding)
        response.close = _asks_to_close(head)
        event = web_events.request(request, response)
        # Nobody listens to request_complete, and tracking it costs two events.
        event.complete = False
        self.fire(event)
        return request, response

    def on_written(self, sock):
        """Handle that all data of a socket is with the kernel."""
        connection = self._connections.get(sock)
        if connection is not None:
            connection.on_written()

    def _answer_refusal(self, sock, refusal):
        request = CallerHttpRequest(
            sock,
            method=refusal.method,
            target="/",
            protocol=(1, 1),
            raw_headers=[],
            body=b"",
            server=self._server,
        )
        response = CallerResponse(request, self._encoding, refusal.status)
        response.close = True
        fill_error(response, outcome=outcomes.NOT_RUN, reason=refusal.reason)
        if refusal.status == 503:
            response.headers["Retry-After"] = "1"
        self.fire(web_events.response(response))
        return request, response

    def _is_current(self, response):
        connection = self._connections.get(response.request.sock)
        if connection is None or connection.current is None:
            return False
        return connection.current[1] is response and not response.done

    def _schedule_sweep(self):
        delay_s = self._limits.idle_timeout_s / SWEEPS_PER_IDLE_TIMEOUT
        self._timers.after(delay_s, self._sweep)

    def _sweep(self):
        oldest = time.monotonic() - self._limits.idle_timeout_s
        for connection in list(self._connections.values()):
            if connection.is_idle and connection.last_progress < oldest:
                self._server.drop(connection.sock)
        self._schedule_sweep()

    @handler("connect")
    def _on_connect(self, sock, *_):
        connection = _CallerConnection(http=self, sock=sock)
        limit = self._limits.connections
        if self.connection_count >= limit:
            connection.is_refused = True
            connection.refuse(503, f"all {limit} connections are in use")
        self._connections[sock] = connection
        connection.start()

    @handler("read", override=True)
    def _on_read(self, sock, data):
        connection = self._connections.get(sock)
        if connection is not None:
            connection.receive(data)

    @handler("disconnect", override=True)
    def _on_disconnect(self, sock):
        connection = self._connections.pop(sock, None)
        if connection is None:
            return
        connection.stop()
        if connection.current is not None and not connection.is_idle:
            self.fire(caller_gone(connection.current[0]))

    @handler("response", override=True)
    def _on_response(self, response):
        # Drops the late response for a caller that is gone and a second response.
        if not self._is_current(response):
            return
        super()._on_response(response)
        if response.request.method == "HEAD":
            # circuits.web 3.2.5 returns early here and never closes the connection.
            response.done = True
            if response.close:
                self.fire(net_events.close(response.request.sock))

    @handler("stream", override=True)
    def _on_stream(self, response, data):
        if self._is_current(response):
            super()._on_stream(response, data)

    @handler("httperror", override=True)
    def _on_httperror(self, event, request, response, code, **_):
        # Only a missing handler proves that nothing ran.
        is_missing = event.code == 404
        outcome = outcomes.NOT_RUN if is_missing else outcomes.UNKNOWN
        reason = f"the request for {request.path!r} failed"
        if is_missing:
            reason = f"no resource at {request.path!r}"
        fill_error(response, outcome=outcome, reason=reason)
        self.fire(web_events.response(response))

    @handler("response_failure", override=True)
    def _on_response_failure(self, failed, _):
        self._server.drop(failed.args[0].request.sock)

    @handler("exception", override=True)
    def _on_exception(self, kind, _, traceback, fevent=None, **__):
        # circuits fires this for every component. Failed requests and responses are
        # answered through their own failure events. The exception's text is left out,
        # since it can quote a caller's header or body.
        where = "".join(traceback)
        _logger.error("event handler failed with %s\n%s", kind.__name__, where)
        if isinstance(fevent, net_events.read):
            self._server.drop(fevent.args[0])


class StrictServer(BaseComponent):
    """Server for callers; fires ``request`` for whole, valid requests only.

    Parameters
    ----------
    timers : cranberryport.timers.Timers
        Timers of the process.
    host : str
        IP address.
    port : int
        TCP port; 0 for any free one.
    limits : Limits
        Limits on input.
    """

    channel = "web"

    display_banner = False
    secure = False

    def __init__(self, *, timers, host, port, limits):
        super().__init__()
        self._http = StrictHTTP(
            server=self, timers=timers, limits=limits, channel=self.channel
        ).register(self)
        self._sockets = CallerSockets(
            bind=(host, port),
            timers=timers,
            connections=limits.connections + REFUSED_CONNECTIONS_LIMIT,
            on_written=self._http.on_written,
            channel=self.channel,
        ).register(self)

    @property
    def host(self):
        """IP address that the server listens on."""
        return self._sockets.host

    @property
    def port(self):
        """TCP port that the server listens on."""
        return self._sockets.port

    @property
    def connection_count(self):
        """Number of callers' connections."""
        return self._http.connection_count

    def drop(self, sock):
        """Close a caller's socket at once."""
        self._sockets.drop(sock)


def fill_error(response, *, outcome, reason, request_id=None):
    """Make a response an error with a JSON body.

    Parameters
    ----------
    response : circuits.web.wrappers.Response
        Response with its status.
    outcome : {'not-run', 'unknown'}
        Value of ``Request-Outcome``.
    reason : str
        One clear sentence.
    request_id : str or None
        Value of ``Request-Id``; None for a fresh one.
    """
    response.headers["Content-Type"] = "application/json"
    response.headers["Request-Outcome"] = outcome
    response.headers["Request-Id"] = request_id or secrets.token_hex(REQUEST_ID_BYTES)
    response.body = json.dumps({"outcome": outcome, "reason": reason}) + "\n"


def _asks_to_close(head):
    if head.http_version < b"1.1":
        return True
    for name, value in head.headers:
        if name == b"connection" and b"close" in _split_tokens(value):
            return True
    return False


def _split_tokens(value):
    return {token.strip().lower() for token in value.split(b",")}


def _find_values(data, name):
    values = _header_patterns[name].findall(data)
    if not values:
        return "is missing"
    return ", ".join(_quote(value) for value in values[:4])


def _quote(value):
    return repr(_shorten(bytes(value).decode("latin-1")))


def _shorten(text):
    if len(text) <= QUOTED_VALUE_LIMIT:
        return text
    return text[:QUOTED_VALUE_LIMIT] + "..."
