"""Bodies of the platform's calls."""

import msgspec

from cranberryport.http import connection

JSON_HEADERS = ((b"content-type", b"application/json"),)


def encode(fields):
    """Return a body."""
    return msgspec.json.encode(fields)


def decode(data):
    """Return the map of a body, None if it is no map."""
    try:
        fields = msgspec.json.decode(data)
    except (msgspec.DecodeError, UnicodeDecodeError):
        return None
    return fields if isinstance(fields, dict) else None


def read_response(result):
    """Return status and fields of a finished exchange.

    Parameters
    ----------
    result : Response or ExchangeFailure
        Result of the exchange.

    Returns
    -------
    tuple of (int, dict)
        Status 0 if no whole answer came; no fields if the body is no map.
    """
    if not isinstance(result, connection.Response):
        return 0, {}
    return result.status, decode(result.body) or {}


def integer(fields, name, default=0):
    """Return a number of a map as a whole one, the default if it is no number."""
    value = fields.get(name, default)
    if isinstance(value, bool) or not isinstance(value, int | float):
        return default
    return int(value)


def text(fields, name, default=""):
    """Return a text of a map, a default if it is none."""
    value = fields.get(name, default)
    return value if isinstance(value, str) else default
