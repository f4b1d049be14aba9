"""What is known of an executor, with its lease."""

READY = "ready"
DRAINING = "draining"

# The executors' clocks may run 2 % slow (platform's protocol).
CLOCK_DRIFT = 1.02
# Scheduling delays of the executor and of this process around the end of a lease.
LEASE_SLACK_S = 0.25
# Lists of runs are answered within a second; after this time one was missed.
SILENT_S = 1.6


class Executor:
    """An executor of a service.

    Parameters
    ----------
    id : str
        Names one life of an instance, except after a restart under the same id.
    service : str
        Service that it belongs to.
    address : tuple of (str, int)
        IP address and port.
    data_centre : str
        Data centre.
    processors, memory, accelerators : int
        Capacity in thousandths of a core, mebibytes and devices.
    labels : frozenset of str
        Kind and rack.
    rack : str
        Label of the rack; empty if it is not known.
    state : {'ready', 'draining'}
        What the executor says of itself.
    """

    __slots__ = (
        "accelerators",
        "acknowledged_end",
        "address",
        "list_requested_at",
        "started_at_ms",
        "clock_ms",
        "clock_read_at",
        "data_centre",
        "recent_failures",
        "id",
        "has_accepted_epoch",
        "is_listed",
        "is_reserved",
        "labels",
        "lease_expires_at",
        "last_listed_at",
        "terminates_at",
        "memory",
        "processors",
        "rack",
        "backoff_until",
        "runs",
        "service",
        "slowdown",
        "state",
        "received_end",
        "suspected_until",
        "tickets",
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
        # When the question for its lists was sent whose answer is still awaited.
        self.list_requested_at = None
        self.started_at_ms = None
        self.clock_ms = None
        self.clock_read_at = None
        self.runs = {}
        self.acknowledged_end = 0
        self.received_end = 0
        self.has_accepted_epoch = False
        self.is_listed = True
        self.is_reserved = False
        self.lease_expires_at = None
        self.last_listed_at = None
        self.terminates_at = None
        self.backoff_until = 0.0
        self.suspected_until = 0.0
        self.recent_failures = []
        # Ticket and end of its validity by step; None for a step that may not run here.
        self.tickets = {}
        self.slowdown = 1.0

    @property
    def is_empty(self):
        """Whether nothing runs there and every end is stored and acknowledged.

        An instance that moves or goes down forgets the ends that it has listed, so a
        successor would start these tasks again.
        """
        return (
            self.last_listed_at is not None
            and not self.runs
            and self.acknowledged_end >= self.received_end
        )

    def valid_ticket(self, step, now):
        """Return the valid ticket for a step, None if there is none."""
        found = self.tickets.get(step)
        if found is None or now >= found[1]:
            return None
        return found[0]

    def is_silent(self, now):
        """Return whether a list of its runs is overdue; one never asked is silent."""
        return self.last_listed_at is None or now - self.last_listed_at > SILENT_S

    def estimate_clock_ms(self, now):
        """Return the executor's clock in milliseconds, never ahead of its own."""
        return self.clock_ms + int((now - self.clock_read_at) * 1000 / CLOCK_DRIFT)

    def update_clock(self, clock_ms, now):
        """Take the clock from an answer that has just arrived."""
        self.clock_ms = clock_ms
        self.clock_read_at = now

    def extend_lease(self, now, lease_s):
        """Return the end of a lease on the executor's clock, and note when it lapses.

        Parameters
        ----------
        now : float
            Monotonic time in seconds.
        lease_s : float
            Length of the lease in seconds.

        Returns
        -------
        int
            Milliseconds of the executor's clock.
        """
        deadline_ms = self.estimate_clock_ms(now) + int(lease_s * 1000)
        lease_expires_at = (
            self.clock_read_at
            + (deadline_ms - self.clock_ms) / 1000 * CLOCK_DRIFT
            + LEASE_SLACK_S
        )
        self.lease_expires_at = max(self.lease_expires_at or 0.0, lease_expires_at)
        return deadline_ms

    def is_lease_expired(self, now):
        """Return whether nothing can run there any more unless it was renewed.

        An answer to a question from before the lapse may have arrived without having
        been read, if this process was busy or stood still; it may list runs as done.
        """
        if self.lease_expires_at is None or now < self.lease_expires_at:
            return False
        return (
            self.list_requested_at is None
            or self.list_requested_at >= self.lease_expires_at
        )

    def used(self):
        """Return processors, memory and accelerators in use or promised.

        Returns
        -------
        tuple of (int, int, int)
            Runs that are being stopped count until their end is listed.
        """
        processors = memory = accelerators = 0
        for run in self.runs.values():
            step = run.task.step
            if not step.is_filling:
                processors += step.processors
            memory += step.memory
            accelerators += step.accelerators
        return processors, memory, accelerators

    def free(self):
        """Return a list of free processors, memory and accelerators."""
        whole = (self.processors, self.memory, self.accelerators)
        return [a - b for a, b in zip(whole, self.used(), strict=True)]

    def can_accept_runs(self, now):
        """Return whether new runs may be planned here."""
        return (
            self.is_listed
            and self.state == READY
            and self.has_accepted_epoch
            and not self.is_reserved
            and self.clock_ms is not None
            and now >= self.backoff_until
            and self.last_listed_at is not None
        )
