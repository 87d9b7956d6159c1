"""Returns the reserves of earlier incarnations of a daemon to one budget."""

import random
import time
from collections.abc import Iterable, Mapping, Sequence

from expression import Result
from loguru import logger

from kingcuphead.credit._decoding import UndecodableRowError
from kingcuphead.credit._messages import CreditSettings
from kingcuphead.credit._organisation_ledger import OrganisationLedger
from kingcuphead.credit._reclaim import (
    Reclaim,
    decode_holder,
    find_reclaimable,
    plan_reclaim,
)
from kingcuphead.credit._rows import (
    SHARDS_PREFIX,
    get_holder_incarnation,
    select_shards,
)
from kingcuphead.credit._stamp import ReserveStamp, StampRow
from kingcuphead.storage import (
    Committed,
    Conflict,
    Row,
    TablePart,
    Unavailable,
)

#: Maximum number of transactions to reclaim the reserve of one earlier incarnation.
MAX_ATTEMPTS = 20


class Reclaimer:
    """Reclaims the unreleased reserves of one organisation, once.

    It needs no transaction of the new incarnation: when a whole fleet has crashed, the
    budget may have nothing to allocate until reserves are reclaimed.

    Parameters
    ----------
    name
        Name of the organisation.
    ledger
        Its credit in this daemon.
    table
        The part of the store's table with its rows.
    settings
        Delay and period of the release of reserves.
    stamp
        Stamps of this daemon and of its earlier incarnations.
    rng
        Chooses the shard that gets a reserve back.
    """

    def __init__(
        self,
        name: str,
        ledger: OrganisationLedger,
        table: TablePart,
        settings: CreditSettings,
        stamp: ReserveStamp,
        rng: random.Random,
    ) -> None:
        self._log = logger.bind(organisation=name)
        self._ledger = ledger
        self._table = table
        self._settings = settings
        self._stamp = stamp
        self._rng = rng
        self._started_at = time.monotonic()
        self._is_done = False

    @property
    def is_pending(self) -> bool:
        """Whether an earlier incarnation may have left a reserve."""
        return not self._is_done and bool(self._stamp.earlier)

    async def run(self) -> None:
        """Reclaim, unless it is done or what it needs isn't known yet."""
        started_at = self._table.bound_time(self._started_at)
        stamps = self._stamp.earlier
        if self._is_done or stamps is None or started_at is None:
            return
        match await self._table.read_prefix(self._ledger.holder_prefix):
            case Result(tag="ok", ok=snapshot):
                self._is_done = True
                rows = tuple(filter(_is_decodable, snapshot.rows))
                self._log_earlier(rows, stamps)
                earlier = find_reclaimable(
                    rows,
                    self._ledger.holder_key,
                    snapshot.era,
                    started_at,
                    self._settings,
                    stamps,
                )
                for reclaim in earlier:
                    await self._commit(reclaim, snapshot.era)
            case Result(error=fault):
                logger.debug("reserves can't be reclaimed yet: {}", fault.message)

    async def _commit(self, reclaim: Reclaim, era: int) -> None:
        for _ in range(MAX_ATTEMPTS):
            shards = await self._read_shards(era)
            if shards is None:
                self._is_done = False
                return
            if not shards:
                break
            shard = self._rng.choice(shards)
            outcome = await self._table.commit(plan_reclaim(reclaim, shard))
            match outcome:
                case Committed():
                    self._log.info(
                        "{} tokens of {} were taken back",
                        reclaim.unreleased,
                        reclaim.holder.key,
                    )
                    return
                case Conflict(rows) if not _has_row(rows, reclaim.holder):
                    break
                case Unavailable():
                    self._is_done = False
                    return
        self._log.warning("the reserve of {} stays charged", reclaim.holder.key)

    def _log_earlier(
        self, holders: Iterable[Row], stamps: Mapping[str, StampRow]
    ) -> None:
        """Log what recent incarnations had of the budget at their last transactions."""
        for holder in holders:
            row = decode_holder(holder)
            is_recent = get_holder_incarnation(holder.key) in stamps
            if is_recent and not row.is_closed and row.received > row.settled:
                self._log.info("credit that {} left: {}", holder.key, row)

    async def _read_shards(self, era: int) -> tuple[Row, ...] | None:
        """Return the shard rows of an era; None if they can't be read."""
        match await self._table.read_prefix(SHARDS_PREFIX):
            case Result(tag="ok", ok=snapshot):
                return select_shards(snapshot.rows, era)
            case Result(error=fault):
                logger.debug("reserves can't be reclaimed yet: {}", fault.message)
        return None


def _is_decodable(holder: Row) -> bool:
    """Whether a holder row can be decoded; otherwise its reserve stays charged."""
    try:
        decode_holder(holder)
    except UndecodableRowError as error:
        logger.warning("{}", error)
        return False
    return True


def _has_row(rows: Sequence[Row], expected: Row) -> bool:
    """Whether the rows contain a row in the same version."""
    return any(
        row.key == expected.key and row.version == expected.version for row in rows
    )
