"""The targets that are known to one daemon, and which of them may be used."""

import dataclasses
from collections.abc import Iterable, Iterator

from kingcuphead.targets._messages import Availability, Target

#: Seconds after the start of the last call that the store did not answer, in which
#: entries that lapsed are written again.
RETURN_PERIOD = 3.0


@dataclasses.dataclass(frozen=True, slots=True)
class TargetAdded:
    """A target is new, or came back under its name as another life."""

    #: The target.
    target: Target


@dataclasses.dataclass(frozen=True, slots=True)
class TargetLeft:
    """A target gets nothing new from now on."""

    #: The target.
    target: Target
    #: Whether its entry is gone, rather than draining.
    is_removed: bool


DirectoryChange = TargetAdded | TargetLeft


class TargetDirectory:
    """Follows the entries of targets.

    An entry that disappears means that its target is leaving. Entries lapse also
    because their targets could not reach the store; so an entry that disappears while
    the store was out of order stays usable for `RETURN_PERIOD`, and counts as gone if
    it is still missing then.
    """

    def __init__(self) -> None:
        self._targets: dict[str, Target] = {}
        self._lapsed: set[str] = set()
        self._replaced: set[tuple[str, int]] = set()
        self._usable: dict[str, tuple[Target, ...]] = {}
        self._store_failed_at = float("-inf")

    @property
    def is_empty(self) -> bool:
        """Whether no target is known."""
        return not self._targets

    def note_store_failure(self, started_at: float) -> None:
        """Take note that the store did not answer a call that started at this time."""
        self._store_failed_at = max(self._store_failed_at, started_at)

    def put(self, target: Target) -> Iterator[DirectoryChange]:
        """Take the entry of a target."""
        known = self._targets.get(target.name)
        self._targets[target.name] = target
        self._lapsed.discard(target.name)
        self._usable.clear()
        is_same_life = known is not None and known.started_at_ms == target.started_at_ms
        was_ready = known is None or known.availability is Availability.READY
        if not is_same_life:
            yield TargetAdded(target)
        was_ready = was_ready or not is_same_life
        if was_ready and target.availability is Availability.DRAINING:
            yield TargetLeft(target, is_removed=False)

    def remove(self, name: str, now: float) -> Iterator[DirectoryChange]:
        """Take note that an entry disappeared."""
        known = self._targets.get(name)
        if known is None or name in self._lapsed:
            return
        is_store_sound = now - self._store_failed_at > RETURN_PERIOD
        if is_store_sound or known.availability is Availability.DRAINING:
            yield from self._drop(known)
        else:
            self._lapsed.add(name)

    def replace_all(
        self, targets: Iterable[Target], now: float
    ) -> Iterator[DirectoryChange]:
        """Take all entries as they were read at one moment."""
        found = {target.name: target for target in targets}
        for target in found.values():
            yield from self.put(target)
        for name in tuple(self._targets):
            if name not in found:
                yield from self.remove(name, now)

    def mark_replaced(self, target: Target) -> None:
        """Take note that another life has the address of a target.

        The target stays unusable until its entry says that it lives again.
        """
        known = self._targets.get(target.name)
        if known is not None and known.started_at_ms == target.started_at_ms:
            self._replaced.add((target.name, target.started_at_ms))
            self._usable.clear()

    def tick(self, now: float) -> Iterator[DirectoryChange]:
        """Drop the targets whose lapsed entries did not come back."""
        if now - self._store_failed_at > RETURN_PERIOD:
            for name in tuple(self._lapsed):
                yield from self._drop(self._targets[name])

    def list_usable(self, service: str) -> tuple[Target, ...]:
        """Return the targets of a service that may get new requests."""
        usable = self._usable.get(service)
        if usable is None:
            usable = tuple(
                target
                for target in self._targets.values()
                if target.service == service
                and target.availability is Availability.READY
                and (target.name, target.started_at_ms) not in self._replaced
            )
            self._usable[service] = usable
        return usable

    def _drop(self, target: Target) -> Iterator[DirectoryChange]:
        del self._targets[target.name]
        self._replaced.discard((target.name, target.started_at_ms))
        self._lapsed.discard(target.name)
        self._usable.clear()
        yield TargetLeft(target, is_removed=True)
