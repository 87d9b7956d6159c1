"""Decides when this daemon's loads have changed enough for a report."""

from collections.abc import Iterable

from kingcuphead.loads._messages import TargetLoad

#: Seconds between two looks at the loads.
REPORT_INTERVAL = 0.1
#: A load is reported again when it differs by more than one part in this many.
CHANGE_DIVISOR = 4
#: Up to this many open requests in all, a change must be seen twice to be reported.
LIGHT_REQUESTS = 2
#: Maximum number of reports in a row that are skipped while there is or was load. A
#: report is sent again before `REPORT_LIFETIME` ends.
MAX_SKIPPED_REPORTS = 4
#: The same without load. Reports don't stop altogether, because other daemons assume
#: that a silent one is unreachable.
MAX_SKIPPED_EMPTY_REPORTS = 6

_NO_LOAD = TargetLoad("", 0, 0)


class LoadChanges:
    """Compares this daemon's loads with those it last reported; performs no I/O.

    While there are few requests, a change counts when it is seen twice in a row: most
    requests to plain services end sooner than a report about them arrives.
    """

    def __init__(self) -> None:
        #: Whether each change counts, as it does where there are few receivers.
        self.reports_all_changes = True
        self._reported: dict[str, TargetLoad] = {}
        self._previous: dict[str, TargetLoad] = {}
        self._was_cut_off = False
        self._skipped = 0

    def is_report_due(
        self, loads: Iterable[TargetLoad], is_cut_off: bool, is_urgent: bool
    ) -> bool:
        """Whether to report the loads; called once in each interval.

        Parameters
        ----------
        loads
            Loads of this daemon now.
        is_cut_off
            Whether this daemon can't open connections to targets.
        is_urgent
            Whether a change counts that has been seen only once.
        """
        current = {load.target: load for load in loads}
        has_new_loads = self._has_new_loads(current, is_urgent)
        self._previous = current
        is_changed = is_cut_off != self._was_cut_off or has_new_loads
        if not is_changed and self._skipped < self._get_skip_limit(current):
            self._skipped += 1
            return False
        self._skipped = 0
        self._reported = current
        self._was_cut_off = is_cut_off
        return True

    def _has_new_loads(self, current: dict[str, TargetLoad], is_urgent: bool) -> bool:
        if not current and not self._reported:
            return False
        if self.reports_all_changes:
            return current != self._reported
        is_light = sum(load.running for load in current.values()) <= LIGHT_REQUESTS
        previous = self._previous if is_light and not is_urgent else current
        return self._has_lasting_change(previous, current)

    def _has_lasting_change(
        self, previous: dict[str, TargetLoad], current: dict[str, TargetLoad]
    ) -> bool:
        for target in self._reported.keys() | (previous.keys() & current.keys()):
            reported = self._reported.get(target, _NO_LOAD)
            if _differs_much(
                reported, previous.get(target, _NO_LOAD)
            ) and _differs_much(reported, current.get(target, _NO_LOAD)):
                return True
        return False

    def _get_skip_limit(self, current: dict[str, TargetLoad]) -> int:
        has_load = bool(current or self._reported)
        return MAX_SKIPPED_REPORTS if has_load else MAX_SKIPPED_EMPTY_REPORTS


def _differs_much(reported: TargetLoad, load: TargetLoad) -> bool:
    return (
        _has_changed_much(reported.running, load.running)
        or _has_changed_much(reported.unread_tokens, load.unread_tokens)
        or _has_changed_much(reported.memory_tokens, load.memory_tokens)
    )


def _has_changed_much(reported: int, amount: int) -> bool:
    return abs(amount - reported) * CHANGE_DIVISOR > reported
