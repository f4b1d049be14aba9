"""HTTP server for callers that parses requests strictly.

``h11`` parses the requests and circuits.web writes the responses. The parser of
circuits.web 3.2.5 is not used, since it mixes up requests that overlap on one
connection and accepts requests with ambiguous framing.
"""

import logging
import time

from circuits import BaseComponent, Event, handler
from circuits.net import events as net_events
from circuits.web import events as web_events
from circuits.web import http as web_http

from cranberryport import outcomes
from cranberryport.http import caller_connection, caller_messages, caller_sockets

# Connections above the limit that may be open at once to get their 503 response.
REFUSED_CONNECTIONS_LIMIT = 64
IDLE_CHECKS_PER_TIMEOUT = 4

_logger = logging.getLogger(__name__)


class caller_gone(Event):
    """The caller disconnected before its response was written.

    Parameters
    ----------
    request : CallerHttpRequest
        Request that the ``request`` event was fired for.
    """


class StrictHTTP(web_http.HTTP):
    """circuits.web's HTTP component with ``h11`` as its parser.

    Parameters
    ----------
    server : StrictServer
        Server that the component belongs to.
    timers : cranberryport.timers.Timers
        Timers of the process, for time limits on callers.
    limits : Limits
        Limits on callers.
    channel : str
        Channel of the server.
    """

    def __init__(self, *, server, timers, limits, channel):
        super().__init__(server, channel=channel)
        self._timers = timers
        self._limits = limits
        self._connections = {}
        self._is_stopping = False
        self._schedule_idle_check()

    @property
    def timers(self):
        """Timers of the process."""
        return self._timers

    @property
    def limits(self):
        """Limits on callers."""
        return self._limits

    @property
    def connection_count(self):
        """Number of open connections, without those above the limit."""
        return sum(not c.is_refused for c in self._connections.values())

    def close_after_data(self, sock):
        """Close a caller's socket after its queued data has been sent."""
        self.fire(net_events.close(sock))

    def send_bytes(self, sock, data):
        """Queue bytes to be sent to a caller."""
        self.fire(net_events.write(sock, data))

    def start_request(self, sock, waiting):
        """Fire the ``request`` event for a request, or send an error response.

        Parameters
        ----------
        sock : socket.socket
            The caller's socket.
        waiting : caller_connection.WaitingRequest or caller_connection.Refusal
            Next request of the connection, or the error response in its place.

        Returns
        -------
        tuple of (CallerHttpRequest, CallerResponse)
            Request in progress and its response.
        """
        if isinstance(waiting, caller_connection.Refusal):
            return self._answer_refusal(sock, waiting)
        head = waiting.head
        request = caller_messages.CallerHttpRequest(
            sock,
            method=head.method.decode("ascii"),
            target=head.target.decode("ascii"),
            protocol=(1, 1) if head.http_version == b"1.1" else (1, 0),
            raw_headers=list(head.headers),
            body=waiting.body,
            server=self._server,
        )
        response = caller_messages.CallerResponse(request, self._encoding)
        response.close = self._is_stopping or caller_connection.asks_to_close(head)
        event = web_events.request(request, response)
        # No component handles request_complete, and tracking it costs two events.
        event.complete = False
        self.fire(event)
        return request, response

    def end_keep_alive(self):
        """Close idle connections now, and others after their current request."""
        self._is_stopping = True
        for connection in list(self._connections.values()):
            if connection.is_idle:
                self._server.close_now(connection.sock)
            elif connection.current is not None:
                connection.current[1].close = True

    def on_half_closed(self, sock):
        """Read no more from a caller that has shut down its sending side.

        Returns
        -------
        bool
            Whether responses have yet to be sent.
        """
        connection = self._connections.get(sock)
        return connection is not None and connection.finish_reading()

    def on_written(self, sock):
        """Start the next request when the kernel has taken all data of a socket."""
        connection = self._connections.get(sock)
        if connection is not None:
            connection.on_written()

    def _answer_refusal(self, sock, refusal):
        request = caller_messages.CallerHttpRequest(
            sock,
            method=refusal.method,
            target="/",
            protocol=(1, 1),
            raw_headers=[],
            body=b"",
            server=self._server,
        )
        response = caller_messages.CallerResponse(
            request, self._encoding, refusal.status
        )
        response.close = True
        caller_messages.fill_error(
            response, outcome=outcomes.NOT_RUN, reason=refusal.reason
        )
        if refusal.status == 503:
            response.headers["Retry-After"] = "1"
        self.fire(web_events.response(response))
        return request, response

    def _is_in_progress(self, response):
        connection = self._connections.get(response.request.sock)
        if connection is None or connection.current is None:
            return False
        return connection.current[1] is response and not response.done

    def _schedule_idle_check(self):
        delay_s = self._limits.idle_timeout_s / IDLE_CHECKS_PER_TIMEOUT
        self._timers.after(delay_s, self._close_idle_connections)

    def _close_idle_connections(self):
        oldest = time.monotonic() - self._limits.idle_timeout_s
        for connection in list(self._connections.values()):
            if connection.is_idle and connection.last_progress_at < oldest:
                self._server.close_now(connection.sock)
        self._schedule_idle_check()

    @handler("connect")
    def _on_connect(self, sock, *_):
        connection = caller_connection.CallerConnection(http=self, sock=sock)
        limit = self._limits.connections
        if self.connection_count >= limit:
            connection.is_refused = True
            connection.refuse(503, f"all {limit} connections are in use")
        self._connections[sock] = connection
        connection.process_queue()

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
        connection.discard()
        if connection.current is not None and not connection.is_idle:
            self.fire(caller_gone(connection.current[0]))

    @handler("response", override=True)
    def _on_response(self, response):
        # Ignores a response to a caller that has disconnected, and a second response to
        # the same request.
        if not self._is_in_progress(response):
            return
        super()._on_response(response)
        if response.request.method == "HEAD":
            # For HEAD circuits.web 3.2.5 neither marks the response as done nor closes
            # the connection.
            response.done = True
            if response.close:
                self.fire(net_events.close(response.request.sock))

    @handler("stream", override=True)
    def _on_stream(self, response, data):
        if self._is_in_progress(response):
            super()._on_stream(response, data)

    @handler("httperror", override=True)
    def _on_httperror(self, event, request, response, code, **_):
        # Only 404, for a path without a handler, proves that the request did not run.
        is_missing = event.code == 404
        outcome = outcomes.NOT_RUN if is_missing else outcomes.UNKNOWN
        reason = f"the request for {request.path!r} failed"
        if is_missing:
            reason = f"no resource at {request.path!r}"
        caller_messages.fill_error(response, outcome=outcome, reason=reason)
        self.fire(web_events.response(response))

    @handler("response_failure", override=True)
    def _on_response_failure(self, failed, _):
        self._server.close_now(failed.args[0].request.sock)

    @handler("exception", override=True)
    def _on_exception(self, kind, _, traceback, fevent=None, **__):
        # circuits fires this event for exceptions in any component. Failed requests and
        # responses are answered by the handlers of their failure events. The text of
        # the exception is not logged, since it can quote a caller's header or body.
        where = "".join(traceback)
        _logger.error("event handler failed with %s\n%s", kind.__name__, where)
        if isinstance(fevent, net_events.read):
            self._server.close_now(fevent.args[0])


class StrictServer(BaseComponent):
    """HTTP server; fires ``request`` for complete and valid requests only.

    Parameters
    ----------
    timers : cranberryport.timers.Timers
        Timers of the process.
    host : str
        IP address to listen on.
    port : int
        TCP port to listen on; 0 for any free one.
    limits : Limits
        Limits on callers.
    answers_half_closed : bool, default=False
        Whether a caller that has shut down its sending side still gets the responses
        to its complete requests. Otherwise it is treated as disconnected.
    """

    channel = "web"

    display_banner = False
    secure = False

    def __init__(self, *, timers, host, port, limits, answers_half_closed=False):
        super().__init__()
        self._http = StrictHTTP(
            server=self, timers=timers, limits=limits, channel=self.channel
        ).register(self)
        self._sockets = caller_sockets.CallerSockets(
            bind=(host, port),
            timers=timers,
            max_connections=limits.connections + REFUSED_CONNECTIONS_LIMIT,
            on_written=self._http.on_written,
            on_half_closed=self._http.on_half_closed if answers_half_closed else None,
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

    def stop_accepting(self):
        """Accept no more connections; requests in progress are still answered."""
        self._sockets.stop_accepting()
        self._http.end_keep_alive()

    @property
    def connection_count(self):
        """Number of callers' connections, without those above the limit."""
        return self._http.connection_count

    def close_now(self, sock):
        """Close a caller's socket at once and discard its queued data."""
        self._sockets.close_now(sock)
