"""Converts state to plain values (maps, lists and scalars) for snapshots, and back."""

import msgspec


def to_plain(value):
    """Return a dataclass, or a container of dataclasses, as plain values."""
    return msgspec.to_builtins(value, builtin_types=(bytes,))


def from_plain(value, value_type):
    """Return the value of a type that :func:`to_plain` converted.

    Raises
    ------
    msgspec.ValidationError
        If the plain values do not fit the type.
    """
    return msgspec.convert(value, value_type)
