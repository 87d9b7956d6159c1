"""Rate at which a service's places become free for this daemon."""

import math

#: Time constant in seconds of the moving average, in time with waiting requests.
AVERAGING_SECONDS = 1.0
#: Number of admissions before the rate counts as measured.
MIN_ADMISSIONS = 4
#: Seconds with waiting requests before the rate counts as measured.
MIN_SECONDS = 0.05
#: Seconds without a waiting request after which an earlier measurement is dropped.
LIFETIME = 10.0
#: Lower bound of a measured rate in requests per second, for divisions.
MIN_RATE = 0.01


class AdmissionRate:
    """Measures admissions per second while requests wait; does no I/O.

    While nothing waits, admissions show the demand and not the room.
    """

    def __init__(self) -> None:
        self._busy_until: float | None = None
        self._idle_since = 0.0
        self._admissions = 0.0
        self._seconds = 0.0
        self._total = 0

    def begin(self, now: float) -> None:
        """Record that a request waits; later calls do nothing until `end`."""
        if self._busy_until is not None:
            return
        if now - self._idle_since > LIFETIME:
            self._admissions = self._seconds = 0.0
            self._total = 0
        self._busy_until = now

    def end(self, now: float) -> None:
        """Record that no request waits any more."""
        if self._busy_until is not None:
            self._advance(now)
            self._busy_until = None
            self._idle_since = now

    def record_admission(self, now: float) -> None:
        """Count an admission; ignored while nothing waits."""
        if self._busy_until is not None:
            self._advance(now)
            self._admissions += 1.0
            self._total += 1

    def get(self, now: float) -> float | None:
        """Return the requests per second; None before it is measured."""
        if self._busy_until is not None:
            self._advance(now)
        if self._total < MIN_ADMISSIONS or self._seconds < MIN_SECONDS:
            return None
        return max(MIN_RATE, self._admissions / self._seconds)

    def _advance(self, now: float) -> None:
        """Let earlier time count less."""
        since = now if self._busy_until is None else self._busy_until
        elapsed = max(0.0, now - since)
        decay = math.exp(-elapsed / AVERAGING_SECONDS)
        self._admissions *= decay
        self._seconds = self._seconds * decay + AVERAGING_SECONDS * (1 - decay)
        self._busy_until = now
