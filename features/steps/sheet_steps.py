"""Steps that publish sheets and run the operator's tool."""

import behave

from standins import calls, fleet, sheets

SERVING_TIMEOUT_S = 60.0


@behave.given("the sheets of the deployment are in force")
def publish_deployment(context):
    for publisher in sheets.PUBLISHER_AUTHORITIES:
        path = context.world.write_deployment_sheet(publisher)
        result = context.world.publish(publisher, path)
        assert result.returncode == 0, _describe_result(result)
    context.world.wait_until_in_force()
    _wait_until_serving(context)


@behave.when('the {publisher} publishes the sheet file "{path}"')
def publish_file(context, publisher, path):
    context.world.publish(publisher, fleet.ROOT / path)


@behave.when('the {publisher} publishes the sheet file "{path}" through instance {n:d}')
def publish_file_through(context, publisher, path, n):
    context.world.publish(publisher, fleet.ROOT / path, n)


@behave.when("the {publisher} publishes the sheet")
def publish_text(context, publisher):
    path = context.world.fleet.directory / "scenario.csv"
    path.write_text(context.text + "\n")
    context.world.publish(publisher, path)


@behave.when("the {publisher} publishes the deployment's sheet with the rows")
def publish_changed(context, publisher):
    rows = context.text.splitlines()
    path = context.world.write_deployment_sheet(publisher, rows=rows)
    context.world.publish(publisher, path)


@behave.then("the publication is accepted")
def check_accepted(context):
    result = context.world.tool_result
    assert result.returncode == 0, _describe_result(result)
    assert "accepted" in result.stdout, _describe_result(result)


@behave.then('the publication is rejected with "{text}"')
def check_rejected(context, text):
    result = context.world.tool_result
    assert result.returncode != 0, _describe_result(result)
    assert text in result.stdout + result.stderr, _describe_result(result)


@behave.then("all instances show the same sheets")
def check_same_sheets(context):
    context.world.wait_until_in_force()


@behave.when('an operator runs "{arguments}" at instance {number:d}')
def run_tool(context, arguments, number):
    address = context.world.entry_instance(number).address
    context.world.tool_result = context.world.fleet.run_tool(
        *arguments.split(), "--instance", address
    )


@behave.then('the tool prints "{text}"')
def check_tool_prints(context, text):
    result = context.world.tool_result
    assert text in result.stdout + result.stderr, _describe_result(result)


@behave.then("the tool exits with {code:d}")
def check_tool_exit(context, code):
    assert context.world.tool_result.returncode == code, _describe_result(
        context.world.tool_result
    )


def _wait_until_serving(context):
    """Wait until every instance has a share of the slots of every service."""
    for entry in context.world.fleet.entries:
        for service in context.world.fleet.deployment.services:
            calls.wait_until(
                lambda entry=entry, service=service: _is_answered(entry, service),
                SERVING_TIMEOUT_S,
                f"{entry.name} answers requests for {service}",
            )


def _is_answered(entry, service):
    headers = {"Desk": service}
    response = entry.send("GET", f"/{service}/ready", headers=headers, timeout_s=15)
    return response.outcome == "answered" and response.status == 200


def _describe_result(result):
    return f"exit code {result.returncode}: {result.stdout}{result.stderr}"
