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
    # Members of other regions are never homes, but may be replica holders.
    routing.replace_members(
        (Member("home", home_zone, "north"), Member("holder", "c", "south"))
    )
    routing.members["me"] = Member("me", "a", "elsewhere")
    outbox = Outbox("me/1", settings, routing)
    list(outbox.submit("hold", BILL, 0.0))
    return outbox


def is_safe(effects):
    return BillSafe("hold") in list(effects)


class TestOutbox:
    @pytest.mark.parametrize(("zone", "safe"), [("a", False), ("b", True)])
    def test_accepted_bill_is_safe_only_if_the_home_is_in_another_zone(
        self, zone, safe
    ):
        outbox = build_outbox(zone)
        assert (
            is_safe(outbox.handle_accepted(BillsAccepted("home/1", ("me/1#1",))))
            is safe
        )

    def test_replicated_bill_is_safe_if_the_home_is_in_the_same_zone(self):
        outbox = build_outbox("a")
        message = BillCopiesAcknowledged("holder/1", ("me/1#1",))
        assert is_safe(outbox.handle_replicas_acknowledged(message))

    def test_committed_bill_is_safe_and_removed(self):
        outbox = build_outbox("a")
        assert is_safe(outbox.handle_committed(BillsCommitted("home/1", ("me/1#1",))))
        assert not outbox.entries

    def test_duplicate_bill_frees_its_credit_once(self):
        outbox = build_outbox("b")
        message = BillsDuplicated("home/1", ("me/1#1",))
        assert BillDropped(BILL) in list(outbox.handle_duplicated(message))
        assert not list(outbox.handle_duplicated(message))

    def test_unacknowledged_bill_is_resubmitted(self):
        outbox = build_outbox("b")
        assert not list(outbox.tick(0.1))
        assert list(outbox.tick(1.0))
