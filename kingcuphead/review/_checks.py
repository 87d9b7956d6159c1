"""Checks of one configuration version."""

from collections import Counter
from collections.abc import Iterator

from kingcuphead.platform import StatedValues, format_name, format_place
from kingcuphead.review._costs import (
    BYTES_PER_TOKEN,
    estimate_largest_cost,
    estimate_largest_prompt,
    find_routed_services,
)
from kingcuphead.review._findings import Finding, make_error, make_warning
from kingcuphead.review._limit_checks import check_count, check_limits, check_times
from kingcuphead.routing import Organisation, Route, RoutingConfiguration, Service


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
        *(make_warning(each.place, each.cause) for each in stated.ignored),
        *_check_routes(configuration, stated),
        *_check_services(configuration, stated),
        *_check_organisations(configuration, stated),
        *check_limits(configuration.limits),
    ]


def _check_routes(
    configuration: RoutingConfiguration, stated: StatedValues
) -> Iterator[Finding]:
    seen: dict[tuple[str, str], str] = {}
    for index, route in enumerate(configuration.routes):
        place = format_place("routes", index, route.name)
        match = (route.host, route.prefix)
        if match in seen:
            cause = f"same host and prefix as {seen[match]}, which can never match"
            yield make_error(place, cause)
        # The last route of a host and prefix is used.
        seen[match] = place
        yield from _check_match(place, route)
        yield from check_count(place, "max_attempts", stated.attempts[index])
        yield from _check_split(place, route, configuration)
        yield from check_times(place, route)


def _check_match(place: str, route: Route) -> Iterator[Finding]:
    """Report why a route can't match any request."""
    if ":" in route.host:
        yield make_error(place, "can never match: hosts are compared without a port")
    if not (route.prefix.startswith("/") and route.prefix.endswith("/")):
        yield make_error(
            place, "can never match: a prefix has to begin and end with a slash"
        )
    if "?" in route.prefix:
        yield make_error(
            place, "can never match: paths are compared without the query string"
        )


def _check_split(
    place: str, route: Route, configuration: RoutingConfiguration
) -> Iterator[Finding]:
    names = Counter(each.service for each in route.services)
    for name, count in names.items():
        if count > 1:
            yield make_warning(
                place, f"service {format_name(name)} occurs {count} times"
            )
    for each in route.services:
        if not each.service:
            yield make_error(place, "names no service")
        elif each.service not in configuration.services:
            yield make_error(
                place, f"service {format_name(each.service)} does not exist"
            )
        if not each.weight > 0:
            yield make_warning(
                place,
                f"weight {each.weight:g} of service {format_name(each.service)} "
                "is not positive",
            )


def _check_services(
    configuration: RoutingConfiguration, stated: StatedValues
) -> Iterator[Finding]:
    routed = find_routed_services(configuration)
    seen: set[str] = set()
    for index, name in enumerate(stated.services):
        place = format_place("services", index, name)
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
        yield from check_count(place, "max_connections", service.max_connections)
        yield from _check_engine(place, service, configuration.limits.body_bytes)


def _check_engine(place: str, service: Service, body_bytes: int) -> Iterator[Finding]:
    engine = service.engine
    if engine is None:
        return
    prompt = estimate_largest_prompt(body_bytes)
    yield from check_count(place, "slots", engine.slots)
    if engine.slots >= 1 and service.max_connections < engine.slots:
        yield make_warning(
            place,
            f"max_connections {service.max_connections} is below the "
            f"{engine.slots} slots of an engine",
        )
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


def _check_organisations(
    configuration: RoutingConfiguration, stated: StatedValues
) -> Iterator[Finding]:
    cost = estimate_largest_cost(configuration)
    holders: dict[str, str] = {}
    names: set[str] = set()
    for index, holder in enumerate(stated.holders):
        place = format_place("tenants", index, holder.name)
        if holder.name in names:
            yield make_error(
                place, "another organisation of this name is defined above"
            )
        names.add(holder.name)
        if not holder.keys:
            yield make_warning(place, "organisation without keys")
        if len(set(holder.keys)) < len(holder.keys):
            yield make_warning(place, "a key occurs more than once")
        if "" in holder.keys:
            yield make_error(
                place, "an empty key: requests without a key would count as its own"
            )
        yield from _check_budget(place, configuration.organisations[holder.name], cost)
        others = {holders.setdefault(key, holder.name) for key in holder.keys}
        for other in sorted(others - {holder.name}):
            yield make_error(place, f"a key is also held by {format_name(other)}")


def _check_budget(
    place: str, organisation: Organisation, cost: int
) -> Iterator[Finding]:
    budget = organisation.prepaid_tokens
    if budget is None or budget >= cost:
        return
    yield make_warning(
        place,
        f"a budget of {budget} tokens is below the cost of the largest request, "
        f"{cost} tokens",
    )
