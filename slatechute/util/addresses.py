"""Parsing and formatting of network addresses."""

import ipaddress
import re

__all__ = ["join_address", "split_address"]


def split_address(address: str) -> tuple[str, int]:
    """Split `IP:port`, with IPv6 addresses in brackets.

    >>> split_address("[::1]:8400")
    ('::1', 8400)

    Raises:
        ValueError: The text is not an IP address with a port.
    """
    host, separator, port = address.rpartition(":")
    if not separator or not re.fullmatch("[0-9]{1,5}", port):
        raise ValueError(f"{address!r} is not IP:port")
    if int(port) > 65535:
        raise ValueError(f"{address!r}: the port is above 65535")
    bracketed = host.startswith("[") and host.endswith("]")
    bare = host[1:-1] if bracketed else host
    try:
        version = ipaddress.ip_address(bare).version
    except ValueError:
        raise ValueError(
            f"{address!r}: hosts are named by IP address, not by name"
        ) from None
    if bracketed != (version == 6):
        raise ValueError(f"{address!r}: brackets are for IPv6 addresses")
    return bare, int(port)


def join_address(host: str, port: int) -> str:
    """Join an IP address and a port, the inverse of `split_address`.

    >>> join_address("::1", 8400)
    '[::1]:8400'
    """
    return f"[{host}]:{port}" if ":" in host else f"{host}:{port}"
