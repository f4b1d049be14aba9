"""Steps that inject faults into the platform's log and instance list."""

import behave


@behave.when("the log goes down")
def stop_log(context):
    context.world.fleet.control_log_service(mode="down")


@behave.when("the log hangs")
def hang_log(context):
    context.world.fleet.control_log_service(mode="hang")


@behave.when("the log comes back")
def restore_log(context):
    context.world.fleet.control_log_service(mode="up")


@behave.when("the log answers {delay_ms:d} ms late")
def delay_log(context, delay_ms):
    context.world.fleet.control_log_service(mode="slow", delay_ms=delay_ms)


@behave.when("the log loses the answers to the next {count:d} appends")
def lose_log_answers(context, count):
    context.world.fleet.control_log_service(mode="lose_answers", count=count)


@behave.when("the log loses the answers to all appends of instance {number:d}")
def lose_log_answers_of(context, number):
    clients = [context.world.entry_instance(number).name]
    context.world.fleet.control_log_service(mode="lose_answers", clients=clients)


@behave.when("the log is cut off for instance {number:d}")
def cut_off_log(context, number):
    clients = [context.world.entry_instance(number).name]
    context.world.fleet.control_log_service(mode="hang", clients=clients)


@behave.when("the log is reachable again for instance {number:d}")
def reconnect_log(context, number):
    clients = [context.world.entry_instance(number).name]
    context.world.fleet.control_log_service(mode="up", clients=clients)


@behave.when("all records of the log expire")
def expire_all_records(context):
    end = context.world.fleet.log_service_state()["streams"]["control"]["next"]
    context.world.fleet.control_log_service(expire_before=end)


@behave.when("all records of the log but the last {count:d} expire")
def expire_older_records(context, count):
    end = context.world.fleet.log_service_state()["streams"]["control"]["next"]
    context.world.fleet.control_log_service(expire_before=max(0, end - count))


@behave.then("the log has lost at least {count:d} answers")
def check_lost_answers(context, count):
    state = context.world.fleet.log_service_state()
    assert state["answers_lost"] >= count, state


@behave.when("the instance list goes down")
def stop_list(context):
    context.world.fleet.control_instance_list(mode="down")


@behave.when("the instance list comes back")
def restore_list(context):
    context.world.fleet.control_instance_list(mode="up")


@behave.when("the instance list lags by {lag_s:g} s")
def set_list_lag(context, lag_s):
    context.world.fleet.control_instance_list(lag_s=lag_s)


@behave.when('the instance list shows "{name}" as "{status}"')
def set_listed_status(context, name, status):
    context.world.fleet.control_instance_list(status={name: status})


@behave.then('the instance "{name}" was rebooted {count:d} times')
@behave.then('the instance "{name}" was rebooted {count:d} time')
def check_reboot_count(context, name, count):
    reboots = context.world.fleet.instance_list_state()["reboots"]
    found = [row for row in reboots if row["name"] == name and row["end"]]
    assert len(found) == count, reboots
