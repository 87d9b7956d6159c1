"""State of one request while it is served, and its log lines."""

import dataclasses
from collections.abc import Iterable
from http import HTTPStatus

from loguru import logger

from kingcuphead.addresses import Address
from kingcuphead.admission import QueueFigures
from kingcuphead.credit import CreditState
from kingcuphead.dispatch import (
    AttemptResult,
    HedgeDenial,
    PlacementRequest,
    SharedPrefix,
)
from kingcuphead.forwarding._messages import AnswerIdentity, CallerRequest
from kingcuphead.forwarding._refusals import Refusal
from kingcuphead.frozen import frozen
from kingcuphead.quarantine import RequestIdentity, Trial
from kingcuphead.routing import Organisation, Route
from kingcuphead.targets import Target
from kingcuphead.verdict import Execution

#: Characters of the names of a prompt's parts in a log line.
MAX_LOGGED_PARTS = 200
#: Rank of the requests that go before all others.
MOST_URGENT_RANK = 0


@frozen
class AnswerRecord:
    """What an answer says of itself, for the log."""

    #: HTTP status.
    status: int
    #: Which request its id names.
    identity: AnswerIdentity
    #: Whether it states that the request was not run.
    is_not_run: bool
    #: Number of answers to other requests that preceded it.
    skipped: int = 0

    def __str__(self) -> str:
        """Return the record as a part of an entry of the log field `attempts`."""
        statement = " stated=not_run" if self.is_not_run else ""
        skipped = f" skipped={self.skipped}" if self.skipped else ""
        return f"status={self.status} id={self.identity.value}{statement}{skipped}"


@frozen
class AttemptRecord:
    """Outcome of one attempt, for the log."""

    #: Name of the target.
    target: str
    #: Version of the target's software.
    software_version: str
    #: Whether the target was the preferred one; `home` or `other` in the log.
    is_preferred: bool
    #: Prompt tokens whose KV cache was to be copied from another target.
    copied_tokens: int
    #: Cost of the target in units of the latency objective.
    cost: float
    #: Result for the health of the target.
    result: AttemptResult
    #: Description of the outcome.
    outcome: str
    #: Duration in seconds.
    seconds: float
    #: Daemon that passed on the bytes; None if the attempt had a connection of its own.
    helper: Address | None = None
    #: Number of requests that were sent on the connection before this one.
    earlier_requests: int = 0
    #: What the answer says of itself; None without one.
    answer: AnswerRecord | None = None

    def __str__(self) -> str:
        """Return the record as an entry of the log field `attempts`."""
        choice = "home" if self.is_preferred else "other"
        path = f"via={self.helper[0]} " if self.helper else ""
        earlier = f"earlier={self.earlier_requests} " if self.earlier_requests else ""
        answer = f"{self.answer} " if self.answer else ""
        return (
            f"{self.target} {self.software_version or '-'} {choice} "
            f"copied={self.copied_tokens} cost={self.cost:.3f} "
            f"{path}{earlier}{answer}{self.outcome} {self.seconds:.3f}s"
        )


@frozen
class Charge:
    """What a request was charged when it ended, as logged."""

    #: Tokens held for the request.
    held: int
    #: Tokens of the prompt that were charged.
    prompt: int
    #: Tokens of delivered events that were charged.
    output: int

    @property
    def tokens(self) -> int:
        """Tokens charged in all."""
        return self.prompt + self.output

    def __str__(self) -> str:
        """Return the charge as a log field."""
        return f"held={self.held} prompt={self.prompt} output={self.output}"


#: Charge of a request that held no credit.
NO_CHARGE = Charge(0, 0, 0)


@dataclasses.dataclass(slots=True)
class HedgeRecord:
    """What became of the second attempt of a request beside its first one."""

    #: Why no second attempt started; None if one did.
    denial: HedgeDenial | None = None
    #: Whether the second attempt brought the answer.
    is_won: bool = False
    #: Whether one attempt was cancelled after the other one's answer.
    is_cancelled: bool = False

    def __str__(self) -> str:
        """Return the record as the log field `hedged`."""
        if self.denial is not None:
            return f"denied {self.denial.value}"
        return "won" if self.is_won else "started"


@dataclasses.dataclass(slots=True)
class RequestContext:
    """One request with the decisions made for it."""

    #: Request as received from the caller.
    request: CallerRequest
    #: Route that matches its host and path.
    route: Route
    #: Name of the service chosen from the route.
    service: str
    #: Paying organisation; None for an anonymous request.
    organisation: Organisation | None
    #: Deadline of the final answer in seconds of the event loop's clock.
    deadline: float
    #: Version of the configuration that the request is served by.
    revision: int
    #: What recognises the request, or one that shares parts of its prompt.
    identity: RequestIdentity = RequestIdentity("")
    #: Allows one attempt although parts of the prompt are quarantined.
    trial: Trial | None = None
    #: Output tokens in one event of a stream.
    tokens_per_event: int = 1
    #: Software version whose events the caller has; only targets of that version may
    #: go on with the stream. None before the first event.
    bound_version: str | None = None
    #: Names of the targets of all attempts so far.
    tried: list[str] = dataclasses.field(default_factory=list)
    #: Outcomes of the attempts, in order.
    records: list[AttemptRecord] = dataclasses.field(default_factory=list)
    #: Number of attempts, running ones included, whose target may have run the request.
    possible_runs: int = 0
    #: Second attempt beside a running one; None if the delay for it didn't pass.
    hedge: HedgeRecord | None = None
    #: Seconds spent waiting for credit.
    credit_seconds: float = 0.0
    #: Seconds spent waiting for room at a target.
    queue_seconds: float = 0.0
    #: What a refusal for want of room was based on; None without one.
    queue_figures: QueueFigures | None = None
    #: Time in seconds at which it was admitted to the targets.
    admitted_at: float = 0.0
    #: Credit of the organisation when the hold was denied; None otherwise.
    credit_state: CreditState | None = None
    #: Seconds from arrival to the first event of the stream; None without one.
    first_event_seconds: float | None = None
    #: Whether no target had memory left for the request.
    lacks_memory: bool = False
    #: What was charged when the hold was settled.
    charge: Charge = NO_CHARGE
    #: HTTP status of the target's answer that was sent to the caller; 0 for none.
    status: int = 0

    @property
    def execution(self) -> Execution:
        """Whether a target may have run the request."""
        return Execution.MAY_HAVE_RUN if self.possible_runs else Execution.NOT_RUN

    @property
    def is_trial_open(self) -> bool:
        """Whether a trial was claimed that no target has got yet."""
        unreachable = [
            each.result is AttemptResult.UNREACHABLE for each in self.records
        ]
        return self.trial is not None and len(self.tried) == sum(unreachable)

    @property
    def is_answered(self) -> bool:
        """Whether a target's success was sent to the caller as a whole."""
        return HTTPStatus.OK <= self.status < HTTPStatus.MULTIPLE_CHOICES

    @property
    def rank(self) -> int:
        """Priority; 0 is the most urgent."""
        if self.organisation is not None and self.organisation.rank is not None:
            return self.organisation.rank
        return self.route.rank

    @property
    def payer(self) -> str:
        """Name of the paying organisation; empty for an anonymous request."""
        return "" if self.organisation is None else self.organisation.name

    @property
    def takes_up_stream(self) -> bool:
        """Whether the caller has events of the stream from an earlier try."""
        return self.route.is_resumable and self.request.resume_after > 0

    def select_eligible(self, targets: Iterable[Target]) -> tuple[Target, ...]:
        """Return those targets that may run the request.

        Events of two software versions don't make up one stream.
        """
        if self.bound_version is None:
            return tuple(targets)
        return tuple(
            target
            for target in targets
            if target.software_version == self.bound_version
        )

    def make_placement_request(self) -> PlacementRequest:
        """Return the properties by which the dispatcher chooses a target."""
        size = self.request.size
        if size is None:
            return PlacementRequest(
                self.service,
                objective=self.route.objective,
                body_bytes=len(self.request.body),
                is_urgent=self.rank == MOST_URGENT_RANK,
            )
        prefixes = []
        tokens = 0
        key = ""
        for part in self.request.shared_parts:
            tokens += part.tokens
            key = f"{key}/{part.name}"
            prefixes.append(SharedPrefix(key, tokens))
        return PlacementRequest(
            self.service,
            tuple(prefixes),
            size.prompt_tokens,
            self.route.objective,
            size.output_tokens,
            len(self.request.body),
            self.rank == MOST_URGENT_RANK,
        )

    def _describe_parts(self) -> str:
        """Return the names of the shared parts of the prompt, for the log."""
        names = [part.name for part in self.request.shared_parts]
        return "/".join(names)[:MAX_LOGGED_PARTS]

    def log_end(self, refusal: Refusal | None, now: float) -> None:
        """Log the outcome of the request.

        Parameters
        ----------
        refusal
            Refusal sent to the caller; None if the caller got an answer or the part of
            a stream that was aborted.
        now
            Current time in seconds of the event loop's clock.
        """
        bound = logger.bind(
            request_id=self.request.request_id,
            fingerprint=self.identity.fingerprint,
            parts=self._describe_parts(),
            resumes=self.request.resumed_id,
            organisation=self.payer,
            route=self.route.name,
            service=self.service,
            revision=self.revision,
            execution=self.execution.value,
            attempts=[str(record) for record in self.records],
            credit_seconds=round(self.credit_seconds, 3),
            queue_seconds=round(self.queue_seconds, 3),
            first_event_seconds=self.first_event_seconds,
            hedged=str(self.hedge or ""),
            is_trial=self.trial is not None,
            tokens=self.charge.tokens,
            charge=str(self.charge) if self.charge.held else "",
            seconds=round(now - self.request.arrived_at, 3),
        )
        if refusal is None and not self.status:
            bound.info("request aborted")
        elif refusal is None:
            bound.bind(status=self.status).info("request answered")
        else:
            bound.bind(
                status=refusal.status,
                reason=refusal.reason.value,
                retry_after=refusal.retry_after,
                credit=str(self.credit_state or ""),
                queue=str(self.queue_figures or ""),
            ).info("request refused")


def log_rejection(request: CallerRequest, refusal: Refusal) -> None:
    """Log a request that was refused before its context was created."""
    logger.bind(
        request_id=request.request_id,
        status=refusal.status,
        reason=refusal.reason.value,
        retry_after=refusal.retry_after,
    ).info("request refused: {} {}", request.host, request.path)
