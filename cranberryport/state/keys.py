"""Idempotency keys: claims, answers and their end."""

import dataclasses
from typing import Literal

from cranberryport.state import plain


@dataclasses.dataclass(kw_only=True, slots=True)
class IdempotencyKey:
    """An idempotency key.

    Attributes
    ----------
    session, digest, service, issued
        As in ``KeyClaimed``.
    state : {'claimed', 'finished', 'unknown'}
        Unknown if the claimant's session is over without an answer.
    status, headers, body, truncated
        As in ``KeyFinished``; empty before it.
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
    """All keys that are not yet forgotten."""

    __slots__ = ("_entries", "_expiry", "_open")

    def __init__(self):
        self._entries = {}
        self._expiry = 0.0
        # Session to its unfinished claims, derived from the entries.
        self._open = {}

    @property
    def entries(self):
        """Map of key to :class:`IdempotencyKey`."""
        return self._entries

    @property
    def expiry(self):
        """Unix time; keys issued before it are forgotten and cannot be claimed."""
        return self._expiry

    def get(self, key):
        """Return a key's entry, or None."""
        return self._entries.get(key)

    def claim(self, record):
        """Take a key for a live session."""
        entry = self._entries.get(record.key)
        if entry is not None:
            return f"key {record.key!r} is {entry.state} by session {entry.session!r}"
        if record.issued < self._expiry:
            # The key's first request may have run and been forgotten.
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
        self._open.setdefault(record.session, {})[record.key] = None
        return ""

    def release(self, record):
        """Withdraw a claim whose request did not run."""
        reason = self._check_claim(record)
        if reason:
            return reason
        self._close_claim(record.session, record.key)
        del self._entries[record.key]
        return ""

    def finish(self, record):
        """Keep the answer to a claimed key."""
        reason = self._check_claim(record)
        if reason:
            return reason
        self._close_claim(record.session, record.key)
        entry = self._entries[record.key]
        entry.state = "finished"
        entry.status = record.status
        entry.headers = record.headers
        entry.body = record.body
        entry.truncated = record.truncated
        return ""

    def expire(self, record):
        """Forget keys issued before a time; the expiry point never goes back."""
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
                self._close_claim(entry.session, key)
        return ""

    def drop_session(self, session):
        """Make the open claims of an ended or closed session unknown."""
        for key in self._open.pop(session, {}):
            self._entries[key].state = "unknown"

    def to_plain(self):
        """Return plain values that :meth:`from_plain` takes."""
        return {"entries": plain.to_plain(self._entries), "expiry": self._expiry}

    @classmethod
    def from_plain(cls, value):
        """Return the keys for plain values."""
        keys = cls()
        keys._entries = plain.from_plain(value["entries"], dict[str, IdempotencyKey])
        keys._expiry = plain.from_plain(value["expiry"], float)
        for key, entry in keys._entries.items():
            if entry.state == "claimed":
                keys._open.setdefault(entry.session, {})[key] = None
        return keys

    def _check_claim(self, record):
        entry = self._entries.get(record.key)
        if entry is None:
            return f"key {record.key!r} is not claimed"
        if entry.state != "claimed" or entry.session != record.session:
            return f"key {record.key!r} is {entry.state} by session {entry.session!r}"
        return ""

    def _close_claim(self, session, key):
        claims = self._open[session]
        del claims[key]
        if not claims:
            del self._open[session]
