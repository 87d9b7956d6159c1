"""Log lines that tell what fills the link of this instance."""

from loguru import logger

from kingcuphead.capacity._traffic import LinkTraffic

#: Seconds over which the traffic in a line is counted.
PERIOD = 1.0
#: Minimum seconds between two lines.
LINE_INTERVAL = 5.0


class LinkLog:
    """Logs the bytes of each kind of traffic while the link is used to capacity.

    Parameters
    ----------
    traffic
        The counts of this process.
    now
        Time of the start in seconds.
    """

    def __init__(self, traffic: LinkTraffic, now: float) -> None:
        self._traffic = traffic
        self._counted_at = now
        self._logged_at = float("-inf")
        self._totals = _read_totals(traffic)

    def step(self, is_full: bool, now: float) -> None:
        """Log the traffic of the last period if the link is full.

        Parameters
        ----------
        is_full
            Whether the link is used to capacity.
        now
            Time in seconds.
        """
        if now - self._counted_at < PERIOD:
            return
        seconds = now - self._counted_at
        totals, self._totals = self._totals, _read_totals(self._traffic)
        self._counted_at = now
        if is_full and now - self._logged_at >= LINE_INTERVAL:
            self._logged_at = now
            rates = (
                f"{name}={(total - totals[name]) / seconds:.0f}"
                for name, total in self._totals.items()
            )
            logger.bind(traffic=" ".join(rates)).info(
                "link is full; traffic in bytes a second"
            )


def _read_totals(traffic: LinkTraffic) -> dict[str, int]:
    """Return the totals by kind and direction."""
    counts = tuple(traffic.list_counts())
    sent = {f"{name}_sent": count.sent for name, count in counts}
    received = {f"{name}_received": count.received for name, count in counts}
    return sent | received
