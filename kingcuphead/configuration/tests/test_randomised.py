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
from kingcuphead.configuration.tests.fleet import Fleet
from kingcuphead.configuration.tests.scenes import encode_target
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
FAULTY_SECONDS = 60.0
#: Longest time from the end of all faults to the last daemon's compliance.
BOUND_SECONDS = 5.0
#: Late replies from the faulty time have all arrived after this many seconds.
SETTLING_SECONDS = 20.0


def propose(fleet: Fleet, number: int) -> None:
    """Let an operator edit one of four budgets, seen from a random daemon."""
    daemon = fleet.random.choice(fleet.daemons)
    snapshot = daemon.watcher.snapshot
    if snapshot is None:
        return
    name = f"b{fleet.random.randrange(4)}"
    policy = fleet.random.choice(tuple(BudgetPolicy))
    content = encode_record(Budget(name, policy))
    expected = snapshot.get_revision(RecordName(RecordKind.BUDGET, name))
    edit = PutRecord(content, expected)
    fleet.submit(daemon, Change(f"c{number}", "operator", 0.0, (edit,)))


def disturb(fleet: Fleet) -> None:
    daemon = fleet.random.choice(fleet.daemons)
    match fleet.random.randrange(5):
        case 0:
            daemon.paused_until = fleet.now + fleet.random.uniform(0, 10)
        case 1:
            daemon.cut_until = fleet.now + fleet.random.uniform(0, 20)
        case 2:
            fleet.outage_until = fleet.now + fleet.random.uniform(0, 8)
        case 3:
            fleet.restart(daemon, POLICY)
        case 4:
            fleet.trouble = fleet.random.choice((0.0, 0.1, 0.3))


def calm(fleet: Fleet) -> None:
    fleet.trouble = fleet.outage_until = 0.0
    for daemon in fleet.daemons:
        daemon.paused_until = daemon.cut_until = 0.0


def list_accepted(fleet: Fleet) -> list[str]:
    rows = {row.key: row for row in fleet.table.rows}
    ids: list[str] = []
    while make_change_key(len(ids) + 1) in rows:
        row = rows[make_change_key(len(ids) + 1)]
        ids.append(decode_change(row.value).ok.head.change)
    return ids


class TestRandomisedFleet:
    @settings(derandomize=True, max_examples=40, deadline=None, database=None)
    @given(seed=strategies.integers(0, 2**32 - 1))
    def test_converges_and_never_goes_back(self, seed):
        fleet = Fleet(random.Random(seed), [POLICY] * 5)
        for number in range(55):
            fleet.at(1 + number, partial(propose, fleet, number))
            fleet.at(2 + number, partial(disturb, fleet))
        fleet.run(FAULTY_SECONDS)
        calm(fleet)
        fleet.run(FAULTY_SECONDS + SETTLING_SECONDS)
        fleet.at(0, partial(propose, fleet, 999))
        fleet.run(fleet.now + BOUND_SECONDS)
        self.check_revisions(fleet)
        self.check_outcomes(fleet)

    def check_revisions(self, fleet):
        for daemon in fleet.daemons + fleet.gone:
            revisions = [revision for _, revision in daemon.applied]
            assert revisions == sorted(set(revisions))
        last = len(list_accepted(fleet))
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
        accepted = list_accepted(fleet)
        assert len(accepted) == len(set(accepted))
        for change, outcome in fleet.outcomes.items():
            match outcome:
                case ChangeAccepted(revision=revision):
                    assert accepted[revision - 1] == change
                case ChangeRefused() | ChangeNotMade():
                    assert change not in accepted


class TestRollOut:
    @settings(derandomize=True, max_examples=20, deadline=None, database=None)
    @given(seed=strategies.integers(0, 2**32 - 1))
    def test_old_and_new_daemons_hold_the_same_records(self, seed):
        fleet = Fleet(random.Random(seed), [OLD_POLICY] * 4)
        service = encode_record(Service("s", ServiceKind.PLAIN))
        first = Change("s", "operator", 0.0, (PutRecord(service, 0),))
        fleet.submit(fleet.daemons[0], first)
        fleet.run(2.0)
        fleet.trouble = 0.1
        for number in range(40):
            fleet.at(1 + number, partial(propose_target, fleet, number))
        for number, old in enumerate(fleet.daemons):
            fleet.at(3 + 5 * number, partial(fleet.restart, old, POLICY))
        fleet.run(25.0)
        assert list_target_schemas(fleet) == {1}
        raised = Change("raise", "operator", 0.0, (RaiseSchema(2),), repeated=True)
        for delay in (0, 3, 6):
            fleet.at(delay, partial(fleet.submit, fleet.daemons[0], raised))
        fleet.run(45.0)
        fleet.trouble = 0.0
        fleet.run(60.0)
        propose_target(fleet, 99, (2,))
        fleet.run(60.0 + BOUND_SECONDS)
        assert 2 in list_target_schemas(fleet)
        assert not [each for each in fleet.refusals if "schema version" in each]
        snapshots = [daemon.watcher.snapshot for daemon in fleet.daemons]
        contents = [snapshot and snapshot.configuration for snapshot in snapshots]
        assert contents[0] is not None
        assert contents == [contents[0]] * 4


def propose_target(
    fleet: Fleet, number: int, schemas: tuple[int, ...] = (1, 2)
) -> None:
    """Let an operator write one of two targets under either schema version."""
    daemon = fleet.random.choice(fleet.daemons)
    snapshot = daemon.watcher.snapshot
    if snapshot is not None:
        name = RecordName(RecordKind.TARGET, fleet.random.choice("tu"))
        content = encode_target(fleet.random.choice(schemas), name.name)
        edit = PutRecord(content, snapshot.get_revision(name))
        fleet.submit(daemon, Change(f"t{number}", "operator", 0.0, (edit,)))


def list_target_schemas(fleet: Fleet) -> set[int]:
    """Return the schema versions of all targets that were ever accepted."""
    rows = [row for row in fleet.table.rows if row.key.startswith(CHANGE_PREFIX)]
    changes = [decode_change(row.value).ok for row in rows]
    return {
        read_schema(stored.content)
        for change in changes
        for stored in change.puts
        if stored.name.kind is RecordKind.TARGET
    }
