"""Steps that send requests as callers and check the responses."""

import uuid

import behave


def _read_headers(context):
    if context.table is None:
        return {}
    table = context.table
    # behave reads the first row as headings, also if it holds a header already.
    rows = [table.headings, *(row.cells for row in table)]
    return {
        name: context.world.resolve_header_value(value)
        for name, value in rows
        if name != "header"
    }


@behave.when('a caller sends {method} "{path}" to instance {number:d} as "{name}"')
def send(context, method, path, number, name):
    start_sending(context, method, path, number, name)
    context.world.sent_requests[name].future.result()


@behave.when('a caller starts {method} "{path}" at instance {number:d} as "{name}"')
def start_sending(context, method, path, number, name):
    body = b"" if method in ("GET", "HEAD") else name.encode()
    headers = _read_headers(context)
    context.world.send(name, number, method, path, headers=headers, body=body)


@behave.when(
    'callers start {count:d} requests {method} "{path}" at instance {number:d} '
    'as "{name}"'
)
def start_many(context, count, method, path, number, name):
    for index in range(1, count + 1):
        start_sending(context, method, path, number, f"{name} {index}")


@behave.when('the caller repeats "{first}" at instance {number:d} as "{name}"')
def repeat(context, first, number, name):
    start_repeating(context, first, number, name)
    context.world.sent_requests[name].future.result()


@behave.when('the caller starts to repeat "{first}" at instance {number:d} as "{name}"')
def start_repeating(context, first, number, name):
    request = context.world.sent_requests[first]
    changes = _read_headers(context)
    context.world.send(
        name,
        number,
        request.method,
        request.path,
        headers={**request.headers, **changes},
        body=request.body,
    )


@behave.then('"{name}" is still waiting')
def check_waiting(context, name):
    assert not context.world.sent_requests[name].future.done(), _describe_response(
        context, name
    )


@behave.then('the response "{name}" has the outcome "{outcomes}"')
def check_outcome(context, name, outcomes):
    response = context.world.sent_requests[name].response
    # A step may allow several outcomes, written as: "not-run" or "unknown"
    assert response.outcome in outcomes.split('" or "'), response.describe()


@behave.then('the response "{name}" has the status {status:d}')
def check_status(context, name, status):
    response = context.world.sent_requests[name].response
    assert response.status == status, response.describe()


@behave.then('the response "{name}" has the header "{header}"')
def check_header(context, name, header):
    response = context.world.sent_requests[name].response
    assert header.lower() in response.headers, response.headers


@behave.then('the response "{name}" contains "{text}"')
def check_contains(context, name, text):
    response = context.world.sent_requests[name].response
    assert text.encode() in response.body, response.describe()


@behave.then('the responses "{one}" and "{other}" have the same body')
def check_same_body(context, one, other):
    first = context.world.sent_requests[one].response
    second = context.world.sent_requests[other].response
    assert first.body == second.body, f"{first.describe()} and {second.describe()}"


@behave.then('the response "{name}" is the whole answer to its own request')
def check_own_answer(context, name):
    _check_own_answer(context.world.sent_requests[name])


@behave.then("every answered response is the whole answer to its own request")
def check_all_own_answers(context):
    for request in context.world.sent_requests.values():
        if request.response.outcome == "answered":
            _check_own_answer(request)


@behave.then('every response "{name}" has the outcome "{outcome}"')
def check_every_outcome(context, name, outcome):
    for request in _find_requests(context, name):
        assert request.response.outcome == outcome, request.response.describe()


@behave.then('at least {count:d} responses "{name}" have the outcome "{outcome}"')
def check_some_outcomes(context, count, name, outcome):
    found = [request.response.outcome for request in _find_requests(context, name)]
    assert found.count(outcome) >= count, found


@behave.then("every response has an outcome and an id")
def check_every_response(context):
    for request in context.world.sent_requests.values():
        response = request.response
        assert response.outcome in ("answered", "not-run", "unknown"), (
            response.describe()
        )
        assert response.headers.get("request-id"), response.headers


@behave.then('instance {number:d} answers {method} "{path}"')
def check_answers(context, number, method, path):
    name = f"check {uuid.uuid4()}"
    headers = {"Desk": path.strip("/").partition("/")[0]}
    request = context.world.send(name, number, method, path, headers=headers)
    assert request.response.outcome == "answered", request.response.describe()


def _find_requests(context, name):
    requests = context.world.sent_requests
    found = [requests[key] for key in requests if key.startswith(f"{name} ")]
    assert found, f"no requests {name!r} were sent"
    return found


def _check_own_answer(request):
    response = request.response
    answer = response.json
    # The entry instance removes the service name from the path.
    path = "/" + request.path.lstrip("/").partition("/")[2]
    assert response.outcome == "answered", response.describe()
    assert answer["test_request"] == request.test_request, response.describe()
    assert answer["method"] == request.method, response.describe()
    assert answer["path"] == path, response.describe()


def _describe_response(context, name):
    return context.world.sent_requests[name].response.describe()
