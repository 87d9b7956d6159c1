"""Stored rows, settings and value types of the credit that a daemon allocates."""

import dataclasses
import enum

import msgspec

from kingcuphead.frozen import frozen


class ShardRow(msgspec.Struct, frozen=True, array_like=True):
    """Tokens that daemons have allocated from one shard of an organisation's budget."""

    #: Tokens allocated to daemons, spent ones included, less those returned.
    charged: int = 0
    #: Tokens recorded as spent.
    settled: int = 0
    #: Newest configuration version whose limit was applied.
    limit_version: int = 0
    #: Prepaid tokens of the organisation in that version, in all shards together.
    limit: int = 0
    #: Era of the row that this one replaced after the store was restored; -1 if this is
    #: the organisation's first row.
    previous_era: int = -1
    #: Version of the store at which that row was read.
    base_version: int = 0
    #: Lower bound of the store's time, in milliseconds, at which this row replaced
    #: another one; 0 if it did not.
    opened_ms: int = 0


class HolderRow(msgspec.Struct, frozen=True):
    """Credit of one daemon incarnation as of its last committed transaction."""

    #: Number of that transaction; it resolves transactions whose reply was lost.
    attempt: int
    #: Era of the store in which the row was written.
    era: int = 0
    #: Tokens that the incarnation has received from the budget, less those returned.
    received: int = 0
    #: Tokens recorded as spent by the incarnation.
    settled: int = 0
    #: Lower bound of the store's time, in milliseconds, from which the release of the
    #: reserve counts; 0 if it is not known.
    stamp_ms: int = 0
    #: Tokens kept for an outage of the store.
    reserve: int = 0
    #: Whether a later incarnation of the daemon has reclaimed the reserve.
    is_closed: bool = False
    #: Free tokens, for the log of a later incarnation; 0 in rows of older versions.
    free: int = 0
    #: Tokens in unsettled holds that aren't in the reserve, for the same log.
    held: int = 0

    def __str__(self) -> str:
        """Return the credit as part of a log line."""
        return (
            f"received={self.received} settled={self.settled} free={self.free} "
            f"held={self.held} reserve={self.reserve}"
        )


class Shortage(enum.StrEnum):
    """Why a request gets no credit."""

    #: Spent tokens leave too little of the budget for the request.
    EXHAUSTED = "exhausted"
    #: Other daemons hold tokens that are not settled, and too few are unallocated.
    UNPROVEN = "unproven"
    #: The store was restored from a copy, and daemons still report what they hold.
    RESTORING = "restoring"
    #: The store does not answer.
    UNREACHABLE = "unreachable"


@frozen
class CreditSettings:
    """Amounts of credit that a daemon keeps, and timing of renewal and release.

    Free credit stays charged if the daemon crashes. The outage reserve is released
    gradually while the store does not answer; a later incarnation of the daemon
    reclaims the part that cannot have been released when it started.
    """

    #: Seconds of average demand kept as free credit.
    free_seconds: float = 2.0
    #: Seconds of average demand kept as free credit and reserve together.
    combined_seconds: float = 20.0
    #: Maximum share of a budget that all daemons of a small fleet together keep as free
    #: credit, which a crash of the fleet loses. It binds for budgets of a few minutes
    #: of demand.
    max_free_share: float = 0.01
    #: The same share in a large fleet, whose daemons transfer credit in an outage.
    large_fleet_free_share: float = 0.03
    #: Requests of mean cost kept as free credit without recent demand.
    free_requests: float = 1.0
    #: Requests of mean cost kept as free credit and reserve together without recent
    #: demand.
    combined_requests: float = 3.0
    #: Maximum share, of the tokens not allocated to other daemons, kept for demand.
    demand_share: float = 0.5
    #: Maximum share, of the tokens not allocated to other daemons, kept without recent
    #: demand.
    idle_share: float = 0.04
    #: Number of daemons above which both shares shrink in proportion. It is larger than
    #: 1 because callers aren't evenly divided among daemons.
    full_share_fleet_size: int = 10
    #: Share of the unspent tokens, not allocated to any daemon, below which daemons of
    #: a large fleet keep nothing; 0 in a small fleet.
    min_unallocated_share: float = 0.2
    #: The same share at which daemons of a large fleet keep all that they want.
    full_unallocated_share: float = 0.5
    #: The same share at which daemons of a small fleet keep all that they want. What a
    #: daemon keeps there is used where it lies, as each serves many of the callers.
    small_fleet_unallocated_share: float = 0.4
    #: Seconds without a reply from the store before the release of reserves starts.
    release_delay: float = 1.0
    #: Seconds from the start of the release until all of the reserves are released.
    release_period: float = 10.0
    #: Seconds by which two clocks may drift apart during release delay and period; a
    #: daemon releases its reserves that much later.
    clock_margin: float = 0.2
    #: Seconds between two regular renewals in a fleet of at most `small_fleet_size`.
    renewal_interval: float = 2.5
    #: Seconds between two renewals of a daemon's stamp in a fleet of at most
    #: `small_stamp_fleet_size`. What a crashed daemon may have released of its reserves
    #: grows by it.
    stamp_interval: float = 0.5
    #: Factor on the renewal interval while a large fleet has an ample budget.
    ample_interval_factor: float = 2.0
    #: Number of daemons above which the interval grows in proportion to the fleet, so
    #: that the renewals per second of the whole fleet stay constant.
    small_fleet_size: int = 70
    #: Number of daemons above which the interval of stamps grows in the same way. The
    #: stamps of all daemons are in one part of the table, which limits their rate.
    small_stamp_fleet_size: int = 35
    #: Time constant, in seconds, of the moving average of the demand.
    demand_period: float = 6.0
    #: Seconds after the first row of a new era during which no credit is allocated;
    #: meanwhile daemons record what they hold and the copy doesn't contain.
    restore_delay: float = 2.5
    #: Share of a budget that is not allocated once the store was restored. It covers
    #: what daemons that died or can't reach the store have spent of lost allocations.
    restore_margin: float = 0.03

    def get_renewal_interval(self, daemons: int) -> float:
        """Return the seconds between two regular renewals for a number of daemons."""
        return self.renewal_interval * max(1.0, daemons / self.small_fleet_size)

    def get_stamp_interval(self, daemons: int) -> float:
        """Return the seconds between two stamps for a number of daemons."""
        return self.stamp_interval * max(1.0, daemons / self.small_stamp_fleet_size)

    def get_fleet_share(self, daemons: int) -> float:
        """Return the factor by which the maximum shares of one daemon shrink."""
        return min(1.0, self.full_share_fleet_size / daemons)

    def get_kept_share(self, unallocated: int, unspent: int, daemons: int) -> float:
        """Return which share of the credit that daemons want they may keep.

        Parameters
        ----------
        unallocated
            Tokens of the budget not allocated to any daemon.
        unspent
            Tokens of the budget that are not spent.
        daemons
            Number of daemons in the fleet.
        """
        largeness = self._get_largeness(daemons)
        least = self.min_unallocated_share * largeness
        small, large = self.small_fleet_unallocated_share, self.full_unallocated_share
        full = small + (large - small) * largeness
        share = unallocated / max(1, unspent)
        return min(1.0, max(0.0, (share - least) / (full - least)))

    def get_free_share(self, daemons: int) -> float:
        """Return the share of a budget that all daemons keep as free credit."""
        largeness = self._get_largeness(daemons)
        small, large = self.max_free_share, self.large_fleet_free_share
        return small + (large - small) * largeness

    def _get_largeness(self, daemons: int) -> float:
        """Return 0 up to `full_share_fleet_size`, rising to 1 at twice that size."""
        return min(1.0, max(0.0, daemons / self.full_share_fleet_size - 1))

    def get_released_share(self, age: float) -> float:
        """Return the share of the reserves that is released after `age` seconds.

        The age counts from the first transaction without a reply.
        """
        return min(1.0, max(0.0, (age - self.release_delay) / self.release_period))


@frozen
class CreditState:
    """An organisation's credit in one daemon, as logged when a request is refused."""

    #: Prepaid tokens.
    limit: int
    #: Tokens allocated to all daemons, by the cached total row.
    charged: int
    #: Tokens recorded as spent, by the cached total row.
    settled: int
    #: Free tokens of this daemon.
    free: int
    #: Tokens in this daemon's outage reserve.
    reserve: int
    #: Tokens in this daemon's unsettled holds.
    held: int
    #: Seconds since the total row was read.
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
    """Tokens reserved for the maximum cost of one request.

    Nothing may be spent of a hold while a part of it is pledged, since that part is
    reclaimed if the daemon crashes.
    """

    #: Organisation that pays.
    organisation: str
    #: Tokens held.
    tokens: int
    #: Time in seconds, by the event loop's clock, at which the hold was acquired.
    held_at: float
    #: Tokens of it that are still in the outage reserve.
    pledged: int = 0
    #: Whether those tokens are to leave the reserve.
    is_activating: bool = False
    #: Whether the hold has been settled, which happens once.
    is_settled: bool = False
