"""The operator's configuration in the project's terms."""

from cranberryport.platform import bodies
from cranberryport.scheduling import ordering

CONFIGURATION_KEY = "config"
WAVE_PREFIX = "wave/"


class Route:
    """How requests find a queue.

    Parameters
    ----------
    host, prefix : str
        Host name and path prefix of the queue's requests.
    queue : ordering.QueueRules
        Rules of the queue.
    """

    __slots__ = ("host", "prefix", "queue")

    def __init__(self, *, host, prefix, queue):
        self.host = host
        self.prefix = prefix
        self.queue = queue


class Service:
    """A pool of instances.

    Parameters
    ----------
    name : str
        Name of the pool.
    is_standby : bool
        Whether its instances are switched off and kept in reserve.
    """

    __slots__ = ("is_standby", "name")

    def __init__(self, *, name, is_standby):
        self.name = name
        self.is_standby = is_standby


class Configuration:
    """One version of the configuration.

    Parameters
    ----------
    version : int
        Versions increase.
    routes : list of Route
        All routes.
    services : dict of str to Service
        All pools by name.
    """

    __slots__ = ("_routes", "queues", "services", "version")

    def __init__(self, *, version, routes, services):
        self.version = version
        self.services = services
        self.queues = {route.queue.name: route.queue for route in routes}
        self._routes = {}
        for route in routes:
            self._routes.setdefault(route.host.lower(), []).append(route)
        for same_host in self._routes.values():
            same_host.sort(key=lambda route: -len(route.prefix))

    def find(self, host, path):
        """Return the route of a request, None if there is none.

        Parameters
        ----------
        host : str
            Value of the Host header; a port is ignored.
        path : str
            Path of the request.
        """
        for route in self._routes.get(host.lower().partition(":")[0], ()):
            if path.startswith(route.prefix):
                return route
        return None


def read(value):
    """Return the configuration of a record, None if it cannot be read."""
    fields = bodies.decode(value)
    if fields is None or not isinstance(fields.get("Routes"), list):
        return None
    routes = [_read_route(row) for row in fields["Routes"] if isinstance(row, dict)]
    services = {
        row["Name"]: Service(name=row["Name"], is_standby=row.get("Standby") is True)
        for row in fields.get("Services") or ()
        if isinstance(row, dict) and row.get("Name")
    }
    return Configuration(
        version=bodies.integer(fields, "Version"), routes=routes, services=services
    )


def _read_route(row):
    advice = row.get("Recommendation")
    queue = ordering.QueueRules(
        name=bodies.text(row, "Name"),
        service=bodies.text(row, "Service"),
        priority=bodies.integer(row, "Priority"),
        attempts=max(1, bodies.integer(row, "MaxAttempts", 1)),
        stretch=float(row.get("StretchFactor") or 1.0),
        latency_s=bodies.integer(row, "TargetLatencyMs") / 1000,
        advice=_read_advice(advice) if isinstance(advice, dict) else None,
    )
    return Route(
        host=bodies.text(row, "Host"),
        prefix=bodies.text(row, "PathPrefix"),
        queue=queue,
    )


def _read_advice(row):
    names = ("DecideMs", "PeriodMs", "ValidMs")
    return tuple(bodies.integer(row, name) / 1000 for name in names)
