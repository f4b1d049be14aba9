"""A caller's request inside the daemon."""

import dataclasses

from circuits import Event

SAFE_METHODS = frozenset({"GET", "HEAD", "OPTIONS"})

REQUEST_CLASSES = ("rush", "interactive", "batch")


@dataclasses.dataclass(kw_only=True, slots=True, eq=False)
class CallerRequest:
    """A request that passed the checks of the front end.

    Attributes
    ----------
    id : str
        Random id, returned to the caller as ``Request-Id``.
    service : str
        Name of the service, the first part of the path.
    desk : str
        Tenant.
    request_class : {'rush', 'interactive', 'batch'}
        Priority class.
    method, target : str
        For the backend server; the target has no service prefix.
    headers : list of (bytes, bytes)
        End-to-end headers.
    body : bytes
        The whole body.
    deadline, arrived : float
        Monotonic seconds.
    key : str or None
        Idempotency key; None if the request may be repeated.
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
        """Whether the method may be repeated after it may have run."""
        return self.method in SAFE_METHODS


class submit(Event):
    """Hand a :class:`CallerRequest` to the dispatcher.

    Parameters
    ----------
    request : CallerRequest
    """


class cancel(Event):
    """Tell the dispatcher that the caller is gone.

    Parameters
    ----------
    request : CallerRequest
    """


class outcome(Event):
    """Give the outcome of a request to the front end.

    Parameters
    ----------
    request : CallerRequest
    outcome : Answered, NotRun or Unknown
    """
