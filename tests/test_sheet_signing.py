"""Tests of :mod:`cranberryport.sheet.signing`."""

import dataclasses
import unittest

from cranberryport import codec
from cranberryport.generated import messages
from cranberryport.sheet import signing

KEY = b"k" * 32
PUBLISHERS = {
    "ana": signing.Publisher(name="ana", authority="owner", key=KEY),
    "ion": signing.Publisher(name="ion", authority="team", key=b"i" * 32),
}


class SigningTest(unittest.TestCase):
    """A publication must be rejected unless an authorised publisher signed it."""

    def setUp(self):
        row = messages.SheetRow(
            row=2, subject="pool", name="a", setting="spare", value="no", note=""
        )
        self.publication = messages.SheetPublished(
            publication="p1",
            publisher="ana",
            authority="team",
            day="2026-12-04",
            until=1796400000,
            expected_version=0,
            rows=[row],
            signature="",
        )
        self.publication.signature = signing.sign(self.publication, KEY)

    def test_signature_is_valid_after_encoding_and_decoding(self):
        decoded = codec.decode(codec.encode(self.publication))
        self.assertEqual(signing.verify(decoded, PUBLISHERS), "")

    def test_a_change_of_any_field_invalidates_the_signature(self):
        changes = {
            "publication": "p2",
            "authority": "owner",
            "day": "2026-12-05",
            "until": 1.0,
            "expected_version": 7,
            "rows": [],
            "signature": "\u0101",
        }
        for field, value in changes.items():
            with self.subTest(field=field):
                changed = dataclasses.replace(self.publication, **{field: value})
                self.assertIn("signature", signing.verify(changed, PUBLISHERS))

    def test_unknown_publisher_and_missing_authority_are_rejected(self):
        by_unknown = dataclasses.replace(self.publication, publisher="eva")
        self.assertIn("known: ana, ion", signing.verify(by_unknown, PUBLISHERS))
        by_team = dataclasses.replace(
            self.publication, publisher="ion", authority="owner"
        )
        by_team.signature = signing.sign(by_team, PUBLISHERS["ion"].key)
        self.assertIn("may not publish", signing.verify(by_team, PUBLISHERS))

    def test_repr_does_not_show_the_key(self):
        self.assertNotIn("kkkk", repr(PUBLISHERS["ana"]))
