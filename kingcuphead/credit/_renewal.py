"""The task that renews one organisation's credit in a daemon."""

import asyncio
import contextlib
import random

from expression import Result
from loguru import logger

from kingcuphead.credit._decoding import UndecodableRowError
from kingcuphead.credit._messages import CreditSettings, Shortage
from kingcuphead.credit._organisation_ledger import OrganisationLedger
from kingcuphead.credit._reclaimer import Reclaimer
from kingcuphead.credit._stamp import ReserveStamp
from kingcuphead.logs import RepetitionLimit
from kingcuphead.storage import (
    Committed,
    Conflict,
    TablePart,
    Unavailable,
    Unknown,
)
from kingcuphead.timing import get_time

#: Seconds before a call to the store that failed is retried.
RETRY_DELAY_SECONDS = 0.1
#: Seconds between two renewals while reserves remain to be reclaimed.
PENDING_RECLAIM_SECONDS = 0.5
#: Bounds in seconds of the random delay after a conflict; the first doubles with each
#: further conflict up to the second.
MIN_CONFLICT_DELAY_SECONDS, MAX_CONFLICT_DELAY_SECONDS = 0.01, 0.3
#: Seconds between two renewals while holds are to be activated. Those that come
#: meanwhile share a transaction.
ACTIVATION_RENEWAL_SECONDS = 0.005
#: Seconds between two renewals while requests wait for credit.
WAITING_RENEWAL_SECONDS = 0.02
#: Seconds for which credit that requests have left over stays at hand for others.
SURPLUS_SECONDS = 0.25
#: Share of the renewal interval by which it varies, so that daemons that started at the
#: same time don't keep renewing at the same time.
INTERVAL_JITTER = 0.2
#: Seconds over which the daemons of a fleet record their credit in a new era.
ERA_SPREAD_SECONDS = 1.0


class OrganisationRenewal:
    """Renews one organisation's ledger from the store.

    Parameters
    ----------
    name
        Name of the organisation.
    ledger
        Its credit in this daemon.
    table
        The part of the store's table with its rows.
    settings
        Renewal interval and release of the reserves.
    stamp
        Stamps of this daemon and of its earlier incarnations.
    """

    def __init__(
        self,
        name: str,
        ledger: OrganisationLedger,
        table: TablePart,
        settings: CreditSettings,
        stamp: ReserveStamp,
    ) -> None:
        self._name = name
        self._ledger = ledger
        self._table = table
        self._settings = settings
        # Daemons and organisations differ in their delays.
        self._rng = random.Random(f"{ledger.holder_key}/{name}")
        self._reclaimer = Reclaimer(name, ledger, table, settings, stamp, self._rng)
        self._wake = asyncio.Event()
        self._renewed = asyncio.Condition()
        self._repetitions = RepetitionLimit()
        self._is_surplus_timer_set = False
        #: Whether the store was unavailable, sent no reply to the last call, or has a
        #: row of the organisation that can't be decoded.
        self.is_store_down = False

    def wake(self) -> None:
        """Renew without waiting for the end of the interval."""
        self._wake.set()

    def wake_if_low(self) -> None:
        """Renew without waiting for the interval if little credit is free."""
        if not self.is_store_down and self._ledger.account.is_low(get_time()):
            self._wake.set()

    def wake_for_refill(self) -> None:
        """Renew if activations have taken free credit that is kept for an outage."""
        account = self._ledger.account
        if account.is_refill_due and not self.is_store_down:
            self._wake.set()

    def wake_for_surplus(self) -> None:
        """Renew soon if requests have left credit over that a crash would lose."""
        if self._is_surplus_timer_set or self.is_store_down:
            return
        if self._ledger.account.count_exposed_surplus(get_time()):
            self._is_surplus_timer_set = True
            # Large requests are pledged what other daemons transferred for them.
            is_pledged = self._ledger.account.pledged > self._ledger.account.reserve
            delay = 0.0 if is_pledged else SURPLUS_SECONDS
            asyncio.get_running_loop().call_later(delay, self._move_surplus)

    def _move_surplus(self) -> None:
        self._is_surplus_timer_set = False
        self._ledger.account.is_surplus_due = True
        self._wake.set()

    def begin_era(self, era: int) -> None:
        """Record this daemon's credit again after a restore of the store."""
        if self._ledger.era is None or era <= self._ledger.era:
            return
        self._ledger.begin_era(era)
        delay = self._rng.uniform(0, ERA_SPREAD_SECONDS)
        asyncio.get_running_loop().call_later(delay, self._wake.set)

    def find_shortage(self, tokens: int) -> Shortage | None:
        """Return why a renewal can't serve a request, or None if it may."""
        return self._ledger.find_shortage(tokens, self._table.estimate_time())

    async def run(self) -> None:
        """Renew until cancelled, for the first time after a part of the interval."""
        await self._wait(self._rng.uniform(0, self._get_interval() / 2))
        while True:
            await self.renew()
            await self._wait_for_next_renewal()

    async def renew(self) -> bool:
        """Commit one transaction, retrying after a conflict or a lost reply.

        Returns
        -------
        bool
            Whether the credit is as planned; False if the store is unavailable or has a
            row that can't be decoded.
        """
        try:
            return await self._renew()
        except UndecodableRowError as error:
            # Nothing is allocated, since any other assumption about the row might let
            # the fleet spend more than the budget.
            self._ledger.forget_budget()
            self.is_store_down = True
            if self._repetitions.allows(error.key):
                logger.bind(organisation=self._name).warning("{}", error)
            return False

    async def _renew(self) -> bool:
        conflict_delay = MIN_CONFLICT_DELAY_SECONDS
        while True:
            if self._ledger.needs_rows(get_time()) and not await self._read_rows():
                return False
            transaction = self._ledger.plan_transaction(
                get_time(), self._table.estimate_time()
            )
            if transaction is None:
                await self._notify()
                await self._reclaimer.run()
                return True
            outcome = await self._table.commit(transaction)
            self._ledger.handle_outcome(outcome)
            self._update_store_status(isinstance(outcome, Unavailable | Unknown))
            match outcome:
                case Committed():
                    await self._notify()
                    self.wake_for_surplus()
                    await self._reclaimer.run()
                    return True
                case Unavailable():
                    return False
                case Conflict():
                    # Daemons that retry at once would keep conflicting.
                    await asyncio.sleep(self._rng.uniform(0, conflict_delay))
                    conflict_delay = min(2 * conflict_delay, MAX_CONFLICT_DELAY_SECONDS)
                case Unknown():
                    await asyncio.sleep(RETRY_DELAY_SECONDS)

    async def wait_for_renewal(self, timeout: float) -> bool:
        """Wait for the next successful renewal; return False on timeout."""
        try:
            async with asyncio.timeout(timeout), self._renewed:
                await self._renewed.wait()
        except TimeoutError:
            return False
        return True

    async def _read_rows(self) -> bool:
        """Read the rows that the ledger needs; return whether the store replied."""
        prefix = self._ledger.rows_prefix
        self._ledger.start_read(get_time())
        match await self._table.read_prefix(prefix):
            case Result(tag="ok", ok=snapshot):
                self._ledger.apply_rows(prefix, snapshot, get_time())
                self._update_store_status(is_down=False)
                return True
            case Result(error=fault):
                logger.debug("credit of {}: {}", self._name, fault.message)
        self._update_store_status(is_down=True)
        return False

    async def _wait_for_next_renewal(self) -> None:
        self._wake.clear()
        account = self._ledger.account
        if account.activating and not self.is_store_down:
            await self._wait(ACTIVATION_RENEWAL_SECONDS)
            return
        if account.waiting_tokens or account.count_requested_reserve(get_time()):
            await asyncio.sleep(
                RETRY_DELAY_SECONDS if self.is_store_down else WAITING_RENEWAL_SECONDS
            )
            return
        if self._reclaimer.is_pending:
            await self._wait(PENDING_RECLAIM_SECONDS)
            return
        jitter = self._rng.uniform(1 - INTERVAL_JITTER, 1 + INTERVAL_JITTER)
        await self._wait(self._get_interval() * jitter)

    async def _wait(self, timeout: float) -> None:
        """Wait until `wake` is called, or for a time in seconds."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout):
                await self._wake.wait()

    def _get_interval(self) -> float:
        account = self._ledger.account
        interval = self._settings.get_renewal_interval(account.daemons)
        return interval * account.interval_factor

    def _update_store_status(self, is_down: bool) -> None:
        if is_down != self.is_store_down:
            self.is_store_down = is_down
            bound = logger.bind(organisation=self._name)
            if is_down:
                bound.warning("credit can't be renewed: the store does not answer")
            else:
                bound.info("credit is renewed again")

    async def _notify(self) -> None:
        async with self._renewed:
            self._renewed.notify_all()
