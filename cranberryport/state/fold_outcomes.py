"""Outcomes of folding the records of the control stream."""

import dataclasses
from typing import Any


@dataclasses.dataclass(kw_only=True, slots=True)
class Accepted:
    """A record that was folded into the state.

    Attributes
    ----------
    record : object
        The message.
    offset : int
        Offset of the envelope in the control stream.
    writer : str
        Session id of the envelope's writer.
    sequence : int
        Number of the envelope among those of its writer, from 1.
    index : int
        Position of the record in the envelope, from 0.
    ended : tuple of str
        Ids of the sessions that the record has ended.
    """

    record: Any
    offset: int
    writer: str
    sequence: int
    index: int
    ended: tuple[str, ...] = ()


@dataclasses.dataclass(kw_only=True, slots=True)
class Rejected:
    """A record or envelope that was rejected and changed nothing.

    Attributes
    ----------
    record : object or None
        The message; the undecoded map if it is not a valid message; None if the
        envelope is damaged.
    reason : str
        Why it was rejected, with the invalid value and the valid ones.
    offset : int
        Offset of the envelope in the control stream.
    writer : str
        Session id of the envelope's writer; empty if the envelope is damaged.
    sequence : int
        Number of the envelope among those of its writer, from 1; 0 if the envelope is
        damaged.
    index : int
        Position of the record in the envelope, from 0.
    """

    record: Any
    reason: str
    offset: int
    writer: str = ""
    sequence: int = 0
    index: int = 0


Outcome = Accepted | Rejected
