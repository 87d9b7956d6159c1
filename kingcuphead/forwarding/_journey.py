"""One request on its way, and what is written down about it."""

import dataclasses

from loguru import logger

from kingcuphead.credit import CreditState
from kingcuphead.dispatch import SharedStart, Work
from kingcuphead.forwarding._messages import CallerRequest
from kingcuphead.forwarding._refusals import Refusal
from kingcuphead.routing import Organisation, Route
from kingcuphead.verdict import Execution


@dataclasses.dataclass(frozen=True, slots=True)
class AttemptRecord:
    """How one attempt ended."""

    #: Name of the target.
    target: str
    #: Whether it is the target that every daemon would choose.
    is_home: bool
    #: Tokens of the prompt that were to be copied from another target.
    copied_tokens: int
    #: Cost of the choice.
    cost: float
    #: Outcome, in English.
    outcome: str
    #: Seconds from its start to its end.
    seconds: float

    def __str__(self) -> str:
        """Return the record as one word of a log line."""
        choice = "home" if self.is_home else "other"
        return (
            f"{self.target} {choice} copied={self.copied_tokens} "
            f"cost={self.cost:.3f} "
            f"{self.outcome} {self.seconds:.3f}s"
        )


@dataclasses.dataclass(slots=True)
class Journey:
    """A request with what was decided about it."""

    #: The request.
    request: CallerRequest
    #: Its route.
    route: Route
    #: Service that serves it.
    service: str
    #: Who pays; None on routes without a key.
    organisation: Organisation | None
    #: Time in seconds at which the caller gets a final answer at the latest.
    deadline: float
    #: Version of the configuration that decided all this.
    revision: int
    #: Tokens that one event of a stream holds.
    tokens_per_event: int = 1
    #: Targets that were tried.
    tried: list[str] = dataclasses.field(default_factory=list)
    #: How the attempts ended.
    records: list[AttemptRecord] = dataclasses.field(default_factory=list)
    #: Whether a target may have run it.
    execution: Execution = Execution.NOT_RUN
    #: Seconds that it waited for credit.
    credit_seconds: float = 0.0
    #: What a refusal for want of credit was made from.
    credit_state: CreditState | None = None
    #: Seconds from its arrival to the first event of its stream.
    first_event_seconds: float | None = None
    #: Tokens that were settled.
    spent: int = 0
    #: Status of the target's answer that was passed on; 0 for none.
    status: int = 0

    @property
    def rank(self) -> int:
        """Urgency; 0 goes first."""
        if self.organisation is not None and self.organisation.rank is not None:
            return self.organisation.rank
        return self.route.rank

    @property
    def payer(self) -> str:
        """Name of the paying organisation; empty without one."""
        return "" if self.organisation is None else self.organisation.name

    def describe_work(self) -> Work:
        """Return what the request asks of a target."""
        size = self.request.size
        if size is None:
            return Work(self.service, objective=self.route.objective)
        starts = []
        tokens = 0
        key = ""
        # The last part belongs to the request itself.
        for part in size.parts[:-1]:
            tokens += part.tokens
            key = f"{key}/{part.name}"
            starts.append(SharedStart(key, tokens))
        return Work(
            self.service, tuple(starts), size.prompt_tokens, self.route.objective
        )

    def log_end(self, refusal: Refusal | None, now: float) -> None:
        """Write the line that explains what became of the request."""
        bound = logger.bind(
            request_id=self.request.request_id,
            organisation=self.payer,
            route=self.route.name,
            service=self.service,
            revision=self.revision,
            execution=self.execution.value,
            attempts=[str(record) for record in self.records],
            credit_seconds=round(self.credit_seconds, 3),
            first_event_seconds=self.first_event_seconds,
            tokens=self.spent,
            seconds=round(now - self.request.arrived_at, 3),
        )
        if refusal is None:
            bound.bind(status=self.status).info("request answered")
        else:
            bound.bind(
                status=refusal.status,
                reason=refusal.reason.value,
                retry_after=refusal.retry_after,
                credit=str(self.credit_state or ""),
            ).info("request refused")


def log_rejection(request: CallerRequest, refusal: Refusal) -> None:
    """Write the line of a request that was refused before it had a route."""
    logger.bind(
        request_id=request.request_id,
        status=refusal.status,
        reason=refusal.reason.value,
        retry_after=refusal.retry_after,
    ).info("request refused: {} {}", request.host, request.path)
