"""Outcomes of folded records."""

import dataclasses
from typing import Any


@dataclasses.dataclass(kw_only=True, slots=True)
class Accepted:
    """A record whose precondition held.

    Attributes
    ----------
    record : object
        The message.
    offset : int
        Offset of the envelope.
    writer : str
        Session id of the envelope's writer.
    sequence : int
        The writer's number of the envelope.
    index : int
        Place of the record in the envelope, from 0.
    ended : tuple of str
        Sessions that the record has ended.
    """

    record: Any
    offset: int
    writer: str
    sequence: int
    index: int
    ended: tuple[str, ...] = ()


@dataclasses.dataclass(kw_only=True, slots=True)
class Rejected:
    """A record that changed nothing.

    Attributes
    ----------
    record : object or None
        The message; the map if it is no record, None if the envelope is damaged.
    reason : str
        Why, with the bad value and the valid ones.
    offset : int
        Offset of the envelope.
    writer : str
        Session id of the envelope's writer; empty if the envelope is damaged.
    sequence : int
        The writer's number of the envelope; 0 if the envelope is damaged.
    index : int
        Place of the record in the envelope, from 0.
    """

    record: Any
    reason: str
    offset: int
    writer: str = ""
    sequence: int = 0
    index: int = 0


Outcome = Accepted | Rejected
