"""What a relay measurement runs, and what it gives."""

import dataclasses
import statistics
from collections.abc import Sequence

#: The way of relaying that the others are compared with.
BASELINE = "default"


@dataclasses.dataclass(frozen=True, slots=True)
class Plan:
    """What is run."""

    #: Numbers of streams at once.
    streams: tuple[int, ...]
    #: Tokens a second in each stream.
    rate: float
    #: Length of one run, in seconds.
    seconds: float
    #: Rounds, each with every number of streams and every way.
    rounds: int


@dataclasses.dataclass(frozen=True, slots=True)
class Measurement:
    """One run of one way of relaying."""

    #: Way of relaying.
    variant: str
    #: Streams at once.
    streams: int
    #: Processor time per token, in microseconds.
    token_cost: float
    #: Tokens in each piece that reached the caller, on average.
    tokens_per_piece: float


def find_ratio(results: Sequence[Measurement], variant: str, streams: int) -> float:
    """Return the median cost of a way relative to the baseline's."""
    return find_cost(results, variant, streams) / find_cost(results, BASELINE, streams)


def find_cost(results: Sequence[Measurement], variant: str, streams: int) -> float:
    """Return the median cost of a way, in microseconds per token."""
    return statistics.median(
        result.token_cost
        for result in results
        if (result.variant, result.streams) == (variant, streams)
    )
