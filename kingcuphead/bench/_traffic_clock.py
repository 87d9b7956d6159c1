"""Virtual clock of the traffic simulation."""

import heapq
import itertools
from collections.abc import Callable


class VirtualClock:
    """Runs scheduled actions in the order of their virtual times, without waiting."""

    def __init__(self) -> None:
        self.now = 0.0
        self._counter = itertools.count()
        self._actions: list[tuple[float, int, Callable[[], None]]] = []

    def schedule(self, delay: float, action: Callable[[], None]) -> None:
        """Run `action` after `delay` seconds."""
        entry = (self.now + delay, next(self._counter), action)
        heapq.heappush(self._actions, entry)

    def run_until(self, end: float) -> None:
        """Run every action due by `end` and set the time to `end`, in seconds."""
        while self._actions and self._actions[0][0] <= end:
            self.now, _, action = heapq.heappop(self._actions)
            action()
        self.now = end
