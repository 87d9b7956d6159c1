"""Settlement stage: ends each hold exactly once."""

import asyncio
from collections.abc import Coroutine
from typing import Any

from expression import Error, Ok

from kingcuphead.api import Usage
from kingcuphead.pipeline._ports import Holds
from kingcuphead.verdict import Execution, Outcome, Reason, Verdict

#: Maximum time in seconds that the end of a response waits for a durable bill.
BILL_TIMEOUT = 15.0


class Settlements:
    """Settles holds and tracks the settlements in progress.

    A settlement continues after the caller disconnects, because the work was done.

    Parameters
    ----------
    holds
        Holds on budgets.
    """

    def __init__(self, holds: Holds) -> None:
        self._holds = holds
        self._tasks: set[asyncio.Task[None]] = set()

    def release(self, hold_id: str) -> None:
        """Release a hold without a charge, as the request can't have run."""
        self._holds.release(hold_id)

    def start(
        self, hold_id: str, usage: Usage | None, upper_bound: int
    ) -> asyncio.Task[None]:
        """Start the settlement of a hold; without usage the upper bound is charged."""
        task = asyncio.create_task(self._settle(hold_id, usage, upper_bound))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def settle(
        self, hold_id: str, usage: Usage, upper_bound: int
    ) -> Outcome[None]:
        """Settle a hold and wait until its bill is durable.

        Returns
        -------
        Outcome
            Nothing, or `BILL_UNCERTAIN` if the bill was not durable in time.
        """
        task = self.start(hold_id, usage, upper_bound)
        try:
            await asyncio.wait_for(asyncio.shield(task), BILL_TIMEOUT)
        except TimeoutError:
            return Error(
                Verdict(
                    Execution.MAY_HAVE_RUN,
                    Reason.BILL_UNCERTAIN,
                    "the bill was not durable in time",
                    retry_after=BILL_TIMEOUT,
                )
            )
        return Ok(None)

    async def wait(self) -> None:
        """Wait until all settlements in progress have ended."""
        while self._tasks:
            await asyncio.wait(tuple(self._tasks))

    def _settle(
        self, hold_id: str, usage: Usage | None, upper_bound: int
    ) -> Coroutine[Any, Any, None]:
        if usage is None:
            return self._holds.settle(hold_id, upper_bound, 0, False)
        return self._holds.settle(
            hold_id, usage.prompt_tokens, usage.completion_tokens, True
        )
