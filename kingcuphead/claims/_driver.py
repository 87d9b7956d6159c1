"""Runs claims against a table."""

import asyncio
import time
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any, TypeVar

from expression import Error, Ok, Result

from kingcuphead.claims._claim import Claim
from kingcuphead.claims._messages import (
    AnswerMissed,
    AnswerObserved,
    ClaimClosed,
    ClaimGranted,
    ClaimRefused,
    ClaimReplayed,
    ClaimRequest,
    ClaimSettings,
    ClaimStarted,
    ClaimUnresolved,
    CommitAnswered,
    CommitRequested,
    Decision,
    DispatchFailed,
    DispatchStarted,
    Effect,
    Ending,
    Message,
    PauseEnded,
    PauseRequested,
    Query,
    ReadAnswered,
    ReadRequested,
    ReleaseRequested,
)
from kingcuphead.claims._refusals import refuse_unreachable
from kingcuphead.claims._rows import AnswerLost, RecordedAnswer
from kingcuphead.invariants import InvariantError
from kingcuphead.storage import Table
from kingcuphead.verdict import Verdict

T = TypeVar("T", Decision, Ending)


class HeldClaim:
    """The right to dispatch one call, from `Claims.claim`.

    Parameters
    ----------
    claim : Claim
        Machine that holds the claim.
    clock : callable
        Returns the monotonic time in seconds.
    """

    def __init__(self, claim: Claim, clock: Callable[[], float]) -> None:
        #: Machine that holds the claim.
        self.claim = claim
        self._clock = clock

    @property
    def request(self) -> ClaimRequest:
        """The call and the attempt."""
        return self.claim.request

    def start_dispatch(self) -> None:
        """Note, before the first byte is sent, that the call may run.

        Raises
        ------
        InvariantError
            If the call was dispatched before, or the claim is no longer held.
        """
        self.claim.receive(DispatchStarted(), self._clock())

    def cancel_dispatch(self) -> None:
        """Note that no byte of the call was sent, so that it can be sent again."""
        self.claim.receive(DispatchFailed(), self._clock())


class Claims:
    """Claims calls in the table and writes down what became of them.

    A claim goes on by itself where its caller stops waiting: a cancelled
    `claim` is released, a cancelled `record` is still recorded.

    Parameters
    ----------
    table : Table
        The platform's table.
    settings : ClaimSettings, optional
        Times of claims.
    clock : callable, optional
        Returns the monotonic time in seconds.
    pause : callable, optional
        Waits for a number of seconds.
    """

    def __init__(
        self,
        table: Table,
        settings: ClaimSettings | None = None,
        clock: Callable[[], float] = time.monotonic,
        pause: Callable[[float], Awaitable[None]] = asyncio.sleep,
    ) -> None:
        self._table = table
        self._settings = settings or ClaimSettings()
        self._clock = clock
        self._pause = pause
        self._decisions: set[asyncio.Task[Decision]] = set()
        self._closings: set[asyncio.Task[Ending]] = set()

    @property
    def unfinished(self) -> int:
        """Number of claims that the table is still being asked about."""
        return len(self._decisions) + len(self._closings)

    async def claim(
        self, request: ClaimRequest
    ) -> Result[HeldClaim | RecordedAnswer, Verdict]:
        """Claim a call.

        Parameters
        ----------
        request : ClaimRequest
            The call and the attempt.

        Returns
        -------
        Result
            The right to dispatch, the answer recorded by an earlier attempt, or
            the verdict of a call that this attempt doesn't dispatch.
        """
        if len(self._closings) >= self._settings.max_closings:
            return Error(refuse_unreachable(self._settings))
        claim = Claim(request, self._settings)
        task = _keep(self._decisions, self._decide(claim))
        try:
            decision = await asyncio.shield(task)
        except asyncio.CancelledError:
            task.add_done_callback(lambda done: self._release_late(claim, done))
            raise
        match decision:
            case ClaimGranted():
                return Ok(HeldClaim(claim, self._clock))
            case ClaimReplayed(answer):
                return Ok(answer)
            case ClaimRefused(verdict):
                return Error(verdict)

    async def record(
        self, held: HeldClaim, answer: RecordedAnswer | AnswerLost
    ) -> Ending:
        """Write down the answer to a dispatched call, or that it was lost."""
        match answer:
            case RecordedAnswer():
                return await self._finish(held.claim, AnswerObserved(answer))
            case AnswerLost(cause):
                return await self._finish(held.claim, AnswerMissed(cause))

    async def abandon(self, held: HeldClaim) -> Ending:
        """Release a call that wasn't dispatched, for another attempt to claim.

        Raises
        ------
        InvariantError
            If the call may have been dispatched.
        """
        return await self._finish(held.claim, ReleaseRequested())

    async def wait_until_finished(self) -> None:
        """Wait until every claim is decided and every outcome written."""
        while tasks := self._decisions | self._closings:
            await asyncio.wait(tasks)

    async def _decide(self, claim: Claim) -> Decision:
        message: Message = ClaimStarted()
        while True:
            match claim.receive(message, self._clock()):
                case (ClaimGranted() | ClaimReplayed() | ClaimRefused() as end, *rest):
                    self._undo(claim, rest)
                    return end
                case (CommitRequested() | ReadRequested() | PauseRequested() as query,):
                    message = await self._ask(query)
                case effects:
                    raise InvariantError("a claim asks or decides", effects=effects)

    def _undo(self, claim: Claim, queries: list[Effect]) -> None:
        for query in queries:
            _keep(self._closings, self._close(claim, query))

    async def _finish(self, claim: Claim, message: Message) -> Ending:
        (effect,) = claim.receive(message, self._clock())
        return await asyncio.shield(_keep(self._closings, self._close(claim, effect)))

    async def _close(self, claim: Claim, effect: Effect) -> Ending:
        while True:
            match effect:
                case ClaimClosed() | ClaimUnresolved():
                    return effect
                case CommitRequested() | ReadRequested() | PauseRequested():
                    message = await self._ask(effect)
                    (effect,) = claim.receive(message, self._clock())
                case _:
                    raise InvariantError("a closing claim asks or ends", effect=effect)

    async def _ask(self, query: Query) -> Message:
        match query:
            case CommitRequested(transaction):
                return CommitAnswered(await self._table.commit(transaction))
            case ReadRequested(keys):
                return ReadAnswered(await self._table.read(keys))
            case PauseRequested(seconds):
                await self._pause(seconds)
                return PauseEnded()

    def _release_late(self, claim: Claim, done: asyncio.Task[Decision]) -> None:
        if done.cancelled() or done.exception() is not None:
            return
        if isinstance(done.result(), ClaimGranted):
            (effect,) = claim.receive(ReleaseRequested(), self._clock())
            _keep(self._closings, self._close(claim, effect))


def _keep(tasks: set[asyncio.Task[T]], work: Coroutine[Any, Any, T]) -> asyncio.Task[T]:
    # The event loop itself holds tasks by weak references only.
    task = asyncio.ensure_future(work)
    tasks.add(task)
    task.add_done_callback(tasks.discard)
    return task
