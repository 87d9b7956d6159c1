"""Looks up the route and the organisation of a request in one configuration."""

from collections.abc import Iterator

from kingcuphead.routing._messages import (
    Organisation,
    Route,
    RoutingConfiguration,
)


class RoutingTable:
    """The configuration in force, indexed for lookups.

    Parameters
    ----------
    configuration
        One whole version.
    """

    def __init__(self, configuration: RoutingConfiguration) -> None:
        self.configuration = configuration
        self._routes = {
            (route.host, route.prefix): route for route in configuration.routes
        }

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route of the host with the longest prefix of the path.

        Parameters
        ----------
        host
            Value of the host header; a port is ignored.
        path
            Path of the request, without its query.
        """
        name = host.partition(":")[0].lower()
        for prefix in _list_prefixes(path):
            route = self._routes.get((name, prefix))
            if route is not None:
                return route
        return None

    def find_organisation(self, key: str) -> Organisation | None:
        """Return the organisation that holds a key."""
        name = self.configuration.keys.get(key)
        return None if name is None else self.configuration.organisations.get(name)


def choose_service(route: Route, draw: float) -> str:
    """Return the service of a route for a random number from 0 to 1.

    Parameters
    ----------
    route
        The route.
    draw
        Equal shares of the range 0 to 1 stand for equal weights.
    """
    usable = [each for each in route.services if each.weight > 0] or list(
        route.services
    )
    point = draw * sum(each.weight for each in usable)
    for each in usable:
        point -= each.weight
        if point < 0:
            return each.service
    return usable[-1].service


def _list_prefixes(path: str) -> Iterator[str]:
    """Yield the starts of a path that end with a slash, the longest first."""
    end = path.rfind("/")
    while end >= 0:
        yield path[: end + 1]
        end = path.rfind("/", 0, end)
