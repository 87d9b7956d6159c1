"""Fault switches of the stand-in platform."""

import enum

import msgspec


class Outage(enum.StrEnum):
    """Failure mode of a service of the platform."""

    #: The service is available.
    NONE = "none"
    #: Requests are refused with HTTP 503 and have no effect.
    REFUSE = "refuse"
    #: Connections are closed without a reply; requests have no effect.
    RESET = "reset"


class ServiceFaults(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Faults of one of the platform's services."""

    #: Failure mode; `none` while the service is available.
    outage: Outage = Outage.NONE
    #: Delay before a request takes effect, in seconds.
    delay: float = 0.0
    #: Delay between the effect of a request and its reply, in seconds.
    reply_delay: float = 0.0
    #: Number of further requests that take effect but get no reply.
    lose_replies: int = 0


class PlatformSwitches(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Fault switches of all services of the stand-in platform."""

    #: Faults of table commits, reads and scans.
    table: ServiceFaults = ServiceFaults()
    #: Faults of object reads and writes.
    objects: ServiceFaults = ServiceFaults()
    #: Faults of reads of the instance list.
    instances: ServiceFaults = ServiceFaults()
    #: Delay before a change becomes visible in the instance list, in seconds.
    list_lag: float = 0.0
    #: Whether the instance list is frozen, so that changes stay invisible.
    list_frozen: bool = False


class PlatformSwitchesChange(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Partial update of the switches; omitted fields stay unchanged."""

    #: New faults of the table; omitted faults are cleared.
    table: ServiceFaults | msgspec.UnsetType = msgspec.UNSET
    #: New faults of the object store; omitted faults are cleared.
    objects: ServiceFaults | msgspec.UnsetType = msgspec.UNSET
    #: New faults of the instance list; omitted faults are cleared.
    instances: ServiceFaults | msgspec.UnsetType = msgspec.UNSET
    #: Delay before a change becomes visible in the instance list, in seconds.
    list_lag: float | msgspec.UnsetType = msgspec.UNSET
    #: Whether the instance list is frozen, so that changes stay invisible.
    list_frozen: bool | msgspec.UnsetType = msgspec.UNSET

    def apply(self, switches: PlatformSwitches) -> PlatformSwitches:
        """Return a copy of the switches with this update applied."""
        fields = msgspec.structs.asdict(self)
        changes = {k: v for k, v in fields.items() if v is not msgspec.UNSET}
        return msgspec.structs.replace(switches, **changes)
