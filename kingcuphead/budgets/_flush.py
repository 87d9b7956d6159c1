"""Building of the transaction that commits bills and changes of grants."""

import dataclasses
from collections.abc import Iterable, Iterator, Mapping

from kingcuphead.budgets._bill_index import PendingBill
from kingcuphead.budgets._rows import (
    Bill,
    BillPage,
    ShardRow,
    build_page_key,
    build_shard_key,
    encode,
)
from kingcuphead.storage import Check, Put, Transaction


@dataclasses.dataclass(frozen=True, slots=True)
class Flush:
    """A transaction whose outcome is not known yet."""

    #: Unique id, which the bill page repeats.
    attempt: str
    #: Version of the shard row that the transaction replaces.
    version: int
    #: Shard row that the transaction writes.
    row: ShardRow
    #: Bill page that the transaction writes.
    page: BillPage
    #: Transaction on the platform's table.
    transaction: Transaction
    #: Tokens deducted from the own grants, by budget; not lent until the outcome is
    #: known.
    yields: Mapping[str, int]
    #: Whether an earlier attempt at the transaction may have taken effect.
    undecided: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Batch:
    """Bills selected for a page and the resulting row."""

    #: Shard row after the selected bills.
    row: ShardRow
    #: Selected bills, in the order of the candidates.
    bills: tuple[Bill, ...]
    #: Candidates that their grants in the row do not cover.
    uncovered: tuple[PendingBill, ...]


def select_bills(row: ShardRow, candidates: Iterable[PendingBill], limit: int) -> Batch:
    """Apply pending bills to a row.

    Parameters
    ----------
    row : ShardRow
        The last known row.
    candidates : iterable of PendingBill
        Pending bills, no two of the same request.
    limit : int
        Maximum number of bills in a page.

    Returns
    -------
    Batch
        The new row, the applied bills and the uncovered ones.
    """
    bills: list[Bill] = []
    uncovered: list[PendingBill] = []
    for pending in candidates:
        if len(bills) == limit:
            break
        bill = pending.bill
        budget = row.budgets.get(bill.budget)
        if budget is None or budget.get_grant(bill.grant_id) < bill.tokens:
            uncovered.append(pending)
            continue
        row = row.with_budget(bill.budget, budget.with_bill(bill.grant_id, bill.tokens))
        bills.append(bill)
    return Batch(row, tuple(bills), tuple(uncovered))


@dataclasses.dataclass(frozen=True, slots=True)
class GrantChange:
    """A planned change of the own grant in one budget."""

    #: Budget name.
    budget: str
    #: Tokens to add to the grant, or to return if negative.
    tokens: int


def apply_changes(
    row: ShardRow, changes: Iterable[GrantChange], grant_id: str, holder: str
) -> ShardRow:
    """Return the row after changes of the own grants."""
    for change in changes:
        budget = row.budgets[change.budget]
        amount = budget.get_grant(grant_id) + change.tokens
        granted = budget.with_grant(grant_id, holder, amount)
        row = row.with_budget(change.budget, granted)
    return row


def build_flush(
    shard: int,
    attempt: str,
    version: int,
    row: ShardRow,
    bills: tuple[Bill, ...],
    changes: tuple[GrantChange, ...],
) -> Flush:
    """Return the flush that replaces a row.

    Parameters
    ----------
    shard : int
        Number of the shard.
    attempt : str
        Unique id of the flush.
    version : int
        Version of the row that is replaced.
    row : ShardRow
        The new row, still with the page number of the replaced one.
    bills : tuple of Bill
        Bills that the new row includes.
    changes : tuple of GrantChange
        Changes of the own grants that the new row includes.
    """
    row = dataclasses.replace(row, page=row.page + 1)
    page = BillPage(attempt, bills)
    writes = tuple(iterate_writes(shard, row, page))
    transaction = Transaction((Check(build_shard_key(shard), version),), writes)
    yields = {c.budget: -c.tokens for c in changes if c.tokens < 0}
    return Flush(attempt, version, row, page, transaction, yields)


def iterate_writes(shard: int, row: ShardRow, page: BillPage) -> Iterator[Put]:
    """Yield the writes of a flush: the shard row and the bill page."""
    yield Put(build_shard_key(shard), encode(row))
    yield Put(build_page_key(shard, row.page), encode(page))
