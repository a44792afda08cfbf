"""A roll-out of this build and its rollback, while callers go on.

Six entries run as processes: three of the build 2583d3d and three of 0c36a17.
They are replaced one by one by this build and then back again. All tests but
the last check the record of this one run.
"""

import asyncio
import statistics

import pytest

from slatechute import messages
from slatechute.gateway import peers as peer_groups
from slatechute.gateway import relaying
from slatechute.util import clock as clocks
from tests.gateway import builders
from tests.gateway import earlier_builds
from tests.gateway import mixed_fleet
from tests.gateway import small_fleet
from tests.gateway import token_fleet

_SEED = 6
# Interval between two versions of the configuration: each has to reach all
# entries before the next one hides that it has not.
_PUBLISH_INTERVAL_S = 2.2
# For how long the store has an earlier configuration: above the 0.3 s for which
# a reader collects changes, so that all entries see it.
_LATE_WRITE_S = 0.7
# The users' bounds: a change is active, and a leaving target gets nothing.
_CHANGE_LIMIT_S = 2.0
_LEAVING_LIMIT_S = 2.0
# A try ends with an answer at the latest then.
_FINISH_LIMIT_S = 4.0
# A planned stop loses no request, so that only the faults of the targets and
# their repeats at the deadline are left.
_MIN_SERVED_SHARE = 0.99


async def _publish_periodically(fleet):
    while True:
        await asyncio.sleep(_PUBLISH_INTERVAL_S)
        fleet.publish_configuration()


async def _leave_by_response(fleet, target):
    """Let a target announce that it leaves, and end its registration later."""
    target.announces_leaving = True
    # An entry that starts in between learns of it from the registration only.
    await asyncio.sleep(_LEAVING_LIMIT_S + 0.2)
    fleet.register(target, "draining")


def _leave_by_registration(fleet, target):
    fleet.register(target, "draining")
    target.leaving_s = asyncio.get_running_loop().time()


async def _write_earlier_configuration(fleet):
    """Write an earlier configuration, and a newer one before a host starts."""
    fleet.write_earlier_configuration()
    await asyncio.sleep(_LATE_WRITE_S)
    fleet.publish_configuration()


async def _spread_unknown_item(fleet):
    """Write an item that no build uses and wait until all entries have it."""
    key = f"op/unknown/{len(fleet.spread_s)}"
    started_s = asyncio.get_running_loop().time()
    fleet.store.put(key, {})
    spread_s = 0.0
    while spread_s < _CHANGE_LIMIT_S:
        views = await fleet.published_keys()
        spread_s = asyncio.get_running_loop().time() - started_s
        if all(key in keys for keys in views):
            break
        await asyncio.sleep(0.02)
    fleet.spread_s.append(spread_s)


async def _replace_all(fleet, build_by_entry, leaving):
    """Replace all entries; in the middle, two targets leave and two start."""
    for number, entry in enumerate(fleet.entries):
        if number == 2:
            for data_centre in ("z1", "z2"):
                await fleet.add_target("shop", data_centre)
            _leave_by_registration(fleet, leaving[0])
            await _spread_unknown_item(fleet)
            await _write_earlier_configuration(fleet)
        if number == 3:
            await _leave_by_response(fleet, leaving[1])
        await fleet.replace(entry, build_by_entry[entry.id])


async def _relay(control_address, target_id, request_id):
    """Let an entry carry out an exchange that may not be repeated.

    Returns:
        The status of the target, or the error.
    """
    client = relaying.RelayClient(
        builders.gateway_settings(), clocks.MonotonicClock()
    )
    presence = messages.Presence(
        "e1", "b1", "z1", "", control_address, 0, peer_groups.READY
    )
    request = relaying.RelayedRequest(
        "POST",
        f"/once/{request_id}",
        [("Host", "h"), ("X-Request-Id", request_id), ("Content-Length", "2")],
        b"ab",
        False,
        clocks.MonotonicClock().now_ms() + 900,
    )
    try:
        response = await client.exchange(
            peer_groups.Peer(presence, ("", 0), 0.0),
            builders.target(target_id),
            request,
        )
    except relaying.RelayError as error:
        return error
    finally:
        client.close()
    return response.status


async def _play(fleet):
    """Roll the current build out and back.

    Returns:
        Results of exchanges through an entry of each build, by its name.
    """
    first = [
        await fleet.add_target("shop", data_centre)
        for data_centre in ("z1", "z1", "z1", "z2", "z2", "z2")
    ]
    # Gets the exchanges through an entry of each build.
    first[5].has_faults = False
    await fleet.add_target("limited", "z1", fleet.LIMIT_PER_S)
    fleet.publish_configuration()
    earlier = {
        entry.id: earlier_builds.REVISIONS[number % 2]
        for number, entry in enumerate(fleet.entries)
    }
    for entry in fleet.entries:
        fleet.start(entry, earlier[entry.id])
    for entry in fleet.entries:
        await fleet.wait_ready(entry)
    result_by_build = {
        build: await _relay(
            fleet.entries[number].control, first[5].id, f"relayed-{build}"
        )
        for number, build in enumerate(earlier_builds.REVISIONS)
    }
    for prefix in ("/repeat/", "/once/"):
        for number in range(6):
            fleet.add_caller(prefix, 0.08, is_sticky=number % 3 > 0)
    for _ in range(4):
        # 20 requests/s, four times the limit.
        fleet.add_caller("/limited/", 0.2)
    tasks = [asyncio.create_task(caller.run()) for caller in fleet.callers]
    publisher = asyncio.create_task(_publish_periodically(fleet))
    await asyncio.sleep(1.0)
    current = dict.fromkeys(earlier, mixed_fleet.CURRENT_BUILD)
    await _replace_all(fleet, current, (first[0], first[3]))
    build = mixed_fleet.CURRENT_BUILD
    result_by_build[build] = await _relay(
        fleet.entries[0].control, first[5].id, f"relayed-{build}"
    )
    await _replace_all(fleet, earlier, (first[1], first[4]))
    await asyncio.sleep(_CHANGE_LIMIT_S + 0.2)
    publisher.cancel()
    fleet.is_over = True
    async with asyncio.timeout(_FINISH_LIMIT_S):
        await asyncio.gather(*tasks)
    for entry in fleet.entries:
        entry.run.process.terminate()
    return result_by_build


@pytest.fixture(scope="module")
def play(tmp_path_factory):
    """Return the fleet after the roll-out and the rollback, and `_play`'s."""
    builds = mixed_fleet.builds(tmp_path_factory.mktemp("builds"))

    async def main():
        folder = tmp_path_factory.mktemp("fleet")
        async with mixed_fleet.MixedFleet(folder, builds, _SEED) as played:
            result_by_build = await _play(played)
        return played, result_by_build

    return asyncio.run(main())


@pytest.fixture
def fleet(play):
    """Return the fleet after the roll-out and the rollback."""
    return play[0]


def test_requests_that_may_not_be_repeated_run_once_at_most(fleet):
    """Two builds could each repeat a request that the other one has sent."""
    runs_by_try = fleet.runs_by_try()
    requests = [r for r in fleet.requests("shop") if not r.repeatable]
    runs = [sum(runs_by_try[t.id] for t in r.tries) for r in requests]
    assert max(runs) == 1
    for request, count in zip(requests, runs, strict=True):
        if request.outcome is mixed_fleet.Outcome.SERVED:
            assert count == 1, request


def test_requests_answered_as_not_run_did_not_run(fleet):
    """The caller sends them again, so that they would run twice."""
    runs_by_try = fleet.runs_by_try()
    wrong = [
        attempt
        for service in ("shop", "limited")
        for request in fleet.requests(service)
        for attempt in request.tries
        if attempt.outcome is mixed_fleet.Outcome.NOT_RUN
        and runs_by_try[attempt.id]
    ]
    assert wrong == []


def test_no_request_is_lost_in_a_planned_stop(fleet):
    """A caller without an answer cannot know whether its request has run."""
    dropped = fleet.dropped_tries()
    lost = [
        request
        for request in fleet.requests("shop")
        if request.outcome is not mixed_fleet.Outcome.SERVED
        and not any(attempt.id in dropped for attempt in request.tries)
    ]
    assert lost == []
    stopped = [run for run in fleet.runs if run.exit_status is not None]
    assert len(stopped) == 2 * len(fleet.entries)
    assert {run.exit_status for run in stopped} == {0}


def test_requests_are_served(fleet):
    """The other checks would pass if the fleet refused everything."""
    requests = fleet.requests("shop")
    served = [r.outcome is mixed_fleet.Outcome.SERVED for r in requests]
    assert len(requests) > 1_000
    assert statistics.fmean(served) >= _MIN_SERVED_SHARE


def _adopted(run):
    """Return version, time and source of the configurations of a process."""
    return [
        (line["version"], line["monotonic_s"], line["source"])
        for line in run.log_lines("configuration_in_force")
    ]


def test_configuration_never_reverts(fleet):
    """An entry could adopt an older configuration, also from another build.

    In the roll-out and the rollback, the store gets an earlier version late and
    the entries pass it on to each other, which each of them has to refuse.

    A process that starts must not begin with a configuration from before the
    ones that the fleet has had for 2 s.
    """
    used_builds = set()
    for run in fleet.runs:
        versions = [version for version, _, _ in _adopted(run)]
        assert versions == sorted(set(versions))
        lines = run.log_lines("request_answered")
        # Lines that count suppressed ones have no version.
        used = [line["version"] for line in lines if "version" in line]
        assert used == sorted(used)
        if used:
            used_builds.add(run.build)
        known = [
            version
            for version, at_s in fleet.published
            if at_s < run.started_s - _CHANGE_LIMIT_S
        ]
        assert versions[0] >= max(known, default=0)
    assert used_builds == {run.build for run in fleet.runs}
    refused_builds = {
        run.build
        for run in fleet.runs
        if run.log_lines("configuration_not_newer")
    }
    assert refused_builds == used_builds


def test_configuration_reaches_all_entries_in_time(fleet):
    """Changes could get lost between two builds, in either direction."""
    late = [
        (run.entry_id, run.build, version)
        for version, at_s in fleet.published
        for run in fleet.runs
        if run.ready_s < at_s < run.stopped_s - _CHANGE_LIMIT_S
        and not any(
            adopted >= version and adopted_s < at_s + _CHANGE_LIMIT_S
            for adopted, adopted_s, _ in _adopted(run)
        )
    ]
    assert late == []


def test_entries_of_each_build_got_the_configuration_from_the_other(fleet):
    """The check of the configuration proves nothing if all read the store."""
    pairs = set()
    for run in fleet.runs:
        for _, at_s, source in _adopted(run):
            pairs |= {
                (other.build, run.build)
                for other in fleet.runs
                if other.entry_id == source
                and other.ready_s < at_s < other.stopped_s
            }
    current = mixed_fleet.CURRENT_BUILD
    for revision in earlier_builds.REVISIONS:
        assert {(revision, current), (current, revision)} <= pairs


def test_items_of_an_unknown_kind_pass_through_all_builds(fleet):
    """An earlier build must pass on items that only a later one uses.

    Two entries of a data centre read the store. They are of this build during
    the roll-out and of earlier ones during the rollback; the others are not.
    """
    assert len(fleet.spread_s) == 2
    assert max(fleet.spread_s) < _CHANGE_LIMIT_S


def test_leaving_targets_get_no_requests(fleet):
    """An entry could miss what a target has announced to one of another build.

    Two targets leave during the roll-out and two during the rollback.
    """
    leaving = [t for t in fleet.targets if t.leaving_s is not None]
    assert len(leaving) == 4
    for target in leaving:
        assert target.runs
        limit_s = target.leaving_s + _LEAVING_LIMIT_S
        assert [at_s for at_s in target.arrived_s if at_s > limit_s] == []


def test_new_targets_get_requests(fleet):
    """Registrations could get lost between two builds."""
    for target in fleet.targets[-4:]:
        assert target.runs


def test_rate_limit_of_a_target_is_held(fleet):
    """Two allocators of different builds could both hand out its tokens."""
    (target,) = [t for t in fleet.targets if t.limit_per_s is not None]
    times_ms = [at_s * 1000 for at_s in target.arrived_s]
    bound = token_fleet.bound(target.limit_per_s)
    assert token_fleet.most_in_a_window(times_ms) <= bound
    # The bound holds without any tokens if entries hardly send anything.
    duration_s = target.arrived_s[-1] - target.arrived_s[0]
    assert len(target.arrived_s) > 0.5 * target.limit_per_s * duration_s


def test_no_message_of_another_build_is_refused(fleet):
    """A frame that cannot be decoded, or an error while it is applied."""
    faults = [
        (run.build, line)
        for run in fleet.runs
        for line in run.log_lines(
            "datagram_refused",
            "peer_view_failed",
            "relayed_request_refused",
            "stop_failed",
            "unexpected_error",
            "unhandled_error",
        )
    ]
    assert faults == []


def test_exchange_through_an_entry_of_another_build(play):
    """An entry may ask a peer whose host has gone back to an earlier build.

    The build 2583d3d knows no frame 24 and sends nothing to a target. Counted
    as an unknown outcome, it would fail a request that may not be repeated.
    """
    fleet, result_by_build = play
    runs_by_try = fleet.runs_by_try()
    assert result_by_build["0c36a17"] == 200
    assert result_by_build[mixed_fleet.CURRENT_BUILD] == 200
    error = result_by_build["2583d3d"]
    assert isinstance(error, relaying.RelayError)
    assert not runs_by_try["relayed-2583d3d"]
    assert error.not_run


def test_view_in_place_of_a_relayed_response_is_not_run():
    """The same without the history: 2583d3d answers any request by its view."""

    async def check(fleet):
        app = await fleet.add_with_routes()
        server = app._auxiliary_servers[-1]
        server.handler = app._get_published
        error = await _relay(app.settings.control_address, "t1", "r1")
        assert isinstance(error, relaying.RelayError)
        assert error.not_run

    small_fleet.run(check)
