"""Which targets are closed for a while, and until when."""

from collections.abc import Iterable

from kingcuphead.targets import Target


class TargetGate:
    """Targets that asked for time, or of which no permit may be had; does no I/O."""

    def __init__(self) -> None:
        self._closed_until: dict[str, float] = {}

    def close(self, target: Target, seconds: float, now: float) -> None:
        """Close a target for some seconds; a shorter time doesn't end a longer one."""
        until = self._closed_until.get(target.incarnation, now)
        self._closed_until[target.incarnation] = max(until, now + seconds)

    def is_open(self, target: Target, now: float) -> bool:
        """Whether requests may be sent to a target."""
        if not self._closed_until:
            return True
        until = self._closed_until.get(target.incarnation)
        if until is None:
            return True
        if until <= now:
            del self._closed_until[target.incarnation]
        return until <= now

    def get_delay(self, targets: Iterable[Target], now: float) -> float | None:
        """Return the seconds until the first of some targets is open.

        Returns
        -------
        float or None
            The time; None if there is no target, or if one is open.
        """
        ends = [self._closed_until.get(each.incarnation, now) for each in targets]
        if not ends or min(ends) <= now:
            return None
        return min(ends) - now

    def forget(self, target: Target) -> None:
        """Drop the state of a target that was removed."""
        self._closed_until.pop(target.incarnation, None)
