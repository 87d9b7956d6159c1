"""Filter: the end of a hold, reached exactly once on every path."""

import asyncio
from collections.abc import Coroutine
from typing import Any

from expression import Error, Ok

from kingcuphead.api import Usage
from kingcuphead.pipeline._ports import Holds
from kingcuphead.verdict import Execution, Outcome, Reason, Verdict

#: Seconds that an answer's end waits for its bill to be safe.
BILL_TIMEOUT = 15.0


class Settlements:
    """Bills that are on their way to safety.

    A settlement goes on when the caller hangs up: the work has been done.

    Parameters
    ----------
    holds
        Credit and bills.
    """

    def __init__(self, holds: Holds) -> None:
        self._holds = holds
        self._tasks: set[asyncio.Task[None]] = set()

    def release(self, hold_id: str) -> None:
        """Give a hold back whole: nothing of the request can have run."""
        self._holds.release(hold_id)

    def start(
        self, hold_id: str, usage: Usage | None, bound: int
    ) -> asyncio.Task[None]:
        """Bill a request; without a usage its upper bound is charged."""
        task = asyncio.create_task(self._settle(hold_id, usage, bound))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def settle(self, hold_id: str, usage: Usage, bound: int) -> Outcome[None]:
        """Bill a request and wait until its bill is safe.

        Returns
        -------
        Outcome
            Nothing, or `BILL_UNCERTAIN` if the bill was not safe in time.
        """
        task = self.start(hold_id, usage, bound)
        try:
            await asyncio.wait_for(asyncio.shield(task), BILL_TIMEOUT)
        except TimeoutError:
            return Error(
                Verdict(
                    Execution.MAY_HAVE_RUN,
                    Reason.BILL_UNCERTAIN,
                    "the bill could not be made safe",
                    retry_after=BILL_TIMEOUT,
                )
            )
        return Ok(None)

    async def wait(self) -> None:
        """Wait until every bill that was started is safe."""
        while self._tasks:
            await asyncio.wait(tuple(self._tasks))

    def _settle(
        self, hold_id: str, usage: Usage | None, bound: int
    ) -> Coroutine[Any, Any, None]:
        if usage is None:
            return self._holds.settle(hold_id, bound, 0, False)
        return self._holds.settle(
            hold_id, usage.prompt_tokens, usage.completion_tokens, True
        )
