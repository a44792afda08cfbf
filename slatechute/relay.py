"""Relay address requests for services of other entry groups.

Only entries of the group know which of its dispatchers are alive and the boot
ids with which request ids start, so one of them is queried.
"""

from collections.abc import Iterable

import aiohttp
import pydantic

from slatechute import logs
from slatechute.util import clock as clocks

__all__ = ["RELAYED_HEADER", "AddressRelay"]

# Marks a relayed request, which is not relayed again. Entries with different
# lists would otherwise relay it back and forth.
RELAYED_HEADER = "Slatechute-Relayed"
# Callers repeat their request after `keep_ms`. The cache bounds the number of
# relayed requests of many callers.
CACHE_TTL_MS = 1000.0
_TIMEOUT_S = 0.3
_MAX_ATTEMPTS = 3
_MAX_RESPONSE_BYTES = 64 * 1024

_LOG = logs.get_logger(__name__)


class _Address(pydantic.BaseModel):
    address: str = pydantic.Field(max_length=255)
    id_prefix: str = pydantic.Field(max_length=255)


class _AddressResponse(pydantic.BaseModel):
    entries: list[_Address] = pydantic.Field(min_length=1, max_length=64)


class AddressRelay:
    """Fetches addresses from entries of a group and caches the responses."""

    def __init__(self, clock: clocks.Clock):
        self._clock = clock
        self._cached_by_service: dict[str, tuple[float, list]] = {}

    async def fetch(
        self,
        session: aiohttp.ClientSession,
        service: str,
        members: Iterable[str],
    ) -> list[dict[str, str]] | None:
        """Return addresses with id prefixes.

        Args:
            session: Session for the requests.
            service: A configured service.
            members: Callers' addresses of the entries of its group, in order of
                preference.

        Returns:
            The addresses, or None when no member returned any.
        """
        now_ms = self._clock.now_ms()
        expires_ms, cached = self._cached_by_service.get(service, (0.0, []))
        if now_ms < expires_ms:
            return cached
        for address in list(members)[:_MAX_ATTEMPTS]:
            try:
                addresses = await _fetch_from(session, address, service)
            except (aiohttp.ClientError, OSError, ValueError) as error:
                _LOG.info("relay_failed", peer=address, error=repr(error))
                continue
            self._cached_by_service[service] = (
                now_ms + CACHE_TTL_MS,
                addresses,
            )
            return addresses
        return None


async def _fetch_from(
    session: aiohttp.ClientSession, address: str, service: str
) -> list[dict[str, str]]:
    async with session.get(
        f"http://{address}/entries",
        params={"service": service},
        headers={RELAYED_HEADER: "1"},
        timeout=aiohttp.ClientTimeout(total=_TIMEOUT_S),
        allow_redirects=False,
    ) as response:
        response.raise_for_status()
        body = await response.content.read(_MAX_RESPONSE_BYTES)
    content = _AddressResponse.model_validate_json(body)
    return [item.model_dump() for item in content.entries]
