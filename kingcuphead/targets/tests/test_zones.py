import dataclasses

import pytest

from kingcuphead.targets import (
    Availability,
    Target,
    TargetDirectory,
    ZoneEvacuated,
    ZoneReadmitted,
)

FIRST = Target("t1", "pool", "10.0.0.1:80", "a", 4, Availability.READY, 1)
SECOND = dataclasses.replace(FIRST, name="t2", address="10.0.0.2:80", zone="b")
#: An old entry names no zone.
UNPLACED = dataclasses.replace(FIRST, name="t3", address="10.0.0.3:80", zone="")


@pytest.fixture
def directory():
    directory = TargetDirectory()
    for target in (FIRST, SECOND, UNPLACED):
        list(directory.put(target))
    return directory


def list_names(directory):
    return [each.name for each in directory.list_usable("pool")]


class TestEvacuatedZones:
    """Guards against requests to targets of a zone that is about to lose its power."""

    @pytest.mark.parametrize(
        ("zones", "usable"),
        [
            (["a"], ["t2", "t3"]),
            (["a", "b"], ["t3"]),
            (["elsewhere"], ["t1", "t2", "t3"]),
            ([""], ["t1", "t2", "t3"]),
        ],
    )
    def test_targets_of_evacuated_zones_are_not_usable(self, directory, zones, usable):
        assert list_names(directory) == ["t1", "t2", "t3"]
        list(directory.replace_evacuated_zones(zones))
        assert list_names(directory) == usable
        addresses = [directory.find(name).address for name in usable]
        assert list(directory.list_addresses()) == addresses
        for target in (FIRST, SECOND, UNPLACED):
            is_found = directory.find_usable(target.address) is not None
            assert is_found is (target.name in usable)

    def test_a_snapshot_replaces_the_zones_and_changes_come_once(self, directory):
        assert list(directory.evacuate_zone("a")) == [ZoneEvacuated("a", (FIRST,))]
        assert list(directory.evacuate_zone("a")) == []
        changes = list(directory.replace_evacuated_zones(["b"]))
        assert changes == [
            ZoneReadmitted("a", (FIRST,)),
            ZoneEvacuated("b", (SECOND,)),
        ]
        assert list(directory.replace_evacuated_zones(["b"])) == []
        assert list_names(directory) == ["t1", "t3"]

    def test_a_target_that_comes_later_is_evacuated_too(self, directory):
        list(directory.evacuate_zone("c"))
        assert directory.list_unknown_zones() == ("c",)
        late = dataclasses.replace(FIRST, name="t4", zone="c")
        list(directory.put(late))
        assert "t4" not in list_names(directory)
        assert directory.list_evacuated() == (late,)
        assert directory.list_unknown_zones() == ()

    def test_no_zone_is_unknown_before_the_targets_are(self):
        directory = TargetDirectory()
        list(directory.evacuate_zone("a"))
        assert directory.list_unknown_zones() == ()
