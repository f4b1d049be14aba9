"""Idempotency keys of the requests of one entry instance.

A request with a key runs only after its claim was read back from the log. A session
appends one release at most for a claim and claims the key again only after that
release was decided: a second or late release could end the new claim while it runs.
This relies on the log writer to keep a session's records in the order of their appends.
"""

import enum
import hashlib
import uuid

from cranberryport import outcomes
from cranberryport.generated import messages

KEPT_BODY_LIMIT_BYTES = 16 * 1024
RECORD_LIFETIME_S = 600.0


class NextStep(enum.Enum):
    """What a request with a key does next."""

    CLAIM = "claim"
    WAIT = "wait"


class Purpose(enum.Enum):
    """Why a record was appended."""

    CLAIM = "claim"
    FINISH = "finish"
    RELEASE = "release"


def digest(request):
    """Return the digest that tells whether two requests with a key are the same.

    Parameters
    ----------
    request : CallerRequest
        With its service, since targets have no service prefix.

    Returns
    -------
    str
        SHA-256 in hexadecimal.
    """
    result = hashlib.sha256()
    parts = (request.method, request.service, request.target)
    for part in (*(text.encode() for text in parts), request.body):
        result.update(len(part).to_bytes(8, "big"))
        result.update(part)
    return result.hexdigest()


def issue_time(key):
    """Return the Unix time in a UUIDv7, in seconds."""
    return (uuid.UUID(key).int >> 80) / 1000


class Claims:
    """Claims, releases and answers of keys.

    Parameters
    ----------
    view : object
        Control state: ``key(key)`` and ``session``.
    append : callable
        Called with record, purpose, work and the seconds for which the log writer
        should try, or None for the time until the request's deadline.
    """

    __slots__ = ("_append", "_owned", "_view")

    def __init__(self, *, view, append):
        self._view = view
        self._append = append
        self._owned = {}

    def examine(self, work):
        """Return what a request with a key does next.

        Parameters
        ----------
        work : Work
            With ``request`` and ``digest``.

        Returns
        -------
        NextStep or Outcome
            An outcome if the key already settles the request.
        """
        key = work.request.key
        if self._is_owned(key):
            return NextStep.WAIT
        record = self._view.key(key)
        if record is None:
            return NextStep.CLAIM
        if record.digest != work.digest:
            return outcomes.NotRun(
                status=422, reason="the key was used for a different request"
            )
        if record.state == "finished":
            return _repeat(record)
        if record.state == "unknown":
            return outcomes.Unknown(
                status=502,
                reason="the entry instance that ran the first request of this key "
                "ended before it reported an answer",
            )
        return NextStep.WAIT

    def waited_too_long(self, work):
        """Return the outcome of a repeat whose deadline came while it waited."""
        purpose, _ = self._owned.get(work.request.key, (None, None))
        if purpose is Purpose.RELEASE:
            return outcomes.NotRun(
                status=503,
                reason="the key is being released by a request that did not run",
                retry_after_s=1.0,
            )
        return outcomes.Unknown(
            status=504, reason="the first request of this key has not finished"
        )

    def claim(self, work):
        """Append the claim of a request."""
        key = work.request.key
        work.session = self._view.session
        self._owned[key] = (Purpose.CLAIM, work.session)
        record = messages.KeyClaimed(
            key=key,
            session=work.session,
            digest=work.digest,
            service=work.request.service,
            issued=issue_time(key),
        )
        self._append(record, Purpose.CLAIM, work, None)

    def holds(self, work):
        """Return whether the claim of a request is in force and still its own."""
        record = self._view.key(work.request.key)
        if record is None or record.state != "claimed":
            return False
        if record.session != work.session or record.digest != work.digest:
            return False
        return self._view.session == work.session

    def finish(self, work, answer):
        """Append the answer of a request."""
        is_truncated = len(answer.body) > KEPT_BODY_LIMIT_BYTES
        body = hashlib.sha256(answer.body).digest() if is_truncated else answer.body
        record = messages.KeyFinished(
            key=work.request.key,
            session=work.session,
            status=answer.status,
            headers=[
                [name.decode("latin-1"), value.decode("latin-1")]
                for name, value in answer.headers
            ],
            body=body,
            truncated=is_truncated,
        )
        # Repeats need the record even when this caller no longer waits for it.
        self._append(record, Purpose.FINISH, work, RECORD_LIFETIME_S)

    def release(self, work):
        """Append the release of a claim whose request provably did not run."""
        key = work.request.key
        self._owned[key] = (Purpose.RELEASE, work.session)
        record = messages.KeyReleased(key=key, session=work.session)
        self._append(record, Purpose.RELEASE, work, RECORD_LIFETIME_S)

    def drop(self, work):
        """Stop owning a key; its record in the log, if any, says what comes next."""
        self._owned.pop(work.request.key, None)

    def _is_owned(self, key):
        if key not in self._owned:
            return False
        purpose, session = self._owned[key]
        if purpose is Purpose.RELEASE and session != self._view.session:
            # Records of an earlier session cannot end a claim of the present one.
            del self._owned[key]
            return False
        return True


def _repeat(record):
    if record.truncated:
        return outcomes.Unknown(
            status=502,
            reason=f"the request ran and was answered {record.status}, but its "
            "answer was too large to keep",
        )
    return outcomes.Answered(
        status=record.status,
        headers=[
            (name.encode("latin-1"), value.encode("latin-1"))
            for name, value in record.headers
        ],
        body=record.body,
    )
