"""The loads of the other daemons of a zone, from their latest reports."""

import dataclasses
from collections.abc import Iterator

from kingcuphead.capacity._messages import CapacityReported, Readiness

#: Seconds after its receipt in which a report says what the load of its sender is.
REPORT_LIFETIME = 2.0
#: Seconds after its receipt in which a report says that its sender exists, and that it
#: is unready if it was. Longer than a daemon sheds load at a time.
MEMBER_LIFETIME = 6.0


@dataclasses.dataclass(frozen=True, slots=True)
class _ReceivedReport:
    report: CapacityReported
    received_at: float


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

    @property
    def member_count(self) -> int:
        """Number of daemons of the zone that have been heard of, and this one."""
        return len(self._reports) + 1

    def apply_report(self, report: CapacityReported, now: float) -> None:
        """Replace the sender's previous report; ignore reports out of order."""
        if report.zone != self._zone:
            return
        previous = self._reports.get(report.sender)
        if previous is None or previous.report.number < report.number:
            self._reports[report.sender] = _ReceivedReport(report, now)

    def expire(self, now: float) -> None:
        """Drop the daemons that have not been heard of for `MEMBER_LIFETIME`."""
        self._reports = {
            sender: received
            for sender, received in self._reports.items()
            if now - received.received_at <= MEMBER_LIFETIME
        }

    def list_fresh(self, now: float) -> list[CapacityReported]:
        """Return the reports that still describe the load of their senders."""
        return [
            received.report
            for received in self._reports.values()
            if now - received.received_at <= REPORT_LIFETIME
        ]

    def list_candidates(self, now: float) -> Iterator[CapacityReported]:
        """Yield the fresh reports of daemons that are about to shed load."""
        return (
            report
            for report in self.list_fresh(now)
            if report.readiness is Readiness.CANDIDATE
        )

    def list_unready(self) -> Iterator[CapacityReported]:
        """Yield the reports of daemons that are unready as far as is known."""
        return (
            received.report
            for received in self._reports.values()
            if received.report.readiness is Readiness.UNREADY
        )
