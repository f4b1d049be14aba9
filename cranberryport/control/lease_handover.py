"""Renews leases after the end of the controller role, until the successor does.

Load pattern: the role goes to another member, and the store is away or slow before the
successor has read the list of executors. Leases end meanwhile unless the previous
controller, which knows the executors, goes on renewing them. Nothing else is sent: no
start, no stop and no acknowledgement of an end. A successor counts on these renewals in
any case, see :func:`takeover.previous_lease_wait_s`.
"""

import logging
import time

from cranberryport.platform import executors
from cranberryport.scheduling import takeover

# A lease still lasts for two seconds when the role ends, as a list of runs is requested
# at least every two seconds.
RENEWAL_INTERVAL_S = 1.0

_logger = logging.getLogger(__name__)


class LeaseHandover:
    """Renews the leases of a former controller's executors that have runs.

    Each renewal first goes to one executor, and to the others once that one has not
    refused it. So where the successor has begun, one call shows this.

    Parameters
    ----------
    executors_with_runs : list of cranberryport.scheduling.executors.Executor
        The executors.
    client : executors.ExecutorClient
        Calls the executors.
    timers : cranberryport.timers.Timers
        Timers of the process.
    epoch : int
        Epoch of the former controller.
    lease_s : float
        Duration of the lease in seconds.
    may_renew : callable
        Returns whether leases may still be renewed, see ``Membership``; asked again
        immediately before each call is sent.
    """

    __slots__ = (
        "_client",
        "_epoch",
        "_executors",
        "_has_renewed",
        "_is_over",
        "_lease_s",
        "_may_renew",
        "_timers",
    )

    def __init__(
        self, *, executors_with_runs, client, timers, epoch, lease_s, may_renew
    ):
        # The clock of an executor is not known before its first answer.
        self._executors = [e for e in executors_with_runs if e.clock_ms is not None]
        self._client = client
        self._timers = timers
        self._epoch = epoch
        self._lease_s = lease_s
        self._may_renew = may_renew
        self._has_renewed = False
        self._is_over = False

    @property
    def is_over(self):
        """Whether no lease is renewed any more."""
        return self._is_over or not self._executors or not self._may_renew()

    def start(self):
        """Renew the leases at intervals, the first time after one interval."""
        self._timers.after(RENEWAL_INTERVAL_S, self._renew)

    def _renew(self):
        if self.is_over:
            if self._has_renewed:
                _logger.info("renewals of leases ended", extra={"epoch": self._epoch})
            return
        self._timers.after(RENEWAL_INTERVAL_S, self._renew)
        first, *others = self._executors

        def renew_others():
            for executor in others:
                self._renew_lease(executor, lambda: None)

        self._renew_lease(first, renew_others)

    def _renew_lease(self, executor, on_not_refused):
        """Renew a lease; call back unless the executor obeys a later controller."""
        if self.is_over:
            return
        self._client.list_runs(
            executor,
            end_number=0,
            lease_end_ms=executor.extend_lease(time.monotonic(), self._lease_s),
            token=takeover.order_token(self._epoch, executor.life),
            wait_s=0.0,
            callback=lambda response: self._on_answer(
                executor, response, on_not_refused
            ),
            timeout_s=takeover.ORDER_TIMEOUT_S,
            may_send=self._may_renew,
        )

    def _on_answer(self, executor, response, on_not_refused):
        if isinstance(response, executors.ExecutorResponse):
            if response.reason == "fenced":
                self._is_over = True
                return
            self._note_answer(executor, response)
        on_not_refused()

    def _note_answer(self, executor, response):
        has_restarted = response.started_at_ms not in (None, executor.started_at_ms)
        if has_restarted or response.reason == "other_instance":
            # Its clock is not known any more, and its runs have ended.
            self._executors = [e for e in self._executors if e is not executor]
        elif response.is_accepted and not self._has_renewed:
            self._has_renewed = True
            _logger.info(
                "renewing leases until the successor does",
                extra={"epoch": self._epoch, "executors": len(self._executors)},
            )
