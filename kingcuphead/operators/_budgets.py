"""The money of budgets, changed by conditional writes on the platform's table."""

import asyncio
import dataclasses
from collections.abc import Callable, Sequence
from typing import Protocol

from expression import Error, Ok, Result

from kingcuphead.budgets import (
    LAYOUT_KEY,
    BudgetError,
    BudgetReport,
    Layout,
    ShardVersion,
    build_creation,
    build_reduction,
    build_release,
    build_reports,
    build_shard_key,
    build_topup,
    compute_shard,
    decode_layout,
    decode_shard,
    encode,
    parse_shard,
)
from kingcuphead.operators._messages import FaultKind, OperatorFault, encode_view
from kingcuphead.storage import (
    ABSENT,
    Check,
    CommitOutcome,
    Committed,
    Conflict,
    Instance,
    Put,
    Row,
    Table,
    Transaction,
    Unavailable,
    Unknown,
)

#: Seconds until a command on a budget has an outcome.
COMMAND_SECONDS = 10.0
#: Seconds before a command is tried again.
RETRY_SECONDS = 0.2
#: Seconds in which daemons answer that they hold nothing of a grant.
SURRENDER_SECONDS = 3.0

#: Prefix of the rows that prove which commands took effect.
COMMAND_PREFIX = "command/"

Build = Callable[[ShardVersion], Result[Transaction, BudgetError]]


class SurrenderCollector(Protocol):
    """Asks every daemon to give up a grant for good."""

    async def collect(
        self, budget: str, grant_id: str, timeout: float
    ) -> frozenset[str]:
        """Return the names of the daemons that did."""
        ...


@dataclasses.dataclass(frozen=True, slots=True)
class Command:
    """One operator's command on one budget, carried out once for each id."""

    #: Budget name.
    budget: str
    #: Id that the operator's tool gave it.
    id: str
    #: Builds the transaction from the shard as read.
    build: Build

    @property
    def key(self) -> str:
        """Key of the row that proves that the command took effect."""
        return f"{COMMAND_PREFIX}{self.budget}/{self.id}"


class TableBudgets:
    """The `BudgetBackend` of a daemon.

    Parameters
    ----------
    table : Table
        The platform's table.
    shards : int
        Number of bill buckets, as in the settings.
    list_instances : Callable[[], Sequence[Instance]]
        The daemons in the platform's instance list, as last read.
    surrenders : SurrenderCollector
        Asks daemons to give up a grant.
    """

    def __init__(
        self,
        table: Table,
        shards: int,
        list_instances: Callable[[], Sequence[Instance]],
        surrenders: SurrenderCollector,
    ) -> None:
        self._table = table
        self._shards = shards
        self._list_instances = list_instances
        self._surrenders = surrenders

    async def list_budgets(self) -> Result[tuple[BudgetReport, ...], OperatorFault]:
        """Return every budget, by name."""
        keys = [build_shard_key(shard) for shard in range(self._shards)]
        instances = self._list_instances()
        match await self._table.read(keys):
            case Result(tag="ok", ok=rows):
                shards = (decode_shard(row.value) for row in rows)
                found = (r for row in shards for r in build_reports(row, instances))
                return Ok(tuple(sorted(found, key=lambda report: report.budget)))
            case Result(error=fault):
                return Error(OperatorFault(FaultKind.UNAVAILABLE, fault.message))

    async def read_budget(self, budget: str) -> Result[BudgetReport, OperatorFault]:
        """Return one budget."""
        shard = compute_shard(budget, self._shards)
        match await self._table.read((build_shard_key(shard),)):
            case Result(tag="ok", ok=rows):
                return self._find_report(budget, parse_shard(shard, rows))
            case Result(error=fault):
                return Error(OperatorFault(FaultKind.UNAVAILABLE, fault.message))

    def _find_report(
        self, budget: str, shard: ShardVersion
    ) -> Result[BudgetReport, OperatorFault]:
        for report in build_reports(shard.row, self._list_instances()):
            if report.budget == budget:
                return Ok(report)
        message = f"budget {budget!r} holds no money yet"
        return Error(OperatorFault(FaultKind.NOT_FOUND, message))

    async def create_budget(
        self, budget: str, limit: int, id_: str
    ) -> Result[BudgetReport, OperatorFault]:
        """Create a budget once for each id."""
        command = Command(
            budget, id_, lambda shard: build_creation(shard, budget, limit)
        )
        return await self._carry_out(command)

    async def top_up(
        self, budget: str, tokens: int, id_: str
    ) -> Result[BudgetReport, OperatorFault]:
        """Raise a limit once for each id."""
        command = Command(
            budget, id_, lambda shard: build_topup(shard, budget, id_, tokens)
        )
        return await self._carry_out(command)

    async def lower_limit(
        self, budget: str, limit: int, id_: str
    ) -> Result[BudgetReport, OperatorFault]:
        """Lower a limit once for each id."""
        command = Command(
            budget, id_, lambda shard: build_reduction(shard, budget, limit)
        )
        return await self._carry_out(command)

    async def release_grant(
        self, budget: str, grant_id: str, id_: str
    ) -> Result[BudgetReport, OperatorFault]:
        """Give the rest of a dead instance's grant back to its budget."""
        collected = await self._surrenders.collect(budget, grant_id, SURRENDER_SECONDS)
        instances = tuple(self._list_instances())
        command = Command(
            budget,
            id_,
            lambda shard: build_release(shard, budget, grant_id, instances, collected),
        )
        return await self._carry_out(command)

    async def _carry_out(self, command: Command) -> Result[BudgetReport, OperatorFault]:
        """Commit a command once; a lost reply is read back, never reported failed."""
        in_doubt = False
        clock = asyncio.get_running_loop().time
        deadline = clock() + COMMAND_SECONDS
        while clock() < deadline:
            match await self._try(command):
                case Result(tag="ok", ok=Committed()):
                    return await self.read_budget(command.budget)
                case Result(tag="ok", ok=Conflict()):
                    continue
                case Result(tag="ok", ok=outcome):
                    in_doubt |= isinstance(outcome, Unknown)
                case Result(error=fault):
                    return Error(fault)
            await asyncio.sleep(RETRY_SECONDS)
        return Error(_describe_silence(in_doubt))

    async def _try(self, command: Command) -> Result[CommitOutcome, OperatorFault]:
        """Read, build and commit once; a row that proves the command ends it."""
        shard = build_shard_key(compute_shard(command.budget, self._shards))
        read = await self._table.read((LAYOUT_KEY, shard, command.key))
        if read.is_error():
            return Ok(Unavailable())
        proof = next((row for row in read.ok if row.key == command.key), None)
        if proof is not None:
            return Ok(Committed(proof.version))
        match self._build(command, read.ok):
            case Result(tag="ok", ok=transaction):
                return Ok(await self._table.commit(transaction))
            case Result(error=fault):
                return Error(fault)

    def _build(
        self, command: Command, rows: Sequence[Row]
    ) -> Result[Transaction, OperatorFault]:
        """Return the transaction, which fixes the number of shards if none did."""
        layout = next((row for row in rows if row.key == LAYOUT_KEY), None)
        if layout is not None and decode_layout(layout.value).shards != self._shards:
            message = f"the table is laid out for {decode_layout(layout.value).shards}"
            message += f" shards, the settings of this daemon say {self._shards}"
            return Error(OperatorFault(FaultKind.INVALID, message))
        shard = parse_shard(compute_shard(command.budget, self._shards), rows)
        additions = [Put(command.key, encode_view(command.id))]
        checks = [Check(command.key, ABSENT)]
        if layout is None:
            additions.append(Put(LAYOUT_KEY, encode(Layout(self._shards))))
            checks.append(Check(LAYOUT_KEY, ABSENT))
        return (
            command.build(shard)
            .map(
                lambda built: Transaction(
                    (*built.checks, *checks), (*built.writes, *additions)
                )
            )
            .map_error(_describe_refusal)
        )


def _describe_refusal(error: BudgetError) -> OperatorFault:
    return OperatorFault(FaultKind.INVALID, error.message)


def _describe_silence(in_doubt: bool) -> OperatorFault:
    if in_doubt:
        message = "the command may have taken effect; repeat it under the same id"
        return OperatorFault(FaultKind.UNCERTAIN, message)
    message = "the platform was not reached; nothing was changed"
    return OperatorFault(FaultKind.UNAVAILABLE, message)
