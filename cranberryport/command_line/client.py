"""Sends the HTTP requests of the command-line tool.

An error says whether the request may have been executed, so that the tool does not
report a request as failed that may have taken effect.
"""

import dataclasses
import http.client
import json

TIMEOUT_S = 10.0


class RequestError(Exception):
    """A request got no usable response.

    Parameters
    ----------
    message : str
        Message for the operator, one line.
    may_have_run : bool
        Whether the receiver may have executed the request.
    """

    def __init__(self, message, *, may_have_run):
        super().__init__(message)
        self.may_have_run = may_have_run


@dataclasses.dataclass(kw_only=True, slots=True, frozen=True)
class Address:
    """Host and TCP port of a process."""

    host: str
    port: int

    def __str__(self):
        host = f"[{self.host}]" if ":" in self.host else self.host
        return f"{host}:{self.port}"


@dataclasses.dataclass(kw_only=True, slots=True, frozen=True)
class Response:
    """A complete HTTP response."""

    status: int
    headers: http.client.HTTPMessage
    body: bytes

    def json(self):
        """Return the decoded JSON body.

        Raises
        ------
        RequestError
            If the body is not JSON.
        """
        try:
            return json.loads(self.body)
        except ValueError:
            message = f"the body of the response with status {self.status} is not JSON"
            raise RequestError(message, may_have_run=True) from None


def parse_address(text):
    """Return the address for ``HOST:PORT`` or ``[HOST]:PORT``.

    Raises
    ------
    ValueError
        If the text has another form or the port is out of range.
    """
    host, _, port = text.rpartition(":")
    is_bracketed = host.startswith("[") and host.endswith("]")
    host = host[1:-1] if is_bracketed else host
    is_valid = (
        host
        and port.isascii()
        and port.isdecimal()
        and (is_bracketed or ":" not in host)
    )
    if not is_valid or not 0 < int(port) < 65536:
        raise ValueError(f"found {text!r}; allowed: HOST:PORT or [HOST]:PORT")
    return Address(host=host, port=int(port))


def send_request(
    address, method, path, *, body=None, headers=None, timeout_s=TIMEOUT_S
):
    """Send a request on a new connection and return the response.

    Parameters
    ----------
    address : Address
        Address of the receiver.
    method, path : str
        Method and path of the request line.
    body : bytes or None
        Request body.
    headers : dict or None
        Request headers.
    timeout_s : float
        Limit in seconds for connecting and for each read or write.

    Returns
    -------
    Response
        The response, with any status.

    Raises
    ------
    RequestError
        If no complete response was received.
    """
    connection = http.client.HTTPConnection(
        address.host, address.port, timeout=timeout_s
    )
    try:
        try:
            connection.connect()
        except OSError as error:
            reason = error.strerror or error
            message = f"cannot connect to {address}: {reason}"
            raise RequestError(message, may_have_run=False) from None
        try:
            connection.request(method, path, body=body, headers=headers or {})
            response = connection.getresponse()
            data = response.read()
        except (OSError, http.client.HTTPException) as error:
            reason = str(error) or type(error).__name__
            message = f"no complete response from {address}: {reason}"
            raise RequestError(message, may_have_run=True) from None
        return Response(status=response.status, headers=response.headers, body=data)
    finally:
        connection.close()


def get_json_page(address, path):
    """Return the decoded JSON page at a path of an entry instance.

    Raises
    ------
    RequestError
        If there is no response with status 200 and a JSON body.
    """
    response = send_request(address, "GET", path)
    if response.status != 200:
        message = f"{address} answered {path} with status {response.status}"
        raise RequestError(message, may_have_run=True)
    return response.json()
