import asyncio
import itertools

import pytest

from kingcuphead.entry.tests._cut import TargetCut
from kingcuphead.entry.tests._fleet import Fleet
from kingcuphead.entry.tests._target import ClosingTarget, StreamingTarget

#: Share of what the other daemons serve that those without a path have to serve.
SERVED_SHARE = 2 / 3
#: Seconds after which a daemon has to know that its path is lost, or is back.
DETECTION_SECONDS = 2.0
#: Requests per second of all callers, and seconds for which they are counted.
REQUESTS_PER_SECOND = 60
LOAD_SECONDS = 3.0

MODES = pytest.mark.parametrize("is_hanging", [False, True], ids=["refused", "hanging"])


def run(scenario, make_target=ClosingTarget, kind="safe", **options):
    def make_targets(register):
        return [make_target(f"t{number}", "v1", register) for number in range(6)]

    async def main():
        fleet = Fleet(make_targets, kind, **options)
        async with asyncio.timeout(60), fleet:
            await scenario(fleet)

    asyncio.run(main())


async def load(fleet, seconds, daemons=(1, 2, 3)):
    """Send requests to daemons in turn and return the served share of each."""
    tasks: dict[int, list[asyncio.Task[int]]] = {daemon: [] for daemon in daemons}
    choices = itertools.cycle(daemons)
    for _ in range(int(REQUESTS_PER_SECOND * seconds)):
        daemon = next(choices)
        tasks[daemon].append(asyncio.create_task(fleet.send(daemon, b"body")))
        await asyncio.sleep(1 / REQUESTS_PER_SECOND)
    shares = {}
    for daemon, sent in tasks.items():
        statuses = await asyncio.gather(*sent)
        shares[daemon] = statuses.count(200) / len(statuses)
    return shares


class TestDaemonsWithoutPathToTargets:
    @MODES
    @pytest.mark.parametrize("kind", ["safe", "unsafe"])
    def test_they_serve_like_the_others(self, kind, is_hanging):
        async def scenario(fleet):
            with TargetCut(fleet, (1, 2), is_hanging):
                await load(fleet, DETECTION_SECONDS)
                shares = await load(fleet, LOAD_SECONDS)
            for daemon in (1, 2):
                assert shares[daemon] >= SERVED_SHARE * shares[3]

        run(scenario, kind=kind)

    @MODES
    def test_their_callers_get_whole_streams(self, is_hanging):
        async def scenario(fleet):
            with TargetCut(fleet, (1, 2), is_hanging):
                for _ in range(4):
                    await fleet.read_stream(1, parts=("a0", "b0"))
                streams = [fleet.read_stream(1, parts=("a0", "c0")) for _ in range(12)]
                parts = await asyncio.gather(*streams)
            assert sum(part.is_whole for part in parts) >= SERVED_SHARE * len(parts)

        run(scenario, StreamingTarget, kind="streaming")

    def test_requests_that_find_the_path_lost_at_once_are_served(self):
        async def scenario(fleet):
            with TargetCut(fleet, (1, 2), is_hanging=False):
                sent = [fleet.send(1, b"body") for _ in range(12)]
                statuses = await asyncio.gather(*sent)
            assert statuses.count(200) >= SERVED_SHARE * len(statuses)

        run(scenario, kind="unsafe")

    @MODES
    def test_they_go_back_to_their_own_path(self, is_hanging):
        async def scenario(fleet):
            with TargetCut(fleet, (1, 2), is_hanging) as cut:
                await load(fleet, DETECTION_SECONDS)
                assert cut.direct_connections[1] == 0
                cut.is_active = False
                await load(fleet, DETECTION_SECONDS)
                before = cut.direct_connections[1]
                shares = await load(fleet, LOAD_SECONDS)
                used = cut.direct_connections[1] - before
            sent = LOAD_SECONDS * REQUESTS_PER_SECOND / 3
            assert used >= 0.9 * sent
            assert min(shares.values()) == 1.0

        run(scenario)

    def test_no_request_runs_twice_when_the_helping_daemon_ends(self):
        async def scenario(fleet):
            with TargetCut(fleet, (1, 2), is_hanging=False):
                await load(fleet, DETECTION_SECONDS)
                served = sum(len(target.runs) for target in fleet.targets)
                assert served >= DETECTION_SECONDS * REQUESTS_PER_SECOND * SERVED_SHARE
                sending = asyncio.create_task(load(fleet, LOAD_SECONDS, (1, 2)))
                await asyncio.sleep(1.0)
                await fleet.kill_daemons((3,))
                await sending
            runs: list[int] = [
                count for each in fleet.targets for count in each.runs.values()
            ]
            ids = [request for each in fleet.targets for request in each.runs]
            assert max(runs) == 1
            assert len(ids) == len(set(ids))

        run(scenario, kind="unsafe")

    def test_a_caller_that_leaves_cancels_its_request(self):
        async def scenario(fleet):
            with TargetCut(fleet, (1, 2), is_hanging=False):
                await load(fleet, DETECTION_SECONDS)
                for _ in range(5):
                    await fleet.send(1, b"0.6", patience=0.2)
                await asyncio.sleep(0.7)
            assert sum(target.abandoned for target in fleet.targets) == 5

        run(scenario)

    def test_a_helping_daemon_that_shuts_down_finishes_what_it_passes_on(self):
        async def scenario(fleet):
            with TargetCut(fleet, (1, 2), is_hanging=False):
                await load(fleet, DETECTION_SECONDS)
                sending = asyncio.create_task(fleet.send(1, b"0.3"))
                await asyncio.sleep(0.1)
                await fleet.stop_daemon(3)
                assert await sending == 200

        run(scenario, kind="unsafe")

    @pytest.mark.parametrize("ended", [2, 3])
    def test_targets_that_end_together_are_no_lost_path(self, ended):
        async def scenario(fleet):
            await load(fleet, 0.5)
            for target in fleet.targets[:ended]:
                target.stop()
            await load(fleet, 1.0)
            daemons = [daemon for daemon, _ in fleet.daemons.values()]
            assert not any(each._links.path_monitor.is_lost for each in daemons)

        run(scenario)

    def test_nothing_is_held_back_when_nobody_reaches_a_target(self):
        async def scenario(fleet):
            with TargetCut(fleet, (1, 2, 3), is_hanging=False):
                await load(fleet, DETECTION_SECONDS)
                loop = asyncio.get_running_loop()
                started_at = loop.time()
                assert await fleet.send(1, b"body") == 503
                assert loop.time() - started_at <= 0.5

        run(scenario)

    def test_requests_are_not_taken_for_crashing_ones(self):
        async def scenario(fleet):
            with TargetCut(fleet, (1, 2), is_hanging=False) as cut:
                for _ in range(6):
                    cut.is_active = False
                    leaving = [
                        fleet.send(each, b"1.0", patience=0.2) for each in (1, 2)
                    ]
                    sending = asyncio.gather(*leaving)
                    await asyncio.sleep(0.1)
                    cut.is_active = True
                    await sending
                    await asyncio.sleep(0.1)
                cut.is_active = False
                await asyncio.sleep(DETECTION_SECONDS)
            assert await fleet.send(3, b"1.0") == 200

        run(scenario)
