"""A test store that loses replies, applies writes late and can be disconnected."""

import dataclasses
import random

import msgspec

from kingcuphead.credit import TotalRow
from kingcuphead.storage import (
    ABSENT,
    CommitOutcome,
    Committed,
    Conflict,
    Put,
    Row,
    Transaction,
    Unavailable,
    Unknown,
)


@dataclasses.dataclass
class LateWrite:
    transaction: Transaction
    due: float


class FaultyStore:
    def __init__(self, rng: random.Random):
        self.rng = rng
        self.rows: dict[str, Row] = {}
        self.version = 0
        self.now = 0.0
        self.late: list[LateWrite] = []
        self.lost_share = 0.0
        self.late_share = 0.0

    @property
    def time_ms(self) -> int:
        return int(self.now * 1000)

    def advance(self, seconds: float) -> None:
        self.now += seconds
        due = [each for each in self.late if each.due <= self.now]
        self.late = [each for each in self.late if each.due > self.now]
        for each in due:
            self.apply(each.transaction)

    def commit(self, transaction: Transaction, is_disconnected: bool) -> CommitOutcome:
        if is_disconnected:
            return Unavailable() if self.rng.random() < 0.5 else Unknown()
        if self.rng.random() < self.late_share:
            due = self.now + self.rng.uniform(0.1, 6.0)
            self.late.append(LateWrite(transaction, due))
            return Unknown()
        outcome = self.apply(transaction)
        if self.rng.random() < self.lost_share:
            return Unknown()
        return outcome

    def apply(self, transaction: Transaction) -> CommitOutcome:
        for check in transaction.checks:
            row = self.rows.get(check.key)
            if (row.version if row else ABSENT) != check.version:
                keys = [each.key for each in transaction.checks]
                return Conflict(tuple(self.rows[k] for k in keys if k in self.rows))
        self.version += 1
        for write in transaction.writes:
            assert isinstance(write, Put)
            self.rows[write.key] = Row(write.key, self.version, write.value)
        return Committed(self.version)

    def read_total(self, organisation: str) -> TotalRow:
        row = self.rows.get(f"total/{organisation}")
        return msgspec.json.decode(row.value, type=TotalRow) if row else TotalRow()
