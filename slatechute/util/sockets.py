"""TCP sockets that detect connections whose path was lost."""

import socket

__all__ = ["keepalive_socket", "set_keepalive", "set_long_poll_keepalive"]

# These timeouts are shorter than the time within which connected hosts must act
# on what they receive. A user timeout decides when keep-alive probes give up,
# whatever their number: the kernel closes an idle connection 2 s after the last
# byte from the other end, when one probe is lost.
_USER_TIMEOUT_MS = 1000
_KEEPALIVE_IDLE_S = 1
_KEEPALIVE_INTERVAL_S = 1
_KEEPALIVE_PROBES = 2
# Above the time of the second probe: one may be lost, and the kernel closes an
# idle connection after 3 s.
_LONG_POLL_USER_TIMEOUT_MS = 2500


def keepalive_socket(address: tuple) -> socket.socket:
    """Return a socket with short keep-alive intervals.

    Args:
        address: A result of `socket.getaddrinfo`.
    """
    family, kind, protocol, _, _ = address
    sock = socket.socket(family, kind, protocol)
    set_keepalive(sock)
    return sock


def set_keepalive(sock: socket.socket) -> None:
    """Enable keep-alive probes, a user timeout and sending without delay."""
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    for option, value in (
        (socket.TCP_KEEPIDLE, _KEEPALIVE_IDLE_S),
        (socket.TCP_KEEPINTVL, _KEEPALIVE_INTERVAL_S),
        (socket.TCP_KEEPCNT, _KEEPALIVE_PROBES),
        (socket.TCP_USER_TIMEOUT, _USER_TIMEOUT_MS),
    ):
        sock.setsockopt(socket.IPPROTO_TCP, option, value)


def set_long_poll_keepalive(sock: socket.socket) -> None:
    """Enable keep-alive probes of which one may be lost.

    Opening the connection of a long poll again costs one request. If an
    unresponsive connection is detected late, an old configuration stays active
    longer.
    """
    set_keepalive(sock)
    sock.setsockopt(
        socket.IPPROTO_TCP,
        socket.TCP_USER_TIMEOUT,
        _LONG_POLL_USER_TIMEOUT_MS,
    )
