"""Tests of :mod:`cranberryport.observability.status`."""

import types
import unittest

from cranberryport.observability import status
from cranberryport.state import fold


class StatusTest(unittest.TestCase):
    """Since when the status page shows something as degraded."""

    def make_status(self, *, contact_age_s, list_age_s, uptime_s):
        follower = types.SimpleNamespace(
            state=fold.State(), contact_age_s=contact_age_s, is_state_lost=False
        )
        control = types.SimpleNamespace(
            follower=follower,
            writer=types.SimpleNamespace(append_count=0, record_count=0),
            session_keeper=types.SimpleNamespace(is_open=True, session="s", rank=0),
            instance_list=types.SimpleNamespace(age_s=list_age_s),
            peers=types.SimpleNamespace(statuses=dict),
            view=types.SimpleNamespace(has_dispatch_right=True),
            relay=types.SimpleNamespace(relayed_count=0),
        )
        page = status.Status(
            settings=types.SimpleNamespace(instance="entry-1", data_centre="north"),
            control=control,
            dispatcher=types.SimpleNamespace(request_count=0),
            recorder=types.SimpleNamespace(counts={}),
            jobs=types.SimpleNamespace(status=dict),
            histograms=types.SimpleNamespace(summary=dict),
            publishers={},
        )
        page._started_at -= uptime_s
        return page

    def test_first_request_shows_the_whole_age_of_an_outage(self):
        """Guards against an age that counts only from the first request of the page."""
        page = self.make_status(
            contact_age_s=75.0, list_age_s=float("inf"), uptime_s=300
        )
        since = {e["cause"]: e["since_s"] for e in page.status()["degraded"]}
        self.assertEqual(since["log"], 75.0)
        # The list was never read, so the age is that of the process.
        self.assertAlmostEqual(since["instance-list"], 300, delta=5)

    def test_nothing_is_degraded_within_the_limits(self):
        """Guards against reporting the usual age of the log as an outage."""
        page = self.make_status(contact_age_s=1.0, list_age_s=1.0, uptime_s=300)
        self.assertEqual(page.status()["degraded"], [])


if __name__ == "__main__":
    unittest.main()
