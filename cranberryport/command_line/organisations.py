"""Reads and renders the page of the controller about the organisations."""

from cranberryport.command_line import client, rendering
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
    """Return the page of an entry instance.

    Parameters
    ----------
    address : client.Address
        Metrics address of the entry instance that is the controller.

    Returns
    -------
    dict
        With ``organisations``, a list of dict.

    Raises
    ------
    client.RequestError
        If the instance cannot be reached or is not the controller, or if another
        program answers. The message quotes the address.
    """
    path = operator_pages.ORGANISATIONS_PATH
    response = client.send_request(address, "GET", path)
    try:
        page = response.json()
    except client.RequestError as error:
        raise client.RequestError(
            f"{address} is not the metrics address of an entry instance: {error}",
            may_have_run=False,
        ) from None
    is_object = isinstance(page, dict)
    if response.status != 200:
        reason = page.get("Error", "") if is_object else ""
        raise client.RequestError(
            f"{address} answered {path} with status {response.status}"
            + (f": {reason}" if reason else ""),
            may_have_run=False,
        )
    rows = page.get("organisations") if is_object else None
    if not isinstance(rows, list) or not all(isinstance(row, dict) for row in rows):
        raise client.RequestError(
            f"{address} answered {path} without a list of organisations",
            may_have_run=False,
        )
    return page


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
