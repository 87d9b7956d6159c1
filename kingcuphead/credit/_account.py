"""The credit of one organisation in one daemon."""

import dataclasses
import math

from kingcuphead.credit._messages import CreditSettings, CreditState, TotalRow

#: Tokens of a usual request before there was one.
FIRST_USUAL_REQUEST = 4_000
#: Part of a target below which a change is left for later.
DAMPING = 0.2
#: Seconds of demand at least that an average is taken from.
SHORTEST_OBSERVATION = 2.0
#: Seconds after which the total is looked at again where credit is at hand.
STALE_AFTER = 3.0
#: The same where a request waits for credit.
STALE_FOR_WAITING = 0.2
#: Weight of the newest request in the usual one.
USUAL_REQUEST_WEIGHT = 0.2


@dataclasses.dataclass(frozen=True, slots=True)
class Adjustment:
    """What one transaction does to an organisation's credit in this daemon."""

    #: Change of the tokens that may be spent at any time.
    free: int
    #: Change of the tokens set aside for an outage.
    reserve: int
    #: Tokens newly proved to be spent.
    settled: int

    @property
    def granted(self) -> int:
        """Tokens taken from the total; negative where credit is returned."""
        return self.free + self.reserve

    @property
    def touches_total(self) -> bool:
        """Whether the total changes."""
        return bool(self.granted or self.settled)

    @property
    def is_internal(self) -> bool:
        """Whether it only moves tokens inside the daemon; else the total is read too.

        An adjustment that changes nothing serves to see the total again.
        """
        return bool(self.free) and not self.touches_total


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
        self._first_demand_at: float | None = None
        self._seen_at = 0.0
        self._usual_request = float(FIRST_USUAL_REQUEST)
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
        #: Tokens set aside for an outage of the store.
        self.reserve = 0
        #: Tokens that were freed from it since the store answered last.
        self.used_reserve = 0
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

    def take_total(self, total: TotalRow, version: int, now: float) -> None:
        """Take the total as it is in the store now."""
        self.total = total
        self.row_version = version
        self.is_known = True
        self._seen_at = now

    def describe(self, now: float) -> CreditState:
        """Return what is known, for a log line."""
        return CreditState(
            limit=self._get_limit(),
            charged=self.total.charged,
            settled=self.total.settled,
            free=self.free,
            reserve=self.reserve,
            held=self.held,
            age=now - self._seen_at,
        )

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

    def lend(self, tokens: int) -> int:
        """Give up to so many tokens away; those that requests wait for stay."""
        spare = 0 if self._is_overdrawn() else self.free - self.wanted
        lent = max(0, min(tokens, spare))
        self.free -= lent
        return lent

    def borrow(self, tokens: int) -> None:
        """Take tokens that another daemon gave away."""
        self.free += tokens

    def use_reserve(self, tokens: int, share: float) -> None:
        """Free what a request lacks, up to a share of what was set aside."""
        released = math.floor((self.reserve + self.used_reserve) * share)
        missing = max(0, tokens - self.free)
        used = min(missing, max(0, released - self.used_reserve), self.reserve)
        self.free += used
        self.reserve -= used
        self.used_reserve += used

    def plan(self, now: float) -> Adjustment | None:
        """Return what the next transaction should do, or None for nothing."""
        if self._is_overdrawn():
            adjustment = Adjustment(-self.free, -self.reserve, self.unreported)
        else:
            free, reserve = self._plan_changes(now)
            adjustment = Adjustment(free, reserve, self.unreported)
        is_idle = adjustment.free == 0 and adjustment.reserve == 0
        if is_idle and not self.unreported and not self._is_stale(now):
            return None
        return adjustment

    def begin(self, adjustment: Adjustment) -> TotalRow:
        """Set aside what a transaction gives away, and return the new total."""
        self.free += min(0, adjustment.free)
        self.reserve += min(0, adjustment.reserve)
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
        self.free += max(0, adjustment.free)
        self.reserve += max(0, adjustment.reserve)

    def cancel(self, adjustment: Adjustment) -> None:
        """Take back what was set aside for a transaction that had no effect."""
        self.free -= min(0, adjustment.free)
        self.reserve -= min(0, adjustment.reserve)
        self.unreported += adjustment.settled

    def _is_stale(self, now: float) -> bool:
        """Whether credit is kept here that others may need by now."""
        age = now - self._seen_at
        if not self.is_known or (self.wanted > self.free and age > STALE_FOR_WAITING):
            return True
        return self.free + self.reserve > 0 and age > STALE_AFTER

    def _plan_changes(self, now: float) -> tuple[int, int]:
        """Return the changes of what may be spent and of what is set aside."""
        settings = self._settings
        target = self._get_target(
            settings.spending_seconds, settings.spending_requests, now
        )
        total_target = self._get_target(
            settings.reserve_seconds, settings.reserve_requests, now
        )
        free = _damp(self.wanted + target - self.free, target)
        # What a waiting request needs may come out of what was set aside.
        free = min(free, self.available + self.reserve)
        left = self.available - free
        reserve = _damp(total_target - target - self.reserve, total_target)
        return free, max(min(reserve, left), -self.reserve)

    def _get_target(self, seconds: float, requests: float, now: float) -> int:
        """Return the tokens that should be at hand for a time or some requests."""
        settings = self._settings
        untaken = self.available + self.free + self.reserve
        demand = min(self._get_demand(now) * seconds, untaken * settings.demand_share)
        idle = min(self._usual_request * requests, untaken * settings.idle_share)
        return int(max(demand, idle))

    def count_demand(self, tokens: int, now: float) -> None:
        """Take note that a request wants tokens."""
        if self._first_demand_at is None:
            self._first_demand_at = now
        rate = tokens / self._settings.demand_period
        self._demand_per_second = self._demand_per_second * self._get_decay(now) + rate
        self._demand_at = now
        change = tokens - self._usual_request
        self._usual_request += USUAL_REQUEST_WEIGHT * change

    def correct_demand(self, unspent: int, asked_at: float, now: float) -> None:
        """Take back what a request asked for and did not spend."""
        period = self._settings.demand_period
        rate = unspent / period * math.exp((asked_at - now) / period)
        left = self._demand_per_second * self._get_decay(now) - rate
        self._demand_per_second = max(0.0, left)
        self._demand_at = now

    def _get_demand(self, now: float) -> float:
        """Return the tokens wanted in a second, averaged since the first request."""
        if self._first_demand_at is None:
            return 0.0
        age = max(SHORTEST_OBSERVATION, now - self._first_demand_at)
        observed = 1 - math.exp(-age / self._settings.demand_period)
        return self._demand_per_second * self._get_decay(now) / observed

    def _get_decay(self, now: float) -> float:
        elapsed = max(0.0, now - self._demand_at)
        return math.exp(-elapsed / self._settings.demand_period)

    def _get_limit(self) -> int:
        if self.total.limit_version > self.limit_version:
            return self.total.limit
        return self.limit

    def _is_overdrawn(self) -> bool:
        """Whether the limit was cut below what the daemons hold already."""
        return self.is_known and self.total.charged > self._get_limit()


def _damp(change: int, target: int) -> int:
    """Return a change, or 0 where it is too small to be worth a transaction."""
    if change >= 0:
        return change if change > DAMPING * target else 0
    return change if -change > target * (1 + DAMPING) else 0
