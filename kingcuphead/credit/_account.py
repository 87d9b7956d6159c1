"""The credit of one organisation in one daemon."""

import math
from collections.abc import Mapping

from kingcuphead.credit._budget import Budget, Limit, Shard
from kingcuphead.credit._demand import Demand, SpendShare
from kingcuphead.credit._messages import CreditSettings, CreditState
from kingcuphead.frozen import frozen

#: Initial estimate of the mean tokens of a request, before any request is recorded.
INITIAL_REQUEST_TOKENS = 4_000
#: Fraction of the desired tokens below which a change is not worth a transaction.
CHANGE_THRESHOLD = 0.2
#: Seconds after which the shards are read again while this daemon keeps free credit
#: or a reserve, which other daemons may need by then.
BUDGET_MAX_AGE_SECONDS = 3.0
#: Seconds after which the shards are read again while requests wait for credit, and
#: before a transaction, which would conflict if another daemon has changed them.
FRESH_BUDGET_MAX_AGE_SECONDS = 0.2
#: Share of the desired free tokens below which credit is renewed at once.
LOW_CREDIT_SHARE = 0.5
#: Share of a budget above which the daemons' free tokens that nobody needs, such as
#: what requests have left over, are moved to the reserves without delay.
EXPOSED_SURPLUS_SHARE = 0.003
#: Seconds after which another daemon's request for tokens of the reserve expires.
RESERVE_REQUEST_SECONDS = 0.3
#: Seconds of demand that a daemon requests from others while the store doesn't answer.
TRANSFER_SECONDS = 0.5
#: Requests of mean cost that other daemons are assumed to have spent, so that the first
#: requests of an organisation don't give one daemon the whole share.
SPEND_PRIOR_REQUESTS = 20
#: Weight of the newest request in the moving average of tokens per request.
REQUEST_TOKENS_WEIGHT = 0.2


@frozen
class Adjustment:
    """Changes that one transaction makes to an organisation's credit in this daemon."""

    #: Change of the free tokens.
    free: int
    #: Change of the tokens in the outage reserve.
    reserve: int
    #: Spent tokens that the transaction adds to the settled tokens of the budget.
    settled: int

    @property
    def allocated(self) -> int:
        """Tokens allocated from the budget; negative if tokens are returned to it."""
        return self.free + self.reserve

    @property
    def returned(self) -> int:
        """Tokens deducted from free credit and reserve before the transaction."""
        return -min(0, self.free) - min(0, self.reserve)

    @property
    def is_move(self) -> bool:
        """Whether it moves tokens from the reserve to the free credit, and no more."""
        return self.reserve < 0 < self.free and not self.changes_budget

    @property
    def changes_budget(self) -> bool:
        """Whether the values in the shards change."""
        return bool(self.allocated or self.settled)


class Account:
    """Free credit, reserve, holds and demand of one organisation.

    Parameters
    ----------
    settings
        How much credit the daemon keeps.
    """

    def __init__(self, settings: CreditSettings) -> None:
        self._settings = settings
        self._demand = Demand(settings.demand_period)
        self._spend_share = SpendShare()
        self._budget_read_at = 0.0
        self._mean_request_tokens = float(INITIAL_REQUEST_TOKENS)
        #: Number of daemons in the fleet, by the membership view; includes this one.
        self.daemons = 1
        #: Prepaid tokens in the daemon's current configuration.
        self.limit = 0
        #: Version of that configuration.
        self.limit_version = 0
        #: Cached shards of the budget.
        self.budget = Budget()
        #: Whether the shards were read in the current era of the store.
        self.is_budget_known = False
        #: Tokens that may be spent now and are not held.
        self.free = 0
        #: Tokens kept for an outage of the store.
        self.reserve = 0
        #: Tokens released from the reserve since the last committed transaction.
        self.released_reserve = 0
        #: Tokens in unsettled holds, without those that are pledged.
        self.held = 0
        #: Tokens of holds that are in the reserve or, until the next transaction moves
        #: them there, among the free tokens.
        self.pledged = 0
        #: Pledged tokens that are to leave the reserve, as their requests are about to
        #: spend them.
        self.activating = 0
        #: Tokens spent and not yet recorded in the store.
        self.unreported = 0
        #: Tokens that waiting requests need.
        self.waiting_tokens = 0
        #: Those of them that may be allocated to the reserve and pledged.
        self.waiting_pledges = 0
        #: Tokens of the reserve that other daemons asked for, until a time in seconds.
        self._requested_reserve = 0
        self._requested_until = float("-inf")
        #: Whether activations have used free credit since the last transaction.
        self.is_refill_due = False
        #: Whether the next transaction moves the surplus to the reserve.
        self.is_surplus_due = False
        #: Tokens spent since the incarnation started.
        self.spent = 0
        #: Tokens transferred to other daemons, less those transferred from them, since
        #: the incarnation started.
        self.transferred = 0

    @property
    def unallocated(self) -> int:
        """Tokens of the budget that may be allocated, by the cached shards."""
        return self.budget.count_unallocated(self.get_limit())

    @property
    def unpledged(self) -> int:
        """Tokens of the reserve that belong to no hold."""
        return max(0, self.reserve - self.pledged)

    @property
    def claimed_free(self) -> int:
        """Free tokens that belong to pledged holds."""
        return max(self.activating, self.pledged - self.reserve)

    @property
    def pledgeable(self) -> int:
        """Tokens that a new hold may be pledged."""
        return 0 if self._is_overdrawn() else self.reserve + self.free - self.pledged

    @property
    def received(self) -> int:
        """Tokens received from the budget less those returned to it.

        Transferred tokens count for the daemon that received them from the budget.
        """
        return self.free + self.reserve + self.held + self.spent + self.transferred

    @property
    def unspent(self) -> int:
        """Tokens of the budget that are neither settled nor spent in this daemon."""
        settled = self.budget.settled + self.unreported
        return max(0, self.get_limit().tokens - settled)

    @property
    def interval_factor(self) -> float:
        """Factor on the time between regular renewals.

        In a large fleet most of the renewals only settle spent tokens and return small
        amounts, which nobody needs while the budget is ample.
        """
        settings = self._settings
        if not self.is_budget_known:
            return 1.0
        is_large = self.daemons > settings.full_share_fleet_size
        kept = settings.get_kept_share(self.unallocated, self.unspent, self.daemons)
        return settings.ample_interval_factor if is_large and kept == 1.0 else 1.0

    def get_limit(self) -> Limit:
        """Return the newest limit that this daemon or a shard row has."""
        stored = self.budget.newest
        tokens, version = self.limit, self.limit_version
        if stored.limit_version > version:
            tokens, version = stored.limit, stored.limit_version
        share = self._settings.restore_margin if self.budget.opened_ms else 0.0
        return Limit(tokens, version, math.ceil(tokens * share))

    def replace_shards(self, changed: Mapping[int, Shard]) -> None:
        """Replace some of the cached shards; the others keep their age."""
        self.budget = self.budget.with_shards(changed)

    def update_budget(self, budget: Budget, now: float) -> None:
        """Replace the cached shards with those that were read at the time `now`."""
        self.budget = budget
        self.is_budget_known = True
        self._budget_read_at = now
        self._spend_share.record(self.spent - self.unreported, budget.settled, now)

    def describe(self, now: float) -> CreditState:
        """Return the current values for a log line."""
        return CreditState(
            limit=self.get_limit().tokens,
            charged=self.budget.charged,
            settled=self.budget.settled,
            free=self.free,
            reserve=self.reserve,
            held=self.held,
            age=now - self._budget_read_at,
        )

    def can_hold(self, tokens: int) -> bool:
        """Whether enough tokens are free that no other request is about to use."""
        return tokens <= self.free - self.claimed_free and not self._is_overdrawn()

    def hold(self, tokens: int) -> bool:
        """Hold tokens for a request, or return False if too few are free."""
        if not self.can_hold(tokens):
            return False
        self.free -= tokens
        self.held += tokens
        return True

    def pledge(self, tokens: int) -> bool:
        """Pledge tokens to a request, or return False if there are too few.

        They stay in the holder row's reserve until `activate`, so that a crash before
        the request spends anything doesn't lose them.
        """
        if tokens > self.pledgeable:
            return False
        self.pledged += tokens
        return True

    def activate(self, tokens: int) -> bool:
        """Replace pledged tokens by free ones; return False if too few are free."""
        if tokens > self.free:
            return False
        self.free -= tokens
        self.held += tokens
        self.pledged -= tokens
        self.is_refill_due = True
        return True

    def unpledge(self, tokens: int) -> None:
        """Return pledged tokens to the rest of the reserve."""
        self.pledged -= tokens

    def settle(self, held: int, spent: int) -> None:
        """End a hold; unspent tokens become free again."""
        self.held -= held
        self.free += held - spent
        self.unreported += spent
        self.spent += spent

    def transfer_out(self, tokens: int) -> int:
        """Deduct at most `tokens` for another daemon and return the amount deducted.

        Tokens that local requests wait for are not transferred.
        """
        transferred = max(0, min(tokens, self.count_transferable()))
        self.free -= transferred
        self.transferred += transferred
        return transferred

    def count_transferable(self) -> int:
        """Return the free tokens that no local request waits for."""
        if self._is_overdrawn():
            return 0
        return max(0, self.free - self.waiting_tokens - self.claimed_free)

    def count_surplus(self, now: float) -> int:
        """Return the free tokens beyond what the demand here needs."""
        needed = self._demand.get_rate(now) * self._settings.free_seconds
        return max(0, self.count_transferable() - math.ceil(needed))

    def count_lacking(self, now: float) -> int:
        """Return what the free tokens lack for `TRANSFER_SECONDS` of demand."""
        needed = math.ceil(self._demand.get_rate(now) * TRANSFER_SECONDS)
        return max(0, needed - self.count_transferable())

    def request_reserve(self, tokens: int, now: float) -> None:
        """Plan to move tokens from the reserve to the free credit.

        The reserve of the holder row shrinks by the same transaction, so a later
        incarnation doesn't reclaim tokens that were transferred.
        """
        self._requested_reserve = max(self.count_requested_reserve(now), tokens)
        self._requested_until = now + RESERVE_REQUEST_SECONDS

    def count_requested_reserve(self, now: float) -> int:
        """Return the tokens of the reserve that other daemons have asked for."""
        if now > self._requested_until or self._is_overdrawn():
            return 0
        return min(self._requested_reserve, self.unpledged)

    def transfer_in(self, tokens: int) -> None:
        """Add tokens received from another daemon."""
        self.free += tokens
        self.transferred -= tokens

    def release_reserve(self, tokens: int, share: float) -> None:
        """Release what a request lacks, up to a share of the outage reserve.

        Tokens released since the last committed transaction count towards the share.
        Pledged tokens are left to their requests.
        """
        missing = max(0, tokens + self.claimed_free - self.free)
        self._release(min(missing, self.count_releasable(share), self.unpledged))

    def release_pledged(self, share: float) -> None:
        """Release what the holds lack that are to be activated, up to a share."""
        self._release(
            min(self._count_missing_activation(), self.count_releasable(share))
        )

    def _release(self, released: int) -> None:
        self.free += released
        self.reserve -= released
        self.released_reserve += released

    def count_releasable(self, share: float) -> int:
        """Return the tokens of the reserve that are released, up to a share of it."""
        releasable = math.floor((self.reserve + self.released_reserve) * share)
        return min(max(0, releasable - self.released_reserve), self.reserve)

    def is_low(self, now: float) -> bool:
        """Whether so little is free that a renewal should not wait for its interval.

        Free credit has to last from the loss of the store until the reserve's release.
        """
        return self.free < LOW_CREDIT_SHARE * self.compute_desired_free(now)

    def needs_budget(self, now: float) -> bool:
        """Whether the shards have to be read before the next transaction.

        Other daemons may have changed them, or may have come to need the credit that
        this daemon keeps.
        """
        age = now - self._budget_read_at
        if not self.is_budget_known:
            return self._has_use_for_credit(now)
        if self.count_moved_reserve(now):
            return False
        if self.waiting_tokens > self.free or self.unreported or self.is_low(now):
            return age > FRESH_BUDGET_MAX_AGE_SECONDS
        max_age = BUDGET_MAX_AGE_SECONDS * self.interval_factor
        return self.free + self.reserve > 0 and age > max_age

    def plan(self, now: float, may_allocate: bool) -> Adjustment | None:
        """Return the adjustment for the next transaction, or None if none is needed.

        Parameters
        ----------
        now
            Time in seconds.
        may_allocate
            Whether tokens may be allocated; they may always be returned.
        """
        if self._is_overdrawn():
            moved = self._count_missing_activation()
            free = moved or min(0, self.claimed_free - self.free)
            adjustment = Adjustment(free, -moved - self.unpledged, self.unreported)
        elif moved := self.count_moved_reserve(now):
            # Changes no shard, so it can't conflict with other daemons.
            adjustment = Adjustment(moved, -moved, 0)
        elif surplus := self._take_due_surplus(now):
            # Changes no shard either.
            adjustment = Adjustment(-surplus, surplus, 0)
        else:
            free, reserve = self._plan_changes(now)
            if not may_allocate and free + reserve > 0:
                free, reserve = min(0, free), min(0, reserve)
            adjustment = Adjustment(free, reserve, self.unreported)
        if not adjustment.free and not adjustment.reserve and not self.unreported:
            return None
        return adjustment

    def count_moved_reserve(self, now: float) -> int:
        """Return the tokens of the reserve that the next transaction has to free."""
        moved = self._count_missing_activation() + self._count_refill(now)
        return min(moved + self.count_requested_reserve(now), self.reserve)

    def count_exposed_surplus(self, now: float) -> int:
        """Return the free tokens that nobody needs, if a crash shouldn't lose them."""
        surplus = self.free - self._count_needed_free() - self.compute_desired_free(now)
        most = self.get_limit().tokens * EXPOSED_SURPLUS_SHARE / self.daemons
        return surplus if surplus > most else 0

    def _take_due_surplus(self, now: float) -> int:
        """Return the surplus that is to move to the reserve now, once."""
        is_due, self.is_surplus_due = self.is_surplus_due, False
        if not is_due or self.waiting_tokens:
            return 0
        return self.count_exposed_surplus(now)

    def _count_missing_activation(self) -> int:
        """Return what the free tokens lack for the holds that are to be activated."""
        return min(max(0, self.activating - max(0, self.free)), self.reserve)

    def _count_refill(self, now: float) -> int:
        """Return what activations took from the free credit that is kept."""
        if not self.activating and not self.is_refill_due:
            return 0
        left = max(0, self.free - self.activating)
        refill = max(0, self.compute_desired_free(now) - left)
        return min(refill, self.unpledged) if not self._is_overdrawn() else 0

    def compute_share_for(self, tokens: int) -> float:
        """Return the share of the reserve whose release covers a new pledge, too."""
        whole = self.reserve + self.released_reserve
        return (self.released_reserve + self.activating + tokens) / max(1, whole)

    def abandon(self, adjustment: Adjustment) -> None:
        """Free what a transaction of an earlier era moved from the reserve.

        Rows of that era are never reclaimed. What it would have allocated isn't used.
        """
        if adjustment.reserve < 0 < adjustment.free:
            self.free += min(adjustment.free, -adjustment.reserve)

    def begin(self, adjustment: Adjustment) -> None:
        """Deduct what a transaction returns or settles, before it is sent.

        Otherwise returned tokens could be spent.
        """
        self.is_refill_due = False
        self.free += min(0, adjustment.free)
        self.reserve += min(0, adjustment.reserve)
        self.unreported -= adjustment.settled

    def confirm(self, adjustment: Adjustment) -> None:
        """Add the tokens that a committed transaction allocated."""
        if adjustment.reserve < 0 < adjustment.free:
            self._requested_reserve = 0
        self.free += max(0, adjustment.free)
        self.reserve += max(0, adjustment.reserve)

    def cancel(self, adjustment: Adjustment) -> None:
        """Undo the deductions of `begin` for a transaction that was not applied."""
        self.free -= min(0, adjustment.free)
        self.reserve -= min(0, adjustment.reserve)
        self.unreported += adjustment.settled

    def _has_use_for_credit(self, now: float) -> bool:
        """Whether requests wait, or credit would be kept if it can be allocated."""
        if self.waiting_tokens or self.unreported:
            return True
        desired = self._compute_desired_tokens(
            self._settings.combined_seconds, self._settings.combined_requests, now
        )
        return desired > 0

    def _plan_changes(self, now: float) -> tuple[int, int]:
        """Return the changes of the free tokens and of the reserve."""
        settings = self._settings
        desired_free = self.compute_desired_free(now)
        desired_total = self._compute_desired_tokens(
            settings.combined_seconds, settings.combined_requests, now
        )
        free = _suppress_small_change(
            self._count_needed_free() + desired_free - self.free, desired_free
        )
        # Waiting requests may be served from the reserve.
        free = min(free, self.unallocated + self.unpledged)
        remaining = self.unallocated - free
        reserve = _suppress_small_change(
            desired_total - desired_free - self.unpledged, desired_total
        )
        reserve = max(
            reserve,
            self.waiting_pledges - self.unpledged,
            self.pledged - self.activating - self.reserve,
        )
        return free, max(min(reserve, remaining), -self.unpledged)

    def _count_needed_free(self) -> int:
        """Return the free tokens that requests are about to use."""
        return self.waiting_tokens - self.waiting_pledges + self.activating

    def compute_desired_free(self, now: float) -> int:
        """Return the free tokens to keep.

        All daemons together keep a small share of the budget, since a crash of the
        fleet loses them.
        """
        settings = self._settings
        desired = self._compute_desired_tokens(
            settings.free_seconds, settings.free_requests, now
        )
        share = max(self._get_spend_share(now), 1 / self.daemons)
        most = self.get_limit().tokens * settings.get_free_share(self.daemons) * share
        return min(desired, int(most))

    def _compute_desired_tokens(
        self, seconds: float, requests: float, now: float
    ) -> int:
        """Return the tokens to keep for a period of demand or a number of requests.

        When little of the budget is left unallocated, all daemons keep less, so that
        each of them can still allocate for its requests. An amount that is less than a
        request needs is not kept, since it would be missing elsewhere.
        """
        settings = self._settings
        obtainable = self.unallocated + self.free + self.unpledged
        share = self._get_fleet_share(now)
        demand = min(
            self._demand.get_rate(now) * seconds,
            obtainable * settings.demand_share * share,
        )
        idle = min(
            self._mean_request_tokens * requests,
            obtainable * settings.idle_share * share,
        )
        kept = settings.get_kept_share(self.unallocated, self.unspent, self.daemons)
        desired = int(max(demand, idle) * kept)
        least = self._mean_request_tokens * (1 - share)
        return desired if desired >= least else 0

    def _get_fleet_share(self, now: float) -> float:
        """Return the factor by which the maximum shares of this daemon shrink.

        A daemon that spends more than its part of the fleet's spend keeps more.
        """
        own = self._get_spend_share(now)
        return max(own, self._settings.get_fleet_share(self.daemons))

    def _get_spend_share(self, now: float) -> float:
        """Return the share of this daemon in what the fleet spent lately."""
        prior = SPEND_PRIOR_REQUESTS * self._mean_request_tokens
        return self._spend_share.get(prior, now)

    def record_demand(self, tokens: int, now: float) -> None:
        """Add the tokens of a new request to the demand and to the mean request."""
        self._demand.record(tokens, now)
        change = tokens - self._mean_request_tokens
        self._mean_request_tokens += REQUEST_TOKENS_WEIGHT * change

    def correct_demand(self, unspent: int, requested_at: float, now: float) -> None:
        """Subtract the tokens that a request asked for and did not spend."""
        self._demand.correct(unspent, requested_at, now)

    def _is_overdrawn(self) -> bool:
        """Whether the limit was lowered below the tokens allocated to all daemons."""
        return self.is_budget_known and self.budget.charged > self.get_limit().tokens


def _suppress_small_change(change: int, desired: int) -> int:
    """Return the change, or 0 if it is too small to be worth a transaction."""
    if change >= 0:
        return change if change > CHANGE_THRESHOLD * desired else 0
    return change if -change > desired * (1 + CHANGE_THRESHOLD) else 0
