"""Tests for cranberryport.control.controller_client."""

import types
import unittest
from unittest import mock

from cranberryport.control import controller_client
from cranberryport.generated import messages
from cranberryport.peering import peer_link
from tests import scripted


class ControllerClientTest(unittest.TestCase):
    """Questions over links that do not answer."""

    def setUp(self):
        """Make a client that knows the address of the controller."""
        self.timers = scripted.FakeTimers()
        self.links = []
        self.answers = []

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
