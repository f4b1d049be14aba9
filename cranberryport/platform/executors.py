"""Client of the executors, and the entries that they leave in the store."""

import dataclasses
import logging

from cranberryport.platform import bodies
from cranberryport.scheduling import executors

INSTANCE_HEADER = b"expected-instance"
_logger = logging.getLogger(__name__)
_REASONS = {"fence", "old", "late", "room", "ticket"}


@dataclasses.dataclass(kw_only=True, slots=True, frozen=True)
class RunningEntry:
    """A run in an executor's list.

    Attributes
    ----------
    task : str
        Name of the task.
    run : int
        Number of the start.
    saved : str
        Newest checkpoint; empty for none.
    percent : int
        Progress; 100 for a lasting task that is at work.
    load : float
        Tail latency in milliseconds of a serving task, processors in use of others.
    """

    task: str
    run: int
    saved: str
    percent: int
    load: float


@dataclasses.dataclass(kw_only=True, slots=True, frozen=True)
class FinishedEntry:
    """An ended run in an executor's list.

    Attributes
    ----------
    number : int
        Counts the ends of one life of the executor from 1.
    task : str
        Name of the task.
    run : int
        Number of the start.
    how : {'done', 'failed', 'stopped', 'lapsed', 'broken', 'alone'}
        How it ended.
    saved : str
        Newest checkpoint; empty for none.
    """

    number: int
    task: str
    run: int
    how: str
    saved: str


@dataclasses.dataclass(kw_only=True, slots=True, frozen=True)
class ExecutorResponse:
    """An executor has answered.

    Attributes
    ----------
    is_accepted : bool
        Whether it did what was asked.
    refusal : str
        Why not: ``fenced``, ``old``, ``late``, ``room``, ``ticket``, ``unhealthy``,
        ``invalid`` or ``other_instance``.
    clock_ms : int or None
        Its clock.
    born : int or None
        Unix time in milliseconds of its start.
    running : list of RunningEntry
        Only for a list.
    finished : list of FinishedEntry
        Only for a list.
    """

    is_accepted: bool
    refusal: str = ""
    clock_ms: int | None = None
    born: int | None = None
    running: list[RunningEntry] = dataclasses.field(default_factory=list)
    finished: list[FinishedEntry] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(kw_only=True, slots=True, frozen=True)
class NoResponse:
    """No whole answer came; the order may be carried out, or may be later.

    Attributes
    ----------
    reason : str
        What ended the exchange, see ``connection.ExchangeFailure``.
    """

    reason: str


class ExecutorClient:
    """Sends orders to executors; results come to callbacks.

    Parameters
    ----------
    pool : cranberryport.http.connection_pool.ConnectionPool
        Connections.
    """

    __slots__ = ("_pool",)

    def __init__(self, *, pool):
        self._pool = pool

    def start_run(self, executor, run, *, deadline_ms, fence, callback, timeout_s):
        """Start a run; a repeat changes nothing."""
        body = {
            "Task": run.task.name,
            "RunId": run.number,
            "Spec": run.task.job.spec,
            "DeadlineMs": deadline_ms,
            "FencingToken": fence,
        }
        if run.checkpoint:
            body["Checkpoint"] = run.checkpoint
        if run.ticket:
            body["Ticket"] = run.ticket
        self._send(executor, "/api/run-start", body, callback, timeout_s)

    def stop_run(self, executor, task, run, *, fence, callback, timeout_s):
        """Stop a run; one that is not there yet is refused later."""
        body = {"Task": task, "RunId": run, "FencingToken": fence}
        self._send(executor, "/api/run-stop", body, callback, timeout_s)

    def set_pace(self, executor, run, percent, *, fence, callback, timeout_s):
        """Let a run work at a share of its speed, in percent."""
        body = {
            "Task": run.task.name,
            "RunId": run.number,
            "Percent": percent,
            "FencingToken": fence,
        }
        self._send(executor, "/api/pace", body, callback, timeout_s)

    def list_runs(self, executor, *, deadline_ms, fence, wait_s, callback, timeout_s):
        """Renew the lease and list the runs; the answer waits for an end."""
        body = {
            "FencingToken": fence,
            "AckedThrough": executor.acknowledged_end,
            "WaitMs": int(wait_s * 1000),
        }
        if deadline_ms is not None:
            body["DeadlineMs"] = deadline_ms
        self._send(executor, "/api/hold", body, callback, timeout_s + wait_s)

    def _send(self, executor, target, body, callback, timeout_s):
        headers = (*bodies.JSON_HEADERS, (INSTANCE_HEADER, executor.id.encode()))
        self._pool.send(
            executor.address,
            "POST",
            target,
            callback=lambda result: callback(parse_response(result)),
            timeout_s=timeout_s,
            body=bodies.encode(body),
            headers=headers,
        )


def parse_response(result):
    """Return the ``ExecutorResponse`` or ``NoResponse`` of a finished exchange."""
    status, fields = bodies.read_response(result)
    if status == 0:
        return NoResponse(reason=result.reason)
    if status == 200 and not fields:
        # A success without its fields proves nothing.
        return NoResponse(reason="protocol")
    try:
        running = [_running(row) for row in fields.get("Running") or ()]
        finished = [_finished(row) for row in fields.get("Finished") or ()]
    except (IndexError, KeyError, TypeError, ValueError) as error:
        # A list that cannot be read proves nothing about any run.
        _logger.error("unreadable list of runs", extra={"reason": repr(error)})
        return NoResponse(reason="protocol")
    return ExecutorResponse(
        is_accepted=status == 200,
        refusal=_refusal(status, fields),
        clock_ms=bodies.integer(fields, "ClockMs", None),
        born=bodies.integer(fields, "born", None),
        running=running,
        finished=finished,
    )


def _refusal(status, fields):
    if status == 200:
        return ""
    if status == 421:
        return "other_instance"
    if status in (429, 500, 502, 503, 504):
        return "unhealthy"
    reason = fields.get("Reason")
    if reason == "fence":
        return "fenced"
    return reason if reason in _REASONS else "invalid"


def _running(row):
    load = row[4] if len(row) > 4 else 0
    return RunningEntry(
        task=row[0], run=row[1], saved=row[2] or "", percent=row[3], load=load or 0
    )


def _finished(row):
    number, task, run, how, saved = row[:5]
    return FinishedEntry(number=number, task=task, run=run, how=how, saved=saved or "")


def parse_entry(executor_id, value, now):
    """Return the executor of an entry in the store.

    Parameters
    ----------
    executor_id : str
        Key of the entry.
    value : bytes
        The entry.
    now : float
        Monotonic time in seconds.

    Returns
    -------
    executors.Executor or None
        None for an entry that names no executor to use.
    """
    fields = bodies.decode(value)
    if fields is None or fields.get("State") not in ("ready", "draining"):
        return None
    room = fields.get("Capacity")
    host, _, port = bodies.text(fields, "Address").rpartition(":")
    labels = fields.get("Labels", [])
    is_valid = isinstance(room, dict) and bool(host) and port.isdecimal()
    is_valid = is_valid and bool(bodies.text(fields, "Service"))
    if not is_valid or not isinstance(labels, list):
        return None
    executor = executors.Executor(
        id=executor_id,
        service=fields["Service"],
        address=(host, int(port)),
        data_centre=bodies.text(fields, "Zone"),
        processors=bodies.integer(room, "Cpu"),
        memory=bodies.integer(room, "MemMb"),
        accelerators=bodies.integer(room, "Gpu"),
        labels=frozenset(label for label in labels if isinstance(label, str)),
        # The first label is the executor's kind, the second its rack.
        rack=labels[1] if len(labels) > 1 and isinstance(labels[1], str) else "",
        state=executors.READY if fields["State"] == "ready" else executors.DRAINING,
    )
    left_ms = fields.get("RemainingMs")
    if isinstance(left_ms, int | float):
        executor.terminates_at = now + left_ms / 1000
    executor.started_at_ms = bodies.integer(fields, "born", None)
    return executor
