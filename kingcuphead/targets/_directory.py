"""The targets whose entries one daemon has read, and which of them are usable."""

import dataclasses
import time
from collections import OrderedDict
from collections.abc import Iterable, Iterator

from kingcuphead.targets._messages import Availability, Target

#: Seconds after the start of the last failed call to the store within which targets
#: write their expired entries again.
REREGISTRATION_PERIOD = 3.0
#: Number of removed incarnations that are remembered.
MAX_REMOVED = 4_096


@dataclasses.dataclass(frozen=True, slots=True)
class TargetAdded:
    """A target was added, or restarted under the same name as a new incarnation."""

    #: The target, as described by its new entry.
    target: Target


@dataclasses.dataclass(frozen=True, slots=True)
class TargetLeft:
    """A target no longer accepts new requests."""

    #: The target, as described by its last entry.
    target: Target
    #: Whether the entry was removed (True), or the target is draining (False).
    is_removed: bool


DirectoryChange = TargetAdded | TargetLeft


class TargetDirectory:
    """Caches the entries of targets and reports which targets join and leave.

    An entry that is removed means that its target shuts down. Entries also expire when
    their targets can't reach the store. A target whose entry disappears during or soon
    after an outage of the store therefore stays usable for `REREGISTRATION_PERIOD`, and
    is dropped if the entry is still missing afterwards.
    """

    def __init__(self) -> None:
        self._targets: dict[str, Target] = {}
        self._expired: set[str] = set()
        self._replaced: set[str] = set()
        #: Incarnations that said that they leave.
        self._leaving: set[str] = set()
        #: Sequence numbers of the last entries of removed incarnations.
        self._removed: OrderedDict[str, int] = OrderedDict()
        self._usable: dict[str, tuple[Target, ...]] = {}
        self._store_failed_at = float("-inf")
        self._read_at = float("-inf")

    @property
    def store_failed_at(self) -> float:
        """Start of the last call to the store that failed, on the monotonic clock."""
        return self._store_failed_at

    @property
    def is_empty(self) -> bool:
        """Whether the directory contains no target."""
        return not self._targets

    def record_store_failure(self, started_at: float) -> None:
        """Record the start time of a call that the store didn't answer."""
        self._store_failed_at = max(self._store_failed_at, started_at)

    def record_read(self) -> None:
        """Record that the store has just told of the entries, or of no change."""
        self._read_at = _read_boot_clock()

    def get_age(self) -> float:
        """Return the seconds since the store last told of the entries.

        Time in which the instance was suspended counts.
        """
        return _read_boot_clock() - self._read_at

    def put(self, target: Target) -> Iterator[DirectoryChange]:
        """Add or replace the entry of a target and yield the resulting changes.

        An incarnation that is leaving does not become ready again, and a removed one
        does not return with its last entry: a store that was restored from a copy
        returns such entries.
        """
        if self._is_outdated(target):
            return
        if target.incarnation in self._leaving:
            target = dataclasses.replace(target, availability=Availability.DRAINING)
        elif target.availability is Availability.DRAINING:
            self._leaving.add(target.incarnation)
        previous = self._targets.get(target.name)
        self._targets[target.name] = target
        self._expired.discard(target.name)
        self._usable.clear()
        is_same_incarnation = (
            previous is not None and previous.started_at_ms == target.started_at_ms
        )
        was_ready = previous is None or previous.availability is Availability.READY
        if not is_same_incarnation:
            yield TargetAdded(target)
        was_ready = was_ready or not is_same_incarnation
        if was_ready and target.availability is Availability.DRAINING:
            yield TargetLeft(target, is_removed=False)

    def remove(self, name: str, now: float) -> Iterator[DirectoryChange]:
        """Handle the removal of an entry and yield the resulting changes."""
        previous = self._targets.get(name)
        if previous is None or name in self._expired:
            return
        is_store_healthy = now - self._store_failed_at > REREGISTRATION_PERIOD
        if is_store_healthy or previous.availability is Availability.DRAINING:
            yield from self._drop(previous)
        else:
            self._expired.add(name)

    def replace_all(
        self, targets: Iterable[Target], now: float
    ) -> Iterator[DirectoryChange]:
        """Apply a snapshot of all entries and yield the resulting changes."""
        targets_by_name = {target.name: target for target in targets}
        for target in targets_by_name.values():
            yield from self.put(target)
        for name in tuple(self._targets):
            if name not in targets_by_name:
                yield from self.remove(name, now)

    def mark_leaving(self, target: Target) -> Iterator[DirectoryChange]:
        """Handle an answer in which a target says that it leaves.

        Yields the resulting changes; none if the target has restarted or is known to
        leave.
        """
        current = self._targets.get(target.name)
        if current is None or current.incarnation != target.incarnation:
            return
        yield from self.put(
            dataclasses.replace(current, availability=Availability.DRAINING)
        )

    def list_all(self) -> tuple[Target, ...]:
        """Return the targets that have an entry, usable or not."""
        return tuple(self._targets.values())

    def list_addresses(self) -> tuple[str, ...]:
        """Return the addresses of all targets that accept new requests."""
        return tuple(
            each.address for each in self._targets.values() if self._is_usable(each)
        )

    def find(self, name: str) -> Target | None:
        """Return the target of a name, usable or not; None if there is none."""
        return self._targets.get(name)

    def find_usable(self, address: str) -> Target | None:
        """Return the target at an address that accepts new requests."""
        for target in self._targets.values():
            if target.address == address and self._is_usable(target):
                return target
        return None

    def list_leaving(self) -> tuple[Target, ...]:
        """Return the targets that have an entry and are leaving."""
        return tuple(
            target
            for target in self._targets.values()
            if target.availability is Availability.DRAINING
        )

    def has_left(self, target: Target) -> bool:
        """Return whether an incarnation is leaving, or its entry was removed."""
        identity = target.incarnation
        return identity in self._leaving or identity in self._removed

    def mark_replaced(self, target: Target) -> None:
        """Mark a target as unusable because another incarnation has its address.

        The target stays unusable until its entry describes a new incarnation.
        """
        previous = self._targets.get(target.name)
        if previous is not None and previous.started_at_ms == target.started_at_ms:
            self._replaced.add(target.incarnation)
            self._usable.clear()

    def tick(self, now: float) -> Iterator[DirectoryChange]:
        """Drop targets whose expired entries weren't written again in time."""
        if now - self._store_failed_at > REREGISTRATION_PERIOD:
            for name in tuple(self._expired):
                yield from self._drop(self._targets[name])

    def list_usable(self, service: str) -> tuple[Target, ...]:
        """Return the targets of a service that accept new requests."""
        usable = self._usable.get(service)
        if usable is None:
            usable = tuple(
                target
                for target in self._targets.values()
                if target.service == service and self._is_usable(target)
            )
            self._usable[service] = usable
        return usable

    def _is_usable(self, target: Target) -> bool:
        return (
            target.availability is Availability.READY
            and target.incarnation not in self._replaced
        )

    def _drop(self, target: Target) -> Iterator[DirectoryChange]:
        del self._targets[target.name]
        self._replaced.discard(target.incarnation)
        self._removed[target.incarnation] = target.sequence
        if len(self._removed) > MAX_REMOVED:
            identity, _ = self._removed.popitem(last=False)
            self._leaving.discard(identity)
        self._expired.discard(target.name)
        self._usable.clear()
        yield TargetLeft(target, is_removed=True)

    def _is_outdated(self, target: Target) -> bool:
        """Whether an entry is not newer than the removal of its incarnation."""
        identity = target.incarnation
        sequence = self._removed.get(identity)
        if sequence is None:
            return False
        if identity in self._leaving or target.sequence <= sequence:
            return True
        del self._removed[identity]
        return False


def _read_boot_clock() -> float:
    """Return seconds of a clock that, unlike the monotonic one, counts suspension."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)
