"""The credit of one organisation in one daemon."""

import dataclasses
import math

from kingcuphead.credit._messages import CreditSettings, CreditState, TotalRow

#: Initial estimate of the mean tokens of a request, before any request is recorded.
INITIAL_REQUEST_TOKENS = 4_000
#: Fraction of the desired tokens below which a change is not worth a transaction.
CHANGE_THRESHOLD = 0.2
#: Minimum seconds over which demand is averaged after an organisation's first request.
MIN_OBSERVATION_SECONDS = 2.0
#: Seconds after which the total row is read again while this daemon keeps free credit
#: or a reserve, which other daemons may need by then.
TOTAL_MAX_AGE_SECONDS = 3.0
#: Seconds after which the total row is read again while requests wait for credit.
WAITING_TOTAL_MAX_AGE_SECONDS = 0.2
#: Weight of the newest request in the moving average of tokens per request.
REQUEST_TOKENS_WEIGHT = 0.2


@dataclasses.dataclass(frozen=True, slots=True)
class Adjustment:
    """Changes that one transaction makes to an organisation's credit in this daemon."""

    #: Change of the free tokens.
    free: int
    #: Change of the tokens in the outage reserve.
    reserve: int
    #: Spent tokens that the transaction adds to the settled tokens of the total row.
    settled: int

    @property
    def allocated(self) -> int:
        """Tokens allocated from the budget; negative if tokens are returned to it."""
        return self.free + self.reserve

    @property
    def changes_total(self) -> bool:
        """Whether the values in the total row change."""
        return bool(self.allocated or self.settled)

    @property
    def is_internal(self) -> bool:
        """Whether tokens only move between free credit and reserve.

        All other adjustments check the total row. An adjustment that changes nothing
        checks it to refresh the daemon's cached copy of the row.
        """
        return bool(self.free) and not self.changes_total


class Account:
    """Free credit, reserve, holds and demand of one organisation.

    Parameters
    ----------
    settings
        How much credit the daemon keeps.
    """

    def __init__(self, settings: CreditSettings) -> None:
        self._settings = settings
        self._demand_per_second = 0.0
        self._demand_updated_at = 0.0
        self._first_demand_at: float | None = None
        self._total_read_at = 0.0
        self._mean_request_tokens = float(INITIAL_REQUEST_TOKENS)
        #: Prepaid tokens in the daemon's current configuration.
        self.limit = 0
        #: Version of that configuration.
        self.limit_version = 0
        #: Cached total row.
        self.total = TotalRow()
        #: Version of the cached total row; 0 if the row does not exist.
        self.total_version = 0
        #: Whether the total row has been read at least once.
        self.is_total_known = False
        #: Tokens that may be spent now and are not held.
        self.free = 0
        #: Tokens kept for an outage of the store.
        self.reserve = 0
        #: Tokens released from the reserve since the last committed transaction.
        self.released_reserve = 0
        #: Tokens in unsettled holds.
        self.held = 0
        #: Tokens spent and not yet settled in the total row.
        self.unreported = 0
        #: Tokens that waiting requests need.
        self.waiting_tokens = 0

    @property
    def unallocated(self) -> int:
        """Tokens of the budget not allocated to any daemon, by the cached total row."""
        return max(0, self._get_limit() - self.total.charged)

    @property
    def unspent(self) -> int:
        """Tokens of the budget that are neither settled nor spent in this daemon."""
        return max(0, self._get_limit() - self.total.settled - self.unreported)

    def update_total(self, total: TotalRow, version: int, now: float) -> None:
        """Replace the cached total row."""
        self.total = total
        self.total_version = version
        self.is_total_known = True
        self._total_read_at = now

    def describe(self, now: float) -> CreditState:
        """Return the current values for a log line."""
        return CreditState(
            limit=self._get_limit(),
            charged=self.total.charged,
            settled=self.total.settled,
            free=self.free,
            reserve=self.reserve,
            held=self.held,
            age=now - self._total_read_at,
        )

    def hold(self, tokens: int) -> bool:
        """Hold tokens for a request, or return False if too few are free."""
        if tokens > self.free or self._is_overdrawn():
            return False
        self.free -= tokens
        self.held += tokens
        return True

    def settle(self, held: int, spent: int) -> None:
        """End a hold; unspent tokens become free again."""
        self.held -= held
        self.free += held - spent
        self.unreported += spent

    def transfer_out(self, tokens: int) -> int:
        """Deduct at most `tokens` for another daemon and return the amount deducted.

        Tokens that local requests wait for are not transferred.
        """
        spare = 0 if self._is_overdrawn() else self.free - self.waiting_tokens
        transferred = max(0, min(tokens, spare))
        self.free -= transferred
        return transferred

    def transfer_in(self, tokens: int) -> None:
        """Add tokens received from another daemon."""
        self.free += tokens

    def release_reserve(self, tokens: int, share: float) -> None:
        """Release what a request lacks, up to a share of the outage reserve.

        Tokens released since the last committed transaction count towards the share.
        """
        releasable = math.floor((self.reserve + self.released_reserve) * share)
        missing = max(0, tokens - self.free)
        released = min(
            missing, max(0, releasable - self.released_reserve), self.reserve
        )
        self.free += released
        self.reserve -= released
        self.released_reserve += released

    def plan(self, now: float) -> Adjustment | None:
        """Return the adjustment for the next transaction, or None if none is needed."""
        if self._is_overdrawn():
            adjustment = Adjustment(-self.free, -self.reserve, self.unreported)
        else:
            free, reserve = self._plan_changes(now)
            adjustment = Adjustment(free, reserve, self.unreported)
        is_idle = adjustment.free == 0 and adjustment.reserve == 0
        if is_idle and not self.unreported and not self._is_total_stale(now):
            return None
        return adjustment

    def begin(self, adjustment: Adjustment) -> TotalRow:
        """Deduct what a transaction returns or settles, and return the new total row.

        Deducting before the transaction is sent keeps returned tokens from being spent.
        """
        self.free += min(0, adjustment.free)
        self.reserve += min(0, adjustment.reserve)
        self.unreported -= adjustment.settled
        version = max(self.limit_version, self.total.limit_version)
        return TotalRow(
            charged=self.total.charged + adjustment.allocated,
            settled=self.total.settled + adjustment.settled,
            limit_version=version,
            limit=self._get_limit(),
        )

    def confirm(self, adjustment: Adjustment) -> None:
        """Add the tokens that a committed transaction allocated."""
        self.free += max(0, adjustment.free)
        self.reserve += max(0, adjustment.reserve)

    def cancel(self, adjustment: Adjustment) -> None:
        """Undo the deductions of `begin` for a transaction that was not applied."""
        self.free -= min(0, adjustment.free)
        self.reserve -= min(0, adjustment.reserve)
        self.unreported += adjustment.settled

    def _is_total_stale(self, now: float) -> bool:
        """Whether the cached total row is missing or too old.

        Since it was read, other daemons may have come to need this daemon's credit.
        """
        age = now - self._total_read_at
        if not self.is_total_known or (
            self.waiting_tokens > self.free and age > WAITING_TOTAL_MAX_AGE_SECONDS
        ):
            return True
        return self.free + self.reserve > 0 and age > TOTAL_MAX_AGE_SECONDS

    def _plan_changes(self, now: float) -> tuple[int, int]:
        """Return the changes of the free tokens and of the reserve."""
        settings = self._settings
        desired_free = self._compute_desired_tokens(
            settings.free_seconds, settings.free_requests, now
        )
        desired_total = self._compute_desired_tokens(
            settings.combined_seconds, settings.combined_requests, now
        )
        free = _suppress_small_change(
            self.waiting_tokens + desired_free - self.free, desired_free
        )
        # Waiting requests may be served from the reserve.
        free = min(free, self.unallocated + self.reserve)
        remaining = self.unallocated - free
        reserve = _suppress_small_change(
            desired_total - desired_free - self.reserve, desired_total
        )
        return free, max(min(reserve, remaining), -self.reserve)

    def _compute_desired_tokens(
        self, seconds: float, requests: float, now: float
    ) -> int:
        """Return the tokens to keep for a period of demand or a number of requests."""
        settings = self._settings
        obtainable = self.unallocated + self.free + self.reserve
        demand = min(
            self._get_demand(now) * seconds, obtainable * settings.demand_share
        )
        idle = min(
            self._mean_request_tokens * requests, obtainable * settings.idle_share
        )
        return int(max(demand, idle))

    def record_demand(self, tokens: int, now: float) -> None:
        """Add the tokens of a new request to the demand and to the mean request."""
        if self._first_demand_at is None:
            self._first_demand_at = now
        rate = tokens / self._settings.demand_period
        self._demand_per_second = self._demand_per_second * self._get_decay(now) + rate
        self._demand_updated_at = now
        change = tokens - self._mean_request_tokens
        self._mean_request_tokens += REQUEST_TOKENS_WEIGHT * change

    def correct_demand(self, unspent: int, requested_at: float, now: float) -> None:
        """Subtract the tokens that a request asked for and did not spend."""
        period = self._settings.demand_period
        rate = unspent / period * math.exp((requested_at - now) / period)
        corrected = self._demand_per_second * self._get_decay(now) - rate
        self._demand_per_second = max(0.0, corrected)
        self._demand_updated_at = now

    def _get_demand(self, now: float) -> float:
        """Return the demand in tokens per second, averaged since the first request."""
        if self._first_demand_at is None:
            return 0.0
        age = max(MIN_OBSERVATION_SECONDS, now - self._first_demand_at)
        observed = 1 - math.exp(-age / self._settings.demand_period)
        return self._demand_per_second * self._get_decay(now) / observed

    def _get_decay(self, now: float) -> float:
        elapsed = max(0.0, now - self._demand_updated_at)
        return math.exp(-elapsed / self._settings.demand_period)

    def _get_limit(self) -> int:
        if self.total.limit_version > self.limit_version:
            return self.total.limit
        return self.limit

    def _is_overdrawn(self) -> bool:
        """Whether the limit was lowered below the tokens allocated to all daemons."""
        return self.is_total_known and self.total.charged > self._get_limit()


def _suppress_small_change(change: int, desired: int) -> int:
    """Return the change, or 0 if it is too small to be worth a transaction."""
    if change >= 0:
        return change if change > CHANGE_THRESHOLD * desired else 0
    return change if -change > desired * (1 + CHANGE_THRESHOLD) else 0
