"""Tests of :mod:`cranberryport.command_line.organisations`."""

import http.server
import json
import socket
import threading
import unittest

from typer import testing

from cranberryport.command_line import main
from cranberryport.observability import organisation_report


class Handler(http.server.BaseHTTPRequestHandler):
    """Answers each request with ``server.status`` and ``server.body``."""

    def do_GET(self):
        self.server.path = self.path
        self.send_response(self.server.status)
        self.send_header("Content-Length", str(len(self.server.body)))
        self.end_headers()
        self.wfile.write(self.server.body)

    def log_message(self, *_):
        pass


class OrganisationsTest(unittest.TestCase):
    """The command prints the controller's page, or one clear error."""

    def setUp(self):
        """Start a server with the page of two organisations."""
        self.server = http.server.HTTPServer(("127.0.0.1", 0), Handler)
        thread = threading.Thread(target=self.server.serve_forever)
        thread.start()
        self.addCleanup(thread.join)
        self.addCleanup(self.server.server_close)
        self.addCleanup(self.server.shutdown)
        self.address = f"127.0.0.1:{self.server.server_port}"
        rows = [
            organisation_report.OrganisationRow(
                name="alpha",
                weight=3.0,
                share=0.75,
                limits=organisation_report.Resources(processors=4500),
                use=organisation_report.Resources(processors=1500, memory=200),
                waiting=7,
                rejected={"share": 2, "limit": 1},
            ),
            organisation_report.OrganisationRow(name="beta"),
        ]
        self.page = organisation_report.OrganisationReport(rows).to_page()
        self.reply(200, self.page)

    def reply(self, status, value):
        """Set the response of the server."""
        self.server.status, self.server.body = status, json.dumps(value).encode()

    def run_tool(self, *arguments):
        """Run the command and return its result."""
        return testing.CliRunner().invoke(main.app, ["organisations", *arguments])

    def test_table_has_a_line_for_each_organisation(self):
        """Guards against a table from which use and limit cannot be compared."""
        result = self.run_tool(self.address)
        self.assertEqual(result.exit_code, 0, result.output)
        self.assertEqual(self.server.path, "/organisations")
        header, alpha, beta = result.output.splitlines()
        self.assertGreater(len(header.split("  ")), 5)
        for text in ("0.75", "1.5", "4.5", "7", "limit 1, share 2"):
            self.assertIn(text, alpha)
        self.assertIn("unknown", beta)

    def test_json_is_the_page_itself(self):
        """Guards against figures that programs cannot read."""
        result = self.run_tool(self.address, "--json")
        self.assertEqual(json.loads(result.output), self.page)

    def test_no_organisations_is_said(self):
        """Guards against an empty output that looks like a failure."""
        self.reply(200, {"organisations": []})
        self.assertIn("no organisations", self.run_tool(self.address).output)

    def test_instance_that_does_not_lead_is_quoted(self):
        """Guards against an operator who does not learn where to ask."""
        reason = "no state of a controller here; it is at 10.0.0.1:7000"
        self.reply(503, {"Error": reason})
        result = self.run_tool(self.address)
        self.assertEqual(result.exit_code, main.EXIT_FAILED)
        self.assertEqual(
            result.output.strip(),
            f"{self.address} answered /organisations with status 503: {reason}",
        )

    def test_page_of_another_program_is_an_error(self):
        """Guards against a traceback for a wrong port."""
        for body in (b"front.GET.200 1\n", b"[]", b'{"organisations": [3]}'):
            self.server.body = body
            result = self.run_tool(self.address)
            self.assertEqual(result.exit_code, main.EXIT_FAILED)
            self.assertIn(self.address, result.output)
            self.assertEqual(len(result.output.splitlines()), 1)

    def test_address_that_cannot_be_reached_is_quoted(self):
        """Guards against an error that does not say what could not be reached."""
        with socket.socket() as sock:
            sock.bind(("127.0.0.1", 0))
            address = f"127.0.0.1:{sock.getsockname()[1]}"
            result = self.run_tool(address)
        self.assertEqual(result.exit_code, main.EXIT_FAILED)
        self.assertIn(f"cannot connect to {address}", result.output)

    def test_bad_address_is_quoted(self):
        """Guards against an error that does not show the mistyped value."""
        for text in ("nowhere", "127.0.0.1:99999", ":1"):
            result = self.run_tool(text)
            self.assertEqual(result.exit_code, main.EXIT_FINDINGS)
            self.assertIn(repr(text), result.output)
