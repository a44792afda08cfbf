"""Tests of the fake platform."""

import asyncio
import json
import pathlib

import aiohttp
import pytest

from slatechute.fakes import platform
from slatechute.platforms import http


def _with_platform(scenario):
    async def run():
        fake = platform.FakePlatform()
        await fake.start()
        try:
            async with aiohttp.ClientSession() as session:
                await scenario(fake, http.HttpPlatform(fake.url, session))
        finally:
            await fake.stop()

    asyncio.run(run())


def test_lists_appear_after_the_lag_and_in_order():
    """Guards against a missing lag and against late updates with older rows.

    An update with a long lag would arrive after a newer one with a short lag.
    """

    async def scenario(fake, reader):
        fake.publish("instances", {})
        fake.lag_ms = 100
        old = platform.Instance("t-old", "127.0.0.1:1")
        new = platform.Instance("t-new", "127.0.0.1:2", state="leaving")
        fake.set_targets("kit", [old])
        assert (await reader.read("instances")).revision == 1
        fake.lag_ms = 0
        fake.set_targets("kit", [new])
        fake.set_entries([platform.Instance("e1", "127.0.0.1:3")])
        await asyncio.sleep(0.2)
        document = await reader.read("instances")
        (row,) = json.loads(document.text_by_part["kit"])
        assert (row["id"], row["state"]) == ("t-new", "leaving")
        assert "peer_address" not in row
        (row,) = json.loads(document.text_by_part["entries"])
        assert row["peer_address"] == ""

    _with_platform(scenario)


def test_stale_platform_serves_an_older_revision():
    """Guards against a stale platform that still serves the newest text."""

    async def scenario(fake, reader):
        for text in "abc":
            fake.publish("configuration", {"x": text})
        fake.revisions_behind = 2
        assert (await reader.read("configuration")).text_by_part == {"x": "a"}
        assert await reader.watch("configuration", 1, 0.05) is None
        fake.revisions_behind = 0
        assert (await reader.read("configuration")).revision == 3

    _with_platform(scenario)


def test_replica_has_independent_faults():
    """Guards against a fault of one replica that affects all clients."""

    async def scenario(fake, reader):
        fake.publish("configuration", {"x": "a"})
        frozen, silent = (platform.FakePlatform(origin=fake) for _ in "ab")
        async with aiohttp.ClientSession() as session:
            await frozen.start()
            await silent.start()
            old = http.HttpPlatform(frozen.url, session)
            quiet = http.HttpPlatform(silent.url, session)
            frozen.frozen = silent.is_watch_silent = True
            watch = asyncio.create_task(reader.watch("configuration", 1, 5))
            await asyncio.sleep(0.05)
            fake.publish("configuration", {"x": "b"})
            assert (await watch).revision == 2
            assert (await old.read("configuration")).revision == 1
            assert await old.watch("configuration", 1, 0.05) is None
            assert await quiet.watch("configuration", 1, 0.05) is None
            assert (await quiet.read("configuration")).revision == 2
            watch = asyncio.create_task(old.watch("configuration", 1, 5))
            await asyncio.sleep(0.05)
            frozen.frozen = False
            assert (await watch).revision == 2
            await frozen.stop()
            await silent.stop()

    _with_platform(scenario)


def test_request_rate_covers_only_the_window():
    """Guards against rates that count requests outside the window."""

    async def scenario(fake, reader):
        fake.publish("configuration", {})
        for _ in range(3):
            await reader.read("configuration")
        assert fake.requests_per_second(10) == pytest.approx(0.3)
        await asyncio.sleep(0.1)
        assert fake.requests_per_second(0.05) == 0

    _with_platform(scenario)


def test_watched_folder_is_published_on_change(tmp_path):
    """Guards against missed edits, repeated revisions and temporary files.

    Hidden files, such as those of an editor, are not part of the folder.
    """

    async def scenario(fake, reader):
        (tmp_path / "a.toml").write_text("x = 1")
        (tmp_path / ".b.toml.swp").write_text("noise")
        (tmp_path / ".c.toml").write_text("noise")
        fake.watch_folder(tmp_path)
        first = await reader.watch("configuration", 0, 2)
        assert first.text_by_part == {"a.toml": "x = 1"}
        (tmp_path / "bad.toml").write_bytes(b"\xff")
        await asyncio.sleep(0.5)
        assert (await reader.read("configuration")).revision == 1
        (tmp_path / "bad.toml").unlink()
        (tmp_path / "d.toml").write_text("y = 2")
        second = await reader.watch("configuration", 1, 2)
        assert second.revision == 2
        assert sorted(second.text_by_part) == ["a.toml", "d.toml"]

    _with_platform(scenario)


def test_folder_changed_during_the_read_is_read_again(tmp_path, monkeypatch):
    """Guards against a revision that mixes two states of the folder.

    Both files change while the folder is read, and one of them is removed
    during the next attempt.
    """
    (tmp_path / "a.toml").write_text("x = 1")
    (tmp_path / "b.toml").write_text("y = 1")
    read_text = pathlib.Path.read_text
    reads = []

    def change_both(path, *args):
        text = read_text(path, *args)
        reads.append(path.name)
        if len(reads) == 1:
            (tmp_path / "a.toml").write_text("x = 222")
            (tmp_path / "b.toml").write_text("y = 222")
        if len(reads) == 3:
            (tmp_path / "b.toml").unlink()
        return text

    monkeypatch.setattr(pathlib.Path, "read_text", change_both)
    fake = platform.FakePlatform()
    fake.publish_folder(tmp_path)
    published = fake._newest_parts("configuration")
    assert published == {"a.toml": "x = 222"}


def test_file_removed_and_restored_gets_new_revisions(tmp_path):
    """Guards against hosts that miss a change that reverts the one before."""
    fake = platform.FakePlatform()
    (tmp_path / "a.toml").write_text("x = 1")
    (tmp_path / "b.toml").write_text("y = 1")
    revisions = [fake.publish_folder(tmp_path)]
    (tmp_path / "b.toml").rename(tmp_path / ".b")
    revisions.append(fake.publish_folder(tmp_path))
    (tmp_path / ".b").rename(tmp_path / "b.toml")
    revisions.append(fake.publish_folder(tmp_path))
    assert revisions == [1, 2, 3]
    assert sorted(fake._newest_parts("configuration")) == ["a.toml", "b.toml"]


def test_values_above_the_limit_are_refused():
    """Guards against documents that the real platform would reject."""
    fake = platform.FakePlatform()
    with pytest.raises(ValueError, match="above the limit"):
        fake.publish("configuration", {"a": "x" * 1_000_001})
