import asyncio

import pytest

from kingcuphead.entry.tests._fleet import Fleet
from kingcuphead.entry.tests._target import STREAM_EVENTS, StreamingTarget

#: Streams that are begun and resumed in each test.
STREAMS = 24
#: Seconds before the kill from which on all origins have to be kept.
SAVE_SECONDS = 1.0
#: Seconds after the return in which callers come back again and again.
RETURN_SECONDS = 3.0
#: Seconds after which a caller that was refused comes back.
RETRY_SECONDS = 0.1
#: Seconds of each call to a slow store.
SLOW_SECONDS = 0.3
#: Seconds for which a store is away after the return of the daemons.
AWAY_SECONDS = 1.5
#: Tables without which a daemon serves no caller.
NEEDED_TABLES = ("op", "servers")


def make_targets(register):
    """Return four targets, two of each version."""
    return [
        StreamingTarget(f"t{number}", f"v{number % 2}", register) for number in range(4)
    ]


def make_targets_of_one_version(register):
    return [StreamingTarget(f"t{number}", "v1", register) for number in range(4)]


def run(scenario, make_targets=make_targets):
    async def main():
        fleet = Fleet(make_targets, kind="streaming", is_resumable=True)
        async with asyncio.timeout(40), fleet:
            await scenario(fleet)

    asyncio.run(main())


async def begin_streams(fleet):
    """Return what callers have of streams that began at all daemons."""
    return await asyncio.gather(
        *(fleet.read_stream(1 + number % 3, count=2) for number in range(STREAMS))
    )


async def take_up(fleet, number, part, is_named):
    """Come back with a stream until a daemon goes on with it; return all its events.

    A caller whose answer breaks off within the stream doesn't come back.
    """
    deadline = asyncio.get_running_loop().time() + RETURN_SECONDS
    while asyncio.get_running_loop().time() < deadline:
        try:
            rest = await fleet.read_stream(
                number,
                resumed=part.request_id,
                last=part.event_ids[-1],
                is_named=is_named,
            )
        except ConnectionError:
            rest = None
        if rest is not None and rest.status == 200:
            return part.event_ids + rest.event_ids, part.versions + rest.versions
        await asyncio.sleep(RETRY_SECONDS)
    return part.event_ids, part.versions


async def return_callers(fleet, parts, is_named):
    """Take up all streams as soon as the daemons start."""
    return await asyncio.gather(
        *(
            take_up(fleet, 1 + (number + 1) % 3, part, is_named)
            for number, part in enumerate(parts)
        )
    )


async def prepare_store(fleet, condition):
    """Put the store into a condition; return what ends it, if anything does."""
    match condition:
        case "slow":
            fleet.store.delay = SLOW_SECONDS
        case "away":
            fleet.store.refused_tables = None
            await asyncio.sleep(0)
            asyncio.get_running_loop().call_later(AWAY_SECONDS, restore, fleet.store)
        case "partly away":
            tables = {table for _, table in fleet.store.calls}
            fleet.store.refused_tables = tables.difference(NEEDED_TABLES)


def restore(store):
    store.refused_tables = frozenset()


def leave_old_version(fleet):
    for target in fleet.targets:
        if target.version == "v0":
            target.leave()


def count_mixed(streams):
    return sum(len(set(versions)) > 1 for _, versions in streams)


def count_whole(streams):
    return sum(len(event_ids) == STREAM_EVENTS for event_ids, _ in streams)


async def play(fleet, condition, has_old_version, is_named):
    """Kill all daemons under streams of two versions; return what callers have."""
    parts = await begin_streams(fleet)
    await asyncio.sleep(SAVE_SECONDS)
    if not has_old_version:
        leave_old_version(fleet)
    await fleet.kill_daemons()
    await prepare_store(fleet, condition)
    fleet.begin_start()
    streams = await return_callers(fleet, parts, is_named)
    for event_ids, _ in streams:
        assert event_ids == tuple(range(1, len(event_ids) + 1))
    return streams


@pytest.mark.parametrize("is_named", [True, False], ids=["named", "unnamed"])
@pytest.mark.parametrize("has_old_version", [True, False], ids=["both", "old-gone"])
@pytest.mark.parametrize("condition", ["sound", "slow", "away", "partly away"])
class TestNoJoinedText:
    def test_no_stream_holds_events_of_two_versions(
        self, condition, has_old_version, is_named
    ):
        """Callers can't tell a text that was joined from two versions."""

        async def scenario(fleet):
            streams = await play(fleet, condition, has_old_version, is_named)
            assert count_mixed(streams) == 0

        run(scenario)


class TestStreamsGoOn:
    @pytest.mark.parametrize("condition", ["sound", "slow"])
    def test_streams_whose_version_has_targets_go_on(self, condition):
        """All were refused, since their daemons alone knew their versions."""

        async def scenario(fleet):
            streams = await play(fleet, condition, True, True)
            assert count_mixed(streams) == 0
            assert count_whole(streams) >= 0.95 * STREAMS

        run(scenario)

    def test_those_of_a_version_without_targets_are_refused(self):
        async def scenario(fleet):
            streams = await play(fleet, "sound", False, True)
            expected = sum(versions[0] == "v1" for _, versions in streams)
            assert count_mixed(streams) == 0
            assert count_whole(streams) == expected > 0

        run(scenario)


class TestCalls:
    def test_nothing_is_written_while_the_service_has_one_version(self):
        """Each call to the store is priced."""

        async def scenario(fleet):
            assert all(target.version == "v1" for target in fleet.targets)
            await begin_streams(fleet)
            await asyncio.sleep(SAVE_SECONDS)
            assert fleet.store.calls["POST", "origins"] == 0
            assert fleet.store.calls["GET", "origins"] == len(fleet.daemons)

        run(scenario, make_targets_of_one_version)
