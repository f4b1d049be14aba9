"""Instances, their pools, and the operations on them."""

import dataclasses
from typing import Literal

from cranberryport.state import plain

IN_SERVICE = "in_service"
DRAINING = "draining"
QUIESCED = "quiesced"
STOPPED = "stopped"
# A reappearing list entry must not bring a retired instance back into its pool.
RETIRED_KEPT = 1_000

_STATE_OF_STATUS = {
    "live": IN_SERVICE,
    "leaving": DRAINING,
    "failed": "failed",
    "unknown": "unknown",
    "gone": STOPPED,
}


@dataclasses.dataclass(kw_only=True, slots=True)
class Instance:
    """A backend server or worker.

    Attributes
    ----------
    instance, service, host, port, data_centre, rack, slots, status
        As in the last ``InstanceObserved``.
    pool : str
        The one pool it belongs to; empty for none.
    version : int
        Offset of the last change.
    operation : str
        Id of the operation on it; empty for none.
    step : {'', 'draining', 'quiesced', 'stopped'}
        Step of the operation.
    maintained : str
        ISO date of the latest sheet in force when the last finished reboot started;
        a sheet asks for a reboot once, however often it is published that day.
    """

    instance: str
    service: str
    host: str
    port: int
    data_centre: str
    rack: str
    slots: int
    status: Literal["live", "leaving", "failed", "unknown", "gone"]
    pool: str = ""
    version: int = 0
    operation: str = ""
    step: Literal["", "draining", "quiesced", "stopped"] = ""
    maintained: str = ""

    @property
    def state(self):
        """One of in_service, draining, stopped, unknown and failed."""
        if self.operation:
            return STOPPED if self.step == STOPPED else DRAINING
        return _STATE_OF_STATUS[self.status]

    @property
    def is_down(self):
        """Whether the instance counts against the budget of its pool."""
        return self.state != IN_SERVICE


@dataclasses.dataclass(kw_only=True, slots=True)
class Operation:
    """A planned stop or a move that is not yet over.

    Attributes
    ----------
    operation, instance, purpose, target_pool, by
        As in ``OperationStarted``.
    started : int
        Offset of the start.
    step : {'draining', 'quiesced', 'stopped'}
        Last step that is done.
    waiting : list of str
        Sessions that may still have requests in flight at the instance.
    day : str
        ISO date of the latest sheet in force at the start.
    """

    operation: str
    instance: str
    purpose: Literal["reboot", "move", "retire"]
    target_pool: str
    by: str
    started: int
    step: Literal["draining", "quiesced", "stopped"] = DRAINING
    waiting: list[str] = dataclasses.field(default_factory=list)
    day: str = ""


class Fleet:
    """All instances that are not retired, and the open operations."""

    __slots__ = ("_instances", "_operations", "_retired")

    def __init__(self):
        self._instances = {}
        self._operations = {}
        self._retired = {}

    @property
    def instances(self):
        """Map of name to :class:`Instance`."""
        return self._instances

    @property
    def operations(self):
        """Map of id to :class:`Operation` that is not over, in order of start."""
        return self._operations

    def get(self, instance):
        """Return an instance, or None."""
        return self._instances.get(instance)

    def pool_members(self, pool):
        """Return the instances of a pool, ordered by name."""
        names = sorted(self._instances)
        entries = [self._instances[name] for name in names]
        return [entry for entry in entries if entry.pool == pool]

    def down_count(self, pool):
        """Return how many instances of a pool are down, for whatever cause."""
        return len(self._down(pool))

    def observe(self, record, configuration, context):
        """Take what the platform's list says of an instance."""
        entry = self._instances.get(record.instance)
        if entry is None:
            if record.instance in self._retired:
                return f"instance {record.instance!r} is retired"
            if record.status == "gone":
                return f"instance {record.instance!r} is unknown"
            entry = self._instances[record.instance] = Instance(
                instance=record.instance,
                service=record.service,
                host=record.host,
                port=record.port,
                data_centre=record.data_centre,
                rack=record.rack,
                slots=record.slots,
                status=record.status,
                version=context.offset,
            )
            self._take_sheet_pool(entry, configuration, context.offset)
            return ""
        names = [field.name for field in dataclasses.fields(record)]
        if any(getattr(entry, name) != getattr(record, name) for name in names):
            for name in names:
                setattr(entry, name, getattr(record, name))
            entry.version = context.offset
        return ""

    def assign_pools(self, configuration, context):
        """Give instances without pool the pool that the sheet names."""
        for name in sorted(self._instances):
            entry = self._instances[name]
            self._take_sheet_pool(entry, configuration, context.offset)

    def start(self, record, configuration, sessions, context, *, day=""):
        """Start an operation if the pool's budget allows one more instance down.

        Parameters
        ----------
        record : messages.OperationStarted
            The proposal.
        configuration : merge.Configuration
            Configuration in force.
        sessions : list of str
            Sessions that are live, ended or fenced; the drain waits for them.
        context : object
            Offset of the record.
        day : str
            ISO date of the latest sheet in force.

        Returns
        -------
        str
            Why the operation is rejected; empty if it has started.
        """
        entry = self._instances.get(record.instance)
        reason = self._check_start(record, entry, configuration)
        if reason:
            return reason
        operation = Operation(
            operation=record.operation,
            instance=record.instance,
            purpose=record.purpose,
            target_pool=record.target_pool,
            by=record.by,
            started=context.offset,
            waiting=list(sessions),
            day=day,
        )
        self._operations[record.operation] = operation
        entry.operation = record.operation
        self._set_step(operation, DRAINING, context)
        self._quiesce_if_done(operation, context)
        return ""

    def report_drain(self, record, context):
        """Stop waiting for a session that has nothing in flight."""
        operation, reason = self._at_step(record.operation, DRAINING)
        if reason:
            return reason
        if record.session not in operation.waiting:
            return (
                f"operation {record.operation!r} does not wait for session "
                f"{record.session!r}"
            )
        operation.waiting.remove(record.session)
        self._quiesce_if_done(operation, context)
        return ""

    def drop_session(self, session, context):
        """Stop waiting for a closed or settled session in every drain."""
        for operation in list(self._operations.values()):
            if session in operation.waiting:
                operation.waiting.remove(session)
                self._quiesce_if_done(operation, context)

    def stop(self, record, configuration, context):
        """Note that the platform was told; a retired instance leaves for good."""
        operation, reason = self._at_step(record.operation, QUIESCED)
        if reason:
            return reason
        if operation.purpose == "move":
            return f"operation {record.operation!r} is a move, not reboot or retire"
        reason = self.stop_rejection_reason(operation, configuration)
        if reason:
            return reason
        if operation.purpose == "reboot":
            self._set_step(operation, STOPPED, context)
            return ""
        del self._operations[operation.operation]
        del self._instances[operation.instance]
        self._retired[operation.instance] = None
        if len(self._retired) > RETIRED_KEPT:
            del self._retired[next(iter(self._retired))]
        return ""

    def stop_rejection_reason(self, operation, configuration):
        """Return why a drained instance may not be stopped now; empty if it may.

        Other instances of the pool may have failed during the drain, so the budget is
        checked again. The instance itself has counted as down since the start. One that
        is not live takes nothing more from the budget.
        """
        entry = self._instances[operation.instance]
        pool = entry.pool
        if not pool or entry.status != "live":
            return ""
        down = self.down_count(pool)
        budget = configuration.pool(pool).max_unavailable
        if down > budget:
            return f"pool {pool!r} has {down} of at most {budget} down"
        return ""

    def complete_reboot(self, record, configuration, context):
        """End a reboot; the observed status decides from then on."""
        operation, reason = self._at_step(record.operation, STOPPED)
        if reason:
            return reason
        self._instances[operation.instance].maintained = operation.day
        self._end(operation, configuration, context)
        return ""

    def complete_move(self, record, configuration, context):
        """Put a quiet instance into its target pool."""
        operation, reason = self._at_step(record.operation, QUIESCED)
        if reason:
            return reason
        if operation.purpose != "move":
            return f"operation {record.operation!r} is a {operation.purpose}, no move"
        entry = self._instances[operation.instance]
        down = self.down_count(operation.target_pool) + 1
        budget = configuration.pool(operation.target_pool).max_unavailable
        if entry.status != "live" and down > budget:
            # The instance failed on the way; as a planned change the move must not
            # take the target pool over its budget.
            return (
                f"instance {entry.instance!r} is {entry.status}; pool "
                f"{operation.target_pool!r} would have {down} of at most {budget} down"
            )
        entry.pool = operation.target_pool
        self._end(operation, configuration, context)
        return ""

    def cancel(self, record, configuration, context):
        """Return an instance to service whose drain is not complete."""
        operation, reason = self._at_step(record.operation, DRAINING)
        if reason:
            return reason
        self._end(operation, configuration, context)
        return ""

    def to_plain(self):
        """Return plain values that :meth:`from_plain` takes."""
        return {
            "instances": plain.to_plain(self._instances),
            "operations": plain.to_plain(list(self._operations.values())),
            "retired": list(self._retired),
        }

    @classmethod
    def from_plain(cls, value):
        """Return the fleet for plain values."""
        fleet = cls()
        fleet._instances = plain.from_plain(value["instances"], dict[str, Instance])
        for entry in plain.from_plain(value["operations"], list[Operation]):
            fleet._operations[entry.operation] = entry
        fleet._retired = dict.fromkeys(plain.from_plain(value["retired"], list[str]))
        return fleet

    def _down(self, pool):
        return {
            entry.instance
            for entry in self._instances.values()
            if entry.pool == pool and entry.is_down
        }

    def _check_start(self, record, entry, configuration):
        if entry is None:
            return f"instance {record.instance!r} is unknown"
        if not record.operation:
            return "the operation id is empty"
        if record.operation in self._operations:
            return f"operation {record.operation!r} is open already"
        if entry.operation:
            return f"instance {record.instance!r} has operation {entry.operation!r}"
        if record.expected_version != entry.version:
            return (
                f"expected version {record.expected_version} of instance "
                f"{record.instance!r}; the present version is {entry.version}"
            )
        reason = self._check_target(record, entry, configuration)
        if reason or not entry.pool:
            return reason
        if entry.is_down:
            # It takes nothing more from the budget, and without this a pool with too
            # many dead instances could never retire them. Planned stops alone stay
            # within the budget, since a dead instance can come back during its stop.
            down = (
                sum(bool(member.operation) for member in self.pool_members(entry.pool))
                + 1
            )
        else:
            down = self.down_count(entry.pool) + 1
        budget = configuration.pool(entry.pool).max_unavailable
        if down > budget:
            return f"pool {entry.pool!r} would have {down} of at most {budget} down"
        return ""

    @staticmethod
    def _check_target(record, entry, configuration):
        target = record.target_pool
        if record.purpose != "move":
            return f"a {record.purpose} has no target pool {target!r}" if target else ""
        if target == entry.pool:
            return f"instance {record.instance!r} is in pool {target!r} already"
        if target not in configuration.pools:
            known = ", ".join(configuration.pools) or "none"
            return f"unknown target pool {target!r}; known: {known}"
        return ""

    def _at_step(self, name, step):
        """Return an operation and the reason why it is not at a step."""
        operation = self._operations.get(name)
        if operation is None:
            return None, f"operation {name!r} is not open"
        if operation.step != step:
            return None, f"operation {name!r} is {operation.step}; expected: {step}"
        return operation, ""

    def _set_step(self, operation, step, context):
        operation.step = step
        entry = self._instances[operation.instance]
        entry.step = step
        entry.version = context.offset

    def _quiesce_if_done(self, operation, context):
        if not operation.waiting and operation.step == DRAINING:
            self._set_step(operation, QUIESCED, context)

    def _end(self, operation, configuration, context):
        del self._operations[operation.operation]
        entry = self._instances[operation.instance]
        entry.operation = ""
        entry.step = ""
        entry.version = context.offset
        self._take_sheet_pool(entry, configuration, context.offset)

    @staticmethod
    def _take_sheet_pool(entry, configuration, offset):
        # An operation on an instance without pool was started without a budget, so
        # the instance joins its pool only after the operation.
        if entry.pool or entry.operation:
            return
        pool = configuration.instance_pools.get(entry.instance, "")
        if pool:
            entry.pool = pool
            entry.version = offset
