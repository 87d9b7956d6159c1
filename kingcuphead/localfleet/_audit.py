"""Compares what callers were told with what the stand-ins recorded."""

import collections
import dataclasses
from collections.abc import Iterator

from kingcuphead.localfleet._books import BudgetBook, Dispatch, Execution
from kingcuphead.localfleet._callers import ChatCall, ChatResult


@dataclasses.dataclass(frozen=True, slots=True)
class Exchange:
    """One request of a caller and what came of it."""

    #: The request.
    call: ChatCall
    #: What the caller got.
    result: ChatResult


@dataclasses.dataclass(frozen=True, slots=True)
class Evidence:
    """Everything that an audit looks at."""

    #: Requests with their answers.
    exchanges: tuple[Exchange, ...]
    #: The budgets in the platform's table.
    books: tuple[BudgetBook, ...]
    #: Requests that engines received.
    executions: tuple[Execution, ...]
    #: Orders that plain services executed.
    dispatches: tuple[Dispatch, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Finding:
    """A rule that did not hold."""

    #: The rule.
    rule: str
    #: What was seen.
    seen: str


def audit(evidence: Evidence) -> tuple[Finding, ...]:
    """Return every rule that did not hold."""
    return tuple(_iterate_findings(evidence))


def _iterate_findings(evidence: Evidence) -> Iterator[Finding]:
    yield from _check_limits(evidence)
    yield from _check_bills(evidence)
    yield from _check_answers(evidence)
    yield from _check_refusals(evidence)
    yield from _check_orders(evidence)


def _check_limits(evidence: Evidence) -> Iterator[Finding]:
    for book in evidence.books:
        billed = sum(bill.tokens for bill in book.bills)
        if billed + book.granted > book.limit:
            yield Finding("spend never exceeds a budget", repr(book))
        if billed != book.settled:
            yield Finding("the settled sum is the sum of the bills", repr(book))


def _check_bills(evidence: Evidence) -> Iterator[Finding]:
    counts = {book.name: book.count_bills() for book in evidence.books}
    for book in evidence.books:
        for request_id, count in counts[book.name].items():
            if count != 1:
                seen = f"{count} bills of {request_id} in {book.name}"
                yield Finding("a request is billed once", seen)
    for exchange in evidence.exchanges:
        name = exchange.call.organisation.name
        billed = counts.get(name, {}).get(exchange.call.request_id, 0)
        if exchange.result.whole and not billed:
            seen = f"{exchange.call.request_id} in {name}"
            yield Finding("a whole answer is billed", seen)


def _check_answers(evidence: Evidence) -> Iterator[Finding]:
    for exchange in evidence.exchanges:
        if exchange.result.is_mixed_up(exchange.call):
            yield Finding("a caller gets its own answer", repr(exchange))


def _check_refusals(evidence: Evidence) -> Iterator[Finding]:
    """Compare "not run" with the engines' records, for requests tried only once."""
    tries = collections.Counter(
        (exchange.call.organisation.name, exchange.call.request_id)
        for exchange in evidence.exchanges
    )
    ran = {
        (execution.organisation, execution.request_id)
        for execution in evidence.executions
        if execution.state != "refused"
    }
    for exchange in evidence.exchanges:
        key = (exchange.call.organisation.name, exchange.call.request_id)
        if exchange.result.execution == "not_run" and tries[key] == 1 and key in ran:
            yield Finding('"not run" is true', repr(exchange))


def _check_orders(evidence: Evidence) -> Iterator[Finding]:
    counts = collections.Counter(
        (dispatch.organisation, dispatch.key) for dispatch in evidence.dispatches
    )
    for (organisation, key), count in counts.items():
        if key and count > 1:
            seen = f"{count} executions of {key} of {organisation}"
            yield Finding("a non-idempotent call runs at most once", seen)
