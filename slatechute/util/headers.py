"""Headers that concern one connection only."""

from collections.abc import Iterable, Set

__all__ = ["HOP_BY_HOP", "end_to_end_headers"]

HOP_BY_HOP = frozenset(
    {
        "connection",
        "host",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)


def end_to_end_headers(
    headers: Iterable[tuple[str, str]],
    connection_header: str,
    dropped: Set[str],
) -> list[tuple[str, str]]:
    """Return the headers that are passed on.

    Args:
        headers: Headers of a request, in order.
        connection_header: Its Connection header, or ''.
        dropped: Names to leave out, in lower case, in addition to those that
            the Connection header lists.

    >>> end_to_end_headers([("A", "1"), ("X-Hop", "2")], "x-hop", frozenset())
    [('A', '1')]
    """
    if connection_header:
        dropped = dropped | {
            key.strip().lower() for key in connection_header.split(",")
        }
    return [
        (key, value) for key, value in headers if key.lower() not in dropped
    ]
