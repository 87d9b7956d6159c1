import asyncio
import dataclasses
import itertools

import pytest

from kingcuphead.entry.tests._fleet import Fleet
from kingcuphead.entry.tests._target import LimitedTarget

#: Seconds over which requests to a target are counted, and those that it may get then.
WINDOW = 4.0
ALLOWED_RATIO, ALLOWED_EXTRA = 1.5, 5
#: Seconds after the first statement of a limit from which on requests are counted.
SETTLING_SECONDS = 1.0
#: Share of what the targets take together that has to be used when more is asked for.
USED_SHARE = 0.75
#: Seconds within which a request that can't be served has its answer.
REFUSAL_SECONDS = 0.3
#: Requests per second of all callers, and seconds for which they are sent.
REQUESTS_PER_SECOND = 75
LOAD_SECONDS = 6.5


@dataclasses.dataclass(frozen=True)
class Outcome:
    """What a caller got, and after how many seconds."""

    status: int
    seconds: float


def run(scenario, limits):
    def make_targets(register):
        return [
            LimitedTarget(f"t{number}", "v1", register, limit)
            for number, limit in enumerate(limits)
        ]

    async def main():
        async with asyncio.timeout(60), Fleet(make_targets) as fleet:
            await scenario(fleet)

    asyncio.run(main())


async def send(fleet, daemon):
    loop = asyncio.get_running_loop()
    started_at = loop.time()
    status = await fleet.send(daemon, b"body")
    return Outcome(status, loop.time() - started_at)


async def load(fleet, daemons=(1, 2, 3), seconds=LOAD_SECONDS):
    """Send requests to daemons in turn and return what callers got."""
    tasks = []
    choices = itertools.cycle(daemons)
    for _ in range(int(REQUESTS_PER_SECOND * seconds)):
        tasks.append(asyncio.create_task(send(fleet, next(choices))))
        await asyncio.sleep(1 / REQUESTS_PER_SECOND)
    return await asyncio.gather(*tasks)


def count_most(target, since):
    """Return the most requests that a target got in some window."""
    times = [each for each in target.arrivals if each >= since]
    return max(
        (sum(start <= each < start + WINDOW for each in times) for start in times),
        default=0,
    )


def check_limits(fleet, since):
    for target in fleet.targets:
        if target.limit is not None:
            allowed = ALLOWED_RATIO * WINDOW * target.limit + ALLOWED_EXTRA
            assert count_most(target, since) <= allowed


def check_use(fleet):
    """Check that the limits were used in the last window, when more was asked for."""
    since = asyncio.get_running_loop().time() - WINDOW
    used = sum(each >= since for target in fleet.targets for each in target.arrivals)
    assert used >= USED_SHARE * WINDOW * sum(each.limit for each in fleet.targets)


def get_settled_time():
    return asyncio.get_running_loop().time() + SETTLING_SECONDS


class TestRateLimits:
    @pytest.mark.parametrize("daemons", [(1, 2, 3), (1,)], ids=["even", "uneven"])
    @pytest.mark.parametrize("limit", [1, 2, 8])
    def test_all_daemons_together_keep_the_limit_and_use_it(self, limit, daemons):
        async def scenario(fleet):
            since = get_settled_time()
            await load(fleet, daemons)
            check_limits(fleet, since)
            check_use(fleet)

        run(scenario, [limit] * 6)

    def test_other_targets_serve_what_is_beyond_a_limit(self):
        async def scenario(fleet):
            since = get_settled_time()
            outcomes = await load(fleet)
            check_limits(fleet, since)
            assert {outcome.status for outcome in outcomes} == {200}

        run(scenario, [1, 1.2, None, None, None, None])

    def test_what_no_limit_covers_is_refused_at_once(self):
        async def scenario(fleet):
            await load(fleet, seconds=1.0)
            refused = [each for each in await load(fleet) if each.status == 503]
            assert refused
            assert max(each.seconds for each in refused) <= REFUSAL_SECONDS

        run(scenario, [2] * 6)

    def test_the_limit_is_kept_while_daemons_end_and_start(self):
        async def scenario(fleet):
            since = get_settled_time()
            sending = asyncio.create_task(load(fleet))
            await asyncio.sleep(2.0)
            await fleet.kill_daemons((1,))
            await asyncio.sleep(1.5)
            await fleet.start_daemons((1,))
            await sending
            check_limits(fleet, since)

        run(scenario, [4] * 6)

    def test_the_limit_is_kept_by_daemons_that_hear_nothing_of_each_other(self):
        async def scenario(fleet):
            fleet.cut_datagrams()
            since = get_settled_time()
            await load(fleet)
            check_limits(fleet, since)

        run(scenario, [2] * 6)

    def test_a_limit_ends_when_it_is_no_longer_stated(self):
        async def scenario(fleet):
            await load(fleet, seconds=2.0)
            for target in fleet.targets:
                target.limit = None
            await load(fleet, seconds=2.0)
            outcomes = await load(fleet, seconds=1.0)
            assert {outcome.status for outcome in outcomes} == {200}

        run(scenario, [2] * 6)
