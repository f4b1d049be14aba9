"""A control stream in memory for tests, and messages with default values."""

import typing

from cranberryport import codec
from cranberryport.generated import messages
from cranberryport.sheet import signing
from cranberryport.state import fold, fold_outcomes

PUBLISHERS = {
    "olga": signing.Publisher(name="olga", authority="owner", key=b"owner key"),
    "timo": signing.Publisher(name="timo", authority="team", key=b"team key"),
}


def make_message(kind, **values):
    """Return a message of a kind.

    Fields that are not given are empty or zero, or the first literal of their type.
    """
    message_type = getattr(messages, kind)
    for name, annotation in message_type.__annotations__.items():
        choices = typing.get_args(annotation)
        origin = typing.get_origin(annotation)
        default = choices[0] if origin is typing.Literal else (origin or annotation)()
        values.setdefault(name, default)
    return message_type(**values)


def make_sheet(publication, expected, rows, *, publisher="olga", authority="owner"):
    """Return a signed ``SheetPublished``; rows are texts like ``pool p spare yes``."""
    names = ("subject", "name", "setting", "value")
    record = make_message(
        "SheetPublished",
        publication=publication,
        publisher=publisher,
        authority=authority,
        expected_version=expected,
        rows=[
            make_message(
                "SheetRow", row=number, **dict(zip(names, row.split(), strict=True))
            )
            for number, row in enumerate(rows, 2)
        ],
    )
    record.signature = signing.sign(record, PUBLISHERS[publisher].key)
    return record


def make_job(name, **changes):
    """Return a ``JobAccepted`` of a small batch job."""
    values = {
        "desk": "d",
        "service": "s",
        "request_class": "batch",
        "processors": 1.0,
        "memory_mb": 1,
        "runtime_s": 1.0,
        "payload": "p",
        "by": "a",
    }
    return make_message("JobAccepted", job=name, **{**values, **changes})


def make_envelope(writer, sequence, *records):
    """Return the encoded envelope of records."""
    maps = [codec.to_map(record) for record in records]
    return codec.encode(
        messages.Envelope(writer=writer, sequence=sequence, records=maps)
    )


class Stream:
    """A log in memory and the state folded from it.

    Parameters
    ----------
    sessions : str
        Ids of one letter; a session is opened for each.
    """

    def __init__(self, sessions=""):
        self.bodies = []
        self.state = fold.State(publishers=PUBLISHERS)
        for session in sessions:
            self.accept(session, "SessionOpened", instance=session)

    def append(self, writer, *records):
        """Append an envelope with the writer's next sequence and fold it."""
        sequence = self.state.last_sequence(writer) + 1
        return self.append_body(make_envelope(writer, sequence, *records))

    def append_body(self, body):
        """Append any bytes as an envelope and fold them."""
        self.bodies.append(body)
        return fold.apply_envelope(self.state, len(self.bodies) - 1, body)

    def send(self, writer, record, **values):
        """Append a record, or a message made of a kind and values; return its outcome.

        In a message made here the fields ``session`` and ``by`` are the writer, unless
        given.
        """
        if isinstance(record, str):
            fields = getattr(messages, record).__annotations__
            own = {name: writer for name in ("session", "by") if name in fields}
            record = make_message(record, **{**own, **values})
        return self.append(writer, record)[0]

    def accept(self, writer, record, **values):
        """Append a record that must be accepted; return its outcome."""
        outcome = self.send(writer, record, **values)
        if not isinstance(outcome, fold_outcomes.Accepted):
            raise AssertionError(f"rejected: {outcome.reason}")
        return outcome

    def reject(self, writer, record, **values):
        """Append a record that must be rejected; return the reason."""
        outcome = self.send(writer, record, **values)
        if not isinstance(outcome, fold_outcomes.Rejected):
            raise AssertionError(f"accepted: {outcome.record}")
        return outcome.reason

    def vote(self, suspect, voters):
        """Append votes against a session; return the sessions that they ended."""
        seen = self.state.sessions.get(suspect).heartbeat
        values = {"session": suspect, "heartbeat": seen}
        votes = [self.accept(by, "SessionSuspected", **values) for by in voters]
        return [session for vote in votes for session in vote.ended]
