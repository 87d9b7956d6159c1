"""Room for requests that wait before a target is chosen."""

import dataclasses
from collections.abc import Iterable
from typing import Protocol

from kingcuphead.dispatch._messages import PlacementRequest
from kingcuphead.targets import Target

#: Seconds of waiting after which reports of a full target may be out of date.
MAX_REPORT_DELAY = 0.1
#: Bound of the reported load of such a target, in units of its slots.
MAX_REPORTED_LOAD = 1.5


class RoomCheck(Protocol):
    """Tells whether a request that waits may be sent to a target."""

    def has_room(
        self, request: PlacementRequest, candidates: Iterable[Target], now: float
    ) -> bool:
        """Return whether one of the candidates has room for a request."""
        ...


@dataclasses.dataclass(frozen=True, slots=True)
class TargetRoom:
    """How much of a target is taken."""

    #: Maximum number of requests that the target runs concurrently.
    slots: int
    #: Number of requests that this daemon has in progress there.
    own: int
    #: Number of requests that other daemons report there.
    reported: int

    @property
    def has_slot(self) -> bool:
        """Whether the target can run another request at once."""
        return self.own + self.reported < self.slots

    def accepts_on_old_reports(self, request: PlacementRequest, now: float) -> bool:
        """Return whether a request may go to a target that is reported as full.

        Reports reach a part of the fleet and may be out of date when they are used.
        Without a request of its own there, this daemon can't tell.
        """
        if now - request.waiting_since < MAX_REPORT_DELAY or self.own:
            return False
        return self.reported < MAX_REPORTED_LOAD * self.slots
