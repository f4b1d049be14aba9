"""Run Brazos with 8 entry instances and show the main paths.

Every step prints one line that begins with ``ok`` or ``WRONG``. The exit code is 0 only
if every step was right.
"""

import concurrent.futures
import json
import signal
import sys
import time

from standins import calls, deployments, fleet, sheets

# The demo ends within two minutes, also when something never happens.
DEADLINE_S = 100.0
LIFE_S = 115.0
REBOOTED = "sizing-3"
JOB_PAYLOAD = '{"seconds": 1, "result": "stitch plan ready"}'
REQUESTS = (
    # Entry instance, method, path, desk, class.
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
    """The steps and what they found.

    Parameters
    ----------
    running : fleet.Fleet
        A fleet that was started.
    """

    def __init__(self, *, running):
        self._fleet = running
        self._deadline = time.monotonic() + DEADLINE_S
        self._wrong_count = 0

    @property
    def wrong_count(self):
        """Number of steps that went wrong."""
        return self._wrong_count

    def run(self):
        """Run all steps; a step that goes wrong does not stop the others."""
        self._step("settings of entry-1 are valid", self._check_settings)
        self._step("both sheets are checked", self._check_sheets)
        self._step("a sheet with an error is refused", self._check_bad_sheet)
        self._step("the owner's sheet is published", self._publish_owner)
        self._step("the team's sheet is published", self._publish_team)
        self._step("all instances show the same sheets", self._compare_sheets)
        self._step("all instances serve all services", self._wait_serving)
        for request in REQUESTS:
            number, method, path, desk, request_class = request
            text = f"{request_class} {method} {path} of {desk} at entry-{number + 1}"
            self._step(text, lambda request=request: self._send_request(*request))
        self._step("an order charge and its repeat run once", self._charge_order)
        self._step("an order without a key is refused", self._send_bad_request)
        self._step("a job runs and gives its result", self._run_job)
        self._step(f"{REBOOTED} is rebooted gracefully", self._reboot)
        self._step("no operation is left open", self._check_operations)
        for page in ("pools", "instances", "status"):
            self._step(f"the tool shows {page}", lambda page=page: self._show(page))

    def _step(self, text, function):
        try:
            seen = function()
            word = "ok   "
        except Exception as error:
            # Whatever a step meets is reported as its result.
            seen = f"{type(error).__name__}: {error}"
            word = "WRONG"
            self._wrong_count += 1
        print(f"{word} {text}: {_one_line(seen)}", flush=True)

    def _wait(self, condition, text):
        left_s = max(1.0, self._deadline - time.monotonic())
        return calls.wait_until(condition, left_s, text)

    def _run_tool(self, *arguments):
        result = self._fleet.run_tool(*arguments)
        _expect(result.returncode == 0, result.stdout + result.stderr)
        return result.stdout

    def _sheet(self, authority):
        return fleet.ROOT / "deployments" / "brazos" / f"{authority}.csv"

    def _check_settings(self):
        path = self._fleet.entries[0].settings_path
        return self._run_tool("settings", "check", path)

    def _check_sheets(self):
        outputs = [
            self._run_tool("sheet", "check", self._sheet(authority))
            for authority in ("owner", "team")
        ]
        return " / ".join(outputs)

    def _check_bad_sheet(self):
        path = self._fleet.directory / "bad.csv"
        rows = ["team,desk,cutting,weight,heavy,"]
        sheets.copy_sheet(self._sheet("team"), path, without=(), rows=rows)
        result = self._fleet.run_tool("sheet", "check", path)
        _expect(result.returncode == 2, f"exit code {result.returncode}")
        _expect("heavy" in result.stdout, result.stdout)
        return result.stdout.splitlines()[0]

    def _publish_owner(self):
        return self._publish("owner", "owner", without=sheets.TIME_OF_DAY_SETTINGS)

    def _publish_team(self):
        without = (*sheets.TIME_OF_DAY_SETTINGS, "maintenance")
        return self._publish("planner", "team", without=without)

    def _publish(self, publisher, authority, **options):
        path = self._fleet.directory / f"{authority}.csv"
        sheets.copy_sheet(self._sheet(authority), path, **options)
        result = self._fleet.publish(publisher, path)
        _expect(result.returncode == 0, result.stdout + result.stderr)
        return result.stdout

    def _compare_sheets(self):
        entries = self._fleet.entries
        self._wait(
            lambda: len({entry.sheet_versions for entry in entries}) == 1,
            "one version everywhere",
        )
        owner, team = entries[0].sheet_versions
        return f"owner's version {owner}, team's version {team}"

    def _wait_serving(self):
        pairs = [
            (entry, service)
            for entry in self._fleet.entries
            for service in self._fleet.deployment.services
        ]
        for entry, service in pairs:
            text = f"{entry.name} serves {service}"
            self._wait(
                lambda entry=entry, service=service: _is_serving(entry, service), text
            )
        return f"{len(pairs)} pairs of instance and service"

    def _send_request(self, number, method, path, desk, request_class):
        headers = {"Desk": desk, "Request-Class": request_class}
        response = _send(self._fleet.entries[number], method, path, headers)
        _expect(response.outcome == "answered", response.describe())
        answer = response.json
        _expect(answer["test_request"] == headers["Test-Request"], answer)
        _expect(answer["path"] == "/" + path.split("/", 2)[2], answer)
        return f"answered by {answer['server']}"

    def _charge_order(self):
        headers = {"Desk": "front-desk", "Idempotency-Key": calls.new_uuid7()}
        path = "/front-desk/orders/41/charge"
        first = _send(self._fleet.entries[1], "POST", path, headers)
        second = _send(self._fleet.entries[4], "POST", path, headers)
        _expect(first.outcome == "answered", first.describe())
        _expect(second.outcome == "answered", second.describe())
        _expect(first.body == second.body, "the two answers differ")
        found = self._fleet.executions(test_request=headers["Test-Request"])
        _expect(len(found) == 1, f"{len(found)} executions")
        return f"1 execution on {found[0]['server']}, both answers are the same"

    def _send_bad_request(self):
        headers = {"Desk": "front-desk"}
        entry = self._fleet.entries[2]
        response = _send(entry, "POST", "/front-desk/orders/42/charge", headers)
        _expect(response.outcome == "not-run", response.describe())
        _expect(400 <= response.status < 500, response.describe())
        found = self._fleet.executions(test_request=headers["Test-Request"])
        _expect(not found, f"{len(found)} executions")
        return f"not-run with status {response.status}, no execution"

    def _run_job(self):
        submit = ["--desk", "back-office", "--payload", JOB_PAYLOAD]
        submit += ["--runtime-s", "1", "--class", "interactive"]
        submit += ["--instance", self._fleet.entries[3].address]
        job = json.loads(self._run_tool("job", "submit", "back-office", *submit))["job"]
        other = self._fleet.entries[6]
        path = f"/jobs/{job}"

        def is_finished():
            page = other.send("GET", path, timeout_s=10)
            return page.status == 200 and page.json["state"] == "finished"

        self._wait(is_finished, f"job {job} finishes")
        shown = json.loads(
            self._run_tool("job", "show", job, "--instance", other.address)
        )
        _expect(shown["result"] == "stitch plan ready", shown)
        return f"accepted by entry-4, {shown['state']} at entry-7: {shown['result']}"

    def _reboot(self):
        with concurrent.futures.ThreadPoolExecutor(4) as callers:
            is_done = []
            traffic = [
                callers.submit(self._send_until, entry, is_done)
                for entry in self._fleet.entries[:4]
            ]
            try:
                self._publish("planner", "team", without=sheets.TIME_OF_DAY_SETTINGS)
                self._wait(
                    self._is_rebooted, f"{REBOOTED} works again after its reboot"
                )
            finally:
                is_done.append(True)
        outcomes = [outcome for future in traffic for outcome in future.result()]
        _expect(set(outcomes) == {"answered"}, sorted(set(outcomes)))
        cut = self._fleet.executions(cut=True)
        _expect(not cut, f"{len(cut)} requests were cut off")
        return f"{len(outcomes)} requests meanwhile, all answered, none cut off"

    def _send_until(self, entry, is_done):
        outcomes = []
        while not is_done:
            headers = {"Desk": "sizing", "Test-Delay-Ms": "100"}
            response = _send(entry, "GET", "/sizing/sizes/banner", headers)
            outcomes.append(response.outcome or response.error)
        return outcomes

    def _is_rebooted(self):
        reboots = self._fleet.instance_list_state()["reboots"]
        ends = [row["end"] for row in reboots if row["name"] == REBOOTED]
        if not ends or ends[0] is None:
            return False
        executions = self._fleet.executions(server=REBOOTED)
        return any(execution["start"] > ends[0] for execution in executions)

    def _check_operations(self):
        address = self._fleet.entries[7].address
        self._wait(
            lambda: not self._run_tool("operations", "--instance", address).strip(),
            "the tool shows no operation",
        )
        return "the tool shows none"

    def _show(self, page):
        output = self._run_tool(page, "--instance", self._fleet.entries[7].address)
        _expect(output.strip(), "nothing is shown")
        return output


def _send(entry, method, path, headers):
    # The backend servers record this id, also if other ids change on the way.
    headers.setdefault("Test-Request", calls.new_uuid7())
    body = b"" if method == "GET" else path.encode()
    return entry.send(method, path, headers=headers, body=body)


def _is_serving(entry, service):
    response = _send(entry, "GET", f"/{service}/ready", {"Desk": service})
    return response.outcome == "answered"


def _expect(condition, seen):
    if not condition:
        raise AssertionError(seen)


def _one_line(value, width=160):
    text = " ".join(str(value).split())
    return text if len(text) <= width else text[: width - 3] + "..."


def _stop(*_):
    # An exception lets the fleet's context manager end all processes.
    raise SystemExit(1)


def main():
    """Run the demo; exit with 0 only if every step was right."""
    signal.signal(signal.SIGTERM, _stop)
    started = time.monotonic()
    options = fleet.Options(deployment=deployments.BRAZOS, max_seconds=LIFE_S)
    running = fleet.Fleet(options=options)
    try:
        with running:
            count = len(running.process_ids)
            print(f"ok    the fleet is ready: {count} processes", flush=True)
            demo = Demo(running=running)
            demo.run()
    except (AssertionError, RuntimeError, OSError) as error:
        print(f"WRONG the fleet is ready: {_one_line(error)}", flush=True)
        sys.exit(1)
    remaining = running.process_ids
    word = "WRONG" if remaining else "ok   "
    print(f"{word} all processes ended: {len(remaining)} remain")
    duration_s = time.monotonic() - started
    print(f"{demo.wrong_count} steps went wrong, {duration_s:.0f} s")
    sys.exit(1 if demo.wrong_count or remaining else 0)


if __name__ == "__main__":
    main()
