"""Looks up the route, service and organisation of a request."""

from collections.abc import Iterator

from kingcuphead.routing._messages import (
    Organisation,
    Route,
    RoutingConfiguration,
)


class RoutingTable:
    """One configuration version, indexed for lookups.

    Parameters
    ----------
    configuration
        The complete configuration version.
    """

    def __init__(self, configuration: RoutingConfiguration) -> None:
        #: The complete configuration version.
        self.configuration = configuration
        self._routes = {
            (route.host, route.prefix): route for route in configuration.routes
        }

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route of a host with the longest matching prefix of a path.

        Parameters
        ----------
        host
            Value of the Host header; a port is ignored.
        path
            Path of the request, without the query string.
        """
        name = host.partition(":")[0].lower()
        for prefix in _list_prefixes(path):
            route = self._routes.get((name, prefix))
            if route is not None:
                return route
        return None

    def get_tokens_per_event(self, service: str) -> int:
        """Return the output tokens in one event of a service's streams."""
        profile = self.configuration.services.get(service)
        if profile is None or profile.engine is None:
            return 1
        return profile.engine.tokens_per_event

    def find_organisation(self, key: str) -> Organisation | None:
        """Return the organisation of an API key, or None if the key is unknown."""
        name = self.configuration.keys.get(key)
        return None if name is None else self.configuration.organisations.get(name)


def choose_service(route: Route, fraction: float) -> str:
    """Return a service of a route, selected in proportion to the weights.

    Parameters
    ----------
    route
        Services without a positive weight are selected only if the route has no others.
    fraction
        Random number, uniformly distributed from 0 (inclusive) to 1 (exclusive).
    """
    usable = [each for each in route.services if each.weight > 0] or list(
        route.services
    )
    remainder = fraction * sum(each.weight for each in usable)
    for each in usable:
        remainder -= each.weight
        if remainder < 0:
            return each.service
    return usable[-1].service


def _list_prefixes(path: str) -> Iterator[str]:
    """Yield the prefixes of a path that end with a slash, longest first."""
    end = path.rfind("/")
    while end >= 0:
        yield path[: end + 1]
        end = path.rfind("/", 0, end)
