"""A control stream for tests: short constructors of records and an own log."""

import cbor2

from cranberryport import codec
from cranberryport.generated import messages
from cranberryport.sheet import signing
from cranberryport.state import fold, outcomes

PUBLISHERS = {
    "olga": signing.Publisher(name="olga", authority="owner", key=b"owner key"),
    "timo": signing.Publisher(name="timo", authority="team", key=b"team key"),
}


def envelope(writer, sequence, *records):
    """Return the body of an append."""
    maps = [codec.to_map(record) for record in records]
    return codec.encode(
        messages.Envelope(writer=writer, sequence=sequence, records=maps)
    )


def opened(session):
    """Return a SessionOpened."""
    return messages.SessionOpened(
        session=session, instance=session, data_centre="d", host="127.0.0.1", port=1
    )


def observed(instance, *, status="live", slots=8):
    """Return an InstanceObserved."""
    return messages.InstanceObserved(
        instance=instance,
        service="",
        host="127.0.0.1",
        port=1,
        data_centre="d",
        rack="r",
        slots=slots,
        status=status,
    )


def sheet(publication, expected, rows, *, publisher="olga", authority="owner"):
    """Return a signed SheetPublished; rows are (subject, name, setting, value)."""
    record = messages.SheetPublished(
        publication=publication,
        publisher=publisher,
        authority=authority,
        day="2026-12-04",
        until=0.0,
        expected_version=expected,
        rows=[
            messages.SheetRow(
                row=number,
                subject=subject,
                name=name,
                setting=setting,
                value=value,
                note="",
            )
            for number, (subject, name, setting, value) in enumerate(rows, 2)
        ],
        signature="",
    )
    record.signature = signing.sign(record, PUBLISHERS[publisher].key)
    return record


def started(operation, instance, version, *, purpose="reboot", target=""):
    """Return an OperationStarted."""
    return messages.OperationStarted(
        operation=operation,
        instance=instance,
        purpose=purpose,
        target_pool=target,
        expected_version=version,
        by="a",
    )


def claimed(key, session, *, issued=100.0):
    """Return a KeyClaimed."""
    return messages.KeyClaimed(
        key=key, session=session, digest="d", service="desk", issued=issued
    )


def finished_key(key, session):
    """Return a KeyFinished."""
    return messages.KeyFinished(
        key=key,
        session=session,
        status=200,
        headers=[["a", "b"]],
        body=b"\x00",
        truncated=False,
    )


def job(name, **changes):
    """Return a JobAccepted."""
    values = {
        "job": name,
        "desk": "d",
        "service": "s",
        "request_class": "batch",
        "processors": 1.0,
        "memory_mb": 1,
        "accelerators": 0,
        "runtime_s": 1.0,
        "payload": "p",
        "deadline": 0.0,
        "by": "a",
    }
    return messages.JobAccepted(**{**values, **changes})


class Stream:
    """A log with one reader that folds each append at once.

    Parameters
    ----------
    sessions : str
        One letter for each session to open.
    """

    def __init__(self, sessions=""):
        self.bodies = []
        self.state = fold.State(publishers=PUBLISHERS)
        self._sequences = {}
        for session in sessions:
            self.append(session, opened(session))

    def append(self, writer, *records):
        """Append an envelope with the writer's next sequence and fold it."""
        sequence = self._sequences.get(writer, 0) + 1
        self._sequences[writer] = sequence
        return self.append_body(envelope(writer, sequence, *records))

    def append_body(self, body):
        """Append any bytes and fold them."""
        self.bodies.append(body)
        return fold.apply(self.state, len(self.bodies) - 1, body)

    def accept(self, writer, record):
        """Append a record that must be accepted and return its outcome."""
        (outcome,) = self.append(writer, record)
        if not isinstance(outcome, outcomes.Accepted):
            raise AssertionError(f"rejected: {outcome.reason}")
        return outcome

    def reject(self, writer, record):
        """Append a record that must be rejected and return the reason."""
        (outcome,) = self.append(writer, record)
        if not isinstance(outcome, outcomes.Rejected):
            raise AssertionError(f"accepted: {record}")
        return outcome.reason

    def end(self, suspect, voters):
        """End a session by votes and return the outcomes' ended sessions."""
        heartbeat = self.state.sessions.get(suspect).heartbeat
        ended = ()
        for voter in voters:
            vote = messages.SessionSuspected(
                session=suspect, by=voter, heartbeat=heartbeat
            )
            ended += self.accept(voter, vote).ended
        return ended


def plain_bytes(state):
    """Return the canonical encoding of a state."""
    return cbor2.dumps(state.to_plain(), canonical=True)
