"""Parses addresses of the form ``host:port``, and connects sockets to them."""

import errno
import ipaddress
import socket

PORT_LIMIT = 65535
# A rejected address is quoted up to this length.
QUOTE_LIMIT_CHARACTERS = 80


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
        raise ValueError(
            f"address {_quote(text)}; allowed: IPv4 address:port"
        ) from None
    if not (port.isascii() and port.isdecimal() and len(port) <= len(str(PORT_LIMIT))):
        raise ValueError(f"port {_quote(port)}; allowed: 1 to {PORT_LIMIT}")
    if not 1 <= int(port) <= PORT_LIMIT:
        raise ValueError(f"port {port}; allowed: 1 to {PORT_LIMIT}")
    return host, int(port)


def _quote(text):
    return repr(text[:QUOTE_LIMIT_CHARACTERS])


def start_connecting(sock, address):
    """Start connecting a non-blocking socket.

    Parameters
    ----------
    sock : socket.socket
        Socket of IPv4 and TCP.
    address : tuple of (str, int)
        Host and port.

    Raises
    ------
    OSError
        If the connection cannot be started, also if the host is not an IPv4 address or
        the port is out of range.
    """
    try:
        # Rejects host names: resolving one would block the process.
        socket.inet_pton(socket.AF_INET, address[0])
        code = sock.connect_ex(address)
    except (OverflowError, ValueError) as error:
        raise OSError(errno.EINVAL, str(error)) from error
    if code not in (0, errno.EINPROGRESS):
        raise OSError(code, errno.errorcode.get(code, "unknown error"))
