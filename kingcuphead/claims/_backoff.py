"""Exponential backoff between retries of table operations."""

import dataclasses

#: Ratio of each delay to the previous one.
BACKOFF_FACTOR = 2.0


@dataclasses.dataclass(frozen=True, slots=True)
class Backoff:
    """Retry deadline and next delay of an exponential backoff."""

    #: Monotonic time in seconds from which no retry is made.
    deadline: float
    #: Delay before the next retry, in seconds.
    delay: float
    #: Upper bound on the delay, in seconds.
    max_delay: float

    def is_expired(self, now: float) -> bool:
        """Return whether the deadline has passed."""
        return now >= self.deadline

    def with_longer_delay(self) -> "Backoff":
        """Return a copy with the delay of the following retry."""
        longer = min(self.delay * BACKOFF_FACTOR, self.max_delay)
        return dataclasses.replace(self, delay=longer)
