"""The operator's tool ``cranberryport``."""

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
from cranberryport.command_line import client, explaining, publishing, rendering
from cranberryport.sheet import reader

EXIT_FAILED = 1
EXIT_FINDINGS = 2
EXIT_REJECTED = 3


def _new_app(help_text):
    return typer.Typer(
        help=help_text,
        no_args_is_help=True,
        add_completion=False,
        # Tracebacks with local variables could show a publisher's key.
        pretty_exceptions_enable=False,
    )


app = _new_app("Operate a cranberryport deployment.")
settings_app = _new_app("Settings of entry instances.")
sheet_app = _new_app("The sheets of owner and team.")
job_app = _new_app("Jobs.")
app.add_typer(settings_app, name="settings")
app.add_typer(sheet_app, name="sheet")
app.add_typer(job_app, name="job")


def _address(text):
    try:
        return client.parse_address(text)
    except ValueError as error:
        raise typer.BadParameter(str(error)) from None


def _day(text):
    try:
        return datetime.date.fromisoformat(text)
    except ValueError:
        raise typer.BadParameter(f"found {text!r}; allowed: YYYY-MM-DD") from None


def _clock(text):
    try:
        return datetime.datetime.strptime(text, "%H:%M").time()
    except ValueError:
        raise typer.BadParameter(f"found {text!r}; allowed: HH:MM") from None


File = Annotated[pathlib.Path, typer.Argument(metavar="FILE")]
Instance = Annotated[
    client.Address,
    typer.Option(
        metavar="HOST:PORT",
        parser=_address,
        envvar="CRANBERRYPORT_INSTANCE",
        help="An entry instance.",
    ),
]
Json = Annotated[bool, typer.Option("--json", help="Print the page as JSON.")]
JobId = Annotated[str, typer.Argument(metavar="JOB")]


def _stop(text, code=EXIT_FAILED):
    typer.echo(text, err=True)
    raise typer.Exit(code)


def _report(result):
    for finding in result:
        typer.echo(str(finding))
    if findings.has_errors(result):
        raise typer.Exit(EXIT_FINDINGS)


def _show(value, as_json, render=rendering.render_value):
    typer.echo(json.dumps(value, indent=2) if as_json else render(value))


def _show_page(instance, path, as_json, render=rendering.render_value):
    try:
        page = client.get_json_page(instance, path)
    except client.RequestError as error:
        _stop(str(error))
    _show(page, as_json, render)


@settings_app.command("check")
def settings_check(file: File):
    """Check a settings file and print every finding."""
    _report(settings.check_file(file))
    typer.echo(f"{file}: no errors")


@sheet_app.command("check")
def sheet_check(file: File):
    """Check a sheet and print every finding."""
    sheet = reader.read_sheet(file)
    _report(sheet.findings)
    typer.echo(f"{file}: no errors; {len(sheet.rows)} rows of the {sheet.authority}")


@sheet_app.command("publish")
def sheet_publish(
    file: File,
    *,
    log: Annotated[
        client.Address,
        typer.Option(metavar="HOST:PORT", parser=_address, help="The platform's log."),
    ],
    instance: Instance,
    publisher: Annotated[str, typer.Option(help="Name of the publisher.")],
    key_file: Annotated[pathlib.Path, typer.Option(help="File with the key.")],
    until: Annotated[
        datetime.time,
        typer.Option(
            metavar="HH:MM", parser=_clock, help="Local end of the day's intent."
        ),
    ] = "18:00",
    day: Annotated[
        datetime.date | None,
        typer.Option(metavar="DATE", parser=_day, help="Default: today."),
    ] = None,
    stream: Annotated[str, typer.Option(help="Stream of the log.")] = "control",
    timeout_s: Annotated[float, typer.Option(min=1.0, help="For everything.")] = 30.0,
):
    """Check, sign and publish a sheet, and say whether it was accepted."""
    sheet = reader.read_sheet(file)
    _report(sheet.findings)
    try:
        key = settings.read_publisher_key(key_file)
    except ValueError as error:
        _stop(f"{key_file}: error: {error}", EXIT_FINDINGS)
    day = day or datetime.date.today()
    end = datetime.datetime.combine(day, until).timestamp()
    if end <= time.time():
        typer.echo(
            f"warning: {day} {until:%H:%M} is past; maintenance and moves of this "
            "sheet will not start",
            err=True,
        )
    try:
        version = publishing.current_version(instance, sheet.authority)
    except client.RequestError as error:
        _stop(f"not published: {error}")
    publication = publishing.make_publication(
        sheet=sheet,
        publisher=publisher,
        key=key,
        day=day.isoformat(),
        until=end,
        expected_version=version,
    )
    outcome = publishing.publish(
        publication, log=log, stream=stream, instance=instance, timeout_s=timeout_s
    )
    _report_publication(publication, outcome)


def _report_publication(publication, outcome):
    what = f"{publication.authority} sheet, publication {publication.publication}"
    if isinstance(outcome, publishing.Accepted):
        typer.echo(f"accepted: {what}, version {outcome.version}")
    elif isinstance(outcome, publishing.Rejected):
        _stop(f"rejected: {what}: {outcome.reason}", EXIT_REJECTED)
    else:
        _stop(f"not known whether accepted: {what}: {outcome.reason}")


@sheet_app.command("show")
def sheet_show(*, instance: Instance, as_json: Json = False):
    """Show which sheets are in force."""
    _show_page(instance, "/-/sheet", as_json)


@app.command()
def status(*, instance: Instance, as_json: Json = False):
    """Show the state of an entry instance and of the deployment."""
    _show_page(instance, "/-/status", as_json, rendering.render_status_page)


@app.command()
def pools(*, instance: Instance, as_json: Json = False):
    """Show the pools and their budgets."""
    _show_page(instance, "/-/pools", as_json)


@app.command()
def instances(*, instance: Instance, as_json: Json = False):
    """Show the instances and their states."""
    _show_page(instance, "/-/instances", as_json)


@app.command()
def operations(*, instance: Instance, as_json: Json = False):
    """Show drains, reboots and moves."""
    _show_page(instance, "/-/operations", as_json)


@app.command()
def histograms(*, instance: Instance, as_json: Json = False):
    """Show the response times for each desk and class."""
    _show_page(instance, "/-/histograms", as_json)


def _job_request(instance, method, path, *, body=None, desk=""):
    headers = {"Desk": desk} if desk else {}
    if body is not None:
        headers["Content-Type"] = "application/json"
    try:
        answer = client.send_request(instance, method, path, body=body, headers=headers)
    except client.RequestError as error:
        outcome = "unknown" if error.may_have_run else "not run"
        _stop(f"{outcome}: {error}")
    if answer.status >= 300:
        outcome = answer.headers.get("Request-Outcome", "no outcome")
        detail = answer.body.decode("utf-8", "replace").strip()
        detail = rendering.render_value(detail)
        _stop(f"{outcome}: {instance} answered with status {answer.status}: {detail}")
    if answer.body:
        try:
            _show(answer.json(), True)
        except client.RequestError as error:
            _stop(f"{instance}: {error}")


def _job_path(name):
    return "/jobs/" + urllib.parse.quote(name, safe="")


@job_app.command("submit")
def job_submit(
    service: Annotated[str, typer.Argument()],
    *,
    instance: Instance,
    desk: Annotated[str, typer.Option(help="Desk whose quota the job uses.")],
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
    """Submit a job; print its id once it was accepted."""
    if request_class not in requests.REQUEST_CLASSES:
        valid = ", ".join(requests.REQUEST_CLASSES)
        _stop(f"--class: found {request_class!r}; allowed: {valid}", EXIT_FINDINGS)
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
    _job_request(instance, "POST", _job_path(service), body=body, desk=desk)


@job_app.command("show")
def job_show(job: JobId, *, instance: Instance):
    """Show the state and the result of a job."""
    _job_request(instance, "GET", _job_path(job))


@job_app.command("cancel")
def job_cancel(job: JobId, *, instance: Instance):
    """Cancel a job."""
    _job_request(instance, "DELETE", _job_path(job))


@app.command("explain")
def explain(
    request: Annotated[str, typer.Argument(metavar="ID")],
    files: Annotated[
        list[pathlib.Path] | None,
        typer.Argument(metavar="FILE", help="Logs of the instances; none for stdin."),
    ] = None,
):
    """Tell from logs, in order, what was decided about a job and why."""
    lines = []
    for path in files or []:
        try:
            lines += path.read_text(errors="replace").splitlines()
        except OSError as error:
            _stop(f"cannot read {path}: {error.strerror}", EXIT_FINDINGS)
    if not files:
        lines = sys.stdin
    story = explaining.explain_request(lines, request)
    if not story:
        _stop(f"no log line is about {request!r}")
    for line in story:
        typer.echo(line)


def main():
    """Run the tool."""
    app()


if __name__ == "__main__":
    main()
