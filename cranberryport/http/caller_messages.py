"""Callers' requests and responses as circuits.web expects them."""

import json
import secrets
from http.cookies import SimpleCookie
from io import BytesIO

from circuits.web import headers as web_headers
from circuits.web import wrappers

REQUEST_ID_BYTES = 16
BODILESS_STATUSES = (204, 304)


class CallerHttpRequest(wrappers.Request):
    """circuits.web request that is made from a request parsed by ``h11``.

    The constructor of the base class is not called: it raises for some ``Host`` and
    ``Cookie`` values and for a caller that has just disconnected. ``uri``, which it
    would set, is None.

    Attributes
    ----------
    target : str
        Request target as the caller sent it.
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
        # Left empty, since circuits.web sends these cookies back as ``Set-Cookie``.
        self.cookie = SimpleCookie()


class CallerResponse(wrappers.Response):
    """circuits.web response with correct lengths for HEAD, 204 and 304."""

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
            # circuits.web would declare a response of unknown type as text/html.
            del self.headers["Content-Type"]

    def _restore_header(self, name, value):
        # circuits.web declares the length of the empty body. A response to HEAD and a
        # 304 declare the length that the response to a GET would have.
        if value is not None and self.status != 204:
            self.headers[name] = value
        elif not self.body:
            self.headers.pop(name)


def fill_error(response, *, outcome, reason, request_id=None):
    """Set the headers and the JSON body of an error response.

    Parameters
    ----------
    response : circuits.web.wrappers.Response
        Response whose status is already set.
    outcome : {'not-run', 'unknown'}
        Value of ``Request-Outcome``.
    reason : str
        One sentence for the caller.
    request_id : str or None
        Value of ``Request-Id``; None for a random one.
    """
    response.headers["Content-Type"] = "application/json"
    response.headers["Request-Outcome"] = outcome
    response.headers["Request-Id"] = request_id or secrets.token_hex(REQUEST_ID_BYTES)
    response.body = json.dumps({"outcome": outcome, "reason": reason}) + "\n"
