"""Runs claim state machines against the platform's table."""

import asyncio
import time
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any, TypeVar

from expression import Error, Ok, Result

from kingcuphead.claims._claim import Claim
from kingcuphead.claims._messages import (
    AnswerNotReceived,
    AnswerReceived,
    BackoffElapsed,
    BackoffRequested,
    ClaimClosed,
    ClaimGranted,
    ClaimRefused,
    ClaimReplayed,
    ClaimRequest,
    ClaimSettings,
    ClaimStarted,
    ClaimUnresolved,
    ClosingOutcome,
    CommitReplied,
    CommitRequested,
    Decision,
    DispatchFailed,
    DispatchStarted,
    Effect,
    IoEffect,
    Message,
    ReadReplied,
    ReadRequested,
    ReleaseRequested,
)
from kingcuphead.claims._refusals import refuse_unreachable
from kingcuphead.claims._rows import AnswerLost, RecordedAnswer
from kingcuphead.invariants import InvariantError
from kingcuphead.storage import Table
from kingcuphead.verdict import Verdict

T = TypeVar("T", Decision, ClosingOutcome)


class HeldClaim:
    """Permission to dispatch one call, returned by `Claims.claim`.

    Parameters
    ----------
    claim : Claim
        State machine of the attempt.
    clock : callable
        Returns the monotonic time in seconds.
    """

    def __init__(self, claim: Claim, clock: Callable[[], float]) -> None:
        #: State machine of the attempt that holds the claim.
        self.claim = claim
        self._clock = clock

    @property
    def request(self) -> ClaimRequest:
        """The call and the attempt that holds its claim."""
        return self.claim.request

    def start_dispatch(self) -> None:
        """Mark the call as possibly executed; required before its first byte is sent.

        Raises
        ------
        InvariantError
            If the call is already marked, or the claim is no longer held.
        """
        self.claim.receive(DispatchStarted(), self._clock())

    def cancel_dispatch(self) -> None:
        """Undo `start_dispatch` after no byte was sent, so that a retry is possible."""
        self.claim.receive(DispatchFailed(), self._clock())


class Claims:
    """Acquires claims of calls in the table and records the outcomes.

    Table operations run in separate tasks, so cancelling a method doesn't stop them:
    after a cancelled `claim`, a granted claim is released; a cancelled `record` or
    `abandon` still writes its outcome.

    Parameters
    ----------
    table : Table
        The platform's table.
    settings : ClaimSettings, optional
        Timeouts, retry delays and limits.
    clock : callable, optional
        Returns the monotonic time in seconds.
    sleep : callable, optional
        Coroutine function that waits for a number of seconds.
    """

    def __init__(
        self,
        table: Table,
        settings: ClaimSettings | None = None,
        clock: Callable[[], float] = time.monotonic,
        sleep: Callable[[float], Awaitable[None]] = asyncio.sleep,
    ) -> None:
        self._table = table
        self._settings = settings or ClaimSettings()
        self._clock = clock
        self._sleep = sleep
        self._acquisitions: set[asyncio.Task[Decision]] = set()
        self._closings: set[asyncio.Task[ClosingOutcome]] = set()

    @property
    def unfinished(self) -> int:
        """Number of claims with table operations in progress."""
        return len(self._acquisitions) + len(self._closings)

    async def claim(
        self, request: ClaimRequest
    ) -> Result[HeldClaim | RecordedAnswer, Verdict]:
        """Acquire the claim of a call.

        Parameters
        ----------
        request : ClaimRequest
            The call and this attempt.

        Returns
        -------
        Result
            Permission to dispatch the call, the answer recorded by an earlier
            attempt, or the verdict with which the call is refused.
        """
        if len(self._closings) >= self._settings.max_pending_closings:
            return Error(refuse_unreachable(self._settings))
        claim = Claim(request, self._settings)
        task = _track_task(self._acquisitions, self._acquire(claim))
        try:
            decision = await asyncio.shield(task)
        except asyncio.CancelledError:
            task.add_done_callback(lambda done: self._release_after_cancel(claim, done))
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
    ) -> ClosingOutcome:
        """Record the answer to a dispatched call, or that the answer was lost."""
        match answer:
            case RecordedAnswer():
                return await self._close_shielded(held.claim, AnswerReceived(answer))
            case AnswerLost(cause):
                return await self._close_shielded(held.claim, AnswerNotReceived(cause))

    async def abandon(self, held: HeldClaim) -> ClosingOutcome:
        """Release the claim of an undispatched call, so that a retry can claim it.

        Raises
        ------
        InvariantError
            If the call may have been dispatched.
        """
        return await self._close_shielded(held.claim, ReleaseRequested())

    async def wait_until_finished(self) -> None:
        """Wait until no table operation is in progress."""
        while tasks := self._acquisitions | self._closings:
            await asyncio.wait(tasks)

    async def _acquire(self, claim: Claim) -> Decision:
        message: Message = ClaimStarted()
        while True:
            match claim.receive(message, self._clock()):
                case (ClaimGranted() | ClaimReplayed() | ClaimRefused() as end, *rest):
                    self._start_undo(claim, rest)
                    return end
                case (
                    CommitRequested() | ReadRequested() | BackoffRequested() as effect,
                ):
                    message = await self._execute(effect)
                case effects:
                    raise InvariantError(
                        "a claim requests I/O or decides", effects=effects
                    )

    def _start_undo(self, claim: Claim, effects: list[Effect]) -> None:
        for effect in effects:
            _track_task(self._closings, self._run_closing(claim, effect))

    async def _close_shielded(self, claim: Claim, message: Message) -> ClosingOutcome:
        (effect,) = claim.receive(message, self._clock())
        return await asyncio.shield(
            _track_task(self._closings, self._run_closing(claim, effect))
        )

    async def _run_closing(self, claim: Claim, effect: Effect) -> ClosingOutcome:
        while True:
            match effect:
                case ClaimClosed() | ClaimUnresolved():
                    return effect
                case CommitRequested() | ReadRequested() | BackoffRequested():
                    message = await self._execute(effect)
                    (effect,) = claim.receive(message, self._clock())
                case _:
                    raise InvariantError(
                        "a closing claim requests I/O or ends", effect=effect
                    )

    async def _execute(self, effect: IoEffect) -> Message:
        match effect:
            case CommitRequested(transaction):
                return CommitReplied(await self._table.commit(transaction))
            case ReadRequested(keys):
                return ReadReplied(await self._table.read(keys))
            case BackoffRequested(seconds):
                await self._sleep(seconds)
                return BackoffElapsed()

    def _release_after_cancel(self, claim: Claim, done: asyncio.Task[Decision]) -> None:
        if done.cancelled() or done.exception() is not None:
            return
        if isinstance(done.result(), ClaimGranted):
            (effect,) = claim.receive(ReleaseRequested(), self._clock())
            _track_task(self._closings, self._run_closing(claim, effect))


def _track_task(
    tasks: set[asyncio.Task[T]], coroutine: Coroutine[Any, Any, T]
) -> asyncio.Task[T]:
    # The event loop keeps only weak references; without this set a running task
    # could be garbage-collected.
    task = asyncio.ensure_future(coroutine)
    tasks.add(task)
    task.add_done_callback(tasks.discard)
    return task
