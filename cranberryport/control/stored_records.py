"""Decodes records of the store that earlier versions or other writers may have made."""

import logging

from cranberryport import codec

_logger = logging.getLogger(__name__)


def decode(key, value, expected):
    """Return the message in a record, None for a deleted or unusable one.

    Parameters
    ----------
    key : str
        Key of the record, for the log.
    value : bytes
        Value of the record; empty if it was deleted.
    expected : type or tuple of type
        Class of the message, or several that are possible.

    Returns
    -------
    object or None
        The message. An unusable record is logged.
    """
    if not value:
        return None
    try:
        record = codec.decode(value)
    except codec.DecodeError as error:
        _logger.error("unreadable record", extra={"key": key, "reason": str(error)})
        return None
    if not isinstance(record, expected):
        _logger.error("unexpected record type", extra={"key": key})
        return None
    return record
