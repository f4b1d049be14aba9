"""Signs publications of sheets and verifies their signatures.

Each entry instance verifies a publication when it reads it from the log, so that only
the publishers in its settings can change the configuration.
"""

import dataclasses
import hashlib
import hmac

import cbor2

from cranberryport import codec


@dataclasses.dataclass(kw_only=True, slots=True, frozen=True)
class Publisher:
    """A person or program that may publish sheets.

    Attributes
    ----------
    name : str
        Name that its publications give.
    authority : {'owner', 'team'}
        Sheet that it may publish; ``owner`` may publish both sheets.
    key : bytes
        Secret key, left out of ``repr()`` so that it cannot appear in a log.
    """

    name: str
    authority: str
    key: bytes = dataclasses.field(repr=False)


def sign(publication, key):
    """Return the signature of a publication without changing the publication.

    Parameters
    ----------
    publication : messages.SheetPublished
        The publication; its ``signature`` field is not signed.
    key : bytes
        The publisher's key.

    Returns
    -------
    str
        HMAC-SHA256, in hexadecimal, of the other fields encoded as canonical CBOR.
    """
    fields = codec.to_map(publication)
    del fields["signature"]
    # Decoding a record turns an integer ``until`` into a float, which is encoded
    # differently.
    fields["until"] = float(publication.until)
    data = cbor2.dumps(fields, canonical=True)
    return hmac.new(key, data, hashlib.sha256).hexdigest()


def verify(publication, publishers):
    """Check the publisher, its authority and the signature of a publication.

    Parameters
    ----------
    publication : messages.SheetPublished
        Publication decoded from the log.
    publishers : dict of str to Publisher
        Publishers in the settings, by name.

    Returns
    -------
    str
        Reason for rejecting the publication; empty if it is valid.
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
