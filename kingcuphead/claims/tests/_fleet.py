"""Several routers that race for the same calls over a faulty network."""

import asyncio
import dataclasses
import enum

from expression import Error, Ok

from kingcuphead.claims import (
    AnswerMissed,
    AnswerObserved,
    Claim,
    ClaimClosed,
    ClaimGranted,
    ClaimRefused,
    ClaimRegister,
    ClaimReplayed,
    ClaimRequest,
    ClaimStarted,
    ClaimUnresolved,
    CommitAnswered,
    CommitRequested,
    DispatchFailed,
    DispatchStarted,
    Message,
    PauseEnded,
    PauseRequested,
    Query,
    ReadAnswered,
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


class Fate(enum.Enum):
    """What the network does to a request and its reply."""

    ANSWERED = enum.auto()
    REPLY_LOST = enum.auto()
    DROPPED = enum.auto()
    DELAYED = enum.auto()
    UNAVAILABLE = enum.auto()


class Stage(enum.Enum):
    """Where an attempt stands, as its router sees it."""

    CLAIMING = enum.auto()
    HOLDING = enum.auto()
    DISPATCHED = enum.auto()
    CLOSING = enum.auto()
    ENDED = enum.auto()


#: Stages of attempts that have something left to do.
OPEN = tuple(stage for stage in Stage if stage is not Stage.ENDED)
#: More answers of the table than one attempt needs once the faults are over.
SETTLING_ROUNDS = 20


@dataclasses.dataclass(slots=True)
class Attempt:
    """One attempt, and what its router did and said."""

    request: ClaimRequest
    claim: Claim
    stage: Stage = Stage.CLAIMING
    query: Query | None = None
    verdict: Verdict | None = None
    replayed: RecordedAnswer | None = None
    has_sent: bool = False
    has_crashed: bool = False


class Fleet:
    """The routers, their table and the targets' own count of what ran."""

    def __init__(self) -> None:
        self.table = MemoryTable()
        self.now = 0.0
        self.attempts: list[Attempt] = []
        self.delayed: list[Transaction] = []
        #: Attempts whose call reached a target, by key.
        self.sent: dict[str, list[str]] = {}

    def select(self, *stages: Stage) -> list[Attempt]:
        """Return the live attempts in the given stages."""
        live = (a for a in self.attempts if not a.has_crashed)
        return [attempt for attempt in live if attempt.stage in stages]

    def arrive(self, key: str) -> Attempt:
        """Start another attempt at a call."""
        name = f"a-{len(self.attempts)}"
        request = ClaimRequest("org", key, f"f-{key}", name, name, name, 0.0)
        attempt = Attempt(request, Claim(request, SETTINGS))
        self.attempts.append(attempt)
        self.tell(attempt, ClaimStarted())
        return attempt

    def tell(self, attempt: Attempt, message: Message) -> None:
        """Give a message to an attempt's machine and follow its effects."""
        attempt.query = None
        for effect in attempt.claim.receive(message, self.now):
            match effect:
                case CommitRequested() | ReadRequested() | PauseRequested():
                    attempt.query = effect
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

    def answer(self, attempt: Attempt, fate: Fate) -> None:
        """Let the network carry the attempt's query."""
        match attempt.query:
            case CommitRequested(transaction):
                self.tell(attempt, CommitAnswered(self._commit(transaction, fate)))
            case ReadRequested(keys) if fate is Fate.ANSWERED:
                self.tell(attempt, ReadAnswered(Ok(self.table.read_now(keys))))
            case ReadRequested():
                self.tell(attempt, ReadAnswered(Error(PlatformFault("read", "cut"))))
            case PauseRequested(seconds):
                self.now += seconds
                self.tell(attempt, PauseEnded())

    def crash(self, attempt: Attempt) -> None:
        """End the attempt's router; what it sent may still arrive."""
        attempt.has_crashed = True
        if isinstance(attempt.query, CommitRequested):
            self.delayed.append(attempt.query.transaction)

    def land(self, index: int) -> None:
        """Let a delayed transaction arrive."""
        self.table.commit_now(self.delayed.pop(index))

    def send(self, attempt: Attempt, reaches_target: bool) -> None:
        """Dispatch a call; a target that can't be reached ran nothing."""
        self.tell(attempt, DispatchStarted())
        if reaches_target:
            attempt.has_sent = True
            attempt.stage = Stage.DISPATCHED
            key = attempt.request.key
            self.sent.setdefault(key, []).append(attempt.request.attempt)
        else:
            self.tell(attempt, DispatchFailed())

    def finish(self, attempt: Attempt, has_answer: bool) -> None:
        """End a dispatch with the target's answer, or without."""
        attempt.stage = Stage.CLOSING
        answer = RecordedAnswer(200, (), attempt.request.attempt.encode())
        observed = AnswerObserved(answer) if has_answer else AnswerMissed("reset")
        self.tell(attempt, observed)

    def abandon(self, attempt: Attempt) -> None:
        """Release a call that wasn't dispatched."""
        attempt.stage = Stage.CLOSING
        self.tell(attempt, ReleaseRequested())

    def time_out(self, attempt: Attempt) -> None:
        """Delay the attempt's write until its caller has been refused."""
        if self.table.read_now((attempt.request.row_key,)):
            self.answer(attempt, Fate.ANSWERED)
        if attempt.stage is Stage.CLAIMING:
            self.answer(attempt, Fate.DELAYED)
        self.now += SETTINGS.resolve_timeout
        if attempt.stage is Stage.CLAIMING:
            self.answer(attempt, Fate.DROPPED)

    def settle(self) -> None:
        """End every fault and let every live attempt come to its end.

        Delayed writes land last, which is the hardest case for what has to
        keep them from taking effect.
        """
        self._finish_attempts()
        while self.delayed:
            self.land(0)
        self._finish_attempts()

    def find_doubtful(self) -> list[ClaimEntry]:
        """Return the claims that an operator finds in doubt."""
        page = asyncio.run(ClaimRegister(self.table).list_claims("org")).ok
        return [entry for entry in page.entries if entry.is_in_doubt]

    def settle_claim(self, entry: ClaimEntry) -> None:
        """Let an operator write the truth about a call, seen some time ago."""
        holder = self._find(entry.claim.attempt)
        state = InstanceState.TERMINATED if holder.has_crashed else InstanceState.LIVE
        finding = Resolved("seen") if holder.has_sent else Released("not seen")
        decision = decide_resolution(entry, finding, state)
        decision.map(self.table.commit_now)

    def check(self) -> None:
        """Raise unless every promise holds."""
        for key, senders in self.sent.items():
            assert len(senders) <= 1, (key, senders)
        for attempt in self.attempts:
            self._check_attempt(attempt)

    def _finish_attempts(self) -> None:
        # Undos of one key replace each other's rows; in each round one succeeds.
        for _ in range(SETTLING_ROUNDS + len(self.attempts)):
            for attempt in self.select(*OPEN):
                self._advance(attempt)
        assert not self.select(*OPEN), "an attempt never ends"

    def _find(self, name: str) -> Attempt:
        return next(a for a in self.attempts if a.request.attempt == name)

    def _check_attempt(self, attempt: Attempt) -> None:
        senders = self.sent.get(attempt.request.key, [])
        if attempt.verdict is not None and attempt.has_sent:
            assert attempt.verdict.execution is not Execution.NOT_RUN
        if attempt.verdict is not None and attempt.verdict.execution is Execution.RAN:
            assert senders
        if attempt.replayed is not None:
            assert attempt.replayed.body == senders[0].encode()

    def _advance(self, attempt: Attempt) -> None:
        match attempt.stage:
            case Stage.HOLDING:
                self.abandon(attempt)
            case Stage.DISPATCHED:
                self.finish(attempt, has_answer=True)
            case _:
                self.answer(attempt, Fate.ANSWERED)

    def _commit(self, transaction: Transaction, fate: Fate) -> CommitOutcome:
        match fate:
            case Fate.ANSWERED:
                return self.table.commit_now(transaction)
            case Fate.REPLY_LOST:
                self.table.commit_now(transaction)
            case Fate.DELAYED:
                self.delayed.append(transaction)
            case Fate.UNAVAILABLE:
                return Unavailable()
            case Fate.DROPPED:
                pass
        return Unknown()
