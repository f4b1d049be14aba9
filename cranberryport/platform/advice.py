"""Client of the service that knows which executors may run a step."""

import dataclasses

from cranberryport.platform import bodies

# The service takes this many workers in one call.
WORKERS_LIMIT = 100


@dataclasses.dataclass(kw_only=True, slots=True, frozen=True)
class Permits:
    """Executors that may run a step.

    Attributes
    ----------
    tickets : dict of str to str
        Ticket by executor.
    valid_s : float
        Time for which the tickets hold, in seconds.
    """

    tickets: dict[str, str]
    valid_s: float


class AdviceClient:
    """Asks the service; results come to callbacks.

    Parameters
    ----------
    pool : cranberryport.http.connection_pool.ConnectionPool
        Connections.
    address : tuple of (str, int)
        IP address and port.
    """

    __slots__ = ("_address", "_pool")

    def __init__(self, *, pool, address):
        self._pool = pool
        self._address = address

    def request_permits(self, step, workers, *, callback, timeout_s):
        """Ask which executors may run a step; gives ``Permits`` or None.

        Parameters
        ----------
        step : str
            Job, occurrence and step.
        workers : list of str
            Ids of executors.
        callback : callable
            Called once.
        timeout_s : float
            Seconds.
        """
        body = bodies.encode({"Step": step, "Workers": workers[:WORKERS_LIMIT]})

        def finish(result):
            status, fields = bodies.read_response(result)
            rows = fields.get("Permitted")
            if status != 200 or not isinstance(rows, list):
                callback(None)
                return
            callback(
                Permits(
                    tickets={row[0]: row[1] for row in rows},
                    valid_s=bodies.integer(fields, "ValidMs") / 1000,
                )
            )

        self._pool.send(
            self._address,
            "POST",
            "/api/advise",
            callback=finish,
            timeout_s=timeout_s,
            body=body,
            headers=bodies.JSON_HEADERS,
        )
