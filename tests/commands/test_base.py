"""Tests of the helpers that the commands share."""

import asyncio
import os
import signal

import pytest

from slatechute.commands import base


def test_sigterm_lets_work_end_its_processes():
    """Guards against entry processes that a terminated bench leaves running."""
    ended = []

    async def work():
        try:
            os.kill(os.getpid(), signal.SIGTERM)
            await asyncio.sleep(10)
        finally:
            ended.append(True)

    with pytest.raises(SystemExit) as caught:
        base.run_cancellable(work())
    assert caught.value.code == base.ExitStatus.NEGATIVE
    assert ended
