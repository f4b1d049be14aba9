"""Parses the requests of one caller's connection and starts them one after another.

``h11`` parses the requests. Pipelined requests are queued until the response to the
request before them has been written, so that no response can be mixed up.
"""

import collections
import re
import time

import h11

QUOTED_VALUE_MAX_CHARACTERS = 200

_header_patterns = {
    name: re.compile(rb"(?im)^" + name + rb"[ \t]*:[ \t]*([^\r\n]*?)[ \t]*\r?$")
    for name in (b"content-length", b"transfer-encoding", b"host")
}


class Refusal:
    """An error response to a request that was not accepted; queued like a request."""

    __slots__ = ("method", "reason", "status")

    def __init__(self, *, status, reason, method="GET"):
        self.status = status
        self.reason = reason
        self.method = method


class WaitingRequest:
    """A complete request that waits until the requests before it are answered."""

    __slots__ = ("body", "head")

    def __init__(self, *, head, body):
        self.head = head
        self.body = body


class CallerConnection:
    """Parser state and request queue of one caller's connection.

    Parameters
    ----------
    http : StrictHTTP
        Component that owns the connection and fires its requests.
    sock : socket.socket
        The caller's socket.

    Attributes
    ----------
    current : tuple of (CallerHttpRequest, CallerResponse) or None
        Request in progress, or None.
    is_refused : bool
        Whether the connection is above the limit and gets a 503 only.
    last_progress_at : float
        Monotonic time at which data was last received or a response written.
    """

    __slots__ = (
        "_body",
        "_body_size",
        "_closes_after_responses",
        "_head",
        "_head_data",
        "_http",
        "_is_reading",
        "_limits",
        "_protocol",
        "_queue",
        "_timed_part",
        "_timer",
        "current",
        "is_refused",
        "last_progress_at",
        "sock",
    )

    def __init__(self, *, http, sock):
        self._http = http
        self._limits = http.limits
        self.sock = sock
        self.current = None
        self.is_refused = False
        self.last_progress_at = time.monotonic()
        self._closes_after_responses = False
        self._is_reading = True
        self._queue = collections.deque()
        self._timer = None
        self._timed_part = None
        self._expect_request(b"")

    @property
    def is_idle(self):
        """Whether no request is in progress."""
        return self.current is None or self.current[1].done

    @property
    def _unfinished_part(self):
        """Part of a request that has begun to arrive: ``header``, ``body`` or None."""
        if self._head is not None:
            return "body"
        return "header" if self._head_data else None

    def receive(self, data):
        """Parse bytes that were read from the socket."""
        if not self._is_reading:
            return
        self.last_progress_at = time.monotonic()
        self._feed_parser(data)
        self._start_next_request()

    def refuse(self, status, reason):
        """Queue an error response after the requests read so far; read no more.

        The connection is closed after the error response.
        """
        method = "GET"
        if self._head is not None:
            method = self._head.method.decode("ascii")
        self._stop_reading()
        self._queue.append(Refusal(status=status, reason=reason, method=method))

    def on_written(self):
        """Start the next request if the current response has been written."""
        self.last_progress_at = time.monotonic()
        if self.current is None or not self.current[1].done:
            return
        if self.current[1].close:
            self.discard()
        self.current = None
        self._start_next_request()
        if self._closes_after_responses and self.current is None:
            self._http.close_after_data(self.sock)

    def finish_reading(self):
        """Read no more requests; close after the response to the last one read.

        Returns
        -------
        bool
            Whether a response has yet to be sent.
        """
        self._stop_reading()
        is_owed = bool(self._queue) or not self.is_idle
        if is_owed:
            self._closes_after_responses = True
        return is_owed

    def discard(self):
        """Discard all queued requests, because the connection ends."""
        self._stop_reading()
        self._queue.clear()

    def process_queue(self):
        """Start what :meth:`refuse` has queued when no data was received."""
        self._start_next_request()

    def _stop_reading(self):
        self._is_reading = False
        self._set_part_timer(None)
        self._head_data = b""
        self._body = []

    def _expect_request(self, data):
        limit = self._limits.header_bytes
        # Each request needs a new h11 object: h11 accepts another request only after
        # it has sent the response, and responses are not sent through h11.
        self._protocol = h11.Connection(h11.SERVER, max_incomplete_event_size=limit)
        self._head = None
        self._head_data = b""
        self._body = []
        self._body_size = 0
        self._set_part_timer(None)
        if data:
            self._feed_parser(data)

    def _feed_parser(self, data):
        if self._head is None:
            self._head_data += data
        self._protocol.receive_data(data)
        try:
            self._read_events()
        except h11.RemoteProtocolError as error:
            self.refuse(*self._describe_error(error))
        if self._is_reading:
            self._set_part_timer(self._unfinished_part)

    def _read_events(self):
        while self._is_reading:
            event = self._protocol.next_event()
            if event is h11.NEED_DATA or event is h11.PAUSED:
                return
            if isinstance(event, h11.Request):
                self._handle_head(event)
            elif isinstance(event, h11.Data):
                self._append_body(bytes(event.data))
            elif isinstance(event, h11.EndOfMessage):
                self._queue_request()
                return

    def _handle_head(self, head):
        self._head = head
        unread = len(self._protocol.trailing_data[0])
        size = len(self._head_data) - unread
        problem = self._check_head(head, size)
        self._head_data = b""
        if problem is not None:
            self.refuse(*problem)

    def _check_head(self, head, size):
        """Return the status and reason of an error response, or None."""
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

    def _append_body(self, data):
        self._body.append(data)
        self._body_size += len(data)
        limit = self._limits.body_bytes
        if self._body_size > limit:
            reason = f"the body has more than {limit} bytes; allowed: up to {limit}"
            self.refuse(413, reason)

    def _queue_request(self):
        problem = self._check_pipeline()
        if problem is not None:
            self.refuse(*problem)
            return
        body = b"".join(self._body)
        self._queue.append(WaitingRequest(head=self._head, body=body))
        self._start_next_request()
        unread = self._protocol.trailing_data[0]
        if asks_to_close(self._head):
            self._stop_reading()
        else:
            self._expect_request(unread)

    def _check_pipeline(self):
        """Return the status and reason of an error response, or None."""
        if self.current is None:
            return None
        limit = self._limits.pipelined_requests
        if len(self._queue) >= limit:
            return 400, f"more than {limit} pipelined requests; allowed: up to {limit}"
        size = sum(len(waiting.body) for waiting in self._queue) + self._body_size
        limit = self._limits.body_bytes
        if size > limit:
            return 413, (
                f"the bodies of the pipelined requests have {size} bytes; "
                f"allowed: up to {limit} together"
            )
        return None

    def _start_next_request(self):
        if self.current is None and self._queue:
            self.current = self._http.start_request(self.sock, self._queue.popleft())
        elif self.current is None:
            self._send_continue_if_due()

    def _send_continue_if_due(self):
        # ``100 Continue`` is sent only when the requests before this one are answered;
        # earlier it would be read as part of the response to one of them.
        if self._protocol.they_are_waiting_for_100_continue and self._is_reading:
            interim = h11.InformationalResponse(status_code=100, headers=[])
            self._http.send_bytes(self.sock, self._protocol.send(interim))
            self._set_part_timer(None)
            self._set_part_timer("body")

    def _describe_error(self, error):
        """Return the status and reason of the response to a parser error."""
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
        self._start_next_request()

    def _on_body_timeout(self):
        self._set_part_timer(None)
        if self._protocol.they_are_waiting_for_100_continue and self.current:
            # The caller was not asked for the body yet, since another request is in
            # progress, so it did not cause the delay.
            self._set_part_timer("body")
            return
        limit = self._limits.body_timeout_s
        reason = (
            f"the body was not complete after {limit:g} s; "
            f"{self._body_size} bytes had arrived"
        )
        self.refuse(408, reason)
        self._start_next_request()

    def _set_part_timer(self, part):
        # A timer is set only for a part that did not arrive at once, since cancelled
        # timers can stay in the heap until they are due.
        if part == self._timed_part:
            return
        self._timed_part = part
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


def asks_to_close(head):
    """Return whether the connection must close after a request with this head."""
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
    if len(text) <= QUOTED_VALUE_MAX_CHARACTERS:
        return text
    return text[:QUOTED_VALUE_MAX_CHARACTERS] + "..."
