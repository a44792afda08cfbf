"""Command `slatechute entry`."""

import asyncio
import importlib
import resource
from typing import ClassVar

from cleo.io.inputs import option

from slatechute import logs
from slatechute import process
from slatechute import settings as entry_settings
from slatechute.commands import base

__all__ = ["EntryCommand", "run"]

# Descriptors for targets, peers, the platform and operators.
_OTHER_DESCRIPTORS = 2000

_LOG = logs.get_logger(__name__)


class EntryCommand(base.Command):
    """Runs an entry."""

    name = "entry"
    description = "Run an entry until a signal stops it."
    help = """\
Settings are flags or variables; a flag wins. <c1>slatechute settings</c1>
prints the effective ones.

  slatechute entry --entry-id e1 --data-centre d1 \\
    --address 10.0.0.1:8400 --peer-address 10.0.0.1:8401 \\
    --platform-url http://10.0.0.9:8500 --fleet-key-file /etc/slatechute/key

SIGTERM or SIGINT starts a planned stop: the entry is removed from the address
responses, finishes the requests in flight and exits. A second signal stops it
immediately. Logs are JSON lines on standard error.

Exit status: 0 after a planned stop; 1 when a second signal or the drain limit
interrupted requests in flight; 2 when settings or an address cannot be used."""
    options: ClassVar[list[option.Option]] = entry_settings.cleo_options()

    def handle(self) -> int:
        """Run the entry.

        Raises:
            errors.SettingsError: The settings or an address cannot be used.
        """
        settings = entry_settings.load(entry_settings.read_flags(self.option))
        logs.setup(level=settings.log_level)
        for variable in entry_settings.unknown_variables():
            _LOG.warning("unknown_variable", variable=variable)
        _check_descriptors(settings)
        # The components of an entry are imported only here, so that
        # `slatechute --help` and shell completion do not wait for them.
        application = importlib.import_module("slatechute.application")
        try:
            return asyncio.run(run(application.Application(settings)))
        finally:
            logs.flush()


def _check_descriptors(settings: entry_settings.EntrySettings) -> None:
    limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    needed = settings.max_connections + _OTHER_DESCRIPTORS
    if limit != resource.RLIM_INFINITY and limit < needed:
        _LOG.warning("descriptor_limit_low", limit=limit, needed=needed)


async def run(application: process.Application) -> base.ExitStatus:
    """Run an application until a signal arrives, then drain it.

    Returns:
        `OK` after a complete drain, `NEGATIVE` if it was interrupted.

    Raises:
        errors.SettingsError: An address is in use or not on this host.
    """
    clean = await process.run(application)
    return base.ExitStatus.OK if clean else base.ExitStatus.NEGATIVE
