"""The task that renews a daemon's credit and acquires holds for requests."""

import asyncio
import dataclasses
import time
from collections.abc import Sequence
from typing import Protocol

from expression import Error, Ok, Result
from loguru import logger

from kingcuphead.credit._ledger import CreditLedger
from kingcuphead.credit._messages import CreditSettings, CreditState, Hold, Shortage
from kingcuphead.credit._reclaim import Reclaim, find_reclaimable, plan_reclaim
from kingcuphead.credit._transfer_client import TransferClient
from kingcuphead.invariants import require
from kingcuphead.storage import (
    CommitOutcome,
    Committed,
    Conflict,
    PlatformFault,
    Row,
    Transaction,
    Unavailable,
    Unknown,
)

#: Seconds before a transaction that failed is retried.
RETRY_DELAY_SECONDS = 0.1
#: Maximum number of transactions to reclaim the reserves of one earlier incarnation.
MAX_RECLAIM_ATTEMPTS = 20
#: Seconds without a renewal after which a waiting request tries a credit transfer.
TRANSFER_DELAY_SECONDS = 0.12
#: Seconds between two renewals while requests wait for credit.
WAITING_RENEWAL_SECONDS = 0.02


class CreditTable(Protocol):
    """The store's table with the total and holder rows."""

    async def commit(self, transaction: Transaction) -> CommitOutcome:
        """Commit a transaction; store faults are outcomes, not exceptions."""
        ...

    async def read_prefix(self, prefix: str) -> Result[tuple[Row, ...], PlatformFault]:
        """Read the rows whose keys start with a prefix."""
        ...

    def estimate_time(self) -> int | None:
        """Return a lower bound of the store's time in milliseconds; None if unknown."""
        ...

    def bound_time(self, moment: float) -> int | None:
        """Return an upper bound of the store's time at a local monotonic time.

        The bound is in milliseconds; None if it is not known.
        """
        ...


@dataclasses.dataclass(frozen=True, slots=True)
class CreditRefused:
    """The reason and the credit state of a request that gets no hold."""

    #: Reason of the refusal.
    shortage: Shortage
    #: State of the organisation's credit at the refusal.
    state: CreditState


class CreditTask:
    """Renews a credit ledger from the store and acquires holds from it.

    Parameters
    ----------
    ledger
        The credit of this daemon.
    table
        The store's table with the total and holder rows.
    settings
        Renewal interval and release of the reserves.
    """

    def __init__(
        self,
        ledger: CreditLedger,
        table: CreditTable,
        settings: CreditSettings = CreditSettings(),  # noqa: B008
    ) -> None:
        self._ledger = ledger
        self._table = table
        self._settings = settings
        self._started_at = time.monotonic()
        self._wake = asyncio.Event()
        self._renewed = asyncio.Condition()
        #: Requests credit transfers from other daemons; None if transfers are disabled.
        self.transfer_client: TransferClient | None = None
        #: Number of daemons in the fleet, by the membership view; includes this one.
        self.daemons = 1
        #: Whether the store was unavailable or sent no reply at the last transaction.
        self.is_store_down = False

    @property
    def ledger(self) -> CreditLedger:
        """The credit of this daemon."""
        return self._ledger

    async def hold(
        self, organisation: str, tokens: int, timeout: float
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
        """
        requested_at = self._get_time()
        self._ledger.record_demand(organisation, tokens, requested_at)
        held = await self._acquire_hold(organisation, tokens, timeout)
        if held.is_error():
            self._ledger.retract_demand(
                organisation, tokens, requested_at, self._get_time()
            )
        return held

    def settle(self, hold: Hold, spent: int) -> None:
        """End a hold with the tokens that the request spent, capped at the hold."""
        self._ledger.settle(hold, min(spent, hold.tokens), self._get_time())

    async def _acquire_hold(
        self, organisation: str, tokens: int, timeout: float
    ) -> Result[Hold, CreditRefused]:
        hold = self._ledger.hold(organisation, tokens, self._get_time())
        if hold is not None:
            return Ok(hold)
        if self.is_store_down or self._is_held_elsewhere(organisation, tokens):
            hold = await self._request_transfer(organisation, tokens)
            if hold is not None:
                return Ok(hold)
        if self.is_store_down:
            return Error(self._refuse(organisation, Shortage.UNREACHABLE))
        self._ledger.add_waiting(organisation, tokens)
        try:
            return await self._wait_for_credit(organisation, tokens, timeout)
        finally:
            self._ledger.remove_waiting(organisation, tokens)

    async def run(self) -> None:
        """Renew credit until cancelled, reclaiming reserves after the first renewal."""
        is_reclaimed = False
        while True:
            if await self._renew() and not is_reclaimed:
                is_reclaimed = True
                await self._reclaim()
            await self._wait_for_next_renewal()

    async def shut_down(self, timeout: float) -> bool:
        """Return all credit to the store; `run` must be cancelled before.

        Returns
        -------
        bool
            Whether the store has confirmed that all credit is returned.
        """
        self._ledger.close()
        deadline = self._get_time() + timeout
        while not self._ledger.is_empty and self._get_time() < deadline:
            await self._renew()
            if not self._ledger.is_empty:
                await asyncio.sleep(RETRY_DELAY_SECONDS)
        return self._ledger.is_empty

    async def _wait_for_credit(
        self, organisation: str, tokens: int, timeout: float
    ) -> Result[Hold, CreditRefused]:
        deadline = self._get_time() + timeout
        while self._get_time() < deadline and not self.is_store_down:
            self._wake.set()
            remaining = deadline - self._get_time()
            renewed = await self._wait_for_renewal(
                min(remaining, TRANSFER_DELAY_SECONDS)
            )
            hold = self._ledger.hold(organisation, tokens, self._get_time())
            if hold is None and not renewed:
                hold = await self._request_transfer(organisation, tokens)
            if hold is not None:
                return Ok(hold)
            shortage = self._ledger.find_shortage(organisation, tokens)
            if shortage is not None and renewed:
                return Error(self._refuse(organisation, shortage))
        return Error(self._refuse(organisation, Shortage.UNREACHABLE))

    def _is_held_elsewhere(self, organisation: str, tokens: int) -> bool:
        """Whether other daemons hold the credit that a request lacks."""
        shortage = self._ledger.find_shortage(organisation, tokens)
        return shortage is Shortage.UNPROVEN

    async def _request_transfer(self, organisation: str, tokens: int) -> Hold | None:
        """Request the tokens a request lacks from other daemons, then try to hold."""
        if self.transfer_client is None:
            return None
        missing = tokens - self._ledger.get_free_tokens(organisation)
        await self.transfer_client.request_credit(organisation, missing)
        return self._ledger.hold(organisation, tokens, self._get_time())

    async def _reclaim(self) -> None:
        """Reclaim the unreleased reserves of earlier incarnations of this daemon."""
        match await self._table.read_prefix(self._ledger.holder_prefix):
            case Result(tag="ok", ok=rows):
                started_at = require(
                    self._table.bound_time(self._started_at),
                    "reclaiming requires an earlier renewal",
                )
                own_key = self._ledger.holder_key
                earlier = find_reclaimable(rows, own_key, started_at, self._settings)
                for reclaim in earlier:
                    await self._commit_reclaim(reclaim)
            case Result(error=fault):
                logger.warning("reserves can't be reclaimed: {}", fault.message)

    async def _commit_reclaim(self, reclaim: Reclaim) -> None:
        holder = reclaim.holder
        totals: dict[str, Row] = {}
        for _ in range(MAX_RECLAIM_ATTEMPTS):
            outcome = await self._table.commit(plan_reclaim(reclaim, totals))
            if isinstance(outcome, Committed):
                tokens = sum(reclaim.unreleased.values())
                logger.info("{} tokens of {} were taken back", tokens, holder.key)
                return
            if isinstance(outcome, Conflict):
                totals = {row.key: row for row in outcome.rows}
                if not _has_row(outcome.rows, holder):
                    break
        logger.warning("reserves of {} stay charged", holder.key)

    def _refuse(self, organisation: str, shortage: Shortage) -> CreditRefused:
        state = self._ledger.describe(organisation, self._get_time())
        return CreditRefused(shortage, state)

    async def _wait_for_renewal(self, timeout: float) -> bool:
        """Wait for the next successful renewal; return False on timeout."""
        try:
            async with asyncio.timeout(timeout), self._renewed:
                await self._renewed.wait()
        except TimeoutError:
            return False
        return True

    async def _wait_for_next_renewal(self) -> None:
        self._wake.clear()
        if self._ledger.has_waiting_requests:
            await asyncio.sleep(
                RETRY_DELAY_SECONDS if self.is_store_down else WAITING_RENEWAL_SECONDS
            )
            return
        interval = self._settings.get_renewal_interval(self.daemons)
        try:
            async with asyncio.timeout(interval):
                await self._wake.wait()
        except TimeoutError:
            return

    async def _renew(self) -> bool:
        """Commit one transaction, retrying at once after a conflict or a lost reply.

        Returns False if the store is unavailable.
        """
        while True:
            transaction = self._ledger.plan_transaction(
                self._get_time(), self._table.estimate_time()
            )
            if transaction is None:
                await self._notify_renewal()
                return True
            outcome = await self._table.commit(transaction)
            self._ledger.handle_outcome(outcome, self._get_time())
            self._update_store_status(outcome)
            match outcome:
                case Committed():
                    await self._notify_renewal()
                    return True
                case Unavailable():
                    return False
                case Conflict() | Unknown():
                    continue

    def _update_store_status(self, outcome: CommitOutcome) -> None:
        is_down = isinstance(outcome, Unavailable | Unknown)
        if is_down != self.is_store_down:
            self.is_store_down = is_down
            if is_down:
                logger.warning("credit can't be renewed: {}", type(outcome).__name__)
            else:
                logger.info("credit is renewed again")

    async def _notify_renewal(self) -> None:
        async with self._renewed:
            self._renewed.notify_all()

    @staticmethod
    def _get_time() -> float:
        return asyncio.get_running_loop().time()


def _has_row(rows: Sequence[Row], expected: Row) -> bool:
    """Whether the rows contain a row in the same version."""
    return any(
        row.key == expected.key and row.version == expected.version for row in rows
    )
