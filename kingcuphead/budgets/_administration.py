"""Transactions of operators on budgets, and reports for operators."""

import dataclasses
from collections.abc import Collection, Iterable, Iterator

from expression import Error, Ok, Result

from kingcuphead.budgets._rows import (
    BudgetState,
    GrantState,
    ShardRow,
    TopUp,
    build_shard_key,
    build_topup_key,
    decode_shard,
    encode,
)
from kingcuphead.storage import (
    ABSENT,
    Check,
    Instance,
    InstanceState,
    Put,
    Row,
    Transaction,
)


@dataclasses.dataclass(frozen=True, slots=True)
class ShardVersion:
    """A shard row with its version, as read by an operator command."""

    #: Number of the shard.
    shard: int
    #: Shard row; an empty one if it is absent.
    row: ShardRow = ShardRow()
    #: Version of the row, `ABSENT` if there is none.
    version: int = ABSENT

    @property
    def check(self) -> Check:
        """Condition that the row has not changed since the read."""
        return Check(build_shard_key(self.shard), self.version)

    def build_put(self, budget: str, state: BudgetState) -> Put:
        """Return the write that replaces one budget."""
        row = self.row.with_budget(budget, state)
        return Put(build_shard_key(self.shard), encode(row))


@dataclasses.dataclass(frozen=True, slots=True)
class BudgetError:
    """Refusal of an operator's change; nothing is written."""

    #: Budget name.
    budget: str
    #: Cause of the refusal, in English.
    cause: str

    @property
    def message(self) -> str:
        """Message for the operator, with the name of the budget."""
        return f"budget {self.budget}: {self.cause}"


def parse_shard(shard: int, rows: Iterable[Row]) -> ShardVersion:
    """Return the row of a shard, or an empty one if it is not among the rows."""
    for row in rows:
        if row.key == build_shard_key(shard):
            return ShardVersion(shard, decode_shard(row.value), row.version)
    return ShardVersion(shard)


def build_creation(
    shard: ShardVersion, budget: str, limit: int
) -> Result[Transaction, BudgetError]:
    """Return the transaction that creates a budget.

    Parameters
    ----------
    shard : ShardVersion
        The budget's shard.
    budget : str
        Budget name.
    limit : int
        Prepaid tokens.
    """
    if budget in shard.row.budgets:
        return Error(BudgetError(budget, "it already exists"))
    if limit < 0:
        return Error(BudgetError(budget, f"a limit of {limit} tokens is negative"))
    put = shard.build_put(budget, BudgetState(limit))
    return Ok(Transaction((shard.check,), (put,)))


def build_topup(
    shard: ShardVersion, budget: str, topup_id: str, tokens: int
) -> Result[Transaction, BudgetError]:
    """Return the transaction that adds tokens to a limit, once for each top-up id.

    A conflict on the row of the top-up means that it is already applied.

    Parameters
    ----------
    shard : ShardVersion
        The budget's shard.
    budget : str
        Budget name.
    topup_id : str
        Idempotency key of the payment.
    tokens : int
        Tokens to add.
    """
    state = shard.row.budgets.get(budget)
    if state is None:
        return Error(BudgetError(budget, "it does not exist"))
    if tokens <= 0:
        return Error(
            BudgetError(budget, f"a top-up of {tokens} tokens is not positive")
        )
    key = build_topup_key(budget, topup_id)
    raised = dataclasses.replace(state, limit=state.limit + tokens)
    writes = (shard.build_put(budget, raised), Put(key, encode(TopUp(tokens))))
    return Ok(Transaction((Check(key, ABSENT), shard.check), writes))


def build_reduction(
    shard: ShardVersion, budget: str, limit: int
) -> Result[Transaction, BudgetError]:
    """Return the transaction that lowers a limit.

    Parameters
    ----------
    shard : ShardVersion
        The budget's shard.
    budget : str
        Budget name.
    limit : int
        The new limit, in tokens; at least the settled and granted tokens.
    """
    state = shard.row.budgets.get(budget)
    if state is None:
        return Error(BudgetError(budget, "it does not exist"))
    if limit > state.limit:
        return Error(BudgetError(budget, "a limit can be raised only by a top-up"))
    used = state.settled + state.granted
    if limit < used:
        cause = f"{used} tokens are settled or granted, so {limit} is too low"
        return Error(BudgetError(budget, cause))
    put = shard.build_put(budget, dataclasses.replace(state, limit=limit))
    return Ok(Transaction((shard.check,), (put,)))


def build_release(
    shard: ShardVersion,
    budget: str,
    grant_id: str,
    instances: Collection[Instance],
    surrendered: Collection[str],
) -> Result[Transaction, BudgetError]:
    """Return the transaction that releases the grant of a terminated instance.

    Parameters
    ----------
    shard : ShardVersion
        The budget's shard.
    budget : str
        Budget name.
    grant_id : str
        Id of the grant.
    instances : collection of Instance
        Instances of kingcuphead that the platform lists.
    surrendered : collection of str
        Names of the instances that surrendered the grant.
    """
    state = shard.row.budgets.get(budget)
    grant = state.grants.get(grant_id) if state else None
    if state is None or grant is None:
        return Error(BudgetError(budget, f"grant {grant_id} is not open"))
    cause = find_obstacle(grant, instances, surrendered)
    if cause is not None:
        return Error(BudgetError(budget, cause))
    released = state.with_grant(grant_id, grant.holder, 0)
    return Ok(Transaction((shard.check,), (shard.build_put(budget, released),)))


def find_obstacle(
    grant: GrantState, instances: Collection[Instance], surrendered: Collection[str]
) -> str | None:
    """Return the reason why a grant cannot be released, or None if it can be."""
    states = {instance.name: instance.state for instance in instances}
    if states.get(grant.holder) is not InstanceState.TERMINATED:
        return f"holder {grant.holder} is not listed as terminated"
    missing = sorted(
        name
        for name, state in states.items()
        if state is not InstanceState.TERMINATED and name not in surrendered
    )
    return f"no surrender from {', '.join(missing)}" if missing else None


@dataclasses.dataclass(frozen=True, slots=True)
class GrantReport:
    """Open grant in a report for operators."""

    #: Grant id.
    grant_id: str
    #: Name of the instance that holds it.
    holder: str
    #: Tokens that are neither settled nor returned.
    amount: int
    #: Whether the platform lists the holder as terminated or not at all.
    unattributed: bool


@dataclasses.dataclass(frozen=True, slots=True)
class BudgetReport:
    """Budget in a report for operators, in tokens."""

    #: Budget name.
    budget: str
    #: Prepaid tokens.
    limit: int
    #: Sum of the committed bills.
    settled: int
    #: Unallocated tokens, which are neither settled nor granted.
    remaining: int
    #: Open grants, sorted by grant id.
    grants: tuple[GrantReport, ...]

    @property
    def unattributed(self) -> int:
        """Tokens of unattributed grants, possibly spent without a committed bill."""
        return sum(grant.amount for grant in self.grants if grant.unattributed)


def build_reports(
    row: ShardRow, instances: Collection[Instance]
) -> Iterator[BudgetReport]:
    """Yield the reports of all budgets of a shard.

    Parameters
    ----------
    row : ShardRow
        Last read row of the shard.
    instances : collection of Instance
        Instances of kingcuphead that the platform lists.
    """
    terminated = InstanceState.TERMINATED
    live = {instance.name for instance in instances if instance.state is not terminated}
    for name, state in sorted(row.budgets.items()):
        grants = tuple(
            GrantReport(grant_id, grant.holder, grant.amount, grant.holder not in live)
            for grant_id, grant in sorted(state.grants.items())
        )
        yield BudgetReport(name, state.limit, state.settled, state.unallocated, grants)
