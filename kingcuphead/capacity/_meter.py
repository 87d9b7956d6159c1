"""Measurement of this daemon's own load."""

import statistics
from collections import deque

from kingcuphead.frozen import frozen

#: Seconds over which load is measured.
WINDOW = 1.0
#: Median event loop lag in seconds that counts as full load.
FULL_LAG = 0.05
#: Cores that a process with a single event loop can use.
MAX_CORES = 1.0
#: Bits in a byte.
BYTE_BITS = 8


@frozen
class InstanceCapacity:
    """What the instance offers this process."""

    #: Cores that the process may use.
    cores: float
    #: Bytes a second that the link carries, each way.
    link_rate: float

    @classmethod
    def from_limits(
        cls, cores: float, cpu_share: float, link_mbps: float
    ) -> "InstanceCapacity":
        """Return the capacity within the limits of an instance.

        Parameters
        ----------
        cores
            Cores of the instance.
        cpu_share
            Share of the cores that the process may use.
        link_mbps
            Capacity of the link in Mbit/s, each way.
        """
        return cls(min(cores * cpu_share, MAX_CORES), link_mbps * 1e6 / BYTE_BITS)


@frozen
class OwnLoad:
    """Loads of one daemon as parts of its capacity."""

    #: Load of the link, in its busier direction.
    link: float = 0.0
    #: Load of the processor.
    processor: float = 0.0
    #: Lag of the event loop.
    lag: float = 0.0

    @property
    def peak(self) -> float:
        """The largest of the loads."""
        return max(self.link, self.processor, self.lag)


@frozen
class Sample:
    """Readings of the counters of a process at one moment."""

    #: Time in seconds.
    at: float
    #: Total processor time in seconds.
    processor_seconds: float
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
    capacity
        What the instance offers this process.
    """

    def __init__(self, capacity: InstanceCapacity) -> None:
        #: What the instance offers this process.
        self.capacity = capacity
        self._samples: deque[Sample] = deque()

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
        processor_seconds = sample.processor_seconds - first.processor_seconds
        # The median ignores a single long callback.
        lag = statistics.median(each.lag for each in samples)
        return OwnLoad(
            link=busier_direction / seconds / self.capacity.link_rate,
            processor=processor_seconds / seconds / self.capacity.cores,
            lag=max(0.0, min(lag / FULL_LAG, 1.0)),
        )
