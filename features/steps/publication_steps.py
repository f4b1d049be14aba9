"""Steps that publish configuration and check the values in force and the log."""

import concurrent.futures
import uuid

import behave
import cbor2

from cranberryport import codec
from cranberryport.generated import messages
from standins import calls, sheets

BUDGET_ROW = "{authority},pool,{pool},max_unavailable,{value},"
RECORDS_LIMIT = 1000


def _publish_budget(world, publisher, pool, value, number=1, *, name):
    authority = sheets.PUBLISHER_AUTHORITIES[publisher]
    row = BUDGET_ROW.format(authority=authority, pool=pool, value=value)
    return world.publish_rows(publisher, [row], number, name=name)


def _describe_result(result):
    return f"exit code {result.returncode}: {result.stdout}{result.stderr}"


@behave.when('the {publisher} sets the budget of "{pool}" to {value:d}')
def set_budget(context, publisher, pool, value):
    result = _publish_budget(context.world, publisher, pool, value, name="budget-")
    context.world.tool_result = result


@behave.when('the {publisher} starts to set the budget of "{pool}" to {value:d}')
def start_setting_budget(context, publisher, pool, value):
    context.world.pending_publication = context.world.start_in_thread(
        _publish_budget, context.world, publisher, pool, value, name="late-"
    )


@behave.then("the started publication is accepted")
def check_pending_accepted(context):
    result = context.world.pending_publication.result()
    assert result.returncode == 0, _describe_result(result)


@behave.when('the planner sets the budget of "{pool}" to {value:d} {count:d} times')
def set_budget_often(context, pool, value, count):
    entry_count = len(context.world.fleet.entries)
    for index in range(count):
        number = index % entry_count + 1
        result = _publish_budget(context.world, "planner", pool, value, number, name="")
        assert result.returncode == 0, _describe_result(result)
        # The next publication uses another instance, which needs to know this version.
        context.world.wait_until_in_force()


@behave.when('{count:d} operators set the budget of "{pool}" at once')
def publish_at_once(context, count, pool):
    futures = [
        context.world.start_in_thread(
            _publish_budget,
            context.world,
            "owner",
            pool,
            value,
            (value - 1) % len(context.world.fleet.entries) + 1,
            name=f"race-{value}-",
        )
        for value in range(1, count + 1)
    ]
    concurrent.futures.wait(futures)
    context.world.tool_results = [future.result() for future in futures]


@behave.then(
    "at least one of these publications is accepted and the others are rejected with "
    "the current version"
)
def check_concurrent_publications(context):
    results = context.world.tool_results
    assert any(row.returncode == 0 for row in results), results
    for row in results:
        text = row.stdout + row.stderr
        assert row.returncode == 0 or "the present version is" in text, text


@behave.then('all instances show the same accepted budget of "{pool}"')
def check_accepted_budget(context, pool):
    found = set(_budgets_by_entry(context, pool).values())
    assert len(found) == 1, found
    results = enumerate(context.world.tool_results, start=1)
    accepted = {value for value, row in results if row.returncode == 0}
    assert found <= accepted, f"{found} in force, {accepted} accepted"


@behave.then('the budget of "{pool}" is {value:d} on all instances')
def check_budget(context, pool, value):
    found = _budgets_by_entry(context, pool)
    assert set(found.values()) == {value}, found


def _budgets_by_entry(context, pool):
    return {
        entry.name: _read_pool_field(entry, pool, "max_unavailable")
        for entry in context.world.fleet.entries
        if entry.process.is_running
    }


@behave.then('"{field}" of the pool "{pool}" is {value} on all instances')
def check_pool_field(context, field, pool, value):
    found = {
        entry.name: str(_read_pool_field(entry, pool, field)).lower()
        for entry in context.world.fleet.entries
    }
    assert set(found.values()) == {value}, found


def _read_pool_field(entry, pool, field):
    response = entry.send("GET", "/-/pools", timeout_s=2)
    if response.status != 200:
        return None
    return next((row[field] for row in response.json if row["name"] == pool), None)


def _read_records(context):
    port = context.world.fleet.log_service_port
    first = calls.get_json(port, "/control")["streams"]["control"]["first"]
    path = f"/streams/control/records?from={first}&limit={RECORDS_LIMIT}&wait_ms=0"
    rows = []
    while True:
        batch = cbor2.loads(calls.send_request(port, "GET", path).body)
        rows += batch["records"]
        if not batch["records"] or rows[-1][0] + 1 >= batch["next"]:
            return rows
        path = f"/streams/control/records?from={rows[-1][0] + 1}&limit={RECORDS_LIMIT}"


def _append_body(context, body):
    path = "/streams/control/records"
    response = calls.send_request(
        context.world.fleet.log_service_port, "POST", path, body=body
    )
    assert response.status in (200, 201), response.describe()
    return response.json["offset"]


def _find_envelopes(context, record_type):
    found = []
    for _, body in _read_records(context):
        envelope = codec.decode(body)
        records = [codec.from_map(row) for row in envelope.records]
        if any(isinstance(record, record_type) for record in records):
            found.append((body, envelope))
    return found


@behave.when("all publications are appended to the log again")
def repeat_publications(context):
    found = _find_envelopes(context, messages.SheetPublished)
    assert len(found) > 1, "the log holds fewer than two publications"
    for body, envelope in found:
        _append_body(context, body)
        # Once more with a writer id that the entry instances do not know.
        envelope.writer = uuid.uuid4().hex
        _append_body(context, codec.encode(envelope))


@behave.when(
    "the oldest snapshot is appended to the log again and all records before the copy "
    "expire"
)
def repeat_snapshot(context):
    _, envelope = _find_envelopes(context, messages.SnapshotChunk)[0]
    envelope.writer = uuid.uuid4().hex
    offset = _append_body(context, codec.encode(envelope))
    context.world.fleet.control_log_service(expire_before=offset)


@behave.when("instance {number:d} starts")
def start_instance(context, number):
    context.world.entry_instance(number).process.start()


@behave.then(
    'instance {number:d} shows the budget {value:d} of "{pool}" '
    "within {timeout_s:g} seconds and never {old:d}"
)
def check_never_old(context, number, value, pool, timeout_s, old):
    entry = context.world.entry_instance(number)

    def is_in_force():
        found = _read_pool_field(entry, pool, "max_unavailable")
        assert found != old, f"{entry.name} shows the old budget {old}"
        return found == value

    calls.wait_until(is_in_force, timeout_s, f"{entry.name} shows {value}")


@behave.then("the log holds a snapshot")
def check_snapshot(context):
    assert _find_envelopes(context, messages.SnapshotChunk), "the log holds no snapshot"
