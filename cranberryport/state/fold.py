"""The fold of the control stream: records in offset order give the state."""

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

FORMAT = 1
# Writers without an open session whose last sequence is kept. An append is sent again
# within minutes; at 72 replaced instances a day this reaches back two weeks.
PAST_WRITERS_KEPT = 1_000
# Larger numbers are of no use and would not fit other CBOR libraries.
LARGEST_INTEGER = 2**63 - 1


class State:
    """Everything that the instances agree on.

    Parameters
    ----------
    publishers : dict of str to signing.Publisher, or iterable of signing.Publisher
        Who may publish sheets; the same on every instance.
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
        self._publishers = _by_name(publishers)
        self._position = 0
        self._skipped_count = 0
        self._fault_count = 0
        # Writer to last sequence; writers without an open session are ordered by their
        # last envelope.
        self._sequences = {}
        self._sessions = sessions_module.Sessions()
        self._sheets = sheets_module.Sheets(publishers=self._publishers)
        self._fleet = fleet_module.Fleet()
        self._shares = shares_module.Shares()
        self._keys = keys_module.IdempotencyKeys()
        self._jobs = jobs_module.Jobs()

    @property
    def position(self):
        """Next offset to fold."""
        return self._position

    @property
    def skipped_count(self):
        """Number of envelopes and records that could not be decoded."""
        return self._skipped_count

    @property
    def fault_count(self):
        """Number of records whose handler raised; each is a fault in the code."""
        return self._fault_count

    @property
    def sessions(self):
        """The :class:`sessions.Sessions`."""
        return self._sessions

    @property
    def sheets(self):
        """The :class:`sheets.Sheets`."""
        return self._sheets

    @property
    def configuration(self):
        """The :class:`merge.Configuration` in force."""
        return self._sheets.configuration

    @property
    def fleet(self):
        """The :class:`fleet.Fleet`."""
        return self._fleet

    @property
    def shares(self):
        """The :class:`shares.Shares`."""
        return self._shares

    @property
    def keys(self):
        """The :class:`keys.IdempotencyKeys`."""
        return self._keys

    @property
    def jobs(self):
        """The :class:`jobs.Jobs`."""
        return self._jobs

    def skip_to(self, offset):
        """Go on at a later offset, as the records before it have expired unread."""
        self._position = max(self._position, offset)

    def held_units(self, session, resource):
        """Return the units that a session holds of a resource."""
        return self._shares.held_units(session, resource)

    def surplus(self, session):
        """Return the units by resource that a session stops using and releases."""
        return self._shares.surplus(session, self._sessions.live_ids())

    def last_sequence(self, writer):
        """Return the last folded sequence of a writer, 0 if none is kept."""
        return self._sequences.get(writer, 0)

    def to_plain(self):
        """Return maps, lists and scalars that :meth:`from_plain` takes."""
        return {
            "format": FORMAT,
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
        """Return the state for plain values.

        Raises
        ------
        KeyError, TypeError, ValueError
            If the values are not those of a state of this format.
        """
        if value["format"] != FORMAT:
            raise ValueError(f"unknown format {value['format']!r}; valid: {FORMAT}")
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
        """Return whether an envelope is new, and note it."""
        if sequence <= self._sequences.get(writer, 0):
            return False
        self._sequences.pop(writer, None)
        self._sequences[writer] = sequence
        return True

    def _forget_writers(self):
        limit = PAST_WRITERS_KEPT + len(self._sessions.entries)
        if len(self._sequences) <= limit:
            return
        past = (key for key in self._sequences if self._sessions.get(key) is None)
        del self._sequences[next(past)]

    def _refresh_slots(self, instance):
        """Bring the capacity of an instance's slots up to date."""
        entry = self._fleet.get(instance)
        capacity = self._slot_capacity(entry) if entry else 0
        name = shares_module.slots_resource(instance)
        self._shares.set_capacity(name, capacity, self._sessions.live_ids())

    def _slot_capacity(self, entry):
        """Return the slots of an instance; the sheet's number outranks the list's."""
        configuration = self.configuration
        service = configuration.services.get(configuration.pool(entry.pool).service)
        return service.slots_per_instance if service else max(0, entry.slots)

    def _refresh_capacities(self):
        for instance in sorted(self._fleet.instances):
            self._refresh_slots(instance)
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

    def _end_sessions(self, ended):
        """Apply the end of sessions: claims become unknown, targets grow."""
        for session in ended:
            self._keys.drop_session(session)
        if ended:
            self._shares.rebalance(self._sessions.live_ids())


@dataclasses.dataclass(kw_only=True, slots=True)
class Context:
    """Where a record stands.

    Attributes
    ----------
    offset, writer, sequence, index
        As in :class:`fold_outcomes.Accepted`.
    ended : list of str
        Sessions that the record has ended; handlers append to it.
    """

    offset: int
    writer: str
    sequence: int
    index: int
    ended: list[str] = dataclasses.field(default_factory=list)


def apply_envelope(state, offset, body):
    """Fold one envelope.

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
        One for each record; one :class:`fold_outcomes.Rejected` without record for a
        damaged envelope; empty for a repeated envelope and for an offset that was
        folded before.
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
        context = Context(
            offset=offset,
            writer=envelope.writer,
            sequence=envelope.sequence,
            index=index,
        )
        result.append(_apply_record(state, fields, context))
    state._forget_writers()
    return result


def _apply_record(state, fields, context):
    try:
        record = _decode_record(fields)
    except codec.DecodeError as error:
        state._skipped_count += 1
        return _rejected(fields, str(error), context)
    try:
        reason = fold_record(record, state, context)
    except Exception as error:
        # A record that makes the fold raise would stop every instance, and again after
        # each restart. All instances skip it in the same way instead.
        state._fault_count += 1
        return _rejected(record, f"fault in the fold: {error!r}", context)
    if reason:
        return _rejected(record, reason, context)
    return fold_outcomes.Accepted(
        record=record,
        offset=context.offset,
        writer=context.writer,
        sequence=context.sequence,
        index=context.index,
        ended=tuple(context.ended),
    )


def _rejected(record, reason, context):
    return fold_outcomes.Rejected(
        record=record,
        reason=reason,
        offset=context.offset,
        writer=context.writer,
        sequence=context.sequence,
        index=context.index,
    )


def _by_name(publishers):
    if hasattr(publishers, "values"):
        return dict(publishers)
    return {publisher.name: publisher for publisher in publishers}


def _decode_envelope(body):
    try:
        envelope = codec.decode(body)
    except codec.DecodeError:
        raise
    except Exception as error:
        # Values with a cycle or deep nesting fail in the conversion, not in the codec.
        raise codec.DecodeError(f"not convertible: {type(error).__name__}") from error
    if not isinstance(envelope, messages.Envelope):
        raise codec.DecodeError(
            f"expected an Envelope, found {type(envelope).__name__}"
        )
    if not envelope.writer:
        raise codec.DecodeError("the writer is empty")
    if not 1 <= envelope.sequence <= LARGEST_INTEGER:
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
    """Raise for numbers that cannot be compared, printed or stored everywhere."""
    for name in _field_names(type(record)):
        value = getattr(record, name)
        if isinstance(value, int):
            valid = -LARGEST_INTEGER <= value <= LARGEST_INTEGER
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
    """Fold one record.

    Parameters
    ----------
    record : object
        Message of the control stream.
    state : State
        Changed in place if the record is accepted.
    context : Context
        Where the record stands.

    Returns
    -------
    str
        Why the record is rejected; empty if it is accepted.
    """
    return f"{type(record).__name__} is no record of the control stream"


@fold_record.register
def _(record: messages.SessionOpened, state, context):
    reason = state.sessions.open(record, context)
    state._end_sessions(context.ended)
    if not reason:
        state.shares.rebalance(state.sessions.live_ids())
    return reason


@fold_record.register
def _(record: messages.SessionHeartbeat, state, context):
    return state.sessions.beat(record, context)


@fold_record.register
def _(record: messages.SessionSuspected, state, context):
    reason = state.sessions.suspect(record, context)
    state._end_sessions(context.ended)
    return reason


@fold_record.register
def _(record: messages.SessionClosed, state, context):
    reason = state.sessions.close(record, context)
    if reason:
        return reason
    state.keys.drop_session(record.session)
    state.fleet.drop_session(record.session, context)
    state._end_sessions(context.ended)
    state.shares.drop_session(record.session, state.sessions.live_ids())
    return ""


@fold_record.register
def _(record: messages.SessionFenced, state, context):
    reason = state.sessions.fence(record)
    if not reason:
        state.shares.drop_session(record.session, state.sessions.live_ids())
    return reason


@fold_record.register
def _(record: messages.SessionSettled, state, context):
    reason = state.sessions.settle(record)
    if not reason:
        state.fleet.drop_session(record.session, context)
    return reason


@fold_record.register
def _(record: messages.SheetPublished, state, context):
    before = state.configuration
    reason = state.sheets.publish(record, context)
    if state.configuration is not before:
        state.fleet.assign_pools(state.configuration, context)
        state._refresh_capacities()
    return reason


@fold_record.register
def _(record: messages.InstanceObserved, state, context):
    reason = state.fleet.observe(record, state.configuration, context)
    if not reason:
        state._refresh_slots(record.instance)
    return reason


@fold_record.register
def _(record: messages.OperationStarted, state, context):
    sessions = list(state.sessions.entries)
    sheets = map(state.sheets.get, sheets_module.AUTHORITIES)
    day = max((sheet.day for sheet in sheets if sheet is not None), default="")
    return state.fleet.start(record, state.configuration, sessions, context, day=day)


@fold_record.register
def _(record: messages.DrainReported, state, context):
    reason = state.sessions.check_actor(record.session, context.writer)
    return reason or state.fleet.report_drain(record, context)


@fold_record.register
def _(record: messages.InstanceStopped, state, context):
    operation = state.fleet.operations.get(record.operation)
    reason = state.fleet.stop(record, state.configuration, context)
    if not reason:
        state._refresh_slots(operation.instance)
    return reason


@fold_record.register
def _(record: messages.InstanceReturned, state, context):
    return _complete(state.fleet.complete_reboot, record, state, context)


@fold_record.register
def _(record: messages.MoveCompleted, state, context):
    return _complete(state.fleet.complete_move, record, state, context)


@fold_record.register
def _(record: messages.OperationCancelled, state, context):
    return _complete(state.fleet.cancel, record, state, context)


def _complete(change, record, state, context):
    operation = state.fleet.operations.get(record.operation)
    reason = change(record, state.configuration, context)
    if not reason:
        state._refresh_slots(operation.instance)
    return reason


@fold_record.register
def _(record: messages.SharesReleased, state, context):
    reason = state.sessions.check_actor(record.session, context.writer)
    return reason or state.shares.release(record, state.sessions.live_ids())


@fold_record.register
def _(record: messages.KeyClaimed, state, context):
    reason = state.sessions.check_actor(record.session, context.writer)
    return reason or state.keys.claim(record)


@fold_record.register
def _(record: messages.KeyReleased, state, context):
    reason = state.sessions.check_actor(record.session, context.writer)
    return reason or state.keys.release(record)


@fold_record.register
def _(record: messages.KeyFinished, state, context):
    reason = state.sessions.check_actor(record.session, context.writer)
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
    # Chunks are read before the fold starts; for a living state they are no news.
    return ""
