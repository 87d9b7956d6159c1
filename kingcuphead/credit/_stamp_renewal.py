"""The task that renews a daemon's stamp row."""

import asyncio
import random
from collections.abc import Callable

from expression import Result
from loguru import logger

from kingcuphead.credit._ledger import CreditLedger
from kingcuphead.storage import TablePart, Unavailable, Unknown
from kingcuphead.timing import get_time

#: Seconds before a call to the store that failed is retried.
RETRY_DELAY_SECONDS = 0.5
#: Seconds before a stamp that has to wait for holder rows is planned again.
UNRECORDED_DELAY_SECONDS = 0.2
#: Seconds before a stamp that lies in the past is followed by one of the present.
OUTDATED_DELAY_SECONDS = 0.02
#: Share of the interval by which it varies.
INTERVAL_JITTER = 0.2


class StampRenewal:
    """Renews the stamp row of one daemon incarnation.

    Parameters
    ----------
    ledger
        The credit of this daemon.
    table
        The part of the store's table with the stamp rows of all daemons.
    get_interval
        Returns the seconds between two renewals.
    renew_organisation
        Renews the credit of an organisation without waiting for its interval.
    """

    def __init__(
        self,
        ledger: CreditLedger,
        table: TablePart,
        get_interval: Callable[[], float],
        renew_organisation: Callable[[str], None],
    ) -> None:
        self._ledger = ledger
        self._stamp = ledger.stamp
        self._table = table
        self._get_interval = get_interval
        self._renew_organisation = renew_organisation
        self._rng = random.Random(ledger.stamp.prefix)

    async def run(self) -> None:
        """Read the rows of earlier incarnations, then renew until cancelled."""
        while not await self._read_rows():
            await asyncio.sleep(RETRY_DELAY_SECONDS)
        while True:
            await asyncio.sleep(await self._renew())

    async def _read_rows(self) -> bool:
        match await self._table.read_prefix(self._stamp.prefix):
            case Result(tag="ok", ok=snapshot):
                self._stamp.apply_rows(snapshot, self._table.estimate_time() or 0)
                return True
            case Result(error=fault):
                logger.debug("stamps can't be read: {}", fault.message)
        return False

    async def _renew(self) -> float:
        """Commit one transaction; return the seconds until the next one."""
        if self._ledger.has_unrecorded_release:
            self._record_releases()
            return UNRECORDED_DELAY_SECONDS
        transaction = self._stamp.plan_transaction(
            get_time(), self._table.estimate_time()
        )
        if transaction is None:
            return RETRY_DELAY_SECONDS
        outcome = await self._table.commit(transaction)
        self._stamp.handle_outcome(outcome)
        if isinstance(outcome, Unavailable | Unknown):
            return RETRY_DELAY_SECONDS
        if self._stamp.is_outdated:
            return OUTDATED_DELAY_SECONDS
        jitter = self._rng.uniform(1 - INTERVAL_JITTER, 1 + INTERVAL_JITTER)
        return self._get_interval() * jitter

    def _record_releases(self) -> None:
        """Have holder rows written anew that contain released tokens.

        Until then no reserve of this daemon gets a later stamp, and a crash soon after
        an outage of the store would lose all of them.
        """
        if self._ledger.is_store_silent(get_time()):
            return
        for organisation in tuple(self._ledger.list_unrecorded_releases()):
            self._renew_organisation(organisation)
