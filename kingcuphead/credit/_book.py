"""Takes credit from the platform's store and gives it back, one transaction at a time.

The tokens that all daemons together hold and have spent never exceed an organisation's
limit: a grant is used only after the transaction that charges it is known to have been
applied, and credit that is returned is set aside before its transaction is sent. A
daemon that dies leaves charged what it could have spent at any time: nobody can tell
what it did spend. Of its reserves for an outage the part comes back that can't have
been free yet when its next life started (see `_reclaim`).
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
#: Conflicts in a row after which only what requests wait for is asked.
CONTENTION = 2
_TOTAL = msgspec.json.Decoder(TotalRow)
_HOLDER = msgspec.json.Decoder(HolderRow)


@dataclasses.dataclass(frozen=True, slots=True)
class _Sent:
    """A transaction that was sent."""

    #: Its number.
    attempt: int
    #: What it does to each organisation.
    adjustments: Mapping[str, Adjustment]
    #: The totals that it writes.
    totals: Mapping[str, TotalRow]


class CreditBook:
    """The credit of one life of a daemon, without input or output.

    Parameters
    ----------
    instance
        Identity of the daemon; only one life of it runs at a time.
    incarnation
        Identity of this life of the daemon, never used again.
    settings
        How much credit is kept at hand.
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
        self._sent: _Sent | None = None
        #: Sent earlier and not answered. Each changes the holder row on condition of
        #: the same version, so that at most one of all of them is ever applied.
        self._undecided: list[_Sent] = []
        self._is_closing = False
        #: Time at which the first transaction was sent since the last that is known to
        #: have been applied.
        self._unapplied_since: float | None = None
        self._conflicts = 0

    @property
    def is_waiting(self) -> bool:
        """Whether a request waits for credit."""
        return any(account.wanted for account in self._accounts.values())

    @property
    def is_empty(self) -> bool:
        """Whether no credit is left in this daemon."""
        return not self._undecided and not any(
            account.free or account.reserve or account.held or account.unreported
            for account in self._accounts.values()
        )

    def apply_limits(self, organisations: Iterable[Organisation], version: int) -> None:
        """Take the prepaid tokens of a configuration version."""
        for organisation in organisations:
            if organisation.prepaid_tokens is None:
                continue
            account = self._get_account(organisation.name)
            if version >= account.limit_version:
                account.limit = organisation.prepaid_tokens
                account.limit_version = version

    def count_demand(self, organisation: str, tokens: int, now: float) -> None:
        """Take note of a new request; the credit kept at hand follows the demand."""
        self._get_account(organisation).count_demand(tokens, now)

    def discount_demand(
        self, organisation: str, tokens: int, asked_at: float, now: float
    ) -> None:
        """Take back the demand of a request that was refused; it may come again."""
        self._get_account(organisation).correct_demand(tokens, asked_at, now)

    @property
    def holder_prefix(self) -> str:
        """Start of the keys of the rows of all lives of this daemon."""
        return self._holder_prefix

    @property
    def holder_key(self) -> str:
        """Key of the row of this life."""
        return self._holder_key

    def get_released_share(self, now: float) -> float:
        """Return the share of the reserves that may be spent, by now."""
        if self._unapplied_since is None:
            return 0.0
        age = now - self._unapplied_since - self._settings.clock_margin
        return self._settings.get_released_share(age)

    def hold(self, organisation: str, tokens: int, now: float) -> Hold | None:
        """Reserve the most that a request can cost, or return None for now."""
        account = self._get_account(organisation)
        account.use_reserve(tokens, self.get_released_share(now))
        if account.hold(tokens):
            return Hold(organisation, tokens, now)
        return None

    def want(self, organisation: str, tokens: int) -> None:
        """Ask the next transaction for what a waiting request needs."""
        self._get_account(organisation).wanted += tokens

    def unwant(self, organisation: str, tokens: int) -> None:
        """Take back what a request asked for that no longer waits."""
        self._get_account(organisation).wanted -= tokens

    def settle(self, hold: Hold, spent: int, now: float) -> None:
        """End a reservation with what the request cost."""
        ensure(not hold.is_settled, "a hold is settled once")
        ensure(0 <= spent <= hold.tokens, "a request costs at most its hold")
        hold.is_settled = True
        account = self._get_account(hold.organisation)
        account.settle(hold.tokens, spent)
        account.correct_demand(hold.tokens - spent, hold.held_at, now)

    def get_free(self, organisation: str) -> int:
        """Return the tokens that may be spent at any time."""
        return self._get_account(organisation).free

    def lend(self, organisation: str, tokens: int, now: float) -> int:
        """Give up to so many tokens to another daemon, and return how many."""
        account = self._get_account(organisation)
        wanted = tokens + account.wanted
        account.use_reserve(wanted, self.get_released_share(now))
        return account.lend(tokens)

    def borrow(self, organisation: str, tokens: int) -> None:
        """Take tokens that another daemon gave away."""
        self._get_account(organisation).borrow(tokens)

    def find_shortage(self, organisation: str, tokens: int) -> Shortage | None:
        """Return why a transaction would not help a request, or None if it might."""
        account = self._get_account(organisation)
        if not account.is_known:
            return None
        if account.unspent < tokens:
            return Shortage.EXHAUSTED
        if account.available + account.free + account.reserve < tokens:
            return Shortage.UNPROVEN
        return None

    def describe(self, organisation: str, now: float) -> CreditState:
        """Return what is known of an organisation's credit, for a log line."""
        return self._get_account(organisation).describe(now)

    def close(self) -> None:
        """Return everything that is at hand from the next transaction on."""
        self._is_closing = True

    def plan_transaction(
        self, now: float, store_time: int | None
    ) -> Transaction | None:
        """Return the next transaction, or None if there is nothing to write.

        A transaction that was planned before and got no outcome may have been applied.

        Parameters
        ----------
        now
            Time in seconds.
        store_time
            The store's own time in milliseconds, or earlier; None if it is not known.
        """
        if self._sent is not None:
            self.take_outcome(Unknown(), now)
        adjustments = dict(self._plan_adjustments(now))
        if not adjustments and not self._has_to_write():
            return None
        if self._unapplied_since is None:
            self._unapplied_since = now
        checks = [Check(self._holder_key, self._holder_version)]
        totals = {}
        for name, adjustment in adjustments.items():
            account = self._accounts[name]
            total = account.begin(adjustment)
            if not adjustment.is_internal:
                checks.append(Check(TOTAL_PREFIX + name, account.row_version))
                totals[name] = total
        self._attempt += 1
        self._sent = _Sent(self._attempt, adjustments, totals)
        stamp = 0
        if store_time is not None:
            stamp = store_time - math.ceil((now - self._unapplied_since) * 1000)
        return Transaction(tuple(checks), tuple(self._list_writes(self._sent, stamp)))

    def take_outcome(self, outcome: CommitOutcome, now: float) -> None:
        """Take what became of the transaction that was planned last."""
        sent = require(self._sent, "an outcome follows a transaction")
        self._sent = None
        match outcome:
            case Committed(version):
                self._cancel_undecided()
                self._confirm(sent, version, now)
                self._holder_version = version
                self._unapplied_since = None
                for account in self._accounts.values():
                    account.used_reserve = 0
                self._conflicts = 0
            case Conflict(rows):
                self._cancel(sent)
                self._learn({row.key: row for row in rows}, now)
                self._conflicts += 1
            case Unavailable():
                self._cancel(sent)
            case Unknown():
                self._undecided.append(sent)

    def _plan_adjustments(self, now: float) -> Iterator[tuple[str, Adjustment]]:
        planned = (
            (name, self._plan_account(account, now))
            for name, account in self._list_contended()
        )
        due = ((name, each) for name, each in planned if each is not None)
        yield from itertools.islice(due, self._settings.batch_size)

    def _list_contended(self) -> Iterator[tuple[str, Account]]:
        """Yield all accounts; only those that requests wait for while others interfere.

        The fewer totals a transaction changes, the fewer other daemons it meets.
        """
        waiting = [
            (name, account)
            for name, account in self._accounts.items()
            if account.wanted > account.free
        ]
        if waiting and self._conflicts >= CONTENTION:
            return iter(waiting)
        return iter(self._accounts.items())

    def _has_to_write(self) -> bool:
        """Whether the holder row has to be written though no credit changes.

        Its stamp keeps the reserves reclaimable.
        """
        if self._attempt == 0 or self._undecided:
            return True
        return any(account.reserve for account in self._accounts.values())

    def _plan_account(self, account: Account, now: float) -> Adjustment | None:
        if not self._is_closing:
            return account.plan(now)
        adjustment = Adjustment(-account.free, -account.reserve, account.unreported)
        return adjustment if adjustment.touches_total else None

    def _list_writes(self, sent: _Sent, stamp: int) -> Iterator[Put]:
        reserves = dict(self._list_reserves(sent)) if stamp else {}
        holder = HolderRow(sent.attempt, stamp, reserves)
        yield Put(self._holder_key, msgspec.json.encode(holder))
        for name, total in sent.totals.items():
            yield Put(TOTAL_PREFIX + name, msgspec.json.encode(total))

    def _list_reserves(self, sent: _Sent) -> Iterator[tuple[str, int]]:
        """Yield what is set aside once a transaction is applied."""
        for name, account in self._accounts.items():
            adjustment = sent.adjustments.get(name)
            added = max(0, adjustment.reserve) if adjustment is not None else 0
            if account.reserve + added:
                yield name, account.reserve + added

    def _learn(self, rows: Mapping[str, Row], now: float) -> None:
        """Take the rows as they are, after a condition of a transaction failed."""
        holder = rows.get(self._holder_key)
        if holder is not None and holder.version != self._holder_version:
            self._decide(holder, now)
        for name, account in self._accounts.items():
            row = rows.get(TOTAL_PREFIX + name)
            if row is not None:
                account.take_total(_TOTAL.decode(row.value), row.version, now)

    def _decide(self, holder: Row, now: float) -> None:
        """Confirm the transaction that the holder row names, and cancel the others."""
        attempt = _HOLDER.decode(holder.value).attempt
        applied = [each for each in self._undecided if each.attempt == attempt]
        ensure(len(applied) == 1, "only this daemon writes its row", attempt=attempt)
        self._undecided.remove(applied[0])
        self._cancel_undecided()
        self._confirm(applied[0], holder.version, now)
        self._holder_version = holder.version

    def _confirm(self, sent: _Sent, version: int, now: float) -> None:
        for name, adjustment in sent.adjustments.items():
            account = self._accounts[name]
            account.confirm(adjustment)
            if name in sent.totals:
                account.take_total(sent.totals[name], version, now)

    def _cancel(self, sent: _Sent) -> None:
        for name, adjustment in sent.adjustments.items():
            self._accounts[name].cancel(adjustment)

    def _cancel_undecided(self) -> None:
        for sent in self._undecided:
            self._cancel(sent)
        self._undecided.clear()

    def _get_account(self, organisation: str) -> Account:
        account = self._accounts.get(organisation)
        if account is None:
            account = self._accounts[organisation] = Account(self._settings)
        return account
