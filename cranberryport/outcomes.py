"""Outcomes of a caller's request: answered, not run, or unknown.

A request that may have run is never reported as not run: a caller that repeats it could
run the work twice.
"""

import dataclasses

ANSWERED = "answered"
NOT_RUN = "not-run"
UNKNOWN = "unknown"


@dataclasses.dataclass(kw_only=True, slots=True)
class Answered:
    """The complete response of a backend server.

    Attributes
    ----------
    status : int
        Status code of the backend server.
    headers : list of (bytes, bytes)
        Headers of the backend server without hop-by-hop headers.
    body : bytes
        The complete body.
    """

    status: int
    headers: list[tuple[bytes, bytes]]
    body: bytes


@dataclasses.dataclass(kw_only=True, slots=True)
class NotRun:
    """It is certain that the work did not run.

    Attributes
    ----------
    status : int
        Status code for the caller.
    reason : str
        Text for the caller, one sentence.
    retry_after_s : float or None
        Seconds after which the caller may try again (``Retry-After``); None for none.
    """

    status: int
    reason: str
    retry_after_s: float | None = None


@dataclasses.dataclass(kw_only=True, slots=True)
class Unknown:
    """It is not known whether the work ran.

    Attributes
    ----------
    status : int
        Status code for the caller.
    reason : str
        Text for the caller, one sentence.
    """

    status: int
    reason: str


Outcome = Answered | NotRun | Unknown
