"""Events between the log writer and its users."""

import dataclasses

from circuits import Event


@dataclasses.dataclass(kw_only=True, slots=True)
class Ticket:
    """Says to whom the outcome of an append goes.

    Attributes
    ----------
    reply_channel : str
        Channel of the :class:`decided` event.
    context : object
        Kept for the owner.
    deadline : float
        Monotonic time after which the outcome is :class:`Undecided`.
    """

    reply_channel: str
    context: object
    deadline: float


@dataclasses.dataclass(kw_only=True, slots=True)
class Undecided:
    """The record was not read back in time; it may still be folded later.

    Attributes
    ----------
    record : object
        The record that was appended.
    """

    record: object


class append(Event):
    """Append a record to the control stream; goes to channel ``log_writer``.

    Parameters
    ----------
    record : object
        Instance of a class in :mod:`cranberryport.generated.messages`.
    ticket : Ticket
        For the outcome.
    """


class decided(Event):
    """Tell the outcome of an append.

    Parameters
    ----------
    ticket : Ticket
        Of the append.
    outcome : Accepted, Rejected or Undecided
        From the read-back.
    """
