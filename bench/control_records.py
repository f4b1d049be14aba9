"""Bodies of a control stream of a chosen size, for the capacity benchmarks."""

import dataclasses
import hashlib

from cranberryport import codec
from cranberryport.generated import messages
from cranberryport.sheet import signing

DAY = "2030-01-02"
UNTIL = 4e9
ANSWER_BYTES = 1_024
DATA_CENTRES = 8
RACK_SIZE = 20
INSTANCES_PER_ENVELOPE = 10
KEYS_PER_ENVELOPE = 10
OWNER = signing.Publisher(name="owner", authority="owner", key=b"k" * 32)
PUBLISHERS = {"owner": OWNER}


@dataclasses.dataclass(kw_only=True, slots=True, frozen=True)
class Size:
    """What the stream describes.

    Attributes
    ----------
    sessions, instances, pools, teams : int
        Numbers of each.
    reboots : int
        Instances with a maintenance row; -1 for all.
    keys, jobs : int
        Finished idempotency keys and unfinished jobs.
    """

    sessions: int = 8
    instances: int = 60
    pools: int = 10
    teams: int = 120
    reboots: int = -1
    keys: int = 0
    jobs: int = 0


class Writer:
    """Appends envelopes of one session to a list.

    Parameters
    ----------
    name : str
        Session id.
    bodies : list of bytes
        Gets the encoded envelopes.
    """

    def __init__(self, *, name, bodies):
        self.name = name
        self._bodies = bodies
        self._sequence = 0

    def write(self, *records):
        """Append one envelope."""
        self._sequence += 1
        envelope = messages.Envelope(
            writer=self.name,
            sequence=self._sequence,
            records=[codec.to_map(record) for record in records],
        )
        self._bodies.append(codec.encode(envelope))


def make_stream(size):
    """Return bodies and the writers that can go on.

    Parameters
    ----------
    size : Size
        What the stream describes.

    Returns
    -------
    tuple of (list of bytes, list of Writer)
        The sessions are open; the sheet is in force; nothing is down.
    """
    bodies = []
    names = [f"{number:032x}" for number in range(size.sessions)]
    writers = [Writer(name=name, bodies=bodies) for name in names]
    for writer in writers:
        writer.write(_opened(writer.name))
    writers[0].write(publication(size, expected_version=0))
    for first in range(0, size.instances, INSTANCES_PER_ENVELOPE):
        numbers = range(first, min(first + INSTANCES_PER_ENVELOPE, size.instances))
        writers[0].write(*(observation(size, number) for number in numbers))
    for first in range(0, size.keys, KEYS_PER_ENVELOPE):
        writer = writers[first // KEYS_PER_ENVELOPE % len(writers)]
        numbers = range(first, min(first + KEYS_PER_ENVELOPE, size.keys))
        writer.write(*(claim(number, writer.name) for number in numbers))
        writer.write(*(answer(number, writer.name) for number in numbers))
    for number in range(size.jobs):
        writer = writers[number % len(writers)]
        writer.write(job(size, number, writer.name))
    return bodies, writers


def sheet_rows(size):
    """Return rows for every pool, instance and team."""
    triples = []
    for number in range(size.pools):
        triples.append(("pool", f"pool-{number}", "service", f"service-{number}"))
        triples.append(("pool", f"pool-{number}", "max_unavailable", "2"))
    for number in range(size.instances):
        pool = f"pool-{number % size.pools}"
        triples.append(("instance", f"instance-{number}", "pool", pool))
        if size.reboots < 0 or number < size.reboots:
            triples.append(("instance", f"instance-{number}", "maintenance", "reboot"))
    for number in range(size.teams):
        triples.append(("desk", f"team-{number}", "quota", "8"))
    return [
        messages.SheetRow(
            row=row, subject=subject, name=name, setting=setting, value=value, note=""
        )
        for row, (subject, name, setting, value) in enumerate(triples, 2)
    ]


def publication(size, *, expected_version, publisher=OWNER):
    """Return a signed publication of a sheet for the size."""
    record = messages.SheetPublished(
        publication=f"publication-{expected_version}",
        publisher=publisher.name,
        authority="owner",
        day=DAY,
        until=UNTIL,
        expected_version=expected_version,
        rows=sheet_rows(size),
        signature="",
    )
    record.signature = signing.sign(record, publisher.key)
    return record


def observation(size, number, status="live"):
    """Return what the list says of one instance."""
    centre = number % DATA_CENTRES
    return messages.InstanceObserved(
        instance=f"instance-{number}",
        service=f"service-{number % size.pools}",
        host="127.0.0.1",
        port=1,
        data_centre=f"dc{centre}",
        rack=f"dc{centre}-rack{number // DATA_CENTRES // RACK_SIZE}",
        slots=8,
        status=status,
    )


def claim(number, session):
    """Return a claim of an idempotency key."""
    return messages.KeyClaimed(
        key=f"key-{number:032d}",
        session=session,
        digest=hashlib.sha256(str(number).encode()).hexdigest(),
        service="service-0",
        issued=1e9 + number,
    )


def answer(number, session):
    """Return the answer for an idempotency key."""
    digest = hashlib.sha256(str(number).encode()).digest()
    return messages.KeyFinished(
        key=f"key-{number:032d}",
        session=session,
        status=200,
        headers=[["content-type", "application/json"]],
        body=digest * (ANSWER_BYTES // len(digest)),
        truncated=False,
    )


def job(size, number, session):
    """Return the acceptance of a job with a payload of 256 characters."""
    return messages.JobAccepted(
        job=f"{number:032x}",
        desk=f"team-{number % size.teams}",
        service=f"service-{number % size.pools}",
        request_class="batch",
        processors=2.0,
        memory_mb=2048,
        accelerators=0,
        runtime_s=600.0,
        payload=f"{number:0256d}",
        deadline=0.0,
        by=session,
    )


def _opened(session):
    return messages.SessionOpened(
        session=session, instance=session, data_centre="dc0", host="127.0.0.1", port=1
    )
