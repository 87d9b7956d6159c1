"""What the stand-in platform holds, and the faults it shows."""

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
        """Set some switches; `now` is the time in seconds."""
        self.switches = change.apply(self.switches)
        self.instances.set_lag(self.switches.list_lag)
        if self.switches.list_frozen:
            self.instances.freeze(now)
        else:
            self.instances.thaw()

    def get_faults(self, service: str) -> ServiceFaults:
        """Return the faults of the named service."""
        match service:
            case "table":
                return self.switches.table
            case "objects":
                return self.switches.objects
            case _:
                return self.switches.instances

    def take_lost_reply(self, service: str) -> bool:
        """Say whether this answer is to be lost, and count it off."""
        faults = self.get_faults(service)
        if faults.lose_replies <= 0:
            return False
        left = msgspec.structs.replace(faults, lose_replies=faults.lose_replies - 1)
        self.switches = msgspec.structs.replace(self.switches, **{service: left})
        return True
