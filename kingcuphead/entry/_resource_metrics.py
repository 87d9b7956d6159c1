"""Prometheus metrics of a daemon's memory, its load and its view of the targets."""

import functools
from collections.abc import Callable, Mapping

from kingcuphead.capacity import (
    CapacityFigures,
    LinkTraffic,
    OwnLoad,
    TimedSelector,
)
from kingcuphead.entry._instruments import Counter, Gauge, Registry
from kingcuphead.entry._poll_pacing import PollPacing
from kingcuphead.entry._view_age import ViewAge
from kingcuphead.targets import TargetDirectory


class MemoryMetrics:
    """Shows the bytes held for requests, and counts those ended for want of memory.

    Parameters
    ----------
    registry
        Receives the metrics.
    """

    def __init__(self, registry: Registry) -> None:
        self._held_bytes = Gauge(
            "kingcuphead_held_bytes",
            "Bytes held for bodies, collected answers and events.",
            registry=registry,
        )
        self._ended_requests = Counter(
            "kingcuphead_memory_ends",
            "Requests that were ended because the memory was full.",
            registry=registry,
        )

    def watch(self, get_bytes: Callable[[], int]) -> None:
        """Call a function for the bytes that are held whenever they are scraped."""
        self._held_bytes.set_function(get_bytes)

    def record_end(self) -> None:
        """Record a request that was ended because the memory was full."""
        self._ended_requests.inc()


class LoadMetrics:
    """Records the load of a daemon and how it shed load.

    Parameters
    ----------
    registry
        Receives the metrics.
    """

    def __init__(self, registry: Registry) -> None:
        self._load = Gauge(
            "kingcuphead_load",
            "Load of this daemon by resource, 1 being its capacity.",
            ("resource",),
            registry=registry,
        )
        self._closed_connections = Counter(
            "kingcuphead_shed_connections",
            "Connections of callers that were closed to shed load.",
            registry=registry,
        )
        self._unready_seconds = Counter(
            "kingcuphead_shed_seconds",
            "Seconds in which this daemon was unready to shed load.",
            registry=registry,
        )
        self._previous = CapacityFigures(OwnLoad(), 0, 0.0)

    def record(self, figures: CapacityFigures) -> None:
        """Record the current load and the totals of what was shed."""
        previous, self._previous = self._previous, figures
        self._load.labels("link").set(figures.load.link)
        self._load.labels("processor").set(figures.load.processor)
        self._load.labels("event_loop").set(figures.load.lag)
        self._closed_connections.inc(
            figures.closed_connections - previous.closed_connections
        )
        self._unready_seconds.inc(
            max(0.0, figures.unready_seconds - previous.unready_seconds)
        )


def add_target_gauges(registry: Registry, directory: TargetDirectory) -> None:
    """Add gauges that read the directory of targets whenever they are scraped.

    Parameters
    ----------
    registry
        Receives the gauges.
    directory
        The targets that the daemon knows.
    """
    evacuated = Gauge(
        "kingcuphead_evacuated_zones",
        "Evacuated zones that have targets.",
        registry=registry,
    )
    evacuated.set_function(lambda: len(directory.list_evacuated_zones()))
    cold = Gauge(
        "kingcuphead_cold_targets",
        "Targets that are known to be cold.",
        registry=registry,
    )
    cold.set_function(lambda: directory.cold_count)


def add_poll_gauges(registry: Registry, pacings: Mapping[str, PollPacing]) -> None:
    """Add gauges of the delays of polls of the store.

    Parameters
    ----------
    registry
        Receives the metrics.
    pacings
        Delays by table.
    """
    delays = Gauge(
        "kingcuphead_poll_delay_seconds",
        "Seconds by which the last changes of a table delayed its next poll.",
        ("table",),
        registry=registry,
    )
    for table, pacing in pacings.items():
        delays.labels(table).set_function(functools.partial(_get_delay, pacing))


def add_view_gauge(registry: Registry, view_age: ViewAge) -> None:
    """Add a gauge of the age of the view of the configuration."""
    age = Gauge(
        "kingcuphead_configuration_age_seconds",
        "Seconds since the store confirmed that the version in force is the newest.",
        registry=registry,
    )
    age.set_function(view_age.get_age)


def add_loop_gauge(registry: Registry, selector: TimedSelector) -> None:
    """Add a gauge of the longest turn of the event loop."""
    turn = Gauge(
        "kingcuphead_longest_turn_seconds",
        "Longest recent seconds in which the event loop looked for no new events.",
        registry=registry,
    )
    turn.set_function(lambda: selector.longest_turn)


def add_traffic_gauges(registry: Registry, traffic: LinkTraffic) -> None:
    """Add gauges of the bytes on the link since the start, by kind and direction."""
    total = Gauge(
        "kingcuphead_link_bytes",
        "Bytes on the link since the start, by kind of traffic and direction.",
        ("kind", "direction"),
        registry=registry,
    )
    for name, count in traffic.list_counts():
        sent = functools.partial(getattr, count, "sent")
        total.labels(name, "sent").set_function(sent)
        received = functools.partial(getattr, count, "received")
        total.labels(name, "received").set_function(received)


def _get_delay(pacing: PollPacing) -> float:
    return pacing.last_delay
