"""Refusal of jobs that would end only after their callers have given up.

Load pattern: many large jobs arrive at once, or a peak exceeds the pool and all
instances that can be moved to it, so that a job accepted now would end too late to be
of use.
"""

import logging
import math

from cranberryport.scheduling import ordering

# Peaks last only seconds, and callers that are told to wait longer than this give up.
LONGEST_RETRY_AFTER_S = 5

_logger = logging.getLogger(__name__)


def retry_after_s(*, work_core_s, critical_path_s, rules, backlog_core_s, cores):
    """Return after how long a refused caller should retry, 0 to accept its job.

    Parameters
    ----------
    work_core_s : float
        Declared core-seconds of the job.
    critical_path_s : float
        Declared seconds of its critical path.
    rules : ordering.QueueRules
        Rules of its queue.
    backlog_core_s : float
        Core-seconds of the jobs that are served before it.
    cores : float
        Cores that the pool has or can get from other pools; 0 if not known, and then
        the job is accepted.

    Returns
    -------
    int
        Seconds in which the backlog should become small enough for such a job.
    """
    if cores <= 0:
        return 0
    objective = rules.stretch * critical_path_s + rules.latency_s
    wait_s = backlog_core_s / cores
    longest_wait_s = ordering.GIVE_UP_FACTOR * objective - critical_path_s
    if wait_s + work_core_s / cores <= longest_wait_s:
        return 0
    # By then the wait has fallen to half of the longest one.
    return max(1, min(LONGEST_RETRY_AFTER_S, math.ceil(wait_s - longest_wait_s / 2)))


class JobAdmission:
    """Decides about submissions from the state of all jobs.

    Parameters
    ----------
    state : cranberryport.scheduling.scheduler.Scheduler
        State of all jobs.
    load_meter : cranberryport.scheduling.load.LoadMeter
        Demand and backlog of each pool.
    shares : cranberryport.scheduling.organisation_shares.OrganisationShares
        Shares of the organisations.
    """

    __slots__ = ("_load_meter", "_shares", "_state")

    def __init__(self, *, state, load_meter, shares):
        self._state = state
        self._load_meter = load_meter
        self._shares = shares

    def retry_after_s(self, question, available_cores, now, now_unix_s):
        """Return when to submit a refused job again, in seconds; 0 to accept it.

        Parameters
        ----------
        question : messages.AdmissionQuestion
            The submission.
        available_cores : callable
            Called with a pool and the demand of all pools; returns the cores that the
            pool has or can get from others.
        now : float
            Monotonic time in seconds.
        now_unix_s : float
            Unix time in seconds.

        Returns
        -------
        int
            See :func:`retry_after_s`. For an organisation over its share, its own
            backlog has to be served by its own share of the cores.
        """
        rules = self._state.queues.get(question.queue)
        if rules is None or question.job in self._state.jobs:
            # A repeated submission of an accepted job is not refused.
            return 0
        demand = self._load_meter.demand(now, now_unix_s)
        cores = available_cores(question.service, demand)
        backlog = self._load_meter.backlog_core_s(
            question.service, rules.priority, now, now_unix_s, question.organisation
        )
        is_over = question.organisation in self._shares.over
        if is_over:
            cores *= self._shares.share(question.organisation)
        result = retry_after_s(
            work_core_s=question.work,
            critical_path_s=question.chain_s,  # chain_s is the sent name
            rules=rules,
            backlog_core_s=backlog,
            cores=cores,
        )
        if not result:
            self._load_meter.add_admitted_job(
                question.service, rules.priority, question.work, question.organisation
            )
            return 0
        reason = "share" if is_over else "backlog"
        self._shares.count_rejection(question.organisation, reason)
        _logger.info(
            "job refused",
            extra={
                "request": question.job,
                "queue": question.queue,
                "pool": question.service,
                "organisation": question.organisation,
                "reason": reason,
                "backlog_core_s": round(backlog, 1),
                "cores": round(cores, 1),
                "chain_s": round(question.chain_s, 3),
                "retry_after_s": result,
            },
        )
        return result
