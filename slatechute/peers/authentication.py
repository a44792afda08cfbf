"""Mutual authentication of peer links with the fleet key.

The client of a link sends its `Hello` and the server responds with its own.
Then the client sends its `Proof` and the server responds with its own. As the
client sends its proof first, a client without the key receives no MAC against
which it could test guessed keys offline.
"""

import enum
import hmac
import re
import secrets

import cbor2

from slatechute import errors
from slatechute import messages

__all__ = [
    "NONCE_BYTES",
    "Role",
    "VersionError",
    "negotiate_version",
    "check_hello",
    "check_proof",
    "new_nonce",
    "proof",
]

NONCE_BYTES = 32

_MAC_LABEL = "slatechute peer link"
_ENTRY_ID = re.compile(r"[A-Za-z0-9_-]{1,64}")
_MAX_TEXT_LENGTH = 256  # boot id, data centre and addresses of a hello


class Role(enum.StrEnum):
    """Side of a link; covered by the MAC, so that reflected proofs fail."""

    CLIENT = "client"
    SERVER = "server"


class VersionError(errors.AuthenticationError):
    """Two entries have no version of the messages in common."""


def new_nonce() -> bytes:
    """Return a nonce for one link."""
    return secrets.token_bytes(NONCE_BYTES)


def negotiate_version(local: messages.Hello, peer: messages.Hello) -> int:
    """Return the highest version that both sides support.

    Raises:
        VersionError: The version ranges do not overlap.
    """
    version = min(local.version_max, peer.version_max)
    if version < max(local.version_min, peer.version_min):
        raise VersionError(
            f"versions {peer.version_min} to {peer.version_max} of"
            f" {peer.entry_id!r} do not overlap with"
            f" {local.version_min} to {local.version_max}"
        )
    return version


def check_hello(local: messages.Hello, peer: messages.Hello) -> int:
    """Check the hello of a peer and return the agreed version.

    Raises:
        errors.AuthenticationError: The hello is not valid, or it has the entry
            id or the nonce of the local side.
        VersionError: The version ranges do not overlap.
    """
    texts = (
        peer.boot_id,
        peer.data_centre,
        peer.address,
        peer.peer_address,
        peer.admin_address,
    )
    if not _ENTRY_ID.fullmatch(peer.entry_id) or not peer.boot_id:
        raise errors.AuthenticationError("hello has no valid entry or boot id")
    if any(len(text) > _MAX_TEXT_LENGTH for text in texts):
        raise errors.AuthenticationError("hello has an oversized field")
    if len(peer.nonce) != NONCE_BYTES:
        raise errors.AuthenticationError("hello has a nonce of invalid length")
    if peer.entry_id == local.entry_id or peer.nonce == local.nonce:
        raise errors.AuthenticationError(
            "hello has the local entry id or nonce"
        )
    return negotiate_version(local, peer)


def _transcript(hello: messages.Hello) -> list[object]:
    # The fields are listed explicitly, because fields that a newer version
    # appends to Hello must not change the MAC that an older version computes.
    return [
        hello.version_min,
        hello.version_max,
        hello.entry_id,
        hello.boot_id,
        hello.data_centre,
        hello.address,
        hello.peer_address,
        hello.admin_address,
        hello.nonce,
    ]


def proof(
    key: bytes, role: Role, client: messages.Hello, server: messages.Hello
) -> bytes:
    """Return the HMAC-SHA256 that the given side of a link sends.

    It covers both nonces, both entry ids and the other fields of both hellos,
    so that neither version ranges nor addresses can be altered in transit. CBOR
    delimits the fields unambiguously.
    """
    content = [_MAC_LABEL, role.value, _transcript(client), _transcript(server)]
    return hmac.digest(key, cbor2.dumps(content), "sha256")


def check_proof(
    key: bytes,
    role: Role,
    client: messages.Hello,
    server: messages.Hello,
    mac: bytes,
) -> None:
    """Check the MAC that the given side of a link sent, in constant time.

    Raises:
        errors.AuthenticationError: The MAC is wrong.
    """
    if not hmac.compare_digest(proof(key, role, client, server), mac):
        raise errors.AuthenticationError(f"proof of the {role} is wrong")
