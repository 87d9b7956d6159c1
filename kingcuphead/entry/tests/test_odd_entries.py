import asyncio
import base64
import json

import pytest

from kingcuphead.decoding.tests._hostile import nest
from kingcuphead.entry.tests._fleet import Fleet
from kingcuphead.entry.tests._target import SlowTarget

#: Requests that each daemon gets.
REQUESTS = 12
FIELDS = {
    "service": '"pool"',
    "address": '"127.0.0.1:9"',
    "zone": '"z"',
    "version": '"v1"',
    "slots": "64",
    "state": '"ready"',
    "born": "7",
    "sequence": "1",
}
#: Changed or added fields of an entry, as JSON.
CHANGES = {
    "deep field": {"cold_left_ms": nest(1_500, "list")},
    "very deep unknown field": {"note": nest(200_000, "list")},
    "very deep object": {"note": nest(100_000, "object")},
    "large start time": {"born": "9" * 400},
    "port out of range": {"address": '"127.0.0.1:70000"'},
    "port of 99 digits": {"address": json.dumps(f"127.0.0.1:{'9' * 99}")},
    "port of 5,000 digits": {"address": json.dumps(f"127.0.0.1:{'9' * 5_000}")},
    "zero byte in the host": {"address": json.dumps("127.0.0.1\0:80")},
    "empty label in the host": {"address": '"a..b:80"'},
    "very long host": {"address": json.dumps(f"{'a' * 70_000}:80")},
}


class CountingTarget(SlowTarget):
    """Counts the requests that it gets."""

    requests = 0

    async def answer(self, headers, body, writer):
        self.requests += 1
        await super().answer(headers, body, writer)


def make_entry(changes):
    fields = {**FIELDS, **changes}
    text = ",".join(f'"{name}":{value}' for name, value in fields.items())
    # The store sends values as base64.
    return base64.b64encode(f"{{{text}}}".encode()).decode()


async def send_requests(fleet):
    """Return the statuses of requests to all daemons."""
    return await asyncio.gather(
        *(fleet.send(1 + n % 3, b"body") for n in range(3 * REQUESTS))
    )


@pytest.mark.parametrize("changes", CHANGES.values(), ids=CHANGES)
@pytest.mark.parametrize("is_early", [True, False], ids=["early", "while serving"])
class TestOddEntries:
    """Guards against daemons that one entry of another writer ends or misleads."""

    def test_the_other_targets_serve_and_later_ones_join(self, changes, is_early):
        async def main():
            fleet = Fleet(lambda register: [CountingTarget("t", "v1", register)])
            if is_early:
                fleet.store.put("servers", "", "odd", make_entry(changes))
            async with asyncio.timeout(15), fleet:
                if not is_early:
                    fleet.store.put("servers", "", "odd", make_entry(changes))
                assert set(await send_requests(fleet)) == {200}
                joined = CountingTarget("late", "v1", fleet._register)
                fleet.targets.append(joined)
                await joined.start()
                await asyncio.sleep(0.3)
                assert set(await send_requests(fleet)) == {200}
                assert joined.requests
                assert all(not task.done() for _, task in fleet.daemons.values())

        asyncio.run(main())
