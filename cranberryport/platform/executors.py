"""Client of the executors, and parser of the entries that register them in the store.

An executor runs tasks on one instance. It obeys the controller with the highest
epoch (fencing token), and ends its runs when its lease is not renewed in time.
"""

import dataclasses
import logging
import typing

import msgspec

from cranberryport.http import addresses
from cranberryport.platform import bodies
from cranberryport.scheduling import executors

INSTANCE_HEADER = b"expected-instance"
# Longer checkpoints are not kept, so that a task fits into its record.
CHECKPOINT_LIMIT_BYTES = 200
# Most ends of runs in one list (platform's protocol); more are listed once these are
# acknowledged.
ENDS_PER_LIST_LIMIT = 500
_logger = logging.getLogger(__name__)
# Reasons of the platform that are passed on unchanged, but "fence" becomes "fenced".
_KEPT_REASONS = {"fence", "old", "late", "room", "ticket"}


@dataclasses.dataclass(kw_only=True, slots=True, frozen=True)
class RunningEntry:
    """A run that an executor lists as running.

    Attributes
    ----------
    task : str
        Name of the task.
    run : int
        Number of the run, from 1 for each task.
    checkpoint : str
        Newest checkpoint of the task; empty for none.
    progress_percent : int
        Progress in percent; 100 for a long-running task that has started up.
    load : float
        For a serving task (one with a bound on its tail latency) that latency in
        milliseconds, for others the processors in use, in thousandths of a core.
    """

    task: str
    run: int
    checkpoint: str
    progress_percent: int
    load: float


@dataclasses.dataclass(kw_only=True, slots=True, frozen=True)
class FinishedEntry:
    """A run that an executor lists as ended.

    Attributes
    ----------
    number : int
        Number of this end of a run; the executor counts them from 1 at its start.
    task : str
        Name of the task.
    run : int
        Number of the run, from 1 for each task.
    how : {'done', 'failed', 'stopped', 'lapsed', 'broken', 'alone'}
        How the run ended, in words of the platform. ``done`` completes the task,
        ``failed`` counts as a failure of it, and ``lapsed`` means that the lease
        expired. After any other word the task is not done and no failure is counted.
    checkpoint : str
        Newest checkpoint of the task; empty for none.
    """

    number: int
    task: str
    run: int
    how: str
    checkpoint: str


@dataclasses.dataclass(kw_only=True, slots=True, frozen=True)
class ExecutorResponse:
    """Response of an executor.

    Attributes
    ----------
    is_accepted : bool
        Whether the executor accepted the call; the end of a stopped run is listed
        later.
    reason : str
        Empty if accepted, else ``fenced`` (a later controller is obeyed), ``old`` (a
        later run or a stop of this run is known), ``late`` (deadline passed), ``room``
        (too little capacity), ``ticket``, ``unhealthy``, ``invalid`` or
        ``other_instance`` (another executor has the address now).
    clock_ms : int or None
        Clock of the executor in milliseconds; None if it was not sent.
    started_at_ms : int or None
        Start of the executor's process (``born`` in the protocol) as Unix time in
        milliseconds; None if it was not sent.
    running : list of RunningEntry
        Runs in progress; only in the response to ``list_runs``.
    finished : list of FinishedEntry
        Runs that have ended and are not acknowledged; only in that response.
    are_ends_complete : bool
        Whether ``finished`` has all of them. If not, a run that is in neither list may
        have ended.
    """

    is_accepted: bool
    reason: str = ""
    clock_ms: int | None = None
    started_at_ms: int | None = None
    running: list[RunningEntry] = dataclasses.field(default_factory=list)
    finished: list[FinishedEntry] = dataclasses.field(default_factory=list)
    are_ends_complete: bool = True


@dataclasses.dataclass(kw_only=True, slots=True, frozen=True)
class NoResponse:
    """No usable response came; the order may have been or may still be carried out.

    Attributes
    ----------
    reason : str
        Why there is none, see ``connection.ExchangeFailure``; ``protocol`` also for a
        response that cannot be parsed.
    """

    reason: str


class ExecutorClient:
    """Sends orders to executors; results are passed to callbacks.

    All calls take the executor (:class:`cranberryport.scheduling.executors.Executor`),
    the token that orders the calls (:func:`takeover.order_token`), a callback that is
    called once with an ``ExecutorResponse`` or a ``NoResponse``, the time after which
    the call fails, and ``may_send``, see
    :meth:`cranberryport.http.connection_pool.ConnectionPool.send`.

    Parameters
    ----------
    connections : cranberryport.http.connection_pool.ConnectionPool
        Connections to the executors.
    """

    __slots__ = ("_connections",)

    def __init__(self, *, connections):
        self._connections = connections

    def start_run(
        self,
        executor,
        run,
        *,
        deadline_ms,
        token,
        callback,
        timeout_s,
        may_send=None,
    ):
        """Start a run; repeating the call has no further effect.

        The executor refuses the start after ``deadline_ms`` on its own clock.
        """
        body = {
            "Task": run.task.name,
            "RunId": run.number,
            "Spec": run.task.job.spec,
            "DeadlineMs": deadline_ms,
            "FencingToken": token,
        }
        if run.checkpoint:
            body["Checkpoint"] = run.checkpoint
        if run.ticket:
            body["Ticket"] = run.ticket
        self._send(executor, "/api/run-start", body, callback, timeout_s, may_send)

    def stop_run(
        self, executor, task, run, *, token, callback, timeout_s, may_send=None
    ):
        """Stop a run; a start of this run that arrives later is refused."""
        body = {"Task": task, "RunId": run, "FencingToken": token}
        self._send(executor, "/api/run-stop", body, callback, timeout_s, may_send)

    def set_pace(
        self, executor, run, percent, *, token, callback, timeout_s, may_send=None
    ):
        """Limit a run to a percentage of its full speed."""
        body = {
            "Task": run.task.name,
            "RunId": run.number,
            "Percent": percent,
            "FencingToken": token,
        }
        self._send(executor, "/api/pace", body, callback, timeout_s, may_send)

    def list_runs(
        self,
        executor,
        *,
        end_number,
        lease_end_ms,
        token,
        wait_s,
        callback,
        timeout_s,
        may_send=None,
    ):
        """Renew the lease of an executor, acknowledge stored ends, and list its runs.

        Parameters
        ----------
        executor : cranberryport.scheduling.executors.Executor
            The executor.
        end_number : int
            Number up to which the executor deletes its ends; 0 for none.
        lease_end_ms : int or None
            New end of the lease on the executor's clock; None to leave it as it is.
        token : int
            Token that orders the calls.
        wait_s : float
            Seconds for which the executor may delay its response until a run ends.
        callback : callable
            Called once with an ``ExecutorResponse`` or a ``NoResponse``.
        timeout_s : float
            Seconds beyond ``wait_s`` after which the call fails.
        may_send : callable or None
            Whether the call may still be sent.
        """
        body = {
            "FencingToken": token,
            "AckedThrough": end_number,
            "WaitMs": int(wait_s * 1000),
        }
        if lease_end_ms is not None:
            body["DeadlineMs"] = lease_end_ms
        self._send(executor, "/api/hold", body, callback, timeout_s + wait_s, may_send)

    def _send(self, executor, target, body, callback, timeout_s, may_send):
        headers = (*bodies.JSON_HEADERS, (INSTANCE_HEADER, executor.id.encode()))
        self._connections.send(
            executor.address,
            "POST",
            target,
            callback=lambda result: callback(parse_response(result)),
            timeout_s=timeout_s,
            body=bodies.encode(body),
            headers=headers,
            may_send=may_send,
        )


def parse_response(result):
    """Return the ``ExecutorResponse`` or ``NoResponse`` of a finished exchange."""
    status, fields = bodies.read_response(result)
    if status == 0:
        return NoResponse(reason=result.reason)
    if status == 200 and not fields:
        # Status 200 without the fields of the protocol does not prove a success.
        return NoResponse(reason="protocol")
    try:
        running = [_parse_running(row) for row in fields.get("Running") or ()]
        finished = [_parse_finished(row) for row in fields.get("Finished") or ()]
    except (IndexError, KeyError, TypeError, ValueError) as error:
        # An unreadable list says nothing about any run, so it counts as no response.
        _logger.error("unreadable list of runs", extra={"reason": bodies.quote(error)})
        return NoResponse(reason="protocol")
    return ExecutorResponse(
        is_accepted=status == 200,
        reason=_parse_reason(status, fields),
        clock_ms=bodies.get_integer(fields, "ClockMs", None),
        started_at_ms=bodies.get_integer(fields, "born", None),
        running=running,
        finished=finished,
        are_ends_complete=len(finished) < ENDS_PER_LIST_LIMIT,
    )


def _parse_reason(status, fields):
    if status == 200:
        return ""
    if status == 421:
        return "other_instance"
    if status in (429, 500, 502, 503, 504):
        return "unhealthy"
    reason = bodies.get_text(fields, "Reason")
    if reason == "fence":
        return "fenced"
    return reason if reason in _KEPT_REASONS else "invalid"


def _parse_running(row):
    task, run, checkpoint, percent = row[:4]
    load = (row[4] if len(row) > 4 else 0) or 0
    checkpoint = _parse_checkpoint(checkpoint, task)
    _check_types((task, str), (run, int))
    if not (bodies.is_number(percent) and bodies.is_number(load)):
        raise TypeError(f"progress {percent!r} and load {load!r}; allowed: numbers")
    return RunningEntry(
        task=task,
        run=run,
        checkpoint=checkpoint,
        progress_percent=percent,
        load=load,
    )


def _parse_finished(row):
    number, task, run, how, checkpoint = row[:5]
    checkpoint = _parse_checkpoint(checkpoint, task)
    _check_types((number, int), (task, str), (run, int), (how, str))
    return FinishedEntry(
        number=number, task=task, run=run, how=how, checkpoint=checkpoint
    )


def _parse_checkpoint(value, task):
    checkpoint = value or ""
    _check_types((checkpoint, str))
    if len(checkpoint.encode(errors="replace")) <= CHECKPOINT_LIMIT_BYTES:
        return checkpoint
    # Stored with the progress of its job, it could exceed the limit of a record.
    _logger.warning(
        "checkpoint ignored: too long",
        extra={
            "task": bodies.quote(task),
            "characters": len(checkpoint),
            "allowed_bytes": CHECKPOINT_LIMIT_BYTES,
        },
    )
    return ""


def _check_types(*pairs):
    for value, expected in pairs:
        if type(value) is not expected:
            raise TypeError(f"found {value!r}; allowed: {expected.__name__}")


class _Capacity(msgspec.Struct, kw_only=True, frozen=True):
    processors: bodies.Count = msgspec.field(name="Cpu")
    memory: bodies.Count = msgspec.field(name="MemMb")
    accelerators: bodies.Count = msgspec.field(name="Gpu", default=0)


class _Entry(msgspec.Struct, kw_only=True, frozen=True):
    """Fields of an entry that are used, under the names of the platform."""

    service: bodies.Text = msgspec.field(name="Service")
    address: str = msgspec.field(name="Address")
    data_centre: str = msgspec.field(name="Zone", default="")
    state: typing.Literal["ready", "draining"] = msgspec.field(name="State")
    capacity: _Capacity = msgspec.field(name="Capacity")
    # The first label is the executor's kind, the second its rack.
    labels: list[str] = msgspec.field(name="Labels", default_factory=list)
    remaining_ms: bodies.Count | None = msgspec.field(name="RemainingMs", default=None)
    started_at_ms: bodies.Count | None = msgspec.field(name="born", default=None)


_decode_entry = bodies.make_decoder(_Entry)


def parse_entry(executor_id, value, now):
    """Return the executor that an entry in the store describes.

    Parameters
    ----------
    executor_id : str
        Key of the entry, which is the id of the executor.
    value : bytes
        Value of the entry, which any program may have written.
    now : float
        Monotonic time in seconds.

    Returns
    -------
    executors.Executor or bodies.Invalid
        ``Invalid`` if a field is missing, of another type or out of its limits, or if
        the executor is neither ready nor draining.
    """
    if not executor_id:
        return bodies.Invalid(reason="the key is empty")
    entry = _decode_entry(value)
    if isinstance(entry, bodies.Invalid):
        return entry
    try:
        address = addresses.parse(entry.address)
    except ValueError as error:
        return bodies.Invalid(reason=str(error))
    executor = executors.Executor(
        id=executor_id,
        service=entry.service,
        address=address,
        data_centre=entry.data_centre,
        processors=int(entry.capacity.processors),
        memory=int(entry.capacity.memory),
        accelerators=int(entry.capacity.accelerators),
        labels=frozenset(entry.labels),
        rack=entry.labels[1] if len(entry.labels) > 1 else "",
        state=executors.READY if entry.state == "ready" else executors.DRAINING,
    )
    if entry.remaining_ms is not None:
        executor.terminates_at = now + entry.remaining_ms / 1000
    if entry.started_at_ms is not None:
        executor.started_at_ms = int(entry.started_at_ms)
    return executor
