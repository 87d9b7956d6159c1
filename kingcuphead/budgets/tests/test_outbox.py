import pytest

from kingcuphead.budgets import (
    Bill,
    BillCopiesAcknowledged,
    BillsAccepted,
    BillsCommitted,
    BillsDuplicated,
    Member,
    Settings,
)
from kingcuphead.budgets._messages import BillSafe
from kingcuphead.budgets._outbox import BillDropped, Outbox
from kingcuphead.budgets._routing import Routing

BILL = Bill("me/1#1", "r", "b", "o", "me/1", "home/1", tokens=5)


def build_outbox(home_zone):
    settings = Settings(shards=1)
    routing = Routing(Member("me", "a", "north"), settings)
    # Members of another region are never home, but may be witnesses.
    routing.replace_members(
        (Member("home", home_zone, "north"), Member("witness", "c", "south"))
    )
    routing.members["me"] = Member("me", "a", "elsewhere")
    outbox = Outbox("me/1", settings, routing)
    list(outbox.submit("hold", BILL, 0.0))
    return outbox


def is_safe(effects):
    return BillSafe("hold") in list(effects)


class TestOutbox:
    @pytest.mark.parametrize(("zone", "safe"), [("a", False), ("b", True)])
    def test_a_home_makes_a_bill_safe_from_another_zone_only(self, zone, safe):
        outbox = build_outbox(zone)
        assert (
            is_safe(outbox.note_accepted(BillsAccepted("home/1", ("me/1#1",)))) is safe
        )

    def test_a_witness_makes_a_bill_safe_when_the_home_is_near(self):
        outbox = build_outbox("a")
        message = BillCopiesAcknowledged("witness/1", ("me/1#1",))
        assert is_safe(outbox.note_copied(message))

    def test_a_committed_bill_is_safe_and_forgotten(self):
        outbox = build_outbox("a")
        assert is_safe(outbox.note_committed(BillsCommitted("home/1", ("me/1#1",))))
        assert not outbox.entries

    def test_a_duplicate_gives_its_credit_back_once(self):
        outbox = build_outbox("b")
        message = BillsDuplicated("home/1", ("me/1#1",))
        assert BillDropped(BILL) in list(outbox.note_duplicated(message))
        assert not list(outbox.note_duplicated(message))

    def test_an_unanswered_bill_is_submitted_again(self):
        outbox = build_outbox("b")
        assert not list(outbox.tick(0.1))
        assert list(outbox.tick(1.0))
