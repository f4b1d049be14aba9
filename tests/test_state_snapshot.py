"""Tests of :mod:`cranberryport.state.snapshot`."""

import dataclasses
import unittest

import hypothesis
from hypothesis import strategies

from cranberryport.state import fold, snapshot
from tests import control_stream, interleavings


def fold_bodies(state, bodies, start=0):
    """Fold the bodies from an offset on into a state and return it."""
    for offset, body in list(enumerate(bodies))[start:]:
        fold.apply_envelope(state, offset, body)
    return state


def without_counters(state):
    """Return the plain state without the values that count envelopes."""
    value = state.to_plain()
    counters = ("position", "skipped", "sequences")
    return {key: value[key] for key in value if key not in counters}


class SnapshotTest(unittest.TestCase):
    """A process that restarts must reach the state of those that kept running."""

    @hypothesis.settings(derandomize=True, deadline=None, max_examples=300)
    @hypothesis.given(interleavings.SEEDS, strategies.integers(0, 100))
    def test_restored_state_equals_the_fold_of_the_whole_stream(self, seed, cut):
        stream, steps = interleavings.make_stream(seed)
        for step in steps:
            interleavings.append_step(stream, *step)
        publishers = control_stream.PUBLISHERS
        first = fold_bodies(fold.State(publishers=publishers), stream.bodies[:cut])
        parts = snapshot.make_chunks(first, snapshot="s", chunk_bytes=200)
        state = snapshot.restore(parts, publishers=publishers)
        fold_bodies(state, stream.bodies, state.position)
        self.assertEqual(state.to_plain(), stream.state.to_plain())
        self.assertEqual(snapshot.encode(state), snapshot.encode(stream.state))
        self.assertEqual(state.configuration.pools, stream.state.configuration.pools)
        # Folding repeated envelopes or the chunks themselves changes nothing.
        before = without_counters(stream.state)
        for body in list(stream.bodies):
            self.assertEqual(stream.append_body(body)[1:], [])
        stream.append("a", *parts)
        self.assertEqual(without_counters(stream.state), before)


class AssemblerTest(unittest.TestCase):
    """A snapshot that is incomplete or has a gap after it must not be used."""

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

    def test_snapshot_with_a_gap_after_its_base_is_not_used(self):
        self.stream.accept("a", "SessionHeartbeat")
        self.stream.append("a", *self.parts)
        self.assertEqual(self.assemble(self.base).newest(), self.parts)
        self.assertIsNone(self.assemble(self.base + 1).newest())
        self.assertIsNone(self.assemble(self.base).newest(earliest=self.base + 1))

    def test_chunks_that_contradict_others_are_skipped(self):
        changes = [{"count": 99}, {"index": 99}, {"index": -1}, {"base": 1}]
        changes.append({"snapshot": "future", "base": 10**6, "count": 1})
        wrong = [dataclasses.replace(self.parts[0], **change) for change in changes]
        self.stream.append("a", self.parts[0], *wrong, *self.parts[1:])
        self.assertEqual(self.assemble().newest(), self.parts)

    def test_damaged_snapshot_raises_a_snapshot_error(self):
        moved = [dataclasses.replace(part, base=1) for part in self.parts]
        for damaged in (self.parts[:-1], moved):
            with self.assertRaises(snapshot.SnapshotError):
                snapshot.restore(damaged, publishers=control_stream.PUBLISHERS)
