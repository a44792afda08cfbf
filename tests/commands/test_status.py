"""Tests of `slatechute status` with fake servers and real entries."""

import asyncio
import json
import re
import socket
import threading

from aiohttp import web
import pytest

from slatechute import __main__ as program
from slatechute.benches import spread_fleet
from slatechute.platforms import base


@pytest.fixture
def serve():
    """Return a function that serves a response and returns the address."""
    loop = asyncio.new_event_loop()
    thread = threading.Thread(target=loop.run_forever)
    thread.start()
    runners = []

    async def start(content):
        async def handle(request):
            del request
            if content == "hang":
                await asyncio.sleep(60)
            if isinstance(content, str):
                return web.Response(text=content)
            return web.json_response(content)

        app = web.Application()
        app.router.add_get("/status", handle)
        runner = web.AppRunner(app, shutdown_timeout=0.1)
        await runner.setup()
        runners.append(runner)
        await web.TCPSite(runner, "127.0.0.1", 0).start()
        return "{}:{}".format(*runner.addresses[0])

    def run(coroutine):
        return asyncio.run_coroutine_threadsafe(coroutine, loop).result(20)

    yield lambda content: run(start(content))
    for runner in runners:
        run(runner.cleanup())
    loop.call_soon_threadsafe(loop.stop)
    thread.join()
    loop.close()


def _host(entry_id="e1", revision=7, digest="aa", *, peers=(), **fields):
    configuration = {
        "revision": revision,
        "digest": digest,
        "newest_seen": revision,
    }
    configuration |= {"age_s": 12.3, "unconfirmed": False, "refused": []}
    return {
        "entry_id": entry_id,
        "boot_id": f"{entry_id}-1",
        "data_centre": "d1",
        "state": "ready",
        "configuration": configuration | fields,
        "peers": list(peers),
    }


def _peer(entry_id, revision=7, digest="aa", reachable=True):
    return {
        "entry_id": entry_id,
        "revision": revision,
        "digest": digest,
        "reachable": reachable,
    }


def _row(output: str, entry_id: str) -> list[str]:
    return next(x for x in output.splitlines() if f" {entry_id} " in x).split()


def test_hosts_agree(serve, capsys):
    """Guards against differences reported for a consistent fleet."""
    first = serve(_host(peers=[_peer("e2"), _peer("e3")]))
    second = serve(_host("e2", unconfirmed=True) | {"new_field": 1})
    assert program.main(["status", first, f"http://{second}/"]) == 0
    output = capsys.readouterr().out
    assert "All hosts have revision 7." in output
    assert "unconfirmed" in _row(output, "e2")
    assert "(seen by e1)" in output


@pytest.mark.parametrize(
    ("hosts", "expected_text"),
    [
        ([_host(), _host("e2", 6, "bb")], "in force: 6, 7; newest seen: 7"),
        ([_host(), _host("e2", 7, "bb")], "different content"),
        ([_host(newest_seen=9)], "newest seen: 9"),
        ([_host(peers=[_peer("e2", 5, "bb")])], "in force: 5, 7"),
        ([_host(revision=0, digest="")], "No host has a configuration"),
        (
            [_host(refused=[{"revision": 8, "problems": ["a.toml: \x1b[2J"]}])],
            "refuses revision 8: a.toml: ?[2J",
        ),
    ],
)
def test_hosts_disagree(serve, capsys, hosts, expected_text):
    """Guards against exit status 0 for an incomplete rollout."""
    assert program.main(["status", *map(serve, hosts)]) == 1
    assert expected_text in capsys.readouterr().out


def test_lagging_host_is_marked(serve, capsys):
    """Guards against output that does not show which host lags."""
    program.main(["status", serve(_host()), serve(_host("e2", 6, "bb"))])
    output = capsys.readouterr().out
    assert _row(output, "e1")[-2:] == ["no", "no"]
    assert _row(output, "e2")[-2:] == ["yes", "no"]


def test_old_refusal_is_not_shown(serve, capsys):
    """Guards against showing refusals that a newer revision has replaced."""
    address = serve(_host(refused=[{"revision": 5, "problems": ["old"]}]))
    assert program.main(["status", address]) == 0
    assert "old" not in capsys.readouterr().out


@pytest.mark.parametrize(
    "content",
    ["hang", "not json", '{"peers": 3}', "[" * 100_000, " " * 5_000_000],
)
def test_host_without_usable_response(serve, capsys, content):
    """Guards against an invalid response that hides the other hosts."""
    arguments = ["--timeout-ms=300", serve(_host()), serve(content)]
    assert program.main(["status", *arguments]) == 2
    output = capsys.readouterr().out
    assert _row(output, "e1")[-2:] == ["no", "no"]
    assert "no answer" in output


def _status(fleets) -> int:
    addresses = [f.entries[0].admin_address for f in fleets]
    return program.main(["status", *addresses])


async def _page_with(fleet, path, text) -> str:
    for _ in range(500):
        page = await fleet.entries[0].get(fleet.session, path)
        if text in page:
            return page
        await asyncio.sleep(0.02)
    raise AssertionError(f"{path} does not show {text}")


def test_real_entries_agree_and_disagree(capsys):
    """Guards against a `/status` page that the command cannot parse."""

    async def run():
        async with (
            spread_fleet.SpreadFleet(1) as one,
            spread_fleet.SpreadFleet(1) as two,
        ):
            await asyncio.gather(one.start_all(), two.start_all())
            statuses = [await asyncio.to_thread(_status, (one, two))]
            revision, _ = one.publish()
            assert await one.wait_until_active(revision, 10)
            statuses.append(await asyncio.to_thread(_status, (one, two)))
            two.publish()
            assert await two.wait_until_active(revision, 10)
            statuses.append(await asyncio.to_thread(_status, (one, two)))
            assert statuses == [0, 1, 0]
            # The refusal names the invalid file, and the host is marked.
            bad = two.platform.publish(base.CONFIGURATION, {"b.toml": "x = 1"})
            text = await _page_with(two, "/status", '"problems"')
            status = json.loads(text)
            (refused,) = status["configuration"]["refused"]
            assert refused["revision"] == bad
            assert refused["problems"] == ["b.toml: x: unknown key"]
            assert status["configuration"]["offers"]["invalid"] == 1
            assert status["configuration"]["source"] == "@platform"
            assert status["instances"]["revision"] == 1
            # Neither a peer nor a change has confirmed the instance list.
            assert status["instances"]["unconfirmed"]
            assert not status["configuration"]["unconfirmed"]
            assert status["spread"]["is_reader"]
            assert status["spread"]["neighbours"] == []
            assert await asyncio.to_thread(_status, (one, two)) == 1
            two.set_down(True)
            fault = 'spread_faults_total{kind="platform_failure"}'
            text = await _page_with(two, "/metrics", fault)
            calls = re.search(r"platform_calls_total ([\d.]+)", text)
            assert float(calls[1]) >= 4
            for gauge in ("peer_links", "requests_waiting"):
                assert f"\nslatechute_{gauge} 0.0" in text

    asyncio.run(asyncio.wait_for(run(), 60))
    output = capsys.readouterr().out
    assert "in force: 1, 2; newest seen: 2" in output
    assert "unconfirmed" in output
    assert "refuses revision 3: b.toml: x: unknown key" in output


def test_host_that_is_down(capsys):
    """Guards against output without the reason of a failed connection."""
    with socket.create_server(("127.0.0.1", 0)) as free:
        address = f"127.0.0.1:{free.getsockname()[1]}"
    assert program.main(["status", address]) == 2
    assert "Connect call failed" in capsys.readouterr().out


@pytest.mark.parametrize(
    "arguments",
    [
        ["localhost:1"],
        ["https://127.0.0.1:1"],
        ["http://127.0.0.1:1/x"],
        ["http://127.0.0.1"],
        ["http://[::1"],
        ["127.0.0.1:1", "--timeout-ms=soon"],
    ],
)
def test_unusable_argument(capsys, arguments):
    """Guards against querying hosts before all arguments are checked."""
    assert program.main(["status", *arguments]) == 2
    output = capsys.readouterr()
    assert (output.out, output.err.count("\n")) == ("", 1)
