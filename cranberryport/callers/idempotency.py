"""Creates and checks idempotency keys.

A key is a UUIDv7 (RFC 9562), which contains the time at which it was issued. The record
of a key can therefore be dropped once the key is too old to be accepted.
"""

import dataclasses
import secrets
import time
import uuid

KEY_RETENTION_S = 24 * 3600.0
# Allows for the difference between the clocks of callers and entry instances.
KEY_FUTURE_LIMIT_S = 5 * 60.0

_VERSION = 7
_RANDOM_A_BITS = 12
_RANDOM_B_BITS = 62
_VARIANT = 0b10


@dataclasses.dataclass(kw_only=True, slots=True)
class ValidKey:
    """A key that may be claimed.

    Attributes
    ----------
    key : str
        Canonical form in lower case.
    issued_at : float
        Time of issue in Unix seconds.
    """

    key: str
    issued_at: float


@dataclasses.dataclass(kw_only=True, slots=True)
class InvalidKey:
    """A key that must be refused.

    Attributes
    ----------
    reason : str
        Sentence for the caller that quotes the key.
    """

    reason: str


def new_key(*, now=None):
    """Return a new key.

    Parameters
    ----------
    now : float or None
        Time of issue in Unix seconds; None for the current time.

    Returns
    -------
    str
        Key in canonical form.
    """
    issued_ms = int((time.time() if now is None else now) * 1000)
    value = issued_ms << 80
    value |= _VERSION << 76
    value |= secrets.randbits(_RANDOM_A_BITS) << 64
    value |= _VARIANT << _RANDOM_B_BITS
    value |= secrets.randbits(_RANDOM_B_BITS)
    return str(uuid.UUID(int=value))


def parse_issue_time(key):
    """Return the time of issue of a key in Unix seconds.

    Raises
    ------
    ValueError
        If the key is not a UUIDv7 in canonical form.
    """
    value = uuid.UUID(key)
    # uuid.UUID also accepts braces, a URN prefix and missing hyphens, but two forms of
    # a key must not count as two keys.
    if str(value) != key.lower():
        raise ValueError(f"{key!r} is not in canonical form")
    if value.version != _VERSION:
        raise ValueError(f"{key!r} has version {value.version}; allowed: {_VERSION}")
    return (value.int >> 80) / 1000


def check_key(key, *, now):
    """Check whether a key may be claimed.

    Parameters
    ----------
    key : str
        Value of the ``Idempotency-Key`` header.
    now : float
        Current time in Unix seconds.

    Returns
    -------
    ValidKey or InvalidKey
        Invalid if the key is malformed, too old or too far in the future.
    """
    try:
        issued = parse_issue_time(key)
    except ValueError:
        return InvalidKey(
            reason=f"Idempotency-Key {key!r} is not a UUIDv7; allowed: canonical form "
            "with hyphens"
        )
    if issued < now - KEY_RETENTION_S:
        return InvalidKey(
            reason=f"Idempotency-Key {key!r} is {now - issued:.0f} s old; "
            f"allowed: up to {KEY_RETENTION_S:.0f} s"
        )
    if issued > now + KEY_FUTURE_LIMIT_S:
        return InvalidKey(
            reason=f"Idempotency-Key {key!r} is {issued - now:.0f} s in the future; "
            f"allowed: up to {KEY_FUTURE_LIMIT_S:.0f} s"
        )
    return ValidKey(key=key.lower(), issued_at=issued)
