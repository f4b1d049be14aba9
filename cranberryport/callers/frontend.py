"""Callers' HTTP: checks of requests and writing of outcomes."""

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
SHOWN_NAMES_LIMIT = 20

# Paths of the administration and of jobs.
_foreign_path = re.compile(r"/(-|jobs)(/|$)")

# RFC 9110 section 7.6.1, and headers that are made anew for each connection.
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

# Set by cranberryport; a value from outside could be taken for ours.
OWN_HEADERS = frozenset({b"request-id", b"request-outcome", b"request-refused"})


class FrontEnd(BaseComponent):
    """Turns HTTP requests into caller requests, and outcomes into responses.

    Parameters
    ----------
    control : object
        Its ``configuration()`` returns the effective configuration: ``services``
        (dict by name), ``service(name).at_most_once`` (tuple of path prefixes) and
        ``desk(name).request_class`` ('' if the sheet gives none).
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
        # Both dicts hold exactly the requests in progress.
        self._responses = {}
        self._requests = {}

    @property
    def in_progress_count(self):
        """Number of requests that wait for their outcome."""
        return len(self._responses)

    @handler("request", channel="web")
    def _on_request(self, request, response):
        if _foreign_path.match(request.path):
            return None
        request_id = secrets.token_hex(caller_messages.REQUEST_ID_BYTES)
        try:
            caller_request = self._read(request, request_id)
        except caller_headers.BadRequest as error:
            _write(error.outcome, response, request_id)
            return response
        self._responses[caller_request] = response
        self._requests[request] = caller_request
        self.fire(requests.submit(caller_request), self._dispatcher_channel)
        # True tells circuits.web that the response comes later.
        return True

    @handler("caller_gone", channel="web")
    def _on_caller_gone(self, request):
        caller_request = self._requests.pop(request, None)
        if caller_request is not None:
            del self._responses[caller_request]
            self.fire(requests.cancel(caller_request), self._dispatcher_channel)

    @handler("outcome")
    def _on_outcome(self, request, outcome):
        response = self._responses.pop(request, None)
        if response is None:
            return
        del self._requests[response.request]
        _write(outcome, response, request.id)
        self.fire(web_events.response(response), self._web_channel)

    def _read(self, request, request_id):
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
            headers=end_to_end(request.raw_headers),
            body=request.body.getvalue(),
            deadline=arrived + _read_deadline_delay(request.raw_headers),
            arrived=arrived,
            key=_read_key(request, target, configuration.service(service)),
        )


def end_to_end(headers):
    """Return the headers without those that belong to one connection.

    Parameters
    ----------
    headers : list of (bytes, bytes)
        Names in lower case.

    Returns
    -------
    list of (bytes, bytes)
        Headers to forward.
    """
    removed = set(HOP_BY_HOP_HEADERS | OWN_HEADERS)
    for name, value in headers:
        if name == b"connection":
            removed.update(token.strip().lower() for token in value.split(b","))
    return [(name, value) for name, value in headers if name not in removed]


def is_at_most_once(target, prefixes):
    """Return whether a target lies under a prefix of the sheet.

    Parameters
    ----------
    target : str
        Path without the service, with its query.
    prefixes : tuple of str
        Path prefixes.

    Returns
    -------
    bool
        True if the path as sent or the path that a server may make of it matches.
    """
    path = target.partition("?")[0]
    # A server may decode %2F, join slashes and resolve dot segments; a path written
    # in another way must not avoid the rule.
    decoded = parse.unquote(path)
    normal = "/" + posixpath.normpath("/" + decoded).lstrip("/")
    # A prefix with a slash at its end also covers the path without it.
    paths = {path, decoded, normal, normal + "/"}
    return any(path.startswith(prefix) for path in paths for prefix in prefixes)


def _split_target(target):
    path, mark, query = target.partition("?")
    service, _, rest = path[1:].partition("/")
    return parse.unquote(service), f"/{rest}{mark}{query}"


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
    shown = sorted(names)[:SHOWN_NAMES_LIMIT]
    text = ", ".join(shown) or "none, since no sheet is in force"
    more = len(names) - len(shown)
    return f"{text} and {more} more" if more else text


@functools.singledispatch
def _write(outcome, response, request_id):
    """Fill a response from an outcome."""
    raise TypeError(f"no outcome: {type(outcome).__name__}")


@_write.register
def _write_answered(outcome: outcomes.Answered, response, request_id):
    response.status = outcome.status
    values = {}
    for name, value in outcome.headers:
        values.setdefault(name.decode("latin-1"), []).append(value.decode("latin-1"))
    kept = {name for name, _ in end_to_end(outcome.headers)}
    for name, texts in values.items():
        if name.encode("latin-1") in kept:
            response.headers[name] = texts
    # The length that a GET would have; for other methods it is computed.
    if response.request.method == "HEAD" and "content-length" in values:
        response.headers["Content-Length"] = values["content-length"][0]
    response.headers["Request-Outcome"] = outcomes.ANSWERED
    response.headers["Request-Id"] = request_id
    response.body = outcome.body


@_write.register
def _write_not_run(outcome: outcomes.NotRun, response, request_id):
    response.status = outcome.status
    if outcome.retry_after_s is not None:
        # Whole seconds (RFC 9110), rounded up so that no repeat comes too early.
        seconds = max(1, math.ceil(outcome.retry_after_s))
        response.headers["Retry-After"] = str(seconds)
    caller_messages.fill_error(
        response,
        outcome=outcomes.NOT_RUN,
        reason=outcome.reason,
        request_id=request_id,
    )


@_write.register
def _write_unknown(outcome: outcomes.Unknown, response, request_id):
    response.status = outcome.status
    caller_messages.fill_error(
        response,
        outcome=outcomes.UNKNOWN,
        reason=outcome.reason,
        request_id=request_id,
    )
