"""Stored data and fault switches of the stand-in platform."""

import msgspec

from kingcuphead.standins._lagging_list import LaggingList
from kingcuphead.standins._platform_faults import (
    PlatformSwitches,
    PlatformSwitchesChange,
    ServiceFaults,
)
from kingcuphead.storage import MemoryTable


class PlatformState:
    """Table, objects, instance list and switches of one stand-in platform."""

    def __init__(self) -> None:
        self.table = MemoryTable()
        self.objects: dict[str, bytes] = {}
        self.instances = LaggingList()
        self.switches = PlatformSwitches()

    def change_switches(self, change: PlatformSwitchesChange, now: float) -> None:
        """Update switches; `now` is the monotonic time in seconds."""
        self.switches = change.apply(self.switches)
        self.instances.set_lag(self.switches.list_lag)
        if self.switches.list_frozen:
            self.instances.freeze(now)
        else:
            self.instances.unfreeze()

    def get_faults(self, service: str) -> ServiceFaults:
        """Return the faults of a service: `table`, `objects` or `instances`."""
        match service:
            case "table":
                return self.switches.table
            case "objects":
                return self.switches.objects
            case _:
                return self.switches.instances

    def consume_lost_reply(self, service: str) -> bool:
        """Return whether to drop this reply, and decrement `lose_replies` if so."""
        faults = self.get_faults(service)
        if faults.lose_replies <= 0:
            return False
        updated = msgspec.structs.replace(faults, lose_replies=faults.lose_replies - 1)
        self.switches = msgspec.structs.replace(self.switches, **{service: updated})
        return True
