"""Make the messages of a control stream of a chosen size, for the capacity benchmarks.

The messages describe open sessions, a published sheet, instances, idempotency keys and
jobs. They are encoded as the daemons encode them, so that the fold accepts them.
"""

import dataclasses
import hashlib

from cranberryport import codec
from cranberryport.generated import messages
from cranberryport.sheet import signing

PUBLICATION_DAY = "2030-01-02"
VALID_UNTIL = 4e9
ANSWER_BODY_BYTES = 1_024
DATA_CENTRE_COUNT = 8
INSTANCES_PER_RACK = 20
INSTANCES_PER_ENVELOPE = 10
KEYS_PER_ENVELOPE = 10
OWNER = signing.Publisher(name="owner", authority="owner", key=b"k" * 32)
PUBLISHERS = {"owner": OWNER}


@dataclasses.dataclass(kw_only=True, slots=True, frozen=True)
class Size:
    """Numbers of the objects that the stream describes.

    Attributes
    ----------
    sessions, instances, pools, teams : int
        Open sessions, backend server instances, pools, and teams with a quota.
    reboots : int
        Instances with a ``maintenance`` row in the sheet; -1 for all.
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


class EnvelopeWriter:
    """Encodes records into envelopes of one session and appends them to a list.

    Parameters
    ----------
    name : str
        Session id.
    bodies : list of bytes
        Receives the encoded envelopes; several writers may share it.
    """

    def __init__(self, *, name, bodies):
        self.name = name
        self._bodies = bodies
        self._sequence = 0

    def write(self, *records):
        """Append one envelope with the records."""
        self._sequence += 1
        envelope = messages.Envelope(
            writer=self.name,
            sequence=self._sequence,
            records=[codec.to_map(record) for record in records],
        )
        self._bodies.append(codec.encode(envelope))


def make_stream(size):
    """Return the encoded envelopes of a stream and the writers of its sessions.

    Parameters
    ----------
    size : Size
        Numbers of the objects that the stream describes.

    Returns
    -------
    tuple of (list of bytes, list of EnvelopeWriter)
        All sessions are open and all instances ``live``. Further records written with
        a writer are appended to the same list.
    """
    bodies = []
    names = [f"{number:032x}" for number in range(size.sessions)]
    writers = [EnvelopeWriter(name=name, bodies=bodies) for name in names]
    for writer in writers:
        writer.write(_make_session_opened(writer.name))
    writers[0].write(make_publication(size, expected_version=0))
    for start in range(0, size.instances, INSTANCES_PER_ENVELOPE):
        numbers = range(start, min(start + INSTANCES_PER_ENVELOPE, size.instances))
        writers[0].write(*(make_observation(size, number) for number in numbers))
    for start in range(0, size.keys, KEYS_PER_ENVELOPE):
        writer = writers[start // KEYS_PER_ENVELOPE % len(writers)]
        numbers = range(start, min(start + KEYS_PER_ENVELOPE, size.keys))
        writer.write(*(make_claim(number, writer.name) for number in numbers))
        writer.write(*(make_answer(number, writer.name) for number in numbers))
    for number in range(size.jobs):
        writer = writers[number % len(writers)]
        writer.write(make_job(size, number, writer.name))
    return bodies, writers


def make_sheet_rows(size):
    """Return the sheet rows for every pool, instance and team of the size."""
    settings = []
    for number in range(size.pools):
        settings.append(("pool", f"pool-{number}", "service", f"service-{number}"))
        settings.append(("pool", f"pool-{number}", "max_unavailable", "2"))
    for number in range(size.instances):
        pool = f"pool-{number % size.pools}"
        settings.append(("instance", f"instance-{number}", "pool", pool))
        if size.reboots < 0 or number < size.reboots:
            settings.append(("instance", f"instance-{number}", "maintenance", "reboot"))
    for number in range(size.teams):
        settings.append(("desk", f"team-{number}", "quota", "8"))
    # Row 1 of a sheet file is its heading.
    return [
        messages.SheetRow(
            row=row, subject=subject, name=name, setting=setting, value=value, note=""
        )
        for row, (subject, name, setting, value) in enumerate(settings, 2)
    ]


def make_publication(size, *, expected_version, publisher=OWNER):
    """Return a signed publication of the sheet for the size.

    Parameters
    ----------
    size : Size
        Numbers of pools, instances and teams in the sheet.
    expected_version : int
        Version of the authority's sheet that the publication replaces; 0 for none.
    publisher : signing.Publisher
        Whose name and key sign it.
    """
    record = messages.SheetPublished(
        publication=f"publication-{expected_version}",
        publisher=publisher.name,
        authority="owner",
        day=PUBLICATION_DAY,
        until=VALID_UNTIL,
        expected_version=expected_version,
        rows=make_sheet_rows(size),
        signature="",
    )
    record.signature = signing.sign(record, publisher.key)
    return record


def make_observation(size, number, status="live"):
    """Return the observation of one instance in the platform's instance list."""
    data_centre = number % DATA_CENTRE_COUNT
    return messages.InstanceObserved(
        instance=f"instance-{number}",
        service=f"service-{number % size.pools}",
        host="127.0.0.1",
        port=1,
        data_centre=f"dc{data_centre}",
        rack=f"dc{data_centre}-rack{number // DATA_CENTRE_COUNT // INSTANCES_PER_RACK}",
        slots=8,
        status=status,
    )


def make_claim(number, session):
    """Return the record with which a session claims an idempotency key."""
    return messages.KeyClaimed(
        key=f"key-{number:032d}",
        session=session,
        digest=hashlib.sha256(str(number).encode()).hexdigest(),
        service="service-0",
        issued=1e9 + number,
    )


def make_answer(number, session):
    """Return the record that stores the answer for an idempotency key."""
    digest = hashlib.sha256(str(number).encode()).digest()
    return messages.KeyFinished(
        key=f"key-{number:032d}",
        session=session,
        status=200,
        headers=[["content-type", "application/json"]],
        body=digest * (ANSWER_BODY_BYTES // len(digest)),
        truncated=False,
    )


def make_job(size, number, session):
    """Return the record that accepts a job with a payload of 256 characters."""
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


def _make_session_opened(session):
    return messages.SessionOpened(
        session=session, instance=session, data_centre="dc0", host="127.0.0.1", port=1
    )
