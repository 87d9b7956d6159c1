import asyncio
import random

from kingcuphead.loads import (
    REPORT_LIFETIME,
    LoadBoard,
    LoadExchange,
    LoadsReported,
    TargetLoad,
)
from kingcuphead.loads._exchange import MAX_RECEIVERS, REPORT_INTERVAL


def make_report(sender, number, running, unread=0):
    return LoadsReported(sender, number, (TargetLoad("t1", running, unread),))


class TestLoadBoard:
    def test_loads_of_all_daemons_are_added_up(self):
        board = LoadBoard()
        board.take(make_report("a", 1, 2, 500), 0.0)
        board.take(make_report("b", 1, 3, 700), 0.0)
        assert board.get_load("t1") == TargetLoad("t1", 5, 1_200)

    def test_a_newer_report_replaces_an_older_one(self):
        board = LoadBoard()
        board.take(make_report("a", 2, 2), 0.0)
        board.take(make_report("a", 1, 9), 0.1)
        board.take(make_report("a", 3, 4), 0.2)
        assert board.get_load("t1").running == 4

    def test_a_daemon_that_falls_silent_is_forgotten(self):
        board = LoadBoard()
        board.take(make_report("a", 1, 2), 0.0)
        board.expire(REPORT_LIFETIME + 0.01)
        assert board.get_load("t1").running == 0


class TestLoadExchange:
    def test_reports_reach_the_others(self):
        async def run():
            board = LoadBoard()
            own = (TargetLoad("t1", 1, 10),)
            other = LoadExchange("d2", board, tuple, send_nothing, random.Random(1))
            exchange = LoadExchange(
                "d1",
                LoadBoard(),
                lambda: own,
                lambda report, peer: other.take(report),
                random.Random(1),
            )
            exchange.peers = (("10.0.0.2", 9000),)
            task = asyncio.create_task(exchange.run())
            async with asyncio.timeout(5):
                while board.get_load("t1").running != 1:
                    await asyncio.sleep(0.01)
            task.cancel()

        asyncio.run(run())

    def test_a_large_change_is_told_before_the_next_report_is_due(self):
        """The load: a prompt of 60,000 tokens, then small ones at other daemons."""

        async def run():
            told = []
            loop = asyncio.get_running_loop()
            exchange = LoadExchange(
                "d1",
                LoadBoard(),
                lambda: (TargetLoad("t1", 1, 60_000),),
                lambda report, peer: told.append(loop.time()),
                random.Random(1),
            )
            exchange.peers = (("10.0.0.2", 9000),)
            task = asyncio.create_task(exchange.run())
            await asyncio.sleep(0)
            started_at = loop.time()
            exchange.hasten()
            await asyncio.sleep(REPORT_INTERVAL * 3)
            task.cancel()
            return [at - started_at for at in told]

        told = asyncio.run(run())
        assert told[0] < REPORT_INTERVAL / 2

    def test_a_report_goes_to_a_few_of_many_daemons(self):
        async def run():
            receivers = []
            exchange = LoadExchange(
                "d1",
                LoadBoard(),
                lambda: (TargetLoad("t1", 1, 10),),
                lambda report, peer: receivers.append(peer),
                random.Random(1),
            )
            exchange.peers = tuple((f"10.0.0.{n}", 9000) for n in range(200))
            task = asyncio.create_task(exchange.run())
            await asyncio.sleep(REPORT_INTERVAL * 1.5)
            task.cancel()
            assert len(set(receivers)) == len(receivers) == MAX_RECEIVERS

        asyncio.run(run())


def send_nothing(report, peer):
    """Stand in for a daemon without others."""
