"""Checks of the books from outside: the table against every daemon's credit."""

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
class Books:
    """Everything that the table says about money."""

    #: Budgets by name.
    budgets: dict[str, BudgetState]
    #: Bills in the order of their pages.
    bills: tuple[Bill, ...]


def read_books(fleet: Fleet) -> Books:
    """Return the content of the table."""
    budgets: dict[str, BudgetState] = {}
    bills: list[Bill] = []
    for shard in range(fleet.settings.shards):
        row = fleet.table.rows.get(build_shard_key(shard))
        if row is not None:
            budgets.update(decode_shard(row.value).budgets)
        bills.extend(iterate_bills(fleet, shard))
    return Books(budgets, tuple(bills))


def iterate_bills(fleet: Fleet, shard: int) -> Iterator[Bill]:
    """Yield the committed bills of a shard."""
    prefix = build_page_prefix(shard)
    for key in sorted(key for key in fleet.table.rows if key.startswith(prefix)):
        yield from decode_page(fleet.table.rows[key].value).bills


def check_books(fleet: Fleet) -> Books:
    """Check every rule that the table and the daemons must keep together."""
    books = read_books(fleet)
    check_bills(books)
    open_bills = collect_open_bills(fleet, books)
    for name, budget in books.budgets.items():
        check_authority(fleet, name, budget, open_bills)
    return books


def collect_open_bills(fleet: Fleet, books: Books) -> dict[str, Bill]:
    """Return the bills that may still be committed or refunded.

    A copy that is left behind of a bill already dropped as a duplicate is neither.
    """
    committed = {bill.bill_id for bill in books.bills}
    billed = {bill.request_id for bill in books.bills}
    bills: dict[str, Bill] = {}
    for daemon in fleet.iterate_alive():
        for entry in daemon.ledger.outbox.entries.values():
            bills[entry.bill.bill_id] = entry.bill
        for bill in iterate_copies(daemon):
            if bill.request_id not in billed:
                bills[bill.bill_id] = bill
    return {name: bill for name, bill in bills.items() if name not in committed}


def check_bills(books: Books) -> None:
    """Check that there is one bill for a request and that the sums agree."""
    counts = Counter(bill.request_id for bill in books.bills)
    repeated = [request_id for request_id, count in counts.items() if count > 1]
    ensure(not repeated, "one bill for each request", repeated=repeated)
    for name, budget in books.budgets.items():
        total = sum(bill.tokens for bill in books.bills if bill.budget == name)
        ensure(total == budget.settled, "settled is the sum of the bills", name=name)
        ensure(total <= budget.limit, "bills stay within the limit", name=name)


def check_authority(
    fleet: Fleet, name: str, budget: BudgetState, open_bills: dict[str, Bill]
) -> None:
    """Check that all credit that can still be spent is covered by grants."""
    alive = list(fleet.iterate_alive())
    grant_ids = {g for daemon in alive for g in iterate_grant_ids(daemon, name)}
    for grant_id in grant_ids | set(budget.grants):
        credit = sum(sum_credit(daemon, name, grant_id) for daemon in alive)
        waiting = sum(
            bill.tokens
            for bill in open_bills.values()
            if bill.budget == name and bill.grant_id == grant_id
        )
        amount = budget.get_grant(grant_id)
        ensure(
            credit + waiting <= amount,
            "credit and open bills are covered by the grant",
            budget=name,
            grant_id=grant_id,
            credit=credit,
            waiting=waiting,
            amount=amount,
        )


def iterate_grant_ids(daemon: Daemon, name: str) -> Iterator[str]:
    """Yield the grants that a daemon has credit on."""
    account = daemon.ledger.borrower.accounts.get(name)
    if account is not None:
        yield from account.lines


def sum_credit(daemon: Daemon, name: str, grant_id: str) -> int:
    """Return the tokens of a grant that a daemon could still hold or lend."""
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


def iterate_copies(daemon: Daemon) -> Iterator[Bill]:
    """Yield the bills that a daemon keeps as a home or a witness."""
    ledger = daemon.ledger
    yield from (copy.bill for copy in ledger.replica_holder.replicas.values())
    for home in ledger.homes.values():
        yield from (pending.bill for pending in home.bill_index.pending.values())


def sum_true_holds(fleet: Fleet, name: str) -> int:
    """Return the tokens that serve requests: holds and open bills."""
    held = sum(
        hold.request.tokens
        for daemon in fleet.iterate_alive()
        for hold in daemon.ledger.borrower.holds.values()
        if hold.request.budget == name
    )
    open_bills = collect_open_bills(fleet, read_books(fleet)).values()
    return held + sum(bill.tokens for bill in open_bills if bill.budget == name)
