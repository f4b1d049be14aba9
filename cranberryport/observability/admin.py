"""Serves the administration paths under ``/-/``: the instance's state as JSON."""

import json
import secrets

from circuits import BaseComponent, handler

from cranberryport import outcomes
from cranberryport.http import caller_messages

PREFIX = "/-/"
METHODS = ("GET", "HEAD")


class Admin(BaseComponent):
    """Responds to administration requests with data from providers.

    Parameters
    ----------
    providers : dict of str to callable
        Maps a path such as ``/-/status`` to a function without arguments that returns
        data for JSON. It is called at each request.
    """

    channel = "web"

    def __init__(self, *, providers):
        super().__init__()
        self._providers = dict(providers)

    @property
    def paths(self):
        """Paths that have a provider, sorted."""
        return sorted(self._providers)

    @handler("request")
    def _on_request(self, request, response):
        if not (request.path + "/").startswith(PREFIX):
            return None
        if request.path not in self._providers:
            allowed = ", ".join(self.paths)
            reason = f"unknown path {request.path!r}; allowed: {allowed}"
            return _refuse(response, 404, reason)
        if request.method not in METHODS:
            allowed = ", ".join(METHODS)
            response.headers["Allow"] = allowed
            reason = f"method {request.method!r}; allowed: {allowed}"
            return _refuse(response, 405, reason)
        data = self._providers[request.path]()
        response.headers["Content-Type"] = "application/json"
        response.headers["Request-Outcome"] = outcomes.ANSWERED
        response.headers["Request-Id"] = secrets.token_hex(
            caller_messages.REQUEST_ID_BYTES
        )
        response.body = json.dumps(data) + "\n"
        return response


def _refuse(response, status, reason):
    response.status = status
    caller_messages.fill_error(response, outcome=outcomes.NOT_RUN, reason=reason)
    return response
