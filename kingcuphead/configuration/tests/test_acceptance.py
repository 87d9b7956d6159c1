import dataclasses

import pytest

from kingcuphead.configuration import (
    HEAD_KEY,
    Acceptance,
    Change,
    ChangeAccepted,
    ChangeConflict,
    ChangeInvalid,
    ChangeNotMade,
    ChangeRefused,
    ChangeUncertain,
    CommitReplied,
    CommitRequested,
    DeleteRecord,
    PutRecord,
    RaiseSchema,
    RowsReplied,
    RowsRequested,
    Snapshot,
    SnapshotRequested,
    SnapshotTaken,
    TimePassed,
    WaitRequested,
    build_change,
)
from kingcuphead.configuration.tests.factories import (
    BUDGET,
    commit,
    encode_budget,
    encode_target,
    fill_table,
    make_change,
)
from kingcuphead.storage import MemoryTable, Unavailable, Unknown

DEADLINE = 10.0
PUT = PutRecord(encode_budget(), 0)


class TestBuilding:
    @pytest.mark.parametrize(
        ("edits", "problem"),
        [
            ((), "0 edits"),
            ((PUT, PUT), "edited twice"),
            ((PutRecord(b"{}", 0),), "missing required field"),
            ((PutRecord(encode_target(2), 0),), "service 's' does not exist"),
            ((RaiseSchema(2),), "never lowered"),
            ((RaiseSchema(3),), "reads 2"),
        ],
    )
    def test_invalid_change_is_rejected_with_its_fault(self, edits, problem):
        fault = build_change(Snapshot(), make_change("c", *edits)).error
        assert isinstance(fault, ChangeInvalid)
        assert problem in fault.message

    def test_record_above_the_schema_of_the_fleet_is_rejected(self):
        first = make_change("first", PutRecord(encode_budget(), 0))
        snapshot = commit(MemoryTable(), Snapshot(), first, schema=1)
        change = make_change("c", PutRecord(encode_target(2), 0))
        assert "accepted are 1" in build_change(snapshot, change).error.message

    @pytest.mark.parametrize(
        ("edit", "found"),
        [(PutRecord(encode_budget(), 0), 2), (DeleteRecord(BUDGET, 1), 2)],
    )
    def test_record_changed_since_it_was_read_is_a_conflict(self, edit, found):
        _, snapshot = fill_table(2)
        fault = build_change(snapshot, make_change("c", edit)).error
        assert isinstance(fault, ChangeConflict)
        assert (fault.name, fault.found, fault.revision) == (BUDGET, found, 2)


class AcceptanceDriver:
    """Executes the effects of an acceptance on a table, with injected outcomes."""

    def __init__(self, table: MemoryTable, snapshot: Snapshot, change: Change):
        self.table = table
        #: Snapshots for `SnapshotRequested`, in order; the last one repeats.
        self.snapshots = [snapshot]
        self.acceptance = Acceptance(change, DEADLINE)
        #: Outcomes to report in place of the table's, each with whether the commit
        #: takes effect.
        self.injected_outcomes: list[tuple[Unknown | Unavailable, bool]] = []

    def run(self, now: float = 0.0):
        (effect,) = self.acceptance.start()
        for _ in range(50):
            reply = self.execute(effect)
            if reply is None:
                return effect
            now = DEADLINE if isinstance(effect, WaitRequested) else now
            (effect,) = self.acceptance.receive(reply, now)
        raise AssertionError("no outcome")

    def execute(self, effect):
        match effect:
            case RowsRequested(keys=keys):
                return RowsReplied(self.table.read_now(keys))
            case SnapshotRequested():
                if len(self.snapshots) > 1:
                    return SnapshotTaken(self.snapshots.pop(0))
                return SnapshotTaken(self.snapshots[0])
            case CommitRequested(transaction=transaction) if self.injected_outcomes:
                outcome, applied = self.injected_outcomes.pop(0)
                if applied:
                    self.table.commit_now(transaction)
                return CommitReplied(outcome)
            case CommitRequested(transaction=transaction):
                return CommitReplied(self.table.commit_now(transaction))
            case WaitRequested():
                return TimePassed()
        return None


class TestAcceptance:
    def test_change_is_accepted(self):
        driver = AcceptanceDriver(
            *fill_table(2), make_change("c", PutRecord(encode_budget(), 2))
        )
        assert driver.run() == ChangeAccepted("c", 3)

    @pytest.mark.parametrize(
        "injected_outcomes",
        [
            [(Unknown(), True)],
            [(Unknown(), False)],
            [(Unknown(), False), (Unknown(), True)],
        ],
    )
    def test_lost_reply_is_read_back(self, injected_outcomes):
        driver = AcceptanceDriver(*fill_table(0), make_change("c", PUT))
        driver.injected_outcomes = injected_outcomes
        assert driver.run() == ChangeAccepted("c", 1)
        assert driver.table.counts.commits == 1

    @pytest.mark.parametrize(
        ("injected_outcomes", "outcome"),
        [
            ([(Unavailable(), False)], ChangeNotMade("c")),
            ([(Unknown(), False), (Unavailable(), False)], ChangeUncertain("c")),
        ],
    )
    def test_outcome_is_uncertain_only_after_a_lost_reply(
        self, injected_outcomes, outcome
    ):
        driver = AcceptanceDriver(*fill_table(0), make_change("c", PUT))
        driver.injected_outcomes = injected_outcomes
        assert driver.run() == outcome

    def test_pending_commit_at_the_deadline_is_uncertain(self):
        acceptance = Acceptance(make_change("c", PUT), DEADLINE)
        acceptance.start()
        acceptance.receive(RowsReplied(()), 0.0)
        acceptance.receive(SnapshotTaken(Snapshot()), 0.0)
        assert acceptance.receive(TimePassed(), DEADLINE) == (ChangeUncertain("c"),)

    @pytest.mark.parametrize(
        ("repeated", "outcome"),
        [(False, ChangeNotMade("c")), (True, ChangeUncertain("c"))],
    )
    def test_retry_without_a_lookup_is_uncertain(self, repeated, outcome):
        change = dataclasses.replace(make_change("c", PUT), repeated=repeated)
        acceptance = Acceptance(change, DEADLINE)
        acceptance.start()
        assert acceptance.receive(TimePassed(), DEADLINE) == (outcome,)

    def test_retry_has_no_second_effect(self):
        table, snapshot = fill_table(3)
        driver = AcceptanceDriver(table, snapshot, make_change("c1", PUT))
        assert driver.run() == ChangeAccepted("c1", 1)
        assert table.counts.commits == 3

    def test_delayed_retry_does_not_undo_a_later_change(self):
        change = make_change("c1", PUT)
        delayed = Acceptance(change, DEADLINE)
        delayed.start()
        delayed.receive(RowsReplied(()), 0.0)
        table, snapshot = fill_table(0)
        snapshot = commit(table, snapshot, change)
        removal = make_change("c2", DeleteRecord(BUDGET, 1))
        snapshot = commit(table, snapshot, removal)
        (request,) = delayed.receive(SnapshotTaken(snapshot), 1.0)
        assert isinstance(request, CommitRequested)
        reply = CommitReplied(table.commit_now(request.transaction))
        assert delayed.receive(reply, 1.0) == (ChangeAccepted("c1", 1),)
        assert table.counts.commits == 2

    def test_outdated_head_row_leaves_a_commit_in_doubt(self):
        table, base = fill_table(1)
        old = table.read_now((HEAD_KEY,))
        edit = PutRecord(encode_budget(), 1)
        snapshot = commit(table, base, make_change("c2", edit))
        change = make_change("c", PutRecord(encode_budget(), 2))
        acceptance = Acceptance(change, DEADLINE)
        acceptance.start()
        acceptance.receive(RowsReplied(()), 0.0)
        acceptance.receive(SnapshotTaken(snapshot), 0.0)
        acceptance.receive(CommitReplied(Unknown()), 0.0)
        (effect,) = acceptance.receive(RowsReplied(old), 0.0)
        assert isinstance(effect, CommitRequested)
        assert acceptance.receive(TimePassed(), DEADLINE) == (ChangeUncertain("c"),)

    def test_conflict_message_names_the_conflicting_change(self):
        table, base = fill_table(1)
        edit = PutRecord(encode_budget(), 1)
        after = commit(table, base, make_change("won", edit, author="boris"))
        driver = AcceptanceDriver(table, base, make_change("lost", edit))
        driver.snapshots.append(after)
        outcome = driver.run()
        assert isinstance(outcome, ChangeRefused)
        assert isinstance(outcome.fault, ChangeConflict)
        assert outcome.fault.revision == 2
        assert outcome.fault.message == (
            "budget 'b' is at revision 2, not at 1: "
            "revision 2 by boris touched budget b"
        )

    def test_change_is_rebuilt_after_an_unrelated_change(self):
        table, base = fill_table(1)
        other = make_change("other", PutRecord(encode_budget("x"), 0))
        after = commit(table, base, other)
        driver = AcceptanceDriver(
            table, base, make_change("c", PutRecord(encode_budget(), 1))
        )
        driver.snapshots.append(after)
        assert driver.run() == ChangeAccepted("c", 3)
