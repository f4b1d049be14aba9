"""Steps about idempotency keys: races, and what the log holds for a key."""

import behave
import cbor2

from cranberryport import codec
from standins import calls

READ_LIMIT = 1000
KINDS = {
    "claimed": "KeyClaimed",
    "finished": "KeyFinished",
    "released": "KeyReleased",
}


def _records(context):
    """Yield all retained records of the control stream as maps."""
    port, start = context.world.fleet.log_service_port, 0
    while True:
        path = f"/streams/control/records?from={start}&limit={READ_LIMIT}"
        page = cbor2.loads(calls.send_request(port, "GET", path).body)
        for offset, body in page["records"]:
            start = offset + 1
            yield from codec.decode(body).records
        if not page["records"] or start >= page["next"]:
            return


@behave.then('the key of "{name}" is {state} in the log')
def check_record(context, name, state):
    key, kind = context.world.sent[name].headers["Idempotency-Key"], KINDS[state]
    found = [record for record in _records(context) if record.get("key") == key]
    kinds = [record["kind"] for record in found]
    assert kind in kinds, kinds


@behave.when(
    'callers race {count:d} keys of POST "{path}" at all instances as "{name}"'
)
def race(context, count, path, name):
    entries = len(context.world.fleet.entries)
    service = path.strip("/").partition("/")[0]
    for index in range(1, count + 1):
        headers = {
            "Desk": service,
            "Idempotency-Key": calls.new_uuid7(),
            "Test-Request": calls.new_uuid7(),
        }
        if context.table is not None:
            headers.update([context.table.headings, *context.table.rows])
        for number in range(1, entries + 1):
            # One body, since a key belongs to one request.
            context.world.send(
                f"{name} {index} at {number}",
                number,
                "POST",
                path,
                headers=headers,
                body=f"{name} {index}".encode(),
            )


def _keys(context):
    """Return the sent requests by key."""
    found = {}
    for sent in context.world.sent.values():
        if key := sent.headers.get("Idempotency-Key"):
            found.setdefault(key, []).append(sent)
    return found


@behave.then("every key ran at most once")
def check_at_most_once(context):
    for key in _keys(context):
        found = context.world.fleet.executions(idempotency_key=key)
        assert len(found) <= 1, found


@behave.then("every key ran exactly once")
def check_exactly_once(context):
    for key in _keys(context):
        found = context.world.fleet.executions(idempotency_key=key)
        assert len(found) == 1, f"{key}: {found}"


@behave.then("all answers to a key are the same")
def check_same_answers(context):
    for key, group in _keys(context).items():
        answered = [sent.response for sent in group]
        answered = [one for one in answered if one.outcome == "answered"]
        bodies = {(one.status, one.body) for one in answered}
        assert len(bodies) <= 1, f"{key}: {bodies}"


@behave.then("every key without an execution has no answer")
def check_no_invented_answers(context):
    for key, group in _keys(context).items():
        if not context.world.fleet.executions(idempotency_key=key):
            found = [sent.response.outcome for sent in group]
            assert "answered" not in found, f"{key}: {found}"


@behave.when('all backend servers of "{service}" fail for {duration_s:g} s')
def fail_all(context, service, duration_s):
    for name in context.world.fleet.backend_server_states():
        if name.rpartition("-")[0] == service:
            context.world.fleet.control_backend_servers(
                server=name, reboot_s=duration_s
            )


@behave.then('the request "{name}" has ended')
def check_ended(context, name):
    sent = context.world.sent[name]
    found = context.world.fleet.executions(test_request=sent.test_request)
    assert found and all(one["end"] for one in found), found
