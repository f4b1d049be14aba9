"""Folds instances, their pools, and the planned operations on them.

An operation is a planned reboot, move or retirement. It is folded only if the budget
of the pool, ``max_unavailable``, allows one more instance down, and the instance is
stopped or moved only after every session has drained it.
"""

import dataclasses
from typing import Literal

from cranberryport.state import plain

IN_SERVICE = "in_service"
DRAINING = "draining"
QUIESCED = "quiesced"
STOPPED = "stopped"
# Names of retired instances that are remembered, so that the platform's list does not
# bring them back into their pool.
RETIRED_INSTANCES_KEPT = 1_000

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
        Offset of the record that changed the instance last.
    operation : str
        Id of the open operation on the instance; empty for none.
    step : {'', 'draining', 'quiesced', 'stopped'}
        Last step that the operation has reached; empty without an operation.
    maintained : str
        Day up to which the instance is maintained, as an ISO date: the latest day of
        the sheets in force when the last completed reboot started; empty for none. A
        sheet that is published again on its day does not ask for another reboot.
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
        """One of ``in_service``, ``draining``, ``stopped``, ``unknown``, ``failed``."""
        if self.operation:
            return STOPPED if self.step == STOPPED else DRAINING
        return _STATE_OF_STATUS[self.status]

    @property
    def is_down(self):
        """Whether the instance uses a unit of its pool's ``max_unavailable``."""
        return self.state != IN_SERVICE


@dataclasses.dataclass(kw_only=True, slots=True)
class Operation:
    """A planned reboot, move or retirement that is not completed or cancelled.

    Attributes
    ----------
    operation, instance, purpose, target_pool, by
        As in ``OperationStarted``.
    started : int
        Offset of the ``OperationStarted``.
    step : {'draining', 'quiesced', 'stopped'}
        Last step reached. An instance is quiesced when no session has requests in
        flight there.
    waiting : list of str
        Sessions that the drain waits for, since they may still have requests in flight
        at the instance.
    day : str
        Latest day of the sheets in force at the start, as an ISO date.
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
        """Map of id to open :class:`Operation`, in order of start."""
        return self._operations

    def get(self, instance):
        """Return an instance by name, or None."""
        return self._instances.get(instance)

    def pool_members(self, pool):
        """Return the instances of a pool, ordered by name."""
        names = sorted(self._instances)
        entries = [self._instances[name] for name in names]
        return [entry for entry in entries if entry.pool == pool]

    def down_count(self, pool):
        """Return how many instances of a pool are down, planned or not."""
        return len(self._down_names(pool))

    def update_instance(self, record, configuration, context):
        """Add or update an instance as in the platform's list.

        Returns
        -------
        str
            Why the record is rejected; empty if it is accepted.
        """
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
            self._assign_sheet_pool(entry, configuration, context.offset)
            return ""
        names = [field.name for field in dataclasses.fields(record)]
        if any(getattr(entry, name) != getattr(record, name) for name in names):
            for name in names:
                setattr(entry, name, getattr(record, name))
            entry.version = context.offset
        return ""

    def assign_pools(self, configuration, context):
        """Assign instances without a pool to the pool that the sheets name."""
        for name in sorted(self._instances):
            entry = self._instances[name]
            self._assign_sheet_pool(entry, configuration, context.offset)

    def start_operation(self, record, configuration, sessions, context, *, day=""):
        """Start an operation if the pool's budget allows one more instance down.

        Parameters
        ----------
        record : messages.OperationStarted
            The proposed operation.
        configuration : merge.Configuration
            Configuration in force.
        sessions : list of str
            Ids of the live, ended and fenced sessions; the drain waits for each.
        context : fold.RecordContext
            Position of the record in the stream.
        day : str
            Latest day of the sheets in force, as an ISO date.

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
        self._quiesce_if_drained(operation, context)
        return ""

    def report_drain(self, record, context):
        """Note that a session has no requests in flight at a draining instance."""
        operation, reason = self._find_operation_at(record.operation, DRAINING)
        if reason:
            return reason
        if record.session not in operation.waiting:
            return (
                f"operation {record.operation!r} does not wait for session "
                f"{record.session!r}"
            )
        operation.waiting.remove(record.session)
        self._quiesce_if_drained(operation, context)
        return ""

    def forget_session(self, session, context):
        """Remove a closed or settled session from those that drains wait for."""
        for operation in list(self._operations.values()):
            if session in operation.waiting:
                operation.waiting.remove(session)
                self._quiesce_if_drained(operation, context)

    def stop_instance(self, record, configuration, context):
        """Note that the platform was asked to stop the instance of an operation.

        A reboot reaches the step ``stopped``. A retirement is completed, and its
        instance removed.
        """
        operation, reason = self._find_operation_at(record.operation, QUIESCED)
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
        if len(self._retired) > RETIRED_INSTANCES_KEPT:
            del self._retired[next(iter(self._retired))]
        return ""

    def stop_rejection_reason(self, operation, configuration):
        """Return why a drained instance may not be stopped now; empty if it may.

        The budget is checked again, since other instances of the pool may have failed
        during the drain. The instance itself has counted as down since the operation
        started. Stopping one that is not live uses no more of the budget.
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
        """Complete a reboot; the state of the instance follows its status again."""
        operation, reason = self._find_operation_at(record.operation, STOPPED)
        if reason:
            return reason
        self._instances[operation.instance].maintained = operation.day
        self._end_operation(operation, configuration, context)
        return ""

    def complete_move(self, record, configuration, context):
        """Complete a move: assign the drained instance to its target pool."""
        operation, reason = self._find_operation_at(record.operation, QUIESCED)
        if reason:
            return reason
        if operation.purpose != "move":
            return f"operation {record.operation!r} is a {operation.purpose}, no move"
        entry = self._instances[operation.instance]
        down = self.down_count(operation.target_pool) + 1
        budget = configuration.pool(operation.target_pool).max_unavailable
        if entry.status != "live" and down > budget:
            # The instance failed during the drain. A move is planned, so it must not
            # take the target pool over its budget.
            return (
                f"instance {entry.instance!r} is {entry.status}; pool "
                f"{operation.target_pool!r} would have {down} of at most {budget} down"
            )
        entry.pool = operation.target_pool
        self._end_operation(operation, configuration, context)
        return ""

    def cancel_operation(self, record, configuration, context):
        """Cancel an operation whose drain is not complete."""
        operation, reason = self._find_operation_at(record.operation, DRAINING)
        if reason:
            return reason
        self._end_operation(operation, configuration, context)
        return ""

    def to_plain(self):
        """Return the fleet as maps, lists and scalars, for a snapshot."""
        return {
            "instances": plain.to_plain(self._instances),
            "operations": plain.to_plain(list(self._operations.values())),
            "retired": list(self._retired),
        }

    @classmethod
    def from_plain(cls, value):
        """Return the fleet that :meth:`to_plain` converted."""
        fleet = cls()
        fleet._instances = plain.from_plain(value["instances"], dict[str, Instance])
        for entry in plain.from_plain(value["operations"], list[Operation]):
            fleet._operations[entry.operation] = entry
        fleet._retired = dict.fromkeys(plain.from_plain(value["retired"], list[str]))
        return fleet

    def _down_names(self, pool):
        return {
            entry.instance
            for entry in self._instances.values()
            if entry.pool == pool and entry.is_down
        }

    def _check_start(self, record, entry, configuration):
        """Return why an operation may not start; empty if it may."""
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
            # An operation on an instance that is already down uses no more of the
            # budget; otherwise a pool with more failed instances than its budget could
            # never retire them. Operations alone must stay within the budget, since a
            # failed instance can recover during its operation.
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
        """Return why the target pool does not fit; empty if it does."""
        target = record.target_pool
        if record.purpose != "move":
            return f"a {record.purpose} has no target pool {target!r}" if target else ""
        if target == entry.pool:
            return f"instance {record.instance!r} is in pool {target!r} already"
        if target not in configuration.pools:
            known = ", ".join(configuration.pools) or "none"
            return f"unknown target pool {target!r}; known: {known}"
        return ""

    def _find_operation_at(self, name, step):
        """Return an operation if it is at a step, else None with the reason."""
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

    def _quiesce_if_drained(self, operation, context):
        if not operation.waiting and operation.step == DRAINING:
            self._set_step(operation, QUIESCED, context)

    def _end_operation(self, operation, configuration, context):
        del self._operations[operation.operation]
        entry = self._instances[operation.instance]
        entry.operation = ""
        entry.step = ""
        entry.version = context.offset
        self._assign_sheet_pool(entry, configuration, context.offset)

    @staticmethod
    def _assign_sheet_pool(entry, configuration, offset):
        # An operation on an instance without a pool started without a budget check, so
        # the instance joins a pool only after the operation.
        if entry.pool or entry.operation:
            return
        pool = configuration.instance_pools.get(entry.instance, "")
        if pool:
            entry.pool = pool
            entry.version = offset
