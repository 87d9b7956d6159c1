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
    """What one life of a daemon holds, as of its last transaction."""

    #: Number of the transaction; it decides lost replies.
    attempt: int
    #: Time of the store in milliseconds from which the release of the reserves counts,
    #: or earlier. 0 where no time is known.
    stamp_ms: int = 0
    #: Tokens set aside for an outage of the store, by organisation.
    reserves: dict[str, int] = {}
    #: Whether a later life of the daemon has taken the reserves back.
    is_closed: bool = False


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

    What may be spent at any time is lost if the daemon dies. What is set aside for an
    outage of the store becomes free little by little while the store does not answer; a
    later life of the daemon takes back what can't have been free when it started.
    """

    #: Seconds of the usual demand that are kept to be spent.
    spending_seconds: float = 2.0
    #: Seconds of the usual demand that are kept at hand in all.
    reserve_seconds: float = 20.0
    #: Usual requests that are kept to be spent where there was no demand lately.
    spending_requests: float = 1.0
    #: Usual requests that are kept at hand in all where there was no demand lately.
    reserve_requests: float = 3.0
    #: Largest part, for the demand, of the tokens that no other daemon has taken.
    demand_share: float = 0.5
    #: The same where there was no demand.
    idle_share: float = 0.04
    #: Seconds without an answer of the store after which reserves begin to be freed.
    release_delay: float = 1.0
    #: Seconds from then until they are all free.
    release_period: float = 10.0
    #: Seconds that clocks may differ over both.
    clock_margin: float = 0.2
    #: Seconds between two regular renewals in a small fleet.
    renewal_interval: float = 0.7
    #: Daemons from which on the interval grows with the fleet, so that all of them
    #: together renew no more often.
    small_fleet: int = 20
    #: Seconds over which the demand is averaged.
    demand_period: float = 6.0
    #: Most organisations in one transaction.
    batch_size: int = 40

    def get_renewal_interval(self, daemons: int) -> float:
        """Return the seconds between two regular renewals in a fleet of a size."""
        return self.renewal_interval * max(1.0, daemons / self.small_fleet)

    def get_released_share(self, age: float) -> float:
        """Return the share of the reserves that is free after an age in seconds.

        The age counts from the first transaction that got no answer.
        """
        return min(1.0, max(0.0, (age - self.release_delay) / self.release_period))


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
    #: Tokens set aside here for an outage of the store.
    reserve: int
    #: Tokens reserved here for requests.
    held: int
    #: Seconds since the total was seen.
    age: float

    def __str__(self) -> str:
        """Return the state as part of a log line."""
        return (
            f"limit={self.limit} charged={self.charged} settled={self.settled} "
            f"free={self.free} reserve={self.reserve} held={self.held} "
            f"age={self.age:.3f}s"
        )


@dataclasses.dataclass(slots=True)
class Hold:
    """Credit reserved for the most that one request can cost."""

    #: Organisation that pays.
    organisation: str
    #: Tokens reserved.
    tokens: int
    #: Time in seconds.
    held_at: float
    #: Whether it was settled; a hold is settled once.
    is_settled: bool = False
