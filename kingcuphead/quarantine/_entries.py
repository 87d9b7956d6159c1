"""The keys that are quarantined, and until when."""

from collections.abc import Iterable, Iterator

from kingcuphead.quarantine._subjects import is_part, split_key


class QuarantinedKeys:
    """Ends of quarantines by key; does no I/O.

    A request is quarantined if it contains all subjects of a key.

    Parameters
    ----------
    memory
        Seconds after the end of a quarantine for which the next crash renews it.
    capacity
        Maximum number of keys; the oldest is evicted first.
    """

    def __init__(self, memory: float, capacity: int) -> None:
        self._memory = max(0.0, memory)
        self._capacity = capacity
        self._ends: dict[str, float] = {}
        #: Keys of parts, which have to be compared with each request.
        self._part_sets: dict[str, frozenset[str]] = {}

    def __contains__(self, key: str) -> bool:
        return key in self._ends

    def list_active(self, now: float) -> Iterator[tuple[str, float]]:
        """Yield the quarantined keys with the seconds that are left."""
        return ((key, end - now) for key, end in self._ends.items() if end > now)

    def list_with(self, subject: str) -> tuple[str, ...]:
        """Return the keys of several parts, or one, that contain a part."""
        return tuple(key for key, parts in self._part_sets.items() if subject in parts)

    def get_remaining(self, key: str, now: float) -> float:
        """Return the seconds until the quarantine of a key ends; 0 without one."""
        return max(0.0, self._ends.get(key, now) - now)

    def find_covering(self, subjects: Iterable[str]) -> Iterator[str]:
        """Yield the keys, quarantined now or lately, that a request contains."""
        contained = frozenset(subjects)
        yield from (subject for subject in contained if subject in self._ends)
        for key, parts in self._part_sets.items():
            if len(parts) > 1 and parts <= contained:
                yield key

    def put(self, key: str, end: float) -> None:
        """Quarantine a key until a time, or longer if it is already."""
        self._ends[key] = max(end, self._ends.get(key, end))
        parts = split_key(key)
        if all(map(is_part, parts)):
            self._part_sets[key] = parts
        while len(self._ends) > self._capacity:
            self.pop(next(iter(self._ends)))

    def pop(self, key: str) -> float | None:
        """Remove a key and return the end of its quarantine."""
        self._part_sets.pop(key, None)
        return self._ends.pop(key, None)

    def expire(self, now: float) -> None:
        """Remove the keys whose quarantine ended too long ago to be renewed."""
        for key, end in tuple(self._ends.items()):
            if end + self._memory <= now:
                self.pop(key)
