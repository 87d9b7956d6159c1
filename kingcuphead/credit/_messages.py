"""Messages and rows of the credit that a daemon takes from the platform's store."""

import dataclasses
import enum

import msgspec


class TotalRow(msgspec.Struct, frozen=True):
    """What is taken from the prepaid tokens of one organisation, by all daemons."""

    #: Tokens granted to daemons, less those that were returned.
    charged: int = 0
    #: Tokens that requests are proved to have cost.
    settled: int = 0
    #: Newest configuration version whose limit was applied.
    limit_version: int = 0
    #: Prepaid tokens by that version.
    limit: int = 0


class HolderRow(msgspec.Struct, frozen=True):
    """The last transaction of one life of a daemon; it decides lost replies."""

    #: Number of the transaction.
    attempt: int


class Shortage(enum.StrEnum):
    """Why a request gets no credit."""

    #: What is proved to be spent leaves no room for the request.
    EXHAUSTED = "exhausted"
    #: Other daemons hold the rest.
    UNPROVEN = "unproven"
    #: The store can't be asked.
    UNREACHABLE = "unreachable"


@dataclasses.dataclass(frozen=True, slots=True)
class CreditSettings:
    """How much credit a daemon keeps at hand.

    What is kept at hand serves callers while the store can't be reached; it is lost if
    the daemon dies.
    """

    #: Seconds of the usual demand that are kept at hand.
    reserve_seconds: float = 13.0
    #: Usual requests that are kept at hand where there was no demand lately.
    reserve_requests: float = 3.0
    #: Largest part, for the demand, of the tokens that no other daemon has taken.
    demand_share: float = 0.5
    #: The same where there was no demand.
    idle_share: float = 0.04
    #: Seconds between two regular renewals.
    renewal_interval: float = 1.0
    #: Seconds over which the demand is averaged.
    demand_period: float = 6.0
    #: Most organisations in one transaction.
    batch_size: int = 40


@dataclasses.dataclass(frozen=True, slots=True)
class CreditState:
    """What a daemon knows of an organisation's credit; the inputs of a refusal."""

    #: Prepaid tokens.
    limit: int
    #: Tokens granted to all daemons, as last seen.
    charged: int
    #: Tokens proved to be spent, as last seen.
    settled: int
    #: Tokens at hand here.
    free: int
    #: Tokens reserved here for requests.
    held: int
    #: Seconds since the total was seen.
    age: float

    def __str__(self) -> str:
        """Return the state as part of a log line."""
        return (
            f"limit={self.limit} charged={self.charged} settled={self.settled} "
            f"free={self.free} held={self.held} age={self.age:.3f}s"
        )


@dataclasses.dataclass(slots=True)
class Hold:
    """Credit reserved for the most that one request can cost."""

    #: Organisation that pays.
    organisation: str
    #: Tokens reserved.
    tokens: int
    #: Whether it was settled; a hold is settled once.
    is_settled: bool = False
