"""Builders of records, changes and tables for the tests."""

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
    common_fields = {"kind": "target", "schema": schema, "name": name, "service": "s"}
    schema_1_fields = {"host": "10.0.0.1", "port": 80, "zone": "z"}
    schema_2_fields = {"address": "10.0.0.1:80", "zone": "z"}
    return json.dumps(
        common_fields | (schema_1_fields if schema == 1 else schema_2_fields)
    ).encode()


def make_change(id_: str, *edits: Edit, author: str = "ana") -> Change:
    return Change(id_, author, 1.0, edits)


def commit(
    table: MemoryTable, snapshot: Snapshot, change: Change, schema: int = SCHEMA
) -> Snapshot:
    """Commit a change to the table and return the resulting snapshot."""
    accepted = build_change(snapshot, change, schema).ok
    outcome = table.commit_now(build_transaction(snapshot, accepted))
    assert isinstance(outcome, Committed)
    return snapshot.with_change(accepted).with_version(outcome.version)


def fill_table(changes: int) -> tuple[MemoryTable, Snapshot]:
    """Return a table with the given number of changes to one budget."""
    table, snapshot = MemoryTable(), Snapshot()
    for number in range(1, changes + 1):
        edit = PutRecord(encode_budget(), snapshot.get_revision(BUDGET))
        snapshot = commit(table, snapshot, make_change(f"c{number}", edit))
    return table, snapshot


def serve_reads(
    watcher: Watcher,
    effects: tuple[WatcherEffect, ...],
    table: MemoryTable,
    now: float,
) -> list[WatcherEffect]:
    """Reply to each read immediately and return the other effects."""
    other_effects: list[WatcherEffect] = []
    pending = list(effects)
    while pending:
        effect = pending.pop(0)
        match effect:
            case HeadRequested(attempt=attempt):
                rows = table.read_now((HEAD_KEY,))
                reply = HeadRead(attempt, rows[0] if rows else None)
                pending += watcher.receive(reply, now)
            case ReadRequested(attempt=attempt, keys=keys):
                changes = ChangesRead(attempt, table.read_now(keys))
                pending += watcher.receive(changes, now)
            case ScanRequested(attempt=attempt, prefix=prefix, after=after):
                page = table.scan_now(prefix, after, limit=2)
                records = RecordsRead(attempt, page.rows, page.resume_after)
                pending += watcher.receive(records, now)
            case _:
                other_effects.append(effect)
    return other_effects
