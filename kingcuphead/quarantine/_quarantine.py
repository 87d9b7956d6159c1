"""Requests that crash each target that runs them, found and held back."""

import dataclasses
from collections.abc import Iterator

from kingcuphead.quarantine._messages import (
    Crash,
    CrashReported,
    FingerprintQuarantined,
    FingerprintReleased,
    QuarantineEffect,
    QuarantineEntry,
)
from kingcuphead.quarantine._settings import QuarantineSettings


@dataclasses.dataclass(frozen=True, slots=True)
class _Suspicion:
    """The targets that died under one fingerprint, with the time of each crash."""

    crashes: tuple[tuple[str, float], ...]

    def with_crash(self, target: str, now: float) -> "_Suspicion":
        others = tuple(crash for crash in self.crashes if crash[0] != target)
        return _Suspicion((*others, (target, now)))

    def without_old(self, oldest: float) -> "_Suspicion":
        return _Suspicion(tuple(crash for crash in self.crashes if crash[1] >= oldest))

    @property
    def targets(self) -> tuple[str, ...]:
        return tuple(target for target, _ in self.crashes)


@dataclasses.dataclass(frozen=True, slots=True)
class _PendingCrash:
    """Streams of one target that broke together."""

    began_at: float
    has_early: bool
    late: tuple[str, ...] = ()


class Quarantine:
    """Crashes by fingerprint, and the fingerprints that are held back.

    Parameters
    ----------
    settings : QuarantineSettings
        Settings of the quarantine.
    """

    def __init__(self, settings: QuarantineSettings) -> None:
        self._settings = settings
        self._suspicions: dict[str, _Suspicion] = {}
        self._pending: dict[str, _PendingCrash] = {}
        self._expiries: dict[str, float] = {}
        self._releases: dict[str, float] = {}

    def is_quarantined(self, fingerprint: str, now: float) -> bool:
        """Tell whether requests with this fingerprint are held back."""
        return self._expiries.get(fingerprint, now) > now

    def is_suspect(self, fingerprint: str) -> bool:
        """Tell whether a target died under this fingerprint."""
        if fingerprint in self._suspicions:
            return True
        return any(fingerprint in crash.late for crash in self._pending.values())

    def describe(self, now: float) -> tuple[QuarantineEntry, ...]:
        """Return the quarantined fingerprints for operators."""
        return tuple(
            QuarantineEntry(fingerprint, self._get_targets(fingerprint), expiry - now)
            for fingerprint, expiry in self._expiries.items()
            if expiry > now
        )

    def record(self, crash: Crash, now: float) -> tuple[QuarantineEffect, ...]:
        """Take in a broken stream of a target that died."""
        pending = self._pending.get(crash.target)
        if pending is None or now - pending.began_at > self._settings.crash_window:
            pending = _PendingCrash(now, has_early=False)
        if not crash.is_early:
            late = (*pending.late, crash.fingerprint)
            self._pending[crash.target] = dataclasses.replace(pending, late=late)
            return ()
        self._pending[crash.target] = dataclasses.replace(pending, has_early=True)
        return tuple(self._blame(crash.fingerprint, crash.target, now))

    def clear(self, fingerprint: str) -> None:
        """Drop the suspicion of a request that a target ran to its end."""
        if fingerprint not in self._expiries:
            self._suspicions.pop(fingerprint, None)

    def learn_crash(self, fingerprint: str, target: str, now: float) -> None:
        """Take in a crash that a peer saw.

        Nothing is told in return: every daemon learns of the same crashes and
        judges by itself, so that one crash costs one message to each.
        """
        if self._releases.get(fingerprint, now) > now:
            return
        self._suspect(fingerprint, target, now)
        self._judge(fingerprint, now)

    def learn_entry(self, fingerprint: str, remaining: float, now: float) -> None:
        """Take in a peer's entry, which has `remaining` seconds to run."""
        if self._releases.get(fingerprint, now) > now:
            return
        expiry = now + min(remaining, self._settings.expiry)
        self._expiries[fingerprint] = max(expiry, self._expiries.get(fingerprint, now))
        self._trim(self._expiries)

    def release(self, fingerprint: str, now: float) -> tuple[QuarantineEffect, ...]:
        """Let a fingerprint go on an operator's word, and tell peers."""
        self.learn_release(fingerprint, now)
        return (FingerprintReleased(fingerprint),)

    def learn_release(self, fingerprint: str, now: float) -> None:
        """Let a fingerprint go because a peer's operator did."""
        self._expiries.pop(fingerprint, None)
        self._suspicions.pop(fingerprint, None)
        # Gossip of the old entry may still be under way when the release arrives.
        self._releases[fingerprint] = now + self._settings.crash_window * 10
        self._trim(self._releases)

    def tick(self, now: float) -> tuple[QuarantineEffect, ...]:
        """Judge the crashes whose window is over, and forget what has expired."""
        effects = tuple(self._settle_pending(now))
        self._expiries = {
            name: expiry for name, expiry in self._expiries.items() if expiry > now
        }
        self._releases = {
            name: expiry for name, expiry in self._releases.items() if expiry > now
        }
        self._suspicions = dict(self._filter_recent(now))
        return effects

    def _settle_pending(self, now: float) -> Iterator[QuarantineEffect]:
        window = self._settings.crash_window
        over = {
            target: crash
            for target, crash in self._pending.items()
            if now - crash.began_at >= window
        }
        for target, crash in over.items():
            del self._pending[target]
            # Late requests are to blame only where no early one can be.
            blamed = () if crash.has_early else dict.fromkeys(crash.late)
            for fingerprint in blamed:
                yield from self._blame(fingerprint, target, now)

    def _blame(
        self, fingerprint: str, target: str, now: float
    ) -> Iterator[QuarantineEffect]:
        self._suspect(fingerprint, target, now)
        yield CrashReported(fingerprint, target)
        if self._judge(fingerprint, now):
            yield FingerprintQuarantined(fingerprint, self._settings.expiry)

    def _suspect(self, fingerprint: str, target: str, now: float) -> None:
        suspicion = self._suspicions.pop(fingerprint, _Suspicion(()))
        oldest = now - self._settings.crash_memory
        recent = suspicion.without_old(oldest).with_crash(target, now)
        self._suspicions[fingerprint] = recent
        self._trim(self._suspicions)

    def _judge(self, fingerprint: str, now: float) -> bool:
        """Quarantine a guilty fingerprint; return whether it is so anew."""
        is_guilty = len(self._get_targets(fingerprint)) >= self._settings.crashes
        if not is_guilty or self.is_quarantined(fingerprint, now):
            return False
        self._expiries[fingerprint] = now + self._settings.expiry
        self._trim(self._expiries)
        return True

    def _get_targets(self, fingerprint: str) -> tuple[str, ...]:
        suspicion = self._suspicions.get(fingerprint)
        return suspicion.targets if suspicion else ()

    def _filter_recent(self, now: float) -> Iterator[tuple[str, _Suspicion]]:
        oldest = now - self._settings.crash_memory
        for fingerprint, suspicion in self._suspicions.items():
            recent = suspicion.without_old(oldest)
            if recent.crashes:
                yield fingerprint, recent

    def _trim(self, entries: dict[str, float] | dict[str, _Suspicion]) -> None:
        while len(entries) > self._settings.capacity:
            del entries[next(iter(entries))]
