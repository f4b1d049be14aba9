"""Sends orders to one executor, renews its lease and lists its runs.

One call renews the lease and lists the runs. It is a long poll: the executor answers
when a run ends or after the time that the call allows. The next call acknowledges the
reported ends of runs that have been stored; the executor no longer lists these.

An executor that restarts may be back under its id at once, and its address and id do
not tell which of its lives has answered a call. Each call is sent for the life that is
known then (:attr:`executors.Executor.life`), and each answer is examined: only lists of
runs name the life. What another life answers proves nothing about the one that was
meant. The clock in the other answers may show that it was another life, never that it
was the one that was meant.
"""

import logging
import time

from cranberryport.control import call_losses
from cranberryport.platform import executors
from cranberryport.scheduling import model, pacing, takeover

# Long enough that no run ends while a new controller replaces one that has failed.
LEASE_S = 4.0
START_RETRY_DELAY_S = 0.05
# While a best-effort task runs, the tail latencies of the serving tasks beside it are
# read at this interval to adjust its pace.
BEST_EFFORT_LONG_POLL_S = 0.5
# Longest time that executors allow for a long poll (platform's protocol).
IDLE_LONG_POLL_S = 2.0
# Delay between two calls, so that runs that end within it are listed by one call; each
# call is charged for.
LIST_DELAY_S = 0.06
# An ended run is listed until its end is acknowledged, which happens only after the end
# has been stored. So the next call waits until then, but not longer than this.
STORING_WAIT_LIMIT_S = 0.3
# Interval of the checks whether the ends are stored.
STORING_CHECK_INTERVAL_S = 0.01
LIST_RETRY_DELAY_S = 0.25
# Reasons of a missing response after which the executor has certainly got nothing: the
# connection was not made, or the role was not proven any more.
NOT_SENT_REASONS = ("connect", "refused")

_logger = logging.getLogger(__name__)


class _Call:
    """A call to an executor, which was meant for the life that was known then."""

    __slots__ = ("end_number", "life", "name", "sent_at", "started_at_ms")

    def __init__(self, *, name, executor, sent_at):
        self.name = name
        self.life = executor.life
        self.started_at_ms = executor.started_at_ms
        self.sent_at = sent_at
        # Number of the last end that the call acknowledges.
        self.end_number = executor.unconfirmed_end_number


class ExecutorLink:
    """Sends calls to one executor and passes the responses to the scheduler.

    Parameters
    ----------
    executor : cranberryport.scheduling.executors.Executor
        The executor.
    scheduler : cranberryport.scheduling.scheduler.Scheduler
        State of all jobs.
    client : executors.ExecutorClient
        Calls the executors.
    timers : cranberryport.timers.Timers
        Timers of the process.
    epoch : int
        Epoch of the controller; the executor refuses calls of an earlier one.
    lease_s : float
        Duration of the lease in seconds.
    on_change : callable
        Called without arguments after each response that may have changed the state of
        the scheduler.
    on_superseded : callable
        Called without arguments if the executor refuses a call because it has received
        one of a later controller.
    is_role_proven : callable
        Returns whether orders may be sent and the lease renewed, see
        ``Membership.is_role_proven``. Lists of runs are requested in any case.
    losses : call_losses.CallLosses, optional
        Lost answers of all executors of the controller.
    """

    __slots__ = (
        "_client",
        "_epoch",
        "_executor",
        "_has_list_call_failed",
        "_is_closed",
        "_is_role_proven",
        "_lease_s",
        "_losses",
        "_on_change",
        "_on_superseded",
        "_pending_list",
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
        epoch,
        lease_s,
        on_change,
        on_superseded,
        is_role_proven,
        losses=None,
    ):
        self._is_role_proven = is_role_proven
        self._executor = executor
        self._scheduler = scheduler
        self._client = client
        self._timers = timers
        self._epoch = epoch
        self._lease_s = lease_s
        self._on_change = on_change
        self._on_superseded = on_superseded
        self._is_closed = False
        self._has_list_call_failed = False
        # The call for a list whose answer counts; None if there is none.
        self._pending_list = None
        self._losses = losses or call_losses.CallLosses()

    @property
    def executor(self):
        """Executor that this link calls."""
        return self._executor

    def open(self):
        """Start renewing the lease and listing the runs."""
        self._list_runs()

    def close(self):
        """Send no more calls; responses to pending calls are ignored."""
        self._is_closed = True

    def list_after_restart(self):
        """List the runs at once if a pending request was meant for a former life."""
        pending = self._pending_list
        if pending is not None and pending.life != self._executor.life:
            self._list_runs_again()

    def _list_runs_again(self):
        """List the runs without waiting for the answer to the pending request."""
        self._pending_list = None
        self._list_runs()

    def _make_call(self, name):
        return _Call(name=name, executor=self._executor, sent_at=time.monotonic())

    @property
    def _token(self):
        return takeover.order_token(self._epoch, self._executor.life)

    def start(self, run):
        """Order the executor to start a run that is stored."""
        now = time.monotonic()
        validity_s = run.start_expires_at - now
        if self._is_closed or run.state != model.ORDERED or validity_s <= 0:
            return
        if run.is_start_withdrawn:
            return
        if run not in run.task.runs:
            # The scheduler has removed the run, so its task may run elsewhere.
            return
        if self._executor.clock_ms is None or not self._may_send_start(run):
            # The executor has restarted, and its clock is not known yet; or another
            # process may be the controller.
            self._timers.after(START_RETRY_DELAY_S, lambda: self.start(run))
            return
        if run.deadline_ms is None:
            # By a clock that runs slow the executor does not accept it for longer.
            run.deadline_ms = self._executor.extend_lease(
                now, validity_s / takeover.CLOCK_DRIFT_FACTOR
            )
        call = self._make_call("start")
        self._client.start_run(
            self._executor,
            run,
            deadline_ms=run.deadline_ms,
            token=self._token,
            callback=lambda response: self._on_start(run, call, response),
            timeout_s=min(takeover.ORDER_TIMEOUT_S, validity_s),
            may_send=lambda: self._may_send_start(run),
        )

    def _may_send_start(self, run):
        """Return whether the start of a run may be sent now; record its time."""
        may_send = self._may_name_lease()
        if may_send:
            run.start_sent_at = self._executor.last_lease_sent_at
            run.start_ended_at = None
        return may_send

    def _may_name_lease(self):
        """Return whether a call that names a lease may be sent now; record its time."""
        is_proven = self._is_role_proven()
        if is_proven:
            self._executor.last_lease_sent_at = time.monotonic()
        return is_proven

    def stop(self, run):
        """Order the executor to stop a run; the scheduler repeats it if needed."""
        if self._is_closed or not self._is_role_proven():
            return
        run.stop_sent_at = time.monotonic()
        call = self._make_call("stop")
        self._client.stop_run(
            self._executor,
            run.task.name,
            run.number,
            token=self._token,
            callback=lambda response: self._on_stop(run, call, response),
            timeout_s=takeover.ORDER_TIMEOUT_S,
            may_send=self._is_role_proven,
        )

    def set_pace(self, run, percent):
        """Order the executor to limit a run to a percentage of its speed."""
        if self._is_closed or not self._is_role_proven():
            return
        call = self._make_call("pace")
        self._client.set_pace(
            self._executor,
            run,
            percent,
            token=self._token,
            callback=lambda response: self._on_pace(run, percent, call, response),
            timeout_s=takeover.ORDER_TIMEOUT_S,
            may_send=self._is_role_proven,
        )

    def _on_start(self, run, call, response):
        if self._is_closed:
            return
        now = run.start_ended_at = time.monotonic()
        if isinstance(response, executors.NoResponse):
            run.has_unanswered_start |= response.reason not in NOT_SENT_REASONS
            if response.reason == "timeout" and not self._has_list_call_failed:
                self._losses.record_loss(now)
            self._timers.after(START_RETRY_DELAY_S, lambda: self.start(run))
            return
        if self._is_unusable(call, response):
            if response.reason == "other_instance":
                self._scheduler.on_start_refused(run, response.reason, now)
                self._on_change()
            return
        # A refused start has done nothing in any life, except that after "old" the run
        # may exist.
        is_refused = not response.is_accepted and response.reason != "old"
        if is_refused or response.reason == "old":
            _logger.info(
                "start refused",
                extra={
                    "request": run.task.job.id,
                    "task": run.task.name,
                    "run": run.number,
                    "executor": self._executor.id,
                    "reason": response.reason,
                },
            )
        if not is_refused and not self._is_of_life_meant(call, response):
            # Whether the life that was meant has the run is not known.
            run.has_unanswered_start = True
        elif response.is_accepted:
            self._executor.last_alive_at = now
            self._scheduler.on_run_started(run, now)
        else:
            self._scheduler.on_start_refused(run, response.reason, now)
        self._on_change()

    def _on_stop(self, run, call, response):
        if self._is_closed or isinstance(response, executors.NoResponse):
            return
        if self._is_unusable(call, response) or not response.is_accepted:
            return
        if self._is_of_life_meant(call, response):
            self._scheduler.on_stop_confirmed(run, time.monotonic())

    def _on_pace(self, run, percent, call, response):
        if self._is_closed or isinstance(response, executors.NoResponse):
            return
        if self._is_unusable(call, response) or not response.is_accepted:
            return
        if self._is_of_life_meant(call, response):
            run.pace = percent

    def _is_unusable(self, call, response):
        """Return whether a response must be ignored.

        Also gives up the controller role if the executor has refused the call because
        of a later controller, and records a restart of the executor; after a restart
        the response is usable.
        """
        executor = self._executor
        if response.reason == "fenced" and call.life != executor.life:
            # Refused because of a call to the present life, which has a higher token.
            self._log_other_life(call, response)
            return True
        if response.reason == "fenced":
            self._on_superseded()
            return True
        if response.reason == "other_instance":
            # Another executor has this address now. The list of executors in the store
            # will show it; the runs of this one are removed when its lease expires.
            executor.backoff_until = time.monotonic() + LIST_RETRY_DELAY_S
            return True
        if (
            response.started_at_ms is not None
            and executor.started_at_ms != response.started_at_ms
        ):
            if (
                executor.started_at_ms is not None
                and response.started_at_ms < executor.started_at_ms
            ):
                # The executor sent this response before its restart.
                self._log_other_life(call, response)
                return True
            if executor.started_at_ms is not None:
                self._scheduler.on_executor_restarted(executor, response.started_at_ms)
                self.list_after_restart()
            executor.started_at_ms = response.started_at_ms
        return False

    def _is_of_life_meant(self, call, response):
        """Return whether the life that a call was meant for may have answered.

        Otherwise the executor has restarted. If this is not known yet, the runs are
        listed at once, as the list names the life.
        """
        executor = self._executor
        if call.life != executor.life:
            self._log_other_life(call, response)
            return False
        if response.clock_ms is not None and executor.is_clock_of_other_life(
            response.clock_ms, call.sent_at, time.monotonic()
        ):
            self._log_other_life(call, response)
            pending = self._pending_list
            if pending is None or pending.sent_at < call.sent_at:
                self._list_runs_again()
            return False
        return True

    def _log_other_life(self, call, response):
        executor = self._executor
        _logger.info(
            "answer may be of another life of the executor",
            extra={
                "executor": executor.id,
                "call": call.name,
                "life_meant": call.started_at_ms,
                "life_known": executor.started_at_ms,
                # Only lists of runs name it.
                "life_answered": response.started_at_ms,
                "clock_ms": response.clock_ms,
                "clock_ms_read": executor.clock_ms,
                "is_accepted": response.is_accepted,
                "reason": response.reason,
            },
        )

    def _list_runs(self):
        if self._is_closed or self._pending_list is not None:
            return
        executor = self._executor
        call = self._pending_list = self._make_call("list")
        if self._has_list_call_failed:
            # It may have restarted, and the ends of its next life have these numbers,
            # too.
            call.end_number = 0
        now = executor.list_requested_at = call.sent_at
        lease_end_ms, may_send = None, None
        is_renewal = executor.clock_ms is not None and not self._has_list_call_failed
        if is_renewal and self._may_name_lease():
            lease_end_ms = executor.extend_lease(now, self._lease_s)
            may_send = self._may_name_lease
        long_poll_s = IDLE_LONG_POLL_S
        if executor.runs:
            long_poll_s = self._losses.long_poll_s(now)
        if any(run.task.step.is_filling for run in executor.runs.values()):
            long_poll_s = min(long_poll_s, BEST_EFFORT_LONG_POLL_S)
        if executor.clock_ms is None or self._has_list_call_failed:
            long_poll_s = 0.0
        self._client.list_runs(
            executor,
            end_number=call.end_number,
            lease_end_ms=lease_end_ms,
            token=self._token,
            wait_s=long_poll_s,
            callback=lambda response: self._on_runs_listed(call, response),
            timeout_s=self._losses.list_timeout_s(now),
            may_send=may_send,
        )

    def _on_runs_listed(self, call, response):
        if self._is_closed or call is not self._pending_list:
            # A later request does not depend on this one.
            return
        self._pending_list = None
        try:
            self._handle_list(call, response)
        except Exception:
            # The executor is asked again, whatever its list contains.
            _logger.exception(
                "list of runs not handled", extra={"executor": self._executor.id}
            )
            self._timers.after(LIST_RETRY_DELAY_S, self._list_runs)

    def _handle_list(self, call, response):
        now = time.monotonic()
        executor = self._executor
        executor.list_requested_at = None
        if isinstance(response, executors.NoResponse) and response.reason == "refused":
            self._timers.after(LIST_RETRY_DELAY_S, self._list_runs)
            return
        if isinstance(response, executors.NoResponse):
            executor.record_failed_call(
                now, is_connection_closed=response.reason == "closed"
            )
            self._on_no_response(response.reason)
            return
        is_unusable = self._is_unusable(call, response)
        if response.reason == "other_instance":
            # This one does not answer at its address, so its lease is not renewed.
            executor.record_failed_call(now, is_connection_closed=False)
            self._on_no_response(response.reason)
            return
        if not is_unusable and response.started_at_ms is None:
            # Without its start time the list could be of any life since the call.
            is_unusable = call.life != executor.life
        if not is_unusable:
            executor.record_answer(now)
        if is_unusable or not response.is_accepted:
            self._timers.after(LIST_RETRY_DELAY_S, self._list_runs)
            return
        if self._has_list_call_failed:
            self._has_list_call_failed = False
            _logger.info("executor answers again", extra={"executor": executor.id})
        is_clock_new = executor.clock_ms is None
        if response.clock_ms is not None:
            executor.update_clock(response.clock_ms, now, requested_at=call.sent_at)
        if call.life == executor.life:
            # It now refuses calls of earlier controllers, and those that were meant for
            # its former lives.
            executor.has_accepted_epoch = True
            executor.forgotten_end_number = max(
                executor.forgotten_end_number, call.end_number
            )
        unknown_runs = self._scheduler.on_runs_listed(
            executor,
            response,
            requested_at=call.sent_at,
            now=now,
            now_unix_s=time.time(),
            life=call.life,
        )
        for task, run in unknown_runs if self._is_role_proven() else ():
            _logger.info(
                "stopping unknown run",
                extra={
                    "task": task,
                    "run": run,
                    "executor": executor.id,
                    "known_runs": self._scheduler.runs_of_task(task),
                },
            )
            self._client.stop_run(
                executor,
                task,
                run,
                token=self._token,
                callback=self._on_unknown_stopped,
                timeout_s=takeover.ORDER_TIMEOUT_S,
                may_send=self._is_role_proven,
            )
        self._adjust_pace()
        self._on_change()
        if is_clock_new or call.life != executor.life:
            self._list_runs()
        else:
            self._timers.after(LIST_DELAY_S, self._list_runs_once_stored)

    def _on_unknown_stopped(self, response):
        # No retry is needed: a run that goes on is listed, and stopped, again.
        _logger.debug(
            "stop of unknown run answered",
            extra={"executor": self._executor.id, "answer": str(response)},
        )

    def _adjust_pace(self):
        runs = list(self._executor.runs.values())
        best_effort_runs = [
            run
            for run in runs
            if run.task.step.is_filling and run.state == model.RUNNING
        ]
        if not best_effort_runs:
            return
        latency_ratio = pacing.worst_latency_ratio(runs)
        for run in best_effort_runs:
            percent = pacing.next_pace(run.pace, latency_ratio)
            if percent != run.pace:
                _logger.info(
                    "pace changed",
                    extra={
                        "request": run.task.job.id,
                        "task": run.task.name,
                        "executor": self._executor.id,
                        "percent": percent,
                        "tail_share": None
                        if latency_ratio is None
                        else round(latency_ratio, 2),
                    },
                )
                self.set_pace(run, percent)

    def _list_runs_once_stored(self):
        """Send the next call once the ends are stored or the wait limit is reached."""
        executor = self._executor
        waited_s = time.monotonic() - executor.last_listed_at
        if (
            executor.acknowledged_end_number < executor.received_end_number
            and waited_s < STORING_WAIT_LIMIT_S
        ):
            self._timers.after(STORING_CHECK_INTERVAL_S, self._list_runs_once_stored)
        else:
            self._list_runs()

    def _on_no_response(self, reason):
        delay_s = LIST_RETRY_DELAY_S
        if not self._has_list_call_failed:
            # The connection may have been reset by the network, or one answer lost. If
            # the executor answers, it accepts runs again without a pause.
            delay_s = 0.0
            if reason == "timeout":
                self._losses.record_loss(time.monotonic())
            self._has_list_call_failed = True
            # The executor of an instance that is moved or taken down ends at once.
            is_expected = self._executor.is_being_vacated
            _logger.log(
                logging.DEBUG if is_expected else logging.WARNING,
                "executor does not answer",
                extra={"executor": self._executor.id, "reason": reason},
            )
        self._timers.after(delay_s, self._list_runs)
