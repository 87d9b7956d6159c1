"""Faults that the stand-in platform can be told to show."""

import enum

import msgspec


class Outage(enum.StrEnum):
    """How a service fails while it is down."""

    #: The service works.
    NONE = "none"
    #: Requests are refused with HTTP 503 and have no effect.
    REFUSE = "refuse"
    #: Connections are closed without an answer; requests have no effect.
    RESET = "reset"


class ServiceFaults(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Faults of one of the platform's services."""

    #: Whether and how the service is down.
    outage: Outage = Outage.NONE
    #: Seconds before a request takes effect.
    delay: float = 0.0
    #: Seconds between the effect of a request and its answer.
    reply_delay: float = 0.0
    #: Number of requests to come that take effect and get no answer.
    lose_replies: int = 0


class PlatformSwitches(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Every fault of the stand-in platform."""

    #: Faults of the table.
    table: ServiceFaults = ServiceFaults()
    #: Faults of the object store.
    objects: ServiceFaults = ServiceFaults()
    #: Faults of the instance list.
    instances: ServiceFaults = ServiceFaults()
    #: Seconds before a change of an instance shows in the list.
    list_lag: float = 0.0
    #: Whether the list has stopped following changes.
    list_frozen: bool = False


class PlatformSwitchesChange(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The switches to set; the others stay as they are."""

    #: Faults of the table, replaced as a whole.
    table: ServiceFaults | msgspec.UnsetType = msgspec.UNSET
    #: Faults of the object store, replaced as a whole.
    objects: ServiceFaults | msgspec.UnsetType = msgspec.UNSET
    #: Faults of the instance list, replaced as a whole.
    instances: ServiceFaults | msgspec.UnsetType = msgspec.UNSET
    #: Seconds before a change of an instance shows in the list.
    list_lag: float | msgspec.UnsetType = msgspec.UNSET
    #: Whether the list has stopped following changes.
    list_frozen: bool | msgspec.UnsetType = msgspec.UNSET

    def apply(self, switches: PlatformSwitches) -> PlatformSwitches:
        """Return the switches with this change made."""
        fields = msgspec.structs.asdict(self)
        changes = {k: v for k, v in fields.items() if v is not msgspec.UNSET}
        return msgspec.structs.replace(switches, **changes)
