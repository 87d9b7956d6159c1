"""The tables of docs/CAPACITY.md, reckoned from measured slopes."""

import dataclasses
from collections.abc import Callable, Iterable, Iterator

from kingcuphead.bench import _capacity_sizes as sizes
from kingcuphead.bench._capacity_results import Results
from kingcuphead.bench._capacity_sizes import FleetSize

Reckoner = Callable[[FleetSize], float]

#: Lines between which the page is recomputed.
BEGIN = "<!-- tables: begin, written by kingcuphead.bench.capacity -->"
END = "<!-- tables: end -->"
MICROSECONDS = 1e6
SECONDS_PER_DAY = 86_400.0
KILOBYTES_PER_MEGABYTE = 1000.0
#: Requests to plain services that must not repeat, as a share of all; assumed.
CLAIMED_SHARE = 0.002
#: Commits of one claim: taken, and recorded.
COMMITS_PER_CLAIM = 2.0


class UnmarkedPageError(ValueError):
    """The page has no place for the tables."""

    def __init__(self) -> None:
        super().__init__(f"the page lacks the line {BEGIN!r} or {END!r}")


@dataclasses.dataclass(frozen=True, slots=True)
class Row:
    """One reckoned figure at every size."""

    #: What it is.
    title: str
    #: How it is reckoned.
    formula: str
    #: The figures, by size.
    values: tuple[float, ...]
    #: The bound at the designed size, or None.
    bound: float | None = None
    #: Digits after the decimal point.
    digits: int = 1

    @property
    def is_missed(self) -> bool:
        """Whether the designed size breaks the bound."""
        return self.bound is not None and self.values[-1] > self.bound


class Reckoning:
    """Figures from one set of results.

    Parameters
    ----------
    results
        The measured slopes.
    """

    def __init__(self, results: Results) -> None:
        self._results = results

    def predict(self, name: str, size: float) -> float:
        """Return the cost that a slope gives at a size."""
        return self._results.find(name).predict(size)

    def grow(self, name: str, size: float) -> float:
        """Return by how much a cost exceeds that at its smallest measured size."""
        slope = self._results.find(name)
        return max(0.0, slope.predict(size) - slope.predict(slope.points[0].size))

    def reckon_control(self, size: FleetSize) -> float:
        """Return the control's processor time, in microseconds a second."""
        idle = self._results.find("idle_us").points[0].median
        beats = 2 / sizes.HEARTBEAT_INTERVAL * self.grow("heartbeat_us", size.daemons)
        ticks = sizes.TICKS_PER_SECOND * self.grow("scheduler_tick_us", size.targets)
        index = self.predict("key_index_us", size.organisations)
        changes = size.changes / SECONDS_PER_DAY * index
        series = min(size.organisations, sizes.SERIES_ORGANISATIONS)
        scrapes = self.predict("scrape_us", series) / sizes.SCRAPE_INTERVAL
        return idle + beats + ticks + changes + scrapes

    def reckon_memory(self, size: FleetSize) -> float:
        """Return a daemon's memory without requests, in megabytes."""
        idle = self._results.find("memory_kb").points[0].median
        series = min(size.organisations, sizes.SERIES_ORGANISATIONS)
        state = (
            self.grow("member_kb", size.daemons)
            + self.grow("target_kb", size.targets)
            + self.grow("series_kb", series)
            + self.predict("account_kb", size.budgets)
        )
        return (idle + state) / KILOBYTES_PER_MEGABYTE

    def reckon_heartbeats(self, size: FleetSize) -> float:
        """Return the bytes a second of membership, in and out."""
        del size
        exchange = 2 * self._results.find("heartbeat_bytes").points[0].median
        return 2 * exchange / sizes.HEARTBEAT_INTERVAL

    def reckon_ledger_messages(self, size: FleetSize) -> float:
        """Return the ledger messages of one daemon a second."""
        per_request = self._results.find("ledger_per_request").points[-1].median
        return per_request * size.requests / size.daemons

    def reckon_writes(self, size: FleetSize) -> float:
        """Return the table commits of the whole fleet a second."""
        if size is sizes.DESIGNED:
            bills = self.predict("ledger_writes", size.daemons)
        else:
            # A flush of each home's shard in every interval is the most there is.
            bills = size.daemons / size.flush_interval
        claims = CLAIMED_SHARE * size.requests * COMMITS_PER_CLAIM
        return bills + claims + size.changes / SECONDS_PER_DAY

    def reckon_reads(self, size: FleetSize) -> float:
        """Return the table reads of the whole fleet a second."""
        ledgers = self.predict("ledger_reads", size.daemons)
        heads = size.daemons / sizes.HEAD_INTERVAL
        changes = size.changes / SECONDS_PER_DAY * size.daemons
        return ledgers + heads + changes

    def iterate_rows(self) -> Iterator[Row]:
        """Yield the reckoned figures."""
        yield from self._iterate_control()
        yield from self._iterate_table()
        yield from self._iterate_data_path()

    def _iterate_control(self) -> Iterator[Row]:
        yield self._make_row(
            "control: processor, % of a core",
            "idle + 2 heartbeats/s + 5 ticks/s + key index x changes + scrape / 30 s",
            lambda size: self.reckon_control(size) / MICROSECONDS * 100,
            sizes.CONTROL_PROCESSOR * 100,
        )
        yield self._make_row(
            "control: memory, MB",
            "idle + members + targets + metrics series + accounts",
            self.reckon_memory,
            sizes.CONTROL_MEMORY_MB,
        )
        yield self._make_row(
            "control: membership, KB/s in and out",
            "4 full messages / heartbeat interval",
            lambda size: self.reckon_heartbeats(size) / KILOBYTES_PER_MEGABYTE,
            sizes.CONTROL_BYTES / KILOBYTES_PER_MEGABYTE,
        )
        yield self._make_row(
            "ledger: messages sent, KB/s",
            "messages a request x requests x 150 bytes",
            lambda size: (
                self.reckon_ledger_messages(size)
                * sizes.LEDGER_MESSAGE_BYTES
                / KILOBYTES_PER_MEGABYTE
            ),
            sizes.CONTROL_BYTES / KILOBYTES_PER_MEGABYTE,
        )

    def _iterate_table(self) -> Iterator[Row]:
        yield self._make_row(
            "table: commits/s, whole fleet",
            "ledger slope x daemons (today: one per flush interval) + claims + changes",
            self.reckon_writes,
            sizes.TABLE_WRITES,
            0,
        )
        yield self._make_row(
            "table: reads/s, whole fleet",
            "ledger slope x daemons + head polls + change reads",
            self.reckon_reads,
            sizes.TABLE_READS,
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
        reckon: Reckoner,
        bound: float | None = None,
        digits: int = 1,
    ) -> Row:
        values = tuple(reckon(size) for size in sizes.SIZES)
        return Row(title, formula, values, bound, digits)


def format_tables(results: Results) -> str:
    """Return both tables in Markdown."""
    rows = tuple(Reckoning(results).iterate_rows())
    return "\n".join([*_iterate_reckoned(rows), "", *_iterate_measured(results)])


def replace_tables(page: str, tables: str) -> str:
    """Return the page with its tables replaced.

    Raises
    ------
    UnmarkedPageError
        The page has no place for them.
    """
    before, begin, rest = page.partition(BEGIN)
    _, end, after = rest.partition(END)
    if not begin or not end:
        raise UnmarkedPageError
    return f"{before}{BEGIN}\n\n{tables}\n\n{END}{after}"


def _iterate_reckoned(rows: Iterable[Row]) -> Iterator[str]:
    names = " | ".join(size.name for size in sizes.SIZES)
    yield f"| for each daemon, where not said otherwise | {names} | bound | |"
    yield "|---|" + "---|" * (len(sizes.SIZES) + 2)
    for row in rows:
        figures = " | ".join(f"{value:.{row.digits}f}" for value in row.values)
        bound = "" if row.bound is None else f"{row.bound:g}"
        verdict = "**missed**" if row.is_missed else "met" if bound else ""
        yield f"| {row.title}: {row.formula} | {figures} | {bound} | {verdict} |"


def _iterate_measured(results: Results) -> Iterator[str]:
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
