"""Events and types with which components append records through the log writer."""

import dataclasses
import time
from typing import Any

from circuits import Event


@dataclasses.dataclass(kw_only=True, slots=True, eq=False)
class Ticket:
    """Identifies an appended record and says where its outcome is sent.

    Attributes
    ----------
    reply_channel : str
        Channel on which the :class:`decided` event is fired.
    context : object
        Any value of the component that appends the record.
    deadline : float
        Monotonic time after which the outcome is :class:`Undecided`.
    """

    reply_channel: str
    context: Any
    deadline: float


@dataclasses.dataclass(kw_only=True, slots=True)
class Undecided:
    """Outcome of a record that was not folded before its deadline.

    It may still be folded later.

    Attributes
    ----------
    record : object
        The record, a class of :mod:`cranberryport.generated.messages`.
    """

    record: Any


class append(Event):
    """Request to the log writer to append a record.

    Parameters
    ----------
    record : object
        Instance of a class in :mod:`cranberryport.generated.messages`.
    ticket : Ticket
        Says where the outcome is sent.
    """


class decided(Event):
    """Notification of the outcome of a record.

    Parameters
    ----------
    ticket : Ticket
        Ticket that was passed with the record.
    outcome : Accepted, Rejected or Undecided
        Accepted or rejected when it was folded, or undecided.
    """


def propose(component, record, *, context, timeout_s):
    """Append a record through the log writer.

    Parameters
    ----------
    component : circuits.BaseComponent
        Component that receives the :class:`decided` event on its channel.
    record : object
        Instance of a class in :mod:`cranberryport.generated.messages`.
    context : object
        Context of the ticket.
    timeout_s : float
        Seconds after which the outcome is :class:`Undecided`.
    """
    ticket = Ticket(
        reply_channel=component.channel,
        context=context,
        deadline=time.monotonic() + timeout_s,
    )
    component.fire(append(record, ticket), "log_writer")
