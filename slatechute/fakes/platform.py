"""Fake of the platform service, served on loopback."""

import asyncio
import collections
import contextlib
import dataclasses
import json
import pathlib
import time

from aiohttp import web

from slatechute import logs
from slatechute.platforms import base

__all__ = ["FakePlatform", "Instance"]

MAX_VALUE_BYTES = 1_000_000
_POLL_INTERVAL_S = 0.2
_READ_ATTEMPTS = 5
_HISTORY_LENGTH = 64
_MAX_REQUEST_TIMES = 100_000

_log = logs.get_logger(__name__)


@dataclasses.dataclass(frozen=True, slots=True)
class Instance:
    """One row of the `instances` document.

    Attributes:
        id: Id of the instance; each process start gets a new one.
        address: Host and port for requests.
        data_centre: Data centre of the host.
        state: `live` or `leaving`.
        started: Start time in seconds since the epoch.
        peer_address: Host and port for peer links; entries only.
        admin_address: Host and port for operators; entries only.
    """

    id: str
    address: str
    data_centre: str = "dc1"
    state: str = "live"
    started: float = 0.0
    peer_address: str = ""
    admin_address: str = ""


class FakePlatform:
    """Serves documents by read and long poll and simulates faults.

    Attributes:
        url: Base URL, known after `start`.
        request_count: Requests received; a watch counts once, however long it
            waits.
        lag_ms: Delay between `set_entries` or `set_targets` and publication.
        latency_ms: Delay of each response.
        is_watch_silent: Whether watches time out without a document; reads
            still work.
    """

    def __init__(
        self, *, lag_ms: float = 0.0, origin: "FakePlatform | None" = None
    ):
        """Create a platform.

        Args:
            lag_ms: Delay between `set_entries` or `set_targets` and
                publication.
            origin: Platform whose documents this replica also serves, so that
                a fault can affect only some clients.
        """
        self.url = ""
        self.request_count = 0
        self.lag_ms = lag_ms
        self.latency_ms = 0.0
        self.is_watch_silent = False
        self._down = False
        self._revisions_behind = 0
        self._frozen_by_name: dict[str, base.Document] | None = None
        self._replicas: list[FakePlatform] = []
        self._history_by_name: dict[str, collections.deque[base.Document]] = {}
        if origin is not None:
            self._history_by_name = origin._history_by_name
            origin._replicas.append(self)
        self._changed = asyncio.Event()
        self._request_times: collections.deque[float] = collections.deque(
            maxlen=_MAX_REQUEST_TIMES
        )
        self._last_update_number = 0
        self._update_number_by_part: dict[str, int] = {}
        self._runner: web.ServerRunner | None = None
        self._watcher: asyncio.Task | None = None

    @property
    def down(self) -> bool:
        """Whether connections are closed without a response."""
        return self._down

    @down.setter
    def down(self, value: bool) -> None:
        self._down = value
        self._wake_watches()

    @property
    def revisions_behind(self) -> int:
        """Number of revisions that the served documents lag behind."""
        return self._revisions_behind

    @revisions_behind.setter
    def revisions_behind(self, value: int) -> None:
        self._revisions_behind = int(value)
        self._wake_watches()

    @property
    def frozen(self) -> bool:
        """Whether only the documents from when this was set are served."""
        return self._frozen_by_name is not None

    @frozen.setter
    def frozen(self, value: bool) -> None:
        if value != self.frozen:
            self._frozen_by_name = (
                {name: h[-1] for name, h in self._history_by_name.items()}
                if value
                else None
            )
            self._wake_watches()

    def request_times_since(self, start: float) -> list[float]:
        """Return the times of the requests since `start`.

        Args:
            start: Monotonic time, in seconds, like the times returned.
        """
        return [at for at in self._request_times if at >= start]

    def requests_per_second(self, window_s: float = 1.0) -> float:
        """Return the mean rate of requests over the last `window_s`."""
        start = time.monotonic() - window_s
        return sum(1 for at in self._request_times if at >= start) / window_s

    async def start(self) -> None:
        """Listen on a loopback port chosen by the operating system."""
        server = web.Server(self._handle, access_log=None)
        self._runner = web.ServerRunner(server, shutdown_timeout=0.1)
        await self._runner.setup()
        await web.TCPSite(self._runner, "127.0.0.1", 0).start()
        host, port = self._runner.addresses[0][:2]
        self.url = f"http://{host}:{port}"

    async def stop(self) -> None:
        """Close the listener and stop watching the folder."""
        if self._watcher is not None:
            self._watcher.cancel()
            await asyncio.gather(self._watcher, return_exceptions=True)
        self.down = True
        if self._runner is not None:
            await self._runner.cleanup()

    def publish(self, name: str, text_by_part: dict[str, str]) -> int:
        """Publish a document and return its revision.

        Raises:
            ValueError: The document is larger than `MAX_VALUE_BYTES`.
        """
        size = sum(len(text.encode()) for text in text_by_part.values())
        if size > MAX_VALUE_BYTES:
            raise ValueError(f"{name}: {size} bytes is above the limit")
        history = self._history_by_name.setdefault(
            name, collections.deque(maxlen=_HISTORY_LENGTH)
        )
        revision = history[-1].revision + 1 if history else 1
        history.append(base.Document(name, revision, dict(text_by_part)))
        self._wake_watches()
        return revision

    def set_entries(self, entries: list[Instance]) -> None:
        """Publish the list of entries after `lag_ms`."""
        self._set_part("entries", [dataclasses.asdict(e) for e in entries])

    def set_targets(self, service: str, targets: list[Instance]) -> None:
        """Publish the list of targets of a service after `lag_ms`."""
        rows = [dataclasses.asdict(target) for target in targets]
        for row in rows:
            del row["peer_address"], row["admin_address"]
        self._set_part(service, rows)

    def publish_folder(self, path: pathlib.Path) -> int:
        """Publish the TOML files of a folder as `configuration`.

        Raises:
            OSError: The folder changes during each attempt to read it, or it
                cannot be read.
            ValueError: A file is not UTF-8 or the folder is too large.
        """
        return self.publish(base.CONFIGURATION, _read_folder(path))

    def watch_folder(self, path: pathlib.Path) -> None:
        """Publish the folder whenever its files change, until `stop`."""
        self._watcher = asyncio.create_task(self._poll_folder(path))

    async def _poll_folder(self, path: pathlib.Path) -> None:
        last: dict[str, str] | None = None
        last_error = ""
        while True:
            try:
                current = await asyncio.to_thread(_read_folder, path)
                # Publish only after two equal polls in a row, so that a
                # partly copied folder or partly written file is not published.
                if current == last != self._newest_parts(base.CONFIGURATION):
                    self.publish(base.CONFIGURATION, current)
                last = current
                last_error = ""
            except (OSError, ValueError) as err:
                last = None
                if last_error != str(err):
                    last_error = str(err)
                    _log.warning(
                        "folder_not_published", path=str(path), error=str(err)
                    )
            await asyncio.sleep(_POLL_INTERVAL_S)

    def _set_part(self, part: str, rows: list[dict]) -> None:
        self._last_update_number += 1
        update_number, text = self._last_update_number, json.dumps(rows)
        if self.lag_ms <= 0:
            self._apply_part(part, update_number, text)
        else:
            asyncio.get_running_loop().call_later(
                self.lag_ms / 1000, self._apply_part, part, update_number, text
            )

    def _apply_part(self, part: str, update_number: int, text: str) -> None:
        # With a shorter lag set in the meantime, a newer update can arrive
        # first. An older one must not replace it.
        if self._update_number_by_part.get(part, 0) > update_number:
            return
        self._update_number_by_part[part] = update_number
        parts = self._newest_parts(base.INSTANCES) or {}
        self.publish(base.INSTANCES, parts | {part: text})

    def _newest_parts(self, name: str) -> dict[str, str] | None:
        history = self._history_by_name.get(name)
        return history[-1].text_by_part if history else None

    def _served_document(self, name: str) -> base.Document | None:
        if self._frozen_by_name is not None:
            return self._frozen_by_name.get(name)
        history = self._history_by_name.get(name)
        if not history:
            return None
        return history[max(0, len(history) - 1 - self._revisions_behind)]

    def _wake_watches(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()
        for replica in self._replicas:
            replica._wake_watches()

    async def _wait_for_document(
        self, name: str, after: int, wait_s: float
    ) -> base.Document | None:
        deadline = time.monotonic() + wait_s
        while not self._down:
            document = self._served_document(name)
            if (
                document is not None
                and document.revision > after
                and not self.is_watch_silent
            ):
                return document
            try:
                async with asyncio.timeout(deadline - time.monotonic()):
                    await self._changed.wait()
            except TimeoutError:
                return None
        return None

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        self.request_count += 1
        self._request_times.append(time.monotonic())
        if self.latency_ms:
            await asyncio.sleep(self.latency_ms / 1000)
        prefix, _, name = request.path.rpartition("/")
        if prefix != "/v1/documents" or request.method != "GET":
            return web.Response(status=404)
        try:
            after = int(request.query.get("after", -1))
            wait_s = float(request.query.get("wait", 0))
        except ValueError:
            return web.Response(status=400)
        if after >= 0:
            document = await self._wait_for_document(name, after, wait_s)
        else:
            document = self._served_document(name)
        if self._down:
            if request.transport is not None:
                request.transport.abort()
            return web.Response(status=503)
        if document is None:
            return web.Response(status=204 if after >= 0 else 404)
        return web.json_response(
            {
                "name": name,
                "revision": document.revision,
                "parts": document.text_by_part,
            }
        )


def _read_folder(path: pathlib.Path) -> dict[str, str]:
    """Read a consistent snapshot of a folder.

    Raises:
        OSError: The folder changes during each attempt to read it, or it
            cannot be read.
        ValueError: A file is not UTF-8.
    """
    for _ in range(_READ_ATTEMPTS):
        before = _file_signatures(path)
        try:
            texts = {name: (path / name).read_text("utf-8") for name in before}
        except FileNotFoundError:
            continue
        if _file_signatures(path) == before:
            return texts
    raise OSError("folder changed during each attempt to read it")


def _file_signatures(path: pathlib.Path) -> dict[str, tuple[int, int, int]]:
    """Return inode, size and modification time of each file."""
    signatures = {}
    for file in sorted(path.glob("[!.]*.toml")):
        with contextlib.suppress(FileNotFoundError):
            status = file.stat()
            signatures[file.name] = (
                status.st_ino,
                status.st_size,
                status.st_mtime_ns,
            )
    return signatures
