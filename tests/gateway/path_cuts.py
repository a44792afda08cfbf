"""Cuts the paths of an entry to targets; callers and peers reach it."""

import asyncio
import enum

from slatechute import errors
from slatechute.gateway import application
from slatechute.gateway import connections

# As `TCP_USER_TIMEOUT` of the connections to targets.
_USER_TIMEOUT_S = 1.0


class Cut(enum.StrEnum):
    """What happens to the connections of an entry that is cut."""

    HANG = "hang"
    RESET = "reset"
    # Open connections live on, while new ones are refused.
    LIVE_ON = "live_on"
    # Open connections hang, while new ones can be opened.
    OLD_HANG = "old_hang"


class _LostTransport:
    """Discards what is written, and ends after the user timeout."""

    def __init__(self, transport: asyncio.Transport):
        self._transport = transport
        self._timeout: asyncio.TimerHandle | None = None
        transport.pause_reading()

    def write(self, data: bytes) -> None:
        del data
        if self._timeout is None:
            loop = asyncio.get_running_loop()
            self._timeout = loop.call_later(
                _USER_TIMEOUT_S, self._transport.abort
            )

    def abort(self) -> None:
        self._transport.abort()

    def resume_reading(self) -> None:
        """Keep the bytes that arrive from the entry."""

    def is_closing(self) -> bool:
        return self._transport.is_closing()

    def get_write_buffer_size(self) -> int:
        return 0


class PathCuts:
    """Controls the paths of one entry to all targets.

    Attributes:
        opened: Number of connections that the entry has opened.
        tried: Number of connections that it has tried to open.
    """

    def __init__(self, app: application.GatewayApplication):
        self.opened = 0
        self.tried = 0
        self._cut_by_address: dict[str, Cut] = {}
        self._default: Cut | None = None
        self._connections: list[tuple[str, connections.TargetConnection]] = []
        self._open = app._pool.open
        app._pool.open = self._open_unless_cut

    def cut(self, how: Cut, *addresses: str) -> None:
        """Cut the paths to some targets, or to all."""
        for address in addresses:
            self._cut_by_address[address] = how
        if not addresses:
            self._default = how
        if how is Cut.LIVE_ON:
            return
        for address, connection in self._connections:
            transport = connection._transport
            if transport is None or (addresses and address not in addresses):
                continue
            if how is Cut.RESET:
                transport.abort()
            elif not isinstance(transport, _LostTransport):
                connection._transport = _LostTransport(transport)

    def heal(self) -> None:
        """Restore all paths; connections that were open stay lost."""
        self._cut_by_address.clear()
        self._default = None

    async def _open_unless_cut(
        self, address: str
    ) -> connections.TargetConnection:
        self.tried += 1
        how = self._cut_by_address.get(address, self._default)
        if how is Cut.HANG:
            await asyncio.sleep(connections.CONNECT_TIMEOUT_S)
        if how not in (None, Cut.OLD_HANG):
            raise connections.ExchangeError(
                errors.Step.CONNECTING, how, not_run=True
            )
        connection = await self._open(address)
        self.opened += 1
        self._connections.append((address, connection))
        return connection
