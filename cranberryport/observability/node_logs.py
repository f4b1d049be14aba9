"""Configures the node's logging: JSON lines on standard output, never blocking.

Load pattern: at the highest load each task takes three lines, and the reader of
standard output may stall. Lines above a rate, or above a number of unread lines, are
dropped; the next written line tells how many.
"""

import collections
import logging
import os
import sys
import time

from pythonjsonlogger import msgspec as msgspec_logger

from cranberryport.observability import logs

# Rate and burst of a token bucket; lines above it are dropped.
LINES_PER_S = 600
BURST_LINES = 1200
# Lines that are kept until the reader reads; at 200 bytes each about 1 MB.
UNWRITTEN_LINES_LIMIT = 5000
_STANDARD = frozenset(vars(logging.makeLogRecord({}))) | {"message", "asctime"}


class Formatter(msgspec_logger.MsgspecFormatter):
    """Writes time, level, event, instance and the extra fields of the log call.

    Of an exception it writes the type and the traceback.
    """

    def __init__(self, *, instance):
        super().__init__(
            ["created", "levelname", "message"],
            rename_fields={
                "created": "time",
                "levelname": "level",
                "message": "event",
            },
            static_fields={"instance": instance},
        )

    def formatException(self, exc_info):  # noqa: N802
        """Return the traceback and the type of an exception, without its text."""
        return logs.format_exception(exc_info)


class BoundedHandler(logging.Handler):
    """Writes log lines to a file descriptor without waiting for its reader.

    Parameters
    ----------
    descriptor : int
        File descriptor to write to; it is made non-blocking.
    """

    def __init__(self, *, descriptor):
        super().__init__()
        self._descriptor = descriptor
        self._unwritten = collections.deque()
        self._tokens = float(BURST_LINES)
        self._refilled_at = time.monotonic()
        self._dropped_count = 0
        try:
            os.set_blocking(descriptor, False)
        except OSError:
            # Such as a closed descriptor; all lines are dropped.
            self._descriptor = None

    @property
    def dropped_count(self):
        """Number of dropped lines that no written line has reported yet."""
        return self._dropped_count

    def emit(self, record):
        """Write a record, or drop and count it above the limits."""
        now = time.monotonic()
        refilled = self._tokens + (now - self._refilled_at) * LINES_PER_S
        self._tokens = min(float(BURST_LINES), refilled)
        self._refilled_at = now
        is_full = len(self._unwritten) >= UNWRITTEN_LINES_LIMIT
        if self._descriptor is None or self._tokens < 1 or is_full:
            self._dropped_count += 1
            return
        self._tokens -= 1
        if self._dropped_count:
            record.dropped_before, self._dropped_count = self._dropped_count, 0
        try:
            self._unwritten.append((self.format(record) + "\n").encode())
        except (TypeError, ValueError):
            self.handleError(record)
        self._write_lines()

    def _write_lines(self):
        while self._unwritten:
            data = self._unwritten[0]
            try:
                written_bytes = os.write(self._descriptor, data)
            except BlockingIOError:
                return
            except OSError:
                # The reader has closed its end, so nothing can be written any more.
                self._descriptor = None
                return
            if written_bytes < len(data):
                self._unwritten[0] = data[written_bytes:]
                return
            self._unwritten.popleft()


def configure(*, instance, level):
    """Write the root logger's records to standard output.

    Parameters
    ----------
    instance : str
        Name of this entry instance.
    level : str
        Lowest level to write.
    """
    # Source locations, threads and processes are not written. Looking them up would
    # take a third of the time of a log call.
    logging._srcfile = None
    logging.logThreads = False
    logging.logProcesses = False
    logging.logMultiprocessing = False
    handler = BoundedHandler(descriptor=sys.stdout.fileno())
    handler.setFormatter(Formatter(instance=instance))
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level)
