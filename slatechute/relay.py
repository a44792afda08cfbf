"""Address answers for services whose entry group this entry is not in.

Only entries of the group know its live dispatchers and the boot ids that
request ids start with, so the question is passed on to one of them.
"""

from collections.abc import Iterable

import aiohttp
import pydantic

from slatechute import logs
from slatechute.util import clock as clocks

__all__ = ["RELAYED_HEADER", "AddressRelay"]

# Marks a question that was passed on, so that entries with different lists do
# not pass it to and fro.
RELAYED_HEADER = "Slatechute-Relayed"
# Callers ask again after `keep_ms`; this bounds the questions of many callers.
CACHE_TTL_MS = 1000.0
_TIMEOUT_S = 0.3
_MAX_ASKED = 3
_MAX_ANSWER_BYTES = 64 * 1024

_LOG = logs.get_logger(__name__)


class _Address(pydantic.BaseModel):
    address: str = pydantic.Field(max_length=255)
    id_prefix: str = pydantic.Field(max_length=255)


class _Answer(pydantic.BaseModel):
    entries: list[_Address] = pydantic.Field(min_length=1, max_length=64)


class AddressRelay:
    """Asks entries of a group for addresses and keeps the answers briefly."""

    def __init__(self, clock: clocks.Clock):
        self._clock = clock
        self._kept_by_service: dict[str, tuple[float, list]] = {}

    async def fetch(
        self,
        session: aiohttp.ClientSession,
        service: str,
        members: Iterable[str],
    ) -> list[dict[str, str]] | None:
        """Return addresses with id prefixes.

        Args:
            session: Session for the questions.
            service: A configured service.
            members: Callers' addresses of the entries of its group, best first.

        Returns:
            The answer, or None when no member gives one.
        """
        now_ms = self._clock.now_ms()
        until_ms, kept = self._kept_by_service.get(service, (0.0, []))
        if now_ms < until_ms:
            return kept
        for address in list(members)[:_MAX_ASKED]:
            try:
                found = await _ask_one(session, address, service)
            except (aiohttp.ClientError, OSError, ValueError) as error:
                _LOG.info("relay_failed", peer=address, error=repr(error))
                continue
            self._kept_by_service[service] = (now_ms + CACHE_TTL_MS, found)
            return found
        return None


async def _ask_one(
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
        body = await response.content.read(_MAX_ANSWER_BYTES)
    answer = _Answer.model_validate_json(body)
    return [item.model_dump() for item in answer.entries]
