"""Plan and results of the relay benchmark."""

import dataclasses
import statistics
from collections.abc import Sequence

#: Relay variant with which the others are compared.
BASELINE = "default"


@dataclasses.dataclass(frozen=True, slots=True)
class Plan:
    """Parameters of the benchmark."""

    #: Numbers of concurrent streams to measure.
    streams: tuple[int, ...]
    #: Tokens per second of each stream.
    rate: float
    #: Duration of one run, in seconds.
    seconds: float
    #: Number of rounds; each runs every variant with every number of streams.
    rounds: int


@dataclasses.dataclass(frozen=True, slots=True)
class Measurement:
    """Result of one run of a relay variant."""

    #: Name of the relay variant.
    variant: str
    #: Number of concurrent streams.
    streams: int
    #: Processor time per token, in microseconds.
    token_cost: float
    #: Mean number of tokens per chunk that reached the caller.
    tokens_per_chunk: float


def compute_cost_ratio(
    results: Sequence[Measurement], variant: str, streams: int
) -> float:
    """Return the median cost of a variant relative to that of the baseline."""
    return compute_median_cost(results, variant, streams) / compute_median_cost(
        results, BASELINE, streams
    )


def compute_median_cost(
    results: Sequence[Measurement], variant: str, streams: int
) -> float:
    """Return the median cost of a variant, in microseconds per token."""
    return statistics.median(
        result.token_cost
        for result in results
        if (result.variant, result.streams) == (variant, streams)
    )
