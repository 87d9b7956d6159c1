"""The engine memory that other daemons hold, from the last report of each."""

from collections import Counter

from kingcuphead.frozen import frozen
from kingcuphead.loads._messages import LoadsReported


@frozen
class _LastReport:
    report: LoadsReported
    received_at: float


class PeerMemory:
    """Adds up the memory in the last report of each other daemon; does no I/O.

    A daemon without new information repeats its report less often, and each of its
    reports reaches a part of a large fleet. So a report counts until the next one of
    that daemon is due, while `PeerLoads` soon forgets loads that change all the time.
    """

    def __init__(self) -> None:
        self._reports: dict[str, _LastReport] = {}
        self._tokens: Counter[str] = Counter()
        #: Seconds after its receipt in which a report counts.
        self.lifetime = 0.0

    @property
    def daemons(self) -> int:
        """Number of daemons whose memory is known, idle ones included."""
        return len(self._reports)

    def get_tokens(self, target: str) -> int:
        """Return the tokens that all these daemons hold in the memory of a target."""
        return self._tokens.get(target, 0)

    def apply_report(self, report: LoadsReported, now: float) -> None:
        """Replace the report of a daemon; the new one has a higher number."""
        self._drop(report.sender)
        self._reports[report.sender] = _LastReport(report, now)
        self._add(report, 1)

    def expire(self, now: float) -> None:
        """Drop the reports of daemons that should have sent another one by now."""
        for sender, last in tuple(self._reports.items()):
            if now - last.received_at > self.lifetime:
                self._drop(sender)

    def _drop(self, sender: str) -> None:
        last = self._reports.pop(sender, None)
        if last is not None:
            self._add(last.report, -1)

    def _add(self, report: LoadsReported, sign: int) -> None:
        for load in report.loads:
            if load.memory_tokens:
                self._tokens[load.target] += sign * load.memory_tokens
