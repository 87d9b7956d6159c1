"""Compares the results of callers with the records of the stand-ins."""

import collections
import dataclasses
from collections.abc import Iterator

from kingcuphead.localfleet._audit_records import BudgetSnapshot, Dispatch, Execution
from kingcuphead.localfleet._callers import ChatCall, ChatResult


@dataclasses.dataclass(frozen=True, slots=True)
class Exchange:
    """Request of a caller with its result."""

    #: Request as sent.
    call: ChatCall
    #: Answer or refusal that the caller received.
    result: ChatResult


@dataclasses.dataclass(frozen=True, slots=True)
class Evidence:
    """Audit records that are compared with each other."""

    #: Requests of callers with their results.
    exchanges: tuple[Exchange, ...]
    #: Budgets and bills in the platform's table.
    budgets: tuple[BudgetSnapshot, ...]
    #: Requests that engines received.
    executions: tuple[Execution, ...]
    #: Orders that plain services executed.
    dispatches: tuple[Dispatch, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Finding:
    """Violation of a rule."""

    #: Statement of the violated rule.
    rule: str
    #: Records that violate the rule.
    detail: str


def audit(evidence: Evidence) -> tuple[Finding, ...]:
    """Check all rules and return the violations."""
    return tuple(_iterate_findings(evidence))


def _iterate_findings(evidence: Evidence) -> Iterator[Finding]:
    yield from _check_limits(evidence)
    yield from _check_bills(evidence)
    yield from _check_answers(evidence)
    yield from _check_refusals(evidence)
    yield from _check_orders(evidence)


def _check_limits(evidence: Evidence) -> Iterator[Finding]:
    for budget in evidence.budgets:
        billed = sum(bill.tokens for bill in budget.bills)
        if billed + budget.granted > budget.limit:
            yield Finding("spend never exceeds a budget", repr(budget))
        if billed != budget.settled:
            yield Finding("the settled tokens are the sum of the bills", repr(budget))


def _check_bills(evidence: Evidence) -> Iterator[Finding]:
    counts = {budget.name: budget.count_bills() for budget in evidence.budgets}
    for budget in evidence.budgets:
        for request_id, count in counts[budget.name].items():
            if count != 1:
                detail = f"{count} bills of {request_id} in {budget.name}"
                yield Finding("a request is billed at most once", detail)
    for exchange in evidence.exchanges:
        name = exchange.call.organisation.name
        billed = counts.get(name, {}).get(exchange.call.request_id, 0)
        if exchange.result.whole and not billed:
            detail = f"{exchange.call.request_id} in {name}"
            yield Finding("a complete answer is billed", detail)


def _check_answers(evidence: Evidence) -> Iterator[Finding]:
    for exchange in evidence.exchanges:
        if exchange.result.belongs_to_other_request(exchange.call):
            yield Finding(
                "a caller receives the answer to its own request", repr(exchange)
            )


def _check_refusals(evidence: Evidence) -> Iterator[Finding]:
    """Check that requests refused as "not run" were not executed by an engine.

    Requests with several attempts are skipped, as another attempt may have run.
    """
    attempts = collections.Counter(
        (exchange.call.organisation.name, exchange.call.request_id)
        for exchange in evidence.exchanges
    )
    executed = {
        (execution.organisation, execution.request_id)
        for execution in evidence.executions
        if execution.state != "refused"
    }
    for exchange in evidence.exchanges:
        key = (exchange.call.organisation.name, exchange.call.request_id)
        if (
            exchange.result.execution == "not_run"
            and attempts[key] == 1
            and key in executed
        ):
            yield Finding(
                'a request refused as "not run" was not executed', repr(exchange)
            )


def _check_orders(evidence: Evidence) -> Iterator[Finding]:
    counts = collections.Counter(
        (dispatch.organisation, dispatch.key) for dispatch in evidence.dispatches
    )
    for (organisation, key), count in counts.items():
        if key and count > 1:
            detail = f"{count} executions of {key} of {organisation}"
            yield Finding("a call with an idempotency key runs at most once", detail)
