"""Helpers for addresses, clocks, sockets and loops."""
