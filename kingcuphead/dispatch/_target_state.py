"""Load, latency and health of one target as observed by this daemon."""

import dataclasses
from collections import OrderedDict

from kingcuphead.dispatch._health import TargetHealth
from kingcuphead.dispatch._memory import DeniedMemory, HeldTokens, MemoryUse
from kingcuphead.dispatch._messages import DispatchSettings, PlacementRequest
from kingcuphead.dispatch._speed import (
    MIN_SLOWNESS,
    OVERDUE_ALLOWANCE_SECONDS,
    TargetSpeed,
)
from kingcuphead.targets import Target

#: Shared prefixes that are tracked per target; the least recently sent is evicted.
MAX_PREFIXES = 512
#: Seconds after the last request with a shared prefix for which the prefix is assumed
#: to be in the KV cache of the target.
PREFIX_LIFETIME_SECONDS = 20.0
#: Seconds added to the expected wait before it is compared with the observed one; a
#: wait this short is mostly network latency and says nothing about the target.
NETWORK_ALLOWANCE_SECONDS = 0.04


@dataclasses.dataclass(frozen=True, slots=True)
class PrefillPlan:
    """Which prompt tokens a target processes itself and which it copies."""

    #: Prompt tokens that the target has to process.
    prefill_tokens: int
    #: Tokens counted as copied from the source; 0 for the preferred target, which is
    #: assumed to have the shared prefix cached.
    copied_tokens: int = 0
    #: Target to copy missing KV cache from; None without a copy.
    source: Target | None = None


@dataclasses.dataclass(slots=True, eq=False)
class Placement:
    """The choice of a target for one attempt of a request."""

    #: Chosen target.
    target: Target
    #: State of the target's incarnation, which counts this placement.
    state: "TargetState"
    #: Expected prefill of the prompt on the target.
    prefill: PrefillPlan
    #: Time of the choice in seconds.
    placed_at: float
    #: Expected seconds to the first byte at a latency ratio of 1.
    expected_wait: float
    #: Whether the target ranked first among the available ones: by rendezvous hashing,
    #: or at random without a shared prefix.
    is_preferred: bool
    #: Cost of the target in units of the latency objective.
    cost: float
    #: Whether the answer has begun.
    is_started: bool = False
    #: Known prompt tokens that were pending on the target before this request.
    tokens_ahead: int = 0
    #: Known requests that were running on the target.
    running_ahead: int = 0
    #: Memory of the target with this request; None where memory isn't limited.
    memory: MemoryUse | None = None
    #: Properties of the request; None until it is counted.
    request: PlacementRequest | None = None

    @property
    def needs_permit(self) -> bool:
        """Whether the memory of the target needs a permit of its coordinator."""
        return self.memory is not None and self.memory.needs_permit


class TargetState:
    """Tracks this daemon's requests to one incarnation of a target.

    Parameters
    ----------
    started_at_ms
        Unix time in milliseconds at which the incarnation started.
    settings
        Weights of the cost function.
    speed
        Speed of the target, learnt where daemons compete for engines.
    """

    def __init__(
        self, started_at_ms: int, settings: DispatchSettings, speed: TargetSpeed
    ) -> None:
        self._settings = settings
        self._waiting: dict[int, Placement] = {}
        #: Tokens that the requests of this daemon hold in the target's memory.
        self.held_tokens = HeldTokens()
        #: What the coordinator of its memory has denied.
        self.denied_memory = DeniedMemory()
        self._prefixes_sent_at: OrderedDict[str, float] = OrderedDict()
        #: Unix time in milliseconds at which the incarnation started.
        self.started_at_ms = started_at_ms
        #: Number of requests from this daemon in progress on the target.
        self.running = 0
        #: Tokens pending prefill: those of the requests whose answers have not begun.
        self.pending_prefill_tokens = 0
        #: Moving average of the observed wait divided by the expected wait.
        self.latency_ratio = 1.0
        #: Prefill rate and step time.
        self.speed = speed
        #: Failure rate and backoff.
        self.health = TargetHealth()

    def count_cached_tokens(self, request: PlacementRequest, now: float) -> int:
        """Return the tokens of a prompt that the target is assumed to have cached.

        These are the tokens of the longest shared prefix that this daemon sent to the
        target within `PREFIX_LIFETIME_SECONDS`.
        """
        for prefix in reversed(request.prefixes):
            sent_at = self._prefixes_sent_at.get(prefix.key)
            if sent_at is not None and now - sent_at < PREFIX_LIFETIME_SECONDS:
                return min(prefix.tokens, request.prompt_tokens)
        return 0

    def add(self, placement: Placement, request: PlacementRequest, now: float) -> None:
        """Count a request that is sent to the target."""
        self.running += 1
        self.pending_prefill_tokens += placement.prefill.prefill_tokens
        self._waiting[id(placement)] = placement
        placement.request = request
        self.held_tokens.add(request)
        for prefix in request.prefixes:
            self._prefixes_sent_at[prefix.key] = now
            self._prefixes_sent_at.move_to_end(prefix.key)
        while len(self._prefixes_sent_at) > MAX_PREFIXES:
            self._prefixes_sent_at.popitem(last=False)

    def record_answer_start(self, placement: Placement, now: float) -> None:
        """Remove the pending prefill of a request, and learn the target's speed.

        The speed is learnt only where daemons compete for engines: elsewhere a few
        late answers would move prompts away from the target that has their prefix
        cached.
        """
        self.pending_prefill_tokens -= placement.prefill.prefill_tokens
        self._waiting.pop(id(placement), None)
        if not self._settings.has_contended_engines:
            return
        self.speed.record_wait(
            placement.tokens_ahead + placement.prefill.prefill_tokens,
            placement.running_ahead,
            now - placement.placed_at,
            placement.expected_wait,
            now,
        )

    def refresh_latency_ratio(self, now: float) -> None:
        """Apply how much slower than usual the target is now.

        A request that is overdue shows it before its first event does.
        """
        self.latency_ratio = self.speed.get_slowness(now)
        oldest = next(iter(self._waiting.values()), None)
        if oldest is not None:
            expected = OVERDUE_ALLOWANCE_SECONDS + oldest.expected_wait
            overdue = (now - oldest.placed_at) / expected
            if overdue >= MIN_SLOWNESS:
                self.latency_ratio = max(self.latency_ratio, overdue)

    def remove(self, placement: Placement) -> None:
        """Stop counting a request whose attempt has ended."""
        self.running -= 1
        if placement.request is not None:
            self.held_tokens.remove(placement.request)
        self._waiting.pop(id(placement), None)
        if not placement.is_started:
            self.pending_prefill_tokens -= placement.prefill.prefill_tokens
