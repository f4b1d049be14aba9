"""Runs the deployment Brazos with 8 entry instances and demonstrates the main features.

Starts the stand-ins and the entry instances as processes on loopback. Each step prints
one line that begins with ``ok`` or ``WRONG``. The exit code is 0 only if every step
succeeded and all processes ended.
"""

import concurrent.futures
import json
import signal
import sys
import time

from standins import calls, deployments, fleet, sheets

# The two limits end the demo within two minutes even if a step never succeeds: steps
# stop waiting after the first, the processes are ended after the second.
STEPS_TIMEOUT_S = 100.0
FLEET_TIMEOUT_S = 115.0
REBOOTED_SERVER = "sizing-3"
JOB_PAYLOAD = '{"seconds": 1, "result": "stitch plan ready"}'
REQUESTS = (
    # Index of the entry instance, method, path, desk, request class.
    (0, "GET", "/cutting/cuts/7", "cutting", "interactive"),
    (1, "POST", "/cutting/cuts", "cutting", "interactive"),
    (2, "GET", "/front-desk/quotes/12", "front-desk", "interactive"),
    (3, "GET", "/sizing/sizes/wind-sock", "sizing", "interactive"),
    (4, "POST", "/sizing/dye-lots", "front-desk", "batch"),
    (5, "GET", "/rush-desk/orders/3", "rush-desk", "rush"),
    (6, "GET", "/back-office/plans/1", "back-office", "batch"),
    (7, "GET", "/front-desk/quotes/13", "rush-desk", "rush"),
)


class Demo:
    """Runs the steps against a fleet and counts the failed ones.

    Parameters
    ----------
    running : fleet.Fleet
        Fleet that has been started.
    """

    def __init__(self, *, running):
        self._fleet = running
        self._deadline = time.monotonic() + STEPS_TIMEOUT_S
        self._failed_count = 0

    @property
    def failed_count(self):
        """Number of failed steps."""
        return self._failed_count

    def run(self):
        """Run all steps; later steps also run after a failed one."""
        self._run_step("settings of entry-1 are valid", self._check_settings)
        self._run_step("both sheets are checked", self._check_sheets)
        self._run_step(
            "a sheet with an invalid value is rejected", self._check_invalid_sheet
        )
        self._run_step("the owner's sheet is published", self._publish_owner)
        self._run_step("the team's sheet is published", self._publish_team)
        self._run_step(
            "all entry instances show the same sheets", self._check_same_sheets
        )
        self._run_step(
            "all entry instances serve all services", self._wait_until_serving
        )
        for request in REQUESTS:
            number, method, path, desk, request_class = request
            text = f"{request_class} {method} {path} of {desk} at entry-{number + 1}"
            self._run_step(text, lambda request=request: self._check_request(*request))
        self._run_step(
            "an order charge that is sent twice runs once", self._check_repeated_charge
        )
        self._run_step(
            "an order charge without an idempotency key is refused",
            self._check_charge_without_key,
        )
        self._run_step("a job runs and returns its result", self._check_job)
        self._run_step(
            f"{REBOOTED_SERVER} is rebooted gracefully", self._check_graceful_reboot
        )
        self._run_step("no operation is still in progress", self._check_no_operations)
        for page in ("pools", "instances", "status"):
            self._run_step(
                f"the tool shows {page}", lambda page=page: self._show_page(page)
            )

    def _run_step(self, text, function):
        try:
            result = function()
            label = "ok   "
        except Exception as error:
            # Any error of a step is printed as its result.
            result = f"{type(error).__name__}: {error}"
            label = "WRONG"
            self._failed_count += 1
        print(f"{label} {text}: {_shorten(result)}", flush=True)

    def _wait_until(self, condition, text):
        remaining_s = max(1.0, self._deadline - time.monotonic())
        return calls.wait_until(condition, remaining_s, text)

    def _run_tool(self, *arguments):
        result = self._fleet.run_tool(*arguments)
        _check(result.returncode == 0, result.stdout + result.stderr)
        return result.stdout

    def _sheet_path(self, authority):
        return fleet.ROOT / "deployments" / "brazos" / f"{authority}.csv"

    def _check_settings(self):
        path = self._fleet.entries[0].settings_path
        return self._run_tool("settings", "check", path)

    def _check_sheets(self):
        outputs = [
            self._run_tool("sheet", "check", self._sheet_path(authority))
            for authority in ("owner", "team")
        ]
        return " / ".join(outputs)

    def _check_invalid_sheet(self):
        path = self._fleet.directory / "bad.csv"
        rows = ["team,desk,cutting,weight,heavy,"]
        sheets.copy_sheet(self._sheet_path("team"), path, without=(), rows=rows)
        result = self._fleet.run_tool("sheet", "check", path)
        _check(result.returncode == 2, f"exit code {result.returncode}")
        _check("heavy" in result.stdout, result.stdout)
        return result.stdout.splitlines()[0]

    def _publish_owner(self):
        return self._publish("owner", "owner", without=sheets.TIME_OF_DAY_SETTINGS)

    def _publish_team(self):
        without = (*sheets.TIME_OF_DAY_SETTINGS, "maintenance")
        return self._publish("planner", "team", without=without)

    def _publish(self, publisher, authority, **options):
        path = self._fleet.directory / f"{authority}.csv"
        sheets.copy_sheet(self._sheet_path(authority), path, **options)
        result = self._fleet.publish(publisher, path)
        _check(result.returncode == 0, result.stdout + result.stderr)
        return result.stdout

    def _check_same_sheets(self):
        entries = self._fleet.entries
        self._wait_until(
            lambda: len({entry.sheet_versions for entry in entries}) == 1,
            "all entry instances show the same versions",
        )
        owner, team = entries[0].sheet_versions
        return f"owner's version {owner}, team's version {team}"

    def _wait_until_serving(self):
        pairs = [
            (entry, service)
            for entry in self._fleet.entries
            for service in self._fleet.deployment.services
        ]
        for entry, service in pairs:
            text = f"{entry.name} serves {service}"
            self._wait_until(
                lambda entry=entry, service=service: _is_serving(entry, service), text
            )
        return f"{len(pairs)} pairs of entry instance and service"

    def _check_request(self, number, method, path, desk, request_class):
        headers = {"Desk": desk, "Request-Class": request_class}
        response = _send(self._fleet.entries[number], method, path, headers)
        _check(response.outcome == "answered", response.describe())
        answer = response.json
        _check(answer["test_request"] == headers["Test-Request"], answer)
        _check(answer["path"] == "/" + path.split("/", 2)[2], answer)
        return f"answered by {answer['server']}"

    def _check_repeated_charge(self):
        headers = {"Desk": "front-desk", "Idempotency-Key": calls.new_uuid7()}
        path = "/front-desk/orders/41/charge"
        first = _send(self._fleet.entries[1], "POST", path, headers)
        second = _send(self._fleet.entries[4], "POST", path, headers)
        _check(first.outcome == "answered", first.describe())
        _check(second.outcome == "answered", second.describe())
        _check(first.body == second.body, "the two responses differ")
        found = self._fleet.executions(test_request=headers["Test-Request"])
        _check(len(found) == 1, f"{len(found)} executions")
        return f"1 execution on {found[0]['server']}, both responses are the same"

    def _check_charge_without_key(self):
        headers = {"Desk": "front-desk"}
        entry = self._fleet.entries[2]
        response = _send(entry, "POST", "/front-desk/orders/42/charge", headers)
        _check(response.outcome == "not-run", response.describe())
        _check(400 <= response.status < 500, response.describe())
        found = self._fleet.executions(test_request=headers["Test-Request"])
        _check(not found, f"{len(found)} executions")
        return f"not-run with status {response.status}, no execution"

    def _check_job(self):
        submit = ["--desk", "back-office", "--payload", JOB_PAYLOAD]
        submit += ["--runtime-s", "1", "--class", "interactive"]
        submit += ["--instance", self._fleet.entries[3].address]
        job = json.loads(self._run_tool("job", "submit", "back-office", *submit))["job"]
        other = self._fleet.entries[6]
        path = f"/jobs/{job}"

        def is_finished():
            page = other.send("GET", path, timeout_s=10)
            return page.status == 200 and page.json["state"] == "finished"

        self._wait_until(is_finished, f"job {job} finishes")
        shown = json.loads(
            self._run_tool("job", "show", job, "--instance", other.address)
        )
        _check(shown["result"] == "stitch plan ready", shown)
        return f"accepted by entry-4, {shown['state']} at entry-7: {shown['result']}"

    def _check_graceful_reboot(self):
        with concurrent.futures.ThreadPoolExecutor(4) as callers:
            stop_flags = []
            senders = [
                callers.submit(self._send_until_stopped, entry, stop_flags)
                for entry in self._fleet.entries[:4]
            ]
            try:
                self._publish("planner", "team", without=sheets.TIME_OF_DAY_SETTINGS)
                self._wait_until(
                    self._is_rebooted,
                    f"{REBOOTED_SERVER} executes requests after its reboot",
                )
            finally:
                stop_flags.append(True)
        outcomes = [outcome for future in senders for outcome in future.result()]
        _check(set(outcomes) == {"answered"}, sorted(set(outcomes)))
        cut = self._fleet.executions(cut=True)
        _check(not cut, f"{len(cut)} requests were cut off")
        return f"{len(outcomes)} requests during the reboot, all answered, none cut off"

    def _send_until_stopped(self, entry, stop_flags):
        outcomes = []
        while not stop_flags:
            headers = {"Desk": "sizing", "Test-Delay-Ms": "100"}
            response = _send(entry, "GET", "/sizing/sizes/banner", headers)
            outcomes.append(response.outcome or response.error)
        return outcomes

    def _is_rebooted(self):
        reboots = self._fleet.instance_list_state()["reboots"]
        ends = [row["end"] for row in reboots if row["name"] == REBOOTED_SERVER]
        if not ends or ends[0] is None:
            return False
        executions = self._fleet.executions(server=REBOOTED_SERVER)
        return any(execution["start"] > ends[0] for execution in executions)

    def _check_no_operations(self):
        address = self._fleet.entries[7].address
        self._wait_until(
            lambda: not self._run_tool("operations", "--instance", address).strip(),
            "the tool shows no operation",
        )
        return "the tool shows no operation"

    def _show_page(self, page):
        output = self._run_tool(page, "--instance", self._fleet.entries[7].address)
        _check(output.strip(), "the tool printed nothing")
        return output


def _send(entry, method, path, headers):
    # The backend servers record this id; other ids may change on the way to them.
    headers.setdefault("Test-Request", calls.new_uuid7())
    body = b"" if method == "GET" else path.encode()
    return entry.send(method, path, headers=headers, body=body)


def _is_serving(entry, service):
    response = _send(entry, "GET", f"/{service}/ready", {"Desk": service})
    return response.outcome == "answered"


def _check(condition, detail):
    if not condition:
        raise AssertionError(detail)


def _shorten(value, width=160):
    text = " ".join(str(value).split())
    return text if len(text) <= width else text[: width - 3] + "..."


def _exit_on_signal(*_):
    # The exception makes the context manager of the fleet end all processes.
    raise SystemExit(1)


def main():
    """Run the demo and exit with 0, or with 1 if a step failed or a process remains."""
    signal.signal(signal.SIGTERM, _exit_on_signal)
    started_at = time.monotonic()
    options = fleet.Options(deployment=deployments.BRAZOS, max_seconds=FLEET_TIMEOUT_S)
    running = fleet.Fleet(options=options)
    try:
        with running:
            count = len(running.process_ids)
            print(f"ok    the fleet is ready: {count} processes", flush=True)
            demo = Demo(running=running)
            demo.run()
    except (AssertionError, RuntimeError, OSError) as error:
        print(f"WRONG the fleet is ready: {_shorten(error)}", flush=True)
        sys.exit(1)
    remaining = running.process_ids
    label = "WRONG" if remaining else "ok   "
    print(f"{label} all processes ended: {len(remaining)} remain")
    duration_s = time.monotonic() - started_at
    print(f"{demo.failed_count} steps failed, {duration_s:.0f} s")
    sys.exit(1 if demo.failed_count or remaining else 0)


if __name__ == "__main__":
    main()
