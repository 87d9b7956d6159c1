import asyncio
from collections.abc import Sequence

import pytest
from expression import Result

from kingcuphead.claims import (
    AnswerLost,
    ClaimClosed,
    Claims,
    HeldClaim,
    InvariantError,
)
from kingcuphead.claims.tests._calls import ANSWER, SETTINGS, make_request
from kingcuphead.storage import (
    CommitOutcome,
    MemoryTable,
    PlatformFault,
    Row,
    TableCounts,
    Transaction,
    Unavailable,
    Unknown,
)
from kingcuphead.verdict import Execution, Reason


class FaultyTable(MemoryTable):
    """Table that loses the next replies to commits, then refuses the next commits."""

    def __init__(self, lost_replies: int = 0, refused_commits: int = 0) -> None:
        super().__init__()
        self.lost_replies = lost_replies
        self.refused_commits = refused_commits

    async def commit(self, transaction: Transaction) -> CommitOutcome:
        await asyncio.sleep(0)
        if self.lost_replies > 0:
            self.lost_replies -= 1
            self.commit_now(transaction)
            return Unknown()
        if self.refused_commits > 0:
            self.refused_commits -= 1
            return Unavailable()
        return self.commit_now(transaction)

    async def read(self, keys: Sequence[str]) -> Result[tuple[Row, ...], PlatformFault]:
        await asyncio.sleep(0)
        return await super().read(keys)


def make_claims(table: MemoryTable) -> Claims:
    return Claims(table, SETTINGS, sleep=lambda _: asyncio.sleep(0))


async def acquire_claim(claims: Claims, attempt: str = "a-1") -> HeldClaim:
    held = (await claims.claim(make_request(attempt))).ok
    assert isinstance(held, HeldClaim)
    return held


class TestClaims:
    @pytest.mark.parametrize("lost_replies", [0, 1])
    def test_retry_gets_the_recorded_answer(self, lost_replies):
        async def run() -> None:
            claims = make_claims(FaultyTable(lost_replies))
            held = await acquire_claim(claims)
            held.start_dispatch()
            assert await claims.record(held, ANSWER) == ClaimClosed()
            assert (await claims.claim(make_request("a-2"))).ok == ANSWER

        asyncio.run(run())

    def test_call_with_a_lost_answer_may_have_run(self):
        async def run() -> None:
            claims = make_claims(FaultyTable())
            held = await acquire_claim(claims)
            held.start_dispatch()
            await claims.record(held, AnswerLost("reset"))
            verdict = (await claims.claim(make_request("a-2"))).error
            assert verdict.execution is Execution.MAY_HAVE_RUN

        asyncio.run(run())

    def test_abandoned_call_can_be_claimed_again(self):
        async def run() -> None:
            claims = make_claims(FaultyTable())
            held = await acquire_claim(claims)
            held.start_dispatch()
            held.cancel_dispatch()
            assert await claims.abandon(held) == ClaimClosed()
            await acquire_claim(claims, "a-2")

        asyncio.run(run())

    def test_dispatched_call_cannot_be_abandoned(self):
        async def run() -> None:
            claims = make_claims(FaultyTable())
            held = await acquire_claim(claims)
            held.start_dispatch()
            with pytest.raises(InvariantError):
                await claims.abandon(held)

        asyncio.run(run())

    def test_outage_refuses_the_call_without_a_delay(self):
        async def run() -> None:
            claims = make_claims(FaultyTable(refused_commits=1))
            verdict = (await claims.claim(make_request())).error
            assert verdict.reason is Reason.PLATFORM_UNAVAILABLE
            assert claims.unfinished == 0

        asyncio.run(run())

    def test_call_costs_two_writes_and_no_read(self):
        async def run() -> None:
            table = MemoryTable()
            claims = make_claims(table)
            held = await acquire_claim(claims)
            held.start_dispatch()
            await claims.record(held, ANSWER)
            assert table.counts == TableCounts(commits=2, rows_written=2)

        asyncio.run(run())

    def test_number_of_pending_releases_is_bounded(self):
        async def run() -> None:
            table = FaultyTable()
            claims = Claims(table, SETTINGS.with_changes(max_pending_closings=1))
            held = await acquire_claim(claims)
            table.refused_commits = 1000
            releasing = asyncio.ensure_future(claims.abandon(held))
            await asyncio.sleep(0)
            verdict = (await claims.claim(make_request("a-2"))).error
            assert verdict.execution is Execution.NOT_RUN
            table.refused_commits = 0
            assert await releasing == ClaimClosed()
            await acquire_claim(claims, "a-3")

        asyncio.run(run())

    def test_cancelled_claim_is_released(self):
        async def run() -> None:
            claims = make_claims(FaultyTable())
            waiting = asyncio.ensure_future(claims.claim(make_request()))
            await asyncio.sleep(0)
            waiting.cancel()
            await asyncio.gather(waiting, return_exceptions=True)
            await claims.wait_until_finished()
            await acquire_claim(claims, "a-2")

        asyncio.run(run())

    def test_cancelled_record_is_written(self):
        async def run() -> None:
            claims = make_claims(FaultyTable(refused_commits=0))
            held = await acquire_claim(claims)
            held.start_dispatch()
            recording = asyncio.ensure_future(claims.record(held, ANSWER))
            await asyncio.sleep(0)
            recording.cancel()
            await claims.wait_until_finished()
            assert (await claims.claim(make_request("a-2"))).ok == ANSWER

        asyncio.run(run())
