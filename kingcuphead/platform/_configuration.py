"""Decoder of the operator's routing configuration."""

from collections.abc import Callable, Iterable
from typing import Any, Generic, TypeVar

import msgspec
from expression import Error, Ok, Result

from kingcuphead.decoding import DECODING_ERRORS
from kingcuphead.frozen import frozen
from kingcuphead.platform._numbers import read_number
from kingcuphead.routing import (
    CallerLimits,
    EngineProfile,
    Organisation,
    RequestKind,
    Route,
    RoutingConfiguration,
    Service,
    WeightedService,
)

#: Prefix of the keys of rows that evacuate a zone, in the configuration's table.
_EVACUATION_PREFIX = "evacuate/"
#: Requests per second that a cold target takes if its limit is invalid.
MIN_COLD_LIMIT = 1.0
#: Seconds for which a target is cold after its start if the period is invalid.
DEFAULT_COLD_PERIOD = 10.0

#: Largest number of tokens in a budget or in an engine's memory; a larger one counts as
#: this. Sums of several still fit into the numbers of rows and messages.
MAX_CONFIGURED_TOKENS = 2**53

#: Kinds of requests by their names in the configuration.
KINDS = {
    "safe": RequestKind.IDEMPOTENT,
    "unsafe": RequestKind.AT_MOST_ONCE,
    "streaming": RequestKind.STREAM,
}


class SplitForm(msgspec.Struct):
    """Share of a service in the requests of a route."""

    service: str
    weight: float


class RouteForm(msgspec.Struct):
    """A route as it is written."""

    name: str
    host: str
    prefix: str
    kind: str
    timeout_ms: float = 60_000
    # Latency objective: an answer within this time counts as on time.
    target_latency_ms: float = 1_000
    priority: int = 5
    service: str = ""
    traffic_split: list[SplitForm] = []
    max_attempts: int = 1
    allow_anonymous: bool = False
    stream_resume: bool = False
    gap_aim_ms: float = 1_000


class EngineForm(msgspec.Struct):
    """Properties of engines as they are written."""

    slots: int = 1
    kv_capacity_tokens: int = 0
    # Tokens per event of a stream.
    stride: int = 1


class ServiceForm(msgspec.Struct):
    """A service as it is written."""

    name: str
    max_connections: int = 100
    engine: EngineForm | None = None
    cold_start_s: Any = 0
    cold_per_s: Any = 0


class LimitsForm(msgspec.Struct):
    """Limits of callers as they are written."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    header_timeout_ms: float = 3_000
    idle_timeout_ms: float = 15_000


class TenantForm(msgspec.Struct):
    """An organisation as it is written."""

    name: str
    api_keys: list[str] = []
    priority: int | None = None
    # Tokens for the whole day; a total, not a rate.
    prepaid: int | None = None


class ConfigurationForm(msgspec.Struct):
    """A whole configuration as it is written."""

    version: int
    routes: list[msgspec.Raw] = []
    services: list[ServiceForm] = []
    limits: LimitsForm = msgspec.field(default_factory=LimitsForm)
    tenants: list[msgspec.Raw] = []


@frozen
class _OrganisationWithKeys:
    """A decoded organisation and its API keys."""

    organisation: Organisation
    keys: tuple[str, ...]


#: Decoders of the whole configuration and of the parts that it leaves encoded.
DECODER = msgspec.json.Decoder(ConfigurationForm, strict=False)
ROUTE_DECODER = msgspec.json.Decoder(RouteForm, strict=False)
TENANT_DECODER = msgspec.json.Decoder(TenantForm, strict=False)

T = TypeVar("T")


class _PartCache(Generic[T]):
    """Decodes parts of a version, and reuses those of the version before.

    In a rollout versions follow each other several times a second and differ in few
    parts.
    """

    def __init__(self, decode: Callable[[bytes], T]) -> None:
        self._decode = decode
        self._parts: dict[bytes, T] = {}

    def decode_all(self, contents: Iterable[msgspec.Raw]) -> tuple[T, ...]:
        """Return the decoded parts, and forget those of earlier versions."""
        keys = [bytes(content) for content in contents]
        known = self._parts
        parts = {key: known[key] if key in known else self._decode(key) for key in keys}
        self._parts = parts
        return tuple([parts[key] for key in keys])


class ConfigurationDecoder:
    """Decodes successive versions of the configuration.

    Routes and organisations that a version has in common with the one before are the
    same objects.
    """

    def __init__(self) -> None:
        self._routes = _PartCache(_decode_route)
        self._organisations = _PartCache(_decode_organisation)

    def decode(self, content: bytes) -> Result[RoutingConfiguration, str]:
        """Decode one version.

        Parameters
        ----------
        content
            Configuration as JSON; unknown fields are ignored.

        Returns
        -------
        Result[RoutingConfiguration, str]
            The configuration, or the decoder's error message.
        """
        try:
            decoded = DECODER.decode(content)
            routes = self._routes.decode_all(decoded.routes)
            organisations = self._organisations.decode_all(decoded.tenants)
        except DECODING_ERRORS as error:
            return Error(str(error))
        return Ok(
            RoutingConfiguration(
                version=decoded.version,
                routes=routes,
                services={each.name: _make_service(each) for each in decoded.services},
                organisations={
                    each.organisation.name: each.organisation for each in organisations
                },
                keys={
                    key: each.organisation.name
                    for each in organisations
                    for key in each.keys
                },
                limits=_make_limits(decoded.limits),
            )
        )


def decode_configuration(content: bytes) -> Result[RoutingConfiguration, str]:
    """Decode a single version of the configuration; see `ConfigurationDecoder`."""
    return ConfigurationDecoder().decode(content)


def decode_evacuated_zone(key: str) -> str | None:
    """Return the zone that a row of the configuration's table evacuates, or None."""
    if not key.startswith(_EVACUATION_PREFIX):
        return None
    return key.removeprefix(_EVACUATION_PREFIX)


def _decode_route(content: bytes) -> Route:
    return _make_route(ROUTE_DECODER.decode(content))


def _decode_organisation(content: bytes) -> _OrganisationWithKeys:
    tenant = TENANT_DECODER.decode(content)
    prepaid = tenant.prepaid
    if prepaid is not None:
        prepaid = min(prepaid, MAX_CONFIGURED_TOKENS)
    organisation = Organisation(tenant.name, tenant.priority, prepaid)
    return _OrganisationWithKeys(organisation, tuple(tenant.api_keys))


def _make_route(route: RouteForm) -> Route:
    services = tuple(
        WeightedService(each.service, each.weight) for each in route.traffic_split
    )
    return Route(
        name=route.name,
        host=route.host.lower(),
        prefix=route.prefix,
        # Requests of an unknown kind may have side effects, so they are not retried.
        kind=KINDS.get(route.kind, RequestKind.AT_MOST_ONCE),
        services=services or (WeightedService(route.service, 1.0),),
        timeout=route.timeout_ms / 1000,
        objective=route.target_latency_ms / 1000,
        event_gap_objective=route.gap_aim_ms / 1000,
        rank=route.priority,
        max_attempts=max(1, route.max_attempts),
        is_anonymous=route.allow_anonymous,
        is_resumable=route.stream_resume,
    )


def _make_service(service: ServiceForm) -> Service:
    engine = service.engine
    profile = None
    if engine is not None:
        profile = EngineProfile(
            engine.slots,
            min(engine.kv_capacity_tokens, MAX_CONFIGURED_TOKENS),
            max(1, engine.stride),
        )
    limit = _read_optional(
        f"cold_per_s of {service.name}", service.cold_per_s, MIN_COLD_LIMIT
    )
    period = _read_optional(
        f"cold_start_s of {service.name}", service.cold_start_s, DEFAULT_COLD_PERIOD
    )
    return Service(
        service.name, service.max_connections, profile, limit or None, period
    )


def _read_optional(name: str, value: Any, fallback: float) -> float:
    """Return a non-negative number; 0 for null, and the fallback for a wrong value."""
    return 0.0 if value is None else read_number(name, value, fallback)


def _make_limits(limits: LimitsForm) -> CallerLimits:
    return CallerLimits(
        header_bytes=limits.max_header_bytes,
        body_bytes=limits.max_body_bytes,
        header_timeout=limits.header_timeout_ms / 1000,
        idle_timeout=limits.idle_timeout_ms / 1000,
    )
