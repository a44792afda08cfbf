"""Command `slatechute status`."""

import asyncio
from typing import ClassVar
import urllib.parse

from cleo import helpers
from cleo.io.inputs import argument
from cleo.io.inputs import option
import pydantic

from slatechute import errors
from slatechute.commands import base
from slatechute.util import addresses

__all__ = ["HostStatus", "StatusCommand"]

_MAX_STATUS_BYTES = 4 << 20
_MAX_SHOWN_REJECTIONS = 3
_SHOWN_DIGEST_LENGTH = 12


class _StatusModel(pydantic.BaseModel):
    """Base class of the models of a status.

    Unknown fields, such as those of newer versions, are ignored.
    """


class Rejection(_StatusModel):
    """A revision that a host has rejected."""

    revision: int
    problems: list[str] = []


class ConfigurationStatus(_StatusModel):
    """Configuration status of a host, see docs/operators.md."""

    revision: int | None = None
    digest: str | None = None
    newest_seen: int | None = None
    age_s: float | None = None
    unconfirmed: bool = False
    refused: list[Rejection] = []


class PeerStatus(_StatusModel):
    """Status of a peer as reported by a host."""

    entry_id: str
    revision: int | None = None
    digest: str | None = None
    reachable: bool = False


class HostStatus(_StatusModel):
    """Content of the `/status` page."""

    entry_id: str
    boot_id: str = ""
    data_centre: str = ""
    state: str = ""
    configuration: ConfigurationStatus = ConfigurationStatus()
    peers: list[PeerStatus] = []


class StatusCommand(base.Command):
    """Compares the configuration of hosts."""

    name = "status"
    description = "Fetch the state of hosts and compare their configuration."
    help = """\
Fetches /status of each host and prints state, revision, digest, newest revision
seen, age and whether the host lags or refuses a revision, and why. Peers that
are not among the arguments are shown as the queried hosts report them.

  slatechute status 10.0.0.1:8402 http://10.0.0.2:8402

Exit status: 0 when all hosts have the newest revision; 1 when hosts differ, lag
or refuse the newest revision; 2 when a host does not respond or an argument
cannot be used."""
    arguments: ClassVar[list[argument.Argument]] = [
        helpers.argument(
            "admin_url", "Admin address of a host, by IP.", multiple=True
        )
    ]
    options: ClassVar[list[option.Option]] = [
        helpers.option(
            "timeout-ms",
            None,
            "Longest wait for a host (default 2000).",
            flag=False,
            default="2000",
        )
    ]

    def handle(self) -> int:
        """Query all hosts and print the comparison.

        Raises:
            errors.SettingsError: An argument cannot be used.
        """
        addresses = [_parse_address(url) for url in self.argument("admin_url")]
        timeout_ms = self.option("timeout-ms")
        if not timeout_ms.isdecimal() or not 1 <= int(timeout_ms) <= 600_000:
            raise errors.SettingsError(
                "--timeout-ms must be a number from 1 to 600000"
            )
        result_by_address = asyncio.run(
            _fetch_all(addresses, int(timeout_ms) / 1000)
        )
        hosts = [
            a for a in result_by_address.values() if isinstance(a, HostStatus)
        ]
        self._print_hosts(result_by_address, _newest(hosts))
        hosts_agree = self._print_agreement(hosts)
        if len(hosts) < len(result_by_address):
            return base.ExitStatus.UNUSABLE
        return base.ExitStatus.OK if hosts_agree else base.ExitStatus.NEGATIVE

    def _print_hosts(
        self, result_by_address: dict[str, HostStatus | str], newest: int
    ) -> None:
        rows = [
            [
                "HOST",
                "ENTRY",
                "STATE",
                "REVISION",
                "DIGEST",
                "NEWEST SEEN",
                "AGE",
                "LAGGING",
                "REFUSING",
            ]
        ]
        notes = []
        queried = {
            a.entry_id
            for a in result_by_address.values()
            if not isinstance(a, str)
        }
        row_by_peer: dict[str, list[str]] = {}
        for address, result in result_by_address.items():
            if isinstance(result, str):
                rows.append([address, "-", "no answer"] + ["-"] * 6)
                notes.append(f"{address}: {result}")
                continue
            configuration = result.configuration
            rejections = _current_rejections(configuration)
            rows.append(
                [
                    address,
                    result.entry_id,
                    result.state or "-",
                    _format_revision(configuration.revision)
                    + (" unconfirmed" if configuration.unconfirmed else ""),
                    _shorten_digest(configuration.digest),
                    _format_revision(configuration.newest_seen),
                    "-"
                    if configuration.age_s is None
                    else f"{configuration.age_s:.0f} s",
                    "yes" if (configuration.revision or 0) < newest else "no",
                    "yes" if rejections else "no",
                ]
            )
            notes += [
                f"{address} ({result.entry_id}) refuses revision "
                f"{rejection.revision}: {'; '.join(rejection.problems) or '-'}"
                for rejection in rejections[:_MAX_SHOWN_REJECTIONS]
            ]
            for peer in result.peers:
                # The view of a host with a live link to the peer is the newest.
                if peer.entry_id not in queried and (
                    peer.reachable or peer.entry_id not in row_by_peer
                ):
                    state = "reachable" if peer.reachable else "unreachable"
                    row_by_peer[peer.entry_id] = [
                        f"(seen by {result.entry_id})",
                        peer.entry_id,
                        state,
                        _format_revision(peer.revision),
                        _shorten_digest(peer.digest),
                        "-",
                        "-",
                        "yes" if (peer.revision or 0) < newest else "no",
                        "-",
                    ]
        self.print_columns(rows + list(row_by_peer.values()))
        for note in notes:
            self.print(note)

    def _print_agreement(self, hosts: list[HostStatus]) -> bool:
        """Print whether the hosts agree and return the result."""
        if not hosts:
            return False
        newest = _newest(hosts)
        versions = _versions(hosts)
        revisions = sorted({revision for revision, _ in versions})
        if newest == 0:
            self.print("No host has a configuration.")
            return False
        if len(revisions) < len(versions):
            self.print("Hosts have different content under one revision.")
        if any(_current_rejections(host.configuration) for host in hosts):
            self.print("A revision is refused; the reasons are above.")
        elif revisions == [newest] and len(versions) == 1:
            self.print(f"All hosts have revision {newest}.")
            return True
        in_force = ", ".join(map(str, revisions))
        self.print(f"Revisions in force: {in_force}; newest seen: {newest}.")
        return False


def _parse_address(url: str) -> str:
    try:
        parts = urllib.parse.urlsplit(url if "://" in url else f"http://{url}")
        if parts.scheme != "http" or parts.path not in ("", "/"):
            raise ValueError(f"{url!r} is not http://IP:port or IP:port")
        return addresses.join_address(*addresses.split_address(parts.netloc))
    except ValueError as error:
        raise errors.SettingsError(f"ADMIN_URL {error}") from None


async def _fetch_all(
    addresses: list[str], timeout_s: float
) -> dict[str, HostStatus | str]:
    """Return the status or the reason why there is none, by address."""
    import aiohttp

    async def fetch(address: str) -> HostStatus | str:
        url = f"http://{address}/status"
        try:
            async with session.get(url, allow_redirects=False) as response:
                if response.status != 200:
                    return f"responded with HTTP status {response.status}"
                body = bytearray()
                async for chunk in response.content.iter_chunked(1 << 16):
                    body += chunk
                    if len(body) > _MAX_STATUS_BYTES:
                        return "the response is too long"
                return HostStatus.model_validate_json(bytes(body))
        except TimeoutError:
            return f"no answer within {timeout_s:g} s"
        except (aiohttp.ClientError, OSError) as error:
            reason = getattr(error, "strerror", None) or str(error)
            return reason or type(error).__name__
        except ValueError:
            return "the response is not a status of slatechute"

    timeout = aiohttp.ClientTimeout(total=timeout_s)
    async with aiohttp.ClientSession(timeout=timeout) as session:
        results = await asyncio.gather(*map(fetch, addresses))
    return dict(zip(addresses, results, strict=True))


def _newest(hosts: list[HostStatus]) -> int:
    revisions = [0]
    for host in hosts:
        configuration = host.configuration
        revisions += [
            configuration.revision or 0,
            configuration.newest_seen or 0,
        ]
        revisions += [rejection.revision for rejection in configuration.refused]
        revisions += [peer.revision or 0 for peer in host.peers]
    return max(revisions)


def _versions(hosts: list[HostStatus]) -> set[tuple[int, str]]:
    """Return the active revisions and digests of hosts and live peers."""
    queried = {host.entry_id for host in hosts}
    statuses: list[ConfigurationStatus | PeerStatus] = []
    for host in hosts:
        statuses.append(host.configuration)
        statuses += [
            peer
            for peer in host.peers
            if peer.reachable and peer.entry_id not in queried
        ]
    return {
        (status.revision, status.digest or "") if status.revision else (0, "")
        for status in statuses
    }


def _current_rejections(configuration: ConfigurationStatus) -> list[Rejection]:
    """Return the rejections of revisions not yet replaced, newest first."""
    current = [
        r
        for r in configuration.refused
        if r.revision >= (configuration.revision or 0)
    ]
    return sorted(current, key=lambda rejection: -rejection.revision)


def _format_revision(value: int | None) -> str:
    return "-" if value is None else str(value)


def _shorten_digest(digest: str | None) -> str:
    return digest[:_SHOWN_DIGEST_LENGTH] if digest else "-"
