"""Configures the daemon's logging: JSON lines with a fixed set of fields."""

import datetime
import logging
import sys
import traceback

from pythonjsonlogger import json as json_logger

OPTIONAL_FIELDS = ("request", "pool", "offset")
EXCEPTION_FIELD = "exc_info"


class Formatter(json_logger.JsonFormatter):
    """Writes ``time``, ``level``, ``message``, ``instance`` and the optional fields.

    Other extra fields are dropped, so that no key, header or body is logged by
    accident. The text of an exception is left out for the same reason; its type and
    traceback are written.

    Parameters
    ----------
    instance : str
        Name of this entry instance.
    """

    def __init__(self, *, instance):
        super().__init__(
            ["asctime", "levelname", "message"],
            rename_fields={"asctime": "time", "levelname": "level"},
            static_fields={"instance": instance},
        )
        self._fields = {"time", "level", "message", "instance", EXCEPTION_FIELD}
        self._fields.update(OPTIONAL_FIELDS)

    def formatTime(self, record, datefmt=None):  # noqa: N802
        """Return the time in UTC (ISO 8601)."""
        moment = datetime.datetime.fromtimestamp(record.created, datetime.UTC)
        return moment.isoformat(timespec="milliseconds")

    def formatException(self, exc_info):  # noqa: N802
        """Return the traceback and the type of an exception, without its text."""
        return format_exception(exc_info)

    def process_log_record(self, log_data):
        """Return the fields that may be written."""
        return {key: log_data[key] for key in log_data if key in self._fields}


def format_exception(exc_info):
    """Return the traceback and the type of an exception, without its text.

    The text can quote a caller's header or body.

    Parameters
    ----------
    exc_info : tuple
        Type, exception and traceback, as of ``sys.exc_info``.
    """
    exception_type, _, trace = exc_info
    return "".join(traceback.format_tb(trace)) + exception_type.__name__


def configure(*, instance, level="INFO", stream=None):
    """Write the root logger's records as JSON lines to a stream.

    Parameters
    ----------
    instance : str
        Name of this entry instance.
    level : str, default='INFO'
        Lowest level to write.
    stream : file object or None
        Where to write; None for standard error.

    Returns
    -------
    logging.Handler
        The handler that replaces all others of the root logger.
    """
    handler = logging.StreamHandler(stream or sys.stderr)
    handler.setFormatter(Formatter(instance=instance))
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level)
    return handler
