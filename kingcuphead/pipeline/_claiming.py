"""Filter: the claim of a call that must run at most once."""

import asyncio
import secrets
import time
from collections.abc import Awaitable, Callable
from typing import Any, Protocol

from expression import Error, Ok, Result

from kingcuphead.claims import (
    AnswerLost,
    ClaimRequest,
    Claims,
    HeldClaim,
    RecordedAnswer,
    fingerprint_request,
)
from kingcuphead.pipeline._stages import Admitted
from kingcuphead.verdict import Execution, Outcome, Verdict

#: Random bytes in the id of an attempt.
ATTEMPT_ENTROPY_BYTES = 16
#: Seconds that an answer waits for its claim to be closed in the table.
CLOSE_TIMEOUT = 1.0
#: Largest answer that is kept for a second try, in bytes.
MAX_RECORDED_BYTES = 256 * 1024


class Permit(Protocol):
    """The right to send a request to a target."""

    def start_dispatch(self) -> None:
        """Note, before the first byte is sent, that the request may run."""
        ...

    def cancel_dispatch(self) -> None:
        """Note that no byte of the request was sent."""
        ...


class FreePermit:
    """The permit of a request that may run any number of times."""

    def start_dispatch(self) -> None:
        """Nothing has to be noted."""

    def cancel_dispatch(self) -> None:
        """Nothing has to be noted."""


class ClaimedCalls:
    """Runs calls that must not be repeated.

    A call goes on when its caller hangs up, so that its outcome is recorded.

    Parameters
    ----------
    claims
        The claims in the table.
    instance
        Name of this daemon.
    """

    def __init__(self, claims: Claims, instance: str) -> None:
        self._claims = claims
        self._instance = instance
        self._tasks: set[asyncio.Task[Any]] = set()

    @property
    def unfinished(self) -> int:
        """Calls that run or whose outcome is being recorded."""
        return len(self._tasks) + self._claims.unfinished

    async def run(
        self,
        admitted: Admitted,
        operate: Callable[[Permit], Awaitable[Outcome[RecordedAnswer]]],
    ) -> Outcome[RecordedAnswer]:
        """Run a call, or replay the outcome of an earlier try.

        Parameters
        ----------
        admitted
            The call; it carries an idempotency key.
        operate
            Runs the call under a permit.
        """
        match await self._claims.claim(self._make_request(admitted)):
            case Result(tag="ok", ok=HeldClaim() as held):
                task = asyncio.create_task(self._operate(held, operate))
                self._tasks.add(task)
                task.add_done_callback(self._tasks.discard)
                return await asyncio.shield(task)
            case Result(tag="ok", ok=RecordedAnswer() as answer):
                return Ok(answer)
            case Result(error=verdict):
                return Error(verdict)
        raise AssertionError("a claim is held, replayed or refused")

    async def _operate(
        self,
        held: HeldClaim,
        operate: Callable[[Permit], Awaitable[Outcome[RecordedAnswer]]],
    ) -> Outcome[RecordedAnswer]:
        try:
            outcome = await operate(held)
        except Exception as error:
            # The call may have been sent; without this its claim would stay open.
            await self._claims.record(held, AnswerLost(type(error).__name__))
            raise
        closing = asyncio.ensure_future(self._close(held, outcome))
        self._tasks.add(closing)
        closing.add_done_callback(self._tasks.discard)
        await asyncio.wait((closing,), timeout=CLOSE_TIMEOUT)
        return outcome

    async def _close(self, held: HeldClaim, outcome: Outcome[RecordedAnswer]) -> None:
        match outcome:
            case Result(tag="ok", ok=answer):
                await self._claims.record(held, _bound(answer))
            case Result(error=Verdict(execution=Execution.NOT_RUN)):
                await self._claims.abandon(held)
            case Result(error=Verdict(execution=Execution.RAN)):
                await self._claims.record(held, RecordedAnswer(200, (), None))
            case Result(error=verdict):
                await self._claims.record(held, AnswerLost(verdict.detail))

    def _make_request(self, admitted: Admitted) -> ClaimRequest:
        received = admitted.received
        return ClaimRequest(
            organisation=admitted.identified.organisation.name,
            key=admitted.identified.headers.idempotency_key or "",
            fingerprint=fingerprint_request(
                received.method, received.path, received.body
            ),
            attempt=secrets.token_hex(ATTEMPT_ENTROPY_BYTES),
            request_id=received.request_id,
            instance=self._instance,
            claimed_at=time.time(),
        )


def _bound(answer: RecordedAnswer) -> RecordedAnswer:
    """Drop a body that is too large to be kept."""
    if answer.body is None or len(answer.body) <= MAX_RECORDED_BYTES:
        return answer
    return RecordedAnswer(answer.status, answer.headers, None)
