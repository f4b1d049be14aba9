"""Tests of :mod:`cranberryport.stream.retention_keeper`."""

import types
import unittest
from unittest import mock

from circuits import Component

from cranberryport.generated import messages
from cranberryport.stream import retention_keeper
from tests import control_stream, fakes

RETENTION_S = 12.0


class SnapshotAfterOutageTest(unittest.TestCase):
    """Guards against an outage that deletes every snapshot.

    All processes may be replaced within a second of the log's return, so a snapshot has
    to be proposed before.
    """

    def setUp(self):
        patcher = mock.patch.object(
            retention_keeper.time, "monotonic", lambda: self.now
        )
        self.now = 1000.0
        self.timers = fakes.FakeTimers()
        patcher.start()
        self.addCleanup(patcher.stop)
        self.root = Component()
        self.collector = fakes.Collector().register(self.root)
        self.stream = control_stream.Stream("a")
        self.follower = types.SimpleNamespace(
            state=self.stream.state,
            has_dispatch_right=True,
            gap_count=0,
            is_state_lost=False,
            state_lost_at=None,
        )
        self.session_keeper = types.SimpleNamespace(is_open=True, rank=0)
        self.keeper = retention_keeper.RetentionKeeper(
            follower=self.follower,
            session_keeper=self.session_keeper,
            timers=self.timers,
            retention_s=RETENTION_S,
        ).register(self.root)
        fakes.run_until_idle(self.root)
        self.keeper._on_contact()

    def count_snapshots(self):
        fakes.run_until_idle(self.root)
        records, self.collector.records = self.collector.records, []
        return sum(
            isinstance(record, messages.SnapshotChunk) and record.index == 0
            for record, _ in records
        )

    def end_outage(self, duration_s):
        self.now += duration_s
        self.keeper._on_contact()
        self.timers.run(at_most_s=0.0)

    def test_lowest_rank_proposes_a_snapshot_at_once(self):
        self.end_outage(13.0)
        self.assertEqual(self.count_snapshots(), 1)

    def test_next_rank_proposes_one_if_the_first_has_been_replaced(self):
        self.session_keeper.rank = 1
        self.end_outage(13.0)
        self.assertEqual(self.count_snapshots(), 0)
        self.timers.run(at_most_s=0.2)
        self.assertEqual(self.count_snapshots(), 1)

    def test_next_rank_proposes_none_once_a_snapshot_is_folded(self):
        self.session_keeper.rank = 1
        self.end_outage(13.0)
        chunk = control_stream.make_message("SnapshotChunk", count=1)
        self.keeper._on_folded(0, b"", [types.SimpleNamespace(record=chunk)])
        self.timers.run(at_most_s=0.2)
        self.assertEqual(self.count_snapshots(), 0)

    def test_short_outage_leaves_the_snapshots_in_the_log(self):
        self.end_outage(1.0)
        self.assertEqual(self.count_snapshots(), 0)
