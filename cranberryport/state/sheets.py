"""The owner's and the team's sheet and the configuration that they give."""

import dataclasses

from cranberryport import findings
from cranberryport.generated import messages
from cranberryport.sheet import fields, merge, signing
from cranberryport.state import plain

AUTHORITIES = ("owner", "team")
# Publications of the recent past for read-back; a repeat comes within seconds, and
# an older one fails on its expected version.
ACCEPTED_KEPT = 100
REJECTED_KEPT = 20


@dataclasses.dataclass(kw_only=True, slots=True)
class Sheet:
    """The sheet of one authority that is in force.

    Attributes
    ----------
    version : int
        Offset after its publication, so that 0 can stand for no sheet.
    publication, publisher, day, until, rows
        As in ``SheetPublished``.
    """

    version: int
    publication: str
    publisher: str
    day: str
    until: float
    rows: list[messages.SheetRow]


@dataclasses.dataclass(kw_only=True, slots=True)
class AcceptedPublication:
    """A publication that was in force, whether or not it still is.

    Attributes
    ----------
    publication, signature : str
        As in ``SheetPublished``.
    version : int
        The version that it became.
    """

    publication: str
    signature: str
    version: int


@dataclasses.dataclass(kw_only=True, slots=True)
class RejectedPublication:
    """A publication that changed nothing.

    Attributes
    ----------
    publication : str
        Its id.
    reason : str
        Why it was rejected.
    """

    publication: str
    reason: str


class Sheets:
    """Sheets by authority.

    Parameters
    ----------
    publishers : dict of str to signing.Publisher
        Publishers by name; the same on every instance, as the fold depends on them.
    """

    __slots__ = ("_accepted", "_configuration", "_publishers", "_rejected", "_sheets")

    def __init__(self, *, publishers):
        self._publishers = publishers
        self._sheets = {}
        # Publication id to AcceptedPublication.
        self._accepted = {}
        self._rejected = []
        self._merge()

    @property
    def configuration(self):
        """The :class:`merge.Configuration` in force."""
        return self._configuration

    @property
    def rejected(self):
        """The last rejected publications, oldest first."""
        return self._rejected

    def get(self, authority):
        """Return the sheet of an authority, or None."""
        return self._sheets.get(authority)

    def version(self, authority):
        """Return the version of the publication in force, 0 for none."""
        sheet = self._sheets.get(authority)
        return sheet.version if sheet else 0

    @property
    def accepted(self):
        """The last accepted publications, oldest first."""
        return list(self._accepted.values())

    def is_accepted(self, publication):
        """Return whether a recent publication was accepted, by its id."""
        return publication in self._accepted

    def publish(self, record, context):
        """Replace the sheet of an authority as a whole."""
        reason = self._check(record, context)
        if reason:
            entry = RejectedPublication(publication=record.publication, reason=reason)
            self._rejected.append(entry)
            del self._rejected[:-REJECTED_KEPT]
            return reason
        if record.publication in self._accepted:
            return ""
        self._sheets[record.authority] = Sheet(
            version=context.offset + 1,
            publication=record.publication,
            publisher=record.publisher,
            day=record.day,
            until=record.until,
            rows=list(record.rows),
        )
        self._accepted[record.publication] = AcceptedPublication(
            publication=record.publication,
            signature=record.signature,
            version=context.offset + 1,
        )
        if len(self._accepted) > ACCEPTED_KEPT:
            del self._accepted[next(iter(self._accepted))]
        self._merge()
        return ""

    def to_plain(self):
        """Return plain values that :meth:`from_plain` takes."""
        return {
            "sheets": plain.to_plain(self._sheets),
            "accepted": plain.to_plain(self.accepted),
            "rejected": plain.to_plain(self._rejected),
        }

    @classmethod
    def from_plain(cls, value, *, publishers):
        """Return the sheets for plain values."""
        sheets = cls(publishers=publishers)
        sheets._sheets = plain.from_plain(value["sheets"], dict[str, Sheet])
        for entry in plain.from_plain(value["accepted"], list[AcceptedPublication]):
            sheets._accepted[entry.publication] = entry
        rejected = value["rejected"]
        sheets._rejected = plain.from_plain(rejected, list[RejectedPublication])
        sheets._merge()
        return sheets

    def _check(self, record, context):
        reason = signing.verify(record, self._publishers)
        if reason:
            return reason
        accepted = self._accepted.get(record.publication)
        if accepted is not None:
            if accepted.signature == record.signature:
                return ""
            return f"publication id {record.publication!r} has another content already"
        version = self.version(record.authority)
        if record.expected_version != version:
            return (
                f"expected version {record.expected_version} of the "
                f"{record.authority} sheet; the present version is {version}"
            )
        if context.offset < version:
            # One offset gives one version, so it carries one sheet of an authority.
            return f"offset {context.offset} cannot become the version after {version}"
        errors = [
            finding
            for finding in fields.check_rows(record.rows)
            if finding.severity == "error"
        ]
        if findings.has_errors(errors):
            return f"{len(errors)} rows are wrong; first: {errors[0]}"
        return ""

    def _merge(self):
        rows = {
            authority: self._sheets[authority].rows if authority in self._sheets else []
            for authority in AUTHORITIES
        }
        self._configuration = merge.merge_rows(
            owner_rows=rows["owner"], team_rows=rows["team"]
        )
