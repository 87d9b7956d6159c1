import random
from typing import ClassVar

import msgspec
import pytest

from kingcuphead.credit import (
    CreditLedger,
    CreditSettings,
    HolderRow,
    ShardRow,
    Shortage,
    find_reclaimable,
    plan_reclaim,
)
from kingcuphead.credit._rows import make_shard_key
from kingcuphead.credit._stamp import StampRow
from kingcuphead.credit.tests._store import FaultyStore, renew
from kingcuphead.routing import Organisation
from kingcuphead.storage import (
    ABSENT,
    Committed,
    Conflict,
    Put,
    Row,
    Transaction,
    Unknown,
)

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


def plan(ledger, store, now=0.0):
    """Return the next transaction of the organisation `atelier`."""
    part = ledger.get_organisation("atelier")
    prefix = part.rows_prefix
    part.apply_rows(prefix, store.read("atelier", prefix), now)
    return part.plan_transaction(now, store.time_ms)


def find_shortage(ledger, store, tokens):
    return ledger.get_organisation("atelier").find_shortage(tokens, store.time_ms)


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
        store.apply("atelier", plan(ledger, store))
        ledger.get_organisation("atelier").handle_outcome(Unknown())
        assert ledger.hold("atelier", 500, 0.0) is None
        renew(ledger, store)
        assert ledger.hold("atelier", 500, 0.0) is not None

    def test_a_transaction_that_arrives_after_its_retry_conflicts(self):
        store, ledger = FaultyStore(random.Random(1)), make_ledger()
        ledger.add_waiting("atelier", 500)
        late = plan(ledger, store)
        ledger.get_organisation("atelier").handle_outcome(Unknown())
        renew(ledger, store)
        assert isinstance(store.apply("atelier", late), Conflict)

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
        assert find_shortage(second, store, 5_000) is Shortage.UNPROVEN
        first.settle(hold, 99_000, 0.0)
        renew(first, store)
        renew(second, store, now=1.0)
        assert find_shortage(second, store, 5_000) is Shortage.EXHAUSTED

    def test_lowering_the_limit_stops_spending_and_returns_credit(self):
        store, ledger = FaultyStore(random.Random(1)), make_ledger()
        ledger.add_waiting("atelier", 50_000)
        renew(ledger, store)
        ledger.remove_waiting("atelier", 50_000)
        ledger.apply_limits([Organisation("atelier", None, 1_000)], 2)
        assert ledger.hold("atelier", 100, 0.0) is None
        renew(ledger, store)
        assert store.read_budget("atelier").charged <= 1_000

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
        assert store.read_budget("atelier").charged == 0


class TestContention:
    """Guards against requests that starve while renewals keep conflicting.

    Other daemons change the organisation's shard rows between the read and the
    transaction of each renewal.
    """

    def renew_with_conflict(self, ledger, store, now):
        transaction = plan(ledger, store, now)
        for index, shard in enumerate(store.read_budget("atelier").shards):
            put = Put(make_shard_key(0, index), msgspec.json.encode(shard.row))
            store.apply("atelier", Transaction((), (put,)))
        outcome = store.apply("atelier", transaction)
        assert isinstance(outcome, Conflict)
        ledger.get_organisation("atelier").handle_outcome(outcome)

    def test_one_organisation_does_not_wait_for_another(self):
        """The transactions of two organisations have no row in common."""
        store, ledger = FaultyStore(random.Random(1)), make_ledger()
        ledger.apply_limits([Organisation("builder", None, 100_000)], 1)
        ledger.add_waiting("builder", 500)
        in_flight = plan(ledger, store)
        renew(ledger, store, names=["builder"])
        ledger.remove_waiting("builder", 500)
        assert ledger.hold("builder", 500, 0.0) is not None
        assert isinstance(store.apply("atelier", in_flight), Committed)

    def test_reserves_are_released_while_every_renewal_conflicts(self):
        store, ledger = FaultyStore(random.Random(1)), make_ledger()
        ledger.record_demand("atelier", 9_000, 0.0)
        renew(ledger, store)
        state = ledger.describe("atelier", 0.0)
        ledger.add_waiting("atelier", 30_000)
        part = ledger.get_organisation("atelier")
        for number in range(int(PERIOD / 0.3) + 2):
            now = 1.0 + 0.3 * number
            share = (now - 1.0 - DELAY) / SETTINGS.release_period
            expected = min(1.0, max(0.0, share))
            assert part.get_released_share(now) == pytest.approx(expected)
            self.renew_with_conflict(ledger, store, now)
        assert state.reserve > 0
        assert ledger.hold("atelier", state.free + 1, now) is not None

    def test_silence_for_one_organisation_releases_the_reserves_of_all(self):
        """A cut from the store is seen by the first call of any organisation."""
        store, ledger = FaultyStore(random.Random(1)), make_ledger()
        ledger.apply_limits([Organisation("builder", None, 100_000)], 1)
        for name in ("atelier", "builder"):
            ledger.record_demand(name, 9_000, 0.0)
        renew(ledger, store)
        ledger.add_waiting("builder", 60_000)
        renew(ledger, store, 10.0, is_disconnected=True, names=["builder"])
        part = ledger.get_organisation("atelier")
        assert part.get_released_share(10.0) == 0.0
        assert part.get_released_share(10.0 + PERIOD) == pytest.approx(1.0)
        renew(ledger, store, 20.0, names=["builder"])
        assert part.get_released_share(20.0 + PERIOD) == 0.0

    def test_silence_before_the_last_transaction_does_not_release_its_reserve(self):
        store, ledger = FaultyStore(random.Random(1)), make_ledger()
        ledger.record_demand("atelier", 9_000, 0.0)
        part = ledger.get_organisation("atelier")
        renew(ledger, store, 30.0)
        part._contact.silent_since = 10.0
        assert part.get_released_share(30.0 + DELAY) == 0.0

    def test_reserves_are_released_while_reads_get_no_reply(self):
        store, ledger = FaultyStore(random.Random(1)), make_ledger()
        ledger.record_demand("atelier", 9_000, 0.0)
        renew(ledger, store)
        state = ledger.describe("atelier", 0.0)
        assert state.reserve > 0
        for now in (10.0, 10.0 + PERIOD):
            ledger.add_waiting("atelier", 30_000)
            renew(ledger, store, now, is_disconnected=True)
            ledger.remove_waiting("atelier", 30_000)
        part = ledger.get_organisation("atelier")
        assert part.get_released_share(10.0 + PERIOD) == pytest.approx(1.0)

    def test_a_call_lost_on_a_full_link_releases_only_what_requests_lack(self):
        """The release ends with the next answer, and the row lacks what it took.

        The stamp of that row is still that of the lost call; the next one is of now.
        """
        store, ledger = FaultyStore(random.Random(1)), make_ledger()
        store.advance(1.0)
        ledger.record_demand("atelier", 9_000, store.now)
        renew(ledger, store)
        before = ledger.describe("atelier", store.now)
        store.advance(1.0)
        renew(ledger, store, is_disconnected=True)
        store.advance(PERIOD)
        assert ledger.hold("atelier", before.free + 500, store.now) is not None
        assert ledger.describe("atelier", store.now).reserve == before.reserve - 500
        renew(ledger, store)
        part = ledger.get_organisation("atelier")
        assert part.get_released_share(store.now) == 0
        renew(ledger, store)
        (row,) = store.read("atelier", part.holder_prefix).rows
        holder = msgspec.json.decode(row.value, type=HolderRow)
        assert holder.reserve == part.account.reserve
        assert holder.stamp_ms >= store.time_ms


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

    #: Little of this budget is spent, so that no other bound applies.
    LARGE = Organisation("atelier", None, 1_000_000)

    def count_unsettled(self, tokens, spent):
        store, ledger = (
            FaultyStore(random.Random(1)),
            make_ledger(organisation=self.LARGE),
        )
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
        total = store.read_budget("atelier")
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
        assert store.read_budget("atelier").charged <= 5_000


class TestReclaim:
    ERA = 2
    KEY = "holder/d1/incarnation-1/00000002"
    OWN_KEY = "holder/d1/incarnation-2/00000002"
    NO_STAMPS: ClassVar[dict[str, StampRow]] = {}
    SHARD = Row("shard/00000002/00", ABSENT, msgspec.json.encode(ShardRow()))

    def make_row(self, store, stamp_ms, era=ERA):
        row = HolderRow(3, era=era, stamp_ms=stamp_ms, reserve=700)
        put = Put(self.KEY, msgspec.json.encode(row))
        store.apply("atelier", Transaction((), (put,)))
        return store.rows["atelier", self.KEY]

    def find(self, row, started_at, own_key=OWN_KEY, stamps=NO_STAMPS):
        return find_reclaimable([row], own_key, self.ERA, started_at, SETTINGS, stamps)

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
        found = self.find(row, started_at)
        assert sum(each.unreleased for each in found) == unreleased
        for each in found:
            store.apply("atelier", plan_reclaim(each, self.SHARD))
        assert store.read_budget("atelier").charged == -unreleased
        closed = store.rows["atelier", row.key]
        if unreleased:
            assert not self.find(closed, started_at, own_key="")

    @pytest.mark.parametrize(
        "era, stamp_ms, unreleased",
        [(ERA, 25_000, 700), (ERA, 5_000, 350), (ERA - 1, 25_000, 350)],
    )
    def test_a_later_stamp_of_the_daemon_counts(self, era, stamp_ms, unreleased):
        row = self.make_row(FaultyStore(random.Random(1)), stamp_ms=10_000)
        half = SETTINGS.release_delay + SETTINGS.release_period / 2
        stamps = {"incarnation-1": StampRow(era, stamp_ms)}
        found = self.find(row, 10_000 + round(half * 1000), stamps=stamps)
        assert [each.unreleased for each in found] == [unreleased]

    def test_a_holder_row_without_a_stamp_is_not_reclaimed(self):
        row = self.make_row(FaultyStore(random.Random(1)), stamp_ms=0)
        assert not self.find(row, 0)

    def test_a_holder_row_of_an_earlier_era_is_not_reclaimed(self):
        """Later transactions, which spent the reserve, may be missing in the copy."""
        row = self.make_row(FaultyStore(random.Random(1)), stamp_ms=10_000, era=1)
        assert not self.find(row, 10_000)

    def test_the_row_of_the_running_incarnation_is_not_reclaimed(self):
        row = self.make_row(FaultyStore(random.Random(1)), stamp_ms=10_000)
        assert not self.find(row, 10_100, own_key=row.key)
