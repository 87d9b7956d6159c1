from kingcuphead.permits import TargetTerms, TermsTable


class TestTermsTable:
    def test_terms_hold_until_they_are_replaced(self):
        table = TermsTable()
        assert table.record("t@1", TargetTerms(2.0))
        assert not table.record("t@1", TargetTerms(2.0))
        assert table.get("t@1") == TargetTerms(2.0)
        assert table.record("t@1", TargetTerms())
        assert table.get("t@1") == TargetTerms()

    def test_another_incarnation_has_terms_of_its_own(self):
        table = TermsTable()
        table.record("t@1", TargetTerms(2.0))
        assert table.get("t@2") == TargetTerms()

    def test_a_removed_target_is_forgotten(self):
        table = TermsTable()
        table.record("t@1", TargetTerms(2.0))
        table.forget("t@1")
        assert table.get("t@1") == TargetTerms()
