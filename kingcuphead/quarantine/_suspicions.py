"""Crashes by the subjects that they may be due to."""

from collections.abc import Iterable, Iterator, Mapping

from kingcuphead.frozen import frozen

#: Maximum number of crashes that are kept for one subject; the oldest are dropped.
MAX_CRASHES = 64


@frozen
class CrashedRequest:
    """One request that was lost with a target."""

    #: Incarnation of the target.
    target: str
    #: Fingerprint of the request.
    fingerprint: str


@frozen
class RecordedCrash:
    """One request that was lost with a target, as recorded for a subject."""

    #: The request and the target.
    crashed: CrashedRequest
    #: When the target crashed, in seconds on the monotonic clock.
    recorded_at: float
    #: Whether this daemon saw it, rather than a peer.
    is_own: bool


@frozen
class Suspicion:
    """The crashes that one subject may have caused."""

    #: The crashes, the latest last.
    crashes: tuple[RecordedCrash, ...] = ()

    @property
    def targets(self) -> tuple[str, ...]:
        """Incarnations of the targets that crashed."""
        return tuple(dict.fromkeys(crash.crashed.target for crash in self.crashes))

    @property
    def has_own_crash(self) -> bool:
        """Whether this daemon saw one of the crashes."""
        return any(crash.is_own for crash in self.crashes)

    def with_crash(self, crash: RecordedCrash) -> "Suspicion":
        """Return the suspicion with one crash more; a known one is replaced."""
        others = tuple(each for each in self.crashes if each.crashed != crash.crashed)
        return Suspicion((*others, crash)[-MAX_CRASHES:])

    def without_targets(self, targets: frozenset[str]) -> "Suspicion":
        """Return the suspicion without the crashes of some targets."""
        return Suspicion(
            tuple(each for each in self.crashes if each.crashed.target not in targets)
        )

    def without_crashes_before(self, oldest: float) -> "Suspicion":
        """Return the suspicion without the crashes before a time."""
        return Suspicion(
            tuple(each for each in self.crashes if each.recorded_at >= oldest)
        )


class Suspicions:
    """Suspicions by subject; does no I/O.

    Parameters
    ----------
    retention
        Seconds for which a crash counts.
    capacity
        Maximum number of subjects; the one suspected longest ago is evicted first.
    """

    def __init__(self, retention: float, capacity: int) -> None:
        self._retention = retention
        self._capacity = capacity
        self._suspicions: dict[str, Suspicion] = {}
        #: Time of the oldest crash, or an earlier time.
        self._oldest = float("inf")

    def __contains__(self, subject: str) -> bool:
        return subject in self._suspicions

    def get(self, subject: str) -> Suspicion:
        """Return the suspicion of a subject; an empty one if there is none."""
        return self._suspicions.get(subject, Suspicion())

    def select(self, subjects: Iterable[str]) -> Mapping[str, Suspicion]:
        """Return those suspicions among the given subjects that there are."""
        return {each: self._suspicions[each] for each in subjects if each in self}

    def list_subjects(self) -> tuple[str, ...]:
        """Return all suspected subjects."""
        return tuple(self._suspicions)

    def add(self, subject: str, crash: RecordedCrash, now: float) -> None:
        """Record a crash that a subject may have caused."""
        suspicion = self._suspicions.pop(subject, Suspicion())
        recent = suspicion.without_crashes_before(now - self._retention)
        self._oldest = min(self._oldest, crash.recorded_at)
        self._suspicions[subject] = recent.with_crash(crash)
        while len(self._suspicions) > self._capacity:
            del self._suspicions[next(iter(self._suspicions))]

    def clear(self, subject: str) -> None:
        """Discard the crashes of a subject."""
        self._suspicions.pop(subject, None)

    def clear_targets(self, targets: Iterable[str]) -> None:
        """Discard the crashes of targets, whose cause is known."""
        gone = frozenset(targets)
        self._replace(
            (subject, suspicion.without_targets(gone))
            for subject, suspicion in self._suspicions.items()
        )

    def expire(self, now: float) -> None:
        """Discard the crashes that no longer count."""
        oldest = now - self._retention
        if self._oldest >= oldest:
            return
        self._replace(
            (subject, suspicion.without_crashes_before(oldest))
            for subject, suspicion in self._suspicions.items()
        )
        self._oldest = oldest

    def _replace(self, suspicions: Iterator[tuple[str, Suspicion]]) -> None:
        self._suspicions = {
            subject: suspicion for subject, suspicion in suspicions if suspicion.crashes
        }
