"""What the request path needs from the tasks of the daemon."""

import dataclasses
from collections.abc import Mapping
from typing import Protocol

from kingcuphead.pipeline._stages import Placed
from kingcuphead.placement import AnswerResult
from kingcuphead.queueing import RequestArrived
from kingcuphead.records import BudgetPolicy
from kingcuphead.verdict import Outcome


@dataclasses.dataclass(frozen=True, slots=True)
class HoldTerms:
    """What a request needs of its budget."""

    #: Identifies the request across retries.
    request_id: str
    #: Organisation that asks.
    organisation: str
    #: Budget that pays.
    budget: str
    #: Policy of the budget.
    policy: BudgetPolicy
    #: Upper bound on the cost, in tokens.
    tokens: int
    #: Seconds that the request may wait for credit.
    timeout: float


class Holds(Protocol):
    """Credit and bills."""

    async def hold(self, terms: HoldTerms) -> Outcome[str]:
        """Reserve credit; the answer is the id of the hold."""
        ...

    def release(self, hold_id: str) -> None:
        """Give a hold back whole: nothing of the request can have run."""
        ...

    async def settle(
        self, hold_id: str, prompt_tokens: int, completion_tokens: int, measured: bool
    ) -> None:
        """Bill a request and wait until the bill is safe."""
        ...


class Targets(Protocol):
    """Slots on targets."""

    async def place(self, arrival: RequestArrived) -> Outcome[Placed]:
        """Wait for a target; a placed request must be ended by `finish`."""
        ...

    def start(self, operation_id: str) -> None:
        """Report the first token of an answer."""
        ...

    def finish(self, operation_id: str, target: str, result: AnswerResult) -> None:
        """Report the end of an attempt on a target."""
        ...


class Caller(Protocol):
    """The caller's side of one request."""

    async def start(self, status: int, headers: Mapping[str, str]) -> None:
        """Begin the answer."""
        ...

    async def write(self, content: bytes) -> None:
        """Send a part of the answer and wait until the connection takes more."""
        ...

    async def finish(self) -> None:
        """End the answer."""
        ...
