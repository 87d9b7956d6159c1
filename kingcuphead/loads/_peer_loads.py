"""The load that other daemons put on targets, from their latest reports."""

from collections import Counter
from collections.abc import Collection, Iterator

from kingcuphead.frozen import frozen
from kingcuphead.loads._changes import MAX_SKIPPED_EMPTY_REPORTS, REPORT_INTERVAL
from kingcuphead.loads._messages import LoadsReported, PlacementAnnounced, TargetLoad
from kingcuphead.loads._peer_memory import PeerMemory

#: Seconds after its receipt at which a report expires.
REPORT_LIFETIME = 0.6
#: Seconds between two reports of a daemon, at the most.
MAX_REPORT_INTERVAL = (MAX_SKIPPED_EMPTY_REPORTS + 1) * REPORT_INTERVAL


@frozen
class _ReceivedReport:
    """The newest report of a daemon."""

    report: LoadsReported
    #: Time of receipt in seconds.
    received_at: float


@frozen
class _ReceivedAnnouncement:
    """A placement that the reports of its daemon don't contain yet."""

    #: What the request adds to the load of its target.
    load: TargetLoad
    #: Time of receipt in seconds.
    received_at: float


class PeerLoads:
    """Adds up the newest report of each other daemon; does no I/O.

    A placement that was announced counts until the next report of its daemon.
    """

    def __init__(self) -> None:
        self._reports: dict[str, _ReceivedReport] = {}
        self._running: Counter[str] = Counter()
        self._pending_prefill_tokens: Counter[str] = Counter()
        self._memory_tokens: Counter[str] = Counter()
        self._announced: dict[str, list[_ReceivedAnnouncement]] = {}
        #: Memory of engines by the last reports, which count longer than their loads.
        self.memory = PeerMemory()
        self.apply_report_rounds(1)

    def apply_report_rounds(self, rounds: int) -> None:
        """Set how many reports a daemon sends until each of the others got one."""
        self.memory.lifetime = rounds * MAX_REPORT_INTERVAL + REPORT_LIFETIME

    @property
    def reporters(self) -> int:
        """Number of daemons whose last report has not expired."""
        return len(self._reports)

    def apply_report(self, report: LoadsReported, now: float) -> None:
        """Replace the sender's previous report; ignore reports out of order."""
        previous = self._reports.get(report.sender)
        if previous is not None:
            if previous.report.number >= report.number:
                return
            self._add(previous.report, -1)
            # The reports are kept in the order of their receipt.
            del self._reports[report.sender]
        for announcement in self._announced.pop(report.sender, ()):
            self._add_load(announcement.load, -1)
        self._reports[report.sender] = _ReceivedReport(report, now)
        self._add(report, 1)
        self.memory.apply_report(report, now)

    def apply_announcement(self, message: PlacementAnnounced, now: float) -> None:
        """Count a placement that the next report of its daemon will contain."""
        announcement = _ReceivedAnnouncement(message.load, now)
        self._announced.setdefault(message.sender, []).append(announcement)
        self._add_load(message.load, 1)

    def expire(self, now: float) -> None:
        """Drop the reports that are older than `REPORT_LIFETIME`."""
        reports = self._reports
        while reports:
            sender, oldest = next(iter(reports.items()))
            if now - oldest.received_at <= REPORT_LIFETIME:
                break
            del reports[sender]
            self._add(oldest.report, -1)
        self.memory.expire(now)
        for sender, announcements in tuple(self._announced.items()):
            while (
                announcements and now - announcements[0].received_at > REPORT_LIFETIME
            ):
                self._add_load(announcements.pop(0).load, -1)
            if not announcements:
                del self._announced[sender]

    def list_running(self, targets: Collection[str]) -> Iterator[int]:
        """Yield the number of requests that each other daemon has on some targets."""
        for received in self._reports.values():
            yield sum(
                load.running for load in received.report.loads if load.target in targets
            )

    def get_load(self, target: str) -> TargetLoad:
        """Return the load of all other daemons on a target."""
        return TargetLoad(
            target,
            self._running[target],
            self._pending_prefill_tokens[target],
            self._memory_tokens[target],
        )

    def get_running(self, target: str) -> int:
        """Return the number of requests of all other daemons on a target."""
        return self._running.get(target, 0)

    def get_pending_prefill_tokens(self, target: str) -> int:
        """Return the tokens pending prefill of all other daemons on a target."""
        return self._pending_prefill_tokens.get(target, 0)

    def get_memory_tokens(self, target: str) -> int:
        """Return the tokens that all other daemons hold in the memory of a target."""
        return self._memory_tokens.get(target, 0)

    def _add(self, report: LoadsReported, sign: int) -> None:
        for load in report.loads:
            self._add_load(load, sign)

    def _add_load(self, load: TargetLoad, sign: int) -> None:
        self._running[load.target] += sign * load.running
        self._pending_prefill_tokens[load.target] += sign * load.unread_tokens
        self._memory_tokens[load.target] += sign * load.memory_tokens
