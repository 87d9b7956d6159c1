"""Sans-I/O state machine that commits one change to the table exactly once."""

import dataclasses
import enum
from collections.abc import Iterator

from expression import Result

from kingcuphead.configuration._acceptance_messages import (
    AcceptanceEffect,
    AcceptanceMessage,
    ChangeAccepted,
    ChangeNotMade,
    ChangeOutcome,
    ChangeRefused,
    ChangeUncertain,
    CommitReplied,
    CommitRequested,
    RowsReplied,
    RowsRequested,
    SnapshotRequested,
    SnapshotTaken,
    TimePassed,
    WaitRequested,
)
from kingcuphead.configuration._changes import (
    Change,
    ChangeConflict,
    build_change,
    build_transaction,
)
from kingcuphead.configuration._rows import (
    HEAD_KEY,
    decode_change,
    decode_change_id_row,
    get_version,
    make_change_id_key,
    make_change_key,
)
from kingcuphead.configuration._snapshot import Snapshot
from kingcuphead.invariants import require
from kingcuphead.records import SCHEMA
from kingcuphead.storage import (
    CommitOutcome,
    Committed,
    Conflict,
    Row,
    Transaction,
    Unavailable,
    Unknown,
)

#: Seconds before a failed step is retried.
RETRY_SECONDS = 0.2
#: Maximum number of times that a change is rebuilt after a conflict on the head row.
MAX_REBUILDS = 20


class Phase(enum.Enum):
    """Reply that the state machine waits for."""

    #: The change id row, which exists if the change was accepted earlier.
    LOOKUP = enum.auto()
    #: The snapshot that the change is built on.
    SNAPSHOT = enum.auto()
    #: The outcome of a commit.
    COMMIT = enum.auto()
    #: The change id row, after a commit whose outcome is unknown.
    READ_BACK = enum.auto()
    #: The conflicting change, which the error message describes.
    NAMING = enum.auto()
    #: None; the change has an outcome.
    DONE = enum.auto()


class Acceptance:
    """Commit one change to the table.

    Parameters
    ----------
    change : Change
        The change to commit.
    deadline : float
        Time at which the change ends with an outcome, on the clock of `receive`.
    schema : int
        Highest schema version that this build reads.
    """

    def __init__(self, change: Change, deadline: float, schema: int = SCHEMA) -> None:
        self._change = change
        self._deadline = deadline
        self._schema = schema
        self._phase = Phase.LOOKUP
        self._snapshot = Snapshot()
        self._transaction: Transaction | None = None
        self._conflict: ChangeConflict | None = None
        self._rebuilds = 0
        # Whether a commit of unknown outcome may have taken effect or may do so later.
        self._in_doubt = change.repeated
        # Whether the outcome of a commit is outstanding.
        self._commit_pending = False

    def start(self) -> tuple[AcceptanceEffect, ...]:
        """Return the first effects."""
        return (self._request_lookup(Phase.LOOKUP),)

    def receive(
        self, message: AcceptanceMessage, now: float
    ) -> tuple[AcceptanceEffect, ...]:
        """Handle one message at time `now` and return the effects to execute."""
        if self._is_done():
            return ()
        if isinstance(message, TimePassed) and now >= self._deadline:
            return (self._time_out(),)
        if isinstance(message, CommitReplied):
            self._commit_pending = False
        effects = tuple(self._handle(message, now))
        if not self._is_done() and now >= self._deadline:
            return (self._time_out(),)
        self._commit_pending |= any(
            isinstance(each, CommitRequested) for each in effects
        )
        return effects

    @property
    def change_id(self) -> str:
        """Id of the change, unique in the fleet."""
        return self._change.id

    def _is_done(self) -> bool:
        return self._phase is Phase.DONE

    def _handle(
        self, message: AcceptanceMessage, now: float
    ) -> Iterator[AcceptanceEffect]:
        match message, self._phase:
            case RowsReplied(rows=None), _:
                yield self._schedule_retry(now)
            case RowsReplied(rows=tuple() as rows), Phase.LOOKUP | Phase.READ_BACK:
                yield self._handle_lookup(rows)
            case RowsReplied(rows=tuple() as rows), Phase.NAMING:
                yield self._refuse_conflict(rows)
            case SnapshotTaken(snapshot=snapshot), Phase.SNAPSHOT:
                yield self._handle_snapshot(snapshot)
            case CommitReplied(outcome=outcome), Phase.COMMIT:
                yield self._handle_commit_outcome(outcome, now)
            case TimePassed(), _:
                yield from self._retry_step()

    def _request_lookup(self, phase: Phase) -> AcceptanceEffect:
        self._phase = phase
        return RowsRequested((make_change_id_key(self._change.id), HEAD_KEY))

    def _handle_lookup(self, rows: tuple[Row, ...]) -> AcceptanceEffect:
        rows_by_key = {row.key: row for row in rows}
        applied = rows_by_key.get(make_change_id_key(self._change.id))
        if applied is not None:
            return self._accept(decode_change_id_row(applied))
        head_advanced = get_version(rows_by_key.get(HEAD_KEY)) > self._snapshot.version
        if self._phase is Phase.READ_BACK and not head_advanced:
            # The first commit may still take effect. Committing twice is safe: both
            # transactions check the same head version and the same change id row,
            # so at most one succeeds.
            return self._request_commit()
        self._in_doubt = False
        return self._request_snapshot()

    def _request_snapshot(self) -> AcceptanceEffect:
        self._phase = Phase.SNAPSHOT
        return SnapshotRequested()

    def _handle_snapshot(self, snapshot: Snapshot) -> AcceptanceEffect:
        self._snapshot = snapshot
        match build_change(snapshot, self._change, self._schema):
            case Result(tag="ok", ok=accepted):
                self._transaction = build_transaction(snapshot, accepted)
                return self._request_commit()
            case Result(error=ChangeConflict(revision=int() as revision) as conflict):
                self._conflict = conflict
                self._phase = Phase.NAMING
                return RowsRequested((make_change_key(revision),))
            case Result(error=fault):
                return self._finish(ChangeRefused(fault))

    def _request_commit(self) -> AcceptanceEffect:
        self._phase = Phase.COMMIT
        return CommitRequested(require(self._transaction, "a commit has a transaction"))

    def _handle_commit_outcome(
        self, outcome: CommitOutcome, now: float
    ) -> AcceptanceEffect:
        match outcome:
            case Committed():
                return self._accept(self._snapshot.revision + 1)
            case Conflict(rows=rows):
                return self._handle_conflict(rows)
            case Unknown():
                self._in_doubt = True
                return self._request_lookup(Phase.READ_BACK)
            case Unavailable():
                return self._schedule_retry(now)

    def _handle_conflict(self, rows: tuple[Row, ...]) -> AcceptanceEffect:
        key = make_change_id_key(self._change.id)
        applied = next((row for row in rows if row.key == key), None)
        if applied is not None:
            return self._accept(decode_change_id_row(applied))
        # The version of the head row changed, so no earlier commit, which checks the
        # old version, can take effect.
        self._in_doubt = False
        self._rebuilds += 1
        if self._rebuilds > MAX_REBUILDS:
            return self._finish(ChangeNotMade(self._change.id))
        return self._request_snapshot()

    def _refuse_conflict(self, rows: tuple[Row, ...]) -> ChangeOutcome:
        conflict = require(self._conflict, "phase NAMING has a conflict")
        for row in rows:
            for other in decode_change(row.value).to_option().to_list():
                conflict = dataclasses.replace(conflict, other=other)
        return self._finish(ChangeRefused(conflict))

    def _schedule_retry(self, now: float) -> AcceptanceEffect:
        return WaitRequested(min(now + RETRY_SECONDS, self._deadline))

    def _retry_step(self) -> Iterator[AcceptanceEffect]:
        match self._phase:
            case Phase.LOOKUP | Phase.READ_BACK:
                yield self._request_lookup(self._phase)
            case Phase.COMMIT:
                yield self._request_commit()
            case Phase.NAMING:
                yield self._refuse_conflict(())

    def _accept(self, revision: int) -> AcceptanceEffect:
        return self._finish(ChangeAccepted(self._change.id, revision))

    def _time_out(self) -> ChangeOutcome:
        """Return the outcome at the deadline.

        A conflict whose other change has not been read yet is reported without it.
        """
        if self._phase is Phase.NAMING:
            return self._refuse_conflict(())
        if self._in_doubt or self._commit_pending:
            return self._finish(ChangeUncertain(self._change.id))
        return self._finish(ChangeNotMade(self._change.id))

    def _finish(self, outcome: ChangeOutcome) -> ChangeOutcome:
        self._phase = Phase.DONE
        return outcome
