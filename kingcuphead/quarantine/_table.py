"""Keeps crashes and quarantined fingerprints in a part of the store's table."""

from collections.abc import Iterable, Sequence

from expression import Result
from loguru import logger

from kingcuphead.frozen import frozen
from kingcuphead.logs import RepetitionLimit
from kingcuphead.quarantine._messages import (
    FingerprintQuarantined,
    QuarantineEntry,
    SavedCrash,
)
from kingcuphead.quarantine._rows import (
    MAX_KEY_BYTES,
    decode_row,
    encode_crash,
    encode_quarantine,
    make_crash_key,
)
from kingcuphead.storage import Put, Row, TablePart, Transaction, make_removal

#: Seconds for which a crash is kept in the table, so that it outlasts restarts.
CRASH_LIFETIME = 600.0
#: Maximum number of crashes in the table; the oldest are removed.
MAX_CRASHES = 100


@frozen
class QuarantineRows:
    """What one read of the table found."""

    #: Time of the store in milliseconds.
    store_time: int
    #: Fingerprints whose quarantine has not ended.
    quarantined: tuple[FingerprintQuarantined, ...]
    #: Crashes that still count, the latest first.
    crashes: tuple[SavedCrash, ...]
    #: Rows to be removed.
    expired: tuple[Row, ...]


class QuarantineTable:
    """Reads and writes the rows that the daemons of a fleet share.

    Parameters
    ----------
    part
        Part of the table; writes need no condition, since rows don't change.
    """

    def __init__(self, part: TablePart) -> None:
        self._part = part
        self._repetitions = RepetitionLimit()

    async def read(self) -> QuarantineRows | None:
        """Return the rows; None while the store doesn't answer."""
        match await self._part.read_prefix(""):
            case Result(tag="ok", ok=snapshot):
                store_time = self._part.estimate_time()
            case Result(error=fault):
                logger.debug("cannot read the quarantine table: {}", fault.message)
                return None
        if store_time is None:
            return None
        contents = [
            (row, decode_row(row, store_time, self._repetitions))
            for row in snapshot.rows
        ]
        return _sort_rows(contents, store_time)

    async def save(
        self,
        rows: QuarantineRows,
        quarantined: Iterable[QuarantineEntry],
        crashes: Iterable[SavedCrash],
    ) -> None:
        """Remove the expired rows and write those that the table lacks.

        Parameters
        ----------
        rows
            What the table has.
        quarantined
            Fingerprints that it should have.
        crashes
            Crashes that it should have.
        """
        if rows.expired:
            await self._commit(make_removal(rows.expired))
        puts = (
            *_list_missing_quarantines(rows, quarantined),
            *_list_missing_crashes(rows, crashes),
        )
        if puts:
            await self._commit(Transaction((), puts))

    async def _commit(self, transaction: Transaction) -> None:
        # A write that fails is repeated after the next read.
        outcome = await self._part.commit(transaction)
        logger.debug("write to the quarantine table: {}", type(outcome).__name__)


def _sort_rows(
    contents: Sequence[tuple[Row, FingerprintQuarantined | SavedCrash | None]],
    store_time: int,
) -> QuarantineRows:
    crashes = [each for _, each in contents if isinstance(each, SavedCrash)]
    crashes = [each for each in crashes if each.age <= CRASH_LIFETIME]
    crashes = sorted(crashes, key=lambda crash: crash.age)[:MAX_CRASHES]
    quarantined = [
        each
        for _, each in contents
        if isinstance(each, FingerprintQuarantined) and each.remaining > 0
    ]
    kept = set(map(make_crash_key, crashes)) | {
        each.fingerprint for each in quarantined
    }
    expired = [
        row for row, each in contents if each is not None and row.key not in kept
    ]
    return QuarantineRows(
        store_time, tuple(quarantined), tuple(crashes), tuple(expired)
    )


def _list_missing_quarantines(
    rows: QuarantineRows, entries: Iterable[QuarantineEntry]
) -> Iterable[Put]:
    saved = {each.fingerprint for each in rows.quarantined}
    for entry in entries:
        if entry.fingerprint not in saved and _is_valid(entry.fingerprint):
            value = encode_quarantine(entry.remaining, rows.store_time)
            yield Put(entry.fingerprint, value)


def _list_missing_crashes(
    rows: QuarantineRows, crashes: Iterable[SavedCrash]
) -> Iterable[Put]:
    saved = set(map(make_crash_key, rows.crashes))
    max_age = CRASH_LIFETIME
    if len(rows.crashes) == MAX_CRASHES:
        max_age = rows.crashes[-1].age
    latest = sorted(crashes, key=lambda crash: crash.age)[:MAX_CRASHES]
    for crash in latest:
        key = make_crash_key(crash)
        if key not in saved and crash.age < max_age and _is_valid(key):
            yield Put(key, encode_crash(crash, rows.store_time))


def _is_valid(key: str) -> bool:
    return len(key.encode()) <= MAX_KEY_BYTES
