"""Exchange of the evacuated zones with daemons that can't reach the store."""

from collections.abc import Callable

from kingcuphead.entry._table_listeners import EvacuationListener
from kingcuphead.entry._table_watch import Position
from kingcuphead.targets import ZonesAsked, ZonesReported
from kingcuphead.timing import sleep_until_tick

#: Seconds since the last answer of the store after which other daemons are asked. The
#: store answers a long poll within one second.
MAX_READ_AGE = 1.5
#: Seconds between two queries to other daemons.
ASK_INTERVAL = 0.5
#: Position before any change.
NO_POSITION = Position(-1, -1)


class EvacuationExchange:
    """Asks other daemons for the evacuated zones while the store doesn't answer.

    Parameters
    ----------
    listener
        Knows and changes the evacuated zones.
    ask
        Sends a query to some of the other daemons, unacknowledged.
    """

    def __init__(
        self, listener: EvacuationListener, ask: Callable[[ZonesAsked], None]
    ) -> None:
        self._listener = listener
        self._ask = ask
        self._reported = NO_POSITION
        #: Returns the position of the last read of the table; None before the first.
        self.get_position: Callable[[], Position | None] = lambda: None

    async def run(self) -> None:
        """Ask while the store doesn't answer, until cancelled."""
        while True:
            await sleep_until_tick(ASK_INTERVAL)
            self.ask_if_due()

    def ask_if_due(self) -> None:
        """Ask other daemons if the store doesn't answer."""
        if not self._is_up_to_date():
            self._ask(ZonesAsked())

    def make_answer(self) -> ZonesReported | None:
        """Return the answer to a query; None if this daemon can't reach the store."""
        position = self.get_position()
        if position is None or not self._is_up_to_date():
            return None
        zones = self._listener.list_zones()
        return ZonesReported(position.era, position.version, zones)

    def handle_report(self, report: ZonesReported) -> None:
        """Apply an answer, unless the store or another answer was more recent."""
        position = Position(report.version, report.era)
        known = self.get_position() or NO_POSITION
        is_later = position.is_after(known) and position.is_after(self._reported)
        if is_later and not self._is_up_to_date():
            self._reported = position
            self._listener.replace_zones(report.zones)

    def _is_up_to_date(self) -> bool:
        return self._listener.get_age() <= MAX_READ_AGE
