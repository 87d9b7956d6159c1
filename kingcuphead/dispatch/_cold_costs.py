"""Costs of cold targets: urgent requests avoid them, the others warm them evenly."""

from collections.abc import Callable, Iterable

from kingcuphead.dispatch._messages import DispatchSettings, PlacementRequest
from kingcuphead.targets import Target


class ColdCosts:
    """Adds to the costs of cold targets and counts the requests placed there.

    Parameters
    ----------
    settings
        Weights of the cost function.
    """

    def __init__(self, settings: DispatchSettings) -> None:
        self._settings = settings
        #: Requests that each cold target got, by incarnation; one that has just become
        #: cold begins with as many as the others have.
        self._placed: dict[str, int] = {}
        #: Tells whether a target is cold.
        self.is_cold: Callable[[Target], bool] = lambda target: False

    def compute(
        self, request: PlacementRequest, targets: Iterable[Target]
    ) -> dict[str, float]:
        """Return the additional cost of each cold target by its name."""
        cold = [target for target in targets if self.is_cold(target)]
        if not cold:
            return {}
        if request.is_urgent:
            return {target.name: self._settings.cold_cost for target in cold}
        counts = [self._placed.get(target.incarnation) for target in cold]
        fewest = min((count for count in counts if count is not None), default=0)
        costs = {}
        for target in cold:
            excess = self._placed.setdefault(target.incarnation, fewest) - fewest
            costs[target.name] = excess * self._settings.uneven_warming_cost
        return costs

    def record(self, target: Target) -> None:
        """Count a request that is placed on a target; drop the count of a warm one."""
        if self.is_cold(target):
            placed = self._placed.get(target.incarnation, 0)
            self._placed[target.incarnation] = placed + 1
        elif self._placed:
            self.forget(target)

    def withdraw(self, target: Target) -> None:
        """Stop counting a request that isn't sent to its target."""
        if self._placed.get(target.incarnation, 0):
            self._placed[target.incarnation] -= 1

    def forget(self, target: Target) -> None:
        """Drop the count of a target."""
        self._placed.pop(target.incarnation, None)
