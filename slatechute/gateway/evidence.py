"""What the exchanges of a request show about whether it has run.

A caller may be told that its request has not run, and a request that must not
run twice may be sent again, only while each of its exchanges proves that the
target has not run it. A record only gains evidence; nothing is taken back.
"""

from collections.abc import Collection
import dataclasses
import enum

__all__ = [
    "Evidence",
    "ExchangeRecord",
    "may_be_sent_again",
    "may_have_run",
    "received_count",
]


class Evidence(enum.StrEnum):
    """What an exchange shows so far, or has shown at its end.

    Attributes:
        NOT_WRITTEN: Nothing was written to the target.
        NOT_CONNECTED: No connection was opened.
        NOT_SENT_BY_PEER: The peer that carries out the exchange has sent
            nothing to the target.
        REFUSED: The target says, in its response to this request, that it has
            not run it.
        UNKNOWN: The target may have received the request.
        ANSWERED: The target has answered the request otherwise.
    """

    NOT_WRITTEN = "not_written"
    NOT_CONNECTED = "not_connected"
    NOT_SENT_BY_PEER = "not_sent_by_peer"
    REFUSED = "refused"
    UNKNOWN = "unknown"
    ANSWERED = "answered"

    @property
    def proves_not_run(self) -> bool:
        """Whether the target has not run the request and never will."""
        return self is not Evidence.UNKNOWN and self is not Evidence.ANSWERED

    @property
    def is_received(self) -> bool:
        """Whether the target may have received the request."""
        return self is Evidence.REFUSED or not self.proves_not_run


@dataclasses.dataclass(slots=True, eq=False)
class ExchangeRecord:
    """Evidence of one exchange.

    Attributes:
        address: Address of the target.
        peer_id: Id of the peer that carries it out, empty for none.
        reused: Number of earlier exchanges on the connection to the target,
            None where a peer has the connection.
        evidence: What it shows so far.
        is_ended: Whether the evidence is final.
    """

    address: str
    peer_id: str = ""
    reused: int | None = None
    evidence: Evidence = Evidence.NOT_WRITTEN
    is_ended: bool = False

    def begin_sending(self) -> None:
        """Note that the target may receive the request from now on."""
        self.evidence = Evidence.UNKNOWN

    def end(self, evidence: Evidence) -> None:
        """Note what the end of the exchange shows."""
        self.evidence = evidence
        self.is_ended = True


def may_have_run(records: Collection[ExchangeRecord]) -> bool:
    """Return whether a target may have run, or may yet run, the request."""
    return any(not record.evidence.proves_not_run for record in records)


def may_be_sent_again(
    records: Collection[ExchangeRecord], *, repeatable: bool
) -> bool:
    """Return whether a further exchange keeps the promise to the caller."""
    return repeatable or not may_have_run(records)


def received_count(records: Collection[ExchangeRecord]) -> int:
    """Return the number of exchanges in which a target may have received it."""
    return sum(record.evidence.is_received for record in records)
