"""Tests for cranberryport.control.controller_client."""

import types
import unittest
from unittest import mock

from cranberryport.control import controller_client
from cranberryport.generated import messages
from cranberryport.peering import peer_link
from cranberryport.platform import store
from tests import scripted


class ControllerClientTest(unittest.TestCase):
    """Questions over links that do not answer."""

    def setUp(self):
        """Make a client that knows the address of the controller."""
        self.timers = scripted.FakeTimers()
        self.links = []
        self.answers = []
        self.appends = []

        def dial(**keywords):
            link = types.SimpleNamespace(
                is_open=True, is_closed=False, session=None, closed=0, sent=[]
            )
            link.send = link.sent.append
            link.close = lambda: setattr(link, "closed", link.closed + 1)
            self.links.append(link)
            return link

        for name, value in (("dial", dial), ("Listener", mock.Mock())):
            patcher = mock.patch.object(peer_link, name, value)
            patcher.start()
            self.addCleanup(patcher.stop)
        self.client = controller_client.ControllerClient(
            watcher=None,
            timers=self.timers,
            host="127.0.0.1",
            port=1,
            membership=types.SimpleNamespace(
                controller_address="127.0.0.1:2",
                epoch=None,
                refresh_controller=lambda: None,
            ),
            local_controller=lambda: None,
            append_record=lambda record, **options: self.appends.append(
                (record, options)
            ),
        )

    def _ask(self, timeout_s):
        self.client.ask(
            lambda number: messages.JobQuestion(number=number, job="j"),
            self.answers.append,
            timeout_s=timeout_s,
        )

    def test_question_with_a_short_timeout_does_not_close_the_link(self):
        """Guards against a question that expires and closes the link for all others."""
        self._ask(timeout_s=0.0)
        self._ask(timeout_s=0.05)
        self.assertEqual(self.answers, [None])
        self.timers.run()
        self.assertEqual([link.closed for link in self.links], [0])

    def test_link_without_an_answer_in_time_is_replaced(self):
        """Guards against questions that wait for a broken connection."""
        self._ask(timeout_s=5.0)
        self.timers.run()
        self.assertEqual([link.closed for link in self.links], [1, 0])
        self.assertEqual(len(self.links[1].sent), 1)

    def test_notification_is_sent_only_over_an_open_link(self):
        """Guards against notifications that accumulate while there is no controller."""
        message = messages.RecordsStored(partition=1, end=5)
        self.client.notify(message)
        self.assertEqual(self.links[0].sent, [message])
        self.links[0].is_open = False
        self.client.notify(message)
        self.assertEqual(self.links[0].sent, [message])

    def _relay(self):
        """Relay a record; return the question that was sent."""
        self.client.relay_record(
            ("j/1", b"v"), timeout_s=0.4, callback=self.answers.append
        )
        return self.links[0].sent[-1]

    def test_relayed_record_is_reported_as_the_reply_says(self):
        """Guards against a record that is stored and reported as not stored."""
        for state, expected in (
            ("accepted", store.Appended(offset=0, end=0)),
            ("", store.NoResponse(reason="relay failed", was_sent=False)),
        ):
            question = self._relay()
            reply = messages.ControllerReply(
                number=question.number, is_leading=True, state=state
            )
            self.client._on_controller_message(self.links[0], reply)
            self.assertEqual(self.answers[-1], expected)

    def test_relayed_record_without_a_reply_may_be_stored(self):
        """Guards against a promise that a job does not run, although it may."""
        question = self._relay()
        self.timers.run()
        self.assertTrue(self.answers[-1].was_sent)
        self.assertEqual(self.links[0].sent, [question])

    def test_record_without_a_link_is_not_relayed(self):
        """Guards against a request that waits for a controller that is not there."""
        self.client._current_link().is_open = False
        self.client.relay_record(
            ("j/1", b"v"), timeout_s=0.4, callback=self.answers.append
        )
        self.assertFalse(self.answers[-1].was_sent)

    def test_question_of_a_peer_is_that_of_its_link(self):
        """Guards against questions of two peers with the same number."""
        controller = mock.Mock()
        self.client._local_controller = lambda: controller
        question = messages.JobQuestion(number=7, job="a" * 16)
        link = mock.Mock()
        self.client._on_peer_message(link, question)
        controller.answer.assert_called_once_with(question, asker=link)
        link.send.assert_called_once_with(controller.answer.return_value)

    def test_append_for_a_peer_is_answered_only_if_its_result_is_known(self):
        """Guards against a peer that takes a record for not stored too early."""
        question = messages.StoreQuestion(
            number=7, key="j/1", value=b"v", timeout_s=0.4
        )
        link = types.SimpleNamespace(is_open=True, sent=[])
        link.send = link.sent.append
        for result, states in (
            (store.Appended(offset=1, end=2), ["accepted"]),
            (store.Refused(status=503, reason=""), [""]),
            (store.NoResponse(reason="reset", was_sent=False), [""]),
            (store.NoResponse(reason="reset"), []),
        ):
            with self.subTest(result=result):
                link.sent.clear()
                self.client._on_peer_message(link, question)
                record, options = self.appends.pop()
                self.assertEqual(record, ("j/1", b"v"))
                options["callback"](result)
                self.assertEqual([reply.state for reply in link.sent], states)

    def test_message_of_another_kind_from_a_peer_is_logged_and_ignored(self):
        """Guards against a peer's message that ends the process."""
        link = types.SimpleNamespace(is_open=True, send=self.fail)
        message = messages.ControllerReply(number=1, is_leading=True)
        with self.assertLogs(level="WARNING"):
            self.client._on_peer_message(link, message)
