"""Exchanges with targets through a peer, for an entry without a path to them.

The entry that the caller asked keeps all decisions: it chooses the target and
counts the attempts, the retry budget, the tokens of rate limits and the
requests in flight. The peer only carries out one exchange with that target, and
never passes a request on to a third entry.
"""

import asyncio
from collections.abc import Callable
import dataclasses
import enum
import random

from slatechute import errors
from slatechute import logs
from slatechute import messages
from slatechute import metrics
from slatechute.gateway import attribution
from slatechute.gateway import balancing
from slatechute.gateway import connections
from slatechute.gateway import dialects
from slatechute.gateway import evidence as evidences
from slatechute.gateway import http_server
from slatechute.gateway import loads
from slatechute.gateway import path_monitor
from slatechute.gateway import peers as peer_groups
from slatechute.gateway import settings as gateway_settings
from slatechute.util import clock as clocks

__all__ = ["RELAY_PATH", "RelayClient", "RelayError", "RelayServer", "Result"]

_LOG = logs.get_logger(__name__)

# Path of relayed exchanges at the control address of a peer.
RELAY_PATH = "/relay"
# Exchanges that an entry carries out for its peers at a time. Above it, its own
# callers would wait for them.
_MAX_RELAYED = 96
# A peer that failed to carry out an exchange is avoided for this long.
_AVOID_PEER_MS = 500.0
# Length of the frame in front of a body.
_LENGTH_BYTES = 4
# Estimated share of its processor time up to which a peer of the own data
# centre goes before those of others.
_MAX_LOCAL_BUSY = 0.7
# Responses of the peer's HTTP server to a request that it has not passed to the
# relay.
_NOT_RELAYED_STATUSES = frozenset({400, 408, 413, 431})
# Major type of a CBOR map, in the upper bits of its first byte.
_CBOR_MAP = 5


class Result(enum.StrEnum):
    """How a relayed exchange ended at the peer."""

    RESPONSE = "response"
    # The target may have received the request and has not answered.
    LOST = "lost"
    # The target accepted no connection.
    CONNECT_FAILED = "connect_failed"
    # The peer has no path to the target either.
    NO_PATH = "no_path"
    # The peer carries out no exchange with this target now.
    REFUSED = "refused"


class RelayError(Exception):
    """A relayed exchange ended without a response of the target.

    Attributes:
        result: How it ended at the peer, None if the peer has not said so.
        evidence: What it shows about whether the request has run.
        response_started: Whether a part of the response has arrived.
    """

    def __init__(
        self,
        detail: str,
        *,
        result: Result | None = None,
        evidence: evidences.Evidence,
        response_started: bool = False,
    ):
        super().__init__(detail)
        self.result = result
        self.evidence = evidence
        self.response_started = response_started

    @property
    def not_run(self) -> bool:
        """Whether the target certainly did not run the request."""
        return self.evidence.proves_not_run


@dataclasses.dataclass(frozen=True, slots=True)
class RelayedRequest:
    """A request that a peer sends to a target.

    Attributes:
        method: HTTP method.
        path: Path and query.
        headers: End-to-end headers, in order.
        body: Complete body.
        repeatable: Whether the request may run more than once.
        deadline_ms: Clock time by which the caller needs a response.
    """

    method: str
    path: str
    headers: list[tuple[str, str]]
    body: bytes
    repeatable: bool
    deadline_ms: float


def _join(message: messages.Message, body: bytes) -> bytes:
    """Return a frame with its length, followed by a body.

    >>> frame, body = _split(_join(messages.RelayResponse("lost"), b"x"))
    >>> frame.result, body
    ('lost', b'x')
    """
    frame = messages.encode(message)
    return len(frame).to_bytes(_LENGTH_BYTES, "big") + frame + body


def _split(content: bytes) -> tuple[messages.Message | None, bytes]:
    """Return the message and the body in the content of `_join`.

    Raises:
        errors.FrameError: The frame is malformed.
    """
    length = int.from_bytes(content[:_LENGTH_BYTES], "big")
    end = _LENGTH_BYTES + length
    frame = bytes(content[_LENGTH_BYTES:end])
    return messages.decode(frame), content[end:]


class RelayClient:
    """Lets peers carry out exchanges for this entry.

    Args:
        settings: Settings of the entry.
        clock: Monotonic clock.

    Attributes:
        group: Group of the peers, set before the first request.
    """

    def __init__(
        self, settings: gateway_settings.GatewaySettings, clock: clocks.Clock
    ):
        self.group: peer_groups.PeerGroup | None = None
        self._data_centre = settings.data_centre
        self._clock = clock
        self._pool = connections.ConnectionPool()
        self._in_flight_by_id: dict[str, int] = {}
        self._avoided_until_ms_by_id: dict[str, float] = {}

    def close(self) -> None:
        """Close the connections to the peers."""
        self._pool.close()

    def has_relay(self, service: str) -> bool:
        """Return whether a peer can send requests to a service."""
        return any(self._may_relay(peer, service) for peer in self._peers())

    def _peers(self) -> list[peer_groups.Peer]:
        return self.group.live_peers() if self.group else []

    def _may_relay(self, peer: peer_groups.Peer, service: str) -> bool:
        presence = peer.presence
        return (
            presence.state == peer_groups.READY
            and presence.services_without_path is not None
            and not path_monitor.is_without_path(
                presence.services_without_path, service
            )
        )

    def choose(self, service: str) -> peer_groups.Peer | None:
        """Return the peer that sends the next request to a service, if any.

        Peers of the own data centre go first, and of these the one with the
        most room.
        """
        now_ms = self._clock.now_ms()
        candidates = [
            peer for peer in self._peers() if self._may_relay(peer, service)
        ]
        avoided_until_ms = self._avoided_until_ms_by_id
        return min(
            candidates,
            key=lambda peer: (
                avoided_until_ms.get(peer.presence.entry_id, 0.0) > now_ms,
                not self.group.is_local(peer)
                or peer.presence.busy > _MAX_LOCAL_BUSY,
                self._crowding(peer.presence),
                random.random(),
            ),
            default=None,
        )

    def _crowding(self, presence: messages.Presence) -> float:
        in_flight = self._in_flight_by_id.get(presence.entry_id, 0)
        room = max(0.05, 1.0 - presence.busy) * presence.processor_share
        return (in_flight + 1) / max(0.01, room)

    async def exchange(
        self,
        peer: peer_groups.Peer,
        target: dialects.PublishedTarget,
        request: RelayedRequest,
    ) -> connections.TargetResponse:
        """Let a peer send a request to a target.

        Raises:
            RelayError: There is no response of the target.
        """
        entry_id = peer.presence.entry_id
        in_flight = self._in_flight_by_id
        in_flight[entry_id] = in_flight.get(entry_id, 0) + 1
        try:
            return await self._exchange(peer, target, request)
        except RelayError as error:
            if error.result not in (Result.LOST, Result.CONNECT_FAILED):
                self._avoided_until_ms_by_id[entry_id] = (
                    self._clock.now_ms() + _AVOID_PEER_MS
                )
            raise
        finally:
            in_flight[entry_id] -= 1
            if not in_flight[entry_id]:
                del in_flight[entry_id]

    async def _exchange(
        self,
        peer: peer_groups.Peer,
        target: dialects.PublishedTarget,
        request: RelayedRequest,
    ) -> connections.TargetResponse:
        address = peer.presence.control_address
        try:
            connection = await self._pool.acquire(
                address, repeatable=request.repeatable
            )
        except connections.ExchangeError as error:
            raise RelayError(str(error), evidence=error.evidence) from error
        message = messages.RelayRequest(
            target.id,
            target.incarnation,
            max(1.0, request.deadline_ms - self._clock.now_ms()),
            self._data_centre,
            request.repeatable,
            request.method,
            request.path,
            request.headers,
        )
        content = _join(message, request.body)
        headers = [("Host", address), ("Content-Length", str(len(content)))]
        try:
            response = await connection.exchange(
                "POST", RELAY_PATH, headers, content
            )
        except connections.ExchangeError as error:
            raise RelayError(str(error), evidence=error.evidence) from error
        finally:
            self._pool.release(address, connection)
        return _parse(response)


class RelayServer:
    """Carries out exchanges with targets for peers.

    Args:
        settings: Settings of the entry.
        dialect: Formats of targets.
        balancer: Has the targets.
        pool: Connections to targets.
        clock: Monotonic clock.
        paths: Beliefs about the paths of this entry.
        counters: Metrics of the entry.
        on_load_report: Called with the load of a target that it has reported.
        on_announcement: Called with the load of a target that has announced
            something new about itself.
        is_leaving: Returns whether this entry stops.

    Attributes:
        in_flight: Number of exchanges that are carried out now.
        exchanges: Number of exchanges since the start.
    """

    def __init__(
        self,
        settings: gateway_settings.GatewaySettings,
        dialect: dialects.Dialect,
        balancer: balancing.Balancer,
        pool: connections.ConnectionPool,
        clock: clocks.Clock,
        paths: path_monitor.PathMonitor,
        counters: metrics.Metrics,
        on_load_report: Callable[[loads.TargetLoad], None],
        on_announcement: Callable[[loads.TargetLoad], None],
        is_leaving: Callable[[], bool],
    ):
        self.in_flight = 0
        self.exchanges = 0
        self._settings = settings
        self._dialect = dialect
        self._balancer = balancer
        self._pool = pool
        self._clock = clock
        self._paths = paths
        self._attributor = attribution.ResponseAttributor(dialect, counters)
        self._on_load_report = on_load_report
        self._on_announcement = on_announcement
        self._is_leaving = is_leaving

    async def handle(
        self, http_request: http_server.Request
    ) -> http_server.Response:
        """Carry out the exchange that a request of a peer asks for."""
        try:
            message, body = _split(http_request.body)
        except errors.FrameError as error:
            _LOG.warning("relayed_request_refused", error=str(error))
            return http_server.Response(400)
        if not isinstance(message, messages.RelayRequest):
            return http_server.Response(400)
        elapsed_s = asyncio.get_running_loop().time() - http_request.started_s
        deadline_ms = (
            self._clock.now_ms() + message.remaining_ms - elapsed_s * 1000
        )
        self.exchanges += 1
        self.in_flight += 1
        try:
            response, content = await self._relay(message, body, deadline_ms)
        finally:
            self.in_flight -= 1
        return http_server.Response(200, _join(response, content))

    def _find_load(
        self, message: messages.RelayRequest
    ) -> loads.TargetLoad | None:
        """Return the load of the target, or None if it gets no request now."""
        load = self._balancer.load_by_id.get(message.target_id)
        if (
            load is None
            or load.is_evacuated
            or load.target.incarnation != message.incarnation
            or load.announced.paused_until_ms > self._clock.now_ms()
            or self._is_leaving()
            or self.in_flight > _MAX_RELAYED
        ):
            return None
        return load

    async def _relay(
        self, message: messages.RelayRequest, body: bytes, deadline_ms: float
    ) -> tuple[messages.RelayResponse, bytes]:
        load = self._find_load(message)
        if load is None:
            return messages.RelayResponse(Result.REFUSED), b""
        if load.path.is_lost:
            return messages.RelayResponse(Result.NO_PATH), b""
        # Requests of an entry of this data centre are in its load reports.
        is_counted = message.data_centre != self._settings.data_centre
        load.local_in_flight += is_counted
        try:
            if is_counted:
                self._on_load_report(load)
            async with asyncio.timeout(
                max(0.0, deadline_ms - self._clock.now_ms()) / 1000
            ):
                return await self._exchange(message, body, load, deadline_ms)
        except TimeoutError:
            return messages.RelayResponse(Result.LOST), b""
        finally:
            load.local_in_flight -= is_counted
            if is_counted:
                self._on_load_report(load)

    async def _exchange(
        self,
        message: messages.RelayRequest,
        body: bytes,
        load: loads.TargetLoad,
        deadline_ms: float,
    ) -> tuple[messages.RelayResponse, bytes]:
        address = load.target.address
        started_ms = self._clock.now_ms()
        request_id = self._request_id(message)
        try:
            if request_id:
                connection = await self._pool.acquire(
                    address, repeatable=message.repeatable
                )
            else:
                # Its response cannot be told from an earlier one.
                connection = await self._pool.open(address)
        except connections.ExchangeError:
            is_path_fault = self._paths.record_connect_failure(
                load, started_ms, self._clock.now_ms()
            )
            result = Result.NO_PATH if is_path_fault else Result.CONNECT_FAILED
            return messages.RelayResponse(result), b""
        is_new = not connection.exchanges
        left_ms = max(1.0, deadline_ms - self._clock.now_ms())
        headers = [
            *message.headers,
            *self._dialect.target_headers(load.target.id, left_ms),
        ]
        try:
            response = await connection.exchange(
                message.method,
                message.path,
                headers,
                body,
                self._attributor.of_request(
                    request_id, load.target.id, repeatable=message.repeatable
                ),
            )
        except connections.ExchangeError as error:
            result = Result.CONNECT_FAILED if error.not_run else Result.LOST
            return messages.RelayResponse(
                result, response_started=error.response_started
            ), b""
        finally:
            self._pool.release(address, connection)
            if load.is_evacuated:
                self._pool.close_idle(address)
        self._apply_response(load, response, is_new=is_new)
        return messages.RelayResponse(
            Result.RESPONSE, response.status, response.headers
        ), response.body

    def _request_id(self, message: messages.RelayRequest) -> str:
        return self._dialect.request_id(
            {name.lower(): value for name, value in message.headers}
        )

    def _apply_response(
        self,
        load: loads.TargetLoad,
        response: connections.TargetResponse,
        *,
        is_new: bool,
    ) -> None:
        """Update what this entry knows of the target.

        The result of the request itself only counts at the entry that has
        chosen the target.
        """
        now_ms = self._clock.now_ms()
        self._paths.record_response(load, now_ms, is_new=is_new)
        metadata = self._dialect.parse_response(
            response.status, response.header_by_name
        )
        if metadata.wrong_target:
            # A retry of the request at the new target of the address must not
            # get this refusal once more.
            self._pool.close_idle(load.target.address)
            return
        if metadata.load is not None and load.apply_report(
            metadata.load, now_ms
        ):
            self._on_load_report(load)
        if load.announced.observe(
            metadata.announcement, now_ms, is_conclusive=metadata.signed
        ):
            self._on_announcement(load)
            if load.announced.is_leaving:
                self._pool.close_idle(load.target.address)


def _is_view(content: bytes) -> bool:
    """Return whether a peer has answered with its view of published items.

    Builds without `RelayRequest` answer every request at their control address
    by the view, a CBOR map, and send nothing to a target. The content of
    `_join` begins with the length of a frame, whose first byte is 0.

    >>> _is_view(bytes.fromhex("a1656974656d7380"))  # {"items": []}
    True
    >>> _is_view(_join(messages.RelayResponse("lost"), b"")), _is_view(b"")
    (False, False)
    """
    return bool(content) and content[0] >> 5 == _CBOR_MAP


def _parse(response: connections.TargetResponse) -> connections.TargetResponse:
    """Return the response of the target that a peer has passed on.

    Raises:
        RelayError: The peer has passed on none.
    """
    not_sent = evidences.Evidence.NOT_SENT_BY_PEER
    unknown = evidences.Evidence.UNKNOWN
    if response.status in _NOT_RELAYED_STATUSES:
        raise RelayError(f"status {response.status}", evidence=not_sent)
    if _is_view(response.body):
        raise RelayError("the peer's build has no relay", evidence=not_sent)
    try:
        message, body = _split(response.body)
    except errors.FrameError as error:
        raise RelayError(str(error), evidence=unknown) from error
    if not isinstance(message, messages.RelayResponse):
        raise RelayError(f"status {response.status}", evidence=unknown)
    if message.result != Result.RESPONSE:
        try:
            result = Result(message.result)
        except ValueError:
            result = Result.LOST
        raise RelayError(
            result,
            result=result,
            evidence=unknown if result is Result.LOST else not_sent,
            response_started=message.response_started,
        )
    return connections.build_response(message.status, message.headers, body)
