"""Runs attempts of one request at the same time, of which one wins."""

import asyncio
import enum
from collections.abc import Callable
from typing import Any

from kingcuphead.dispatch import (
    AttemptResult,
    HedgingPolicy,
    Placement,
    RequestClass,
)
from kingcuphead.forwarding._attempt import (
    Answered,
    AttemptEnd,
    AttemptFailed,
    StreamDelivered,
    classify_end,
)
from kingcuphead.forwarding._attempt_driver import AttemptDriver
from kingcuphead.forwarding._context import RequestContext
from kingcuphead.forwarding._memory import MemoryReservation
from kingcuphead.forwarding._stream import AnswerStream
from kingcuphead.routing import RequestKind
from kingcuphead.timing import get_time
from kingcuphead.verdict import Execution


class AttemptRace:
    """The attempts of one request that run at the same time.

    The first attempt that sends an event or ends with a usable answer wins.

    Parameters
    ----------
    attempts
        Sends requests to chosen targets.
    policy
        Measures the attempts.
    context
        Request, which keeps what the attempts show.
    reservation
        Counts the bytes held for the request.
    stream
        Receives the events; None for an answer that is returned when complete.
    withdraw
        Gives up the choice of a target to which nothing was sent.
    """

    def __init__(
        self,
        attempts: AttemptDriver,
        policy: HedgingPolicy,
        context: RequestContext,
        reservation: MemoryReservation,
        stream: AnswerStream | None,
        withdraw: Callable[[Placement], None],
    ) -> None:
        self._attempts = attempts
        self._policy = policy
        self._context = context
        self._reservation = reservation
        self._stream = stream
        self._withdraw = withdraw
        self._tasks: list[asyncio.Task[AttemptEnd]] = []
        # Attempts whose tasks haven't run yet; one that is cancelled before never does.
        self._unstarted: dict[asyncio.Task[Any], Placement] = {}
        self._second: asyncio.Task[AttemptEnd] | None = None
        #: Task of the attempt that has sent an event; None before.
        self._sender: asyncio.Task[Any] | None = None
        #: Class of the request, by which attempts are measured.
        self.request_class = _classify(context)

    @property
    def is_decided(self) -> bool:
        """Whether an attempt has ended or has sent an event."""
        return self._sender is not None or any(task.done() for task in self._tasks)

    def start(self, placement: Placement, is_second: bool = False) -> None:
        """Start an attempt at a target."""
        task = asyncio.create_task(self.run_attempt(placement))
        self._tasks.append(task)
        self._unstarted[task] = placement
        if is_second:
            self._second = task

    async def run_attempt(self, placement: Placement) -> AttemptEnd:
        """Run an attempt at a target and measure it."""
        task = asyncio.current_task()
        if task is not None:
            self._unstarted.pop(task, None)
        timing = _AttemptTiming(
            self._policy, self.request_class, placement.target.name, get_time()
        )

        def handle_first_event() -> None:
            timing.record(AttemptResult.ANSWERED)
            self._end_others(task)

        result = AttemptResult.CANCELLED
        try:
            end = await self._attempts.run(
                self._context,
                placement,
                self._reservation,
                self._stream,
                handle_first_event,
            )
            result = classify_end(end)
            return end
        finally:
            timing.record(result)

    async def wait_until_decided(self, timeout: float) -> bool:
        """Wait for the end of an attempt; return whether the race is decided then.

        A first event doesn't end the wait.
        """
        await asyncio.wait(
            self._tasks, timeout=timeout, return_when=asyncio.FIRST_COMPLETED
        )
        return self.is_decided

    async def wait(self) -> AttemptEnd:
        """Return the end of the winner; without one, the end that tells most."""
        running = set(self._tasks)
        while running:
            _, running = await asyncio.wait(
                running, return_when=asyncio.FIRST_COMPLETED
            )
            winner = self._find_winner()
            if winner is not None:
                if self._sender is None:
                    self._record_winner(winner, has_loser=bool(running))
                return self._use(winner)
        return self._use(max(self._tasks, key=lambda task: _rank_end(task.result())))

    async def cancel(self) -> None:
        """End the attempts that still run; their connections are closed."""
        if self._stream is not None:
            # An event that arrives before a task handles its cancellation is dropped.
            self._stream.close_attempts()
        running = [task for task in self._tasks if not task.done()]
        for task in running:
            task.cancel()
        # Not after the wait, which another cancellation of the request would end.
        for placement in self._unstarted.values():
            self._withdraw(placement)
        if running:
            await asyncio.wait(running)
        for task in self._tasks:
            if not task.cancelled():
                # Marks an error as seen; the request ends with that of the other one.
                task.exception()

    def _end_others(self, sender: asyncio.Task[Any] | None) -> None:
        """Cancel the other attempts after the first event of one."""
        self._sender = sender
        others = [each for each in self._tasks if each is not sender]
        running = [each for each in others if not each.done()]
        if others:
            self._record_winner(sender, has_loser=bool(running))
        for task in running:
            task.cancel()

    def _find_winner(self) -> asyncio.Task[AttemptEnd] | None:
        """Return the attempt that has won, once it has ended; None before."""
        for task in self._tasks:
            if not task.done():
                continue
            if task is self._sender:
                return task
            if self._sender is None and _is_usable(task.result()):
                return task
        return None

    def _record_winner(self, winner: asyncio.Task[Any] | None, has_loser: bool) -> None:
        hedge = self._context.hedge
        if hedge is None or self._second is None:
            return
        hedge.is_won = winner is self._second
        hedge.is_cancelled = has_loser

    def _use(self, used: asyncio.Task[AttemptEnd]) -> AttemptEnd:
        """Return an end, and give back the bytes of answers that aren't used."""
        for task in self._tasks:
            if task is used or not task.done() or task.cancelled():
                continue
            match task.result() if task.exception() is None else None:
                case Answered(body=body):
                    self._reservation.release_request_bytes(len(body))
        return used.result()


class _EndRank(enum.IntEnum):
    """How much an unusable end of an attempt tells; the highest rank tells most."""

    #: The target has not run the request.
    NOT_RUN = 0
    #: The target may have run the request.
    MAY_HAVE_RUN = 1
    #: The target sent nothing in time. A retry has been counted for it, which is used.
    SILENT = 2
    #: The target answered.
    ANSWERED = 3


class _AttemptTiming:
    """Records once how long an attempt took to its first event or its end.

    Parameters
    ----------
    policy
        Keeps the measurement.
    request_class
        Class of the request.
    target
        Name of the target.
    started_at
        Start of the attempt in seconds of the event loop's clock.
    """

    def __init__(
        self,
        policy: HedgingPolicy,
        request_class: RequestClass,
        target: str,
        started_at: float,
    ) -> None:
        self._policy = policy
        self._request_class = request_class
        self._target = target
        self._started_at = started_at
        self._is_recorded = False

    def record(self, result: AttemptResult) -> None:
        """Record the time until now; later calls do nothing."""
        if self._is_recorded:
            return
        self._is_recorded = True
        now = get_time()
        self._policy.record_end(
            self._request_class, self._target, result, now - self._started_at, now
        )


def _classify(context: RequestContext) -> RequestClass:
    """Return the class of a request, by what its first answer takes time for."""
    kind = context.route.kind
    size = context.request.size
    if size is None:
        amount = len(context.request.body)
    elif kind is RequestKind.STREAM:
        amount = size.prompt_tokens
    else:
        amount = size.prompt_tokens + size.output_tokens
    return RequestClass(context.service, kind.value, amount.bit_length())


def _is_usable(end: AttemptEnd) -> bool:
    return classify_end(end) is AttemptResult.ANSWERED


def _rank_end(end: AttemptEnd) -> _EndRank:
    match end:
        case Answered() | StreamDelivered():
            return _EndRank.ANSWERED
        case AttemptFailed(result=AttemptResult.SILENT):
            return _EndRank.SILENT
        case AttemptFailed(execution=Execution.MAY_HAVE_RUN):
            return _EndRank.MAY_HAVE_RUN
        case AttemptFailed():
            return _EndRank.NOT_RUN
