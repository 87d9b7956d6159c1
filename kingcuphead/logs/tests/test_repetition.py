from kingcuphead.logs import RepetitionLimit, quote
from kingcuphead.logs._repetition import (
    MAX_SUBJECTS,
    QUOTED_BEGINNING,
    QUOTED_END,
    REPETITION_INTERVAL,
)


class TestRepetitionLimit:
    """Guards against a log that one subject, or very many, fill."""

    def make(self):
        self.now = 5.0
        return RepetitionLimit(lambda: self.now)

    def test_a_subject_has_one_line_in_an_interval(self):
        limit = self.make()
        assert limit.allows("a")
        assert not limit.allows("a")
        assert limit.allows("b")
        self.now += REPETITION_INTERVAL
        assert limit.allows("a")
        assert not limit.allows("a")

    def test_the_number_of_subjects_is_bounded(self):
        limit = self.make()
        allowed = sum(limit.allows(str(number)) for number in range(10_000))
        assert allowed == MAX_SUBJECTS
        self.now += REPETITION_INTERVAL
        assert limit.allows("9999")
        assert len(limit._logged_at) == 1


class TestQuote:
    def test_a_short_text_is_complete(self):
        assert quote(ValueError("cause")) == "cause"

    def test_a_long_text_lacks_its_middle(self):
        text = quote("a" * 60_000 + "b" * 60_000)
        assert text == "a" * QUOTED_BEGINNING + "..." + "b" * QUOTED_END
