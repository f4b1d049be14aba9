"""HTTP requests of the operator's tool."""

import dataclasses
import http.client
import json

TIMEOUT_S = 10.0


class RequestError(Exception):
    """A request without a usable answer.

    Parameters
    ----------
    text : str
        One clear line.
    may_have_run : bool
        Whether the request may have reached its receiver.
    """

    def __init__(self, text, *, may_have_run):
        super().__init__(text)
        self.may_have_run = may_have_run


@dataclasses.dataclass(kw_only=True, slots=True, frozen=True)
class Address:
    """Where a process listens."""

    host: str
    port: int

    def __str__(self):
        host = f"[{self.host}]" if ":" in self.host else self.host
        return f"{host}:{self.port}"


@dataclasses.dataclass(kw_only=True, slots=True, frozen=True)
class Response:
    """A whole answer with its status, headers and body."""

    status: int
    headers: http.client.HTTPMessage
    body: bytes

    def json(self):
        """Return the body as JSON; raise RequestError if it is none."""
        try:
            return json.loads(self.body)
        except ValueError:
            text = f"the answer with status {self.status} is not JSON"
            raise RequestError(text, may_have_run=True) from None


def parse_address(text):
    """Return the address for ``HOST:PORT`` or ``[HOST]:PORT``.

    Raises
    ------
    ValueError
        If the text is neither.
    """
    host, _, port = text.rpartition(":")
    bracketed = host.startswith("[") and host.endswith("]")
    host = host[1:-1] if bracketed else host
    valid = (
        host and port.isascii() and port.isdecimal() and (bracketed or ":" not in host)
    )
    if not valid or not 0 < int(port) < 65536:
        raise ValueError(f"found {text!r}; allowed: HOST:PORT or [HOST]:PORT")
    return Address(host=host, port=int(port))


def send_request(
    address, method, path, *, body=None, headers=None, timeout_s=TIMEOUT_S
):
    """Send a request on a connection of its own.

    Parameters
    ----------
    address : Address
        The receiver.
    method, path : str
        Request line.
    body : bytes or None
        Request body.
    headers : dict or None
        Request headers.
    timeout_s : float
        Limit for each step of the connection.

    Returns
    -------
    Response
        Whatever its status.

    Raises
    ------
    RequestError
        If no whole answer came.
    """
    connection = http.client.HTTPConnection(
        address.host, address.port, timeout=timeout_s
    )
    try:
        try:
            connection.connect()
        except OSError as error:
            reason = error.strerror or error
            text = f"cannot connect to {address}: {reason}"
            raise RequestError(text, may_have_run=False) from None
        try:
            connection.request(method, path, body=body, headers=headers or {})
            response = connection.getresponse()
            data = response.read()
        except (OSError, http.client.HTTPException) as error:
            reason = str(error) or type(error).__name__
            text = f"no whole answer from {address}: {reason}"
            raise RequestError(text, may_have_run=True) from None
        return Response(status=response.status, headers=response.headers, body=data)
    finally:
        connection.close()


def get_json_page(address, path):
    """Return the JSON page of an entry instance.

    Raises
    ------
    RequestError
        If there is no answer with status 200 and JSON.
    """
    answer = send_request(address, "GET", path)
    if answer.status != 200:
        text = f"{address} answered {path} with status {answer.status}"
        raise RequestError(text, may_have_run=True)
    return answer.json()
