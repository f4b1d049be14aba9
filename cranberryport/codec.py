"""Encodes messages as CBOR maps whose ``kind`` field names the message class."""

import dataclasses

import cbor2
import msgspec

from cranberryport.generated import messages

KIND_FIELD = "kind"

_TYPES = {
    name: value
    for name, value in vars(messages).items()
    if isinstance(value, type) and dataclasses.is_dataclass(value)
}

# Precomputed: calling dataclasses.fields() takes a quarter of the time of decoding.
_FIELDS = {
    name: frozenset(field.name for field in dataclasses.fields(value))
    for name, value in _TYPES.items()
}


class DecodeError(ValueError):
    """Data that is not a known message; the text says what is wrong."""


def to_map(message):
    """Return a message as a map of built-in types.

    Parameters
    ----------
    message : object
        Instance of a class in :mod:`cranberryport.generated.messages`.

    Returns
    -------
    dict
        The fields of the message and ``kind``, the name of its class.
    """
    fields = msgspec.to_builtins(message, builtin_types=(bytes,))
    return {KIND_FIELD: type(message).__name__, **fields}


def from_map(fields):
    """Return the message for a map.

    Parameters
    ----------
    fields : dict
        Map made by :func:`to_map`.

    Returns
    -------
    object
        Instance of a class in :mod:`cranberryport.generated.messages`.

    Raises
    ------
    DecodeError
        If the map is not a message or a field is missing, unknown or of a wrong type.
    """
    if not isinstance(fields, dict):
        raise DecodeError(f"expected a map, found {type(fields).__name__}")
    kind = fields.get(KIND_FIELD)
    message_type = _TYPES.get(kind) if isinstance(kind, str) else None
    if message_type is None:
        valid = ", ".join(sorted(_TYPES))
        raise DecodeError(f"unknown kind {kind!r}; valid kinds: {valid}")
    values = {key: value for key, value in fields.items() if key != KIND_FIELD}
    known = _FIELDS[kind]
    if not known.issuperset(values):
        unknown = sorted(str(key) for key in values if key not in known)
        raise DecodeError(f"{kind} has unknown fields {', '.join(unknown)}")
    try:
        return msgspec.convert(values, message_type)
    except msgspec.ValidationError as error:
        raise DecodeError(f"{kind}: {error}") from error


def encode(message):
    """Return a message as CBOR.

    Parameters
    ----------
    message : object
        Instance of a class in :mod:`cranberryport.generated.messages`.

    Returns
    -------
    bytes
        The message as a CBOR map.
    """
    return cbor2.dumps(to_map(message))


def decode(data):
    """Return the message encoded in CBOR.

    Parameters
    ----------
    data : bytes
        Result of :func:`encode`.

    Returns
    -------
    object
        Instance of a class in :mod:`cranberryport.generated.messages`.

    Raises
    ------
    DecodeError
        If the data is not CBOR or not a message.
    """
    try:
        fields = cbor2.loads(data)
    except Exception as error:
        # cbor2 raises several unrelated exception types for damaged data, such as
        # UnicodeDecodeError, OverflowError and its own errors.
        raise DecodeError(f"not CBOR: {error}") from error
    return from_map(fields)
