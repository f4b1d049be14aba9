"""Publishes a sheet: appends it to the log and finds out whether it was accepted.

The log stores any publication. Entry instances accept or reject it when they read it,
so that the tool asks one of them for the outcome after the append.
"""

import dataclasses
import time
import uuid

from cranberryport import codec
from cranberryport.command_line import client
from cranberryport.generated import messages
from cranberryport.sheet import signing

# Largest record that the log accepts.
RECORD_LIMIT_BYTES = 1024 * 1024
RETRY_INTERVAL_S = 0.5
READ_BACK_INTERVAL_S = 0.2


@dataclasses.dataclass(kw_only=True, slots=True)
class Accepted:
    """The publication came into force; a later one may have replaced it already."""

    version: int


@dataclasses.dataclass(kw_only=True, slots=True)
class Rejected:
    """The publication had no effect."""

    reason: str


@dataclasses.dataclass(kw_only=True, slots=True)
class Undecided:
    """It is unknown whether the publication came into force."""

    reason: str


def current_version(instance, authority):
    """Return the version of an authority's sheet that is in force at an instance."""
    sheet_page = _get_sheet_page(instance)
    return sheet_page[authority]["version"]


def make_publication(*, sheet, publisher, key, day, until, expected_version):
    """Return a signed publication of a sheet.

    Parameters
    ----------
    sheet : reader.Sheet
        Sheet without errors.
    publisher : str
        Name of the publisher.
    key : bytes
        The publisher's key.
    day : str
        Day that the sheet is published for, as ISO date.
    until : float
        Unix time after which a team sheet starts no maintenance and moves.
    expected_version : int
        Version of the sheet that is in force, 0 for none. The publication is rejected
        if another version is in force by then.

    Returns
    -------
    messages.SheetPublished
        The publication, with a new random id.
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
    """Append a publication to the log and wait for its outcome.

    Parameters
    ----------
    publication : messages.SheetPublished
        Signed publication.
    log, instance : client.Address
        The platform's log, and the entry instance that is asked for the outcome.
    stream : str
        Stream of the log.
    timeout_s : float
        Limit in seconds for the append and the wait together.

    Returns
    -------
    Accepted, Rejected or Undecided
        Accepted only if the entry instance confirmed it.
    """
    envelope = messages.Envelope(
        writer=uuid.uuid4().hex, sequence=1, records=[codec.to_map(publication)]
    )
    body = codec.encode(envelope)
    if len(body) > RECORD_LIMIT_BYTES:
        size_text = f"{len(body)} bytes; allowed: at most {RECORD_LIMIT_BYTES}"
        return Rejected(reason=f"not sent: the record has {size_text}")
    deadline = time.monotonic() + timeout_s
    offset, failure, may_have_run = _append_record(log, stream, body, deadline)
    if offset is None and not may_have_run:
        return Rejected(reason=f"not appended to the log: {failure}")
    return _wait_for_outcome(publication, instance, offset, failure, deadline)


def _append_record(log, stream, body, deadline):
    """Append a record to the log, with retries until the deadline.

    Returns
    -------
    tuple of (int or None, str, bool)
        Offset of the record if known, the last failure, and whether the log may have
        the record.
    """
    may_have_run = False
    path = f"/streams/{stream}/records"
    while True:
        try:
            limit_s = min(client.TIMEOUT_S, max(1.0, deadline - time.monotonic()))
            response = client.send_request(
                log, "POST", path, body=body, timeout_s=limit_s
            )
            if response.status in (200, 201):
                return _read_offset(log, response.json()), "", True
            failure = f"the log answered with status {response.status}"
            if response.status < 500:
                return None, failure, may_have_run
            # The log may return a 5xx status although it stored the record.
            may_have_run = True
        except client.RequestError as error:
            failure = str(error)
            may_have_run = may_have_run or error.may_have_run
        # Retry with the same bytes. If the log gets them twice, the entry instances
        # ignore the second envelope of the same writer and sequence.
        if time.monotonic() + RETRY_INTERVAL_S > deadline:
            return None, failure, may_have_run
        time.sleep(RETRY_INTERVAL_S)


def _read_offset(log, value):
    """Return the offset in the JSON value that the log returned for an append."""
    if isinstance(value, dict) and isinstance(value.get("offset"), int):
        return value["offset"]
    message = f"the response of {log} to an append has no offset"
    raise client.RequestError(message, may_have_run=True)


def _wait_for_outcome(publication, instance, offset, failure, deadline):
    """Ask an entry instance for the outcome until it knows it or time is up."""
    while True:
        try:
            outcome = _find_outcome(publication, _get_sheet_page(instance), offset)
        except client.RequestError as error:
            outcome, failure = None, str(error)
        if outcome is not None:
            return outcome
        if time.monotonic() + READ_BACK_INTERVAL_S > deadline:
            reason = failure or f"{instance} did not read it from the log in time"
            return Undecided(reason=reason)
        time.sleep(READ_BACK_INTERVAL_S)


def _find_outcome(publication, page, offset):
    """Return the outcome that a sheet page shows, or None if it shows none yet."""
    in_force = page[publication.authority]
    if in_force["publication"] == publication.publication:
        return Accepted(version=in_force["version"])
    for entry in page.get("accepted", []):
        # A later publication may have replaced it already.
        if entry["publication"] == publication.publication:
            return Accepted(version=entry["version"])
    for entry in page.get("rejected", []):
        if entry["publication"] == publication.publication:
            return Rejected(reason=entry["reason"])
    # A version is the offset after its publication, so a larger one is of a later
    # publication. The page no longer lists the outcome of this one.
    if offset is not None and in_force["version"] > offset:
        version = in_force["version"]
        reason = f"a later publication, version {version}, is in force already"
        return Undecided(reason=reason)
    return None


def _get_sheet_page(instance):
    """Return the sheet page of an entry instance, with both sheets' versions."""
    page = client.get_json_page(instance, "/-/sheet")
    try:
        for authority in ("owner", "team"):
            # These lookups only raise if the page lacks a key.
            page[authority]["version"], page[authority]["publication"]
    except (KeyError, TypeError):
        message = f"the sheet page of {instance} lacks the versions of both sheets"
        raise client.RequestError(message, may_have_run=False) from None
    return page
