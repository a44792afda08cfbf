"""HTTP exchanges with targets over aiohttp."""

import asyncio
from collections.abc import AsyncIterator, Callable
import dataclasses
import weakref

import aiohttp
import yarl

from slatechute import errors
from slatechute import requests
from slatechute.util import headers as util_headers
from slatechute.util import sockets

__all__ = [
    "ExchangeError",
    "MisplacedResponseError",
    "OUTCOME_HEADER",
    "REQUEST_ID_HEADER",
    "TARGET_STATE_HEADER",
    "TargetClient",
    "TargetResponse",
]

OUTCOME_HEADER = "Slatechute-Outcome"
REQUEST_ID_HEADER = "Slatechute-Request-Id"
TARGET_STATE_HEADER = "Slatechute-Target-State"
# Responses up to this size are read completely before the caller receives the
# first byte, so that a repeatable request can be retried if one is truncated.
BUFFERED_RESPONSE_BYTES = 64 * 1024
CONNECT_TIMEOUT_S = 0.25
_CHUNK_BYTES = 64 * 1024
# A target may pass on the headers of a downstream refusal; with another status
# it has run the request itself.
_REFUSAL_STATUSES = frozenset({429, 503})
# Headers by which an entry refuses a request. Those of a target would speak for
# this entry.
_DROPPED_HEADERS = util_headers.HOP_BY_HOP | {
    "slatechute-outcome",
    "slatechute-reason",
    "slatechute-step",
    "slatechute-peer",
}
_LONG_KEEPALIVE_S = 15.0
# A request that must not run twice, and a retry, only use connections that have
# been idle for less than this: others may have become unresponsive meanwhile.
_SHORT_KEEPALIVE_S = 0.25
# Protocols of the connections that have carried an exchange.
_used_protocols: weakref.WeakSet[asyncio.Protocol] = weakref.WeakSet()


class ExchangeError(errors.SlatechuteError):
    """An exchange ended without a complete response.

    Attributes:
        step: Step at which the exchange ended.
        not_run: Whether the target certainly did not run the request.
    """

    def __init__(self, step: errors.Step, detail: str, *, not_run: bool):
        super().__init__(f"{step}: {detail}")
        self.step = step
        self.not_run = not_run


class MisplacedResponseError(ExchangeError):
    """A target has answered by the response to another request.

    Attributes:
        answered_id: Id in the response.
        status: HTTP status of the response.
    """

    def __init__(self, answered_id: str, status: int):
        detail = "the response is to another request"
        super().__init__(errors.Step.READING, detail, not_run=False)
        self.answered_id = answered_id
        self.status = status


@dataclasses.dataclass(slots=True, eq=False)
class TargetResponse:
    """Response of a target whose headers have arrived.

    Attributes:
        status: HTTP status.
        headers: End-to-end headers.
        body: Complete body, or None if it has to be streamed by `chunks`.
        not_run: Whether the target has certainly not run the request.
        leaving: Whether the target reports that it is leaving.
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
            ExchangeError: The body is truncated.
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
        """Close the connection if the body was not read completely.

        The connection of a completely read response is already back in the pool
        and stays there.
        """
        self._response.close()


class _Response(aiohttp.ClientResponse):
    """Response that is compared with the request for which it arrived.

    Attributes:
        not_run: Whether it proves that the target did not run the request.
    """

    not_run = False

    async def start(
        self, connection: aiohttp.connector.Connection
    ) -> aiohttp.ClientResponse:
        """Read the headers.

        Raises:
            MisplacedResponseError: The response names another request.
        """
        protocol = connection.protocol
        is_new = protocol not in _used_protocols
        _used_protocols.add(protocol)
        await super().start(connection)
        answered_id = self.headers.get(REQUEST_ID_HEADER, "")
        is_named = answered_id == self.request_info.headers[REQUEST_ID_HEADER]
        is_refusal = (
            self.status in _REFUSAL_STATUSES
            and self.headers.get(OUTCOME_HEADER) == errors.Outcome.NOT_RUN
        )
        if is_refusal or not is_named:
            # The target may write it once more. The same request may follow a
            # refusal, by a retry or resend, so that its id would not do.
            self._prevent_reuse(protocol)
        if answered_id and not is_named:
            raise MisplacedResponseError(answered_id, self.status)
        self.not_run = is_refusal and (is_named or is_new)
        return self

    def _prevent_reuse(
        self, protocol: aiohttp.client_proto.ResponseHandler
    ) -> None:
        """Close the connection at the end of the response."""
        if self.connection is None:
            # The response is complete, and the connection in the pool.
            protocol.close()
        else:
            protocol.force_close()


class _Connector(aiohttp.TCPConnector):
    """Opens connections, and reuses those on which nothing has arrived."""

    async def connect(
        self,
        req: aiohttp.ClientRequest,
        traces: list[aiohttp.tracing.Trace],
        timeout: aiohttp.ClientTimeout,
    ) -> aiohttp.connector.Connection:
        """Return an idle or a new connection."""
        while True:
            connection = await super().connect(req, traces, timeout)
            protocol = connection.protocol
            is_idle = not protocol.should_close
            if is_idle or protocol not in _used_protocols:
                return connection
            # Bytes that arrived after the last response would be taken for the
            # next one.
            connection.close()


async def _send_once(
    request: aiohttp.ClientRequest, handler: aiohttp.ClientHandlerType
) -> aiohttp.ClientResponse:
    """Prevent aiohttp from retrying a request.

    On the failure of a reused connection it retries methods that it considers
    idempotent. The configuration may define them as not repeatable, and the
    retry budget would not count such a retry.
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

    def __init__(self, connection_limit_of: Callable[[str], int]):
        """Create the client.

        Args:
            connection_limit_of: Returns how many connections this entry may
                hold to each target of a service.
        """
        self._connection_limit_of = connection_limit_of
        # Sessions by keepalive time and connection limit. Services with equal
        # limits, nearly always all of a deployment, share their pools.
        self._session_by_pool: dict[
            tuple[float, int], aiohttp.ClientSession
        ] = {}
        self._url_by_address: dict[str, yarl.URL] = {}

    async def stop(self) -> None:
        """Close all connections."""
        for session in self._session_by_pool.values():
            await session.close()

    def _session(
        self, service: str, keepalive_s: float
    ) -> aiohttp.ClientSession:
        # Each service uses two pools, one for each keepalive time, which share
        # the connection limit.
        limit = max(1, self._connection_limit_of(service) // 2)
        session = self._session_by_pool.get((keepalive_s, limit))
        if session is None:
            session = self._create_session(keepalive_s, limit)
            self._session_by_pool[keepalive_s, limit] = session
        return session

    def _create_session(
        self, keepalive_s: float, limit: int
    ) -> aiohttp.ClientSession:
        connector = _Connector(
            limit=0,
            limit_per_host=limit,
            keepalive_timeout=keepalive_s,
            use_dns_cache=False,
            socket_factory=sockets.keepalive_socket,
        )
        return aiohttp.ClientSession(
            connector=connector,
            auto_decompress=False,
            cookie_jar=aiohttp.DummyCookieJar(),
            timeout=aiohttp.ClientTimeout(
                total=None, sock_connect=CONNECT_TIMEOUT_S
            ),
            skip_auto_headers=("User-Agent", "Accept", "Accept-Encoding"),
            middlewares=(_send_once,),
            response_class=_Response,
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
        """Send a request and return its response once the headers arrived.

        Args:
            address: Host and port of the target.
            request: The request.
            remaining_ms: Time left until its deadline.
            is_first: Whether this is the first exchange of the request. Others
                use no connection that may be unresponsive, and their attempt
                header is increased, so that the target does not retry its
                downstream requests as well.

        Raises:
            ExchangeError: There was no response to the request, or a buffered
                one was truncated.
        """
        may_be_unresponsive = request.rule.repeatable and is_first
        keepalive_s = (
            _LONG_KEEPALIVE_S if may_be_unresponsive else _SHORT_KEEPALIVE_S
        )
        session = self._session(request.service, keepalive_s)
        headers = [
            *request.headers,
            (REQUEST_ID_HEADER, request.id),
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
        return await _read_response(response)


async def _read_response(response: _Response) -> TargetResponse:
    headers = response.headers
    length = response.content_length
    body = None
    if length is not None and length <= BUFFERED_RESPONSE_BYTES:
        body = await _read_body(response)
    return TargetResponse(
        response.status,
        [
            (k, v)
            for k, v in headers.items()
            if k.lower() not in _DROPPED_HEADERS
        ],
        body,
        response.not_run,
        headers.get(TARGET_STATE_HEADER) == "leaving",
        response,
    )


async def _read_body(response: aiohttp.ClientResponse) -> bytes:
    try:
        return await response.read()
    except (aiohttp.ClientError, OSError) as err:
        raise ExchangeError(
            errors.Step.READING, str(err), not_run=False
        ) from err
    except asyncio.CancelledError:
        response.close()
        raise
