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
    """A changed, foreign or unauthorised publication must not take effect."""

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

    def test_signature_survives_the_log(self):
        decoded = codec.decode(codec.encode(self.publication))
        self.assertEqual(signing.verify(decoded, PUBLISHERS), "")

    def test_any_change_is_found(self):
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

    def test_publisher_and_authority_are_checked(self):
        stranger = dataclasses.replace(self.publication, publisher="eva")
        self.assertIn("known: ana, ion", signing.verify(stranger, PUBLISHERS))
        team = dataclasses.replace(self.publication, publisher="ion", authority="owner")
        team.signature = signing.sign(team, PUBLISHERS["ion"].key)
        self.assertIn("may not publish", signing.verify(team, PUBLISHERS))

    def test_representation_hides_the_key(self):
        self.assertNotIn("kkkk", repr(PUBLISHERS["ana"]))
