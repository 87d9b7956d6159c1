"""Allocates credit from the platform's store and returns it by transactions.

The tokens that all daemons together hold and have spent never exceed an organisation's
limit. A daemon uses allocated tokens only after the transaction that charges them is
known to be committed, and deducts returned tokens before it sends their transaction.
One transaction is in flight at a time.

If a daemon crashes, its free credit stays charged, because it is unknown how much of it
was spent. Of its outage reserve, the part that cannot have been released when the next
incarnation started is reclaimed (see `_reclaim`).
"""

import dataclasses
import itertools
import math
from collections.abc import Iterable, Iterator, Mapping

import msgspec

from kingcuphead.credit._account import Account, Adjustment
from kingcuphead.credit._messages import (
    CreditSettings,
    CreditState,
    Hold,
    HolderRow,
    Shortage,
    TotalRow,
)
from kingcuphead.credit._reclaim import TOTAL_PREFIX
from kingcuphead.invariants import ensure, require
from kingcuphead.routing import Organisation
from kingcuphead.storage import (
    ABSENT,
    Check,
    CommitOutcome,
    Committed,
    Conflict,
    Put,
    Row,
    Transaction,
    Unavailable,
    Unknown,
)

_HOLDER_PREFIX = "holder/"
#: Consecutive conflicts after which a transaction covers only organisations whose
#: requests wait for credit.
CONFLICT_LIMIT = 2
_TOTAL = msgspec.json.Decoder(TotalRow)
_HOLDER = msgspec.json.Decoder(HolderRow)


@dataclasses.dataclass(frozen=True, slots=True)
class _SentTransaction:
    """A transaction that was sent to the store."""

    #: Number of the transaction, ascending within the incarnation.
    attempt: int
    #: Adjustments by organisation.
    adjustments: Mapping[str, Adjustment]
    #: Total rows that the transaction writes, by organisation.
    totals: Mapping[str, TotalRow]


class CreditLedger:
    """State machine for the credit of one daemon incarnation; performs no I/O.

    Parameters
    ----------
    instance
        Identity of the daemon, of which one incarnation runs at a time.
    incarnation
        Identity of this incarnation, never used again.
    settings
        How much credit the daemon keeps.
    """

    def __init__(
        self,
        instance: str,
        incarnation: str,
        settings: CreditSettings = CreditSettings(),  # noqa: B008
    ) -> None:
        self._settings = settings
        self._holder_prefix = f"{_HOLDER_PREFIX}{instance}/"
        self._holder_key = self._holder_prefix + incarnation
        self._holder_version = ABSENT
        self._attempt = 0
        self._accounts: dict[str, Account] = {}
        self._sent: _SentTransaction | None = None
        #: Transactions with an unknown outcome. All of them check the same version of
        #: the holder row and change it, so at most one of them is ever applied.
        self._in_doubt: list[_SentTransaction] = []
        self._is_closing = False
        #: Time in seconds of the first transaction sent after the last one known to be
        #: committed; None if there is none.
        self._unconfirmed_since: float | None = None
        self._conflicts = 0

    @property
    def has_waiting_requests(self) -> bool:
        """Whether any request waits for credit."""
        return any(account.waiting_tokens for account in self._accounts.values())

    @property
    def is_empty(self) -> bool:
        """Whether all credit is returned and settled, with no transaction in doubt."""
        return not self._in_doubt and not any(
            account.free or account.reserve or account.held or account.unreported
            for account in self._accounts.values()
        )

    def apply_limits(self, organisations: Iterable[Organisation], version: int) -> None:
        """Apply the prepaid tokens of a configuration version, unless it is older."""
        for organisation in organisations:
            if organisation.prepaid_tokens is None:
                continue
            account = self._get_account(organisation.name)
            if version >= account.limit_version:
                account.limit = organisation.prepaid_tokens
                account.limit_version = version

    def record_demand(self, organisation: str, tokens: int, now: float) -> None:
        """Record the demand of a new request, from which desired credit is derived."""
        self._get_account(organisation).record_demand(tokens, now)

    def retract_demand(
        self, organisation: str, tokens: int, requested_at: float, now: float
    ) -> None:
        """Subtract the demand of a refused request, which the caller may retry."""
        self._get_account(organisation).correct_demand(tokens, requested_at, now)

    @property
    def holder_prefix(self) -> str:
        """Key prefix of the holder rows of all incarnations of this daemon."""
        return self._holder_prefix

    @property
    def holder_key(self) -> str:
        """Key of the holder row of this incarnation."""
        return self._holder_key

    def get_released_share(self, now: float) -> float:
        """Return the share of the reserves that is released at the time `now`."""
        if self._unconfirmed_since is None:
            return 0.0
        age = now - self._unconfirmed_since - self._settings.clock_margin
        return self._settings.get_released_share(age)

    def hold(self, organisation: str, tokens: int, now: float) -> Hold | None:
        """Hold a request's maximum cost, or return None if too little is free."""
        account = self._get_account(organisation)
        account.release_reserve(tokens, self.get_released_share(now))
        if account.hold(tokens):
            return Hold(organisation, tokens, now)
        return None

    def add_waiting(self, organisation: str, tokens: int) -> None:
        """Add a waiting request's tokens to what the next transaction allocates."""
        self._get_account(organisation).waiting_tokens += tokens

    def remove_waiting(self, organisation: str, tokens: int) -> None:
        """Remove the tokens of a request that no longer waits."""
        self._get_account(organisation).waiting_tokens -= tokens

    def settle(self, hold: Hold, spent: int, now: float) -> None:
        """End a hold with the tokens that the request spent."""
        ensure(not hold.is_settled, "a hold must not be settled twice")
        ensure(0 <= spent <= hold.tokens, "spent tokens must not exceed the hold")
        hold.is_settled = True
        account = self._get_account(hold.organisation)
        account.settle(hold.tokens, spent)
        account.correct_demand(hold.tokens - spent, hold.held_at, now)

    def get_free_tokens(self, organisation: str) -> int:
        """Return the free tokens of an organisation."""
        return self._get_account(organisation).free

    def transfer_out(self, organisation: str, tokens: int, now: float) -> int:
        """Deduct at most `tokens` for another daemon and return the amount deducted."""
        account = self._get_account(organisation)
        needed = tokens + account.waiting_tokens
        account.release_reserve(needed, self.get_released_share(now))
        return account.transfer_out(tokens)

    def transfer_in(self, organisation: str, tokens: int) -> None:
        """Add tokens received from another daemon."""
        self._get_account(organisation).transfer_in(tokens)

    def find_shortage(self, organisation: str, tokens: int) -> Shortage | None:
        """Return why a transaction can't serve a request, or None if it may."""
        account = self._get_account(organisation)
        if not account.is_total_known:
            return None
        if account.unspent < tokens:
            return Shortage.EXHAUSTED
        if account.unallocated + account.free + account.reserve < tokens:
            return Shortage.UNPROVEN
        return None

    def describe(self, organisation: str, now: float) -> CreditState:
        """Return the state of an organisation's credit for a log line."""
        return self._get_account(organisation).describe(now)

    def close(self) -> None:
        """Return all free credit and reserves from the next transaction on."""
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
            self.handle_outcome(Unknown(), now)
        adjustments = dict(self._plan_adjustments(now))
        if not adjustments and not self._must_write_holder():
            return None
        if self._unconfirmed_since is None:
            self._unconfirmed_since = now
        checks = [Check(self._holder_key, self._holder_version)]
        totals = {}
        for name, adjustment in adjustments.items():
            account = self._accounts[name]
            total = account.begin(adjustment)
            if not adjustment.is_internal:
                checks.append(Check(TOTAL_PREFIX + name, account.total_version))
                totals[name] = total
        self._attempt += 1
        self._sent = _SentTransaction(self._attempt, adjustments, totals)
        stamp = 0
        if store_time is not None:
            stamp = store_time - math.ceil((now - self._unconfirmed_since) * 1000)
        return Transaction(tuple(checks), tuple(self._list_writes(self._sent, stamp)))

    def handle_outcome(self, outcome: CommitOutcome, now: float) -> None:
        """Apply the outcome of the transaction that was planned last."""
        sent = require(self._sent, "an outcome requires a transaction in flight")
        self._sent = None
        match outcome:
            case Committed(version):
                self._cancel_in_doubt()
                self._confirm(sent, version, now)
                self._holder_version = version
                self._unconfirmed_since = None
                for account in self._accounts.values():
                    account.released_reserve = 0
                self._conflicts = 0
            case Conflict(rows):
                self._cancel(sent)
                self._apply_rows({row.key: row for row in rows}, now)
                self._conflicts += 1
            case Unavailable():
                self._cancel(sent)
            case Unknown():
                self._in_doubt.append(sent)

    def _plan_adjustments(self, now: float) -> Iterator[tuple[str, Adjustment]]:
        planned = (
            (name, self._plan_account(account, now))
            for name, account in self._list_accounts()
        )
        due = ((name, each) for name, each in planned if each is not None)
        yield from itertools.islice(due, self._settings.batch_size)

    def _list_accounts(self) -> Iterator[tuple[str, Account]]:
        """Yield the accounts that the next transaction may adjust.

        After repeated conflicts these are only the accounts that requests wait for:
        a transaction on fewer total rows conflicts with fewer other daemons.
        """
        waiting = [
            (name, account)
            for name, account in self._accounts.items()
            if account.waiting_tokens > account.free
        ]
        if waiting and self._conflicts >= CONFLICT_LIMIT:
            return iter(waiting)
        return iter(self._accounts.items())

    def _must_write_holder(self) -> bool:
        """Whether to write the holder row although no credit changes.

        A recent stamp in the row keeps the reserves reclaimable.
        """
        if self._attempt == 0 or self._in_doubt:
            return True
        return any(account.reserve for account in self._accounts.values())

    def _plan_account(self, account: Account, now: float) -> Adjustment | None:
        if not self._is_closing:
            return account.plan(now)
        adjustment = Adjustment(-account.free, -account.reserve, account.unreported)
        return adjustment if adjustment.changes_total else None

    def _list_writes(self, sent: _SentTransaction, stamp: int) -> Iterator[Put]:
        reserves = dict(self._list_reserves(sent)) if stamp else {}
        holder = HolderRow(sent.attempt, stamp, reserves)
        yield Put(self._holder_key, msgspec.json.encode(holder))
        for name, total in sent.totals.items():
            yield Put(TOTAL_PREFIX + name, msgspec.json.encode(total))

    def _list_reserves(self, sent: _SentTransaction) -> Iterator[tuple[str, int]]:
        """Yield the reserves after a transaction is committed, by organisation."""
        for name, account in self._accounts.items():
            adjustment = sent.adjustments.get(name)
            added = max(0, adjustment.reserve) if adjustment is not None else 0
            if account.reserve + added:
                yield name, account.reserve + added

    def _apply_rows(self, rows: Mapping[str, Row], now: float) -> None:
        """Apply the rows that the store returned with a conflict."""
        holder = rows.get(self._holder_key)
        if holder is not None and holder.version != self._holder_version:
            self._resolve_in_doubt(holder, now)
        for name, account in self._accounts.items():
            row = rows.get(TOTAL_PREFIX + name)
            if row is not None:
                account.update_total(_TOTAL.decode(row.value), row.version, now)

    def _resolve_in_doubt(self, holder: Row, now: float) -> None:
        """Confirm the transaction that the holder row names, and cancel the others.

        Only this daemon writes its holder row, so a changed row names one of them.
        """
        attempt = _HOLDER.decode(holder.value).attempt
        applied = [each for each in self._in_doubt if each.attempt == attempt]
        ensure(
            len(applied) == 1,
            "the holder row must name a transaction in doubt",
            attempt=attempt,
        )
        self._in_doubt.remove(applied[0])
        self._cancel_in_doubt()
        self._confirm(applied[0], holder.version, now)
        self._holder_version = holder.version

    def _confirm(self, sent: _SentTransaction, version: int, now: float) -> None:
        for name, adjustment in sent.adjustments.items():
            account = self._accounts[name]
            account.confirm(adjustment)
            if name in sent.totals:
                account.update_total(sent.totals[name], version, now)

    def _cancel(self, sent: _SentTransaction) -> None:
        for name, adjustment in sent.adjustments.items():
            self._accounts[name].cancel(adjustment)

    def _cancel_in_doubt(self) -> None:
        for sent in self._in_doubt:
            self._cancel(sent)
        self._in_doubt.clear()

    def _get_account(self, organisation: str) -> Account:
        account = self._accounts.get(organisation)
        if account is None:
            account = self._accounts[organisation] = Account(self._settings)
        return account
