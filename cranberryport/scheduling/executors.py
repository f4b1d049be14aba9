"""State of an executor as the controller knows it, including its lease.

An executor runs the tasks of a service on an instance, and ends them when its lease
expires. So the tasks of an unreachable executor can be started elsewhere, without
running twice, once its lease has expired.
"""

import math

from cranberryport.scheduling import model, takeover

READY = "ready"
DRAINING = "draining"

# Added to the end of a lease for delays of the executor and of this process.
LEASE_MARGIN_S = 0.25
# An executor answers a request for its runs within a second. After this time without an
# answer it counts as silent.
SILENCE_TIMEOUT_S = 1.6
# A clock is taken for that of another life if it differs by more than this time, or is
# behind by more than this share of the time since the clock was read. More than the
# drift of 2 % that the platform allows.
CLOCK_BEHIND_SHARE = 0.03
CLOCK_TOLERANCE_MS = 50.0


class Executor:
    """An executor of a service.

    Parameters
    ----------
    id : str
        Id; a restarted executor has a new one, or the same with a later start time.
    service : str
        Service whose tasks it runs; also the name of its pool.
    address : tuple of (str, int)
        IP address and port.
    data_centre : str
        Name of the data centre.
    processors, memory, accelerators : int
        Capacity in thousandths of a core, mebibytes and devices.
    labels : frozenset of str
        Kind and rack.
    rack : str
        Label of the rack; empty if it is not known.
    state : {'ready', 'draining'}
        State that the executor reports; a draining one terminates soon.

    Attributes
    ----------
    lapsed_runs : list of (model.Run, float or None)
        Runs that were given up when the lease expired, each with the seconds for which
        it had certainly lasted; empty once the executor answers again.
    list_requested_at : float or None
        Monotonic time at which the unanswered request for its runs was sent; None if
        no request is unanswered.
    started_at_ms : int or None
        Unix time in milliseconds at which the executor started; None if not known.
    clock_ms : int or None
        Its clock as last read; None before its first answer after a start.
    clock_read_at : float or None
        Monotonic time at which the clock was read.
    clock_requested_at : float or None
        Monotonic time at which the call was sent whose answer had the clock.
    life : int
        Number of its present life as this controller knows it. A life is the time
        between two starts of the process; all lives of executors that a controller
        learns of are numbered from 1.
    listed_life : int or None
        Life of its last answer to a request for its runs that was meant for that life.
    open_crash : crashes.Crash or None
        Crash of a former life of which it is not known yet which runs were there.
    runs : dict of (str, int) to model.Run
        Runs by name of the task and number of the run.
    received_end_number : int
        Number of the last end that the executor has listed. An end is the report that
        a run has ended; the executor numbers them from 1.
    acknowledged_end_number : int
        Number of the last end that is stored, so that the executor may delete it.
    forgotten_end_number : int
        Number of the last end that it has certainly deleted.
    found_at : float
        Monotonic time at which its entry was first read.
    has_accepted_epoch : bool
        Whether its present life has accepted a call that was meant for it, after which
        it rejects orders of previous controllers and those meant for its former lives.
    has_kept_runs : bool
        Whether runs were kept when its lease expired, as a life that is not known may
        run them.
    has_store_entry : bool
        Whether the store has an entry of it.
    is_being_vacated : bool
        Whether its instance is about to be moved or taken down for maintenance, so that
        no run is planned on it.
    is_crash_recorded : bool
        Whether the crash that has ended its present life is recorded.
    last_lease_sent_at : float
        Monotonic time at which the newest call that names a lease was sent, by this
        controller or a previous one; minus infinity if there was none.
    lease_expires_at : float or None
        Monotonic time at which its lease has certainly expired in the life that is
        known; None if it has none.
    last_listed_at : float or None
        Monotonic time at which it last answered a request for its runs.
    last_alive_at : float or None
        Monotonic time at which its process last certainly ran: when it last answered,
        or closed the connection of a pending request.
    unreachable_since : float or None
        Monotonic time at which a request for its runs first failed after the last
        answer; None while it answers.
    terminates_at : float or None
        Monotonic time at which a draining executor terminates.
    backoff_until : float
        Monotonic time before which no run is planned on it, after a refusal.
    suspected_until : float
        Monotonic time until which it is suspected to fail every task.
    recent_failures : list of (float, str)
        Monotonic time and job of failed runs.
    unknown_runs : tuple of (str, int)
        Task and number of the runs in its last list that this controller does not know.
        They are being stopped and occupy resources until they have ended.
    given_up_runs : set of (str, int)
        Task and number of the runs that were given up as its lease expired; empty after
        its next complete list, which may still have their ends.
    tickets : dict of str to ((str, float) or None)
        Ticket and monotonic end of its validity by name of the step; None for a step
        that the advice service does not permit here.
    slowdown : float
        Smoothed ratio of measured to declared run times.
    slowdown_measured_at : float
        Monotonic time of the newest measurement; minus infinity if there is none.
    """

    __slots__ = (
        "accelerators",
        "acknowledged_end_number",
        "address",
        "backoff_until",
        "clock_ms",
        "clock_read_at",
        "clock_requested_at",
        "data_centre",
        "forgotten_end_number",
        "found_at",
        "given_up_runs",
        "has_accepted_epoch",
        "has_kept_runs",
        "has_store_entry",
        "id",
        "is_being_vacated",
        "is_crash_recorded",
        "labels",
        "lapsed_runs",
        "last_alive_at",
        "last_lease_sent_at",
        "last_listed_at",
        "life",
        "lease_expires_at",
        "list_requested_at",
        "listed_life",
        "memory",
        "open_crash",
        "processors",
        "rack",
        "received_end_number",
        "recent_failures",
        "runs",
        "service",
        "slowdown",
        "slowdown_measured_at",
        "started_at_ms",
        "state",
        "suspected_until",
        "terminates_at",
        "tickets",
        "unknown_runs",
        "unreachable_since",
    )

    def __init__(
        self,
        *,
        id,
        service,
        address,
        data_centre,
        processors,
        memory,
        accelerators,
        labels,
        rack="",
        state=READY,
    ):
        self.id = id
        self.service = service
        self.address = address
        self.data_centre = data_centre
        self.processors = processors
        self.memory = memory
        self.accelerators = accelerators
        self.labels = labels
        self.rack = rack
        self.state = state
        self.list_requested_at = None
        self.started_at_ms = None
        self.clock_ms = None
        self.clock_read_at = None
        self.clock_requested_at = None
        self.life = 0
        self.listed_life = None
        self.runs = {}
        self.lapsed_runs = []
        self.acknowledged_end_number = 0
        self.received_end_number = 0
        self.forgotten_end_number = 0
        self.found_at = 0.0
        self.given_up_runs = set()
        self.has_accepted_epoch = False
        self.has_kept_runs = False
        self.has_store_entry = True
        self.unknown_runs = ()
        self.is_being_vacated = False
        self.is_crash_recorded = False
        self.open_crash = None
        self.last_lease_sent_at = -math.inf
        self.lease_expires_at = None
        self.last_listed_at = None
        self.last_alive_at = None
        self.unreachable_since = None
        self.terminates_at = None
        self.backoff_until = 0.0
        self.suspected_until = 0.0
        self.recent_failures = []
        self.tickets = {}
        self.slowdown = 1.0
        self.slowdown_measured_at = -math.inf

    @property
    def is_empty(self):
        """Whether it has no runs and every end that it listed is stored.

        An instance that is moved or taken down loses the ends that it has listed. If
        they were not stored, the next controller would start these tasks again.
        """
        return (
            self.last_listed_at is not None
            and not self.runs
            and self.acknowledged_end_number >= self.received_end_number
        )

    @property
    def unanswered_start_count(self):
        """Number of its runs of which neither an answer nor a list is known."""
        return sum(
            run.confirmed_at is None and run.state != model.STOPPING
            for run in self.runs.values()
        )

    @property
    def unconfirmed_end_number(self):
        """Number up to which it is asked to delete its ends; 0 if it has done so.

        So a request that a later life carries out deletes none of that life's ends, but
        for the short time in which ends are being acknowledged.
        """
        if self.acknowledged_end_number <= self.forgotten_end_number:
            return 0
        return self.acknowledged_end_number

    @property
    def is_draining(self):
        """Whether it has announced that it will terminate."""
        return self.state == DRAINING

    def valid_ticket(self, step_name, now):
        """Return a ticket for a step that is still valid, None if there is none."""
        found = self.tickets.get(step_name)
        if found is None or now >= found[1]:
            return None
        return found[0]

    def is_silent(self, now):
        """Return whether a list of its runs is overdue or was never received."""
        return (
            self.last_listed_at is None or now - self.last_listed_at > SILENCE_TIMEOUT_S
        )

    def is_overdue(self, now):
        """Return whether it is silent, or a request for its runs had failed before."""
        has_failed = self.unreachable_since is not None and self.unreachable_since < now
        return has_failed or self.is_silent(now)

    def estimate_clock_ms(self, now):
        """Return a lower bound of the executor's clock in milliseconds."""
        return self.clock_ms + int(
            (now - self.clock_read_at) * 1000 / takeover.CLOCK_DRIFT_FACTOR
        )

    def update_clock(self, clock_ms, now, *, requested_at=None):
        """Record the clock that an answer contained which has just arrived.

        Parameters
        ----------
        clock_ms : int
            The clock in milliseconds.
        now : float
            Monotonic time in seconds.
        requested_at : float, optional
            Monotonic time at which the call was sent; by default the present.
        """
        self.clock_ms = clock_ms
        self.clock_read_at = now
        self.clock_requested_at = now if requested_at is None else requested_at

    def is_clock_of_other_life(self, clock_ms, sent_at, now):
        """Return whether a clock does not fit the life whose clock was read.

        Then another life has answered, or a process was suspended. A clock that fits
        proves nothing, as the clock of a new life may begin at any value.

        Parameters
        ----------
        clock_ms : int
            Clock in an answer in milliseconds.
        sent_at, now : float
            Monotonic times in seconds at which the call was sent and the answer
            arrived.
        """
        if self.clock_ms is None:
            return False
        passed_ms = (sent_at - self.clock_read_at) * 1000
        if passed_ms > 0:
            passed_ms *= 1 - CLOCK_BEHIND_SHARE
        earliest_ms = self.clock_ms + passed_ms - CLOCK_TOLERANCE_MS
        passed_at_most_ms = (now - self.clock_requested_at) * 1000
        latest_ms = self.clock_ms + passed_at_most_ms + CLOCK_TOLERANCE_MS
        return not earliest_ms <= clock_ms <= latest_ms

    def may_run_in_other_life(self, run):
        """Return whether a life that is not known may run a run, or may begin it.

        A start without an answer may still arrive there, and an answer to a start does
        not tell which life has given it. Only lists of runs name the life.

        Parameters
        ----------
        run : model.Run
            A run on this executor.
        """
        if run.state == model.PLANNED:
            return False
        return run.has_unanswered_start or run.begun_in_life != self.life

    def may_begin_after(self, run, at):
        """Return whether a life that begins after a time may begin a run.

        It carries out a start without an answer that waits at its address.

        Parameters
        ----------
        run : model.Run
            A run on this executor.
        at : float
            Monotonic time in seconds.
        """
        if run.state == model.PLANNED or run.start_sent_at is None:
            return False
        is_restored = run.ordered_at is None
        return takeover.may_carry_out_start(
            has_unanswered_start=run.has_unanswered_start,
            # A previous controller had the answer before this one began.
            answered_at=-math.inf if is_restored else run.start_ended_at,
            down_since=at,
        )

    def extend_lease(self, now, lease_s):
        """Extend the lease and return its end on the executor's clock.

        Parameters
        ----------
        now : float
            Monotonic time in seconds.
        lease_s : float
            Length of the lease in seconds from now.

        Returns
        -------
        int
            Milliseconds of the executor's clock.
        """
        deadline_ms = self.estimate_clock_ms(now) + int(lease_s * 1000)
        lease_expires_at = (
            self.clock_read_at
            + (deadline_ms - self.clock_ms) / 1000 * takeover.CLOCK_DRIFT_FACTOR
            + LEASE_MARGIN_S
        )
        self.lease_expires_at = max(self.lease_expires_at or 0.0, lease_expires_at)
        return deadline_ms

    def record_answer(self, now):
        """Record that its process has answered a request for its runs."""
        self.last_alive_at = now
        self.unreachable_since = None
        self.has_kept_runs = False
        self.is_crash_recorded = False
        self.lapsed_runs = []

    def record_failed_call(self, now, *, is_connection_closed):
        """Record that a request for its runs has failed.

        Parameters
        ----------
        now : float
            Monotonic time in seconds.
        is_connection_closed : bool
            Whether the executor closed the connection while the request was pending,
            so that its process ran until now.
        """
        if self.unreachable_since is not None:
            return
        self.unreachable_since = now
        if is_connection_closed:
            self.last_alive_at = now

    def may_have_started(self, run):
        """Return whether its process may have carried out the start of a run.

        An executor that closes no connection when it fails, as one whose rack has lost
        power, gets starts until it counts as unreachable. They did not crash it.

        Parameters
        ----------
        run : model.Run
            A run on this executor.
        """
        is_unconfirmed = run.confirmed_at is None and run.ordered_at is not None
        return not (
            is_unconfirmed
            and self.last_alive_at is not None
            and self.last_alive_at < run.ordered_at
        )

    def run_age_s(self, run):
        """Return for how long a run has certainly lasted.

        Parameters
        ----------
        run : model.Run
            A run on this executor.

        Returns
        -------
        float or None
            Seconds from the confirmation of its start until this executor was last
            known to run; None if the start was not confirmed.
        """
        if run.confirmed_at is None or self.last_alive_at is None:
            return None
        return max(0.0, self.last_alive_at - run.confirmed_at)

    def is_lease_expired(self, now):
        """Return whether the lease has expired and all earlier requests are answered.

        If this process was busy or suspended, the answer to a request from before the
        expiry may have arrived but not been read, and it may list runs as done. Until
        it is read, or its request has failed, this returns False. The same holds for
        the first request to an executor that was found after the expiry, as by a
        controller that has loaded its state slowly.
        """
        has_been_asked = self.last_listed_at is not None
        has_been_asked = has_been_asked or self.unreachable_since is not None
        if not takeover.may_take_lease_for_expired(
            now, self.lease_expires_at, has_been_asked=has_been_asked
        ):
            return False
        return (
            self.list_requested_at is None
            or self.list_requested_at >= self.lease_expires_at
        )

    def used_resources(self):
        """Return processors, memory and accelerators that its runs occupy.

        Returns
        -------
        tuple of (int, int, int)
            Needs of all runs, from their planning until their end is listed.
        """
        processors = memory = accelerators = 0
        for run in self.runs.values():
            step = run.task.step
            if not step.is_filling:
                processors += step.processors
            memory += step.memory
            accelerators += step.accelerators
        return processors, memory, accelerators

    def free_resources(self):
        """Return free processors, memory and accelerators as a list."""
        capacity = (self.processors, self.memory, self.accelerators)
        return [a - b for a, b in zip(capacity, self.used_resources(), strict=True)]

    def can_accept_runs(self, now):
        """Return whether new runs may be planned on this executor."""
        return (
            self.has_store_entry
            and self.state == READY
            and self.has_accepted_epoch
            and not self.is_being_vacated
            and self.unreachable_since is None
            and not self.unknown_runs
            and self.clock_ms is not None
            and now >= self.backoff_until
            and self.last_listed_at is not None
        )


def is_overfull_for(step, free_resources):
    """Return whether the runs on an executor, one of a step among them, exceed it.

    Only the resources that the step needs count. This happens if the executor reports
    less capacity than before.

    Parameters
    ----------
    step : model.Step
        The step.
    free_resources : list of int
        Result of :meth:`Executor.free_resources`.
    """
    processors = 0 if step.is_filling else step.processors
    needs = (processors, step.memory, step.accelerators)
    return any(
        need and free < 0 for need, free in zip(needs, free_resources, strict=True)
    )
