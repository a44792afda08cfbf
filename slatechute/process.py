"""Lifecycle of an entry process: start, signals, drain and stop."""

import asyncio
from collections.abc import Coroutine
import errno
import signal
import time
import types
from typing import Any, Protocol

from slatechute import errors
from slatechute import logs

__all__ = ["Application", "run"]

# A stop only closes sockets and cancels tasks, so an entry that needs longer
# hangs. The supervisor waits for the process to end.
_STOP_TIMEOUT_S = 5.0

_ADDRESS_ERRORS = frozenset(
    {errno.EADDRINUSE, errno.EADDRNOTAVAIL, errno.EACCES}
)

_LOG = logs.get_logger(__name__)


class Application(Protocol):
    """Application that a process runs."""

    async def start(self) -> None:
        """Open the ports and serve."""
        ...

    async def drain(self, elapsed_s: float) -> bool | None:
        """Leave the fleet and finish the requests in flight.

        Args:
            elapsed_s: Time since the stop signal, which counts for the limit.

        Returns:
            False if requests were interrupted at the drain limit.
        """
        ...

    async def stop(self) -> None:
        """Close all servers without waiting, also after a failed start."""
        ...


async def run(application: Application) -> bool:
    """Run an application until a signal arrives, then drain it.

    Args:
        application: Application that is not started yet.

    Returns:
        Whether the drain completed or a signal interrupted the start.

    Raises:
        errors.SettingsError: An address is in use or not on this host.
    """
    loop = asyncio.get_running_loop()
    loop.set_exception_handler(_log_unhandled)
    drain_requested, stop_requested = asyncio.Event(), asyncio.Event()
    signalled_s = 0.0

    def on_signal(number: signal.Signals, received_s: float) -> None:
        nonlocal signalled_s
        _LOG.notice("signal_received", signal=number.name)
        if drain_requested.is_set():
            stop_requested.set()
        else:
            signalled_s = received_s
            drain_requested.set()

    def record_signal(number: int, frame: types.FrameType | None) -> None:
        # The event loop may be busy, while the time until the process is killed
        # passes.
        del frame
        loop.call_soon_threadsafe(
            on_signal, signal.Signals(number), time.monotonic()
        )

    previous_by_number = {
        number: signal.signal(number, record_signal)
        for number in (signal.SIGTERM, signal.SIGINT)
    }
    try:
        # A signal during the start needs no drain, since no request has been
        # accepted yet.
        if not await _run_interruptible(application.start(), drain_requested):
            return True
        _LOG.notice("entry_started")
        await drain_requested.wait()
        _LOG.notice("entry_draining")
        clean = await _run_interruptible(
            application.drain(time.monotonic() - signalled_s), stop_requested
        )
        _LOG.notice("entry_drained", clean=clean)
        return clean
    except OSError as error:
        if error.errno not in _ADDRESS_ERRORS:
            raise
        raise errors.SettingsError(
            f"cannot listen: {error.strerror or error}"
        ) from None
    finally:
        await _stop(application)
        for number, previous in previous_by_number.items():
            signal.signal(number, previous)


async def _run_interruptible(
    coroutine: Coroutine[Any, Any, bool | None], interrupt: asyncio.Event
) -> bool:
    """Run a coroutine until it completes or is interrupted.

    Returns:
        Whether it completed and did not return False.
    """
    task = asyncio.ensure_future(coroutine)
    interrupt_task = asyncio.ensure_future(interrupt.wait())
    try:
        await asyncio.wait(
            {task, interrupt_task}, return_when=asyncio.FIRST_COMPLETED
        )
        return task.done() and task.result() is not False
    finally:
        task.cancel()
        interrupt_task.cancel()
        await asyncio.wait({task, interrupt_task}, timeout=_STOP_TIMEOUT_S)


async def _stop(application: Application) -> None:
    try:
        await asyncio.wait_for(application.stop(), _STOP_TIMEOUT_S)
    except Exception:  # Keeps the outcome of the start or drain.
        _LOG.exception("stop_failed")
    else:
        _LOG.notice("entry_stopped")


def _log_unhandled(
    loop: asyncio.AbstractEventLoop, context: dict[str, Any]
) -> None:
    del loop
    _LOG.error(
        "unhandled_error",
        message=context.get("message"),
        exc_info=context.get("exception"),
    )
