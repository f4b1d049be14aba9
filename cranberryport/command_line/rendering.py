"""Text for a person from the JSON pages of an entry instance."""

import json

_HEADLINE_KEYS = {
    "instance",
    "data_centre",
    "uptime_s",
    "is_ready",
    "is_stopping",
    "degraded",
}


def render_value(value, *, indent=""):
    """Return lines for a JSON value.

    Parameters
    ----------
    value : object
        Maps give a line for each key; lists of maps give a table.
    indent : str
        Put before each line.

    Returns
    -------
    str
        Lines without a newline at the end.
    """
    if isinstance(value, dict):
        return "\n".join(_entry(key, item, indent) for key, item in value.items())
    if isinstance(value, list) and value and all(isinstance(i, dict) for i in value):
        return _table(value, indent)
    if isinstance(value, list):
        return "\n".join(f"{indent}{_cell(item)}" for item in value)
    return f"{indent}{_cell(value)}"


def render_status_page(page):
    """Return the status page with what is degraded first.

    Parameters
    ----------
    page : object
        Answer to ``GET /-/status``; any JSON value is shown.

    Returns
    -------
    str
        A line on the instance, one for each degraded part with the time since which it
        is degraded, and then the other values.
    """
    if not isinstance(page, dict) or not isinstance(page.get("degraded"), list):
        return render_value(page)
    lines = [_headline(page), *_degraded(page["degraded"])]
    rest = {key: value for key, value in page.items() if key not in _HEADLINE_KEYS}
    return "\n".join([*lines, render_value(rest)])


def _headline(page):
    state = "not ready"
    if page.get("is_stopping"):
        state = "stopping"
    elif page.get("is_ready"):
        state = "ready"
    place = f"{_cell(page.get('instance'))} in {_cell(page.get('data_centre'))}"
    return f"{place}: {state}, up for {format_duration(page.get('uptime_s'))}"


def _degraded(entries):
    if not entries:
        return ["degraded: nothing"]
    lines = ["degraded:"]
    # The part that was degraded first is often the cause of the others.
    for entry in sorted(entries, key=_degraded_seconds, reverse=True):
        since = format_duration(entry.get("since_s"))
        cause, detail = _cell(entry.get("cause")), _cell(entry.get("detail"))
        lines.append(f"  {cause}: {detail}, for {since}")
    return lines


def _degraded_seconds(entry):
    seconds = entry.get("since_s")
    return seconds if isinstance(seconds, int | float) else 0.0


def format_duration(seconds):
    """Return a time span with its two largest units, such as ``2 h 5 min``."""
    if isinstance(seconds, bool) or not isinstance(seconds, int | float):
        return "an unknown time"
    if not 0 <= seconds < float("inf"):
        return "an unknown time"
    rest = round(seconds)
    parts = []
    for unit, size in (("d", 86_400), ("h", 3_600), ("min", 60), ("s", 1)):
        count, rest = divmod(rest, size)
        if count or parts or unit == "s":
            parts.append(f"{count} {unit}")
    return " ".join(parts[:2])


def _entry(key, item, indent):
    if isinstance(item, dict | list) and item:
        return f"{indent}{_cell(key)}:\n{render_value(item, indent=indent + '  ')}"
    return f"{indent}{_cell(key)}: {_cell(item)}"


def _table(rows, indent):
    columns = list(dict.fromkeys(key for row in rows for key in row))
    cells = [[_cell(row.get(column, "")) for column in columns] for row in rows]
    cells.insert(0, [_cell(column) for column in columns])
    widths = [max(map(len, column)) for column in zip(*cells, strict=True)]
    lines = []
    for row in cells:
        padded = (cell.ljust(width) for cell, width in zip(row, widths, strict=True))
        lines.append((indent + "  ".join(padded)).rstrip())
    return "\n".join(lines)


def _cell(value):
    # Control characters of a name must not reach the terminal.
    if isinstance(value, str) and value.isprintable():
        return value
    if value in ([], {}, None):
        return "none"
    return json.dumps(value)
