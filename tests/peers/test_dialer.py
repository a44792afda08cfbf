"""Tests of connecting to a peer repeatedly."""

import asyncio

from slatechute.peers import dialer
from tests import waiting


class _ShortLinks:
    """Connections that are linked and lost at once."""

    def __init__(self):
        self.connects = 0
        self.dialer = dialer.Dialer(self._connect, 0.0)

    async def _connect(self):
        self.connects += 1
        self.dialer.mark_linked()
        self.dialer.mark_unlinked()


def test_restart_ends_the_backoff_of_short_links():
    """A resumed entry waits for its peers' documents for at most 500 ms.

    After some links that lasted under 2 s, the next attempt came later.
    """

    async def main():
        links = _ShortLinks()
        await waiting.until(lambda: links.connects == 5, 5.0)
        links.dialer.restart()
        await waiting.until(lambda: links.connects == 6, 0.2)
        links.dialer.stop()

    asyncio.run(main())


def test_restart_before_the_link_is_lost_counts_as_well():
    """The loss of the link may be read after the pause was detected."""

    async def main():
        links = _ShortLinks()
        await waiting.until(lambda: links.connects == 5, 5.0)
        links.dialer.mark_linked()
        links.dialer.restart()
        await asyncio.sleep(0.01)
        links.dialer.mark_unlinked()
        await waiting.until(lambda: links.connects == 6, 0.2)
        links.dialer.stop()

    asyncio.run(main())
