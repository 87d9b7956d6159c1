import pytest

from kingcuphead.quarantine._culprits import find_culprits, is_any_accused
from kingcuphead.quarantine._suspicions import CrashedRequest

MIN_TARGETS = 3
MAX_DISPUTED = 5


def collect(*lost):
    """Return the crashes by part, of requests given as target, request and parts."""
    crashes: dict[str, set[CrashedRequest]] = {}
    for target, request, parts in lost:
        for part in parts:
            crashes.setdefault(part, set()).add(CrashedRequest(target, request))
    return {part: frozenset(each) for part, each in crashes.items()}


def lose(count, parts, beside=()):
    """Return the requests lost with targets, each with the same parts.

    The requests beside them share one part with them and have one of their own.
    """
    for number in range(count):
        yield f"t{number}", f"f{number}", parts
        for other in beside:
            yield f"t{number}", f"{other}{number}", ("a", other)


class TestCulprits:
    CASES = (
        ("nothing was lost", (), ()),
        ("too few targets", lose(2, "ab"), ()),
        ("parts that were always together", lose(3, "ab"), ("ab",)),
        ("only one request was lost", [(f"t{n}", "f", "ab") for n in range(3)], ()),
        (
            "the first part is in other requests too",
            [*lose(3, "ab"), ("t9", "f9", "ac")],
            ("ab",),
        ),
        ("others were beside it once", [*lose(3, "ab"), *lose(2, "ac")], ("ab",)),
        ("another was beside it each time", lose(3, "ab", beside="c"), ()),
        ("it crashed one more", [*lose(3, "ab", "c"), ("t9", "f9", "ab")], ("ab",)),
        ("two are beside each other for long", lose(5, "ab", "c"), ("ab", "ac")),
        (
            "two culprits, one of them leading",
            [*lose(4, "ab"), *((f"u{n}", f"g{n}", "ac") for n in range(3))],
            ("ab",),
        ),
    )

    @pytest.mark.parametrize(
        ("lost", "culprits"),
        [case[1:] for case in CASES],
        ids=[case[0] for case in CASES],
    )
    def test_parts_that_explain_the_crashes_are_found(self, lost, culprits):
        found = find_culprits(collect(*lost), MIN_TARGETS, MAX_DISPUTED)
        assert set(found) == {frozenset(parts) for parts in culprits}

    def test_an_accusation_needs_targets_and_requests(self):
        assert not is_any_accused(collect(*lose(2, "ab")), MIN_TARGETS)
        assert is_any_accused(collect(*lose(3, "ab")), MIN_TARGETS)
