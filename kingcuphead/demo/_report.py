"""Final report of the demonstration."""

import collections
from collections.abc import Iterator

from kingcuphead.localfleet import Evidence, Finding

_COLUMNS = ("organisation", "limit", "spent", "granted", "whole", "refused", "bills")
_WIDTH = 13


def format_report(evidence: Evidence, findings: tuple[Finding, ...]) -> str:
    """Return the table of budgets, the orders and the violated rules as text."""
    return "\n".join(_iterate_lines(evidence, findings))


def _iterate_lines(evidence: Evidence, findings: tuple[Finding, ...]) -> Iterator[str]:
    yield ""
    yield _format_row(_COLUMNS)
    for budget in evidence.budgets:
        results = [
            exchange.result
            for exchange in evidence.exchanges
            if exchange.call.organisation.name == budget.name
        ]
        counts = budget.count_bills().values()
        yield _format_row(
            (
                budget.name,
                budget.limit,
                budget.settled,
                budget.granted,
                sum(result.whole for result in results),
                sum(bool(result.reason) for result in results),
                f"{max(counts, default=0)} a request",
            )
        )
    orders = collections.Counter(each.key for each in evidence.dispatches)
    for key, count in orders.items():
        yield f"order {key}: {count} execution{'s' if count > 1 else ''}"
    for finding in findings:
        yield f"VIOLATED: {finding.rule}: {finding.detail}"
    yield "no rule violated" if not findings else f"{len(findings)} rule violations"


def _format_row(cells: tuple[object, ...]) -> str:
    return "".join(f"{cell!s:>{_WIDTH}}" for cell in cells)
