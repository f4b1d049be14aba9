"""HTTP calls of tests, scenarios and the demo, with one connection each."""

import dataclasses
import http.client
import json
import secrets
import time

POLL_INTERVAL_S = 0.05


@dataclasses.dataclass(kw_only=True, slots=True)
class Response:
    """What a caller saw.

    Attributes
    ----------
    status : int
        Status code; 0 if the connection broke before the whole answer.
    headers : dict of str to str
        Headers with names in lower case.
    body : bytes
        The body.
    error : str
        How the connection broke; empty if it did not.
    """

    status: int
    headers: dict
    body: bytes
    error: str = ""

    @property
    def outcome(self):
        """The ``Request-Outcome`` header; empty if there is none."""
        return self.headers.get("request-outcome", "")

    @property
    def json(self):
        """The body as JSON."""
        return json.loads(self.body)

    def describe(self):
        """Return one line for messages."""
        if self.error:
            return f"no answer: {self.error}"
        text = self.body[:200].decode(errors="replace")
        return f"status {self.status}, outcome {self.outcome!r}, body {text}"


def send_request(
    port, method, path, *, headers=None, body=b"", host="127.0.0.1", timeout_s=40
):
    """Send a request and wait for the whole answer.

    Parameters
    ----------
    port : int
        Port of the server.
    method, path : str
        Request line.
    headers : dict of str to str, optional
        Further headers.
    body : bytes, default=b""
        Body.
    host : str, default="127.0.0.1"
        Address of the server.
    timeout_s : float, default=40
        Longest silence; longer than the longest request, which is 30 s.

    Returns
    -------
    Response
        Also if the connection broke.
    """
    connection = http.client.HTTPConnection(host, port, timeout=timeout_s)
    try:
        connection.request(method, path, body or None, headers or {})
        answer = connection.getresponse()
        names = {name.lower(): value for name, value in answer.getheaders()}
        return Response(status=answer.status, headers=names, body=answer.read())
    except (OSError, http.client.HTTPException) as error:
        text = f"{type(error).__name__}: {error}"
        return Response(status=0, headers={}, body=b"", error=text)
    finally:
        connection.close()


def get_json(port, path, **options):
    """Return the JSON answer to a GET request.

    Raises
    ------
    RuntimeError
        If the status is not 200.
    """
    return _check(send_request(port, "GET", path, **options), path)


def post_json(port, path, value, **options):
    """Send JSON and return the JSON answer.

    Raises
    ------
    RuntimeError
        If the status is not 200.
    """
    body = json.dumps(value).encode()
    headers = {"Content-Type": "application/json"}
    return _check(
        send_request(port, "POST", path, headers=headers, body=body, **options), path
    )


def new_uuid7(now=None):
    """Return an idempotency key: a UUIDv7 (RFC 9562).

    Parameters
    ----------
    now : float, optional
        Issue time in Unix seconds; the present time by default.
    """
    milliseconds = int((time.time() if now is None else now) * 1000)
    number = (milliseconds & (2**48 - 1)) << 80 | secrets.randbits(80)
    number = number & ~(0xF << 76) | 0x7 << 76
    number = number & ~(0x3 << 62) | 0x2 << 62
    text = f"{number:032x}"
    return "-".join((text[:8], text[8:12], text[12:16], text[16:20], text[20:]))


def wait_until(condition, timeout_s, description):
    """Poll until a condition is true and return its value.

    Parameters
    ----------
    condition : callable
        Called without arguments.
    timeout_s : float
        Deadline in seconds.
    description : str or callable
        What was waited for; a callable is called when the deadline has passed.

    Raises
    ------
    AssertionError
        If the condition was not true before the deadline.
    """
    deadline = time.monotonic() + timeout_s
    while True:
        value = condition()
        if value:
            return value
        if time.monotonic() > deadline:
            text = description() if callable(description) else description
            raise AssertionError(f"not within {timeout_s} s: {text}")
        time.sleep(POLL_INTERVAL_S)


def _check(response, path):
    if response.status != 200:
        raise RuntimeError(f"{path}: {response.describe()}")
    return response.json
