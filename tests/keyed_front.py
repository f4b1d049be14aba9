"""An entry instance's handling of requests with keys, on clocks that a test sets."""

import io
import json
import types

from cranberryport.callers import configuration_proof
from cranberryport.control import topic_reader
from cranberryport.observability import node_metrics
from cranberryport.platform import configuration_follower, front, store
from tests import scripted

JOB_ID = "0123456789abcdef"
BODY = json.dumps({"Spec": "work", "Steps": [{"Count": 1, "Cpu": 100}]}).encode()
LIMIT_S = 5.0
LIMIT_OVERSHOOT = 0.1


def make_configuration(version, *, maximum=None, **keys):
    """Return a record of the configuration with organisations and their keys.

    It has the public route ``/open/`` and the route ``/q/``, which needs a key. The
    limits ``maximum`` are those of each organisation.
    """
    routes = [
        {"Name": "r", "Host": "h", "PathPrefix": "/q/", "Service": "s"},
        {"Name": "p", "Host": "h", "PathPrefix": "/open/", "Service": "s"},
    ]
    routes[1]["Public"] = True
    rows = [
        {"Name": name, "ApiKeys": found, "Maximum": maximum or {}}
        for name, found in keys.items()
    ]
    return json.dumps({"Version": version, "Routes": routes, "Tenants": rows}).encode()


class FakeWriter:
    """Keeps the writes until a test answers them."""

    def __init__(self):
        self.writes = []

    def write(self, record, *, timeout_s, callback, may_send=None):
        """Keep a write."""
        self.writes.append(
            types.SimpleNamespace(record=record, callback=callback, may_send=may_send)
        )


class FakeControllerClient:
    """Keeps the questions until a test answers them.

    Attributes
    ----------
    questions : list of (object, callable)
        Questions and their callbacks.
    relayed : list of (tuple, callable)
        Relayed records and their callbacks.
    """

    def __init__(self):
        self.is_connected = False
        self.questions = []
        self.relayed = []

    def ask(self, make_question, callback, *, timeout_s):
        """Keep a question."""
        self.questions.append((make_question(1), callback))

    def relay_record(self, record, *, timeout_s, callback):
        """Keep a relayed record."""
        self.relayed.append((record, callback))


class KeyedFront:
    """The reader of the configuration, its proof and the handling of requests.

    Parameters
    ----------
    limit_s : float
        Limit of the proof in seconds; 0 for none.
    """

    def __init__(self, *, limit_s=LIMIT_S):
        self.store = scripted.FakeStore()
        # Those of the requests, and apart from them those of the reader.
        self.timers = scripted.FakeTimers()
        self.reader_timers = scripted.FakeTimers()
        self.writer = FakeWriter()
        self.controller = FakeControllerClient()
        self.metrics = node_metrics.NodeMetrics()
        self.proof = configuration_proof.ConfigurationProof(
            limit_s=limit_s,
            last_read_sent_at=lambda: self.reader.complete_read_sent_at,
        )
        self.follower = configuration_follower.ConfigurationFollower(
            proof=self.proof, on_applied=lambda received: None
        )
        self.reader = topic_reader.TopicReader(
            store_client=self.store,
            timers=self.reader_timers,
            topic=store.OPERATOR_TOPIC,
            on_snapshot=self.follower.add_snapshot,
            on_records=self.follower.add_records,
            long_poll_s=1.0,
            min_interval_s=0.0,
        )
        self.api = front.JobApi(
            configuration=lambda: self.follower.configuration,
            writer=self.writer,
            controller_client=self.controller,
            timers=self.timers,
            metrics=self.metrics,
            is_store_unreadable=lambda: False,
            proof=self.proof,
            limit_overshoot=LIMIT_OVERSHOOT,
        )
        self.api.fire = lambda event, *channels: None
        self.reader.start()

    def answer_snapshot(self, *values):
        """Answer the snapshot of the operator's topic with these configurations."""
        items = [("config", value) for value in values]
        self.store.pop_call("read_newest").callback(
            store.NewestRecords(records=items, end=len(items))
        )

    def answer_read(self, *values):
        """Answer the read in progress with these configurations, and send the next."""
        call = self.store.pop_call("read")
        end = call.arguments[1] + len(values)
        items = [("config", value) for value in values]
        call.callback(store.Records(first=0, end=end, next=end, records=items))
        self.reader_timers.run()

    def request(self, method, *authorization, path="/q/", job_id=JOB_ID, body=BODY):
        """Handle a request; return its response, whose status is None until later."""
        request = types.SimpleNamespace(
            raw_headers=[
                (b"host", b"h"),
                *((b"authorization", value) for value in authorization),
            ],
            path=path + job_id,
            method=method,
            body=io.BytesIO(body),
        )
        response = types.SimpleNamespace(
            request=request, headers={}, status=None, body=b""
        )
        self.api._on_request(request, response)
        return response

    def answer_question(self, reply):
        """Answer the oldest question, None for no answer in time; return it."""
        question, callback = self.controller.questions.pop(0)
        callback(reply)
        return question
