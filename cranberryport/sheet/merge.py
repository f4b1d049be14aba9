"""The effective configuration of the owner's and the team's sheet."""

import dataclasses

from cranberryport.sheet import fields


@dataclasses.dataclass(kw_only=True, slots=True, frozen=True)
class Pool:
    """A pool of instances.

    Attributes
    ----------
    name, service : str
        The service whose work the pool does; empty for none.
    max_unavailable : int
        Instances that may be down at the same time.
    spare : bool
        Whether other services may borrow from the pool.
    target_instances : int or None
        Wanted size; None to leave the size as it is.
    """

    name: str
    service: str = ""
    max_unavailable: int = 1
    spare: bool = False
    target_instances: int | None = None


@dataclasses.dataclass(kw_only=True, slots=True, frozen=True)
class Desk:
    """A tenant.

    Attributes
    ----------
    name : str
        Value of the ``Desk`` header.
    weight : int
        Share in weighted fair queueing.
    request_class : str
        Class that outranks the callers' header; empty for none.
    quota : int or None
        Jobs at once; None for no limit.
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
        First part of the callers' path.
    slots_per_instance, connections : int
        Requests at once for each backend server; connections of all entry instances.
    at_most_once : tuple of str
        Path prefixes whose requests must not be repeated.
    reserved_rush_percent : int
        Part of the slots that only rush requests use.
    """

    name: str
    slots_per_instance: int = 8
    connections: int = 64
    at_most_once: tuple[str, ...] = ()
    reserved_rush_percent: int = 10


@dataclasses.dataclass(kw_only=True, slots=True, frozen=True)
class Wave:
    """An order of pools for maintenance.

    Attributes
    ----------
    name : str
        Name in the sheet.
    order : tuple of str
        Pools, first to last.
    not_before, not_after : str
        Local times as HH:MM, which compare as text; the defaults set no limit.
    """

    name: str
    order: tuple[str, ...] = ()
    not_before: str = "00:00"
    not_after: str = "24:00"


class Configuration:
    """What is in force; all maps are ordered by name.

    Parameters
    ----------
    settings : dict
        Values by subject, name and setting.
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
        self._pools = _build(Pool, settings["pool"])
        self._instance_pools = _pick(instances, "pool")
        self._maintenance = _pick(instances, "maintenance")
        self._desks = _build(Desk, settings["desk"])
        # A service is known by its own rows or by a pool that serves it.
        served = {pool.service for pool in self._pools.values() if pool.service}
        services = {**dict.fromkeys(served, {}), **settings["service"]}
        self._services = _build(Service, services)
        self._waves = _build(Wave, settings["wave"])

    @property
    def pools(self):
        """Map of name to :class:`Pool`, for pools with a row."""
        return self._pools

    @property
    def instance_pools(self):
        """Map of instance to pool."""
        return self._instance_pools

    @property
    def maintenance(self):
        """Map of instance to ``reboot`` or ``none``."""
        return self._maintenance

    @property
    def desks(self):
        """Map of name to :class:`Desk`, for desks with a row."""
        return self._desks

    @property
    def services(self):
        """Map of name to :class:`Service`, for services with a row or a pool."""
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
    """Return the configuration that two sheets give together.

    The owner's rows outrank the team's for the same subject, name and setting. Within
    one sheet the row further down applies.

    Parameters
    ----------
    owner_rows, team_rows : list of messages.SheetRow
        Rows without errors in :func:`fields.check_rows`.

    Returns
    -------
    Configuration
        Depends on nothing but the rows.

    Raises
    ------
    KeyError, ValueError
        If a row has an error.
    """
    settings = {subject: {} for subject in fields.SETTINGS}
    for row in [*team_rows, *owner_rows]:
        value_type = fields.SETTINGS[row.subject][row.setting]
        values = settings[row.subject].setdefault(row.name, {})
        values[_attribute(row.setting)] = fields.parse_value(value_type, row.value)
    return Configuration(settings=settings)


def _attribute(setting):
    # ``class`` is a keyword of the language.
    return "request_class" if setting == "class" else setting


def _build(entry_type, settings):
    return {name: entry_type(name=name, **settings[name]) for name in sorted(settings)}


def _pick(settings, key):
    return {
        name: settings[name][key] for name in sorted(settings) if key in settings[name]
    }
