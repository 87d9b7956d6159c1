"""Data classes for the routes, services and callers of one configuration version."""

import enum
from collections.abc import Mapping

from kingcuphead.frozen import frozen


class RequestKind(enum.StrEnum):
    """Kind of a request, which decides whether a failed attempt may be retried."""

    #: May be executed any number of times.
    IDEMPOTENT = "idempotent"
    #: Executed at most once per request id.
    AT_MOST_ONCE = "at_most_once"
    #: Answered by a stream of events; retried only if the route is resumable.
    STREAM = "stream"


@frozen
class WeightedService:
    """A service that receives a share of the requests of a route."""

    #: Name of the service.
    service: str
    #: Share of the requests, relative to the other weights of the route.
    weight: float


@frozen
class Route:
    """The services and limits for the requests of one host and path prefix."""

    #: Name of the route.
    name: str
    #: Value of the Host header that the route matches: lower case, without a port.
    host: str
    #: Path prefix that the route matches; begins and ends with a slash.
    prefix: str
    #: Kind of its requests, which decides whether they may be retried.
    kind: RequestKind
    #: Services that the requests are divided among.
    services: tuple[WeightedService, ...]
    #: Caller timeout in seconds.
    timeout: float
    #: Latency objective in seconds: to the first event of a stream, otherwise to the
    #: end of the answer.
    objective: float
    #: Latency objective in seconds between two events of a stream.
    event_gap_objective: float
    #: Priority; 0 is the highest.
    rank: int
    #: Maximum number of attempts for one request.
    max_attempts: int
    #: Whether requests without an API key are accepted.
    is_anonymous: bool
    #: Whether a broken stream may be resumed at another target.
    is_resumable: bool

    @property
    def may_run_again(self) -> bool:
        """Whether a request may be retried although it may have been executed."""
        return self.kind is RequestKind.IDEMPOTENT or self.is_resumable


@frozen
class EngineProfile:
    """Properties of the engines of a service, as the operator configures them."""

    #: Maximum number of requests that one engine runs concurrently.
    slots: int
    #: Capacity of the KV cache of one engine in tokens.
    kv_cache_tokens: int
    #: Output tokens in one event of a stream.
    tokens_per_event: int


@frozen
class Service:
    """A service, which runs on one or more targets."""

    #: Name of the service.
    name: str
    #: Maximum number of connections that one target accepts from all daemons together.
    max_connections: int
    #: Properties of the targets if they are model engines; None for plain services.
    engine: EngineProfile | None
    #: Requests per second that a cold target takes from all daemons together; None for
    #: no limit.
    cold_limit: float | None = None
    #: Seconds after its start for which a target is cold.
    cold_period: float = 0.0


@frozen
class Organisation:
    """A paying organisation."""

    #: Name of the organisation.
    name: str
    #: Priority that overrides the route's, 0 being the highest; None for no override.
    rank: int | None
    #: Tokens of its prepaid budget in total; None for no limit.
    prepaid_tokens: int | None


@frozen
class CallerLimits:
    """Limits on the requests and connections of callers."""

    #: Maximum size of a request head in bytes.
    header_bytes: int = 16_384
    #: Maximum size of a request body in bytes.
    body_bytes: int = 4_194_304
    #: Timeout in seconds for receiving a request head.
    header_timeout: float = 3.0
    #: Timeout in seconds of a connection that is idle between requests.
    idle_timeout: float = 15.0


@frozen
class RoutingConfiguration:
    """One complete version of the configuration."""

    #: Version number; a configuration is only replaced by one with a higher number.
    version: int
    #: Routes of all hosts.
    routes: tuple[Route, ...]
    #: All services by name.
    services: Mapping[str, Service]
    #: All organisations by name.
    organisations: Mapping[str, Organisation]
    #: Names of organisations by API key.
    keys: Mapping[str, str]
    #: Limits that apply to all callers.
    limits: CallerLimits
