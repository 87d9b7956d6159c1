"""The closing table of the demonstration."""

import collections
from collections.abc import Iterator

from kingcuphead.localfleet import Evidence, Finding

_COLUMNS = ("organisation", "limit", "spent", "granted", "whole", "refused", "bills")
_WIDTH = 13


def format_report(evidence: Evidence, findings: tuple[Finding, ...]) -> str:
    """Return the table, the orders and the rules that did not hold."""
    return "\n".join(_iterate_lines(evidence, findings))


def _iterate_lines(evidence: Evidence, findings: tuple[Finding, ...]) -> Iterator[str]:
    yield ""
    yield _format_row(_COLUMNS)
    for book in evidence.books:
        results = [
            exchange.result
            for exchange in evidence.exchanges
            if exchange.call.organisation.name == book.name
        ]
        counts = book.count_bills().values()
        yield _format_row(
            (
                book.name,
                book.limit,
                book.settled,
                book.granted,
                sum(result.whole for result in results),
                sum(bool(result.reason) for result in results),
                f"{max(counts, default=0)} a request",
            )
        )
    orders = collections.Counter(each.key for each in evidence.dispatches)
    for key, count in orders.items():
        yield f"order {key}: {count} execution{'s' if count > 1 else ''}"
    for finding in findings:
        yield f"BROKEN: {finding.rule}: {finding.seen}"
    yield "every rule held" if not findings else f"{len(findings)} rules broken"


def _format_row(cells: tuple[object, ...]) -> str:
    return "".join(f"{cell!s:>{_WIDTH}}" for cell in cells)
