"""Merges the owner's and the team's sheet into the configuration in force.

The owner's rows take precedence, so that the team cannot override limits such as the
number of instances that may be down. Every entry instance merges the same rows to the
same configuration.
"""

import dataclasses

from cranberryport.sheet import fields


@dataclasses.dataclass(kw_only=True, slots=True, frozen=True)
class Pool:
    """A pool of instances.

    Attributes
    ----------
    name, service : str
        Names of the pool and of the service that its instances run; no service if
        empty.
    max_unavailable : int
        Instances of the pool that may be down at the same time.
    spare : bool
        Whether the pool is meant to lend capacity to other services; shown by the pools
        page only.
    target_instances : int or None
        Planned number of instances, None if not given; no decision uses it.
    """

    name: str
    service: str = ""
    max_unavailable: int = 1
    spare: bool = False
    target_instances: int | None = None


@dataclasses.dataclass(kw_only=True, slots=True, frozen=True)
class Desk:
    """A tenant, whose name callers send in the ``Desk`` header.

    Attributes
    ----------
    name : str
        Value of the ``Desk`` header.
    weight : int
        Relative share of the desk in weighted fair queueing.
    request_class : str
        Request class that replaces the one in the callers' header; empty for none.
    quota : int or None
        Maximum number of running jobs; None for no limit.
    """

    name: str
    weight: int = 1
    request_class: str = ""
    quota: int | None = None


@dataclasses.dataclass(kw_only=True, slots=True, frozen=True)
class Service:
    """A service behind the entry instances.

    Attributes
    ----------
    name : str
        First segment of the path of its requests.
    slots_per_instance : int
        Maximum number of concurrent requests at each backend server of the service.
    connections : int
        Maximum number of connections that all entry instances together may open to the
        backend servers of the service.
    at_most_once : tuple of str
        Path prefixes of requests that must not be executed twice.
    reserved_rush_percent : int
        Percentage of the slots that is reserved for requests of class ``rush``.
    """

    name: str
    slots_per_instance: int = 8
    connections: int = 64
    at_most_once: tuple[str, ...] = ()
    reserved_rush_percent: int = 10


@dataclasses.dataclass(kw_only=True, slots=True, frozen=True)
class Wave:
    """A maintenance wave: the order of the pools and the time of day for it.

    Attributes
    ----------
    name : str
        Name of the wave.
    order : tuple of str
        Names of the pools, first to last.
    not_before, not_after : str
        Local times as HH:MM, which are compared as strings. The defaults allow any
        time.
    """

    name: str
    order: tuple[str, ...] = ()
    not_before: str = "00:00"
    not_after: str = "24:00"


class Configuration:
    """The configuration in force. All maps are sorted by name.

    Parameters
    ----------
    settings : dict
        Parsed values by subject, name and setting.
    """

    __slots__ = (
        "_desks",
        "_instance_pools",
        "_maintenance",
        "_pools",
        "_services",
        "_waves",
    )

    def __init__(self, *, settings):
        instances = settings["instance"]
        self._pools = _build_all(Pool, settings["pool"])
        self._instance_pools = _values_of_setting(instances, "pool")
        self._maintenance = _values_of_setting(instances, "maintenance")
        self._desks = _build_all(Desk, settings["desk"])
        # A service exists if it has rows of its own or if a pool serves it.
        served = {pool.service for pool in self._pools.values() if pool.service}
        services = {**dict.fromkeys(served, {}), **settings["service"]}
        self._services = _build_all(Service, services)
        self._waves = _build_all(Wave, settings["wave"])

    @property
    def pools(self):
        """Map of name to :class:`Pool`, for pools that have a row."""
        return self._pools

    @property
    def instance_pools(self):
        """Map of instance name to pool name."""
        return self._instance_pools

    @property
    def maintenance(self):
        """Map of instance name to ``reboot`` or ``none``."""
        return self._maintenance

    @property
    def desks(self):
        """Map of name to :class:`Desk`, for desks that have a row."""
        return self._desks

    @property
    def services(self):
        """Map of name to :class:`Service`, for services that have a row or a pool."""
        return self._services

    @property
    def waves(self):
        """Map of name to :class:`Wave`."""
        return self._waves

    def pool(self, name):
        """Return a pool, with the defaults if it has no row."""
        return self._pools.get(name) or Pool(name=name)

    def desk(self, name):
        """Return a desk, with the defaults if it has no row."""
        return self._desks.get(name) or Desk(name=name)

    def service(self, name):
        """Return a service, with the defaults if it has no row."""
        return self._services.get(name) or Service(name=name)


def merge_rows(*, owner_rows, team_rows):
    """Return the configuration that results from the rows of both sheets.

    For the same subject, name and setting the owner's row takes precedence over the
    team's, and within one sheet the last row applies.

    Parameters
    ----------
    owner_rows, team_rows : list of messages.SheetRow
        Rows without errors in :func:`fields.check_rows`.

    Returns
    -------
    Configuration
        The merged configuration; it depends on the rows only.

    Raises
    ------
    KeyError, ValueError
        If a row has an error.
    """
    settings = {subject: {} for subject in fields.SETTINGS}
    for row in [*team_rows, *owner_rows]:
        value_type = fields.SETTINGS[row.subject][row.setting]
        values = settings[row.subject].setdefault(row.name, {})
        values[_attribute_name(row.setting)] = fields.parse_value(value_type, row.value)
    return Configuration(settings=settings)


def _attribute_name(setting):
    # ``class`` is a keyword of Python.
    return "request_class" if setting == "class" else setting


def _build_all(subject_type, settings):
    """Return a map of name to an instance of ``subject_type``."""
    return {
        name: subject_type(name=name, **settings[name]) for name in sorted(settings)
    }


def _values_of_setting(settings, setting):
    """Return a map of name to the value of one setting, for names that have it."""
    return {
        name: settings[name][setting]
        for name in sorted(settings)
        if setting in settings[name]
    }
