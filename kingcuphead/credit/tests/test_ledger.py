import random

import msgspec
import pytest

from kingcuphead.credit import (
    CreditLedger,
    CreditSettings,
    HolderRow,
    Shortage,
    find_reclaimable,
    plan_reclaim,
)
from kingcuphead.credit.tests._store import FaultyStore
from kingcuphead.routing import Organisation
from kingcuphead.storage import Conflict, Put, Transaction, Unknown

SETTINGS = CreditSettings()
#: Seconds without a reply from the store before the release of reserves starts.
DELAY = SETTINGS.release_delay + SETTINGS.clock_margin
#: Seconds without a reply until all reserves are released.
PERIOD = DELAY + SETTINGS.release_period
ATELIER = Organisation("atelier", None, 100_000)


def make_ledger(incarnation="incarnation-1", organisation=ATELIER, version=1):
    ledger = CreditLedger("d1", incarnation)
    ledger.apply_limits([organisation], version)
    return ledger


def renew(ledger, store, now=None):
    now = store.now if now is None else now
    while True:
        transaction = ledger.plan_transaction(now, store.time_ms)
        if transaction is None:
            return None
        outcome = store.commit(transaction, is_disconnected=False)
        ledger.handle_outcome(outcome, now)
        if not isinstance(outcome, Conflict):
            return outcome


class TestCreditLedger:
    def test_a_request_is_held_after_the_allocation_is_committed(self):
        store, ledger = FaultyStore(random.Random(1)), make_ledger()
        assert ledger.hold("atelier", 500, 0.0) is None
        ledger.add_waiting("atelier", 500)
        renew(ledger, store)
        ledger.remove_waiting("atelier", 500)
        assert ledger.hold("atelier", 500, 0.0) is not None

    def test_an_allocation_with_a_lost_reply_is_confirmed_by_the_next_transaction(self):
        store, ledger = FaultyStore(random.Random(1)), make_ledger()
        ledger.add_waiting("atelier", 500)
        store.apply(ledger.plan_transaction(0.0, 1))
        ledger.handle_outcome(Unknown(), 0.0)
        assert ledger.hold("atelier", 500, 0.0) is None
        renew(ledger, store)
        assert ledger.hold("atelier", 500, 0.0) is not None

    def test_a_transaction_that_arrives_after_its_retry_conflicts(self):
        store, ledger = FaultyStore(random.Random(1)), make_ledger()
        ledger.add_waiting("atelier", 500)
        late = ledger.plan_transaction(0.0, 1)
        ledger.handle_outcome(Unknown(), 0.0)
        renew(ledger, store)
        assert isinstance(store.apply(late), Conflict)

    def test_the_shortage_distinguishes_a_spent_budget_from_unsettled_credit(self):
        store = FaultyStore(random.Random(1))
        first, second = make_ledger(), CreditLedger("d2", "incarnation-1")
        second.apply_limits([ATELIER], 1)
        first.add_waiting("atelier", 99_000)
        renew(first, store)
        first.remove_waiting("atelier", 99_000)
        hold = first.hold("atelier", 99_000, 0.0)
        second.add_waiting("atelier", 5_000)
        renew(second, store)
        assert second.find_shortage("atelier", 5_000) is Shortage.UNPROVEN
        first.settle(hold, 99_000, 0.0)
        renew(first, store)
        renew(second, store, now=1.0)
        assert second.find_shortage("atelier", 5_000) is Shortage.EXHAUSTED

    def test_lowering_the_limit_stops_spending_and_returns_credit(self):
        store, ledger = FaultyStore(random.Random(1)), make_ledger()
        ledger.add_waiting("atelier", 50_000)
        renew(ledger, store)
        ledger.remove_waiting("atelier", 50_000)
        ledger.apply_limits([Organisation("atelier", None, 1_000)], 2)
        assert ledger.hold("atelier", 100, 0.0) is None
        renew(ledger, store)
        assert store.read_total("atelier").charged <= 1_000

    def test_an_older_limit_does_not_replace_a_newer_one(self):
        store, ledger = FaultyStore(random.Random(1)), make_ledger(version=5)
        ledger.apply_limits([Organisation("atelier", None, 9_000_000)], 4)
        ledger.add_waiting("atelier", 200_000)
        renew(ledger, store)
        ledger.remove_waiting("atelier", 200_000)
        assert ledger.hold("atelier", 200_000, 0.0) is None

    def test_closing_returns_all_credit(self):
        store, ledger = FaultyStore(random.Random(1)), make_ledger()
        ledger.record_demand("atelier", 5_000, 0.0)
        ledger.add_waiting("atelier", 5_000)
        renew(ledger, store)
        ledger.remove_waiting("atelier", 5_000)
        ledger.close()
        renew(ledger, store)
        assert ledger.is_empty
        assert store.read_total("atelier").charged == 0


class TestContention:
    """Guards against requests that starve while renewals keep conflicting.

    Seven daemons renew against a store with a reply time of 300 ms and change the same
    total rows, so every transaction of one daemon may conflict.
    """

    def make_ledger(self, store):
        ledger = CreditLedger("d1", "incarnation-1")
        ledger.apply_limits([ATELIER, Organisation("builder", None, 100_000)], 1)
        for name in ("atelier", "builder"):
            ledger.record_demand(name, 9_000, 0.0)
        renew(ledger, store)
        return ledger

    def renew_with_conflict(self, ledger, store, now):
        transaction = ledger.plan_transaction(now, store.time_ms)
        for check in transaction.checks[1:]:
            row = store.rows[check.key]
            store.apply(Transaction((), (Put(row.key, row.value),)))
        outcome = store.apply(transaction)
        assert isinstance(outcome, Conflict)
        ledger.handle_outcome(outcome, now)
        return transaction

    def test_after_conflicts_only_credit_for_waiting_requests_is_allocated(self):
        store = FaultyStore(random.Random(1))
        ledger = self.make_ledger(store)
        ledger.add_waiting("atelier", 30_000)
        for name in ("atelier", "builder"):
            ledger.record_demand(name, 9_000, 1.0)
        assert len(self.renew_with_conflict(ledger, store, 1.0).checks) == 3
        self.renew_with_conflict(ledger, store, 1.3)
        assert len(self.renew_with_conflict(ledger, store, 1.6).checks) == 2

    def test_reserves_are_released_while_every_renewal_conflicts(self):
        store = FaultyStore(random.Random(1))
        ledger = self.make_ledger(store)
        state = ledger.describe("atelier", 0.0)
        ledger.add_waiting("atelier", 30_000)
        for number in range(int(PERIOD / 0.3) + 2):
            now = 1.0 + 0.3 * number
            share = (now - 1.0 - DELAY) / SETTINGS.release_period
            expected = min(1.0, max(0.0, share))
            assert ledger.get_released_share(now) == pytest.approx(expected)
            self.renew_with_conflict(ledger, store, now)
        assert state.reserve > 0
        assert ledger.hold("atelier", state.free + 1, now) is not None


class TestRenewalInterval:
    """Guards against renewals that overload one partition of the store.

    A partition commits 200 transactions per second; regular renewals of the whole
    fleet may use a quarter of them.
    """

    @pytest.mark.parametrize("daemons", [1, 7, 20, 62, 90, 330])
    def test_regular_renewals_use_at_most_a_quarter_of_a_partition(self, daemons):
        interval = SETTINGS.get_renewal_interval(daemons)
        assert interval >= SETTINGS.renewal_interval
        assert daemons / interval <= 200 / 4


class TestDemand:
    """Guards against allocating credit for tokens that are never spent.

    A request may cost far less than its upper bound, and a refused one costs nothing.
    """

    def count_unsettled(self, tokens, spent):
        store, ledger = FaultyStore(random.Random(1)), make_ledger()
        for number in range(40):
            now = 0.1 * number
            store.advance(0.1)
            ledger.record_demand("atelier", tokens, now)
            hold = ledger.hold("atelier", tokens, now)
            if hold is None:
                ledger.add_waiting("atelier", tokens)
                renew(ledger, store, now)
                ledger.remove_waiting("atelier", tokens)
                hold = ledger.hold("atelier", tokens, now)
            ledger.settle(hold, spent, now + 0.05)
            renew(ledger, store, now)
        total = store.read_total("atelier")
        return total.charged - total.settled

    def test_allocated_credit_follows_the_actual_cost_of_requests(self):
        assert self.count_unsettled(1_000, 100) < 0.5 * self.count_unsettled(
            1_000, 1_000
        )

    def test_refused_requests_do_not_raise_the_allocated_credit(self):
        store, ledger = FaultyStore(random.Random(1)), make_ledger()
        for _ in range(50):
            ledger.record_demand("atelier", 60_000, 1.0)
            ledger.retract_demand("atelier", 60_000, 1.0, 1.5)
        renew(ledger, store, 1.6)
        assert store.read_total("atelier").charged <= 5_000


class TestReclaim:
    def make_row(self, store, stamp_ms, key="holder/d1/incarnation-1"):
        row = HolderRow(3, stamp_ms, {"atelier": 700})
        store.apply(Transaction((), (Put(key, msgspec.json.encode(row)),)))
        return store.rows[key]

    @pytest.mark.parametrize(
        "age, unreleased",
        [
            (0.0, 700),
            (SETTINGS.release_delay, 700),
            (SETTINGS.release_delay + SETTINGS.release_period / 4, 525),
            (SETTINGS.release_delay + SETTINGS.release_period / 2, 350),
            (SETTINGS.release_delay + SETTINGS.release_period, 0),
            (60.0, 0),
        ],
    )
    def test_unreleased_reserves_are_reclaimed_once(self, age, unreleased):
        store = FaultyStore(random.Random(1))
        row = self.make_row(store, stamp_ms=10_000)
        started_at = 10_000 + round(age * 1000)
        found = find_reclaimable([row], "holder/d1/incarnation-2", started_at, SETTINGS)
        assert sum(each.unreleased["atelier"] for each in found) == unreleased
        for each in found:
            store.apply(plan_reclaim(each, {}))
        assert store.read_total("atelier").charged == -unreleased
        closed = store.rows[row.key]
        if unreleased:
            assert not find_reclaimable([closed], "", started_at, SETTINGS)

    def test_a_holder_row_without_a_stamp_is_not_reclaimed(self):
        store = FaultyStore(random.Random(1))
        row = self.make_row(store, stamp_ms=0)
        assert not find_reclaimable([row], "holder/d1/incarnation-2", 0, SETTINGS)

    def test_the_row_of_the_running_incarnation_is_not_reclaimed(self):
        store, settings = FaultyStore(random.Random(1)), CreditSettings()
        row = self.make_row(store, stamp_ms=10_000)
        assert not find_reclaimable([row], row.key, 10_100, settings)
