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


class TestLeaving:
    """Guards against new requests to a target that an old entry says is ready.

    A store that was restored from a copy returns the entries of an earlier time.
    """

    def test_a_draining_incarnation_never_becomes_ready_again(self, directory):
        list(directory.put(DRAINING))
        assert list(directory.put(READY)) == []
        assert directory.list_usable("pool") == ()
        assert list(directory.replace_all([READY], 0.0)) == []
        assert directory.list_usable("pool") == ()

    def test_a_target_that_says_it_leaves_is_not_usable_at_once(self, directory):
        assert list(directory.mark_leaving(READY)) == [TargetLeft(DRAINING, False)]
        assert directory.list_usable("pool") == ()
        assert list(directory.mark_leaving(READY)) == []
        assert list(directory.put(READY)) == []
        assert directory.list_usable("pool") == ()

    def test_what_an_earlier_incarnation_says_is_ignored(self, directory):
        restarted = dataclasses.replace(READY, started_at_ms=2)
        list(directory.put(restarted))
        assert list(directory.mark_leaving(READY)) == []
        assert directory.list_usable("pool") == (restarted,)

    def test_a_removed_incarnation_does_not_return_with_an_old_entry(self, directory):
        list(directory.remove("t1", 100.0))
        assert list(directory.replace_all([READY], 101.0)) == []
        assert directory.list_usable("pool") == ()

    def test_a_removed_incarnation_returns_with_a_newer_entry(self, directory):
        """Its entry had expired although it was running."""
        list(directory.remove("t1", 100.0))
        newer = dataclasses.replace(READY, sequence=1)
        assert list(directory.put(newer)) == [TargetAdded(newer)]
        assert directory.list_usable("pool") == (newer,)

    def test_a_removed_draining_incarnation_never_returns(self, directory):
        list(directory.put(DRAINING))
        list(directory.remove("t1", 100.0))
        assert list(directory.put(dataclasses.replace(READY, sequence=9))) == []
        assert directory.list_usable("pool") == ()


class TestTargetDirectory:
    def test_a_draining_target_is_not_usable(self, directory):
        assert list(directory.put(DRAINING)) == [TargetLeft(DRAINING, False)]
        assert directory.list_usable("pool") == ()

    def test_a_removed_entry_counts_at_once_while_the_store_is_healthy(self, directory):
        assert list(directory.remove("t1", 100.0)) == [TargetLeft(READY, True)]
        assert directory.list_usable("pool") == ()

    def test_an_entry_that_expired_in_a_store_outage_may_be_written_again(
        self, directory
    ):
        directory.record_store_failure(100.0)
        assert list(directory.remove("t1", 101.0)) == []
        assert directory.list_usable("pool") == (READY,)
        assert list(directory.put(READY)) == []
        assert list(directory.tick(110.0)) == []

    @pytest.mark.parametrize(("now", "is_usable"), [(102.9, True), (103.1, False)])
    def test_an_entry_that_is_not_written_again_is_dropped(
        self, directory, now, is_usable
    ):
        """The period starts at the last failed call to the store, not at the removal.

        Seen on day trouble-3 of the bench's site abh-kits.
        """
        directory.record_store_failure(100.0)
        list(directory.remove("t1", 102.0))
        list(directory.tick(now))
        assert bool(directory.list_usable("pool")) is is_usable

    def test_a_removed_entry_of_a_draining_target_counts_at_once(self, directory):
        list(directory.put(DRAINING))
        directory.record_store_failure(100.0)
        assert list(directory.remove("t1", 100.5)) == [TargetLeft(DRAINING, True)]

    def test_a_new_incarnation_under_the_same_name_is_added(self, directory):
        list(directory.put(DRAINING))
        restarted = dataclasses.replace(READY, started_at_ms=2)
        assert list(directory.put(restarted)) == [TargetAdded(restarted)]
        assert directory.list_usable("pool") == (restarted,)

    def test_a_replaced_target_is_unusable_until_its_next_incarnation(self, directory):
        directory.mark_replaced(READY)
        assert directory.list_usable("pool") == ()
        list(directory.put(READY))
        assert directory.list_usable("pool") == ()
        restarted = dataclasses.replace(READY, started_at_ms=2)
        list(directory.put(restarted))
        assert directory.list_usable("pool") == (restarted,)

    def test_a_snapshot_drops_missing_entries(self, directory):
        other = dataclasses.replace(READY, name="t2")
        changes = list(directory.replace_all([other], 100.0))
        assert changes == [TargetAdded(other), TargetLeft(READY, True)]
