"""Requests and responses of callers, for circuits.web."""

import json
import secrets
from http.cookies import SimpleCookie
from io import BytesIO

from circuits.web import headers as web_headers
from circuits.web import wrappers

REQUEST_ID_BYTES = 16
BODILESS_STATUSES = (204, 304)


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
            self._restore_header("Content-Length", declared_length)
        if declared_type is None:
            # circuits.web would call an answer of unknown type text/html.
            del self.headers["Content-Type"]

    def _restore_header(self, name, value):
        # circuits.web writes the length of the empty body in place of the length
        # that the same GET would have.
        if value is not None and self.status != 204:
            self.headers[name] = value
        elif not self.body:
            self.headers.pop(name)


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
