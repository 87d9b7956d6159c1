"""Configuration records by way of the daemon's own configuration task."""

from collections.abc import Sequence

import msgspec
from expression import Error, Ok, Result

from kingcuphead.configuration import (
    AcceptedChange,
    Change,
    ChangeAccepted,
    ChangeConflict,
    ChangeFault,
    ChangeNotMade,
    ChangeRefused,
    ChangeUncertain,
    ConfigurationTask,
    Snapshot,
    decode_change,
    make_change_key,
)
from kingcuphead.operators._messages import (
    AcceptedView,
    ChangeView,
    FaultKind,
    OperatorFault,
    RecordView,
)
from kingcuphead.records import RecordKind, RecordName
from kingcuphead.storage import Row, Table

#: Seconds in which a change is accepted or refused.
ACCEPTANCE_SECONDS = 10.0


def make_change_view(change: AcceptedChange) -> ChangeView:
    """Return a change as an operator reads it."""
    head = change.head
    return ChangeView(head.revision, head.change, head.author, head.at, change.names)


class TableRecords:
    """The `RecordBackend` of a daemon.

    Parameters
    ----------
    task : ConfigurationTask
        Follows the configuration and accepts changes.
    table : Table
        The platform's table, for the history.
    """

    def __init__(self, task: ConfigurationTask, table: Table) -> None:
        self._task = task
        self._table = table

    def _get_snapshot(self) -> Snapshot:
        return self._task.watcher.snapshot or Snapshot()

    async def read_record(self, name: RecordName) -> Result[RecordView, OperatorFault]:
        """Return one record as it is in force here."""
        stored = self._get_snapshot().records.get(name)
        if stored is None:
            message = f"{name.kind.value} {name.name!r} does not exist"
            return Error(OperatorFault(FaultKind.NOT_FOUND, message))
        return Ok(RecordView(stored.revision, msgspec.Raw(stored.content)))

    async def list_records(
        self, kind: RecordKind
    ) -> Result[tuple[RecordView, ...], OperatorFault]:
        """Return every record of a kind as it is in force here."""
        records = sorted(self._get_snapshot().records.items())
        return Ok(
            tuple(
                RecordView(stored.revision, msgspec.Raw(stored.content))
                for name, stored in records
                if name.kind is kind
            )
        )

    async def submit(self, change: Change) -> Result[AcceptedView, OperatorFault]:
        """Bring a change into the table."""
        match await self._task.accept(change, ACCEPTANCE_SECONDS):
            case ChangeAccepted(change=id_, revision=revision):
                return Ok(AcceptedView(id_, revision))
            case ChangeRefused(fault=fault):
                return Error(_describe_fault(fault))
            case ChangeNotMade():
                message = "the platform was not reached; nothing was changed"
                return Error(OperatorFault(FaultKind.UNAVAILABLE, message))
            case ChangeUncertain(change=id_):
                message = f"change {id_} may have been made; repeat it under this id"
                return Error(OperatorFault(FaultKind.UNCERTAIN, message))

    async def list_changes(
        self, after: int, limit: int
    ) -> Result[tuple[ChangeView, ...], OperatorFault]:
        """Return accepted changes above a revision, in order."""
        last = min(self._get_snapshot().revision, after + limit)
        keys = [make_change_key(number) for number in range(after + 1, last + 1)]
        match await self._table.read(keys):
            case Result(tag="ok", ok=rows):
                return Ok(_list_views(rows))
            case Result(error=fault):
                return Error(OperatorFault(FaultKind.UNAVAILABLE, fault.message))


def _list_views(rows: Sequence[Row]) -> tuple[ChangeView, ...]:
    """Return the changes that this build can read, in order."""
    changes = (decode_change(row.value).to_option().to_list() for row in rows)
    views = [make_change_view(change) for found in changes for change in found]
    return tuple(sorted(views, key=lambda view: view.revision))


def _describe_fault(fault: ChangeFault) -> OperatorFault:
    match fault:
        case ChangeConflict(other=None):
            return OperatorFault(FaultKind.CONFLICT, fault.message)
        case ChangeConflict(other=AcceptedChange() as other):
            view = make_change_view(other)
            return OperatorFault(FaultKind.CONFLICT, fault.message, view)
        case _:
            return OperatorFault(FaultKind.INVALID, fault.message)
