import asyncio

import pytest

from kingcuphead.entry.tests._fleet import Fleet
from kingcuphead.entry.tests._target import (
    CRASHING_BODY,
    DOWN_SECONDS,
    CrashingTarget,
)

#: Targets that a request may crash: three, and three more until all daemons know of it.
MAX_CRASHES = 6


def make_targets(register):
    return [CrashingTarget(f"t{number}", "v1", register) for number in range(6)]


def run(scenario, **options):
    async def main():
        async with asyncio.timeout(40), Fleet(make_targets, **options) as fleet:
            await scenario(fleet)

    asyncio.run(main())


async def send_to_each(fleet, body, rounds):
    """Send a request to each daemon in turn and return the statuses.

    Targets that crash in one round are back before the next.
    """
    statuses = []
    for _ in range(rounds):
        statuses += [await fleet.send(number, body) for number in (1, 2, 3)]
        await asyncio.sleep(DOWN_SECONDS + 0.1)
    return statuses


class TestRequestsThatCrashTargets:
    @pytest.mark.parametrize("kind", ["safe", "unsafe"])
    def test_a_request_that_crashed_three_targets_is_not_sent_on(self, kind):
        async def scenario(fleet):
            await send_to_each(fleet, CRASHING_BODY, rounds=5)
            assert fleet.crashes <= MAX_CRASHES

        run(scenario, kind=kind)

    def test_nor_by_daemons_that_replace_those_that_saw_the_crashes(self):
        async def scenario(fleet):
            await send_to_each(fleet, CRASHING_BODY, rounds=3)
            for _ in range(2):
                await fleet.kill_daemons()
                await fleet.start_daemons()
                await send_to_each(fleet, CRASHING_BODY, rounds=2)
            assert fleet.crashes <= MAX_CRASHES

        run(scenario)

    def test_other_requests_are_served_meanwhile(self):
        async def scenario(fleet):
            for round_number in range(4):
                await send_to_each(fleet, CRASHING_BODY, rounds=1)
                body = f"other {round_number}".encode()
                assert await send_to_each(fleet, body, rounds=1) == [200, 200, 200]

        run(scenario)
