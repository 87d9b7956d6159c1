"""Statistics of the runs and the Markdown tables that show them."""

import dataclasses
import math
from collections import defaultdict
from collections.abc import Iterable, Iterator

from kingcuphead.bench._traffic_fleet import Record
from kingcuphead.bench._traffic_runs import (
    BURST_SECONDS,
    LEAD_SECONDS,
    RAMP_SECONDS,
    Policy,
    RunResult,
)

#: Start of the measurement window, in virtual seconds.
WINDOW_START = LEAD_SECONDS + RAMP_SECONDS
#: End of the measurement window, in virtual seconds.
WINDOW_END = LEAD_SECONDS + BURST_SECONDS
#: Quantiles of the time to first token in the tables.
QUANTILES = (0.5, 0.95, 0.99)


@dataclasses.dataclass(frozen=True, slots=True)
class ClassFigures:
    """Statistics of one class in one run."""

    #: Name of the work class.
    name: str
    #: Number of requests that arrived in the measurement window.
    arrived: int
    #: Number of those requests with a complete answer that started before the deadline.
    useful: int
    #: Number of those requests that were refused.
    refused: int
    #: Median time to a refusal, in seconds; None without one.
    refusal_seconds: float | None
    #: Quantiles of the time to first token, in seconds, in the order of `QUANTILES`.
    first_token: tuple[float, ...]
    #: Ratio of started answers whose prefix was cached.
    hits: float


def compute_quantile(values: list[float], quantile: float) -> float:
    """Return a quantile by nearest rank; NaN without values."""
    if not values:
        return math.nan
    ordered = sorted(values)
    index = math.ceil(quantile * len(ordered)) - 1
    return ordered[max(0, index)]


def is_counted(record: Record) -> bool:
    """Return whether a request arrived in the measurement window."""
    return WINDOW_START <= record.job.arrives_at < WINDOW_END


def summarise(result: RunResult) -> Iterator[ClassFigures]:
    """Yield the statistics of each class with requests."""
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
    """Return the statistics of one class."""
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


def compute_useful_share(result: RunResult, rates: dict[str, float]) -> float:
    """Return the share of the engines' capacity that useful answers used.

    An answer counts as the time that the saturated engines need per answer of its
    class. Only answers that finished in the measurement window count.
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


def format_spread(values: Iterable[float], digits: int = 2) -> str:
    """Format the median and the range of a figure over the seeds."""
    ordered = sorted(value for value in values if not math.isnan(value))
    if not ordered:
        return "-"
    median = ordered[len(ordered) // 2]
    return f"{median:.{digits}f} ({ordered[0]:.{digits}f}-{ordered[-1]:.{digits}f})"


def format_page(results: list[RunResult], rates: dict[str, float]) -> str:
    """Format the tables of one deployment and one number of daemons."""
    plan = results[0].plan
    title = f"## {plan.deployment.name}, {plan.daemons} daemons"
    steady = [result for result in results if not result.plan.has_leaving]
    tables = (
        title,
        "\n".join(format_classes(steady)),
        "\n".join(format_totals(results, rates)),
        "\n".join(format_comparison(steady)),
    )
    return "\n\n".join(tables) + "\n"


def format_classes(results: list[RunResult]) -> Iterator[str]:
    """Yield the lines of the table of classes."""
    yield (
        "| class | policy | TTFT p50, s | p95, s | p99, s | arrived | useful "
        "| refused | after, s (p50) | cache hits |"
    )
    yield "|---|---|---|---|---|---|---|---|---|---|"
    grouped: dict[tuple[str, str], list[ClassFigures]] = defaultdict(list)
    for result in results:
        label = result.plan.policy + (", alone" if result.plan.is_alone else "")
        for figures in summarise(result):
            grouped[figures.name, label].append(figures)
    for name, label in sorted(grouped):
        yield format_class(name, label, grouped[name, label])


def format_class(name: str, label: str, figures: list[ClassFigures]) -> str:
    """Format the row of one class under one policy."""
    quantiles = (
        format_spread(entry.first_token[index] for entry in figures)
        for index in range(len(QUANTILES))
    )
    refusals = [
        entry.refusal_seconds for entry in figures if entry.refusal_seconds is not None
    ]
    cells = (
        name,
        label,
        *quantiles,
        format_spread((entry.arrived for entry in figures), 0),
        format_spread((entry.useful for entry in figures), 0),
        format_spread((entry.refused for entry in figures), 0),
        format_spread(refusals),
        format_spread(entry.hits for entry in figures),
    )
    return f"| {' | '.join(cells)} |"


def format_totals(results: list[RunResult], rates: dict[str, float]) -> Iterator[str]:
    """Yield the lines of the table of engine use and leaving time by policy."""
    yield "| policy | capacity in useful answers | leaving to last placement, s |"
    yield "|---|---|---|"
    for policy in dict.fromkeys(result.plan.policy for result in results):
        selected = [
            result
            for result in results
            if result.plan.policy is policy and not result.plan.is_alone
        ]
        shares = (
            compute_useful_share(result, rates)
            for result in selected
            if not result.plan.has_leaving
        )
        leaving_times = (
            result.leaving_seconds
            for result in selected
            if result.leaving_seconds is not None
        )
        cells = (policy, format_spread(shares, 3), format_spread(leaving_times))
        yield f"| {' | '.join(cells)} |"


def format_comparison(results: list[RunResult]) -> Iterator[str]:
    """Yield the table of the first class's times relative to those of a run alone."""
    selected = [
        result for result in results if result.plan.policy is Policy.KINGCUPHEAD
    ]
    alone = {
        result.plan.seed: next(summarise(result))
        for result in selected
        if result.plan.is_alone
    }
    shared = [
        (alone[result.plan.seed], next(summarise(result)))
        for result in selected
        if not result.plan.is_alone
    ]
    yield "| first class, ratio to when alone, same seed | ratio |"
    yield "|---|---|"
    for index, quantile in enumerate(QUANTILES):
        ratios = (
            figures.first_token[index] / base.first_token[index]
            for base, figures in shared
        )
        yield f"| p{quantile * 100:.0f} | {format_spread(ratios)} |"
