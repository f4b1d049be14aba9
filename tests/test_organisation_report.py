"""Tests of :mod:`cranberryport.observability.organisation_report`."""

import unittest

from cranberryport.observability import node_metrics, organisation_report
from cranberryport.scheduling import organisation_shares, organisations, records
from tests import scheduling


def make_rows(count):
    """Return rows with weights from 1 to the count, and one waiting job each."""
    return [
        organisation_report.OrganisationRow(name=f"o{n}", weight=n, waiting=1)
        for n in range(1, count + 1)
    ]


class ReadRowsTest(unittest.TestCase):
    """Figures that follow from the state of the jobs and executors."""

    def setUp(self):
        """Create a scheduler with two organisations and one executor."""
        self.harness = scheduling.SchedulerHarness()
        self.harness.scheduler.set_organisations(
            {
                "a": organisations.Organisation(
                    name="a", weight=3.0, processors_limit=4000, memory_limit=900
                ),
                "b": organisations.Organisation(name="b"),
            }
        )

    def read(self, **values):
        """Return the rows by name."""
        rows = organisation_report.read_rows(
            self.harness.scheduler, self.harness.now, **values
        )
        return {row.name: row for row in rows}

    def test_configured_values_and_share_by_weight(self):
        """Guards against an operator who is shown another limit than the one set."""
        rows = self.read()
        self.assertEqual(sorted(rows), ["a", "b"])
        self.assertEqual((rows["a"].weight, rows["a"].share), (3.0, 0.75))
        self.assertEqual(
            rows["a"].limits.to_dict(),
            {"processors": 4000, "memory": 900, "accelerators": 0},
        )

    def test_report_has_the_measured_shares_and_rejections(self):
        """Guards against shares by weight that are shown as those in force."""
        shares = organisation_shares.OrganisationShares(state=self.harness.scheduler)
        shares.count_rejection("a", "share")
        report = organisation_report.make_report(
            self.harness.scheduler, self.harness.now, shares.statuses()
        )
        rows = {row["name"]: row for row in report.to_page()["organisations"]}
        self.assertEqual(rows["a"]["share"], 1.0)
        self.assertEqual(rows["a"]["rejected"], {"share": 1})

    def test_planned_and_best_effort_runs_are_in_use(self):
        """Guards against a use that is lower than the one that limits count."""
        steps = [scheduling.make_step(2), scheduling.make_step(1, is_filling=True)]
        self.harness.add_job(scheduling.make_job(*steps, organisation="a"))
        self.harness.plan()
        row = self.read()["a"]
        self.assertEqual(row.use.processors, 3000)
        self.assertEqual(row.use.memory, 300)

    def test_job_waits_until_a_run_has_started(self):
        """Guards against planned jobs that seem to run; their starts may be refused."""
        job = self.harness.add_job(scheduling.make_job(organisation="a"))
        batch = self.harness.plan()
        self.assertEqual(self.read()["a"].waiting, 1)
        (run,) = self.harness.scheduler.commit(batch, self.harness.now)
        self.assertEqual(self.read()["a"].waiting, 1)
        self.harness.scheduler.on_run_started(run, self.harness.now)
        self.assertEqual(self.read()["a"].waiting, 0)
        self.assertEqual(job.state, "active")

    def test_runs_restored_at_a_takeover_are_in_use(self):
        """Guards against an organisation at its limit that seems to use nothing."""
        job = self.harness.add_job(
            scheduling.make_job(scheduling.make_step(2), organisation="a")
        )
        self.harness.start()
        self.harness = scheduling.SchedulerHarness(
            count=0, previous_leases_expire_at=104.0
        )
        self.harness.scheduler.restore_job(
            records.job_from_record(records.job_to_record(job)),
            records.progress_to_record(job),
            scheduling.NOW_UNIX_S,
        )
        use = self.read()["a"].use.to_dict()
        self.assertEqual(use, {"processors": 2000, "memory": 200, "accelerators": 0})

    def test_waiting_jobs_of_an_organisation_that_was_removed_are_shown(self):
        """Guards against work that nobody can find after a change of configuration."""
        self.harness.add_job(scheduling.make_job(organisation="gone"))
        row = self.read()["gone"]
        self.assertEqual((row.waiting, row.weight, row.share), (1, None, None))

    def test_jobs_without_organisation_have_no_row(self):
        """Guards against metrics of organisations on deployments that have none."""
        self.harness.add_job(scheduling.make_job())
        self.harness.scheduler.set_organisations({})
        self.assertEqual(self.read(), {})

    def test_figures_of_other_parts_replace_the_defaults(self):
        """Guards against a page that ignores what the controller measured."""
        rows = self.read(
            shares={"a": 0.5}, received={"a": 2.5}, rejected={"c": {"limit": 2}}
        )
        self.assertEqual((rows["a"].share, rows["a"].received), (0.5, 2.5))
        self.assertIsNone(rows["b"].share)
        self.assertEqual(rows["c"].rejected, {"limit": 2})


class ReportTest(unittest.TestCase):
    """The page and the metrics."""

    def test_number_of_named_organisations_is_bounded(self):
        """Guards against a metrics page that grows with the configuration."""
        limit = organisation_report.NAMED_METRICS_LIMIT
        report = organisation_report.OrganisationReport(make_rows(limit + 5))
        gauges = report.to_gauges()
        names = {name.partition(".")[0] for name in gauges}
        self.assertEqual(len(names), limit + 1)
        self.assertNotIn("o5", names)
        self.assertEqual(gauges["other.waiting_jobs"], 5)
        self.assertEqual(gauges["other.weight"], 1 + 2 + 3 + 4 + 5)
        self.assertNotIn("other.processors_limit", gauges)

    def test_organisation_with_the_name_of_the_sum_is_part_of_it(self):
        """Guards against two values of one metric."""
        rows = [organisation_report.OrganisationRow(name="other", weight=1, waiting=2)]
        gauges = organisation_report.OrganisationReport(rows).to_gauges()
        self.assertEqual(gauges["other.waiting_jobs"], 2)

    def test_names_with_blanks_do_not_break_the_metrics(self):
        """Guards against a line that a reader of the metrics takes for another one."""
        rows = [organisation_report.OrganisationRow(name="a b\nc", waiting=2)]
        gauges = organisation_report.OrganisationReport(rows).to_gauges()
        self.assertEqual(gauges["a%20b%0Ac.waiting_jobs"], 2)

    def test_gauges_of_removed_organisations_disappear(self):
        """Guards against a metric that shows the last value of what is gone."""
        metrics = node_metrics.NodeMetrics()
        metrics.gauge("front.in_progress", 1)
        metrics.replace_gauges("organisations.", {"a.waiting_jobs": 1})
        metrics.replace_gauges("organisations.", {"b.waiting_jobs": 2})
        self.assertEqual(
            metrics.render(), "front.in_progress 1\norganisations.b.waiting_jobs 2\n"
        )

    def test_page_lists_rows_by_name(self):
        """Guards against a page whose order changes from one request to the next."""
        rows = [
            organisation_report.OrganisationRow(name=name, rejected={"limit": 1})
            for name in ("b", "a")
        ]
        page = organisation_report.OrganisationReport(rows).to_page()
        self.assertEqual([row["name"] for row in page["organisations"]], ["a", "b"])
        self.assertEqual(page["organisations"][0]["rejected"], {"limit": 1})
