"""A request that crashes instances, while the entries are restarted in turn."""

import asyncio
import pathlib
import random
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins-2"))

import smallfleet  # noqa: E402

ZONES = ["scl-nunoa", "scl-quilicura"] * 3
SERVICE = "expediente"
POISON_PATH = "/case/7f3a"
# "The instance is back after some seconds."
DOWN_S = 2.0
MAX_RETRIES = 3
CONTACT_S = smallfleet.BOUNDS["contact_s"]
# An entry gets the request again once it has run for longer than `contact_s`.
IN_TOUCH_S = CONTACT_S + 0.5
# Time for the instances to come back.
PAUSE_S = DOWN_S + 0.5


class Instance(smallfleet.Instance):
    """An instance that one request crashes."""

    async def _work(self, path, headers, reader):
        await self.read_body(reader, headers)
        if path == POISON_PATH:
            await asyncio.sleep(0.05)
            self._fleet.crashes.append(self._fleet.record.now_s())
            self._fleet.tasks.add(asyncio.create_task(self.crash(DOWN_S)))
            await asyncio.sleep(60)
        await asyncio.sleep(self.work_s)


async def _send_bystanders(fleet) -> None:
    """Send ordinary requests that may run once at most."""
    while True:
        await asyncio.sleep(0.1)
        entry = random.choice(fleet.entries)
        if not fleet.is_open(entry):
            continue
        fleet.tasks.add(asyncio.create_task(_send_bystander(fleet, entry)))


async def _send_bystander(fleet, entry) -> None:
    try:
        connection = await fleet.connect(entry)
    except (OSError, TimeoutError):
        return
    answer = await fleet.ask(
        connection, "award", "POST", "/award/", 2.0, b"award"
    )
    connection[1].close()
    fleet.bystanders.append(answer)


async def _send_poison(fleet) -> None:
    """Let the request come again, at each machine in turn."""
    for entry in fleet.entries:
        connection = await fleet.connect(entry)
        # As the same caller: its ids are new, all else is the same.
        answer = await fleet.ask(connection, "poison", "GET", POISON_PATH, 1.5)
        connection[1].close()
        fleet.poison_by_id[answer.request_id] = (entry, entry.started_s)
        await asyncio.sleep(0.5)


async def check(fleet, is_disrupted: bool) -> bool:
    """Return whether the rule held."""
    fleet.crashes, fleet.tasks, fleet.bystanders = [], set(), []
    fleet.poison_by_id = {}
    stopping = set()
    fleet.is_open = lambda entry: entry not in stopping
    for number in range(10):
        instance = Instance(fleet, f"i-{number}", SERVICE, ZONES[number % 2])
        instance.work_s = 0.25
        fleet.instances.append(instance)
        await instance.start()
    fleet.publish(
        [
            {
                "prefix": "/case/",
                "kind": "safe",
                "service": SERVICE,
                "timeout_s": 1.5,
            },
            {
                "prefix": "/award/",
                "kind": "unsafe",
                "service": SERVICE,
                "timeout_s": 2.0,
            },
        ]
    )
    await fleet.start_entries()
    await asyncio.sleep(IN_TOUCH_S)
    bystanders = asyncio.create_task(_send_bystanders(fleet))
    await _send_poison(fleet)
    for entry in fleet.entries:
        await asyncio.sleep(PAUSE_S)
        if is_disrupted:
            stopping.add(entry)
            await entry.stop()
            entry.start()
            await entry.wait_ready()
            stopping.discard(entry)
        await asyncio.sleep(IN_TOUCH_S)
        await _send_poison(fleet)
    bystanders.cancel()
    await asyncio.sleep(1.0)
    return _judge(fleet)


def _judge(fleet) -> bool:
    runs = sorted(
        (run.started_s, run.request_id)
        for instance in fleet.instances
        for run in instance.runs
        if run.path == POISON_PATH
    )
    third_s = sorted(fleet.crashes)[2] if len(fleet.crashes) > 2 else None
    retries = 0
    for started_s, request_id in runs:
        entry, entry_started_s = fleet.poison_by_id[request_id]
        if third_s is None or started_s <= third_s + CONTACT_S:
            continue
        if started_s - entry_started_s > CONTACT_S:
            retries += 1
            fleet.record.add(
                "counted", request=request_id, entry=entry.name, at=started_s
            )
    lost = sum(
        not answer.is_served and answer.status in (0, 502, 504)
        for answer in fleet.bystanders
    )
    fleet.record.add(
        "result",
        crashes=len(fleet.crashes),
        third_crash_s=third_s,
        counted_retries=retries,
        allowed=MAX_RETRIES,
        others=len(fleet.bystanders),
        others_lost=lost,
    )
    return retries <= MAX_RETRIES


smallfleet.main(FOLDER, check, ZONES)
