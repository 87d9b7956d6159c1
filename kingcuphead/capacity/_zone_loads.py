"""The loads of the other daemons of a zone, from their latest reports."""

import dataclasses

from kingcuphead.capacity._decisions import Overload
from kingcuphead.capacity._median import compute_median
from kingcuphead.capacity._messages import (
    UNREADY_STATES,
    CapacityReported,
    Readiness,
)

#: Seconds after its receipt in which a report says what the load of its sender is.
REPORT_LIFETIME = 4.0
#: Seconds after its receipt in which a report says that its sender exists, and that it
#: is unready if it was. Longer than a daemon sheds load at a time.
MEMBER_LIFETIME = 6.0
#: Seconds after its receipt in which a report counts its sender's instance as one of
#: the zone. Longer than `MEMBER_LIFETIME`, in which the reports of a third of the zone
#: go to other receivers, so that too few daemons would be allowed to be unready.
COUNT_LIFETIME = 20.0
#: Multiple of the zone's median load that is more load than the others have.
MEDIAN_RATIO = 1.5
#: Other daemons with known load without which a daemon's load is not compared.
MIN_OTHERS = 5
#: Daemons of a zone for each one that may be unready.
DAEMONS_PER_UNREADY = 6

Rank = tuple[float, str]


@dataclasses.dataclass(frozen=True, slots=True)
class _ReceivedReport:
    report: CapacityReported
    received_at: float

    @property
    def rank(self) -> Rank:
        return self.report.load, self.report.sender


class ZoneLoads:
    """Keeps the newest report of each other daemon of the zone; does no I/O.

    Parameters
    ----------
    zone
        Availability zone of this daemon.
    """

    def __init__(self, zone: str) -> None:
        self._zone = zone
        self._reports: dict[str, _ReceivedReport] = {}
        self._heard_at: dict[str, float] = {}

    def apply_report(self, report: CapacityReported, now: float) -> None:
        """Replace the sender's previous report; ignore reports out of order."""
        if report.zone != self._zone:
            return
        previous = self._reports.get(report.sender)
        if previous is None or previous.report.number < report.number:
            # Both are kept in the order of receipt.
            self._reports.pop(report.sender, None)
            self._reports[report.sender] = _ReceivedReport(report, now)
            instance = _get_instance(report.sender)
            self._heard_at.pop(instance, None)
            self._heard_at[instance] = now

    def expire(self, now: float) -> None:
        """Drop the daemons that have not been heard of for too long."""
        while self._reports:
            sender, oldest = next(iter(self._reports.items()))
            if now - oldest.received_at <= MEMBER_LIFETIME:
                break
            del self._reports[sender]
        while self._heard_at:
            instance, heard_at = next(iter(self._heard_at.items()))
            if now - heard_at <= COUNT_LIFETIME:
                break
            del self._heard_at[instance]

    def find_overload(self, load: float, limit: float, now: float) -> Overload | None:
        """Compare a load with a limit and with the zone.

        Parameters
        ----------
        load
            Load of this daemon.
        limit
            Load up to which no daemon is overloaded.
        now
            Time in seconds.

        Returns
        -------
        Overload or None
            The figures; None if the load isn't above both, or if too few daemons have
            been heard of.
        """
        if load <= limit:
            return None
        others = [each.report.load for each in self._list_fresh(now)]
        median = compute_median([*others, load])
        threshold = max(limit, MEDIAN_RATIO * median)
        if len(others) < MIN_OTHERS or load <= threshold:
            return None
        return Overload(load, median, threshold, len(others))

    def count_allowed(self) -> int:
        """Return the number of daemons of the zone that may be unready at once."""
        return (len(self._heard_at) + 1) // DAEMONS_PER_UNREADY

    def list_unready(self) -> frozenset[str]:
        """Return the other daemons that are unready as far as is known."""
        return frozenset(
            sender
            for sender, each in self._reports.items()
            if each.report.readiness in UNREADY_STATES
        )

    def count_shedding_above(self, rank: Rank) -> int:
        """Return the number of other daemons with more load that shed."""
        return sum(
            each.report.readiness is Readiness.SHEDDING and each.rank > rank
            for each in self._reports.values()
        )

    def count_unready_before(self, rank: Rank, earlier: frozenset[str]) -> int:
        """Return the number of unready daemons that come before one that deflects.

        Parameters
        ----------
        rank
            Rank of the daemon that deflects.
        earlier
            The daemons that were unready when it began.
        """
        return sum(
            each.report.readiness is Readiness.SHEDDING
            or each.report.sender in earlier
            or each.rank > rank
            for each in self._reports.values()
            if each.report.readiness in UNREADY_STATES
        )

    def count_candidates_above(self, rank: Rank, now: float) -> int:
        """Return the number of other daemons with more load that are candidates."""
        return sum(
            each.report.readiness is Readiness.CANDIDATE and each.rank > rank
            for each in self._list_fresh(now)
        )

    def count_before_deflection(self, rank: Rank, now: float) -> int:
        """Return the number of ready daemons that may become unready first.

        These are the candidates and those that may deflect and have more load.
        """
        return sum(
            each.report.readiness is Readiness.CANDIDATE
            or (each.report.readiness is Readiness.READY and each.rank > rank)
            for each in self._list_fresh(now)
        )

    def is_any_shedding(self) -> bool:
        """Whether another daemon closes connections as far as is known."""
        return any(
            each.report.readiness is Readiness.SHEDDING
            for each in self._reports.values()
        )

    def _list_fresh(self, now: float) -> list[_ReceivedReport]:
        return [
            each
            for each in self._reports.values()
            if now - each.received_at <= REPORT_LIFETIME
        ]


def _get_instance(sender: str) -> str:
    """Return the instance of an incarnation, so that a restart isn't counted twice."""
    return sender.partition("/")[0]
