"""Reads the headers that requests to services and to the jobs API have in common."""

import re

from cranberryport import outcomes

_desk_pattern = re.compile(r"[A-Za-z0-9._-]{1,64}", re.ASCII)


class BadRequest(Exception):
    """A request that is refused because of its headers or target.

    Parameters
    ----------
    status : int
        HTTP status code of the response.
    reason : str
        Sentence for the caller.
    """

    def __init__(self, *, status, reason):
        super().__init__(reason)
        self.outcome = outcomes.NotRun(status=status, reason=reason)


def read_desk_header(headers):
    """Return the value of the ``Desk`` header, which names the tenant.

    Raises
    ------
    BadRequest
        If it is missing or malformed.
    """
    desk = read_single_header(headers, "Desk")
    allowed = "allowed: 1 to 64 characters of letters, digits, '-', '_' and '.'"
    if desk is None:
        raise BadRequest(status=422, reason=f"header Desk is missing; {allowed}")
    if not _desk_pattern.fullmatch(desk):
        raise BadRequest(status=422, reason=f"Desk {desk!r}; {allowed}")
    return desk


def read_single_header(headers, name):
    """Return the value of a header that may occur only once.

    Parameters
    ----------
    headers : list of (bytes, bytes)
        Headers of the request, with names in lower case.
    name : str
        Name of the header.

    Returns
    -------
    str or None
        None if the header is missing.

    Raises
    ------
    BadRequest
        If the header occurs more than once.
    """
    lower_name = name.lower().encode("ascii")
    values = [value.decode("latin-1") for key, value in headers if key == lower_name]
    if len(values) > 1:
        shown = ", ".join(map(repr, values[:4]))
        raise BadRequest(
            status=422, reason=f"header {name} is given {len(values)} times: {shown}"
        )
    return values[0] if values else None
