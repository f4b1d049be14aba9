"""Steps about planned stops and moves, judged by what the platform shows."""

import time

import behave

from features import observers
from standins import calls

# The list lags by 1 s, is polled every 0.5 s, and a change needs an append and the
# wait of one rank.
FAILURE_SEEN_S = 5.0
LEAVING_BOUND_S = 5.0
STEP_TIMEOUT_S = 90.0
STEPS = ("draining", "quiesced", "stopped")


def _names(context, pool):
    servers = context.world.fleet.backend_server_states()
    return [name for name in servers if name.rpartition("-")[0] == pool]


def _resolve(context, name):
    """Return a server's name; "it" is the one that an earlier step has found."""
    return context.world.server if name == "it" else name


def _running(context):
    world = context.world
    return [
        entry
        for entry in world.fleet.entries
        if entry.process.is_running and entry is not world.frozen
    ]


@behave.when('the platform is watched for the pool "{pool}"')
def watch(context, pool):
    watch = observers.PlatformWatch(
        fleet=context.world.fleet, names=_names(context, pool)
    )
    context.world.observe(watch)
    context.world.watch = watch


@behave.step('callers keep sending to "{services}"')
def keep_sending(context, services):
    _keep_sending(context, services, 50)


@behave.when('callers keep sending requests of {delay_ms:d} ms to "{services}"')
def keep_sending_long(context, delay_ms, services):
    _keep_sending(context, services, delay_ms)


def _keep_sending(context, services, delay_ms):
    traffic = observers.Traffic(
        fleet=context.world.fleet, services=services.split(), delay_ms=delay_ms
    )
    context.world.observe(traffic)
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
    _publish_rows(context, rows)


@behave.when('the planner asks for a reboot of the server that executes "{name}"')
def ask_for_reboot_of_server(context, name):
    context.world.server = _server_of(context, name)
    ask_for_reboots(context, context.world.server)


@behave.when('"it" is the server that executes "{name}"')
def find_server(context, name):
    context.world.server = _server_of(context, name)


@behave.when('the planner moves "{name}" to the pool "{pool}"')
def move(context, name, pool):
    name = _resolve(context, name)
    _publish_rows(context, [f"team,instance,{name},pool,{pool},"])


def _publish_rows(context, rows):
    result = context.world.publish_rows("planner", rows, name="planned-")
    assert result.returncode == 0, result.stdout + result.stderr


def _server_of(context, name):
    sent = context.world.sent[name]

    def find():
        return context.world.fleet.executions(test_request=sent.test_request)

    return calls.wait_until(find, 10.0, f"{name!r} runs")[0]["server"]


@behave.then("{count:d} planned stop is over")
@behave.then("{count:d} planned stops are over")
def check_reboot_count(context, count):
    reboots = context.world.watch.reboots
    assert len([row for row in reboots if row["end"]]) == count, reboots


@behave.then("at least {count:d} planned stop is over")
def check_some_reboots(context, count):
    reboots = context.world.watch.reboots
    assert len([row for row in reboots if row["end"]]) >= count, reboots


@behave.then('no planned stop of "{name}" has started')
def check_no_reboot(context, name):
    reboots = context.world.fleet.instance_list_state()["reboots"]
    assert name not in {row["name"] for row in reboots}, reboots


@behave.then("no planned stop has started")
def check_no_reboots(context):
    assert not context.world.watch.reboots, context.world.watch.reboots


@behave.then("at most {limit:d} watched instance was down at any moment")
@behave.then("at most {limit:d} watched instances were down at any moment")
def check_down(context, limit):
    samples = context.world.watch.samples
    assert len(samples) > 10, f"only {len(samples)} samples"
    worst = max(samples, key=lambda sample: len(sample.down))
    assert len(worst.down) <= limit, f"{sorted(worst.down)} down at {worst.time_s}"


@behave.then("at least 1 watched instance was down for {duration_s:g} s")
def check_was_down(context, duration_s):
    down = [sample.time_s for sample in context.world.watch.samples if sample.down]
    assert down and down[-1] - down[0] >= duration_s, down[:1] + down[-1:]


@behave.then("no planned stop started over a budget of {budget:d}")
def check_starts(context, budget):
    samples = context.world.watch.samples
    for reboot in context.world.watch.reboots:
        since = reboot["start"] - FAILURE_SEEN_S
        window = [
            sample.down
            for sample in samples
            if since <= sample.time_s < reboot["start"]
        ]
        # Only failures that all of the window shows could be known at the start.
        others = set.intersection(*window) if window else set()
        others.discard(reboot["name"])
        assert len(others) < budget, f"{reboot} while {sorted(others)} were down"


@behave.when("another rack of that server's pool fails")
def fail_other_rack(context):
    world = context.world
    rows = {row["name"]: row for row in world.fleet.instance_list_state()["instances"]}
    pool = world.server.rpartition("-")[0]
    rack = rows[world.server]["rack"]
    others = [rows[name] for name in _names(context, pool)]
    failed_rack = next(row["rack"] for row in others if row["rack"] != rack)
    world.failed = [name for name, row in rows.items() if row["rack"] == failed_rack]
    show_failed(context, "failed")


@behave.when('the failed instances are shown as "{status}"')
def show_failed(context, status):
    context.world.fleet.control_instance_list(
        status=dict.fromkeys(context.world.failed, status)
    )


def _wait_for_step(context, step):
    """Return the page's row of an operation at a step or a later one.

    A step may pass between two looks; a later one is then as good.
    """
    wanted = STEPS[STEPS.index(step) :]

    def find():
        for row in _operations(_running(context)):
            if row["step"] in wanted:
                return row
        return None

    return calls.wait_until(find, STEP_TIMEOUT_S, f"an operation at {step}")


def _operations(entries):
    for entry in entries:
        response = entry.send("GET", "/-/operations", timeout_s=2)
        if response.status == 200:
            yield from response.json


@behave.when("the starter of an operation at the step {step} is killed")
def kill_starter(context, step):
    by = _wait_for_step(context, step)["by"]
    entries = _running(context)
    starter = next(entry for entry in entries if entry.status.get("session") == by)
    starter.process.kill()


@behave.when("the first instance is frozen once an operation is at the step {step}")
def freeze_first(context, step):
    _wait_for_step(context, step)
    first = min(_running(context), key=lambda entry: entry.status["rank"])
    first.process.freeze()
    context.world.frozen = first


@behave.when("the frozen instance is resumed")
def resume_frozen(context):
    context.world.frozen.process.resume()
    context.world.frozen = None


@behave.then("all running instances show no open operation")
def check_no_operation(context):
    found = list(_operations(_running(context)))
    assert not found, found


@behave.then('all running instances show "{name}" in the pool "{pool}" alone')
def check_pool(context, name, pool):
    name = _resolve(context, name)
    for entry in _running(context):
        response = entry.send("GET", "/-/pools", timeout_s=2)
        assert response.status == 200, f"{entry.name}: {response.describe()}"
        found = [row["name"] for row in response.json if name in row["instances"]]
        assert found == [pool], f"{entry.name} shows {name} in {found}"


@behave.then('"{server}" has executed requests of "{service}"')
def check_serves(context, server, service):
    server = _resolve(context, server)
    found = context.world.fleet.executions(server=server, desk=service)
    assert found, f"{server} executed nothing for {service}"


@behave.then('"{server}" never served "{old}" after it began to serve "{new}"')
def check_never_both(context, server, old, new):
    server = _resolve(context, server)
    fleet = context.world.fleet
    first = min(row["start"] for row in fleet.executions(server=server, desk=new))
    old_rows = fleet.executions(server=server, desk=old)
    assert old_rows, f"{server} executed nothing for {old}"
    late = [row for row in old_rows if row["end"] is None or row["end"] > first]
    assert not late, f"{new} began at {first}; {late}"


@behave.then('the server "{server}" gets no new work after the bound')
def check_leaving(context, server):
    # The list shows the change after its lag.
    fleet = context.world.fleet
    shown = context.world.times["leaving"] + fleet.instance_list_state()["lag_s"]
    executions = fleet.executions(server=server)
    found = [row for row in executions if row["start"] > shown + LEAVING_BOUND_S]
    assert not found, f"shown at {shown}: {found}"


@behave.then('the services "{services}" got new work after the bound')
def check_work_elsewhere(context, services):
    # Without work after the bound the check of the leaving server would be empty.
    fleet = context.world.fleet
    shown = context.world.times["leaving"] + fleet.instance_list_state()["lag_s"]
    for service in services.split():
        rows = fleet.executions(desk=service)
        late = [row for row in rows if row["start"] > shown + LEAVING_BOUND_S]
        assert late, f"no request for {service} after the bound"


@behave.when('"{server}" leaves')
def leave(context, server):
    context.world.times["leaving"] = time.time()
    context.world.fleet.control_instance_list(status={server: "leaving"})


@behave.when('"{server}" disappears from the list')
def disappear(context, server):
    fleet = context.world.fleet
    rows = fleet.instance_list_state()["instances"]
    context.world.absent.append(next(row for row in rows if row["name"] == server))
    context.world.times["leaving"] = time.time()
    fleet.control_instance_list(remove=[server])


@behave.then("the planned stop began after the end of every request")
def check_graceful(context):
    server = context.world.server
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
    check_no_reboot(context, context.world.server)


@behave.then("the planned stop of that server is over")
def check_server_stopped(context):
    reboots = context.world.fleet.instance_list_state()["reboots"]
    found = [row["name"] for row in reboots if row["end"]]
    assert context.world.server in found, reboots


@behave.when("instance {number:d} gets SIGTERM")
def signal_end(context, number):
    context.world.instance(number).process.request_termination()


@behave.then("the status of instance {number:d} shows a drain that is held")
def check_held(context, number):
    world = context.world
    result = world.fleet.run_tool(
        "status", "--instance", world.instance(number).address
    )
    assert f"reboot of {world.server} is held at draining" in result.stdout, result


@behave.when('the planner moves "{name}" to "{pool}" and reboots "{names}"')
def move_and_reboot(context, name, pool, names):
    rows = [f"team,instance,{other},maintenance,reboot," for other in names.split()]
    moved = _resolve(context, name)
    _publish_rows(context, [f"team,instance,{moved},pool,{pool},", *rows])


@behave.then("instance {number:d} ends with the code {code:d}")
def check_return_code(context, number, code):
    process = context.world.instance(number).process
    assert process.wait(60.0), f"{process.name} did not end by itself"
    assert process.return_code == code, process.log_tail()


@behave.when('{count:d} planners race for reboots of "{names}"')
def race_for_reboots(context, count, names):
    world = context.world
    rows = [f"team,instance,{name},maintenance,reboot," for name in names.split()]
    futures = [
        world.start(world.publish_rows, "planner", rows, number, name=f"race-{number}-")
        for number in range(1, count + 1)
    ]
    world.tool_results = [future.result() for future in futures]
    codes = [result.returncode for result in world.tool_results]
    assert 0 in codes, world.tool_results


@behave.then('all instances count {count:d} instance of "{pool}" as down')
def check_counted(context, count, pool):
    for entry in _running(context):
        response = entry.send("GET", "/-/pools", timeout_s=2)
        assert response.status == 200, f"{entry.name}: {response.describe()}"
        found = [row["down"] for row in response.json if row["name"] == pool]
        assert found == [count], f"{entry.name} counts {found}"


@behave.when("the backend servers take {duration_s:g} s for a reboot")
def take_longer(context, duration_s):
    context.world.fleet.control_instance_list(reboot_s=duration_s)


@behave.then('all running instances show one same pool of "{name}"')
def check_same_pool(context, name):
    name = _resolve(context, name)
    found = set()
    for entry in _running(context):
        response = entry.send("GET", "/-/pools", timeout_s=2)
        assert response.status == 200, f"{entry.name}: {response.describe()}"
        pools = [row["name"] for row in response.json if name in row["instances"]]
        assert len(pools) == 1, f"{entry.name} shows {name} in {pools}"
        found.update(pools)
    assert len(found) == 1, found


@behave.then("the callers got only answers")
def check_only_answers(context):
    outcomes = context.world.traffic.outcomes
    assert set(outcomes) == {"answered"}, outcomes


@behave.when("all instances are frozen")
def freeze_all(context):
    for entry in context.world.fleet.entries:
        entry.process.freeze()
