"""Processes that a bench drives."""

import asyncio

from slatechute.benches import processes


def test_cancelled_call_leaves_no_answer_for_the_next():
    """Guards against a bench that takes one answer for another."""

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
