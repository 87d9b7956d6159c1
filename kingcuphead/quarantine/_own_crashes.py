"""The requests that this daemon lost with targets, for the daemons after it."""

from collections import OrderedDict
from collections.abc import Iterator

from kingcuphead.frozen import frozen
from kingcuphead.quarantine._messages import SavedCrash
from kingcuphead.quarantine._subjects import RequestIdentity
from kingcuphead.quarantine._suspicions import CrashedRequest

#: Crashes that are kept; the oldest are dropped.
MAX_OWN_CRASHES = 100


@frozen
class _OwnCrash:
    """A request that was lost with a target."""

    #: The request.
    request: RequestIdentity
    #: When the target crashed, in seconds on the monotonic clock.
    crashed_at: float


class OwnCrashes:
    """Crashes that this daemon saw itself; does no I/O."""

    def __init__(self) -> None:
        self._crashes: OrderedDict[CrashedRequest, _OwnCrash] = OrderedDict()

    def add(
        self, crashed: CrashedRequest, request: RequestIdentity, now: float
    ) -> None:
        """Record a request that was lost with a target."""
        self._crashes[crashed] = _OwnCrash(request, now)
        if len(self._crashes) > MAX_OWN_CRASHES:
            self._crashes.popitem(last=False)

    def list_all(self, now: float) -> Iterator[SavedCrash]:
        """Yield the crashes as they are kept in the table."""
        for crashed, crash in self._crashes.items():
            yield SavedCrash(crashed.target, crash.request, now - crash.crashed_at)
