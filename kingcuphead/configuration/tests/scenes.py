"""Ready-made configurations for the tests."""

import json

from kingcuphead.configuration import (
    HEAD_KEY,
    Change,
    ChangesRead,
    Edit,
    HeadRead,
    HeadRequested,
    PutRecord,
    ReadRequested,
    RecordsRead,
    ScanRequested,
    Snapshot,
    Watcher,
    WatcherEffect,
    build_change,
    build_transaction,
)
from kingcuphead.records import (
    SCHEMA,
    Budget,
    BudgetPolicy,
    RecordKind,
    RecordName,
    encode_record,
)
from kingcuphead.storage import Committed, MemoryTable

BUDGET = RecordName(RecordKind.BUDGET, "b")


def encode_budget(name: str = "b", policy: BudgetPolicy = BudgetPolicy.STRICT) -> bytes:
    return encode_record(Budget(name, policy))


def encode_target(schema: int, name: str = "t") -> bytes:
    common = {"kind": "target", "schema": schema, "name": name, "service": "s"}
    first = {"host": "10.0.0.1", "port": 80, "zone": "z"}
    second = {"address": "10.0.0.1:80", "zone": "z"}
    return json.dumps(common | (first if schema == 1 else second)).encode()


def make_change(id_: str, *edits: Edit, author: str = "ana") -> Change:
    return Change(id_, author, 1.0, edits)


def commit(
    table: MemoryTable, snapshot: Snapshot, change: Change, schema: int = SCHEMA
) -> Snapshot:
    """Bring a change into the table and return what is then in force."""
    accepted = build_change(snapshot, change, schema).ok
    outcome = table.commit_now(build_transaction(snapshot, accepted))
    assert isinstance(outcome, Committed)
    return snapshot.with_change(accepted).with_version(outcome.version)


def fill_table(changes: int) -> tuple[MemoryTable, Snapshot]:
    """Return a table after a number of changes to one budget."""
    table, snapshot = MemoryTable(), Snapshot()
    for number in range(1, changes + 1):
        edit = PutRecord(encode_budget(), snapshot.get_revision(BUDGET))
        snapshot = commit(table, snapshot, make_change(f"c{number}", edit))
    return table, snapshot


def serve(
    watcher: Watcher,
    effects: tuple[WatcherEffect, ...],
    table: MemoryTable,
    now: float,
) -> list[WatcherEffect]:
    """Answer every read at once; return the other effects."""
    rest: list[WatcherEffect] = []
    waiting = list(effects)
    while waiting:
        effect = waiting.pop(0)
        match effect:
            case HeadRequested(attempt=attempt):
                rows = table.read_now((HEAD_KEY,))
                reply = HeadRead(attempt, rows[0] if rows else None)
                waiting += watcher.receive(reply, now)
            case ReadRequested(attempt=attempt, keys=keys):
                changes = ChangesRead(attempt, table.read_now(keys))
                waiting += watcher.receive(changes, now)
            case ScanRequested(attempt=attempt, prefix=prefix, after=after):
                page = table.scan_now(prefix, after, limit=2)
                records = RecordsRead(attempt, page.rows, page.resume_after)
                waiting += watcher.receive(records, now)
            case _:
                rest.append(effect)
    return rest
