"""Caller requests, and the events that pass them between front end and dispatcher."""

import dataclasses

from circuits import Event

SAFE_METHODS = frozenset({"GET", "HEAD", "OPTIONS"})

REQUEST_CLASSES = ("rush", "interactive", "batch")


@dataclasses.dataclass(kw_only=True, slots=True, eq=False)
class CallerRequest:
    """A caller's request that has passed the checks of the front end.

    Attributes
    ----------
    id : str
        Random id, returned to the caller as ``Request-Id``.
    service : str
        Name of the service, the first segment of the path.
    desk : str
        Name of the desk (tenant).
    request_class : {'rush', 'interactive', 'batch'}
        Priority class.
    method, target : str
        Method and target for the backend server; the target has no service prefix.
    headers : list of (bytes, bytes)
        End-to-end headers, with names in lower case.
    body : bytes
        Complete body.
    deadline, arrived : float
        Monotonic times of the deadline and of the arrival.
    key : str or None
        Idempotency key, if the caller gave one.
    """

    id: str
    service: str
    desk: str
    request_class: str
    method: str
    target: str
    headers: list[tuple[bytes, bytes]]
    body: bytes
    deadline: float
    arrived: float
    key: str | None = None

    @property
    def is_safe(self):
        """Whether the request may be sent again although it may have run."""
        return self.method in SAFE_METHODS


class submit(Event):
    """Pass a request to the dispatcher.

    Parameters
    ----------
    request : CallerRequest
    """


class cancel(Event):
    """Notify the dispatcher that the caller has disconnected.

    Parameters
    ----------
    request : CallerRequest
    """


class outcome(Event):
    """Pass the outcome of a request to the front end.

    Parameters
    ----------
    request : CallerRequest
    outcome : Answered, NotRun or Unknown
    """
