"""Command `slatechute entry`."""

import asyncio
from collections.abc import Coroutine
import errno
import importlib
import resource
import signal
from typing import Any, ClassVar, Protocol

from cleo.io.inputs import option

from slatechute import errors
from slatechute import logs
from slatechute import settings as settings_module
from slatechute.commands import base

__all__ = ["Application", "EntryCommand", "run"]

# A stop only closes sockets and cancels tasks; an entry that needs longer is
# stuck, and its supervisor is waiting.
_STOP_TIMEOUT_S = 5.0

# Descriptors for targets, peers, the platform and operators.
_OTHER_DESCRIPTORS = 2000

_ADDRESS_ERRORS = frozenset(
    {errno.EADDRINUSE, errno.EADDRNOTAVAIL, errno.EACCES}
)

_LOGGER = logs.get_logger(__name__)


class Application(Protocol):
    """What the command needs of `application.Application`."""

    async def start(self) -> None:
        """Open the ports and serve."""
        ...

    async def drain(self) -> bool | None:
        """Leave the fleet and finish the work in flight.

        Returns:
            False when work was cut at the drain limit.
        """
        ...

    async def stop(self) -> None:
        """Close everything at once; also after a failed start."""
        ...


class EntryCommand(base.Command):
    """Runs an entry."""

    name = "entry"
    description = "Run an entry until it is told to stop."
    help = """\
Settings are flags or variables; a flag wins. <c1>slatechute settings</c1>
prints the ones in force.

  slatechute entry --entry-id e1 --data-centre d1 \\
    --address 10.0.0.1:8400 --peer-address 10.0.0.1:8401 \\
    --platform-url http://10.0.0.9:8500 --fleet-key-file /etc/slatechute/key

SIGTERM or SIGINT starts a planned stop: the entry leaves the address answers,
finishes the work in flight and ends. A second signal stops it at once.
Logs are JSON lines on standard error.

Exit status: 0 after a planned stop; 1 when work in flight was cut by a second
signal or the drain limit; 2 when settings or an address cannot be used."""
    options: ClassVar[list[option.Option]] = settings_module.cleo_options()

    def handle(self) -> int:
        """Run the entry.

        Raises:
            errors.SettingsError: The settings or an address cannot be used.
        """
        settings = settings_module.load(settings_module.read_flags(self.option))
        logs.setup(level=settings.log_level)
        for variable in settings_module.unknown_variables():
            _LOGGER.warning("unknown_variable", variable=variable)
        _check_descriptors(settings)
        # The parts of an entry are loaded only when one is run, so that
        # `slatechute --help` and completion do not wait for them.
        application = importlib.import_module("slatechute.application")
        try:
            return asyncio.run(run(application.Application(settings)))
        finally:
            logs.flush()


def _check_descriptors(settings: settings_module.EntrySettings) -> None:
    limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    needed = settings.max_connections + _OTHER_DESCRIPTORS
    if limit != resource.RLIM_INFINITY and limit < needed:
        _LOGGER.warning("descriptor_limit_low", limit=limit, needed=needed)


async def run(application: Application) -> base.ExitStatus:
    """Run an application until a signal and drain it.

    Args:
        application: Application that is not started yet.

    Returns:
        `OK` after a clean drain, `NEGATIVE` when it was cut short.

    Raises:
        errors.SettingsError: An address is in use or not on this host.
    """
    loop = asyncio.get_running_loop()
    loop.set_exception_handler(_log_unhandled)
    first, second = asyncio.Event(), asyncio.Event()

    def receive(number: signal.Signals) -> None:
        _LOGGER.notice("signal_received", signal=number.name)
        (second if first.is_set() else first).set()

    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, receive, number)
    try:
        # A signal during the start ends it: nothing was accepted yet.
        if not await _complete(application.start(), first):
            return base.ExitStatus.OK
        _LOGGER.notice("entry_started")
        await first.wait()
        _LOGGER.notice("entry_draining")
        clean = await _complete(application.drain(), second)
        _LOGGER.notice("entry_drained", clean=clean)
        return base.ExitStatus.OK if clean else base.ExitStatus.NEGATIVE
    except OSError as error:
        if error.errno not in _ADDRESS_ERRORS:
            raise
        raise errors.SettingsError(
            f"cannot listen: {error.strerror or error}"
        ) from None
    finally:
        await _stop(application)
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.remove_signal_handler(number)


async def _complete(
    work: Coroutine[Any, Any, bool | None], interrupt: asyncio.Event
) -> bool:
    """Run work until it is done or interrupted.

    Returns:
        Whether the work was done and did not return False.
    """
    task = asyncio.ensure_future(work)
    interruption = asyncio.ensure_future(interrupt.wait())
    try:
        await asyncio.wait(
            {task, interruption}, return_when=asyncio.FIRST_COMPLETED
        )
        return task.done() and task.result() is not False
    finally:
        task.cancel()
        interruption.cancel()
        await asyncio.wait({task, interruption}, timeout=_STOP_TIMEOUT_S)


async def _stop(application: Application) -> None:
    try:
        await asyncio.wait_for(application.stop(), _STOP_TIMEOUT_S)
    except Exception:  # The status of the start or drain matters more.
        _LOGGER.exception("stop_failed")
    else:
        _LOGGER.notice("entry_stopped")


def _log_unhandled(
    loop: asyncio.AbstractEventLoop, context: dict[str, Any]
) -> None:
    del loop
    _LOGGER.error(
        "unhandled_error",
        message=context.get("message"),
        exc_info=context.get("exception"),
    )
