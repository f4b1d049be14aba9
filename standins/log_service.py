"""Stand-in for the platform's append-only log service.

``POST /streams/{stream}/records`` appends a record to a stream and
``GET /streams/{stream}/records?from=N&limit=K&wait_ms=W`` reads up to ``K`` records
from offset ``N`` on, waiting up to ``W`` ms for the first. ``POST /control`` sets a
fault for all clients, or for those that it names; a client sends its name in the
optional header ``Client-Name``. It also makes records expire early.
"""

import collections
import threading
import time

import cbor2

from standins import serving

RECORD_LIMIT_BYTES = 1024 * 1024
# The first record of a response to a read may have any size. Further records are added
# up to this size, well below the 1 MiB that clients accept as a response.
READ_LIMIT_BYTES = 512 * 1024
WAIT_LIMIT_MS = 10_000
READ_LIMIT_RECORDS = 1000
# Appends that may exceed the rate limit without a delay.
APPEND_BURST = 20
# down: answer 503; slow: delay requests; lose_answers: store appends but close the
# connection without a response; hang: do not answer until the mode changes.
MODES = {"up", "down", "slow", "lose_answers", "hang"}


class Stream:
    """Records of one stream, numbered by offsets; old records expire.

    Parameters
    ----------
    retention_s : float
        Age in seconds from which a record expires.
    """

    def __init__(self, *, retention_s):
        self._retention_s = retention_s
        self._records = collections.deque()
        self._next = 0

    @property
    def first(self):
        """Offset of the oldest retained record; ``next`` if there is none."""
        return self._next - len(self._records)

    @property
    def next(self):
        """Offset of the next append."""
        return self._next

    def append(self, body, now):
        """Append a record and return its offset."""
        self._records.append((now, body))
        self._next += 1
        return self._next - 1

    def expire(self, now):
        """Remove the records that are older than the retention time."""
        while self._records and self._records[0][0] < now - self._retention_s:
            self._records.popleft()

    def expire_before(self, offset):
        """Remove all records before an offset, whatever their age."""
        while self._records and self.first < offset:
            self._records.popleft()

    def read(self, start, limit):
        """Return records from an offset on.

        Parameters
        ----------
        start : int
            First offset; expired records are skipped.
        limit : int
            Largest number of records.

        Returns
        -------
        list of [int, bytes]
            Offset and body of each record.
        """
        first = self.first
        records, size = [], 0
        for offset in range(max(start, first), self._next):
            body = self._records[offset - first][1]
            size += len(body)
            if len(records) == limit or (records and size > READ_LIMIT_BYTES):
                break
            records.append([offset, body])
        return records


class AppendRateLimiter:
    """Token bucket that delays appends above the rate limit instead of refusing them.

    Parameters
    ----------
    per_second : float
        Appends per second.
    """

    def __init__(self, *, per_second):
        self._interval_s = 1 / per_second
        self._next_token_at = 0.0

    def reserve_token(self, now):
        """Reserve a token and return the seconds to wait before using it."""
        earliest = now - APPEND_BURST * self._interval_s
        self._next_token_at = max(self._next_token_at, earliest) + self._interval_s
        return max(0.0, self._next_token_at - now)


class Fault:
    """How the service behaves towards clients.

    Parameters
    ----------
    mode : str
        One of ``MODES``.
    delay_ms : float
        Delay of each request in the mode ``slow``.
    count : int or None
        Number of appends to which the mode ``lose_answers`` sends no response, after
        which the mode is ``up`` again; None for no end.
    """

    def __init__(self, *, mode="up", delay_ms=0.0, count=None):
        self.mode = mode
        self.delay_ms = delay_ms
        self.count = count


class LogService:
    """The log service, as the application of a server.

    Parameters
    ----------
    retention_s : float
        Age in seconds from which records expire.
    appends_per_second : float
        Rate limit of appends to all streams together.
    """

    def __init__(self, *, retention_s, appends_per_second):
        self._retention_s = retention_s
        self._changed = threading.Condition()
        self._streams = {}
        self._rate_limiter = AppendRateLimiter(per_second=appends_per_second)
        self._fault = Fault()
        self._client_faults = {}
        self._counts = collections.Counter()

    def __call__(self, handler):
        """Answer a request."""
        segments = handler.path_segments
        if segments == ["control"]:
            self._handle_control(handler)
        elif (
            len(segments) == 3 and segments[0] == "streams" and segments[2] == "records"
        ):
            self._handle_records(handler, segments[1])
        else:
            raise serving.RequestError(404, f"no such resource {handler.path!r}")

    def _fault_for(self, client):
        return self._client_faults.get(client, self._fault)

    def _get_stream(self, name):
        """Return a stream without its expired records; create an unknown one."""
        stream = self._streams.get(name)
        if stream is None:
            stream = Stream(retention_s=self._retention_s)
            self._streams[name] = stream
        stream.expire(time.monotonic())
        return stream

    def _handle_records(self, handler, name):
        body = handler.read_body()
        client = handler.headers.get("Client-Name", "")
        self._apply_fault(handler, client)
        if handler.close_connection:
            return
        if handler.command == "POST":
            self._handle_append(handler, client, name, body)
        elif handler.command == "GET":
            self._handle_read(handler, client, name)
        else:
            raise serving.RequestError(405, f"no method {handler.command!r} here")

    def _apply_fault(self, handler, client):
        with self._changed:
            fault = self._fault_for(client)
            if fault.mode == "hang":
                self._changed.wait_for(lambda: self._fault_for(client) is not fault)
                handler.close_connection = True
                return
        if fault.mode == "down":
            raise serving.RequestError(503, "the log service is down")
        if fault.mode == "slow":
            time.sleep(fault.delay_ms / 1000)

    def _handle_append(self, handler, client, name, body):
        if len(body) > RECORD_LIMIT_BYTES:
            size, limit = len(body), RECORD_LIMIT_BYTES
            text = f"the record has {size} bytes; at most {limit} are allowed"
            raise serving.RequestError(413, text)
        with self._changed:
            delay_s = self._rate_limiter.reserve_token(time.monotonic())
        time.sleep(delay_s)
        with self._changed:
            offset = self._get_stream(name).append(body, time.monotonic())
            self._counts["appends"] += 1
            self._counts["bytes_appended"] += len(body)
            is_lost = self._is_response_lost(client)
            self._changed.notify_all()
        if is_lost:
            handler.close_connection = True
            return
        handler.send_json(200, {"offset": offset})

    def _is_response_lost(self, client):
        fault = self._fault_for(client)
        if fault.mode != "lose_answers":
            return False
        self._counts["answers_lost"] += 1
        if fault.count is not None:
            fault.count -= 1
            if fault.count <= 0:
                fault.mode = "up"
        return True

    def _handle_read(self, handler, client, name):
        start = _parse_number(handler.query, "from", 0)
        limit = min(
            _parse_number(handler.query, "limit", READ_LIMIT_RECORDS),
            READ_LIMIT_RECORDS,
        )
        wait_ms = min(_parse_number(handler.query, "wait_ms", 0), WAIT_LIMIT_MS)
        with self._changed:
            fault = self._fault_for(client)
            self._changed.wait_for(
                lambda: (
                    self._get_stream(name).next > start
                    or self._fault_for(client) is not fault
                ),
                wait_ms / 1000,
            )
            if self._fault_for(client).mode == "down":
                raise serving.RequestError(503, "the log service is down")
            stream = self._get_stream(name)
            records = stream.read(start, limit)
            fields = {"first": stream.first, "next": stream.next, "records": records}
            self._counts["reads"] += 1
            self._counts["bytes_read"] += sum(len(body) for _, body in records)
        handler.send(200, cbor2.dumps(fields), "application/cbor")

    def _handle_control(self, handler):
        if handler.command == "POST":
            self._apply_order(serving.read_json(handler))
        handler.send_json(200, self._describe())

    def _apply_order(self, order):
        """Apply the body of a ``POST /control`` request.

        ``mode`` sets a fault, with ``delay_ms``, ``count`` and ``clients``;
        ``expire_before`` removes records, of one ``stream`` or of all.
        """
        with self._changed:
            if "expire_before" in order:
                self._expire_records(order)
            if "mode" in order:
                self._set_fault(order)
            self._changed.notify_all()

    def _expire_records(self, order):
        names = [order["stream"]] if "stream" in order else list(self._streams)
        for name in names:
            self._get_stream(name).expire_before(order["expire_before"])

    def _set_fault(self, order):
        serving.check_choice("mode", order["mode"], MODES)
        values = {key: order[key] for key in ("delay_ms", "count") if key in order}
        clients = order.get("clients") or []
        if not clients:
            self._client_faults.clear()
            self._fault = Fault(mode=order["mode"], **values)
        for client in clients:
            self._client_faults[client] = Fault(mode=order["mode"], **values)

    def _describe(self):
        names = ("appends", "reads", "bytes_appended", "bytes_read", "answers_lost")
        with self._changed:
            return {
                **{name: self._counts[name] for name in names},
                "mode": self._fault.mode,
                "client_modes": {
                    client: fault.mode for client, fault in self._client_faults.items()
                },
                "streams": {
                    name: {
                        "first": self._get_stream(name).first,
                        "next": stream.next,
                    }
                    for name, stream in self._streams.items()
                },
            }


def _parse_number(query, name, default):
    text = query.get(name, str(default))
    if not text.isdigit():
        raise serving.RequestError(400, f"{name} {text!r} is no number from 0 on")
    return int(text)


def main():
    """Run the log service."""
    parser = serving.make_argument_parser(__doc__.splitlines()[0])
    parser.add_argument("--retention-s", type=float, default=3600.0)
    parser.add_argument("--appends-per-second", type=float, default=400.0)
    arguments = parser.parse_args()
    application = LogService(
        retention_s=arguments.retention_s,
        appends_per_second=arguments.appends_per_second,
    )
    server = serving.Server(
        host=arguments.host, port=arguments.port, application=application
    )
    server.start()
    serving.announce_and_wait({"port": server.port}, arguments.max_seconds)


if __name__ == "__main__":
    main()
