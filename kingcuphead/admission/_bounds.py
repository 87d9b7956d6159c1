"""Bounds on the requests that wait in one daemon."""

import dataclasses
from collections.abc import Iterable

from kingcuphead.targets import Target

#: Waiting requests for each slot of a service, over all daemons.
REQUESTS_PER_SLOT = 4
#: Lower bound of the waiting requests for one service.
MIN_REQUESTS = 16
#: Share of the bound for requests that are expected to miss their objectives.
LATE_SHARE = 1 / 32
#: Share of the bound for places that are kept for requests that may come back.
KEPT_SHARE = 0.25
#: Share of the process's memory for the bodies of waiting requests.
BODY_SHARE = 0.25
#: Memory of the smallest instance in bytes.
MIN_MEMORY_BYTES = 160_000_000


@dataclasses.dataclass(slots=True)
class QueueBounds:
    """Bounds, which depend on the fleet and on the instance."""

    #: Number of daemons that share the targets, this one included.
    daemons: int = 1
    #: Bytes in the bodies of all waiting requests.
    body_bytes: int = int(BODY_SHARE * MIN_MEMORY_BYTES)

    def count_requests(self, targets: Iterable[Target]) -> int:
        """Return how many requests may wait for a service with these targets."""
        slots = sum(target.slots for target in targets)
        return max(MIN_REQUESTS, REQUESTS_PER_SLOT * slots // max(1, self.daemons))


def bound_memory(memory_bytes: int) -> int:
    """Return the bytes of bodies that may wait in a process of a memory limit."""
    return int(BODY_SHARE * memory_bytes)
