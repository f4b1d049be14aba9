"""Text for a person from the JSON pages of an entry instance."""

import json


def text(value, *, indent=""):
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


def _entry(key, item, indent):
    if isinstance(item, dict | list) and item:
        return f"{indent}{_cell(key)}:\n{text(item, indent=indent + '  ')}"
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
