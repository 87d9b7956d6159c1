import asyncio
import contextlib
import itertools

import pytest

from kingcuphead.entry.tests._cut import TargetCut
from kingcuphead.entry.tests._fleet import INTERNAL_PORT, NETWORK, Fleet
from kingcuphead.entry.tests._target import (
    CRASHING_BODY,
    DOWN_SECONDS,
    SLOW_SECONDS,
    ClosingTarget,
    CrashingTarget,
    OftenAnsweringTarget,
    OnceAnsweringTarget,
    SlowlyCrashingTarget,
    SlowTarget,
    UnframedTarget,
)
from kingcuphead.paths._peers import FAILURE_PERIOD

#: Targets that a request may crash: three, and three more until all daemons know of it.
MAX_CRASHES = 6


def run(scenario, target_class=CrashingTarget, target_options=(), **options):
    def make_targets(register):
        return [
            target_class(f"t{number}", "v1", register, *target_options)
            for number in range(6)
        ]

    async def main():
        async with asyncio.timeout(40), Fleet(make_targets, **options) as fleet:
            await scenario(fleet)

    asyncio.run(main())


async def send_to_each(fleet, body, rounds, **options):
    """Send a request to each daemon in turn and return the statuses.

    Targets that crash in one round are back before the next.
    """
    statuses = []
    for _ in range(rounds):
        statuses += [await fleet.send(number, body, **options) for number in (1, 2, 3)]
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


class TestCrashesWithoutProofOfHarmlessness:
    """Guards against sending a request on because it looked harmless in between."""

    @pytest.mark.parametrize("status", ["500 Internal Server Error", "200 OK"])
    def test_answers_of_some_targets_do_not_hide_crashes_of_others(self, status):
        async def scenario(fleet):
            await send_to_each(fleet, CRASHING_BODY, rounds=7)
            assert fleet.crashes <= MAX_CRASHES

        run(scenario, OftenAnsweringTarget, (itertools.count(), status))

    def test_an_earlier_answer_does_not_hide_crashes(self):
        async def scenario(fleet):
            await send_to_each(fleet, CRASHING_BODY, rounds=7)
            assert fleet.crashes <= MAX_CRASHES

        run(scenario, OnceAnsweringTarget, (itertools.count(),))

    def test_the_end_of_a_connection_does_not_make_an_answer_whole(self):
        async def scenario(fleet):
            await send_to_each(fleet, CRASHING_BODY, rounds=7)
            assert fleet.crashes <= MAX_CRASHES

        run(scenario, UnframedTarget)


class TestHarmlessRequests:
    """Guards against refusing a request because its targets crash for other reasons."""

    def test_a_popular_request_is_served_after_all_its_targets_were_lost(self):
        async def scenario(fleet):
            for _ in range(5):
                await self.send_often(fleet)
            under_way = asyncio.create_task(self.send_often(fleet))
            await asyncio.sleep(SLOW_SECONDS / 2)
            for target in fleet.targets:
                target.crash()
            await under_way
            await asyncio.sleep(DOWN_SECONDS + 0.3)
            assert await self.send_often(fleet) == [200] * 12

        run(scenario, SlowTarget)

    async def send_often(self, fleet):
        tries = [fleet.send(number, b"popular") for number in (1, 2, 3) * 4]
        return await asyncio.gather(*tries)


class TestCrashesAfterAbandonedAttempts:
    """Guards against crashes that nobody counts since the attempt was over."""

    @pytest.mark.parametrize("delay", [0.1, 0.4])
    def test_a_caller_that_leaves_does_not_hide_the_crash(self, delay):
        async def scenario(fleet):
            await send_to_each(fleet, CRASHING_BODY, rounds=7, patience=0.05)
            assert fleet.crashes <= MAX_CRASHES

        run(scenario, SlowlyCrashingTarget, (delay,))

    def test_nor_does_a_deadline(self):
        async def scenario(fleet):
            for _ in range(7):
                tries = [fleet.send(number, CRASHING_BODY) for number in (1, 2, 3)]
                await asyncio.gather(*tries)
                await asyncio.sleep(DOWN_SECONDS + 0.1)
            assert fleet.crashes <= MAX_CRASHES

        run(scenario, SlowlyCrashingTarget, (2.1,), kind="unsafe")

    def test_nor_do_daemons_that_are_all_replaced_after_each_crash(self):
        async def scenario(fleet):
            for _ in range(9):
                await fleet.send(1, CRASHING_BODY)
                await asyncio.sleep(DOWN_SECONDS + 0.1)
                await fleet.kill_daemons()
                await fleet.start_daemons()
            assert fleet.crashes <= MAX_CRASHES

        run(scenario, kind="unsafe")


@contextlib.asynccontextmanager
async def freeze_daemons(fleet, numbers):
    """End daemons; their addresses accept connections, and nothing answers.

    So does a process that is stopped, or whose machine is suspended.
    """
    await fleet.kill_daemons(numbers)
    servers = [
        await asyncio.start_server(_read_all, f"{NETWORK}.{number}", INTERNAL_PORT)
        for number in numbers
    ]
    try:
        yield
    finally:
        for server in servers:
            server.close()


async def _read_all(reader, writer):
    with contextlib.suppress(ConnectionError):
        await reader.read()
    writer.close()


class TestLostDaemons:
    """Guards against crashes that no daemon counts because others don't confirm them.

    And against a daemon without a path that takes living targets for crashed ones.
    """

    @pytest.mark.parametrize("is_frozen", [True, False], ids=["frozen", "ended"])
    def test_the_one_that_is_left_holds_a_crashing_request_back(self, is_frozen):
        async def scenario(fleet):
            async with contextlib.AsyncExitStack() as stack:
                if is_frozen:
                    await stack.enter_async_context(freeze_daemons(fleet, (2, 3)))
                else:
                    await fleet.kill_daemons((2, 3))
                # By then, a daemon that couldn't help would be asked again.
                for _ in range(MAX_CRASHES + 2):
                    await fleet.send(1, CRASHING_BODY)
                    await asyncio.sleep(FAILURE_PERIOD + 0.4)
            assert fleet.crashes <= MAX_CRASHES

        run(scenario, kind="unsafe")

    def test_requests_of_a_daemon_without_a_path_are_not_taken_for_crashing(self):
        async def scenario(fleet):
            async with freeze_daemons(fleet, (2, 3)):
                with TargetCut(fleet, (1,), is_hanging=False) as cut:
                    for _ in range(6):
                        cut.is_active = False
                        sending = asyncio.create_task(
                            fleet.send(1, b"1.0", patience=0.2)
                        )
                        await asyncio.sleep(0.1)
                        cut.is_active = True
                        await sending
                        await asyncio.sleep(0.6)
                    cut.is_active = False
                    await asyncio.sleep(1.0)
                assert await fleet.send(1, b"1.0") == 200

        run(scenario, ClosingTarget)
