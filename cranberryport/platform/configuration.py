"""Parses the operator's configuration: routes to queues, and services."""

from cranberryport.platform import bodies
from cranberryport.scheduling import ordering

# Keys of the operator's records in ``store.OPERATOR_TOPIC``.
CONFIGURATION_KEY = "config"
WAVE_PREFIX = "wave/"


class Route:
    """Assigns the requests of a host and path prefix to a queue.

    Parameters
    ----------
    host, prefix : str
        Host name and path prefix of the requests.
    queue : ordering.QueueRules
        Name and rules of the queue.
    """

    __slots__ = ("host", "prefix", "queue")

    def __init__(self, *, host, prefix, queue):
        self.host = host
        self.prefix = prefix
        self.queue = queue


class Service:
    """A service, which has one pool of instances of the same name.

    Parameters
    ----------
    name : str
        Name of the service and of its pool.
    is_standby : bool
        Whether the instances of the pool are switched off and kept in reserve.
    """

    __slots__ = ("is_standby", "name")

    def __init__(self, *, name, is_standby):
        self.name = name
        self.is_standby = is_standby


class Configuration:
    """One version of the operator's configuration.

    Parameters
    ----------
    version : int
        Number of the version; a newer version has a higher number.
    routes : list of Route
        All routes.
    services : dict of str to Service
        All services by name.
    """

    __slots__ = ("_routes", "queues", "services", "version")

    def __init__(self, *, version, routes, services):
        self.version = version
        self.services = services
        self.queues = {route.queue.name: route.queue for route in routes}
        self._routes = {}
        for route in routes:
            self._routes.setdefault(route.host.lower(), []).append(route)
        for host_routes in self._routes.values():
            host_routes.sort(key=lambda route: -len(route.prefix))

    def find_route(self, host, path):
        """Return the route with the longest matching prefix, None if none matches.

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


def parse(value):
    """Return the configuration in a record, None if it cannot be parsed."""
    fields = bodies.decode(value)
    if fields is None or not isinstance(fields.get("Routes"), list):
        return None
    routes = [_parse_route(row) for row in fields["Routes"] if isinstance(row, dict)]
    rows = fields.get("Services")
    rows = rows if isinstance(rows, list) else []
    names = {bodies.get_text(row, "Name"): row for row in rows if isinstance(row, dict)}
    services = {
        name: Service(name=name, is_standby=row.get("Standby") is True)
        for name, row in names.items()
        if name
    }
    return Configuration(
        version=bodies.get_integer(fields, "Version"), routes=routes, services=services
    )


def _parse_route(row):
    advice_row = row.get("Recommendation")
    queue = ordering.QueueRules(
        name=bodies.get_text(row, "Name"),
        service=bodies.get_text(row, "Service"),
        priority=bodies.get_integer(row, "Priority"),
        failed_runs_limit=max(1, bodies.get_integer(row, "MaxAttempts", 1)),
        stretch=bodies.get_number(row, "StretchFactor") or 1.0,
        latency_s=bodies.get_integer(row, "TargetLatencyMs") / 1000,
        advice_times=_parse_advice_times(advice_row)
        if isinstance(advice_row, dict)
        else None,
    )
    return Route(
        host=bodies.get_text(row, "Host"),
        prefix=bodies.get_text(row, "PathPrefix"),
        queue=queue,
    )


def _parse_advice_times(row):
    """Return the advice service's times in seconds.

    These are the time for an answer, the time added for each executor, and the time for
    which a ticket is valid.
    """
    names = ("DecideMs", "PeriodMs", "ValidMs")
    return tuple(bodies.get_integer(row, name) / 1000 for name in names)
