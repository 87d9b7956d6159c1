import asyncio

from kingcuphead.loads import (
    REPORT_LIFETIME,
    LoadExchange,
    LoadsReported,
    PeerLoads,
    PlacementAnnounced,
    TargetLoad,
)
from kingcuphead.loads._changes import REPORT_INTERVAL
from kingcuphead.loads._exchange import MIN_LOOK_INTERVAL
from kingcuphead.loads._peer_loads import MAX_REPORT_INTERVAL
from kingcuphead.timing import sleep_until_tick


def make_report(sender, number, running, unread_tokens=0):
    return LoadsReported(sender, number, (TargetLoad("t1", running, unread_tokens),))


class TestPeerLoads:
    def test_loads_of_all_daemons_are_added_up(self):
        peer_loads = PeerLoads()
        peer_loads.apply_report(make_report("a", 1, 2, 500), 0.0)
        peer_loads.apply_report(make_report("b", 1, 3, 700), 0.0)
        assert peer_loads.get_load("t1") == TargetLoad("t1", 5, 1_200)

    def test_a_newer_report_replaces_an_older_one(self):
        peer_loads = PeerLoads()
        peer_loads.apply_report(make_report("a", 2, 2), 0.0)
        peer_loads.apply_report(make_report("a", 1, 9), 0.1)
        peer_loads.apply_report(make_report("a", 3, 4), 0.2)
        assert peer_loads.get_load("t1").running == 4

    def test_reports_of_an_unresponsive_daemon_expire(self):
        peer_loads = PeerLoads()
        peer_loads.apply_report(make_report("a", 1, 2), 0.0)
        peer_loads.expire(REPORT_LIFETIME + 0.01)
        assert peer_loads.get_load("t1").running == 0

    def test_each_daemon_counts_once_for_the_targets_asked_for(self):
        """Requests at targets of other services would take its share of these."""
        peer_loads = PeerLoads()
        loads = tuple(TargetLoad(f"t{number}", number, 0) for number in (1, 2, 3))
        peer_loads.apply_report(LoadsReported("a", 1, loads), 0.0)
        peer_loads.apply_report(make_report("b", 1, 4), 0.0)
        assert list(peer_loads.list_running({"t1", "t2"})) == [3, 4]


class TestPeerMemory:
    ROUNDS = 6

    def make_loads(self, tokens=300):
        peer_loads = PeerLoads()
        peer_loads.apply_report_rounds(self.ROUNDS)
        load = TargetLoad("t1", 1, 0, tokens)
        peer_loads.apply_report(LoadsReported("a", 1, (load,)), 0.0)
        peer_loads.apply_report(LoadsReported("idle", 1, ()), 0.0)
        return peer_loads

    def test_a_daemon_is_known_until_its_next_report_is_due(self):
        """Each request would need a permit in a large fleet, even if it were idle."""
        peer_loads = self.make_loads()
        due = self.ROUNDS * MAX_REPORT_INTERVAL
        peer_loads.expire(due)
        assert not peer_loads.reporters
        assert peer_loads.memory.daemons == 2
        assert peer_loads.memory.get_tokens("t1") == 300
        peer_loads.expire(due + REPORT_LIFETIME + 0.01)
        assert not peer_loads.memory.daemons
        assert not peer_loads.memory.get_tokens("t1")

    def test_the_next_report_replaces_the_tokens(self):
        peer_loads = self.make_loads()
        peer_loads.apply_report(LoadsReported("a", 2, ()), 2.0)
        assert not peer_loads.memory.get_tokens("t1")
        peer_loads.apply_report(make_report("a", 1, 5), 2.1)
        assert peer_loads.memory.daemons == 2


class TestLoadExchange:
    def test_reports_reach_other_daemons(self):
        async def run():
            peer_loads = PeerLoads()
            own = (TargetLoad("t1", 1, 10),)
            other = LoadExchange("d2", peer_loads, tuple, send_nothing)
            exchange = LoadExchange(
                "d1",
                PeerLoads(),
                lambda: own,
                other.handle_report,
            )
            task = asyncio.create_task(exchange.run())
            async with asyncio.timeout(5):
                while peer_loads.get_load("t1").running != 1:
                    await asyncio.sleep(0.01)
            task.cancel()

        asyncio.run(run())

    def test_a_large_change_is_reported_before_the_next_interval(self):
        """Guards against overloading a target between two periodic reports.

        One daemon sends it a prompt of 60,000 tokens, and then other daemons send it
        small ones, because the load that they have received does not include the
        large one yet.
        """

        async def run():
            sent_at = []
            loop = asyncio.get_running_loop()
            exchange = LoadExchange(
                "d1",
                PeerLoads(),
                lambda: (TargetLoad("t1", 1, 60_000),),
                lambda report: sent_at.append(loop.time()),
            )
            task = asyncio.create_task(exchange.run())
            await asyncio.sleep(0)
            started_at = loop.time()
            exchange.trigger_report()
            await asyncio.sleep(REPORT_INTERVAL * 3)
            task.cancel()
            return [at - started_at for at in sent_at]

        sent_at = asyncio.run(run())
        assert sent_at[0] < REPORT_INTERVAL / 2

    def test_a_periodic_look_does_not_follow_a_triggered_one_at_once(self):
        """Guards against a small change that is seen twice within milliseconds."""

        async def run():
            looked_at = []
            loop = asyncio.get_running_loop()

            def list_loads():
                looked_at.append(loop.time())
                return ()

            exchange = LoadExchange("d1", PeerLoads(), list_loads, send_nothing)
            task = asyncio.create_task(exchange.run())
            await sleep_until_tick(REPORT_INTERVAL)
            await asyncio.sleep(REPORT_INTERVAL * 0.8)
            triggered_at = loop.time()
            exchange.trigger_report()
            await asyncio.sleep(REPORT_INTERVAL * 3)
            task.cancel()
            return [each for each in looked_at if each >= triggered_at]

        triggered, periodic, *_ = asyncio.run(run())
        assert periodic - triggered >= MIN_LOOK_INTERVAL


def send_nothing(report):
    """Discard a report, as a daemon without peers does."""


class TestAnnouncements:
    """Two daemons must not choose one engine between two reports."""

    def make_announced(self):
        peer_loads = PeerLoads()
        peer_loads.apply_report(make_report("a", 1, 1, 500), 0.0)
        load = TargetLoad("t1", 1, 9_000, 9_100)
        peer_loads.apply_announcement(PlacementAnnounced("a", load), 0.0)
        return peer_loads

    def test_an_announced_placement_adds_to_the_last_report(self):
        load = self.make_announced().get_load("t1")
        assert load == TargetLoad("t1", 2, 9_500, 9_100)

    def test_the_next_report_of_the_daemon_replaces_it(self):
        peer_loads = self.make_announced()
        peer_loads.apply_report(make_report("a", 2, 2, 9_500), 0.1)
        assert peer_loads.get_load("t1") == TargetLoad("t1", 2, 9_500)

    def test_it_expires_without_a_report(self):
        peer_loads = self.make_announced()
        peer_loads.expire(REPORT_LIFETIME + 0.01)
        assert peer_loads.get_load("t1") == TargetLoad("t1", 0, 0)
