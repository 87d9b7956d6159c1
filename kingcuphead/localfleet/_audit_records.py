"""What the platform and the targets recorded, read for an audit."""

import base64
import collections
import dataclasses
from collections.abc import Iterator
from typing import Any

from kingcuphead.budgets import Bill, BillPage, ShardRow, decode_page, decode_shard
from kingcuphead.localfleet._client import LocalClient
from kingcuphead.localfleet._plan import FleetPlan


@dataclasses.dataclass(frozen=True, slots=True)
class BudgetBook:
    """A budget as the platform's table shows it."""

    #: Name.
    name: str
    #: Tokens that were paid for.
    limit: int
    #: Sum of the bills, as the shard row says.
    settled: int
    #: Tokens in open grants.
    granted: int
    #: The bills.
    bills: tuple[Bill, ...]

    def count_bills(self) -> dict[str, int]:
        """Return the number of bills of each request."""
        return dict(collections.Counter(bill.request_id for bill in self.bills))


@dataclasses.dataclass(frozen=True, slots=True)
class Execution:
    """A request that an engine received."""

    #: Engine.
    target: str
    #: Request id.
    request_id: str
    #: Organisation.
    organisation: str
    #: Tokens of the prompt and generated.
    tokens: int
    #: What became of it.
    state: str


@dataclasses.dataclass(frozen=True, slots=True)
class Dispatch:
    """An order that a plain service executed."""

    #: Idempotency key.
    key: str
    #: Organisation.
    organisation: str


async def read_budgets(client: LocalClient, plan: FleetPlan) -> tuple[BudgetBook, ...]:
    """Read every budget with its bills from the platform's table."""
    reply = await client.get(f"{plan.platform_url}/records")
    rows = {
        row["key"]: base64.b64decode(row["value"]) for row in reply.decode()["rows"]
    }
    pages = [decode_page(rows[key]) for key in rows if key.startswith("bills/")]
    shards = [decode_shard(rows[key]) for key in rows if key.startswith("shard/")]
    bills = collections.defaultdict(list)
    for bill in _iterate_bills(pages):
        bills[bill.budget].append(bill)
    return tuple(
        BudgetBook(name, state.limit, state.settled, state.granted, tuple(bills[name]))
        for shard in shards
        for name, state in _iterate_budgets(shard)
    )


async def read_executions(
    client: LocalClient, plan: FleetPlan, lost: frozenset[str] = frozenset()
) -> tuple[Execution, ...]:
    """Read what every engine received.

    Parameters
    ----------
    client, plan
        The fleet.
    lost
        Engines that have ended, and their records with them.
    """
    executions = []
    for engine in plan.engines:
        if engine.name in lost:
            continue
        reply = await client.get(f"http://{engine.address}/records")
        for record in reply.decode()["requests"]:
            executions.append(_read_execution(engine.name, record))
    return tuple(executions)


async def read_dispatches(client: LocalClient, plan: FleetPlan) -> tuple[Dispatch, ...]:
    """Read the orders that every plain service executed."""
    dispatches = []
    for service in plan.services:
        reply = await client.get(f"http://{service.address}/records")
        for record in reply.decode()["dispatches"]:
            dispatches.append(Dispatch(record["key"], record["organisation"]))
    return tuple(dispatches)


def _read_execution(target: str, record: dict[str, Any]) -> Execution:
    return Execution(
        target=target,
        request_id=record["request_id"],
        organisation=record["organisation"],
        tokens=record["prompt_tokens"] + record["tokens"],
        state=record["state"],
    )


def _iterate_bills(pages: list[BillPage]) -> Iterator[Bill]:
    for page in pages:
        yield from page.bills


def _iterate_budgets(shard: ShardRow) -> Iterator[tuple[str, Any]]:
    yield from sorted(shard.budgets.items())
