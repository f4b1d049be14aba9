"""Claims, answers and releases of the idempotency keys of one entry instance.

A request with a key runs at most once. It is sent to a backend server only after its
claim of the key has been appended to the log and read back. If the request provably did
not run, the claim is released so that the key can be claimed again.

A session appends at most one release for a claim, and claims the key again only after
the outcome of that release is known. Otherwise a second or late release could end the
new claim while its request runs. This requires the log writer to keep the records of a
session in the order in which they were appended.
"""

import enum
import hashlib
import uuid

from cranberryport import outcomes
from cranberryport.generated import messages

KEPT_BODY_LIMIT_BYTES = 16 * 1024
RECORD_LIFETIME_S = 600.0


class NextStep(enum.Enum):
    """Next step of a request with a key."""

    CLAIM = "claim"
    WAIT = "wait"


class RecordKind(enum.Enum):
    """Kind of a record that was appended for a key."""

    CLAIM = "claim"
    FINISH = "finish"
    RELEASE = "release"


def request_digest(request):
    """Return the digest that is compared to detect a key used for different requests.

    Parameters
    ----------
    request : CallerRequest
        Its method, service, target and body are hashed.

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
    """Return the Unix time in seconds that a UUIDv7 contains."""
    return (uuid.UUID(key).int >> 80) / 1000


class Claims:
    """State of the idempotency keys that this entry instance is working on.

    Parameters
    ----------
    view : object
        Control state with ``key(key)`` and ``session``.
    append : callable
        Called with the record, its :class:`RecordKind`, the pending request and the
        seconds for which the log writer should try; None limits the time by the
        deadline of the request.
    """

    __slots__ = ("_append", "_tracked", "_view")

    def __init__(self, *, view, append):
        self._view = view
        self._append = append
        # Key to the kind of the last claim or release appended here, and its session.
        self._tracked = {}

    def find_next_step(self, pending):
        """Return the next step of a request with a key.

        Parameters
        ----------
        pending : PendingRequest
            Its ``request`` and ``digest`` are used.

        Returns
        -------
        NextStep or Outcome
            The outcome, if the record of the key already determines it.
        """
        key = pending.request.key
        if self._is_tracked(key):
            return NextStep.WAIT
        record = self._view.key(key)
        if record is None:
            return NextStep.CLAIM
        if record.digest != pending.digest:
            return outcomes.NotRun(
                status=422, reason="the key was used for a different request"
            )
        if record.state == "finished":
            return _recorded_outcome(record)
        if record.state == "unknown":
            return outcomes.Unknown(
                status=502,
                reason="the entry instance that ran the first request of this key "
                "ended before it reported an answer",
            )
        return NextStep.WAIT

    def find_timeout_outcome(self, pending):
        """Return the outcome of a request that waited for its key too long."""
        record_kind, _ = self._tracked.get(pending.request.key, (None, None))
        if record_kind is RecordKind.RELEASE:
            return outcomes.NotRun(
                status=503,
                reason="the key is being released by a request that did not run",
                retry_after_s=1.0,
            )
        return outcomes.Unknown(
            status=504, reason="the first request of this key has not finished"
        )

    def append_claim(self, pending):
        """Append a claim of the key for a request."""
        key = pending.request.key
        pending.claim_session = self._view.session
        self._tracked[key] = (RecordKind.CLAIM, pending.claim_session)
        record = messages.KeyClaimed(
            key=key,
            session=pending.claim_session,
            digest=pending.digest,
            service=pending.request.service,
            issued=issue_time(key),
        )
        self._append(record, RecordKind.CLAIM, pending, None)

    def is_claim_in_force(self, pending):
        """Return whether the claim of a request is in force in the present session."""
        record = self._view.key(pending.request.key)
        if record is None or record.state != "claimed":
            return False
        if record.session != pending.claim_session or record.digest != pending.digest:
            return False
        return self._view.session == pending.claim_session

    def append_answer(self, pending, answer):
        """Append the answer to a request with a key."""
        is_truncated = len(answer.body) > KEPT_BODY_LIMIT_BYTES
        body = hashlib.sha256(answer.body).digest() if is_truncated else answer.body
        record = messages.KeyFinished(
            key=pending.request.key,
            session=pending.claim_session,
            status=answer.status,
            headers=[
                [name.decode("latin-1"), value.decode("latin-1")]
                for name, value in answer.headers
            ],
            body=body,
            truncated=is_truncated,
        )
        # Repeats of the request need the record even if this caller no longer waits.
        self._append(record, RecordKind.FINISH, pending, RECORD_LIFETIME_S)

    def append_release(self, pending):
        """Append the release of the claim of a request that provably did not run."""
        key = pending.request.key
        self._tracked[key] = (RecordKind.RELEASE, pending.claim_session)
        record = messages.KeyReleased(key=key, session=pending.claim_session)
        self._append(record, RecordKind.RELEASE, pending, RECORD_LIFETIME_S)

    def stop_tracking(self, pending):
        """Stop tracking a key; from now on only its record in the log counts."""
        self._tracked.pop(pending.request.key, None)

    def _is_tracked(self, key):
        if key not in self._tracked:
            return False
        record_kind, session = self._tracked[key]
        if record_kind is RecordKind.RELEASE and session != self._view.session:
            # A release by an earlier session cannot end a claim of the present one.
            del self._tracked[key]
            return False
        return True


def _recorded_outcome(record):
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
