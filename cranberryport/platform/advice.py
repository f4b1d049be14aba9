"""Client of the platform's advice service, which permits executors to run a step.

A ticket is the proof of a permit. Executors refuse to start a task without a ticket if
its queue needs permits. The service calls executors workers.
"""

import dataclasses

from cranberryport.platform import bodies

# The service accepts this many executors in one call.
EXECUTORS_PER_CALL_LIMIT = 100


@dataclasses.dataclass(kw_only=True, slots=True, frozen=True)
class Permits:
    """Executors that may run a step, with their tickets.

    Attributes
    ----------
    tickets : dict of str to str
        Ticket by executor id; executors without a permit are not in it.
    valid_s : float
        Time for which the tickets are valid, in seconds.
    """

    tickets: dict[str, str]
    valid_s: float


class AdviceClient:
    """Asks the advice service for permits; results are passed to callbacks.

    Parameters
    ----------
    connections : cranberryport.http.connection_pool.ConnectionPool
        Connections to the service.
    address : tuple of (str, int)
        IP address and port of the service.
    """

    __slots__ = ("_address", "_connections")

    def __init__(self, *, connections, address):
        self._connections = connections
        self._address = address

    def request_permits(self, step_name, executor_ids, *, callback, timeout_s):
        """Ask which executors may run a step.

        Parameters
        ----------
        step_name : str
            Name of the step, see ``scheduling.model.Task.step_name``.
        executor_ids : list of str
            Ids of executors; those beyond ``EXECUTORS_PER_CALL_LIMIT`` are left out.
        callback : callable
            Called once with ``Permits``, or None if the call failed.
        timeout_s : float
            Seconds after which the call fails.
        """
        body = bodies.encode(
            {"Step": step_name, "Workers": executor_ids[:EXECUTORS_PER_CALL_LIMIT]}
        )

        def on_result(result):
            status, fields = bodies.read_response(result)
            rows = fields.get("Permitted")
            if status != 200 or not isinstance(rows, list):
                callback(None)
                return
            found = bodies.select_rows(rows, (str, str), "malformed rows of permits")
            tickets = {executor_id: ticket for executor_id, ticket, *_ in found}
            callback(
                Permits(
                    tickets=tickets,
                    valid_s=bodies.get_integer(fields, "ValidMs") / 1000,
                )
            )

        self._connections.send(
            self._address,
            "POST",
            "/api/advise",
            callback=on_result,
            timeout_s=timeout_s,
            body=body,
            headers=bodies.JSON_HEADERS,
        )
