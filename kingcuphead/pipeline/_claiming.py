"""Claim stage: runs calls with an idempotency key at most once."""

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

#: Number of random bytes in the id of an attempt.
ATTEMPT_ENTROPY_BYTES = 16
#: Maximum time in seconds that a response waits until its claim is closed in the
#: table.
CLAIM_CLOSE_TIMEOUT = 1.0
#: Maximum size of a response body that is recorded for replays, in bytes.
MAX_RECORDED_BYTES = 256 * 1024


class Permit(Protocol):
    """Permission to send a request to a target."""

    def start_dispatch(self) -> None:
        """Record, before the first byte is sent, that the request may run."""
        ...

    def cancel_dispatch(self) -> None:
        """Record that no byte of the request was sent."""
        ...


class UnrestrictedPermit:
    """Permit of a request without a claim, which may run several times."""

    def start_dispatch(self) -> None:
        """Do nothing, as there is no claim."""

    def cancel_dispatch(self) -> None:
        """Do nothing, as there is no claim."""


class ClaimedCalls:
    """Runs calls under claims, so that each runs at most once.

    A call continues after its caller disconnects, so that its outcome is recorded.

    Parameters
    ----------
    claims
        Claims in the platform's table.
    instance
        Name of this daemon.
    """

    def __init__(self, claims: Claims, instance: str) -> None:
        self._claims = claims
        self._instance = instance
        self._tasks: set[asyncio.Task[Any]] = set()

    @property
    def unfinished(self) -> int:
        """Number of calls in progress or whose outcome is being recorded."""
        return len(self._tasks) + self._claims.unfinished

    async def run(
        self,
        admitted: Admitted,
        execute: Callable[[Permit], Awaitable[Outcome[RecordedAnswer]]],
    ) -> Outcome[RecordedAnswer]:
        """Run a call, or return the recorded outcome of an earlier attempt.

        Parameters
        ----------
        admitted
            The call, which has an idempotency key.
        execute
            Runs the call under the given permit.
        """
        match await self._claims.claim(self._make_request(admitted)):
            case Result(tag="ok", ok=HeldClaim() as held):
                task = asyncio.create_task(self._execute_claimed(held, execute))
                self._tasks.add(task)
                task.add_done_callback(self._tasks.discard)
                return await asyncio.shield(task)
            case Result(tag="ok", ok=RecordedAnswer() as answer):
                return Ok(answer)
            case Result(error=verdict):
                return Error(verdict)
        raise AssertionError("a claim is neither held nor recorded nor refused")

    async def _execute_claimed(
        self,
        held: HeldClaim,
        execute: Callable[[Permit], Awaitable[Outcome[RecordedAnswer]]],
    ) -> Outcome[RecordedAnswer]:
        try:
            outcome = await execute(held)
        except Exception as error:
            # The call may have run; without this record its claim would stay open.
            await self._claims.record(held, AnswerLost(type(error).__name__))
            raise
        closing = asyncio.ensure_future(self._close(held, outcome))
        self._tasks.add(closing)
        closing.add_done_callback(self._tasks.discard)
        await asyncio.wait((closing,), timeout=CLAIM_CLOSE_TIMEOUT)
        return outcome

    async def _close(self, held: HeldClaim, outcome: Outcome[RecordedAnswer]) -> None:
        match outcome:
            case Result(tag="ok", ok=answer):
                await self._claims.record(held, _drop_oversized_body(answer))
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


def _drop_oversized_body(answer: RecordedAnswer) -> RecordedAnswer:
    """Return the response without its body if that is too large to record."""
    if answer.body is None or len(answer.body) <= MAX_RECORDED_BYTES:
        return answer
    return RecordedAnswer(answer.status, answer.headers, None)
