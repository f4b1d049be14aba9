"""Folds published sheets of the owner and the team into the configuration in force.

A publication replaces the whole sheet of its authority. It must be signed and must name
the version that it replaces, so that a late or repeated one cannot revert a newer one.
"""

import dataclasses

from cranberryport import findings
from cranberryport.generated import messages
from cranberryport.sheet import fields, merge, signing
from cranberryport.state import plain

AUTHORITIES = ("owner", "team")
# Accepted publications that are remembered, so that publishers can see theirs and a
# repeat is accepted again. Repeats come within seconds; a later one is rejected for its
# expected version.
ACCEPTED_KEPT = 100
REJECTED_KEPT = 20


@dataclasses.dataclass(kw_only=True, slots=True)
class Sheet:
    """The sheet of one authority that is in force.

    Attributes
    ----------
    version : int
        Offset of its ``SheetPublished`` plus 1, so that 0 means no sheet.
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
    """A publication that was accepted; a later one may have replaced it.

    Attributes
    ----------
    publication, signature : str
        As in ``SheetPublished``.
    version : int
        Version of the sheet that it published.
    """

    publication: str
    signature: str
    version: int


@dataclasses.dataclass(kw_only=True, slots=True)
class RejectedPublication:
    """A publication that was rejected and changed nothing.

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
    """The sheet of each authority, and recent publications.

    Parameters
    ----------
    publishers : dict of str to signing.Publisher
        Publishers by name. They must be the same on every entry instance, since the
        result of the fold depends on them.
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
        """Configuration in force, a :class:`merge.Configuration`."""
        return self._configuration

    @property
    def rejected(self):
        """The last ``REJECTED_KEPT`` rejected publications, oldest first."""
        return self._rejected

    def get(self, authority):
        """Return the sheet of an authority that is in force, or None."""
        return self._sheets.get(authority)

    def version(self, authority):
        """Return the version of an authority's sheet in force, 0 for none."""
        sheet = self._sheets.get(authority)
        return sheet.version if sheet else 0

    @property
    def accepted(self):
        """The last ``ACCEPTED_KEPT`` accepted publications, oldest first."""
        return list(self._accepted.values())

    def is_accepted(self, publication):
        """Return whether a publication id is among the last accepted ones."""
        return publication in self._accepted

    def publish(self, record, context):
        """Replace the whole sheet of an authority; a repeat changes nothing.

        Returns
        -------
        str
            Why the publication is rejected; empty if it is accepted.
        """
        reason = self._check_publication(record, context)
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
        """Return the sheets as maps, lists and scalars, for a snapshot."""
        return {
            "sheets": plain.to_plain(self._sheets),
            "accepted": plain.to_plain(self.accepted),
            "rejected": plain.to_plain(self._rejected),
        }

    @classmethod
    def from_plain(cls, value, *, publishers):
        """Return the sheets that :meth:`to_plain` converted."""
        sheets = cls(publishers=publishers)
        sheets._sheets = plain.from_plain(value["sheets"], dict[str, Sheet])
        for entry in plain.from_plain(value["accepted"], list[AcceptedPublication]):
            sheets._accepted[entry.publication] = entry
        rejected = value["rejected"]
        sheets._rejected = plain.from_plain(rejected, list[RejectedPublication])
        sheets._merge()
        return sheets

    def _check_publication(self, record, context):
        """Return why a publication is rejected; empty if it is accepted."""
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
            # The version is derived from the offset, so a second sheet of an authority
            # in the same envelope would get the version of the first.
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
