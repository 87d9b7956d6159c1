"""Configuration records, read and changed through the configuration task."""

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

#: Seconds to wait until a change is accepted or refused.
ACCEPTANCE_TIMEOUT_SECONDS = 10.0


def make_change_view(change: AcceptedChange) -> ChangeView:
    """Return the view of an accepted change."""
    head = change.head
    return ChangeView(head.revision, head.change, head.author, head.at, change.names)


class TableRecords:
    """`RecordBackend` on a daemon's configuration task.

    Parameters
    ----------
    task : ConfigurationTask
        Follows the configuration and accepts changes.
    table : Table
        The platform's table, which stores the history of changes.
    """

    def __init__(self, task: ConfigurationTask, table: Table) -> None:
        self._task = task
        self._table = table

    def _get_snapshot(self) -> Snapshot:
        return self._task.watcher.snapshot or Snapshot()

    async def read_record(self, name: RecordName) -> Result[RecordView, OperatorFault]:
        """Return one record of the configuration in force on this daemon."""
        stored = self._get_snapshot().records.get(name)
        if stored is None:
            message = f"{name.kind.value} {name.name!r} does not exist"
            return Error(OperatorFault(FaultKind.NOT_FOUND, message))
        return Ok(RecordView(stored.revision, msgspec.Raw(stored.content)))

    async def list_records(
        self, kind: RecordKind
    ) -> Result[tuple[RecordView, ...], OperatorFault]:
        """Return all records of a kind in force on this daemon, sorted by name."""
        records = sorted(self._get_snapshot().records.items())
        return Ok(
            tuple(
                RecordView(stored.revision, msgspec.Raw(stored.content))
                for name, stored in records
                if name.kind is kind
            )
        )

    async def submit(self, change: Change) -> Result[AcceptedView, OperatorFault]:
        """Commit a change to the table."""
        match await self._task.accept(change, ACCEPTANCE_TIMEOUT_SECONDS):
            case ChangeAccepted(change=id_, revision=revision):
                return Ok(AcceptedView(id_, revision))
            case ChangeRefused(fault=fault):
                return Error(_make_operator_fault(fault))
            case ChangeNotMade():
                message = "the platform did not respond; nothing was changed"
                return Error(OperatorFault(FaultKind.UNAVAILABLE, message))
            case ChangeUncertain(change=id_):
                message = f"change {id_} may have taken effect; retry it with this id"
                return Error(OperatorFault(FaultKind.UNCERTAIN, message))

    async def list_changes(
        self, after: int, limit: int
    ) -> Result[tuple[ChangeView, ...], OperatorFault]:
        """Return up to `limit` accepted changes after a revision, oldest first."""
        last = min(self._get_snapshot().revision, after + limit)
        keys = [make_change_key(number) for number in range(after + 1, last + 1)]
        match await self._table.read(keys):
            case Result(tag="ok", ok=rows):
                return Ok(_make_change_views(rows))
            case Result(error=fault):
                return Error(OperatorFault(FaultKind.UNAVAILABLE, fault.message))


def _make_change_views(rows: Sequence[Row]) -> tuple[ChangeView, ...]:
    """Return the changes that this build can decode, oldest first."""
    changes = (decode_change(row.value).to_option().to_list() for row in rows)
    views = [make_change_view(change) for decoded in changes for change in decoded]
    return tuple(sorted(views, key=lambda view: view.revision))


def _make_operator_fault(fault: ChangeFault) -> OperatorFault:
    match fault:
        case ChangeConflict(other=None):
            return OperatorFault(FaultKind.CONFLICT, fault.message)
        case ChangeConflict(other=AcceptedChange() as other):
            view = make_change_view(other)
            return OperatorFault(FaultKind.CONFLICT, fault.message, view)
        case _:
            return OperatorFault(FaultKind.INVALID, fault.message)
