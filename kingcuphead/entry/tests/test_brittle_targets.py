import asyncio
import itertools

import pytest

from kingcuphead.entry.tests._fleet import Fleet
from kingcuphead.entry.tests._target import BrittleTarget

#: Targets, and how each of them is described and behaves.
TARGETS, SLOTS, WAITING, REJECTIONS = 6, 2, 1, 3
#: Falls that are allowed: two, and a tenth of the targets.
ALLOWED_FALLS = 2 + TARGETS / 10
#: Share of the requests that has to be served when the targets can serve all.
SERVED_SHARE = 0.75
#: Requests per second that the targets can serve, of which three quarters are sent, and
#: seconds for which they are.
CAPACITY = 240
LOAD_SECONDS = 8


def run(scenario):
    def make_targets(register):
        return [
            BrittleTarget(f"t{number}", "v1", register, REJECTIONS, SLOTS, WAITING)
            for number in range(TARGETS)
        ]

    async def main():
        fleet = Fleet(make_targets, slots=SLOTS)
        async with asyncio.timeout(60), fleet:
            await scenario(fleet)

    asyncio.run(main())


async def load(fleet, share, daemons=(1, 2, 3)):
    """Send a share of what the targets can serve; return the share that is served."""
    tasks = []
    choices = itertools.cycle(daemons)
    for _ in range(int(CAPACITY * share * LOAD_SECONDS)):
        tasks.append(asyncio.create_task(fleet.send(next(choices), b"body")))
        await asyncio.sleep(1 / (CAPACITY * share))
    statuses = await asyncio.gather(*tasks)
    return statuses.count(200) / len(statuses)


class TestBrittleTargets:
    @pytest.mark.parametrize("daemons", [(1, 2, 3), (1,)], ids=["even", "uneven"])
    def test_they_do_not_fall_over_and_serve_what_they_can(self, daemons):
        async def scenario(fleet):
            served = await load(fleet, 0.75, daemons)
            assert fleet.crashes <= ALLOWED_FALLS
            assert served >= SERVED_SHARE

        run(scenario)

    def test_they_do_not_fall_over_when_more_is_sent_than_they_can_serve(self):
        async def scenario(fleet):
            served = await load(fleet, 1.5)
            assert fleet.crashes <= ALLOWED_FALLS
            assert served >= SERVED_SHARE / 1.5

        run(scenario)

    def test_they_do_not_fall_over_while_daemons_end_and_start(self):
        async def scenario(fleet):
            sending = asyncio.create_task(load(fleet, 0.75))
            await asyncio.sleep(3.0)
            await fleet.kill_daemons((1,))
            await asyncio.sleep(1.5)
            await fleet.start_daemons((1,))
            await sending
            assert fleet.crashes <= ALLOWED_FALLS

        run(scenario)

    def test_they_do_not_fall_over_when_daemons_hear_nothing_of_each_other(self):
        async def scenario(fleet):
            fleet.cut_datagrams()
            await load(fleet, 0.75)
            assert fleet.crashes <= ALLOWED_FALLS

        run(scenario)
