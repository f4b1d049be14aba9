"""Defines the commands of the command-line tool ``cranberryport`` for operators.

Exit codes: 0 for success, 1 for a failure or an undecided publication, 2 for errors in
a file or an option, and 3 for a rejected publication.
"""

import datetime
import json
import pathlib
import sys
import time
import urllib.parse
from typing import Annotated

import typer

from cranberryport import findings, settings
from cranberryport.callers import requests
from cranberryport.command_line import (
    client,
    explaining,
    organisations,
    placement,
    publishing,
    rendering,
)
from cranberryport.sheet import reader

# Exit codes.
EXIT_FAILED = 1
EXIT_FINDINGS = 2
EXIT_REJECTED = 3


def _new_app(help_text):
    """Return a group of commands."""
    return typer.Typer(
        help=help_text,
        no_args_is_help=True,
        add_completion=False,
        # The pretty tracebacks print local variables, which could be a secret key.
        pretty_exceptions_enable=False,
    )


app = _new_app("Operate a cranberryport deployment.")
settings_app = _new_app("Check the settings of an entry instance.")
sheet_app = _new_app("Check, publish and show the sheets of owner and team.")
job_app = _new_app("Jobs.")
app.add_typer(settings_app, name="settings")
app.add_typer(sheet_app, name="sheet")
app.add_typer(job_app, name="job")


def _parse_address(text):
    try:
        return client.parse_address(text)
    except ValueError as error:
        raise typer.BadParameter(str(error)) from None


def _parse_date(text):
    try:
        return datetime.date.fromisoformat(text)
    except ValueError:
        raise typer.BadParameter(f"found {text!r}; allowed: YYYY-MM-DD") from None


def _parse_time_of_day(text):
    try:
        return datetime.datetime.strptime(text, "%H:%M").time()
    except ValueError:
        raise typer.BadParameter(f"found {text!r}; allowed: HH:MM") from None


FileArgument = Annotated[pathlib.Path, typer.Argument(metavar="FILE")]
InstanceOption = Annotated[
    client.Address,
    typer.Option(
        metavar="HOST:PORT",
        parser=_parse_address,
        envvar="CRANBERRYPORT_INSTANCE",
        help="Address of an entry instance.",
    ),
]
ControllerArgument = Annotated[
    client.Address,
    typer.Argument(
        metavar="ADDRESS",
        parser=_parse_address,
        help="Metrics address HOST:PORT of the entry instance that leads.",
    ),
]
JsonOption = Annotated[bool, typer.Option("--json", help="Print the page as JSON.")]
JobArgument = Annotated[str, typer.Argument(metavar="JOB")]


def _fail(message, code=EXIT_FAILED):
    """Print an error message and end the tool."""
    typer.echo(message, err=True)
    raise typer.Exit(code)


def _print_findings(file_findings):
    """Print the findings of a check; end the tool if there are errors."""
    for finding in file_findings:
        typer.echo(str(finding))
    if findings.has_errors(file_findings):
        raise typer.Exit(EXIT_FINDINGS)


def _print_value(value, as_json, render=rendering.render_value):
    typer.echo(json.dumps(value, indent=2) if as_json else render(value))


def _print_page(instance, path, as_json, render=rendering.render_value):
    try:
        page = client.get_json_page(instance, path)
    except client.RequestError as error:
        _fail(str(error))
    _print_value(page, as_json, render)


@settings_app.command("check")
def settings_check(file: FileArgument):
    """Check a settings file and print every finding."""
    _print_findings(settings.check_file(file))
    typer.echo(f"{file}: no errors")


@sheet_app.command("check")
def sheet_check(file: FileArgument):
    """Check a sheet and print every finding."""
    sheet = reader.read_sheet(file)
    _print_findings(sheet.findings)
    typer.echo(f"{file}: no errors; {len(sheet.rows)} rows of the {sheet.authority}")


@sheet_app.command("publish")
def sheet_publish(
    file: FileArgument,
    *,
    log: Annotated[
        client.Address,
        typer.Option(
            metavar="HOST:PORT",
            parser=_parse_address,
            help="Address of the platform's log.",
        ),
    ],
    instance: InstanceOption,
    publisher: Annotated[str, typer.Option(help="Name of the publisher.")],
    key_file: Annotated[
        pathlib.Path, typer.Option(help="File with the publisher's key.")
    ],
    until: Annotated[
        datetime.time,
        typer.Option(
            metavar="HH:MM",
            parser=_parse_time_of_day,
            help="Local time after which a team sheet starts no maintenance and moves.",
        ),
    ] = "18:00",
    day: Annotated[
        datetime.date | None,
        typer.Option(
            metavar="DATE",
            parser=_parse_date,
            help="Day that the sheet is for; default: today.",
        ),
    ] = None,
    stream: Annotated[str, typer.Option(help="Name of the log's stream.")] = "control",
    timeout_s: Annotated[
        float, typer.Option(min=1.0, help="Limit for the append and the outcome.")
    ] = 30.0,
):
    """Check, sign and publish a sheet and print whether it was accepted."""
    sheet = reader.read_sheet(file)
    _print_findings(sheet.findings)
    try:
        key = settings.read_publisher_key(key_file)
    except ValueError as error:
        _fail(f"{key_file}: error: {error}", EXIT_FINDINGS)
    day = day or datetime.date.today()
    until_time = datetime.datetime.combine(day, until).timestamp()
    if until_time <= time.time():
        typer.echo(
            f"warning: {day} {until:%H:%M} is in the past; maintenance and moves of "
            "this sheet will not start",
            err=True,
        )
    try:
        version = publishing.current_version(instance, sheet.authority)
    except client.RequestError as error:
        _fail(f"not published: {error}")
    publication = publishing.make_publication(
        sheet=sheet,
        publisher=publisher,
        key=key,
        day=day.isoformat(),
        until=until_time,
        expected_version=version,
    )
    outcome = publishing.publish(
        publication, log=log, stream=stream, instance=instance, timeout_s=timeout_s
    )
    _print_outcome(publication, outcome)


def _print_outcome(publication, outcome):
    """Print the outcome of a publication; end the tool if it was not accepted."""
    name = f"{publication.authority} sheet, publication {publication.publication}"
    if isinstance(outcome, publishing.Accepted):
        typer.echo(f"accepted: {name}, version {outcome.version}")
    elif isinstance(outcome, publishing.Rejected):
        _fail(f"rejected: {name}: {outcome.reason}", EXIT_REJECTED)
    else:
        _fail(f"unknown whether accepted: {name}: {outcome.reason}")


@sheet_app.command("show")
def sheet_show(*, instance: InstanceOption, as_json: JsonOption = False):
    """Show the sheets in force and the latest publications."""
    _print_page(instance, "/-/sheet", as_json)


@app.command()
def status(*, instance: InstanceOption, as_json: JsonOption = False):
    """Show the state of an entry instance and of the deployment."""
    _print_page(instance, "/-/status", as_json, rendering.render_status_page)


@app.command()
def pools(*, instance: InstanceOption, as_json: JsonOption = False):
    """Show the pools and how many of their instances may be down."""
    _print_page(instance, "/-/pools", as_json)


@app.command()
def instances(*, instance: InstanceOption, as_json: JsonOption = False):
    """Show the instances and their states."""
    _print_page(instance, "/-/instances", as_json)


@app.command()
def operations(*, instance: InstanceOption, as_json: JsonOption = False):
    """Show drains, reboots and moves of instances."""
    _print_page(instance, "/-/operations", as_json)


@app.command()
def histograms(*, instance: InstanceOption, as_json: JsonOption = False):
    """Show the response times for each desk and class."""
    _print_page(instance, "/-/histograms", as_json)


def _send_job_request(instance, method, path, *, body=None, desk=""):
    """Send a request to the jobs API and print the response."""
    headers = {"Desk": desk} if desk else {}
    if body is not None:
        headers["Content-Type"] = "application/json"
    try:
        response = client.send_request(
            instance, method, path, body=body, headers=headers
        )
    except client.RequestError as error:
        outcome = "unknown" if error.may_have_run else "not run"
        _fail(f"{outcome}: {error}")
    if response.status >= 300:
        outcome = response.headers.get("Request-Outcome", "no outcome")
        detail = response.body.decode("utf-8", "replace").strip()
        detail = rendering.render_value(detail)
        _fail(f"{outcome}: {instance} answered with status {response.status}: {detail}")
    if response.body:
        try:
            _print_value(response.json(), True)
        except client.RequestError as error:
            _fail(f"{instance}: {error}")


def _job_path(name):
    return "/jobs/" + urllib.parse.quote(name, safe="")


@job_app.command("submit")
def job_submit(
    service: Annotated[str, typer.Argument()],
    *,
    instance: InstanceOption,
    desk: Annotated[str, typer.Option(help="Desk that submits the job.")],
    processors: Annotated[float, typer.Option(min=0.0)] = 1.0,
    memory_mb: Annotated[int, typer.Option(min=1)] = 256,
    accelerators: Annotated[int, typer.Option(min=0)] = 0,
    runtime_s: Annotated[float, typer.Option(min=0.0)] = 60.0,
    payload: Annotated[str, typer.Option(help="Text of at most 16 KiB.")] = "",
    request_class: Annotated[
        str, typer.Option("--class", help=", ".join(requests.REQUEST_CLASSES))
    ] = "batch",
    deadline_s: Annotated[
        float | None, typer.Option(min=0.0, help="Seconds from now.")
    ] = None,
):
    """Submit a job and print its id if it was accepted."""
    if request_class not in requests.REQUEST_CLASSES:
        valid = ", ".join(requests.REQUEST_CLASSES)
        _fail(f"--class: found {request_class!r}; allowed: {valid}", EXIT_FINDINGS)
    job = {
        "processors": processors,
        "memory_mb": memory_mb,
        "accelerators": accelerators,
        "runtime_s": runtime_s,
        "payload": payload,
        "class": request_class,
    }
    if deadline_s is not None:
        job["deadline"] = time.time() + deadline_s
    body = json.dumps(job).encode()
    _send_job_request(instance, "POST", _job_path(service), body=body, desk=desk)


@job_app.command("show")
def job_show(job: JobArgument, *, instance: InstanceOption):
    """Show the state and the result of a job."""
    _send_job_request(instance, "GET", _job_path(job))


@job_app.command("cancel")
def job_cancel(job: JobArgument, *, instance: InstanceOption):
    """Cancel a job."""
    _send_job_request(instance, "DELETE", _job_path(job))


@app.command("organisations")
def show_organisations(address: ControllerArgument, *, as_json: JsonOption = False):
    """Show use, limits and shares of the organisations, as the controller has them."""
    try:
        page = organisations.read_page(address)
    except client.RequestError as error:
        _fail(str(error))
    _print_value(page, as_json, organisations.render_page)


@app.command("place")
def place(
    address: ControllerArgument,
    job: Annotated[
        pathlib.Path,
        typer.Argument(metavar="JOB.json", help="Body of the submission."),
    ],
    *,
    queue: Annotated[str, typer.Option(metavar="NAME", help="Queue of the job.")],
    organisation: Annotated[
        str, typer.Option(metavar="NAME", help="Organisation that submits it.")
    ] = "",
    as_json: JsonOption = False,
):
    """Show where a job would be placed now and why, without submitting it."""
    try:
        text = job.read_text()
        json.loads(text)
    except OSError as error:
        _fail(f"cannot read {job}: {error.strerror}", EXIT_FINDINGS)
    except ValueError as error:
        _fail(f"{job}: error: no JSON in UTF-8: {error}", EXIT_FINDINGS)
    try:
        page = placement.ask(address, job=text, queue=queue, organisation=organisation)
    except client.RequestError as error:
        _fail(str(error))
    _print_value(page, as_json, placement.render_page)


@app.command("explain")
def explain(
    request: Annotated[str, typer.Argument(metavar="ID")],
    files: Annotated[
        list[pathlib.Path] | None,
        typer.Argument(metavar="FILE", help="Log files; default: stdin."),
    ] = None,
):
    """Show the log events of a request or job, in order of time."""
    lines = []
    for path in files or []:
        try:
            lines += path.read_text(errors="replace").splitlines()
        except OSError as error:
            _fail(f"cannot read {path}: {error.strerror}", EXIT_FINDINGS)
    if not files:
        lines = sys.stdin
    event_lines = explaining.explain_request(lines, request)
    if not event_lines:
        _fail(f"no log line is about {request!r}")
    for line in event_lines:
        typer.echo(line)


def main():
    """Run the tool."""
    app()


if __name__ == "__main__":
    main()
