"""Rows of the platform's table that store budgets and bills, and their invariants."""

import dataclasses
import hashlib
from collections.abc import Iterable, Mapping

import msgspec

from kingcuphead.invariants import ensure

#: Key of the row that fixes the number of shards.
LAYOUT_KEY = "layout"


@dataclasses.dataclass(frozen=True, slots=True)
class Layout:
    """Partition of budgets into shards, fixed when the table is initialised."""

    #: Number of shards.
    shards: int


@dataclasses.dataclass(frozen=True, slots=True)
class GrantState:
    """Authority to spend that one incarnation of a daemon holds."""

    #: Name of the instance that holds the grant.
    holder: str
    #: Tokens that may still be billed against the grant.
    amount: int


@dataclasses.dataclass(frozen=True, slots=True)
class BudgetState:
    """Durable state of one budget, in tokens."""

    #: Prepaid tokens.
    limit: int
    #: Sum of all committed bills.
    settled: int = 0
    #: Open grants by grant id.
    grants: Mapping[str, GrantState] = dataclasses.field(default_factory=dict)

    def __post_init__(self) -> None:
        """Check that settled and granted tokens do not exceed the limit."""
        amounts = [grant.amount for grant in self.grants.values()]
        ensure(
            all(amount > 0 for amount in amounts) and self.settled >= 0,
            "amounts are positive",
            settled=self.settled,
            grants=dict(self.grants),
        )
        ensure(
            self.settled + sum(amounts) <= self.limit,
            "settled and granted tokens stay within the limit",
            limit=self.limit,
            settled=self.settled,
            grants=dict(self.grants),
        )

    @property
    def unallocated(self) -> int:
        """Tokens that are neither settled nor granted."""
        return self.limit - self.settled - self.granted

    @property
    def granted(self) -> int:
        """Sum of the open grants, in tokens."""
        return sum(grant.amount for grant in self.grants.values())

    def get_grant(self, grant_id: str) -> int:
        """Return the amount of a grant, 0 if it is not open."""
        grant = self.grants.get(grant_id)
        return grant.amount if grant else 0

    def with_grant(self, grant_id: str, holder: str, amount: int) -> "BudgetState":
        """Return a copy in which the grant has this amount; 0 closes it."""
        grants = {name: g for name, g in self.grants.items() if name != grant_id}
        if amount:
            grants[grant_id] = GrantState(holder, amount)
        return dataclasses.replace(self, grants=grants)

    def with_bill(self, grant_id: str, tokens: int) -> "BudgetState":
        """Return a copy in which a bill moved tokens from its grant to `settled`."""
        grant = self.grants.get(grant_id)
        if not tokens:
            return self
        ensure(
            grant is not None and tokens <= grant.amount,
            "a bill is covered by its grant",
            grant_id=grant_id,
            tokens=tokens,
            grant=grant,
        )
        holder = self.grants[grant_id].holder
        remaining = self.grants[grant_id].amount - tokens
        # The grant shrinks first, so that no intermediate state exceeds the limit.
        shrunk = self.with_grant(grant_id, holder, remaining)
        return dataclasses.replace(shrunk, settled=self.settled + tokens)


@dataclasses.dataclass(frozen=True, slots=True)
class ShardRow:
    """State of all budgets of a shard.

    Every write is conditional on the version of the row.
    """

    #: Number of the last bill page, 0 before the first.
    page: int = 0
    #: Budgets by name.
    budgets: Mapping[str, BudgetState] = dataclasses.field(default_factory=dict)

    def with_budget(self, name: str, budget: BudgetState) -> "ShardRow":
        """Return a copy in which one budget is replaced."""
        return dataclasses.replace(self, budgets={**self.budgets, name: budget})


@dataclasses.dataclass(frozen=True, slots=True)
class Bill:
    """Cost of one request; exactly one bill is committed for each request."""

    #: Unique for each settlement, even if two daemons settle the same request.
    bill_id: str
    #: Identifies the request across retries; scoped by organisation.
    request_id: str
    #: Name of the budget that is charged.
    budget: str
    #: Organisation that sent the request.
    organisation: str
    #: Incarnation that made the hold, as "instance/incarnation".
    borrower: str
    #: Id of the grant that covers the bill.
    grant_id: str
    #: Tokens charged.
    tokens: int
    #: Tokens of the prompt, as reported by the engine.
    prompt_tokens: int = 0
    #: Tokens generated, as reported by the engine.
    completion_tokens: int = 0
    #: Whether the engine reported the usage; otherwise the upper bound is charged.
    measured: bool = True
    #: Seconds since the epoch at which the request was settled.
    settled_at: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class BillPage:
    """Bills that were committed together with one version of the shard row."""

    #: Unique id of the flush that wrote the page.
    attempt: str
    #: Committed bills, at most one for each request id.
    bills: tuple[Bill, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class TopUp:
    """Record of a top-up, which makes a repetition of it idempotent."""

    #: Tokens that were added to the limit.
    tokens: int


def compute_shard(budget: str, shards: int) -> int:
    """Return the shard of a budget, which is the same in all processes and releases."""
    digest = hashlib.blake2b(budget.encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big") % shards


def build_shard_key(shard: int) -> str:
    """Return the key of a shard row."""
    return f"shard/{shard:04d}"


def build_page_prefix(shard: int) -> str:
    """Return the prefix of all bill pages of a shard."""
    return f"bills/{shard:04d}/"


def build_page_key(shard: int, page: int) -> str:
    """Return the key of a bill page; keys sort by page number."""
    return f"{build_page_prefix(shard)}{page:012d}"


def build_page_keys(shard: int, pages: Iterable[int]) -> tuple[str, ...]:
    """Return the keys of several bill pages."""
    return tuple(build_page_key(shard, page) for page in pages)


def parse_page_number(key: str) -> int:
    """Return the page number in the key of a bill page."""
    return int(key.rpartition("/")[2])


def build_topup_key(budget: str, topup_id: str) -> str:
    """Return the key of a top-up record."""
    return f"topup/{budget}/{topup_id}"


def encode(value: Layout | ShardRow | BillPage | TopUp) -> bytes:
    """Encode the value of a row."""
    return msgspec.json.encode(value)


def decode_shard(value: bytes) -> ShardRow:
    """Decode a shard row and check its invariants."""
    return msgspec.json.decode(value, type=ShardRow)


def decode_page(value: bytes) -> BillPage:
    """Decode a bill page."""
    return msgspec.json.decode(value, type=BillPage)


def decode_layout(value: bytes) -> Layout:
    """Decode the layout row."""
    return msgspec.json.decode(value, type=Layout)
