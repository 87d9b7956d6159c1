"""How a table of the store is followed while calls to the store fail or hang."""

import random
from collections.abc import Callable

from kingcuphead.frozen import frozen

#: Shares of a retry delay between which it varies, so that the daemons of a fleet whose
#: calls were refused together don't repeat them together.
_MIN_JITTER, _MAX_JITTER = 0.5, 1.5


@frozen
class WatchPolicy:
    """How a table is read, and what happens after failed and overdue calls."""

    #: Whether rows are read in place of changes if a reply contains several changes of
    #: one row. The store sends each change whole, and only the newest one counts.
    prefers_rows: bool = False
    #: Whether a poll whose reply is overdue is repeated on another connection.
    repeats_overdue: bool = False
    #: Whether the position outlasts a failed call; otherwise all rows are read again.
    keeps_position: Callable[[], bool] = lambda: False
    #: Mean seconds before the first retry of a failed call.
    first_retry_delay: float = 0.2
    #: Returns the mean seconds before later retries.
    get_retry_delay: Callable[[], float] = lambda: 0.2


class RetryDelays:
    """Computes when failed calls are retried.

    Parameters
    ----------
    policy
        Mean delays.
    rng
        Source of the jitter.
    """

    def __init__(self, policy: WatchPolicy, rng: random.Random) -> None:
        self._policy = policy
        self._rng = rng
        #: Whether the last call has failed.
        self.is_failing = False

    def record_success(self) -> None:
        """Begin again with the first delay."""
        self.is_failing = False

    def record_failure(self) -> float:
        """Return the seconds before the call is retried."""
        policy = self._policy
        mean = policy.first_retry_delay
        if self.is_failing:
            mean = policy.get_retry_delay()
        self.is_failing = True
        return mean * self._rng.uniform(_MIN_JITTER, _MAX_JITTER)
