"""Publishing a sheet: append it to the log and read back what became of it."""

import dataclasses
import time
import uuid

from cranberryport import codec
from cranberryport.command_line import client
from cranberryport.generated import messages
from cranberryport.sheet import signing

RECORD_LIMIT_BYTES = 1024 * 1024
RETRY_INTERVAL_S = 0.5
READ_BACK_INTERVAL_S = 0.2


@dataclasses.dataclass(kw_only=True, slots=True)
class Accepted:
    """The publication came into force; a later one may have replaced it since."""

    version: int


@dataclasses.dataclass(kw_only=True, slots=True)
class Rejected:
    """The publication changed nothing."""

    reason: str


@dataclasses.dataclass(kw_only=True, slots=True)
class Undecided:
    """It is not known whether the publication took effect."""

    reason: str


def current_version(instance, authority):
    """Return the version of an authority's sheet that an entry instance knows."""
    sheet = _sheet_page(instance)
    return sheet[authority]["version"]


def make_publication(*, sheet, publisher, key, day, until, expected_version):
    """Return a signed publication.

    Parameters
    ----------
    sheet : reader.Sheet
        Without errors.
    publisher : str
        Name of the publisher.
    key : bytes
        The publisher's key.
    day : str
        ISO date.
    until : float
        Unix time at which the day's intent ends.
    expected_version : int
        Version in force.

    Returns
    -------
    messages.SheetPublished
        With a new random id.
    """
    publication = messages.SheetPublished(
        publication=uuid.uuid4().hex,
        publisher=publisher,
        authority=sheet.authority,
        day=day,
        until=float(until),
        expected_version=expected_version,
        rows=sheet.rows,
        signature="",
    )
    publication.signature = signing.sign(publication, key)
    return publication


def publish(publication, *, log, stream, instance, timeout_s):
    """Append a publication and wait for its outcome.

    Parameters
    ----------
    publication : messages.SheetPublished
        Signed.
    log, instance : client.Address
        The platform's log, and the entry instance for the read-back.
    stream : str
        Stream of the log.
    timeout_s : float
        Time for everything.

    Returns
    -------
    Accepted, Rejected or Undecided
        Accepted only after read-back.
    """
    envelope = messages.Envelope(
        writer=uuid.uuid4().hex, sequence=1, records=[codec.to_map(publication)]
    )
    body = codec.encode(envelope)
    if len(body) > RECORD_LIMIT_BYTES:
        size = f"{len(body)} bytes; allowed: at most {RECORD_LIMIT_BYTES}"
        return Rejected(reason=f"not sent: the record has {size}")
    deadline = time.monotonic() + timeout_s
    offset, failure, may_have_run = _append(log, stream, body, deadline)
    if offset is None and not may_have_run:
        return Rejected(reason=f"not appended to the log: {failure}")
    return _read_back(publication, instance, offset, failure, deadline)


def _append(log, stream, body, deadline):
    """Return offset or None, the last failure, and whether an append may exist."""
    may_have_run = False
    path = f"/streams/{stream}/records"
    while True:
        try:
            limit = min(client.TIMEOUT_S, max(1.0, deadline - time.monotonic()))
            answer = client.send_request(log, "POST", path, body=body, timeout_s=limit)
            if answer.status in (200, 201):
                return _offset(log, answer.json()), "", True
            failure = f"the log answered with status {answer.status}"
            if answer.status < 500:
                return None, failure, may_have_run
            # An error status may follow an append that took effect.
            may_have_run = True
        except client.RequestError as error:
            failure = str(error)
            may_have_run = may_have_run or error.may_have_run
        # The same bytes again: the fold drops a repeated writer and sequence.
        if time.monotonic() + RETRY_INTERVAL_S > deadline:
            return None, failure, may_have_run
        time.sleep(RETRY_INTERVAL_S)


def _offset(log, value):
    if isinstance(value, dict) and isinstance(value.get("offset"), int):
        return value["offset"]
    text = f"{log} answered an append without an offset"
    raise client.RequestError(text, may_have_run=True)


def _read_back(publication, instance, offset, failure, deadline):
    while True:
        try:
            outcome = _outcome(publication, _sheet_page(instance), offset)
        except client.RequestError as error:
            outcome, failure = None, str(error)
        if outcome is not None:
            return outcome
        if time.monotonic() + READ_BACK_INTERVAL_S > deadline:
            reason = failure or f"{instance} has not read it from the log in time"
            return Undecided(reason=reason)
        time.sleep(READ_BACK_INTERVAL_S)


def _outcome(publication, page, offset):
    present = page[publication.authority]
    if present["publication"] == publication.publication:
        return Accepted(version=present["version"])
    for entry in page.get("accepted", []):
        # A later publication can be in force already.
        if entry["publication"] == publication.publication:
            return Accepted(version=entry["version"])
    for entry in page.get("rejected", []):
        if entry["publication"] == publication.publication:
            return Rejected(reason=entry["reason"])
    if offset is not None and present["version"] > offset:
        version = present["version"]
        reason = f"a later publication, version {version}, is in force already"
        return Undecided(reason=reason)
    return None


def _sheet_page(instance):
    page = client.get_json_page(instance, "/-/sheet")
    try:
        for authority in ("owner", "team"):
            # Looked up here, so that a page without them is one clear error.
            page[authority]["version"], page[authority]["publication"]
    except (KeyError, TypeError):
        text = f"{instance} gave a page without the versions of both sheets"
        raise client.RequestError(text, may_have_run=False) from None
    return page
