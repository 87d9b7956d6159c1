import dataclasses
import random
from functools import partial

from hypothesis import given, settings, strategies

from kingcuphead.configuration import (
    CHANGE_PREFIX,
    Change,
    ChangeAccepted,
    ChangeNotMade,
    ChangeRefused,
    Freshness,
    PutRecord,
    RaiseSchema,
    WatchPolicy,
    decode_change,
    make_change_key,
)
from kingcuphead.configuration.tests.factories import encode_target
from kingcuphead.configuration.tests.fleet import Fleet
from kingcuphead.records import (
    Budget,
    BudgetPolicy,
    RecordKind,
    RecordName,
    Service,
    ServiceKind,
    encode_record,
    read_schema,
)

POLICY = WatchPolicy(stale_after=5.0, refuse_after=30.0)
OLD_POLICY = dataclasses.replace(POLICY, schema=1)
FAULT_PHASE_SECONDS = 60.0
#: Maximum time until each daemon applies a change that is made without faults.
CONVERGENCE_SECONDS = 5.0
#: Time after the fault phase within which all delayed replies are delivered.
SETTLING_SECONDS = 20.0


def submit_budget_edit(fleet: Fleet, number: int) -> None:
    """Submit an edit of one of four budgets on a random daemon."""
    daemon = fleet.rng.choice(fleet.daemons)
    snapshot = daemon.watcher.snapshot
    if snapshot is None:
        return
    name = f"b{fleet.rng.randrange(4)}"
    policy = fleet.rng.choice(tuple(BudgetPolicy))
    content = encode_record(Budget(name, policy))
    expected = snapshot.get_revision(RecordName(RecordKind.BUDGET, name))
    edit = PutRecord(content, expected)
    fleet.submit(daemon, Change(f"c{number}", "operator", 0.0, (edit,)))


def inject_fault(fleet: Fleet) -> None:
    daemon = fleet.rng.choice(fleet.daemons)
    match fleet.rng.randrange(5):
        case 0:
            daemon.paused_until = fleet.now + fleet.rng.uniform(0, 10)
        case 1:
            daemon.partitioned_until = fleet.now + fleet.rng.uniform(0, 20)
        case 2:
            fleet.outage_until = fleet.now + fleet.rng.uniform(0, 8)
        case 3:
            fleet.restart(daemon, POLICY)
        case 4:
            fleet.fault_rate = fleet.rng.choice((0.0, 0.1, 0.3))


def clear_faults(fleet: Fleet) -> None:
    fleet.fault_rate = fleet.outage_until = 0.0
    for daemon in fleet.daemons:
        daemon.paused_until = daemon.partitioned_until = 0.0


def list_accepted_changes(fleet: Fleet) -> list[str]:
    rows = {row.key: row for row in fleet.table.rows}
    ids: list[str] = []
    while make_change_key(len(ids) + 1) in rows:
        row = rows[make_change_key(len(ids) + 1)]
        ids.append(decode_change(row.value).ok.head.change)
    return ids


class TestRandomisedFleet:
    @settings(derandomize=True, max_examples=40, deadline=None, database=None)
    @given(seed=strategies.integers(0, 2**32 - 1))
    def test_revisions_converge_and_never_decrease(self, seed):
        fleet = Fleet(random.Random(seed), [POLICY] * 5)
        for number in range(55):
            fleet.schedule(1 + number, partial(submit_budget_edit, fleet, number))
            fleet.schedule(2 + number, partial(inject_fault, fleet))
        fleet.run(FAULT_PHASE_SECONDS)
        clear_faults(fleet)
        fleet.run(FAULT_PHASE_SECONDS + SETTLING_SECONDS)
        fleet.schedule(0, partial(submit_budget_edit, fleet, 999))
        fleet.run(fleet.now + CONVERGENCE_SECONDS)
        self.check_revisions(fleet)
        self.check_outcomes(fleet)

    def check_revisions(self, fleet):
        for daemon in fleet.daemons + fleet.replaced:
            revisions = [revision for _, revision in daemon.applied]
            assert revisions == sorted(set(revisions))
        last = len(list_accepted_changes(fleet))
        assert last >= 1
        assert {daemon.watcher.snapshot.revision for daemon in fleet.daemons} == {last}
        contents = {
            frozenset(daemon.watcher.snapshot.records.items())
            for daemon in fleet.daemons
        }
        assert len(contents) == 1
        for daemon in fleet.daemons:
            now = fleet.now + daemon.offset
            assert daemon.watcher.assess(now) is Freshness.FRESH

    def check_outcomes(self, fleet):
        accepted = list_accepted_changes(fleet)
        assert len(accepted) == len(set(accepted))
        for change, outcome in fleet.outcomes.items():
            match outcome:
                case ChangeAccepted(revision=revision):
                    assert accepted[revision - 1] == change
                case ChangeRefused() | ChangeNotMade():
                    assert change not in accepted


class TestRollingUpgrade:
    @settings(derandomize=True, max_examples=20, deadline=None, database=None)
    @given(seed=strategies.integers(0, 2**32 - 1))
    def test_old_and_new_daemons_hold_the_same_records(self, seed):
        fleet = Fleet(random.Random(seed), [OLD_POLICY] * 4)
        service = encode_record(Service("s", ServiceKind.PLAIN))
        first = Change("s", "operator", 0.0, (PutRecord(service, 0),))
        fleet.submit(fleet.daemons[0], first)
        fleet.run(2.0)
        fleet.fault_rate = 0.1
        for number in range(40):
            fleet.schedule(1 + number, partial(submit_target_edit, fleet, number))
        for number, old in enumerate(fleet.daemons):
            fleet.schedule(3 + 5 * number, partial(fleet.restart, old, POLICY))
        fleet.run(25.0)
        assert list_target_schemas(fleet) == {1}
        raised = Change("raise", "operator", 0.0, (RaiseSchema(2),), repeated=True)
        for delay in (0, 3, 6):
            fleet.schedule(delay, partial(fleet.submit, fleet.daemons[0], raised))
        fleet.run(45.0)
        fleet.fault_rate = 0.0
        fleet.run(60.0)
        submit_target_edit(fleet, 99, (2,))
        fleet.run(60.0 + CONVERGENCE_SECONDS)
        assert 2 in list_target_schemas(fleet)
        assert not [each for each in fleet.refusals if "schema version" in each]
        snapshots = [daemon.watcher.snapshot for daemon in fleet.daemons]
        contents = [snapshot and snapshot.configuration for snapshot in snapshots]
        assert contents[0] is not None
        assert contents == [contents[0]] * 4


def submit_target_edit(
    fleet: Fleet, number: int, schemas: tuple[int, ...] = (1, 2)
) -> None:
    """Submit one of two targets in one of the schema versions, on a random daemon."""
    daemon = fleet.rng.choice(fleet.daemons)
    snapshot = daemon.watcher.snapshot
    if snapshot is not None:
        name = RecordName(RecordKind.TARGET, fleet.rng.choice("tu"))
        content = encode_target(fleet.rng.choice(schemas), name.name)
        edit = PutRecord(content, snapshot.get_revision(name))
        fleet.submit(daemon, Change(f"t{number}", "operator", 0.0, (edit,)))


def list_target_schemas(fleet: Fleet) -> set[int]:
    """Return the schema versions of all targets in accepted changes."""
    rows = [row for row in fleet.table.rows if row.key.startswith(CHANGE_PREFIX)]
    changes = [decode_change(row.value).ok for row in rows]
    return {
        read_schema(stored.content)
        for change in changes
        for stored in change.puts
        if stored.name.kind is RecordKind.TARGET
    }
