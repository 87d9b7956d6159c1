"""Audit of a fleet of ledgers: the table's rows against every daemon's credit."""

import dataclasses
from collections import Counter
from collections.abc import Iterator

from kingcuphead.bench._budgets_fleet import Daemon, Fleet
from kingcuphead.budgets import (
    Bill,
    BudgetState,
    build_page_prefix,
    build_shard_key,
    decode_page,
    decode_shard,
)
from kingcuphead.invariants import ensure


@dataclasses.dataclass(frozen=True, slots=True)
class AuditRecords:
    """Budgets and committed bills, as the table stores them."""

    #: State of each budget, by budget name.
    budgets: dict[str, BudgetState]
    #: Committed bills in the order of their shards and pages.
    bills: tuple[Bill, ...]


def read_audit_records(fleet: Fleet) -> AuditRecords:
    """Decode the budgets and bills in the table."""
    budgets: dict[str, BudgetState] = {}
    bills: list[Bill] = []
    for shard in range(fleet.settings.shards):
        row = fleet.table.rows.get(build_shard_key(shard))
        if row is not None:
            budgets.update(decode_shard(row.value).budgets)
        bills.extend(iterate_bills(fleet, shard))
    return AuditRecords(budgets, tuple(bills))


def iterate_bills(fleet: Fleet, shard: int) -> Iterator[Bill]:
    """Yield the committed bills of a shard."""
    prefix = build_page_prefix(shard)
    for key in sorted(key for key in fleet.table.rows if key.startswith(prefix)):
        yield from decode_page(fleet.table.rows[key].value).bills


def audit_fleet(fleet: Fleet) -> AuditRecords:
    """Check every invariant between the table and the daemons."""
    records = read_audit_records(fleet)
    check_bills(records)
    open_bills = collect_open_bills(fleet, records)
    for name, budget in records.budgets.items():
        check_grants(fleet, name, budget, open_bills)
    return records


def collect_open_bills(fleet: Fleet, records: AuditRecords) -> dict[str, Bill]:
    """Return the bills that may still be committed or refunded.

    A leftover replica of a bill that was dropped as a duplicate is excluded.
    """
    committed = {bill.bill_id for bill in records.bills}
    billed = {bill.request_id for bill in records.bills}
    bills: dict[str, Bill] = {}
    for daemon in fleet.iterate_alive():
        for entry in daemon.ledger.outbox.entries.values():
            bills[entry.bill.bill_id] = entry.bill
        for bill in iterate_replicas(daemon):
            if bill.request_id not in billed:
                bills[bill.bill_id] = bill
    return {name: bill for name, bill in bills.items() if name not in committed}


def check_bills(records: AuditRecords) -> None:
    """Check that each request is billed once and that bills add up to `settled`."""
    counts = Counter(bill.request_id for bill in records.bills)
    repeated = [request_id for request_id, count in counts.items() if count > 1]
    ensure(not repeated, "at most one bill per request", repeated=repeated)
    for name, budget in records.budgets.items():
        total = sum(bill.tokens for bill in records.bills if bill.budget == name)
        ensure(
            total == budget.settled,
            "settled tokens equal the sum of the bills",
            name=name,
        )
        ensure(total <= budget.limit, "bills do not exceed the limit", name=name)


def check_grants(
    fleet: Fleet, name: str, budget: BudgetState, open_bills: dict[str, Bill]
) -> None:
    """Check that the grants of a budget cover its spendable credit and open bills."""
    daemons = list(fleet.iterate_alive())
    grant_ids = {g for daemon in daemons for g in iterate_grant_ids(daemon, name)}
    for grant_id in grant_ids | set(budget.grants):
        credit = sum(sum_credit(daemon, name, grant_id) for daemon in daemons)
        unsettled = sum(
            bill.tokens
            for bill in open_bills.values()
            if bill.budget == name and bill.grant_id == grant_id
        )
        amount = budget.get_grant(grant_id)
        ensure(
            credit + unsettled <= amount,
            "the grant covers credit and open bills",
            budget=name,
            grant_id=grant_id,
            credit=credit,
            unsettled=unsettled,
            amount=amount,
        )


def iterate_grant_ids(daemon: Daemon, name: str) -> Iterator[str]:
    """Yield the ids of the grants from which a daemon has borrowed credit."""
    account = daemon.ledger.borrower.accounts.get(name)
    if account is not None:
        yield from account.lines


def sum_credit(daemon: Daemon, name: str, grant_id: str) -> int:
    """Return the tokens of a grant that a daemon holds, can hold or can lend."""
    total = 0
    account = daemon.ledger.borrower.accounts.get(name)
    if account is not None:
        line = account.get_line(grant_id)
        total += line.free + line.held
    for home in daemon.ledger.homes.values():
        lender = home.lending.lenders.get(name)
        if lender is not None and lender.grant_id == grant_id:
            total += lender.available
    return total


def iterate_replicas(daemon: Daemon) -> Iterator[Bill]:
    """Yield the bills that a daemon keeps as a replica holder or as a home."""
    ledger = daemon.ledger
    yield from (replica.bill for replica in ledger.replica_holder.replicas.values())
    for home in ledger.homes.values():
        yield from (pending.bill for pending in home.bill_index.pending.values())
