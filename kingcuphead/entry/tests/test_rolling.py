import random
from typing import Any

import pytest

from kingcuphead.entry.tests.rolling import (
    BUDGET,
    OUTPUT_TOKENS,
    PROMPT_TOKENS,
    Answer,
    Callers,
    Run,
    check,
)


def find_violations(runs, callers):
    return {
        name.removeprefix("VIOLATION ")
        for name, count in check(runs, callers).items()
        if name.startswith("VIOLATION") and count
    }


class TestCheck:
    """Guards against a run side by side that passes whatever happens."""

    def make(self, streams=(), answered=(), refused=()):
        fleet: Any = None
        callers = Callers(fleet, random.Random(1))
        callers.streams = {str(n): each for n, each in enumerate(streams)}
        callers.answered, callers.refused = set(answered), set(refused)
        return callers

    def test_a_kept_promise_is_none(self):
        runs = [
            Run("1", "unsafe-1", "budgeted", "v0"),
            Run("2", "safe-2", "budgeted", "v0"),
            Run("3", "safe-2", "budgeted", "v1"),
        ]
        streams = [([1, 2, 3], ["v0"] * 3), ([], [])]
        callers = self.make(streams, ["unsafe-1", "safe-2"], ["unsafe-3"])
        assert find_violations(runs, callers) == set()

    @pytest.mark.parametrize(
        ("stream", "violation"),
        [
            (([1, 2], ["v0", "v1"]), "streams of two versions"),
            (([1, 3], ["v0", "v0"]), "events missing or repeated"),
            (([1, 1], ["v0", "v0"]), "events missing or repeated"),
        ],
    )
    def test_joined_streams(self, stream, violation):
        assert find_violations([], self.make([stream])) == {violation}

    def test_runs(self):
        runs = [Run(str(n), "unsafe-1", "atelier", "v0") for n in range(2)]
        assert find_violations(runs, self.make()) == {"run twice"}
        callers = self.make(refused=["unsafe-1"])
        assert find_violations(runs[:1], callers) == {"run, told it was not"}
        callers = self.make(answered=["unsafe-2"])
        assert find_violations([], callers) == {"answered, not run"}

    def test_spend(self):
        count = BUDGET // (PROMPT_TOKENS + OUTPUT_TOKENS) + 1
        runs = [
            Run(str(n), f"streaming-{n}", "budgeted", "v0", OUTPUT_TOKENS)
            for n in range(count)
        ]
        assert find_violations(runs, self.make()) == {"tokens above the budget"}
        # A request that runs twice is charged once.
        runs = runs[:-1] + runs[:1]
        assert find_violations(runs, self.make()) == set()

    def test_a_route_that_is_gone(self):
        callers = self.make()
        for status, content in (
            (503, "configuration_stale"),
            (404, "service_not_found"),
            (503, "credit_unavailable"),
        ):
            callers._check_route("daemon", Answer(status, content))
        assert find_violations([], callers) == set()
        callers._check_route("daemon", Answer(404, "service_not_found"))
        assert find_violations([], callers) == {"configuration reverted"}
