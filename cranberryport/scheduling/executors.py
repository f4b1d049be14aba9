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
        "acked",
        "address",
        "asked_at",
        "born",
        "clock_ms",
        "clock_read_at",
        "data_centre",
        "failures",
        "id",
        "is_fenced",
        "is_listed",
        "is_reserved",
        "labels",
        "lapses_at",
        "last_answer",
        "leaves_at",
        "memory",
        "processors",
        "rack",
        "refused_until",
        "runs",
        "service",
        "slowness",
        "state",
        "stored_end",
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
        self.asked_at = None
        self.born = None
        self.clock_ms = None
        self.clock_read_at = None
        self.runs = {}
        self.acked = 0
        self.stored_end = 0
        self.is_fenced = False
        self.is_listed = True
        self.is_reserved = False
        self.lapses_at = None
        self.last_answer = None
        self.leaves_at = None
        self.refused_until = 0.0
        self.suspected_until = 0.0
        self.failures = []
        # Ticket and end of its validity by step; None for a step that may not run here.
        self.tickets = {}
        self.slowness = 1.0

    @property
    def is_empty(self):
        """Whether nothing runs there and every end is stored and acknowledged.

        An instance that moves or goes down forgets the ends that it has listed, so a
        successor would start these tasks again.
        """
        return (
            self.last_answer is not None
            and not self.runs
            and self.acked >= self.stored_end
        )

    def ticket_for(self, step, now):
        """Return the valid ticket for a step, None if there is none."""
        found = self.tickets.get(step)
        if found is None or now >= found[1]:
            return None
        return found[0]

    def is_silent(self, now):
        """Return whether a list of its runs is overdue; one never asked is silent."""
        return self.last_answer is None or now - self.last_answer > SILENT_S

    def clock_at(self, now):
        """Return the executor's clock in milliseconds, never ahead of its own."""
        return self.clock_ms + int((now - self.clock_read_at) * 1000 / CLOCK_DRIFT)

    def read_clock(self, clock_ms, now):
        """Take the clock from an answer that has just arrived."""
        self.clock_ms = clock_ms
        self.clock_read_at = now

    def deadline_for(self, now, lease_s):
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
        deadline_ms = self.clock_at(now) + int(lease_s * 1000)
        lapses_at = (
            self.clock_read_at
            + (deadline_ms - self.clock_ms) / 1000 * CLOCK_DRIFT
            + LEASE_SLACK_S
        )
        self.lapses_at = max(self.lapses_at or 0.0, lapses_at)
        return deadline_ms

    def is_lapsed(self, now):
        """Return whether nothing can run there any more unless it was renewed.

        An answer to a question from before the lapse may have arrived without having
        been read, if this process was busy or stood still; it may list runs as done.
        """
        if self.lapses_at is None or now < self.lapses_at:
            return False
        return self.asked_at is None or self.asked_at >= self.lapses_at

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

    def can_take(self, now):
        """Return whether new runs may be planned here."""
        return (
            self.is_listed
            and self.state == READY
            and self.is_fenced
            and not self.is_reserved
            and self.clock_ms is not None
            and now >= self.refused_until
            and self.last_answer is not None
        )
