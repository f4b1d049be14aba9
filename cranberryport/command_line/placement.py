"""Asks the controller where a job would be placed now, and renders the answer."""

from cranberryport.command_line import controller_pages
from cranberryport.observability import operator_pages


def ask(address, *, job, queue, organisation):
    """Return the controller's answer.

    Parameters
    ----------
    address : cranberryport.command_line.client.Address
        Metrics address of the entry instance that is the controller.
    job : str
        Body of the submission that is asked about.
    queue, organisation : str
        Names of the queue and of the organisation; the latter is empty for none.

    Returns
    -------
    dict
        The page, see :mod:`cranberryport.observability.operator_pages`.

    Raises
    ------
    cranberryport.command_line.client.RequestError
        If there is no answer; the message quotes the address or the bad value.
    """
    question = {"queue": queue, "organisation": organisation, "job": job}
    return controller_pages.read_page(
        address,
        operator_pages.PLACEMENT_PATH,
        list_name="steps",
        question=question,
    )


def render_page(page):
    """Return the answer as lines of text."""
    lines = [f"queue {page.get('queue')}, pool {page.get('pool')}"]
    if page.get("organisation"):
        lines[0] += f", organisation {page['organisation']}"
    if page.get("is_admitted"):
        lines.append("admitted")
    else:
        lines.append(
            f"rejected: {page.get('reason')}; Retry-After {page.get('retry_after_s')}"
        )
    lines.append(f"waiting jobs that are served first: {page.get('jobs_ahead')}")
    for step in page["steps"]:
        lines += _render_step(step, page.get("executors"))
    return "\n".join(lines)


def _render_step(step, executor_count):
    chosen = [name for name in step.get("executors", ()) if name is not None]
    waiting_count = len(step.get("executors", ())) - len(chosen)
    text = ", ".join(chosen) or "no executor"
    lines = [f"step {step.get('step')}: {text}"]
    if step.get("remote"):
        lines.append(f"  away from the rack of their data: {step['remote']}")
    if waiting_count:
        lines.append(f"  tasks that would wait: {waiting_count}")
    if step.get("limited"):
        text = "of these held back by the limit of the organisation"
        lines.append(f"  {text}: {step['limited']}")
    ruled_out = {k: v for k, v in step.get("ruled_out", {}).items() if v}
    if ruled_out:
        counts = ", ".join(f"{reason} {count}" for reason, count in ruled_out.items())
        lines.append(f"  ruled out of {executor_count} executors: {counts}")
    return lines
