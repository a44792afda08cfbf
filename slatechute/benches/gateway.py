"""CPU times and message sizes of a gateway entry, without a network.

Run it as `python -m slatechute.benches.gateway`. It prints one line of JSON per
result, with the number of targets or readings.
"""

import json
import time

from slatechute import messages
from slatechute.gateway import balancing
from slatechute.gateway import dialects
from slatechute.gateway import routing

__all__ = ["main"]

_MIN_DURATION_S = 0.3
_TARGET_COUNTS = (8, 21, 100)
_READING_COUNTS = (1, 10, 24)


def _mean_time_us(action) -> float:
    """Return the mean CPU time of an action in microseconds."""
    rounds = 0
    start_s = time.process_time()
    while time.process_time() - start_s < _MIN_DURATION_S:
        action()
        rounds += 1
    return (time.process_time() - start_s) / rounds * 1e6


def _build_report(count: int) -> messages.LoadReport:
    readings = [
        messages.TargetReading(f"i-{index:08x}", 1, 40, 2, 0, 6, 400)
        for index in range(count)
    ]
    return messages.LoadReport("edge-north-1", "boot-1", 7, readings)


def _build_balancer(count: int) -> balancing.Balancer:
    balancer = balancing.Balancer("dc1")
    for index in range(count):
        target = dialects.PublishedTarget(
            f"t{index}", 1, 1, "s", "10.0.0.1:1", "dc1", 6, False
        )
        balancer.add_target(target, 0.0)
        load = dialects.Load(0, 0, 6, 1.0)
        balancer.load_by_id[target.id].apply_report(load, 1.0)
    return balancer


def _choose_target(balancer: balancing.Balancer) -> None:
    part = (routing.ServicePart("s", 1.0),)
    route = routing.Route("h", "/", part, True)
    request = balancing.DispatchRequest(route, "s", 2.0, 252.0, 1502.0)
    exchange = balancer.try_start(request, 2.0)
    exchange.load.record_cancellation(exchange)


def main() -> None:
    """Run all measurements and print the results."""
    for count in _READING_COUNTS:
        report = _build_report(count)
        frame = messages.encode(report)
        result = {
            "what": "load report",
            "readings": count,
            "bytes": len(frame),
            "encode_us": round(
                _mean_time_us(lambda r=report: messages.encode(r))
            ),
            "decode_us": round(
                _mean_time_us(lambda f=frame: messages.decode(f))
            ),
        }
        print(json.dumps(result))
    for count in _TARGET_COUNTS:
        balancer = _build_balancer(count)
        result = {
            "what": "choice of a target",
            "targets": count,
            "us": round(_mean_time_us(lambda b=balancer: _choose_target(b))),
        }
        print(json.dumps(result))
    presence = messages.Presence(
        "edge-north-1",
        "edge-north-1-0e12e502",
        "north",
        "10.1.0.18:8381",
        "10.1.0.18:8382",
        7200,
        "ready",
        12,
        412,
        60_000.0,
    )
    size = len(messages.encode(presence))
    print(json.dumps({"what": "heartbeat", "bytes": size}))


if __name__ == "__main__":
    main()
