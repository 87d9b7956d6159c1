"""Keeps crashes and quarantined fingerprints in a part of the store's table."""

from collections.abc import Iterable, Iterator, Mapping, Sequence
from typing import TypeVar

from expression import Result
from loguru import logger

from kingcuphead.frozen import frozen
from kingcuphead.logs import RepetitionLimit
from kingcuphead.quarantine._messages import (
    QuarantineEntry,
    SavedCrash,
    SavedQuarantine,
)
from kingcuphead.quarantine._quarantine import Quarantine
from kingcuphead.quarantine._rows import (
    MAX_KEY_BYTES,
    NO_TRIALS,
    decode_row,
    encode_crash,
    encode_quarantine,
    make_crash_key,
)
from kingcuphead.quarantine._subjects import split_key
from kingcuphead.quarantine._trials import TrialHistory
from kingcuphead.storage import (
    ABSENT,
    Check,
    CommitOutcome,
    Committed,
    Delete,
    Put,
    Row,
    TablePart,
    Transaction,
)

#: Seconds for which a crash is kept in the table, so that it outlasts restarts.
CRASH_LIFETIME = 600.0
#: Maximum number of crashes in the table; the oldest are removed.
MAX_CRASHES = 100
#: Maximum number of rows in one transaction. The store accepts 100 entries, and the
#: revision of a row has up to three: a check, a removal and a write.
MAX_ROWS_WRITTEN = 33

_Item = TypeVar("_Item")


@frozen
class QuarantineRows:
    """What one read of the table found."""

    #: Time of the store in milliseconds.
    store_time: int
    #: Quarantines that have not ended.
    quarantined: tuple[SavedQuarantine, ...]
    #: Crashes that still count, the latest first.
    crashes: tuple[SavedCrash, ...]
    #: Rows to be removed.
    expired: tuple[Row, ...]
    #: All rows, by key.
    rows: Mapping[str, Row]

    def find_quarantine(self, key: str) -> SavedQuarantine | None:
        """Return a quarantine; None if it has no row."""
        saved = (each for each in self.quarantined if each.fingerprint == key)
        return next(saved, None)

    def find_trials(self, key: str) -> TrialHistory:
        """Return the trials of a quarantine."""
        saved = self.find_quarantine(key)
        return NO_TRIALS if saved is None else saved.trials

    def is_confirmed(self, key: str) -> bool:
        """Return whether a target crashed under a trial of a quarantine.

        The row of that crash lasts for `CRASH_LIFETIME`.
        """
        trials, parts = self.find_trials(key), split_key(key)
        return trials.count > 0 and any(
            crash.age <= trials.age and parts.issubset(crash.request.subjects)
            for crash in self.crashes
        )


@frozen
class _Revision:
    """Replaces a row that accuses more than this daemon knows to be true."""

    #: The row, as it was read.
    row: Row
    #: What the row becomes; None to remove it.
    replacement: Put | None = None

    @property
    def check(self) -> Check:
        return Check(self.row.key, self.row.version)

    @property
    def writes(self) -> tuple[Put | Delete, ...]:
        if self.replacement is None:
            return (Delete(self.row.key),)
        if self.replacement.key == self.row.key:
            return (self.replacement,)
        return (Delete(self.row.key), self.replacement)


class QuarantineTable:
    """Reads and writes the rows that the daemons of a fleet share.

    Parameters
    ----------
    part
        Part of the table. A row that was read is revised only if it is unchanged, and
        a quarantine is written only if it has no row, which may count trials by then.
        Crashes need no condition, as all daemons write the same.
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
        self, rows: QuarantineRows, quarantine: Quarantine, now: float
    ) -> None:
        """Make the table say what this daemon knows.

        Expired rows are removed, rows of what was answered since are withdrawn, and
        missing rows are written.

        Parameters
        ----------
        rows
            What the table has.
        quarantine
            What this daemon knows, with these rows applied.
        now
            Time in seconds on the clock of the quarantine.
        """
        expired = tuple(_Revision(row) for row in rows.expired)
        answered = tuple(_revise_answered(rows, quarantine, now))
        for revision in answered:
            logger.bind(fingerprint=revision.row.key).info(
                "row of the quarantine withdrawn: what it accuses was answered"
            )
        for batch in _split((*expired, *answered)):
            checks = tuple(each.check for each in batch)
            writes = tuple(write for each in batch for write in each.writes)
            await self._commit(Transaction(checks, writes))
        announced = (each for each in quarantine.describe(now) if each.is_announced)
        # One by one, as another daemon may have written some of them.
        for put in _list_missing_quarantines(rows, announced):
            await self._commit(Transaction((Check(put.key, ABSENT),), (put,)))
        crashes = _list_missing_crashes(rows, quarantine.list_own_crashes(now))
        for missing in _split(tuple(crashes)):
            await self._commit(Transaction((), missing))

    async def count_trial(
        self, rows: QuarantineRows, key: str, remaining: float
    ) -> bool:
        """Count one more trial of a quarantine, unless its row has changed.

        Parameters
        ----------
        rows
            What the table has.
        key
            Key of the quarantine.
        remaining
            Seconds until it ends, if it has no row.

        Returns
        -------
        bool
            Whether the trial is this daemon's. A trial whose write has an unknown
            outcome may be counted and is nobody's.
        """
        saved = rows.find_quarantine(key) or SavedQuarantine(key, remaining)
        history = TrialHistory(saved.trials.count + 1, 0.0)
        value = encode_quarantine(saved.remaining, rows.store_time, history)
        row = rows.rows.get(key)
        version = ABSENT if row is None else row.version
        transaction = Transaction((Check(key, version),), (Put(key, value),))
        return isinstance(await self._commit(transaction), Committed)

    async def _commit(self, transaction: Transaction) -> CommitOutcome:
        # A write that fails is repeated after the next read.
        outcome = await self._part.commit(transaction)
        logger.debug("write to the quarantine table: {}", type(outcome).__name__)
        return outcome


def _sort_rows(
    contents: Sequence[tuple[Row, SavedQuarantine | SavedCrash | None]],
    store_time: int,
) -> QuarantineRows:
    crashes = [each for _, each in contents if isinstance(each, SavedCrash)]
    crashes = [each for each in crashes if each.age <= CRASH_LIFETIME]
    crashes = sorted(crashes, key=lambda crash: crash.age)[:MAX_CRASHES]
    quarantined = [
        each
        for _, each in contents
        if isinstance(each, SavedQuarantine) and each.remaining > 0
    ]
    kept = set(map(make_crash_key, crashes)) | {
        each.fingerprint for each in quarantined
    }
    expired = [
        row for row, each in contents if each is not None and row.key not in kept
    ]
    return QuarantineRows(
        store_time,
        tuple(quarantined),
        tuple(crashes),
        tuple(expired),
        {row.key: row for row, _ in contents},
    )


def _revise_answered(
    rows: QuarantineRows, quarantine: Quarantine, now: float
) -> Iterator[_Revision]:
    """Yield the revisions of rows that accuse what was answered since."""
    # Several quarantines may be narrowed to the same parts.
    known = set(rows.rows)
    for entry in rows.quarantined:
        key = quarantine.revise_key(entry.fingerprint, now)
        if split_key(key) == split_key(entry.fingerprint):
            continue
        replacement = None
        if key and key not in known:
            known.add(key)
            value = encode_quarantine(entry.remaining, rows.store_time, entry.trials)
            replacement = Put(key, value)
        yield _Revision(rows.rows[entry.fingerprint], replacement)
    for crash in rows.crashes:
        key = make_crash_key(crash)
        revised = quarantine.revise_crash(crash, now)
        if revised is None:
            yield _Revision(rows.rows[key])
        elif revised != crash:
            value = encode_crash(revised, rows.store_time)
            yield _Revision(rows.rows[key], Put(key, value))


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


def _split(items: tuple[_Item, ...]) -> Iterator[tuple[_Item, ...]]:
    """Yield the items in parts that fit into one transaction each."""
    for start in range(0, len(items), MAX_ROWS_WRITTEN):
        yield items[start : start + MAX_ROWS_WRITTEN]
