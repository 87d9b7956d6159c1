"""Writes the initial records and budgets of a local fleet to the platform."""

import time

from kingcuphead import budgets, configuration
from kingcuphead.localfleet._plan import SHARDS, FleetPlan
from kingcuphead.localfleet._records import LocalOrganisation, list_records
from kingcuphead.storage import (
    Committed,
    HttpTable,
    PlatformConnection,
    PlatformSettings,
    Transaction,
)


class SeedError(RuntimeError):
    """The initial records or budgets were invalid, or the platform refused them."""

    def __init__(self, detail: object) -> None:
        super().__init__(f"initial records or budgets were not written: {detail}")
        #: Error message, or outcome of the commit.
        self.detail = detail


async def seed_fleet(
    plan: FleetPlan,
    organisations: tuple[LocalOrganisation, ...],
    max_output_tokens: int = 64,
) -> None:
    """Create the organisations, their budgets, and the models and targets they use.

    Raises
    ------
    SeedError
        A record or budget is invalid, or the platform did not commit it.
    """
    table = HttpTable(PlatformConnection(PlatformSettings(plan.platform_url)))
    records = list_records(plan, organisations, max_output_tokens)
    edits = tuple(configuration.PutRecord(record, 0) for record in records)
    change = configuration.Change("seed", "local", time.time(), edits)
    snapshot = configuration.Snapshot(configuration.Head(), 0)
    built = configuration.build_change(snapshot, change)
    if built.is_error():
        raise SeedError(built.error.message)
    await _commit(table, configuration.build_transaction(snapshot, built.ok))
    for organisation in organisations:
        await create_budget(table, organisation.name, organisation.limit)


async def create_budget(table: HttpTable, name: str, limit: int) -> None:
    """Create a budget with a limit of `limit` tokens.

    Raises
    ------
    SeedError
        The budget is invalid, or the platform did not commit it.
    """
    number = budgets.compute_shard(name, SHARDS)
    read = await table.read((budgets.build_shard_key(number),))
    if read.is_error():
        raise SeedError(read.error.message)
    shard = budgets.parse_shard(number, read.ok)
    built = budgets.build_creation(shard, name, limit)
    if built.is_error():
        raise SeedError(built.error.message)
    await _commit(table, built.ok)


async def _commit(table: HttpTable, transaction: Transaction) -> None:
    outcome = await table.commit(transaction)
    if not isinstance(outcome, Committed):
        raise SeedError(outcome)
