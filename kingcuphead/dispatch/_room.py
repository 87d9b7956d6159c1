"""Room for requests that wait before a target is chosen."""

from collections.abc import Collection, Iterable
from typing import Protocol

from kingcuphead.dispatch._messages import PlacementRequest
from kingcuphead.frozen import frozen
from kingcuphead.targets import Target

#: Requests that a plain service may hold in units of its slots. It queues requests
#: itself, and most of them end before a report of them arrives.
PLAIN_LOAD = 2
#: Seconds of waiting after which reports of a full target may be out of date.
MAX_REPORT_DELAY = 0.1
#: Bound of the reported load of such a target, in units of its slots.
MAX_REPORTED_LOAD = 1.5


@frozen
class ServiceLoad:
    """Load of all daemons on the targets of a service."""

    #: Number of requests that the targets may hold.
    places: int
    #: Number of requests that this daemon has in progress.
    own: int
    #: Number of requests that other daemons are expected to have in progress.
    others: float
    #: Number of daemons that use the targets, this one included.
    daemons: float

    @property
    def total(self) -> float:
        """Number of requests that all daemons are expected to have in progress."""
        return self.own + self.others


class RoomCheck(Protocol):
    """Tells whether a request that waits may be sent to a target."""

    def describe_load(
        self, request: PlacementRequest, candidates: Collection[Target]
    ) -> ServiceLoad:
        """Return the load on the candidates."""
        ...

    def accepts_on_old_reports(
        self, request: PlacementRequest, candidates: Iterable[Target], now: float
    ) -> bool:
        """Return whether a request has waited so long that it may ignore reports."""
        ...

    def count_own(self, candidates: Iterable[Target]) -> int:
        """Return the number of requests that this daemon has at the candidates."""
        ...

    def has_room(
        self, request: PlacementRequest, candidates: Iterable[Target], now: float
    ) -> bool:
        """Return whether one of the candidates has room for a request."""
        ...


@frozen
class TargetRoom:
    """How much of a target is taken."""

    #: Number of requests that the target may hold.
    places: int
    #: Number of requests that this daemon has in progress there.
    own: int
    #: Number of requests that other daemons are expected to have there.
    reported: float

    @property
    def has_place(self) -> bool:
        """Whether the target may get another request."""
        return self.own + self.reported < self.places

    def accepts_on_old_reports(self, request: PlacementRequest, now: float) -> bool:
        """Return whether a request may go to a target that is reported as full.

        Reports reach a part of the fleet and may be out of date when they are used.
        Without a request of its own there, this daemon can't tell.
        """
        if now - request.waiting_since < MAX_REPORT_DELAY or self.own:
            return False
        return self.reported < MAX_REPORTED_LOAD * self.places


def count_places(target: Target, request: PlacementRequest) -> int:
    """Return how many requests like this one a target may hold."""
    return target.slots * (1 if request.prompt_tokens else PLAIN_LOAD)


def extrapolate(reported: int, reporters: int, others: int) -> float:
    """Return the load of all other daemons by the reports of a part of them.

    Parameters
    ----------
    reported
        Number of requests that were reported.
    reporters
        Number of daemons that reported.
    others
        Number of other daemons.
    """
    return reported * max(1.0, others / reporters) if reporters else float(reported)
