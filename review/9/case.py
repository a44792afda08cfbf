"""The two readers of a zone are cut off from the store at the same time."""

import asyncio
import pathlib
import random
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins-2"))

import smallfleet  # noqa: E402

ZONES = ["inverness"] * 5
CUT_MACHINES = 2
CUT_S = 5.5
# Time from the cut until the operator writes the configuration.
CHANGE_AFTER_S = 0.1
OLD_SERVICE, NEW_SERVICE = "plans-desk", "kit-store"
DEADLINE_S = 0.8


class Cut:
    """The path of one machine to the store, which can be cut silently."""

    def __init__(self, store_address: str):
        self.address = ""
        self._store_address = store_address
        self._is_open = asyncio.Event()
        self._is_open.set()
        self._server: asyncio.Server | None = None

    async def start(self, host: str) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, host, 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"{host}:{port}"

    def begin(self) -> None:
        """Let nothing pass any more, in either direction."""
        self._is_open.clear()

    def end(self) -> None:
        """Let everything pass again."""
        self._is_open.set()

    async def _serve(self, reader, writer) -> None:
        host, _, port = self._store_address.rpartition(":")
        try:
            await self._is_open.wait()
            from_store, to_store = await asyncio.open_connection(
                host, int(port)
            )
            await asyncio.gather(
                self._pass(reader, to_store), self._pass(from_store, writer)
            )
        except (OSError, asyncio.CancelledError):
            writer.close()

    async def _pass(self, reader, writer) -> None:
        while data := await reader.read(2**16):
            await self._is_open.wait()
            writer.write(data)
        writer.close()


def _routes(service: str) -> list[dict[str, object]]:
    return [
        {
            "prefix": prefix,
            "kind": "safe",
            "service": name,
            "timeout_s": DEADLINE_S,
        }
        for prefix, name in (("/plan/", service), ("/kit/", NEW_SERVICE))
    ]


async def _ask_machine(fleet, entry, end_s: float, answers: list) -> None:
    """Send requests on the changed route to one machine."""
    connection = await fleet.connect(entry)
    while fleet.record.now_s() < end_s:
        answer = await fleet.ask(
            connection, "plan", "GET", "/plan/2f", DEADLINE_S
        )
        answers.append((entry, answer))
        await asyncio.sleep(0.05)
    connection[1].close()


async def check(fleet, is_disrupted: bool) -> bool:
    """Return whether the rule held."""
    cuts = []
    for entry in fleet.entries[:CUT_MACHINES]:
        cut = Cut(fleet.store.address)
        await cut.start(fleet.platform_host)
        entry.store_address = cut.address
        cuts.append(cut)
    for number in range(6):
        service = OLD_SERVICE if number < 3 else NEW_SERVICE
        instance = smallfleet.Instance(fleet, f"i-{number}", service, ZONES[0])
        instance.work_s = 0.02
        fleet.instances.append(instance)
        await instance.start()
    fleet.publish(_routes(OLD_SERVICE))
    await fleet.start_entries()
    # All machines and the store are in touch by then.
    wait_s = smallfleet.BOUNDS["contact_s"] + random.uniform(1.0, 4.0)
    await asyncio.sleep(wait_s)
    if is_disrupted:
        for cut in cuts:
            cut.begin()
        names = [entry.name for entry in fleet.entries[:CUT_MACHINES]]
        fleet.record.add("cut_off_from_store", entries=",".join(names))
    await asyncio.sleep(CHANGE_AFTER_S)
    fleet.publish(_routes(NEW_SERVICE))
    acknowledged_s = fleet.record.now_s()
    answers: list = []
    await asyncio.gather(
        *(
            _ask_machine(fleet, entry, acknowledged_s + CUT_S, answers)
            for entry in fleet.entries[CUT_MACHINES:]
        )
    )
    for cut in cuts:
        cut.end()
    return _judge(fleet, answers, acknowledged_s)


def _judge(fleet, answers, acknowledged_s: float) -> bool:
    service_by_id = {
        run.request_id: instance.service
        for instance in fleet.instances
        for run in instance.runs
    }
    limit_s = acknowledged_s + smallfleet.BOUNDS["config_apply_s"]
    late = 0
    last_by_entry = {entry.name: 0.0 for entry, _ in answers}
    for entry, answer in answers:
        if service_by_id.get(answer.request_id) != OLD_SERVICE:
            continue
        after_s = answer.sent_s - acknowledged_s
        last_by_entry[entry.name] = max(last_by_entry[entry.name], after_s)
        late += answer.sent_s > limit_s
    for name, after_s in last_by_entry.items():
        fleet.record.add("last_by_old_service", entry=name, after_s=after_s)
    fleet.record.add("result", requests=len(answers), late=late)
    return not late


smallfleet.main(FOLDER, check, ZONES)
