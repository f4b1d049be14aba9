"""Steps that start a fleet and kill, freeze or replace entry instances."""

import behave

from standins import deployments, fleet


@behave.given("a fleet of {count:d} entry instances for {name:w}")
def use_fleet(context, count, name):
    deployment = deployments.DEPLOYMENTS[name.lower()]
    options = fleet.Options(deployment=deployment, entry_count=count)
    context.world.use_fleet(options)


@behave.given("a fleet of {count:d} entry instances for {name:w} with")
def use_fleet_with(context, count, name):
    values = {row["option"]: float(row["value"]) for row in context.table}
    deployment = deployments.DEPLOYMENTS[name.lower()]
    options = fleet.Options(deployment=deployment, entry_count=count, **values)
    context.world.use_fleet(options)


@behave.when("instance {number:d} is killed")
def kill(context, number):
    context.world.entry_instance(number).process.kill()


@behave.when("instance {number:d} is frozen")
def freeze(context, number):
    context.world.entry_instance(number).process.freeze()


@behave.when("instance {number:d} is resumed")
def resume(context, number):
    context.world.entry_instance(number).process.resume()


@behave.when("instance {number:d} is terminated")
def terminate(context, number):
    process = context.world.entry_instance(number).process
    assert process.terminate(timeout_s=60.0), f"{process.name} did not exit on SIGTERM"


@behave.when("instance {number:d} is started again")
def start_again(context, number):
    entry = context.world.entry_instance(number)
    entry.process.start()
    context.world.fleet.wait_until_ready(entry)


@behave.when("instance {number:d} is replaced")
def replace(context, number):
    context.world.fleet.restart_entry(context.world.entry_instance(number))


@behave.when("all instances are replaced one after another")
def replace_all(context):
    for entry in context.world.fleet.entries:
        context.world.fleet.restart_entry(entry)


@behave.when("all instances are replaced at once")
def replace_all_at_once(context):
    entries = context.world.fleet.entries
    for entry in entries:
        entry.process.kill()
    for entry in entries:
        entry.process.start()
    for entry in entries:
        context.world.fleet.wait_until_ready(entry)


@behave.then("instance {number:d} runs")
def check_runs(context, number):
    process = context.world.entry_instance(number).process
    assert process.is_running, f"{process.name} ended: {process.log_tail()}"


@behave.then("all instances run")
def check_all_run(context):
    for number in range(1, len(context.world.fleet.entries) + 1):
        check_runs(context, number)
