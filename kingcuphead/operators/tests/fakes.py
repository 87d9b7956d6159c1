"""Backend on an in-memory table, for tests of the API and of the tool."""

import asyncio
import time
from collections.abc import Sequence

from expression import Ok, Result

from kingcuphead.configuration import ConfigurationTask, Watcher, WatchPolicy
from kingcuphead.operators import (
    ClaimView,
    Explanation,
    OperatorBackend,
    OperatorFault,
    PeerView,
    QuarantineView,
    ReadyView,
    RevisionView,
    TableBudgets,
    TableRecords,
    TargetView,
)
from kingcuphead.storage import (
    CommitOutcome,
    Instance,
    InstanceState,
    MemoryTable,
    PlatformFault,
    Row,
    ScanPage,
    Transaction,
    Unknown,
)

TOKEN = "a token"
SHARDS = 4


class ReplyLosingTable:
    """In-memory table that can lose the replies to committed transactions."""

    def __init__(self) -> None:
        self.inner = MemoryTable()
        #: Number of next commits whose replies are lost after they took effect.
        self.replies_to_lose = 0

    async def commit(self, transaction: Transaction) -> CommitOutcome:
        outcome = self.inner.commit_now(transaction)
        if self.replies_to_lose:
            self.replies_to_lose -= 1
            return Unknown()
        return outcome

    async def read(self, keys: Sequence[str]) -> Result[tuple[Row, ...], PlatformFault]:
        return await self.inner.read(keys)

    async def scan(
        self, prefix: str, after: str | None = None, limit: int = 500
    ) -> Result[ScanPage, PlatformFault]:
        return await self.inner.scan(prefix, after, limit)


class NoPeers:
    """Peer messaging of a daemon that has no peers."""

    def send(self, instance: str, message: object) -> None: ...

    def announce(self, revision: int) -> None: ...


class EmptySurrenderCollector:
    """Surrender collector of a fleet with no other daemon."""

    async def collect(
        self, budget: str, grant_id: str, timeout: float
    ) -> frozenset[str]:
        return frozenset()


class FakeStateBackend:
    """`StateBackend` with one example of each view.

    It has one peer, target, quarantined request, explained request and claim.
    """

    def __init__(self) -> None:
        self.ready = True
        self.quarantined = ["f1"]

    async def describe_revision(self) -> RevisionView:
        peers = (PeerView("d2", "z2", 6),)
        return RevisionView("d1", 7, "fresh", 0.5, 2, peers)

    async def list_targets(self) -> tuple[TargetView, ...]:
        return (TargetView("t", "s", "10.0.0.1:80", "live", 2, 8),)

    async def list_quarantined(self) -> tuple[QuarantineView, ...]:
        return tuple(QuarantineView(each, ("t",), 60.0) for each in self.quarantined)

    async def release_quarantined(self, fingerprint: str) -> bool:
        if fingerprint not in self.quarantined:
            return False
        self.quarantined.remove(fingerprint)
        return True

    async def explain(self, request_id: str) -> tuple[Explanation, ...]:
        if request_id != "r1":
            return ()
        message = "budget b is exhausted (not run)"
        return (
            Explanation(
                request_id,
                "d1",
                "o",
                "c",
                "not_run",
                "budget_exhausted",
                message,
                {"hold": 0.01},
            ),
        )

    async def list_claims(
        self, organisation: str
    ) -> Result[tuple[ClaimView, ...], OperatorFault]:
        return Ok((ClaimView(organisation, "order-1", "held", "r1", "d1", 0.0),))

    def check_ready(self) -> ReadyView:
        reasons = () if self.ready else ("shutting down",)
        return ReadyView(self.ready, "fresh", reasons)

    async def render_metrics(self) -> bytes:
        return b"requests_total 1\n"


class BackendHarness:
    """An `OperatorBackend` with access to its table, state and instance list."""

    def __init__(self) -> None:
        self.table = ReplyLosingTable()
        self.state = FakeStateBackend()
        self.task = ConfigurationTask(
            Watcher("d1", WatchPolicy()),
            self.table,
            NoPeers(),
            time.monotonic,
            lambda notice: None,
        )
        self.instances = [Instance("gone", "k", "z", "a", InstanceState.TERMINATED)]
        budgets = TableBudgets(
            self.table, SHARDS, lambda: self.instances, EmptySurrenderCollector()
        )
        records = TableRecords(self.task, self.table)
        self.backend = OperatorBackend(records, budgets, self.state)
        self._running: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Start the configuration task; requires a running event loop."""
        self._running = asyncio.ensure_future(self.task.run())

    async def stop(self) -> None:
        """Cancel the configuration task and wait until it has ended."""
        if self._running is not None:
            self._running.cancel()
            await asyncio.gather(self._running, return_exceptions=True)
