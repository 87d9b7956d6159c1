"""Builds the one transaction that commits bills and changes of grants."""

import dataclasses
from collections.abc import Iterable, Iterator, Mapping

from kingcuphead.budgets._billbook import PendingBill
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

    #: Unique id, also in the page that it writes.
    attempt: str
    #: Version of the shard row that it replaces.
    version: int
    #: The shard row that it writes.
    row: ShardRow
    #: The page that it writes.
    page: BillPage
    #: The transaction.
    transaction: Transaction
    #: Tokens taken off the own grant by budget; unusable until the outcome is known.
    yields: Mapping[str, int]
    #: Whether an earlier submission of it may have taken effect.
    undecided: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Batch:
    """The outcome of selecting bills for a page."""

    #: The shard row after the bills.
    row: ShardRow
    #: Bills that fit.
    bills: tuple[Bill, ...]
    #: Bills whose grant does not cover them according to the row.
    uncovered: tuple[PendingBill, ...]


def select_bills(row: ShardRow, candidates: Iterable[PendingBill], limit: int) -> Batch:
    """Apply waiting bills to a row.

    Parameters
    ----------
    row : ShardRow
        The present row.
    candidates : iterable of PendingBill
        Bills, no two of the same request.
    limit : int
        Most bills in a page.

    Returns
    -------
    Batch
        The new row, and what could and could not be applied.
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
    """A wish to change the own grant in one budget."""

    #: Budget name.
    budget: str
    #: Tokens to add, or to give back if negative.
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
        Unique id.
    version : int
        Version of the row that is replaced.
    row : ShardRow
        The new row, but for its page number.
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
    """Yield the writes of a flush."""
    yield Put(build_shard_key(shard), encode(row))
    yield Put(build_page_key(shard, row.page), encode(page))
