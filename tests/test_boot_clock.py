"""Tests for cranberryport.boot_clock."""

import unittest
from unittest import mock

from cranberryport import boot_clock


class WallClockWatchTest(unittest.TestCase):
    """Guards against comparing Unix times of a clock that is seconds off."""

    def setUp(self):
        """Set both clocks."""
        for target, name in (("time.time", "wall"), ("time.clock_gettime", "boot")):
            patcher = mock.patch(target)
            setattr(self, name, patcher.start())
            self.addCleanup(patcher.stop)
        self.wall.return_value, self.boot.return_value = 1000.0, 10.0
        self.watch = boot_clock.WallClockWatch()

    def test_clock_that_runs_on_has_not_stepped(self):
        self.wall.return_value, self.boot.return_value = 1500.1, 510.0
        self.assertFalse(self.watch.has_stepped)

    def test_step_is_seen_until_it_is_undone(self):
        for wall in (1003.0, 999.0):
            self.wall.return_value, self.boot.return_value = wall, 11.0
            self.assertTrue(self.watch.has_stepped)
        self.wall.return_value = 1001.0
        self.assertFalse(self.watch.has_stepped)
