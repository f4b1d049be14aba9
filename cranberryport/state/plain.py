"""Plain values of the state's entries, as snapshots carry them."""

import msgspec


def to_plain(value):
    """Return maps, lists and scalars for dataclasses and containers of them."""
    return msgspec.to_builtins(value, builtin_types=(bytes,))


def from_plain(value, value_type):
    """Return the value that :func:`to_plain` was given.

    Raises
    ------
    msgspec.ValidationError
        If the plain value does not fit the type.
    """
    return msgspec.convert(value, value_type)
