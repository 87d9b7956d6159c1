"""Room for requests that wait before a target is chosen."""

from collections.abc import Callable, Collection, Iterable
from typing import Protocol

from kingcuphead.dispatch._costs import CostFunction
from kingcuphead.dispatch._messages import PlacementRequest
from kingcuphead.dispatch._prefill import PrefillPlanner
from kingcuphead.dispatch._target_state import TargetState
from kingcuphead.frozen import frozen
from kingcuphead.loads import PeerLoads
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
    #: Number of requests of each other daemon that reported any.
    reported: tuple[int, ...] = ()

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
    def load(self) -> float:
        """Number of requests that all daemons are expected to have there."""
        return self.own + self.reported

    @property
    def has_place(self) -> bool:
        """Whether the target may get another request."""
        return self.load < self.places

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


class RoomEstimator:
    """Estimates the room at targets from own requests and reports of other daemons.

    Parameters
    ----------
    peer_loads
        Loads that other daemons report.
    get_state
        Returns the state of a target.
    planner
        Plans the prefill of a request.
    costs
        Estimates the wait of a request.
    has_memory
        Returns whether the memory of a target has room for a request.
    """

    def __init__(
        self,
        peer_loads: PeerLoads,
        get_state: Callable[[Target], TargetState],
        planner: PrefillPlanner,
        costs: CostFunction,
        has_memory: Callable[[PlacementRequest, Target, float], bool],
    ) -> None:
        self._peer_loads = peer_loads
        self._get_state = get_state
        self._planner = planner
        self._costs = costs
        self._has_memory = has_memory
        #: Number of daemons that share the targets, this one included; 1 if unknown.
        self.daemons = 1

    def has_room(
        self, request: PlacementRequest, available: list[Target], now: float
    ) -> bool:
        """Return whether some target has room for a request that waits.

        Parameters
        ----------
        request
            Properties of the request.
        available
            Targets that accept new requests and aren't backing off.
        now
            Current time in seconds.
        """
        ranked = available
        if request.prefixes and request.objective_ends_at > now:
            ranked = self._planner.rank(request, available)
        for target in ranked:
            room = self.describe_room(request, target)
            is_free = room.accepts_on_old_reports(request, now) or (
                room.has_place and self._is_in_time(request, target, ranked, now)
            )
            if is_free and self._has_memory(request, target, now):
                return True
        return False

    def accepts_on_old_reports(
        self, request: PlacementRequest, candidates: Iterable[Target], now: float
    ) -> bool:
        """Return whether a request has waited so long that it may ignore reports."""
        return any(
            self.describe_room(request, target).accepts_on_old_reports(request, now)
            and self._has_memory(request, target, now)
            for target in candidates
        )

    def describe_load(
        self, request: PlacementRequest, candidates: Collection[Target]
    ) -> ServiceLoad:
        """Return the load of all daemons on some targets."""
        rooms = [self.describe_room(request, target) for target in candidates]
        running = self._peer_loads.list_running({target.name for target in candidates})
        reported = tuple(number for number in running if number)
        return ServiceLoad(
            sum(room.places for room in rooms),
            sum(room.own for room in rooms),
            sum(room.reported for room in rooms),
            1 + self._extrapolate(len(reported)),
            reported,
        )

    def count_own(self, candidates: Iterable[Target]) -> int:
        """Return the number of requests that this daemon has at some targets."""
        return sum(self._get_state(target).running for target in candidates)

    def describe_room(self, request: PlacementRequest, target: Target) -> TargetRoom:
        """Return how much of a target is taken."""
        reported = self._peer_loads.get_load(target.name).running
        others = self._extrapolate(reported)
        places = count_places(target, request)
        return TargetRoom(places, self._get_state(target).running, others)

    def _extrapolate(self, reported: int) -> float:
        return extrapolate(reported, self._peer_loads.reporters, self.daemons - 1)

    def _is_in_time(
        self,
        request: PlacementRequest,
        target: Target,
        ranked: list[Target],
        now: float,
    ) -> bool:
        """Return whether a free target is expected to meet a request's objective.

        Also true if the objective has passed, or if the request alone takes longer
        there, as waiting wouldn't help.
        """
        remaining = request.objective_ends_at - now
        if remaining <= 0:
            return True
        plan = self._planner.plan(request, target, ranked, now)
        ratio = self._get_state(target).latency_ratio
        if self._costs.estimate_wait(target, plan) * ratio < remaining:
            return True
        return self._costs.estimate_prefill(target, plan) * ratio >= remaining
