"""Checks callers' HTTP requests and writes their outcomes as HTTP responses."""

import functools
import math
import posixpath
import re
import secrets
import time
from urllib import parse

from circuits import BaseComponent, handler
from circuits.web import events as web_events

from cranberryport import outcomes
from cranberryport.callers import caller_headers, idempotency, requests
from cranberryport.http import caller_messages

DEFAULT_DEADLINE_S = 10.0
DEADLINE_LIMIT_S = 30.0
DEFAULT_CLASS = "interactive"
LISTED_NAMES_LIMIT = 20

# Paths that the administration and jobs components handle.
_other_component_path = re.compile(r"/(-|jobs)(/|$)")

# Headers of RFC 9110 section 7.6.1, and headers that are set anew on each connection.
HOP_BY_HOP_HEADERS = frozenset(
    {
        b"connection",
        b"content-length",
        b"expect",
        b"host",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    }
)

# Headers that cranberryport sets itself; values from callers or backend servers are
# removed so that they are not mistaken for its own.
RESERVED_HEADERS = frozenset({b"request-id", b"request-outcome", b"request-refused"})


class FrontEnd(BaseComponent):
    """Turns HTTP requests into caller requests, and outcomes into HTTP responses.

    Parameters
    ----------
    control : object
        Control state whose ``configuration()`` returns the configuration in force, with
        ``services`` (dict by name), ``service(name).at_most_once`` (tuple of path
        prefixes) and ``desk(name).request_class`` ('' if the configuration sheet sets
        none).
    web_channel : str, default='web'
        Channel of the HTTP server.
    dispatcher_channel : str, default='dispatcher'
        Channel of the dispatcher.
    """

    channel = "frontend"

    def __init__(self, *, control, web_channel="web", dispatcher_channel="dispatcher"):
        super().__init__()
        self._control = control
        self._web_channel = web_channel
        self._dispatcher_channel = dispatcher_channel
        # HTTP response by caller request, and caller request by HTTP request, for the
        # requests in progress.
        self._responses_by_request = {}
        self._requests_by_http_request = {}

    @property
    def in_progress_count(self):
        """Number of requests without an outcome."""
        return len(self._responses_by_request)

    @handler("request", channel="web")
    def _on_request(self, request, response):
        if _other_component_path.match(request.path):
            return None
        request_id = secrets.token_hex(caller_messages.REQUEST_ID_BYTES)
        try:
            caller_request = self._read_request(request, request_id)
        except caller_headers.BadRequest as error:
            _write_outcome(error.outcome, response, request_id)
            return response
        self._responses_by_request[caller_request] = response
        self._requests_by_http_request[request] = caller_request
        self.fire(requests.submit(caller_request), self._dispatcher_channel)
        # True tells circuits.web that the response will be sent later.
        return True

    @handler("caller_gone", channel="web")
    def _on_caller_gone(self, request):
        caller_request = self._requests_by_http_request.pop(request, None)
        if caller_request is not None:
            del self._responses_by_request[caller_request]
            self.fire(requests.cancel(caller_request), self._dispatcher_channel)

    @handler("outcome")
    def _on_outcome(self, request, outcome):
        response = self._responses_by_request.pop(request, None)
        if response is None:
            return
        del self._requests_by_http_request[response.request]
        _write_outcome(outcome, response, request.id)
        self.fire(web_events.response(response), self._web_channel)

    def _read_request(self, request, request_id):
        configuration = self._control.configuration()
        arrived = time.monotonic()
        service, target = _split_target(request.target)
        _check_service(service, configuration.services)
        desk = caller_headers.read_desk_header(request.raw_headers)
        return requests.CallerRequest(
            id=request_id,
            service=service,
            desk=desk,
            request_class=_read_class(request.raw_headers, configuration.desk(desk)),
            method=request.method,
            target=target,
            headers=forwardable_headers(request.raw_headers),
            body=request.body.getvalue(),
            deadline=arrived + _read_deadline_delay(request.raw_headers),
            arrived=arrived,
            key=_read_key(request, target, configuration.service(service)),
        )


def forwardable_headers(headers):
    """Return the headers to forward, without hop-by-hop and reserved ones.

    Parameters
    ----------
    headers : list of (bytes, bytes)
        Headers with names in lower case.

    Returns
    -------
    list of (bytes, bytes)
        Headers without those of this connection and those that cranberryport sets.
    """
    removed = set(HOP_BY_HOP_HEADERS | RESERVED_HEADERS)
    for name, value in headers:
        if name == b"connection":
            removed.update(token.strip().lower() for token in value.split(b","))
    return [(name, value) for name, value in headers if name not in removed]


def is_at_most_once(target, prefixes):
    """Return whether requests for a target must not run more than once.

    Parameters
    ----------
    target : str
        Path and query without the service prefix.
    prefixes : tuple of str
        Path prefixes that the configuration sheet declares at-most-once.

    Returns
    -------
    bool
        True if the path as sent, or as a server may normalise it, starts with a prefix.
    """
    path = target.partition("?")[0]
    # A server may decode %2F, merge slashes and resolve dot segments; an equivalent
    # spelling of a path must not bypass the check.
    decoded = parse.unquote(path)
    normalised = "/" + posixpath.normpath("/" + decoded).lstrip("/")
    # A prefix with a trailing slash also covers the path without it.
    paths = {path, decoded, normalised, normalised + "/"}
    return any(path.startswith(prefix) for path in paths for prefix in prefixes)


def _split_target(target):
    path, question_mark, query = target.partition("?")
    service, _, rest = path[1:].partition("/")
    return parse.unquote(service), f"/{rest}{question_mark}{query}"


def _check_service(service, services):
    if service in services:
        return
    raise caller_headers.BadRequest(
        status=404,
        reason=f"unknown service {service!r}; allowed: {_list_names(services)}",
    )


def _read_class(headers, desk):
    value = caller_headers.read_single_header(headers, "Request-Class")
    if value is not None and value not in requests.REQUEST_CLASSES:
        allowed = ", ".join(requests.REQUEST_CLASSES)
        raise caller_headers.BadRequest(
            status=422, reason=f"Request-Class {value!r}; allowed: {allowed}"
        )
    return desk.request_class or value or DEFAULT_CLASS


def _read_deadline_delay(headers):
    value = caller_headers.read_single_header(headers, "Request-Deadline")
    if value is None:
        return DEFAULT_DEADLINE_S
    try:
        deadline = float(value)
    except ValueError:
        deadline = math.nan
    if not math.isfinite(deadline):
        raise caller_headers.BadRequest(
            status=422,
            reason=f"Request-Deadline {value!r}; allowed: Unix seconds, with decimals",
        )
    delay_s = deadline - time.time()
    if delay_s <= 0:
        raise caller_headers.BadRequest(
            status=422,
            reason=f"Request-Deadline {value!r} is {-delay_s:.3f} s in the past",
        )
    return min(delay_s, DEADLINE_LIMIT_S)


def _read_key(request, target, service):
    if request.method in requests.SAFE_METHODS:
        return None
    value = caller_headers.read_single_header(request.raw_headers, "Idempotency-Key")
    if value is None:
        if is_at_most_once(target, service.at_most_once):
            raise caller_headers.BadRequest(
                status=422,
                reason=f"{request.method} {request.path!r} must not be repeated and "
                "needs the header Idempotency-Key; allowed: a UUIDv7",
            )
        return None
    checked = idempotency.check_key(value, now=time.time())
    if isinstance(checked, idempotency.InvalidKey):
        raise caller_headers.BadRequest(status=422, reason=checked.reason)
    return checked.key


def _list_names(names):
    listed_names = sorted(names)[:LISTED_NAMES_LIMIT]
    listed = ", ".join(listed_names) or "none, since no sheet is in force"
    unlisted_count = len(names) - len(listed_names)
    return f"{listed} and {unlisted_count} more" if unlisted_count else listed


@functools.singledispatch
def _write_outcome(outcome, response, request_id):
    """Write an outcome to a response."""
    raise TypeError(f"not an outcome: {type(outcome).__name__}")


@_write_outcome.register
def _write_answered(outcome: outcomes.Answered, response, request_id):
    response.status = outcome.status
    values_by_name = {}
    for name, value in outcome.headers:
        values_by_name.setdefault(name.decode("latin-1"), []).append(
            value.decode("latin-1")
        )
    forwardable_names = {name for name, _ in forwardable_headers(outcome.headers)}
    for name, header_values in values_by_name.items():
        if name.encode("latin-1") in forwardable_names:
            response.headers[name] = header_values
    # The length that the answer to a GET would have; for other methods the length of
    # the body is computed.
    if response.request.method == "HEAD" and "content-length" in values_by_name:
        response.headers["Content-Length"] = values_by_name["content-length"][0]
    response.headers["Request-Outcome"] = outcomes.ANSWERED
    response.headers["Request-Id"] = request_id
    response.body = outcome.body


@_write_outcome.register
def _write_not_run(outcome: outcomes.NotRun, response, request_id):
    response.status = outcome.status
    if outcome.retry_after_s is not None:
        # Whole seconds (RFC 9110), rounded up so that callers do not repeat too early.
        seconds = max(1, math.ceil(outcome.retry_after_s))
        response.headers["Retry-After"] = str(seconds)
    caller_messages.fill_error(
        response,
        outcome=outcomes.NOT_RUN,
        reason=outcome.reason,
        request_id=request_id,
    )


@_write_outcome.register
def _write_unknown(outcome: outcomes.Unknown, response, request_id):
    response.status = outcome.status
    caller_messages.fill_error(
        response,
        outcome=outcomes.UNKNOWN,
        reason=outcome.reason,
        request_id=request_id,
    )
