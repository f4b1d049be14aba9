"""Renders the JSON pages of an entry instance as text for operators."""

import json

# Keys of the status page that its first lines show.
_HEADLINE_KEYS = {
    "instance",
    "data_centre",
    "uptime_s",
    "is_ready",
    "is_stopping",
    "degraded",
}


def render_value(value, *, indent=""):
    """Render a JSON value.

    Parameters
    ----------
    value : object
        JSON value. A map becomes one line for each key, a list of maps a table.
    indent : str
        Prefix of each line.

    Returns
    -------
    str
        Lines without a newline at the end.
    """
    if isinstance(value, dict):
        return "\n".join(
            _render_entry(key, item, indent) for key, item in value.items()
        )
    if isinstance(value, list) and value and all(isinstance(i, dict) for i in value):
        return _render_table(value, indent)
    if isinstance(value, list):
        return "\n".join(f"{indent}{_format_scalar(item)}" for item in value)
    return f"{indent}{_format_scalar(value)}"


def render_status_page(page):
    """Render the status page, with the degraded parts of the instance first.

    Parameters
    ----------
    page : object
        JSON value of the status page. A value of another form is rendered as it is.

    Returns
    -------
    str
        A line on the instance, a line for each degraded part with the time for which it
        has been degraded, and the other values.
    """
    if not isinstance(page, dict) or not isinstance(page.get("degraded"), list):
        return render_value(page)
    lines = [_render_headline(page), *_render_degraded(page["degraded"])]
    rest = {key: value for key, value in page.items() if key not in _HEADLINE_KEYS}
    return "\n".join([*lines, render_value(rest)])


def _render_headline(page):
    state = "not ready"
    if page.get("is_stopping"):
        state = "stopping"
    elif page.get("is_ready"):
        state = "ready"
    place = (
        f"{_format_scalar(page.get('instance'))} "
        f"in {_format_scalar(page.get('data_centre'))}"
    )
    return f"{place}: {state}, up for {format_duration(page.get('uptime_s'))}"


def _render_degraded(entries):
    if not entries:
        return ["degraded: nothing"]
    lines = ["degraded:"]
    # Longest first, as the first failure is often the cause of the later ones.
    for entry in sorted(entries, key=_degraded_seconds, reverse=True):
        duration = format_duration(entry.get("since_s"))
        cause, detail = (
            _format_scalar(entry.get("cause")),
            _format_scalar(entry.get("detail")),
        )
        lines.append(f"  {cause}: {detail}, for {duration}")
    return lines


def _degraded_seconds(entry):
    seconds = entry.get("since_s")
    return seconds if isinstance(seconds, int | float) else 0.0


def format_duration(seconds):
    """Return a duration in its two largest units, such as ``2 h 5 min``."""
    if isinstance(seconds, bool) or not isinstance(seconds, int | float):
        return "an unknown time"
    if not 0 <= seconds < float("inf"):
        return "an unknown time"
    remaining_s = round(seconds)
    parts = []
    for unit, size in (("d", 86_400), ("h", 3_600), ("min", 60), ("s", 1)):
        count, remaining_s = divmod(remaining_s, size)
        if count or parts or unit == "s":
            parts.append(f"{count} {unit}")
    return " ".join(parts[:2])


def _render_entry(key, item, indent):
    if isinstance(item, dict | list) and item:
        return (
            f"{indent}{_format_scalar(key)}:\n"
            f"{render_value(item, indent=indent + '  ')}"
        )
    return f"{indent}{_format_scalar(key)}: {_format_scalar(item)}"


def _render_table(rows, indent):
    columns = list(dict.fromkeys(key for row in rows for key in row))
    cells = [
        [_format_scalar(row.get(column, "")) for column in columns] for row in rows
    ]
    cells.insert(0, [_format_scalar(column) for column in columns])
    widths = [max(map(len, column)) for column in zip(*cells, strict=True)]
    lines = []
    for row in cells:
        padded = (cell.ljust(width) for cell, width in zip(row, widths, strict=True))
        lines.append((indent + "  ".join(padded)).rstrip())
    return "\n".join(lines)


def _format_scalar(value):
    # Strings with control characters are printed as JSON, which escapes them, so that
    # they do not change the state of the terminal.
    if isinstance(value, str) and value.isprintable():
        return value
    if value in ([], {}, None):
        return "none"
    return json.dumps(value)
