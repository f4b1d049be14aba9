"""Tests of :mod:`cranberryport.state.fold`."""

import unittest
from unittest import mock

import cbor2
import hypothesis
from hypothesis import strategies

from cranberryport import codec
from cranberryport.generated import messages
from cranberryport.state import fold
from tests import control_stream, interleavings

HEARTBEAT = messages.SessionHeartbeat(session="a", position=7)
SCALARS = strategies.sampled_from(["a", b"a", -1, 0, 2.5, None, True, 2**63, 2**80])
MAPS = strategies.dictionaries(strategies.text(max_size=3), SCALARS, max_size=3)
VALUES = SCALARS | strategies.lists(SCALARS | MAPS, max_size=3)


@strategies.composite
def records(draw):
    """Draw a record of a known kind in which some values are arbitrary."""
    handled = draw(strategies.sampled_from(list(fold.fold_record.registry)[1:]))
    fields = codec.to_map(control_stream.make_message(handled.__name__))
    for name in draw(strategies.sets(strategies.sampled_from(sorted(fields)))):
        fields[name] = draw(VALUES)
    return fields


class FoldTest(unittest.TestCase):
    """Every entry instance must reach the same state, whatever the log contains."""

    def setUp(self):
        self.stream = control_stream.Stream("a")
        self.state = self.stream.state

    def test_repeated_envelope_is_not_folded_again(self):
        claim = control_stream.make_message("KeyClaimed", key="k", session="a")
        body = control_stream.make_envelope("a", 4, claim)
        (outcome,) = self.stream.append_body(body)
        self.assertEqual((outcome.writer, outcome.sequence, outcome.index), ("a", 4, 0))
        self.stream.accept("a", "KeyReleased", key="k")
        self.assertEqual(self.stream.append_body(body), [])
        self.assertIsNone(self.state.keys.get("k"))
        body = control_stream.make_envelope("a", 9, HEARTBEAT)
        self.assertEqual(fold.apply_envelope(self.state, 0, body), [])

    def test_invalid_record_does_not_affect_others_in_its_envelope(self):
        good = codec.to_map(HEARTBEAT)
        hello = codec.to_map(messages.PeerHello(session="a", instance="a"))
        infinite = {"kind": "KeysExpired", "issued_before": float("inf")}
        maps = [{"kind": "Nothing"}, {**good, "position": 2**63}, infinite, hello, good]
        body = {"kind": "Envelope", "writer": "a", "sequence": 2, "records": maps}
        result = self.stream.append_body(cbor2.dumps(body))
        reasons = [getattr(outcome, "reason", "") for outcome in result]
        texts = ["unknown kind", "63 bits", "63 bits", "no record of the control", ""]
        for reason, text in zip(reasons, texts, strict=True):
            self.assertIn(text, reason)
        self.assertEqual(self.state.sessions.get("a").position, 7)
        self.assertEqual(self.state.skipped_count, 3)

    def test_damaged_envelopes_are_skipped_and_counted(self):
        cycle = {"kind": "Envelope", "writer": "a", "sequence": 2}
        cycle["records"] = cycle
        bodies = [codec.encode(HEARTBEAT), b"\x81" * 100_000]
        bodies.append(cbor2.dumps(cycle, value_sharing=True))
        for writer, sequence in (("", 1), ("a", 0), ("a", 2**63)):
            bodies.append(control_stream.make_envelope(writer, sequence, HEARTBEAT))
        for body in bodies:
            (outcome,) = self.stream.append_body(body)
            self.assertIsNone(outcome.record)
        self.assertEqual(self.state.skipped_count, len(bodies))

    def test_record_whose_handler_raises_is_skipped_and_counted(self):
        with mock.patch.object(type(self.state.jobs), "accept", side_effect=KeyError):
            self.assertIn("fault", self.stream.reject("a", "JobAccepted"))
        self.assertEqual(self.state.fault_count, 1)

    def test_only_writers_without_a_session_are_evicted(self):
        with mock.patch.object(fold, "PAST_WRITERS_KEPT", 2):
            for writer in "xyxz":
                self.stream.accept(writer, "JobAccepted", job=writer)
        kept = [self.state.last_sequence(writer) for writer in "axyz"]
        self.assertEqual(kept, [1, 2, 0, 1])

    @hypothesis.settings(derandomize=True, deadline=None, max_examples=1_000)
    @hypothesis.given(
        strategies.binary(max_size=200),
        strategies.lists(records() | MAPS, max_size=8),
    )
    def test_arbitrary_bytes_and_records_never_raise(self, body, maps):
        stream = control_stream.Stream("a")
        stream.append_body(body)
        body = {"kind": "Envelope", "writer": "a", "sequence": 2, "records": maps}
        self.assertEqual(len(stream.append_body(cbor2.dumps(body))), len(maps))
        self.assertEqual((stream.state.position, stream.state.fault_count), (3, 0))
        self.assertTrue(cbor2.dumps(stream.state.to_plain()))

    @hypothesis.settings(derandomize=True, deadline=None, max_examples=1_000)
    @hypothesis.given(interleavings.SEEDS)
    def test_invariants_hold_in_every_interleaving(self, seed):
        stream, steps = interleavings.make_stream(seed)
        invariants = interleavings.Invariants(self, stream)
        for step in steps:
            invariants.check(interleavings.append_step(stream, *step))
