"""Pauses between attempts to reach the table."""

import dataclasses

#: Factor by which each pause is longer than the one before.
GROWTH = 2.0


@dataclasses.dataclass(frozen=True, slots=True)
class Patience:
    """How long to go on, and the next pause."""

    #: Time at which to give up, in seconds.
    deadline: float
    #: Length of the next pause, in seconds.
    pause: float
    #: Length of the longest pause, in seconds.
    longest: float

    def is_over(self, now: float) -> bool:
        """Whether it is time to give up."""
        return now >= self.deadline

    def with_longer_pause(self) -> "Patience":
        """Return the state after one more pause."""
        longer = min(self.pause * GROWTH, self.longest)
        return dataclasses.replace(self, pause=longer)
