import asyncio
import base64
import json

import pytest

from kingcuphead.entry.tests._fleet import Fleet
from kingcuphead.entry.tests._target import LimitedTarget
from kingcuphead.platform.tests._documents import encode_configuration, encode_value

#: Seconds after the acknowledgement of a row in which all daemons apply it.
APPLY_SECONDS = 1.0
#: Limit of a cold target, and the requests that it may get in one second.
COLD_LIMIT = 2
ALLOWED_REQUESTS = 1.5 * COLD_LIMIT + 5
DAEMONS = (1, 2, 3)


def run(scenario):
    def make_targets(register):
        return [
            LimitedTarget(f"t{number}", "v1", register, None) for number in range(3)
        ]

    async def main():
        async with asyncio.timeout(60), Fleet(make_targets) as fleet:
            await scenario(fleet)

    asyncio.run(main())


async def burst(fleet, count=12):
    """Send requests to all daemons at once and return the statuses of the answers."""
    sending = (fleet.send(number, b"body") for number in DAEMONS for _ in range(count))
    return set(await asyncio.gather(*sending))


def configure_cold_start(fleet):
    """Write a configuration with a limit of cold targets."""
    content = json.loads(base64.b64decode(encode_configuration("safe", 2)))
    content["version"] = 2
    content["services"] = [{"name": "pool", "cold_per_s": COLD_LIMIT}]
    fleet.store.put("op", "", "config", encode_value(content))


def rewrite_entry(fleet, target, **changes):
    """Write a later entry of a target."""
    row = fleet.store.rows["servers", "", target.name]
    content = json.loads(base64.b64decode(row["value"]))
    content["sequence"] += 1
    content |= changes
    fleet.store.put("servers", "", target.name, encode_value(content))


def count_most(times):
    return max(sum(start <= each < start + 1 for each in times) for start in times)


class TestEvacuation:
    """Guards against requests to targets of a zone that loses its power."""

    def test_nothing_is_sent_to_an_evacuated_zone_until_it_is_taken_back(self):
        async def scenario(fleet):
            assert await burst(fleet) == {200}
            fleet.store.put("op", "", "evacuate/z", encode_value({}))
            await asyncio.sleep(APPLY_SECONDS)
            for target in fleet.targets:
                target.arrivals.clear()
                assert not target._readers, "an idle connection is open"
            assert await burst(fleet) == {503}
            assert not any(target.arrivals for target in fleet.targets)
            fleet.store.put("op", "", "evacuate/z", None)
            await asyncio.sleep(APPLY_SECONDS)
            assert await burst(fleet) == {200}

        run(scenario)

    def test_requests_go_on_in_other_zones(self):
        async def scenario(fleet):
            first = fleet.targets[0]
            rewrite_entry(fleet, first, zone="y")
            fleet.store.put("op", "", "evacuate/y", encode_value({}))
            await asyncio.sleep(APPLY_SECONDS)
            first.arrivals.clear()
            assert await burst(fleet) == {200}
            assert not first.arrivals

        run(scenario)


class TestColdTargets:
    @pytest.mark.parametrize("is_cut", [False, True], ids=["connected", "cut off"])
    def test_a_cold_target_gets_few_requests_and_others_serve_the_rest(self, is_cut):
        async def scenario(fleet):
            if is_cut:
                fleet.cut_datagrams()
            cold = fleet.targets[0]
            configure_cold_start(fleet)
            rewrite_entry(fleet, cold, cold_left_ms=30_000)
            await asyncio.sleep(APPLY_SECONDS)
            cold.arrivals.clear()
            for _ in range(8):
                assert await burst(fleet) == {200}
                await asyncio.sleep(0.25)
            assert count_most([0.0, *cold.arrivals]) <= ALLOWED_REQUESTS
            rewrite_entry(fleet, cold, cold_left_ms=0)
            await asyncio.sleep(APPLY_SECONDS)
            cold.arrivals.clear()
            await burst(fleet)
            assert len(cold.arrivals) > ALLOWED_REQUESTS

        run(scenario)

    def test_a_service_of_cold_targets_uses_their_permits_and_refuses_the_rest(self):
        async def scenario(fleet):
            configure_cold_start(fleet)
            for target in fleet.targets:
                rewrite_entry(fleet, target, cold_left_ms=30_000)
            await asyncio.sleep(APPLY_SECONDS)
            for target in fleet.targets:
                target.arrivals.clear()
            for _ in range(8):
                assert await burst(fleet) <= {200, 503}
                await asyncio.sleep(0.25)
            for target in fleet.targets:
                assert 0 < count_most([0.0, *target.arrivals]) <= ALLOWED_REQUESTS
                assert len(target.arrivals) > 1

        run(scenario)
