"""Targets as their entries in the platform's store describe them."""

import dataclasses
import enum


class Availability(enum.StrEnum):
    """Whether a target may get new requests, by its own entry."""

    READY = "ready"
    #: It leaves: it finishes what it has and gets nothing new.
    DRAINING = "draining"


@dataclasses.dataclass(frozen=True, slots=True)
class Target:
    """One life of a model engine or of an instance of a plain service."""

    #: Identity; an address may be given to another target later.
    name: str
    #: Service that it belongs to.
    service: str
    #: IP number and port.
    address: str
    #: Availability zone.
    zone: str
    #: Requests that it runs at once.
    slots: int
    #: Whether it may get new requests.
    availability: Availability
    #: Unix time of its start in milliseconds; a restart under the same name has
    #: another one.
    started_at_ms: int
