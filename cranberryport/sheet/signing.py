"""Signatures of publications."""

import dataclasses
import hashlib
import hmac

import cbor2

from cranberryport import codec


@dataclasses.dataclass(kw_only=True, slots=True, frozen=True)
class Publisher:
    """Somebody who may publish sheets.

    Attributes
    ----------
    name : str
        Name in the publication.
    authority : {'owner', 'team'}
        An owner may also publish team sheets.
    key : bytes
        Secret; left out of the representation so that it cannot reach a log.
    """

    name: str
    authority: str
    key: bytes = dataclasses.field(repr=False)


def sign(publication, key):
    """Return the signature of a publication; the publication stays as it is.

    Parameters
    ----------
    publication : messages.SheetPublished
        Its ``signature`` is not covered.
    key : bytes
        The publisher's key.

    Returns
    -------
    str
        Hexadecimal HMAC-SHA256 over the canonical CBOR of all other fields.
    """
    fields = codec.to_map(publication)
    del fields["signature"]
    # A whole number becomes a float when the record is decoded, and the two have
    # different encodings.
    fields["until"] = float(publication.until)
    data = cbor2.dumps(fields, canonical=True)
    return hmac.new(key, data, hashlib.sha256).hexdigest()


def verify(publication, publishers):
    """Check who published and whether the content is unchanged.

    Parameters
    ----------
    publication : messages.SheetPublished
        As decoded from the log.
    publishers : dict of str to Publisher
        Known publishers by name.

    Returns
    -------
    str
        Why the publication is rejected; empty if it is good.
    """
    publisher = publishers.get(publication.publisher)
    if publisher is None:
        known = ", ".join(sorted(publishers)) or "none"
        return f"unknown publisher {publication.publisher!r}; known: {known}"
    if publisher.authority != "owner" and publication.authority != publisher.authority:
        return (
            f"publisher {publisher.name!r} may not publish sheets of authority "
            f"{publication.authority!r}; allowed: {publisher.authority}"
        )
    expected = sign(publication, publisher.key).encode()
    if not hmac.compare_digest(expected, publication.signature.encode()):
        return f"the signature does not match the key of publisher {publisher.name!r}"
    return ""
