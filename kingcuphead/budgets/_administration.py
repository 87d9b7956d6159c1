"""Operators' transactions on budgets, and the report that they read."""

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
    """A shard row as an operator's command read it."""

    #: Number of the shard.
    shard: int
    #: The row; an empty one if it is absent.
    row: ShardRow = ShardRow()
    #: Version of the row, `ABSENT` if there is none.
    version: int = ABSENT

    @property
    def check(self) -> Check:
        """The condition that the row has not changed since."""
        return Check(build_shard_key(self.shard), self.version)

    def build_put(self, budget: str, state: BudgetState) -> Put:
        """Return the write that replaces one budget."""
        row = self.row.with_budget(budget, state)
        return Put(build_shard_key(self.shard), encode(row))


@dataclasses.dataclass(frozen=True, slots=True)
class BudgetError:
    """An operator's change that was refused; nothing was written."""

    #: Budget name.
    budget: str
    #: Cause, in English.
    cause: str

    @property
    def message(self) -> str:
        """The sentence for the operator."""
        return f"budget {self.budget}: {self.cause}"


def parse_shard(shard: int, rows: Iterable[Row]) -> ShardVersion:
    """Return a shard as read from the table."""
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
        Tokens that were paid for.
    """
    if budget in shard.row.budgets:
        return Error(BudgetError(budget, "it exists already"))
    if limit < 0:
        return Error(BudgetError(budget, f"a limit of {limit} tokens is negative"))
    put = shard.build_put(budget, BudgetState(limit))
    return Ok(Transaction((shard.check,), (put,)))


def build_topup(
    shard: ShardVersion, budget: str, topup_id: str, tokens: int
) -> Result[Transaction, BudgetError]:
    """Return the transaction that adds tokens once for each top-up id.

    A conflict on the top-up's own row means that it was counted before.

    Parameters
    ----------
    shard : ShardVersion
        The budget's shard.
    budget : str
        Budget name.
    topup_id : str
        Identifies the payment across repetitions.
    tokens : int
        Tokens to add.
    """
    state = shard.row.budgets.get(budget)
    if state is None:
        return Error(BudgetError(budget, "it does not exist"))
    if tokens <= 0:
        return Error(BudgetError(budget, f"a top-up of {tokens} tokens adds nothing"))
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
        The new limit, in tokens; not below what is billed or granted.
    """
    state = shard.row.budgets.get(budget)
    if state is None:
        return Error(BudgetError(budget, "it does not exist"))
    if limit > state.limit:
        return Error(BudgetError(budget, "a limit is raised by a top-up only"))
    used = state.settled + state.granted
    if limit < used:
        cause = f"{used} tokens are billed or granted, so {limit} is too low"
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
    """Return the transaction that releases the grant of a dead instance.

    Parameters
    ----------
    shard : ShardVersion
        The budget's shard.
    budget : str
        Budget name.
    grant_id : str
        The grant.
    instances : collection of Instance
        The platform's list of this system's instances.
    surrendered : collection of str
        Instances that gave up the grant for good.
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
    """Return why a grant cannot be released, or None if it can."""
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
    """An open grant as an operator reads it."""

    #: Grant id.
    grant_id: str
    #: Name of the instance that holds it.
    holder: str
    #: Tokens that are neither billed nor given back.
    amount: int
    #: Whether the holder is listed as terminated or not at all.
    unattributed: bool


@dataclasses.dataclass(frozen=True, slots=True)
class BudgetReport:
    """A budget as an operator reads it, in tokens."""

    #: Budget name.
    budget: str
    #: Tokens that were paid for.
    limit: int
    #: Sum of the bills.
    settled: int
    #: Tokens neither billed nor granted.
    remaining: int
    #: Open grants.
    grants: tuple[GrantReport, ...]

    @property
    def unattributed(self) -> int:
        """Tokens that instances which are gone may have spent."""
        return sum(grant.amount for grant in self.grants if grant.unattributed)


def build_reports(
    row: ShardRow, instances: Collection[Instance]
) -> Iterator[BudgetReport]:
    """Yield the reports of all budgets of a shard.

    Parameters
    ----------
    row : ShardRow
        The shard row.
    instances : collection of Instance
        The platform's list of this system's instances.
    """
    gone = InstanceState.TERMINATED
    live = {instance.name for instance in instances if instance.state is not gone}
    for name, state in sorted(row.budgets.items()):
        grants = tuple(
            GrantReport(grant_id, grant.holder, grant.amount, grant.holder not in live)
            for grant_id, grant in sorted(state.grants.items())
        )
        yield BudgetReport(name, state.limit, state.settled, state.remaining, grants)
