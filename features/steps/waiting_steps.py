"""Steps that wait, repeat another step until it passes, or check status pages."""

import json
import time

import behave

POLL_INTERVAL_S = 0.2
PAGE_TIMEOUT_S = 5


@behave.step("within {seconds:g} seconds {step_text}")
def wait_for_step(context, seconds, step_text):
    deadline = time.monotonic() + seconds
    while True:
        try:
            context.execute_steps(f"Then {step_text}")
            return
        except AssertionError:
            if time.monotonic() > deadline:
                raise
        time.sleep(POLL_INTERVAL_S)


@behave.when("{seconds:g} seconds pass")
def let_pass(context, seconds):
    time.sleep(seconds)


@behave.then('the page "{path}" of instance {number:d} contains "{text}"')
def check_page(context, path, number, text):
    page = _read_page(context, path, number)
    assert text in json.dumps(page), page


@behave.then('"{field}" of the page "{path}" of instance {number:d} is {value}')
def check_field(context, field, path, number, value):
    page = _read_page(context, path, number)
    found = page
    for part in field.split("."):
        found = found[int(part)] if isinstance(found, list) else found.get(part, {})
    assert found == json.loads(value), f"{field} is {found!r} in {page}"


def _read_page(context, path, number):
    response = context.world.entry_instance(number).send(
        "GET", path, timeout_s=PAGE_TIMEOUT_S
    )
    assert response.status == 200, response.describe()
    return response.json
