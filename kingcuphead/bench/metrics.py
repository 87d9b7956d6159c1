"""Measure the costs of a daemon's metrics by the limit on organisation series."""

import argparse
import dataclasses
import time
import tracemalloc

from kingcuphead.metrics import (
    Metrics,
    MetricsSettings,
    RequestMeasured,
    StreamTimes,
)

_PHASES = (("hold", 0.002), ("queue", 0.05), ("claim", 0.01), ("settlement", 0.004))
_CLASSES = ("review", "dealer", "background")
_SCRAPES = 5


@dataclasses.dataclass(frozen=True, slots=True)
class MetricsCost:
    """Costs of the metrics of one daemon."""

    #: Memory allocated by Python, in megabytes.
    memory_mb: float
    #: Processor time of recording one request, in microseconds.
    record_us: float
    #: Processor time of one scrape, in milliseconds.
    scrape_ms: float
    #: Size of the text of one scrape, in kilobytes.
    scrape_kb: float


def measure_metrics(organisations: int, limit: int) -> MetricsCost:
    """Measure recording requests of every organisation and class, and scraping."""
    requests = _make_requests(organisations)
    tracemalloc.start()
    metrics = Metrics(MetricsSettings(organisations=limit))
    _record(metrics, requests)
    memory, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    started = time.process_time()
    _record(metrics, requests)
    recorded = time.process_time()
    for _ in range(_SCRAPES):
        text = metrics.render()
    scraped = time.process_time()
    return MetricsCost(
        memory / 1e6,
        (recorded - started) / len(requests) * 1e6,
        (scraped - recorded) / _SCRAPES * 1e3,
        len(text) / 1e3,
    )


def _make_requests(organisations: int) -> list[RequestMeasured]:
    stream = StreamTimes(0.3, 0.02, 0.1)
    return [
        RequestMeasured(f"organisation-{number}", name, None, _PHASES, stream, 90, 70)
        for number in range(organisations)
        for name in _CLASSES
    ]


def _record(metrics: Metrics, requests: list[RequestMeasured]) -> None:
    for request in requests:
        metrics.record_request(request)


def main() -> None:
    """Measure each limit and print its costs in one line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--organisations", type=int, default=1400)
    parser.add_argument("--limits", type=int, nargs="+", default=[10, 50, 300, 1400])
    arguments = parser.parse_args()
    for limit in arguments.limits:
        cost = measure_metrics(arguments.organisations, limit)
        print(
            f"limit {limit:5}: {cost.memory_mb:6.1f} MB, record {cost.record_us:5.1f}"
            f" us, scrape {cost.scrape_ms:7.1f} ms, {cost.scrape_kb:8.1f} kB"
        )


if __name__ == "__main__":
    main()
