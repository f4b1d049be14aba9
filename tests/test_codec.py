"""Tests of :mod:`cranberryport.codec`."""

import dataclasses
import unittest

import cbor2
import hypothesis
from hypothesis import strategies as st

from cranberryport import codec
from cranberryport.generated import messages

STORED = (
    messages.JobStored,
    messages.ProgressStored,
    messages.DividedProgressStored,
    messages.TasksStored,
    messages.UnansweredStartsStored,
    messages.CancelStored,
    messages.WaveStored,
    messages.OrdersStored,
    messages.CrashesStored,
)
TIMES = st.floats(0, 1e12, allow_nan=False)
TASKS = st.lists(
    st.tuples(
        *(st.integers(0, 99) for _ in range(5)),
        st.booleans(),
        st.text(max_size=8),
        st.lists(st.lists(st.integers(0, 9) | st.text(), max_size=2)),
    ).map(list),
    max_size=3,
)
STEPS = st.lists(
    st.builds(messages.StepStored, estimate_s=TIMES, tail_target_ms=TIMES), max_size=3
)
CRASH_HISTORIES = st.lists(
    st.builds(messages.CrashHistoryStored, longest_age_s=TIMES), max_size=3
)
# What the types of the fields do not say. No field holds NaN, which equals nothing.
FIELDS = {
    messages.JobStored: {
        "steps": STEPS,
        "accepted_at": TIMES,
        "first_due": TIMES,
        "interval_s": TIMES,
    },
    messages.CrashesStored: {"tasks": CRASH_HISTORIES},
    messages.ProgressStored: {"tasks": TASKS, "ended_at": TIMES},
    messages.DividedProgressStored: {"ended_at": TIMES},
    messages.TasksStored: {"tasks": TASKS},
    messages.CancelStored: {"at": TIMES},
    messages.OrdersStored: {"sent": st.dictionaries(st.text(max_size=5), TIMES)},
}


class CodecTest(unittest.TestCase):
    """Messages survive encoding, and other data is rejected."""

    def test_round_trip_keeps_bytes_and_nested_messages(self):
        """Guards against bytes or rows that come back as another type."""
        row = messages.SheetRow(
            row=2, subject="pool", name="sizing", setting="spare", value="no", note=""
        )
        sheet = messages.SheetPublished(
            publication="p1",
            publisher="ana",
            authority="team",
            day="2026-12-04",
            until=1.5,
            expected_version=0,
            rows=[row],
            signature="00",
        )
        chunk = messages.SnapshotChunk(
            snapshot="s", base=4, index=0, count=1, data=b"\x00\xff"
        )
        for message in (sheet, chunk):
            with self.subTest(kind=type(message).__name__):
                self.assertEqual(codec.decode(codec.encode(message)), message)

    def test_invalid_data_is_rejected_with_the_reason(self):
        """Guards against data that is taken for a message although it is not one."""
        valid = codec.to_map(messages.SessionClosed(session="s"))
        cases = {
            "not CBOR": b"\xff\xff",
            "expected a map": cbor2.dumps([1]),
            "unknown kind 'Nothing'": cbor2.dumps({**valid, "kind": "Nothing"}),
            "unknown fields extra": cbor2.dumps({**valid, "extra": 1}),
            "$.session": cbor2.dumps({**valid, "session": 7}),
            "missing required": cbor2.dumps({"kind": "SessionClosed"}),
        }
        for text, data in cases.items():
            with self.subTest(text=text):
                with self.assertRaises(codec.DecodeError) as caught:
                    codec.decode(data)
                self.assertIn(text, str(caught.exception))


class StoredRecordsTest(unittest.TestCase):
    """Records that the controller and the entry instances store for each other."""

    @hypothesis.given(data=st.data(), kind=st.sampled_from(STORED))
    @hypothesis.settings(derandomize=True, deadline=None, max_examples=200)
    def test_round_trip_keeps_every_field(self, data, kind):
        """Guards against progress that a successor reads as another one."""
        message = data.draw(st.builds(kind, **FIELDS.get(kind, {})))
        self.assertEqual(codec.decode(codec.encode(message)), message)

    @hypothesis.given(data=st.data(), kind=st.sampled_from(STORED))
    @hypothesis.settings(derandomize=True, deadline=None, max_examples=200)
    def test_record_with_a_changed_byte_is_a_message_or_an_error(self, data, kind):
        """Guards against a damaged record that ends a takeover."""
        message = data.draw(st.builds(kind, **FIELDS.get(kind, {})))
        encoded = bytearray(codec.encode(message))
        encoded[data.draw(st.integers(0, len(encoded) - 1))] = data.draw(
            st.integers(0, 255)
        )
        try:
            found = codec.decode(bytes(encoded))
        except codec.DecodeError:
            return
        self.assertTrue(dataclasses.is_dataclass(found))
