"""Interfaces of the daemon that the request pipeline depends on."""

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
    """Parameters of a hold on a budget."""

    #: Id of the request across retries.
    request_id: str
    #: Name of the organisation that sent the request.
    organisation: str
    #: Name of the budget that is charged.
    budget: str
    #: Policy of the budget for granting and recalling credit.
    policy: BudgetPolicy
    #: Upper bound on the cost of the request, in tokens.
    tokens: int
    #: Maximum time in seconds that the request waits for credit.
    timeout: float


class Holds(Protocol):
    """Holds tokens of budgets for requests and settles the holds."""

    async def hold(self, terms: HoldTerms) -> Outcome[str]:
        """Hold tokens for a request; return the id of the hold."""
        ...

    def release(self, hold_id: str) -> None:
        """Release a hold without a charge, as the request can't have run."""
        ...

    async def settle(
        self, hold_id: str, prompt_tokens: int, completion_tokens: int, measured: bool
    ) -> None:
        """Settle a hold and wait until its bill is durable.

        It is durable once it is committed or a daemon of another zone has it.
        """
        ...


class Targets(Protocol):
    """Places requests on targets and tracks the slots in use."""

    async def place(self, arrival: RequestArrived) -> Outcome[Placed]:
        """Wait for a slot on a target; `finish` must release the slot."""
        ...

    def start(self, operation_id: str) -> None:
        """Record the first token of a response."""
        ...

    def finish(self, operation_id: str, target: str, result: AnswerResult) -> None:
        """Record the result of an attempt and release its slot."""
        ...


class Caller(Protocol):
    """Connection to the caller of one request."""

    async def start(self, status: int, headers: Mapping[str, str]) -> None:
        """Send the status and the headers."""
        ...

    async def write(self, content: bytes) -> None:
        """Send a part of the body and wait until the connection accepts more."""
        ...

    async def finish(self) -> None:
        """End the response."""
        ...
