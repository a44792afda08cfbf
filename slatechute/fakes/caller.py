"""Fake caller: asks for addresses, sends load and verifies the answers."""

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

# The caller outlasts its deadline, so that the entry's refusal arrives.
_GRACE_S = 1.0
_LONGEST_US = 60_000_000


@dataclasses.dataclass(frozen=True, slots=True)
class CallerSettings:
    """What a caller sends.

    Attributes:
        entries: Host and port of the entries that it knows at first.
        service: Service called.
        method: HTTP method.
        path: Path, with query.
        body: Request body.
        headers: Additional request headers.
        deadline_ms: Time limit sent along; None sends none.
        resends: Times that a request without an answer is sent again: after
            a failed connect with a new id to another entry, otherwise with
            the same id to the same entry.
        unique_paths: Whether each request gets a query of its own, so that
            crashes are not put down to the same request.
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
    """End of one request.

    Attributes:
        request_id: Id sent, empty when no entry gave a prefix.
        outcome: `served`; `not-run` or `unknown` as a refusal says; `failed`
            for other answers of the target; `lost` when no whole answer came;
            `wrong` when the answer is not the one to this request.
        detail: Reason of a refusal, or the kind of error.
        status: HTTP status, 0 without an answer.
        headers: Response headers.
        latency_ms: Time since the request was due.
        resent: Times that it was sent again.
    """

    request_id: str
    outcome: str
    detail: str = ""
    status: int = 0
    headers: dict[str, str] = dataclasses.field(default_factory=dict)
    latency_ms: float = 0.0
    resent: int = 0


def _new_histogram() -> histogram.HdrHistogram:
    return histogram.HdrHistogram(1, _LONGEST_US, 3)


@dataclasses.dataclass(slots=True)
class RunResult:
    """Answers of a run, counted.

    Attributes:
        served: Verified answers of targets.
        refused: Refusals by reason and outcome.
        errors: All other ends by outcome and detail.
        ids_by_outcome: Request ids by `Answer.outcome`.
        latencies_us: Latencies of served requests.
        refusal_latencies_us: Latencies of refused requests.
        resent: Requests sent again.
        resent_ids: Their ids.
        duration_s: Length of the run.
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

    def record(self, answer: RequestResult) -> None:
        """Count an answer."""
        self.ids_by_outcome[answer.outcome].append(answer.request_id)
        self.resent += answer.resent
        if answer.resent:
            self.resent_ids.add(answer.request_id)
        latency_us = min(max(1, int(answer.latency_ms * 1000)), _LONGEST_US)
        if answer.outcome == "served":
            self.served += 1
            self.latencies_us.record_value(latency_us)
        elif answer.outcome in ("not-run", "unknown"):
            self.refused[answer.detail, answer.outcome] += 1
            self.refusal_latencies_us.record_value(latency_us)
        else:
            self.errors[answer.outcome, answer.detail] += 1


class FakeCaller:
    """Caller of one service, used as an asynchronous context manager.

    Attributes:
        settings: What it sends.
        address_requests: `GET /entries` requests sent.
    """

    def __init__(self, settings: CallerSettings):
        self.settings = settings
        self.address_requests = 0
        self._random = random.Random(settings.seed)
        self._session: aiohttp.ClientSession | None = None
        self._known: list[dict] = []
        self._known_until = 0.0
        self._asking = asyncio.Lock()
        self._sent = 0
        # Two callers may be given the same prefix.
        self._token = secrets.token_hex(4)

    async def __aenter__(self) -> "FakeCaller":
        self._session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0), middlewares=[_send_once]
        )
        return self

    async def __aexit__(self, *_exc: object) -> None:
        await self._session.close()

    async def run(
        self, rate: float, count: int, *, result: RunResult | None = None
    ) -> RunResult:
        """Send `count` requests at Poisson times, `rate` a second on average.

        The times do not depend on the answers, and latencies count from the
        time a request was due, so a slow answer does not hide a queue.

        Args:
            rate: Requests a second.
            count: Number of requests.
            result: Counts into this object, which may be read meanwhile.
        """
        result = RunResult() if result is None else result
        start = due = time.monotonic()
        async with asyncio.TaskGroup() as group:
            for _ in range(count):
                due += self._random.expovariate(rate)
                await asyncio.sleep(max(0.0, due - time.monotonic()))
                group.create_task(self._send_and_add(due, result))
        result.duration_s = time.monotonic() - start
        return result

    async def _send_and_add(self, due: float, result: RunResult) -> None:
        result.record(await self.send(due=due))

    async def send(
        self,
        *,
        request_id: str | None = None,
        address: str | None = None,
        headers: dict[str, str] | None = None,
        due: float | None = None,
    ) -> RequestResult:
        """Send one request and return its end.

        Args:
            request_id: Id to use instead of a new one.
            address: Entry to use instead of a random one.
            headers: Headers in addition to those of the settings.
            due: Monotonic time, in seconds, that the latency counts from.
        """
        due = time.monotonic() if due is None else due
        fixed = request_id is not None and address is not None
        chosen_id, chosen = request_id or "", address
        answer = RequestResult("", "lost", "no_entries")
        for attempt in range(self.settings.resends + 1):
            if not fixed and answer.detail in ("no_entries", "connect_failed"):
                entry = await self._choose_entry(address)
                if entry is None:
                    continue
                self._sent += 1
                suffix = f"{self._token}-{self._sent}"
                chosen = entry["address"]
                chosen_id = request_id or f"{entry['id_prefix']}.{suffix}"
            answer = await self._exchange(chosen, chosen_id, headers or {})
            answer.resent = attempt
            if answer.outcome != "lost":
                break
        answer.latency_ms = (time.monotonic() - due) * 1000
        return answer

    async def _choose_entry(self, address: str | None) -> dict | None:
        async with self._asking:
            if not self._known or time.monotonic() >= self._known_until:
                await self._ask_addresses()
        known = [e for e in self._known if address in (None, e["address"])]
        return self._random.choice(known) if known else None

    async def _ask_addresses(self) -> None:
        known = [entry["address"] for entry in self._known]
        addresses = sorted({*known, *self.settings.entries})
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
                self._known = content["entries"]
                keep_s = content["keep_ms"] / 1000
                self._known_until = time.monotonic() + keep_s
                return
        # No entry answers: keep the addresses and ask again next time.

    async def _exchange(
        self, address: str, request_id: str, extra: dict[str, str]
    ) -> RequestResult:
        settings = self.settings
        headers = {
            "Slatechute-Service": settings.service,
            "Slatechute-Request-Id": request_id,
        }
        path = settings.path
        if settings.unique_paths:
            path += f"?n={self._token}-{self._sent}"
        total_s = None
        if settings.deadline_ms is not None:
            headers["Slatechute-Deadline-Ms"] = str(settings.deadline_ms)
            total_s = settings.deadline_ms / 1000 + _GRACE_S
        try:
            async with self._session.request(
                settings.method,
                f"http://{address}{path}",
                data=settings.body or None,
                headers=headers | settings.headers | extra,
                timeout=aiohttp.ClientTimeout(total=total_s),
                allow_redirects=False,
            ) as response:
                body = await response.read()
        except TimeoutError:
            return RequestResult(request_id, "lost", "timeout")
        except aiohttp.ClientConnectorError:
            self._known = [e for e in self._known if e["address"] != address]
            return RequestResult(request_id, "lost", "connect_failed")
        except aiohttp.ClientError:
            return RequestResult(request_id, "lost", "connection_lost")
        received = dict(response.headers)
        outcome, detail = self._judge(request_id, response, body)
        return RequestResult(
            request_id, outcome, detail, response.status, received
        )

    def _judge(
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
        pattern = b"".join(target.response_chunks(request_id, len(body)))
        if headers.get(target.RESPONSE_DIGEST_HEADER) != digest:
            return "wrong", "answer_digest"
        if body != pattern:
            return "wrong", "answer_body"
        return "served", ""


async def _send_once(
    request: aiohttp.ClientRequest, handler: aiohttp.ClientHandlerType
) -> aiohttp.ClientResponse:
    """Keep aiohttp from sending a request again by itself.

    It does so for idempotent methods when a reused connection is lost, unless
    the error is of another type than the ones it checks for.
    """
    try:
        return await handler(request)
    except aiohttp.ClientConnectorError:
        raise
    except (aiohttp.ClientOSError, aiohttp.ServerDisconnectedError) as err:
        raise aiohttp.ClientConnectionError(str(err)) from err
