"""The soak with late copies, lost paths, reused addresses and long requests.

Some targets accept no connections of some entries, so that exchanges go through
peers. Callers send bodies with a length or in chunks, some of them slowly, and
use an entry that stops until its process is gone.
"""

import asyncio
import collections
from collections.abc import Awaitable, Callable
import dataclasses
import enum
import json
import os
import pathlib
import random
import sys
import time

from tests.gateway import faulty_targets
from tests.gateway import mixed_fleet
from tests.gateway import soak

__all__ = ["Finding", "LateCopySoak"]

_PROGRAM = pathlib.Path(__file__).with_name("entry_on_host.py")
# Services of the addresses at the start. The first two are never taken over.
_SERVICES = ("shop", "orders", "shop", "shop", "shop", "orders", "shop", "shop")
_DATA_CENTRES = ("z1", "z2", "z1", "z1", "z2", "z1", "z2", "z1")
# Share of the addresses that an entry does not reach in the whole run.
_UNREACHED_SHARE = 0.2
_MAX_DEADLINE_S = 0.9
_MIN_DEADLINE_S = 0.3
_MAX_LONG_RUN_S = 0.6
_MAX_UPLOAD_S = 0.3
# Time after the end of a process until its callers have noticed it.
_NOTICED_S = 0.3
_DEADLINE_MARGIN_S = 0.05
_STOP_CALLERS = 12


class Body(enum.StrEnum):
    """How the body of a request is sent."""

    EMPTY = "no body"
    LENGTH = "length"
    CHUNKS = "chunks"


@dataclasses.dataclass(slots=True)
class _Sent:
    """A request as its caller has sent it.

    Attributes:
        body: How its body was sent.
        length: Length of the body in bytes.
        entry: Address of the entry.
        started_s: When its first byte was sent, on `time.monotonic`.
        deadline_s: Time that the caller gives it, in seconds.
    """

    body: Body
    length: int
    entry: str
    started_s: float
    deadline_s: float


class BodyCaller(mixed_fleet.Caller):
    """A caller that sends bodies, some of them long or slowly.

    Attributes:
        sent_by_id: What it has sent, by request id.
        fixed_address: Address of the only entry that it uses, if any.
        long_share: Share of its requests that run long.
        slow_share: Share of its bodies that are sent slowly.
    """

    def __init__(self, *args, **fields):
        super().__init__(*args, **fields)
        self.sent_by_id: dict[str, _Sent] = {}
        self.fixed_address = ""
        self.long_share = 0.02
        self.slow_share = 0.05
        self._upload: asyncio.Task | None = None

    @property
    def is_repeatable(self) -> bool:
        """Whether its requests may run more than once."""
        kind, _ = self._fleet.ROUTE_BY_PREFIX[self._prefix]
        return kind == "safe"

    async def _choose_address(self, failed: set[str]) -> str:
        if self.fixed_address:
            return self.fixed_address
        return await super()._choose_address(failed)

    async def _try(
        self, address: str, attempt_id: str
    ) -> tuple[mixed_fleet.Outcome, int]:
        try:
            return await super()._try(address, attempt_id)
        finally:
            if self._upload is not None and not self._upload.done():
                self._upload.cancel()
                self._disconnect()
            self._upload = None

    def _send(self, writer: asyncio.StreamWriter, attempt_id: str) -> None:
        rng = self._rng
        body = rng.choice(list(Body))
        if self.is_repeatable:
            body = Body.EMPTY
        length = 0
        if body is not Body.EMPTY:
            length = rng.randint(1, 4_000)
            if rng.random() < 0.1:
                length = rng.randint(100_000, 400_000)
        is_long = rng.random() < self.long_share
        is_slow = rng.random() < self.slow_share
        deadline_s = _MAX_DEADLINE_S
        if not is_long and not is_slow:
            deadline_s = rng.uniform(_MIN_DEADLINE_S, _MAX_DEADLINE_S)
        self.sent_by_id[attempt_id] = _Sent(
            body, length, self._address, time.monotonic(), deadline_s
        )
        lines = [
            f"{'GET' if self.is_repeatable else 'POST'} "
            f"{self._prefix}{attempt_id} HTTP/1.1",
            f"Host: {mixed_fleet.HOST}",
            f"X-Request-Id: {attempt_id}",
            f"X-Deadline-Ms: {deadline_s * 1000:.0f}",
        ]
        if is_long:
            run_s = rng.uniform(0.1, _MAX_LONG_RUN_S)
            lines.append(f"X-Run-Ms: {run_s * 1000:.0f}")
        if body is Body.CHUNKS:
            lines.append("Transfer-Encoding: chunked")
        else:
            lines.append(f"Content-Length: {length}")
        writer.write("\r\n".join([*lines, "", ""]).encode())
        if not length:
            return
        parts = self._parts(faulty_targets.body_of(attempt_id, length), body)
        if is_slow:
            self._upload = asyncio.create_task(self._write(writer, parts))
        else:
            writer.write(b"".join(parts))

    def _parts(self, content: bytes, body: Body) -> list[bytes]:
        """Return what is written for a body, in order."""
        size = len(content) // self._rng.randint(1, 5) + 1
        parts = [content[i : i + size] for i in range(0, len(content), size)]
        if body is Body.CHUNKS:
            parts = [b"%x\r\n%b\r\n" % (len(part), part) for part in parts]
            parts.append(b"0\r\n\r\n")
        return parts

    async def _write(
        self, writer: asyncio.StreamWriter, parts: list[bytes]
    ) -> None:
        pause_s = self._rng.uniform(0.0, _MAX_UPLOAD_S) / len(parts)
        for part in parts:
            await asyncio.sleep(pause_s)
            writer.write(part)


class LateCopyFleet(mixed_fleet.MixedFleet):
    """Entries with addresses and paths of their own.

    Attributes:
        records: What the targets have done.
    """

    ROUTE_BY_PREFIX = mixed_fleet.MixedFleet.ROUTE_BY_PREFIX | {
        "/order/": ("unsafe", "orders")
    }
    MAX_BODY_BYTES = 1_000_000
    # Leaves time for several requests in a row before the process ends.
    STOP_S = 4.0
    CALLER = BodyCaller

    def __init__(self, folder: pathlib.Path, *args):
        super().__init__(folder, *args)
        self.records: list[faulty_targets.Record] = []
        self._cuts_by_entry: dict[str, collections.Counter] = {}
        for entry in self.entries:
            self.cut(entry, [])

    def _cuts_path(self, entry: mixed_fleet.Entry) -> pathlib.Path:
        return self._folder / f"{entry.id}-cuts.json"

    def _command(
        self, entry: mixed_fleet.Entry, program: pathlib.Path
    ) -> list[str]:
        cuts = self._cuts_path(entry)
        return [
            sys.executable, str(_PROGRAM), str(program), entry.host, str(cuts)
        ]  # fmt: skip

    async def open_address(self) -> faulty_targets.Address:
        """Return an address that accepts connections."""
        address = faulty_targets.Address(self.records)
        await address.open()
        self._exits.callback(address.close)
        return address

    def cut(self, entry: mixed_fleet.Entry, addresses: list[str]) -> None:
        """Let no connection of an entry reach some addresses."""
        cuts = self._cuts_by_entry.setdefault(entry.id, collections.Counter())
        cuts.update(addresses)
        self._write_cuts(entry)

    def restore(self, entry: mixed_fleet.Entry, addresses: list[str]) -> None:
        """Take back a cut."""
        self._cuts_by_entry[entry.id].subtract(addresses)
        self._write_cuts(entry)

    def write(self, name: str, items: list) -> None:
        """Write data classes to a file beside the logs."""
        content = [dataclasses.asdict(item) for item in items]
        (self._folder / name).write_text(json.dumps(content, indent=1))

    def _write_cuts(self, entry: mixed_fleet.Entry) -> None:
        cuts = self._cuts_by_entry[entry.id]
        path = self._cuts_path(entry)
        draft = path.with_suffix(".draft")
        draft.write_text(json.dumps([a for a, count in cuts.items() if count]))
        os.replace(draft, path)


class Rule(enum.StrEnum):
    """A promise that a finding breaks."""

    TWICE = "ran twice"
    REFUSED = "ran and was reported as not run"
    CUT = "was passed on by a stopping entry and not answered"
    BROKEN_OFF = "was broken off by a stopping entry while it ran"
    FOREIGN = "got the response to another request"
    ALTERED = "ran with another body"


@dataclasses.dataclass(frozen=True, slots=True)
class Finding:
    """A request to which a promise was broken.

    Attributes:
        rule: The promise.
        request_id: Id of the request.
        is_relayed: Whether a peer has sent it to a target.
        body: How its body was sent.
        cause: What its targets have written before its responses.
        status: What the caller got.
        entry: Entry that the caller asked.
        records: What the targets have done on its connections.
    """

    rule: Rule
    request_id: str
    is_relayed: bool
    body: Body
    cause: str
    status: int
    entry: str
    records: list[faulty_targets.Record] = dataclasses.field(repr=False)


class LateCopySoak(soak.Soak):
    """A run of the soak with these faults.

    Args:
        args: Those of the soak.
        copies_successes_without_id: Whether copies of successes may lack the
            id, as those of other responses may.
        fields: Those of the soak by name.

    Attributes:
        findings: Requests to which a promise was broken.
    """

    SERVICES = ("shop", "orders")

    def __init__(
        self, *args, copies_successes_without_id: bool = False, **fields
    ):
        super().__init__(*args, **fields)
        self._copies_successes_without_id = copies_successes_without_id
        self.findings: list[Finding] = []
        self._relayed_runs = 0
        self._records_by_id: dict[str, list[faulty_targets.Record]] = {}
        self._records_by_connection: dict[int, list[faulty_targets.Record]] = {}

    def _create_fleet(self, *args) -> LateCopyFleet:
        return LateCopyFleet(*args)

    async def _add_targets(self) -> None:
        for service, data_centre in zip(_SERVICES, _DATA_CENTRES, strict=True):
            address = await self._fleet.open_address()
            self._switches.append(address)
            self._start_target(address, service, data_centre)
        for entry in self._fleet.entries:
            self._fleet.cut(
                entry,
                [
                    address.text
                    for address in self._switches
                    if self._rng.random() < _UNREACHED_SHARE
                ],
            )

    def _start_target(
        self, address: faulty_targets.Address, service: str, data_centre: str
    ) -> None:
        fleet = self._fleet
        target_id = f"t{len(fleet.targets) + 1}"
        rng = random.Random(f"{fleet.seed}-{target_id}")
        target = faulty_targets.FaultyTarget(
            target_id, service, data_centre, rng
        )
        target.copies_successes_without_id = self._copies_successes_without_id
        target.address = address.text
        address.target = target
        fleet.targets.append(target)
        fleet.register(target)

    def _add_callers(self) -> list[mixed_fleet.Caller]:
        return [
            self._fleet.add_caller(
                prefix, 0.05, is_sticky=sticky, leaving_share=share
            )
            for prefix in ("/once/", "/order/", "/once/", "/repeat/")
            for sticky in (False, True)
            for share in (0.0, 0.0, 0.3)
        ]

    def _end_faults(self) -> None:
        for address in self._switches:
            address.target.has_faults = False

    def _choices(self) -> tuple[Callable[[], Awaitable[None]], ...]:
        return (
            self._freeze,
            self._kill,
            self._stop_under_load,
            self._stop_under_load,
            self._stop_under_load,
            self._reload,
            self._restart_target,
            self._restart_target,
            self._take_over,
            self._take_over,
            self._take_over,
            self._cut_paths,
            self._cut_paths,
            self._cut_paths,
            self._leave,
            self._refuse,
            self._stop_store,
            self._change_configuration,
        )

    async def _restart_target(self) -> None:
        await self._replace_target(is_same_service=True)

    async def _take_over(self) -> None:
        """Let a target of the other service use an address."""
        await self._replace_target(is_same_service=False)

    async def _replace_target(self, *, is_same_service: bool) -> None:
        """Let new targets use some addresses, one after the other."""
        count = self._rng.randint(1, 4)
        for address in self._rng.sample(self._switches[2:], count):
            previous = address.target
            if previous is None:
                continue
            services = [
                service
                for service in self.SERVICES
                if (service == previous.service) is is_same_service
            ]
            address.target = None
            address.reset()
            await asyncio.sleep(self._rng.choice((0.0, 0.0, 0.5)))
            self._start_target(
                address, self._rng.choice(services), previous.data_centre
            )
            asyncio.get_running_loop().call_later(
                self._rng.uniform(0.2, 2.0),
                self._fleet.store.put,
                f"servers/{previous.id}",
                None,
            )
            await asyncio.sleep(self._rng.uniform(0.0, 0.5))

    async def _cut_paths(self) -> None:
        """Cut the paths of an entry to some targets."""
        entry = self._rng.choice(self._fleet.entries)
        count = self._rng.randint(1, len(self._switches) // 2)
        addresses = [a.text for a in self._rng.sample(self._switches, count)]
        self._fleet.cut(entry, addresses)
        await asyncio.sleep(self._rng.uniform(0.5, 3.0))
        self._fleet.restore(entry, addresses)

    async def _stop_under_load(self) -> None:
        """Stop an entry that callers use until its process is gone."""
        fleet = self._fleet
        with self._entry() as entry:
            if entry is None:
                return
            callers = [
                fleet.add_caller(self._rng.choice(("/once/", "/order/")), 0.02)
                for _ in range(_STOP_CALLERS)
            ]
            for caller in callers:
                caller.fixed_address = entry.callers
                caller.long_share = caller.slow_share = 0.4
            tasks = [asyncio.create_task(caller.run()) for caller in callers]
            await asyncio.sleep(self._rng.uniform(0.2, 0.6))
            started_s = time.monotonic()
            await fleet.stop(entry)
            await asyncio.sleep(_NOTICED_S)
            for task in tasks:
                task.cancel()
            await asyncio.wait(tasks)
            self._planned_stops.append(
                (entry.callers, started_s, time.monotonic())
            )
            fleet.start(entry, mixed_fleet.CURRENT_BUILD)
            await fleet.wait_ready(entry)

    # Checks.

    async def _check(self, calm: list[mixed_fleet.CallerRequest]) -> None:
        self._find()
        self._print_counts()
        self._fleet.write("findings.json", self.findings)
        assert not self.findings, [
            (finding.rule.name, finding.request_id, finding.cause)
            for finding in self.findings
        ]
        assert self._relayed_runs, "no request ran through a peer"
        await super()._check(calm)

    def _find(self) -> None:
        """Compare what the callers got with what the targets have done."""
        runs = self._fleet.runs_by_try()
        records = sorted(self._fleet.records, key=lambda r: r.at_s)
        self._records_by_id = collections.defaultdict(list)
        self._records_by_connection = collections.defaultdict(list)
        for record in records:
            self._records_by_connection[record.connection].append(record)
            if record.step is not faulty_targets.Step.COPY:
                self._records_by_id[record.request_id].append(record)
        for caller in self._fleet.callers:
            attempt_by_id = {
                attempt.id: attempt
                for request in caller.requests
                for attempt in request.tries
            }
            for request_id, sent in caller.sent_by_id.items():
                self._relayed_runs += any(
                    _is_relayed(record, sent)
                    for record in self._records_by_id[request_id]
                )
                attempt = attempt_by_id.get(request_id)
                if request_id in caller.foreign_tries:
                    self._add(Rule.FOREIGN, request_id, sent, attempt)
                is_patient = not caller.leaving_share
                if not caller.is_repeatable:
                    self._find_run(request_id, sent, attempt, runs[request_id])
                if attempt is not None and is_patient:
                    self._find_stop(request_id, sent, attempt)
        for target in self._fleet.targets:
            for request_id in target.altered:
                self._add(Rule.ALTERED, request_id)

    def _find_run(
        self,
        request_id: str,
        sent: _Sent,
        attempt: mixed_fleet.Try | None,
        runs: int,
    ) -> None:
        """Find a request that broke the promises of those that run once."""
        if runs > 1:
            self._add(Rule.TWICE, request_id, sent, attempt)
        if (
            runs
            and attempt is not None
            and attempt.status in mixed_fleet.NOT_RUN_STATUSES
        ):
            self._add(Rule.REFUSED, request_id, sent, attempt)

    def _find_stop(
        self, request_id: str, sent: _Sent, attempt: mixed_fleet.Try
    ) -> None:
        """Find a request that an entry left unanswered when it stopped."""
        records = self._records_by_id[request_id]
        if not records or not self._is_within_stop(attempt):
            return
        if attempt.outcome is mixed_fleet.Outcome.BROKEN:
            self._add(Rule.CUT, request_id, sent, attempt)
        end_s = sent.started_s + sent.deadline_s - _DEADLINE_MARGIN_S
        if attempt.outcome is mixed_fleet.Outcome.UNKNOWN and any(
            record.step is faulty_targets.Step.BROKEN_OFF
            and not _is_relayed(record, sent)
            and record.at_s < end_s
            for record in records
        ):
            self._add(Rule.BROKEN_OFF, request_id, sent, attempt)

    def _add(
        self,
        rule: Rule,
        request_id: str,
        sent: _Sent | None = None,
        attempt: mixed_fleet.Try | None = None,
    ) -> None:
        own = self._records_by_id[request_id]
        numbers = {record.connection for record in own}
        self.findings.append(
            Finding(
                rule,
                request_id,
                sent is not None and any(_is_relayed(r, sent) for r in own),
                sent.body if sent else Body.EMPTY,
                self._cause(request_id, attempt.status if attempt else 0),
                attempt.status if attempt else 0,
                sent.entry if sent else "",
                [
                    record
                    for number in numbers
                    for record in self._records_by_connection[number]
                ],
            )
        )

    def _cause(self, request_id: str, status: int) -> str:
        """Describe what a caller's answer was probably taken from.

        That is the response of the target, if it reads as a refusal, or the
        last copy before it.
        """
        for run in self._records_by_id[request_id]:
            if run.step is not faulty_targets.Step.RUN:
                continue
            last = None
            for record in self._records_by_connection[run.connection]:
                if record.step is faulty_targets.Step.COPY:
                    last = record
                elif (
                    record.request_id == request_id
                    and record.step is faulty_targets.Step.ANSWERED
                ):
                    if record.status == status and status in (429, 503):
                        return f"{status} after a run"
                    break
            if last is not None:
                return _describe_copy(last, request_id)
        return "no copy"

    def _print_counts(self) -> None:
        """Print how often the faults have occurred, and what they broke."""
        steps = collections.Counter(
            f"{record.step} {record.status or ''}".strip()
            for record in self._fleet.records
        )
        print(f"relayed runs {self._relayed_runs}, {dict(steps)}")
        early = sum(target.early_refusals for target in self._fleet.targets)
        during_stops = collections.Counter(
            str(attempt.outcome)
            for caller in self._fleet.callers
            for request in caller.requests
            for attempt in request.tries
            if self._is_within_stop(attempt)
        )
        print(
            f"refusals before the body {early}, "
            f"planned stops {len(self._planned_stops)}, "
            f"tries that ended in them {dict(during_stops)}"
        )
        counts = collections.Counter(
            (
                finding.rule.name,
                "peer" if finding.is_relayed else "direct",
                str(finding.body),
                finding.cause,
            )
            for finding in self.findings
        )
        for key, count in sorted(counts.items()):
            print(count, *key, sep=" | ")


def _is_relayed(record: faulty_targets.Record, sent: _Sent) -> bool:
    """Return whether a request came from another entry than the one asked."""
    return record.sender != sent.entry.partition(":")[0]


def _describe_copy(copy: faulty_targets.Record, request_id: str) -> str:
    if not copy.is_named:
        return f"copy of a {copy.status} without an id"
    if copy.request_id == request_id:
        return f"copy of its own {copy.status}"
    return f"copy of a {copy.status} to another request"
