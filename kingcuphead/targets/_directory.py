"""The targets whose entries one daemon has read, and which of them are usable."""

import dataclasses
import time
from collections import OrderedDict
from collections.abc import Callable, Iterable, Iterator, Mapping

from loguru import logger

from kingcuphead.targets._changes import (
    DirectoryChange,
    TargetAdded,
    TargetLeft,
    ZoneChange,
    ZoneEvacuated,
    ZoneReadmitted,
)
from kingcuphead.targets._cold import ColdLimit, ColdStart, ColdTargets
from kingcuphead.targets._expiry import EntryExpiry
from kingcuphead.targets._messages import Availability, Target, get_target_name

#: Seconds between two writes of a target's entry, unless the settings state another.
DEFAULT_HEARTBEAT = 1.2
#: Number of removed incarnations that are remembered.
MAX_REMOVED = 4_096
#: Seconds without an answer of the store after which a target may have become cold
#: without this daemon knowing it.
MAX_COLD_VIEW_AGE = 3.0


def read_boot_clock() -> float:
    """Return seconds of a clock that, unlike the monotonic one, counts suspension."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class TargetDirectory:
    """Caches the entries of targets and reports which targets join and leave.

    An entry that is removed means that its target shuts down. Entries also expire when
    their targets can't reach the store. A target whose entry disappears during or soon
    after an outage that was long enough for that therefore stays usable for as long as
    targets take to write their entries again, and is dropped if it is still missing.

    Parameters
    ----------
    read_clock
        Returns seconds of a clock that counts the time in which the instance was
        suspended.
    read_unix_time
        Returns the Unix time in seconds.
    heartbeat
        Seconds between two writes of a target's entry.
    """

    def __init__(
        self,
        read_clock: Callable[[], float] = read_boot_clock,
        read_unix_time: Callable[[], float] = time.time,
        heartbeat: float = DEFAULT_HEARTBEAT,
    ) -> None:
        self._read_clock = read_clock
        self._expiry = EntryExpiry(heartbeat)
        self._cold = ColdTargets(read_unix_time)
        #: Zones that the operator has evacuated, also those without known targets.
        self._evacuated: set[str] = set()
        #: Whether it was last logged that any target may be cold.
        self._is_in_doubt = False
        self._targets: dict[str, Target] = {}
        self._expired: set[str] = set()
        self._replaced: set[str] = set()
        #: Incarnations that said that they leave.
        self._leaving: set[str] = set()
        #: Sequence numbers of the last entries of removed incarnations.
        self._removed: OrderedDict[str, int] = OrderedDict()
        self._usable: dict[str, tuple[Target, ...]] = {}
        self._read_at = float("-inf")

    @property
    def store_failed_at(self) -> float:
        """Start of the last call to the store that failed, on the monotonic clock."""
        return self._expiry.failed_at

    @property
    def expiry_deadline(self) -> float | None:
        """Time at which targets without an entry are dropped; None without such."""
        return self._expiry.get_deadline() if self._expired else None

    @property
    def cold_count(self) -> int:
        """Number of targets that are known to be cold."""
        return self._cold.cold_count

    @property
    def has_cold_limits(self) -> bool:
        """Whether the targets of any service have a limit while they are cold."""
        return self._cold.has_limits

    @property
    def count(self) -> int:
        """Number of targets that have an entry, usable or not."""
        return len(self._targets)

    @property
    def is_empty(self) -> bool:
        """Whether the directory contains no target."""
        return not self._targets

    @property
    def evacuated_zones(self) -> tuple[str, ...]:
        """The evacuated zones, also those without known targets."""
        return tuple(sorted(self._evacuated))

    def record_store_failure(self, started_at: float) -> None:
        """Record the start time of a call that the store didn't answer."""
        self._expiry.record_failure(started_at)

    def record_read(self, now: float) -> None:
        """Record that the store has just answered a read of the entries or changes."""
        self._read_at = self._read_clock()
        self._expiry.record_answer(now)

    def get_age(self) -> float:
        """Return the seconds since the store last answered such a read.

        Time in which the instance was suspended counts.
        """
        return self._read_clock() - self._read_at

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
        self._cold.record_entry(target, self._read_clock())
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
        is_leaving = previous.availability is Availability.DRAINING
        if not is_leaving and self._expiry.may_have_expired(name, now):
            self._expired.add(name)
        else:
            yield from self._drop(previous)

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

    def evacuate_zone(self, zone: str) -> Iterator[ZoneChange]:
        """Exclude the targets of a zone, present and later ones, from new requests."""
        if zone not in self._evacuated:
            self._evacuated.add(zone)
            self._usable.clear()
            yield ZoneEvacuated(zone, self._list_zone(zone))

    def readmit_zone(self, zone: str) -> Iterator[ZoneChange]:
        """Let a zone get requests again; its targets may have become cold meanwhile."""
        if zone not in self._evacuated:
            return
        self._evacuated.discard(zone)
        self._usable.clear()
        targets = self._list_zone(zone)
        for target in targets:
            self._cold.record_readmission(target, self._read_clock())
        yield ZoneReadmitted(zone, targets)

    def replace_evacuated_zones(self, zones: Iterable[str]) -> Iterator[ZoneChange]:
        """Apply a snapshot of all evacuated zones and yield the resulting changes."""
        zones = frozenset(zones)
        for zone in sorted(self._evacuated - zones):
            yield from self.readmit_zone(zone)
        for zone in sorted(zones):
            yield from self.evacuate_zone(zone)

    def list_evacuated(self) -> tuple[Target, ...]:
        """Return the targets of the evacuated zones."""
        if not self._evacuated:
            return ()
        return tuple(
            each for each in self._targets.values() if self._is_evacuated(each)
        )

    def list_evacuated_zones(self) -> tuple[str, ...]:
        """Return the evacuated zones that have targets."""
        return tuple(sorted({each.zone for each in self.list_evacuated()}))

    def list_unknown_zones(self) -> tuple[str, ...]:
        """Return the evacuated zones that have no targets; none before any is known."""
        if not self._evacuated or self.is_empty:
            return ()
        return tuple(sorted(self._evacuated.difference(self.list_evacuated_zones())))

    def apply_cold_starts(self, starts: Mapping[str, ColdStart]) -> None:
        """Replace the cold starts of all services, by service."""
        self._cold.apply_starts(starts, self._read_clock())

    def record_cold(self, target: Target, seconds: float) -> None:
        """Record for how long a target stays cold, according to its answer."""
        self._cold.record_answer(target, seconds, self._read_clock())

    def is_cold(self, target: Target) -> bool:
        """Whether a target is known to be cold."""
        return self._cold.cold_count > 0 and self._cold.is_cold(
            target, self._read_clock()
        )

    def find_cold_limit(self, target: Target) -> ColdLimit | None:
        """Return the limit of a target that is or may be cold; None for no limit.

        While the store doesn't answer, a target may become cold unnoticed.
        """
        limit = self._cold.get_limit(target.service)
        if limit is None:
            return None
        if self.is_cold(target):
            return ColdLimit(limit, is_certain=True)
        if self.get_age() > MAX_COLD_VIEW_AGE:
            return ColdLimit(limit, is_certain=False)
        return None

    def is_known_warm(self, incarnation: str) -> bool:
        """Whether an incarnation is warm, by entries that are up to date."""
        target = self._targets.get(get_target_name(incarnation))
        return (
            target is not None
            and target.incarnation == incarnation
            and self.get_age() <= MAX_COLD_VIEW_AGE
            and not self.is_cold(target)
        )

    def tick(self, now: float) -> Iterator[DirectoryChange]:
        """Drop targets whose expired entries weren't written again in time."""
        self._cold.tick(self._read_clock())
        self._log_doubt()
        if now >= self._expiry.get_deadline():
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

    def _log_doubt(self) -> None:
        """Log when it becomes unknown, and known again, which targets are cold."""
        is_in_doubt = self.has_cold_limits and self.get_age() > MAX_COLD_VIEW_AGE
        if is_in_doubt == self._is_in_doubt:
            return
        self._is_in_doubt = is_in_doubt
        if is_in_doubt:
            logger.warning("the store doesn't answer: any target may be cold")
        else:
            logger.info("the store answers again: cold targets are known")

    def _is_usable(self, target: Target) -> bool:
        return (
            target.availability is Availability.READY
            and target.incarnation not in self._replaced
            and not self._is_evacuated(target)
        )

    def _is_evacuated(self, target: Target) -> bool:
        return bool(target.zone) and target.zone in self._evacuated

    def _list_zone(self, zone: str) -> tuple[Target, ...]:
        return tuple(
            each for each in self._targets.values() if each.zone == zone and zone
        )

    def _drop(self, target: Target) -> Iterator[DirectoryChange]:
        del self._targets[target.name]
        self._cold.forget(target)
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
