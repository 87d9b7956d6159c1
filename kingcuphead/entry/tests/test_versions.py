import asyncio

from kingcuphead.entry.tests._fleet import Fleet
from kingcuphead.entry.tests._target import DOWN_SECONDS, StreamingTarget

#: Streams that are begun and resumed in each test.
STREAMS = 16


def make_targets(register):
    """Return four targets, two of each version."""
    return [
        StreamingTarget(f"t{number}", f"v{number % 2}", register) for number in range(4)
    ]


def run(scenario):
    async def main():
        fleet = Fleet(make_targets, kind="streaming", is_resumable=True)
        async with asyncio.timeout(40), fleet:
            await scenario(fleet)

    asyncio.run(main())


async def resume(fleet, number, part):
    """Take up a stream at a daemon and return what the caller has of it in all."""
    last = part.event_ids[-1]
    rest = await fleet.read_stream(number, resumed=part.request_id, last=last)
    return part.event_ids + rest.event_ids, part.versions + rest.versions


def count_continued(streams):
    """Check that no stream has two versions or a gap; count those that went on."""
    for event_ids, _ in streams:
        assert event_ids == tuple(range(1, len(event_ids) + 1))
    mixed_count = sum(len(set(versions)) > 1 for _, versions in streams)
    assert mixed_count == 0
    return sum(len(event_ids) > 2 for event_ids, _ in streams)


class TestStreamsOfTwoVersions:
    def test_a_stream_that_a_caller_takes_up_goes_on_at_its_version(self):
        async def scenario(fleet):
            streams = []
            for number in range(STREAMS):
                part = await fleet.read_stream(1, count=2)
                streams.append(await resume(fleet, 1 + number % 3, part))
            assert count_continued(streams) >= STREAMS / 2

        run(scenario)

    def test_also_after_the_daemon_that_began_it_was_killed(self):
        async def scenario(fleet):
            parts = [await fleet.read_stream(1, count=2) for _ in range(STREAMS)]
            await fleet.kill_daemons([1])
            streams = [await resume(fleet, 2, part) for part in parts]
            assert count_continued(streams) >= STREAMS / 2

        run(scenario)

    def test_nor_at_another_version_after_all_daemons_were_killed(self):
        async def scenario(fleet):
            parts = [await fleet.read_stream(1, count=2) for _ in range(STREAMS)]
            await fleet.kill_daemons()
            await fleet.start_daemons()
            count_continued([await resume(fleet, 2, part) for part in parts])

        run(scenario)

    def test_a_stream_whose_target_crashes_goes_on_at_its_version(self):
        async def scenario(fleet):
            streams = []
            for number in range(STREAMS):
                reading = asyncio.create_task(fleet.read_stream(1 + number % 3))
                await asyncio.sleep(0.07)
                fleet.targets[number % 4].crash()
                part = await reading
                streams.append((part.event_ids, part.versions))
                await asyncio.sleep(DOWN_SECONDS + 0.1)
            assert count_continued(streams) >= STREAMS / 2

        run(scenario)
