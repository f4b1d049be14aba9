"""Client for the platform's workers, which run tasks under leases."""

import dataclasses
import json
import time
from typing import Any

from cranberryport.http import connection

REQUEST_TIMEOUT_S = 3.0
_JSON = (b"content-type", b"application/json")


@dataclasses.dataclass(kw_only=True, slots=True, frozen=True)
class Call:
    """What a request to a worker was for; the exchange's context.

    Attributes
    ----------
    action : {'start', 'renew', 'stop', 'checkpoint', 'throttle', 'tasks', 'usage'}
        The request.
    worker : str
        Name of the worker.
    task : str
        Id of the task; empty for the whole worker.
    term : int
        Term of the task, 0 for the whole worker.
    context : object
        Kept for the owner.
    """

    action: str
    worker: str
    task: str = ""
    term: int = 0
    context: Any = None


@dataclasses.dataclass(kw_only=True, slots=True, frozen=True)
class Reply:
    """What became of a call.

    Attributes
    ----------
    status : int
        Status of the answer, 0 if no whole answer came.
    fields : dict
        JSON object of the answer; empty if it has none.
    is_not_run : bool
        Whether the worker provably did nothing.
    """

    status: int
    fields: dict
    is_not_run: bool = False


def parse_reply(result):
    """Return the :class:`Reply` for the result of an exchange."""
    if not isinstance(result, connection.Response):
        return Reply(status=0, fields={}, is_not_run=result.bytes_sent == 0)
    try:
        fields = json.loads(result.body)
    except ValueError:
        fields = None
    if not isinstance(fields, dict):
        # A success without its fields proves nothing about the task.
        return Reply(status=0 if result.status == 200 else result.status, fields={})
    is_not_run = result.status in (409, 503, 507)
    return Reply(status=result.status, fields=fields, is_not_run=is_not_run)


class WorkerClient:
    """Sends requests to workers; results come as ``exchange_done`` events.

    Each exchange has a :class:`Call` as context. Connections are kept by address and
    used again.

    Parameters
    ----------
    client : cranberryport.http.connection.Client
        Owner of the sockets.
    reply_channel : str
        Channel of the events.
    """

    __slots__ = ("_client", "_idle", "_reply_channel")

    def __init__(self, *, client, reply_channel):
        self._client = client
        self._reply_channel = reply_channel
        self._idle = {}

    def start(self, worker, *, task, term, lease_s, sizes, payload, checkpoint=""):
        """Start a task; a repeat with the same id and term changes nothing.

        Parameters
        ----------
        worker : dict
            Entry of the instance list: ``name``, ``host`` and ``port``.
        task : str
            Id of the task.
        term : int
            The worker refuses terms below the last one it saw for the task.
        lease_s : float
            Seconds after which the worker ends the task unless it is renewed.
        sizes : tuple
            Processors, memory in MiB and accelerators.
        payload, checkpoint : str
            Work, and where to go on from; an empty checkpoint starts afresh.
        """
        processors, memory_mb, accelerators = sizes
        order = {
            "term": term,
            "lease_s": lease_s,
            "processors": processors,
            "memory_mb": memory_mb,
            "accelerators": accelerators,
            "payload": payload,
        }
        if checkpoint:
            order["checkpoint"] = checkpoint
        call = Call(action="start", worker=worker["name"], task=task, term=term)
        self._send(worker, "PUT", f"/tasks/{task}", order, call)

    def renew(self, worker, *, task, term, lease_s):
        """Let a task run for that many seconds from now."""
        self._act(worker, "renew", task, term, {"lease_s": lease_s})

    def stop(self, worker, *, task, term, context=None):
        """End a task; a worker that has seen a later term refuses."""
        self._act(worker, "stop", task, term, {}, context)

    def checkpoint(self, worker, *, task, term, context=None):
        """Ask for a checkpoint of a running task."""
        self._act(worker, "checkpoint", task, term, {}, context)

    def throttle(self, worker, *, task, term, fraction):
        """Let a task run at a fraction of its speed, from 0 to 1."""
        self._act(worker, "throttle", task, term, {"fraction": fraction})

    def tasks(self, worker):
        """Ask for all tasks."""
        self._send(
            worker, "GET", "/tasks", None, Call(action="tasks", worker=worker["name"])
        )

    def usage(self, worker):
        """Ask for the lagging usage."""
        self._send(
            worker, "GET", "/usage", None, Call(action="usage", worker=worker["name"])
        )

    def release(self, exchange):
        """Keep the connection of an ended exchange; call this for each event."""
        ended = exchange.connection
        if not ended.is_idle:
            return
        other = self._idle.get(ended.address)
        if other is not None and other.is_idle:
            ended.close()
        else:
            self._idle[ended.address] = ended

    def _act(self, worker, action, task, term, fields, context=None):
        call = Call(
            action=action, worker=worker["name"], task=task, term=term, context=context
        )
        order = {"term": term, **fields}
        self._send(worker, "POST", f"/tasks/{task}/{action}", order, call)

    def _send(self, worker, method, target, order, call):
        exchange = connection.Exchange(
            method=method,
            target=target,
            headers=[] if order is None else [_JSON],
            body=b"" if order is None else json.dumps(order).encode(),
            deadline=time.monotonic() + REQUEST_TIMEOUT_S,
            reply_channel=self._reply_channel,
            context=call,
        )
        address = (worker["host"], worker["port"])
        kept = self._idle.pop(address, None)
        if kept is None or not kept.is_idle:
            kept = self._client.connect(host=address[0], port=address[1])
        kept.send(exchange)
