import random

import pytest

from kingcuphead.credit import CreditLedger, CreditSettings, find_reclaimable
from kingcuphead.credit._organisation_ledger import OrganisationLedger
from kingcuphead.credit._stamp import STAMP_RETENTION_MS, ReserveStamp
from kingcuphead.credit.tests._store import FaultyStore, renew
from kingcuphead.routing import Organisation
from kingcuphead.storage import Committed, Unknown

STAMPS = "stamps"
SETTINGS = CreditSettings()
#: Seconds without the store after which a good part of the reserve is released.
OUTAGE = SETTINGS.release_delay + SETTINGS.release_period / 2
#: Tokens that the free credit lacks for a request during the outage.
MISSING = 2_000


class StampedDaemon:
    """A daemon whose store fails for its organisation and its stamp as a test says."""

    def __init__(self):
        self.store = FaultyStore(random.Random(1))
        self.store.advance(1.0)
        self.ledger = self.make_ledger("1")
        self.ledger.record_demand("atelier", 9_000, self.store.now)
        self.renew_stamp()
        self.renew_credit()

    def make_ledger(self, incarnation):
        ledger = CreditLedger("d1", incarnation)
        ledger.apply_limits([Organisation("atelier", None, 1_000_000)], 1)
        stamp = ledger.stamp
        stamp.apply_rows(self.store.read(STAMPS, stamp.prefix), self.store.time_ms)
        return ledger

    @property
    def reserve(self):
        return self.ledger.describe("atelier", self.store.now).reserve

    def renew_credit(self, is_disconnected=False):
        renew(self.ledger, self.store, is_disconnected=is_disconnected)

    def lose_call(self):
        """Send a transaction of the organisation that the store doesn't answer."""
        self.ledger.add_waiting("atelier", 100_000)
        self.renew_credit(is_disconnected=True)
        self.ledger.remove_waiting("atelier", 100_000)

    def answer_another_call(self):
        """Get an answer of the store that is not about this organisation."""
        self.ledger._contact.record_answer()

    def lose_another_call(self):
        """Send a call that is not about this organisation and gets no answer."""
        self.ledger._contact.record_call(self.store.now)

    def begin_era(self):
        """Learn of a restore of the store from the reply to another call."""
        self.ledger.stamp.begin_era(self.store.era)
        self.ledger.get_organisation("atelier").begin_era(self.store.era)

    def renew_stamp(self, is_reply_lost=False):
        """Renew the stamp if it may be; return whether it was."""
        if self.ledger.has_unrecorded_release:
            return False
        stamp, store = self.ledger.stamp, self.store
        transaction = stamp.plan_transaction(store.now, store.time_ms)
        outcome = store.apply(STAMPS, transaction)
        stamp.handle_outcome(Unknown() if is_reply_lost else outcome)
        return isinstance(outcome, Committed)

    def use_reserve(self):
        """Hold a request that needs a part of the reserve; return whether it can."""
        free = self.ledger.get_free_tokens("atelier")
        hold = self.ledger.hold("atelier", free + MISSING, self.store.now)
        return hold is not None

    def count_reclaimable(self):
        """Return what the next incarnation would reclaim if this one ended now."""
        successor = self.make_ledger("2")
        part = successor.get_organisation("atelier")
        found = find_reclaimable(
            self.store.read("atelier", part.holder_prefix).rows,
            part.holder_key,
            self.store.era,
            self.store.time_ms,
            SETTINGS,
            successor.stamp.earlier,
        )
        return sum(each.unreleased for each in found)


class TestReserveStamp:
    """Guards against reserves that are reclaimed although they were spent, or lost."""

    def test_a_reserve_stays_reclaimable_without_transactions_of_its_organisation(self):
        daemon = StampedDaemon()
        for _ in range(60):
            daemon.store.advance(1.0)
            daemon.renew_stamp()
        assert daemon.count_reclaimable() == daemon.reserve > 0

    def test_no_stamp_is_renewed_before_a_release_is_recorded(self):
        daemon = StampedDaemon()
        daemon.store.advance(1.0)
        daemon.lose_call()
        daemon.store.advance(OUTAGE)
        assert daemon.use_reserve()
        # The store answers for the stamp before it answers for the organisation.
        assert not daemon.renew_stamp()
        assert daemon.count_reclaimable() <= daemon.reserve
        daemon.renew_credit()
        assert daemon.renew_stamp()
        assert daemon.count_reclaimable() == daemon.reserve

    def test_a_stamp_whose_reply_is_lost_delays_the_release(self):
        daemon = StampedDaemon()
        daemon.lose_call()
        daemon.answer_another_call()
        daemon.store.advance(OUTAGE)
        daemon.renew_stamp(is_reply_lost=True)
        assert not daemon.use_reserve() or daemon.count_reclaimable() <= daemon.reserve
        daemon.store.advance(OUTAGE)
        assert daemon.use_reserve()
        assert daemon.count_reclaimable() <= daemon.reserve

    def test_no_stamp_follows_a_release_from_a_row_without_a_reply(self):
        """The first row of an era may be in the store before it is known to be."""
        daemon = StampedDaemon()
        daemon.store.advance(2.0)
        daemon.store.restore(0.5)
        daemon.begin_era()
        daemon.store.lost_share = 1.0
        daemon.renew_credit()
        daemon.renew_stamp()
        daemon.store.advance(OUTAGE)
        assert daemon.use_reserve()
        daemon.renew_stamp()
        assert daemon.count_reclaimable() <= daemon.reserve

    @pytest.mark.parametrize("is_reply_lost", [False, True])
    def test_a_release_during_a_transaction_is_not_reclaimed(self, is_reply_lost):
        """The release counts from another organisation's call, which was before."""
        daemon = StampedDaemon()
        daemon.store.advance(1.0)
        daemon.lose_another_call()
        daemon.store.advance(OUTAGE)
        part = daemon.ledger.get_organisation("atelier")
        daemon.ledger.add_waiting("atelier", 100_000)
        transaction = part.plan_transaction(daemon.store.now, daemon.store.time_ms)
        daemon.ledger.remove_waiting("atelier", 100_000)
        outcome = daemon.store.apply("atelier", transaction)
        recorded = part._sent.reserve
        assert daemon.use_reserve()
        part.handle_outcome(Unknown() if is_reply_lost else outcome)
        assert daemon.count_reclaimable() <= recorded - MISSING

    @pytest.mark.parametrize(
        "owner, name, value, is_reply_lost",
        [
            (OrganisationLedger, "has_unrecorded_release", False, False),
            (ReserveStamp, "release_bound", float("-inf"), True),
        ],
    )
    def test_each_rule_is_needed(self, monkeypatch, owner, name, value, is_reply_lost):
        monkeypatch.setattr(owner, name, property(lambda self: value))
        daemon = StampedDaemon()
        daemon.lose_call()
        daemon.answer_another_call()
        daemon.store.advance(OUTAGE)
        if is_reply_lost:
            daemon.renew_stamp(is_reply_lost=True)
        assert daemon.use_reserve()
        if not is_reply_lost:
            daemon.renew_stamp()
        assert daemon.count_reclaimable() > daemon.reserve

    def test_a_stamp_of_an_earlier_era_does_not_count(self):
        daemon = StampedDaemon()
        daemon.store.advance(2.0)
        daemon.store.restore(1.0)
        daemon.renew_stamp()
        assert not daemon.ledger.stamp.is_established
        daemon.renew_stamp()
        assert daemon.ledger.stamp.is_established

    def test_rows_of_incarnations_that_ended_long_ago_are_deleted(self):
        daemon = StampedDaemon()
        daemon.store.advance(STAMP_RETENTION_MS / 1000 + 1)
        daemon.ledger = daemon.make_ledger("2")
        daemon.renew_stamp()
        rows = daemon.store.read(STAMPS, daemon.ledger.stamp.prefix).rows
        assert [row.key for row in rows] == ["d1/2"]


class TestInterval:
    """Guards against more stamps than one part of the store's table commits."""

    @pytest.mark.parametrize(
        "daemons, seconds", [(1, 0.5), (7, 0.5), (35, 0.5), (70, 1.0), (300, 30 / 7)]
    )
    def test_a_fleet_renews_at_most_70_stamps_a_second(self, daemons, seconds):
        interval = CreditSettings().get_stamp_interval(daemons)
        assert interval == pytest.approx(seconds)
        assert daemons / interval <= 70.001
