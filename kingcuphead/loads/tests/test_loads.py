import asyncio
import functools
import random

import pytest

from kingcuphead.loads import (
    REPORT_LIFETIME,
    LoadBoard,
    LoadExchange,
    LoadsReported,
    TargetLoad,
    decode_report,
    encode_report,
)


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


class TestCodec:
    def test_a_report_survives_the_wire(self):
        report = make_report("a/1", 7, 3, 900)
        assert decode_report(encode_report(report)).ok == report

    @pytest.mark.parametrize("datagram", [b"", b"\xff" * 40, b"\x00"])
    def test_hostile_bytes_are_an_error(self, datagram):
        assert decode_report(datagram).is_error()


class TestLoadExchange:
    def test_daemons_hear_each_other(self):
        async def run():
            boards = [LoadBoard(), LoadBoard()]
            own = [(TargetLoad("t1", 1, 10),), (TargetLoad("t1", 2, 20),)]
            ports = [(f"127.0.0.{10 + number}", 21_719) for number in range(2)]
            exchanges = []
            for number in range(2):
                exchange = LoadExchange(
                    f"d{number}",
                    boards[number],
                    functools.partial(own.__getitem__, number),
                    random.Random(1),
                )
                exchange.peers = (ports[1 - number],)
                exchanges.append(exchange)
            tasks = [
                asyncio.create_task(exchange.run(port))
                for exchange, port in zip(exchanges, ports, strict=True)
            ]
            async with asyncio.timeout(5):
                while boards[0].get_load("t1").running != 2:
                    await asyncio.sleep(0.01)
                while boards[1].get_load("t1").running != 1:
                    await asyncio.sleep(0.01)
            for task in tasks:
                task.cancel()

        asyncio.run(run())
