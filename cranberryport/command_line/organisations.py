"""Reads and renders the page of the controller about the organisations."""

from cranberryport.command_line import controller_pages, rendering
from cranberryport.observability import operator_pages

# Column of the table by figure of the page that needs no other form.
_COLUMNS = {
    "name": "organisation",
    "weight": "weight",
    "share": "share",
    "received_core_s": "received core-s",
    "waiting_jobs": "waiting",
}
_NO_LIMIT = "-"


def read_page(address):
    """Return the page of an entry instance; see :func:`controller_pages.read_page`."""
    return controller_pages.read_page(
        address, operator_pages.ORGANISATIONS_PATH, list_name="organisations"
    )


def render_page(page):
    """Return the page as a table, or a line that says that it has no organisation."""
    if not page["organisations"]:
        return "no organisations: the configuration has none and no job names one"
    return rendering.render_value([_make_row(row) for row in page["organisations"]])


def _make_row(fields):
    row = {}
    for name, column in _COLUMNS.items():
        value = fields.get(name)
        if isinstance(value, float):
            value = round(value, 3)
        row[column] = "unknown" if value is None else value
    use, limit = fields.get("use", {}), fields.get("limit", {})
    row["cores in use"] = use.get("processors", 0) / 1000
    row["limit of cores"] = limit.get("processors", 0) / 1000 or _NO_LIMIT
    for resource, unit in (("memory", "memory MiB"), ("accelerators", "accelerators")):
        row[f"{unit} in use"] = use.get(resource, 0)
        row[f"limit of {unit}"] = limit.get(resource, 0) or _NO_LIMIT
    rejected = fields.get("rejected") or {}
    texts = [f"{reason} {count}" for reason, count in sorted(rejected.items())]
    row["rejected"] = ", ".join(texts) or 0
    return row
