"""State machine of one connection to a peer, without I/O and a clock."""

import enum

from slatechute import errors
from slatechute import messages
from slatechute.peers import authentication
from slatechute.peers import counters

__all__ = [
    "AUTHENTICATION_TIMEOUT_MS",
    "HEARTBEAT_INTERVAL_MS",
    "Link",
    "LinkFault",
    "SILENCE_TIMEOUT_MS",
    "State",
]

HEARTBEAT_INTERVAL_MS = 100
SILENCE_TIMEOUT_MS = 400
AUTHENTICATION_TIMEOUT_MS = 1000

# A hello is at most about 1.5 KiB. Larger frames are not decoded before the
# peer has proved that it knows the key.
_MAX_HANDSHAKE_FRAME_BYTES = 4096

_Role = authentication.Role


class State(enum.Enum):
    """State of a link."""

    NEW = enum.auto()
    AWAIT_HELLO = enum.auto()
    AWAIT_PROOF = enum.auto()
    READY = enum.auto()
    CLOSED = enum.auto()


class LinkFault(errors.SlatechuteError):
    """Fault because of which a link has to be closed.

    Attributes:
        fault: Kind of the fault, for the counters.
    """

    def __init__(self, fault: counters.Fault, text: str):
        super().__init__(text)
        self.fault = fault


class Link:
    """One connection to a peer.

    Attributes:
        role: Side of this process.
        state: State of the link.
        peer: Hello of the peer, None before it is received.
        version: Negotiated version of the messages, 0 before.
        last_frame_ms: Time of the last frame, at first that of the creation.
        outgoing: Handshake frames that the caller of `open` and `receive` has
            to send.
    """

    def __init__(
        self,
        role: authentication.Role,
        local_hello: messages.Hello,
        key: bytes,
        now_ms: float,
        expected_peer_id: str = "",
    ):
        """Create a link.

        Args:
            role: Side of this process.
            local_hello: Hello of this entry with a nonce for this link only.
            key: Fleet key.
            now_ms: Current time.
            expected_peer_id: Id of the entry to connect to; empty for a server.
        """
        self.role = role
        self.state = State.AWAIT_HELLO
        self.peer: messages.Hello | None = None
        self.version = 0
        self.last_frame_ms = now_ms
        self.outgoing: list[bytes] = []
        self._opened_ms = now_ms
        self._local_hello = local_hello
        self._key = key
        self._expected_peer_id = expected_peer_id
        if role is _Role.CLIENT:
            self.state = State.NEW

    def open(self) -> None:
        """Start the authentication, as the client."""
        if self.state is State.NEW:
            self.state = State.AWAIT_HELLO
            self.outgoing.append(messages.encode(self._local_hello))

    def receive(self, frame: bytes, now_ms: float) -> messages.Message | None:
        """Handle a frame and return its message for the application.

        Returns:
            The message; None during authentication and for a tag of a newer
            version.

        Raises:
            LinkFault: The link has to be closed.
        """
        if self.state is not State.READY:
            self._authenticate(frame)
            self.last_frame_ms = now_ms
            return None
        message = _decode(frame)
        self.last_frame_ms = now_ms
        if isinstance(message, (messages.Hello, messages.Proof)):
            raise LinkFault(
                counters.Fault.UNEXPECTED, "authentication frame on open link"
            )
        return message

    @property
    def is_opened_by_lower_id(self) -> bool:
        """Whether the entry with the lower id opened this link."""
        return (self.role is _Role.CLIENT) == (
            self._local_hello.entry_id < self.peer.entry_id
        )

    def replaces(self, older: "Link") -> bool:
        """Return whether this link, just ready, replaces an older one.

        The newer link normally replaces the older one, which may be half-open.
        Only if both entries connected to each other at the same time, the link
        that the lower entry id opened is kept. Without a common rule each side
        could close the link that the other side keeps.
        """
        return (
            self.peer.boot_id != older.peer.boot_id
            or self.is_opened_by_lower_id
            or not older.is_opened_by_lower_id
        )

    def check_timeouts(self, now_ms: float, resumed_ms: float) -> None:
        """Check the time limits of the link.

        Args:
            now_ms: Current time.
            resumed_ms: End of the last pause of this process. Silence before
                it does not count, as frames were not read.

        Raises:
            LinkFault: No frame or no authentication arrived in time.
        """
        if self.state is State.READY:
            since_ms = max(self.last_frame_ms, resumed_ms)
            if now_ms - since_ms >= SILENCE_TIMEOUT_MS:
                raise LinkFault(
                    counters.Fault.SILENT, "no frame from the peer in time"
                )
        elif self.state is not State.CLOSED:
            since_ms = max(self._opened_ms, resumed_ms)
            if now_ms - since_ms >= AUTHENTICATION_TIMEOUT_MS:
                raise LinkFault(
                    counters.Fault.AUTHENTICATION_TIMEOUT,
                    "peer did not authenticate in time",
                )

    def _authenticate(self, frame: bytes) -> None:
        if len(frame) > _MAX_HANDSHAKE_FRAME_BYTES:
            raise LinkFault(
                counters.Fault.OVERSIZED, "large frame before authentication"
            )
        message = _decode(frame)
        try:
            if self.state is State.AWAIT_HELLO and isinstance(
                message, messages.Hello
            ):
                self._handle_hello(message)
            elif self.state is State.AWAIT_PROOF and isinstance(
                message, messages.Proof
            ):
                self._handle_proof(message)
            else:
                raise LinkFault(
                    counters.Fault.UNEXPECTED,
                    "unexpected frame before authentication",
                )
        except authentication.VersionError as err:
            raise LinkFault(counters.Fault.VERSION, str(err)) from err
        except errors.AuthenticationError as err:
            raise LinkFault(counters.Fault.AUTHENTICATION, str(err)) from err

    def _handle_hello(self, hello: messages.Hello) -> None:
        self.version = authentication.check_hello(self._local_hello, hello)
        if self._expected_peer_id not in ("", hello.entry_id):
            raise LinkFault(
                counters.Fault.WRONG_PEER,
                f"{hello.entry_id} at the address of {self._expected_peer_id}",
            )
        self.peer = hello
        self.state = State.AWAIT_PROOF
        if self.role is _Role.SERVER:
            self.outgoing.append(messages.encode(self._local_hello))
        else:
            self._send_proof()

    def _handle_proof(self, message: messages.Proof) -> None:
        client, server = self._hellos()
        is_client = self.role is _Role.CLIENT
        authentication.check_proof(
            self._key,
            _Role.SERVER if is_client else _Role.CLIENT,
            client,
            server,
            message.mac,
        )
        self.state = State.READY
        if not is_client:
            self._send_proof()

    def _send_proof(self) -> None:
        mac = authentication.proof(self._key, self.role, *self._hellos())
        self.outgoing.append(messages.encode(messages.Proof(mac)))

    def _hellos(self) -> tuple[messages.Hello, messages.Hello]:
        if self.role is _Role.CLIENT:
            return self._local_hello, self.peer
        return self.peer, self._local_hello


def _decode(frame: bytes) -> messages.Message | None:
    try:
        return messages.decode(frame)
    except errors.FrameError as err:
        raise LinkFault(counters.Fault.MALFORMED, str(err)) from err
