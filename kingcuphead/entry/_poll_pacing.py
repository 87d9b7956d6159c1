"""Spaces the polls of a table, so that its changes take a small part of the link."""

import math
from collections.abc import Callable

from kingcuphead.frozen import frozen
from kingcuphead.platform import Profile

#: Share of the instance's link that the changes of one table may take.
LINK_SHARE = 0.1
#: Maximum seconds between changes and the next poll. A longer delay would leave little
#: of the 3 s after which a target that leaves must get nothing new.
MAX_POLL_DELAY = 0.5
#: Number of targets above which polls of their table are always `MAX_POLL_DELAY` apart.
#: Heartbeats change their rows so often that each poll would return at once.
MANY_TARGETS = 500

_MEGABIT_BYTES = 1_000_000 / 8


@frozen
class PacingBounds:
    """Bounds of the polls of a table; the defaults bound nothing."""

    #: Bytes a second that replies with changes may take.
    byte_rate: float = math.inf
    #: Minimum seconds between changes and the next poll.
    min_delay: float = 0.0

    def compute_delay(self, size: int) -> float:
        """Return the seconds between changes of a size in bytes and the next poll."""
        return min(MAX_POLL_DELAY, max(self.min_delay, size / self.byte_rate))


def bound_configuration_polls(profile: Profile) -> PacingBounds:
    """Return the bounds for the table of the configuration.

    Parameters
    ----------
    profile
        Settings of the process. A link that they don't state bounds nothing.
    """
    if not profile.states_narrow_link:
        return PacingBounds()
    link_rate = profile.limits.link_mbps * _MEGABIT_BYTES
    return PacingBounds(byte_rate=link_rate * LINK_SHARE)


def bound_target_polls(profile: Profile, targets: int) -> PacingBounds:
    """Return the bounds for the table of targets.

    Parameters
    ----------
    profile
        Settings of the process.
    targets
        Number of targets that are known.
    """
    if targets > MANY_TARGETS:
        return PacingBounds(min_delay=MAX_POLL_DELAY)
    return bound_configuration_polls(profile)


class PollPacing:
    """Computes how long the next poll of a table is delayed.

    Changes accumulate at the store meanwhile. A reply without changes delays nothing,
    so the first change after a quiet time arrives at once.

    Parameters
    ----------
    get_bounds
        Returns the bounds that apply now.
    """

    def __init__(self, get_bounds: Callable[[], PacingBounds] = PacingBounds) -> None:
        self._get_bounds = get_bounds
        self._next_poll_at = -math.inf
        #: Seconds by which the last changes delayed the next poll.
        self.last_delay = 0.0

    def record_changes(self, size: int, now: float) -> None:
        """Delay the next poll after changes.

        Parameters
        ----------
        size
            Bytes of the reply.
        now
            Monotonic time in seconds at which it arrived.
        """
        self.last_delay = self._get_bounds().compute_delay(size)
        self._next_poll_at = now + self.last_delay

    def get_delay(self, now: float) -> float:
        """Return the seconds until the next poll may be sent; 0 if it may be now."""
        return max(0.0, self._next_poll_at - now)
