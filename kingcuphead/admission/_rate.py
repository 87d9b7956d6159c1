"""Rate at which a service's places become free for this daemon."""

import dataclasses
import math

#: Time constant in seconds of the moving averages.
AVERAGING_SECONDS = 1.0
#: Number of admissions before the rate counts as measured.
MIN_ADMISSIONS = 4
#: Seconds with waiting requests before the rate counts as measured.
MIN_SECONDS = 0.05
#: Seconds without a waiting request after which an earlier measurement is dropped.
LIFETIME = 10.0
#: Lower bound of a measured rate in requests per second, for divisions.
MIN_RATE = 0.01


@dataclasses.dataclass(slots=True)
class _AverageRate:
    """Events per second of the averaged time; earlier time counts less."""

    count: float = 0.0
    seconds: float = 0.0
    updated_at: float = 0.0

    def advance(self, now: float) -> None:
        decay = math.exp(-max(0.0, now - self.updated_at) / AVERAGING_SECONDS)
        self.count *= decay
        self.seconds = self.seconds * decay + AVERAGING_SECONDS * (1 - decay)
        self.updated_at = now


class AdmissionRate:
    """Measures admissions per second; does no I/O.

    Admissions while requests wait show the room. All admissions together show a lower
    bound of it, which counts at the beginning of a wait: requests wait because nothing
    was admitted just then.
    """

    def __init__(self) -> None:
        self._waiting = _AverageRate()
        self._total = _AverageRate()
        self._is_waiting = False
        self._idle_since = 0.0
        self._admissions = 0

    def begin(self, now: float) -> None:
        """Record that a request waits; later calls do nothing until `end`."""
        if self._is_waiting:
            return
        if now - self._idle_since > LIFETIME:
            self._waiting = _AverageRate()
            self._admissions = 0
        self._waiting.updated_at = now
        self._is_waiting = True

    def end(self, now: float) -> None:
        """Record that no request waits any more."""
        if self._is_waiting:
            self._waiting.advance(now)
            self._is_waiting = False
            self._idle_since = now

    def record_admission(self, now: float) -> None:
        """Count an admission."""
        self._total.advance(now)
        self._total.count += 1
        if self._is_waiting:
            self._waiting.advance(now)
            self._waiting.count += 1
            self._admissions += 1

    def get(self, now: float) -> float | None:
        """Return the requests per second; None before it is measured."""
        if self._is_waiting:
            self._waiting.advance(now)
        self._total.advance(now)
        waiting = self._waiting
        if self._admissions < MIN_ADMISSIONS or waiting.seconds < MIN_SECONDS:
            return None
        throughput = self._total.count / AVERAGING_SECONDS
        return max(MIN_RATE, throughput, waiting.count / waiting.seconds)
