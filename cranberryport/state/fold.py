"""Folds the envelopes of the control stream, in offset order, into the control state.

Every entry instance folds the same stream and must reach the same state. The fold
therefore depends only on the stream and on the known publishers, and a record that
cannot be decoded or applied is skipped everywhere in the same way.
"""

import dataclasses
import functools
import math

from cranberryport import codec
from cranberryport.generated import messages
from cranberryport.state import fleet as fleet_module
from cranberryport.state import fold_outcomes, plain
from cranberryport.state import jobs as jobs_module
from cranberryport.state import keys as keys_module
from cranberryport.state import sessions as sessions_module
from cranberryport.state import shares as shares_module
from cranberryport.state import sheets as sheets_module

SNAPSHOT_FORMAT = 1
# Writers without an open session whose last sequence is kept, to drop envelopes that
# they repeat. An append is repeated within minutes; at 72 replaced entry instances a
# day the limit covers two weeks.
PAST_WRITERS_KEPT = 1_000
# Limit of the integers in records, which other CBOR libraries can represent too.
MAX_INTEGER = 2**63 - 1


class State:
    """Control state, equal on all entry instances at the same offset.

    Parameters
    ----------
    publishers : dict of str to signing.Publisher, or iterable of signing.Publisher
        Who may publish sheets; must be the same on every entry instance.
    """

    __slots__ = (
        "_fault_count",
        "_fleet",
        "_jobs",
        "_keys",
        "_position",
        "_publishers",
        "_sequences",
        "_sessions",
        "_shares",
        "_sheets",
        "_skipped_count",
    )

    def __init__(self, *, publishers=()):
        self._publishers = _index_by_name(publishers)
        self._position = 0
        self._skipped_count = 0
        self._fault_count = 0
        # Writer to its last folded sequence, ordered by the writers' last envelopes.
        self._sequences = {}
        self._sessions = sessions_module.Sessions()
        self._sheets = sheets_module.Sheets(publishers=self._publishers)
        self._fleet = fleet_module.Fleet()
        self._shares = shares_module.Shares()
        self._keys = keys_module.IdempotencyKeys()
        self._jobs = jobs_module.Jobs()

    @property
    def position(self):
        """Offset of the next envelope to fold."""
        return self._position

    @property
    def skipped_count(self):
        """Number of envelopes and records skipped because they could not be decoded."""
        return self._skipped_count

    @property
    def fault_count(self):
        """Number of records whose handler raised, which is a defect in the handler."""
        return self._fault_count

    @property
    def sessions(self):
        """Sessions of entry instances, a :class:`sessions.Sessions`."""
        return self._sessions

    @property
    def sheets(self):
        """Published sheets, a :class:`sheets.Sheets`."""
        return self._sheets

    @property
    def configuration(self):
        """Configuration in force, a :class:`merge.Configuration`."""
        return self._sheets.configuration

    @property
    def fleet(self):
        """Instances and their operations, a :class:`fleet.Fleet`."""
        return self._fleet

    @property
    def shares(self):
        """Units held by sessions, a :class:`shares.Shares`."""
        return self._shares

    @property
    def keys(self):
        """Idempotency keys, a :class:`keys.IdempotencyKeys`."""
        return self._keys

    @property
    def jobs(self):
        """Accepted jobs, a :class:`jobs.Jobs`."""
        return self._jobs

    def skip_to(self, offset):
        """Continue at a later offset because the records before it expired unread."""
        self._position = max(self._position, offset)

    def held_units(self, session, resource):
        """Return the units that a session holds of a resource."""
        return self._shares.held_units(session, resource)

    def surplus(self, session):
        """Return by resource the units that a session has to release."""
        return self._shares.surplus(session, self._sessions.live_ids())

    def last_sequence(self, writer):
        """Return the sequence of a writer's last folded envelope; 0 if none is kept."""
        return self._sequences.get(writer, 0)

    def to_plain(self):
        """Return the state as maps, lists and scalars, for a snapshot."""
        return {
            "format": SNAPSHOT_FORMAT,
            "position": self._position,
            "skipped": self._skipped_count,
            "faults": self._fault_count,
            "sequences": [[key, value] for key, value in self._sequences.items()],
            "sessions": self._sessions.to_plain(),
            "sheets": self._sheets.to_plain(),
            "fleet": self._fleet.to_plain(),
            "shares": self._shares.to_plain(),
            "keys": self._keys.to_plain(),
            "jobs": self._jobs.to_plain(),
        }

    @classmethod
    def from_plain(cls, value, *, publishers=()):
        """Return the state that :meth:`to_plain` converted.

        Raises
        ------
        KeyError, TypeError, ValueError
            If the values are not a state in the format ``SNAPSHOT_FORMAT``.
        """
        if value["format"] != SNAPSHOT_FORMAT:
            raise ValueError(
                f"unknown format {value['format']!r}; valid: {SNAPSHOT_FORMAT}"
            )
        state = cls(publishers=publishers)
        state._position = plain.from_plain(value["position"], int)
        state._skipped_count = plain.from_plain(value["skipped"], int)
        state._fault_count = plain.from_plain(value["faults"], int)
        sequences = plain.from_plain(value["sequences"], list[tuple[str, int]])
        state._sequences = dict(sequences)
        state._sessions = sessions_module.Sessions.from_plain(value["sessions"])
        state._sheets = sheets_module.Sheets.from_plain(
            value["sheets"], publishers=state._publishers
        )
        state._fleet = fleet_module.Fleet.from_plain(value["fleet"])
        state._shares = shares_module.Shares.from_plain(value["shares"])
        state._keys = keys_module.IdempotencyKeys.from_plain(value["keys"])
        state._jobs = jobs_module.Jobs.from_plain(value["jobs"])
        return state

    def _accept_sequence(self, writer, sequence):
        """Record the sequence of a writer's envelope; return whether it is new."""
        if sequence <= self._sequences.get(writer, 0):
            return False
        self._sequences.pop(writer, None)
        self._sequences[writer] = sequence
        return True

    def _evict_past_writer(self):
        """Drop the sequence of the oldest writer without a session above the limit.

        One call for each folded envelope is enough, as each adds at most one writer.
        """
        limit = PAST_WRITERS_KEPT + len(self._sessions.entries)
        if len(self._sequences) <= limit:
            return
        past = (key for key in self._sequences if self._sessions.get(key) is None)
        del self._sequences[next(past)]

    def _update_slots_capacity(self, instance):
        """Set the capacity of an instance's slots, which is 0 for an unknown one."""
        entry = self._fleet.get(instance)
        capacity = self._slot_capacity(entry) if entry else 0
        name = shares_module.slots_resource(instance)
        self._shares.set_capacity(name, capacity, self._sessions.live_ids())

    def _slot_capacity(self, entry):
        """Return the slots of an instance.

        The setting of its service in the sheets overrides the platform's list.
        """
        configuration = self.configuration
        service = configuration.services.get(configuration.pool(entry.pool).service)
        return service.slots_per_instance if service else max(0, entry.slots)

    def _update_capacities(self):
        """Set all capacities of slots and connections from the configuration."""
        for instance in sorted(self._fleet.instances):
            self._update_slots_capacity(instance)
        configuration = self.configuration
        services = set(configuration.services)
        services |= {pool.service for pool in configuration.pools.values()}
        services.discard("")
        wanted = {
            shares_module.connections_resource(service): configuration.service(
                service
            ).connections
            for service in services
        }
        prefix = shares_module.CONNECTIONS_PREFIX
        present = {name for name in self._shares.resources if name.startswith(prefix)}
        for name in sorted(present | set(wanted)):
            live = self._sessions.live_ids()
            self._shares.set_capacity(name, wanted.get(name, 0), live)

    def _apply_session_ends(self, ended):
        """Mark the open claims of ended sessions unknown and distribute free units.

        The targets of the remaining live sessions have grown.
        """
        for session in ended:
            self._keys.mark_claims_unknown(session)
        if ended:
            self._shares.rebalance(self._sessions.live_ids())


@dataclasses.dataclass(kw_only=True, slots=True)
class RecordContext:
    """Position of a record in the stream, and the sessions that it ends.

    Attributes
    ----------
    offset, writer, sequence, index
        As in :class:`fold_outcomes.Accepted`.
    ended : list of str
        Ids of the sessions that the record has ended; handlers append to it.
    """

    offset: int
    writer: str
    sequence: int
    index: int
    ended: list[str] = dataclasses.field(default_factory=list)


def apply_envelope(state, offset, body):
    """Fold one envelope into the state.

    Parameters
    ----------
    state : State
        Changed in place.
    offset : int
        Offset of the envelope in the control stream.
    body : bytes
        The encoded envelope.

    Returns
    -------
    list of fold_outcomes.Outcome
        One for each record; a single :class:`fold_outcomes.Rejected` without a record
        for a damaged envelope; empty for a repeated envelope and for an offset that is
        already folded.
    """
    if offset < state.position:
        return []
    state._position = offset + 1
    try:
        envelope = _decode_envelope(body)
    except codec.DecodeError as error:
        state._skipped_count += 1
        return [fold_outcomes.Rejected(record=None, reason=str(error), offset=offset)]
    if not state._accept_sequence(envelope.writer, envelope.sequence):
        return []
    result = []
    for index, fields in enumerate(envelope.records):
        context = RecordContext(
            offset=offset,
            writer=envelope.writer,
            sequence=envelope.sequence,
            index=index,
        )
        result.append(_apply_record(state, fields, context))
    state._evict_past_writer()
    return result


def _apply_record(state, fields, context):
    try:
        record = _decode_record(fields)
    except codec.DecodeError as error:
        state._skipped_count += 1
        return _make_rejected(fields, str(error), context)
    try:
        reason = fold_record(record, state, context)
    except Exception as error:
        # Without this, a record whose handler raises would stop every entry instance,
        # and stop it again after each restart. All of them skip the record instead.
        state._fault_count += 1
        return _make_rejected(record, f"fault in the fold: {error!r}", context)
    if reason:
        return _make_rejected(record, reason, context)
    return fold_outcomes.Accepted(
        record=record,
        offset=context.offset,
        writer=context.writer,
        sequence=context.sequence,
        index=context.index,
        ended=tuple(context.ended),
    )


def _make_rejected(record, reason, context):
    return fold_outcomes.Rejected(
        record=record,
        reason=reason,
        offset=context.offset,
        writer=context.writer,
        sequence=context.sequence,
        index=context.index,
    )


def _index_by_name(publishers):
    if hasattr(publishers, "values"):
        return dict(publishers)
    return {publisher.name: publisher for publisher in publishers}


def _decode_envelope(body):
    try:
        envelope = codec.decode(body)
    except codec.DecodeError:
        raise
    except Exception as error:
        # The conversion raises other types for values that are cyclic or deeply nested.
        raise codec.DecodeError(f"not convertible: {type(error).__name__}") from error
    if not isinstance(envelope, messages.Envelope):
        raise codec.DecodeError(
            f"expected an Envelope, found {type(envelope).__name__}"
        )
    if not envelope.writer:
        raise codec.DecodeError("the writer is empty")
    if not 1 <= envelope.sequence <= MAX_INTEGER:
        raise codec.DecodeError("the sequence is not from 1 to 2**63 - 1")
    return envelope


def _decode_record(fields):
    try:
        record = codec.from_map(fields)
    except codec.DecodeError:
        raise
    except Exception as error:
        raise codec.DecodeError(f"not convertible: {type(error).__name__}") from error
    _check_numbers(record)
    return record


@functools.cache
def _field_names(record_type):
    return tuple(field.name for field in dataclasses.fields(record_type))


def _check_numbers(record):
    """Raise ``DecodeError`` for infinite, NaN and too large numbers.

    Such numbers cannot be compared, printed or stored by all libraries.
    """
    for name in _field_names(type(record)):
        value = getattr(record, name)
        if isinstance(value, int):
            valid = -MAX_INTEGER <= value <= MAX_INTEGER
        elif isinstance(value, float):
            valid = math.isfinite(value)
        else:
            continue
        if not valid:
            place = f"{type(record).__name__}: {name}"
            raise codec.DecodeError(f"{place} is not finite or beyond 63 bits")
    for row in getattr(record, "rows", ()):
        _check_numbers(row)


@functools.singledispatch
def fold_record(record, state, context):
    """Fold one record; the handler is chosen by the type of the record.

    Parameters
    ----------
    record : object
        Message of the control stream.
    state : State
        Changed in place if the record is accepted.
    context : RecordContext
        Position of the record in the stream; collects the sessions that it ends.

    Returns
    -------
    str
        Why the record is rejected; empty if it is accepted.
    """
    return f"{type(record).__name__} is no record of the control stream"


@fold_record.register
def _(record: messages.SessionOpened, state, context):
    reason = state.sessions.open(record, context)
    state._apply_session_ends(context.ended)
    if not reason:
        state.shares.rebalance(state.sessions.live_ids())
    return reason


@fold_record.register
def _(record: messages.SessionHeartbeat, state, context):
    return state.sessions.record_heartbeat(record, context)


@fold_record.register
def _(record: messages.SessionSuspected, state, context):
    reason = state.sessions.record_vote(record, context)
    state._apply_session_ends(context.ended)
    return reason


@fold_record.register
def _(record: messages.SessionClosed, state, context):
    reason = state.sessions.close(record, context)
    if reason:
        return reason
    state.keys.mark_claims_unknown(record.session)
    state.fleet.forget_session(record.session, context)
    state._apply_session_ends(context.ended)
    state.shares.free_session_units(record.session, state.sessions.live_ids())
    return ""


@fold_record.register
def _(record: messages.SessionFenced, state, context):
    reason = state.sessions.fence(record)
    if not reason:
        state.shares.free_session_units(record.session, state.sessions.live_ids())
    return reason


@fold_record.register
def _(record: messages.SessionSettled, state, context):
    reason = state.sessions.settle(record)
    if not reason:
        state.fleet.forget_session(record.session, context)
    return reason


@fold_record.register
def _(record: messages.SheetPublished, state, context):
    before = state.configuration
    reason = state.sheets.publish(record, context)
    if state.configuration is not before:
        state.fleet.assign_pools(state.configuration, context)
        state._update_capacities()
    return reason


@fold_record.register
def _(record: messages.InstanceObserved, state, context):
    reason = state.fleet.update_instance(record, state.configuration, context)
    if not reason:
        state._update_slots_capacity(record.instance)
    return reason


@fold_record.register
def _(record: messages.OperationStarted, state, context):
    sessions = list(state.sessions.entries)
    sheets = map(state.sheets.get, sheets_module.AUTHORITIES)
    day = max((sheet.day for sheet in sheets if sheet is not None), default="")
    return state.fleet.start_operation(
        record, state.configuration, sessions, context, day=day
    )


@fold_record.register
def _(record: messages.DrainReported, state, context):
    reason = state.sessions.check_writer(record.session, context.writer)
    return reason or state.fleet.report_drain(record, context)


@fold_record.register
def _(record: messages.InstanceStopped, state, context):
    operation = state.fleet.operations.get(record.operation)
    reason = state.fleet.stop_instance(record, state.configuration, context)
    if not reason:
        state._update_slots_capacity(operation.instance)
    return reason


@fold_record.register
def _(record: messages.InstanceReturned, state, context):
    return _end_operation(state.fleet.complete_reboot, record, state, context)


@fold_record.register
def _(record: messages.MoveCompleted, state, context):
    return _end_operation(state.fleet.complete_move, record, state, context)


@fold_record.register
def _(record: messages.OperationCancelled, state, context):
    return _end_operation(state.fleet.cancel_operation, record, state, context)


def _end_operation(change, record, state, context):
    """Fold a record that ends an operation, and update its instance's slots."""
    operation = state.fleet.operations.get(record.operation)
    reason = change(record, state.configuration, context)
    if not reason:
        state._update_slots_capacity(operation.instance)
    return reason


@fold_record.register
def _(record: messages.SharesReleased, state, context):
    reason = state.sessions.check_writer(record.session, context.writer)
    return reason or state.shares.release(record, state.sessions.live_ids())


@fold_record.register
def _(record: messages.KeyClaimed, state, context):
    reason = state.sessions.check_writer(record.session, context.writer)
    return reason or state.keys.claim(record)


@fold_record.register
def _(record: messages.KeyReleased, state, context):
    reason = state.sessions.check_writer(record.session, context.writer)
    return reason or state.keys.release(record)


@fold_record.register
def _(record: messages.KeyFinished, state, context):
    reason = state.sessions.check_writer(record.session, context.writer)
    return reason or state.keys.finish(record)


@fold_record.register
def _(record: messages.KeysExpired, state, context):
    return state.keys.expire(record)


@fold_record.register
def _(record: messages.JobAccepted, state, context):
    return state.jobs.accept(record, context)


@fold_record.register
def _(record: messages.JobPlaced, state, context):
    return state.jobs.place(record)


@fold_record.register
def _(record: messages.JobFinished, state, context):
    return state.jobs.finish(record)


@fold_record.register
def _(record: messages.JobFailed, state, context):
    return state.jobs.fail(record)


@fold_record.register
def _(record: messages.JobCheckpointed, state, context):
    return state.jobs.checkpoint(record)


@fold_record.register
def _(record: messages.JobCancelled, state, context):
    return state.jobs.cancel(record)


@fold_record.register
def _(record: messages.SnapshotChunk, state, context):
    # Chunks are read by snapshot.Assembler; they do not change a state that was folded.
    return ""
