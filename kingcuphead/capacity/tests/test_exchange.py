import asyncio

import pytest
from loguru import logger

from kingcuphead.capacity import (
    LINK_TRAFFIC,
    CapacityExchange,
    CapacityFigures,
    CapacityReported,
    Readiness,
)
from kingcuphead.datagrams import decode_datagram, encode_datagram

#: Capacity of the link in Mbit/s, and in bytes a second.
LINK_MBPS, LINK_RATE = 5.0, 625_000.0
#: Seconds between two ticks; they are a little late, as in an event loop.
TICK = 0.101


class Played:
    """An exchange whose ticks are played, with eleven other daemons."""

    def __init__(self, is_enabled=True):
        self.gossiped: list[CapacityReported] = []
        self.broadcast: list[CapacityReported] = []
        self.figures: list[CapacityFigures] = []
        self.exchange = CapacityExchange(
            "me", "z", self.gossiped.append, self.broadcast.append
        )
        self.exchange.record = self.figures.append
        self.exchange.apply_limits(LINK_MBPS, is_enabled)
        self.now = asyncio.get_running_loop().time()
        self._number = 0

    def play(self, seconds, link_load=0.0):
        for _ in range(round(seconds / TICK)):
            self.now += TICK
            self._number += 1
            for other in range(11):
                report = CapacityReported(
                    f"o{other}", self._number, "z", 0.1, Readiness.READY
                )
                self.exchange._zone_loads.apply_report(report, self.now)
            LINK_TRAFFIC.callers.record_sent(round(link_load * LINK_RATE * TICK))
            self.exchange.tick(self.now, 0.0, 0.0)

    def shed(self):
        """Shed load until connections are marked."""
        self.play(12.0)
        connections = self.exchange.connections
        shedder = self.exchange._shedder
        assert shedder is not None
        while not shedder.fails_checks(self.now):
            self.play(TICK, 0.88)
        for caller in range(4):
            connections.find(caller, f"{caller}").record_sent(10_000)
        for _ in range(2):
            shedder.record_check(False, self.now)
            self.play(0.6, 0.88)


def run(scenario, is_enabled=True):
    async def main():
        scenario(Played(is_enabled))

    asyncio.run(main())


class TestCapacityExchange:
    def test_loads_are_reported_once_a_second(self):
        def scenario(played):
            played.play(10.0, 0.4)
            assert 9 <= len(played.gossiped) <= 11
            assert not played.broadcast
            last = played.gossiped[-1]
            assert (last.sender, last.zone) == ("me", "z")
            assert last.load == pytest.approx(0.4, abs=0.02)
            assert played.figures[-1].load.link == pytest.approx(0.4, abs=0.02)

        run(scenario)

    def test_shedding_marks_connections_and_is_logged(self):
        lines = []
        sink = logger.add(lambda line: lines.append(line.record), level="INFO")

        def scenario(played):
            played.shed()
            assert played.exchange.connections.marked_count == 2
            for caller in range(4):
                connection = played.exchange.connections.find(caller, "")
                if connection.is_marked:
                    played.exchange.connections.remove(caller)
            played.play(TICK, 0.88)
            assert [each.readiness for each in played.broadcast] == [
                Readiness.CANDIDATE,
                Readiness.SHEDDING,
                Readiness.READY,
            ]
            played.play(1.0)
            assert played.figures[-1].closed_connections == 2
            assert played.figures[-1].unready_seconds > 0

        run(scenario)
        logger.remove(sink)
        begin, closing, end = lines
        assert begin["message"] == "load shedding began"
        assert begin["extra"]["link"] == pytest.approx(0.88, abs=0.1)
        assert begin["extra"]["median"] == 0.1
        assert begin["extra"]["others"] == 11
        assert closing["extra"]["connections"] == 2
        assert end["message"] == "load shedding ended"
        assert end["extra"]["reason"] == "connections closed"

    def test_a_daemon_that_does_not_serve_yet_says_so(self):
        def scenario(played):
            played.exchange.is_serving = lambda: False
            played.play(0.2)
            played.exchange.is_serving = lambda: True
            played.play(0.2)
            assert [each.readiness for each in played.broadcast] == [
                Readiness.UNREADY,
                Readiness.READY,
            ]

        run(scenario)

    def test_nothing_happens_unless_it_is_enabled(self):
        def scenario(played):
            played.play(20.0, 1.0)
            played.exchange.record_check(False)
            assert not played.gossiped
            assert not played.broadcast
            assert not played.exchange.is_unready

        run(scenario, is_enabled=False)

    def test_disabling_it_ends_shedding(self):
        def scenario(played):
            played.shed()
            assert played.exchange.connections.marked_count
            played.exchange.apply_limits(LINK_MBPS, False)
            assert not played.exchange.is_unready
            assert not played.exchange.connections.marked_count

        run(scenario)

    def test_samples_are_taken_while_it_runs(self):
        async def main():
            played = Played()
            task = asyncio.create_task(played.exchange.run())
            async with asyncio.timeout(5):
                while len(played.gossiped) < 2:
                    await asyncio.sleep(0.05)
            task.cancel()

        asyncio.run(main())


class TestCapacityReported:
    @pytest.mark.parametrize("readiness", Readiness)
    def test_reports_survive_the_wire(self, readiness):
        report = CapacityReported("d1@10.0.0.1/ab", 7, "z", 0.625, readiness)
        assert decode_datagram(encode_datagram(report)) == report


class TestFullLink:
    @pytest.mark.parametrize("is_narrow", [False, True])
    def test_only_a_link_that_is_stated_as_narrow_is_full(self, is_narrow):
        """Guards against a lost path that is ignored for an assumed capacity."""

        async def play():
            played = Played()
            played.exchange.is_link_narrow = is_narrow
            played.play(3.0, link_load=1.2)
            assert played.exchange.is_link_full is is_narrow

        asyncio.run(play())


class TestLateLoop:
    @pytest.mark.parametrize(
        ("lags", "is_late"), [((0.06,), True), ((0.0,) * 6 + (2.0,), False)]
    )
    def test_the_loop_is_late_if_most_ticks_are(self, lags, is_late):
        """Guards against one long callback that explains failures of other daemons."""

        async def play():
            played = Played()
            for number in range(30):
                played.now += TICK
                played.exchange.tick(played.now, lags[number % len(lags)], 0.0)
            assert played.exchange.is_loop_late is is_late

        asyncio.run(play())
