"""Tests of the example deployments in the folder ``deployments``."""

import pathlib
import shutil
import tempfile
import unittest

from cranberryport import settings
from cranberryport.sheet import merge, reader

ROOT = pathlib.Path(__file__).resolve().parent.parent / "deployments"


class DeploymentsTest(unittest.TestCase):
    """Operators start from these files, so they must pass the tool's checks."""

    def test_sheets_have_no_findings_and_name_the_same_pools(self):
        for name, spare in (("brazos", "back-office"), ("scoica", "head-office")):
            with self.subTest(deployment=name):
                owner = reader.read_sheet(ROOT / name / "owner.csv")
                team = reader.read_sheet(ROOT / name / "team.csv")
                self.assertEqual([*owner.findings, *team.findings], [])
                self.assertEqual((owner.authority, team.authority), ("owner", "team"))
                configuration = merge.merge_rows(
                    owner_rows=owner.rows, team_rows=team.rows
                )
                pools = configuration.pools
                self.assertEqual(len(pools), 5)
                self.assertEqual(set(pools), set(configuration.services))
                self.assertEqual([p.name for p in pools.values() if p.spare], [spare])
                self.assertEqual(len(configuration.instance_pools), 30)
                self.assertEqual(set(configuration.instance_pools.values()), set(pools))
                self.assertEqual(set(configuration.waves["daily"].order), set(pools))

    def test_settings_have_no_findings_with_the_key_files_present(self):
        for path in sorted(ROOT.glob("*/*.toml")):
            with self.subTest(file=path), tempfile.TemporaryDirectory() as folder:
                settings_file = pathlib.Path(shutil.copy(path, folder))
                settings_file.with_name("keys").mkdir()
                for name in ("owner", "planner"):
                    settings_file.with_name("keys").joinpath(f"{name}.key").write_text(
                        "5a" * 32
                    )
                self.assertEqual(settings.check_file(settings_file), [])
                self.assertEqual(
                    len(settings.load_publishers(settings.load_file(settings_file))), 2
                )
