"""Steps of callers that use raw connections: pipelining, reuse and disconnects."""

import concurrent.futures
import http.client
import socket

import behave

from features import world
from standins import calls


class _SharedReader:
    """Lets several :class:`http.client.HTTPResponse` read from the same connection."""

    def __init__(self, connection):
        self._reader = connection.makefile("rb")
        # A response closes its reader after the body; the reader has to stay open.
        self._reader_close, self._reader.close = self._reader.close, lambda: None

    def makefile(self, _mode):
        return self._reader

    def close(self):
        self._reader_close()


def _connect(context, number):
    address = ("127.0.0.1", context.world.entry_instance(number).port)
    return socket.create_connection(address, world.RESPONSE_TIMEOUT_S)


def _format_request(request):
    headers = {"Host": "localhost", **request.headers}
    if request.method not in ("GET", "HEAD"):
        headers["Content-Length"] = str(len(request.body))
    lines = [f"{request.method} {request.path} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    return "\r\n".join([*lines, "", ""]).encode() + request.body


def _read_response(reader, request):
    try:
        response = http.client.HTTPResponse(reader, method=request.method)
        response.begin()
        response_headers = {
            name.lower(): value for name, value in response.getheaders()
        }
        return calls.Response(
            status=response.status, headers=response_headers, body=response.read()
        )
    except (OSError, http.client.HTTPException) as error:
        text = f"{type(error).__name__}: {error}"
        return calls.Response(status=0, headers={}, body=b"", error=text)


def _record_request(context, name, method, path, headers):
    values = {
        key: context.world.resolve_header_value(value)
        for key, value in headers.items()
        if value
    }
    request = world.SentRequest(
        method=method,
        path=path,
        headers={"Test-Request": calls.new_uuid7(), **values},
        body=b"" if method in ("GET", "HEAD") else name.encode(),
        future=concurrent.futures.Future(),
    )
    context.world.sent_requests[name] = request
    return request


def _record_table_requests(context):
    for row in context.table:
        headers = dict(zip(context.table.headings, row.cells, strict=True))
        name = headers.pop("name")
        method, _, path = headers.pop("request").partition(" ")
        yield _record_request(context, name, method, path, headers)


@behave.when("a caller sends pipelined requests to instance {number:d}")
def send_pipelined(context, number):
    requests = list(_record_table_requests(context))
    with _connect(context, number) as connection:
        connection.sendall(b"".join(map(_format_request, requests)))
        reader = _SharedReader(connection)
        for request in requests:
            request.future.set_result(_read_response(reader, request))
        reader.close()


@behave.when(
    "a caller sends requests in turn over one connection to instance {number:d}"
)
def send_in_turn(context, number):
    with _connect(context, number) as connection:
        reader = _SharedReader(connection)
        for request in _record_table_requests(context):
            connection.sendall(_format_request(request))
            request.future.set_result(_read_response(reader, request))
        reader.close()


@behave.when(
    'a caller of {method} "{path}" at instance {number:d} disconnects '
    'while "{name}" runs'
)
def disconnect_during_request(context, method, path, number, name):
    table = context.table
    headers = dict([table.headings, *(row.cells for row in table)])
    request = _record_request(context, name, method, path, headers)
    with _connect(context, number) as connection:
        connection.sendall(_format_request(request))
        fleet = context.world.fleet
        calls.wait_until(
            lambda: fleet.executions(test_request=request.test_request),
            world.RESPONSE_TIMEOUT_S,
            f"{name!r} reaches a backend server",
        )
    request.future.set_result(
        calls.Response(status=0, headers={}, body=b"", error="the caller disconnected")
    )


@behave.then('no request "{name}" was answered')
def check_none_answered(context, name):
    for key, request in context.world.sent_requests.items():
        if key.startswith(f"{name} "):
            assert request.response.outcome != "answered", request.response.describe()


@behave.then(
    '{wanted:d} of {count:d} new requests {method} "{path}" at instance {number:d} '
    "are answered"
)
def check_new_requests(context, wanted, count, method, path, number):
    headers = {"Desk": path.strip("/").partition("/")[0]}
    group = []
    for _ in range(count):
        # Requests on silent connections end at this short deadline, so that a scenario
        # can repeat the check soon.
        values = {
            **headers,
            "Request-Deadline": context.world.resolve_header_value("in 2 s"),
        }
        name = f"round {calls.new_uuid7()}"
        group.append(context.world.send(name, number, method, path, headers=values))
    found = [request.response.outcome for request in group].count("answered")
    assert found >= wanted, found


@behave.then('no response "{name}" has the outcome "{outcome}"')
def check_no_outcome(context, name, outcome):
    for key, request in context.world.sent_requests.items():
        if key.startswith(f"{name} "):
            assert request.response.outcome != outcome, request.response.describe()


@behave.then("every request ran at most once")
def check_all_at_most_once(context):
    for name, request in context.world.sent_requests.items():
        found = context.world.fleet.executions(test_request=request.test_request)
        assert len(found) <= 1, f"{name}: {found}"


@behave.then('at least {count:d} requests "{name}" are being executed')
def check_some_started(context, count, name):
    started = {one["test_request"] for one in context.world.fleet.executions()}
    group = [
        request
        for key, request in context.world.sent_requests.items()
        if key.startswith(f"{name} ")
    ]
    found = [request.test_request in started for request in group].count(True)
    assert found >= count, found
