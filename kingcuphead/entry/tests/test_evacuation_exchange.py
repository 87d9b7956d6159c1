import pytest

from kingcuphead.entry._evacuation_exchange import EvacuationExchange
from kingcuphead.entry._table_listeners import EvacuationListener
from kingcuphead.entry._table_watch import Position
from kingcuphead.platform import Change
from kingcuphead.targets import TargetDirectory, ZonesAsked, ZonesReported


class Daemon:
    """The evacuated zones of one daemon, read at version 5 of era 1."""

    def __init__(self, has_store):
        self.asked: list[ZonesAsked] = []
        self.listener = EvacuationListener(TargetDirectory(), lambda change: None)
        self.exchange = EvacuationExchange(self.listener, self.asked.append)
        self.exchange.get_position = lambda: Position(5, 1)
        self.listener.apply_changes([Change("evacuate/a", b"")])
        if not has_store:
            self.listener._read_at = float("-inf")


class TestEvacuationExchange:
    """Guards against requests to an evacuated zone by a daemon without the store."""

    @pytest.mark.parametrize(
        ("report", "zones"),
        [
            (ZonesReported(1, 6, ("b",)), ("b",)),
            (ZonesReported(1, 6, ()), ()),
            (ZonesReported(2, 3, ("b",)), ("b",)),
            (ZonesReported(1, 5, ("b",)), ("a",)),
            (ZonesReported(0, 9, ("b",)), ("a",)),
        ],
    )
    def test_later_reports_replace_the_zones(self, report, zones):
        daemon = Daemon(has_store=False)
        daemon.exchange.handle_report(report)
        assert daemon.listener.list_zones() == zones

    def test_an_earlier_report_does_not_replace_a_later_one(self):
        daemon = Daemon(has_store=False)
        daemon.exchange.handle_report(ZonesReported(1, 8, ("b",)))
        daemon.exchange.handle_report(ZonesReported(1, 7, ()))
        assert daemon.listener.list_zones() == ("b",)

    @pytest.mark.parametrize("has_store", [True, False])
    def test_only_a_daemon_without_the_store_asks_and_only_others_answer(
        self, has_store
    ):
        daemon = Daemon(has_store)
        daemon.exchange.ask_if_due()
        answer = daemon.exchange.make_answer()
        if has_store:
            assert not daemon.asked
            assert answer == ZonesReported(1, 5, ("a",))
        else:
            assert daemon.asked == [ZonesAsked()]
            assert answer is None

    def test_a_daemon_with_the_store_ignores_reports(self):
        daemon = Daemon(has_store=True)
        daemon.exchange.handle_report(ZonesReported(1, 8, ()))
        assert daemon.listener.list_zones() == ("a",)
