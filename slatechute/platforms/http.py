"""Reader of the platform service over HTTP."""

import aiohttp
import pydantic

from slatechute import errors
from slatechute.platforms import base

__all__ = ["HttpPlatform"]

# The platform responds in milliseconds; a slower response counts as a failure.
_CONNECT_TIMEOUT_S = 0.5
_RESPONSE_TIMEOUT_S = 2.0
# A value is at most 1 MB; JSON escapes can lengthen text up to six times.
_MAX_RESPONSE_BYTES = 6 * 1024 * 1024


class _DocumentResponse(pydantic.BaseModel):
    name: str
    revision: int = pydantic.Field(ge=0, strict=True)
    parts: dict[str, str]


class HttpPlatform:
    """Implementation of `base.Platform` over HTTP.

    Attributes:
        calls: Number of requests started; a watch counts once.
    """

    def __init__(self, base_url: str, session: aiohttp.ClientSession):
        self.calls = 0
        self._base_url = base_url.rstrip("/")
        self._session = session

    async def read(self, name: str) -> base.Document:
        """Return the current document.

        Raises:
            errors.PlatformError: The service is down or returns an error.
        """
        document = await self._get(name, {}, _RESPONSE_TIMEOUT_S)
        if document is None:
            raise errors.PlatformError(f"{name}: response has no document")
        return document

    async def watch(
        self, name: str, after: int, wait_s: float
    ) -> base.Document | None:
        """Wait for a document with a revision above `after`.

        Returns:
            The document, or None when nothing newer came within `wait_s`.

        Raises:
            errors.PlatformError: The service is down, or returns an error or a
                revision that is not above `after`.
        """
        params = {"after": str(after), "wait": f"{wait_s:g}"}
        document = await self._get(name, params, wait_s + _RESPONSE_TIMEOUT_S)
        # Such a response would make the watcher send requests in a tight loop.
        if document is not None and document.revision <= after:
            raise errors.PlatformError(
                f"{name}: revision {document.revision} is not above {after}"
            )
        return document

    async def _get(
        self, name: str, params: dict[str, str], total_s: float
    ) -> base.Document | None:
        self.calls += 1
        timeout = aiohttp.ClientTimeout(
            total=total_s, sock_connect=_CONNECT_TIMEOUT_S
        )
        url = f"{self._base_url}/v1/documents/{name}"
        try:
            async with self._session.get(
                url,
                params=params,
                timeout=timeout,
                allow_redirects=False,
                middlewares=(_disable_retries,),
            ) as response:
                if response.status == 204:
                    return None
                if response.status != 200:
                    raise errors.PlatformError(
                        f"{name}: status {response.status}"
                    )
                body = await _read_limited(response.content)
            content = _DocumentResponse.model_validate_json(body)
        except TimeoutError as err:
            raise errors.PlatformError(f"{name}: timeout") from err
        except (aiohttp.ClientError, OSError) as err:
            raise errors.PlatformError(f"{name}: {err!r}") from err
        except pydantic.ValidationError as err:
            raise errors.PlatformError(
                f"{name}: response is not a valid document"
            ) from err
        if content.name != name:
            raise errors.PlatformError(
                f"{name}: response is for {content.name!r}"
            )
        return base.Document(name, content.revision, content.parts)


async def _disable_retries(
    request: aiohttp.ClientRequest, handler: aiohttp.ClientHandlerType
) -> aiohttp.ClientResponse:
    """Disable the client's own retries after its connection was closed.

    These would bypass the backoff and `HttpPlatform.calls`.
    """
    try:
        return await handler(request)
    except (aiohttp.ClientOSError, aiohttp.ServerDisconnectedError) as err:
        raise errors.PlatformError(f"{request.url.path}: {err!r}") from err


async def _read_limited(content: aiohttp.StreamReader) -> bytes:
    body = bytearray()
    async for chunk in content.iter_any():
        body += chunk
        if len(body) > _MAX_RESPONSE_BYTES:
            raise errors.PlatformError("response is too large")
    return bytes(body)
