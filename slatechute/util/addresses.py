"""Parsing of `host:port` texts."""

__all__ = ["split"]


def split(address: str) -> tuple[str, int]:
    """Return host and port of an address.

    >>> split("127.0.0.1:8400")
    ('127.0.0.1', 8400)
    >>> split("[::1]:8400")
    ('::1', 8400)

    Raises:
        ValueError: There is no valid port.
    """
    host, _, port = address.rpartition(":")
    return host.strip("[]"), int(port)
