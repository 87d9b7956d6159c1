"""Allocates one organisation's credit from the store and returns it by transactions.

The tokens that all daemons together hold and have spent never exceed the limit. A
daemon uses allocated tokens only after the transaction that charges them is known to be
committed, and deducts returned tokens before it sends their transaction. One
transaction is in flight at a time.

If a daemon crashes, its free credit stays charged, because it is unknown how much of it
was spent. Of its outage reserve, the part that cannot have been released when the next
incarnation started is reclaimed (see `_reclaim`).

Each era of the store has rows of its own, so a transaction of an earlier era can't
change those of the current one (see `_era`).
"""

import math
import random
from collections.abc import Mapping
from dataclasses import replace

import msgspec

from kingcuphead.credit._account import Account, Adjustment
from kingcuphead.credit._budget import Shard
from kingcuphead.credit._contact import StoreContact
from kingcuphead.credit._decoding import decode_row
from kingcuphead.credit._era import (
    EraState,
    Received,
    decode_shards,
)
from kingcuphead.credit._messages import CreditSettings, HolderRow, ShardRow, Shortage
from kingcuphead.credit._release import ReserveRelease
from kingcuphead.credit._rows import make_holder_key, make_shard_key
from kingcuphead.credit._stamp import ReserveStamp
from kingcuphead.frozen import frozen
from kingcuphead.invariants import ensure
from kingcuphead.storage import (
    ABSENT,
    Check,
    CommitOutcome,
    Committed,
    Conflict,
    Put,
    Row,
    RowSnapshot,
    Transaction,
    Unavailable,
    Unknown,
)

_HOLDER = msgspec.json.Decoder(HolderRow)


@frozen
class _SentTransaction:
    """A transaction that was sent to the store."""

    #: Number of the transaction, ascending within the incarnation.
    attempt: int
    #: Changes of the credit in this daemon.
    adjustment: Adjustment
    #: Shard rows that the transaction writes, by index.
    shards: Mapping[int, ShardRow]
    #: Reserve in the holder row that it writes.
    reserve: int

    @property
    def kept_reserve(self) -> int:
        """Reserve in that row without the tokens that the transaction allocates."""
        return self.reserve - max(0, self.adjustment.reserve)


class OrganisationLedger:
    """State machine for one organisation's credit in a daemon; performs no I/O.

    Parameters
    ----------
    instance
        Identity of the daemon, of which one incarnation runs at a time.
    incarnation
        Identity of this incarnation, never used again.
    settings
        How much credit the daemon keeps.
    contact
        When the store last answered this daemon.
    stamp
        Proof, for all organisations, of when reserves were not yet released.
    """

    def __init__(
        self,
        instance: str,
        incarnation: str,
        settings: CreditSettings,
        contact: StoreContact,
        stamp: ReserveStamp,
    ) -> None:
        self._settings = settings
        self._contact = contact
        self._stamp = stamp
        # Daemons differ in their choice of shards.
        self._rng = random.Random(f"{instance}/{incarnation}")
        self._instance = instance
        self._incarnation = incarnation
        self._holder_version = ABSENT
        #: Reserve in the holder row.
        self._recorded_reserve = 0
        self._attempt = 0
        self._sent: _SentTransaction | None = None
        #: Transactions with an unknown outcome. All of them check the same version of
        #: the holder row and change it, so at most one of them is ever applied.
        self._in_doubt: list[_SentTransaction] = []
        self._is_closing = False
        self._release = ReserveRelease(settings, contact, stamp)
        self._era = EraState(make_holder_key(instance, incarnation))
        #: Free credit, reserve and holds of the organisation in this daemon.
        self.account = Account(settings)

    @property
    def is_empty(self) -> bool:
        """Whether all credit is returned and settled, with no transaction in doubt."""
        account = self.account
        has_credit = account.free or account.reserve or account.held
        return not (self._in_doubt or has_credit or account.unreported)

    @property
    def era(self) -> int | None:
        """Era of the store of which rows were read; None before the first read."""
        return self._era.number

    @property
    def holder_prefix(self) -> str:
        """Key prefix of the holder rows of all incarnations of this daemon."""
        return make_holder_key(self._instance)

    @property
    def holder_key(self) -> str:
        """Key of the holder row of this incarnation in the current era."""
        return make_holder_key(self._instance, self._incarnation, self.era or 0)

    @property
    def has_unrecorded_release(self) -> bool:
        """Whether the holder row may contain tokens that left the reserve since.

        A later stamp would make them reclaimable although they may be spent. The row
        may be that of a transaction whose outcome isn't known.
        """
        unknown = self._list_unknown()
        recorded = max((each.kept_reserve for each in unknown), default=0)
        # What they take from the reserve can't be spent before their outcome is known.
        moving = sum(max(0, -each.adjustment.reserve) for each in unknown)
        return self.account.reserve + moving < max(self._recorded_reserve, recorded)

    def _list_unknown(self) -> list[_SentTransaction]:
        """Return the transactions whose outcome isn't known."""
        return [*self._in_doubt, *([self._sent] if self._sent else [])]

    @property
    def rows_prefix(self) -> str:
        """Key prefix of the rows that `apply_rows` needs."""
        return self._era.rows_prefix

    def apply_limit(self, limit: int, version: int) -> None:
        """Apply the prepaid tokens of a configuration version, unless it is older."""
        if version >= self.account.limit_version:
            self.account.limit = limit
            self.account.limit_version = version

    def begin_era(self, era: int) -> None:
        """Handle a restore of the store from a copy; an earlier era is ignored.

        Transactions without a known outcome are abandoned: tokens that they allocate
        are not used, and tokens that they return to the budget stay deducted.
        """
        if not self._era.begin(era, has_written=bool(self._attempt)):
            return
        for sent in self._list_unknown():
            self.account.abandon(sent.adjustment)
        self._sent = None
        self._in_doubt.clear()
        self._holder_version = ABSENT
        self._recorded_reserve = 0
        self.account.is_budget_known = False

    def needs_rows(self, now: float) -> bool:
        """Whether rows have to be read before the next transaction."""
        if self._sent is not None:
            return False
        if not self.account.is_budget_known and self._attempt:
            return True
        return not self._in_doubt and self.account.needs_budget(now)

    def start_read(self, now: float) -> None:
        """Record that a read of rows is sent; `apply_rows` follows if it succeeds."""
        self._contact.record_call(now)

    def apply_rows(self, prefix: str, snapshot: RowSnapshot, now: float) -> None:
        """Apply rows that were read.

        Parameters
        ----------
        prefix
            Value of `rows_prefix` when the read began.
        snapshot
            All rows whose keys begin with it.
        now
            Time in seconds.

        Raises
        ------
        UndecodableRowError
            What the budget has left isn't known, since a row is malformed.
        """
        self._contact.record_answer()
        if self._era.number is None:
            self._era.number = snapshot.era
        self.begin_era(snapshot.era)
        if snapshot.era == self.era and prefix == self.rows_prefix:
            self.account.update_budget(self._era.apply_rows(snapshot), now)

    def forget_budget(self) -> None:
        """Stop allocating until the rows are read again, since one can't be decoded."""
        self.account.is_budget_known = False

    def find_shortage(self, tokens: int, store_time: int | None) -> Shortage | None:
        """Return why a transaction can't serve a request, or None if it may."""
        account = self.account
        if not account.is_budget_known:
            return None
        if account.unspent < tokens:
            return Shortage.EXHAUSTED
        if account.free < tokens and not self._may_allocate(store_time):
            return Shortage.RESTORING
        if account.unallocated + account.pledgeable < tokens:
            return Shortage.UNPROVEN
        return None

    def get_released_share(self, now: float) -> float:
        """Return the share of the reserve that is released at the time `now`."""
        return self._release.get_share(now)

    def get_release_wait(self, tokens: int, now: float) -> float:
        """Return the seconds until a pledge could be activated without the store."""
        return self._release.get_wait(self.account.compute_share_for(tokens), now)

    def can_move_reserve(self, now: float) -> bool:
        """Whether a transaction can move tokens from the reserve to the free credit."""
        if self._is_closing or self._in_doubt or not self.account.is_budget_known:
            return False
        return not self._contact.is_silent(now)

    def close(self) -> None:
        """Return all free credit and the reserve from the next transaction on."""
        self._is_closing = True

    def plan_transaction(
        self, now: float, store_time: int | None
    ) -> Transaction | None:
        """Return the next transaction, or None if there is nothing to write.

        A previous transaction without an outcome is treated as in doubt, because it may
        have been applied.

        Parameters
        ----------
        now
            Time in seconds.
        store_time
            Lower bound of the store's time in milliseconds; None if it is not known.
        """
        if self._sent is not None:
            self.handle_outcome(Unknown())
        if not self.account.is_budget_known:
            return None
        adjustment = self._plan_adjustment(now, store_time)
        if adjustment is None and not self._must_write():
            return None
        adjustment = adjustment or Adjustment(0, 0, 0)
        self._contact.record_call(now)
        self._release.record_transaction(now)
        stamp = self._release.compute_stamp(now, store_time)
        return self._make_transaction(adjustment, stamp, store_time)

    def handle_outcome(self, outcome: CommitOutcome) -> None:
        """Apply the outcome of the transaction that was planned last.

        An outcome in another era than that of the transaction proves nothing about the
        rows of the new one, because versions are given out again.

        Raises
        ------
        UndecodableRowError
            What the budget has left isn't known, since a row is malformed.
        """
        if isinstance(outcome, Committed | Conflict):
            self._contact.record_answer()
        sent, self._sent = self._sent, None
        if sent is None:
            return
        match outcome:
            case Committed(era=era) | Conflict(era=era) if era != self.era:
                self._in_doubt.append(sent)
                self.begin_era(era)
            case Committed(version):
                self._cancel_in_doubt()
                self._confirm(sent, version)
                self._release.record_commit()
                self.account.released_reserve = 0
            case Conflict(rows):
                self.account.cancel(sent.adjustment)
                self._apply_conflict({row.key: row for row in rows})
            case Unavailable():
                self.account.cancel(sent.adjustment)
            case Unknown():
                self._in_doubt.append(self._withdraw_move(sent))

    def _withdraw_move(self, sent: _SentTransaction) -> _SentTransaction:
        """Return the tokens of a move from the reserve without an outcome to it.

        If the row was written, it states less than the reserve has, which is safe. So
        an outage doesn't keep these tokens from being released.
        """
        if not sent.adjustment.is_move:
            return sent
        self.account.cancel(sent.adjustment)
        return replace(sent, adjustment=Adjustment(0, 0, 0))

    def _may_allocate(self, store_time: int | None) -> bool:
        """Whether daemons had time to record what they hold since a restore."""
        if self._era.opens(self.account.budget):
            return False
        opened = self.account.budget.opened_ms
        if not opened:
            return True
        delay = math.ceil(self._settings.restore_delay * 1000)
        return store_time is not None and store_time >= opened + delay

    def _plan_adjustment(self, now: float, store_time: int | None) -> Adjustment | None:
        account = self.account
        if not self._is_closing or account.count_moved_reserve(now):
            return account.plan(now, self._may_allocate(store_time))
        free = min(0, account.claimed_free - account.free)
        adjustment = Adjustment(free, -account.unpledged, account.unreported)
        return adjustment if adjustment.changes_budget else None

    def _must_write(self) -> bool:
        """Whether to write rows although no credit changes.

        A released part of the reserve has to be removed from the holder row. Without
        the daemon's stamp, a recent one in that row keeps the reserve reclaimable. A
        new era needs a record of what the daemon holds.
        """
        if self._in_doubt or self.has_unrecorded_release:
            return True
        if self.account.reserve and not self._stamp.is_established:
            return True
        return self._count_unrecorded() != Received()

    def _make_transaction(
        self, adjustment: Adjustment, stamp: int, store_time: int | None
    ) -> Transaction:
        shards = self._change_shards(adjustment, store_time)
        self.account.begin(adjustment)
        self._attempt += 1
        holder = self._make_holder_row(adjustment, stamp)
        self._sent = _SentTransaction(self._attempt, adjustment, shards, holder.reserve)
        checks, writes = self._era.write_shards(
            shards, self.account.budget, self.account.get_limit()
        )
        return Transaction(
            (Check(self.holder_key, self._holder_version), *checks),
            (Put(self.holder_key, msgspec.json.encode(holder)), *writes),
        )

    def _change_shards(
        self, adjustment: Adjustment, store_time: int | None
    ) -> dict[int, ShardRow]:
        """Return the shard rows that a transaction writes, by index."""
        account = self.account
        unrecorded = self._count_unrecorded()
        if not adjustment.changes_budget and unrecorded == Received():
            return {}
        shards = account.budget.change(
            adjustment.allocated + unrecorded.tokens,
            adjustment.settled + unrecorded.settled,
            account.get_limit(),
            self._rng,
        )
        return self._era.complete_shards(shards, account.budget, store_time or 0)

    def _count_unrecorded(self) -> Received:
        """Return what the shard rows of this era lack of this incarnation."""
        return self._era.count_unrecorded(self._count_received())

    def _count_received(self) -> Received:
        """Return what this incarnation has received and recorded as spent.

        A transaction in doubt counts as not applied. If it was, its change of the
        holder row makes the next transaction conflict.
        """
        account = self.account
        adjustments = [each.adjustment for each in self._in_doubt]
        return Received(
            account.received + sum(each.returned for each in adjustments),
            account.spent
            - account.unreported
            - sum(each.settled for each in adjustments),
        )

    def _make_holder_row(self, adjustment: Adjustment, stamp: int) -> HolderRow:
        """Return the holder row as it is after a transaction is committed."""
        received = self._count_received()
        added = max(0, adjustment.free) + max(0, adjustment.reserve)
        reserve = self.account.reserve + max(0, adjustment.reserve)
        return HolderRow(
            attempt=self._attempt,
            era=self.era or 0,
            received=received.tokens + added,
            settled=received.settled,
            stamp_ms=stamp,
            reserve=reserve if stamp else 0,
            free=self.account.free + max(0, adjustment.free),
            held=self.account.held,
        )

    def _apply_conflict(self, rows: Mapping[str, Row]) -> None:
        """Apply the rows that the store returned with a conflict."""
        holder = rows.get(self.holder_key)
        if holder is not None and holder.version != self._holder_version:
            self._resolve_in_doubt(holder)
        account = self.account
        if self._era.opens(self.account.budget):
            account.is_budget_known = False
            return
        keys = {
            index: make_shard_key(self.era or 0, index)
            for index in range(len(account.budget.shards))
        }
        current = {index: rows[key] for index, key in keys.items() if key in rows}
        account.replace_shards(decode_shards(current))

    def _resolve_in_doubt(self, holder: Row) -> None:
        """Confirm the transaction that the holder row names, and cancel the others.

        Only this daemon writes its holder row, so a changed row names one of them.
        """
        attempt = decode_row(holder, _HOLDER).attempt
        applied = [each for each in self._in_doubt if each.attempt == attempt]
        ensure(
            len(applied) == 1,
            "the holder row must name a transaction in doubt",
            attempt=attempt,
        )
        self._in_doubt.remove(applied[0])
        self._cancel_in_doubt()
        self._confirm(applied[0], holder.version)

    def _confirm(self, sent: _SentTransaction, version: int) -> None:
        self._holder_version = version
        self._recorded_reserve = sent.reserve
        self._era.confirm(wrote_shards=bool(sent.shards))
        self.account.confirm(sent.adjustment)
        if sent.shards:
            written = {index: Shard(row, version) for index, row in sent.shards.items()}
            self.account.replace_shards(written)

    def _cancel_in_doubt(self) -> None:
        for sent in self._in_doubt:
            self.account.cancel(sent.adjustment)
        self._in_doubt.clear()
