"""The project's stand-in platform with a record of all runs and with further faults.

It adds to ``standins.platform`` what the cases of this review need and that has no
order there: a record of the starts and ends of runs, the advice service with its
tickets, routes that a configuration leaves out, and orders to instances that are
carried out late.
"""

import asyncio
import collections
import contextvars
import json
import time

import standins.platform.__main__ as platform_main
from standins.platform import executors, instances, invariants, serving

# Answer of the advice service: time until it comes, further time for each executor,
# and time for which a ticket is valid.
DECIDE_MS = 20
PERIOD_MS = 1
TICKET_VALID_MS = 3000
# Time between the calls that have waited for an executor; longer than the interval at
# which each of them finds that it is back.
WAITING_CALLS_INTERVAL_S = 0.025

_tickets = {}


_connection = contextvars.ContextVar("connection")


class SilenceableServer(serving.Server):
    """Server whose open connections can go silent for good; new ones work."""

    def __init__(self, *, application):
        self._inner = application
        self._silenced = set()
        super().__init__(application=self._answer)

    def silence(self):
        """Carry out and answer nothing more on the connections that are open now."""
        self._silenced |= set(self._writers)

    async def _serve_connection(self, reader, writer):
        _connection.set(writer)
        await super()._serve_connection(reader, writer)

    async def _answer(self, request):
        await self._hang_if_silenced()
        result = await self._inner(request)
        await self._hang_if_silenced()
        return result

    async def _hang_if_silenced(self):
        if _connection.get() in self._silenced:
            await asyncio.sleep(3600)


class RecordingChecker(invariants.InvariantChecker):
    """Checker that also keeps every start, end and acknowledgement.

    Attributes
    ----------
    events : list of list
        Unix time, ``start`` or how the run ended, task, run and executor.
    active : dict of (str, int, str) to float
        Unix time of the start of each run in progress.
    """

    def __init__(self):
        super().__init__()
        self.events = []
        self.active = {}

    def on_run_started(self, task, run, executor_id, spec):
        """Record a start."""
        self.events.append([time.time(), "start", task, run, executor_id])
        self.active[task, run, executor_id] = time.time()
        super().on_run_started(task, run, executor_id, spec)

    def on_run_ended(self, task, run, executor_id, outcome):
        """Record an end."""
        self.events.append([time.time(), outcome, task, run, executor_id])
        self.active.pop((task, run, executor_id), None)
        super().on_run_ended(task, run, executor_id, outcome)


class ExtendedExecutor(executors.Executor):
    """Executor with tickets, paces, and tasks that serve.

    A step of a specification may have ``tails``: pairs of seconds since the start and
    the tail of the response times in milliseconds from then on, while nothing else runs
    beside the task.
    """

    def __init__(self, **options):
        super().__init__(**options)
        self._percents = {}
        self._tails = {}
        self._paced_at = time.monotonic()

    async def handle(self, request):
        """Answer a request."""
        fields = request.json_object()
        is_meant = request.headers.get("expected-instance") == self.id
        is_start = request.path == "/api/run-start"
        if (
            is_start
            and is_meant
            and not self.is_frozen
            and not self._has_ticket(fields)
        ):
            self._note("refused: ticket", fields)
            return 409, {"ClockMs": self.clock_ms, "Reason": "ticket"}
        status, answer = await super().handle(request)
        if status != 200:
            return status, answer
        if is_start:
            step = json.loads(fields["Spec"])["steps"][
                int(fields["Task"].split(".")[2])
            ]
            if "tails" in step:
                self._tails.setdefault(
                    (fields["Task"], fields["RunId"]), (time.monotonic(), step["tails"])
                )
        elif request.path == "/api/pace":
            self._shift_starts()
            self._percents[fields["Task"], fields["RunId"]] = fields["Percent"]
            self._note(f"pace {fields['Percent']}", fields)
        for row in answer.get("Running", ()):
            if (row[0], row[1]) in self._tails:
                row[4] = self._tail_ms(row[0], row[1])
        return status, answer

    def _note(self, what, fields):
        event = [time.time(), what, fields["Task"], fields["RunId"], self.id]
        self._checker.events.append(event)

    def _has_ticket(self, fields):
        if not json.loads(fields["Spec"]).get("needs_ticket"):
            return True
        step_name = fields["Task"].rpartition(".")[0]
        valid_until = _tickets.get((step_name, self.id, fields.get("Ticket")))
        return valid_until is not None and time.monotonic() <= valid_until

    def _tail_ms(self, task, number):
        started_at, tails = self._tails[task, number]
        age_s = time.monotonic() - started_at
        return [tail_ms for since_s, tail_ms in tails if age_s >= since_s][-1]

    def _shift_starts(self):
        """Shift the starts of paced runs by the time in which they did not work."""
        now = time.monotonic()
        passed_s, self._paced_at = now - self._paced_at, now
        for key, percent in self._percents.items():
            if key in self._runs:
                self._runs[key].started_at += passed_s * (1 - percent / 100)

    def end_due_runs(self):
        """End the runs that are finished, or all runs if the lease is over."""
        self._shift_starts()
        super().end_due_runs()


class LateInstances(instances.Instances):
    """Instances of which single orders get no answer and are carried out late.

    Attributes
    ----------
    late_order_s : float
        The next order for upkeep gets no answer and is carried out after this time; 0
        for none.
    orders : list of list
        Unix time, path, instance, holder, token, status and reason of each order.
    """

    def __init__(self, **options):
        super().__init__(**options)
        self.late_order_s = 0.0
        self.orders = []
        # Number of the calls that wait for each executor that is dark.
        self._waiting_counts = collections.Counter()

    async def handle_executor_call(self, instance, request):
        """Answer a request to an executor; one that is dark gets them in order."""
        if instance.state == "down":
            position = self._waiting_counts[instance.id]
            self._waiting_counts[instance.id] += 1
            while instance.state == "down":
                await asyncio.sleep(executors.CHECK_INTERVAL_S)
            await asyncio.sleep(position * WAITING_CALLS_INTERVAL_S)
            self._waiting_counts[instance.id] = 0
        return await super().handle_executor_call(instance, request)

    async def handle(self, request):
        """Answer a request."""
        if request.path == "/api/machine-upkeep" and self.late_order_s:
            delay_s, self.late_order_s = self.late_order_s, 0.0
            self._note(request, 0, "no answer, carried out late")
            self._call_later(delay_s, lambda: self._carry_out_late_order(request))
            await asyncio.sleep(30.0)
            raise ConnectionResetError
        status, fields = await super().handle(request)
        if request.method == "POST":
            self._note(request, status, fields.get("Reason", ""))
        return status, fields

    def _carry_out_late_order(self, request):
        async def carry_out():
            status, fields = await super(LateInstances, self).handle(request)
            self._note(request, status, f"late {fields.get('Reason', '')}")

        task = asyncio.ensure_future(carry_out())
        self._delayed_calls.add(task)

    def _note(self, request, status, reason):
        fields = request.json_object()
        self.orders.append(
            [
                time.time(),
                request.path,
                fields.get("Machine"),
                fields.get("Pool") or fields.get("Wave"),
                request.headers.get("duty-holder"),
                request.headers.get("fencing-token"),
                status,
                reason,
                sorted(i.id for i in self.by_id.values() if i.state == "upkeep"),
            ]
        )


class Platform(platform_main.Platform):
    """The stand-in platform with the additions."""

    def __init__(self, options):
        self.removed_queues = set()
        self.queues_with_advice = set()
        super().__init__(options)
        self._advice_server = serving.Server(application=self._handle_advice)

    async def run(self):
        """Serve until SIGTERM, SIGINT or the time limit."""
        await self._advice_server.start(self._options.host)
        await super().run()

    def _write_configuration(self, version):
        self._version = version
        value = platform_main.configuration(self._pools, self._options.spare, version)
        value["Routes"] = [
            route
            for route in value["Routes"]
            if route["Name"] not in self.removed_queues
        ]
        for route in value["Routes"]:
            if route["Name"] in self.queues_with_advice:
                route["Recommendation"] = {
                    "DecideMs": DECIDE_MS,
                    "PeriodMs": PERIOD_MS,
                    "ValidMs": TICKET_VALID_MS,
                }
        self._store.put("keyed.op", "config", json.dumps(value).encode())

    async def _handle_advice(self, request):
        fields = request.json_object()
        workers = fields["Workers"]
        await asyncio.sleep((DECIDE_MS + PERIOD_MS * len(workers)) / 1000)
        valid_until = time.monotonic() + TICKET_VALID_MS / 1000
        rows = []
        for worker in workers:
            ticket = f"{abs(hash((fields['Step'], worker))):016x}"
            _tickets[fields["Step"], worker, ticket] = valid_until
            rows.append([worker, ticket])
        return 200, {"Permitted": rows, "ValidMs": TICKET_VALID_MS}

    async def _handle_operator_request(self, request):
        if request.path != "/record":
            return await super()._handle_operator_request(request)
        places = {
            i.executor.id: i.id for i in self._instances.by_id.values() if i.executor
        }
        return 200, {
            "events": self._checker.events,
            "active": [
                [task, run, executor_id, places.get(executor_id, ""), started_at]
                for (task, run, executor_id), started_at in self._checker.active.items()
            ],
            "orders": self._instances.orders,
            "advice": f"{self._options.host}:{self._advice_server.port}",
            "instances": [
                [i.id, i.pool, i.state, i.executor.id if i.executor else ""]
                for i in self._instances.by_id.values()
            ],
        }

    def _order_queues(self, removed=(), with_advice=()):
        """Write a configuration without some queues, or with advice for some."""
        self.removed_queues = set(removed)
        self.queues_with_advice = set(with_advice)
        self._write_configuration(self._version + 1)

    def _order_silence_executors(self):
        """Let all open connections to executors go silent."""
        for instance in self._instances.by_id.values():
            instance.server.silence()

    def _order_late_upkeep(self, delay_s):
        """Carry the next order for upkeep out late and without an answer."""
        self._instances.late_order_s = delay_s


if __name__ == "__main__":
    # The clock of an executor starts anew with each of its lives (protocol).
    executors.FIRST_CLOCK_LIMIT_MS = 1
    serving.Server = SilenceableServer
    invariants.InvariantChecker = RecordingChecker
    executors.Executor = ExtendedExecutor
    instances.Instances = LateInstances
    platform_main.Platform = Platform
    platform_main.main()
