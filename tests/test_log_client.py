"""Tests of :mod:`cranberryport.stream.log_client`."""

import http.client
import time
import unittest

from circuits import BaseComponent, handler

from cranberryport.http import connection
from cranberryport.stream import log_client
from standins import log_service, serving
from tests import support

RECORD_LIMIT_BYTES = 1024 * 1024


class Reader(BaseComponent):
    """Collects the results of exchanges."""

    channel = "reader"

    def __init__(self):
        super().__init__()
        self.results = []

    @handler("exchange_done")
    def _on_exchange_done(self, exchange):
        self.results.append(exchange.result)


class LogClientTest(unittest.TestCase):
    """One record must never stop the reading of the stream."""

    def setUp(self):
        application = log_service.LogService(retention_s=60.0, appends_per_second=100.0)
        self.server = serving.Server(host="127.0.0.1", port=0, application=application)
        self.server.start()
        self.addCleanup(self.server.close)
        self.port = self.server.port

    def test_the_largest_record_can_be_read(self):
        # Its answer was larger than the limit for answers of backend servers.
        body = b"x" * RECORD_LIMIT_BYTES
        sender = http.client.HTTPConnection("127.0.0.1", self.port, timeout=20)
        sender.request("POST", "/streams/control/records", body)
        self.assertEqual(sender.getresponse().status, 200)
        sender.close()
        loop = support.EventLoop()
        reader = loop.add(Reader())
        owner = loop.add(connection.Client(timers=loop.timers))
        client = log_client.LogClient(
            client=owner,
            host="127.0.0.1",
            port=self.port,
            stream="control",
            name="entry-1",
        )
        deadline = time.monotonic() + 20
        client.read(0, limit=9, wait_ms=0, deadline=deadline, reply_channel="reader")
        loop.run_until(lambda: reader.results)
        batch = log_client.parse_batch(reader.results[0])
        self.assertEqual([len(data) for _, data in batch.records], [len(body)])
