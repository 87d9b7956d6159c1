import asyncio

import msgspec

from kingcuphead.claims import (
    AnswerLost,
    ClaimState,
    Held,
    Released,
    Resolved,
    RetentionSettings,
    SweepEnded,
    sweep_claims,
)
from kingcuphead.claims._retention import DeletionRequested, ScanReplied, Sweep
from kingcuphead.claims._rows import encode_claim
from kingcuphead.claims.tests._calls import ANSWER, make_request
from kingcuphead.storage import Conflict, MemoryTable, Put, ScanPage, Transaction

NOW = 1_000_000.0
SETTINGS = RetentionSettings(retention_period=100.0, page_size=2, page_interval=0.0)
STATES: dict[str, ClaimState] = {
    "held": Held(),
    "lost": AnswerLost("reset"),
    "recorded": ANSWER,
    "released": Released(),
    "resolved": Resolved("executed"),
}


def write_claim(table: MemoryTable, key: str, state: ClaimState, age: float) -> None:
    row = msgspec.structs.replace(make_request().row.with_state(state))
    row = msgspec.structs.replace(row, claimed_at=NOW - age)
    write = Put(f"claim/org/{key}", encode_claim(row))
    table.commit_now(Transaction((), (write,)))


class TestSweep:
    def test_deletes_expired_claims_that_are_not_in_doubt(self):
        table = MemoryTable()
        for name, state in STATES.items():
            write_claim(table, f"old-{name}", state, age=101.0)
            write_claim(table, f"new-{name}", state, age=99.0)
        result = asyncio.run(sweep_claims(table, SETTINGS, NOW))
        remaining = {row.key.rpartition("/")[2] for row in table.rows}
        assert result == SweepEnded(3, is_complete=True)
        assert remaining == {f"new-{name}" for name in STATES} | {
            "old-held",
            "old-lost",
        }

    def test_claim_that_changed_after_the_scan_is_kept(self):
        table = MemoryTable()
        write_claim(table, "k", Released(), age=101.0)
        sweep = Sweep(SETTINGS, NOW)
        sweep.start()
        deletion = sweep.receive(ScanReplied(table.scan_now("claim/")))
        write_claim(table, "k", Held(), age=0.0)
        assert isinstance(deletion, DeletionRequested)
        assert isinstance(table.commit_now(deletion.transaction), Conflict)

    def test_table_fault_ends_the_sweep(self):
        sweep = Sweep(SETTINGS, NOW)
        sweep.start()
        sweep.receive(ScanReplied(ScanPage((), "claim/a")))
        assert sweep.receive(ScanReplied(None)) == SweepEnded(0, is_complete=False)
