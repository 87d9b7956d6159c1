"""A test store that loses replies, applies writes late and is restored from copies."""

import dataclasses
import random

import msgspec

from kingcuphead.credit import ShardRow
from kingcuphead.credit._budget import Budget, Shard
from kingcuphead.storage import (
    ABSENT,
    CommitOutcome,
    Committed,
    Conflict,
    Delete,
    Put,
    Row,
    RowSnapshot,
    Transaction,
    Unavailable,
    Unknown,
)

#: Seconds between two copies of the store.
COPY_INTERVAL = 0.5


@dataclasses.dataclass
class LateWrite:
    part: str
    transaction: Transaction
    due: float


@dataclasses.dataclass(frozen=True)
class Copy:
    time: float
    version: int
    rows: dict[tuple[str, str], Row]


class FaultyStore:
    def __init__(self, rng: random.Random):
        self.rng = rng
        self.rows: dict[tuple[str, str], Row] = {}
        self.version = 0
        self.era = 0
        self.now = 0.0
        self.late: list[LateWrite] = []
        self.copies = [Copy(0.0, 0, {})]
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
            self.apply(each.part, each.transaction)
        if self.now - self.copies[-1].time >= COPY_INTERVAL:
            self.copies.append(Copy(self.now, self.version, dict(self.rows)))

    def restore(self, age: float) -> None:
        """Come back from the newest copy that is at least `age` seconds old."""
        copies = [each for each in self.copies if each.time <= self.now - age]
        copy = (copies or self.copies[:1])[-1]
        self.rows, self.version = dict(copy.rows), copy.version
        self.copies = [each for each in self.copies if each.time <= copy.time]
        self.era += 1

    def commit(
        self, part: str, transaction: Transaction, is_disconnected: bool
    ) -> CommitOutcome:
        if is_disconnected:
            return Unavailable() if self.rng.random() < 0.5 else Unknown()
        if self.rng.random() < self.late_share:
            due = self.now + self.rng.uniform(0.1, 6.0)
            self.late.append(LateWrite(part, transaction, due))
            return Unknown()
        outcome = self.apply(part, transaction)
        if self.rng.random() < self.lost_share:
            return Unknown()
        return outcome

    def apply(self, part: str, transaction: Transaction) -> CommitOutcome:
        for check in transaction.checks:
            row = self.rows.get((part, check.key))
            if (row.version if row else ABSENT) != check.version:
                keys = [(part, each.key) for each in transaction.checks]
                rows = tuple(self.rows[k] for k in keys if k in self.rows)
                return Conflict(rows, self.era)
        self.version += 1
        for write in transaction.writes:
            match write:
                case Put(key, value):
                    self.rows[part, key] = Row(key, self.version, value)
                case Delete(key):
                    del self.rows[part, key]
        return Committed(self.version, self.era)

    def read(self, part: str, prefix: str) -> RowSnapshot:
        rows = sorted(
            (row for (name, _), row in self.rows.items() if name == part),
            key=lambda row: row.key,
        )
        found = tuple(row for row in rows if row.key.startswith(prefix))
        return RowSnapshot(found, self.version, self.era)

    def read_budget(self, organisation: str) -> Budget:
        """Return the budget by the shard rows of the latest era."""
        rows = self.read(organisation, "shard/").rows
        era = max((row.key.split("/")[1] for row in rows), default="")
        shards = {
            int(row.key.split("/")[2]): Shard(
                msgspec.json.decode(row.value, type=ShardRow), row.version
            )
            for row in rows
            if row.key.split("/")[1] == era
        }
        return Budget().with_shards(shards)


def renew(ledger, store, now=None, is_disconnected=False, names=None, attempts=8):
    """Renew the credit of organisations, by default of all; return the last outcome."""
    now = store.now if now is None else now
    outcome = None
    for name in names or ledger.list_organisations():
        for _ in range(attempts):
            part = ledger.get_organisation(name)
            if part.needs_rows(now):
                prefix = part.rows_prefix
                part.start_read(now)
                if is_disconnected:
                    break
                part.apply_rows(prefix, store.read(name, prefix), now)
            transaction = part.plan_transaction(now, store.time_ms)
            if transaction is None:
                break
            outcome = store.commit(name, transaction, is_disconnected)
            part.handle_outcome(outcome)
            if not isinstance(outcome, Conflict):
                break
    return outcome
