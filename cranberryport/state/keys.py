"""Folds idempotency keys: claims, recorded responses and expiry.

A request with a key runs only after a claim of the key was folded, so of several equal
requests at different entry instances only one runs.
"""

import dataclasses
from typing import Literal

from cranberryport.state import plain


@dataclasses.dataclass(kw_only=True, slots=True)
class IdempotencyKey:
    """State of an idempotency key.

    Attributes
    ----------
    session, digest, service, issued
        As in ``KeyClaimed``.
    state : {'claimed', 'finished', 'unknown'}
        Unknown if the claiming session was ended or closed before it recorded an
        response; the request may have run.
    status, headers, body, truncated
        As in ``KeyFinished``; empty in other states.
    """

    session: str
    digest: str
    service: str
    issued: float
    state: Literal["claimed", "finished", "unknown"] = "claimed"
    status: int = 0
    headers: list[list[str]] = dataclasses.field(default_factory=list)
    body: bytes = b""
    truncated: bool = False


class IdempotencyKeys:
    """All idempotency keys that have not expired."""

    __slots__ = ("_entries", "_expiry", "_open_claims")

    def __init__(self):
        self._entries = {}
        self._expiry = 0.0
        # Session id to the keys that it has claimed and not finished; an index of the
        # entries.
        self._open_claims = {}

    @property
    def entries(self):
        """Map of key to :class:`IdempotencyKey`."""
        return self._entries

    @property
    def expiry(self):
        """Unix time; keys issued before it are removed and cannot be claimed."""
        return self._expiry

    def get(self, key):
        """Return the state of a key, or None if it is not claimed."""
        return self._entries.get(key)

    def claim(self, record):
        """Claim a key for a live session."""
        entry = self._entries.get(record.key)
        if entry is not None:
            return f"key {record.key!r} is {entry.state} by session {entry.session!r}"
        if record.issued < self._expiry:
            # A request with the key may have run, and its entry may have been removed.
            return (
                f"key {record.key!r} was issued at {record.issued}; keys from before "
                f"{self._expiry} have expired"
            )
        self._entries[record.key] = IdempotencyKey(
            session=record.session,
            digest=record.digest,
            service=record.service,
            issued=record.issued,
        )
        self._open_claims.setdefault(record.session, {})[record.key] = None
        return ""

    def release(self, record):
        """Withdraw the claim of a request that did not run."""
        reason = self._check_claim(record)
        if reason:
            return reason
        self._remove_open_claim(record.session, record.key)
        del self._entries[record.key]
        return ""

    def finish(self, record):
        """Record the response to the request that holds the claim."""
        reason = self._check_claim(record)
        if reason:
            return reason
        self._remove_open_claim(record.session, record.key)
        entry = self._entries[record.key]
        entry.state = "finished"
        entry.status = record.status
        entry.headers = record.headers
        entry.body = record.body
        entry.truncated = record.truncated
        return ""

    def expire(self, record):
        """Remove keys issued before a time, which must be later than the last one."""
        if record.issued_before <= self._expiry:
            return (
                f"expiry point {record.issued_before} is not later than {self._expiry}"
            )
        self._expiry = record.issued_before
        old = [
            key for key, entry in self._entries.items() if entry.issued < self._expiry
        ]
        for key in old:
            entry = self._entries.pop(key)
            if entry.state == "claimed":
                self._remove_open_claim(entry.session, key)
        return ""

    def mark_claims_unknown(self, session):
        """Set the open claims of an ended or closed session to ``unknown``."""
        for key in self._open_claims.pop(session, {}):
            self._entries[key].state = "unknown"

    def to_plain(self):
        """Return the keys as maps, lists and scalars, for a snapshot."""
        return {"entries": plain.to_plain(self._entries), "expiry": self._expiry}

    @classmethod
    def from_plain(cls, value):
        """Return the keys that :meth:`to_plain` converted."""
        keys = cls()
        keys._entries = plain.from_plain(value["entries"], dict[str, IdempotencyKey])
        keys._expiry = plain.from_plain(value["expiry"], float)
        for key, entry in keys._entries.items():
            if entry.state == "claimed":
                keys._open_claims.setdefault(entry.session, {})[key] = None
        return keys

    def _check_claim(self, record):
        """Return why the session does not hold an open claim; empty if it does."""
        entry = self._entries.get(record.key)
        if entry is None:
            return f"key {record.key!r} is not claimed"
        if entry.state != "claimed" or entry.session != record.session:
            return f"key {record.key!r} is {entry.state} by session {entry.session!r}"
        return ""

    def _remove_open_claim(self, session, key):
        claims = self._open_claims[session]
        del claims[key]
        if not claims:
            del self._open_claims[session]
