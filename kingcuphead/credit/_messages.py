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
    #: Other daemons hold the rest, or the store can't be asked.
    UNPROVEN = "unproven"


@dataclasses.dataclass(frozen=True, slots=True)
class CreditSettings:
    """How much credit a daemon keeps at hand."""

    #: Seconds of the usual demand that are kept at hand.
    reserve_seconds: float = 4.0
    #: Largest part of the remaining prepaid tokens that one daemon keeps at hand.
    reserve_share: float = 0.06
    #: Seconds between two regular renewals.
    renewal_interval: float = 1.0
    #: Seconds over which the demand is averaged.
    demand_period: float = 5.0
    #: Most organisations in one transaction.
    batch_size: int = 40


@dataclasses.dataclass(slots=True)
class Hold:
    """Credit reserved for the most that one request can cost."""

    #: Organisation that pays.
    organisation: str
    #: Tokens reserved.
    tokens: int
    #: Whether it was settled; a hold is settled once.
    is_settled: bool = False
