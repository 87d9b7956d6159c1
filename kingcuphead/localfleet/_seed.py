"""Writes the first records and budgets of a local fleet into the platform."""

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
    """The platform or the checks refused what a local fleet starts with."""

    def __init__(self, detail: object) -> None:
        super().__init__(f"the fleet's first records were refused: {detail}")
        #: The answer.
        self.detail = detail


async def seed_fleet(
    plan: FleetPlan,
    organisations: tuple[LocalOrganisation, ...],
    max_output_tokens: int = 64,
) -> None:
    """Create the organisations, their budgets and everything they may reach.

    Raises
    ------
    SeedError
        Something was refused.
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
    """Create a budget of `limit` tokens.

    Raises
    ------
    SeedError
        The budget was refused.
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
