"""Messages between entries and their CBOR frames.

A frame is a CBOR array `[tag, field, ...]`. Unknown trailing fields are
ignored and missing ones take their defaults, so that two versions of the
messages can run side by side during a roll-out.
"""

import dataclasses
from typing import ClassVar, NamedTuple

import cbor2
import pydantic

from slatechute import errors

__all__ = [
    "CrashReport",
    "DocumentDigest",
    "DocumentParts",
    "DocumentRequest",
    "Heartbeat",
    "Hello",
    "InflightReport",
    "LoadReport",
    "MAX_FRAME_BYTES",
    "Message",
    "PeerList",
    "Presence",
    "Proof",
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
    """Base of all messages; `TAG` is their number on the wire."""

    TAG: ClassVar[int] = 0


@dataclasses.dataclass(slots=True)
class Hello(Message):
    """First frame of a link: who the sender is.

    `clock_ms` is the sender's monotonic clock, by which the peer issues request
    id prefixes in its name. It is not in the heartbeats, because those cost
    much less while they do not change.
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
    """Second frame of a link: proof that the sender knows the fleet key."""

    TAG: ClassVar[int] = 2
    mac: bytes


class ServiceLoad(NamedTuple):
    """Free slots and waiting requests of one service at a dispatcher.

    A named tuple is an array on the wire, half the size of a map with the
    names of the fields; load hints are most of what heartbeats cost.
    """

    service: str
    free: int
    queued: int


@dataclasses.dataclass(slots=True)
class Heartbeat(Message):
    """Sign of life with load hints and the configuration in force."""

    TAG: ClassVar[int] = 3
    leaving: bool = False
    loads: list[ServiceLoad] = dataclasses.field(default_factory=list)
    revision: int = 0
    digest: str = ""


@dataclasses.dataclass(slots=True)
class SlotRequest(Message):
    """Ask a dispatcher for a slot; `number` is unique at the sender.

    A `spare_only` request gets a slot that nothing else waits for.
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
    """Give the sender of a `SlotRequest` a slot.

    `oldest_waiting_age_ms` is the age of the oldest request that still waits at
    the sender, negative when there is none.
    """

    TAG: ClassVar[int] = 5
    number: int
    lease_id: int
    target_id: str
    oldest_waiting_age_ms: float = -1.0


@dataclasses.dataclass(slots=True)
class SlotCancel(Message):
    """Withdraw a `SlotRequest`."""

    TAG: ClassVar[int] = 6
    number: int


@dataclasses.dataclass(slots=True)
class SlotRefusal(Message):
    """Refuse a `SlotRequest`: another dispatcher has to be asked."""

    TAG: ClassVar[int] = 7
    number: int
    reason: str


@dataclasses.dataclass(slots=True)
class SlotRelease(Message):
    """Return a slot, with what the exchange showed of the target.

    With `renewal_remaining_ms` above 0 the sender keeps the slot for its next
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
    """Tell peers that the sender now dispatches these targets."""

    TAG: ClassVar[int] = 9
    target_ids: list[str]


@dataclasses.dataclass(slots=True)
class InflightReport(Message):
    """Answer a `TakeOver`: exchanges under way at the sender by target."""

    TAG: ClassVar[int] = 10
    target_ids: list[str]
    inflight_by_target: dict[str, int]


@dataclasses.dataclass(slots=True)
class TargetReport(Message):
    """Tell the group what was seen of a target."""

    TAG: ClassVar[int] = 11
    target_id: str
    state: str
    duration_ms: float = 0.0


@dataclasses.dataclass(slots=True)
class CrashReport(Message):
    """Tell the group that a request was under way when a target died."""

    TAG: ClassVar[int] = 12
    fingerprint: str
    target_id: str
    age_ms: float = 0.0
    duration_ms: float = 0.0


@dataclasses.dataclass(slots=True)
class DocumentDigest(Message):
    """Announce a document by revision and digest of each part.

    A document of many parts is announced by `digest`, of the whole, with no
    parts; a peer that needs it asks for the digests of the parts.

    Attributes:
        unconfirmed: Whether the sender cannot tell that it is not stale.
        digest: Digest of the whole, empty when the parts are listed.
    """

    TAG: ClassVar[int] = 13
    name: str
    revision: int
    digest_by_part: dict[str, str]
    unconfirmed: bool = False
    digest: str = ""


@dataclasses.dataclass(slots=True)
class DocumentRequest(Message):
    """Ask for parts of a document."""

    TAG: ClassVar[int] = 14
    name: str
    revision: int
    parts: list[str]


@dataclasses.dataclass(slots=True)
class DocumentParts(Message):
    """Carry parts of a document."""

    TAG: ClassVar[int] = 15
    name: str
    revision: int
    text_by_part: dict[str, str]


@dataclasses.dataclass(slots=True)
class Presence(Message):
    """Sign of life of a gateway entry, sent as a datagram.

    Attributes:
        entry_id: The sender.
        boot_id: Its start; a new one means that it knows nothing of before.
        data_centre: Its data centre.
        callers_address: Where it accepts requests.
        control_address: Where peers ask for what is published.
        peer_port: UDP port of the sender.
        state: `starting`, `ready` or `leaving`.
        version: Configuration in force; 0 for none.
        revision: What is published is known up to this revision.
        steady_ms: How long it has read the platform without a break.
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


@dataclasses.dataclass(slots=True)
class PeerList(Message):
    """Control addresses of entries that the sender has heard of lately."""

    TAG: ClassVar[int] = 17
    addresses: list[str]


class TargetReading(NamedTuple):
    """What one entry knows of one target; an array on the wire.

    Attributes:
        target_id: The target.
        in_flight: Requests of the sender at the target.
        age_ms: Age of the reported load, negative when there is none.
        running: As reported.
        waiting: As reported.
        slots: As reported.
        slowdown_percent: As reported, 100 is usual.
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
    """Loads of targets and waiting requests at the sender.

    `is_complete` tells that the sender has no requests at other targets.
    """

    TAG: ClassVar[int] = 18
    entry_id: str
    boot_id: str
    sequence: int
    readings: list[TargetReading]
    waiting_by_service: dict[str, int] = dataclasses.field(default_factory=dict)
    is_complete: bool = False


_TYPES = [cls for cls in Message.__subclasses__() if cls.TAG]
_FIELDS_BY_TAG = {
    cls.TAG: tuple(field.name for field in dataclasses.fields(cls))
    for cls in _TYPES
}
_ADAPTER_BY_TAG = {cls.TAG: pydantic.TypeAdapter(cls) for cls in _TYPES}


def encode(message: Message) -> bytes:
    """Return the frame of a message.

    >>> decode(encode(SlotCancel(number=7)))
    SlotCancel(number=7)
    """
    names = _FIELDS_BY_TAG[message.TAG]
    values = [getattr(message, name) for name in names]
    return cbor2.dumps([message.TAG, *values])


def decode(frame: bytes) -> Message | None:
    """Return the message of a frame, or None for a tag of a newer version.

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
        return _ADAPTER_BY_TAG[tag].validate_python(values)
    except pydantic.ValidationError as err:
        raise errors.FrameError(f"message {tag} is not valid: {err}") from err
