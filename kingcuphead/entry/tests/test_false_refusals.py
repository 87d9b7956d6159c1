import asyncio
import itertools
from collections import Counter

import pytest

from kingcuphead.entry.tests._fleet import Fleet
from kingcuphead.entry.tests._target import RepeatingTarget, UnstatedTarget

#: Requests that callers send one after the other.
REQUESTS = 30
#: Statuses that promise a caller that its request has not run and never will.
PROMISES = {408, 421, 429, 503}


def make_earlier_copy(refused_id, running_id):
    return [f"Attempt-Id: {refused_id}", "Not-Executed: 1"]


def make_copy_without_id(refused_id, running_id):
    return ["Not-Executed: 1"]


def make_copy_of_unknown(refused_id, running_id):
    return ["Attempt-Id: 00000000deadbeef", "Not-Executed: 1"]


def count_faults(target_class, *options, targets=3):
    """Send requests that may run once; return how often each promise was broken."""
    faults: Counter[str] = Counter()

    def make_targets(register):
        return [
            target_class(f"t{number}", "v1", register, *options)
            for number in range(targets)
        ]

    async def main():
        async with (
            asyncio.timeout(40),
            IdentifiedFleet(make_targets, kind="unsafe") as fleet,
        ):
            statuses = {}
            numbers = itertools.cycle((1, 2, 3))
            for each, number in zip(range(REQUESTS), numbers, strict=False):
                request_id = f"{each:08x}aaaaaaaa"
                body = b"order"
                statuses[request_id] = await fleet.send(
                    number, body, request_id=request_id
                )
            # A request may run after its caller was told that it never will.
            await asyncio.sleep(0.2)
            runs: Counter[str] = Counter()
            for target in fleet.targets:
                runs += target.runs
            for request_id, status in statuses.items():
                count = runs[request_id]
                faults["ran"] += count > 0
                faults["ran, not answered"] += count > 0 and status != 200
                faults["ran twice"] += count > 1
                faults["refused though run"] += status in PROMISES and count > 0

    asyncio.run(main())
    return faults


class IdentifiedFleet(Fleet):
    """Counts a daemon as started once it has answered, whatever the status."""

    async def start_daemons(self, numbers=(1, 2, 3)):
        for number in numbers:
            self._start_daemon(number)
        for number in numbers:
            while await self.send(number, b"probe") == 0:
                await asyncio.sleep(0.05)
        # The first answer may come before the targets are known.
        await asyncio.sleep(0.3)


class TestFalseRefusals:
    """Guards against "not run" being told, or believed, of a request that runs."""

    @pytest.mark.parametrize(
        ("status", "make_lines"),
        [
            ("503 Busy", make_earlier_copy),
            ("503 Busy", make_copy_without_id),
            ("503 Busy", make_copy_of_unknown),
            ("429 Busy", make_earlier_copy),
            ("421 Other", make_copy_of_unknown),
            ("421 Other", make_copy_without_id),
        ],
    )
    def test_a_refusal_written_again_is_not_of_the_next_request(
        self, status, make_lines
    ):
        faults = count_faults(RepeatingTarget, status, make_lines)
        assert faults["ran"] > 0
        # A copy without id may be an own answer that is malformed.
        assert faults["ran, not answered"] == 0 or make_lines is make_copy_without_id
        assert faults["ran twice"] == 0
        assert faults["refused though run"] == 0

    def test_a_refusal_written_again_is_not_of_a_retry_at_the_same_target(self):
        faults = count_faults(RepeatingTarget, "503 Busy", make_earlier_copy, targets=1)
        assert faults["ran twice"] == 0
        assert faults["refused though run"] == 0

    @pytest.mark.parametrize("status", ["503 Busy", "429 Busy", "408 Timeout"])
    def test_a_status_without_the_statement_promises_nothing(self, status):
        faults = count_faults(UnstatedTarget, status)
        assert faults["ran"] == REQUESTS
        assert faults["ran twice"] == 0
        assert faults["refused though run"] == 0
