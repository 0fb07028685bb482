"""Addresses of processes: an IP address and a port."""

import ipaddress

import attrs

from coltsfootspar.exceptions import WireError

__all__ = ["Address", "parse_address"]

_MAX_PORT = 65_535


@attrs.frozen(order=True)
class Address:
    """An IP address with a port.

    :param host: IPv4 or IPv6 address as text.
    :param port: TCP or UDP port.
    """

    host: str
    port: int

    def __str__(self) -> str:
        host = f"[{self.host}]" if ":" in self.host else self.host
        return f"{host}:{self.port}"


def parse_address(text: str) -> Address:
    """Parses ``IP:PORT``; an IPv6 address stands in brackets.

    :raises WireError: when the text has another form.

    >>> parse_address("127.0.0.1:7000").port
    7000
    """
    host, _, port = text.rpartition(":")
    host = host.removeprefix("[").removesuffix("]")
    try:
        ipaddress.ip_address(host)
        number = int(port)
    except ValueError:
        raise WireError(f"{text!r} is not IP:PORT", code="address") from None
    if not 0 <= number <= _MAX_PORT:
        raise WireError(f"{text!r} has no valid port", code="address")
    return Address(host, number)
