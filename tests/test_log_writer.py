"""Tests of :mod:`cranberryport.stream.log_writer`."""

import unittest

from circuits import Component

from cranberryport import codec
from cranberryport.generated import messages
from cranberryport.state import fold, fold_outcomes
from cranberryport.stream import log_follower, log_writer, log_writer_events
from tests import fakes


class LogWriterTest(unittest.TestCase):
    """No record may be lost, doubled, or reported with another's outcome."""

    def setUp(self):
        self.root = Component()
        self.client = fakes.FakeLogClient()
        self.timers = fakes.FakeTimers()
        self.collector = fakes.Collector().register(self.root)
        self.writer = log_writer.LogWriter(
            client=self.client, timers=self.timers
        ).register(self.root)
        self.state = fold.State()
        self.writer.start_session("a")
        fakes.run_until_idle(self.root)

    def _hand_in(self, record, context, **options):
        event = log_writer_events.append(record, fakes.make_ticket(context, **options))
        self.root.fire(event, "log_writer")
        fakes.run_until_idle(self.root)

    def _open(self):
        record = messages.SessionOpened(
            session="a", instance="e", data_centre="d", host="127.0.0.1", port=1
        )
        self._hand_in(record, "open")

    def _answer(self, make_event, number=-1):
        exchange = self.client.appends[number]
        self.root.fire(make_event(exchange), exchange.reply_channel)
        fakes.run_until_idle(self.root)

    def _fold(self, number=-1):
        body = self.client.appends[number].body
        offset = self.state.position
        found = fold.apply_envelope(self.state, offset, body)
        self.root.fire(log_follower.folded(offset, body, found), "*")
        fakes.run_until_idle(self.root)

    def test_records_during_an_append_form_one_group(self):
        self._open()
        for position in range(3):
            record = messages.SessionHeartbeat(session="a", position=position)
            self._hand_in(record, position)
        self.assertEqual(len(self.client.appends), 1)
        self._answer(fakes.answered_event)
        envelope = codec.decode(self.client.appends[1].body)
        self.assertEqual((envelope.sequence, len(envelope.records)), (2, 3))

    def test_the_outcome_comes_only_with_read_back(self):
        self._open()
        self._answer(fakes.answered_event)
        self.assertEqual(self.collector.decided, [])
        self._fold()
        ((context, outcome),) = self.collector.decided
        self.assertEqual(context, "open")
        self.assertIsInstance(outcome, fold_outcomes.Accepted)

    def test_a_lost_answer_repeats_the_same_bytes_and_counts_once(self):
        self._open()
        self._answer(fakes.failed_event)
        self.timers.run(at_most_s=1.0)
        self.assertEqual(self.client.appends[0].body, self.client.appends[1].body)
        self._fold(0)
        self._fold(1)
        self._answer(fakes.answered_event)
        self.assertEqual(len(self.collector.decided), 1)
        self.assertEqual(len(self.state.sessions.entries), 1)
        self.assertTrue(self.writer.is_idle)

    def test_read_back_before_the_answer_decides(self):
        self._open()
        self._fold()
        self.assertEqual(len(self.collector.decided), 1)
        self._answer(fakes.failed_event)
        self.timers.run(at_most_s=1.0)
        self.assertEqual(len(self.client.appends), 1)

    def test_an_outcome_is_given_once_although_the_deadline_came_first(self):
        self._open()
        self.timers.run()
        self._answer(fakes.answered_event)
        self._fold()
        ((_, outcome),) = self.collector.decided
        self.assertIsInstance(outcome, log_writer_events.Undecided)

    def test_a_record_that_waited_past_its_deadline_is_never_sent(self):
        self._open()
        record = messages.SessionHeartbeat(session="a", position=1)
        self._hand_in(record, "late", delay_s=-1.0)
        self.timers.run(at_most_s=0.0)
        self._answer(fakes.answered_event)
        self.assertEqual(len(self.client.appends), 1)

    def test_a_new_session_leaves_old_records_undecided(self):
        self._open()
        self.writer.start_session("b")
        fakes.run_until_idle(self.root)
        ((context, outcome),) = self.collector.decided
        self.assertEqual(context, "open")
        self.assertIsInstance(outcome, log_writer_events.Undecided)
