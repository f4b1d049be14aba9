"""Tests for the pure decisions of cranberryport.scheduling."""

import math
import time
import unittest

from cranberryport.scheduling import (
    admission,
    evacuation,
    executors,
    instances,
    load,
    maintenance,
    model,
    ordering,
    pacing,
    packing,
    rebalancing,
    stragglers,
    suspicion,
)
from tests import scheduling

RULES = ordering.QueueRules(
    name="queue", service="pool", attempts=2, stretch=1.6, latency_s=0.6
)


def make_occurrence(job):
    """Return the only occurrence of a job."""
    return model.Occurrence(job=job, number=0, due_at=0.0)


class OrderingTest(unittest.TestCase):
    """Order when a queue asks for more than its pool holds."""

    def _key(self, estimate_s, age_s):
        job = scheduling.make_job(
            scheduling.make_step(estimate_s=estimate_s),
            accepted_at=scheduling.WALL - age_s,
        )
        return ordering.order_key(make_occurrence(job), RULES, scheduling.WALL)

    def test_job_that_can_meet_its_objective_goes_before_a_late_one(self):
        """Guards against serving only jobs that are late already."""
        self.assertLess(self._key(1.0, 0.1), self._key(1.0, 3.0))

    def test_job_with_the_least_time_left_goes_first(self):
        """Guards against a large job that later small ones put off until it is late.

        Objectives are 1.6 times a job's length and 0.6 s more, so a long one has more
        time at first.
        """
        self.assertLess(self._key(0.5, 0.0), self._key(2.0, 0.0))
        self.assertLess(self._key(2.0, 1.5), self._key(0.5, 0.0))

    def test_late_job_goes_before_one_that_nobody_waits_for(self):
        """Guards against work that is worth nothing to its caller."""
        self.assertLess(self._key(1.0, 3.0), self._key(1.0, 9.0))

    def test_short_job_goes_before_a_long_one(self):
        """Guards against a peak in which nearly every job is just late."""
        self.assertLess(self._key(0.5, 0.1), self._key(2.0, 0.1))

    def test_late_job_is_rescued_before_nobody_waits_for_it(self):
        """Guards against late jobs that starve in a long peak.

        The objective of a task of 1 s is 2.2 s; callers wait for 6.6 s.
        """
        self.assertLess(self._key(1.0, 4.5), self._key(1.0, 0.1))
        self.assertGreater(self._key(1.0, 3.5), self._key(1.0, 0.1))

    def test_lasting_tasks_go_first(self):
        """Guards against lasting tasks that wait behind a burst."""
        job = scheduling.make_job(scheduling.make_step(is_lasting=True))
        key = ordering.order_key(make_occurrence(job), RULES, scheduling.WALL)
        self.assertLess(key, self._key(1.0, 0.1))


class AdmissionTest(unittest.TestCase):
    """Refusals while the backlog is above all that can be lent."""

    def _retry_after_s(self, backlog, *, processors=400.0):
        return admission.retry_after_s(
            work_core_s=8.0,
            critical_path_s=1.0,
            rules=RULES,
            backlog_core_s=backlog,
            cores=processors,
        )

    def test_job_that_can_end_while_its_caller_waits_is_accepted(self):
        """Guards against refusals with capacity free.

        The caller of a chain of 1 s waits for 6.6 s, so up to 5.6 s of backlog is
        bearable.
        """
        self.assertEqual(self._retry_after_s(0.0), 0)
        self.assertEqual(self._retry_after_s(400.0 * 5.0), 0)

    def test_job_that_would_end_too_late_is_refused_at_once(self):
        """Guards against accepted jobs that end when nobody waits for them."""
        self.assertEqual(self._retry_after_s(400.0 * 6.0), 4)
        self.assertEqual(
            self._retry_after_s(400.0 * 60.0), admission.LONGEST_RETRY_AFTER_S
        )

    def test_job_is_accepted_while_the_instances_are_not_known(self):
        """Guards against refusing everything after a change of the controller."""
        self.assertEqual(self._retry_after_s(9999.0, processors=0.0), 0)

    def test_backlog_leaves_out_what_nobody_waits_for(self):
        """Guards against refusals for work that is served last anyway."""
        harness = scheduling.SchedulerHarness(count=0)
        for number, age_s in enumerate((0.0, 30.0)):
            job = scheduling.make_job(
                job=f"{number:016x}", accepted_at=scheduling.WALL - age_s
            )
            harness.add_job(job)
        meter = load.LoadMeter(state=harness.scheduler)
        found = meter.backlog_core_s(
            "pool", RULES.priority, harness.now, scheduling.WALL
        )
        self.assertEqual(found, 1.0)

    def test_jobs_admitted_at_once_count_before_they_are_stored(self):
        """Guards against a burst whose jobs are all admitted to the same room."""
        meter = load.LoadMeter(state=scheduling.SchedulerHarness(count=0).scheduler)

        def backlog(now):
            return meter.backlog_core_s("pool", 1, now, scheduling.WALL)

        self.assertEqual(backlog(0.0), 0.0)
        meter.note_admitted("pool", 0, 5.0)
        meter.note_admitted("pool", 2, 5.0)
        self.assertEqual(backlog(0.01), 5.0)
        self.assertEqual(backlog(2 * load.AGE_S), 0.0)


class PackingTest(unittest.TestCase):
    """Choice of an executor."""

    def _choose(self, step, candidates, **values):
        settings = {
            "used_on": {},
            "racks": set(),
            "avoided_executors": (),
            "lasting_on": {},
        }
        return packing.choose(step, candidates, **(settings | values))

    def test_task_takes_the_fullest_executor_with_room(self):
        """Guards against small tasks that leave no executor for a wide one."""
        full, empty = scheduling.make_executor("a"), scheduling.make_executor("b")
        candidates = [(full, [2000, 9000, 0]), (empty, [16000, 32000, 0])]
        self.assertIs(self._choose(scheduling.make_step(), candidates), full)

    def test_task_goes_where_others_run_longer(self):
        """Guards against instances that one short task after the other keeps in use."""
        names = ("a", "b", "c")
        candidates = [
            (scheduling.make_executor(name), [room, 9000, 0])
            for name, room in zip(names, (2000, 8000, 16000), strict=True)
        ]
        step = scheduling.make_step(estimate_s=1.0)

        def choose(**busy):
            return self._choose(step, candidates, busy=busy).id

        self.assertEqual(choose(a=0.2, b=2.0), "b")
        self.assertEqual(choose(a=0.9, b=2.0), "a")
        self.assertEqual(choose(), "a")

    def test_executor_is_busy_until_its_longest_task_ends(self):
        """Guards against run times that are counted from the present anew."""
        harness = scheduling.SchedulerHarness()
        executor = harness.executors[0]
        self.assertEqual(packing.busy_s(executor, harness.now), 0.0)
        harness.add_job(scheduling.make_job(scheduling.make_step(estimate_s=3.0)))
        harness.start()
        self.assertEqual(packing.busy_s(executor, harness.now + 1.0), 2.0)
        lasting = scheduling.make_step(is_lasting=True)
        harness.add_job(scheduling.make_job(lasting, job="b" * 16))
        harness.start()
        self.assertEqual(packing.busy_s(executor, harness.now), math.inf)

    def test_needs_that_were_refused_cover_all_larger_ones(self):
        """Guards against a full pool that is searched once for each waiting step."""
        refused = packing.RefusedNeeds()
        refused.note(scheduling.make_step(processors=2000, memory=100))
        refused.note(scheduling.make_step(processors=1000, memory=50, label="gpu"))
        refused.note(scheduling.make_step(processors=100, memory=10, spread=1))
        larger = scheduling.make_step(processors=2000, memory=200, label="any")
        self.assertTrue(refused.covers(larger))
        labelled = scheduling.make_step(processors=1000, memory=100, label="gpu")
        self.assertTrue(refused.covers(labelled))
        for step in (
            scheduling.make_step(processors=1500, memory=100),
            scheduling.make_step(processors=2000, memory=50),
        ):
            self.assertFalse(refused.covers(step))

    def test_lasting_tasks_gather(self):
        """Guards against lasting tasks that hold every instance of an idle pool."""
        harness = scheduling.SchedulerHarness(count=3)
        harness.add_job(scheduling.make_job(scheduling.make_step(5, is_lasting=True)))
        self.assertEqual(len({run.executor for run in harness.start()}), 1)

    def test_spread_is_kept(self):
        """Guards against more tasks of a step on one executor than it allows."""
        only = scheduling.make_executor("a")
        step = scheduling.make_step(spread=1)
        candidates = [(only, [16000, 32000, 0])]
        self.assertIsNone(self._choose(step, candidates, used_on={"a": 1}))

    def test_label_is_required(self):
        """Guards against a start without the label."""
        only = scheduling.make_executor("a", labels=frozenset({"x"}))
        candidates = [(only, [16000, 32000, 0])]
        step = scheduling.make_step(label="y")
        self.assertIsNone(self._choose(step, candidates))

    def test_rack_of_the_data_is_preferred(self):
        """Guards against tasks far from their data while there is room near it."""
        near = scheduling.make_executor("a", rack="r1")
        far = scheduling.make_executor("b", rack="r2")
        candidates = [(far, [2000, 9000, 0]), (near, [16000, 32000, 0])]
        step = scheduling.make_step(rack="r1")
        self.assertIs(self._choose(step, candidates), near)

    def test_executor_on_which_the_task_failed_is_avoided(self):
        """Guards against spending all attempts on one broken executor."""
        bad, good = scheduling.make_executor("a"), scheduling.make_executor("b")
        candidates = [(bad, [2000, 9000, 0]), (good, [16000, 32000, 0])]
        chosen = self._choose(
            scheduling.make_step(), candidates, avoided_executors=("a",)
        )
        self.assertIs(chosen, good)


class SuspicionTest(unittest.TestCase):
    """Executors that fail everything."""

    def test_failures_of_one_job_do_not_make_an_executor_suspect(self):
        """Guards against emptying a pool because of a job that can never be done."""
        executor = scheduling.make_executor()
        for now in (1.0, 1.1, 1.2):
            suspicion.note_end(executor, "job", "failed", now)
        self.assertLessEqual(executor.suspected_until, 1.2)

    def test_failures_of_several_jobs_make_an_executor_suspect(self):
        """Guards against an executor that fails everything and so always has room."""
        bad, good = scheduling.make_executor("a"), scheduling.make_executor("b")
        suspicion.note_end(bad, "one", "failed", 1.0)
        suspicion.note_end(bad, "two", "failed", 1.1)
        candidates = [(bad, [1, 1, 1]), (good, [1, 1, 1])]
        self.assertEqual(suspicion.trusted(candidates, 1.2), candidates[1:])


class StragglersTest(unittest.TestCase):
    """Executors that stand still or are slow while they answer."""

    def _run(self, **values):
        harness = scheduling.SchedulerHarness(count=4, processors=2000)
        harness.add_job(scheduling.make_job(scheduling.make_step(**values)))
        (run,) = harness.start()
        return harness, run

    def _progress(self, harness, run, percent):
        executor = harness.scheduler.executors[run.executor]
        harness.list_runs(executor, [(run.task.name, run.number, "", percent)])

    def test_copy_starts_beside_a_run_that_stands_still(self):
        """Guards against callers that wait for an executor that hangs."""
        harness, run = self._run(may_copy=True)
        harness.now += 1.0
        self._progress(harness, run, 20)
        self.assertEqual(harness.start(), [])
        harness.now += 2.5
        self._progress(harness, run, 20)
        (copy,) = harness.start()
        self.assertNotEqual(copy.executor, run.executor)
        harness.finish(copy, 1)
        self.assertEqual(run.state, model.STOPPING)

    def test_run_that_may_not_be_copied_is_stopped_first(self):
        """Guards against two runs of a task that may not run twice."""
        harness, run = self._run()
        harness.now += 1.0
        self._progress(harness, run, 20)
        harness.now += 2.5
        self._progress(harness, run, 20)
        self.assertEqual(harness.start(), [])
        self.assertEqual(run.state, model.STOPPING)
        harness.finish(run, 1, "stopped")
        (again,) = harness.start()
        self.assertNotEqual(again.executor, run.executor)

    def test_run_on_a_silent_executor_is_not_stopped(self):
        """Guards against losing the work of an executor that is cut off for seconds.

        Seen on a hunted day of brazos: a run at 90 % was given up as it stood still,
        though only its lists were missing.
        """
        harness, run = self._run()
        harness.now += 1.0
        self._progress(harness, run, 90)
        harness.now += 3.0
        self.assertEqual(harness.start(), [])
        self.assertEqual(run.state, model.RUNNING)

    def test_copy_starts_while_an_executor_is_silent(self):
        """Guards against waiting for the lease where copies are allowed."""
        harness, run = self._run(may_copy=True)
        harness.now += 1.0
        self._progress(harness, run, 90)
        harness.now += 3.0
        self.assertEqual(len(harness.start()), 1)

    def test_slow_begin_makes_no_executor_slow(self):
        """Guards against leaving runs that restore a checkpoint before they progress.

        Seen on scoica trouble-1: 180 runs were left, most with little progress.
        """
        harness, run = self._run(saves_checkpoints=True, estimate_s=2.0)
        executor = harness.scheduler.executors[run.executor]
        for after_s, percent in ((0.8, 4), (1.3, 29), (1.8, 54)):
            harness.now += after_s if percent == 4 else 0.5
            self._progress(harness, run, percent)
        self.assertAlmostEqual(run.percent_per_s, 50.0)
        self.assertLessEqual(executor.slowdown, 1.0)

    def test_run_is_left_once(self):
        """Guards against counting a run that is being stopped again and again."""
        harness, run = self._run(saves_checkpoints=True)
        harness.now += 1.0
        self._progress(harness, run, 20)
        harness.now += 2.5
        self._progress(harness, run, 20)
        harness.start()
        harness.start()
        self.assertEqual((run.state, run.task.replacements), (model.STOPPING, 1))

    def test_task_is_not_left_for_ever(self):
        """Guards against a task that goes from one executor to the next."""
        harness, run = self._run(saves_checkpoints=True)
        run.task.replacements = stragglers.LEAVES_LIMIT
        harness.now += 1.0
        self._progress(harness, run, 20)
        harness.now += 2.5
        self._progress(harness, run, 20)
        self.assertEqual(harness.start(), [])
        self.assertEqual(run.state, model.RUNNING)

    def test_executor_far_slower_than_the_others_is_found(self):
        """Guards against work for an executor that takes several times as long."""
        known = [scheduling.make_executor(name) for name in "abcd"]
        known[0].slowdown = 5.0
        self.assertEqual(stragglers.slow_executors(known), {"a"})

    def test_rough_estimates_alone_make_no_executor_slow(self):
        """Guards against avoiding executors because declared times are wrong."""
        known = [scheduling.make_executor(name) for name in "abcd"]
        for executor, slowdown in zip(known, (1.5, 2.0, 1.0, 3.0), strict=True):
            executor.slowdown = slowdown
        self.assertEqual(stragglers.slow_executors(known), set())


class PacingTest(unittest.TestCase):
    """Tasks that fill beside tasks that serve."""

    def test_pace_falls_before_the_bound_is_reached(self):
        """Guards against a serving task above its bound because of its neighbours."""
        self.assertEqual(pacing.next_pace(100, 0.9), 40)
        self.assertEqual(pacing.next_pace(10, 1.2), 0)

    def test_pace_rises_while_there_is_room(self):
        """Guards against idle processors after a disturbance has passed."""
        self.assertEqual(pacing.next_pace(0, 0.3), pacing.RISE_PERCENT)
        self.assertEqual(pacing.next_pace(50, 0.7), 50)
        self.assertEqual(pacing.next_pace(50, None), 100)


class AdviceTest(unittest.TestCase):
    """Queues whose placement needs tickets."""

    def _bench(self):
        harness = scheduling.SchedulerHarness(count=2)
        rules = ordering.QueueRules(
            name="queue", service="pool", advice=(0.1, 0.01, 3.0)
        )
        harness.scheduler.set_queues({"queue": rules})
        return harness, harness.add_job(scheduling.make_job())

    def test_start_waits_for_a_ticket_and_carries_it(self):
        """Guards against starts that executors refuse for want of a ticket."""
        harness, job = self._bench()
        self.assertEqual(harness.start(), [])
        wanted = harness.planner.take_advice_requests()
        step = f"{job.id}.0.0"
        self.assertEqual(sorted(wanted[step][0]), ["e1", "e2"])
        harness.planner.on_advice(step, ["e1", "e2"], {"e2": "t"}, harness.now + 3)
        (run,) = harness.start()
        self.assertEqual((run.executor, run.ticket), ("e2", "t"))

    def test_executor_that_is_not_permitted_is_not_asked_about_again(self):
        """Guards against calls of the advice service that cannot change anything."""
        harness, job = self._bench()
        step = f"{job.id}.0.0"
        harness.planner.on_advice(step, ["e1", "e2"], {}, harness.now + 3)
        self.assertEqual(harness.start(), [])
        self.assertEqual(harness.planner.take_advice_requests(), {})


def make_pool(name, *, size, demand=0, idle=(), is_standby=False):
    """Return the load of a pool with instances of 16 cores."""
    return rebalancing.PoolLoad(
        name=name,
        is_standby=is_standby,
        processors=16_000,
        demand=demand,
        size=size,
        idle=list(idle),
    )


class LendingTest(unittest.TestCase):
    """Moves between pools while the queues peak by turns."""

    def test_pool_without_a_place_for_a_task_borrows_one_instance(self):
        """Guards against a wave that waits for the next peak.

        Seen on scoica-ops-grown scale-1: the tasks of a step were spread over all
        instances of their pool, so three of 95 instances could not be emptied.
        """
        names = ["m1", "m2", "m3"]
        for arriving, moves in ((0, [("m3", "pool")]), (1, [])):
            spare = make_pool("spare", size=3, idle=names, is_standby=True)
            pool = make_pool("pool", size=5, demand=1_000)
            pool.has_unplaceable_task, pool.arriving = True, arriving
            found = rebalancing.PoolRebalancer().choose_moves([spare, pool], 0.0)
            self.assertEqual(found, moves)

    def test_place_for_a_task_goes_before_a_peak(self):
        """Guards against a wave that waits for one instance while a peak takes all."""
        spare = make_pool("spare", size=1, idle=["m1"], is_standby=True)
        peak = make_pool("peak", size=3, demand=160_000)
        pool = make_pool("pool", size=5, demand=1_000)
        pool.has_unplaceable_task = True
        found = rebalancing.PoolRebalancer().choose_moves([spare, peak, pool], 0.0)
        self.assertEqual(found, [("m1", "pool")])

    def test_peak_borrows_from_the_pool_that_is_off(self):
        """Guards against a peak that waits beside instances that are off."""
        pools = [
            make_pool("spare", size=2, idle=["m1", "m2"], is_standby=True),
            make_pool("peak", size=3, demand=80_000),
        ]
        moves = rebalancing.PoolRebalancer().choose_moves(pools, 0.0)
        self.assertEqual({pool for _, pool in moves}, {"peak"})
        self.assertEqual(len(moves), 2)

    def test_idle_instances_return_although_the_spare_pool_is_empty(self):
        """Guards against paying for idle instances all day.

        Seen on brazos quiet-1: with every spare instance lent, none came back.
        """
        pools = [
            make_pool("spare", size=0, is_standby=True),
            make_pool("idle", size=9, idle=["m1", "m2", "m3"]),
        ]
        moves = rebalancing.PoolRebalancer().choose_moves(pools, 0.0)
        self.assertEqual({pool for _, pool in moves}, {"spare"})

    def test_idle_instances_of_a_past_peak_help_the_next_one_at_once(self):
        """Guards against a peak that waits while the pool before it keeps its size."""
        choose = rebalancing.PoolRebalancer().choose_moves
        choose([make_pool("past", size=10, demand=140_000)], 0.0)
        pools = [
            make_pool("past", size=10, demand=10_000, idle=["m1", "m2"]),
            make_pool("peak", size=4, demand=140_000),
        ]
        self.assertEqual(choose(pools, 0.1), [("m2", "peak"), ("m1", "peak")])

    def test_pool_that_has_peaked_keeps_little_until_its_next_turn(self):
        """Guards against paying for instances while other queues have their turns."""
        choose = rebalancing.PoolRebalancer().choose_moves
        names = [f"m{number}" for number in range(8)]

        def moves_back(now, demand):
            spare = make_pool("spare", size=0, is_standby=True)
            pool = make_pool("pool", size=8, demand=demand, idle=names)
            return len(choose([spare, pool], now))

        self.assertEqual(moves_back(0.0, 110_000), 0)
        after = rebalancing.KEEP_S + 0.1
        self.assertEqual(moves_back(after, 0), 8 - rebalancing.RESTED_SIZE)
        rested = rebalancing.REST_S + 0.1
        self.assertEqual(moves_back(rested, 0), 8 - rebalancing.READY_SIZE)

    def test_beginning_peak_shows_in_its_arrivals(self):
        """Guards against a peak that borrows one instance after the other."""
        harness = scheduling.SchedulerHarness(count=1, processors=4000)
        step = scheduling.make_step(4, processors=1000, estimate_s=1.0)
        for number in range(5):
            harness.add_job(scheduling.make_job(step, job=f"{number:016x}"))
        now = time.monotonic()
        asked = load.LoadMeter(state=harness.scheduler).demand(now, scheduling.WALL)[
            "pool"
        ]
        # 20 tasks of one core-second in half a second keep 40 cores busy.
        self.assertGreaterEqual(asked, 40_000)

    def test_late_jobs_count_less_than_those_in_time(self):
        """Guards against lending for callers that lost the worth of their jobs."""
        harness = scheduling.SchedulerHarness(count=0)
        for number, age_s in enumerate((0.0, 3.5)):
            job = scheduling.make_job(
                job=f"{number:016x}", accepted_at=scheduling.WALL - age_s
            )
            harness.add_job(job)
        later = time.monotonic() + 10
        asked = load.LoadMeter(state=harness.scheduler).demand(later, scheduling.WALL)[
            "pool"
        ]
        self.assertEqual(asked, 1000 * (1 + rebalancing.LATE_SHARE))

    def test_pool_keeps_its_base(self):
        """Guards against an empty pool when its next job comes."""
        names = [f"m{number}" for number in range(rebalancing.READY_SIZE)]
        pools = [
            make_pool("spare", size=0, is_standby=True),
            make_pool("idle", size=len(names), idle=names),
        ]
        self.assertEqual(rebalancing.PoolRebalancer().choose_moves(pools, 0.0), [])


class UpkeepTest(unittest.TestCase):
    """Waves of upkeep."""

    def _listed(self, count, **values):
        settings = {"pool": "pool", "state": "up", "kind": "a", "processors": 16_000}
        return {
            f"m{number}": instances.Instance(
                id=f"m{number}", executor=f"e{number}", **(settings | values)
            )
            for number in range(1, count + 1)
        }

    def _choose(self, wave, listed, executors=None):
        return maintenance.choose_instances(
            wave, listed, executors or {}, pressure={}, maintenance_s=2.0, now=0.0
        )

    def test_no_more_than_the_maximum_are_down(self):
        """Guards against an upkeep that begins while the most allowed are down."""
        listed = self._listed(4)
        wave = instances.Wave(
            number=1, instances=list(listed), deadline=30.0, max_down=2
        )
        self.assertEqual(len(self._choose(wave, listed)), 2)
        wave.previous_executors = {"m1": "e1", "m2": "e2"}
        self.assertEqual(self._choose(wave, listed), [])
        listed["m1"].executor = "e9"
        self.assertEqual(len(self._choose(wave, listed)), 1)

    def test_instances_without_work_go_first(self):
        """Guards against moving work while idle instances could go down."""
        harness = scheduling.SchedulerHarness(count=2)
        harness.add_job(scheduling.make_job(scheduling.make_step(is_lasting=True)))
        (run,) = harness.start()
        listed = self._listed(2)
        wave = instances.Wave(
            number=1, instances=list(listed), deadline=30.0, max_down=1
        )
        (chosen,) = self._choose(wave, listed, harness.scheduler.executors)
        self.assertNotEqual(listed[chosen].executor, run.executor)

    def test_lasting_task_stays_while_another_of_its_step_is_away(self):
        """Guards against more tasks away than their job allows."""
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
    """Executors that go down or leave."""

    def _bench(self, **values):
        harness = scheduling.SchedulerHarness(count=2)
        harness.add_job(scheduling.make_job(scheduling.make_step(2, **values)))
        runs = harness.start()
        for run in runs:
            run.progress_percent = 100
        return harness, harness.scheduler.executors[runs[0].executor], runs

    def test_lasting_tasks_move_one_after_the_other(self):
        """Guards against more tasks away at once than their job allows."""
        harness, executor, runs = self._bench(is_lasting=True, max_unavailable=1)
        executor.is_reserved = True
        self.assertFalse(evacuation.evacuate(harness.scheduler, executor, harness.now))
        self.assertFalse(evacuation.evacuate(harness.scheduler, executor, harness.now))
        states = [run.state for run in runs]
        self.assertEqual(states.count(model.STOPPING), 1)

    def test_lasting_task_stays_without_another_place(self):
        """Guards against stopping a task that cannot run anywhere else."""
        harness, executor, runs = self._bench(is_lasting=True, max_unavailable=1)
        for other in harness.executors:
            if other is not executor:
                other.is_reserved = True
        self.assertFalse(evacuation.evacuate(harness.scheduler, executor, harness.now))
        self.assertEqual([run.state for run in runs], [model.RUNNING] * 2)
        self.assertTrue(harness.scheduler.has_unplaceable_task("pool", harness.now))

    def test_task_that_is_spread_and_has_no_place_is_noted(self):
        """Guards against a lasting task that waits in a pool with room.

        Its step may have one task on an executor, and there are fewer executors.
        """
        harness = scheduling.SchedulerHarness(count=1)
        step = scheduling.make_step(2, is_lasting=True, spread=1)
        harness.add_job(scheduling.make_job(step))
        self.assertEqual(len(harness.start()), 1)
        self.assertTrue(harness.scheduler.has_unplaceable_task("pool", harness.now))
        self.assertFalse(
            harness.scheduler.has_unplaceable_task("pool", harness.now + 1.0)
        )

    def test_other_tasks_are_left_to_end(self):
        """Guards against losing work that ends before the instance has to go down."""
        harness, executor, runs = self._bench()
        self.assertFalse(evacuation.evacuate(harness.scheduler, executor, harness.now))
        self.assertEqual([run.state for run in runs], [model.RUNNING] * 2)

    def test_run_that_would_be_cut_off_leaves_with_its_checkpoint(self):
        """Guards against work that ends with its executor."""
        harness, executor, runs = self._bench(saves_checkpoints=True)
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
