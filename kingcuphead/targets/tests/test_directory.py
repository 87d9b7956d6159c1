import dataclasses

import pytest

from kingcuphead.targets import (
    Availability,
    Target,
    TargetAdded,
    TargetDirectory,
    TargetLeft,
)

READY = Target("t1", "pool", "10.0.0.1:80", "z", 4, Availability.READY, 1)
DRAINING = dataclasses.replace(READY, availability=Availability.DRAINING)


@pytest.fixture
def directory():
    directory = TargetDirectory()
    assert list(directory.put(READY)) == [TargetAdded(READY)]
    return directory


class TestTargetDirectory:
    def test_a_draining_target_gets_nothing_new(self, directory):
        assert list(directory.put(DRAINING)) == [TargetLeft(DRAINING, False)]
        assert directory.list_usable("pool") == ()

    def test_an_entry_that_goes_while_the_store_is_sound_counts_at_once(
        self, directory
    ):
        assert list(directory.remove("t1", 100.0)) == [TargetLeft(READY, True)]
        assert directory.list_usable("pool") == ()

    def test_an_entry_that_lapsed_with_the_store_comes_back(self, directory):
        directory.note_store_failure(100.0)
        assert list(directory.remove("t1", 101.0)) == []
        assert directory.list_usable("pool") == (READY,)
        assert list(directory.put(READY)) == []
        assert list(directory.tick(110.0)) == []

    @pytest.mark.parametrize(("now", "is_usable"), [(102.9, True), (103.1, False)])
    def test_an_entry_that_stays_away_is_gone(self, directory, now, is_usable):
        """Counted from the last failed call: seen on trouble-3 of abh-kits."""
        directory.note_store_failure(100.0)
        list(directory.remove("t1", 102.0))
        list(directory.tick(now))
        assert bool(directory.list_usable("pool")) is is_usable

    def test_a_target_that_drained_before_does_not_count_as_lapsed(self, directory):
        list(directory.put(DRAINING))
        directory.note_store_failure(100.0)
        assert list(directory.remove("t1", 100.5)) == [TargetLeft(DRAINING, True)]

    def test_another_life_under_the_same_name_is_another_target(self, directory):
        list(directory.put(DRAINING))
        again = dataclasses.replace(READY, started_at_ms=2)
        assert list(directory.put(again)) == [TargetAdded(again)]
        assert directory.list_usable("pool") == (again,)

    def test_a_replaced_target_waits_for_its_next_life(self, directory):
        directory.mark_replaced(READY)
        assert directory.list_usable("pool") == ()
        list(directory.put(READY))
        assert directory.list_usable("pool") == ()
        again = dataclasses.replace(READY, started_at_ms=2)
        list(directory.put(again))
        assert directory.list_usable("pool") == (again,)

    def test_a_whole_reading_drops_what_is_missing(self, directory):
        other = dataclasses.replace(READY, name="t2")
        changes = list(directory.replace_all([other], 100.0))
        assert changes == [TargetAdded(other), TargetLeft(READY, True)]
