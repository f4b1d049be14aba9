"""Tests of :mod:`cranberryport.observability.operator_pages`."""

import io
import json
import pathlib
import tempfile
import types
import unittest

from typer import testing

from cranberryport.command_line import main
from cranberryport.observability import operator_pages
from cranberryport.scheduling import (
    explaining,
    organisation_shares,
    organisations,
)
from standins import calls
from standins.platform import local_deployment
from tests import scheduling

JOB = json.dumps({"Spec": "work", "Steps": [{"Count": 1, "Cpu": 1000, "MemMb": 10}]})
# A controller is found and has read the state within about 2 s; the machine may be
# busy. No test depends on the value.
WAIT_LIMIT_S = 20.0


class OperatorPagesTest(unittest.TestCase):
    """Responses to requests for the pages."""

    def setUp(self):
        """Create a controller that places each job in the same way."""
        self.asked = []
        harness = scheduling.SchedulerHarness()
        harness.scheduler.set_organisations(
            {"alpha": organisations.Organisation(name="alpha", weight=2.0)}
        )
        shares = organisation_shares.OrganisationShares(state=harness.scheduler)
        self.controller = types.SimpleNamespace(
            state=harness.scheduler,
            explain_placement=self.explain_placement,
            organisation_statuses=shares.statuses(),
        )

    def explain_placement(self, job):
        """Record a question and answer it."""
        self.asked.append(job)
        step = explaining.StepPlacement(
            number=0,
            executor_ids=["e1"],
            remote_count=0,
            ruled_out={"room": 1},
            limited_count=4,
        )
        return explaining.Placement(
            retry_after_s=2,
            reason="backlog",
            jobs_ahead=3,
            executor_count=2,
            steps=[step],
        )

    def get(self, path, *, method="GET", value=None, controller_address=None):
        """Return status and fields of the response to a request."""
        body = io.BytesIO(json.dumps(value).encode())
        request = types.SimpleNamespace(path=path, method=method, body=body)
        response = types.SimpleNamespace(status=200, headers={}, body=b"")
        operator_pages.respond(
            request,
            response,
            controller=self.controller,
            controller_address=controller_address,
        )
        return response.status, json.loads(response.body)

    def ask(self, **fields):
        """Return the response to a question about a job."""
        value = {"queue": "queue", "job": JOB, **fields}
        return self.get("/placement", method="POST", value=value)

    def test_organisations(self):
        """Guards against a page that does not show the controller's state."""
        status, fields = self.get("/organisations")
        self.assertEqual(status, 200)
        (row,) = fields["organisations"]
        self.assertEqual((row["name"], row["weight"]), ("alpha", 2.0))

    def test_placement(self):
        """Guards against an answer about another job than the one asked about."""
        status, fields = self.ask(organisation="alpha")
        self.assertEqual(status, 200)
        (job,) = self.asked
        self.assertEqual((job.organisation, job.service), ("alpha", "pool"))
        self.assertEqual((fields["is_admitted"], fields["retry_after_s"]), (False, 2))
        self.assertEqual(fields["steps"][0]["executors"], ["e1"])
        self.assertEqual(fields["steps"][0]["limited"], 4)

    def test_bad_values_are_quoted_with_the_valid_ones(self):
        """Guards against errors that do not say what to correct."""
        self.assertEqual(
            self.ask(queue="qqq"), (404, {"Error": "queue 'qqq'; known: queue"})
        )
        self.assertEqual(
            self.ask(organisation="beta"),
            (404, {"Error": "organisation 'beta'; known: alpha"}),
        )
        status, fields = self.ask(job='{"Spec": "", "Steps": []}')
        self.assertEqual(status, 400)
        self.assertIn("Steps is a list of 0", fields["Error"])
        for value in (None, [], {"job": 3}):
            status, _ = self.get("/placement", method="POST", value=value)
            self.assertEqual(status, 400)
        self.assertEqual(self.asked, [])

    def test_values_of_other_types_are_quoted(self):
        """Guards against a failed handler, which closes the connection."""
        self.assertEqual(self.ask(queue=["q"])[0], 404)
        self.assertEqual(self.ask(organisation={"a": 1})[0], 404)

    def test_other_methods_are_refused(self):
        """Guards against a page that is taken for an action."""
        status, fields = self.get("/organisations", method="DELETE")
        self.assertEqual((status, fields["Error"][-3:]), (405, "GET"))

    def test_other_instances_tell_where_the_controller_is(self):
        """Guards against figures of an instance that has none."""
        for controller in (None, types.SimpleNamespace(state=None)):
            self.controller = controller
            status, fields = self.get(
                "/organisations", controller_address="10.0.0.1:7000"
            )
            self.assertEqual(status, 503)
            self.assertIn("10.0.0.1:7000", fields["Error"])


class DeploymentTest(unittest.TestCase):
    """The commands against an entry instance and the stand-in platform."""

    def test_commands_print_what_the_controller_knows(self):
        """Guards against commands and pages that do not fit together."""
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        row = {"Name": "alpha", "ApiKeys": ["k"], "Weight": 3, "Maximum": {"Cpu": 5000}}
        deployment = local_deployment.LocalDeployment(
            directory=directory.name, pools={"one": 2, "spare": 1}, organisations=[row]
        )
        self.addCleanup(deployment.stop)
        deployment.start()
        port = deployment.entries[0].metrics_port
        address = f"127.0.0.1:{port}"

        def has_controller():
            return calls.send_request(port, "GET", "/organisations").status == 200

        calls.wait_until(has_controller, WAIT_LIMIT_S, "the controller is ready")
        runner = testing.CliRunner()
        result = runner.invoke(main.app, ["organisations", address])
        self.assertEqual(result.exit_code, 0, result.output)
        self.assertRegex(result.output.splitlines()[1], r"alpha +3\.0 +1\.0 .* 5\.0 ")
        metrics = calls.send_request(port, "GET", "/metrics").body
        self.assertIn(b"organisations.alpha.processors_limit 5000\n", metrics)
        path = pathlib.Path(directory.name) / "job.json"
        path.write_text(JOB)

        def places_job():
            arguments = ["place", address, str(path), "--queue", "queue-one", "--json"]
            result = runner.invoke(main.app, arguments)
            self.assertEqual(result.exit_code, 0, result.output)
            return json.loads(result.output)["steps"][0]["executors"] != [None]

        # The controller asks the executors what runs there before it uses them.
        calls.wait_until(places_job, WAIT_LIMIT_S, "an executor accepts runs")
        self.assertEqual(deployment.findings()["starts"], 0)
