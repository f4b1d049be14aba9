"""Tests for standins.platform.rig_settings."""

import argparse
import unittest

from standins.platform import rig_settings


class RigSettingsTest(unittest.TestCase):
    """Settings that the platform keeps to and that entry instances are told."""

    def test_platform_reads_what_entry_instances_are_told(self):
        """Guards against a platform that behaves otherwise than its settings say.

        Entry instances were told leases of 6 s at most, and executors granted 10 s.
        """
        for are_orders_fenced in (True, False):
            told = rig_settings.RigSettings(
                lease_limit_ms=10_000,
                partitions=3,
                upkeep_s=1.5,
                are_orders_fenced=are_orders_fenced,
            )
            parser = argparse.ArgumentParser()
            rig_settings.RigSettings.add_arguments(parser)
            options = parser.parse_args(told.platform_arguments)
            kept = rig_settings.RigSettings.from_options(options)
            for name in rig_settings.RigSettings.__slots__:
                with self.subTest(name=name, are_orders_fenced=are_orders_fenced):
                    self.assertEqual(getattr(kept, name), getattr(told, name))
            self.assertEqual(kept.entry_settings, told.entry_settings)
