"""Stamps that show how long a daemon can't have released its reserves.

One row for each incarnation of a daemon serves all organisations, so that a reserve
stays reclaimable without a transaction of its organisation in each interval. The
release of a reserve never begins before the time in the row (see `release_bound`).
"""

import math
from collections.abc import Iterable, Iterator, Mapping

import msgspec
from loguru import logger

from kingcuphead.credit._contact import StoreContact
from kingcuphead.credit._decoding import UndecodableRowError, decode_row
from kingcuphead.storage import (
    CommitOutcome,
    Committed,
    Delete,
    Put,
    Row,
    RowSnapshot,
    Transaction,
)

#: Milliseconds after which the row of an earlier incarnation is deleted. Its reserves
#: are reclaimed within seconds of the next start.
STAMP_RETENTION_MS = 300_000
#: Seconds by which a stamp that was just written may lie in the past.
OUTDATED_SECONDS = 0.5


class StampRow(msgspec.Struct, frozen=True):
    """Time until which one daemon incarnation had released no reserve."""

    #: Era of the store in which the row was written.
    era: int
    #: Lower bound of the store's time, in milliseconds.
    stamp_ms: int


_STAMP = msgspec.json.Decoder(StampRow)


class ReserveStamp:
    """State machine for the stamp row of one daemon incarnation; performs no I/O.

    Parameters
    ----------
    instance
        Identity of the daemon, of which one incarnation runs at a time.
    incarnation
        Identity of this incarnation, never used again.
    contact
        When the store last answered this daemon.
    """

    def __init__(self, instance: str, incarnation: str, contact: StoreContact) -> None:
        self._contact = contact
        #: Key prefix of the rows of all incarnations of this daemon.
        self.prefix = f"{instance}/"
        self._key = self.prefix + incarnation
        self._era: int | None = None
        self._expired_keys: tuple[str, ...] = ()
        # Time of the first transaction after the last one known to be committed.
        self._unconfirmed_since: float | None = None
        self._planned_at = float("-inf")
        self._confirmed_at = float("-inf")
        #: Whether a row of the current era is known to be committed.
        self.is_established = False
        #: Whether the row has the time of a call that was lost some time before.
        self.is_outdated = False
        #: Rows of earlier incarnations; None before they are read.
        self.earlier: Mapping[str, StampRow] | None = None

    @property
    def release_bound(self) -> float:
        """Local time in seconds before which no release of a reserve begins.

        No stamp in the store is later: those of transactions whose outcome isn't known
        carry the time of the first of them.
        """
        if self._unconfirmed_since is not None:
            return self._unconfirmed_since
        return self._confirmed_at

    def apply_rows(self, snapshot: RowSnapshot, store_time: int) -> None:
        """Apply the rows of all incarnations of this daemon."""
        self.begin_era(snapshot.era)
        rows = [row for row in snapshot.rows if row.key != self._key]
        stamps = dict(_decode_stamps(rows))
        self.earlier = {
            key.removeprefix(self.prefix): stamp for key, stamp in stamps.items()
        }
        self._expired_keys = tuple(
            key for key, stamp in stamps.items() if _is_old(stamp, store_time)
        )

    def begin_era(self, era: int) -> None:
        """Handle a restore of the store from a copy; an earlier era is ignored."""
        if self._era is None or era > self._era:
            self._era = era
            self.is_established = False

    def plan_transaction(
        self, now: float, store_time: int | None
    ) -> Transaction | None:
        """Return the next transaction, or None while the store's time isn't known.

        It must not be sent while a row still contains a released part of a reserve.
        """
        if self._era is None or store_time is None:
            return None
        if self._unconfirmed_since is None:
            silent_since = self._contact.silent_since
            self._unconfirmed_since = now if silent_since is None else silent_since
        self._planned_at = now
        self._contact.record_call(now)
        stamp = store_time - math.ceil((now - self._unconfirmed_since) * 1000)
        row = msgspec.json.encode(StampRow(self._era, stamp))
        deletes = tuple(Delete(key) for key in self._expired_keys)
        self._expired_keys = ()
        return Transaction((), (Put(self._key, row), *deletes))

    def handle_outcome(self, outcome: CommitOutcome) -> None:
        """Apply the outcome of the transaction that was planned last."""
        if not isinstance(outcome, Committed):
            return
        self._contact.record_answer()
        if outcome.era != self._era:
            self.begin_era(outcome.era)
            return
        self._confirmed_at = self._planned_at
        since = self._unconfirmed_since
        age = 0.0 if since is None else self._planned_at - since
        self.is_outdated = age > OUTDATED_SECONDS
        self._unconfirmed_since = None
        self.is_established = True


def _decode_stamps(rows: Iterable[Row]) -> Iterator[tuple[str, StampRow]]:
    """Yield key and content of each row; a malformed one counts as no stamp."""
    for row in rows:
        try:
            yield row.key, decode_row(row, _STAMP)
        except UndecodableRowError as error:
            logger.warning("{}", error)


def _is_old(stamp: StampRow, store_time: int) -> bool:
    return store_time - stamp.stamp_ms > STAMP_RETENTION_MS
