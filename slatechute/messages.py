"""Messages between entries and their encoding as CBOR frames.

A frame is a CBOR array `[tag, field, ...]`. Unknown trailing fields are
ignored and missing ones take their defaults, so that entries with different
versions of the messages can communicate during a roll-out.
"""

import dataclasses
from typing import ClassVar, NamedTuple

import cbor2
import msgspec

from slatechute import errors

__all__ = [
    "CallerAttempt",
    "CrashReport",
    "DocumentDigest",
    "DocumentParts",
    "DocumentRequest",
    "FailedAttempts",
    "Heartbeat",
    "Hello",
    "InflightReport",
    "LoadReport",
    "LostPeer",
    "MAX_FRAME_BYTES",
    "Message",
    "PeerList",
    "Presence",
    "Proof",
    "PublishedChange",
    "PublishedChanges",
    "RelayRequest",
    "RelayResponse",
    "RemoteRequests",
    "RetryTokenGrant",
    "RetryTokenRequest",
    "ServiceLoad",
    "SlotCancel",
    "SlotGrant",
    "SlotRefusal",
    "SlotRelease",
    "SlotRequest",
    "TakeOver",
    "TargetReading",
    "TargetReport",
    "VERSION",
    "VERSION_MIN",
    "decode",
    "encode",
]

VERSION = 1
VERSION_MIN = 1
MAX_FRAME_BYTES = 256 * 1024


@dataclasses.dataclass(slots=True)
class Message:
    """Base of all messages; `TAG` identifies the type on the wire."""

    TAG: ClassVar[int] = 0


@dataclasses.dataclass(slots=True)
class Hello(Message):
    """First frame of a link, which identifies the sender.

    `clock_ms` is the sender's monotonic clock, from which the peer derives
    request id prefixes on the sender's behalf. It is not part of heartbeats,
    because unchanged heartbeats are replaced by much smaller keepalives.
    """

    TAG: ClassVar[int] = 1
    version_min: int
    version_max: int
    entry_id: str
    boot_id: str
    data_centre: str
    address: str
    peer_address: str
    admin_address: str
    nonce: bytes
    clock_ms: float = 0.0


@dataclasses.dataclass(slots=True)
class Proof(Message):
    """Second frame of a link, which proves knowledge of the fleet key."""

    TAG: ClassVar[int] = 2
    mac: bytes


class ServiceLoad(NamedTuple):
    """Free slots and queued requests of one service at a dispatcher.

    A named tuple is encoded as an array, which is half the size of a map with
    the names of the fields. Load hints make up most of a heartbeat's size.
    """

    service: str
    free: int
    queued: int


@dataclasses.dataclass(slots=True)
class Heartbeat(Message):
    """Heartbeat with load hints and the active configuration's revision."""

    TAG: ClassVar[int] = 3
    leaving: bool = False
    loads: list[ServiceLoad] = dataclasses.field(default_factory=list)
    revision: int = 0
    digest: str = ""


@dataclasses.dataclass(slots=True)
class SlotRequest(Message):
    """Request a slot from a dispatcher; `number` is unique at the sender.

    A `spare_only` request is granted only slots that no other request waits
    for.
    """

    TAG: ClassVar[int] = 4
    number: int
    service: str
    age_ms: float
    remaining_ms: float
    bulk: bool = False
    excluded: list[str] = dataclasses.field(default_factory=list)
    spare_only: bool = False


@dataclasses.dataclass(slots=True)
class SlotGrant(Message):
    """Grant a slot to the sender of a `SlotRequest`.

    `oldest_waiting_age_ms` is the age of the oldest request that still waits at
    the sender of the grant, negative when there is none.
    """

    TAG: ClassVar[int] = 5
    number: int
    lease_id: int
    target_id: str
    oldest_waiting_age_ms: float = -1.0


@dataclasses.dataclass(slots=True)
class SlotCancel(Message):
    """Cancel a `SlotRequest`."""

    TAG: ClassVar[int] = 6
    number: int


@dataclasses.dataclass(slots=True)
class SlotRefusal(Message):
    """Refuse a `SlotRequest`, so that its sender tries another dispatcher."""

    TAG: ClassVar[int] = 7
    number: int
    reason: str


@dataclasses.dataclass(slots=True)
class SlotRelease(Message):
    """Release a slot and report the result of the exchange at the target.

    If `renewal_remaining_ms` is above 0, the sender keeps the slot for its next
    request, which has this much time left.
    """

    TAG: ClassVar[int] = 8
    lease_id: int
    target_id: str
    result: str
    service_ms: float = 0.0
    renewal_remaining_ms: float = 0.0


@dataclasses.dataclass(slots=True)
class TakeOver(Message):
    """Announce that the sender now dispatches these targets."""

    TAG: ClassVar[int] = 9
    target_ids: list[str]


@dataclasses.dataclass(slots=True)
class InflightReport(Message):
    """Report the sender's in-flight exchanges by target, after a `TakeOver`."""

    TAG: ClassVar[int] = 10
    target_ids: list[str]
    in_flight_by_target: dict[str, int]


@dataclasses.dataclass(slots=True)
class TargetReport(Message):
    """Report the observed state of a target to the entry group."""

    TAG: ClassVar[int] = 11
    target_id: str
    state: str
    duration_ms: float = 0.0


@dataclasses.dataclass(slots=True)
class CrashReport(Message):
    """Report a request that was in flight at a target when it crashed."""

    TAG: ClassVar[int] = 12
    fingerprint: str
    target_id: str
    age_ms: float = 0.0
    duration_ms: float = 0.0


@dataclasses.dataclass(slots=True)
class DocumentDigest(Message):
    """Announce a document by revision and digest of each part.

    A document of many parts is announced without parts, by the `digest` of the
    whole document. A peer that needs it requests the digests of the parts.

    Attributes:
        unconfirmed: Whether the document may be stale at the sender.
        digest: Digest of the whole document, empty when parts are listed.
    """

    TAG: ClassVar[int] = 13
    name: str
    revision: int
    digest_by_part: dict[str, str]
    unconfirmed: bool = False
    digest: str = ""


@dataclasses.dataclass(slots=True)
class DocumentRequest(Message):
    """Request parts of a document, or its digests when no parts are listed."""

    TAG: ClassVar[int] = 14
    name: str
    revision: int
    parts: list[str]


@dataclasses.dataclass(slots=True)
class DocumentParts(Message):
    """Send parts of a document."""

    TAG: ClassVar[int] = 15
    name: str
    revision: int
    text_by_part: dict[str, str]


@dataclasses.dataclass(slots=True)
class Presence(Message):
    """Heartbeat datagram of a gateway entry.

    Attributes:
        entry_id: Id of the sender.
        boot_id: Id of its process start; with a new one the sender has lost its
            earlier state.
        data_centre: Data centre of the sender.
        callers_address: Address at which it accepts requests of callers.
        control_address: Address at which peers request published items.
        peer_port: UDP port of the sender.
        state: `starting`, `ready` or `leaving`.
        version: Version of the active configuration, 0 for none.
        revision: Revision up to which it has received published items.
        steady_ms: Duration of its uninterrupted connection to the platform.
        is_active: Whether it serves the callers of its data centre.
        processor_share: Processor time that it may use, in cores of usual
            speed.
        busy: Estimated share of its processor time or network link that its
            requests use, whichever is higher.
        services_without_path: Services of which the sender does not reach most
            targets by itself, `*` for all. None if it relays no requests of
            peers, as in earlier versions.
        protocol: Version of the messages that the sender supports: 0 in earlier
            builds, 1 if it allocates tokens of cold targets.
    """

    TAG: ClassVar[int] = 16
    entry_id: str
    boot_id: str
    data_centre: str
    callers_address: str
    control_address: str
    peer_port: int
    state: str
    version: int = 0
    revision: int = 0
    steady_ms: float = 0.0
    is_active: bool = True
    processor_share: float = 1.0
    busy: float = 0.0
    services_without_path: list[str] | None = None
    protocol: int = 0


@dataclasses.dataclass(slots=True)
class PeerList(Message):
    """Control addresses of entries from which heartbeats arrived recently."""

    TAG: ClassVar[int] = 17
    addresses: list[str]


class TargetReading(NamedTuple):
    """One entry's view of the load of one target; an array on the wire.

    Attributes:
        target_id: Id of the target.
        in_flight: Requests of the sender in flight at the target.
        age_ms: Age of the load that the target reported, negative when there
            is none.
        running: Running requests that the target reported.
        waiting: Waiting requests that the target reported.
        slots: Slots that the target reported.
        slowdown_percent: Slowdown that the target reported; 100 is normal.
    """

    target_id: str
    in_flight: int
    age_ms: int = -1
    running: int = 0
    waiting: int = 0
    slots: int = 0
    slowdown_percent: int = 100


@dataclasses.dataclass(slots=True)
class LoadReport(Message):
    """Report loads of targets and waiting requests at the sender.

    `is_complete` means that the sender has no requests in flight at other
    targets. `complete_since` means the same of all reports from this sequence
    number on, if it is not 0.
    """

    TAG: ClassVar[int] = 18
    entry_id: str
    boot_id: str
    sequence: int
    readings: list[TargetReading]
    waiting_by_service: dict[str, int] = dataclasses.field(default_factory=dict)
    is_complete: bool = False
    complete_since: int = 0


@dataclasses.dataclass(slots=True)
class LostPeer(Message):
    """Report to standbys that an active gateway entry was lost.

    Standbys get heartbeats less often than active entries do.
    """

    TAG: ClassVar[int] = 19
    entry_id: str
    boot_id: str


class PublishedChange(NamedTuple):
    """A changed item of the platform; `value` is None if it was removed."""

    key: str
    revision: int
    value: bytes | None


@dataclasses.dataclass(slots=True)
class PublishedChanges(Message):
    """Send all changes of published items after a revision up to another one.

    Attributes:
        after: The receiver needs all changes up to this revision.
        revision: Revision up to which the changes are complete.
        steady_ms: Duration of the sender's uninterrupted connection to the
            platform.
        changes: The changes in the order of their revisions.
    """

    TAG: ClassVar[int] = 20
    after: int
    revision: int
    steady_ms: float
    changes: list[PublishedChange]


@dataclasses.dataclass(slots=True)
class AnnouncementReport(Message):
    """Report what a target has announced about itself in a response.

    Attributes:
        target_id: Id of the target.
        incarnation: Number of its process start.
        limit_per_s: Requests a second that it takes from all entries together;
            None if it names no limit.
        age_ms: Age of the response.
        is_leaving: Whether it takes no new requests any more.
        pause_ms: For how much longer it wants no request from the sender.
        cold_ms: For how much longer it is cold, 0 if it is not, None if the
            sender does not know it.
    """

    TAG: ClassVar[int] = 21
    target_id: str
    incarnation: int
    limit_per_s: float | None
    age_ms: float
    is_leaving: bool = False
    pause_ms: float = 0.0
    cold_ms: float | None = None


@dataclasses.dataclass(slots=True)
class TokenRequest(Message):
    """Ask for tokens of a target with a rate limit or of a cold one.

    Attributes:
        target_id: Id of the target.
        count: Number of tokens that the sender needs now.
        limit_per_s: Limit of the target as known to the sender.
        age_ms: Age of that knowledge.
        cold_ms: For how much longer the target is cold, as in
            `AnnouncementReport`.
    """

    TAG: ClassVar[int] = 22
    target_id: str
    count: int
    limit_per_s: float | None
    age_ms: float
    cold_ms: float | None = None


@dataclasses.dataclass(slots=True)
class TokenGrant(Message):
    """Allow the receiver to send requests to a target with a rate limit.

    A `count` of 0 means that it has to wait for tokens.
    """

    TAG: ClassVar[int] = 23
    target_id: str
    count: int


@dataclasses.dataclass(slots=True)
class RelayRequest(Message):
    """Ask a peer to carry out one exchange with a target.

    The body of the request follows the frame.

    Attributes:
        target_id: Id of the target.
        incarnation: Number of its process start.
        remaining_ms: Time until the caller needs a response.
        data_centre: Data centre of the sender.
        repeatable: Whether the request may run more than once.
        method: HTTP method.
        path: Path and query.
        headers: End-to-end headers, in order.
    """

    TAG: ClassVar[int] = 24
    target_id: str
    incarnation: int
    remaining_ms: float
    data_centre: str
    repeatable: bool
    method: str
    path: str
    headers: list[tuple[str, str]]


@dataclasses.dataclass(slots=True)
class RelayResponse(Message):
    """Result of a relayed exchange; the body of a response follows the frame.

    Attributes:
        result: How the exchange ended: `response`, `lost`, `connect_failed`,
            `no_path` or `refused`. The target has not run the request after the
            last three.
        status: HTTP status of the response.
        headers: Headers of the response, in order.
        response_started: Whether a part of a lost response has arrived.
    """

    TAG: ClassVar[int] = 25
    result: str
    status: int = 0
    headers: list[tuple[str, str]] = dataclasses.field(default_factory=list)
    response_started: bool = False


@dataclasses.dataclass(slots=True)
class RetryTokenRequest(Message):
    """Ask for retries of a service beyond the sender's own share."""

    TAG: ClassVar[int] = 26
    service: str
    count: int


@dataclasses.dataclass(slots=True)
class RetryTokenGrant(Message):
    """Allow the receiver retries of a service; 0 means that it has none."""

    TAG: ClassVar[int] = 27
    service: str
    count: int


class CallerAttempt(NamedTuple):
    """A failed attempt of a caller; an array on the wire.

    Attributes:
        key: Fingerprint of the request.
        age_ms: Time since the first attempt of the caller.
        left_ms: Time until the deadline of the caller.
    """

    key: str
    age_ms: float
    left_ms: float


@dataclasses.dataclass(slots=True)
class FailedAttempts(Message):
    """Report attempts after which callers may send their requests again."""

    TAG: ClassVar[int] = 28
    attempts: list[CallerAttempt]


@dataclasses.dataclass(slots=True)
class RemoteRequests(Message):
    """Report requests in flight at the targets of another data centre.

    Attributes:
        entry_id: Id of the sender, an entry of another data centre.
        boot_id: Id of its process start.
        sequence: Sequence number of the report.
        in_flight_by_target: Number of its requests by target id.
    """

    TAG: ClassVar[int] = 29
    entry_id: str
    boot_id: str
    sequence: int
    in_flight_by_target: dict[str, int]


_TYPES = [cls for cls in Message.__subclasses__() if cls.TAG]
_FIELDS_BY_TAG = {
    cls.TAG: tuple(field.name for field in dataclasses.fields(cls))
    for cls in _TYPES
}
_TYPE_BY_TAG = {cls.TAG: cls for cls in _TYPES}


def encode(message: Message) -> bytes:
    """Return the frame of a message.

    >>> decode(encode(SlotCancel(number=7)))
    SlotCancel(number=7)
    """
    names = _FIELDS_BY_TAG[message.TAG]
    values = [getattr(message, name) for name in names]
    return cbor2.dumps([message.TAG, *values])


def decode(frame: bytes) -> Message | None:
    """Return the message in a frame, or None for a tag of a newer version.

    Raises:
        errors.FrameError: The frame is oversized or malformed.
    """
    if not isinstance(frame, bytes) or len(frame) > MAX_FRAME_BYTES:
        raise errors.FrameError("frame is not binary or too large")
    try:
        content = cbor2.loads(frame)
    except (
        cbor2.CBORDecodeError,
        ValueError,
        TypeError,
        RecursionError,
    ) as err:
        raise errors.FrameError(f"frame is not CBOR: {err}") from err
    if not isinstance(content, list) or not content:
        raise errors.FrameError("frame is not an array with a tag")
    tag = content[0]
    if not isinstance(tag, int) or tag <= 0:
        raise errors.FrameError("frame has no valid tag")
    if tag not in _FIELDS_BY_TAG:
        return None
    values = dict(zip(_FIELDS_BY_TAG[tag], content[1:], strict=False))
    try:
        return msgspec.convert(values, _TYPE_BY_TAG[tag])
    except msgspec.ValidationError as err:
        raise errors.FrameError(f"message {tag} is not valid: {err}") from err
