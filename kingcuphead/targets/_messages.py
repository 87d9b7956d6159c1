"""Targets, as described by their entries in the platform's store."""

import enum

from kingcuphead.frozen import frozen


class Availability(enum.StrEnum):
    """Whether a target accepts new requests, according to its entry."""

    #: Accepts new requests.
    READY = "ready"
    #: Shutting down: finishes its open requests and accepts no new ones.
    DRAINING = "draining"


@frozen
class Target:
    """One incarnation of a model engine or of an instance of a plain service."""

    #: Identity of the target; addresses may be reused by other targets.
    name: str
    #: Name of the service that the target runs.
    service: str
    #: IP address and port.
    address: str
    #: Name of the availability zone.
    zone: str
    #: Maximum number of requests that the target runs concurrently.
    slots: int
    #: Whether the target accepts new requests.
    availability: Availability
    #: Start time in Unix milliseconds; distinguishes incarnations under the same name.
    started_at_ms: int
    #: Number of the entry; it rises with each heartbeat of the incarnation.
    sequence: int = 0
    #: Version of the target's software; its model weights have versions of their own.
    software_version: str = ""
    #: Seconds for which the target stays cold, counted from its entry; None if the
    #: entry states nothing.
    cold_left: float | None = None

    @property
    def incarnation(self) -> str:
        """Identity of one run of the target's process."""
        return f"{self.name}@{self.started_at_ms}"


def get_target_name(incarnation: str) -> str:
    """Return the name of the target that an incarnation is of."""
    return incarnation.rpartition("@")[0]


@frozen
class ZonesAsked:
    """A daemon that can't reach the store asks for the evacuated zones."""


@frozen
class ZonesReported:
    """The evacuated zones, as a daemon has just read them from the store."""

    #: Era of the store.
    era: int
    #: Version of the table.
    version: int
    #: Names of the zones.
    zones: tuple[str, ...]
