"""Tests of :mod:`cranberryport.stream.log_writer`."""

import unittest

from circuits import Component

from cranberryport import codec
from cranberryport.generated import messages
from cranberryport.state import fold, fold_outcomes
from cranberryport.stream import log_follower, log_writer, log_writer_events
from tests import fakes


class LogWriterTest(unittest.TestCase):
    """Guards against records that are lost, appended twice or reported wrongly."""

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

    def _append_record(self, record, context, **options):
        event = log_writer_events.append(record, fakes.make_ticket(context, **options))
        self.root.fire(event, "log_writer")
        fakes.run_until_idle(self.root)

    def _append_session_opened(self):
        record = messages.SessionOpened(
            session="a", instance="e", data_centre="d", host="127.0.0.1", port=1
        )
        self._append_record(record, "open")

    def _answer_append(self, make_result_event, index=-1):
        exchange = self.client.appends[index]
        self.root.fire(make_result_event(exchange), exchange.reply_channel)
        fakes.run_until_idle(self.root)

    def _fold_append(self, index=-1):
        body = self.client.appends[index].body
        offset = self.state.position
        folded_outcomes = fold.apply_envelope(self.state, offset, body)
        self.root.fire(log_follower.folded(offset, body, folded_outcomes), "*")
        fakes.run_until_idle(self.root)

    def test_records_that_arrive_during_an_append_form_one_group(self):
        self._append_session_opened()
        for position in range(3):
            record = messages.SessionHeartbeat(session="a", position=position)
            self._append_record(record, position)
        self.assertEqual(len(self.client.appends), 1)
        self._answer_append(fakes.answered_event)
        envelope = codec.decode(self.client.appends[1].body)
        self.assertEqual((envelope.sequence, len(envelope.records)), (2, 3))

    def test_outcome_is_reported_only_after_read_back(self):
        self._append_session_opened()
        self._answer_append(fakes.answered_event)
        self.assertEqual(self.collector.decided, [])
        self._fold_append()
        ((context, outcome),) = self.collector.decided
        self.assertEqual(context, "open")
        self.assertIsInstance(outcome, fold_outcomes.Accepted)

    def test_append_with_a_lost_response_is_repeated_and_takes_effect_once(self):
        self._append_session_opened()
        self._answer_append(fakes.failed_event)
        self.timers.run(at_most_s=1.0)
        self.assertEqual(self.client.appends[0].body, self.client.appends[1].body)
        self._fold_append(0)
        self._fold_append(1)
        self._answer_append(fakes.answered_event)
        self.assertEqual(len(self.collector.decided), 1)
        self.assertEqual(len(self.state.sessions.entries), 1)
        self.assertTrue(self.writer.is_idle)

    def test_read_back_before_the_response_reports_the_outcome(self):
        self._append_session_opened()
        self._fold_append()
        self.assertEqual(len(self.collector.decided), 1)
        self._answer_append(fakes.failed_event)
        self.timers.run(at_most_s=1.0)
        self.assertEqual(len(self.client.appends), 1)

    def test_outcome_is_reported_once_after_a_missed_deadline(self):
        self._append_session_opened()
        self.timers.run()
        self._answer_append(fakes.answered_event)
        self._fold_append()
        ((_, outcome),) = self.collector.decided
        self.assertIsInstance(outcome, log_writer_events.Undecided)

    def test_record_that_waited_past_its_deadline_is_not_sent(self):
        self._append_session_opened()
        record = messages.SessionHeartbeat(session="a", position=1)
        self._append_record(record, "late", delay_s=-1.0)
        self.timers.run(at_most_s=0.0)
        self._answer_append(fakes.answered_event)
        self.assertEqual(len(self.client.appends), 1)

    def test_new_session_makes_pending_records_undecided(self):
        self._append_session_opened()
        self.writer.start_session("b")
        fakes.run_until_idle(self.root)
        ((context, outcome),) = self.collector.decided
        self.assertEqual(context, "open")
        self.assertIsInstance(outcome, log_writer_events.Undecided)
