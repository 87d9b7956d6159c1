import pytest

from kingcuphead.invariants import InvariantError, ensure, require


class TestInvariants:
    def test_error_message_contains_rule_and_facts(self):
        with pytest.raises(InvariantError, match="stays within: limit=1, spent=2"):
            ensure(False, "stays within", limit=1, spent=2)

    def test_nothing_is_raised_if_the_rule_holds(self):
        ensure(True, "stays within")
        assert require(0, "is present") == 0

    def test_missing_value_is_an_error(self):
        with pytest.raises(InvariantError, match="is present"):
            require(None, "is present")
