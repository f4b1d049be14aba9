"""Writes the control state as records of the control stream, and restores it.

The log keeps records for a limited time, so the state is written to it again and again
as a snapshot. A process that starts restores the newest complete snapshot and folds the
records from its base offset on.
"""

import cbor2

from cranberryport import codec
from cranberryport.generated import messages
from cranberryport.state import fold

# Half of the largest body that the log accepts, which leaves room for the envelope.
CHUNK_BYTES = 512 * 1024
# Bounds the memory that damaged chunks can claim; 2 GiB of state is far above need.
MAX_CHUNK_COUNT = 4_096
# The log keeps about three snapshots within its retention time.
COMPLETE_SNAPSHOTS_KEPT = 3


class SnapshotError(ValueError):
    """Chunks that no state can be restored from."""


def encode(state):
    """Return the canonical CBOR of a state; equal states give equal bytes."""
    return cbor2.dumps(state.to_plain(), canonical=True)


def make_chunks(state, *, snapshot, chunk_bytes=CHUNK_BYTES):
    """Divide an encoded state into records.

    Parameters
    ----------
    state : fold.State
        State to write; its position becomes the base of the snapshot.
    snapshot : str
        Random id of the snapshot.
    chunk_bytes : int
        Largest data of one record, in bytes.

    Returns
    -------
    list of messages.SnapshotChunk
        One or more records, in order of their index.
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
    """Return the state that a snapshot contains.

    Parameters
    ----------
    snapshot_chunks : list of messages.SnapshotChunk
        All chunks of one snapshot in order of their index.
    publishers : dict of str to signing.Publisher, or iterable of signing.Publisher
        As for :class:`fold.State`; the publishers' keys are not part of a snapshot.

    Returns
    -------
    fold.State
        Its position is the base of the snapshot, where folding continues.

    Raises
    ------
    SnapshotError
        If the data is damaged or has another format.
    """
    data = b"".join(chunk.data for chunk in snapshot_chunks)
    try:
        state = fold.State.from_plain(cbor2.loads(data), publishers=publishers)
    except Exception as error:
        # Damaged data raises many unrelated types.
        raise SnapshotError(f"snapshot is damaged: {error!r}") from error
    if state.position != snapshot_chunks[0].base:
        raise SnapshotError(
            f"snapshot has position {state.position}; "
            f"expected: base {snapshot_chunks[0].base}"
        )
    return state


class Assembler:
    """Collects complete snapshots from the records that the log retains.

    The records must be fed in offset order, from the earliest retained one on.
    """

    __slots__ = ("_complete", "_first_offset", "_incomplete")

    def __init__(self):
        self._first_offset = None
        # Snapshot id to the chunks of it seen so far, by index.
        self._incomplete = {}
        # Lists of chunks, those with the newest base first.
        self._complete = []

    def feed(self, offset, body):
        """Collect the chunks of one envelope of the control stream.

        Parameters
        ----------
        offset : int
            Offset of the envelope.
        body : bytes
            The encoded envelope; a damaged one is skipped.
        """
        if self._first_offset is None:
            self._first_offset = offset
        for chunk in _decode_chunks(body):
            self._add_chunk(offset, chunk)

    def candidates(self, *, earliest=None):
        """Return the usable snapshots, newest base first.

        Parameters
        ----------
        earliest : int, optional
            Earliest offset that is still retained; that of the first record fed, if
            None.

        Returns
        -------
        list of list of messages.SnapshotChunk
            Up to ``COMPLETE_SNAPSHOTS_KEPT`` complete snapshots for which every record
            from the base on is retained. If :func:`restore` raises for one, the next
            can be used.
        """
        if earliest is None:
            earliest = self._first_offset or 0
        return [found for found in self._complete if found[0].base >= earliest]

    def newest(self, *, earliest=None):
        """Return the first of :meth:`candidates`, or None."""
        found = self.candidates(earliest=earliest)
        return found[0] if found else None

    def _add_chunk(self, offset, chunk):
        # A valid base is not before the first record, which would leave a gap, and not
        # after the chunk itself, which cannot contain later records.
        if not self._first_offset <= chunk.base <= offset:
            return
        if not 0 <= chunk.index < chunk.count <= MAX_CHUNK_COUNT:
            return
        parts = self._incomplete.setdefault(chunk.snapshot, {})
        known = next(iter(parts.values()), chunk)
        if (known.base, known.count) != (chunk.base, chunk.count):
            return
        parts.setdefault(chunk.index, chunk)
        if len(parts) == chunk.count:
            del self._incomplete[chunk.snapshot]
            self._complete.append([parts[index] for index in range(chunk.count)])
            # The sort is stable: of two snapshots with one base the older stays first.
            self._complete.sort(key=lambda found: -found[0].base)
            del self._complete[COMPLETE_SNAPSHOTS_KEPT:]


def _decode_chunks(body):
    try:
        envelope = codec.decode(body)
        records = envelope.records if isinstance(envelope, messages.Envelope) else []
    except Exception:
        # Damaged envelopes are counted by the fold, so that they can be skipped here.
        return []
    return [chunk for chunk in map(_decode_chunk, records) if chunk is not None]


def _decode_chunk(fields):
    if fields.get(codec.KIND_FIELD) != messages.SnapshotChunk.__name__:
        return None
    try:
        return codec.from_map(fields)
    except Exception:
        return None
