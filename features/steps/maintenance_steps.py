"""Steps about planned stops, moves and leaving servers, checked at the platform."""

import time

import behave

from features import observers
from standins import calls

# Time until all entry instances take a failure into account: the list lags by 1 s and
# is polled every 0.5 s, and the change needs an append, which may wait for one rank.
FAILURE_DETECTION_S = 5.0
# Longest time from the change in the list to the last new request of a leaving server.
LEAVING_BOUND_S = 5.0
OPERATION_STEP_TIMEOUT_S = 90.0
OPERATION_STEPS = ("draining", "quiesced", "stopped")


def _pool_servers(context, pool):
    servers = context.world.fleet.backend_server_states()
    return [name for name in servers if name.rpartition("-")[0] == pool]


def _resolve_server(context, name):
    """Return a server's name; "it" stands for the one that an earlier step selected."""
    return context.world.selected_server if name == "it" else name


def _running_entries(context):
    world = context.world
    return [
        entry
        for entry in world.fleet.entries
        if entry.process.is_running and entry is not world.frozen_entry
    ]


@behave.when('the backend servers of the pool "{pool}" are watched')
def watch_pool(context, pool):
    watcher = observers.PlatformWatcher(
        fleet=context.world.fleet, server_names=_pool_servers(context, pool)
    )
    context.world.add_observer(watcher)
    context.world.platform_watcher = watcher


@behave.step('callers keep sending to "{services}"')
def keep_sending(context, services):
    _start_traffic(context, services, 50)


@behave.when('callers keep sending requests of {delay_ms:d} ms to "{services}"')
def keep_sending_with_delay(context, delay_ms, services):
    _start_traffic(context, services, delay_ms)


def _start_traffic(context, services, delay_ms):
    traffic = observers.Traffic(
        fleet=context.world.fleet, services=services.split(), delay_ms=delay_ms
    )
    context.world.add_observer(traffic)
    context.world.traffic = traffic


@behave.when("the callers stop")
def stop_sending(context):
    context.world.traffic.close()


@behave.then("the callers got at least {count:d} answers")
def check_traffic(context, count):
    outcomes = context.world.traffic.outcomes
    assert outcomes["answered"] >= count, outcomes


@behave.when('the planner asks for a reboot of "{names}"')
def ask_for_reboots(context, names):
    rows = [f"team,instance,{name},maintenance,reboot," for name in names.split()]
    _publish_planner_rows(context, rows)


@behave.when('the planner asks for a reboot of the server that executes "{name}"')
def ask_for_reboot_of_server(context, name):
    context.world.selected_server = _find_executing_server(context, name)
    ask_for_reboots(context, context.world.selected_server)


@behave.when('"it" is the server that executes "{name}"')
def find_server(context, name):
    context.world.selected_server = _find_executing_server(context, name)


@behave.when('the planner moves "{name}" to the pool "{pool}"')
def move(context, name, pool):
    name = _resolve_server(context, name)
    _publish_planner_rows(context, [f"team,instance,{name},pool,{pool},"])


def _publish_planner_rows(context, rows):
    result = context.world.publish_rows("planner", rows, name="planned-")
    assert result.returncode == 0, result.stdout + result.stderr


def _find_executing_server(context, name):
    request = context.world.sent_requests[name]

    def find():
        return context.world.fleet.executions(test_request=request.test_request)

    return calls.wait_until(find, 10.0, f"{name!r} runs")[0]["server"]


@behave.then("{count:d} planned stop is over")
@behave.then("{count:d} planned stops are over")
def check_reboot_count(context, count):
    reboots = context.world.platform_watcher.reboots
    assert len([row for row in reboots if row["end"]]) == count, reboots


@behave.then("at least {count:d} planned stop is over")
def check_some_reboots(context, count):
    reboots = context.world.platform_watcher.reboots
    assert len([row for row in reboots if row["end"]]) >= count, reboots


@behave.then('no planned stop of "{name}" has started')
def check_no_reboot(context, name):
    reboots = context.world.fleet.instance_list_state()["reboots"]
    assert name not in {row["name"] for row in reboots}, reboots


@behave.then("no planned stop has started")
def check_no_reboots(context):
    assert not context.world.platform_watcher.reboots, (
        context.world.platform_watcher.reboots
    )


@behave.then("at most {limit:d} watched instance was down at any moment")
@behave.then("at most {limit:d} watched instances were down at any moment")
def check_max_down(context, limit):
    samples = context.world.platform_watcher.samples
    assert len(samples) > 10, f"only {len(samples)} samples"
    worst = max(samples, key=lambda sample: len(sample.down_servers))
    assert len(worst.down_servers) <= limit, (
        f"{sorted(worst.down_servers)} down at {worst.time_s}"
    )


@behave.then("at least 1 watched instance was down for {duration_s:g} s")
def check_was_down(context, duration_s):
    down = [
        sample.time_s
        for sample in context.world.platform_watcher.samples
        if sample.down_servers
    ]
    assert down and down[-1] - down[0] >= duration_s, down[:1] + down[-1:]


@behave.then("no planned stop exceeded a budget of {budget:d}")
def check_budget_at_starts(context, budget):
    samples = context.world.platform_watcher.samples
    for reboot in context.world.platform_watcher.reboots:
        window_start = reboot["start"] - FAILURE_DETECTION_S
        window = [
            sample.down_servers
            for sample in samples
            if window_start <= sample.time_s < reboot["start"]
        ]
        # Only failures that last through the whole window had to be known at the start.
        others = set.intersection(*window) if window else set()
        others.discard(reboot["name"])
        assert len(others) < budget, f"{reboot} while {sorted(others)} were down"


@behave.when("another rack of that server's pool fails")
def fail_other_rack(context):
    world = context.world
    rows = {row["name"]: row for row in world.fleet.instance_list_state()["instances"]}
    pool = world.selected_server.rpartition("-")[0]
    rack = rows[world.selected_server]["rack"]
    others = [rows[name] for name in _pool_servers(context, pool)]
    failed_rack = next(row["rack"] for row in others if row["rack"] != rack)
    world.failed_instances = [
        name for name, row in rows.items() if row["rack"] == failed_rack
    ]
    set_failed_status(context, "failed")


@behave.when('the instance list shows the failed instances as "{status}"')
def set_failed_status(context, status):
    context.world.fleet.control_instance_list(
        status=dict.fromkeys(context.world.failed_instances, status)
    )


def _wait_for_operation_step(context, step):
    """Wait for an operation at a step or a later one; return its row of the page.

    Later steps count, since a step can be over between two polls.
    """
    wanted = OPERATION_STEPS[OPERATION_STEPS.index(step) :]

    def find():
        for row in _read_operations(_running_entries(context)):
            if row["step"] in wanted:
                return row
        return None

    return calls.wait_until(find, OPERATION_STEP_TIMEOUT_S, f"an operation at {step}")


def _read_operations(entries):
    for entry in entries:
        response = entry.send("GET", "/-/operations", timeout_s=2)
        if response.status == 200:
            yield from response.json


@behave.when("the instance that started an operation at the step {step} is killed")
def kill_starter(context, step):
    starter_session = _wait_for_operation_step(context, step)["by"]
    entries = _running_entries(context)
    starter = next(
        entry for entry in entries if entry.status.get("session") == starter_session
    )
    starter.process.kill()


@behave.when(
    "the instance of the lowest rank is frozen once an operation is at the step {step}"
)
def freeze_lowest_rank(context, step):
    _wait_for_operation_step(context, step)
    lowest = min(_running_entries(context), key=lambda entry: entry.status["rank"])
    lowest.process.freeze()
    context.world.frozen_entry = lowest


@behave.when("the frozen instance is resumed")
def resume_frozen(context):
    context.world.frozen_entry.process.resume()
    context.world.frozen_entry = None


@behave.then("all running instances show no open operation")
def check_no_operation(context):
    found = list(_read_operations(_running_entries(context)))
    assert not found, found


@behave.then('all running instances show "{name}" only in the pool "{pool}"')
def check_pool(context, name, pool):
    name = _resolve_server(context, name)
    for entry in _running_entries(context):
        response = entry.send("GET", "/-/pools", timeout_s=2)
        assert response.status == 200, f"{entry.name}: {response.describe()}"
        found = [row["name"] for row in response.json if name in row["instances"]]
        assert found == [pool], f"{entry.name} shows {name} in {found}"


@behave.then('"{server}" has executed requests of "{service}"')
def check_has_executed(context, server, service):
    server = _resolve_server(context, server)
    found = context.world.fleet.executions(server=server, desk=service)
    assert found, f"{server} executed nothing for {service}"


@behave.then('"{server}" never served "{old}" after it began to serve "{new}"')
def check_never_both_pools(context, server, old, new):
    server = _resolve_server(context, server)
    fleet = context.world.fleet
    first = min(row["start"] for row in fleet.executions(server=server, desk=new))
    old_rows = fleet.executions(server=server, desk=old)
    assert old_rows, f"{server} executed nothing for {old}"
    late = [row for row in old_rows if row["end"] is None or row["end"] > first]
    assert not late, f"{new} began at {first}; {late}"


@behave.then('the server "{server}" gets no new requests after the bound')
def check_no_requests_after_bound(context, server):
    # The instance list shows the change only after its lag.
    fleet = context.world.fleet
    shown_at = (
        context.world.noted_times["leaving"] + fleet.instance_list_state()["lag_s"]
    )
    executions = fleet.executions(server=server)
    found = [row for row in executions if row["start"] > shown_at + LEAVING_BOUND_S]
    assert not found, f"shown at {shown_at}: {found}"


@behave.then('the services "{services}" got new requests after the bound')
def check_requests_after_bound(context, services):
    # If no server got requests after the bound, the check of the leaving server would
    # always pass.
    fleet = context.world.fleet
    shown_at = (
        context.world.noted_times["leaving"] + fleet.instance_list_state()["lag_s"]
    )
    for service in services.split():
        rows = fleet.executions(desk=service)
        late = [row for row in rows if row["start"] > shown_at + LEAVING_BOUND_S]
        assert late, f"no request for {service} after the bound"


@behave.when('the platform marks "{server}" as leaving')
def mark_leaving(context, server):
    context.world.noted_times["leaving"] = time.time()
    context.world.fleet.control_instance_list(status={server: "leaving"})


@behave.when('"{server}" disappears from the list')
def remove_from_list(context, server):
    fleet = context.world.fleet
    rows = fleet.instance_list_state()["instances"]
    context.world.removed_instances.append(
        next(row for row in rows if row["name"] == server)
    )
    context.world.noted_times["leaving"] = time.time()
    fleet.control_instance_list(remove=[server])


@behave.then("the planned stop began after the end of every request")
def check_stop_after_requests(context):
    server = context.world.selected_server
    reboots = [
        row
        for row in context.world.fleet.instance_list_state()["reboots"]
        if row["name"] == server
    ]
    assert len(reboots) == 1, reboots
    start = reboots[0]["start"]
    executions = context.world.fleet.executions(server=server)
    found = [
        row
        for row in executions
        if row["start"] < start and (row["end"] is None or row["end"] > start)
    ]
    assert not found, f"stop at {start}: {found}"


@behave.then("no planned stop of that server has started")
def check_server_not_stopped(context):
    check_no_reboot(context, context.world.selected_server)


@behave.then("the planned stop of that server is over")
def check_server_stopped(context):
    reboots = context.world.fleet.instance_list_state()["reboots"]
    found = [row["name"] for row in reboots if row["end"]]
    assert context.world.selected_server in found, reboots


@behave.when("instance {number:d} gets SIGTERM")
def send_sigterm(context, number):
    context.world.entry_instance(number).process.request_termination()


@behave.then("the status of instance {number:d} shows a drain that is held")
def check_held_drain(context, number):
    world = context.world
    result = world.fleet.run_tool(
        "status", "--instance", world.entry_instance(number).address
    )
    assert f"reboot of {world.selected_server} is held at draining" in result.stdout, (
        result
    )


@behave.when('the planner moves "{name}" to "{pool}" and reboots "{names}"')
def move_and_reboot(context, name, pool, names):
    rows = [f"team,instance,{other},maintenance,reboot," for other in names.split()]
    moved = _resolve_server(context, name)
    _publish_planner_rows(context, [f"team,instance,{moved},pool,{pool},", *rows])


@behave.then("instance {number:d} exits with the code {code:d}")
def check_return_code(context, number, code):
    process = context.world.entry_instance(number).process
    assert process.wait(60.0), f"{process.name} did not exit on SIGTERM"
    assert process.return_code == code, process.log_tail()


@behave.when('{count:d} planners ask for reboots of "{names}" at once')
def ask_for_reboots_at_once(context, count, names):
    world = context.world
    rows = [f"team,instance,{name},maintenance,reboot," for name in names.split()]
    futures = [
        world.start_in_thread(
            world.publish_rows, "planner", rows, number, name=f"race-{number}-"
        )
        for number in range(1, count + 1)
    ]
    world.tool_results = [future.result() for future in futures]
    codes = [result.returncode for result in world.tool_results]
    assert 0 in codes, world.tool_results


@behave.then('all instances count {count:d} instance of "{pool}" as down')
def check_down_count(context, count, pool):
    for entry in _running_entries(context):
        response = entry.send("GET", "/-/pools", timeout_s=2)
        assert response.status == 200, f"{entry.name}: {response.describe()}"
        found = [row["down"] for row in response.json if row["name"] == pool]
        assert found == [count], f"{entry.name} counts {found}"


@behave.when("the backend servers take {duration_s:g} s for a reboot")
def set_reboot_duration(context, duration_s):
    context.world.fleet.control_instance_list(reboot_s=duration_s)


@behave.then('all running instances show "{name}" in one and the same pool')
def check_same_pool(context, name):
    name = _resolve_server(context, name)
    found = set()
    for entry in _running_entries(context):
        response = entry.send("GET", "/-/pools", timeout_s=2)
        assert response.status == 200, f"{entry.name}: {response.describe()}"
        pools = [row["name"] for row in response.json if name in row["instances"]]
        assert len(pools) == 1, f"{entry.name} shows {name} in {pools}"
        found.update(pools)
    assert len(found) == 1, found


@behave.then("every request of the callers was answered")
def check_all_traffic_answered(context):
    outcomes = context.world.traffic.outcomes
    assert set(outcomes) == {"answered"}, outcomes


@behave.when("all instances are frozen")
def freeze_all(context):
    for entry in context.world.fleet.entries:
        entry.process.freeze()
