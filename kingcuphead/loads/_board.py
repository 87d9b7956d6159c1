"""The load that other daemons put on targets, as far as they have told lately."""

import dataclasses
from collections import Counter

from kingcuphead.loads._messages import LoadsReported, TargetLoad

#: Seconds for which a report counts.
REPORT_LIFETIME = 0.6


@dataclasses.dataclass(frozen=True, slots=True)
class _Heard:
    report: LoadsReported
    heard_at: float


class LoadBoard:
    """Adds up the newest reports of the others, without input or output."""

    def __init__(self) -> None:
        self._heard: dict[str, _Heard] = {}
        self._running: Counter[str] = Counter()
        self._unread_tokens: Counter[str] = Counter()

    def take(self, report: LoadsReported, now: float) -> None:
        """Take a report; one that was overtaken is ignored."""
        known = self._heard.get(report.sender)
        if known is not None:
            if known.report.number >= report.number:
                return
            self._count(known.report, -1)
        self._heard[report.sender] = _Heard(report, now)
        self._count(report, 1)

    def expire(self, now: float) -> None:
        """Forget the daemons that have not told for a while."""
        for sender, heard in tuple(self._heard.items()):
            if now - heard.heard_at > REPORT_LIFETIME:
                del self._heard[sender]
                self._count(heard.report, -1)

    def get_load(self, target: str) -> TargetLoad:
        """Return what the others have on a target."""
        return TargetLoad(target, self._running[target], self._unread_tokens[target])

    def _count(self, report: LoadsReported, sign: int) -> None:
        for load in report.loads:
            self._running[load.target] += sign * load.running
            self._unread_tokens[load.target] += sign * load.unread_tokens
