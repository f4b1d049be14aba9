"""Property tests: decoders of what other programs have written.

Each decoder gets any bytes, and valid content of which one to three fields were
changed. It returns its result or the reason why there is none, and raises nothing.
"""

import base64
import ipaddress
import json
import logging
import os
import struct
import unittest

from hypothesis import HealthCheck, example, given, settings
from hypothesis import strategies as st

from cranberryport import codec
from cranberryport.platform import (
    advice,
    bodies,
    configuration,
    executors,
    front,
    machines,
    store,
    submissions,
)
from cranberryport.scheduling import executors as scheduling_executors
from cranberryport.scheduling import instances, model
from tests import scripted

# The examples of CI are the same in each run; a long run with others is started by hand
# with UNTRUSTED_INPUT_EXAMPLES=20000 in the environment.
EXAMPLES = int(os.environ.get("UNTRUSTED_INPUT_EXAMPLES", "300"))
each_content = settings(
    max_examples=EXAMPLES,
    derandomize="UNTRUSTED_INPUT_EXAMPLES" not in os.environ,
    deadline=None,
    # The first examples take seconds on a busy machine.
    suppress_health_check=[HealthCheck.too_slow],
)

ENTRY = {
    "Service": "s",
    "Address": "127.0.0.1:80",
    "Zone": "a",
    "State": "draining",
    "RemainingMs": 500,
    "Capacity": {"Cpu": 1000, "MemMb": 5, "Gpu": 0},
    "Labels": ["a", "r1-2"],
    "born": 77,
}
WAVE = {"Wave": 3, "Machines": ["m1"], "DurationS": 20, "Maximum": 2}
RUNS = {
    "ClockMs": 5,
    "born": 77,
    "Reason": "room",
    "Running": [["j.0.0.0", 1, "", 40, 1000]],
    "Finished": [[1, "j.0.0.1", 1, "done", ""]],
}
CONFIGURATION = {
    "Version": 4,
    "Routes": [
        {
            "Name": "q",
            "Host": "h.example",
            "PathPrefix": "/p/",
            "Service": "s",
            "Priority": 0,
            "MaxAttempts": 3,
            "StretchFactor": 1.6,
            "TargetLatencyMs": 600,
            "Recommendation": {"DecideMs": 5, "PeriodMs": 1, "ValidMs": 900},
        }
    ],
    "Services": [{"Name": "s", "Standby": False}],
    "Tenants": [
        {"Name": "t", "Weight": 2.0, "ApiKeys": ["k"], "Maximum": {"Cpu": 1000}}
    ],
}
MACHINE_LIST = {
    "Machines": [
        {
            "Machine": "m1",
            "Pool": "s",
            "State": "up",
            "Id": "e1",
            "Zone": "a",
            "Labels": ["a", "r1-2"],
            "Capacity": {"Cpu": 1000, "MemMb": 5, "Gpu": 0},
        }
    ],
    "NextToken": "",
}
JOB = {
    "Spec": "x",
    "StartAtMs": 5,
    "IntervalMs": 10,
    "RepeatCount": 3,
    "Steps": [
        {"Count": 2, "Cpu": 500, "MemMb": 5, "EstimateMs": 900, "AntiAffinity": 1},
        {
            "Count": 1,
            "DependsOn": [0],
            "LongRunning": True,
            "MaxUnavailable": 1,
            "TargetMs": 30,
            "Requirements": "a",
            "DataLocality": "r1-2",
            "Image": "i",
        },
    ],
}
PAGE = {
    "items": [{"Key": "a", "Value": base64.b64encode(b"v").decode(), "Offset": 1}],
    "HasMore": False,
    "EndOffset": 2,
}
JOINED = {"Generation": 3, "parts": [["control", 0, 5], ["control", 4, 0]]}
PERMITS = {"Permitted": [["e1", "ticket"]], "ValidMs": 900}

MALFORMED_TEXTS = st.sampled_from(
    ("127.0.0.1:99999", "127.0.0.1:0", "a.example:1", "9" * 5000, "")
)
MALFORMED_NUMBERS = st.sampled_from((-1, 10**9, 2**63, 10**400, -(10**30), 1e308))
MALFORMED_VALUES = (
    st.none()
    | st.booleans()
    | st.integers()
    | st.floats(allow_nan=False, allow_infinity=False)
    | st.text(max_size=6)
    | st.lists(st.integers() | st.text(max_size=3), max_size=3)
    | st.dictionaries(st.text(max_size=3), st.integers(), max_size=2)
)
MALFORMED_BYTES = st.binary(max_size=60) | st.sampled_from(
    (b"[" * 100_000, b'{"a":' * 50_000, b'{"born": 1e999}', b"null", b"\xff", b"{}")
)


def _places(value, path=()):
    """Return the paths of all values within a value."""
    found = [path] if path else []
    if isinstance(value, dict):
        pairs = value.items()
    elif isinstance(value, list):
        pairs = enumerate(value)
    else:
        pairs = ()
    for key, inner in pairs:
        found += _places(inner, (*path, key))
    return found


def _with(valid, **fields):
    """Return valid content with some fields replaced."""
    return json.dumps(valid | fields).encode()


def _malformed_like(value):
    """Return a strategy for malformed values of the type of a value."""
    if isinstance(value, str):
        return MALFORMED_TEXTS
    if isinstance(value, int | float):
        return MALFORMED_NUMBERS
    return MALFORMED_VALUES


@st.composite
def changed(draw, valid):
    """Draw valid content in which one to three values are replaced or removed."""
    fields = json.loads(json.dumps(valid))
    for _ in range(draw(st.integers(1, 3))):
        path = draw(st.sampled_from(_places(fields) or [("a",)]))
        holder = fields
        for key in path[:-1]:
            holder = holder[key]
        previous = holder.get(path[-1]) if isinstance(holder, dict) else None
        malformed = (
            _malformed_like(previous) if draw(st.booleans()) else MALFORMED_VALUES
        )
        if isinstance(holder, dict) and draw(st.integers(0, 3)) == 0:
            holder.pop(path[-1], None)
        else:
            holder[path[-1]] = draw(malformed)
    return json.dumps(fields).encode()


@st.composite
def content(draw, valid):
    """Draw content that another program may have written."""
    return draw(MALFORMED_BYTES if draw(st.integers(0, 4)) == 0 else changed(valid))


def _ask(client_type, method, answer, *arguments, **keywords):
    """Call a client's method whose exchange has the given answer; return its result."""
    results = []
    client = client_type(
        connections=scripted.FakePool(answer, scripted.no_answer()),
        address=("127.0.0.1", 1),
        **({"holder": "h"} if client_type is machines.InstanceClient else {}),
    )
    getattr(client, method)(*arguments, callback=results.append, **keywords)
    (result,) = results
    return result


class UntrustedInputTest(unittest.TestCase):
    """Guards against a malformed record or message that ends a reader."""

    def setUp(self):
        """Keep the log lines about malformed content from the output."""
        logging.disable(logging.CRITICAL)
        self.addCleanup(logging.disable, logging.NOTSET)

    @given(value=content(ENTRY))
    @example(value=_with(ENTRY, Address="127.0.0.1:99999"))
    @example(value=_with(ENTRY, born=10**400))
    @each_content
    def test_entry_of_an_executor(self, value):
        """An entry is an executor that can be called, or invalid."""
        found = executors.parse_entry("e1", value, 10.0)
        if isinstance(found, bodies.Invalid):
            self.assertLessEqual(len(found.reason), 2 * bodies.REASON_LIMIT_CHARACTERS)
            return
        self.assertIsInstance(found, scheduling_executors.Executor)
        host, port = found.address
        ipaddress.IPv4Address(host)
        self.assertTrue(1 <= port <= 65535)
        for capacity in (found.processors, found.memory, found.accelerators):
            self.assertTrue(0 <= capacity <= bodies.NUMBER_LIMIT)

    @given(value=content(WAVE))
    @example(value=_with(WAVE, DurationS=10**400))
    @each_content
    def test_wave(self, value):
        """A wave has instances and a number of them that may be down."""
        found = machines.parse_wave(value, 10.0)
        if not isinstance(found, bodies.Invalid):
            self.assertIsInstance(found, instances.Wave)
            self.assertGreaterEqual(found.max_down, 1)

    @given(value=content(CONFIGURATION))
    @each_content
    def test_configuration(self, value):
        """A configuration finds routes, or is not readable."""
        found = configuration.parse(value)
        if found is not None:
            found.find_route("h.example", "/p/x")
            self.assertGreaterEqual(len(found.key_table), 0)

    @given(value=content(RUNS), status=st.sampled_from((200, 409, 421, 503)))
    @example(value=_with(RUNS, Reason=[]), status=409)
    @example(value=_with(RUNS, Finished=[["1", "j.0.0.1", 1, "done", ""]]), status=200)
    @each_content
    def test_answer_of_an_executor(self, value, status):
        """The runs of an executor have names and numbers, or there is no response."""
        found = executors.parse_response(scripted.answer(status, body=value or b"-"))
        if isinstance(found, executors.ExecutorResponse):
            for row in (*found.running, *found.finished):
                self.assertIs(type(row.run), int)
                self.assertIsInstance(row.task, str)

    @given(value=content(MACHINE_LIST))
    @example(value=_with(MACHINE_LIST, Machines=[{"Machine": "m", "State": {}}]))
    @each_content
    def test_list_of_instances(self, value):
        """The callback of a list is always called."""
        answer = scripted.answer(body=value or b"-")
        pool = scripted.FakePool(answer, scripted.no_answer())
        client = machines.InstanceClient(
            connections=pool, address=("127.0.0.1", 1), holder="h"
        )
        results = []
        client.list_instances(results.append)
        self.assertEqual(len(results), 1)

    @given(value=content(PAGE))
    @example(value=_with(PAGE, items=[], HasMore=True))
    @example(value=_with(PAGE, items=[{"Key": 5}]))
    @each_content
    def test_page_of_newest_records(self, value):
        """Newest records have keys of text, or there is no response."""
        answer = scripted.answer(body=value or b"-")
        found = _ask(store.StoreClient, "read_newest", answer, "t", timeout_s=1.0)
        if isinstance(found, store.NewestRecords):
            for key, content_of_key in found.records:
                self.assertIsInstance(key, str)
                self.assertIsInstance(content_of_key, bytes)

    @given(value=content(JOINED))
    @each_content
    def test_membership(self, value):
        """A member has a generation and numbers of partitions."""
        found = _ask(
            store.StoreClient,
            "join",
            scripted.answer(body=value or b"-"),
            "g",
            "m",
            "control",
            ttl_s=1.5,
            generation=0,
            timeout_s=1.0,
        )
        if isinstance(found, store.GroupMembership):
            self.assertGreater(found.generation, 0)
            self.assertTrue(all(isinstance(n, int) for n in found.partitions))

    @given(value=content({"rows": [["control", 0, "127.0.0.1:7#x", 5]]}))
    @each_content
    def test_owners(self, value):
        """Owners are names by number of the partition."""
        answer = scripted.answer(body=value or b"-")
        found = _ask(store.StoreClient, "list_owners", answer, "g", timeout_s=1.0)
        if isinstance(found, store.PartitionOwners):
            self.assertTrue(all(isinstance(n, str) for n in found.members.values()))

    @given(value=content({"Offset": 3, "EndOffset": 4, "Sequence": 2, "Reason": "seq"}))
    @each_content
    def test_answer_to_an_append(self, value):
        """An append has whole numbers."""
        for status in (200, 409, 500):
            answer = scripted.answer(status, body=value or b"-")
            found = _ask(store.StoreClient, "append", answer, "t", [], timeout_s=1.0)
            if isinstance(found, store.Appended):
                self.assertIs(type(found.end), int)

    @given(value=content(PERMITS))
    @each_content
    def test_permits(self, value):
        """Tickets are texts."""
        answer = scripted.answer(body=value or b"-")
        found = _ask(
            advice.AdviceClient, "request_permits", answer, "j.0.0", [], timeout_s=1.0
        )
        if found is not None:
            self.assertTrue(all(isinstance(t, str) for t in found.tickets.values()))

    @given(data=st.binary(max_size=80), position=st.integers(0, 5))
    @each_content
    def test_records_of_a_read(self, data, position):
        """Any bytes are records, or there is no response."""
        body = struct.pack(">QQ", 9, 0) + data
        found = _ask(
            store.StoreClient,
            "read",
            scripted.answer(body=body),
            "t",
            position,
            wait_s=0,
        )
        if isinstance(found, store.Records):
            self.assertEqual(found.next, position + len(found.records))

    @given(value=content(JOB))
    @example(value=_with(JOB, RepeatCount=10**9, IntervalMs=10**12))
    @example(value=_with(JOB, StartAtMs=10**400))
    @each_content
    def test_job(self, value):
        """A job of a caller can be scheduled, or has one error of limited length."""
        try:
            job = submissions.parse_job(
                "a" * 16, value, queue="q", service="s", now_unix_s=1e9
            )
        except submissions.InvalidJob as error:
            self.assertLess(len(str(error)), 1000)
            return
        self.assertIsInstance(job, model.Job)
        self.assertLessEqual(
            job.occurrence_count, submissions.REPEATS_LIMIT, "RepeatCount is limited"
        )

    @given(value=st.binary(max_size=20) | st.just(b"9" * 6000))
    @each_content
    def test_deadline_of_a_caller(self, value):
        """A deadline is a time of at most a minute."""
        found = front._read_deadline_s({front.DEADLINE_HEADER: value})
        self.assertTrue(0 <= found <= front.DEADLINE_LIMIT_S)

    @given(value=MALFORMED_BYTES)
    @each_content
    def test_record_of_this_program(self, value):
        """A record is a message, or cannot be decoded."""
        try:
            codec.decode(value)
        except codec.DecodeError as error:
            self.assertTrue(str(error))
