"""Tests of the processes of a bench."""

import asyncio

from slatechute.benches import processes


def test_cancelled_call_leaves_no_result_for_the_next():
    """Guards against mixed-up results of commands.

    The process still sends the result of a cancelled call, and the next call
    would return it as its own result.
    """

    async def main():
        node = processes.Node("targets")
        await node.start()
        try:
            first = asyncio.create_task(node.call("listing"))
            await asyncio.sleep(0.01)
            first.cancel()
            stats = await node.call("stats")
            assert stats["runs"] == 0
        finally:
            await node.stop()

    asyncio.run(main())
