"""Estimates of the largest request, in tokens, that a configuration allows."""

from kingcuphead.routing import RoutingConfiguration

#: Bytes of a request body for each token of its prompt, as an estimate.
BYTES_PER_TOKEN = 4


def find_routed_services(configuration: RoutingConfiguration) -> set[str]:
    """Return the names of the services to which routes lead."""
    return {each.service for route in configuration.routes for each in route.services}


def estimate_largest_prompt(body_bytes: int) -> int:
    """Return the tokens of the largest prompt that the limit of a body allows."""
    return max(0, body_bytes) // BYTES_PER_TOKEN


def estimate_largest_cost(configuration: RoutingConfiguration) -> int:
    """Return the tokens of the largest prompt that an engine takes; 0 without engines.

    A request costs its prompt at least. Its output isn't counted, since only the caller
    states how long it may be.
    """
    prompt = estimate_largest_prompt(configuration.limits.body_bytes)
    routed = find_routed_services(configuration)
    sizes = [
        min(prompt, service.engine.kv_cache_tokens or prompt)
        for name, service in configuration.services.items()
        if service.engine is not None and name in routed
    ]
    return max(sizes, default=0)
