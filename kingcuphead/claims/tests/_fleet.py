"""Simulation of routers that claim the same calls over a faulty network."""

import asyncio
import dataclasses
import enum

from expression import Error, Ok

from kingcuphead.claims import (
    AnswerNotReceived,
    AnswerReceived,
    BackoffElapsed,
    BackoffRequested,
    Claim,
    ClaimClosed,
    ClaimGranted,
    ClaimRefused,
    ClaimRegister,
    ClaimReplayed,
    ClaimRequest,
    ClaimStarted,
    ClaimUnresolved,
    CommitReplied,
    CommitRequested,
    DispatchFailed,
    DispatchStarted,
    IoEffect,
    Message,
    ReadReplied,
    ReadRequested,
    RecordedAnswer,
    Released,
    ReleaseRequested,
    Resolved,
)
from kingcuphead.claims._resolution import ClaimEntry, decide_resolution
from kingcuphead.claims.tests._calls import SETTINGS
from kingcuphead.storage import (
    CommitOutcome,
    InstanceState,
    MemoryTable,
    PlatformFault,
    Transaction,
    Unavailable,
    Unknown,
)
from kingcuphead.verdict import Execution, Verdict


class NetworkResult(enum.Enum):
    """Effect of the network on a request to the table and its reply."""

    REPLIED = enum.auto()
    REPLY_LOST = enum.auto()
    DROPPED = enum.auto()
    DELAYED = enum.auto()
    UNAVAILABLE = enum.auto()


class Stage(enum.Enum):
    """Progress of an attempt in its router."""

    CLAIMING = enum.auto()
    HOLDING = enum.auto()
    DISPATCHED = enum.auto()
    CLOSING = enum.auto()
    ENDED = enum.auto()


#: Stages of attempts that have not ended.
OPEN = tuple(stage for stage in Stage if stage is not Stage.ENDED)
#: Upper bound on the table replies that one attempt needs in the absence of faults.
DRAIN_ROUNDS = 20


@dataclasses.dataclass(slots=True)
class Attempt:
    """One attempt, with the actions of its router and its result for the caller."""

    request: ClaimRequest
    claim: Claim
    stage: Stage = Stage.CLAIMING
    pending_effect: IoEffect | None = None
    verdict: Verdict | None = None
    replayed: RecordedAnswer | None = None
    was_dispatched: bool = False
    has_crashed: bool = False


class Fleet:
    """Routers, their table, and the dispatches that reached a target."""

    def __init__(self) -> None:
        self.table = MemoryTable()
        self.now = 0.0
        self.attempts: list[Attempt] = []
        self.delayed: list[Transaction] = []
        #: Ids of the attempts whose call reached a target, by idempotency key.
        self.dispatched: dict[str, list[str]] = {}

    def select(self, *stages: Stage) -> list[Attempt]:
        """Return the attempts in the given stages whose routers have not crashed."""
        live = (a for a in self.attempts if not a.has_crashed)
        return [attempt for attempt in live if attempt.stage in stages]

    def start_attempt(self, key: str) -> Attempt:
        """Start another attempt at the call with the given idempotency key."""
        attempt_id = f"a-{len(self.attempts)}"
        request = ClaimRequest(
            "org", key, f"f-{key}", attempt_id, attempt_id, attempt_id, 0.0
        )
        attempt = Attempt(request, Claim(request, SETTINGS))
        self.attempts.append(attempt)
        self.deliver(attempt, ClaimStarted())
        return attempt

    def deliver(self, attempt: Attempt, message: Message) -> None:
        """Deliver a message to an attempt's state machine and apply its effects."""
        attempt.pending_effect = None
        for effect in attempt.claim.receive(message, self.now):
            match effect:
                case CommitRequested() | ReadRequested() | BackoffRequested():
                    attempt.pending_effect = effect
                case ClaimGranted():
                    attempt.stage = Stage.HOLDING
                case ClaimReplayed(answer):
                    attempt.replayed = answer
                    attempt.stage = Stage.ENDED
                case ClaimRefused(verdict, is_uncertain):
                    attempt.verdict = verdict
                    attempt.stage = Stage.CLOSING if is_uncertain else Stage.ENDED
                case ClaimClosed() | ClaimUnresolved():
                    attempt.stage = Stage.ENDED

    def execute(self, attempt: Attempt, result: NetworkResult) -> None:
        """Execute the attempt's pending effect with the given network result."""
        match attempt.pending_effect:
            case CommitRequested(transaction):
                self.deliver(
                    attempt,
                    CommitReplied(self._commit_over_network(transaction, result)),
                )
            case ReadRequested(keys) if result is NetworkResult.REPLIED:
                self.deliver(attempt, ReadReplied(Ok(self.table.read_now(keys))))
            case ReadRequested():
                self.deliver(attempt, ReadReplied(Error(PlatformFault("read", "cut"))))
            case BackoffRequested(seconds):
                self.now += seconds
                self.deliver(attempt, BackoffElapsed())

    def crash(self, attempt: Attempt) -> None:
        """Crash the attempt's router; its write in flight is applied later."""
        attempt.has_crashed = True
        if isinstance(attempt.pending_effect, CommitRequested):
            self.delayed.append(attempt.pending_effect.transaction)

    def apply_delayed(self, index: int) -> None:
        """Commit a delayed transaction."""
        self.table.commit_now(self.delayed.pop(index))

    def dispatch(self, attempt: Attempt, reaches_target: bool) -> None:
        """Dispatch a call, which runs only if it reaches the target."""
        self.deliver(attempt, DispatchStarted())
        if reaches_target:
            attempt.was_dispatched = True
            attempt.stage = Stage.DISPATCHED
            key = attempt.request.key
            self.dispatched.setdefault(key, []).append(attempt.request.attempt)
        else:
            self.deliver(attempt, DispatchFailed())

    def end_dispatch(self, attempt: Attempt, has_answer: bool) -> None:
        """End a dispatch, with or without the answer of the target."""
        attempt.stage = Stage.CLOSING
        answer = RecordedAnswer(200, (), attempt.request.attempt.encode())
        observed = AnswerReceived(answer) if has_answer else AnswerNotReceived("reset")
        self.deliver(attempt, observed)

    def abandon(self, attempt: Attempt) -> None:
        """Release the claim of a call that was not dispatched."""
        attempt.stage = Stage.CLOSING
        self.deliver(attempt, ReleaseRequested())

    def time_out(self, attempt: Attempt) -> None:
        """Delay the attempt's write until acquiring the claim has timed out."""
        if self.table.read_now((attempt.request.row_key,)):
            self.execute(attempt, NetworkResult.REPLIED)
        if attempt.stage is Stage.CLAIMING:
            self.execute(attempt, NetworkResult.DELAYED)
        self.now += SETTINGS.acquire_timeout
        if attempt.stage is Stage.CLAIMING:
            self.execute(attempt, NetworkResult.DROPPED)

    def drain(self) -> None:
        """Run every attempt of a live router to its end, without further faults.

        Delayed writes are committed last. This is the hardest case for the version
        checks, which have to prevent them from taking effect.
        """
        self._end_attempts()
        while self.delayed:
            self.apply_delayed(0)
        self._end_attempts()

    def find_in_doubt(self) -> list[ClaimEntry]:
        """Return the claims in doubt, as an operator lists them."""
        page = asyncio.run(ClaimRegister(self.table).list_claims("org")).ok
        return [entry for entry in page.entries if entry.is_in_doubt]

    def resolve_claim(self, entry: ClaimEntry) -> None:
        """Resolve a claim by whether its call ran, at the version read earlier."""
        attempt = self._find_attempt(entry.claim.attempt)
        state = InstanceState.TERMINATED if attempt.has_crashed else InstanceState.LIVE
        resolution = (
            Resolved("executed") if attempt.was_dispatched else Released("not executed")
        )
        decision = decide_resolution(entry, resolution, state)
        decision.map(self.table.commit_now)

    def check_invariants(self) -> None:
        """Raise unless calls ran at most once and results agree with the dispatches."""
        for key, attempt_ids in self.dispatched.items():
            assert len(attempt_ids) <= 1, (key, attempt_ids)
        for attempt in self.attempts:
            self._check_attempt(attempt)

    def _end_attempts(self) -> None:
        # Undo writes of one key replace each other's rows, so one succeeds per round.
        for _ in range(DRAIN_ROUNDS + len(self.attempts)):
            for attempt in self.select(*OPEN):
                self._advance(attempt)
        assert not self.select(*OPEN), "an attempt does not end"

    def _find_attempt(self, attempt_id: str) -> Attempt:
        return next(a for a in self.attempts if a.request.attempt == attempt_id)

    def _check_attempt(self, attempt: Attempt) -> None:
        attempt_ids = self.dispatched.get(attempt.request.key, [])
        if attempt.verdict is not None and attempt.was_dispatched:
            assert attempt.verdict.execution is not Execution.NOT_RUN
        if attempt.verdict is not None and attempt.verdict.execution is Execution.RAN:
            assert attempt_ids
        if attempt.replayed is not None:
            assert attempt.replayed.body == attempt_ids[0].encode()

    def _advance(self, attempt: Attempt) -> None:
        match attempt.stage:
            case Stage.HOLDING:
                self.abandon(attempt)
            case Stage.DISPATCHED:
                self.end_dispatch(attempt, has_answer=True)
            case _:
                self.execute(attempt, NetworkResult.REPLIED)

    def _commit_over_network(
        self, transaction: Transaction, result: NetworkResult
    ) -> CommitOutcome:
        match result:
            case NetworkResult.REPLIED:
                return self.table.commit_now(transaction)
            case NetworkResult.REPLY_LOST:
                self.table.commit_now(transaction)
            case NetworkResult.DELAYED:
                self.delayed.append(transaction)
            case NetworkResult.UNAVAILABLE:
                return Unavailable()
            case NetworkResult.DROPPED:
                pass
        return Unknown()
