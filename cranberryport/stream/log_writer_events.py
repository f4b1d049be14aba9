"""Events and types for appending records through the log writer."""

import dataclasses
import time
from typing import Any

from circuits import Event


@dataclasses.dataclass(kw_only=True, slots=True, eq=False)
class Ticket:
    """Where the outcome of a record goes.

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
    context: Any
    deadline: float


@dataclasses.dataclass(kw_only=True, slots=True)
class Undecided:
    """The record may or may not be folded later.

    Attributes
    ----------
    record : object
        The message.
    """

    record: Any


class append(Event):
    """Ask the log writer to append a record.

    Parameters
    ----------
    record : object
        Instance of a class in :mod:`cranberryport.generated.messages`.
    ticket : Ticket
        Where the outcome goes.
    """


class decided(Event):
    """The outcome of a record is known.

    Parameters
    ----------
    ticket : Ticket
        As given with the record.
    outcome : Accepted, Rejected or Undecided
    """


def propose(component, record, *, context, lifetime_s):
    """Hand a record to the log writer; the outcome comes to the component's channel.

    Parameters
    ----------
    component : circuits.BaseComponent
        Gets the :class:`decided` event on its channel.
    record : object
        Instance of a class in :mod:`cranberryport.generated.messages`.
    context : object
        Kept in the ticket.
    lifetime_s : float
        Seconds after which the outcome is :class:`Undecided`.
    """
    ticket = Ticket(
        reply_channel=component.channel,
        context=context,
        deadline=time.monotonic() + lifetime_s,
    )
    component.fire(append(record, ticket), "log_writer")
