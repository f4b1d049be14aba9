"""Encodes and decodes the JSON bodies and records of the platform.

What other programs have written is decoded here. No content makes a function of this
module raise an exception: deep nesting, huge numbers and wrong types give the same
result as any other unreadable content.
"""

import dataclasses
import logging
import typing

import msgspec

from cranberryport.http import connection

JSON_HEADERS = ((b"content-type", b"application/json"),)
# Larger numbers are not exact in all JSON libraries (RFC 8259, section 6). Sums of
# times and capacities below this limit can be converted between integers and floats.
NUMBER_LIMIT = 2**53
REASON_LIMIT_CHARACTERS = 200

# Types of fields. The platform sends whole numbers, other writers also ``1.0``.
Count = (
    typing.Annotated[int, msgspec.Meta(ge=0, le=NUMBER_LIMIT)]
    | typing.Annotated[float, msgspec.Meta(ge=0, le=NUMBER_LIMIT)]
)
Text = typing.Annotated[str, msgspec.Meta(min_length=1)]

_logger = logging.getLogger(__name__)
_UNREADABLE = (msgspec.MsgspecError, ValueError, RecursionError)


@dataclasses.dataclass(kw_only=True, slots=True, frozen=True)
class Invalid:
    """Content that is not of the expected type.

    Attributes
    ----------
    reason : str
        Field and what is wrong with it, of limited length.
    """

    reason: str


def make_decoder(record_type):
    """Return a function that decodes JSON into a type with its constraints.

    Parameters
    ----------
    record_type : type
        A ``msgspec.Struct``, or any other type that ``msgspec`` decodes.

    Returns
    -------
    callable
        Takes bytes; returns an object of the type, or ``Invalid``. It raises nothing.
    """
    decoder = msgspec.json.Decoder(record_type)

    def decode_record(data):
        try:
            return decoder.decode(data)
        except _UNREADABLE as error:
            return Invalid(reason=str(error)[:REASON_LIMIT_CHARACTERS])

    return decode_record


def encode(fields):
    """Return a map as a JSON body."""
    return msgspec.json.encode(fields)


def decode(data):
    """Return the map in a JSON body, None if the body is not a JSON object."""
    try:
        fields = msgspec.json.decode(data)
    except _UNREADABLE:
        return None
    return fields if isinstance(fields, dict) else None


def read_status(result):
    """Return the status of the response of a finished exchange, 0 if there is none."""
    return result.status if isinstance(result, connection.Response) else 0


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
    status = read_status(result)
    return status, (decode(result.body) if status else None) or {}


def quote(value):
    """Return a decoded value as text of limited length, for a log line or an error."""
    try:
        text = repr(value)
    except RecursionError:
        text = f"deeply nested {type(value).__name__}"
    return text[:REASON_LIMIT_CHARACTERS]


def select_rows(rows, types, event):
    """Return the rows that begin with values of the given types.

    Parameters
    ----------
    rows : list
        Decoded rows of a table.
    types : tuple of type
        Type of each of the first columns.
    event : str
        Event of the log line that is written if any row is left out.

    Returns
    -------
    list of list
        The usable rows, in order.
    """
    found = [
        row
        for row in rows
        if isinstance(row, list)
        and len(row) >= len(types)
        and all(map(isinstance, row, types))
    ]
    if len(found) < len(rows):
        _logger.warning(event, extra={"rows": quote(rows)})
    return found


def is_number(value):
    """Return whether a decoded value is a number within ``NUMBER_LIMIT``."""
    if isinstance(value, bool) or not isinstance(value, int | float):
        return False
    # False for NaN as well.
    return -NUMBER_LIMIT <= value <= NUMBER_LIMIT


def get_integer(fields, name, default=0):
    """Return a field as an integer, the default if it is missing or not a number."""
    value = fields.get(name, default)
    return int(value) if is_number(value) else default


def get_number(fields, name, default=0.0):
    """Return a field as a float, the default if it is missing or not a number."""
    value = fields.get(name, default)
    return float(value) if is_number(value) else default


def get_text(fields, name, default=""):
    """Return a field of type str, the default if it is missing or of another type."""
    value = fields.get(name, default)
    return value if isinstance(value, str) else default
