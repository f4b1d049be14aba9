"""Tests of :mod:`cranberryport.settings`."""

import pathlib
import subprocess
import sys
import tempfile
import unittest

from cranberryport import settings

KEY_HEX = "ab" * 32
VALID_SETTINGS = """\
instance = "entry-1"
data_centre = "north"
listen = { host = "0.0.0.0", port = 8080 }
log.host = "127.0.0.1"
log.port = 9000
[peer]
host = "::1"
port = 8081
[instance_list]
host = "127.0.0.1"
port = 9001
[limits]
connections = 64
[[publishers]]
name = "ana"
authority = "owner"
key_file = "ana.key"
"""


class SettingsTest(unittest.TestCase):
    """The daemon must not start with settings that have errors."""

    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = pathlib.Path(folder.name, "settings.toml")
        self.key_path = self.path.with_name("ana.key")
        self.key_path.write_text(KEY_HEX + "\n")
        self.path.write_text(VALID_SETTINGS)

    def test_valid_file_gives_defaults_and_publishers(self):
        self.assertEqual(settings.check_file(self.path), [])
        loaded = settings.load_file(self.path)
        self.assertEqual(loaded.limits.connections, 64)
        self.assertEqual(loaded.limits.header_bytes, 16384)
        self.assertEqual(loaded.log.retention_s, 86400)
        self.assertIsNone(loaded.statsd)
        publisher = settings.load_publishers(loaded)["ana"]
        self.assertEqual(publisher.key, bytes.fromhex(KEY_HEX))

    def test_valid_file_is_loaded_without_importing_jsonschema(self):
        # Its 6 MB of memory would exceed the daemon's memory budget.
        code = "import sys; from cranberryport import settings; "
        code += "settings.load_file(sys.argv[1]); sys.exit('jsonschema' in sys.modules)"
        command = [sys.executable, "-c", code, str(self.path)]
        self.assertEqual(subprocess.run(command, check=False).returncode, 0)

    def test_check_and_load_report_each_error_with_its_line(self):
        cases = [
            ('"entry-1"', '"entry 1"', 1, "found 'entry 1'"),
            ("port = 8080", "port = 0", 3, "allowed: a whole number from 1 to 65535"),
            ("port = 8080", "port = 8080.0", 3, "found '8080.0'"),
            ("log.port = 9000\n", "", 4, "log.port is missing"),
            ('log.host = "127.0.0.1"', 'log.host = "log"', 4, "found 'log'"),
            ('host = "::1"', 'host = "::"', 7, "not an address to connect to"),
            ("[peer]", "[pear]", 6, "found 'pear'; allowed: instance, data_centre"),
            ("connections = 64", "connection = 64", 13, "unknown key in limits"),
            ("connections = 64", "body_timeout_s = nan", 13, "a finite number"),
            (
                "connections = 64",
                'connections = "64"',
                13,
                "invalid value of limits.con",
            ),
            ('"owner"', '"boss"', 16, "found 'boss'; allowed: owner, team"),
            ("ana.key", "eva.key", 17, "cannot read the key file: No such file"),
            ("ana.key", KEY_HEX, 17, "cannot read the key file"),
            ('"owner"', "", 16, "invalid TOML"),
        ]
        for old, new, line, text in cases:
            with self.subTest(new=new):
                self.path.write_text(VALID_SETTINGS.replace(old, new, 1))
                lines = [str(finding) for finding in settings.check_file(self.path)]
                place = f"{self.path}:{line}: error"
                self.assertTrue(
                    any(item.startswith(place) and text in item for item in lines),
                    "\n".join(lines),
                )
                self.assertNotIn(KEY_HEX, "\n".join(lines))
                with self.assertRaises(settings.SettingsError) as caught:
                    settings.load_file(self.path)
                self.assertEqual([str(f) for f in caught.exception.findings], lines)

    def test_each_missing_key_is_reported_once(self):
        # The validator gives one error for each missing key, and each of them used to
        # list all missing keys: sixteen lines for four keys.
        self.path.write_text('instance = "entry-1"\n')
        lines = [str(finding) for finding in settings.check_file(self.path)]
        missing = [line for line in lines if "is missing" in line]
        self.assertEqual(len(missing), 5)
        self.assertEqual(len(set(missing)), 5)

    def test_all_errors_of_a_file_are_reported_together(self):
        text = (
            VALID_SETTINGS.replace("8080", "70000")
            .replace("north", "")
            .replace("[limits]", "")
        )
        self.path.write_text(text + VALID_SETTINGS[VALID_SETTINGS.index("[[") :])
        self.key_path.write_text("ab" * 31)
        lines = "\n".join(str(finding) for finding in settings.check_file(self.path))
        for part in (
            "found '70000'",
            "data_centre",
            "same name",
            "the key has 31 bytes",
        ):
            self.assertIn(part, lines)
        self.assertNotIn("abab", lines)
