"""Acquires holds for requests, from renewals and transfers of credit."""

import asyncio
from collections.abc import Callable, Iterable

from expression import Error, Ok, Result

from kingcuphead.credit._ledger import CreditLedger
from kingcuphead.credit._messages import CreditSettings, CreditState, Hold, Shortage
from kingcuphead.credit._renewal import (
    RETRY_DELAY_SECONDS,
    OrganisationRenewal,
)
from kingcuphead.credit._stamp_renewal import StampRenewal
from kingcuphead.credit._transfer_client import TransferClient
from kingcuphead.frozen import frozen
from kingcuphead.routing import Organisation
from kingcuphead.storage import TablePart
from kingcuphead.timing import get_time

#: Seconds without a renewal after which a waiting request tries a credit transfer.
TRANSFER_DELAY_SECONDS = 0.06
#: Seconds between two checks whether released reserves cover a hold.
ACTIVATION_CHECK_SECONDS = 0.05
#: Seconds for which a request waits although other daemons hold the missing credit: the
#: credit may be in transit from one of them to the store or to another daemon.
UNPROVEN_SECONDS = 0.25
#: Seconds from the first round of transfers for a request to the start of the last.
#: Rounds are repeated because other requests may take what was received for it.
MAX_TRANSFER_SECONDS = 0.2


@frozen
class CreditRefused:
    """The reason and the credit state of a request that gets no hold."""

    #: Reason of the refusal.
    shortage: Shortage
    #: State of the organisation's credit at the refusal.
    state: CreditState


@frozen
class _Need:
    """Credit that a request needs."""

    #: Organisation that pays.
    organisation: str
    #: Maximum cost of the request.
    tokens: int
    #: Whether nothing is spent of it before `activate`.
    may_pledge: bool


class CreditTask:
    """Renews a credit ledger from the store and acquires holds from it.

    Parameters
    ----------
    ledger
        The credit of this daemon.
    get_table
        Returns the part of the store's table with the rows of an organisation.
    settings
        Renewal interval and release of the reserves.
    stamp_table
        The part of the store's table with the stamps of all daemons; without it, each
        organisation's transactions keep its reserve reclaimable.
    """

    def __init__(
        self,
        ledger: CreditLedger,
        get_table: Callable[[str], TablePart],
        settings: CreditSettings = CreditSettings(),  # noqa: B008
        stamp_table: TablePart | None = None,
    ) -> None:
        self._ledger = ledger
        self._get_table = get_table
        self._settings = settings
        self._stamp_renewal = self._make_stamp_renewal(stamp_table)
        self._renewals: dict[str, OrganisationRenewal] = {}
        self._tasks: asyncio.TaskGroup | None = None
        #: Requests credit transfers from other daemons; None if transfers are disabled.
        self.transfer_client: TransferClient | None = None
        ledger.report_reserve_requested = self._wake_renewal

    @property
    def ledger(self) -> CreditLedger:
        """The credit of this daemon."""
        return self._ledger

    def apply_limits(self, organisations: Iterable[Organisation], version: int) -> None:
        """Apply the prepaid tokens of a configuration version, unless it is older."""
        self._ledger.apply_limits(organisations, version)
        for name in self._ledger.list_organisations():
            self._get_renewal(name)

    def begin_era(self, era: int) -> None:
        """Record this daemon's credit again after a restore of the store."""
        self._ledger.stamp.begin_era(era)
        for renewal in self._renewals.values():
            renewal.begin_era(era)

    async def hold(
        self, organisation: str, tokens: int, timeout: float, may_pledge: bool = False
    ) -> Result[Hold, CreditRefused]:
        """Hold a request's maximum cost, waiting for a renewal or transfer if needed.

        Parameters
        ----------
        organisation
            Organisation that pays.
        tokens
            Maximum cost of the request.
        timeout
            Maximum time to wait, in seconds.
        may_pledge
            Whether nothing is spent of the hold before `activate`.
        """
        requested_at = get_time()
        self._ledger.record_demand(organisation, tokens, requested_at)
        held = await self._acquire_hold(organisation, tokens, timeout, may_pledge)
        if held.is_error():
            self._ledger.retract_demand(organisation, tokens, requested_at, get_time())
            # Returns what was allocated or transferred for the request.
            self._get_renewal(organisation).wake()
        return held

    def settle(self, hold: Hold, spent: int) -> None:
        """End a hold with the tokens that the request spent, capped at the hold."""
        self._ledger.settle(hold, min(spent, hold.tokens), get_time())
        self._get_renewal(hold.organisation).wake_for_surplus()

    async def activate(self, hold: Hold) -> None:
        """Wait until a hold may be spent.

        One transaction takes its tokens from the reserve. While the store doesn't
        answer, they are released like the rest of the reserve.
        """
        renewal = self._get_renewal(hold.organisation)
        while not self._ledger.activate(hold, get_time()):
            renewal.wake()
            await renewal.wait_for_renewal(ACTIVATION_CHECK_SECONDS)
        renewal.wake_for_refill()

    async def run(self) -> None:
        """Renew the credit of every organisation until cancelled."""
        async with asyncio.TaskGroup() as tasks:
            self._tasks = tasks
            if self._stamp_renewal is not None:
                tasks.create_task(self._stamp_renewal.run())
            for renewal in self._renewals.values():
                tasks.create_task(renewal.run())
            await asyncio.Event().wait()

    async def shut_down(self, timeout: float) -> bool:
        """Return all credit to the store; `run` must be cancelled before.

        Returns
        -------
        bool
            Whether the store has confirmed that all credit is returned.
        """
        self._ledger.close()
        deadline = get_time() + timeout
        while not self._ledger.is_empty and get_time() < deadline:
            renewals = tuple(self._renewals.values())
            await asyncio.gather(*(renewal.renew() for renewal in renewals))
            if not self._ledger.is_empty:
                await asyncio.sleep(RETRY_DELAY_SECONDS)
        return self._ledger.is_empty

    def _make_stamp_renewal(self, table: TablePart | None) -> StampRenewal | None:
        if table is None:
            # There are no stamps of earlier incarnations either.
            self._ledger.stamp.earlier = {}
            return None
        return StampRenewal(
            self._ledger,
            table,
            lambda: self._settings.get_stamp_interval(self._ledger.daemons),
            self._wake_renewal,
        )

    def _get_renewal(self, organisation: str) -> OrganisationRenewal:
        renewal = self._renewals.get(organisation)
        if renewal is None:
            renewal = OrganisationRenewal(
                organisation,
                self._ledger.get_organisation(organisation),
                self._get_table(organisation),
                self._settings,
                self._ledger.stamp,
            )
            self._renewals[organisation] = renewal
            if self._tasks is not None:
                self._tasks.create_task(renewal.run())
        return renewal

    def _wake_renewal(self, organisation: str) -> None:
        self._get_renewal(organisation).wake()

    async def _acquire_hold(
        self, organisation: str, tokens: int, timeout: float, may_pledge: bool
    ) -> Result[Hold, CreditRefused]:
        renewal = self._get_renewal(organisation)
        need = _Need(organisation, tokens, may_pledge)
        hold = self._try_hold(need)
        if hold is not None:
            self._refill(renewal, organisation)
            if self._is_store_silent(renewal) and not self._ledger.activate(
                hold, get_time()
            ):
                # The transaction takes long, so that it isn't left to the first event.
                renewal.wake()
            return Ok(hold)
        self._ledger.add_waiting(organisation, tokens, may_pledge)
        try:
            return await self._obtain_credit(renewal, need, timeout)
        finally:
            self._ledger.remove_waiting(organisation, tokens, may_pledge)

    def _try_hold(self, need: _Need) -> Hold | None:
        acquire = self._ledger.pledge if need.may_pledge else self._ledger.hold
        return acquire(need.organisation, need.tokens, get_time())

    def _refill(self, renewal: OrganisationRenewal, organisation: str) -> None:
        """Obtain credit for the next requests if little is left."""
        if not self._is_store_silent(renewal):
            renewal.wake_if_low()
        elif self.transfer_client is not None:
            lacking = self._ledger.count_lacking(organisation, get_time())
            self.transfer_client.prefetch_credit(organisation, lacking)

    async def _obtain_credit(
        self, renewal: OrganisationRenewal, need: _Need, timeout: float
    ) -> Result[Hold, CreditRefused]:
        is_silent = self._is_store_silent(renewal)
        if is_silent or self._is_held_elsewhere(renewal, need.tokens):
            renewal.wake()
            hold = await self._request_transfer(need)
            if hold is not None:
                return Ok(hold)
        if renewal.is_store_down:
            return Error(self._refuse(need.organisation, Shortage.UNREACHABLE))
        return await self._wait_for_credit(renewal, need, timeout)

    async def _wait_for_credit(
        self, renewal: OrganisationRenewal, need: _Need, timeout: float
    ) -> Result[Hold, CreditRefused]:
        organisation, tokens = need.organisation, need.tokens
        deadline = get_time() + timeout
        unproven_until = get_time() + UNPROVEN_SECONDS
        while get_time() < deadline and not renewal.is_store_down:
            renewal.wake()
            remaining = deadline - get_time()
            renewed = await renewal.wait_for_renewal(
                min(remaining, TRANSFER_DELAY_SECONDS)
            )
            hold = self._try_hold(need)
            shortage = renewal.find_shortage(tokens)
            if hold is None and (not renewed or shortage is Shortage.UNPROVEN):
                hold = await self._request_transfer(need)
            if hold is not None:
                return Ok(hold)
            is_unproven = shortage is Shortage.UNPROVEN
            if is_unproven and self._is_certainly_short(organisation, tokens):
                return Error(self._refuse(organisation, Shortage.UNPROVEN))
            if is_unproven and get_time() < unproven_until:
                continue
            if shortage is not None and renewed:
                return Error(self._refuse(organisation, shortage))
        return Error(self._refuse(organisation, Shortage.UNREACHABLE))

    @staticmethod
    def _is_held_elsewhere(renewal: OrganisationRenewal, tokens: int) -> bool:
        """Whether other daemons hold the credit that a request lacks."""
        return renewal.find_shortage(tokens) is Shortage.UNPROVEN

    def _is_certainly_short(self, organisation: str, tokens: int) -> bool:
        """Whether transfers and the budget can't serve a request, by what is known."""
        if self.transfer_client is None:
            return False
        account = self._ledger.get_organisation(organisation).account
        # The next transaction may add what is unallocated and the reserve.
        missing = tokens - account.pledgeable - account.unallocated
        return self.transfer_client.is_certainly_short(organisation, missing)

    def _is_store_silent(self, renewal: OrganisationRenewal) -> bool:
        """Whether the store doesn't answer, by any organisation's calls."""
        return renewal.is_store_down or self._ledger.is_store_silent(get_time())

    async def _request_transfer(self, need: _Need) -> Hold | None:
        """Request the tokens a request lacks from other daemons, then try to hold."""
        if self.transfer_client is None:
            return None
        organisation = need.organisation
        now = get_time()
        until = now + MAX_TRANSFER_SECONDS
        while now < until:
            available = self._ledger.count_available(organisation, need.may_pledge, now)
            missing = need.tokens - available
            if missing <= 0:
                # More is allocated than a lowered limit allows.
                return None
            extra = 0
            if self._ledger.is_store_silent(now):
                extra = self._ledger.count_lacking(organisation, now)
            is_received = await self.transfer_client.request_credit(
                organisation, missing, extra
            )
            now = get_time()
            hold = self._try_hold(need)
            if hold is not None or not is_received:
                self._get_renewal(organisation).wake_for_surplus()
                return hold
        return None

    def _refuse(self, organisation: str, shortage: Shortage) -> CreditRefused:
        state = self._ledger.describe(organisation, get_time())
        return CreditRefused(shortage, state)
