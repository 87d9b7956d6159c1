"""Budget commands as conditional transactions on the platform's table."""

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

#: Seconds after which a command that has not been committed times out.
COMMAND_TIMEOUT_SECONDS = 10.0
#: Seconds between two attempts to commit a command.
RETRY_INTERVAL_SECONDS = 0.2
#: Seconds to wait for the daemons to confirm that they surrendered a grant.
SURRENDER_TIMEOUT_SECONDS = 3.0

#: Prefix of the rows that record committed commands, so that a retry has no effect.
COMMAND_PREFIX = "command/"

#: Builds the transaction of a command from the shard row as read.
TransactionBuilder = Callable[[ShardVersion], Result[Transaction, BudgetError]]


class SurrenderCollector(Protocol):
    """Requests all daemons to surrender a grant permanently."""

    async def collect(
        self, budget: str, grant_id: str, timeout: float
    ) -> frozenset[str]:
        """Return the names of the daemons that surrendered it within the timeout."""
        ...


@dataclasses.dataclass(frozen=True, slots=True)
class Command:
    """An operator's command on one budget, committed once for each id."""

    #: Name of the budget that the command changes.
    budget: str
    #: Idempotency key of the command, unique within the budget.
    id: str
    #: Builds the transaction from the shard row as read.
    build: TransactionBuilder

    @property
    def key(self) -> str:
        """Key of the row that is written when the command is committed."""
        return f"{COMMAND_PREFIX}{self.budget}/{self.id}"


class TableBudgets:
    """`BudgetBackend` on the platform's table.

    Parameters
    ----------
    table : Table
        The platform's table.
    shards : int
        Number of shards in the daemon's settings.
    list_instances : Callable[[], Sequence[Instance]]
        Returns the daemons in the platform's instance list, as last polled.
    surrender_collector : SurrenderCollector
        Requests daemons to surrender a grant.
    """

    def __init__(
        self,
        table: Table,
        shards: int,
        list_instances: Callable[[], Sequence[Instance]],
        surrender_collector: SurrenderCollector,
    ) -> None:
        self._table = table
        self._shards = shards
        self._list_instances = list_instances
        self._surrender_collector = surrender_collector

    async def list_budgets(self) -> Result[tuple[BudgetReport, ...], OperatorFault]:
        """Return all budgets, sorted by name."""
        keys = [build_shard_key(shard) for shard in range(self._shards)]
        instances = self._list_instances()
        match await self._table.read(keys):
            case Result(tag="ok", ok=rows):
                shards = (decode_shard(row.value) for row in rows)
                reports = (r for row in shards for r in build_reports(row, instances))
                return Ok(tuple(sorted(reports, key=lambda report: report.budget)))
            case Result(error=fault):
                return Error(OperatorFault(FaultKind.UNAVAILABLE, fault.message))

    async def read_budget(self, budget: str) -> Result[BudgetReport, OperatorFault]:
        """Return one budget, or a `NOT_FOUND` fault if it does not exist."""
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
        message = f"budget {budget!r} has no limit in the platform's table"
        return Error(OperatorFault(FaultKind.NOT_FOUND, message))

    async def create_budget(
        self, budget: str, limit: int, id_: str
    ) -> Result[BudgetReport, OperatorFault]:
        """Create a budget; idempotent for each command id."""
        command = Command(
            budget, id_, lambda shard: build_creation(shard, budget, limit)
        )
        return await self._execute(command)

    async def top_up(
        self, budget: str, tokens: int, id_: str
    ) -> Result[BudgetReport, OperatorFault]:
        """Add tokens to a limit; idempotent for each command id."""
        command = Command(
            budget, id_, lambda shard: build_topup(shard, budget, id_, tokens)
        )
        return await self._execute(command)

    async def lower_limit(
        self, budget: str, limit: int, id_: str
    ) -> Result[BudgetReport, OperatorFault]:
        """Lower a limit; idempotent for each command id."""
        command = Command(
            budget, id_, lambda shard: build_reduction(shard, budget, limit)
        )
        return await self._execute(command)

    async def release_grant(
        self, budget: str, grant_id: str, id_: str
    ) -> Result[BudgetReport, OperatorFault]:
        """Return the rest of a terminated instance's grant to its budget."""
        surrendered = await self._surrender_collector.collect(
            budget, grant_id, SURRENDER_TIMEOUT_SECONDS
        )
        instances = tuple(self._list_instances())
        command = Command(
            budget,
            id_,
            lambda shard: build_release(
                shard, budget, grant_id, instances, surrendered
            ),
        )
        return await self._execute(command)

    async def _execute(self, command: Command) -> Result[BudgetReport, OperatorFault]:
        """Commit a command, retrying until it succeeds, is invalid or times out.

        After a lost reply, the next attempt reads the command row to find out whether
        the commit took effect; a lost reply is never reported as a failure.
        """
        in_doubt = False
        clock = asyncio.get_running_loop().time
        deadline = clock() + COMMAND_TIMEOUT_SECONDS
        while clock() < deadline:
            match await self._attempt_commit(command):
                case Result(tag="ok", ok=Committed()):
                    return await self.read_budget(command.budget)
                case Result(tag="ok", ok=Conflict()):
                    continue
                case Result(tag="ok", ok=outcome):
                    in_doubt |= isinstance(outcome, Unknown)
                case Result(error=fault):
                    return Error(fault)
            await asyncio.sleep(RETRY_INTERVAL_SECONDS)
        return Error(_make_timeout_fault(in_doubt))

    async def _attempt_commit(
        self, command: Command
    ) -> Result[CommitOutcome, OperatorFault]:
        """Attempt the command once; it is done if its row is already written."""
        shard = build_shard_key(compute_shard(command.budget, self._shards))
        read = await self._table.read((LAYOUT_KEY, shard, command.key))
        if read.is_error():
            return Ok(Unavailable())
        command_row = next((row for row in read.ok if row.key == command.key), None)
        if command_row is not None:
            return Ok(Committed(command_row.version))
        match self._build(command, read.ok):
            case Result(tag="ok", ok=transaction):
                return Ok(await self._table.commit(transaction))
            case Result(error=fault):
                return Error(fault)

    def _build(
        self, command: Command, rows: Sequence[Row]
    ) -> Result[Transaction, OperatorFault]:
        """Return the transaction, with the layout row if the table has none yet.

        The layout row fixes the number of shards of the table.
        """
        layout = next((row for row in rows if row.key == LAYOUT_KEY), None)
        if layout is not None and decode_layout(layout.value).shards != self._shards:
            message = f"the table is laid out for {decode_layout(layout.value).shards}"
            message += f" shards, but this daemon's settings specify {self._shards}"
            return Error(OperatorFault(FaultKind.INVALID, message))
        shard = parse_shard(compute_shard(command.budget, self._shards), rows)
        extra_writes = [Put(command.key, encode_view(command.id))]
        extra_checks = [Check(command.key, ABSENT)]
        if layout is None:
            extra_writes.append(Put(LAYOUT_KEY, encode(Layout(self._shards))))
            extra_checks.append(Check(LAYOUT_KEY, ABSENT))
        return (
            command.build(shard)
            .map(
                lambda built: Transaction(
                    (*built.checks, *extra_checks), (*built.writes, *extra_writes)
                )
            )
            .map_error(_make_invalid_fault)
        )


def _make_invalid_fault(error: BudgetError) -> OperatorFault:
    return OperatorFault(FaultKind.INVALID, error.message)


def _make_timeout_fault(in_doubt: bool) -> OperatorFault:
    if in_doubt:
        message = "the command may have taken effect; retry it with the same id"
        return OperatorFault(FaultKind.UNCERTAIN, message)
    message = "the platform did not respond; nothing was changed"
    return OperatorFault(FaultKind.UNAVAILABLE, message)
