"""HTTP exchanges with targets over aiohttp."""

import asyncio
from collections.abc import AsyncIterator, Callable, Set
import dataclasses

import aiohttp
import multidict
import yarl

from slatechute import errors
from slatechute import requests
from slatechute.util import sockets

__all__ = [
    "TargetResponse",
    "ExchangeError",
    "HOP_BY_HOP",
    "OUTCOME_HEADER",
    "TARGET_STATE_HEADER",
    "TargetClient",
    "end_to_end_headers",
]

OUTCOME_HEADER = "Slatechute-Outcome"
TARGET_STATE_HEADER = "Slatechute-Target-State"
HOP_BY_HOP = frozenset(
    {
        "connection",
        "host",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)

# Answers up to this size are read whole before the caller gets the first
# byte, so a repeatable request can still be sent again when one is cut.
BUFFERED_ANSWER_BYTES = 64 * 1024
CONNECT_LIMIT_S = 0.25
_CHUNK_BYTES = 64 * 1024
# A target may pass on the headers of a refusal that it got itself from further
# down; with another status it has run the request.
_REFUSAL_STATUS = frozenset({429, 503})
_IDLE_REPEATABLE_S = 15.0
# A request that must not run twice only uses a connection that has answered
# this short a time ago: an older one may have gone silent meanwhile.
_IDLE_ONCE_S = 0.25


def end_to_end_headers(
    headers: multidict.CIMultiDictProxy[str], dropped: Set[str]
) -> list[tuple[str, str]]:
    """Return the headers that are passed on.

    Args:
        headers: Headers of a request.
        dropped: Names in lower case that are left out, beside those that the
            Connection header names.
    """
    named = headers.get("Connection")
    if named:
        dropped = dropped | {key.strip().lower() for key in named.split(",")}
    return [
        (key, value)
        for key, value in headers.items()
        if key.lower() not in dropped
    ]


class ExchangeError(errors.SlatechuteError):
    """An exchange ended without a whole answer.

    Attributes:
        step: Step at which it ended.
        not_run: Whether the target certainly did not run the request.
    """

    def __init__(self, step: errors.Step, detail: str, *, not_run: bool):
        super().__init__(f"{step}: {detail}")
        self.step = step
        self.not_run = not_run


@dataclasses.dataclass(slots=True, eq=False)
class TargetResponse:
    """An answer of a target whose headers have arrived.

    Attributes:
        status: HTTP status.
        headers: End-to-end headers.
        body: Whole body, or None when it has to be streamed by `chunks`.
        not_run: Whether the target says that it did not run the request.
        leaving: Whether the target says that it is leaving.
    """

    status: int
    headers: list[tuple[str, str]]
    body: bytes | None
    not_run: bool
    leaving: bool
    _response: aiohttp.ClientResponse

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yield the body as it arrives.

        Raises:
            ExchangeError: The body ended early.
        """
        try:
            async for chunk in self._response.content.iter_chunked(
                _CHUNK_BYTES
            ):
                yield chunk
        except (aiohttp.ClientError, OSError) as err:
            raise ExchangeError(
                errors.Step.READING, str(err), not_run=False
            ) from err

    def close(self) -> None:
        """Give up the rest; the connection is not used again.

        A connection whose answer was read to its end is already back in the
        pool and stays there.
        """
        self._response.close()


async def _send_once(
    request: aiohttp.ClientRequest, handler: aiohttp.ClientHandlerType
) -> aiohttp.ClientResponse:
    """Keep aiohttp from sending a request again by itself.

    It does so for methods it holds for idempotent when a kept connection
    fails; the configuration may say otherwise, and the retry budget would not
    see it.
    """
    try:
        return await handler(request)
    except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as e:
        detail = str(e)
        raise ExchangeError(errors.Step.CONNECTING, detail, not_run=True) from e
    except (aiohttp.ClientError, OSError) as e:
        raise ExchangeError(errors.Step.WRITTEN, str(e), not_run=False) from e


class TargetClient:
    """Connections of this entry to all targets."""

    def __init__(self, share_of: Callable[[str], int]):
        """Create the client.

        Args:
            share_of: Returns how many connections to each target of a service
                this entry may hold.
        """
        self._share_of = share_of
        # Pools by idle time and limit: services with the same share, nearly
        # always all of a deployment, have theirs in common.
        self._session_by_kind: dict[
            tuple[float, int], aiohttp.ClientSession
        ] = {}
        self._url_by_address: dict[str, yarl.URL] = {}

    async def stop(self) -> None:
        """Close all connections."""
        for session in self._session_by_kind.values():
            await session.close()

    def _session(self, service: str, idle_s: float) -> aiohttp.ClientSession:
        # Repeatable requests and others have pools of their own, which share
        # what this entry may hold.
        limit = max(1, self._share_of(service) // 2)
        session = self._session_by_kind.get((idle_s, limit))
        if session is None:
            session = self._new_session(idle_s, limit)
            self._session_by_kind[idle_s, limit] = session
        return session

    def _new_session(self, idle_s: float, limit: int) -> aiohttp.ClientSession:
        connector = aiohttp.TCPConnector(
            limit=0,
            limit_per_host=limit,
            keepalive_timeout=idle_s,
            use_dns_cache=False,
            socket_factory=sockets.keepalive_socket,
        )
        return aiohttp.ClientSession(
            connector=connector,
            auto_decompress=False,
            cookie_jar=aiohttp.DummyCookieJar(),
            timeout=aiohttp.ClientTimeout(
                total=None, sock_connect=CONNECT_LIMIT_S
            ),
            skip_auto_headers=("User-Agent", "Accept", "Accept-Encoding"),
            middlewares=(_send_once,),
        )

    def _url(self, address: str, path: str) -> yarl.URL:
        origin = self._url_by_address.get(address)
        if origin is None:
            origin = yarl.URL(f"http://{address}")
            self._url_by_address[address] = origin
        raw_path, _, query = path.partition("?")
        return yarl.URL.build(
            scheme="http",
            host=origin.host,
            port=origin.port,
            path=raw_path,
            query_string=query,
            encoded=True,
        )

    async def send(
        self,
        address: str,
        request: requests.Request,
        remaining_ms: float,
        *,
        is_first: bool = True,
    ) -> TargetResponse:
        """Send a request and return its answer once the headers are there.

        Args:
            address: Host and port of the target.
            request: The request.
            remaining_ms: Time left until its deadline.
            is_first: Whether this is the first exchange of the request. Others
                use no connection that may have gone silent, and tell the
                target, so that its own calls are not sent again as well.

        Raises:
            ExchangeError: There was no answer, or a short one was cut.
        """
        may_be_silent = request.rule.repeatable and is_first
        idle_s = _IDLE_REPEATABLE_S if may_be_silent else _IDLE_ONCE_S
        session = self._session(request.service, idle_s)
        headers = [
            *request.headers,
            ("Slatechute-Request-Id", request.id),
            ("Slatechute-Deadline-Ms", str(max(1, int(remaining_ms)))),
            ("Slatechute-Attempt", str(request.attempt + (not is_first))),
        ]
        response = await session.request(
            request.method,
            self._url(address, request.path),
            headers=headers,
            data=request.body or None,
            allow_redirects=False,
        )
        return await _answer(response)


async def _answer(response: aiohttp.ClientResponse) -> TargetResponse:
    headers = response.headers
    length = response.content_length
    body = None
    if length is not None and length <= BUFFERED_ANSWER_BYTES:
        body = await _read_whole(response)
    return TargetResponse(
        response.status,
        [(k, v) for k, v in headers.items() if k.lower() not in HOP_BY_HOP],
        body,
        response.status in _REFUSAL_STATUS
        and headers.get(OUTCOME_HEADER) == errors.Outcome.NOT_RUN,
        headers.get(TARGET_STATE_HEADER) == "leaving",
        response,
    )


async def _read_whole(response: aiohttp.ClientResponse) -> bytes:
    try:
        return await response.read()
    except (aiohttp.ClientError, OSError) as err:
        raise ExchangeError(
            errors.Step.READING, str(err), not_run=False
        ) from err
    except asyncio.CancelledError:
        response.close()
        raise
