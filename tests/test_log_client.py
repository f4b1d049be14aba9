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


class ResultCollector(BaseComponent):
    """Records the results of exchanges."""

    channel = "reader"

    def __init__(self):
        super().__init__()
        self.results = []

    @handler("exchange_done")
    def _on_exchange_done(self, exchange):
        self.results.append(exchange.result)


class LogClientTest(unittest.TestCase):
    """Guards against a record that no instance can read past."""

    def setUp(self):
        application = log_service.LogService(retention_s=60.0, appends_per_second=100.0)
        self.server = serving.Server(host="127.0.0.1", port=0, application=application)
        self.server.start()
        self.addCleanup(self.server.close)
        self.port = self.server.port

    def test_record_of_the_largest_size_can_be_read(self):
        # The response was once refused, by the size limit for backend servers.
        body = b"x" * RECORD_LIMIT_BYTES
        uploader = http.client.HTTPConnection("127.0.0.1", self.port, timeout=20)
        uploader.request("POST", "/streams/control/records", body)
        self.assertEqual(uploader.getresponse().status, 200)
        uploader.close()
        loop = support.EventLoop()
        result_collector = loop.add(ResultCollector())
        http_client = loop.add(connection.Client(timers=loop.timers))
        client = log_client.LogClient(
            client=http_client,
            host="127.0.0.1",
            port=self.port,
            stream="control",
            name="entry-1",
        )
        deadline = time.monotonic() + 20
        client.read(0, limit=9, wait_ms=0, deadline=deadline, reply_channel="reader")
        loop.run_until(lambda: result_collector.results)
        batch = log_client.parse_batch(result_collector.results[0])
        self.assertEqual([len(data) for _, data in batch.records], [len(body)])
