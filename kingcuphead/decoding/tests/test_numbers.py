import math

import pytest

from kingcuphead.decoding import parse_count, parse_decimal

LARGEST = 2**31 - 1


class TestParseCount:
    @pytest.mark.parametrize(
        ("text", "count"),
        [
            ("0", 0),
            (" 80 ", 80),
            ("007", 7),
            (str(LARGEST), LARGEST),
            (str(LARGEST + 1), LARGEST),
            (str(2**64 - 1), LARGEST),
            # Python's own limit of the digits of a number that is parsed is 4,300.
            ("9" * 5_000, LARGEST),
            ("0" * 5_000 + "5", 5),
        ],
    )
    def test_numbers_are_limited_to_the_range(self, text, count):
        """Guards against numbers that a message between daemons can't carry."""
        assert parse_count(text, LARGEST) == count

    @pytest.mark.parametrize(
        "text", ["", "-1", "+1", "1_0", "1.0", "1e3", "0x1", "\u0663", "1 2", "many"]
    )
    def test_other_texts_are_an_error(self, text):
        """Guards against spellings that only Python takes for a number."""
        with pytest.raises(ValueError, match="not a whole number"):
            parse_count(text, LARGEST)


class TestParseDecimal:
    @pytest.mark.parametrize(
        ("text", "number"),
        [("0", 0.0), (" 1.5 ", 1.5), (".5", 0.5), ("2e3", 2_000.0), ("1.", 1.0)],
    )
    def test_decimal_numbers(self, text, number):
        assert parse_decimal(text) == number

    @pytest.mark.parametrize("text", ["1e999", "9" * 5_000])
    def test_a_number_beyond_a_float_is_infinite(self, text):
        assert parse_decimal(text) == math.inf

    @pytest.mark.parametrize("text", ["", "-1", "1_0", "nan", "inf", "0x1", "1,2"])
    def test_other_texts_are_none(self, text):
        assert parse_decimal(text) is None
