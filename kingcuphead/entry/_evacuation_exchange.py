"""Tells daemons that can't reach the store which zones are evacuated."""

from collections.abc import Callable

from kingcuphead.entry._table_listeners import EvacuationListener
from kingcuphead.entry._table_watch import Position
from kingcuphead.targets import ZonesAsked, ZonesReported
from kingcuphead.timing import sleep_until_tick

#: Seconds without news from the store after which others are asked. A long poll that
#: works returns within one second.
MAX_NEWS_AGE = 1.5
#: Seconds between two questions.
ASK_INTERVAL = 0.5


class EvacuationExchange:
    """Asks other daemons for the evacuated zones while the store tells nothing.

    Parameters
    ----------
    listener
        Knows and changes the evacuated zones.
    ask
        Sends a question to some of the other daemons, unacknowledged.
    """

    def __init__(
        self, listener: EvacuationListener, ask: Callable[[ZonesAsked], None]
    ) -> None:
        self._listener = listener
        self._ask = ask
        self._reported = Position(-1, -1)
        #: Returns the position of the last read of the table; None before the first.
        self.get_position: Callable[[], Position | None] = lambda: None

    async def run(self) -> None:
        """Ask whenever there is no news, until cancelled."""
        while True:
            await sleep_until_tick(ASK_INTERVAL)
            self.ask_if_due()

    def ask_if_due(self) -> None:
        """Ask others if the store tells nothing."""
        if not self._has_news():
            self._ask(ZonesAsked())

    def make_answer(self) -> ZonesReported | None:
        """Return the answer to a question; None if this daemon has no news itself."""
        position = self.get_position()
        if position is None or not self._has_news():
            return None
        zones = self._listener.list_zones()
        return ZonesReported(position.era, position.version, zones)

    def handle_report(self, report: ZonesReported) -> None:
        """Apply an answer, unless the store or a later answer told more."""
        position = Position(report.version, report.era)
        known = self.get_position() or Position(-1, -1)
        newest = max(known, self._reported, key=lambda each: (each.era, each.version))
        is_later = (position.era, position.version) > (newest.era, newest.version)
        if is_later and not self._has_news():
            self._reported = position
            self._listener.replace_zones(report.zones)

    def _has_news(self) -> bool:
        return self._listener.get_age() <= MAX_NEWS_AGE
