"""Checks of one configuration version."""

from collections.abc import Iterator

from kingcuphead.platform import StatedValues
from kingcuphead.review._findings import Finding, make_error, make_warning
from kingcuphead.routing import Route, RoutingConfiguration, Service

#: Smallest header limit in bytes that leaves room for the headers of the project.
MIN_HEADER_BYTES = 4_096
#: Bytes of a request body for each token of its prompt, as an estimate.
BYTES_PER_TOKEN = 4


def check(configuration: RoutingConfiguration, stated: StatedValues) -> list[Finding]:
    """Return the findings about one version.

    Parameters
    ----------
    configuration
        The decoded configuration.
    stated
        Values of the file that the decoded configuration lacks.
    """
    return [
        *_check_routes(configuration, stated),
        *_check_services(configuration, stated),
        *_check_organisations(stated),
        *_check_limits(configuration),
    ]


def _check_routes(
    configuration: RoutingConfiguration, stated: StatedValues
) -> Iterator[Finding]:
    seen: dict[tuple[str, str], str] = {}
    for index, route in enumerate(configuration.routes):
        place = f'routes[{index}] "{route.name}"'
        match = (route.host, route.prefix)
        if match in seen:
            yield make_error(place, f"same host and prefix as {seen[match]}")
        seen.setdefault(match, place)
        if stated.attempts[index] < 1:
            yield make_error(place, f"max_attempts {stated.attempts[index]} is below 1")
        yield from _check_split(place, route, configuration)
        yield from _check_times(place, route)


def _check_split(
    place: str, route: Route, configuration: RoutingConfiguration
) -> Iterator[Finding]:
    for each in route.services:
        if each.service not in configuration.services:
            yield make_error(place, f'service "{each.service}" does not exist')
        if not each.weight > 0:
            yield make_warning(
                place,
                f'weight {each.weight:g} of service "{each.service}" is not positive',
            )


def _check_times(place: str, route: Route) -> Iterator[Finding]:
    if route.objective > route.timeout:
        yield make_warning(
            place, f"objective {route.objective:g} s above timeout {route.timeout:g} s"
        )
    if route.event_gap_objective > route.objective:
        yield make_warning(
            place,
            f"pause objective {route.event_gap_objective:g} s above "
            f"objective {route.objective:g} s",
        )


def _check_services(
    configuration: RoutingConfiguration, stated: StatedValues
) -> Iterator[Finding]:
    routed = {each.service for route in configuration.routes for each in route.services}
    seen: set[str] = set()
    for index, name in enumerate(stated.services):
        place = f'services[{index}] "{name}"'
        if name in seen:
            yield make_error(place, "another service of this name is defined above")
            continue
        seen.add(name)
        if name not in routed:
            yield make_warning(place, "no route leads to it")
        service = configuration.services[name]
        if service.cold_period > 0 and service.cold_limit is None:
            yield make_warning(
                place, "a cold period without a limit of requests per second"
            )
        yield from _check_engine(place, service, configuration.limits.body_bytes)


def _check_engine(place: str, service: Service, body_bytes: int) -> Iterator[Finding]:
    engine = service.engine
    if engine is None:
        return
    prompt = body_bytes // BYTES_PER_TOKEN
    share = engine.kv_cache_tokens // max(1, engine.slots)
    if engine.kv_cache_tokens <= 0:
        yield make_warning(
            place, f"the memory of its engines in tokens is {engine.kv_cache_tokens}"
        )
    elif share < prompt:
        yield make_warning(
            place,
            f"a slot's share of {share} tokens (memory of an engine "
            f"{engine.kv_cache_tokens} / {engine.slots} slots) is below the largest "
            f"prompt of {prompt} tokens (max_body_bytes {body_bytes} / "
            f"{BYTES_PER_TOKEN} bytes per token)",
        )


def _check_organisations(stated: StatedValues) -> Iterator[Finding]:
    holders: dict[str, str] = {}
    names: set[str] = set()
    for index, holder in enumerate(stated.holders):
        place = f'tenants[{index}] "{holder.name}"'
        if holder.name in names:
            yield make_error(
                place, "another organisation of this name is defined above"
            )
        names.add(holder.name)
        if not holder.keys:
            yield make_warning(place, "organisation without keys")
        others = {holders.setdefault(key, holder.name) for key in holder.keys}
        for other in sorted(others - {holder.name}):
            yield make_error(place, f'a key is also held by "{other}"')


def _check_limits(configuration: RoutingConfiguration) -> Iterator[Finding]:
    header_bytes = configuration.limits.header_bytes
    if header_bytes < MIN_HEADER_BYTES:
        yield make_warning(
            "limits",
            f"max_header_bytes {header_bytes} is below {MIN_HEADER_BYTES}, "
            "which the router's own headers need",
        )
