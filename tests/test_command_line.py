"""Tests of :mod:`cranberryport.command_line`."""

import http.server
import json
import pathlib
import tempfile
import threading
import unittest

from typer import testing

from cranberryport import codec
from cranberryport.command_line import client, main, rendering
from cranberryport.sheet import signing

SHEET = pathlib.Path(__file__).parent.parent / "deployments" / "brazos" / "team.csv"
KEY = b"k" * 32


class Handler(http.server.BaseHTTPRequestHandler):
    """Stands in for the platform's log and for an entry instance.

    It closes the connection without a response for the next
    ``server.lost_response_count`` POST requests, rejects publications if
    ``server.rejects`` is set, and shows a later publication in force if
    ``server.is_overtaken`` is set.
    """

    def do_GET(self):
        self.reply(200, self.server.page)

    def do_POST(self):
        body = self.rfile.read(int(self.headers["Content-Length"]))
        self.server.bodies.append(body)
        if self.server.lost_response_count:
            self.server.lost_response_count -= 1
            return
        if self.path.startswith("/jobs"):
            self.reply(202, {"id": "j1"})
            return
        record = codec.decode(body).records[0]
        if self.server.rejects:
            entry = {"publication": record["publication"], "reason": "stale"}
            self.server.page["rejected"] = [entry]
        elif self.server.is_overtaken:
            entry = {"publication": record["publication"], "version": 8}
            self.server.page["accepted"] = [entry]
            self.server.page["team"] = {"version": 9, "publication": "later"}
        else:
            in_force = {"version": 8, "publication": record["publication"]}
            self.server.page["team"] = in_force
        self.reply(200, {"offset": 8})

    def reply(self, status, value):
        body = json.dumps(value).encode()
        self.send_response(status)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)

    def log_message(self, *_):
        pass


class CommandLineTest(unittest.TestCase):
    """The tool must not report an outcome that it does not know.

    Operators act on its output, for example publish a sheet again.
    """

    def setUp(self):
        self.server = http.server.ThreadingHTTPServer(("127.0.0.1", 0), Handler)
        self.server.is_overtaken = False
        in_force = {"version": 7, "publication": ""}
        self.server.page = {"owner": in_force, "team": in_force}
        self.server.bodies, self.server.lost_response_count, self.server.rejects = (
            [],
            0,
            False,
        )
        thread = threading.Thread(target=self.server.serve_forever, args=(0.01,))
        thread.start()
        self.addCleanup(thread.join)
        self.addCleanup(self.server.server_close)
        self.addCleanup(self.server.shutdown)
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.key_file = pathlib.Path(folder.name, "planner.key")
        self.key_file.write_text(KEY.hex())
        self.address = f"127.0.0.1:{self.server.server_port}"

    def run_tool(self, *arguments):
        result = testing.CliRunner().invoke(main.app, list(map(str, arguments)))
        return result.exit_code, result.output

    def publish(self, *more):
        options = ["--log", self.address, "--instance", self.address]
        options += ["--publisher", "planner", "--key-file", self.key_file]
        return self.run_tool("sheet", "publish", SHEET, *options, *more)

    def test_publication_is_signed_and_retried_with_the_same_bytes(self):
        self.server.lost_response_count = 1
        code, output = self.publish("--day", "2030-01-02", "--until", "17:30")
        self.assertEqual(code, 0, output)
        self.assertIn("accepted: team sheet", output)
        first, second = self.server.bodies
        self.assertEqual(first, second)
        envelope = codec.decode(first)
        publication = codec.from_map(envelope.records[0])
        publisher = signing.Publisher(name="planner", authority="team", key=KEY)
        self.assertEqual(signing.verify(publication, {"planner": publisher}), "")
        self.assertEqual((publication.expected_version, envelope.sequence), (7, 1))

    def test_a_publication_that_was_replaced_at_once_is_reported_as_accepted(self):
        # The first of two concurrent publications was reported as undecided.
        self.server.is_overtaken = True
        code, output = self.publish()
        self.assertEqual(code, 0)
        self.assertIn("version 8", output)

    def test_rejected_and_undecided_publications_are_not_reported_as_accepted(self):
        self.server.rejects = True
        code, output = self.publish()
        self.assertEqual(code, main.EXIT_REJECTED)
        self.assertIn("stale", output)
        self.server.lost_response_count = 99
        code, output = self.publish("--timeout-s", "1")
        self.assertEqual(code, main.EXIT_FAILED)
        self.assertIn("unknown whether accepted", output)

    def test_checks_print_all_findings_and_exit_with_code_2(self):
        self.assertEqual(self.run_tool("sheet", "check", SHEET)[0], 0)
        invalid_file = self.key_file.with_name("invalid")
        invalid_file.write_text(
            SHEET.read_text().replace(",yes,", ",maybe,") + "team,x,,,,\n"
        )
        code, output = self.run_tool("sheet", "check", invalid_file)
        self.assertEqual(code, 2)
        self.assertIn("maybe", output)
        self.assertIn("unknown subject", output)
        code, output = self.run_tool("settings", "check", invalid_file)
        self.assertEqual(code, 2)
        self.assertIn(f"{invalid_file}:1: error: invalid TOML", output)
        self.key_file.write_text("abcd")
        code, output = self.publish()
        self.assertEqual((code, self.server.bodies), (2, []))
        self.assertNotIn("abcd", output)

    def test_pages_are_printed_as_json_and_a_lost_job_response_as_unknown(self):
        for name in ("status", "pools", "instances", "operations", "histograms"):
            code, output = self.run_tool(name, "--instance", self.address, "--json")
            self.assertEqual((code, json.loads(output)), (0, self.server.page))
        options = ["--instance", self.address, "--desk", "sizing"]
        code, output = self.run_tool("job", "submit", "sizing", *options)
        self.assertEqual((code, json.loads(output)), (0, {"id": "j1"}))
        self.server.lost_response_count = 1
        code, output = self.run_tool("job", "submit", "sizing", *options)
        self.assertEqual(code, 1)
        self.assertTrue(output.startswith("unknown: no complete response"), output)

    def test_unreachable_instance_gives_one_line_of_error(self):
        self.server.shutdown()
        self.server.server_close()
        code, output = self.run_tool("status", "--instance", self.address)
        self.assertEqual(code, 1)
        self.assertEqual(len(output.splitlines()), 1)
        self.assertIn(f"cannot connect to {self.address}", output)

    def test_status_begins_with_the_degraded_parts_the_longest_degraded_first(self):
        instance = {"instance": "entry-1", "data_centre": "north", "is_ready": True}
        log = {"cause": "log", "detail": "unread", "since_s": 7501.2}
        instance_list = {"cause": "instance-list", "detail": "unread", "since_s": 59.6}
        page = {
            **instance,
            "uptime_s": 90_061,
            "position": 6,
            "degraded": [instance_list, log],
        }
        self.server.page = page
        code, output = self.run_tool("status", "--instance", self.address)
        lines = ["entry-1 in north: ready, up for 1 d 1 h", "degraded:"]
        lines += [
            "  log: unread, for 2 h 5 min",
            "  instance-list: unread, for 1 min 0 s",
        ]
        self.assertEqual((code, output.splitlines()), (0, [*lines, "position: 6"]))
        self.server.page = {**page, "is_ready": False, "degraded": []}
        output = self.run_tool("status", "--instance", self.address)[1]
        self.assertIn("not ready", output.splitlines()[0])
        self.assertEqual(output.splitlines()[1], "degraded: nothing")
        # Pages of another form must not end the tool with a traceback.
        for page in ([], {"degraded": 1}, {"degraded": [{}], "uptime_s": float("nan")}):
            with self.subTest(page=page):
                self.assertIsInstance(rendering.render_status_page(page), str)

    def test_addresses_are_parsed_and_control_characters_are_escaped(self):
        self.assertEqual(str(client.parse_address("[::1]:80")), "[::1]:80")
        for text in ("host", "host:", ":80", "::1:80", "host:0", "host:65536"):
            with self.subTest(text=text), self.assertRaises(ValueError):
                client.parse_address(text)
        page = {"a": [{"x": 1, "long": "\x1b"}, {"x": 22}], "b": []}
        lines = ["a:", "  x   long", '  1   "\\u001b"', "  22", "b: none"]
        self.assertEqual(rendering.render_value(page).splitlines(), lines)
