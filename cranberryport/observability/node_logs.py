"""Structured log lines on standard output, bounded in number and never blocking."""

import collections
import logging
import os
import sys
import time

from pythonjsonlogger import msgspec as msgspec_logger

# At the worst load a task takes three lines; above this rate lines are counted only.
LINES_PER_S = 600
BURST_LINES = 1200
# Lines that a reader has not taken yet; at 200 bytes each about 1 MB.
WAITING_LIMIT = 5000
_STANDARD = frozenset(vars(logging.makeLogRecord({}))) | {"message", "asctime"}


class Formatter(msgspec_logger.MsgspecFormatter):
    """Writes time, level, event, instance and the fields of the call."""

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


class BoundedHandler(logging.Handler):
    """Writes to a descriptor without waiting for its reader.

    Parameters
    ----------
    descriptor : int
        Where to write; made non-blocking.
    """

    def __init__(self, *, descriptor):
        super().__init__()
        self._descriptor = descriptor
        self._waiting = collections.deque()
        self._tokens = float(BURST_LINES)
        self._filled_at = time.monotonic()
        self._dropped = 0
        try:
            os.set_blocking(descriptor, False)
        except OSError:
            # A descriptor that cannot be made non-blocking, such as one closed.
            self._descriptor = None

    @property
    def dropped_count(self):
        """Lines dropped and not reported yet."""
        return self._dropped

    def emit(self, record):
        """Write a record, or count it as dropped."""
        now = time.monotonic()
        filled = self._tokens + (now - self._filled_at) * LINES_PER_S
        self._tokens = min(float(BURST_LINES), filled)
        self._filled_at = now
        is_full = len(self._waiting) >= WAITING_LIMIT
        if self._descriptor is None or self._tokens < 1 or is_full:
            self._dropped += 1
            return
        self._tokens -= 1
        if self._dropped:
            record.dropped_before, self._dropped = self._dropped, 0
        try:
            self._waiting.append((self.format(record) + "\n").encode())
        except (TypeError, ValueError):
            self.handleError(record)
        self._write()

    def _write(self):
        while self._waiting:
            data = self._waiting[0]
            try:
                count = os.write(self._descriptor, data)
            except BlockingIOError:
                return
            except OSError:
                # The reader is gone, and nobody is left to tell.
                self._descriptor = None
                return
            if count < len(data):
                self._waiting[0] = data[count:]
                return
            self._waiting.popleft()


def configure(*, instance, level):
    """Send all records to standard output.

    Parameters
    ----------
    instance : str
        Name of this entry instance.
    level : str
        Lowest level that is written.
    """
    # Source places, threads and processes are not written, so they are not looked
    # up either; that is a third of the cost of a record.
    logging._srcfile = None
    logging.logThreads = False
    logging.logProcesses = False
    logging.logMultiprocessing = False
    handler = BoundedHandler(descriptor=sys.stdout.fileno())
    handler.setFormatter(Formatter(instance=instance))
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level)
