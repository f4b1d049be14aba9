"""Outcomes that callers get."""

import dataclasses

ANSWERED = "answered"
NOT_RUN = "not-run"
UNKNOWN = "unknown"


@dataclasses.dataclass(kw_only=True, slots=True)
class Answered:
    """The backend server's whole answer.

    Attributes
    ----------
    status : int
        Status code of the backend server.
    headers : list of (bytes, bytes)
        Headers of the backend server without connection headers.
    body : bytes
        The whole body.
    """

    status: int
    headers: list[tuple[bytes, bytes]]
    body: bytes


@dataclasses.dataclass(kw_only=True, slots=True)
class NotRun:
    """Proof that the work did not run.

    Attributes
    ----------
    status : int
        Status code for the caller.
    reason : str
        One clear sentence.
    retry_after_s : float or None
        Seconds after which a repeat is sensible.
    """

    status: int
    reason: str
    retry_after_s: float | None = None


@dataclasses.dataclass(kw_only=True, slots=True)
class Unknown:
    """The work may have run.

    Attributes
    ----------
    status : int
        Status code for the caller.
    reason : str
        One clear sentence.
    """

    status: int
    reason: str


Outcome = Answered | NotRun | Unknown
