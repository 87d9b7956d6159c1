"""Types that the request forwarder exchanges with the dispatcher."""

import enum
import math

from kingcuphead.frozen import frozen


@frozen
class PlacementRequest:
    """The properties of a request on which the choice of its target depends."""

    #: Name of the service whose targets can run the request.
    service: str
    #: Prompt prefixes that other requests may share, from the shortest to the longest;
    #: empty for plain services.
    prefixes: tuple["SharedPrefix", ...] = ()
    #: Length of the whole prompt in tokens; 0 for plain services.
    prompt_tokens: int = 0
    #: Latency objective for the first byte of the answer in seconds.
    objective: float = 1.0
    #: Upper bound of the answer in tokens; 0 for plain services.
    output_tokens: int = 0
    #: Size of the body in bytes.
    body_bytes: int = 0
    #: Whether the request has the most urgent rank.
    is_urgent: bool = False
    #: Time in seconds at which the objective passes; infinite if it isn't known.
    objective_ends_at: float = math.inf
    #: Time in seconds since which it waits for room; infinite if it doesn't wait.
    waiting_since: float = math.inf

    @property
    def shared_tokens(self) -> int:
        """Length of the longest shared prefix in tokens; 0 without one."""
        return self.prefixes[-1].tokens if self.prefixes else 0


@frozen
class SharedPrefix:
    """The first parts of a prompt, which other requests may have in common with it."""

    #: Identity of the prefix; equal for equal content.
    key: str
    #: Length in tokens from the beginning of the prompt.
    tokens: int


class AttemptResult(enum.StrEnum):
    """Result of an attempt as it affects the health of its target."""

    #: The target sent a complete answer other than a server error.
    ANSWERED = "answered"
    #: The target rejected the request without running it.
    REFUSED = "refused"
    #: The target answered with a server error.
    FAILED = "failed"
    #: No connection could be opened.
    UNREACHABLE = "unreachable"
    #: The connection broke, or the answer was malformed.
    BROKEN = "broken"
    #: The target sent no data within the timeout, for the answer or within a stream.
    SILENT = "silent"
    #: This fleet or the caller cancelled the attempt; the health stays as it was.
    CANCELLED = "cancelled"


@frozen
class DispatchSettings:
    """Weights of the cost function that ranks targets.

    Costs are in units of the latency objective: a cost of 1 equals a wait as long as
    the objective.
    """

    #: Availability zone of this daemon.
    zone: str
    #: Assumed prefill rate of an engine in tokens per second; the latency ratio of
    #: each target corrects it.
    prefill_tokens_per_second: float = 50_000.0
    #: Cost of processing 1,000 tokens again whose KV cache another target has.
    repeated_prefill_cost: float = 0.2
    #: Cost of copying 1,000 tokens of KV cache from another target.
    kv_copy_cost: float = 0.2
    #: Rate of a KV cache copy in tokens per second.
    kv_copy_tokens_per_second: float = 50_000.0
    #: Smallest KV cache copy in tokens; prefill of fewer tokens takes no longer than
    #: the copy.
    min_copied_tokens: int = 300
    #: Smallest prefill in tokens for which the new load is reported to other daemons
    #: at once.
    min_announced_tokens: int = 4_000
    #: Seconds that each running request adds to the wait of a new one.
    wait_per_running_request: float = 0.004
    #: Linear part of the cost of a wait, from 0 to 1. The rest grows with the square
    #: of the wait, since only waits near the objective make answers late.
    linear_share: float = 0.15
    #: Cost of a target in another availability zone.
    zone_cost: float = 0.0
    #: Cost of a target whose failure rate is 1; also added to a target whose slots
    #: are all taken.
    failure_cost: float = 2.0
    #: Cost of a cold target for an urgent request.
    cold_cost: float = 2.0
    #: Cost, for other requests, of a cold target for each request that it got more than
    #: the cold target with the fewest.
    uneven_warming_cost: float = 0.2
    #: Whether requests to a busy service are spread over its targets by their room.
    spreads_load: bool = False
    #: Whether many daemons compete for engines that fail when they hold more tokens
    #: than their memory has room for. The settings below apply only then.
    has_contended_engines: bool = False
    #: Whether the memory of contended engines is accounted for and bounded.
    bounds_engine_memory: bool = True
    #: Average number of engines of a service that a daemon prefers, in a large fleet.
    subset_size: int = 6
    #: Longest shared prefix in tokens of a request that stays among these engines; its
    #: prefill takes less time than a wait for the engine that has the prefix.
    max_subset_prefix_tokens: int = 1_000
    #: Wait for other requests, in units of the latency objective, above which a request
    #: may go to any engine.
    max_subset_wait: float = 0.1
    #: Cost of an engine to which this daemon probably has no open connection.
    connection_cost: float = 0.05
    #: Cost of sending 1,000 bytes of a body to another availability zone. A body counts
    #: as 1,000 bytes at least, for the answer.
    zone_transfer_cost: float = 0.008
    #: Upper bound of that cost for one request.
    max_zone_transfer_cost: float = 0.06
    #: Difference of costs at which an engine is chosen 1/e times as often as the
    #: cheapest one.
    cost_tolerance: float = 0.01
