"""Reads pages that only the controller answers, on its metrics address."""

import json

from cranberryport.command_line import client


def read_page(address, path, *, list_name, question=None):
    """Return a page of the controller.

    Parameters
    ----------
    address : client.Address
        Metrics address of the entry instance that is the controller.
    path : str
        Path of the page.
    list_name : str
        Name of a list of dict that the page must have.
    question : dict or None
        Sent as JSON by POST; None for a GET.

    Returns
    -------
    dict
        The page.

    Raises
    ------
    client.RequestError
        If the instance cannot be reached, is not the controller or rejects the
        question, or if another program answers. The message quotes the address.
    """
    if question is None:
        response = client.send_request(address, "GET", path)
    else:
        headers = {"Content-Type": "application/json"}
        body = json.dumps(question).encode()
        response = client.send_request(
            address, "POST", path, body=body, headers=headers
        )
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
    rows = page.get(list_name) if is_object else None
    if not isinstance(rows, list) or not all(isinstance(row, dict) for row in rows):
        raise client.RequestError(
            f"{address} answered {path} without a list of {list_name}",
            may_have_run=False,
        )
    return page
