"""Finds the organisation that an API key belongs to.

Load pattern: every request carries a key, and a deployment may have 10,000 of them.
Keys are kept as digests only, so that neither a log line nor a dump of the memory of an
idle process shows one.
"""

import hashlib
import logging
import secrets

SECRET_BYTES = 32
DIGEST_BYTES = 32

_logger = logging.getLogger(__name__)

# The digests are keyed by a secret that nobody outside this process knows. The time of
# a look-up depends on the digest alone, so it reveals nothing about a key.
_SECRET = secrets.token_bytes(SECRET_BYTES)


def digest(key):
    """Return the digest of a key, which is valid in this process only.

    Parameters
    ----------
    key : bytes
        The key.

    Returns
    -------
    bytes
        Keyed digest of ``DIGEST_BYTES`` bytes.
    """
    return hashlib.blake2b(key, key=_SECRET, digest_size=DIGEST_BYTES).digest()


class KeyTable:
    """Organisations by the digests of their keys.

    Parameters
    ----------
    keys_by_organisation : dict of str to list of str
        Keys of each organisation. A key of two organisations is refused, since it
        would open the jobs of one to the other.
    """

    __slots__ = ("_organisation_by_digest",)

    def __init__(self, *, keys_by_organisation):
        self._organisation_by_digest = {}
        ambiguous = set()
        for organisation, keys in keys_by_organisation.items():
            for key in keys:
                # JSON can hold surrogates, which have no bytes in strict UTF-8.
                key_digest = digest(key.encode("utf-8", "surrogatepass"))
                known = self._organisation_by_digest.setdefault(
                    key_digest, organisation
                )
                if known != organisation:
                    ambiguous.add(key_digest)
                    _logger.error(
                        "key of two organisations refused",
                        extra={"organisations": sorted((known, organisation))},
                    )
        for key_digest in ambiguous:
            del self._organisation_by_digest[key_digest]

    def __len__(self):
        """Return the number of keys."""
        return len(self._organisation_by_digest)

    def find_organisation(self, key_digest):
        """Return the name of the organisation of a key, None for an unknown key.

        Parameters
        ----------
        key_digest : bytes
            Result of :func:`digest` in this process.
        """
        return self._organisation_by_digest.get(key_digest)
