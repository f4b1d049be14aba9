"""Parses the operator's configuration: routes, services and organisations."""

import logging

from cranberryport.callers import api_keys
from cranberryport.platform import bodies
from cranberryport.scheduling import ordering, organisations

# Keys of the operator's records in ``store.OPERATOR_TOPIC``.
CONFIGURATION_KEY = "config"
WAVE_PREFIX = "wave/"
# Weight of an organisation whose row has none.
DEFAULT_WEIGHT = 1.0

_logger = logging.getLogger(__name__)


class Route:
    """Assigns the requests of a host and path prefix to a queue.

    Parameters
    ----------
    host, prefix : str
        Host name and path prefix of the requests.
    queue : ordering.QueueRules
        Name and rules of the queue.
    is_public : bool, default=False
        Whether requests need no key of an organisation.
    """

    __slots__ = ("host", "is_public", "prefix", "queue")

    def __init__(self, *, host, prefix, queue, is_public=False):
        self.host = host
        self.prefix = prefix
        self.queue = queue
        self.is_public = is_public


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
    organisations : dict of str to organisations.Organisation, or None
        Organisations by name; None where the deployment has none, and then requests
        need no key.
    keys_by_organisation : dict of str to list of str
        Keys of each organisation; emptied when ``key_table`` is made.
    """

    __slots__ = (
        "_key_table",
        "_routes",
        "keys_by_organisation",
        "organisations",
        "queues",
        "services",
        "version",
    )

    def __init__(
        self,
        *,
        version,
        routes,
        services,
        organisations=None,
        keys_by_organisation=None,
    ):
        self.version = version
        self.services = services
        self.organisations = organisations
        self.keys_by_organisation = keys_by_organisation or {}
        self.queues = {route.queue.name: route.queue for route in routes}
        self._key_table = None
        self._routes = {}
        for route in routes:
            self._routes.setdefault(route.host.lower(), []).append(route)
        for host_routes in self._routes.values():
            host_routes.sort(key=lambda route: -len(route.prefix))

    @property
    def key_table(self):
        """Organisations by their keys; made at the first use."""
        if self._key_table is None:
            self._key_table = api_keys.KeyTable(
                keys_by_organisation=self.keys_by_organisation
            )
            self.keys_by_organisation = {}
        return self._key_table

    @property
    def has_keyed_routes(self):
        """Whether there are requests that need a key of an organisation."""
        return self.organisations is not None and any(
            not route.is_public for routes in self._routes.values() for route in routes
        )

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
    organisation_by_name, keys_by_organisation = None, {}
    if isinstance(fields.get("Tenants"), list):
        organisation_by_name, keys_by_organisation = _parse_organisations(
            fields["Tenants"]
        )
    return Configuration(
        version=bodies.get_integer(fields, "Version"),
        routes=routes,
        services=services,
        organisations=organisation_by_name,
        keys_by_organisation=keys_by_organisation,
    )


def _parse_organisations(rows):
    """Return the organisations and their keys by name; unusable rows are skipped."""
    organisation_by_name, keys_by_organisation = {}, {}
    for row in rows:
        name = bodies.get_text(row, "Name") if isinstance(row, dict) else ""
        if not name:
            _logger.error("unusable organisation", extra={"reason": "it has no name"})
            continue
        limits = row.get("Maximum")
        limits = limits if isinstance(limits, dict) else {}
        organisation_by_name[name] = organisations.Organisation(
            name=name,
            weight=max(0.0, bodies.get_number(row, "Weight")) or DEFAULT_WEIGHT,
            processors_limit=max(0, bodies.get_integer(limits, "Cpu")),
            memory_limit=max(0, bodies.get_integer(limits, "MemMb")),
            accelerators_limit=max(0, bodies.get_integer(limits, "Gpu")),
        )
        keys = row.get("ApiKeys")
        keys_by_organisation[name] = [
            key
            for key in (keys if isinstance(keys, list) else [])
            if isinstance(key, str) and key
        ]
    return organisation_by_name, keys_by_organisation


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
        is_public=row.get("Public") is True,
    )


def _parse_advice_times(row):
    """Return the advice service's times in seconds.

    These are the time for an answer, the time added for each executor, and the time for
    which a ticket is valid.
    """
    names = ("DecideMs", "PeriodMs", "ValidMs")
    return tuple(bodies.get_integer(row, name) / 1000 for name in names)
