"""Encodes and decodes the JSON bodies of calls to the platform."""

import msgspec

from cranberryport.http import connection

JSON_HEADERS = ((b"content-type", b"application/json"),)


def encode(fields):
    """Return a map as a JSON body."""
    return msgspec.json.encode(fields)


def decode(data):
    """Return the map in a JSON body, None if the body is not a JSON object."""
    try:
        fields = msgspec.json.decode(data)
    except (msgspec.DecodeError, UnicodeDecodeError):
        return None
    return fields if isinstance(fields, dict) else None


def read_response(result):
    """Return status and fields of the response of a finished exchange.

    Parameters
    ----------
    result : Response or ExchangeFailure
        Result of the exchange, see :mod:`cranberryport.http.connection`.

    Returns
    -------
    tuple of (int, dict)
        Status, 0 if there was no complete response; and the fields, none if the body
        is not a JSON object.
    """
    if not isinstance(result, connection.Response):
        return 0, {}
    return result.status, decode(result.body) or {}


def get_integer(fields, name, default=0):
    """Return a field as an integer, the default if it is missing or not a number."""
    value = fields.get(name, default)
    if isinstance(value, bool) or not isinstance(value, int | float):
        return default
    return int(value)


def get_number(fields, name, default=0.0):
    """Return a field as a float, the default if it is missing or not a number."""
    value = fields.get(name, default)
    if isinstance(value, bool) or not isinstance(value, int | float):
        return default
    return float(value)


def get_text(fields, name, default=""):
    """Return a field of type str, the default if it is missing or of another type."""
    value = fields.get(name, default)
    return value if isinstance(value, str) else default
