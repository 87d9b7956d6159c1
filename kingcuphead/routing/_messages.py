"""What one version of the configuration says about routes, services and callers."""

import dataclasses
import enum
from collections.abc import Mapping


class RequestKind(enum.StrEnum):
    """What may be repeated when an attempt fails."""

    #: May run any number of times.
    IDEMPOTENT = "idempotent"
    #: Runs at most once for each request id.
    AT_MOST_ONCE = "at_most_once"
    #: Answered by a stream of events; repeated only where the route may be resumed.
    STREAM = "stream"


@dataclasses.dataclass(frozen=True, slots=True)
class WeightedService:
    """One of the services that share a route."""

    #: Name of the service.
    service: str
    #: Its share relative to the other weights of the route.
    weight: float


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """Where requests of one host and path prefix go, and under which limits."""

    #: Name of the route.
    name: str
    #: Value of the host header that selects it.
    host: str
    #: Start of the path; begins and ends with a slash.
    prefix: str
    #: What may be repeated.
    kind: RequestKind
    #: Services that serve it.
    services: tuple[WeightedService, ...]
    #: Longest time in seconds that a caller may be kept waiting.
    timeout: float
    #: Seconds to the first event, or to the whole answer, that count as on time.
    objective: float
    #: Longest pause in seconds between two events that counts as on time.
    longest_pause: float
    #: Urgency; 0 goes first.
    rank: int
    #: Most targets that one request may be sent to.
    max_attempts: int
    #: Whether a request needs no key.
    is_anonymous: bool
    #: Whether a broken stream may go on at another target.
    is_resumable: bool

    @property
    def may_run_again(self) -> bool:
        """Whether a request may be sent again after it may have run."""
        return self.kind is RequestKind.IDEMPOTENT or self.is_resumable


@dataclasses.dataclass(frozen=True, slots=True)
class EngineProfile:
    """What the operator says about the engines of a service."""

    #: Requests that one engine runs at once.
    slots: int
    #: Tokens that fit into the memory of one engine.
    memory_tokens: int
    #: Output tokens that one event of a stream holds.
    tokens_per_event: int


@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """A service with targets."""

    #: Name of the service.
    name: str
    #: Connections that one target accepts from all daemons together.
    max_connections: int
    #: Present where the targets are model engines.
    engine: EngineProfile | None


@dataclasses.dataclass(frozen=True, slots=True)
class Organisation:
    """A paying organisation."""

    #: Name of the organisation.
    name: str
    #: Urgency that replaces that of the route; None keeps the route's.
    rank: int | None
    #: Tokens paid for in total; None without a limit.
    prepaid_tokens: int | None


@dataclasses.dataclass(frozen=True, slots=True)
class CallerLimits:
    """Bounds on what a caller may send."""

    #: Largest head of a request in bytes.
    header_bytes: int = 16_384
    #: Largest body of a request in bytes.
    body_bytes: int = 4_194_304
    #: Seconds for a whole head to arrive.
    header_timeout: float = 3.0
    #: Seconds that a connection may stay idle between requests.
    idle_timeout: float = 15.0


@dataclasses.dataclass(frozen=True, slots=True)
class RoutingConfiguration:
    """One version of the configuration, whole."""

    #: Version; only ever replaced by a higher one.
    version: int
    #: Every route.
    routes: tuple[Route, ...]
    #: Services by name.
    services: Mapping[str, Service]
    #: Organisations by name.
    organisations: Mapping[str, Organisation]
    #: Name of the organisation by key.
    keys: Mapping[str, str]
    #: Bounds on callers.
    limits: CallerLimits
