"""Tests of the mutual authentication of peer links."""

import dataclasses

import pytest

from slatechute import errors
from slatechute import messages
from slatechute.peers import authentication

_KEY = b"0123456789abcdef"
_CLIENT = authentication.Role.CLIENT
_SERVER = authentication.Role.SERVER


def _hello(entry_id: str, /, **changes: object) -> messages.Hello:
    hello = messages.Hello(
        version_min=1,
        version_max=1,
        entry_id=entry_id,
        boot_id=f"{entry_id}-1",
        data_centre="dc1",
        address="127.0.0.1:1",
        peer_address="127.0.0.1:2",
        admin_address="127.0.0.1:3",
        nonce=authentication.new_nonce(),
    )
    return dataclasses.replace(hello, **changes)


def test_only_the_proof_of_the_same_exchange_passes():
    """Guards against wrong keys, reflection, replay and tampering."""
    client, server = _hello("e1"), _hello("e2")
    mac = authentication.proof(_KEY, _CLIENT, client, server)
    authentication.check_proof(_KEY, _CLIENT, client, server, mac)
    replace = dataclasses.replace
    wrong = {
        "key": (b"another key of 16", _CLIENT, client, server),
        "reflected": (_KEY, _SERVER, client, server),
        "swapped": (_KEY, _CLIENT, server, client),
        "replayed": (_KEY, _CLIENT, client, _hello("e2")),
        "renamed": (_KEY, _CLIENT, replace(client, entry_id="e3"), server),
        "downgraded": (_KEY, _CLIENT, replace(client, version_max=0), server),
        "moved": (_KEY, _CLIENT, client, replace(server, address="x:1")),
    }
    for name, arguments in wrong.items():
        with pytest.raises(errors.AuthenticationError):
            authentication.check_proof(*arguments, mac)
            pytest.fail(f"accepted: {name}")


@pytest.mark.parametrize(
    "changes",
    [
        {"entry_id": "e1"},
        {"entry_id": "e 2"},
        {"boot_id": ""},
        {"nonce": b""},
        {"address": "a" * 300},
    ],
)
def test_invalid_hello_is_rejected(changes):
    """Guards against links of an entry to itself and malformed fields."""
    with pytest.raises(errors.AuthenticationError):
        authentication.check_hello(_hello("e1"), _hello("e2", **changes))


def test_repeated_nonce_is_rejected():
    """Guards against a peer that copies the nonce of the local side."""
    local = _hello("e1")
    with pytest.raises(errors.AuthenticationError):
        authentication.check_hello(local, _hello("e2", nonce=local.nonce))


@pytest.mark.parametrize(
    ("local", "peer", "version"),
    [((1, 2), (2, 3), 2), ((2, 3), (1, 2), 2), ((1, 3), (1, 3), 3)],
)
def test_highest_common_version_is_used(local, peer, version):
    """Guards against two sides that select different versions."""
    first = _hello("e1", version_min=local[0], version_max=local[1])
    second = _hello("e2", version_min=peer[0], version_max=peer[1])
    assert authentication.check_hello(first, second) == version


@pytest.mark.parametrize(
    ("local", "peer"), [((1, 1), (2, 3)), ((2, 3), (1, 1))]
)
def test_disjoint_version_ranges_are_rejected(local, peer):
    """Guards against links whose frames one side cannot decode."""
    first = _hello("e1", version_min=local[0], version_max=local[1])
    second = _hello("e2", version_min=peer[0], version_max=peer[1])
    with pytest.raises(authentication.VersionError):
        authentication.check_hello(first, second)
