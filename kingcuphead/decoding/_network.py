"""Addresses in content that other processes wrote."""

import ipaddress

from kingcuphead.addresses import Address

#: Largest port of TCP and UDP.
MAX_PORT = 65_535
#: Largest number of digits of a port.
PORT_DIGITS = 5


def parse_target_address(text: str) -> Address | None:
    """Return the parts of `IP:port`, or None if no connection can be opened to it.

    Host names are no addresses: their lookup would block the event loop.
    """
    host, _, port = text.rpartition(":")
    if not (port.isascii() and port.isdecimal()) or len(port) > PORT_DIGITS:
        return None
    try:
        ipaddress.IPv4Address(host)
    except ValueError:
        return None
    return (host, int(port)) if 0 < int(port) <= MAX_PORT else None
