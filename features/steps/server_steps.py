"""Steps that inject faults into backend servers or workers and check executions."""

import time

import behave


def _servers_of_service(context, service):
    names = context.world.fleet.backend_server_states()
    found = [name for name in names if name.rpartition("-")[0] == service]
    assert found, f"no backend servers of service {service!r}"
    return found


@behave.when('the backend server "{name}" switches to "{mode}"')
def set_mode(context, name, mode):
    context.world.fleet.control_backend_servers(server=name, mode=mode)


@behave.when('all backend servers of "{service}" switch to "{mode}"')
def set_mode_of_all(context, service, mode):
    for name in _servers_of_service(context, service):
        set_mode(context, name, mode)


@behave.when('the backend server "{name}" answers {delay_ms:d} ms late')
def set_delay(context, name, delay_ms):
    context.world.fleet.control_backend_servers(server=name, delay_ms=delay_ms)


@behave.when('all backend servers of "{service}" answer {delay_ms:d} ms late')
def set_delay_of_all(context, service, delay_ms):
    for name in _servers_of_service(context, service):
        set_delay(context, name, delay_ms)


@behave.when('the open connections of the backend server "{name}" go silent')
def silence_connections(context, name):
    context.world.fleet.control_backend_servers(server=name, forget_connections=True)


@behave.when('the open connections of all backend servers of "{service}" go silent')
def silence_all_connections(context, service):
    for name in _servers_of_service(context, service):
        silence_connections(context, name)


@behave.when('the backend server "{name}" fails for {duration_s:g} s')
def fail(context, name, duration_s):
    context.world.fleet.control_backend_servers(server=name, reboot_s=duration_s)


@behave.when('the time is noted as "{name}"')
def note_time(context, name):
    context.world.noted_times[name] = time.time()


def _executions_of_request(context, name):
    request = context.world.sent_requests[name]
    return context.world.fleet.executions(test_request=request.test_request)


@behave.then('the request "{name}" was executed exactly once')
def check_executed_once(context, name):
    found = _executions_of_request(context, name)
    assert len(found) == 1, found


@behave.then('the request "{name}" was executed at most once')
def check_at_most_once(context, name):
    found = _executions_of_request(context, name)
    assert len(found) <= 1, found


@behave.then('the request "{name}" was not executed')
def check_not_executed(context, name):
    found = _executions_of_request(context, name)
    assert not found, found


@behave.then('every request with the outcome "not-run" was not executed')
def check_not_run(context):
    for name, request in context.world.sent_requests.items():
        if request.response.outcome == "not-run":
            check_not_executed(context, name)


@behave.then('the request "{name}" is being executed')
def check_started(context, name):
    assert _executions_of_request(context, name), (
        f"{name!r} has not reached a backend server"
    )


@behave.then('the request "{name}" was executed by "{server}"')
def check_server(context, name, server):
    found = {execution["server"] for execution in _executions_of_request(context, name)}
    assert found == {server}, found


@behave.then('the backend server "{server}" started nothing after "{name}"')
def check_nothing_after(context, server, name):
    limit = context.world.noted_times[name]
    executions = context.world.fleet.executions(server=server)
    found = [execution for execution in executions if execution["start"] > limit]
    assert not found, found


@behave.then("no backend server cut off a request")
def check_no_request_cut_off(context):
    found = context.world.fleet.executions(cut=True)
    assert not found, found


@behave.then("no backend server ran more requests than its slots")
def check_no_overruns(context):
    states = context.world.fleet.backend_server_states()
    found = {name: state["max_concurrency"] for name, state in states.items()}
    overrun = [name for name, state in states.items() if state["overruns"]]
    assert not overrun, {name: found[name] for name in overrun}


@behave.when('the worker "{name}" switches to "{mode}"')
def set_worker_mode(context, name, mode):
    context.world.fleet.control_workers(worker=name, mode=mode)


@behave.when('all workers switch to "{mode}"')
def set_mode_of_all_workers(context, mode):
    context.world.fleet.control_workers(mode=mode)
