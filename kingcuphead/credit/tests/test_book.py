import random

import msgspec
import pytest

from kingcuphead.credit import (
    CreditBook,
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
#: Seconds without an answer of the store after which reserves begin to be free.
DELAY = SETTINGS.release_delay + SETTINGS.clock_margin
#: Seconds after which they are all free.
PERIOD = DELAY + SETTINGS.release_period
ATELIER = Organisation("atelier", None, 100_000)


def make_book(life="life-1", organisation=ATELIER, version=1):
    book = CreditBook("d1", life)
    book.apply_limits([organisation], version)
    return book


def renew(book, store, now=None):
    now = store.now if now is None else now
    while True:
        transaction = book.plan_transaction(now, store.time_ms)
        if transaction is None:
            return None
        outcome = store.commit(transaction, is_cut=False)
        book.take_outcome(outcome, now)
        if not isinstance(outcome, Conflict):
            return outcome


class TestCreditBook:
    def test_a_request_is_held_once_the_grant_is_committed(self):
        store, book = FaultyStore(random.Random(1)), make_book()
        assert book.hold("atelier", 500, 0.0) is None
        book.want("atelier", 500)
        renew(book, store)
        book.unwant("atelier", 500)
        assert book.hold("atelier", 500, 0.0) is not None

    def test_a_grant_whose_reply_was_lost_is_found_by_the_next_transaction(self):
        store, book = FaultyStore(random.Random(1)), make_book()
        book.want("atelier", 500)
        store.apply(book.plan_transaction(0.0, 1))
        book.take_outcome(Unknown(), 0.0)
        assert book.hold("atelier", 500, 0.0) is None
        renew(book, store)
        assert book.hold("atelier", 500, 0.0) is not None

    def test_a_grant_that_is_applied_late_is_not_counted_twice(self):
        store, book = FaultyStore(random.Random(1)), make_book()
        book.want("atelier", 500)
        late = book.plan_transaction(0.0, 1)
        book.take_outcome(Unknown(), 0.0)
        renew(book, store)
        assert isinstance(store.apply(late), Conflict)

    def test_an_exhausted_budget_is_told_from_credit_that_others_hold(self):
        store = FaultyStore(random.Random(1))
        first, second = make_book(), CreditBook("d2", "life-1")
        second.apply_limits([ATELIER], 1)
        first.want("atelier", 99_000)
        renew(first, store)
        first.unwant("atelier", 99_000)
        hold = first.hold("atelier", 99_000, 0.0)
        second.want("atelier", 5_000)
        renew(second, store)
        assert second.find_shortage("atelier", 5_000) is Shortage.UNPROVEN
        first.settle(hold, 99_000, 0.0)
        renew(first, store)
        renew(second, store, now=1.0)
        assert second.find_shortage("atelier", 5_000) is Shortage.EXHAUSTED

    def test_a_limit_that_was_cut_stops_spending_and_returns_credit(self):
        store, book = FaultyStore(random.Random(1)), make_book()
        book.want("atelier", 50_000)
        renew(book, store)
        book.unwant("atelier", 50_000)
        book.apply_limits([Organisation("atelier", None, 1_000)], 2)
        assert book.hold("atelier", 100, 0.0) is None
        renew(book, store)
        assert store.read_total("atelier").charged <= 1_000

    def test_an_older_limit_does_not_replace_a_newer_one(self):
        store, book = FaultyStore(random.Random(1)), make_book(version=5)
        book.apply_limits([Organisation("atelier", None, 9_000_000)], 4)
        book.want("atelier", 200_000)
        renew(book, store)
        book.unwant("atelier", 200_000)
        assert book.hold("atelier", 200_000, 0.0) is None

    def test_closing_returns_what_is_at_hand(self):
        store, book = FaultyStore(random.Random(1)), make_book()
        book.count_demand("atelier", 5_000, 0.0)
        book.want("atelier", 5_000)
        renew(book, store)
        book.unwant("atelier", 5_000)
        book.close()
        renew(book, store)
        assert book.is_empty
        assert store.read_total("atelier").charged == 0


class TestContention:
    """The load: seven daemons renew against a store that answers after 300 ms."""

    def make_book(self, store):
        book = CreditBook("d1", "life-1")
        book.apply_limits([ATELIER, Organisation("builder", None, 100_000)], 1)
        for name in ("atelier", "builder"):
            book.count_demand(name, 9_000, 0.0)
        renew(book, store)
        return book

    def lose_race(self, book, store, now):
        transaction = book.plan_transaction(now, store.time_ms)
        for check in transaction.checks[1:]:
            row = store.rows[check.key]
            store.apply(Transaction((), (Put(row.key, row.value),)))
        outcome = store.apply(transaction)
        assert isinstance(outcome, Conflict)
        book.take_outcome(outcome, now)
        return transaction

    def test_only_what_requests_wait_for_is_asked_after_conflicts(self):
        store = FaultyStore(random.Random(1))
        book = self.make_book(store)
        book.want("atelier", 30_000)
        for name in ("atelier", "builder"):
            book.count_demand(name, 9_000, 1.0)
        assert len(self.lose_race(book, store, 1.0).checks) == 3
        self.lose_race(book, store, 1.3)
        assert len(self.lose_race(book, store, 1.6).checks) == 2

    def test_reserves_are_used_when_every_race_is_lost(self):
        store = FaultyStore(random.Random(1))
        book = self.make_book(store)
        state = book.describe("atelier", 0.0)
        book.want("atelier", 30_000)
        for number in range(int(PERIOD / 0.3) + 2):
            now = 1.0 + 0.3 * number
            share = (now - 1.0 - DELAY) / SETTINGS.release_period
            expected = min(1.0, max(0.0, share))
            assert book.get_released_share(now) == pytest.approx(expected)
            self.lose_race(book, store, now)
        assert state.reserve > 0
        assert book.hold("atelier", state.free + 1, now) is not None


class TestRenewalInterval:
    """The load: a store that takes 200 transactions a second for one part."""

    @pytest.mark.parametrize("daemons", [1, 7, 20, 62, 90, 330])
    def test_regular_renewals_of_all_daemons_leave_room(self, daemons):
        interval = SETTINGS.get_renewal_interval(daemons)
        assert interval >= SETTINGS.renewal_interval
        assert daemons / interval <= 200 / 4


class TestDemand:
    """The load: requests that may cost far more than they do, and refused ones."""

    def count_charged(self, tokens, spent):
        store, book = FaultyStore(random.Random(1)), make_book()
        for number in range(40):
            now = 0.1 * number
            store.advance(0.1)
            book.count_demand("atelier", tokens, now)
            hold = book.hold("atelier", tokens, now)
            if hold is None:
                book.want("atelier", tokens)
                renew(book, store, now)
                book.unwant("atelier", tokens)
                hold = book.hold("atelier", tokens, now)
            book.settle(hold, spent, now + 0.05)
            renew(book, store, now)
        total = store.read_total("atelier")
        return total.charged - total.settled

    def test_credit_at_hand_follows_what_requests_cost(self):
        assert self.count_charged(1_000, 100) < 0.5 * self.count_charged(1_000, 1_000)

    def test_refused_requests_do_not_raise_it(self):
        store, book = FaultyStore(random.Random(1)), make_book()
        for _ in range(50):
            book.count_demand("atelier", 60_000, 1.0)
            book.discount_demand("atelier", 60_000, 1.0, 1.5)
        renew(book, store, 1.6)
        assert store.read_total("atelier").charged <= 5_000


class TestReclaim:
    def make_row(self, store, stamp_ms, key="holder/d1/life-1"):
        row = HolderRow(3, stamp_ms, {"atelier": 700})
        store.apply(Transaction((), (Put(key, msgspec.json.encode(row)),)))
        return store.rows[key]

    @pytest.mark.parametrize(
        "age, untouched",
        [
            (0.0, 700),
            (SETTINGS.release_delay, 700),
            (SETTINGS.release_delay + SETTINGS.release_period / 4, 525),
            (SETTINGS.release_delay + SETTINGS.release_period / 2, 350),
            (SETTINGS.release_delay + SETTINGS.release_period, 0),
            (60.0, 0),
        ],
    )
    def test_what_was_not_free_yet_comes_back(self, age, untouched):
        store = FaultyStore(random.Random(1))
        row = self.make_row(store, stamp_ms=10_000)
        started_at = 10_000 + round(age * 1000)
        found = find_reclaimable([row], "holder/d1/life-2", started_at, SETTINGS)
        assert sum(each.untouched["atelier"] for each in found) == untouched
        for each in found:
            store.apply(plan_reclaim(each, {}))
        assert store.read_total("atelier").charged == -untouched
        closed = store.rows[row.key]
        if untouched:
            assert not find_reclaimable([closed], "", started_at, SETTINGS)

    def test_a_row_without_a_time_gives_nothing_back(self):
        store = FaultyStore(random.Random(1))
        row = self.make_row(store, stamp_ms=0)
        assert not find_reclaimable([row], "holder/d1/life-2", 0, SETTINGS)

    def test_the_row_of_the_running_life_is_left_alone(self):
        store, settings = FaultyStore(random.Random(1)), CreditSettings()
        row = self.make_row(store, stamp_ms=10_000)
        assert not find_reclaimable([row], row.key, 10_100, settings)
