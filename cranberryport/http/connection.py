"""HTTP/1.1 client connections with one request in flight each.

Used for backend servers and for the platform. ``httptools`` parses the responses and
rejects those with invalid framing. The :class:`Client` component watches all sockets; a
:class:`Connection` is no component.
"""

import dataclasses
import errno
import itertools
import socket
import struct
import time

import httptools
from circuits import BaseComponent, Event, handler
from circuits.core import pollers
from circuits.core.utils import findcmp

from cranberryport.http import addresses

RESPONSE_BODY_LIMIT_BYTES = 1024 * 1024
HEADER_LIMIT_BYTES = 16 * 1024
READ_SIZE_BYTES = 64 * 1024
# Value of SO_LINGER: on, for 0 s.
_NO_LINGER = struct.pack("ii", 1, 0)
REQUEST_ID_HEADER = b"request-id"


class exchange_done(Event):
    """An exchange has a result.

    Parameters
    ----------
    exchange : Exchange
        Exchange whose ``result`` is set.
    """


@dataclasses.dataclass(kw_only=True, slots=True)
class Response:
    """A complete response.

    Attributes
    ----------
    status : int
        Status code.
    headers : list of (bytes, bytes)
        Headers with names in lower case.
    body : bytes
        Complete body.
    """

    status: int
    headers: list[tuple[bytes, bytes]]
    body: bytes


@dataclasses.dataclass(kw_only=True, slots=True)
class ExchangeFailure:
    """An exchange that ended without a complete response.

    Attributes
    ----------
    reason : {'connect', 'timeout', 'closed', 'protocol', 'cancelled', 'refused'}
        What ended the exchange; ``refused`` if ``may_send`` returned False.
    detail : str
        One sentence that explains the failure.
    bytes_sent : int
        Bytes of the request that were passed to the kernel; 0 proves that the server
        has not executed it.
    """

    reason: str
    detail: str
    bytes_sent: int


class Exchange:
    """One request and its result.

    Parameters
    ----------
    method, target : str
        Method and target of the request line.
    headers : list of (bytes, bytes)
        End-to-end headers; ``Host`` and ``Content-Length`` are added.
    body : bytes
        Complete body.
    deadline : float
        Monotonic time at which the exchange fails unless the response is complete.
    reply_channel : str
        Channel on which :class:`exchange_done` is fired.
    context : object
        Any value for the sender; not used here.
    request_id : bytes or None
        Sent as ``Request-Id``. A response with another id is a protocol error, and the
        connection is reused only if the response repeats the id, since nothing else
        shows that a response does not belong to an earlier request.
    may_send : callable or None
        Called without arguments immediately before the first byte is sent. If it
        returns False the exchange fails as ``refused`` and no byte is sent. A check
        before :meth:`Connection.send` would not be enough, as connecting can take long
        and the process can be paused meanwhile.
    response_limit_bytes : int
        Largest body of a response; a larger one is a protocol error.

    Attributes
    ----------
    result : Response, ExchangeFailure or None
        None until the exchange has ended.
    connection : Connection or None
        Connection that the exchange was sent on.
    started_at : float or None
        Monotonic time of :meth:`Connection.send`.
    """

    __slots__ = (
        "body",
        "connection",
        "context",
        "deadline",
        "headers",
        "may_send",
        "method",
        "reply_channel",
        "request_id",
        "response_limit_bytes",
        "result",
        "started_at",
        "target",
    )

    def __init__(
        self,
        *,
        method,
        target,
        deadline,
        reply_channel,
        headers=(),
        body=b"",
        context=None,
        request_id=None,
        may_send=None,
        response_limit_bytes=RESPONSE_BODY_LIMIT_BYTES,
    ):
        self.method = method
        self.target = target
        self.headers = list(headers)
        self.body = body
        self.deadline = deadline
        self.reply_channel = reply_channel
        self.context = context
        self.request_id = request_id
        self.may_send = may_send
        self.response_limit_bytes = response_limit_bytes
        self.result = None
        self.connection = None
        self.started_at = None


class InvalidRequest(ValueError):
    """A request that cannot be encoded as valid HTTP."""


class _ResponseReader:
    """Collects one response from the callbacks of the ``httptools`` parser.

    Parameters
    ----------
    is_head : bool
        Whether the request was a HEAD; its response has no body, even if the headers
        declare a length.
    previous_request_id : bytes or None
        Id of the previous request on the connection. A response with this id is a
        duplicate and is skipped; the response to the present request follows it.

    Attributes
    ----------
    has_skipped_duplicate : bool
        Whether a duplicate of the previous response was skipped.
    is_complete : bool
        Whether the response has been read to its end.
    has_extra_data : bool
        Whether more bytes followed the response.
    is_reusable : bool
        Whether the response allows another request on the connection.
    """

    __slots__ = (
        "body",
        "body_size",
        "has_extra_data",
        "has_skipped_duplicate",
        "head_size",
        "headers",
        "is_complete",
        "is_head_complete",
        "is_reusable",
        "status",
        "_is_head",
        "_parser",
        "_previous_request_id",
    )

    def __init__(self, *, is_head, previous_request_id):
        self._is_head = is_head
        self._previous_request_id = previous_request_id
        self._parser = httptools.HttpResponseParser(self)
        self._reset()
        self.is_complete = False
        self.has_extra_data = False
        self.has_skipped_duplicate = False
        self.is_reusable = False

    def _reset(self):
        self.status = 0
        self.headers = []
        self.head_size = 0
        self.is_head_complete = False
        self.body = []
        self.body_size = 0

    def feed(self, data):
        """Parse bytes that were received.

        Raises
        ------
        httptools.HttpParserError
            If they are not valid HTTP and the response is not complete yet.
        """
        if not self.is_head_complete:
            self.head_size += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError:
            if not self.is_complete:
                raise
            self.has_extra_data = True

    def on_message_begin(self):
        """Note data after a complete response."""
        if self.is_complete:
            self.has_extra_data = True

    def on_header(self, name, value):
        """Collect a header, with its name in lower case."""
        if not self.is_complete:
            self.headers.append((name.lower(), value))

    def on_headers_complete(self):
        """Record the status; complete the response to a HEAD."""
        if self.is_complete:
            return
        self.status = self._parser.get_status_code()
        self.is_head_complete = True
        if self._is_head and self.status >= 200 and not self._is_duplicate:
            # The parser would wait for the body that the headers declare.
            self.is_complete = True

    def on_body(self, data):
        """Collect a part of the body."""
        if not self.is_complete:
            self.body.append(data)
            self.body_size += len(data)

    def on_message_complete(self):
        """Complete the response; discard a duplicate or interim response (1xx)."""
        if self.is_complete:
            return
        if self.status < 200:
            self._reset()
            return
        if self._is_duplicate:
            self.has_skipped_duplicate = True
            self._reset()
            return
        self.is_complete = True
        self.is_reusable = self._parser.should_keep_alive()

    @property
    def _is_duplicate(self):
        request_id = dict(self.headers).get(REQUEST_ID_HEADER)
        return request_id is not None and request_id == self._previous_request_id


class Connection:
    """A client connection, made by :meth:`Client.connect`.

    Parameters
    ----------
    client : Client
        Component that watches the socket.
    host : str
        IP address.
    port : int
        TCP port.
    on_closed : callable or None
        Called once with the connection when it closes.
    is_reset_on_close : bool, default=False
        Whether closing discards what the server has not received, see
        :meth:`Client.connect`.
    """

    __slots__ = (
        "_bytes_sent",
        "_client",
        "_connected_at",
        "_exchange",
        "_host",
        "_is_connecting",
        "_is_open",
        "_is_reset_on_close",
        "_is_reused",
        "_on_closed",
        "_outgoing",
        "_port",
        "_previous_request_id",
        "_reader",
        "_socket",
        "_timer",
    )

    def __init__(self, *, client, host, port, on_closed=None, is_reset_on_close=False):
        self._client = client
        self._on_closed = on_closed
        self._is_reset_on_close = is_reset_on_close
        self._host = host
        self._port = port
        self._socket = None
        self._reader = None
        self._exchange = None
        self._timer = None
        self._outgoing = b""
        self._bytes_sent = 0
        self._connected_at = None
        self._previous_request_id = None
        self._is_open = True
        self._is_connecting = False
        self._is_reused = False

    @property
    def address(self):
        """Pair of host and port."""
        return self._host, self._port

    @property
    def is_open(self):
        """Whether the connection is not closed; it may be busy or not connected yet."""
        return self._is_open

    @property
    def is_idle(self):
        """Whether a request can be sent now."""
        return self._is_open and self._exchange is None

    @property
    def connected_at(self):
        """Monotonic time at which connecting succeeded, or None."""
        return self._connected_at

    @property
    def exchange(self):
        """The exchange in flight, or None."""
        return self._exchange

    def send(self, exchange):
        """Start an exchange on an idle connection.

        Parameters
        ----------
        exchange : Exchange
            Request to send; :class:`exchange_done` is fired when it has a result.

        Raises
        ------
        RuntimeError
            If another exchange is in flight or the connection is closed.
        """
        if not self.is_idle:
            raise RuntimeError(f"connection to {self.address} is not idle")
        self._exchange = exchange
        exchange.connection = self
        exchange.started_at = time.monotonic()
        previous_request_id = self._previous_request_id
        if previous_request_id == exchange.request_id:
            # A retry keeps the id of its request.
            previous_request_id = None
        self._reader = _ResponseReader(
            is_head=exchange.method == "HEAD",
            previous_request_id=previous_request_id,
        )
        self._bytes_sent = 0
        self._is_reused = self._connected_at is not None
        delay_s = exchange.deadline - time.monotonic()
        self._timer = self._client.timers.after(delay_s, self._on_timeout)
        if self._socket is None:
            self._start_connecting()
        elif self._was_closed_by_peer():
            self._fail("closed", "the server had closed the idle connection")
        else:
            self._write_request()

    def close_if_stale(self):
        """Close an idle connection that the server has closed or sent data on.

        Returns
        -------
        bool
            Whether the connection was closed.
        """
        is_stale = self.is_idle and self._socket is not None
        is_stale = is_stale and self._was_closed_by_peer()
        if is_stale:
            self.close()
        return is_stale

    def cancel(self):
        """Fail the exchange in flight as ``cancelled`` and close the connection."""
        if self._exchange is not None:
            self._fail("cancelled", "the exchange was cancelled")
        else:
            self.close()

    def close(self):
        """Close the connection; an exchange in flight fails as ``closed``."""
        if not self._is_open:
            return
        if self._exchange is not None:
            self._fail("closed", "the connection was closed here")
            return
        self._is_open = False
        if self._socket is not None:
            self._client.unwatch(self._socket)
            self._socket.close()
        if self._on_closed is not None:
            self._on_closed(self)

    def _start_connecting(self):
        self._is_connecting = True
        try:
            self._socket = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
            self._socket.setblocking(False)
            self._socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            if self._is_reset_on_close:
                self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _NO_LINGER)
            addresses.start_connecting(self._socket, self.address)
        except OSError as error:
            # Also if no file descriptor is free.
            self._fail("connect", f"cannot connect to {self.address}: {error}")
            return
        self._client.watch(self._socket, self)

    def _finish_connecting(self):
        code = self._socket.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if code:
            self._fail("connect", f"cannot connect: {errno.errorcode.get(code, code)}")
            return
        self._is_connecting = False
        self._connected_at = time.monotonic()
        self._client.stop_writing(self._socket)
        self._write_request()

    def _was_closed_by_peer(self):
        # An idle connection is readable only after end of file or an unsolicited
        # response, and must not be reused in either case. select() is not used, since
        # it fails for file descriptors above 1023.
        try:
            self._socket.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return False
        except OSError:
            return True
        return True

    def _write_request(self):
        exchange = self._exchange
        if exchange.may_send is not None and not exchange.may_send():
            self._fail("refused", "the sender may not send this request any more")
            return
        host = f"{self._host}:{self._port}".encode()
        try:
            data = encode_request(exchange, host)
        except (InvalidRequest, UnicodeEncodeError) as error:
            self._fail("protocol", f"the request is not valid HTTP: {error}")
            return
        self._outgoing = data
        self.on_writable()

    def on_writable(self):
        """Continue connecting or sending; called by the client of a writable socket."""
        if self._is_connecting:
            self._finish_connecting()
            return
        if not self._outgoing:
            self._client.stop_writing(self._socket)
            return
        try:
            count = self._socket.send(self._outgoing)
        except BlockingIOError:
            count = 0
        except OSError as error:
            self._fail("closed", f"cannot send: {error.strerror}")
            return
        self._bytes_sent += count
        self._outgoing = self._outgoing[count:]
        if self._outgoing:
            self._client.start_writing(self._socket)
        else:
            self._client.stop_writing(self._socket)

    def on_readable(self):
        """Read a part of the response; called by the client of a readable socket."""
        if self._is_connecting:
            return
        try:
            data = self._socket.recv(READ_SIZE_BYTES)
        except BlockingIOError:
            return
        except OSError as error:
            self._fail_or_close("closed", f"cannot read: {error.strerror}")
            return
        if self._exchange is None:
            self.close()
            return
        if not data:
            self._fail("closed", "the server closed without a whole answer")
            return
        try:
            self._reader.feed(data)
        except httptools.HttpParserError as error:
            self._fail("protocol", f"the answer is broken: {error}")
            return
        self._check_response()

    def on_disconnected(self):
        """Handle an error or hang-up that the poller reported."""
        if self._is_connecting:
            self._finish_connecting()
            return
        self.on_readable()

    def _check_response(self):
        reader = self._reader
        limit = self._exchange.response_limit_bytes
        if not reader.is_head_complete:
            if reader.head_size > HEADER_LIMIT_BYTES:
                size = reader.head_size
                limit = HEADER_LIMIT_BYTES
                self._fail("protocol", f"headers of {size} bytes; allowed: {limit}")
        elif not self._has_known_length(reader.headers):
            self._fail("protocol", "the answer gives no length, so it may be cut short")
        elif reader.body_size > limit:
            size = reader.body_size
            self._fail("protocol", f"a body of {size} bytes; allowed: {limit}")
        elif reader.is_complete:
            self._finish_response()

    def _finish_response(self):
        reader = self._reader
        headers = reader.headers
        echoed = dict(headers).get(REQUEST_ID_HEADER)
        request_id = self._exchange.request_id
        if request_id is not None and echoed not in (None, request_id):
            self._fail("protocol", f"the answer is for request {echoed!r}")
            return
        if request_id is not None and echoed is None and self._is_reused:
            # The server repeated the id in earlier responses, so one without it is not
            # for this request; it may be a 408 because the connection was idle.
            self._fail("protocol", "the answer repeats no request id any more")
            return
        result = Response(
            status=reader.status,
            headers=headers,
            body=b"".join(reader.body),
        )
        is_reusable = reader.is_reusable and not (
            reader.has_extra_data or reader.has_skipped_duplicate or self._outgoing
        )
        is_matched = request_id is None or echoed == request_id
        # The end of a duplicate response to a HEAD cannot be recognized.
        is_head = self._exchange.method == "HEAD"
        self._previous_request_id = None if is_head else request_id
        self._finish(result, is_reusable=is_reusable and is_matched)

    def _has_known_length(self, headers):
        names = {name for name, _ in headers}
        if self._exchange.method == "HEAD":
            return True
        if self._reader.status in (204, 304):
            return True
        return b"content-length" in names or b"transfer-encoding" in names

    def _on_timeout(self):
        self._fail("timeout", "no whole answer before the deadline")

    def _fail_or_close(self, reason, detail):
        if self._exchange is None:
            self.close()
        else:
            self._fail(reason, detail)

    def _fail(self, reason, detail):
        sent = self._bytes_sent
        result = ExchangeFailure(reason=reason, detail=detail, bytes_sent=sent)
        self._finish(result, is_reusable=False)

    def _finish(self, result, *, is_reusable):
        exchange, self._exchange = self._exchange, None
        if self._timer is not None:
            self._timer.cancel()
        if not is_reusable:
            self.close()
        exchange.result = result
        self._client.fire(exchange_done(exchange), exchange.reply_channel)


def encode_request(exchange, host):
    """Return the bytes of a request.

    Parameters
    ----------
    exchange : Exchange
        Request to encode.
    host : bytes
        Value of the Host header.

    Raises
    ------
    InvalidRequest
        If the target or a header would break the framing.
    """
    if " " in exchange.target or not exchange.target:
        raise InvalidRequest(f"target {exchange.target!r}; allowed: no spaces")
    lines = [
        f"{exchange.method} {exchange.target} HTTP/1.1".encode("ascii"),
        b"host: " + host,
        *[name + b": " + value for name, value in exchange.headers],
    ]
    if exchange.request_id is not None:
        lines.append(REQUEST_ID_HEADER + b": " + exchange.request_id)
    if exchange.body or exchange.method not in ("GET", "HEAD", "OPTIONS"):
        lines.append(b"content-length: %d" % len(exchange.body))
    for line in lines:
        if b"\r" in line or b"\n" in line or b"\0" in line:
            raise InvalidRequest(f"header {line!r}; allowed: no line breaks, no NUL")
    return b"\r\n".join(lines) + b"\r\n\r\n" + exchange.body


class Client(BaseComponent):
    """Creates client connections and passes events of their sockets to them.

    Parameters
    ----------
    timers : cranberryport.timers.Timers
        Timers of the process, for the deadlines of exchanges.
    channel : str, default='http_client'
        Channel of the poller's events for the sockets.
    """

    channel = "http_client"

    _numbers = itertools.count(1)

    def __init__(self, *, timers, channel=channel):
        super().__init__(channel=channel)
        self._timers = timers
        self._poller = None
        self._connections = {}

    @property
    def timers(self):
        """Timers of the process."""
        return self._timers

    @property
    def connection_count(self):
        """Number of watched sockets."""
        return len(self._connections)

    def connect(self, *, host, port, on_closed=None, is_reset_on_close=False):
        """Return a new connection, which connects when its first request is sent.

        Parameters
        ----------
        host : str
            IP address.
        port : int
            TCP port.
        on_closed : callable or None
            Called once with the connection when it closes.
        is_reset_on_close : bool, default=False
            Whether closing resets the connection, also as the process ends. A request
            that the server has not received then, as behind a partition, is lost and
            does not arrive later.

        Returns
        -------
        Connection
            Idle connection that is not connected yet.
        """
        return Connection(
            client=self,
            host=host,
            port=port,
            on_closed=on_closed,
            is_reset_on_close=is_reset_on_close,
        )

    def watch(self, sock, connection):
        """Pass the events of a socket to an object.

        Parameters
        ----------
        sock : socket.socket
            Socket that is connecting, connected or listening.
        connection : object
            A :class:`Connection`, or any object with its methods ``on_readable``,
            ``on_writable``, ``on_disconnected`` and ``close``.
        """
        self._connections[sock] = connection
        poller = self._find_poller()
        poller.addReader(self, sock)
        poller.addWriter(self, sock)

    def unwatch(self, sock):
        """Ignore the events of a socket that is about to be closed."""
        if self._connections.pop(sock, None) is not None:
            self._find_poller().discard(sock)

    def start_writing(self, sock):
        """Enable events for when the socket is writable."""
        if not self._find_poller().isWriting(sock):
            self._find_poller().addWriter(self, sock)

    def stop_writing(self, sock):
        """Disable events for when the socket is writable."""
        if self._find_poller().isWriting(sock):
            self._find_poller().removeWriter(sock)

    def _find_poller(self):
        if self._poller is None:
            self._poller = findcmp(self.root, pollers.BasePoller)
            if self._poller is None:
                self._poller = pollers.Poller().register(self.root)
        return self._poller

    @handler("_read")
    def _on_read(self, sock):
        connection = self._connections.get(sock)
        if connection is not None:
            connection.on_readable()

    @handler("_write")
    def _on_write(self, sock):
        connection = self._connections.get(sock)
        if connection is not None:
            connection.on_writable()

    @handler("_disconnect")
    def _on_disconnect(self, sock):
        connection = self._connections.get(sock)
        if connection is not None:
            connection.on_disconnected()

    @handler("stopped", channel="*")
    def _on_stopped(self, *_):
        for connection in list(self._connections.values()):
            connection.close()
