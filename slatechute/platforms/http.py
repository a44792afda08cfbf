"""Reader of the platform service over HTTP."""

import aiohttp
import pydantic

from slatechute import errors
from slatechute.platforms import base

__all__ = ["HttpPlatform"]

# The platform responds in milliseconds; a slower connection is a fault.
_CONNECT_S = 0.5
_RESPONSE_S = 2.0
# A value is at most 1 MB; JSON escapes can lengthen text up to six times.
_MAX_ANSWER_BYTES = 6 * 1024 * 1024


class _Answer(pydantic.BaseModel):
    name: str
    revision: int = pydantic.Field(ge=0, strict=True)
    parts: dict[str, str]


class HttpPlatform:
    """Implementation of `base.Platform` over HTTP.

    Attributes:
        calls: Calls started; a pending watch is one call.
    """

    def __init__(self, base_url: str, session: aiohttp.ClientSession):
        self.calls = 0
        self._base_url = base_url.rstrip("/")
        self._session = session

    async def read(self, name: str) -> base.Document:
        """Return the current document.

        Raises:
            errors.PlatformError: The service is down or answers an error.
        """
        document = await self._get(name, {}, _RESPONSE_S)
        if document is None:
            raise errors.PlatformError(f"{name}: no document")
        return document

    async def watch(
        self, name: str, after: int, wait_s: float
    ) -> base.Document | None:
        """Wait for a document with a revision above `after`.

        Returns:
            The document, or None when nothing newer came within `wait_s`.

        Raises:
            errors.PlatformError: The service is down, answers an error or
                answers with a revision that is not above `after`.
        """
        params = {"after": str(after), "wait": f"{wait_s:g}"}
        document = await self._get(name, params, wait_s + _RESPONSE_S)
        # Without this check a watcher would ask again at once and for ever.
        if document is not None and document.revision <= after:
            raise errors.PlatformError(
                f"{name}: revision {document.revision} is not above {after}"
            )
        return document

    async def _get(
        self, name: str, params: dict[str, str], total_s: float
    ) -> base.Document | None:
        self.calls += 1
        timeout = aiohttp.ClientTimeout(total=total_s, sock_connect=_CONNECT_S)
        url = f"{self._base_url}/v1/documents/{name}"
        try:
            async with self._session.get(
                url,
                params=params,
                timeout=timeout,
                allow_redirects=False,
                middlewares=(_send_once,),
            ) as response:
                if response.status == 204:
                    return None
                if response.status != 200:
                    raise errors.PlatformError(
                        f"{name}: status {response.status}"
                    )
                body = await _read_limited(response.content)
            answer = _Answer.model_validate_json(body)
        except TimeoutError as err:
            raise errors.PlatformError(f"{name}: timeout") from err
        except (aiohttp.ClientError, OSError) as err:
            raise errors.PlatformError(f"{name}: {err!r}") from err
        except pydantic.ValidationError as err:
            raise errors.PlatformError(f"{name}: not a document") from err
        if answer.name != name:
            raise errors.PlatformError(f"{name}: answer is {answer.name!r}")
        return base.Document(name, answer.revision, answer.parts)


async def _send_once(
    request: aiohttp.ClientRequest, handler: aiohttp.ClientHandlerType
) -> aiohttp.ClientResponse:
    """Keep the client from repeating a call whose connection was closed.

    It would do so at once, past the backoff and the count of calls.
    """
    try:
        return await handler(request)
    except (aiohttp.ClientOSError, aiohttp.ServerDisconnectedError) as err:
        raise errors.PlatformError(f"{request.url.path}: {err!r}") from err


async def _read_limited(content: aiohttp.StreamReader) -> bytes:
    body = bytearray()
    async for chunk in content.iter_any():
        body += chunk
        if len(body) > _MAX_ANSWER_BYTES:
            raise errors.PlatformError("answer is too large")
    return bytes(body)
