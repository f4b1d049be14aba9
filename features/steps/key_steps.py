"""Steps about idempotency keys: concurrent requests, executions and log records."""

import behave
import cbor2

from cranberryport import codec
from standins import calls

RECORDS_LIMIT = 1000
RECORD_KINDS = {
    "claimed": "KeyClaimed",
    "finished": "KeyFinished",
    "released": "KeyReleased",
}


def _read_records(context):
    """Yield all retained records of the control stream as dictionaries."""
    port, start = context.world.fleet.log_service_port, 0
    while True:
        path = f"/streams/control/records?from={start}&limit={RECORDS_LIMIT}"
        page = cbor2.loads(calls.send_request(port, "GET", path).body)
        for offset, body in page["records"]:
            start = offset + 1
            yield from codec.decode(body).records
        if not page["records"] or start >= page["next"]:
            return


@behave.then('the key of "{name}" is {state} in the log')
def check_key_state(context, name, state):
    key, kind = (
        context.world.sent_requests[name].headers["Idempotency-Key"],
        RECORD_KINDS[state],
    )
    found = [record for record in _read_records(context) if record.get("key") == key]
    kinds = [record["kind"] for record in found]
    assert kind in kinds, kinds


@behave.when(
    'callers send {count:d} keys of POST "{path}" to all instances at once as "{name}"'
)
def send_keys_to_all(context, count, path, name):
    entry_count = len(context.world.fleet.entries)
    service = path.strip("/").partition("/")[0]
    for index in range(1, count + 1):
        headers = {
            "Desk": service,
            "Idempotency-Key": calls.new_uuid7(),
            "Test-Request": calls.new_uuid7(),
        }
        if context.table is not None:
            headers.update([context.table.headings, *context.table.rows])
        for number in range(1, entry_count + 1):
            # All requests with a key need the same body; another one would be refused.
            context.world.send(
                f"{name} {index} at {number}",
                number,
                "POST",
                path,
                headers=headers,
                body=f"{name} {index}".encode(),
            )


def _group_by_key(context):
    """Return lists of the sent requests by idempotency key."""
    found = {}
    for request in context.world.sent_requests.values():
        if key := request.headers.get("Idempotency-Key"):
            found.setdefault(key, []).append(request)
    return found


@behave.then("every key ran at most once")
def check_at_most_once(context):
    for key in _group_by_key(context):
        found = context.world.fleet.executions(idempotency_key=key)
        assert len(found) <= 1, found


@behave.then("every key ran exactly once")
def check_exactly_once(context):
    for key in _group_by_key(context):
        found = context.world.fleet.executions(idempotency_key=key)
        assert len(found) == 1, f"{key}: {found}"


@behave.then("all answers to a key are the same")
def check_same_answers(context):
    for key, group in _group_by_key(context).items():
        answered = [request.response for request in group]
        answered = [one for one in answered if one.outcome == "answered"]
        bodies = {(one.status, one.body) for one in answered}
        assert len(bodies) <= 1, f"{key}: {bodies}"


@behave.then("no key without an execution was answered")
def check_no_answer_without_execution(context):
    for key, group in _group_by_key(context).items():
        if not context.world.fleet.executions(idempotency_key=key):
            found = [request.response.outcome for request in group]
            assert "answered" not in found, f"{key}: {found}"


@behave.when('all backend servers of "{service}" fail for {duration_s:g} s')
def fail_all(context, service, duration_s):
    for name in context.world.fleet.backend_server_states():
        if name.rpartition("-")[0] == service:
            context.world.fleet.control_backend_servers(
                server=name, reboot_s=duration_s
            )


@behave.then('the request "{name}" has ended')
def check_execution_ended(context, name):
    request = context.world.sent_requests[name]
    found = context.world.fleet.executions(test_request=request.test_request)
    assert found and all(one["end"] for one in found), found
