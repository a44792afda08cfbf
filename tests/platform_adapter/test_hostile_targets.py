"""Random responses of faulty targets over real connections.

Each input that ever failed stays as an example.
"""

import asyncio
import os

import hypothesis
from hypothesis import strategies
import wire

from slatechute import errors
from slatechute import metrics
from slatechute.gateway import balancing
from slatechute.gateway import connections
from slatechute.gateway import forwarding
from slatechute.gateway import relaying
from slatechute.util import clock as clocks
from tests.gateway import builders
from tests.gateway import scripted_target

# Long runs by hand set more.
_EXAMPLES = int(os.environ.get("HOSTILE_EXAMPLES", "150"))
_DEADLINE_MS = 60.0
_REQUESTS = 4

_NUMBERS = strategies.sampled_from(
    ["0", "-1", "\xb2", "1e9", "9" * 400, "9" * 5_000, "", "1_0", "nan"]
) | strategies.integers(0, 10**10).map(str)
_LOADS = strategies.lists(_NUMBERS, max_size=5).map(",".join)
_ODD_HEADERS = strategies.dictionaries(
    strategies.sampled_from(
        [
            "Server-Limit",
            "Retry-After",
            "X-Cold-Ms",
            "Server-Leaving",
            "X-Instance-Id",
            "X-Not-Executed",
        ]
    ),
    _NUMBERS,
    max_size=3,
)
_STATUSES = strategies.sampled_from([200, 204, 400, 421, 429, 500, 503, 599])


@strategies.composite
def _responses(draw) -> tuple:
    """Return how one response is built from the request it is written for."""
    return (
        draw(strategies.sampled_from(["own", "earlier", "other", "none"])),
        draw(_STATUSES),
        draw(_ODD_HEADERS),
        draw(strategies.none() | _LOADS),
        draw(strategies.none() | _NUMBERS.map("timeout={}".format)),
        draw(strategies.sampled_from(["length", "chunked", "close"])),
        draw(strategies.none() | strategies.integers(0, 300)),
    )


def _encode(plan: tuple, name: str, earlier: str) -> bytes:
    """Return the bytes of a response, cut where the plan says so."""
    owner, status, odd, load, keep_alive, framing, cut = plan
    name_by_owner = {"own": name, "earlier": earlier, "other": "x", "none": ""}
    answered = name_by_owner[owner]
    body = (answered or "unnamed").encode() * 3
    lines = [f"HTTP/1.1 {status} X", "X-Response-Signature: s"]
    if answered:
        lines.append(f"X-Request-Id: {answered}")
    lines += [f"{key}: {value}" for key, value in odd.items()]
    if load is not None:
        lines.append(f"X-Server-Load: {load}")
    if keep_alive is not None:
        lines.append(f"Keep-Alive: {keep_alive}")
    if status == 204:
        body = b""
    elif framing == "length":
        lines.append(f"Content-Length: {len(body)}")
    elif framing == "chunked":
        lines.append("Transfer-Encoding: chunked")
        body = b"%x\r\n%b\r\n0\r\n\r\n" % (len(body), body)
    else:
        lines.append("Connection: close")
    data = "\r\n".join([*lines, "", ""]).encode("latin-1") + body
    return data[:cut]


class _HostileTarget:
    """Answers each request by the next plans."""

    def __init__(self, plans: list[list[tuple]], ends: list[bool]):
        self.ran: list[str] = []
        self._plans = iter(plans)
        self._ends = iter(ends)
        self.server = scripted_target.ScriptedTarget(self._respond)

    def _respond(self, request: bytes) -> bytes | None:
        name = scripted_target.header(request, "x-request-id")
        earlier = self.ran[-1] if self.ran else ""
        self.ran.append(name)
        self.server.closes_after_response = next(self._ends, True)
        data = b""
        for plan in next(self._plans, []):
            data += _encode(plan, name, earlier)
            if plan[5] == "close":
                # What follows a response without a length is part of its body.
                break
        return data


async def _check(plans: list[list[tuple]], ends: list[bool]) -> None:
    faults = []
    asyncio.get_running_loop().set_exception_handler(
        lambda loop, context: faults.append(context)
    )
    target = _HostileTarget(plans, ends)
    clock = clocks.MonotonicClock()
    balancer = balancing.Balancer("dc1")
    pool = connections.ConnectionPool()
    forwarder = forwarding.Forwarder(
        builders.gateway_settings(),
        wire.Wire(),
        balancer,
        pool,
        builders.paths(balancer),
        relaying.RelayClient(builders.gateway_settings(), clock),
        clock,
        metrics.Metrics(),
        lambda *crash: None,
        lambda load: None,
    )
    async with target.server:
        balancer.add_target(builders.target(address=target.server.address), 0.0)
        load = balancer.load_by_id["t1"]
        for number in range(_REQUESTS):
            load.paused_until_ms = load.announced.paused_until_ms = 0.0
            load.announced.adopt_rate_limit(None, clock.now_ms(), "test")
            now_ms = clock.now_ms()
            name = f"r{number}"
            request = forwarding.CallerRequest(
                name,
                "GET",
                "/a/x",
                [("Host", "h"), ("X-Request-Id", name)],
                b"",
                builders.route(repeatable=False),
                "s",
                now_ms,
                now_ms,
                now_ms + _DEADLINE_MS,
                now_ms + _DEADLINE_MS,
            )
            try:
                response = await forwarder.forward(request, forwarding.Trace())
            except errors.RequestError:
                continue
            answered = response.header_by_name.get("x-request-id", name)
            assert answered == name
            if response.status == 200 and "x-request-id" in (
                response.header_by_name
            ):
                assert response.body == name.encode() * 3
        assert load.local_in_flight == 0
        assert forwarder.unowned_slots() == 0
        pool.close()
    await asyncio.sleep(0)
    assert not faults


_LATE_REFUSAL = ("earlier", 421, {}, None, None, "length", None)
_OWN = ("own", 200, {}, None, None, "length", None)


@hypothesis.settings(
    derandomize=True,
    max_examples=_EXAMPLES,
    deadline=None,
    suppress_health_check=list(hypothesis.HealthCheck),
)
@hypothesis.given(
    plans=strategies.lists(
        strategies.lists(_responses(), max_size=3), max_size=_REQUESTS
    ),
    ends=strategies.lists(strategies.booleans(), max_size=_REQUESTS),
)
@hypothesis.example(
    plans=[[_OWN], [_LATE_REFUSAL, _OWN]], ends=[False, False, False]
)
@hypothesis.example(
    plans=[[("own", 200, {}, "9" * 400 + ",1,1", None, "length", None)]],
    ends=[False],
)
@hypothesis.example(
    plans=[[("own", 200, {}, None, "timeout=\xb2", "length", None)]],
    ends=[False],
)
def test_no_response_of_a_target_is_misread_or_holds_a_slot(plans, ends):
    """Callers got answers to other requests, 500s, or nothing any more."""
    asyncio.run(_check(plans, ends))
