"""Tests for the decision functions of the scheduling package."""

import collections
import math
import time
import unittest
import unittest.mock

from cranberryport.scheduling import (
    admission,
    evacuation,
    executors,
    instances,
    load,
    locality,
    maintenance,
    model,
    ordering,
    pacing,
    packing,
    rebalancing,
    stragglers,
    suspicion,
    task_planner,
)
from tests import scheduling

RULES = ordering.QueueRules(
    name="queue", service="pool", failed_runs_limit=2, stretch=1.6, latency_s=0.6
)


def make_occurrence(job):
    """Return the only occurrence of a job."""
    return model.Occurrence(job=job, number=0, due_at=0.0)


class OrderingTest(unittest.TestCase):
    """Order of jobs while a queue needs more than its pool's capacity."""

    def _sort_key(self, estimate_s, age_s):
        job = scheduling.make_job(
            scheduling.make_step(estimate_s=estimate_s),
            accepted_at=scheduling.NOW_UNIX_S - age_s,
        )
        return ordering.sort_key(make_occurrence(job), RULES, scheduling.NOW_UNIX_S)

    def test_job_that_can_meet_its_objective_precedes_a_late_one(self):
        """Guards against serving only jobs that are late already."""
        self.assertLess(self._sort_key(1.0, 0.1), self._sort_key(1.0, 3.0))

    def test_job_with_the_least_slack_goes_first(self):
        """Guards against a large job that later small ones delay until it is late.

        The objective is 1.6 times a job's critical path plus 0.6 s, so a long job has
        more slack at first.
        """
        self.assertLess(self._sort_key(0.5, 0.0), self._sort_key(2.0, 0.0))
        self.assertLess(self._sort_key(2.0, 1.5), self._sort_key(0.5, 0.0))

    def test_late_job_precedes_one_whose_caller_gave_up(self):
        """Guards against work that is worth nothing to its caller."""
        self.assertLess(self._sort_key(1.0, 3.0), self._sort_key(1.0, 9.0))

    def test_new_short_job_precedes_a_new_long_one(self):
        """Guards against a peak in which nearly every job becomes slightly late."""
        self.assertLess(self._sort_key(0.5, 0.1), self._sort_key(2.0, 0.1))

    def test_late_job_goes_first_shortly_before_its_caller_gives_up(self):
        """Guards against late jobs that starve in a long peak.

        The objective of a job of 1 s is 2.2 s, and its caller gives up after 6.6 s.
        """
        self.assertLess(self._sort_key(1.0, 4.5), self._sort_key(1.0, 0.1))
        self.assertGreater(self._sort_key(1.0, 3.5), self._sort_key(1.0, 0.1))

    def test_long_running_job_goes_first(self):
        """Guards against long-running tasks that wait behind a burst of jobs."""
        job = scheduling.make_job(scheduling.make_step(is_lasting=True))
        key = ordering.sort_key(make_occurrence(job), RULES, scheduling.NOW_UNIX_S)
        self.assertLess(key, self._sort_key(1.0, 0.1))


class AdmissionTest(unittest.TestCase):
    """Refusals while the backlog exceeds the capacity within reach."""

    def _retry_after_s(self, backlog, *, processors=400.0):
        return admission.retry_after_s(
            work_core_s=8.0,
            critical_path_s=1.0,
            rules=RULES,
            backlog_core_s=backlog,
            cores=processors,
        )

    def test_job_that_ends_before_its_caller_gives_up_is_accepted(self):
        """Guards against refusals while there is capacity.

        The caller of a job of 1 s gives up after 6.6 s, so the job may wait for 5.6 s.
        """
        self.assertEqual(self._retry_after_s(0.0), 0)
        self.assertEqual(self._retry_after_s(400.0 * 5.0), 0)

    def test_job_that_would_end_too_late_is_refused(self):
        """Guards against accepted jobs that end after their callers have given up."""
        self.assertEqual(self._retry_after_s(400.0 * 6.0), 4)
        self.assertEqual(
            self._retry_after_s(400.0 * 60.0), admission.LONGEST_RETRY_AFTER_S
        )

    def test_job_is_accepted_while_the_capacity_is_not_known(self):
        """Guards against refusing all jobs after a change of the controller."""
        self.assertEqual(self._retry_after_s(9999.0, processors=0.0), 0)

    def test_backlog_excludes_jobs_whose_callers_gave_up(self):
        """Guards against refusals because of jobs that are served last."""
        harness = scheduling.SchedulerHarness(count=0)
        for number, age_s in enumerate((0.0, 30.0)):
            job = scheduling.make_job(
                job=f"{number:016x}", accepted_at=scheduling.NOW_UNIX_S - age_s
            )
            harness.add_job(job)
        meter = load.LoadMeter(state=harness.scheduler)
        found = meter.backlog_core_s(
            "pool", RULES.priority, harness.now, scheduling.NOW_UNIX_S
        )
        self.assertEqual(found, 1.0)

    def test_admitted_job_counts_before_it_is_stored(self):
        """Guards against a burst whose jobs are all admitted to the same capacity."""
        meter = load.LoadMeter(state=scheduling.SchedulerHarness(count=0).scheduler)

        def backlog(now):
            return meter.backlog_core_s("pool", 1, now, scheduling.NOW_UNIX_S)

        self.assertEqual(backlog(0.0), 0.0)
        meter.add_admitted_job("pool", 0, 5.0)
        meter.add_admitted_job("pool", 2, 5.0)
        self.assertEqual(backlog(0.01), 5.0)
        self.assertEqual(backlog(2 * load.MAX_AGE_S), 0.0)


class PackingTest(unittest.TestCase):
    """Choice of an executor."""

    def _choose(self, step, candidates, **values):
        settings = {
            "task_counts": {},
            "used_racks": set(),
            "avoided_executors": (),
            "long_running_counts": {},
        }
        return packing.choose_executor(step, candidates, **(settings | values))

    def test_task_takes_the_fullest_executor_with_room(self):
        """Guards against small tasks that leave no executor free for a large one."""
        full, empty = scheduling.make_executor("a"), scheduling.make_executor("b")
        candidates = [(full, [2000, 9000, 0]), (empty, [16000, 32000, 0])]
        self.assertIs(self._choose(scheduling.make_step(), candidates), full)

    def test_task_prefers_an_executor_that_it_keeps_busy_the_least(self):
        """Guards against instances that single short tasks keep in use in turn."""
        names = ("a", "b", "c")
        candidates = [
            (scheduling.make_executor(name), [room, 9000, 0])
            for name, room in zip(names, (2000, 8000, 16000), strict=True)
        ]
        step = scheduling.make_step(estimate_s=1.0)

        def choose(**busy):
            return self._choose(step, candidates, busy_s=busy).id

        self.assertEqual(choose(a=0.2, b=2.0), "b")
        self.assertEqual(choose(a=0.9, b=2.0), "a")
        self.assertEqual(choose(), "a")

    def test_executor_is_busy_until_its_longest_task_ends(self):
        """Guards against counting the whole run time of a task that has run a while."""
        harness = scheduling.SchedulerHarness()
        executor = harness.executors[0]
        self.assertEqual(packing.busy_for_s(executor, harness.now), 0.0)
        harness.add_job(scheduling.make_job(scheduling.make_step(estimate_s=3.0)))
        harness.start()
        self.assertEqual(packing.busy_for_s(executor, harness.now + 1.0), 2.0)
        long_running = scheduling.make_step(is_lasting=True)
        harness.add_job(scheduling.make_job(long_running, job="b" * 16))
        harness.start()
        self.assertEqual(packing.busy_for_s(executor, harness.now), math.inf)

    def test_needs_without_room_cover_all_larger_ones(self):
        """Guards against searching a full pool again for each waiting step."""
        unplaceable = packing.UnplaceableNeeds()
        unplaceable.add(scheduling.make_step(processors=2000, memory=100))
        unplaceable.add(scheduling.make_step(processors=1000, memory=50, label="gpu"))
        unplaceable.add(scheduling.make_step(processors=100, memory=10, spread=1))
        larger = scheduling.make_step(processors=2000, memory=200, label="any")
        self.assertTrue(unplaceable.covers(larger))
        labelled = scheduling.make_step(processors=1000, memory=100, label="gpu")
        self.assertTrue(unplaceable.covers(labelled))
        for step in (
            scheduling.make_step(processors=1500, memory=100),
            scheduling.make_step(processors=2000, memory=50),
        ):
            self.assertFalse(unplaceable.covers(step))

    def test_long_running_tasks_share_executors(self):
        """Guards against long-running tasks that occupy every instance of a pool."""
        harness = scheduling.SchedulerHarness(count=3)
        harness.add_job(scheduling.make_job(scheduling.make_step(5, is_lasting=True)))
        self.assertEqual(len({run.executor for run in harness.start()}), 1)

    def test_spread_limit_is_kept(self):
        """Guards against more tasks of a step on one executor than the step allows."""
        only = scheduling.make_executor("a")
        step = scheduling.make_step(spread=1)
        candidates = [(only, [16000, 32000, 0])]
        self.assertIsNone(self._choose(step, candidates, task_counts={"a": 1}))

    def test_label_is_required(self):
        """Guards against a start on an executor without the required label."""
        only = scheduling.make_executor("a", labels=frozenset({"x"}))
        candidates = [(only, [16000, 32000, 0])]
        step = scheduling.make_step(label="y")
        self.assertIsNone(self._choose(step, candidates))

    def test_rack_of_the_data_is_preferred(self):
        """Guards against tasks on another rack than their data despite room there."""
        near = scheduling.make_executor("a", rack="r1")
        far = scheduling.make_executor("b", rack="r2")
        candidates = [(far, [2000, 9000, 0]), (near, [16000, 32000, 0])]
        step = scheduling.make_step(rack="r1")
        self.assertIs(self._choose(step, candidates), near)

    def test_executor_on_which_the_task_failed_is_avoided(self):
        """Guards against failing in all attempts on the same broken executor."""
        bad, good = scheduling.make_executor("a"), scheduling.make_executor("b")
        candidates = [(bad, [2000, 9000, 0]), (good, [16000, 32000, 0])]
        chosen = self._choose(
            scheduling.make_step(), candidates, avoided_executors=("a",)
        )
        self.assertIs(chosen, good)


class SuspicionTest(unittest.TestCase):
    """Executors that fail every task."""

    def test_failures_of_one_job_raise_no_suspicion(self):
        """Guards against suspecting executors because of a job that always fails."""
        executor = scheduling.make_executor()
        for now in (1.0, 1.1, 1.2):
            suspicion.update_recent_failures(executor, "job", "failed", now)
        self.assertLessEqual(executor.suspected_until, 1.2)

    def test_executor_with_failures_of_several_jobs_is_not_trusted(self):
        """Guards against an executor that fails every task and so always has room."""
        bad, good = scheduling.make_executor("a"), scheduling.make_executor("b")
        suspicion.update_recent_failures(bad, "one", "failed", 1.0)
        suspicion.update_recent_failures(bad, "two", "failed", 1.1)
        candidates = [(bad, [1, 1, 1]), (good, [1, 1, 1])]
        self.assertEqual(suspicion.filter_trusted(candidates, 1.2), candidates[1:])


class StragglersTest(unittest.TestCase):
    """Executors that make no progress, or are slow, while they answer."""

    def _start_run(self, **values):
        harness = scheduling.SchedulerHarness(count=4, processors=2000)
        harness.add_job(scheduling.make_job(scheduling.make_step(**values)))
        (run,) = harness.start()
        return harness, run

    def _list_progress(self, harness, run, percent):
        executor = harness.scheduler.executors[run.executor]
        harness.list_runs(executor, [(run.task.name, run.number, "", percent)])

    def test_stalled_run_is_copied(self):
        """Guards against callers that wait for an executor without progress."""
        harness, run = self._start_run(may_copy=True)
        harness.now += 1.0
        self._list_progress(harness, run, 20)
        self.assertEqual(harness.start(), [])
        harness.now += 2.5
        self._list_progress(harness, run, 20)
        (copy,) = harness.start()
        self.assertNotEqual(copy.executor, run.executor)
        harness.finish(copy, 1)
        self.assertEqual(run.state, model.STOPPING)

    def test_stalled_run_that_may_not_be_copied_is_stopped_first(self):
        """Guards against two concurrent runs of a task that must not be copied."""
        harness, run = self._start_run()
        harness.now += 1.0
        self._list_progress(harness, run, 20)
        harness.now += 2.5
        self._list_progress(harness, run, 20)
        self.assertEqual(harness.start(), [])
        self.assertEqual(run.state, model.STOPPING)
        harness.finish(run, 1, "stopped")
        (second_run,) = harness.start()
        self.assertNotEqual(second_run.executor, run.executor)

    def test_run_on_a_silent_executor_is_not_stopped_as_stalled(self):
        """Guards against losing work on an executor that is unreachable for seconds.

        Seen on a random day of brazos: a run at 90 % was stopped as stalled, although
        only the lists of its executor were missing.
        """
        harness, run = self._start_run()
        harness.now += 1.0
        self._list_progress(harness, run, 90)
        harness.now += 3.0
        self.assertEqual(harness.start(), [])
        self.assertEqual(run.state, model.RUNNING)

    def test_run_on_a_silent_executor_is_copied(self):
        """Guards against waiting for the lease to expire where a copy is allowed."""
        harness, run = self._start_run(may_copy=True)
        harness.now += 1.0
        self._list_progress(harness, run, 90)
        harness.now += 3.0
        self.assertEqual(len(harness.start()), 1)

    def test_first_progress_does_not_count_as_slow(self):
        """Guards against replacing runs that restore a checkpoint at first.

        Seen on day trouble-1 of scoica: 180 runs were replaced, most with little
        progress.
        """
        harness, run = self._start_run(saves_checkpoints=True, estimate_s=2.0)
        executor = harness.scheduler.executors[run.executor]
        for after_s, percent in ((0.8, 4), (1.3, 29), (1.8, 54)):
            harness.now += after_s if percent == 4 else 0.5
            self._list_progress(harness, run, percent)
        self.assertAlmostEqual(run.percent_per_s, 50.0)
        self.assertLessEqual(executor.slowdown, 1.0)

    def test_stalled_run_is_replaced_once(self):
        """Guards against counting a replacement again while the run is stopping."""
        harness, run = self._start_run(saves_checkpoints=True)
        harness.now += 1.0
        self._list_progress(harness, run, 20)
        harness.now += 2.5
        self._list_progress(harness, run, 20)
        harness.start()
        harness.start()
        self.assertEqual((run.state, run.task.replacements), (model.STOPPING, 1))

    def test_replacements_of_a_task_are_limited(self):
        """Guards against a task that moves from one executor to the next for ever."""
        harness, run = self._start_run(saves_checkpoints=True)
        run.task.replacements = stragglers.REPLACEMENTS_LIMIT
        harness.now += 1.0
        self._list_progress(harness, run, 20)
        harness.now += 2.5
        self._list_progress(harness, run, 20)
        self.assertEqual(harness.start(), [])
        self.assertEqual(run.state, model.RUNNING)

    def test_executor_far_slower_than_the_others_is_found(self):
        """Guards against new runs on an executor that is several times slower."""
        known = [scheduling.make_executor(name) for name in "abcd"]
        known[0].slowdown = 5.0
        self.assertEqual(stragglers.slow_executors(known), {"a"})

    def test_wrong_estimates_make_no_executor_slow(self):
        """Guards against avoiding executors because declared run times are wrong."""
        known = [scheduling.make_executor(name) for name in "abcd"]
        for executor, slowdown in zip(known, (1.5, 2.0, 1.0, 3.0), strict=True):
            executor.slowdown = slowdown
        self.assertEqual(stragglers.slow_executors(known), set())


class PacingTest(unittest.TestCase):
    """Pace of best-effort tasks beside serving tasks."""

    def test_pace_falls_before_the_latency_bound_is_reached(self):
        """Guards against a serving task that best-effort tasks slow above its bound."""
        self.assertEqual(pacing.next_pace(100, 0.9), 40)
        self.assertEqual(pacing.next_pace(10, 1.2), 0)

    def test_pace_rises_while_latency_is_low(self):
        """Guards against processors that stay idle after the latency has fallen."""
        self.assertEqual(pacing.next_pace(0, 0.3), pacing.INCREASE_PERCENT)
        self.assertEqual(pacing.next_pace(50, 0.7), 50)
        self.assertEqual(pacing.next_pace(50, None), 100)

    def test_unknown_pace_is_set_anew(self):
        """Guards against a task that a previous controller has paused for good.

        Review case 15. Near the bound its true pace may be lower than any but 0.
        """
        self.assertEqual(pacing.next_pace(None, None), 100)
        self.assertEqual(pacing.next_pace(None, 0.3), 100)
        self.assertIsNone(pacing.next_pace(None, 0.7))
        self.assertEqual(pacing.next_pace(None, 0.9), 0)


class AdviceTest(unittest.TestCase):
    """Queues whose tasks need tickets of the advice service."""

    def _make_harness(self):
        harness = scheduling.SchedulerHarness(count=2)
        rules = ordering.QueueRules(
            name="queue", service="pool", advice_times=(0.1, 0.01, 3.0)
        )
        harness.scheduler.set_queues({"queue": rules})
        return harness, harness.add_job(scheduling.make_job())

    def test_start_waits_for_a_ticket_and_contains_it(self):
        """Guards against starts that executors refuse because they lack a ticket."""
        harness, job = self._make_harness()
        self.assertEqual(harness.start(), [])
        requests = harness.planner.take_advice_requests()
        step = f"{job.id}.0.0"
        self.assertEqual(sorted(requests[step][0]), ["e1", "e2"])
        harness.planner.on_advice(step, ["e1", "e2"], {"e2": "t"}, harness.now + 3)
        (run,) = harness.start()
        self.assertEqual((run.executor, run.ticket), ("e2", "t"))

    def test_refusal_for_lack_of_a_ticket_shows_that_a_queue_needs_advice(self):
        """Guards against starts without tickets that are refused for ever (review 13).

        The queue has left the configuration before this controller began.
        """
        harness = scheduling.SchedulerHarness(count=1)
        harness.scheduler._queues.clear()
        harness.add_job(scheduling.make_job())
        (run,) = harness.scheduler.commit(harness.plan(), harness.now)
        harness.scheduler.on_start_refused(run, "ticket", harness.now)
        self.assertEqual(harness.plan().planned_runs, [])
        ((step, (names, _)),) = harness.planner.take_advice_requests().items()
        self.assertEqual(names, ["e1"])
        harness.planner.on_advice(step, names, {"e1": "t"}, harness.now + 3)
        (run,) = harness.plan().planned_runs
        self.assertEqual(run.ticket, "t")

    def test_job_of_a_queue_that_turns_out_to_need_tickets_keeps_its_own_limit(self):
        """Guards against the limit of failed runs of another job of the queue."""
        harness = scheduling.SchedulerHarness(count=1)
        harness.scheduler._queues.clear()
        first = harness.add_job(scheduling.make_job(failed_runs_limit=2))
        other = scheduling.make_job(job="b" * 16, failed_runs_limit=5)
        (run,) = harness.scheduler.commit(harness.plan(), harness.now)
        harness.scheduler.on_start_refused(run, "ticket", harness.now)
        limits = [
            harness.scheduler.queue_rules(job).failed_runs_limit
            for job in (first, other)
        ]
        self.assertEqual(limits, [2, 5])
        configured = ordering.QueueRules(name="queue", service="pool")
        harness.scheduler.set_queues({"queue": configured})
        self.assertIs(harness.scheduler.queue_rules(other), configured)

    def test_no_advice_is_requested_on_an_excluded_executor(self):
        """Guards against useless calls of the advice service."""
        harness, job = self._make_harness()
        step = f"{job.id}.0.0"
        harness.planner.on_advice(step, ["e1", "e2"], {}, harness.now + 3)
        self.assertEqual(harness.start(), [])
        self.assertEqual(harness.planner.take_advice_requests(), {})


def make_pool(name, *, size, demand=0, idle=(), is_standby=False):
    """Return size and demand of a pool with instances of 16 cores."""
    return rebalancing.PoolLoad(
        name=name,
        is_standby=is_standby,
        processors=16_000,
        demand=demand,
        size=size,
        idle=list(idle),
    )


class ArrivalRateTest(unittest.TestCase):
    """Demand that the arriving work predicts when a peak begins or an outage ends."""

    def _predict(self, *, steps_per_s, elapsed_s):
        """Return the demand predicted some time after the steps began to arrive."""
        rate = rebalancing.ArrivalRate()
        for number in range(round(steps_per_s * elapsed_s)):
            rate.add_work(1000.0, 10.0 + number / steps_per_s)
        return rate.sustained_demand(10.0 + elapsed_s)

    def test_peak_is_recognized_by_its_first_steps(self):
        """Guards against a peak whose instances are ordered half a second late.

        Seen on day trouble-3 of vhs-klagenfurt-grown, when the store was back.
        """
        demand = self._predict(steps_per_s=80, elapsed_s=0.2)
        self.assertAlmostEqual(demand, 80_000, delta=8_000)

    def test_steady_arrivals_are_averaged_over_the_whole_window(self):
        """Guards against instances for each random cluster of arrivals."""
        demand = self._predict(steps_per_s=80, elapsed_s=3.0)
        self.assertAlmostEqual(demand, 80_000, delta=4_000)

    def test_few_steps_are_no_peak(self):
        """Guards against instances for a single job with several steps."""
        rate = rebalancing.ArrivalRate()
        for _ in range(rebalancing.ONSET_MIN_STEPS - 1):
            rate.add_work(1000.0, 10.0)
        self.assertAlmostEqual(rate.sustained_demand(10.1), 14_000)


class RebalancingTest(unittest.TestCase):
    """Moves of instances between pools while the queues peak in turn."""

    def test_pool_with_an_unplaceable_task_gets_one_instance(self):
        """Guards against a maintenance wave that has to wait for the next peak.

        Seen on day scale-1 of scoica-ops-grown: the tasks of a step were spread over
        all instances of their pool, so three of 95 instances could not be evacuated.
        """
        names = ["m1", "m2", "m3"]
        for arriving, moves in ((0, [("m3", "pool")]), (1, [])):
            spare = make_pool("spare", size=3, idle=names, is_standby=True)
            pool = make_pool("pool", size=5, demand=1_000)
            pool.unplaced_instances, pool.arriving = 1, arriving
            found = rebalancing.PoolRebalancer(moves_per_s=64).choose_moves(
                [spare, pool], 0.0
            )
            self.assertEqual(found, moves)

    def test_surge_gets_the_instances_that_the_platform_can_move_at_once(self):
        """Guards against a surge that gets its instances in small portions.

        Seen on day trouble-3 of vhs-klagenfurt-grown: with 12 moves at a time, 102 of
        161 jobs after a restart of all instances were not served in time, with 43 58.
        """
        names = [f"m{number}" for number in range(100)]
        spare = make_pool("spare", size=100, idle=names, is_standby=True)
        pool = make_pool("pool", size=1, demand=1_600_000)
        found = rebalancing.PoolRebalancer(moves_per_s=215).choose_moves(
            [spare, pool], 0.0
        )
        self.assertEqual(len(found), 43)

    def test_unplaceable_task_precedes_a_peak(self):
        """Guards against a maintenance wave that gets no instance during a peak."""
        spare = make_pool("spare", size=1, idle=["m1"], is_standby=True)
        peak = make_pool("peak", size=3, demand=160_000)
        pool = make_pool("pool", size=5, demand=1_000)
        pool.unplaced_instances = 1
        found = rebalancing.PoolRebalancer(moves_per_s=64).choose_moves(
            [spare, peak, pool], 0.0
        )
        self.assertEqual(found, [("m1", "pool")])

    def test_peak_gets_standby_instances(self):
        """Guards against a peak that waits although standby instances are available."""
        pools = [
            make_pool("spare", size=2, idle=["m1", "m2"], is_standby=True),
            make_pool("peak", size=3, demand=80_000),
        ]
        moves = rebalancing.PoolRebalancer(moves_per_s=64).choose_moves(pools, 0.0)
        self.assertEqual({pool for _, pool in moves}, {"peak"})
        self.assertEqual(len(moves), 2)

    def test_idle_instances_return_to_an_empty_standby_pool(self):
        """Guards against paying for idle instances all day.

        Seen on day quiet-1 of brazos: once all instances had left the standby pool,
        none returned.
        """
        pools = [
            make_pool("spare", size=0, is_standby=True),
            make_pool("idle", size=9, idle=["m1", "m2", "m3"]),
        ]
        moves = rebalancing.PoolRebalancer(moves_per_s=64).choose_moves(pools, 0.0)
        self.assertEqual({pool for _, pool in moves}, {"spare"})

    def test_idle_instances_move_to_the_next_peak_at_once(self):
        """Guards against a peak that waits while the previous pool keeps its size."""
        choose = rebalancing.PoolRebalancer(moves_per_s=64).choose_moves
        choose([make_pool("past", size=10, demand=140_000)], 0.0)
        pools = [
            make_pool("past", size=10, demand=10_000, idle=["m1", "m2"]),
            make_pool("peak", size=4, demand=140_000),
        ]
        self.assertEqual(choose(pools, 0.1), [("m2", "peak"), ("m1", "peak")])

    def test_pool_is_smallest_for_a_time_after_its_peak(self):
        """Guards against paying for idle instances while other queues peak."""
        choose = rebalancing.PoolRebalancer(moves_per_s=64).choose_moves
        names = [f"m{number}" for number in range(8)]

        def moves_back(now, demand):
            spare = make_pool("spare", size=0, is_standby=True)
            pool = make_pool("pool", size=8, demand=demand, idle=names)
            return len(choose([spare, pool], now))

        self.assertEqual(moves_back(0.0, 110_000), 0)
        after = rebalancing.RETENTION_S + 0.1
        self.assertEqual(moves_back(after, 0), 8 - rebalancing.MIN_INSTANCES_AFTER_PEAK)
        after_pause = rebalancing.AFTER_PEAK_S + 0.1
        self.assertEqual(moves_back(after_pause, 0), 8 - rebalancing.MIN_INSTANCES)

    def test_demand_includes_the_rate_of_arrivals(self):
        """Guards against a peak that gets its instances only one after the other."""
        harness = scheduling.SchedulerHarness(count=1, processors=4000)
        step = scheduling.make_step(4, processors=1000, estimate_s=1.0)
        for number in range(5):
            harness.add_job(scheduling.make_job(step, job=f"{number:016x}"))
        now = time.monotonic()
        needed_processors = load.LoadMeter(state=harness.scheduler).demand(
            now, scheduling.NOW_UNIX_S
        )["pool"]
        # 20 tasks of one core-second in half a second need 40 cores.
        self.assertGreaterEqual(needed_processors, 40_000)

    def test_late_jobs_add_less_demand(self):
        """Guards against moving instances for jobs that lost most of their worth."""
        harness = scheduling.SchedulerHarness(count=0)
        for number, age_s in enumerate((0.0, 3.5)):
            job = scheduling.make_job(
                job=f"{number:016x}", accepted_at=scheduling.NOW_UNIX_S - age_s
            )
            harness.add_job(job)
        later = time.monotonic() + 10
        needed_processors = load.LoadMeter(state=harness.scheduler).demand(
            later, scheduling.NOW_UNIX_S
        )["pool"]
        self.assertEqual(needed_processors, 1000 * (1 + rebalancing.LATE_TASK_WEIGHT))

    def test_idle_pool_keeps_its_minimum_size(self):
        """Guards against a pool without instances when its next job arrives."""
        names = [f"m{number}" for number in range(rebalancing.MIN_INSTANCES)]
        pools = [
            make_pool("spare", size=0, is_standby=True),
            make_pool("idle", size=len(names), idle=names),
        ]
        self.assertEqual(
            rebalancing.PoolRebalancer(moves_per_s=64).choose_moves(pools, 0.0), []
        )


class MaintenanceTest(unittest.TestCase):
    """Choice of instances for maintenance waves."""

    def _make_instances(self, count, **values):
        settings = {"pool": "pool", "state": "up", "kind": "a", "processors": 16_000}
        return {
            f"m{number}": instances.Instance(
                id=f"m{number}", executor=f"e{number}", **(settings | values)
            )
            for number in range(1, count + 1)
        }

    def _choose(self, wave, listed, executors=None, **values):
        settings = {"demand_ratios": {}, "maintenance_s": 2.0, "now": 0.0}
        return maintenance.choose_instances(
            wave, listed, executors or {}, **(settings | values)
        )

    def test_wave_leaves_a_peak_the_instances_that_it_does_not_need(self):
        """Guards against a wave that takes the most instances down during a peak.

        Seen on day trouble-2 of vhs-klagenfurt-grown: 32 of 179 instances were down at
        once from second 3 on, the wave ended at second 19 of 29, and 120 of 211 jobs of
        the peak from second 8 to 12 were late.
        """
        listed = self._make_instances(81)
        wave = instances.Wave(
            number=1, instances=list(listed), deadline=26.0, max_down=32
        )
        self.assertEqual(len(self._choose(wave, listed)), 32)
        chosen = self._choose(wave, listed, is_fleet_short=True)
        # 18 instances every 4 s: all 81 within 18 s.
        self.assertEqual(len(chosen), 18)

    def test_possible_order_takes_a_place_of_the_wave(self):
        """Guards against more instances down than allowed after a takeover (review 9).

        The instance that may have been ordered is chosen without a place of its own.
        """
        listed = self._make_instances(3)
        wave = instances.Wave(
            number=1, instances=list(listed), deadline=100.0, max_down=1
        )
        chosen = self._choose(wave, listed, possibly_ordered={"m3", "m9"})
        self.assertEqual(chosen, ["m3"])
        wave.max_down = 2
        chosen = self._choose(wave, listed, possibly_ordered={"m3"})
        self.assertEqual(chosen, ["m3", "m1"])

    def test_paced_wave_catches_up_before_its_deadline(self):
        """Guards against a wave that ends late because the peak goes on."""
        listed = self._make_instances(81)
        wave = instances.Wave(
            number=1, instances=list(listed), deadline=26.0, max_down=32
        )
        for now in (15.0, 20.0):
            chosen = self._choose(wave, listed, is_fleet_short=True, now=now)
            self.assertEqual(len(chosen), 32)

    def test_paced_wave_goes_on_with_evacuations_that_have_begun(self):
        """Guards against tasks that are moved away for nothing."""
        listed = self._make_instances(20)
        known = {}
        for number in range(1, 16):
            known[f"e{number}"] = scheduling.make_executor(f"e{number}")
            known[f"e{number}"].is_being_vacated = True
        wave = instances.Wave(
            number=1, instances=list(listed), deadline=100.0, max_down=15
        )
        chosen = self._choose(wave, listed, known, is_fleet_short=True)
        self.assertEqual(len(chosen), 15)

    def test_no_more_instances_go_down_than_allowed(self):
        """Guards against taking down an instance while as many as allowed are down."""
        listed = self._make_instances(4)
        wave = instances.Wave(
            number=1, instances=list(listed), deadline=30.0, max_down=2
        )
        self.assertEqual(len(self._choose(wave, listed)), 2)
        wave.previous_executors = {"m1": "e1", "m2": "e2"}
        self.assertEqual(self._choose(wave, listed), [])
        listed["m1"].executor = "e9"
        # Another executor does not prove that the maintenance is over.
        self.assertEqual(self._choose(wave, listed), [])
        wave.accepted_instances = {"m1"}
        self.assertEqual(self._choose(wave, listed), [])
        del wave.previous_executors["m1"]
        self.assertEqual(len(self._choose(wave, listed)), 1)

    def test_instance_without_long_running_tasks_goes_first(self):
        """Guards against moving tasks while idle instances could be taken down."""
        harness = scheduling.SchedulerHarness(count=2)
        harness.add_job(scheduling.make_job(scheduling.make_step(is_lasting=True)))
        (run,) = harness.start()
        listed = self._make_instances(2)
        wave = instances.Wave(
            number=1, instances=list(listed), deadline=30.0, max_down=1
        )
        (chosen,) = self._choose(wave, listed, harness.scheduler.executors)
        self.assertNotEqual(listed[chosen].executor, run.executor)

    def test_long_running_task_stays_while_another_is_unavailable(self):
        """Guards against more unavailable tasks than their job allows."""
        harness = scheduling.SchedulerHarness(count=2)
        step = scheduling.make_step(2, is_lasting=True, max_unavailable=1)
        harness.add_job(scheduling.make_job(step))
        runs = harness.start()
        known = harness.scheduler.executors
        self.assertFalse(maintenance.may_stop(runs[0], known))
        for run in runs:
            run.progress_percent = 100
        self.assertTrue(maintenance.may_stop(runs[0], known))


class EvacuationTest(unittest.TestCase):
    """Executors that are taken down or terminate."""

    def _make_harness(self, **values):
        harness = scheduling.SchedulerHarness(count=2)
        harness.add_job(scheduling.make_job(scheduling.make_step(2, **values)))
        runs = harness.start()
        for run in runs:
            run.progress_percent = 100
        return harness, harness.scheduler.executors[runs[0].executor], runs

    def test_long_running_tasks_are_stopped_one_by_one(self):
        """Guards against more unavailable tasks at once than their job allows."""
        harness, executor, runs = self._make_harness(is_lasting=True, max_unavailable=1)
        executor.is_being_vacated = True
        self.assertFalse(evacuation.evacuate(harness.scheduler, executor, harness.now))
        self.assertFalse(evacuation.evacuate(harness.scheduler, executor, harness.now))
        states = [run.state for run in runs]
        self.assertEqual(states.count(model.STOPPING), 1)

    def test_tasks_on_draining_executors_count_as_unavailable(self):
        """Guards against more unavailable tasks of a step than allowed.

        Seen on a hunted day of scoica-ops-large: a wave stopped two tasks of a step, of
        which three may be away, and at the same time two others were moved away from
        executors that were taken away at short notice.
        """
        harness = scheduling.SchedulerHarness(count=4)
        step = scheduling.make_step(3, is_lasting=True, max_unavailable=1, spread=1)
        harness.add_job(scheduling.make_job(step))
        runs = harness.start()
        for run in runs:
            run.progress_percent = 100
        known = harness.scheduler.executors
        self.assertTrue(maintenance.may_stop(runs[0], known))
        known[runs[1].executor].state = executors.DRAINING
        self.assertFalse(maintenance.may_stop(runs[0], known))

    def test_long_running_task_stays_without_an_alternative_executor(self):
        """Guards against stopping a task that cannot run anywhere else."""
        harness, executor, runs = self._make_harness(is_lasting=True, max_unavailable=1)
        for other in harness.executors:
            if other is not executor:
                other.is_being_vacated = True
        self.assertFalse(evacuation.evacuate(harness.scheduler, executor, harness.now))
        self.assertEqual([run.state for run in runs], [model.RUNNING] * 2)
        self.assertTrue(harness.scheduler.unplaceable_tasks("pool", harness.now))

    def test_task_beyond_the_spread_limit_is_unplaceable(self):
        """Guards against a long-running task that waits in a pool with free processors.

        Its step allows one task on an executor, and there are fewer executors than
        tasks, so the pool needs another instance.
        """
        harness = scheduling.SchedulerHarness(count=1)
        step = scheduling.make_step(2, is_lasting=True, spread=1)
        harness.add_job(scheduling.make_job(step))
        self.assertEqual(len(harness.start()), 1)
        self.assertTrue(harness.scheduler.unplaceable_tasks("pool", harness.now))
        self.assertFalse(harness.scheduler.unplaceable_tasks("pool", harness.now + 1.0))

    def test_pool_gets_all_instances_of_a_spread_step_at_once(self):
        """Guards against long-running tasks that wait for one instance after another.

        Seen on day quiet-1 of scoica-ops-large: a job of 24 tasks, each on another
        executor, was at work only 20 s after it was accepted.
        """
        harness = scheduling.SchedulerHarness(count=2)
        step = scheduling.make_step(24, is_lasting=True, spread=1)
        harness.add_job(scheduling.make_job(step))
        self.assertEqual(len(harness.start()), 2)
        waiting = harness.scheduler.unplaceable_tasks("pool", harness.now)
        needed = packing.count_needed_instances(waiting, [16_000, 32_000, 0])
        pool = make_pool("pool", size=2, demand=24_000)
        pool.unplaced_instances = needed
        self.assertEqual(pool.needed_instances, 24)
        pool.size, pool.arriving = 24, 22
        self.assertEqual(pool.needed_instances, 24)

    def test_long_running_tasks_with_much_memory_need_more_instances(self):
        """Guards against a pool that is sized by processors alone."""
        harness = scheduling.SchedulerHarness(count=1)
        step = scheduling.make_step(6, memory=15_000, is_lasting=True)
        harness.add_job(scheduling.make_job(step))
        self.assertEqual(len(harness.start()), 2)
        waiting = harness.scheduler.unplaceable_tasks("pool", harness.now)
        capacity = [16_000, 32_000, 0]
        self.assertEqual(packing.count_needed_instances(waiting, capacity), 2)
        demand_mb = load.LoadMeter(state=harness.scheduler).memory_demand(
            harness.now, scheduling.NOW_UNIX_S
        )
        self.assertEqual(demand_mb, {"pool": 90_000})

    def test_waiting_tasks_of_several_steps_share_instances(self):
        """Guards against paying for one instance a task where two fit."""
        step = scheduling.make_step(3, is_lasting=True, spread=1)
        other = scheduling.make_step(3, is_lasting=True, spread=1, memory=31_000)
        too_large = scheduling.make_step(3, is_lasting=True, memory=33_000)
        needed = packing.count_needed_instances(
            [(step, 3), (other, 2), (too_large, 3)], [16_000, 32_000, 0]
        )
        self.assertEqual(needed, 3)

    def test_tasks_that_are_not_long_running_are_left_to_end(self):
        """Guards against stopping tasks that end before the instance is taken down."""
        harness, executor, runs = self._make_harness()
        self.assertFalse(evacuation.evacuate(harness.scheduler, executor, harness.now))
        self.assertEqual([run.state for run in runs], [model.RUNNING] * 2)

    def test_run_that_outlasts_its_executor_is_stopped_with_a_checkpoint(self):
        """Guards against losing a run's work when its executor terminates."""
        harness, executor, runs = self._make_harness(saves_checkpoints=True)
        executor.state = executors.DRAINING
        executor.terminates_at = harness.now + 1.0
        for run, rate in zip(runs, (10.0, 90.0), strict=True):
            run.progress_percent, run.progressed_at, run.percent_per_s = (
                50,
                harness.now,
                rate,
            )
        evacuation.evacuate_draining(harness.scheduler, harness.now)
        states = [run.state for run in runs]
        self.assertEqual(states, [model.STOPPING, model.RUNNING])


class LargeJobTest(unittest.TestCase):
    """Jobs of far more tasks than one decision should plan.

    Review case 6: a decision about 10,000 tasks took longer than the membership of the
    controller lasts, so that the role went round and no job of any queue was started.
    """

    def _make_harness(self, count, *, executors=1, **values):
        harness = scheduling.SchedulerHarness(
            count=executors, processors=10**6, memory=10**7, **values
        )
        step = scheduling.make_step(count, processors=1, memory=1)
        (self.job,) = scheduling.make_jobs(harness, 1, step)
        return harness

    def test_one_decision_plans_a_bounded_number_of_runs(self):
        """Guards against a decision that grows with the size of a job."""
        limit = task_planner.RUNS_PER_DECISION_LIMIT
        harness = self._make_harness(2 * limit, executors=40)
        self.assertEqual([len(harness.start()) for _ in range(3)], [limit, limit, 0])

    def test_pools_share_the_runs_of_a_decision(self):
        """Guards against a job that keeps the tasks of other pools waiting."""
        limit = task_planner.RUNS_PER_DECISION_LIMIT
        harness = self._make_harness(2 * limit, executors=40)
        harness.add_executor("other", service="other")
        other = scheduling.make_job(job="c" * 16)
        other.service = "other"
        harness.add_job(other)
        runs = harness.start()
        self.assertEqual(len(runs), limit // 2 + 1)
        self.assertIn("other", {run.executor for run in runs})

    def test_executor_gets_no_further_starts_while_many_have_no_answer(self):
        """Guards against orders that expire while they wait for a connection."""
        limit = task_planner.UNANSWERED_STARTS_LIMIT
        harness = self._make_harness(3 * limit)
        starts = harness.scheduler.commit(harness.plan(), harness.now)
        self.assertEqual(len(starts), limit)
        self.assertTrue(harness.plan().is_empty)
        harness.scheduler.on_run_started(starts[0], harness.now)
        self.assertEqual(len(harness.plan().planned_runs), 1)

    def test_work_of_a_decision_does_not_grow_with_the_square_of_the_tasks(self):
        """Guards against reading all runs of a step or an executor for each of them."""
        harness = self._make_harness(60, executors=2, remote_factor=3.0)
        reads = collections.Counter()

        def count(owner, name):
            original = getattr(owner, name)

            def call(*arguments):
                reads[name] += 1
                return original(*arguments)

            return unittest.mock.patch.object(owner, name, call)

        with (
            count(executors.Executor, "used_resources"),
            count(model.Occurrence, "update_remote_factor"),
        ):
            self.assertEqual(len(harness.start()), 60)
            harness.plan()
        self.assertLessEqual(reads["used_resources"], 6)
        self.assertLessEqual(reads["update_remote_factor"], 1)

    def test_remote_factors_of_restored_runs_are_worked_out_by_step(self):
        """Guards against a takeover that reads all runs of a step for each of them."""
        harness = scheduling.SchedulerHarness(count=0, remote_factor=3.0)
        racks = [harness.add_executor(f"e{n}", rack=f"r{n % 2}") for n in range(3)]
        harness.add_job(scheduling.make_job(scheduling.make_step(3, is_coupled=True)))
        (job,) = harness.scheduler.jobs.values()
        for task, executor in zip(job.tasks(), racks, strict=True):
            harness.scheduler.plan_run(task, executor, 1)
            task.runs[0].remote_factor = None
        with unittest.mock.patch.object(
            locality, "_tasks_by_rack", wraps=locality._tasks_by_rack
        ) as read:
            locality.set_missing_remote_factors(
                [(executor, None) for executor in racks],
                harness.scheduler.executors,
                3.0,
            )
        self.assertEqual(read.call_count, 1)
        factors = [task.runs[0].remote_factor for task in job.tasks()]
        self.assertEqual(factors, [3.0, 3.0, 3.0])
