import asyncio
import itertools

import pytest

from kingcuphead.entry.tests._fleet import Fleet
from kingcuphead.entry.tests._target import (
    CRASHING_PART,
    DOWN_SECONDS,
    PromptTarget,
    StreamingTarget,
)
from kingcuphead.quarantine._trials import TRIAL_DELAY

#: Targets that requests with one part may crash: five, and three more until all daemons
#: know of it.
MAX_CRASHES = 8

#: Seconds until a target begins to answer, in which a test lets it crash.
PREFILL_SECONDS = 1.0


class SlowStreamTarget(StreamingTarget):
    """Begins to stream after `PREFILL_SECONDS`; crashes when it is told to."""

    #: Number of requests that it has begun to read.
    begun = 0

    async def answer(self, headers, body, writer):
        self.begun += 1
        await asyncio.sleep(PREFILL_SECONDS)
        await super().answer(headers, body, writer)


def make_targets(register):
    return [PromptTarget(f"t{number}", "v1", register) for number in range(6)]


def make_sound_targets(register):
    return [SlowStreamTarget(f"t{number}", "v1", register) for number in range(6)]


def run(scenario, make_targets=make_targets, **options):
    async def main():
        fleet = Fleet(make_targets, kind="streaming", **options)
        async with asyncio.timeout(60), fleet:
            await scenario(fleet)

    asyncio.run(main())


async def send_crashing(fleet, prefix, rounds):
    """Send requests with the crashing part to each daemon in turn, no two alike.

    Targets that crash in one round are back before the next.
    """
    for number in range(rounds):
        for daemon in (1, 2, 3):
            last = f"{number}{daemon}"
            await fleet.read_stream(daemon, parts=(*prefix, CRASHING_PART, last))
        await asyncio.sleep(DOWN_SECONDS + 0.1)


async def send_sound(fleet, parts):
    """Send a request to each daemon and return whether all were answered."""
    streams = [fleet.read_stream(daemon, parts=parts) for daemon in (1, 2, 3)]
    return all(stream.is_whole for stream in await asyncio.gather(*streams))


class TestPartsThatCrashTargets:
    @pytest.mark.parametrize("is_resumable", [False, True])
    def test_requests_with_a_part_that_crashes_targets_are_not_sent_on(
        self, is_resumable
    ):
        async def scenario(fleet):
            await send_crashing(fleet, ("a0",), rounds=7)
            assert fleet.crashes <= MAX_CRASHES

        run(scenario, is_resumable=is_resumable)

    def test_nor_by_daemons_that_replace_those_that_saw_the_crashes(self):
        async def scenario(fleet):
            for number in range(11):
                parts = ("a0", CRASHING_PART, f"{number}")
                await fleet.read_stream(1, parts=parts)
                await asyncio.sleep(DOWN_SECONDS + 0.1)
                await fleet.kill_daemons()
                await fleet.start_daemons()
            assert fleet.crashes <= MAX_CRASHES

        run(scenario)

    @pytest.mark.parametrize(
        "prefix", [(), ("a0",), ("a0", "a1")], ids=["first", "second", "third"]
    )
    @pytest.mark.parametrize("suffix", [(), ("c0",)], ids=["to_last", "of_more"])
    def test_requests_that_share_the_other_parts_are_served(self, prefix, suffix):
        """Whether or not requests with these parts were answered before."""

        async def scenario(fleet):
            for number in range(4):
                for daemon in (1, 2, 3):
                    last = f"{number}{daemon}"
                    parts = (*prefix, CRASHING_PART, *suffix, last)
                    await fleet.read_stream(daemon, parts=parts)
                await asyncio.sleep(DOWN_SECONDS + 0.1)
            assert fleet.crashes <= MAX_CRASHES
            assert await send_sound(fleet, (*prefix, *suffix, "sound"))
            assert await send_sound(fleet, (*prefix, "sound"))
            await send_crashing(fleet, prefix, rounds=2)
            assert fleet.crashes <= MAX_CRASHES

        run(scenario)

    def test_requests_beside_the_crashing_ones_are_served(self):
        """Their parts are lost with the same targets, again and again."""
        names = itertools.count()

        async def send_beside(fleet, daemon):
            crashing = ("a0", CRASHING_PART, f"{next(names)}")
            tries = [fleet.read_stream(daemon, parts=crashing)]
            for neighbour in range(12):
                parts = ("a0", f"b{neighbour}", f"{next(names)}")
                tries.append(fleet.read_stream(daemon, parts=parts))
            await asyncio.gather(*tries)

        async def scenario(fleet):
            for number in range(10):
                await send_beside(fleet, number % 3 + 1)
                await asyncio.sleep(DOWN_SECONDS + 0.1)
            assert fleet.crashes <= MAX_CRASHES
            for neighbour in range(12):
                assert await send_sound(fleet, ("a0", f"b{neighbour}", "last"))

        run(scenario)


class TestPartsThatWereBesideCrashes:
    """Guards against parts that stay refused since no request with them may run."""

    async def crash_targets(self, fleet):
        """Let targets crash by themselves while they read a new part."""
        for target in fleet.targets:
            target.begun = 0
        # Each has a second part of its own, so that they are spread over the targets.
        streams = [
            asyncio.create_task(
                fleet.read_stream(
                    number % 3 + 1, parts=("n0", f"b{number}", f"{number}")
                )
            )
            for number in range(24)
        ]
        await asyncio.sleep(PREFILL_SECONDS / 2)
        reading = [target for target in fleet.targets if target.begun]
        assert len(reading) >= 5, "requests with the part are at too few targets"
        for target in reading[:4]:
            target.crash()
        # The rows are written by then, and the other targets haven't answered yet.
        await asyncio.sleep(PREFILL_SECONDS * 0.4)
        await fleet.kill_daemons()
        # Their connections end without an answer.
        await asyncio.gather(*streams, return_exceptions=True)

    def test_they_are_served_again_after_the_loss_of_all_daemons(self):
        async def scenario(fleet):
            await self.crash_targets(fleet)
            await fleet.start_daemons()
            parts = ("n0", "early", "1")
            early = await fleet.read_stream(1, parts=parts)
            assert early.status == 503, "the part was not quarantined"
            deadline = asyncio.get_running_loop().time() + 4 * TRIAL_DELAY
            served = 0
            while served < 6 and asyncio.get_running_loop().time() < deadline:
                parts = ("n0", f"c{served}", f"{deadline}")
                daemon = served % 3 + 1
                served += (await fleet.read_stream(daemon, parts=parts)).is_whole
                await asyncio.sleep(0.1)
            assert served == 6

        run(scenario, make_sound_targets)
