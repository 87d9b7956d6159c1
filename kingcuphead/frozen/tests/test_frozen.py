import copy
import dataclasses
import pickle

import pytest

from kingcuphead.frozen import frozen


@frozen
class Point:
    """A point."""

    x: int
    label: str = "origin"
    tags: list[str] = dataclasses.field(default_factory=list)

    @property
    def doubled(self):
        return 2 * self.x


@dataclasses.dataclass(frozen=True, slots=True)
class StandardPoint:
    """The same class by the standard library."""

    x: int
    label: str = "origin"
    tags: list[str] = dataclasses.field(default_factory=list)


@frozen
class Single:
    value: float


@frozen
class Empty:
    pass


class TestFrozen:
    """Guards against differences from the standard library's frozen data classes."""

    @pytest.mark.parametrize(
        ("args", "kwargs"),
        [((1,), {}), ((1, "a"), {}), ((), {"x": 1, "tags": ["t"]})],
    )
    def test_fields_and_text_are_as_with_the_standard_library(self, args, kwargs):
        point, standard = Point(*args, **kwargs), StandardPoint(*args, **kwargs)
        assert dataclasses.asdict(point) == dataclasses.asdict(standard)
        assert repr(point) == repr(standard).replace("StandardPoint", "Point")
        assert not hasattr(point, "__dict__")

    @pytest.mark.parametrize("args", [(), (1, "a", [], 4)])
    def test_wrong_arguments_are_refused(self, args):
        with pytest.raises(TypeError):
            Point(*args)

    def test_lists_by_default_are_not_shared(self):
        assert Point(1).tags is not Point(1).tags

    @pytest.mark.parametrize("name", ["x", "other"])
    def test_a_change_is_refused(self, name):
        point = Point(1)
        with pytest.raises(dataclasses.FrozenInstanceError):
            setattr(point, name, 2)
        with pytest.raises(dataclasses.FrozenInstanceError):
            delattr(point, name)

    def test_a_changed_copy_differs_in_one_field(self):
        assert dataclasses.replace(Point(1), x=4) == Point(4)
        assert Point(4).doubled == 8

    @pytest.mark.parametrize(
        ("first", "second", "is_equal"),
        [
            (Point(1), Point(1), True),
            (Point(1), Point(1, "a"), False),
            (Point(1), StandardPoint(1), False),
            (Single(2.0), Single(2), True),
            (Single(2.0), 2.0, False),
            (Empty(), Empty(), True),
        ],
    )
    def test_equality_compares_class_and_fields(self, first, second, is_equal):
        assert (first == second) is is_equal

    @pytest.mark.parametrize("make", [lambda: Single(1.5), Empty])
    def test_equal_values_have_one_hash(self, make):
        assert len({make(), make()}) == 1

    def test_patterns_match_by_position(self):
        match Point(3, "a"):
            case Point(x, label):
                assert (x, label) == (3, "a")

    @pytest.mark.parametrize("value", [Point(1, "a", ["b"]), Single(1.5), Empty()])
    def test_copies_are_equal(self, value):
        assert copy.deepcopy(value) == value
        assert pickle.loads(pickle.dumps(value)) == value
