"""The task that renews the credit of a daemon."""

import asyncio
import dataclasses
import time
from collections.abc import Sequence
from typing import Protocol

from expression import Error, Ok, Result
from loguru import logger

from kingcuphead.credit._book import CreditBook
from kingcuphead.credit._borrower import Borrower
from kingcuphead.credit._messages import CreditSettings, CreditState, Hold, Shortage
from kingcuphead.credit._reclaim import Reclaim, find_reclaimable, plan_reclaim
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

#: Seconds before a transaction that had no effect is sent again.
FAILURE_PAUSE = 0.1
#: Transactions that are tried to take the reserves of one earlier life back.
RECLAIM_TRIES = 20
#: Seconds without a renewal after which a waiting request gets credit elsewhere.
BORROWING_DELAY = 0.12
#: Seconds between two looks at requests that wait for credit.
WAIT_INTERVAL = 0.02


class CreditTable(Protocol):
    """Where the totals are kept."""

    async def commit(self, transaction: Transaction) -> CommitOutcome:
        """Apply a transaction; never raises for a fault of the store."""
        ...

    async def read_prefix(self, prefix: str) -> Result[tuple[Row, ...], PlatformFault]:
        """Read the rows whose keys start with a prefix."""
        ...

    def estimate_time(self) -> int | None:
        """Return the store's time in milliseconds, or earlier; None if not known."""
        ...

    def bound_time(self, moment: float) -> int | None:
        """Return the store's time in milliseconds at a local time, or later."""
        ...


@dataclasses.dataclass(frozen=True, slots=True)
class CreditRefused:
    """A request gets no credit."""

    #: Why.
    shortage: Shortage
    #: What the decision was made from.
    state: CreditState


class CreditTask:
    """Owns a credit book and its way to the store.

    Parameters
    ----------
    book
        The credit of this daemon.
    table
        Where the totals are kept.
    settings
        How often credit is renewed.
    """

    def __init__(
        self,
        book: CreditBook,
        table: CreditTable,
        settings: CreditSettings = CreditSettings(),  # noqa: B008
    ) -> None:
        self._book = book
        self._table = table
        self._settings = settings
        self._started_at = time.monotonic()
        self._wake = asyncio.Event()
        self._changed = asyncio.Condition()
        #: Gets credit from other daemons, if there are any.
        self.borrower: Borrower | None = None
        #: Daemons of the fleet, as far as known.
        self.daemons = 1
        #: Whether the last transactions got no answer.
        self.is_store_down = False

    @property
    def book(self) -> CreditBook:
        """The credit that is at hand."""
        return self._book

    async def hold(
        self, organisation: str, tokens: int, timeout: float
    ) -> Result[Hold, CreditRefused]:
        """Reserve the most that a request can cost, waiting for a renewal if need be.

        Parameters
        ----------
        organisation
            Organisation that pays.
        tokens
            The most that the request can cost.
        timeout
            Longest time in seconds to wait.
        """
        asked_at = self._get_time()
        self._book.count_demand(organisation, tokens, asked_at)
        held = await self._find_credit(organisation, tokens, timeout)
        if held.is_error():
            self._book.discount_demand(organisation, tokens, asked_at, self._get_time())
        return held

    def settle(self, hold: Hold, spent: int) -> None:
        """End a reservation with what the request cost."""
        self._book.settle(hold, min(spent, hold.tokens), self._get_time())

    async def _find_credit(
        self, organisation: str, tokens: int, timeout: float
    ) -> Result[Hold, CreditRefused]:
        hold = self._book.hold(organisation, tokens, self._get_time())
        if hold is not None:
            return Ok(hold)
        if self.is_store_down or self._is_taken(organisation, tokens):
            hold = await self._borrow(organisation, tokens)
            if hold is not None:
                return Ok(hold)
        if self.is_store_down:
            return Error(self._refuse(organisation, Shortage.UNREACHABLE))
        self._book.want(organisation, tokens)
        try:
            return await self._wait(organisation, tokens, timeout)
        finally:
            self._book.unwant(organisation, tokens)

    async def run(self) -> None:
        """Take back what earlier lives left, then renew credit for ever."""
        is_reclaimed = False
        while True:
            if await self._renew() and not is_reclaimed:
                is_reclaimed = True
                await self._reclaim()
            await self._pause()

    async def shut_down(self, timeout: float) -> bool:
        """Return all credit; the renewals of `run` must have been ended before.

        Returns
        -------
        bool
            Whether the store has acknowledged it.
        """
        self._book.close()
        deadline = self._get_time() + timeout
        while not self._book.is_empty and self._get_time() < deadline:
            await self._renew()
            if not self._book.is_empty:
                await asyncio.sleep(FAILURE_PAUSE)
        return self._book.is_empty

    async def _wait(
        self, organisation: str, tokens: int, timeout: float
    ) -> Result[Hold, CreditRefused]:
        deadline = self._get_time() + timeout
        while self._get_time() < deadline and not self.is_store_down:
            self._wake.set()
            left = deadline - self._get_time()
            renewed = await self._wait_renewal(min(left, BORROWING_DELAY))
            hold = self._book.hold(organisation, tokens, self._get_time())
            if hold is None and not renewed:
                hold = await self._borrow(organisation, tokens)
            if hold is not None:
                return Ok(hold)
            shortage = self._book.find_shortage(organisation, tokens)
            if shortage is not None and renewed:
                return Error(self._refuse(organisation, shortage))
        return Error(self._refuse(organisation, Shortage.UNREACHABLE))

    def _is_taken(self, organisation: str, tokens: int) -> bool:
        """Whether only other daemons have enough credit, as last seen."""
        shortage = self._book.find_shortage(organisation, tokens)
        return shortage is Shortage.UNPROVEN

    async def _borrow(self, organisation: str, tokens: int) -> Hold | None:
        """Get what is missing for a request from other daemons, if they have it."""
        if self.borrower is None:
            return None
        missing = tokens - self._book.get_free(organisation)
        await self.borrower.borrow(organisation, missing)
        return self._book.hold(organisation, tokens, self._get_time())

    async def _reclaim(self) -> None:
        """Give back the reserves of earlier lives of this daemon."""
        match await self._table.read_prefix(self._book.holder_prefix):
            case Result(tag="ok", ok=rows):
                started_at = require(
                    self._table.bound_time(self._started_at), "a renewal came first"
                )
                own_key = self._book.holder_key
                earlier = find_reclaimable(rows, own_key, started_at, self._settings)
                for reclaim in earlier:
                    await self._take_back(reclaim)
            case Result(error=fault):
                logger.warning("reserves can't be taken back: {}", fault.message)

    async def _take_back(self, reclaim: Reclaim) -> None:
        holder = reclaim.holder
        totals: dict[str, Row] = {}
        for _ in range(RECLAIM_TRIES):
            outcome = await self._table.commit(plan_reclaim(reclaim, totals))
            if isinstance(outcome, Committed):
                tokens = sum(reclaim.untouched.values())
                logger.info("{} tokens of {} were taken back", tokens, holder.key)
                return
            if isinstance(outcome, Conflict):
                totals = {row.key: row for row in outcome.rows}
                if not _has_row(outcome.rows, holder):
                    break
        logger.warning("reserves of {} stay charged", holder.key)

    def _refuse(self, organisation: str, shortage: Shortage) -> CreditRefused:
        state = self._book.describe(organisation, self._get_time())
        return CreditRefused(shortage, state)

    async def _wait_renewal(self, timeout: float) -> bool:
        """Wait for a transaction that took effect; False if none did in time."""
        try:
            async with asyncio.timeout(timeout), self._changed:
                await self._changed.wait()
        except TimeoutError:
            return False
        return True

    async def _pause(self) -> None:
        self._wake.clear()
        if self._book.is_waiting:
            await asyncio.sleep(FAILURE_PAUSE if self.is_store_down else WAIT_INTERVAL)
            return
        interval = self._settings.get_renewal_interval(self.daemons)
        try:
            async with asyncio.timeout(interval):
                await self._wake.wait()
        except TimeoutError:
            return

    async def _renew(self) -> bool:
        """Send one transaction, again at once while others interfere."""
        while True:
            transaction = self._book.plan_transaction(
                self._get_time(), self._table.estimate_time()
            )
            if transaction is None:
                await self._tell()
                return True
            outcome = await self._table.commit(transaction)
            self._book.take_outcome(outcome, self._get_time())
            self._note_store(outcome)
            match outcome:
                case Committed():
                    await self._tell()
                    return True
                case Unavailable():
                    return False
                case Conflict() | Unknown():
                    continue

    def _note_store(self, outcome: CommitOutcome) -> None:
        is_down = isinstance(outcome, Unavailable | Unknown)
        if is_down != self.is_store_down:
            self.is_store_down = is_down
            if is_down:
                logger.warning("credit can't be renewed: {}", type(outcome).__name__)
            else:
                logger.info("credit is renewed again")

    async def _tell(self) -> None:
        async with self._changed:
            self._changed.notify_all()

    @staticmethod
    def _get_time() -> float:
        return asyncio.get_running_loop().time()


def _has_row(rows: Sequence[Row], wanted: Row) -> bool:
    """Whether a row is among others and still the same."""
    return any(row.key == wanted.key and row.version == wanted.version for row in rows)
