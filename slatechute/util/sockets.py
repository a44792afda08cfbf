"""Sockets that notice a path that has lost track of their connection."""

import socket

__all__ = ["keepalive_socket", "set_keepalive", "long_poll_socket"]

# Below the bound in which hosts in touch must act on what they are sent; the
# kernel then closes a silent connection after about 3 s.
_USER_TIMEOUT_MS = 1000
_KEEPALIVE_IDLE_S = 1
_KEEPALIVE_INTERVAL_S = 1
_KEEPALIVE_PROBES = 2


def keepalive_socket(address: tuple) -> socket.socket:
    """Return a socket with short keep-alive probes.

    Args:
        address: One result of `socket.getaddrinfo`.
    """
    family, kind, protocol, _, _ = address
    sock = socket.socket(family, kind, protocol)
    set_keepalive(sock)
    return sock


def long_poll_socket(address: tuple) -> socket.socket:
    """Return a socket for long polls, closed after one lost probe.

    Opening such a connection again costs one call; noticing late that it went
    silent keeps an old configuration in force.
    """
    sock = keepalive_socket(address)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, 1)
    return sock


def set_keepalive(sock: socket.socket) -> None:
    """Let the kernel probe an idle connection and send without delay."""
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    for option, value in (
        (socket.TCP_KEEPIDLE, _KEEPALIVE_IDLE_S),
        (socket.TCP_KEEPINTVL, _KEEPALIVE_INTERVAL_S),
        (socket.TCP_KEEPCNT, _KEEPALIVE_PROBES),
        (socket.TCP_USER_TIMEOUT, _USER_TIMEOUT_MS),
    ):
        sock.setsockopt(socket.IPPROTO_TCP, option, value)
