"""An instance restarts at its address and repeats a 421 late."""

import asyncio
import pathlib

from standins import case
from standins import clients
from standins import deployment
from standins import instance
from standins import store

_ENTRIES = 5
_INSTANCES = 7
_ROUNDS = 9
_ROUND_S = 11.0
_DOWN_S = 2.0
_GARBLED_S = 5.0
_PER_S = 80.0
_WORK_S = 0.12


class _OneCopy:
    """Lets an instance send a second copy of its first 421."""

    def __init__(self, until_s: float):
        self._until_s = until_s
        self._copies = 0

    def __call__(self, status: int) -> bool:
        now_s = asyncio.get_running_loop().time()
        if status != 421 or self._copies or now_s > self._until_s:
            return False
        self._copies += 1
        return True


async def _trouble(
    context: case.Context, running: list[instance.Instance]
) -> None:
    """Crash one instance a round; it is back at its address, and garbles."""
    loop = asyncio.get_running_loop()
    victim = running.pop(0)
    for number in range(_ROUNDS):
        await asyncio.sleep(3.0)
        victim.crash()
        await asyncio.sleep(_DOWN_S)
        victim = victim.successor(f"i-back{number}")
        victim.sends_extra_copy = _OneCopy(loop.time() + _GARBLED_S)
        await victim.start()
        context.stack.callback(victim.stop)
        await asyncio.sleep(_ROUND_S - 3.0 - _DOWN_S)


async def check(context: case.Context) -> bool:
    """Return whether each request that isn't idempotent ran at most once."""
    history = context.history
    host = deployment.pick_host()
    platform = store.Store(host, deployment.free_port(host))
    await platform.start()
    context.stack.callback(platform.stop)
    rule = deployment.rule("kits.example", "/kits/", "kits", objective_s=0.4)
    platform.put("op/config", deployment.configuration([rule], ["kits"]))
    running = []
    for number in range(_INSTANCES):
        server = instance.Instance(
            platform,
            history,
            f"i-{number}",
            "kits",
            host,
            deployment.free_port(host),
            work_s=_WORK_S,
        )
        await server.start()
        context.stack.callback(server.stop)
        running.append(server)
    entries = deployment.start_entries(context, platform, _ENTRIES)
    for entry in entries:
        await entry.wait_ready()
    callers = clients.Clients(history, entries)
    context.stack.callback(callers.close)
    directory = asyncio.create_task(callers.follow_directory())
    context.stack.callback(directory.cancel)
    await asyncio.sleep(2.0)
    trouble = asyncio.create_task(
        _trouble(context, running) if context.is_troubled else asyncio.sleep(0)
    )
    await callers.run(
        _ROUNDS * _ROUND_S, _PER_S, host="kits.example", prefix="/kits/"
    )
    await trouble
    await callers.finish()
    twice = {
        request_id: ids
        for request_id, ids in history.runs_by_id.items()
        if len(ids) > 1
    }
    for request_id, ids in twice.items():
        answer = history.answer_by_id.get(request_id)
        history.write("ran_twice", request_id, *ids, "answer", answer)
    refused = [
        request_id
        for request_id in history.runs_by_id
        if history.answer_by_id.get(request_id) in (408, 421, 429, 503)
    ]
    for request_id in refused:
        history.write("ran_and_refused", request_id)
    history.write("result", f"ran twice: {len(twice)}", len(refused))
    print(f"ran twice: {len(twice)}; ran and refused: {len(refused)}")
    return not twice and not refused


if __name__ == "__main__":
    case.run(check, str(pathlib.Path(__file__).parent))
