"""Polling of conditions that have no event."""

import asyncio
from collections.abc import Callable

__all__ = ["until"]

_POLL_S = 0.005


async def until(condition: Callable[[], object], limit_s: float = 3.0) -> None:
    """Wait until a condition holds.

    Raises:
        AssertionError: The condition does not hold within the limit.
    """
    loop = asyncio.get_running_loop()
    end_s = loop.time() + limit_s
    while not condition():
        assert loop.time() < end_s, f"not met within {limit_s} s"
        await asyncio.sleep(_POLL_S)
