"""Steps of callers that write to their connections themselves."""

import concurrent.futures
import http.client
import socket

import behave

from features import world
from standins import calls


class _Answers:
    """Gives :class:`http.client.HTTPResponse` one shared reader for all answers."""

    def __init__(self, connection):
        self._reader = connection.makefile("rb")
        # The response closes its reader after its body.
        self._reader_close, self._reader.close = self._reader.close, lambda: None

    def makefile(self, _mode):
        return self._reader

    def close(self):
        self._reader_close()


def _connect(context, number):
    address = ("127.0.0.1", context.world.instance(number).port)
    return socket.create_connection(address, world.RESPONSE_TIMEOUT_S)


def _format(sent):
    headers = {"Host": "localhost", **sent.headers}
    if sent.method not in ("GET", "HEAD"):
        headers["Content-Length"] = str(len(sent.body))
    lines = [f"{sent.method} {sent.path} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    return "\r\n".join([*lines, "", ""]).encode() + sent.body


def _read(answers, sent):
    try:
        answer = http.client.HTTPResponse(answers, method=sent.method)
        answer.begin()
        names = {name.lower(): value for name, value in answer.getheaders()}
        return calls.Response(status=answer.status, headers=names, body=answer.read())
    except (OSError, http.client.HTTPException) as error:
        text = f"{type(error).__name__}: {error}"
        return calls.Response(status=0, headers={}, body=b"", error=text)


def _remember(context, name, method, path, headers):
    values = {
        key: context.world.header_value(value)
        for key, value in headers.items()
        if value
    }
    sent = world.Sent(
        method=method,
        path=path,
        headers={"Test-Request": calls.new_uuid7(), **values},
        body=b"" if method in ("GET", "HEAD") else name.encode(),
        future=concurrent.futures.Future(),
    )
    context.world.sent[name] = sent
    return sent


def _requests(context):
    for row in context.table:
        headers = dict(zip(context.table.headings, row.cells, strict=True))
        name = headers.pop("name")
        method, _, path = headers.pop("request").partition(" ")
        yield _remember(context, name, method, path, headers)


@behave.when("a caller pipelines to instance {number:d}")
def pipeline(context, number):
    requests = list(_requests(context))
    with _connect(context, number) as connection:
        connection.sendall(b"".join(map(_format, requests)))
        answers = _Answers(connection)
        for sent in requests:
            sent.future.set_result(_read(answers, sent))
        answers.close()


@behave.when("a caller sends over one connection to instance {number:d}")
def send_in_turn(context, number):
    with _connect(context, number) as connection:
        answers = _Answers(connection)
        for sent in _requests(context):
            connection.sendall(_format(sent))
            sent.future.set_result(_read(answers, sent))
        answers.close()


@behave.when(
    'a caller of {method} "{path}" at instance {number:d} leaves while "{name}" runs'
)
def leave(context, method, path, number, name):
    table = context.table
    headers = dict([table.headings, *(row.cells for row in table)])
    sent = _remember(context, name, method, path, headers)
    with _connect(context, number) as connection:
        connection.sendall(_format(sent))
        fleet = context.world.fleet
        calls.wait_until(
            lambda: fleet.executions(test_request=sent.test_request),
            world.RESPONSE_TIMEOUT_S,
            f"{name!r} reaches a backend server",
        )
    sent.future.set_result(
        calls.Response(status=0, headers={}, body=b"", error="the caller left")
    )


@behave.then('no response "{name}" has an answer')
def check_none(context, name):
    for key, sent in context.world.sent.items():
        if key.startswith(f"{name} "):
            assert sent.response.outcome != "answered", sent.response.describe()


@behave.then(
    '{wanted:d} of {count:d} new requests {method} "{path}" at instance {number:d} '
    "are answered"
)
def check_round(context, wanted, count, method, path, number):
    headers = {"Desk": path.strip("/").partition("/")[0]}
    group = []
    for _ in range(count):
        # A short deadline, so that a silent connection ends a round soon.
        values = {**headers, "Request-Deadline": context.world.header_value("in 2 s")}
        name = f"round {calls.new_uuid7()}"
        group.append(context.world.send(name, number, method, path, headers=values))
    found = [sent.response.outcome for sent in group].count("answered")
    assert found >= wanted, found


@behave.then('no response "{name}" has the outcome "{outcome}"')
def check_no_outcome(context, name, outcome):
    for key, sent in context.world.sent.items():
        if key.startswith(f"{name} "):
            assert sent.response.outcome != outcome, sent.response.describe()


@behave.then("every request ran at most once")
def check_all_at_most_once(context):
    for name, sent in context.world.sent.items():
        found = context.world.fleet.executions(test_request=sent.test_request)
        assert len(found) <= 1, f"{name}: {found}"


@behave.then('at least {count:d} requests "{name}" are being executed')
def check_some_started(context, count, name):
    started = {one["test_request"] for one in context.world.fleet.executions()}
    group = [
        sent for key, sent in context.world.sent.items() if key.startswith(f"{name} ")
    ]
    found = [sent.test_request in started for sent in group].count(True)
    assert found >= count, found
