"""Snapshots: the state cut into records of the control stream, and back."""

import cbor2

from cranberryport import codec
from cranberryport.generated import messages
from cranberryport.state import fold

# Half of the log's largest body, which leaves room for the envelope.
CHUNK_BYTES = 512 * 1024
# Bounds the memory that damaged chunks can take: 2 GiB of state is far above need.
LARGEST_COUNT = 4_096
# A log holds about three snapshots within its retention; more would only take memory.
COMPLETE_KEPT = 3


class SnapshotError(ValueError):
    """Chunks that give no state; the text says why."""


def encode(state):
    """Return the canonical CBOR of a state; equal states give equal bytes."""
    return cbor2.dumps(state.to_plain(), canonical=True)


def make_chunks(state, *, snapshot, chunk_bytes=CHUNK_BYTES):
    """Cut a state into records.

    Parameters
    ----------
    state : fold.State
        Its position becomes the base of the snapshot.
    snapshot : str
        Random id.
    chunk_bytes : int
        Largest size of the data of one record in bytes.

    Returns
    -------
    list of messages.SnapshotChunk
        At least one record.
    """
    data = encode(state)
    starts = range(0, len(data), chunk_bytes)
    return [
        messages.SnapshotChunk(
            snapshot=snapshot,
            base=state.position,
            index=index,
            count=len(starts),
            data=data[start : start + chunk_bytes],
        )
        for index, start in enumerate(starts)
    ]


def restore(snapshot_chunks, *, publishers=()):
    """Return the state of a snapshot.

    Parameters
    ----------
    snapshot_chunks : list of messages.SnapshotChunk
        All chunks of one snapshot in order.
    publishers : dict of str to signing.Publisher, or iterable of signing.Publisher
        As for :class:`fold.State`; keys are never part of a snapshot.

    Returns
    -------
    fold.State
        Folding goes on at its position, the base of the snapshot.

    Raises
    ------
    SnapshotError
        If the data is damaged or of another format.
    """
    data = b"".join(chunk.data for chunk in snapshot_chunks)
    try:
        state = fold.State.from_plain(cbor2.loads(data), publishers=publishers)
    except Exception as error:
        # Damaged data fails in many places with unrelated types.
        raise SnapshotError(f"snapshot is damaged: {error!r}") from error
    if state.position != snapshot_chunks[0].base:
        raise SnapshotError(
            f"snapshot has position {state.position}; "
            f"expected: base {snapshot_chunks[0].base}"
        )
    return state


class Assembler:
    """Finds snapshots in the retained records.

    Records are fed in offset order from the earliest retained one.
    """

    __slots__ = ("_complete", "_first", "_open")

    def __init__(self):
        self._first = None
        # Snapshot id to its chunks by index.
        self._open = {}
        # Newest base first.
        self._complete = []

    def feed(self, offset, body):
        """Take one record of the control stream.

        Parameters
        ----------
        offset : int
            Offset of the envelope.
        body : bytes
            The encoded envelope; a damaged one is passed over.
        """
        if self._first is None:
            self._first = offset
        for chunk in _chunks_of(body):
            self._add(offset, chunk)

    def candidates(self, *, earliest=None):
        """Return the usable snapshots, newest base first.

        Parameters
        ----------
        earliest : int, optional
            Earliest retained offset, if it has moved on since the first record fed.

        Returns
        -------
        list of list of messages.SnapshotChunk
            The newest complete snapshots whose base has every later record retained.
            One that :func:`restore` refuses can be passed over for the next.
        """
        if earliest is None:
            earliest = self._first or 0
        return [found for found in self._complete if found[0].base >= earliest]

    def newest(self, *, earliest=None):
        """Return the first of :meth:`candidates`, or None."""
        found = self.candidates(earliest=earliest)
        return found[0] if found else None

    def _add(self, offset, chunk):
        # A state cannot include records that follow its own snapshot.
        if not self._first <= chunk.base <= offset:
            return
        if not 0 <= chunk.index < chunk.count <= LARGEST_COUNT:
            return
        parts = self._open.setdefault(chunk.snapshot, {})
        known = next(iter(parts.values()), chunk)
        if (known.base, known.count) != (chunk.base, chunk.count):
            return
        parts.setdefault(chunk.index, chunk)
        if len(parts) == chunk.count:
            del self._open[chunk.snapshot]
            self._complete.append([parts[index] for index in range(chunk.count)])
            # The sort is stable: of two snapshots of one base the first is taken.
            self._complete.sort(key=lambda found: -found[0].base)
            del self._complete[COMPLETE_KEPT:]


def _chunks_of(body):
    try:
        envelope = codec.decode(body)
        records = envelope.records if isinstance(envelope, messages.Envelope) else []
    except Exception:
        # The fold counts damaged envelopes; here only chunks matter.
        return []
    return [chunk for chunk in map(_chunk, records) if chunk is not None]


def _chunk(fields):
    if fields.get(codec.KIND_FIELD) != messages.SnapshotChunk.__name__:
        return None
    try:
        return codec.from_map(fields)
    except Exception:
        return None
