from kingcuphead.permits import TargetTerms, TermsTable
from kingcuphead.targets import Availability, Target


def make_target(started_at_ms=1):
    return Target("t", "pool", "a:1", "z", 8, Availability.READY, started_at_ms)


class TestTermsTable:
    def test_terms_hold_until_they_are_replaced(self):
        table = TermsTable()
        assert table.record(make_target(), TargetTerms(2.0))
        assert not table.record(make_target(), TargetTerms(2.0))
        assert table.get(make_target()) == TargetTerms(2.0)
        assert table.record(make_target(), TargetTerms())
        assert table.get(make_target()) == TargetTerms()

    def test_another_incarnation_has_terms_of_its_own(self):
        table = TermsTable()
        table.record(make_target(), TargetTerms(2.0))
        assert table.get(make_target(2)) == TargetTerms()

    def test_a_removed_target_is_forgotten(self):
        table = TermsTable()
        table.record(make_target(), TargetTerms(2.0))
        table.forget(make_target())
        assert table.get(make_target()) == TargetTerms()
