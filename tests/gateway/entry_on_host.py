"""Starts the program of an entry as on a host of its own.

    python entry_on_host.py PROGRAM HOST CUTS

Connections come from the address HOST, as they would there; on the loopback
device they all come from 127.0.0.1 otherwise. Connects to the addresses in the
JSON file CUTS are refused. The file may change at any time.
"""

import asyncio
import json
import pathlib
import runpy
import sys


def main() -> None:
    """Run the program."""
    program, host, cuts = sys.argv[1:]

    def refused_addresses() -> list[str]:
        return json.loads(pathlib.Path(cuts).read_text())

    create_connection = asyncio.base_events.BaseEventLoop.create_connection

    async def connect(loop, protocol_factory, to_host, to_port, **fields):
        if f"{to_host}:{to_port}" in refused_addresses():
            raise ConnectionRefusedError(f"no path to {to_host}:{to_port}")
        return await create_connection(
            loop,
            protocol_factory,
            to_host,
            to_port,
            local_addr=(host, 0),
            **fields,
        )

    asyncio.base_events.BaseEventLoop.create_connection = connect
    sys.argv = [program]
    runpy.run_path(program, run_name="__main__")


if __name__ == "__main__":
    main()
