"""Sans-I/O machine that brings one change into the table, exactly once."""

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
    CommitWanted,
    RowsReplied,
    RowsWanted,
    SnapshotRequested,
    SnapshotTaken,
    TimePassed,
    WaitWanted,
)
from kingcuphead.configuration._changes import (
    Change,
    ChangeConflict,
    build_change,
    build_transaction,
)
from kingcuphead.configuration._rows import (
    HEAD_KEY,
    decode_applied,
    decode_change,
    get_version,
    make_applied_key,
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

#: Seconds before a step is tried again.
RETRY_SECONDS = 0.2
#: Most times that a change is rebuilt because the head row moved.
MAX_REBUILDS = 20


class Phase(enum.Enum):
    """What the machine waits for."""

    #: Whether the change id is in the table already.
    LOOKUP = enum.auto()
    #: A snapshot to build on.
    SNAPSHOT = enum.auto()
    #: The answer to a commit.
    COMMIT = enum.auto()
    #: What became of a commit whose answer was lost.
    READ_BACK = enum.auto()
    #: The change that stands in the way.
    NAMING = enum.auto()
    #: Nothing more.
    DONE = enum.auto()


class Acceptance:
    """Bring one change into the table.

    Parameters
    ----------
    change : Change
        The change.
    deadline : float
        Time at which an outcome is due.
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
        # Whether a commit without an answer may have taken effect, or still may.
        self._in_doubt = change.repeated
        # Whether the answer to a commit is still awaited.
        self._committing = False

    def start(self) -> tuple[AcceptanceEffect, ...]:
        """Return the first effects."""
        return (self._look_up(Phase.LOOKUP),)

    def receive(
        self, message: AcceptanceMessage, now: float
    ) -> tuple[AcceptanceEffect, ...]:
        """Take one message at time `now` and return what follows from it."""
        if self._is_done():
            return ()
        if isinstance(message, TimePassed) and now >= self._deadline:
            return (self._expire(),)
        if isinstance(message, CommitReplied):
            self._committing = False
        effects = tuple(self._handle(message, now))
        if not self._is_done() and now >= self._deadline:
            return (self._expire(),)
        self._committing |= any(isinstance(each, CommitWanted) for each in effects)
        return effects

    @property
    def change_id(self) -> str:
        """Id of the change."""
        return self._change.id

    def _is_done(self) -> bool:
        return self._phase is Phase.DONE

    def _handle(
        self, message: AcceptanceMessage, now: float
    ) -> Iterator[AcceptanceEffect]:
        match message, self._phase:
            case RowsReplied(rows=None), _:
                yield self._wait(now)
            case RowsReplied(rows=tuple() as rows), Phase.LOOKUP | Phase.READ_BACK:
                yield self._judge_lookup(rows)
            case RowsReplied(rows=tuple() as rows), Phase.NAMING:
                yield self._name_conflict(rows)
            case SnapshotTaken(snapshot=snapshot), Phase.SNAPSHOT:
                yield self._build(snapshot)
            case CommitReplied(outcome=outcome), Phase.COMMIT:
                yield self._judge_commit(outcome, now)
            case TimePassed(), _:
                yield from self._repeat()

    def _look_up(self, phase: Phase) -> AcceptanceEffect:
        self._phase = phase
        return RowsWanted((make_applied_key(self._change.id), HEAD_KEY))

    def _judge_lookup(self, rows: tuple[Row, ...]) -> AcceptanceEffect:
        found = {row.key: row for row in rows}
        applied = found.get(make_applied_key(self._change.id))
        if applied is not None:
            return self._accept(decode_applied(applied))
        moved = get_version(found.get(HEAD_KEY)) > self._snapshot.version
        if self._phase is Phase.READ_BACK and not moved:
            # The lost commit may still arrive; a second copy of it is harmless,
            # since both build on the same head row and carry the same id.
            return self._commit()
        self._in_doubt = False
        return self._take_snapshot()

    def _take_snapshot(self) -> AcceptanceEffect:
        self._phase = Phase.SNAPSHOT
        return SnapshotRequested()

    def _build(self, snapshot: Snapshot) -> AcceptanceEffect:
        self._snapshot = snapshot
        match build_change(snapshot, self._change, self._schema):
            case Result(tag="ok", ok=accepted):
                self._transaction = build_transaction(snapshot, accepted)
                return self._commit()
            case Result(error=ChangeConflict(revision=int() as revision) as conflict):
                self._conflict = conflict
                self._phase = Phase.NAMING
                return RowsWanted((make_change_key(revision),))
            case Result(error=fault):
                return self._finish(ChangeRefused(fault))

    def _commit(self) -> AcceptanceEffect:
        self._phase = Phase.COMMIT
        return CommitWanted(require(self._transaction, "a commit has a transaction"))

    def _judge_commit(self, outcome: CommitOutcome, now: float) -> AcceptanceEffect:
        match outcome:
            case Committed():
                return self._accept(self._snapshot.revision + 1)
            case Conflict(rows=rows):
                return self._judge_conflict(rows)
            case Unknown():
                self._in_doubt = True
                return self._look_up(Phase.READ_BACK)
            case Unavailable():
                return self._wait(now)

    def _judge_conflict(self, rows: tuple[Row, ...]) -> AcceptanceEffect:
        key = make_applied_key(self._change.id)
        applied = next((row for row in rows if row.key == key), None)
        if applied is not None:
            return self._accept(decode_applied(applied))
        # The head row moved on, so no earlier copy of the commit can take effect.
        self._in_doubt = False
        self._rebuilds += 1
        if self._rebuilds > MAX_REBUILDS:
            return self._finish(ChangeNotMade(self._change.id))
        return self._take_snapshot()

    def _name_conflict(self, rows: tuple[Row, ...]) -> ChangeOutcome:
        conflict = require(self._conflict, "a conflict is named after it was found")
        for row in rows:
            for other in decode_change(row.value).to_option().to_list():
                conflict = dataclasses.replace(conflict, other=other)
        return self._finish(ChangeRefused(conflict))

    def _wait(self, now: float) -> AcceptanceEffect:
        return WaitWanted(min(now + RETRY_SECONDS, self._deadline))

    def _repeat(self) -> Iterator[AcceptanceEffect]:
        match self._phase:
            case Phase.LOOKUP | Phase.READ_BACK:
                yield self._look_up(self._phase)
            case Phase.COMMIT:
                yield self._commit()
            case Phase.NAMING:
                yield self._name_conflict(())

    def _accept(self, revision: int) -> AcceptanceEffect:
        return self._finish(ChangeAccepted(self._change.id, revision))

    def _expire(self) -> ChangeOutcome:
        """Give up; a conflict that is known but not named is still the answer."""
        if self._phase is Phase.NAMING:
            return self._name_conflict(())
        if self._in_doubt or self._committing:
            return self._finish(ChangeUncertain(self._change.id))
        return self._finish(ChangeNotMade(self._change.id))

    def _finish(self, outcome: ChangeOutcome) -> ChangeOutcome:
        self._phase = Phase.DONE
        return outcome
