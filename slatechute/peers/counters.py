"""Counters of peer links and their interface, which metrics implement."""

import collections
import enum
from typing import Protocol

__all__ = ["Fault", "LinkCounters", "LinkMetrics"]


class Fault(enum.StrEnum):
    """Reason why a link was closed or a frame dropped; a metric label."""

    AUTHENTICATION = "authentication"
    AUTHENTICATION_TIMEOUT = "authentication_timeout"
    CLOSED = "closed"
    CONNECT = "connect"
    DUPLICATE = "duplicate"
    HANDLER = "handler"
    HANDSHAKE = "handshake"
    HEARTBEAT = "heartbeat"
    MALFORMED = "malformed"
    OVERSIZED = "oversized"
    QUEUE_FULL = "queue_full"
    REPLACED = "replaced"
    SILENT = "silent"
    TOO_MANY = "too_many"
    UNEXPECTED = "unexpected"
    UNKNOWN_TAG = "unknown_tag"
    VERSION = "version"
    WRONG_PEER = "wrong_peer"


class LinkMetrics(Protocol):
    """Receiver of the counts of peer links."""

    def count_sent(self, frames: int, size: int) -> None:
        """Count frames and bytes written; the bytes include framing."""
        ...

    def count_received(self, frames: int, size: int) -> None:
        """Count frames and bytes read; the bytes include framing."""
        ...

    def count_fault(self, fault: Fault) -> None:
        """Count a fault."""
        ...


class LinkCounters:
    """Implementation of `LinkMetrics` with plain attributes.

    >>> counters = LinkCounters()
    >>> counters.count_fault(Fault.SILENT)
    >>> counters.failures_by_fault[Fault.SILENT]
    1
    """

    def __init__(self):
        self.frames_sent = 0
        self.bytes_sent = 0
        self.frames_received = 0
        self.bytes_received = 0
        self.failures_by_fault: collections.Counter[Fault] = (
            collections.Counter()
        )

    def count_sent(self, frames: int, size: int) -> None:
        """Count frames and bytes written."""
        self.frames_sent += frames
        self.bytes_sent += size

    def count_received(self, frames: int, size: int) -> None:
        """Count frames and bytes read."""
        self.frames_received += frames
        self.bytes_received += size

    def count_fault(self, fault: Fault) -> None:
        """Count a fault."""
        self.failures_by_fault[fault] += 1
