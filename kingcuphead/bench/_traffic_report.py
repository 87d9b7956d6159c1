"""Figures of the runs, and the page that shows them."""

import dataclasses
import math
from collections.abc import Iterable, Iterator

from kingcuphead.bench._traffic_fleet import Record
from kingcuphead.bench._traffic_runs import (
    BURST_SECONDS,
    LEAD_SECONDS,
    RAMP_SECONDS,
    RunResult,
)

#: Start of the counted time, in seconds.
WINDOW_START = LEAD_SECONDS + RAMP_SECONDS
#: End of the counted time, in seconds.
WINDOW_END = LEAD_SECONDS + BURST_SECONDS
#: The quantiles of the time to first token that are shown.
QUANTILES = (0.5, 0.95, 0.99)


@dataclasses.dataclass(frozen=True, slots=True)
class ClassFigures:
    """One class in one run."""

    #: Name of the class.
    name: str
    #: Requests that arrived in the counted time.
    arrived: int
    #: Of those, answers that were whole and began within the deadline.
    useful: int
    #: Of those, requests that were refused.
    refused: int
    #: Median time to a refusal, in seconds; None without one.
    refusal_seconds: float | None
    #: Time to first token of those that got one, in seconds, by quantile.
    first_token: tuple[float, ...]
    #: Part of the answers whose prefix was cached.
    hits: float


def compute_quantile(values: list[float], quantile: float) -> float:
    """Return a quantile by nearest rank; NaN without values."""
    if not values:
        return math.nan
    ordered = sorted(values)
    place = math.ceil(quantile * len(ordered)) - 1
    return ordered[max(0, place)]


def is_counted(record: Record) -> bool:
    """Tell whether the request arrived in the counted time."""
    return WINDOW_START <= record.job.arrives_at < WINDOW_END


def summarise(result: RunResult) -> Iterator[ClassFigures]:
    """Yield the figures of each class."""
    for load in result.plan.deployment.loads:
        name = load.work_class.name
        records = [
            record
            for record in result.records
            if record.job.work_class == name and is_counted(record)
        ]
        if records:
            yield summarise_class(name, records)


def summarise_class(name: str, records: list[Record]) -> ClassFigures:
    """Return the figures of one class."""
    answered = [record for record in records if record.first_token is not None]
    first_tokens = [record.first_token or 0.0 for record in answered]
    refusals = [
        record.refused_after for record in records if record.refused_after is not None
    ]
    return ClassFigures(
        name=name,
        arrived=len(records),
        useful=sum(record.is_useful for record in records),
        refused=len(refusals),
        refusal_seconds=compute_quantile(refusals, 0.5) if refusals else None,
        first_token=tuple(compute_quantile(first_tokens, q) for q in QUANTILES),
        hits=sum(record.is_hit for record in answered) / max(1, len(answered)),
    )


def compute_useful_part(result: RunResult, rates: dict[str, float]) -> float:
    """Return the engines' capacity that useful answers took in the counted time.

    An answer of a class counts for the time that the saturated engines need for
    one answer of that class.
    """
    useful = (
        record
        for record in result.records
        if record.is_useful
        and record.finished_at is not None
        and WINDOW_START <= record.finished_at < WINDOW_END
    )
    seconds = sum(1 / rates[record.job.work_class] for record in useful)
    return seconds / (WINDOW_END - WINDOW_START)


def format_spread(values: Iterable[float], scale: float = 1.0, digits: int = 2) -> str:
    """Return the median and the range of figures over the seeds."""
    ordered = sorted(value * scale for value in values if not math.isnan(value))
    if not ordered:
        return "-"
    median = ordered[len(ordered) // 2]
    return f"{median:.{digits}f} ({ordered[0]:.{digits}f}-{ordered[-1]:.{digits}f})"
