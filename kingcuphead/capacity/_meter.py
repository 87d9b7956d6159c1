"""Measurement of this daemon's own load."""

import dataclasses
from collections import deque

from kingcuphead.capacity._median import compute_median

#: Seconds over which load is measured.
WINDOW = 1.0
#: Median event loop lag in seconds that counts as full load.
FULL_LAG = 0.05
#: Bits in a byte.
BYTE_BITS = 8


@dataclasses.dataclass(frozen=True, slots=True)
class OwnLoad:
    """Loads of one daemon as parts of its capacity."""

    #: Load of the link, in its busier direction.
    link: float = 0.0
    #: Share of the time in which the event loop is busy.
    processor: float = 0.0
    #: Lag of the event loop.
    lag: float = 0.0

    @property
    def peak(self) -> float:
        """The largest of the loads."""
        return max(self.link, self.processor, self.lag)


@dataclasses.dataclass(frozen=True, slots=True)
class Sample:
    """Readings of the counters of a process at one moment."""

    #: Time in seconds.
    at: float
    #: Total seconds in which the event loop was busy.
    busy_seconds: float
    #: Total bytes sent.
    sent: int
    #: Total bytes received.
    received: int
    #: Seconds by which a timer of the event loop was late.
    lag: float


class LoadMeter:
    """Computes the load of the last `WINDOW` seconds; does no I/O.

    Parameters
    ----------
    link_mbps
        Capacity of the link in Mbit/s, each way.
    """

    def __init__(self, link_mbps: float) -> None:
        self.apply_link(link_mbps)
        self._samples: deque[Sample] = deque()

    def apply_link(self, link_mbps: float) -> None:
        """Replace the capacity of the link in Mbit/s."""
        self._link_rate = link_mbps * 1e6 / BYTE_BITS

    def measure(self, sample: Sample) -> OwnLoad:
        """Add a sample and return the load; no load before the first whole window."""
        samples = self._samples
        samples.append(sample)
        while len(samples) > 2 and samples[1].at <= sample.at - WINDOW:
            samples.popleft()
        first = samples[0]
        seconds = sample.at - first.at
        if seconds < WINDOW:
            return OwnLoad()
        busier_direction = max(
            sample.sent - first.sent, sample.received - first.received
        )
        busy_seconds = sample.busy_seconds - first.busy_seconds
        # The median ignores a single long callback.
        lag = compute_median(each.lag for each in samples)
        return OwnLoad(
            link=busier_direction / seconds / self._link_rate,
            processor=busy_seconds / seconds,
            lag=max(0.0, min(lag / FULL_LAG, 1.0)),
        )
