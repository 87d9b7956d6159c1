"""The credit of one organisation in one daemon."""

import dataclasses
import math

from kingcuphead.credit._messages import CreditSettings, TotalRow


@dataclasses.dataclass(frozen=True, slots=True)
class Adjustment:
    """What one transaction does to an organisation's total, seen from this daemon."""

    #: Tokens taken from the total; negative where credit is returned.
    granted: int
    #: Tokens newly proved to be spent.
    settled: int


class Account:
    """Credit at hand, holds and demand of one organisation.

    Parameters
    ----------
    settings
        How much is kept at hand.
    """

    def __init__(self, settings: CreditSettings) -> None:
        self._settings = settings
        self._demand_per_second = 0.0
        self._demand_at = 0.0
        #: Prepaid tokens by the configuration in force here.
        self.limit = 0
        #: Version of that configuration.
        self.limit_version = 0
        #: The total as it was last seen.
        self.total = TotalRow()
        #: Version of the total's row; 0 where it does not exist.
        self.row_version = 0
        #: Whether the total was ever read.
        self.is_known = False
        #: Tokens at hand that nothing is reserved for.
        self.free = 0
        #: Tokens reserved for requests.
        self.held = 0
        #: Tokens spent that the total does not show yet.
        self.unreported = 0
        #: Tokens that waiting requests need.
        self.wanted = 0

    @property
    def available(self) -> int:
        """Tokens that nobody has taken, as last seen."""
        return max(0, self._get_limit() - self.total.charged)

    @property
    def unspent(self) -> int:
        """Tokens that are not proved to be spent, as last seen."""
        return max(0, self._get_limit() - self.total.settled - self.unreported)

    def take_total(self, total: TotalRow, version: int) -> None:
        """Take the total as it is in the store now."""
        self.total = total
        self.row_version = version
        self.is_known = True

    def hold(self, tokens: int) -> bool:
        """Reserve tokens if enough are at hand."""
        if tokens > self.free or self._is_overdrawn():
            return False
        self.free -= tokens
        self.held += tokens
        return True

    def settle(self, held: int, spent: int) -> None:
        """End a reservation; what was not spent is at hand again."""
        self.held -= held
        self.free += held - spent
        self.unreported += spent

    def plan(self, now: float) -> Adjustment | None:
        """Return what the next transaction should do, or None for nothing."""
        granted = self._plan_grant(now)
        if granted == 0 and self.unreported == 0 and self.is_known:
            return None
        return Adjustment(granted, self.unreported)

    def begin(self, adjustment: Adjustment) -> TotalRow:
        """Set aside what a transaction gives away, and return the new total."""
        self.free += min(0, adjustment.granted)
        self.unreported -= adjustment.settled
        version = max(self.limit_version, self.total.limit_version)
        return TotalRow(
            charged=self.total.charged + adjustment.granted,
            settled=self.total.settled + adjustment.settled,
            limit_version=version,
            limit=self._get_limit(),
        )

    def confirm(self, adjustment: Adjustment) -> None:
        """Take what a transaction granted, once it is known to have been applied."""
        self.free += max(0, adjustment.granted)

    def cancel(self, adjustment: Adjustment) -> None:
        """Take back what was set aside for a transaction that had no effect."""
        self.free -= min(0, adjustment.granted)
        self.unreported += adjustment.settled

    def _plan_grant(self, now: float) -> int:
        reserve = self._get_reserve(now)
        if self.wanted > self.free or self.free < reserve / 2:
            # A request that waits may take the last tokens, a reserve may not.
            extra = max(0, self.wanted - self.free)
            ahead = min(reserve, int(self.available * self._settings.reserve_share))
            needed = extra + max(0, ahead - max(0, self.free - self.wanted))
            if extra <= self.available:
                return min(needed, self.available)
        if self._is_overdrawn():
            return -self.free
        excess = self.free - self.wanted - 2 * reserve
        return -excess if excess > reserve / 2 else 0

    def _get_reserve(self, now: float) -> int:
        elapsed = max(0.0, now - self._demand_at)
        demand = self._demand_per_second * math.exp(
            -elapsed / self._settings.demand_period
        )
        share = int(self.available * self._settings.reserve_share)
        return min(int(demand * self._settings.reserve_seconds), share)

    def count_demand(self, tokens: int, now: float) -> None:
        """Take note that a request wants tokens."""
        period = self._settings.demand_period
        decay = math.exp(-max(0.0, now - self._demand_at) / period)
        self._demand_per_second = self._demand_per_second * decay + tokens / period
        self._demand_at = now

    def _get_limit(self) -> int:
        if self.total.limit_version > self.limit_version:
            return self.total.limit
        return self.limit

    def _is_overdrawn(self) -> bool:
        """Whether the limit was cut below what the daemons hold already."""
        return self.is_known and self.total.charged > self._get_limit()
