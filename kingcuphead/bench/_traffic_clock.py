"""Virtual time: actions in the order of their due times."""

import heapq
import itertools
from collections.abc import Callable


class VirtualClock:
    """Runs actions at virtual times, in seconds, without waiting."""

    def __init__(self) -> None:
        self.now = 0.0
        self._counter = itertools.count()
        self._actions: list[tuple[float, int, Callable[[], None]]] = []

    def schedule(self, delay: float, action: Callable[[], None]) -> None:
        """Run `action` after `delay` seconds."""
        entry = (self.now + delay, next(self._counter), action)
        heapq.heappush(self._actions, entry)

    def run_until(self, end: float) -> None:
        """Run every action that is due by `end`."""
        while self._actions and self._actions[0][0] <= end:
            self.now, _, action = heapq.heappop(self._actions)
            action()
        self.now = end
