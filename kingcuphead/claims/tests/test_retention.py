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
from kingcuphead.claims._retention import PageScanned, RemovalWanted, Sweep
from kingcuphead.claims._rows import encode_claim
from kingcuphead.claims.tests._calls import ANSWER, make_request
from kingcuphead.storage import Conflict, MemoryTable, Put, ScanPage, Transaction

NOW = 1_000_000.0
SETTINGS = RetentionSettings(keep_for=100.0, page_size=2, page_interval=0.0)
STATES: dict[str, ClaimState] = {
    "held": Held(),
    "lost": AnswerLost("reset"),
    "recorded": ANSWER,
    "released": Released(),
    "resolved": Resolved("seen"),
}


def put(table: MemoryTable, key: str, state: ClaimState, age: float) -> None:
    row = msgspec.structs.replace(make_request().row.with_state(state))
    row = msgspec.structs.replace(row, claimed_at=NOW - age)
    write = Put(f"claim/org/{key}", encode_claim(row))
    table.commit_now(Transaction((), (write,)))


class TestSweep:
    def test_removes_old_claims_that_are_not_in_doubt(self):
        table = MemoryTable()
        for name, state in STATES.items():
            put(table, f"old-{name}", state, age=101.0)
            put(table, f"new-{name}", state, age=99.0)
        ended = asyncio.run(sweep_claims(table, SETTINGS, NOW))
        left = {row.key.rpartition("/")[2] for row in table.rows}
        assert ended == SweepEnded(3, is_complete=True)
        assert left == {f"new-{name}" for name in STATES} | {"old-held", "old-lost"}

    def test_claim_that_changed_meanwhile_stays(self):
        table = MemoryTable()
        put(table, "k", Released(), age=101.0)
        sweep = Sweep(SETTINGS, NOW)
        sweep.start()
        removal = sweep.receive(PageScanned(table.scan_now("claim/")))
        put(table, "k", Held(), age=0.0)
        assert isinstance(removal, RemovalWanted)
        assert isinstance(table.commit_now(removal.transaction), Conflict)

    def test_table_fault_ends_the_pass(self):
        sweep = Sweep(SETTINGS, NOW)
        sweep.start()
        sweep.receive(PageScanned(ScanPage((), "claim/a")))
        assert sweep.receive(PageScanned(None)) == SweepEnded(0, is_complete=False)
