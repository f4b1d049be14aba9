"""Parses addresses of the form ``host:port``."""

import ipaddress

PORT_LIMIT = 65535


def parse(text):
    """Return host and port of an address that can be connected to.

    Host names are not allowed, since resolving one blocks the process.

    Parameters
    ----------
    text : str
        IPv4 address and TCP port, as ``host:port``.

    Returns
    -------
    tuple of (str, int)
        Host and port.

    Raises
    ------
    ValueError
        If the text has another form or the port is not between 1 and 65535.
    """
    host, _, port = text.rpartition(":")
    try:
        ipaddress.IPv4Address(host)
    except ValueError:
        raise ValueError(f"address {text[:80]!r}; allowed: IPv4 address:port") from None
    if not (port.isascii() and port.isdecimal() and len(port) <= len(str(PORT_LIMIT))):
        raise ValueError(f"port {port[:80]!r}; allowed: 1 to {PORT_LIMIT}")
    if not 1 <= int(port) <= PORT_LIMIT:
        raise ValueError(f"port {port}; allowed: 1 to {PORT_LIMIT}")
    return host, int(port)
