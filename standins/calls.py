"""HTTP requests of tests, scenarios and the demo, each on a new connection."""

import dataclasses
import http.client
import json
import secrets
import time

POLL_INTERVAL_S = 0.05


@dataclasses.dataclass(kw_only=True, slots=True)
class Response:
    """An HTTP response, or the error that took its place.

    Attributes
    ----------
    status : int
        Status code; 0 if the connection failed before the whole response arrived.
    headers : dict of str to str
        Response headers with names in lower case.
    body : bytes
        Response body.
    error : str
        Type and message of the connection error; empty without an error.
    """

    status: int
    headers: dict
    body: bytes
    error: str = ""

    @property
    def outcome(self):
        """Value of the ``Request-Outcome`` header; empty if it is absent."""
        return self.headers.get("request-outcome", "")

    @property
    def json(self):
        """The body, decoded from JSON."""
        return json.loads(self.body)

    def describe(self):
        """Return a summary of one line for error messages."""
        if self.error:
            return f"no response: {self.error}"
        text = self.body[:200].decode(errors="replace")
        return f"status {self.status}, outcome {self.outcome!r}, body {text}"


def send_request(
    port, method, path, *, headers=None, body=b"", host="127.0.0.1", timeout_s=40
):
    """Send a request and wait for the whole response.

    Parameters
    ----------
    port : int
        Port of the server.
    method, path : str
        Parts of the request line.
    headers : dict of str to str, optional
        Request headers.
    body : bytes, default=b""
        Request body.
    host : str, default="127.0.0.1"
        Address of the server.
    timeout_s : float, default=40
        Socket timeout in seconds. Entry instances answer every request within 30 s.

    Returns
    -------
    Response
        With status 0 if the connection failed.
    """
    connection = http.client.HTTPConnection(host, port, timeout=timeout_s)
    try:
        connection.request(method, path, body or None, headers or {})
        response = connection.getresponse()
        fields = {name.lower(): value for name, value in response.getheaders()}
        return Response(status=response.status, headers=fields, body=response.read())
    except (OSError, http.client.HTTPException) as error:
        text = f"{type(error).__name__}: {error}"
        return Response(status=0, headers={}, body=b"", error=text)
    finally:
        connection.close()


def get_json(port, path, **options):
    """Send a GET request and return the decoded JSON response.

    Raises
    ------
    RuntimeError
        If the status is not 200.
    """
    return _decode_or_raise(send_request(port, "GET", path, **options), path)


def post_json(port, path, value, **options):
    """Send a value as JSON by POST and return the decoded JSON response.

    Raises
    ------
    RuntimeError
        If the status is not 200.
    """
    body = json.dumps(value).encode()
    headers = {"Content-Type": "application/json"}
    return _decode_or_raise(
        send_request(port, "POST", path, headers=headers, body=body, **options), path
    )


def new_uuid7(now=None):
    """Return a new UUIDv7 (RFC 9562), the format of idempotency keys.

    Parameters
    ----------
    now : float, optional
        Time to encode, in Unix seconds; the current time by default.
    """
    milliseconds = int((time.time() if now is None else now) * 1000)
    number = (milliseconds & (2**48 - 1)) << 80 | secrets.randbits(80)
    number = number & ~(0xF << 76) | 0x7 << 76
    number = number & ~(0x3 << 62) | 0x2 << 62
    text = f"{number:032x}"
    return "-".join((text[:8], text[8:12], text[12:16], text[16:20], text[20:]))


def wait_until(condition, timeout_s, description):
    """Call a condition until its result is true and return that result.

    Parameters
    ----------
    condition : callable
        Called without arguments.
    timeout_s : float
        Time in seconds after which to give up.
    description : str or callable
        The condition in words, for the error message. A callable returns this text and
        is called only after the time-out.

    Raises
    ------
    AssertionError
        If the condition was not true in time.
    """
    deadline = time.monotonic() + timeout_s
    while True:
        value = condition()
        if value:
            return value
        if time.monotonic() > deadline:
            text = description() if callable(description) else description
            raise AssertionError(f"condition not met within {timeout_s} s: {text}")
        time.sleep(POLL_INTERVAL_S)


def _decode_or_raise(response, path):
    if response.status != 200:
        raise RuntimeError(f"{path}: {response.describe()}")
    return response.json
