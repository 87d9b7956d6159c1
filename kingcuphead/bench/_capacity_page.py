"""Tables of docs/CAPACITY.md, computed from measured slopes."""

import dataclasses
from collections.abc import Callable, Iterable, Iterator

from kingcuphead.bench import _capacity_sizes as sizes
from kingcuphead.bench._capacity_results import Results
from kingcuphead.bench._capacity_sizes import FleetSize

SizeFunction = Callable[[FleetSize], float]

#: Marker lines that enclose the generated part of the page.
BEGIN = "<!-- tables: begin, written by kingcuphead.bench.capacity -->"
END = "<!-- tables: end -->"
MICROSECONDS = 1e6
SECONDS_PER_DAY = 86_400.0
KILOBYTES_PER_MEGABYTE = 1000.0
#: Assumed share of all requests that go to plain services and must not run twice;
#: each of them makes a claim.
CLAIMED_SHARE = 0.002
#: Commits per claim: one to acquire it, one to record the answer.
COMMITS_PER_CLAIM = 2.0


class UnmarkedPageError(ValueError):
    """The page lacks a marker line."""

    def __init__(self) -> None:
        super().__init__(f"the page lacks the line {BEGIN!r} or {END!r}")


@dataclasses.dataclass(frozen=True, slots=True)
class Row:
    """A predicted figure at every size."""

    #: Name and unit of the figure, as printed.
    title: str
    #: Formula of the prediction, as printed.
    formula: str
    #: Predicted values, in the order of `SIZES`.
    values: tuple[float, ...]
    #: Upper bound at the design size; None without one.
    bound: float | None = None
    #: Printed digits after the decimal point.
    digits: int = 1

    @property
    def is_missed(self) -> bool:
        """Whether the value at the design size exceeds the bound."""
        return self.bound is not None and self.values[-1] > self.bound


class CapacityModel:
    """Predicts the load of a fleet from measured slopes.

    Parameters
    ----------
    results
        Measured slopes.
    """

    def __init__(self, results: Results) -> None:
        self._results = results

    def predict(self, name: str, size: float) -> float:
        """Return the cost that a slope predicts at a size."""
        return self._results.find(name).predict(size)

    def predict_growth(self, name: str, size: float) -> float:
        """Return the predicted increase of a cost from the smallest measured size.

        It is never negative.
        """
        slope = self._results.find(name)
        return max(0.0, slope.predict(size) - slope.predict(slope.points[0].size))

    def compute_control_cpu(self, size: FleetSize) -> float:
        """Return a daemon's processor time without requests, in us per second."""
        idle = self._results.find("idle_us").points[0].median
        heartbeats = (
            2
            / sizes.HEARTBEAT_SECONDS
            * self.predict_growth("heartbeat_us", size.daemons)
        )
        ticks = sizes.TICKS_PER_SECOND * self.predict_growth(
            "scheduler_tick_us", size.targets
        )
        index = self.predict("key_index_us", size.organisations)
        changes = size.changes / SECONDS_PER_DAY * index
        series = min(size.organisations, sizes.SERIES_ORGANISATIONS)
        scrapes = self.predict("scrape_us", series) / sizes.SCRAPE_SECONDS
        return idle + heartbeats + ticks + changes + scrapes

    def compute_memory(self, size: FleetSize) -> float:
        """Return a daemon's memory without requests, in megabytes."""
        idle = self._results.find("memory_kb").points[0].median
        series = min(size.organisations, sizes.SERIES_ORGANISATIONS)
        state = (
            self.predict_growth("member_kb", size.daemons)
            + self.predict_growth("target_kb", size.targets)
            + self.predict_growth("series_kb", series)
            + self.predict("account_kb", size.budgets)
        )
        return (idle + state) / KILOBYTES_PER_MEGABYTE

    def compute_heartbeat_bytes(self, size: FleetSize) -> float:
        """Return a daemon's membership traffic, in bytes per second in and out."""
        del size
        exchange = 2 * self._results.find("heartbeat_bytes").points[0].median
        return 2 * exchange / sizes.HEARTBEAT_SECONDS

    def compute_ledger_messages(self, size: FleetSize) -> float:
        """Return the ledger messages of one daemon per second."""
        per_request = self._results.find("ledger_per_request").points[-1].median
        return per_request * size.requests / size.daemons

    def compute_writes(self, size: FleetSize) -> float:
        """Return the table commits of the whole fleet per second."""
        if size is sizes.DESIGNED:
            bills = self.predict("ledger_writes", size.daemons)
        else:
            # Upper bound: every home flushes its shard once per flush interval.
            bills = size.daemons / size.flush_interval
        claims = CLAIMED_SHARE * size.requests * COMMITS_PER_CLAIM
        return bills + claims + size.changes / SECONDS_PER_DAY

    def compute_reads(self, size: FleetSize) -> float:
        """Return the table reads of the whole fleet per second."""
        ledgers = self.predict("ledger_reads", size.daemons)
        heads = size.daemons / sizes.HEAD_POLL_SECONDS
        changes = size.changes / SECONDS_PER_DAY * size.daemons
        return ledgers + heads + changes

    def iterate_rows(self) -> Iterator[Row]:
        """Yield the predicted figures in the order of the table."""
        yield from self._iterate_control()
        yield from self._iterate_table()
        yield from self._iterate_data_path()

    def _iterate_control(self) -> Iterator[Row]:
        yield self._make_row(
            "control: processor, % of a core",
            "idle + 2 heartbeats/s + 5 ticks/s + key index x changes + scrape / 30 s",
            lambda size: self.compute_control_cpu(size) / MICROSECONDS * 100,
            sizes.CONTROL_CPU_CORES * 100,
        )
        yield self._make_row(
            "control: memory, MB",
            "idle + members + targets + metrics series + accounts",
            self.compute_memory,
            sizes.CONTROL_MEMORY_MB,
        )
        yield self._make_row(
            "control: membership, KB/s in and out",
            "4 full messages / heartbeat interval",
            lambda size: self.compute_heartbeat_bytes(size) / KILOBYTES_PER_MEGABYTE,
            sizes.CONTROL_BYTES_PER_SECOND / KILOBYTES_PER_MEGABYTE,
        )
        yield self._make_row(
            "ledger: messages sent, KB/s",
            "messages a request x requests x 150 bytes",
            lambda size: (
                self.compute_ledger_messages(size)
                * sizes.LEDGER_MESSAGE_BYTES
                / KILOBYTES_PER_MEGABYTE
            ),
            sizes.CONTROL_BYTES_PER_SECOND / KILOBYTES_PER_MEGABYTE,
        )

    def _iterate_table(self) -> Iterator[Row]:
        yield self._make_row(
            "table: commits/s, whole fleet",
            "ledger slope x daemons (today: one per flush interval) + claims + changes",
            self.compute_writes,
            sizes.TABLE_WRITES_PER_SECOND,
            0,
        )
        yield self._make_row(
            "table: reads/s, whole fleet",
            "ledger slope x daemons + head polls + change reads",
            self.compute_reads,
            sizes.TABLE_READS_PER_SECOND,
            0,
        )

    def _iterate_data_path(self) -> Iterator[Row]:
        yield self._make_row(
            "data path: requests, % of a core",
            "request base x requests a daemon",
            lambda size: (
                self._results.find("request_us").base
                * (size.requests / size.daemons)
                / MICROSECONDS
                * 100
            ),
        )
        yield self._make_row(
            "data path: tokens, % of a core",
            "token slope x tokens a daemon",
            lambda size: (
                self._results.find("request_us").rate
                * (size.tokens / size.daemons)
                / MICROSECONDS
                * 100
            ),
            100.0,
        )

    def _make_row(
        self,
        title: str,
        formula: str,
        compute: SizeFunction,
        bound: float | None = None,
        digits: int = 1,
    ) -> Row:
        values = tuple(compute(size) for size in sizes.SIZES)
        return Row(title, formula, values, bound, digits)


def format_tables(results: Results) -> str:
    """Return the tables of predictions and of measurements in Markdown."""
    rows = tuple(CapacityModel(results).iterate_rows())
    return "\n".join([*_format_predictions(rows), "", *_format_measurements(results)])


def replace_tables(page: str, tables: str) -> str:
    """Return the page with the tables between its marker lines replaced.

    Raises
    ------
    UnmarkedPageError
        The page lacks a marker line.
    """
    before, begin, rest = page.partition(BEGIN)
    _, end, after = rest.partition(END)
    if not begin or not end:
        raise UnmarkedPageError
    return f"{before}{BEGIN}\n\n{tables}\n\n{END}{after}"


def _format_predictions(rows: Iterable[Row]) -> Iterator[str]:
    names = " | ".join(size.name for size in sizes.SIZES)
    yield f"| for each daemon, where not said otherwise | {names} | bound | |"
    yield "|---|" + "---|" * (len(sizes.SIZES) + 2)
    for row in rows:
        figures = " | ".join(f"{value:.{row.digits}f}" for value in row.values)
        bound = "" if row.bound is None else f"{row.bound:g}"
        verdict = "**missed**" if row.is_missed else "met" if bound else ""
        yield f"| {row.title}: {row.formula} | {figures} | {bound} | {verdict} |"


def _format_measurements(results: Results) -> Iterator[str]:
    yield f"Measured {results.measured_at} on {results.machine}."
    yield ""
    yield "| slope | unit | at sizes: median | one more | at zero | spread |"
    yield "|---|---|---|---|---|---|"
    for slope in results.slopes:
        points = ", ".join(f"{p.size:g}: {p.median:.4g}" for p in slope.points)
        yield (
            f"| `{slope.name}`: {slope.title}, by {slope.variable} | {slope.unit} |"
            f" {points} | {slope.rate:.4g} | {slope.base:.4g} | {slope.spread:.2f} |"
        )
