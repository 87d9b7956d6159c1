import asyncio

from tornado.httpclient import AsyncHTTPClient

from kingcuphead.entry.tests._fleet import NETWORK, READINESS_PORT, Fleet
from kingcuphead.entry.tests._target import StreamingTarget
from kingcuphead.platform import READINESS_PATH

#: Capacity of the link in Mbit/s, so small that each daemon is above its limit.
LINK_MBPS = 0.001


def make_targets(register):
    return [StreamingTarget("t1", "v1", register)]


class TestReports:
    def test_loaded_daemons_of_a_small_zone_hear_of_each_other_and_stay_ready(self):
        """Guards against a fleet of three that turns all callers away."""

        async def main():
            async with asyncio.timeout(40), Fleet(make_targets) as fleet:
                exchanges = [
                    daemon._links.capacity for daemon, _ in fleet.daemons.values()
                ]
                for exchange in exchanges:
                    exchange.apply_limits(LINK_MBPS, True)
                while any(len(each._zone_loads._reports) < 2 for each in exchanges):
                    await asyncio.sleep(0.05)
                while any(each._load.peak < 1 for each in exchanges):
                    await asyncio.sleep(0.05)
                await asyncio.sleep(1.5)
                for number in (1, 2, 3):
                    url = f"http://{NETWORK}.{number}:{READINESS_PORT}{READINESS_PATH}"
                    answer = await AsyncHTTPClient().fetch(url, raise_error=False)
                    assert answer.code == 200

        asyncio.run(main())
