"""Checks of limits and times, each alone and against each other."""

from collections.abc import Iterator

from kingcuphead.review._findings import Finding, make_error, make_warning
from kingcuphead.routing import CallerLimits, Route

#: Smallest header limit in bytes that leaves room for the daemons' own headers.
MIN_HEADER_BYTES = 4_096


def check_count(place: str, name: str, count: int) -> Iterator[Finding]:
    """Return an error if a field that needs at least 1 has less."""
    if count < 1:
        yield make_error(place, f"{name} {count} is below 1")


def check_times(place: str, route: Route) -> Iterator[Finding]:
    """Return the findings about the timeout and the objectives of a route."""
    times = {
        "timeout": route.timeout,
        "objective": route.objective,
        "pause objective": route.event_gap_objective,
    }
    for name, seconds in times.items():
        if not seconds > 0:
            yield make_error(place, f"{name} {seconds:g} s is not above 0")
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


def check_limits(limits: CallerLimits) -> Iterator[Finding]:
    """Return the findings about the limits of callers."""
    if limits.header_bytes < MIN_HEADER_BYTES:
        yield make_warning(
            "limits",
            f"max_header_bytes {limits.header_bytes} is below {MIN_HEADER_BYTES}, "
            "which the router's own headers need",
        )
    yield from check_count("limits", "max_body_bytes", limits.body_bytes)
    times = {
        "header_timeout_ms": limits.header_timeout,
        "idle_timeout_ms": limits.idle_timeout,
    }
    for name, seconds in times.items():
        if not seconds > 0:
            yield make_error("limits", f"{name} {seconds * 1000:g} is not above 0")
