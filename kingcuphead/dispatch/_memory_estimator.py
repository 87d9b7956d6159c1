"""What this daemon knows of the memory of each engine."""

from collections.abc import Callable, Iterable, Mapping

from kingcuphead.dispatch._memory import MemoryUse, fits
from kingcuphead.dispatch._messages import PlacementRequest
from kingcuphead.dispatch._subset import EngineSubset
from kingcuphead.dispatch._target_state import TargetState
from kingcuphead.loads import PeerLoads
from kingcuphead.routing import Service
from kingcuphead.targets import Target


class MemoryEstimator:
    """Estimates the memory that engines have left.

    Parameters
    ----------
    is_enabled
        Whether memory is bounded at all.
    peer_loads
        Loads that other daemons report.
    get_state
        Returns the state of a target.
    subset
        Knows the number of the other daemons.
    """

    def __init__(
        self,
        is_enabled: bool,
        peer_loads: PeerLoads,
        get_state: Callable[[Target], TargetState],
        subset: EngineSubset,
    ) -> None:
        #: Whether the memory of engines is accounted for and bounded.
        self.is_enabled = is_enabled
        self._peer_loads = peer_loads
        self._get_state = get_state
        self._subset = subset
        #: Tokens that an engine of each service has room for.
        self._capacities: dict[str, int] = {}

    def apply_services(self, services: Mapping[str, Service]) -> None:
        """Replace the sizes; a service without a size isn't limited."""
        self._capacities = {
            name: service.engine.kv_cache_tokens
            for name, service in services.items()
            if service.engine is not None and service.engine.kv_cache_tokens > 0
        }

    def is_too_large(self, request: PlacementRequest) -> bool:
        """Whether a request needs more memory than any engine of its service has."""
        capacity = self._get_capacity(request)
        tokens = request.prompt_tokens + request.output_tokens
        return capacity is not None and tokens > capacity

    def has_room(self, request: PlacementRequest, target: Target, now: float) -> bool:
        """Whether a target has memory left for a request."""
        capacity = self._get_capacity(request)
        if capacity is None:
            return True
        state = self._get_state(target)
        peer_tokens = self._peer_loads.get_memory_tokens(target.name)

        def has_room_for(added: int) -> bool:
            held = state.held_tokens.total + added
            is_denied = state.denied_memory.covers(added, now)
            return not is_denied and fits(held, peer_tokens, capacity)

        # Most requests fit even if they shared nothing, which is quicker to tell.
        if has_room_for(request.prompt_tokens + request.output_tokens):
            return True
        is_sharing = bool(request.prefixes)
        return is_sharing and has_room_for(state.held_tokens.count_added(request))

    def select_fitting(
        self, request: PlacementRequest, targets: list[Target], now: float
    ) -> list[Target]:
        """Return those of some targets that have memory left for a request."""
        if self._get_capacity(request) is None:
            return targets
        return [each for each in targets if self.has_room(request, each, now)]

    def is_full(
        self, request: PlacementRequest, targets: Iterable[Target], now: float
    ) -> bool:
        """Whether none of some targets has memory left for a request."""
        fits = [self.has_room(request, each, now) for each in targets]
        return bool(fits) and not any(fits)

    def describe(self, request: PlacementRequest, target: Target) -> MemoryUse | None:
        """Return the memory of a target with a request on it; None without a limit."""
        capacity = self._get_capacity(request)
        if capacity is None:
            return None
        held = self._get_state(target).held_tokens
        added = held.count_added(request)
        peers, known = self._subset.peers, self._peer_loads.memory
        return MemoryUse(
            capacity,
            held.total + added,
            self._peer_loads.get_memory_tokens(target.name),
            added,
            _compute_share(known.daemons, peers),
            target.slots,
            known.get_tokens(target.name),
            _compute_share(self._peer_loads.reporters, peers),
        )

    def _get_capacity(self, request: PlacementRequest) -> int | None:
        """Return the memory of an engine in tokens; None if it isn't limited."""
        return self._capacities.get(request.service) if self.is_enabled else None


def _compute_share(daemons: int, peers: int) -> float:
    """Return the share of the other daemons; 1 if there are none."""
    return min(1.0, daemons / peers) if peers else 1.0
