"""Detection and quarantine of requests that crash targets."""

import dataclasses
from collections.abc import Iterator

from kingcuphead.quarantine._answers import AnswerCounts
from kingcuphead.quarantine._messages import (
    Crash,
    CrashReported,
    FingerprintQuarantined,
    FingerprintReleased,
    QuarantineEffect,
    QuarantineEntry,
)
from kingcuphead.quarantine._rows import SavedCrash
from kingcuphead.quarantine._settings import QuarantineSettings


@dataclasses.dataclass(frozen=True, slots=True)
class _RecordedCrash:
    """The crash of one target."""

    #: Target that crashed.
    target: str
    #: When it was recorded, in seconds on the monotonic clock.
    recorded_at: float
    #: Whether this daemon saw it, rather than a peer.
    is_own: bool


@dataclasses.dataclass(frozen=True, slots=True)
class _Suspicion:
    """Crashes attributed to one fingerprint."""

    crashes: tuple[_RecordedCrash, ...]

    def with_crash(self, crash: _RecordedCrash) -> "_Suspicion":
        others = tuple(each for each in self.crashes if each.target != crash.target)
        return _Suspicion((*others, crash))

    def without_crashes_before(self, oldest: float) -> "_Suspicion":
        return _Suspicion(
            tuple(crash for crash in self.crashes if crash.recorded_at >= oldest)
        )

    @property
    def targets(self) -> tuple[str, ...]:
        return tuple(crash.target for crash in self.crashes)

    @property
    def has_own_crash(self) -> bool:
        return any(crash.is_own for crash in self.crashes)


@dataclasses.dataclass(frozen=True, slots=True)
class _PendingCrash:
    """Streams of one target that broke within one crash window."""

    #: When the first of them broke, in seconds on the monotonic clock.
    began_at: float
    #: Whether one of the requests was in its early phase.
    has_early: bool
    #: Fingerprints of the requests that were past their early phase.
    late: tuple[str, ...] = ()


class Quarantine:
    """Quarantines fingerprints whose requests crashed several targets.

    A crash breaks every stream of the target. It is attributed to the requests in
    their early phase, or to the later ones if none was early. A fingerprint is
    quarantined once its crashes are repeated and outnumber its answers: a popular
    request that is answered all the time is lost with targets that others crash.

    Parameters
    ----------
    settings : QuarantineSettings
        Thresholds and retention times.
    """

    def __init__(self, settings: QuarantineSettings) -> None:
        self._settings = settings
        self._suspicions: dict[str, _Suspicion] = {}
        self._pending: dict[str, _PendingCrash] = {}
        self._expiries: dict[str, float] = {}
        self._releases: dict[str, float] = {}
        self._answers = AnswerCounts(settings.crash_retention, settings.capacity)

    def is_quarantined(self, fingerprint: str, now: float) -> bool:
        """Return whether requests with this fingerprint are rejected."""
        return self.get_remaining(fingerprint, now) > 0

    def get_remaining(self, fingerprint: str, now: float) -> float:
        """Return the seconds until a fingerprint's quarantine ends; 0 without one."""
        return max(0.0, self._expiries.get(fingerprint, now) - now)

    def is_suspect(self, fingerprint: str) -> bool:
        """Return whether a crash is, or can still be, attributed to a fingerprint."""
        if fingerprint in self._suspicions:
            return True
        return any(fingerprint in crash.late for crash in self._pending.values())

    def has_own_crash(self, fingerprint: str) -> bool:
        """Return whether this daemon saw a crash attributed to a fingerprint."""
        suspicion = self._suspicions.get(fingerprint)
        return suspicion is not None and suspicion.has_own_crash

    def describe(self, now: float) -> tuple[QuarantineEntry, ...]:
        """Return the quarantined fingerprints for operators."""
        return tuple(
            self._describe_entry(fingerprint, expiry - now)
            for fingerprint, expiry in self._expiries.items()
            if expiry > now
        )

    def record_crash(self, crash: Crash, now: float) -> tuple[QuarantineEffect, ...]:
        """Record a stream that broke because its target crashed."""
        pending = self._pending.get(crash.target)
        if pending is None or now - pending.began_at > self._settings.crash_window:
            pending = _PendingCrash(now, has_early=False)
        if not crash.is_early:
            late = (*pending.late, crash.fingerprint)
            self._pending[crash.target] = dataclasses.replace(pending, late=late)
            return ()
        self._pending[crash.target] = dataclasses.replace(pending, has_early=True)
        return tuple(self._attribute_crash(crash.fingerprint, crash.target, now))

    def record_answer(self, fingerprint: str, now: float) -> None:
        """Count a complete answer that this daemon passed on."""
        self._answers.record(fingerprint, now)

    def count_answers(self, fingerprint: str, now: float) -> int:
        """Return the number of complete answers that this daemon passed on."""
        return self._answers.count_own(fingerprint, now)

    def apply_peer_answers(
        self, fingerprint: str, reporter: str, answers: int, now: float
    ) -> bool:
        """Apply a peer's number of answers; return whether it is new."""
        return self._answers.apply_report(fingerprint, reporter, answers, now)

    def needs_answers(self, fingerprint: str, now: float) -> bool:
        """Return whether another answer may decide about a suspect fingerprint."""
        if fingerprint not in self._suspicions:
            return False
        excess = self._count_excess(fingerprint, now)
        return -excess <= self._settings.min_crashed_targets

    def clear_suspicion(self, fingerprint: str) -> None:
        """Discard the crashes of a fingerprint after a complete answer.

        The crashes of a quarantined fingerprint are kept.
        """
        if fingerprint not in self._expiries:
            self._suspicions.pop(fingerprint, None)

    def list_own_crashes(self, now: float) -> tuple[SavedCrash, ...]:
        """Return the crashes that this daemon saw and that may lead to a quarantine.

        Those that answers outweigh are left out.
        """
        return tuple(
            SavedCrash(fingerprint, crash.target, now - crash.recorded_at)
            for fingerprint, suspicion in self._suspicions.items()
            if self._count_excess(fingerprint, now) > 0
            if not self.is_quarantined(fingerprint, now)
            for crash in suspicion.crashes
            if crash.is_own
        )

    def apply_peer_crash(
        self, fingerprint: str, target: str, now: float, age: float = 0.0
    ) -> tuple[QuarantineEffect, ...]:
        """Apply a crash report from a peer, or from the time before this process.

        Every daemon receives the same reports and decides locally. Only the daemons
        that saw one of the crashes themselves return the resulting quarantine as an
        effect, so its announcements are as few as the crashes.
        """
        if self._releases.get(fingerprint, now) > now:
            return ()
        if target in self._get_targets(fingerprint):
            return ()
        suspicion = self._add_suspicion(
            fingerprint, _RecordedCrash(target, now - age, is_own=False), now
        )
        is_new = self._quarantine_if_repeated(fingerprint, now)
        if is_new and suspicion.has_own_crash:
            return (FingerprintQuarantined(fingerprint, self._settings.expiry),)
        return ()

    def apply_peer_quarantine(
        self, fingerprint: str, remaining: float, now: float
    ) -> None:
        """Apply a peer's quarantine, which ends in `remaining` seconds."""
        if self._releases.get(fingerprint, now) > now:
            return
        expiry = now + min(remaining, self._settings.expiry)
        self._expiries[fingerprint] = max(expiry, self._expiries.get(fingerprint, now))
        self._trim(self._expiries)

    def release(self, fingerprint: str, now: float) -> tuple[QuarantineEffect, ...]:
        """Release a fingerprint for an operator, and return the notice to peers."""
        self.apply_peer_release(fingerprint, now)
        return (FingerprintReleased(fingerprint),)

    def apply_peer_release(self, fingerprint: str, now: float) -> None:
        """Apply a release that an operator made on a peer."""
        self._expiries.pop(fingerprint, None)
        self._suspicions.pop(fingerprint, None)
        # Gossip of the old quarantine may still arrive after the release.
        self._releases[fingerprint] = now + self._settings.crash_window * 10
        self._trim(self._releases)

    def tick(self, now: float) -> tuple[QuarantineEffect, ...]:
        """Resolve crashes whose window has ended, and drop expired entries."""
        effects = tuple(self._resolve_pending(now))
        self._expiries = {
            name: expiry for name, expiry in self._expiries.items() if expiry > now
        }
        self._releases = {
            name: expiry for name, expiry in self._releases.items() if expiry > now
        }
        self._suspicions = dict(self._filter_recent(now))
        return effects

    def _resolve_pending(self, now: float) -> Iterator[QuarantineEffect]:
        window = self._settings.crash_window
        ended = {
            target: crash
            for target, crash in self._pending.items()
            if now - crash.began_at >= window
        }
        for target, crash in ended.items():
            del self._pending[target]
            # Later requests are suspected only if no early request was running.
            attributed = () if crash.has_early else dict.fromkeys(crash.late)
            for fingerprint in attributed:
                yield from self._attribute_crash(fingerprint, target, now)

    def _attribute_crash(
        self, fingerprint: str, target: str, now: float
    ) -> Iterator[QuarantineEffect]:
        self._add_suspicion(fingerprint, _RecordedCrash(target, now, is_own=True), now)
        yield CrashReported(fingerprint, target)
        if self._quarantine_if_repeated(fingerprint, now):
            yield FingerprintQuarantined(fingerprint, self._settings.expiry)

    def _add_suspicion(
        self, fingerprint: str, crash: _RecordedCrash, now: float
    ) -> _Suspicion:
        suspicion = self._suspicions.pop(fingerprint, _Suspicion(()))
        oldest = now - self._settings.crash_retention
        recent = suspicion.without_crashes_before(oldest).with_crash(crash)
        self._suspicions[fingerprint] = recent
        self._trim(self._suspicions)
        return recent

    def _quarantine_if_repeated(self, fingerprint: str, now: float) -> bool:
        """Quarantine a fingerprint at the threshold; return whether that is new."""
        crashes = len(self._get_targets(fingerprint))
        if crashes < self._settings.min_crashed_targets:
            return False
        if self._count_excess(fingerprint, now) <= 0:
            return False
        if self.is_quarantined(fingerprint, now):
            return False
        self._expiries[fingerprint] = now + self._settings.expiry
        self._trim(self._expiries)
        return True

    def _count_excess(self, fingerprint: str, now: float) -> int:
        """Return by how much the crashes outnumber the answers."""
        crashes = len(self._get_targets(fingerprint))
        return crashes - self._answers.count_all(fingerprint, now)

    def _describe_entry(self, fingerprint: str, remaining: float) -> QuarantineEntry:
        suspicion = self._suspicions.get(fingerprint, _Suspicion(()))
        return QuarantineEntry(
            fingerprint, suspicion.targets, remaining, suspicion.has_own_crash
        )

    def _get_targets(self, fingerprint: str) -> tuple[str, ...]:
        suspicion = self._suspicions.get(fingerprint)
        return suspicion.targets if suspicion else ()

    def _filter_recent(self, now: float) -> Iterator[tuple[str, _Suspicion]]:
        oldest = now - self._settings.crash_retention
        for fingerprint, suspicion in self._suspicions.items():
            recent = suspicion.without_crashes_before(oldest)
            if recent.crashes:
                yield fingerprint, recent

    def _trim(self, entries: dict[str, float] | dict[str, _Suspicion]) -> None:
        while len(entries) > self._settings.capacity:
            del entries[next(iter(entries))]
