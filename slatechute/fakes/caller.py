"""Fake caller that fetches entry addresses, sends load and checks responses."""

import asyncio
import collections
import dataclasses
import random
import secrets
import time

import aiohttp
from hdrh import histogram
import xxhash

from slatechute.fakes import target

__all__ = ["CallerSettings", "FakeCaller", "RequestResult", "RunResult"]

# Added to the deadline of a request, so that a refusal that the entry sends at
# the deadline still arrives. Also the timeout of `GET /entries`.
_GRACE_S = 1.0
_MAX_LATENCY_US = 60_000_000


@dataclasses.dataclass(frozen=True, slots=True)
class CallerSettings:
    """Load that a caller sends.

    Attributes:
        entries: Initial addresses (host and port) of entries.
        service: Name of the requested service.
        method: HTTP method.
        path: Path, with query.
        body: Request body.
        headers: Additional request headers.
        deadline_ms: Value of the deadline header; None sends no header.
        resends: Maximum number of retries of a request without a response:
            after a failed connect with a new id to another entry, otherwise
            with the same id to the same entry.
        unique_paths: Whether each request gets a unique query string, so that
            crashes are not attributed to the same request.
        seed: Seed of the arrival times and of the choice of entries.
    """

    entries: list[str]
    service: str
    method: str = "GET"
    path: str = "/"
    body: bytes = b""
    headers: dict[str, str] = dataclasses.field(default_factory=dict)
    deadline_ms: int | None = 2000
    resends: int = 0
    unique_paths: bool = False
    seed: int = 0


@dataclasses.dataclass(slots=True)
class RequestResult:
    """Result of one request.

    Attributes:
        request_id: Id that was sent; empty when no entry returned a prefix.
        outcome: `served`; `not-run` or `unknown` as stated by a refusal;
            `failed` for an error status from the target; `lost` when no
            complete response was received; `wrong` when the response does not
            match the request.
        detail: Reason of a refusal, or the kind of error.
        status: HTTP status, 0 without a response.
        headers: Response headers.
        latency_ms: Time since the scheduled send time.
        resent: Number of times it was sent again.
    """

    request_id: str
    outcome: str
    detail: str = ""
    status: int = 0
    headers: dict[str, str] = dataclasses.field(default_factory=dict)
    latency_ms: float = 0.0
    resent: int = 0


def _new_histogram() -> histogram.HdrHistogram:
    return histogram.HdrHistogram(1, _MAX_LATENCY_US, 3)


@dataclasses.dataclass(slots=True)
class RunResult:
    """Counters of a run.

    Attributes:
        served: Responses of targets that passed verification.
        refused: Refusals by reason and outcome.
        errors: All other results by outcome and detail.
        ids_by_outcome: Request ids by `RequestResult.outcome`.
        latencies_us: Latencies of served requests.
        refusal_latencies_us: Latencies of refused requests.
        resent: Number of resends.
        resent_ids: Ids of the requests that were sent again.
        duration_s: Duration of the run.
    """

    served: int = 0
    refused: collections.Counter[tuple[str, str]] = dataclasses.field(
        default_factory=collections.Counter
    )
    errors: collections.Counter[tuple[str, str]] = dataclasses.field(
        default_factory=collections.Counter
    )
    ids_by_outcome: dict[str, list[str]] = dataclasses.field(
        default_factory=lambda: collections.defaultdict(list)
    )
    latencies_us: histogram.HdrHistogram = dataclasses.field(
        default_factory=_new_histogram
    )
    refusal_latencies_us: histogram.HdrHistogram = dataclasses.field(
        default_factory=_new_histogram
    )
    resent: int = 0
    resent_ids: set[str] = dataclasses.field(default_factory=set)
    duration_s: float = 0.0

    def record(self, result: RequestResult) -> None:
        """Count the result of a request."""
        self.ids_by_outcome[result.outcome].append(result.request_id)
        self.resent += result.resent
        if result.resent:
            self.resent_ids.add(result.request_id)
        latency_us = min(max(1, int(result.latency_ms * 1000)), _MAX_LATENCY_US)
        if result.outcome == "served":
            self.served += 1
            self.latencies_us.record_value(latency_us)
        elif result.outcome in ("not-run", "unknown"):
            self.refused[result.detail, result.outcome] += 1
            self.refusal_latencies_us.record_value(latency_us)
        else:
            self.errors[result.outcome, result.detail] += 1


class FakeCaller:
    """Caller of one service, used as an asynchronous context manager.

    Attributes:
        settings: Load that it sends.
        address_requests: Number of `GET /entries` requests sent.
    """

    def __init__(self, settings: CallerSettings):
        self.settings = settings
        self.address_requests = 0
        self._random = random.Random(settings.seed)
        self._session: aiohttp.ClientSession | None = None
        self._entries: list[dict] = []
        self._entries_expire_s = 0.0
        self._refresh_lock = asyncio.Lock()
        self._sent_count = 0
        # Keeps ids unique among callers that received the same prefix.
        self._id_token = secrets.token_hex(4)

    async def __aenter__(self) -> "FakeCaller":
        self._session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0),
            middlewares=[_prevent_retry],
        )
        return self

    async def __aexit__(self, *_exc: object) -> None:
        await self._session.close()

    async def run(
        self, rate: float, count: int, *, result: RunResult | None = None
    ) -> RunResult:
        """Send `count` requests with Poisson arrivals at `rate`.

        The arrival times do not depend on the responses, and latencies count
        from the scheduled send time, so that slow responses do not hide
        queueing.

        Args:
            rate: Mean number of requests per second.
            count: Number of requests.
            result: Counters to update, which may be read during the run; new
                ones if None.
        """
        result = RunResult() if result is None else result
        start = due = time.monotonic()
        async with asyncio.TaskGroup() as group:
            for _ in range(count):
                due += self._random.expovariate(rate)
                await asyncio.sleep(max(0.0, due - time.monotonic()))
                group.create_task(self._send_and_record(due, result))
        result.duration_s = time.monotonic() - start
        return result

    async def _send_and_record(self, due: float, result: RunResult) -> None:
        result.record(await self.send(due=due))

    async def send(
        self,
        *,
        request_id: str | None = None,
        address: str | None = None,
        headers: dict[str, str] | None = None,
        due: float | None = None,
    ) -> RequestResult:
        """Send one request and return its result.

        Args:
            request_id: Id to use instead of a new one.
            address: Entry to use instead of a random one.
            headers: Headers in addition to those of the settings.
            due: Scheduled send time on the monotonic clock, in seconds, from
                which the latency counts.
        """
        due = time.monotonic() if due is None else due
        fixed = request_id is not None and address is not None
        chosen_id, chosen_address = request_id or "", address
        result = RequestResult("", "lost", "no_entries")
        for attempt in range(self.settings.resends + 1):
            if not fixed and result.detail in ("no_entries", "connect_failed"):
                entry = await self._choose_entry(address)
                if entry is None:
                    continue
                self._sent_count += 1
                suffix = f"{self._id_token}-{self._sent_count}"
                chosen_address = entry["address"]
                chosen_id = request_id or f"{entry['id_prefix']}.{suffix}"
            result = await self._exchange(
                chosen_address, chosen_id, headers or {}
            )
            result.resent = attempt
            if result.outcome != "lost":
                break
        result.latency_ms = (time.monotonic() - due) * 1000
        return result

    async def _choose_entry(self, address: str | None) -> dict | None:
        async with self._refresh_lock:
            if not self._entries or time.monotonic() >= self._entries_expire_s:
                await self._refresh_entries()
        candidates = [
            e for e in self._entries if address in (None, e["address"])
        ]
        return self._random.choice(candidates) if candidates else None

    async def _refresh_entries(self) -> None:
        known_addresses = [entry["address"] for entry in self._entries]
        addresses = sorted({*known_addresses, *self.settings.entries})
        self._random.shuffle(addresses)
        params = {"service": self.settings.service}
        timeout = aiohttp.ClientTimeout(total=_GRACE_S)
        for address in addresses:
            self.address_requests += 1
            try:
                async with self._session.get(
                    f"http://{address}/entries", params=params, timeout=timeout
                ) as response:
                    response.raise_for_status()
                    content = await response.json()
            except (aiohttp.ClientError, OSError):
                continue
            if content["entries"]:
                self._entries = content["entries"]
                ttl_s = content["keep_ms"] / 1000
                self._entries_expire_s = time.monotonic() + ttl_s
                return
        # No entry responded: the next request tries the same addresses again.

    async def _exchange(
        self, address: str, request_id: str, extra_headers: dict[str, str]
    ) -> RequestResult:
        settings = self.settings
        headers = {
            "Slatechute-Service": settings.service,
            "Slatechute-Request-Id": request_id,
        }
        path = settings.path
        if settings.unique_paths:
            path += f"?n={self._id_token}-{self._sent_count}"
        total_s = None
        if settings.deadline_ms is not None:
            headers["Slatechute-Deadline-Ms"] = str(settings.deadline_ms)
            total_s = settings.deadline_ms / 1000 + _GRACE_S
        try:
            async with self._session.request(
                settings.method,
                f"http://{address}{path}",
                data=settings.body or None,
                headers=headers | settings.headers | extra_headers,
                timeout=aiohttp.ClientTimeout(total=total_s),
                allow_redirects=False,
            ) as response:
                body = await response.read()
        except TimeoutError:
            return RequestResult(request_id, "lost", "timeout")
        except aiohttp.ClientConnectorError:
            self._entries = [
                e for e in self._entries if e["address"] != address
            ]
            return RequestResult(request_id, "lost", "connect_failed")
        except aiohttp.ClientError:
            return RequestResult(request_id, "lost", "connection_lost")
        received = dict(response.headers)
        outcome, detail = self._classify_response(request_id, response, body)
        return RequestResult(
            request_id, outcome, detail, response.status, received
        )

    def _classify_response(
        self, request_id: str, response: aiohttp.ClientResponse, body: bytes
    ) -> tuple[str, str]:
        headers = response.headers
        if "Slatechute-Reason" in headers:
            outcome = headers.get("Slatechute-Outcome", "")
            if outcome not in ("not-run", "unknown"):
                return "wrong", "refusal_without_outcome"
            return outcome, headers["Slatechute-Reason"]
        if headers.get("Slatechute-Request-Id") != request_id:
            return "wrong", "request_id"
        if response.status != 200:
            return "failed", str(response.status)
        sent_digest = xxhash.xxh3_128_hexdigest(self.settings.body)
        if headers.get(target.REQUEST_DIGEST_HEADER) != sent_digest:
            return "wrong", "request_body"
        if self.settings.method == "HEAD":
            return "served", ""
        digest = xxhash.xxh3_128_hexdigest(body)
        expected_body = b"".join(target.response_chunks(request_id, len(body)))
        if headers.get(target.RESPONSE_DIGEST_HEADER) != digest:
            return "wrong", "answer_digest"
        if body != expected_body:
            return "wrong", "answer_body"
        return "served", ""


async def _prevent_retry(
    request: aiohttp.ClientRequest, handler: aiohttp.ClientHandlerType
) -> aiohttp.ClientResponse:
    """Prevent aiohttp from retrying a request on its own.

    aiohttp retries idempotent methods when a reused connection is lost, but
    only for certain exception types. These are replaced by their base class.
    """
    try:
        return await handler(request)
    except aiohttp.ClientConnectorError:
        raise
    except (aiohttp.ClientOSError, aiohttp.ServerDisconnectedError) as err:
        raise aiohttp.ClientConnectionError(str(err)) from err
