"""Audit records read from the platform's table and the targets."""

import base64
import collections
import dataclasses
from collections.abc import Iterator
from typing import Any

from kingcuphead.budgets import Bill, BillPage, ShardRow, decode_page, decode_shard
from kingcuphead.localfleet._client import LocalClient
from kingcuphead.localfleet._plan import FleetPlan


@dataclasses.dataclass(frozen=True, slots=True)
class BudgetSnapshot:
    """State of a budget in the platform's table, with its bills."""

    #: Budget name.
    name: str
    #: Limit in prepaid tokens.
    limit: int
    #: Settled tokens in the shard row; must equal the sum of the bills.
    settled: int
    #: Sum of the open grants in tokens.
    granted: int
    #: Committed bills of the budget.
    bills: tuple[Bill, ...]

    def count_bills(self) -> dict[str, int]:
        """Return the number of bills for each request id."""
        return dict(collections.Counter(bill.request_id for bill in self.bills))


@dataclasses.dataclass(frozen=True, slots=True)
class Execution:
    """Request that an engine received."""

    #: Target name of the engine.
    target: str
    #: Value of the header `X-Request-Id`.
    request_id: str
    #: Name of the caller's organisation.
    organisation: str
    #: Sum of prompt tokens and generated tokens.
    tokens: int
    #: State in the engine's records, for example "finished" or "refused".
    state: str


@dataclasses.dataclass(frozen=True, slots=True)
class Dispatch:
    """Order that a plain service executed."""

    #: Idempotency key of the order; "" if it has none.
    key: str
    #: Name of the caller's organisation.
    organisation: str


async def read_budgets(
    client: LocalClient, plan: FleetPlan
) -> tuple[BudgetSnapshot, ...]:
    """Read all budgets and their bills from the platform's table."""
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
        BudgetSnapshot(
            name, state.limit, state.settled, state.granted, tuple(bills[name])
        )
        for shard in shards
        for name, state in _iterate_budgets(shard)
    )


async def read_executions(
    client: LocalClient, plan: FleetPlan, ended: frozenset[str] = frozenset()
) -> tuple[Execution, ...]:
    """Read the requests that the engines received.

    Parameters
    ----------
    client, plan
        HTTP client and plan of the fleet.
    ended
        Engines to skip because they have ended; their records are lost.
    """
    executions = []
    for engine in plan.engines:
        if engine.name in ended:
            continue
        reply = await client.get(f"http://{engine.address}/records")
        for record in reply.decode()["requests"]:
            executions.append(_make_execution(engine.name, record))
    return tuple(executions)


async def read_dispatches(client: LocalClient, plan: FleetPlan) -> tuple[Dispatch, ...]:
    """Read the orders that the plain services executed."""
    dispatches = []
    for service in plan.services:
        reply = await client.get(f"http://{service.address}/records")
        for record in reply.decode()["dispatches"]:
            dispatches.append(Dispatch(record["key"], record["organisation"]))
    return tuple(dispatches)


def _make_execution(target: str, record: dict[str, Any]) -> Execution:
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
