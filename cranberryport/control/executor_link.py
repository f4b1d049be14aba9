"""Orders to one executor, and the loop that renews its lease and lists its runs."""

import logging
import time

from cranberryport.platform import executors
from cranberryport.scheduling import model, pacing

# Long enough that a successor finds all runs alive after the loss of a controller.
LEASE_S = 4.0
# A start is valid for 2 s, so it can be sent again twice after a lost answer.
ORDER_TIMEOUT_S = 0.7
START_RETRY_S = 0.05
# Beyond the time that the executor may hold the answer back.
LIST_TIMEOUT_S = 0.8
# Renewals have to come well within a lease; each list has a price.
BUSY_WAIT_S = 1.0
# Tail latencies of serving tasks beside tasks that fill are looked at this often.
SHARED_WAIT_S = 0.5
# The longest that executors hold an answer back (platform's protocol).
IDLE_WAIT_S = 2.0
# Ends that come within this time share one list; each list has a price.
LIST_GAP_S = 0.06
# Ends are listed again until they are acknowledged, so a list waits for their storing.
ACKNOWLEDGE_WAIT_S = 0.3
# Two such steps fit into an append of 12 ms.
ACKNOWLEDGE_POLL_S = 0.01
# Silent executors are asked four times a second.
SILENT_RETRY_S = 0.25

_logger = logging.getLogger(__name__)


class ExecutorLink:
    """Talks with one executor.

    Parameters
    ----------
    executor : cranberryport.scheduling.executors.Executor
        The executor.
    scheduler : cranberryport.scheduling.scheduler.Scheduler
        State of all jobs.
    client : executors.ExecutorClient
        Sends the orders.
    timers : cranberryport.timers.Timers
        Timers of the process.
    fence : int
        Epoch of the controller.
    lease_s : float
        Length of the lease.
    on_change : callable
        Called after each answer that changes what is known.
    on_superseded : callable
        Called if the executor obeys a later controller.
    """

    __slots__ = (
        "_asked_at",
        "_client",
        "_executor",
        "_fence",
        "_is_asking",
        "_is_silent",
        "_is_stopped",
        "_lease_s",
        "_on_change",
        "_on_superseded",
        "_scheduler",
        "_timers",
    )

    def __init__(
        self,
        *,
        executor,
        scheduler,
        client,
        timers,
        fence,
        lease_s,
        on_change,
        on_superseded,
    ):
        self._executor = executor
        self._scheduler = scheduler
        self._client = client
        self._timers = timers
        self._fence = fence
        self._lease_s = lease_s
        self._on_change = on_change
        self._on_superseded = on_superseded
        self._is_stopped = False
        self._is_silent = False
        self._is_asking = False
        self._asked_at = 0.0

    @property
    def executor(self):
        """The executor."""
        return self._executor

    def open(self):
        """Begin to list its runs."""
        self._ask()

    def close(self):
        """Send nothing more; answers that still come are dropped."""
        self._is_stopped = True

    def start(self, run):
        """Send the start of a stored run."""
        now = time.monotonic()
        validity_s = run.start_expires_at - now
        if self._is_stopped or run.state != model.ORDERED or validity_s <= 0:
            return
        if run not in run.task.runs:
            # The run was dropped meanwhile, and its task may run elsewhere.
            return
        if self._executor.clock_ms is None:
            # The executor has restarted, and its clock is not known yet.
            self._timers.after(START_RETRY_S, lambda: self.start(run))
            return
        if run.deadline_ms is None:
            run.deadline_ms = self._executor.extend_lease(now, validity_s)
        self._client.start_run(
            self._executor,
            run,
            deadline_ms=run.deadline_ms,
            fence=self._fence,
            callback=lambda answer: self._on_start(run, answer),
            timeout_s=min(ORDER_TIMEOUT_S, validity_s),
        )

    def stop(self, run):
        """Send the stop of a run."""
        if self._is_stopped:
            return
        run.stop_sent_at = time.monotonic()
        self._client.stop_run(
            self._executor,
            run.task.name,
            run.number,
            fence=self._fence,
            callback=lambda answer: self._on_stop(run, answer),
            timeout_s=ORDER_TIMEOUT_S,
        )

    def pace(self, run, percent):
        """Send the pace of a run."""
        if self._is_stopped:
            return
        self._client.set_pace(
            self._executor,
            run,
            percent,
            fence=self._fence,
            callback=lambda answer: self._on_pace(run, percent, answer),
            timeout_s=ORDER_TIMEOUT_S,
        )

    def _on_start(self, run, answer):
        if self._is_stopped:
            return
        now = time.monotonic()
        if isinstance(answer, executors.NoResponse):
            self._timers.after(START_RETRY_S, lambda: self.start(run))
            return
        if self._is_other_life(answer):
            return
        if answer.is_accepted:
            self._scheduler.on_run_started(run, now)
        else:
            _logger.info(
                "start refused",
                extra={
                    "request": run.task.job.id,
                    "task": run.task.name,
                    "run": run.number,
                    "executor": self._executor.id,
                    "reason": answer.refusal,
                },
            )
            self._scheduler.on_start_refused(run, answer.refusal, now)
        self._on_change()

    def _on_stop(self, run, answer):
        if self._is_stopped or isinstance(answer, executors.NoResponse):
            return
        if self._is_other_life(answer):
            return
        if answer.is_accepted:
            self._scheduler.on_stop_confirmed(run, time.monotonic())

    def _on_pace(self, run, percent, answer):
        if self._is_stopped or isinstance(answer, executors.NoResponse):
            return
        if not self._is_other_life(answer) and answer.is_accepted:
            run.pace = percent

    def _is_other_life(self, answer):
        """Handle answers of another life of the executor, or for another controller."""
        executor = self._executor
        if answer.refusal == "fenced":
            self._on_superseded()
            return True
        if answer.refusal == "other_instance":
            # The address serves another executor now; the entry in the list tells
            # which, and the lease decides about the runs.
            executor.backoff_until = time.monotonic() + SILENT_RETRY_S
            return True
        if answer.born is not None and executor.started_at_ms != answer.born:
            if (
                executor.started_at_ms is not None
                and answer.born < executor.started_at_ms
            ):
                # A late answer from before the restart.
                return True
            if executor.started_at_ms is not None:
                self._scheduler.on_executor_restarted(executor, answer.born)
            executor.started_at_ms = answer.born
        return False

    def _ask(self):
        if self._is_stopped or self._is_asking:
            return
        executor = self._executor
        now = self._asked_at = executor.list_requested_at = time.monotonic()
        deadline_ms = None
        if executor.clock_ms is not None and not self._is_silent:
            deadline_ms = executor.extend_lease(now, self._lease_s)
        wait_s = BUSY_WAIT_S if executor.runs else IDLE_WAIT_S
        if any(run.task.step.is_filling for run in executor.runs.values()):
            wait_s = SHARED_WAIT_S
        if executor.clock_ms is None or self._is_silent:
            wait_s = 0.0
        self._is_asking = True
        self._client.list_runs(
            executor,
            deadline_ms=deadline_ms,
            fence=self._fence,
            wait_s=wait_s,
            callback=self._on_list,
            timeout_s=LIST_TIMEOUT_S,
        )

    def _on_list(self, answer):
        self._is_asking = False
        if self._is_stopped:
            return
        now = time.monotonic()
        executor = self._executor
        executor.list_requested_at = None
        if isinstance(answer, executors.NoResponse):
            self._note_silence(answer.reason)
            return
        if self._is_other_life(answer) or not answer.is_accepted:
            self._timers.after(SILENT_RETRY_S, self._ask)
            return
        if self._is_silent:
            self._is_silent = False
            _logger.info("executor regained", extra={"executor": executor.id})
        is_first = executor.clock_ms is None
        if answer.clock_ms is not None:
            executor.update_clock(answer.clock_ms, now)
        executor.has_accepted_epoch = True
        unknown = self._scheduler.on_runs_listed(
            executor, answer, requested_at=self._asked_at, now=now, wall=time.time()
        )
        for task, run in unknown:
            _logger.info(
                "stopping unknown run",
                extra={"task": task, "run": run, "executor": executor.id},
            )
            self._client.stop_run(
                executor,
                task,
                run,
                fence=self._fence,
                callback=self._on_unknown_stopped,
                timeout_s=ORDER_TIMEOUT_S,
            )
        self._adjust_pace()
        self._on_change()
        if is_first:
            self._ask()
        else:
            self._timers.after(LIST_GAP_S, self._ask_when_stored)

    def _on_unknown_stopped(self, answer):
        # The run is listed, and stopped, again until it has ended.
        _logger.debug(
            "stop of unknown run answered",
            extra={"executor": self._executor.id, "answer": str(answer)},
        )

    def _adjust_pace(self):
        runs = list(self._executor.runs.values())
        fillers = [
            run
            for run in runs
            if run.task.step.is_filling and run.state == model.RUNNING
        ]
        if not fillers:
            return
        share = pacing.worst_latency_ratio(runs)
        for run in fillers:
            percent = pacing.next_pace(run.pace, share)
            if percent != run.pace:
                _logger.info(
                    "pace",
                    extra={
                        "request": run.task.job.id,
                        "task": run.task.name,
                        "executor": self._executor.id,
                        "percent": percent,
                        "tail_share": None if share is None else round(share, 2),
                    },
                )
                self.pace(run, percent)

    def _ask_when_stored(self):
        executor = self._executor
        waited_s = time.monotonic() - executor.last_listed_at
        if (
            executor.acknowledged_end < executor.received_end
            and waited_s < ACKNOWLEDGE_WAIT_S
        ):
            self._timers.after(ACKNOWLEDGE_POLL_S, self._ask_when_stored)
        else:
            self._ask()

    def _note_silence(self, reason):
        if not self._is_silent:
            self._is_silent = True
            _logger.warning(
                "executor lost",
                extra={"executor": self._executor.id, "reason": reason},
            )
        self._timers.after(SILENT_RETRY_S, self._ask)
