"""Holds that stay in the outage reserve until the first event of their requests."""

import random

import msgspec
import pytest

from kingcuphead.credit import CreditLedger, HolderRow, find_reclaimable
from kingcuphead.credit._stamp import StampRow
from kingcuphead.credit.tests._store import FaultyStore, renew
from kingcuphead.credit.tests.test_ledger import DELAY, SETTINGS
from kingcuphead.invariants import InvariantError
from kingcuphead.routing import Organisation
from kingcuphead.storage import Unknown

NAME = "atelier"
LIMIT = 100_000
TOKENS = 8_000


class PreviousHolderRow(msgspec.Struct, frozen=True):
    """Holder row as the version before pledges reads it."""

    attempt: int
    era: int = 0
    received: int = 0
    settled: int = 0
    stamp_ms: int = 0
    reserve: int = 0
    is_closed: bool = False


class Daemon:
    """A daemon that has a reserve, and its store."""

    def __init__(self):
        self.store = FaultyStore(random.Random(1))
        self.store.advance(1.0)
        self.ledger = CreditLedger("a", "1")
        self.ledger.apply_limits([Organisation(NAME, None, LIMIT)], 1)
        self.ledger.add_waiting(NAME, TOKENS, may_pledge=True)
        self.renew()
        self.ledger.remove_waiting(NAME, TOKENS, may_pledge=True)
        self.account = self.ledger.get_organisation(NAME).account

    def renew(self):
        renew(self.ledger, self.store)

    def pledge(self):
        return self.ledger.pledge(NAME, TOKENS, self.store.now)

    def activate(self, hold):
        return self.ledger.activate(hold, self.store.now)

    def count_reclaimable(self):
        """Return what the next incarnation reclaims if this one is killed now."""
        stamps = {"1": StampRow(0, self.store.time_ms)}
        found = find_reclaimable(
            self.store.read(NAME, "holder/").rows,
            "holder/a/2/00000000",
            0,
            self.store.time_ms,
            SETTINGS,
            stamps,
        )
        return sum(each.unreleased for each in found)


class TestPledges:
    """Guards against credit of unanswered requests that a kill takes."""

    def test_a_kill_before_the_first_event_takes_nothing(self):
        daemon = Daemon()
        reserve = daemon.account.reserve
        hold = daemon.pledge()
        assert hold.pledged == TOKENS
        assert daemon.count_reclaimable() == reserve

    def test_a_kill_after_it_takes_the_hold(self):
        daemon = Daemon()
        before = daemon.account.reserve + daemon.account.free
        hold = daemon.pledge()
        assert not daemon.activate(hold)
        daemon.renew()
        assert daemon.activate(hold)
        assert daemon.count_reclaimable() == before - TOKENS

    def test_nothing_is_spent_of_a_pledge(self):
        daemon = Daemon()
        hold = daemon.pledge()
        with pytest.raises(InvariantError):
            daemon.ledger.settle(hold, 1, 1.0)

    @pytest.mark.parametrize("is_activating", [False, True])
    def test_a_request_that_ends_before_returns_it(self, is_activating):
        daemon = Daemon()
        reserve = daemon.account.reserve
        hold = daemon.pledge()
        if is_activating:
            daemon.activate(hold)
        daemon.ledger.settle(hold, 0, 1.0)
        account = daemon.account
        assert (account.pledged, account.activating) == (0, 0)
        assert (account.reserve, account.spent) == (reserve, 0)

    def test_two_requests_do_not_pledge_the_same_tokens(self):
        daemon = Daemon()
        holds = []
        while (hold := daemon.pledge()) is not None:
            holds.append(hold)
        assert holds
        assert sum(each.tokens for each in holds) <= daemon.account.received

    def test_without_the_store_it_is_released_like_the_reserve(self):
        daemon = Daemon()
        for _ in range(3):
            daemon.ledger.record_demand(NAME, TOKENS, daemon.store.now)
        daemon.store.advance(1.0)
        daemon.renew()
        assert daemon.account.reserve > 2 * TOKENS
        hold = daemon.pledge()
        daemon.activate(hold)
        part = daemon.ledger.get_organisation(NAME)
        # This transaction has no outcome during the outage.
        part.plan_transaction(daemon.store.now, daemon.store.time_ms)
        part.handle_outcome(Unknown())
        daemon.store.advance(DELAY - 0.1)
        assert not daemon.activate(hold)
        daemon.store.advance(SETTINGS.release_period)
        assert daemon.activate(hold)

    def test_a_restore_during_the_transaction_does_not_lose_it(self):
        daemon = Daemon()
        hold = daemon.pledge()
        daemon.activate(hold)
        part = daemon.ledger.get_organisation(NAME)
        part.plan_transaction(daemon.store.now, daemon.store.time_ms)
        part.begin_era(1)
        assert daemon.activate(hold)

    def test_the_version_before_reads_the_row(self):
        """Else it could not reclaim the reserve when it takes over an instance."""
        daemon = Daemon()
        (row,) = daemon.store.read(NAME, "holder/").rows
        own = msgspec.json.decode(row.value, type=HolderRow)
        previous = msgspec.json.decode(row.value, type=PreviousHolderRow)
        fields = msgspec.structs.asdict(previous)
        assert fields.items() <= msgspec.structs.asdict(own).items()

    def test_the_row_of_the_version_before_is_read(self):
        row = PreviousHolderRow(1, received=10, reserve=5)
        own = msgspec.json.decode(msgspec.json.encode(row), type=HolderRow)
        assert (own.received, own.reserve, own.free, own.held) == (10, 5, 0, 0)
