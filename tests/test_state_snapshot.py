"""Tests of :mod:`cranberryport.state.snapshot`."""

import dataclasses
import unittest

import hypothesis
from hypothesis import strategies

from cranberryport.state import fold, snapshot
from tests import control_stream, interleavings


def folded(state, bodies, start=0):
    """Fold the bodies from an offset on and return the state."""
    for offset, body in list(enumerate(bodies))[start:]:
        fold.apply_envelope(state, offset, body)
    return state


def without_counters(state):
    """Return the plain state without what counts envelopes."""
    value = state.to_plain()
    counters = ("position", "skipped", "sequences")
    return {key: value[key] for key in value if key not in counters}


class SnapshotTest(unittest.TestCase):
    """A restart must give the state that living instances have."""

    @hypothesis.settings(derandomize=True, deadline=None, max_examples=300)
    @hypothesis.given(interleavings.SEEDS, strategies.integers(0, 100))
    def test_restart_from_anywhere_gives_the_full_fold(self, seed, cut):
        stream, steps = interleavings.stream_for(seed)
        for step in steps:
            interleavings.send(stream, *step)
        publishers = control_stream.PUBLISHERS
        first = folded(fold.State(publishers=publishers), stream.bodies[:cut])
        parts = snapshot.make_chunks(first, snapshot="s", chunk_bytes=200)
        state = snapshot.restore(parts, publishers=publishers)
        folded(state, stream.bodies, state.position)
        self.assertEqual(state.to_plain(), stream.state.to_plain())
        self.assertEqual(snapshot.encode(state), snapshot.encode(stream.state))
        self.assertEqual(state.configuration.pools, stream.state.configuration.pools)
        # Neither repeated envelopes nor the chunks change a living state.
        before = without_counters(stream.state)
        for body in list(stream.bodies):
            self.assertEqual(stream.append_body(body)[1:], [])
        stream.append("a", *parts)
        self.assertEqual(without_counters(stream.state), before)


class AssemblerTest(unittest.TestCase):
    """A snapshot with a gap after it, or with a part missing, must not be used."""

    def setUp(self):
        self.stream = control_stream.Stream("ab")
        self.base = self.stream.state.position
        self.parts = snapshot.make_chunks(
            self.stream.state, snapshot="s", chunk_bytes=100
        )

    def assemble(self, first=0):
        assembler = snapshot.Assembler()
        for offset, body in list(enumerate(self.stream.bodies))[first:]:
            assembler.feed(offset, body)
        return assembler

    def test_newest_complete_snapshot_is_found(self):
        self.stream.append("a", *self.parts[1:])
        self.assertIsNone(self.assemble().newest())
        self.stream.append_body(b"noise")
        self.stream.append("a", self.parts[0])
        self.assertEqual(self.assemble().newest(), self.parts)
        newer = snapshot.make_chunks(self.stream.state, snapshot="t", chunk_bytes=100)
        self.stream.append("b", *newer, *self.parts)
        self.assertEqual(self.assemble().newest(), newer)

    def test_base_before_the_earliest_record_is_not_used(self):
        self.stream.accept("a", "SessionHeartbeat")
        self.stream.append("a", *self.parts)
        self.assertEqual(self.assemble(self.base).newest(), self.parts)
        self.assertIsNone(self.assemble(self.base + 1).newest())
        self.assertIsNone(self.assemble(self.base).newest(earliest=self.base + 1))

    def test_chunks_that_do_not_fit_are_passed_over(self):
        changes = [{"count": 99}, {"index": 99}, {"index": -1}, {"base": 1}]
        changes.append({"snapshot": "future", "base": 10**6, "count": 1})
        wrong = [dataclasses.replace(self.parts[0], **change) for change in changes]
        self.stream.append("a", self.parts[0], *wrong, *self.parts[1:])
        self.assertEqual(self.assemble().newest(), self.parts)

    def test_damaged_snapshot_raises_one_error(self):
        moved = [dataclasses.replace(part, base=1) for part in self.parts]
        for damaged in (self.parts[:-1], moved):
            with self.assertRaises(snapshot.SnapshotError):
                snapshot.restore(damaged, publishers=control_stream.PUBLISHERS)
