"""Messages between the request path and the choice of targets."""

import dataclasses
import enum


@dataclasses.dataclass(frozen=True, slots=True)
class Work:
    """What a request asks of a target."""

    #: Service that does it.
    service: str
    #: Pieces of the prompt that other requests share, longest start last, as keys
    #: with the tokens up to and with the piece; empty for plain services.
    shared: tuple["SharedStart", ...] = ()
    #: Tokens of the whole prompt; 0 for plain services.
    prompt_tokens: int = 0
    #: Seconds to the first byte that count as on time.
    objective: float = 1.0

    @property
    def shared_tokens(self) -> int:
        """Tokens of the longest shared start."""
        return self.shared[-1].tokens if self.shared else 0


@dataclasses.dataclass(frozen=True, slots=True)
class SharedStart:
    """The start of a prompt up to and with one piece."""

    #: Identity of the start.
    key: str
    #: Its tokens.
    tokens: int


class AttemptResult(enum.StrEnum):
    """How an attempt ended, as far as its target is concerned."""

    #: Answered whole.
    ANSWERED = "answered"
    #: Refused, and not run.
    REFUSED = "refused"
    #: Answered with a failure of the target's own.
    FAILED = "failed"
    #: No connection could be opened.
    UNREACHABLE = "unreachable"
    #: The connection broke, or what came is no answer.
    BROKEN = "broken"
    #: No answer came in time.
    SILENT = "silent"
    #: Ended by this fleet or its caller; says nothing about the target.
    CANCELLED = "cancelled"


@dataclasses.dataclass(frozen=True, slots=True)
class DispatchSettings:
    """How targets are compared.

    Costs are in objectives: 1 is the cost of a wait as long as the objective.
    """

    #: Availability zone of this daemon.
    zone: str
    #: Prompt tokens that an engine reads in a second until observed otherwise.
    read_tokens_per_second: float = 50_000.0
    #: Cost of reading 1,000 tokens anew that another target holds.
    reread_cost: float = 0.2
    #: Cost of copying 1,000 tokens from the memory of another target.
    copy_cost: float = 0.2
    #: Tokens copied in a second.
    copied_tokens_per_second: float = 50_000.0
    #: Fewest tokens that are copied; to read fewer takes no longer.
    least_copied_tokens: int = 300
    #: Prompt tokens to be read from which on other daemons are told at once.
    announced_tokens: int = 4_000
    #: Seconds that one running request adds to the wait of the next.
    running_seconds: float = 0.004
    #: Part of the cost of a wait that grows with the wait alone; the rest grows with
    #: its square, since only waits near the objective make answers late.
    linear_share: float = 0.15
    #: Cost of a target in another zone.
    zone_cost: float = 0.0
    #: Cost of a certain failure.
    failure_cost: float = 2.0
