"""Random faults that overlap, over entries as processes.

Faults come from outside: signals to the entries, targets that crash, repeat
refusals or refuse, a store that is down or has odd entries, and callers that
leave. The record of callers and targets is checked at the end.
"""

import asyncio
from collections.abc import Awaitable, Callable
import contextlib
import pathlib
import random
import re
import signal
import time

from aiohttp import web

from tests.gateway import earlier_builds
from tests.gateway import mixed_fleet

_WAVE_S = 4.0
_MAX_FAULTS_PER_WAVE = 4
# Time after the last fault until the service has to be whole again: the longest
# bound of the users for a machine that was cut off or frozen, with a margin.
_CALM_S = 6.0
_CHECKED_CALM_S = 2.0
_MIN_SERVED_SHARE = 0.95
# In-flight requests end by their deadline; load reports follow each 0.5 s.
_IDLE_S = 2.5
_REPEATED_SHARE = 0.5
_ODD_VALUES = [
    {"address": "127.0.0.1:65536"},
    {"address": "127.0.0.256:1"},
    {"info": {"service": "shop", "zone": "z1", "slots": 10**400}},
    {"info": {"service": "shop" * 30_000, "zone": "z1", "slots": 2}},
    {"status": {"state": "ready", "seq": 10**30, "cold_left_s": 1e308}},
    {"status": []},
]


class FaultyTarget(mixed_fleet.Target):
    """A target that may refuse requests and repeat refusals late."""

    SLOTS = 2

    def __init__(self, *args, **fields):
        super().__init__(*args, **fields)
        self.refused_share = 0.0
        self._late_copy_by_transport: dict[object, bytes] = {}

    async def handle(self, request: web.BaseRequest) -> web.Response:
        """Run a request, perhaps after a copy of an earlier refusal."""
        transport = request.transport
        name = request.headers.get("X-Request-Id", "")
        copy = self._late_copy_by_transport.pop(transport, b"")
        if (
            copy
            and transport is not None
            and request.headers.get("X-Target-Instance") == self.id
        ):
            transport.write(copy)
        if name and self._is_hit(self.refused_share):
            response = web.Response(
                status=503,
                headers=self._headers(name) | {"X-Not-Executed": "1"},
            )
        else:
            response = await super().handle(request)
        if response.status in (421, 503) and self._is_hit(_REPEATED_SHARE):
            lines = [f"HTTP/1.1 {response.status} X", "Content-Length: 0"]
            lines += [f"{k}: {v}" for k, v in response.headers.items()]
            self._late_copy_by_transport[transport] = "\r\n".join(
                [*lines, "", ""]
            ).encode()
        return response


class _Switch:
    """Passes requests of one address on to the target that has it now."""

    def __init__(self, target: FaultyTarget):
        self.target: FaultyTarget | None = target

    async def handle(self, request: web.BaseRequest) -> web.Response:
        """Answer a request, or close the connection without a target."""
        if self.target is None:
            if request.transport is not None:
                request.transport.abort()
            return web.Response()
        return await self.target.handle(request)


class Soak:
    """One run with a seed.

    Args:
        folder: Folder for settings and logs.
        seed: Seed of the faults, the callers and the targets.
        waves: Number of times that new faults begin.
        build: Folder of the program of the entries.
    """

    def __init__(
        self,
        folder: pathlib.Path,
        seed: int,
        waves: int,
        build: pathlib.Path = earlier_builds.CURRENT,
    ):
        self.faults: list[str] = []
        self._waves = waves
        self._rng = random.Random(f"soak-{seed}")
        self._fleet = self._create_fleet(
            folder, {mixed_fleet.CURRENT_BUILD: build}, seed
        )
        self._switches: list[_Switch] = []
        self._busy_entries: set[str] = set()
        # Address, start and end of each stop by SIGTERM.
        self._planned_stops: list[tuple[str, float, float]] = []

    # Services whose requests are checked.
    SERVICES = ("shop",)

    async def run(self) -> None:
        """Play the run and check it.

        Raises:
            AssertionError: A check has failed.
        """
        async with self._fleet as fleet:
            await self._add_targets()
            fleet.publish_configuration()
            for entry in fleet.entries:
                fleet.start(entry, mixed_fleet.CURRENT_BUILD)
            for entry in fleet.entries:
                await fleet.wait_ready(entry)
            callers = self._add_callers()
            tasks = [asyncio.create_task(c.run()) for c in callers]
            await asyncio.sleep(1.0)
            await self._play_waves()
            self._end_faults()
            await asyncio.sleep(_CALM_S - _CHECKED_CALM_S)
            before = [len(caller.requests) for caller in callers]
            await asyncio.sleep(_CHECKED_CALM_S)
            fleet.is_over = True
            await asyncio.wait(tasks, timeout=_IDLE_S + _CALM_S)
            await asyncio.sleep(_IDLE_S)
            calm = [
                request
                for caller, start in zip(callers, before, strict=True)
                if not caller.leaving_share
                for request in caller.requests[start:]
                if request.tries
            ]
            await self._check(calm)

    def _create_fleet(
        self,
        folder: pathlib.Path,
        build_by_name: dict[str, pathlib.Path],
        seed: int,
    ) -> mixed_fleet.MixedFleet:
        return mixed_fleet.MixedFleet(folder, build_by_name, seed)

    async def _add_targets(self) -> None:
        for data_centre in ("z1", "z1", "z1", "z2", "z2"):
            await self._add_target(data_centre)

    def _add_callers(self) -> list[mixed_fleet.Caller]:
        return [
            self._fleet.add_caller(
                prefix, 0.05, is_sticky=sticky, leaving_share=share
            )
            for prefix in ("/once/", "/repeat/", "/once/")
            for sticky in (False, True, True)
            for share in (0.0, 0.0, 0.3)
        ]

    def _end_faults(self) -> None:
        """End what has to be over before the service has to be whole again."""

    def _choices(self) -> tuple[Callable[[], Awaitable[None]], ...]:
        """Return the faults, those that are more likely more often."""
        return (
            self._freeze,
            self._freeze,
            self._kill,
            self._stop,
            self._reload,
            self._restart_target,
            self._restart_target,
            self._restart_target,
            self._leave,
            self._leave,
            self._refuse,
            self._stop_store,
            self._write_odd_entry,
            self._change_configuration,
        )

    async def _play_waves(self) -> None:
        faults = self._choices()
        running: list[asyncio.Task] = []
        for _ in range(self._waves):
            count = self._rng.randint(1, _MAX_FAULTS_PER_WAVE)
            for fault in self._rng.choices(faults, k=count):
                delay_s = self._rng.uniform(0, _WAVE_S)
                running.append(asyncio.create_task(self._later(fault, delay_s)))
            await asyncio.sleep(_WAVE_S)
        await asyncio.gather(*running)

    async def _later(
        self, fault: Callable[[], Awaitable[None]], delay_s: float
    ) -> None:
        await asyncio.sleep(delay_s)
        self.faults.append(fault.__name__)
        await fault()

    @contextlib.contextmanager
    def _entry(self):
        """Yield an entry that no other fault concerns now, or None."""
        free = [
            entry
            for entry in self._fleet.entries
            if entry.id not in self._busy_entries
        ]
        # Most entries stay, as on the users' machines.
        if len(free) <= len(self._fleet.entries) // 2:
            yield None
            return
        entry = self._rng.choice(free)
        self._busy_entries.add(entry.id)
        try:
            yield entry
        finally:
            self._busy_entries.discard(entry.id)

    async def _freeze(self) -> None:
        with self._entry() as entry:
            if entry is not None:
                process = entry.run.process
                process.send_signal(signal.SIGSTOP)
                try:
                    await asyncio.sleep(self._rng.uniform(0.3, 3.5))
                finally:
                    process.send_signal(signal.SIGCONT)

    async def _kill(self) -> None:
        with self._entry() as entry:
            if entry is not None:
                entry.run.process.kill()
                entry.run.exit_status = await asyncio.to_thread(
                    entry.run.process.wait
                )
                await asyncio.sleep(self._rng.uniform(0.0, 1.0))
                self._fleet.start(entry, mixed_fleet.CURRENT_BUILD)
                await self._fleet.wait_ready(entry)

    async def _stop(self) -> None:
        with self._entry() as entry:
            if entry is not None:
                started_s = time.monotonic()
                await self._fleet.stop(entry)
                self._planned_stops.append(
                    (entry.callers, started_s, time.monotonic())
                )
                self._fleet.start(entry, mixed_fleet.CURRENT_BUILD)
                await self._fleet.wait_ready(entry)

    async def _reload(self) -> None:
        with self._entry() as entry:
            if entry is not None:
                for _ in range(3):
                    entry.run.process.send_signal(signal.SIGHUP)
                    await asyncio.sleep(0.1)

    async def _add_target(self, data_centre: str) -> None:
        target = self._new_target(data_centre)
        switch = _Switch(target)
        target.address = await self._fleet.serve(switch.handle)
        self._switches.append(switch)
        self._fleet.register(target)

    def _new_target(self, data_centre: str) -> FaultyTarget:
        fleet = self._fleet
        target_id = f"t{len(fleet.targets) + 1}"
        rng = random.Random(f"{fleet.seed}-{target_id}")
        target = FaultyTarget(target_id, "shop", data_centre, rng)
        fleet.targets.append(target)
        return target

    async def _restart_target(self) -> None:
        """Let a target crash, and its successor use the same address."""
        switch = self._rng.choice(self._switches[1:])
        previous = switch.target
        if previous is None:
            return
        switch.target = None
        await asyncio.sleep(self._rng.uniform(0.0, 1.5))
        target = self._new_target(previous.data_centre)
        target.address = previous.address
        switch.target = target
        self._fleet.register(target)
        await asyncio.sleep(self._rng.uniform(0.0, 2.0))
        self._fleet.store.put(f"servers/{previous.id}", None)

    async def _refuse(self) -> None:
        target = self._rng.choice(self._switches).target
        if target is not None:
            target.refused_share = 0.5
            await asyncio.sleep(self._rng.uniform(0.5, 2.0))
            target.refused_share = 0.0

    async def _stop_store(self) -> None:
        self._fleet.store.is_down = True
        await asyncio.sleep(self._rng.uniform(0.2, 2.5))
        self._fleet.store.is_down = False

    async def _write_odd_entry(self) -> None:
        registration = self._switches[0].target.registration()
        self._fleet.store.put(
            f"servers/odd{len(self.faults)}",
            registration | self._rng.choice(_ODD_VALUES),
        )

    async def _leave(self) -> None:
        """Let many callers leave at the same time."""
        burst = [
            self._fleet.add_caller("/once/", 0.01, leaving_share=0.9)
            for _ in range(30)
        ]
        tasks = [asyncio.create_task(caller.run()) for caller in burst]
        await asyncio.sleep(self._rng.uniform(0.2, 1.0))
        for task in tasks:
            task.cancel()
        await asyncio.wait(tasks)

    async def _change_configuration(self) -> None:
        self._fleet.publish_configuration()

    # Checks.

    async def _check(self, calm: list[mixed_fleet.CallerRequest]) -> None:
        runs = self._fleet.runs_by_try()
        requests = [
            request
            for service in self.SERVICES
            for request in self._fleet.requests(service)
        ]
        assert len(requests) > 100, "hardly any request was sent"
        twice = [
            (attempt.id, runs[attempt.id])
            for request in requests
            if not request.repeatable
            for attempt in request.tries
            if runs[attempt.id] > 1
        ]
        assert not twice, "ran twice"
        refused = [
            attempt.id
            for request in requests
            if not request.repeatable
            for attempt in request.tries
            if attempt.status in mixed_fleet.NOT_RUN_STATUSES
            and runs[attempt.id]
        ]
        assert not refused, "ran and was reported as not run"
        foreign = [
            name
            for caller in self._fleet.callers
            for name in caller.foreign_tries
        ]
        assert not foreign, "got the response to another request"
        cut = [
            attempt.id
            for caller in self._fleet.callers
            if not caller.leaving_share
            for request in caller.requests
            for attempt in request.tries
            if attempt.outcome is mixed_fleet.Outcome.BROKEN
            and runs[attempt.id]
            and self._is_within_stop(attempt)
        ]
        assert not cut, "ran and was cut by a planned stop"
        for run in self._fleet.runs:
            assert run.exit_status is not None or run.process.poll() is None, (
                f"{run.log_path.name} ended by itself"
            )
            faults = run.log_lines("unexpected_error", "slots_without_owner")
            assert not faults, run.log_path.name
        for entry in self._fleet.entries:
            values = await self._gauges(entry)
            assert values["slatechute_unowned_slots"] == 0, entry.id
            assert values["slatechute_requests_waiting"] == 0, entry.id
        served = sum(
            request.outcome is mixed_fleet.Outcome.SERVED for request in calm
        )
        assert served >= _MIN_SERVED_SHARE * len(calm), (served, len(calm))

    def _is_within_stop(self, attempt: mixed_fleet.Try) -> bool:
        return any(
            attempt.entry == address and start_s <= attempt.ended_s <= end_s
            for address, start_s, end_s in self._planned_stops
        )

    async def _gauges(self, entry: mixed_fleet.Entry) -> dict[str, float]:
        """Return the metrics without labels of an entry."""
        url = f"http://{entry.host}:{mixed_fleet.METRICS_PORT}/metrics"
        async with self._fleet.http.get(url) as response:
            text = await response.text()
        return {
            name: float(value)
            for name, value in re.findall(r"^(\w+) (\S+)$", text, re.MULTILINE)
        }
