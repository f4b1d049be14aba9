"""HTTP client for the platform's workers, which run tasks under leases.

A worker ends a task whose lease has not been renewed. It refuses requests whose term is
lower than the last one it has seen for the task.
"""

import dataclasses
import json
import time
from typing import Any

from cranberryport.http import connection

REQUEST_TIMEOUT_S = 3.0
_JSON = (b"content-type", b"application/json")


@dataclasses.dataclass(kw_only=True, slots=True, frozen=True)
class Call:
    """A request to a worker; the context of its exchange.

    Attributes
    ----------
    action : {'start', 'renew', 'stop', 'checkpoint', 'throttle', 'tasks', 'usage'}
        What the request asks for.
    worker : str
        Name of the worker.
    task : str
        Id of the task; empty if the request concerns the whole worker.
    term : int
        Term of the task; 0 if the request concerns the whole worker.
    context : object
        Any value of the caller, returned with the result.
    """

    action: str
    worker: str
    task: str = ""
    term: int = 0
    context: Any = None


@dataclasses.dataclass(kw_only=True, slots=True, frozen=True)
class Reply:
    """Result of a :class:`Call`.

    Attributes
    ----------
    status : int
        HTTP status of the response; 0 without a complete response, or for a status 200
        whose body is not a JSON object.
    fields : dict
        JSON object of the response; empty if it has none.
    is_not_run : bool
        Whether it is certain that the worker did not carry out the request.
    """

    status: int
    fields: dict
    is_not_run: bool = False


def parse_reply(result):
    """Return the :class:`Reply` for the result of an exchange.

    Parameters
    ----------
    result : connection.Response or connection.ExchangeFailure
        Result of the exchange.

    Returns
    -------
    Reply
        Status and fields of the response.
    """
    if not isinstance(result, connection.Response):
        return Reply(status=0, fields={}, is_not_run=result.bytes_sent == 0)
    try:
        fields = json.loads(result.body)
    except ValueError:
        fields = None
    if not isinstance(fields, dict):
        # Status 200 without the fields does not show the state of the task.
        return Reply(status=0 if result.status == 200 else result.status, fields={})
    is_not_run = result.status in (409, 503, 507)
    return Reply(status=result.status, fields=fields, is_not_run=is_not_run)


class WorkerClient:
    """Sends requests to workers; results arrive as ``exchange_done`` events.

    Each exchange has a :class:`Call` as context. One idle connection is kept for each
    address.

    Parameters
    ----------
    client : cranberryport.http.connection.Client
        Owner of the sockets.
    reply_channel : str
        Channel on which the events are fired.
    """

    __slots__ = ("_client", "_idle_connections", "_reply_channel")

    def __init__(self, *, client, reply_channel):
        self._client = client
        self._reply_channel = reply_channel
        # Pair of host and port to a connection.
        self._idle_connections = {}

    def start(self, worker, *, task, term, lease_s, sizes, payload, checkpoint=""):
        """Start a task; a repeat with the same id and term has no effect.

        Parameters
        ----------
        worker : dict
            Entry of the instance list: ``name``, ``host`` and ``port``.
        task : str
            Id of the task.
        term : int
            Number of the job's placement; the worker refuses a term below the last one
            that it has seen for the task.
        lease_s : float
            Seconds after which the worker ends the task unless the lease is renewed.
        sizes : tuple
            Processors, memory in MiB and accelerators.
        payload : str
            Description of the work, from the caller of the job.
        checkpoint : str
            Checkpoint from which the task continues; empty to start from the beginning.
        """
        processors, memory_mb, accelerators = sizes
        message = {
            "term": term,
            "lease_s": lease_s,
            "processors": processors,
            "memory_mb": memory_mb,
            "accelerators": accelerators,
            "payload": payload,
        }
        if checkpoint:
            message["checkpoint"] = checkpoint
        call = Call(action="start", worker=worker["name"], task=task, term=term)
        self._send(worker, "PUT", f"/tasks/{task}", message, call)

    def renew(self, worker, *, task, term, lease_s):
        """Renew the lease of a task to ``lease_s`` seconds from now."""
        self._post_task_action(worker, "renew", task, term, {"lease_s": lease_s})

    def stop(self, worker, *, task, term, context=None):
        """Stop a task; a worker that has seen a later term of it refuses."""
        self._post_task_action(worker, "stop", task, term, {}, context)

    def checkpoint(self, worker, *, task, term, context=None):
        """Request a checkpoint of a running task."""
        self._post_task_action(worker, "checkpoint", task, term, {}, context)

    def throttle(self, worker, *, task, term, fraction):
        """Limit a task to a fraction of its full speed, from 0 to 1."""
        self._post_task_action(worker, "throttle", task, term, {"fraction": fraction})

    def request_tasks(self, worker):
        """Request the list of the worker's tasks."""
        self._send(
            worker, "GET", "/tasks", None, Call(action="tasks", worker=worker["name"])
        )

    def request_usage(self, worker):
        """Request the measured usage of the worker, which lags behind."""
        self._send(
            worker, "GET", "/usage", None, Call(action="usage", worker=worker["name"])
        )

    def keep_connection(self, exchange):
        """Keep the connection of an ended exchange for the next request.

        The caller must call this for each ``exchange_done`` event. A second idle
        connection to the same address is closed.
        """
        ended = exchange.connection
        if not ended.is_idle:
            return
        kept = self._idle_connections.get(ended.address)
        if kept is not None and kept.is_idle:
            ended.close()
        else:
            self._idle_connections[ended.address] = ended

    def _post_task_action(self, worker, action, task, term, fields, context=None):
        call = Call(
            action=action, worker=worker["name"], task=task, term=term, context=context
        )
        message = {"term": term, **fields}
        self._send(worker, "POST", f"/tasks/{task}/{action}", message, call)

    def _send(self, worker, method, target, message, call):
        exchange = connection.Exchange(
            method=method,
            target=target,
            headers=[] if message is None else [_JSON],
            body=b"" if message is None else json.dumps(message).encode(),
            deadline=time.monotonic() + REQUEST_TIMEOUT_S,
            reply_channel=self._reply_channel,
            context=call,
        )
        address = (worker["host"], worker["port"])
        worker_connection = self._idle_connections.pop(address, None)
        if worker_connection is None or not worker_connection.is_idle:
            worker_connection = self._client.connect(host=address[0], port=address[1])
        worker_connection.send(exchange)
